package reactor

import (
	"net"
	"sync"
	"testing"
	"time"

	"brackendale/internal/net/loop"
)

// interceptedListener calls a function, once, at the beginning of the first accept after it was set.
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

// If a pause started while a client was rejected for lack of a file descriptor, the end of that rejection cleared the
// pause's deadline, and the next connection was accepted during the pause.
func TestPauseDuringSpareReply(t *testing.T) {
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
			t.Fatal("a connection was accepted during the pause")
		}
	case <-time.After(testTimeout):
		t.Fatal("the accept was not interrupted")
	}
}
