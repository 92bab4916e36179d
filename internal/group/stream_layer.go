package group

import (
	"net"
	"time"

	"github.com/hashicorp/raft"
)

// streamLayer carries the raft library's connections over the group's port. It implements
// raft.StreamLayer.
type streamLayer struct {
	group    *Group
	accepted chan net.Conn
	closed   chan struct{}
}

// memberAddr is the address of a member as the raft library uses it: its name.
type memberAddr string

// Network implements net.Addr.
func (memberAddr) Network() string { return "group" }

// String implements net.Addr.
func (a memberAddr) String() string { return string(a) }

// deliver passes an accepted connection to the library.
func (l *streamLayer) deliver(conn net.Conn) {
	select {
	case l.accepted <- conn:
	case <-l.closed:
		_ = conn.Close()
	}
}

// Accept implements net.Listener.
func (l *streamLayer) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *streamLayer) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

// Addr implements net.Listener.
func (l *streamLayer) Addr() net.Addr { return memberAddr(l.group.opt.Name) }

// Dial implements raft.StreamLayer.
func (l *streamLayer) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	conn, _, err := l.group.connect(string(to), purposeRaft, min(timeout, l.group.helloTimeout()))
	return conn, err
}
