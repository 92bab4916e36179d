package platform

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"brackendale/internal/net/conntable"
)

// errUnexpectedReply stands in for the error of a read that returned a wrong reply without one.
var errUnexpectedReply = errors.New("unexpected reply")

// onlyClient returns the client of the only connection, once the event loop no longer counts as stalled: after a slow
// start, connections are not closed for exceeding a limit.
func (env *testEnv) onlyClient() (cl *client) {
	for stalled := true; stalled; {
		env.withLoopPaused(func() { stalled = env.eventLoop.Stalled() })
	}
	env.withLoopPaused(func() {
		env.ingress.table.Each(func(entry *conntable.Entry) { cl, _ = entry.Owner().(*client) })
	})
	return cl
}

// sweepBeforeRead writes bytes that arrive while the event loop is paused, and then runs the sweep before they are
// read. With overLimit, the client exceeds its time limit from then on. It returns the number of connections that
// remain.
func (env *testEnv) sweepBeforeRead(c *rawClient, cl *client, text string, overLimit bool) (remaining int) {
	swept := make(chan bool)
	env.withLoopPaused(func() {
		_, _ = io.WriteString(c, text)
		for !cl.conn.HasPendingInput() {
			time.Sleep(time.Millisecond)
		}
		env.eventLoop.Post(func() {
			if overLimit {
				env.ingress.table.Move(&cl.Entry, cl.Class(), env.eventLoop.Now()-time.Hour)
			}
			env.ingress.limiter.Due(nil)
			remaining = env.ingress.table.Len()
			close(swept)
		})
	})
	<-swept
	return remaining
}

// A command that arrived completely within its time limit is executed although the event loop has not read it when the
// limit is checked.
func TestWholeCommandUnreadAtSweep(t *testing.T) {
	for name, firstCommand := range map[string]string{"fresh": "", "partial": "PING"} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			addr, _ := env.startSender()
			c := dialClient(t, addr)
			if firstCommand != "" {
				c.ping()
			}
			_, _ = io.WriteString(c, "*1\r\n$4\r\nPI")
			for count := 0; count == 0; {
				env.withLoopPaused(func() {
					count = env.ingress.table.Counts()[conntable.Partial] + env.ingress.table.Counts()[conntable.Fresh]
				})
			}
			cl := env.onlyClient()
			for buffered := false; !buffered; {
				env.withLoopPaused(func() { buffered = cl.buffer.Len() > 0 })
			}
			env.sweepBeforeRead(c, cl, "NG\r\n", true)
			if got, err := c.readLine(); got != "+PONG" {
				t.Fatal(got, err)
			}
		})
	}
}

// Bytes that arrive after the command timeout do not extend it.
func TestBytesAfterCommandTimeout(t *testing.T) {
	for name, firstCommand := range map[string]string{"fresh": "", "partial": "PING"} {
		t.Run(name, func(t *testing.T) {
			env := newTestEnv(t)
			addr, _ := env.startSender()
			c := dialClient(t, addr)
			if firstCommand != "" {
				c.ping()
			}
			_, _ = io.WriteString(c, "*1\r\n$60000\r\n")
			var cl *client
			for cl == nil {
				cl = env.onlyClient()
			}
			for buffered := false; !buffered; {
				env.withLoopPaused(func() { buffered = cl.buffer.Len() > 0 })
			}
			remaining := env.sweepBeforeRead(c, cl, "x", true)
			for range 500 { // a read in progress may hide data that has arrived: check again
				if remaining > 0 {
					time.Sleep(time.Millisecond) // the engine continues to read
					remaining = env.sweepBeforeRead(c, cl, "x", false)
				}
			}
			if remaining > 0 {
				t.Fatal("the connection stays open as long as bytes arrive")
			}
			if got, err := c.readLine(); got != "-ERR no whole command in time" {
				t.Fatal(got, err)
			}
		})
	}
}

// Many clients that never complete a command are rejected within the time that the protocol requires, however often
// they send, and well-behaved clients are not affected.
func TestSlowClientsAmongNormalClients(t *testing.T) {
	const slowClients, frequentWriters, normalClients = 500, 40, 200
	env := newTestEnv(t)
	env.maxClients = 1000
	addr, _ := env.startSender()
	var pendingNormal, pendingSlow sync.WaitGroup
	errs := make(chan error, slowClients+normalClients)
	done := make(chan bool)
	for i := range normalClients {
		c := dialClient(t, addr)
		pendingNormal.Add(1)
		go func() {
			defer pendingNormal.Done()
			for {
				c.send("PING")
				if got, err := c.readLine(); got != "+PONG" {
					errs <- fmt.Errorf("normal client %d: %q: %w", i, got, cmp.Or(err, errUnexpectedReply))
					return
				}
				select {
				case <-done:
					return
				case <-time.After(50 * time.Millisecond):
				}
			}
		}()
	}
	for i := range slowClients {
		c := dialClient(t, addr)
		interval := 20 * time.Millisecond
		if i < frequentWriters {
			interval = 500 * time.Microsecond
		}
		start := time.Now()
		_, _ = io.WriteString(c, "*1\r\n$60000\r\n")
		go func() {
			for _, err := c.Write([]byte("x")); err == nil; _, err = c.Write([]byte("x")) {
				time.Sleep(interval)
			}
		}()
		pendingSlow.Add(1)
		go func() {
			defer pendingSlow.Done()
			got, err := c.readLine()
			if elapsed := time.Since(start); !strings.HasPrefix(got, "-ERR no whole") || elapsed > maxCloseDelay {
				errs <- fmt.Errorf("slow client %d after %v: %q, %w", i, elapsed, got, cmp.Or(err, errUnexpectedReply))
			}
		}()
	}
	pendingSlow.Wait()
	close(done)
	pendingNormal.Wait()
	close(errs)
	for err := range errs {
		t.Error(err)
	}
}
