package app

import (
	"bufio"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/certs"
	"brackendale/internal/failpoint"
	"brackendale/internal/testing/fleet"
	"brackendale/internal/testing/standin"

	"github.com/rabbitmq/amqp091-go"
	"golang.org/x/sys/unix"
)

const (
	// clearNonblockEnv is the environment variable with the address of the shared listening socket and, after a space,
	// the failpoint at which a child clears O_NONBLOCK on that socket, as the program that starts it could.
	clearNonblockEnv = "BRACKENDALE_TEST_BLOCKING"
	// inheritedFD is the descriptor of the shared listening socket in a child.
	inheritedFD = 3
	// newConnectionTimeout limits the wait until a new connection is accepted, after which the next accept blocks.
	newConnectionTimeout = 200 * time.Millisecond
)

// clearNonblockAt makes this process clear O_NONBLOCK each time that it reaches a failpoint. text is the value of
// clearNonblockEnv.
func clearNonblockAt(text string) {
	addr, point, _ := strings.Cut(text, " ")
	failpoint.SetHook(func(reached failpoint.Point) {
		if string(reached) == point {
			if err := clearNonblock(inheritedFD, addr); err != nil {
				panic(err)
			}
		}
	})
}

// clearNonblock clears O_NONBLOCK and makes a connection, so that the next accept of the process that is accepting
// blocks.
func clearNonblock(fd int, addr string) error {
	if err := unix.SetNonblock(fd, false); err != nil {
		return err
	}
	if conn, err := net.Dial("tcp", addr); err == nil {
		_ = pingOnce(conn, bufio.NewReader(conn), newConnectionTimeout) // there is no reply if no process is accepting
		_ = conn.Close()
	}
	return nil
}

// pingOnce sends PING and reads the reply. The error is io.EOF if the connection was closed gracefully.
func pingOnce(conn net.Conn, reader *bufio.Reader, timeout time.Duration) error {
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if _, err := io.WriteString(conn, "*1\r\n$4\r\nPING\r\n"); err != nil && !errors.Is(err, syscall.EPIPE) {
		return err
	}
	line, err := reader.ReadString('\n')
	if err == nil && line != "+PONG\r\n" {
		err = fmt.Errorf("reply %q", line)
	}
	return err
}

// applianceEnv is a testEnv whose senders serve AMQP and AMQPS, too.
type applianceEnv struct {
	*testEnv
	amqpAddr, amqpsAddr string
	rootCAs             *x509.CertPool
}

func newApplianceEnv(t *testing.T) *applianceEnv {
	t.Helper()
	env := &applianceEnv{testEnv: newTestEnv(t)}
	for _, addr := range []*string{&env.amqpAddr, &env.amqpsAddr} {
		freeAddr, err := fleet.FreePort()
		if err != nil {
			t.Fatal(err)
		}
		*addr = freeAddr
	}
	dir := filepath.Join(env.dir, "keys")
	authority, err := certs.CreateAuthority(dir, "site", 10, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	files, err := authority.IssueServer([]string{"127.0.0.1"}, 10)
	if err != nil {
		t.Fatal(err)
	}
	authorities, err := certs.ReadCerts(files.CA)
	if err != nil {
		t.Fatal(err)
	}
	env.rootCAs = x509.NewCertPool()
	for _, certificate := range authorities {
		env.rootCAs.AddCert(certificate)
	}
	text := strings.Replace(fmt.Sprintf(applianceConfig, 0.5, 0, env.amqpAddr, env.clientAddr), "[resp]",
		fmt.Sprintf("[amqp.tls]\nlisten = %q\ncert = %q\nkey = %q\n[resp]", env.amqpsAddr, files.Cert, files.Key), 1)
	if err := os.WriteFile(env.configFile(), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return env
}

// startClearingNonblock starts a process that clears O_NONBLOCK on the shared listening socket at a failpoint.
func (env *applianceEnv) startClearingNonblock(point failpoint.Point) *process {
	env.extraEnv = []string{clearNonblockEnv + "=" + env.clientAddr + " " + string(point)}
	defer func() { env.extraEnv = nil }()
	return env.startProcess()
}

// openClients has one open connection of each protocol, on which requests are sent one after another.
type openClients struct {
	requesters sync.WaitGroup
	stop       chan bool // closed to end the requests

	mu     sync.Mutex
	errs   []error
	served map[string]int // number of requests that were answered, by protocol
}

// connectClients opens the connections and sends requests on them until the sender closes them gracefully or check is
// called.
func (env *applianceEnv) connectClients() *openClients {
	env.t.Helper()
	clients := &openClients{stop: make(chan bool), served: map[string]int{}}
	respConn, err := net.Dial("tcp", env.clientAddr)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = respConn.Close() })
	reader := bufio.NewReader(respConn)
	clients.repeatRequest(env.t, "resp", func() error { return pingOnce(respConn, reader, standin.Long) })
	for protocol, dial := range map[string]func() (*amqp091.Connection, error){
		"amqp": func() (*amqp091.Connection, error) { return amqp091.Dial("amqp://guest:guest@" + env.amqpAddr + "/") },
		"amqps": func() (*amqp091.Connection, error) {
			return amqp091.DialTLS("amqps://guest:guest@"+env.amqpsAddr+"/", &tls.Config{RootCAs: env.rootCAs})
		},
	} {
		conn, err := dial()
		if err != nil {
			env.t.Fatal(protocol, err)
		}
		env.t.Cleanup(func() { _ = conn.Close() })
		closed := conn.NotifyClose(make(chan *amqp091.Error, 1))
		clients.repeatRequest(env.t, protocol, func() error { return amqpRoundTrip(conn, closed) })
	}
	return clients
}

