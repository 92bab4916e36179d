package reactor

import (
	"net"
	"sync"
	"testing"
	"time"

	"brackendale/internal/net/loop"
)

// interceptedListener calls a function at the begin of its first accept after it was set.
type interceptedListener struct {
	*net.TCPListener
	mu     sync.Mutex
	before func()
}

func (l *interceptedListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	before := l.before
	l.before = nil
	l.mu.Unlock()
	if before != nil {
		before()
	}
	return l.TCPListener.Accept()
}

// A pause that begins while a newcomer is answered for want of a descriptor is undone by the end of that answer: the
// next newcomer is accepted all the same.
func TestPauseDuringAReplyWithTheSpare(t *testing.T) {
	tcp, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	intercepted := &interceptedListener{TCPListener: tcp}
	r := &Reactor{Loop: loop.New()}
	l := &Listener{Listener: intercepted, reactor: r, rejection: []byte("-BUSY\r\n"), pauses: make(chan chan struct{}, 1)}
	defer l.Close()
	l.reserveSpare()
	intercepted.before = l.Pause
	l.replyWithSpare()
	c, err := net.Dial("tcp", tcp.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	accepted := make(chan error, 1)
	go func() {
		_, err := l.acceptConn()
		accepted <- err
	}()
	select {
	case err := <-accepted:
		if err == nil {
			t.Fatal("a newcomer was accepted during the pause")
		}
	case <-time.After(long):
		t.Fatal("the accept was not interrupted")
	}
}
