package app

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/net/amqp"
	"brackendale/internal/testing/faults"
	"brackendale/internal/testing/fleet"
	"brackendale/internal/testing/standin"

	"github.com/rabbitmq/amqp091-go"
)

// appliance serves a file of its own in this process until the test ends or a signal comes.
type appliance struct {
	t          *testing.T
	file       string
	amqp, resp string
	done       chan error
}

const applianceFile = `[limits]
sockets = 200
[clients]
share = %v
targets = 0.1
per_address = %d
[amqp]
listen = %q
exchange = "messages"
heartbeat_s = 0
[resp]
listen = %q
finals = "127.0.0.1:9"
[[class]]
name = "note"
effect = "repeatable"
aim_ms = 1000
deadline_ms = 9000
worth = 1
[[route]]
name = "partner"
dest = 1
proto = "http"
dial = "127.0.0.1:9"
`

func (a *appliance) write(share float64, perAddress int) {
	a.t.Helper()
	if err := os.WriteFile(a.file, fmt.Appendf(nil, applianceFile, share, perAddress, a.amqp, a.resp), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

func serveAppliance(t *testing.T) *appliance {
	t.Helper()
	a := newAppliance(t)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.done <- Serve(ctx, a.file, Options{})
	}()
	t.Cleanup(func() { // the folder is removed after this: the sender must not write into it any more
		cancel()
		<-ended
	})
	a.ready()
	return a
}

// newAppliance writes an appliance's file.
func newAppliance(t *testing.T) *appliance {
	t.Helper()
	free := func() string {
		at, err := fleet.FreePort()
		if err != nil {
			t.Fatal(err)
		}
		return at
	}
	dir := t.TempDir()
	t.Setenv("LB_STATE", dir)
	a := &appliance{t: t, file: filepath.Join(dir, "a.toml"), amqp: free(), resp: free(), done: make(chan error, 1)}
	a.write(0.5, 0)
	return a
}

// ready waits until the ingresses listen.
func (a *appliance) ready() {
	a.t.Helper()
	for began := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if c, err := net.Dial("tcp", a.amqp); err == nil {
			_ = c.Close()
			return
		} else if time.Since(began) > standin.Long {
			a.t.Fatal(err)
		}
	}
}

// clients opens AMQP connections with a channel each, and says how each was closed.
func (a *appliance) clients(n int) chan *amqp091.Error {
	a.t.Helper()
	closed := make(chan *amqp091.Error, n)
	for range n {
		c, err := amqp091.Dial("amqp://guest:guest@" + a.amqp + "/")
		if err != nil {
			a.t.Fatal(err)
		}
		if _, err := c.Channel(); err != nil {
			a.t.Fatal(err)
		}
		one := c.NotifyClose(make(chan *amqp091.Error, 1))
		go func() { closed <- <-one }()
	}
	return closed
}

func (a *appliance) want(closed chan *amqp091.Error, n int) {
	a.t.Helper()
	for i := range n {
		select {
		case err := <-closed:
			if err == nil || err.Code != amqp091.ConnectionForced {
				a.t.Fatal("closed without the word for it:", err)
			}
		case <-time.After(standin.Long):
			a.t.Fatal("only so many were told:", i)
		}
	}
}

