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

// shortFrameLimit is the time limit for frames in these tests. A client over the limit must get its error within twice
// this time; two sweeps fit into the difference.
const shortFrameLimit = time.Second

// newTestFrontWithFrameLimit starts a front with shortFrameLimit. It uses TLS if keys is not nil.
func newTestFrontWithFrameLimit(t *testing.T, keys *tls.Config) *testFront {
	front := &testFront{t: t, room: conntable.NewSharedLimit(100)}
	front.addr, front.kill = standin.StartWith(t, t.TempDir(), standin.Settings(), 2<<20, keys,
		func(core *sender.Sender, react *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
			limits := Limits(100)
			limits.FirstFrameTimeout, limits.FrameTimeout = shortFrameLimit, shortFrameLimit
			front.react = react
			front.ingress = NewIngress(core, react, Options{Policy: access.OpenPolicy("messages"), Channels: 16},
				front.room.NewTable(limits))
			return front.ingress.Accept
		})
	return front
}

// dialWith opens a client that has sent the protocol header. It uses TLS if keys is not nil.
func dialWith(t *testing.T, addr string, keys *tls.Config) *testClient {
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
	client := &testClient{newFrameConn(conn), t}
	_, _ = client.Write([]byte(amqp.ProtocolHeader))
	return client
}

// incompleteFrame is the header of a body frame with a payload of 4,000 bytes, without the payload.
var incompleteFrame = []byte{amqp.FrameBody, 0, 1, 0, 0, 0x0f, 0xa0}

// byteInterval is long enough that a payload of 4,000 bytes takes more than three times its limit.
const byteInterval = time.Millisecond

// waitForPartialFrame waits until the only session has received part of a frame, and until the loop no longer counts as
// stalled after a slow start, which would prevent connections from being closed for their time limits.
func (tf *testFront) waitForPartialFrame() (s *session) {
	tf.t.Helper()
	for deadline := time.Now().Add(standin.Long); time.Now().Before(deadline); {
		ready := false
		tf.onLoop(func() {
			s = lastSession(tf.ingress)
			ready = s != nil && s.partialFrame.Len() > 0 && !tf.react.Stalled()
		})
		if ready {
			return s
		}
	}
	tf.t.Fatal("the session has received no partial frame")
	return nil
}

// sweepBeforeRead writes bytes that arrive while the loop is busy, and then runs the sweep before the loop reads them.
// With overLimit the client exceeds its limit from then on. It returns the number of connections that remain.
func (tf *testFront) sweepBeforeRead(client *testClient, s *session, data []byte, overLimit bool) (left int) {
	swept := make(chan bool)
	tf.onLoop(func() {
		_, _ = client.Write(data)
		for !s.conn.HasPendingInput() {
			time.Sleep(time.Millisecond)
		}
		tf.react.Post(func() {
			if overLimit {
				tf.ingress.table.Move(&s.Entry, s.Class(), tf.react.Now()-time.Hour)
			}
			tf.ingress.limiter.Due(nil)
			left = tf.ingress.table.Len()
			close(swept)
		})
	})
	<-swept
	return left
}

// plainAndTLS runs a test without TLS and with it.
func plainAndTLS(t *testing.T, test func(t *testing.T, server, client *tls.Config)) {
	t.Run("plain", func(t *testing.T) { test(t, nil, nil) })
	t.Run("tls", func(t *testing.T) {
		server, client := newTLSConfigs(t)
		test(t, server, client)
	})
}

// A frame that has arrived completely within its time limit is handled, even if the loop has not read it when the sweep
// checks the limit.
func TestCompleteFrameUnreadAtTheSweep(t *testing.T) {
	plainAndTLS(t, func(t *testing.T, server, keys *tls.Config) {
		front := newTestFrontWithFrameLimit(t, server)
		client := dialWith(t, front.addr, keys)
		client.handshake(amqp.Table{}, 0)
		whole := amqp.AppendMethod(nil, 1, amqp.Qos, 0, 0, false)
		_, _ = client.Write(whole[:5])
		front.sweepBeforeRead(client, front.waitForPartialFrame(), whole[5:], true)
		client.want(amqp.QosOk)
	})
}

