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

// full listens with a backlog that holds one: a further connect comes up only after that one was accepted.
func full(t *testing.T) net.Listener {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	raw, err := ln.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	if err != nil {
		t.Fatal(err)
	}
	c, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close(); ln.Close() })
	return ln
}

// The phases of a graceful shutdown: requests read before the signal, between it and the end, and after that; a
// signal that comes twice; an attempt whose connection is not up. What was read is answered, what was not is not
// accepted, each client reads the end of its connection and no reset, and the next incarnation finds the attempt
// as not sent.
func TestRoundsOfAPlannedEnd(t *testing.T) {
	a := newAppliance(t)
	text := strings.Replace(fmt.Sprintf(applianceFile, 0.5, 0, a.amqp, a.resp), `effect = "repeatable"`,
		`effect = "once"`, 1)
	text = strings.Replace(text, `dial = "127.0.0.1:9"`, fmt.Sprintf("dial = %q", full(t).Addr()), 1)
	if err := os.WriteFile(a.file, []byte(text+"[sender]\nconnect_ms = 30000\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	reached, release := make(chan bool), make(chan bool)
	defer failpoint.SetHook(func(p failpoint.Point) {
		if p == failpoint.ShutdownWaitEnded {
			close(reached)
			<-release
		}
	})()
	go func() { a.done <- Serve(t.Context(), a.file, Options{}) }()
	a.ready()
	type client struct {
		net.Conn
		in *bufio.Reader
	}
	dial := func() client {
		c, err := net.Dial("tcp", a.resp)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		_ = c.SetDeadline(time.Now().Add(standin.Long))
		return client{c, bufio.NewReader(c)}
	}
	say := func(c client, want string, words ...string) {
		t.Helper()
		text := fmt.Sprintf("*%d\r\n", len(words))
		for _, w := range words {
			text += fmt.Sprintf("$%d\r\n%s\r\n", len(w), w)
		}
		if _, err := io.WriteString(c, text); err != nil {
			t.Fatal(err)
		}
		if got, err := c.in.ReadString('\n'); got != want+"\r\n" {
			t.Fatalf("%v: %q %v", words, got, err)
		}
	}
	submit := func(c client, id string) { say(c, "+OK", "SUBMIT", "0", id, "c=note,t=x,d=9000,dest=1", "body") }
	before, within, rests := dial(), dial(), dial()
	for _, c := range []client{before, within, rests} {
		say(c, "+PONG", "PING")
	}
	submit(before, "before")
	for range 2 {
		if err := syscall.Kill(os.Getpid(), syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}
	select {
	case <-reached:
	case <-time.After(standin.Long):
		t.Fatal("the end is never reached")
	}
	submit(within, "within")
	say(rests, "+PONG", "PING")
	close(release)
	for i, c := range []client{before, within, rests} {
		if rest, err := io.ReadAll(c.in); len(rest) > 0 || err != nil {
			t.Errorf("client %d: %q, %v", i, rest, err)
		}
		_, _ = io.WriteString(c, "*1\r\n$4\r\nPING\r\n")
		c.Close()
	}
	select {
	case err := <-a.done:
		if err != nil {
			t.Fatal(err)
		}
	case <-time.After(standin.Long):
		t.Fatal("it does not end")
	}
	sp, err := journal.Open(filepath.Dir(a.file), 4<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer sp.Close()
	var ids []string
	for _, e := range sp.Entries() {
		if ids = append(ids, e.ID); e.InFlightSince != 0 || e.FirstRun != 0 || e.FinalAnswer != "" {
			t.Errorf("%s is not as one that never left: attempts %d, out since %d, may have run at %d, end %q", e.ID,
				e.Attempts, e.InFlightSince, e.FirstRun, e.FinalAnswer)
		}
	}
	if strings.Join(ids, " ") != "before within" {
		t.Errorf("held: %v", ids)
	}
}