// TestMain serves in a process of its own where a test asks for one.
func TestMain(m *testing.M) {
	file := os.Getenv("BRACKENDALE_TEST_SERVE")
	if len(os.Args) == 4 && os.Args[1] == "serve" { // as the stand-in world starts the program
		file = os.Args[3]
	}
	if kill := os.Getenv(killKey); kill != "" {
		killedAt(kill)
	}
	if os.Getenv(holdNewcomerKey) != "" {
		holdNewcomerWhileDraining()
	}
	if blocking := os.Getenv(blockingKey); blocking != "" {
		clearNonblockAt(blocking)
	}
	faults.Inject()
	if file == "platform" { // LB_CONFIG alone
		file = ""
	}
	if os.Getenv("BRACKENDALE_TEST_SERVE") != "" || file != "" {
		if err := Serve(context.Background(), file, Options{}); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// A process that is stopped for longer than two heartbeats and goes on keeps its clients: what they sent meanwhile is
// unread, and a limit that passed during the stop is not taken for an idle client.
func TestStopAndContinue(t *testing.T) {
	a := newAppliance(t)
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "BRACKENDALE_TEST_SERVE="+a.file)
	if err := c.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Process.Kill(); _ = c.Wait() }()
	a.ready()
	conn, err := net.Dial("tcp", a.amqp)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(standin.Long))
	var buf []byte
	want := func(k amqp.Key) { // passes over heartbeats
		t.Helper()
		for {
			f, n, err := amqp.ParseFrame(buf, amqp.FrameMax)
			if err != nil {
				t.Fatal(err)
			}
			if buf = buf[n:]; n > 0 && f.Kind == amqp.FrameMethod {
				if m, err := amqp.ParseMethod(f.Payload); err != nil || m.Key != k {
					t.Fatal(m, err)
				}
				return
			}
			if n == 0 {
				part := make([]byte, 4096)
				n, err := conn.Read(part)
				if err != nil {
					t.Fatalf("waiting for %s: %v", k, err)
				}
				buf = append(buf, part[:n]...)
			}
		}
	}
	say := func(b []byte) { _, _ = conn.Write(b) } // a peer that went is seen by the next read
	say([]byte(amqp.Preamble))
	want(amqp.ConnStart)
	say(amqp.AppendMethod(nil, 0, amqp.ConnStartOk, amqp.Table{}, "PLAIN", "\x00a\x00b", "en_US"))
	want(amqp.ConnTune)
	say(amqp.AppendMethod(nil, 0, amqp.ConnTuneOk, 8, amqp.FrameMin, 1))
	say(amqp.AppendMethod(nil, 0, amqp.ConnOpen, "/", "", false))
	want(amqp.ConnOpenOk)
	if err := c.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	beat := amqp.AppendFrame(nil, amqp.FrameBeat, 0, nil)
	for range 10 { // for longer than two heartbeats
		say(beat)
		time.Sleep(300 * time.Millisecond)
	}
	if err := c.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for id := range uint16(8) { // the timers that were due in the pause have their turn, and the next too
		say(amqp.AppendMethod(nil, id+1, amqp.ChanOpen, ""))
		want(amqp.ChanOpenOk)
		time.Sleep(200 * time.Millisecond)
	}
}

// A reload that lowers the connection limit closes idle connections down to the limit, with a notice; the others go on,
// and an address then meets its own limit.
func TestReloadLowersTheBound(t *testing.T) {
	a := serveAppliance(t)
	closed := a.clients(60)
	a.write(0.1, 20)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	a.want(closed, 40)
	if _, err := amqp091.Dial("amqp://guest:guest@" + a.amqp + "/"); err == nil {
		t.Fatal("one more was let in")
	}
	if len(closed) > 0 {
		t.Fatal("more were ended than the bound asks for")
	}
}

// At SIGTERM every client is notified, on both ingresses, and the program ends by itself.
func TestTermTellsAll(t *testing.T) {
	a := serveAppliance(t)
	closed := a.clients(60)
	var resp []net.Conn
	for range 20 {
		c, err := net.Dial("tcp", a.resp)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(standin.Long))
		if _, err := fmt.Fprint(c, "*1\r\n$4\r\nPING\r\n"); err != nil {
			t.Fatal(err)
		}
		b := make([]byte, 7)
		if _, err := c.Read(b); err != nil || string(b) != "+PONG\r\n" {
			t.Fatal(string(b), err)
		}
		resp = append(resp, c)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	a.want(closed, 60)
	for _, c := range resp {
		if n, err := c.Read(make([]byte, 1)); n != 0 || os.IsTimeout(err) {
			t.Fatal(n, err)
		}
	}
	select {
	case err := <-a.done:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(standin.Long):
		t.Fatal("it does not end")
	}
}

// A number of connections beyond the process's limit on open files is reported with the key and both numbers.
func TestDescriptorsThatAreNotThere(t *testing.T) {
	c := config.Config{Limits: config.Limits{Sockets: 5000}}
	if err := c.Descriptors(5000); err != nil {
		t.Fatal(err)
	}
	err := c.Descriptors(1024)
	for _, want := range []string{"limits.sockets", "5000", "1024"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Fatal(err)
		}
	}
}
