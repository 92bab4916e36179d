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

var errLate = errors.New("not as it should be")

// only is the client of the one connection, once connections may be closed for their limits: not right behind a start
// that took long.
func (w *world) only() (cl *client) {
	for stalled := true; stalled; {
		w.held(func() { stalled = w.r.Stalled() })
	}
	w.held(func() {
		w.in.table.Each(func(e *conntable.Entry) { cl, _ = e.Owner().(*client) })
	})
	return cl
}

// unreadAtSweep writes bytes that arrive while the loop stands still, and then lets the sweep run ahead of their
// reading. overLimit: the client exceeds its limit from then on. It returns how many connections are left.
func (w *world) unreadAtSweep(c *raw, cl *client, text string, overLimit bool) (left int) {
	swept := make(chan bool)
	w.held(func() {
		_, _ = io.WriteString(c, text)
		for !cl.conn.HasPendingInput() {
			time.Sleep(time.Millisecond)
		}
		w.r.Post(func() {
			if overLimit {
				w.in.table.Move(&cl.Entry, cl.Class(), w.r.Now()-time.Hour)
			}
			w.in.limiter.Due(nil)
			left = w.in.table.Len()
			close(swept)
		})
	})
	<-swept
	return left
}

// A command that arrived whole before its limit is answered though the loop has not read it when the limit is checked.
func TestWholeCommandUnreadAtTheSweep(t *testing.T) {
	for name, first := range map[string]string{"fresh": "", "partial": "PING"} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			addr, _ := w.start()
			c := dialRaw(t, addr)
			if first != "" {
				c.ping()
			}
			_, _ = io.WriteString(c, "*1\r\n$4\r\nPI")
			for n := 0; n == 0; {
				w.held(func() { n = w.in.table.Counts()[conntable.Partial] + w.in.table.Counts()[conntable.Fresh] })
			}
			cl := w.only()
			for begun := false; !begun; {
				w.held(func() { begun = cl.buffer.Len() > 0 })
			}
			w.unreadAtSweep(c, cl, "NG\r\n", true)
			if got, err := c.line(); got != "+PONG" {
				t.Fatal(got, err)
			}
		})
	}
}

// Bytes that arrive after the limit give a client that never ends its command no more time.
func TestBytesAfterTheLimit(t *testing.T) {
	for name, first := range map[string]string{"fresh": "", "partial": "PING"} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			addr, _ := w.start()
			c := dialRaw(t, addr)
			if first != "" {
				c.ping()
			}
			_, _ = io.WriteString(c, "*1\r\n$60000\r\n")
			var cl *client
			for cl == nil {
				cl = w.only()
			}
			for begun := false; !begun; {
				w.held(func() { begun = cl.buffer.Len() > 0 })
			}
			left := w.unreadAtSweep(c, cl, "x", true)
			for range 500 { // a read in progress may hide what has arrived, and is looked at again
				if left > 0 {
					time.Sleep(time.Millisecond) // the engine goes on reading
					left = w.unreadAtSweep(c, cl, "x", false)
				}
			}
			if left > 0 {
				t.Fatal("it holds its place as long as bytes come")
			}
			if got, err := c.line(); got != "-ERR no whole command in time" {
				t.Fatal(got, err)
			}
		})
	}
}

// Many clients that never end a command are refused within the page's time, however often they send, and cost those
// that behave nothing.
func TestDribblersAmongHonestClients(t *testing.T) {
	const dribblers, fast, honest = 500, 40, 200
	w := newWorld(t)
	w.most = 1000
	addr, _ := w.start()
	var wg, open sync.WaitGroup
	errs := make(chan error, dribblers+honest)
	done := make(chan bool)
	for i := range honest {
		c := dialRaw(t, addr)
		wg.Add(1)
		go func() {
			defer wg.Done()
			for {
				c.send("PING")
				if got, err := c.line(); got != "+PONG" {
					errs <- fmt.Errorf("honest client %d: %q: %w", i, got, cmp.Or(err, errLate))
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
	for i := range dribblers {
		c := dialRaw(t, addr)
		gap := 20 * time.Millisecond
		if i < fast {
			gap = 500 * time.Microsecond
		}
		began := time.Now()
		_, _ = io.WriteString(c, "*1\r\n$60000\r\n")
		go func() {
			for _, err := c.Write([]byte("x")); err == nil; _, err = c.Write([]byte("x")) {
				time.Sleep(gap)
			}
		}()
		open.Add(1)
		go func() {
			defer open.Done()
			got, err := c.line()
			if after := time.Since(began); !strings.HasPrefix(got, "-ERR no whole") || after > badClientLimit {
				errs <- fmt.Errorf("dribbler %d after %v: %q, %w", i, after, got, cmp.Or(err, errLate))
			}
		}()
	}
	open.Wait()
	close(done)
	wg.Wait()
	close(errs)
	for err := range errs {
		t.Error(err)
	}
}
