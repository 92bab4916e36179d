package reactor

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"testing"
	"time"

	"brackendale/internal/failpoint"
)

// reuseTries bounds the attempts to let a new connection get the descriptor of a closed one; other goroutines of the
// test program open files, too.
const reuseTries = 20

// echoListener is a listener whose connections send back what they receive.
type echoListener struct {
	t     *testing.T
	r     *Reactor
	ln    *Listener
	conns chan *Conn // the accepted connections

	accepting func() // called for each on the loop, before it has a handler; nil: none
}

func newEchoListener(t *testing.T) *echoListener {
	t.Helper()
	e := &echoListener{t: t, r: newTLSReactor(t).r, conns: make(chan *Conn, 9)}
	ln, err := e.r.Listen("tcp", "127.0.0.1:0", nil, func(c *Conn) Handler {
		if e.accepting != nil {
			e.accepting()
		}
		e.conns <- c
		return &echo{down: make(chan error, 1)}
	})
	if err != nil {
		t.Fatal(err)
	}
	e.ln = ln
	t.Cleanup(func() { _ = ln.Close() })
	return e
}

func (e *echoListener) dial() *net.TCPConn {
	e.t.Helper()
	c, err := net.Dial("tcp", e.ln.Addr().String())
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { _ = c.Close() })
	tcp, _ := c.(*net.TCPConn)
	_ = tcp.SetDeadline(time.Now().Add(testTimeout))
	return tcp
}

// runOnLoop runs f on the loop's goroutine.
func (e *echoListener) runOnLoop(f func()) {
	done := make(chan bool)
	e.r.Post(func() { f(); close(done) })
	<-done
}

// checkEcho fails the test unless the connection sends back what is written to it.
func (e *echoListener) checkEcho(c net.Conn) {
	e.t.Helper()
	got := make([]byte, 4)
	_, _ = io.WriteString(c, "ping")
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "ping" {
		e.t.Fatalf("the connection echoes %q, %v", got, err)
	}
}

// fillBelow opens files until all descriptors below the given one are in use, and returns the file with the lowest, if
// any. When that is closed, the next accept uses its descriptor, and the duplicate of the accepted socket uses the
// given descriptor if that is closed by then.
func fillBelow(t *testing.T, descriptor int) (lowest *os.File) {
	t.Helper()
	for {
		file, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = file.Close() })
		if int(file.Fd()) > descriptor {
			return lowest
		}
		if lowest == nil {
			lowest = file
		}
	}
}

// An event of a closed connection that the engine had received, but not yet handled, closed a new connection with the
// same descriptor.
func TestStaleEventOnAReusedDescriptor(t *testing.T) {
	for range reuseTries {
		if staleEventOnAReusedDescriptor(t) {
			return
		}
	}
	t.Fatal("no new connection got the descriptor, so the test checks nothing")
}

func staleEventOnAReusedDescriptor(t *testing.T) (reused bool) {
	t.Helper()
	e := newEchoListener(t)
	spare, err := os.Open(os.DevNull) // below the descriptors that follow
	if err != nil {
		t.Fatal(err)
	}
	busy := e.dial()
	<-e.conns
	e.checkEcho(busy)
	oldClient := e.dial()
	oldConn := <-e.conns
	e.checkEcho(oldClient)
	_ = spare.Close()
	descriptor := oldConn.socket.Load().Hash()
	reached, release := make(chan bool), make(chan bool)
	var holding atomic.Bool
	holding.Store(true)
	defer SetFaultHook(func(call SocketCall, addr string) *SocketFault {
		if call == CallRead && addr == busy.LocalAddr().String() && holding.Load() {
			reached <- true
			<-release
		}
		return nil
	})()
	_, _ = io.WriteString(busy, "1")
	<-reached // the engine is blocked in this event
	_, _ = io.WriteString(busy, "2")
	_ = oldClient.Close()
	release <- true
	<-reached // now it is blocked in the event of the next byte, with the end of the other connection received behind it
	e.ln.Pause()
	newClient := e.dial() // waits in the backlog
	if lowest := fillBelow(t, descriptor); lowest != nil {
		_ = lowest.Close()
		e.runOnLoop(oldConn.Close)
		e.ln.Resume()
		conn := <-e.conns
		e.runOnLoop(func() {}) // it is established, unless the barrier delays it
		reused = conn.socket.Load().Hash() == descriptor
	}
	holding.Store(false)
	release <- true
	if reused {
		e.checkEcho(newClient)
	}
	return reused
}

// The graceful close of a connection that the engine had already closed shut down the sending side of a new connection
// with the same descriptor.
func TestGracefulCloseOnAReusedDescriptor(t *testing.T) {
	for range reuseTries {
		if gracefulCloseOnAReusedDescriptor(t) {
			return
		}
	}
	t.Fatal("no new connection got the descriptor, so the test checks nothing")
}

func gracefulCloseOnAReusedDescriptor(t *testing.T) (reused bool) {
	t.Helper()
	e := newEchoListener(t)
	spare, err := os.Open(os.DevNull) // below the descriptors that follow
	if err != nil {
		t.Fatal(err)
	}
	oldClient := e.dial()
	oldConn := <-e.conns
	e.checkEcho(oldClient)
	_ = spare.Close()
	descriptor := oldConn.socket.Load().Hash()
	accepted := make(chan bool, 9)
	defer failpoint.SetHook(func(p failpoint.Point) {
		if p == failpoint.ConnectionAccepted {
			accepted <- true
		}
	})()
	e.ln.Pause()
	newClient := e.dial()    // waits in the backlog, unless an accept under way takes it; then the test tries again
	fillBelow(t, descriptor) // the close of the client's descriptor lets the accept succeed
	open := false
	e.runOnLoop(func() { // the loop handles the end of the old connection after accepting the new one
		_ = oldClient.SetLinger(0)
		_ = oldClient.Close()
		for closed := false; !closed; {
			time.Sleep(time.Millisecond)
			closed, _ = oldConn.socket.Load().IsClosed()
		}
		e.accepting = func() {
			open = !oldConn.IsClosing()
			oldConn.CloseGracefully()
		}
		e.ln.Resume()
		<-accepted
		time.Sleep(5 * time.Millisecond) // until it is posted; if that takes longer, the test tries again
	})
	conn := <-e.conns
	e.runOnLoop(func() { reused = open && conn.socket.Load().Hash() == descriptor })
	if reused {
		e.checkEcho(newClient)
	}
	return reused
}
