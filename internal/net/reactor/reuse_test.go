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

// reuseTries bounds the attempts at giving a newcomer the descriptor of a closed connection: other goroutines of the
// test program open files, too.
const reuseTries = 20

// echoes is a listener whose connections echo.
type echoes struct {
	t     *testing.T
	r     *Reactor
	ln    *Listener
	conns chan *Conn // accepted, with a handler

	accepting func() // called for each, on the loop; nil: nothing
}

func newEchoes(t *testing.T) *echoes {
	t.Helper()
	e := &echoes{t: t, r: newPair(t).r, conns: make(chan *Conn, 9)}
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

func (e *echoes) dial() *net.TCPConn {
	e.t.Helper()
	c, err := net.Dial("tcp", e.ln.Addr().String())
	if err != nil {
		e.t.Fatal(err)
	}
	e.t.Cleanup(func() { _ = c.Close() })
	tcp, _ := c.(*net.TCPConn)
	_ = tcp.SetDeadline(time.Now().Add(long))
	return tcp
}

// on runs f on the loop.
func (e *echoes) on(f func()) {
	done := make(chan bool)
	e.r.Post(func() { f(); close(done) })
	<-done
}

// saysBack fails the test unless the connection echoes.
func (e *echoes) saysBack(c net.Conn) {
	e.t.Helper()
	got := make([]byte, 4)
	_, _ = io.WriteString(c, "ping")
	if _, err := io.ReadFull(c, got); err != nil || string(got) != "ping" {
		e.t.Fatalf("the new connection says %q, %v", got, err)
	}
}

// fillBelow opens files until all descriptors below one are taken, and returns the file with the lowest, if there is
// one: closed, it makes room for the next accept, whose duplicate takes the named descriptor if that is closed then.
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

// An event of a closed connection that the engine has in hand ends a new one, which has got its descriptor.
func TestStaleEventOnAReusedDescriptor(t *testing.T) {
	for range reuseTries {
		if staleEventOnAReusedDescriptor(t) {
			return
		}
	}
	t.Fatal("no newcomer has got the descriptor: nothing is tested")
}

func staleEventOnAReusedDescriptor(t *testing.T) (reused bool) {
	t.Helper()
	e := newEchoes(t)
	spare, err := os.Open(os.DevNull) // below the descriptors that follow
	if err != nil {
		t.Fatal(err)
	}
	busy := e.dial()
	<-e.conns
	e.saysBack(busy)
	gone := e.dial()
	old := <-e.conns
	e.saysBack(gone)
	_ = spare.Close()
	descriptor := old.socket.Load().Hash()
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
	<-reached // the engine stands still with this event
	_, _ = io.WriteString(busy, "2")
	_ = gone.Close()
	release <- true
	<-reached // and now with that of the next byte, and behind it the end of the other connection
	e.ln.Pause()
	newcomer := e.dial() // waits in the backlog
	if lowest := fillBelow(t, descriptor); lowest != nil {
		_ = lowest.Close()
		e.on(old.Close)
		e.ln.Resume()
		conn := <-e.conns
		e.on(func() {}) // it is established, if nothing is waited for
		reused = conn.socket.Load().Hash() == descriptor
	}
	holding.Store(false)
	release <- true
	if reused {
		e.saysBack(newcomer)
	}
	return reused
}

// The graceful close of a connection that the engine has closed already shuts the sending side of a new one, which has
// got its descriptor.
func TestGracefulCloseOnAReusedDescriptor(t *testing.T) {
	for range reuseTries {
		if gracefulCloseOnAReusedDescriptor(t) {
			return
		}
	}
	t.Fatal("no newcomer has got the descriptor: nothing is tested")
}

func gracefulCloseOnAReusedDescriptor(t *testing.T) (reused bool) {
	t.Helper()
	e := newEchoes(t)
	spare, err := os.Open(os.DevNull) // below the descriptors that follow
	if err != nil {
		t.Fatal(err)
	}
	gone := e.dial()
	old := <-e.conns
	e.saysBack(gone)
	_ = spare.Close()
	descriptor := old.socket.Load().Hash()
	e.ln.Pause()
	newcomer := e.dial()     // waits in the backlog
	fillBelow(t, descriptor) // the client's descriptor makes room for the accept
	accepted := make(chan bool, 9)
	defer failpoint.SetHook(func(p failpoint.Point) {
		if p == failpoint.ConnectionAccepted {
			accepted <- true
		}
	})()
	open := false
	e.on(func() { // the end of the old one is behind the newcomer
		_ = gone.SetLinger(0)
		_ = gone.Close()
		for closed := false; !closed; {
			time.Sleep(time.Millisecond)
			closed, _ = old.socket.Load().IsClosed()
		}
		e.accepting = func() {
			open = !old.Dead()
			old.CloseGracefully()
		}
		e.ln.Resume()
		<-accepted
		time.Sleep(5 * time.Millisecond) // it is on its way; where it was not, the test is tried again
	})
	conn := <-e.conns
	e.on(func() { reused = open && conn.socket.Load().Hash() == descriptor })
	if reused {
		e.saysBack(newcomer)
	}
	return reused
}
