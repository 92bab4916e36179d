package reactor

import (
	"bytes"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"
)

// accepted opens a connection and returns the peer's end, the accepted end and its handler.
func accepted(t *testing.T, r *Reactor) (net.Conn, *Conn, *chanHandler) {
	t.Helper()
	h, opened := newChanHandler(), make(chan *Conn, 1)
	ln, err := r.Listen("tcp", "127.0.0.1:0", nil, func(c *Conn) Handler { opened <- c; return h })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { peer.Close() })
	_ = peer.SetDeadline(time.Now().Add(20 * time.Second))
	c := <-opened
	<-h.up
	return peer, c, h
}

// Bytes from the peer arrive while this side closes the connection gracefully: the peer must read the last reply and
// then the end of the stream, not a reset, and the handler must not receive the bytes. The loop is blocked while they
// arrive.
func TestGracefulCloseWithUnreadInput(t *testing.T) {
	r, onLoop := start(t)
	peer, c, h := accepted(t, r)
	onLoop(func() {
		if _, err := io.WriteString(peer, "one more"); err != nil {
			t.Error(err)
		}
		if c.HasPendingInput() == false {
			t.Error("no input is unread, so the test checks nothing")
		}
		if err := c.Write([]byte("the last answer")); err != nil {
			t.Error(err)
		}
		c.CloseGracefully()
		if c.CloseGracefully(); !c.IsClosing() || c.Write([]byte("more")) == nil {
			t.Error("the connection can still be written to")
		}
	})
	got, err := io.ReadAll(peer)
	if string(got) != "the last answer" || err != nil {
		t.Errorf("%q, %v", got, err)
	}
	peer.Close()
	<-h.down
	if len(h.data) > 0 {
		t.Errorf("the handler received %q", <-h.data)
	}
}

// Bytes that are unsent when a graceful close starts are still sent, and the end of the stream after them.
func TestGracefulCloseWithUnsentBytes(t *testing.T) {
	r, onLoop := start(t)
	peer, c, h := accepted(t, r)
	want := bytes.Repeat([]byte("0123456789abcdef"), 20<<10)
	onLoop(func() {
		_ = c.socket.Load().SetWriteBuffer(4096)
		_ = syscall.SetsockoptInt(c.socket.Load().Hash(), syscall.SOL_SOCKET, syscall.SO_SNDBUF, 4096)
		if err := c.Write(want); err != nil {
			t.Error(err)
		}
		if c.Sent(c.StreamOffset()) {
			t.Error("no bytes are unsent, so the test checks nothing")
		}
		c.CloseGracefully()
	})
	got, err := io.ReadAll(peer)
	if !bytes.Equal(got, want) || err != nil {
		t.Errorf("%d of %d bytes, %v", len(got), len(want), err)
	}
	peer.Close()
	<-h.down
}

// A graceful close ends after a timeout if the peer does not close its side or keeps sending, and the number of
// graceful closes in progress is limited.
func TestGracefulClosesAreBounded(t *testing.T) {
	r, onLoop := start(t)
	var peers []net.Conn
	var handlers []*chanHandler
	var all []*Conn
	for range maxGracefulCloses + 2 {
		peer, c, h := accepted(t, r)
		peers, all, handlers = append(peers, peer), append(all, c), append(handlers, h)
	}
	onLoop(func() {
		for _, c := range all {
			c.CloseGracefully()
		}
		if r.finishing != maxGracefulCloses {
			t.Errorf("%d graceful closes in progress", r.finishing)
		}
	})
	go func() { // one peer keeps sending
		for {
			if _, err := peers[0].Write(make([]byte, 1000)); err != nil {
				return
			}
		}
	}()
	for _, h := range handlers {
		<-h.down
	}
	onLoop(func() {
		if r.finishing != 0 {
			t.Errorf("%d graceful closes still in progress", r.finishing)
		}
	})
}

// All sockets, dialed and accepted, send small writes at once: bytes that the system delays would be lost by a reset.
func TestNoDelay(t *testing.T) {
	r, onLoop := start(t)
	_, in, _ := accepted(t, r)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	h := newChanHandler()
	out := r.Dial(ln.Addr().String(), 20*time.Second, h)
	<-h.up
	onLoop(func() {
		for _, c := range []*Conn{in, out} {
			if on, err := syscall.GetsockoptInt(c.socket.Load().Hash(), syscall.IPPROTO_TCP, syscall.TCP_NODELAY); on == 0 ||
				err != nil {
				t.Errorf("small writes are delayed: %d, %v", on, err)
			}
		}
	})
}

// Bytes count as unread from their arrival until the handler receives them, also while the engine reads them from the
// socket and while they are in the loop's queue.
func TestUnread(t *testing.T) {
	r, onLoop := start(t)
	peer, c, h := accepted(t, r)
	onLoop(func() {
		if c.HasPendingInput() || !c.AllInputReceived() {
			t.Error("input is unread before any was sent")
		}
		if _, err := io.WriteString(peer, "x"); err != nil {
			t.Error(err)
		}
		for range 1000 { // during the engine's read: the byte is in the socket, in the read, then in the loop's queue
			if !c.HasPendingInput() || c.AllInputReceived() {
				t.Error("the byte does not count as unread")
				return
			}
		}
	})
	<-h.data
	onLoop(func() {
		if c.HasPendingInput() || !c.AllInputReceived() {
			t.Error("input that the handler has received counts as unread")
		}
		_ = peer.(*net.TCPConn).CloseWrite()
		for c.AllInputReceived() {
		}
		// while a read is in progress, it is not known that it returns only the end of the stream
		for end := time.Now().Add(20 * time.Second); c.HasPendingInput(); {
			if time.Now().After(end) {
				t.Error("the end of the stream alone counts as unread bytes")
				return
			}
		}
	})
	if err := <-h.down; !errors.Is(err, io.EOF) {
		t.Error(err)
	}
}
