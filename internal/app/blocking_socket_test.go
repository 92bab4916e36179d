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
	// blockingKey names the environment variable with the failpoint at which a child clears O_NONBLOCK on the clients'
	// socket, as its launcher could, and behind a space the socket's address.
	blockingKey = "BRACKENDALE_TEST_BLOCKING"
	// inheritedFD is the clients' socket in a child.
	inheritedFD = 3
	// newcomerWait bounds the wait for the accept of a newcomer, after which the next accept blocks.
	newcomerWait = 200 * time.Millisecond
)

// clearNonblockAt lets this process clear the flag each time that it reaches the failpoint.
func clearNonblockAt(text string) {
	addr, point, _ := strings.Cut(text, " ")
	failpoint.SetHook(func(p failpoint.Point) {
		if string(p) == point {
			if err := clearNonblock(inheritedFD, addr); err != nil {
				panic(err)
			}
		}
	})
}

// clearNonblock clears the flag and lets the process that accepts now take a newcomer: its next accept is a blocking
// one.
func clearNonblock(fd int, addr string) error {
	if err := unix.SetNonblock(fd, false); err != nil {
		return err
	}
	if c, err := net.Dial("tcp", addr); err == nil {
		_ = pingOnce(c, bufio.NewReader(c), newcomerWait) // none: nobody accepts now
		_ = c.Close()
	}
	return nil
}

// pingOnce sends PING and reads its reply. The error is io.EOF where the connection was closed in order.
func pingOnce(c net.Conn, in *bufio.Reader, limit time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(limit))
	if _, err := io.WriteString(c, "*1\r\n$4\r\nPING\r\n"); err != nil && !errors.Is(err, syscall.EPIPE) {
		return err
	}
	line, err := in.ReadString('\n')
	if err == nil && line != "+PONG\r\n" {
		err = fmt.Errorf("reply %q", line)
	}
	return err
}

// applianceOffice is an office whose senders serve AMQP and AMQPS, too.
type applianceOffice struct {
	*office
	amqp, amqps string
	trust       *x509.CertPool
}

