package amqpfront

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"sync"
	"testing"
	"time"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/sender"
)

// dribbleLimit is the frame's limit of these tests: half the time in which clients are owed their error, and two sweeps
// fit in beside it.
const dribbleLimit = time.Second

// newLimitedCrowd is a crowd whose frames have dribbleLimit, under TLS where keys are given.
func newLimitedCrowd(t *testing.T, keys *tls.Config) *crowd {
	c := &crowd{t: t, room: conntable.NewSharedLimit(100)}
	c.addr, c.kill = standin.StartWith(t, t.TempDir(), standin.Settings(), 2<<20, keys,
		func(core *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
			limits := Limits(100)
			limits.FirstFrameTimeout, limits.FrameTimeout = dribbleLimit, dribbleLimit
			c.r = r
			c.in = NewIngress(core, r, Options{Policy: access.Anyone("messages"), Channels: 16}, c.room.NewTable(limits))
			return c.in.Accept
		})
	return c
}

// dialWith opens a client, under TLS where keys are given.
func dialWith(t *testing.T, addr string, keys *tls.Config) *client {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(standin.Long))
	if keys != nil {
		conn = tls.Client(conn, keys)
	}
	cl := &client{newSide(conn), t}
	_, _ = cl.Write([]byte(amqp.Preamble))
	return cl
}

// halfFrame announces a body frame of 4,000 bytes and ends behind its header.
var halfFrame = []byte{amqp.FrameBody, 0, 1, 0, 0, 0x0f, 0xa0}

// dribbleGap lets a frame of 4,000 bytes last for longer than three times its limit.
const dribbleGap = time.Millisecond

// begunFrame waits until the one session has begun a frame, and until connections may be closed for their limits: not
// right behind a start that took long.
func (c *crowd) begunFrame() (s *session) {
	c.t.Helper()
	for until := time.Now().Add(standin.Long); time.Now().Before(until); {
		begun := false
		c.on(func() {
			s = firstOf(c.in)
			begun = s != nil && s.partialFrame.Len() > 0 && !c.r.Stalled()
		})
		if begun {
			return s
		}
	}
	c.t.Fatal("no frame has begun")
	return nil
}

// unreadAtSweep writes bytes that arrive while the loop stands still, and then lets the sweep run ahead of their
// reading. overLimit: the client exceeds its limit from then on. It returns how many connections are left.
func (c *crowd) unreadAtSweep(cl *client, s *session, text []byte, overLimit bool) (left int) {
	swept := make(chan bool)
	c.on(func() {
		_, _ = cl.Write(text)
		for !s.conn.HasPendingInput() {
			time.Sleep(time.Millisecond)
		}
		c.r.Post(func() {
			if overLimit {
				c.in.table.Move(&s.Entry, s.Class(), c.r.Now()-time.Hour)
			}
			c.in.limiter.Due(nil)
			left = c.in.table.Len()
			close(swept)
		})
	})
	<-swept
	return left
}

// eachWire runs a test without and with TLS.
func eachWire(t *testing.T, test func(t *testing.T, server, client *tls.Config)) {
	t.Run("plain", func(t *testing.T) { test(t, nil, nil) })
	t.Run("tls", func(t *testing.T) {
		server, client := siteKeys(t)
		test(t, server, client)
	})
}

// A frame that arrived whole before its limit is handled though the loop has not read it when the limit is looked at.
func TestWholeFrameUnreadAtTheSweep(t *testing.T) {
	eachWire(t, func(t *testing.T, server, keys *tls.Config) {
		c := newLimitedCrowd(t, server)
		cl := dialWith(t, c.addr, keys)
		cl.shake(amqp.Table{}, 0)
		whole := amqp.AppendMethod(nil, 1, amqp.Qos, 0, 0, false)
		_, _ = cl.Write(whole[:5])
		c.unreadAtSweep(cl, c.begunFrame(), whole[5:], true)
		cl.want(amqp.QosOk)
	})
}

// Bytes that arrive after the limit give a client that never ends its frame no more time.
func TestFrameBytesAfterTheLimit(t *testing.T) {
	eachWire(t, func(t *testing.T, server, keys *tls.Config) {
		c := newLimitedCrowd(t, server)
		cl := dialWith(t, c.addr, keys)
		cl.shake(amqp.Table{}, 0)
		_, _ = cl.Write(halfFrame)
		s := c.begunFrame()
		left := c.unreadAtSweep(cl, s, []byte("x"), true)
		// A read in progress may hide what has arrived, which is looked at again then.
		for range 500 {
			if left > 0 {
				time.Sleep(time.Millisecond) // the engine goes on reading
				left = c.unreadAtSweep(cl, s, []byte("x"), false)
			}
		}
		if left > 0 {
			t.Fatal("it holds its place as long as bytes come")
		}
		if m := cl.want(amqp.ConnClose); m.Int(0) != amqp.FrameError {
			t.Fatal(m.Int(0), m.Str(1))
		}
	})
}

// The time of a frame begins anew with each frame, also where no read ends with one: a client that streams is not
// closed.
func TestEachFrameHasItsOwnTime(t *testing.T) {
	c := newLimitedCrowd(t, nil)
	cl := dialWith(t, c.addr, nil)
	cl.shake(amqp.Table{}, 0)
	whole := amqp.AppendMethod(nil, 1, amqp.Qos, 0, 0, false)
	_, _ = cl.Write(whole[:5])
	s := c.begunFrame()
	c.on(func() { c.in.table.Move(&s.Entry, s.Class(), c.r.Now()-dribbleLimit+dribbleLimit/4) })
	_, _ = cl.Write(append(whole[5:len(whole):len(whole)], whole[:5]...))
	cl.want(amqp.QosOk)
	c.on(func() {
		if age := c.r.Now() - s.EnteredAt(); s.Class() != conntable.Partial || age >= dribbleLimit-dribbleLimit/4 {
			t.Errorf("the new frame is %v old, class %v", age, s.Class())
		}
	})
	_, _ = cl.Write(whole[5:])
	cl.want(amqp.QosOk)
}

// Clients that never end a frame, or the handshake, are closed within the time that is owed, however often they send.
func TestDribbledFrames(t *testing.T) {
	eachWire(t, func(t *testing.T, server, keys *tls.Config) {
		c := newLimitedCrowd(t, server)
		var wg sync.WaitGroup
		for i := range 40 {
			cl := dialWith(t, c.addr, keys)
			ready := i%4 > 0 // the others stop in the AMQP handshake
			if ready {
				cl.shake(amqp.Table{}, 0)
			} else {
				cl.want(amqp.ConnStart)
			}
			began := time.Now()
			_, _ = cl.Write(halfFrame)
			go func() {
				for _, err := cl.Write([]byte("x")); err == nil; _, err = cl.Write([]byte("x")) {
					time.Sleep(dribbleGap)
				}
			}()
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, m, err := cl.next()
				switch {
				case time.Since(began) > 3*dribbleLimit:
					t.Errorf("client %d is closed after %v", i, time.Since(began))
				case ready && (err != nil || m.Key != amqp.ConnClose || m.Int(0) != amqp.FrameError):
					t.Errorf("client %d: %v, %v", i, m, err)
				case !ready && err == nil && m.Key != amqp.ConnClose:
					t.Errorf("client %d in its handshake: %v", i, m)
				case !ready && errors.Is(err, os.ErrDeadlineExceeded):
					t.Errorf("client %d in its handshake is not closed", i)
				}
			}()
		}
		wg.Wait()
	})
}
