package reactor

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/net/loop"
)

// chanHandler is a handler that sends its events to channels.
type chanHandler struct {
	up   chan *Conn
	data chan []byte
	down chan error
}

func newChanHandler() *chanHandler {
	return &chanHandler{make(chan *Conn, 9), make(chan []byte, 1000), make(chan error, 1)}
}

func (r *chanHandler) Up(c *Conn)             { r.up <- c }
func (r *chanHandler) Data(_ *Conn, b []byte) { r.data <- bytes.Clone(b) }
func (r *chanHandler) Down(_ *Conn, e error)  { r.down <- e }

func start(t *testing.T) (*Reactor, func(func())) {
	t.Helper()
	l := loop.New()
	r, err := New(l, 1<<20)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	go l.Run(ctx)
	t.Cleanup(func() { r.Stop(); cancel() })
	return r, func(f func()) {
		done := make(chan bool)
		l.Post(func() { f(); close(done) })
		<-done
	}
}

// The engine's own dialing connected to 127.0.0.1 whatever the address, and reported a refused connect as established.
// The listener therefore uses another address of the loopback range.
func TestDial(t *testing.T) {
	r, onLoop := start(t)
	ln, err := net.Listen("tcp", "127.8.0.3:0")
	if err != nil {
		t.Fatal(err)
	}
	h := newChanHandler()
	onLoop(func() { r.Dial(ln.Addr().String(), 5*time.Second, h) })
	c := <-h.up
	peer, err := ln.Accept()
	if err != nil {
		t.Fatal(err)
	}
	onLoop(func() { err = c.Write([]byte("one "), []byte("two")) })
	got := make([]byte, 7)
	if _, readErr := io.ReadFull(peer, got); err != nil || readErr != nil || string(got) != "one two" || !c.Sent(7) {
		t.Fatalf("%q %v %v", got, err, readErr)
	}
	if _, err = peer.Write([]byte("back")); err != nil {
		t.Fatal(err)
	}
	if b := <-h.data; string(b) != "back" {
		t.Fatalf("%q", b)
	}
	_ = peer.Close()
	<-h.down
	_ = ln.Close()
	h = newChanHandler()
	onLoop(func() { r.Dial(ln.Addr().String(), 5*time.Second, h) })
	select {
	case <-h.up:
		t.Fatal("Up was called for a refused connect")
	case err := <-h.down:
		if !errors.Is(err, syscall.ECONNREFUSED) {
			t.Fatal(err)
		}
	}
}

// The engine's vectored write loses the pieces behind a partial one: a peer that reads late must still receive every
// byte in order, and Sent must not return true before that.
func TestVectoredWriteToSlowReader(t *testing.T) {
	r, onLoop := start(t)
	h, opened := newChanHandler(), make(chan *Conn, 1)
	ln, err := r.Listen("tcp", "127.0.0.1:0", nil, func(c *Conn) Handler { opened <- c; return h })
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	peer, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := <-opened
	var want []byte
	for i := range 400 {
		a, b, z := bytes.Repeat([]byte{byte(i)}, 1000), []byte{1, 2, byte(i)}, bytes.Repeat([]byte{byte(255 - i)}, 9000)
		onLoop(func() { err = c.Write(a, b, nil, z) })
		if err != nil { // above the limit of unsent bytes the connection is closed
			break
		}
		want = append(append(append(want, a...), b...), z...)
		onLoop(func() { err = c.socket.Load().SetWriteBuffer(4096) })
		if !c.Sent(c.StreamOffset()) {
			break
		}
	}
	if c.Sent(c.StreamOffset()) {
		t.Fatal("no bytes are unsent, so the test checks nothing")
	}
	// If there are unsent bytes, the engine buffers a vectored write and reports it as written.
	onLoop(func() { err = c.Write([]byte("the "), []byte("last")) })
	if want = append(want, "the last"...); err != nil || c.Sent(c.StreamOffset()) {
		t.Fatal("unsent bytes were counted as written", err)
	}
	got := make([]byte, len(want))
	if _, err := io.ReadFull(peer, got); err != nil || !bytes.Equal(got, want) {
		t.Fatal("bytes were lost or reordered", err)
	}
}
