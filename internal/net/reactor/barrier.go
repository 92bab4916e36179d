package reactor

import (
	"fmt"
	"net"
	"os"

	"brackendale/internal/net/failure"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// pollerBarrier keeps events of closed connections away from new ones. The engine's goroutine takes many events at a
// time and finds their connections by descriptor. A descriptor that another goroutine closes meanwhile can belong to a
// new connection by then, which would be ended by the old one's event. So a connection whose descriptor was closed
// outside of the engine's goroutine joins the engine once that has handled all that it had in hand: it is woken by a
// byte on a connection to itself, whose event comes behind the others. Its methods are for the loop's goroutine, except
// reached.
type pollerBarrier struct {
	reactor *Reactor
	wake    int // the descriptor that wakes the engine; below 0: the system has no such sockets

	closed  map[int]int // descriptors that were closed, and the round in which they were
	round   int
	running bool     // the engine is being woken
	waiting []func() // that join once it is
	next    []func() // that join once it is woken again
}

// newPollerBarrier connects the engine, which has started, to itself. The error is one that may pass.
func newPollerBarrier(owner *Reactor) (*pollerBarrier, error) {
	b := &pollerBarrier{reactor: owner, wake: -1, closed: map[int]int{}}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return b, transientOnly(err)
	}
	if err := b.join(pair[0]); err != nil {
		_ = unix.Close(pair[1])
		return b, transientOnly(err)
	}
	b.wake = pair[1]
	return b, nil
}

// transientOnly returns an error that may pass, and nil for one that does not: the barrier is left out then.
func transientOnly(err error) error {
	if failure.Transient(err) {
		return fmt.Errorf("connecting the socket engine to itself: %w", err)
	}
	return nil
}

// join adds the engine's end.
func (b *pollerBarrier) join(descriptor int) error {
	file := os.NewFile(uintptr(descriptor), "wake")
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return err
	}
	socket, err := nbio.NBConn(conn)
	if err != nil {
		_ = conn.Close()
		return err
	}
	socket.SetSession(b)
	_, err = b.reactor.engine.AddConn(socket)
	return err
}

// stop closes this end.
func (b *pollerBarrier) stop() {
	if b.wake >= 0 {
		_ = unix.Close(b.wake)
	}
}

// closedOutside records that a descriptor was closed outside of the engine's goroutine.
func (b *pollerBarrier) closedOutside(descriptor int) { b.closed[descriptor] = b.round }

// whenSafe calls join at once or, where the descriptor was closed just before, once the engine has no event of it in
// hand.
func (b *pollerBarrier) whenSafe(descriptor int, join func()) {
	round, wasClosed := b.closed[descriptor]
	switch {
	case !wasClosed || b.wake < 0:
		join()
	case b.running && round == b.round: // it was closed after the engine was woken
		b.next = append(b.next, join)
	case b.running:
		b.waiting = append(b.waiting, join)
	default:
		b.waiting = append(b.waiting, join)
		b.start()
	}
}

// start wakes the engine, for all that wait by now.
func (b *pollerBarrier) start() {
	b.running = true
	b.round++
	if _, err := unix.Write(b.wake, []byte{1}); err != nil {
		b.passed() // the engine has ended
	}
}

// reached runs on the engine's goroutine.
func (b *pollerBarrier) reached() { b.reactor.Post(b.passed) }

// passed lets those join that waited for this, and wakes the engine again for the others.
func (b *pollerBarrier) passed() {
	b.running = false
	for descriptor, round := range b.closed {
		if round < b.round {
			delete(b.closed, descriptor)
		}
	}
	waiting := b.waiting
	b.waiting, b.next = b.next, nil
	for _, join := range waiting {
		join()
	}
	if len(b.waiting) > 0 && !b.running {
		b.start()
	}
}