// amqpRoundTrip opens and closes a channel. The error is io.EOF if the sender has closed the connection gracefully.
func amqpRoundTrip(conn *amqp091.Connection, closed chan *amqp091.Error) error {
	done := make(chan error, 1)
	go func() {
		channel, err := conn.Channel()
		if err == nil {
			err = channel.Close()
		}
		done <- err
	}()
	select {
	case err := <-done:
		if err == nil {
			return nil
		}
	case <-time.After(standin.Long):
		return errors.New("no reply")
	}
	if reason := <-closed; reason == nil || reason.Code != amqp091.ConnectionForced {
		return fmt.Errorf("connection closed: %w", reason)
	}
	return io.EOF
}

// repeatRequest repeats a request until its connection is closed gracefully or stop is closed.
func (clients *openClients) repeatRequest(t *testing.T, protocol string, request func() error) {
	t.Helper()
	if err := request(); err != nil {
		t.Fatal(protocol, err)
	}
	clients.requesters.Add(1)
	go func() {
		defer clients.requesters.Done()
		for {
			err := request()
			clients.mu.Lock()
			switch {
			case err == nil:
				clients.served[protocol]++
			case !errors.Is(err, io.EOF):
				clients.errs = append(clients.errs, fmt.Errorf("%s after %d replies: %w", protocol, clients.served[protocol], err))
			}
			clients.mu.Unlock()
			if err != nil {
				return
			}
			select {
			case <-clients.stop:
				return
			default:
			}
		}
	}()
}

// check ends the requests and reports a test error for each that was not answered.
func (clients *openClients) check(t *testing.T) {
	t.Helper()
	close(clients.stop)
	clients.requesters.Wait()
	for _, err := range clients.errs {
		t.Error(err)
	}
}

// Open clients must get their replies during a hot restart in which the shared listening socket is in blocking mode.
// The failure: closing the blocking socket blocks the event loop of the predecessor.
func TestOpenClientsDuringHotRestartWithBlockingSocket(t *testing.T) {
	for _, point := range failpoint.HotRestartPoints() {
		t.Run(string(point), func(t *testing.T) {
			t.Parallel()
			env := newApplianceEnv(t)
			proc := env.startClearingNonblock(point)
			env.waitReady(proc)
			clients := env.connectClients()
			next := env.startClearingNonblock(point)
			env.waitReady(next)
			_ = proc.Process.Signal(syscall.SIGTERM)
			env.waitExit(proc)
			clients.check(t)
			env.connectClients().check(t)
		})
	}
}

// Open clients must get their replies, and the process must exit, in a graceful shutdown in which the shared listening
// socket is in blocking mode.
func TestOpenClientsDuringShutdownWithBlockingSocket(t *testing.T) {
	for _, point := range []failpoint.Point{failpoint.ShutdownStarted, failpoint.ShutdownWaitEnded} {
		for name, sequence := range map[string][]syscall.Signal{
			"SIGTERM": {syscall.SIGTERM},
			"twice":   {syscall.SIGTERM, syscall.SIGTERM},
			"SIGHUP":  {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
		} {
			t.Run(fmt.Sprint(point, ", ", name), func(t *testing.T) {
				t.Parallel()
				env := newApplianceEnv(t)
				proc := env.startClearingNonblock(point)
				env.waitReady(proc)
				clients := env.connectClients()
				for _, sig := range sequence {
					_ = proc.Process.Signal(sig)
				}
				env.waitExit(proc)
				clients.check(t)
			})
		}
	}
}
