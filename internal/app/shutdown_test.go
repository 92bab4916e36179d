package app

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/failpoint"
	"brackendale/internal/journal"
	"brackendale/internal/testing/standin"
)

// listenFullBacklog listens with a backlog for one connection, which is in use: a further connection is established
// only after that one is accepted.
func listenFullBacklog(t *testing.T) net.Listener {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	rawListener, err := listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = rawListener.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	if err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close(); listener.Close() })
	return listener
}

// The phases of a graceful shutdown: requests are read before the signal, between the signal and the close of the
// connections, and after that; the signal arrives twice; the connection of an attempt is not established. Requests
// that were read get a reply, requests that were not are not accepted, each client reads the end of its connection
// and no reset, and the next incarnation finds the attempt as not sent.
func TestShutdownPhases(t *testing.T) {
	appliance := newAppliance(t)
	text := strings.Replace(fmt.Sprintf(applianceConfig, 0.5, 0, appliance.amqpAddr, appliance.respAddr),
		`effect = "repeatable"`, `effect = "once"`, 1)
	text = strings.Replace(text, `dial = "127.0.0.1:9"`, fmt.Sprintf("dial = %q", listenFullBacklog(t).Addr()), 1)
	if err := os.WriteFile(appliance.configFile, []byte(text+"[sender]\nconnect_ms = 30000\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	waitEnded, release := make(chan bool), make(chan bool)
	defer failpoint.SetHook(func(p failpoint.Point) {
		if p == failpoint.ShutdownWaitEnded {
			close(waitEnded)
			<-release
		}
	})()
	appliance.start()
	type client struct {
		net.Conn
		in *bufio.Reader
	}
	dial := func() client {
		conn, err := net.Dial("tcp", appliance.respAddr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(standin.Long))
		return client{conn, bufio.NewReader(conn)}
	}
	command := func(conn client, want string, args ...string) {
		t.Helper()
		text := fmt.Sprintf("*%d\r\n", len(args))
		for _, arg := range args {
			text += fmt.Sprintf("$%d\r\n%s\r\n", len(arg), arg)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			t.Fatal(err)
		}
		if got, err := conn.in.ReadString('\n'); got != want+"\r\n" {
			t.Fatalf("%v: %q %v", args, got, err)
		}
	}
	submit := func(conn client, id string) {
		command(conn, "+OK", "SUBMIT", "0", id, "c=note,t=x,d=9000,dest=1", "body")
	}
	before, during, idle := dial(), dial(), dial()
	for _, conn := range []client{before, during, idle} {
		command(conn, "+PONG", "PING")
	}
	submit(before, "before")
	for range 2 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case <-waitEnded:
	case <-time.After(standin.Long):
		t.Fatal("the shutdown does not reach the close of the connections")
	}
	submit(during, "within")
	command(idle, "+PONG", "PING")
	close(release)
	for i, conn := range []client{before, during, idle} {
		if rest, err := io.ReadAll(conn.in); len(rest) > 0 || err != nil {
			t.Errorf("client %d: %q, %v", i, rest, err)
		}
		_, _ = io.WriteString(conn, "*1\r\n$4\r\nPING\r\n")
		conn.Close()
	}
	select {
	case err := <-appliance.exited:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(standin.Long):
		t.Fatal("the sender does not exit")
	}
	stateJournal, err := journal.Open(filepath.Dir(appliance.configFile), 4<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer stateJournal.Close()
	var ids []string
	for _, entry := range stateJournal.Entries() {
		if ids = append(ids, entry.ID); entry.InFlightSince != 0 || entry.FirstRun != 0 || entry.FinalAnswer != "" {
			t.Errorf("%s is recorded as sent: attempts %d, in flight since %d, first run at %d, final answer %q", entry.ID,
				entry.Attempts, entry.InFlightSince, entry.FirstRun, entry.FinalAnswer)
		}
	}
	if strings.Join(ids, " ") != "before within" {
		t.Errorf("messages in the journal: %v", ids)
	}
}
