package app

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/failpoint"
	"brackendale/internal/testing/standin"
)

const (
	// holdConnectionEnv is the environment variable that makes a child delay the handling of a new connection while it
	// drains.
	holdConnectionEnv = "BRACKENDALE_TEST_HOLD_NEWCOMER"
	// drainHold is many times the interval at which a predecessor checks whether it is drained.
	drainHold = 20 * drainCheckInterval
)

// holdConnectionWhileDraining makes this process, once it has welcomed a successor, accept one connection and delay
// its handling until the process would have detected that it is drained.
func holdConnectionWhileDraining() {
	var welcomed atomic.Bool
	var once sync.Once
	accepted, released := make(chan bool), make(chan bool)
	failpoint.SetHook(func(reached failpoint.Point) {
		switch {
		case reached == failpoint.SuccessorWelcomed:
			welcomed.Store(true)
			<-accepted
		case reached == failpoint.ConnectionAccepted && welcomed.Load():
			once.Do(func() { close(accepted) })
			<-released
			time.Sleep(drainHold)
		case reached == failpoint.TransportReleased:
			close(released)
		}
	})
}

// startConnecting starts clients that open one connection after another and send one request on each, until the
// returned function is called. That function returns the number of requests, and an error for each request without a
// reply.
func (env *testEnv) startConnecting(count int) (end func() (requests int, errs []error)) {
	var clients sync.WaitGroup
	var mu sync.Mutex
	var requests int
	var errs []error
	stop := make(chan bool)
	for range count {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				err := env.pingNewConnection()
				mu.Lock()
				if requests++; err != nil {
					errs = append(errs, err)
				}
				mu.Unlock()
			}
		}()
	}
	return func() (int, []error) {
		close(stop)
		clients.Wait()
		return requests, errs
	}
}

// pingNewConnection sends one request on a new connection.
func (env *testEnv) pingNewConnection() error {
	conn, err := net.Dial("tcp", env.clientAddr)
	if err != nil {
		return fmt.Errorf("dial: %w", err)
	}
	defer conn.Close()
	return pingOnce(conn, bufio.NewReader(conn), standin.Long)
}

// A connection that the predecessor has accepted, and that has no handler yet when everything else is drained, must
// still be served. The failure: the process exited and closed it.
func TestNewConnectionWhilePredecessorDrains(t *testing.T) {
	env := newTestEnv(t)
	env.extraEnv = []string{holdConnectionEnv + "=1"}
	proc := env.startProcess()
	env.extraEnv = nil
	env.waitReady(proc)
	stopConnecting := env.startConnecting(4)
	successorProc := env.startProcess()
	env.waitReady(successorProc)
	_ = proc.Process.Signal(syscall.SIGTERM)
	env.waitExit(proc)
	if requests, errs := stopConnecting(); len(errs) > 0 || requests == 0 {
		t.Fatal(requests, errs)
	}
}

// restartsEnv is the environment variable with the number of hot restarts in series. Use 50 or more in a manual run.
const restartsEnv = "BRACKENDALE_UPGRADES"

// Many hot restarts under load, with the shared listening socket set to blocking mode at each step in turn, and with
// several signals in a row: no new connection may be lost, and no open client reset.
func TestHotRestartsInSeries(t *testing.T) {
	restarts, err := strconv.Atoi(os.Getenv(restartsEnv))
	if err != nil {
		restarts = 2 * len(failpoint.HotRestartPoints())
	}
	points := failpoint.HotRestartPoints()
	env := newApplianceEnv(t)
	proc := env.startClearingNonblock(points[0])
	env.waitReady(proc)
	stopConnecting := env.startConnecting(4)
	for i := range restarts {
		clients := env.connectClients()
		successorProc := env.startClearingNonblock(points[i%len(points)])
		env.waitReady(successorProc)
		if i%3 == 1 {
			_ = proc.Process.Signal(syscall.SIGHUP)
		}
		_ = proc.Process.Signal(syscall.SIGTERM)
		if i%2 == 1 {
			_ = proc.Process.Signal(syscall.SIGTERM)
		}
		env.waitExit(proc)
		clients.check(t)
		proc = successorProc
	}
	requests, errs := stopConnecting()
	if len(errs) > 0 || requests < restarts {
		t.Fatalf("%d hot restarts, %d new connections, lost: %v", restarts, requests, errs)
	}
	t.Logf("%d hot restarts, %d new connections, none lost", restarts, requests)
}
