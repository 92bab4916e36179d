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
	// holdNewcomerKey names the environment variable that lets a child hold a newcomer while it drains.
	holdNewcomerKey = "BRACKENDALE_TEST_HOLD_NEWCOMER"
	// drainHold is many times the interval at which a predecessor looks whether it has drained.
	drainHold = 20 * drainCheckInterval
)

// holdNewcomerWhileDraining lets this process, once a successor is welcomed, accept one newcomer and hold it until the
// predecessor would have found itself drained.
func holdNewcomerWhileDraining() {
	var welcomed atomic.Bool
	var once sync.Once
	held, released := make(chan bool), make(chan bool)
	failpoint.SetHook(func(p failpoint.Point) {
		switch {
		case p == failpoint.SuccessorWelcomed:
			welcomed.Store(true)
			<-held
		case p == failpoint.ConnectionAccepted && welcomed.Load():
			once.Do(func() { close(held) })
			<-released
			time.Sleep(drainHold)
		case p == failpoint.TransportReleased:
			close(released)
		}
	})
}

// newcomers dials one connection after another, on which one request is sent, until the returned function is called.
// It returns an error for each whose request had no reply.
func (o *office) newcomers(n int) (end func() (served int, lost []error)) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var served int
	var lost []error
	stop := make(chan bool)
	for range n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				select {
				case <-stop:
					return
				default:
				}
				err := o.oneRequest()
				mu.Lock()
				if served++; err != nil {
					lost = append(lost, err)
				}
				mu.Unlock()
			}
		}()
	}
	return func() (int, []error) {
		close(stop)
		wg.Wait()
		return served, lost
	}
}

// oneRequest is a newcomer's.
func (o *office) oneRequest() error {
	c, err := net.Dial("tcp", o.clients)
	if err != nil {
		return fmt.Errorf("dialing: %w", err)
	}
	defer c.Close()
	return pingOnce(c, bufio.NewReader(c), standin.Long)
}

// A newcomer that the predecessor has accepted, and that has no handler when all else has drained, is lost with the
// process.
func TestNewcomerWhileThePredecessorDrains(t *testing.T) {
	o := newOffice(t)
	o.env = []string{holdNewcomerKey + "=1"}
	p := o.start()
	o.env = nil
	o.ready(p)
	end := o.newcomers(4)
	next := o.start()
	o.ready(next)
	_ = p.Process.Signal(syscall.SIGTERM)
	o.end(p)
	if served, lost := end(); len(lost) > 0 || served == 0 {
		t.Fatal(served, lost)
	}
}

// upgradesKey names the environment variable with the number of upgrades in series; by hand 50 or more.
const upgradesKey = "BRACKENDALE_UPGRADES"

// Newcomers are lost, or open clients reset, in one of many upgrades under load, with the common socket made a blocking
// one at each step in turn, and signals in series.
func TestUpgradesInSeries(t *testing.T) {
	upgrades, err := strconv.Atoi(os.Getenv(upgradesKey))
	if err != nil {
		upgrades = 2 * len(failpoint.HotRestartPoints())
	}
	points := failpoint.HotRestartPoints()
	o := newApplianceOffice(t)
	p := o.startClearing(points[0])
	o.ready(p)
	end := o.newcomers(4)
	for i := range upgrades {
		clients := o.open()
		next := o.startClearing(points[i%len(points)])
		o.ready(next)
		if i%3 == 1 {
			_ = p.Process.Signal(syscall.SIGHUP)
		}
		_ = p.Process.Signal(syscall.SIGTERM)
		if i%2 == 1 {
			_ = p.Process.Signal(syscall.SIGTERM)
		}
		o.end(p)
		clients.check(t)
		p = next
	}
	served, lost := end()
	if len(lost) > 0 || served < upgrades {
		t.Fatalf("%d upgrades, %d newcomers, lost: %v", upgrades, served, lost)
	}
	t.Logf("%d upgrades, %d newcomers, none lost", upgrades, served)
}
