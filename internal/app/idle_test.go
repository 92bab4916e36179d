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

// appliance is a sender that is configured by a file alone and serves AMQP and RESP2 clients. It runs in this process
// until the test ends or a signal arrives.
type appliance struct {
	t                  *testing.T
	configFile         string
	amqpAddr, respAddr string
	exited             chan error
}

const applianceConfig = `[limits]
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

// writeConfig writes the configuration file; share and perAddress are limits of client connections.
func (a *appliance) writeConfig(share float64, perAddress int) {
	a.t.Helper()
	if err := os.WriteFile(a.configFile,
		fmt.Appendf(nil, applianceConfig, share, perAddress, a.amqpAddr, a.respAddr), 0o600); err != nil {
		a.t.Fatal(err)
	}
}

// serveAppliance starts an appliance and waits until it listens.
func serveAppliance(t *testing.T) *appliance {
	t.Helper()
	instance := newAppliance(t)
	instance.start()
	return instance
}

// start starts the appliance with the configuration that was written, and waits until it listens. It is stopped at the
// end of the test.
func (a *appliance) start() {
	a.t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a.exited <- Serve(ctx, a.configFile, Options{})
	}()
	a.t.Cleanup(func() { // the state folder is removed after this cleanup: the sender must no longer write to it
		cancel()
		<-ended
	})
	a.waitListening()
}

// newAppliance writes the configuration file of an appliance, without starting it.
func newAppliance(t *testing.T) *appliance {
	t.Helper()
	freePort := func() string {
		addr, err := fleet.FreePort()
		if err != nil {
			t.Fatal(err)
		}
		return addr
	}
	dir := t.TempDir()
	t.Setenv("LB_STATE", dir)
	instance := &appliance{
		t: t, configFile: filepath.Join(dir, "a.toml"), amqpAddr: freePort(), respAddr: freePort(),
		exited: make(chan error, 1),
	}
	instance.writeConfig(0.5, 0)
	return instance
}

// waitListening waits until the ingresses listen.
func (a *appliance) waitListening() {
	a.t.Helper()
	for started := time.Now(); ; time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", a.amqpAddr); err == nil {
			_ = conn.Close()
			return
		} else if time.Since(started) > standin.Long {
			a.t.Fatal(err)
		}
	}
}

// connectClients opens n AMQP connections with a channel each. The returned channel receives how each was closed.
func (a *appliance) connectClients(count int) chan *amqp091.Error {
	a.t.Helper()
	closed := make(chan *amqp091.Error, count)
	for range count {
		conn, err := amqp091.Dial("amqp://guest:guest@" + a.amqpAddr + "/")
		if err != nil {
			a.t.Fatal(err)
		}
		if _, err := conn.Channel(); err != nil {
			a.t.Fatal(err)
		}
		connClosed := conn.NotifyClose(make(chan *amqp091.Error, 1))
		go func() { closed <- <-connClosed }()
	}
	return closed
}

// waitForcedClose waits until n connections are closed, each with the reply code of a forced close.
func (a *appliance) waitForcedClose(closed chan *amqp091.Error, count int) {
	a.t.Helper()
	for i := range count {
		select {
		case err := <-closed:
			if err == nil || err.Code != amqp091.ConnectionForced {
				a.t.Fatal("the connection was not closed with CONNECTION_FORCED:", err)
			}
		case <-time.After(standin.Long):
			a.t.Fatal("number of connections closed in time:", i)
		}
	}
}

// TestMain runs a sender instead of the tests if the environment or the arguments of the process request it. Tests
// start this program in further processes in this way.
func TestMain(m *testing.M) {
	file := os.Getenv("BRACKENDALE_TEST_SERVE")
	if len(os.Args) == 4 && os.Args[1] == "serve" { // as package fleet starts the program
		file = os.Args[3]
	}
	if killAtPoint := os.Getenv(killEnv); killAtPoint != "" {
		killAt(killAtPoint)
	}
	if os.Getenv(holdConnectionEnv) != "" {
		holdConnectionWhileDraining()
	}
	if clearAt := os.Getenv(clearNonblockEnv); clearAt != "" {
		clearNonblockAt(clearAt)
	}
	faults.Inject()
	if file == "platform" { // LB_CONFIG alone configures the sender
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

// A process that is stopped for longer than two heartbeat intervals and continues keeps its clients: what they sent
// meanwhile is not read yet, so a timeout that passed during the stop must not be treated as an idle client.
func TestStopAndContinue(t *testing.T) {
	appliance := newAppliance(t)
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "BRACKENDALE_TEST_SERVE="+appliance.configFile)
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = cmd.Process.Kill(); _ = cmd.Wait() }()
	appliance.waitListening()
	conn, err := net.Dial("tcp", appliance.amqpAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(standin.Long))
	var buf []byte
	expect := func(key amqp.Key) { // skips heartbeats
		t.Helper()
		for {
			frame, n, err := amqp.ParseFrame(buf, amqp.FrameMax)
			if err != nil {
				t.Fatal(err)
			}
			if buf = buf[n:]; n > 0 && frame.Kind == amqp.FrameMethod {
				if method, err := amqp.ParseMethod(frame.Payload); err != nil || method.Key != key {
					t.Fatal(method, err)
				}
				return
			}
			if n == 0 {
				chunk := make([]byte, 4096)
				n, err := conn.Read(chunk)
				if err != nil {
					t.Fatalf("waiting for %s: %v", key, err)
				}
				buf = append(buf, chunk[:n]...)
			}
		}
	}
	send := func(b []byte) { _, _ = conn.Write(b) } // a closed connection is detected by the next read
	send([]byte(amqp.ProtocolHeader))
	expect(amqp.ConnStart)
	send(amqp.AppendMethod(nil, 0, amqp.ConnStartOk, amqp.Table{}, "PLAIN", "\x00a\x00b", "en_US"))
	expect(amqp.ConnTune)
	send(amqp.AppendMethod(nil, 0, amqp.ConnTuneOk, 8, amqp.FrameMin, 1))
	send(amqp.AppendMethod(nil, 0, amqp.ConnOpen, "/", "", false))
	expect(amqp.ConnOpenOk)
	if err := cmd.Process.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	heartbeat := amqp.AppendFrame(nil, amqp.FrameHeartbeat, 0, nil)
	for range 10 { // for longer than two heartbeat intervals
		send(heartbeat)
		time.Sleep(300 * time.Millisecond)
	}
	if err := cmd.Process.Signal(syscall.SIGCONT); err != nil {
		t.Fatal(err)
	}
	for id := range uint16(8) { // both the timers that expired during the stop and the next ones run
		send(amqp.AppendMethod(nil, id+1, amqp.ChanOpen, ""))
		expect(amqp.ChanOpenOk)
		time.Sleep(200 * time.Millisecond)
	}
}

// A reload that lowers the connection limit closes idle connections down to the limit, with a notice; the others stay
// open, and then the limit per address applies to new connections.
func TestReloadLowersConnectionLimit(t *testing.T) {
	appliance := serveAppliance(t)
	closed := appliance.connectClients(60)
	appliance.writeConfig(0.1, 20)
	if err := syscall.Kill(os.Getpid(), syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	appliance.waitForcedClose(closed, 40)
	if _, err := amqp091.Dial("amqp://guest:guest@" + appliance.amqpAddr + "/"); err == nil {
		t.Fatal("a connection beyond the limit per address was accepted")
	}
	if len(closed) > 0 {
		t.Fatal("more connections were closed than the limit requires")
	}
}

// At SIGTERM every client of both ingresses is notified, and the program exits by itself.
func TestShutdownNotifiesAllClients(t *testing.T) {
	appliance := serveAppliance(t)
	closed := appliance.connectClients(60)
	var respConns []net.Conn
	for range 20 {
		conn, err := net.Dial("tcp", appliance.respAddr)
		if err != nil {
			t.Fatal(err)
		}
		_ = conn.SetDeadline(time.Now().Add(standin.Long))
		if _, err := fmt.Fprint(conn, "*1\r\n$4\r\nPING\r\n"); err != nil {
			t.Fatal(err)
		}
		reply := make([]byte, 7)
		if _, err := conn.Read(reply); err != nil || string(reply) != "+PONG\r\n" {
			t.Fatal(string(reply), err)
		}
		respConns = append(respConns, conn)
	}
	if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	appliance.waitForcedClose(closed, 60)
	for _, conn := range respConns {
		if n, err := conn.Read(make([]byte, 1)); n != 0 || os.IsTimeout(err) {
			t.Fatal(n, err)
		}
	}
	select {
	case err := <-appliance.exited:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(standin.Long):
		t.Fatal("the sender does not exit")
	}
}

// A number of connections beyond the process's limit on open files is reported with the key and both numbers.
func TestConnectionLimitAboveDescriptorLimit(t *testing.T) {
	cfg := config.Config{Limits: config.Limits{Sockets: 5000}}
	if err := cfg.CheckDescriptors(5000); err != nil {
		t.Fatal(err)
	}
	err := cfg.CheckDescriptors(1024)
	for _, want := range []string{"limits.sockets", "5000", "1024"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Fatal(err)
		}
	}
}