func newApplianceOffice(t *testing.T) *applianceOffice {
	t.Helper()
	o := &applianceOffice{office: newOffice(t)}
	for _, addr := range []*string{&o.amqp, &o.amqps} {
		free, err := fleet.FreePort()
		if err != nil {
			t.Fatal(err)
		}
		*addr = free
	}
	dir := filepath.Join(o.dir, "keys")
	site, err := certs.CreateAuthority(dir, "site", 10, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	files, err := site.IssueServer([]string{"127.0.0.1"}, 10)
	if err != nil {
		t.Fatal(err)
	}
	authorities, err := certs.ReadCerts(files.CA)
	if err != nil {
		t.Fatal(err)
	}
	o.trust = x509.NewCertPool()
	for _, authority := range authorities {
		o.trust.AddCert(authority)
	}
	text := strings.Replace(fmt.Sprintf(applianceFile, 0.5, 0, o.amqp, o.clients), "[resp]",
		fmt.Sprintf("[amqp.tls]\nlisten = %q\ncert = %q\nkey = %q\n[resp]", o.amqps, files.Cert, files.Key), 1)
	if err := os.WriteFile(o.site(), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return o
}

// startClearing starts a process that clears the flag at a failpoint.
func (o *applianceOffice) startClearing(point failpoint.Point) *process {
	o.env = []string{blockingKey + "=" + o.clients + " " + string(point)}
	defer func() { o.env = nil }()
	return o.start()
}

// openClients is one connection of each protocol, on which requests follow each other.
type openClients struct {
	wg   sync.WaitGroup
	stop chan bool // closed: none expects its connection to be closed

	mu     sync.Mutex
	errs   []error
	served map[string]int // requests that were answered, by protocol
}

// open opens the connections, which ask until the sender closes them in order or the returned value is asked for its
// errors.
func (o *applianceOffice) open() *openClients {
	o.t.Helper()
	clients := &openClients{stop: make(chan bool), served: map[string]int{}}
	c, err := net.Dial("tcp", o.clients)
	if err != nil {
		o.t.Fatal(err)
	}
	o.t.Cleanup(func() { _ = c.Close() })
	in := bufio.NewReader(c)
	clients.ask(o.t, "resp", func() error { return pingOnce(c, in, standin.Long) })
	for protocol, dial := range map[string]func() (*amqp091.Connection, error){
		"amqp": func() (*amqp091.Connection, error) { return amqp091.Dial("amqp://guest:guest@" + o.amqp + "/") },
		"amqps": func() (*amqp091.Connection, error) {
			return amqp091.DialTLS("amqps://guest:guest@"+o.amqps+"/", &tls.Config{RootCAs: o.trust})
		},
	} {
		conn, err := dial()
		if err != nil {
			o.t.Fatal(protocol, err)
		}
		o.t.Cleanup(func() { _ = conn.Close() })
		closed := conn.NotifyClose(make(chan *amqp091.Error, 1))
		clients.ask(o.t, protocol, func() error { return amqpRoundTrip(conn, closed) })
	}
	return clients
}

// amqpRoundTrip opens and closes a channel. The error is io.EOF where the sender has closed the connection in order.
func amqpRoundTrip(conn *amqp091.Connection, closed chan *amqp091.Error) error {
	done := make(chan error, 1)
	go func() {
		ch, err := conn.Channel()
		if err == nil {
			err = ch.Close()
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
	if why := <-closed; why == nil || why.Code != amqp091.ConnectionForced {
		return fmt.Errorf("closed by: %w", why)
	}
	return io.EOF
}

// ask repeats a request until its connection is closed in order or stop is closed.
func (clients *openClients) ask(t *testing.T, protocol string, request func() error) {
	t.Helper()
	if err := request(); err != nil {
		t.Fatal(protocol, err)
	}
	clients.wg.Add(1)
	go func() {
		defer clients.wg.Done()
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

// check ends the requests and fails the test for each that was not answered.
func (clients *openClients) check(t *testing.T) {
	t.Helper()
	close(clients.stop)
	clients.wg.Wait()
	for _, err := range clients.errs {
		t.Error(err)
	}
}

// Open clients stay without replies while the close of a blocking common socket holds the predecessor's loop.
func TestOpenClientsDuringAnUpgradeWithABlockingSocket(t *testing.T) {
	for _, point := range failpoint.HotRestartPoints() {
		t.Run(string(point), func(t *testing.T) {
			t.Parallel()
			o := newApplianceOffice(t)
			p := o.startClearing(point)
			o.ready(p)
			clients := o.open()
			next := o.startClearing(point)
			o.ready(next)
			_ = p.Process.Signal(syscall.SIGTERM)
			o.end(p)
			clients.check(t)
			o.open().check(t)
		})
	}
}

// Open clients stay without replies, and the process does not end, where the common socket is a blocking one at a
// graceful shutdown.
func TestOpenClientsDuringAShutdownWithABlockingSocket(t *testing.T) {
	for _, point := range []failpoint.Point{failpoint.ShutdownStarted, failpoint.ShutdownWaitEnded} {
		for name, signals := range map[string][]syscall.Signal{
			"SIGTERM": {syscall.SIGTERM},
			"twice":   {syscall.SIGTERM, syscall.SIGTERM},
			"SIGHUP":  {syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP},
		} {
			t.Run(fmt.Sprint(point, ", ", name), func(t *testing.T) {
				t.Parallel()
				o := newApplianceOffice(t)
				p := o.startClearing(point)
				o.ready(p)
				clients := o.open()
				for _, sig := range signals {
					_ = p.Process.Signal(sig)
				}
				o.end(p)
				clients.check(t)
			})
		}
	}
}