// A client that does not complete its frame in time gets no more time by sending further bytes.
func TestFrameBytesAfterTheLimit(t *testing.T) {
	plainAndTLS(t, func(t *testing.T, server, keys *tls.Config) {
		front := newTestFrontWithFrameLimit(t, server)
		client := dialWith(t, front.addr, keys)
		client.handshake(amqp.Table{}, 0)
		_, _ = client.Write(incompleteFrame)
		s := front.waitForPartialFrame()
		left := front.sweepBeforeRead(client, s, []byte("x"), true)
		// While a read is in progress, it is unknown what has arrived, and the connection is spared until the next check.
		for range 500 {
			if left > 0 {
				time.Sleep(time.Millisecond) // the loop continues to read
				left = front.sweepBeforeRead(client, s, []byte("x"), false)
			}
		}
		if left > 0 {
			t.Fatal("the connection stays open as long as bytes arrive")
		}
		if msg := client.want(amqp.ConnClose); msg.Int(0) != amqp.FrameError {
			t.Fatal(msg.Int(0), msg.Str(1))
		}
	})
}

// Each frame has a time limit of its own, also when no read ends at the end of a frame. A client that sends without
// a pause is not closed.
func TestEachFrameHasItsOwnTimeLimit(t *testing.T) {
	front := newTestFrontWithFrameLimit(t, nil)
	client := dialWith(t, front.addr, nil)
	client.handshake(amqp.Table{}, 0)
	whole := amqp.AppendMethod(nil, 1, amqp.Qos, 0, 0, false)
	_, _ = client.Write(whole[:5])
	s := front.waitForPartialFrame()
	front.onLoop(func() {
		front.ingress.table.Move(&s.Entry, s.Class(), front.react.Now()-shortFrameLimit+shortFrameLimit/4)
	})
	_, _ = client.Write(append(whole[5:len(whole):len(whole)], whole[:5]...))
	client.want(amqp.QosOk)
	front.onLoop(func() {
		if age := front.react.Now() - s.EnteredAt(); s.Class() != conntable.Partial ||
			age >= shortFrameLimit-shortFrameLimit/4 {
			t.Errorf("age of the new frame %v, class of the connection %v", age, s.Class())
		}
	})
	_, _ = client.Write(whole[5:])
	client.want(amqp.QosOk)
}

// Clients that never complete a frame, or the handshake, are closed in time, however often they send a byte.
func TestFramesSentByteByByte(t *testing.T) {
	plainAndTLS(t, func(t *testing.T, server, keys *tls.Config) {
		front := newTestFrontWithFrameLimit(t, server)
		var wg sync.WaitGroup
		for i := range 40 {
			client := dialWith(t, front.addr, keys)
			ready := i%4 > 0 // every fourth client does not complete the AMQP handshake
			if ready {
				client.handshake(amqp.Table{}, 0)
			} else {
				client.want(amqp.ConnStart)
			}
			began := time.Now()
			_, _ = client.Write(incompleteFrame)
			go func() {
				for _, err := client.Write([]byte("x")); err == nil; _, err = client.Write([]byte("x")) {
					time.Sleep(byteInterval)
				}
			}()
			wg.Add(1)
			go func() {
				defer wg.Done()
				_, msg, err := client.next()
				switch {
				case time.Since(began) > 3*shortFrameLimit:
					t.Errorf("client %d: closed after %v", i, time.Since(began))
				case ready && (err != nil || msg.Key != amqp.ConnClose || msg.Int(0) != amqp.FrameError):
					t.Errorf("client %d: got %v, error %v, want connection.close with a frame error", i, msg, err)
				case !ready && err == nil && msg.Key != amqp.ConnClose:
					t.Errorf("client %d in the handshake: got %v, want connection.close", i, msg)
				case !ready && errors.Is(err, os.ErrDeadlineExceeded):
					t.Errorf("client %d in the handshake: not closed", i)
				}
			}()
		}
		wg.Wait()
	})
}
