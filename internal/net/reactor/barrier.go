package reactor

import (
	"fmt"
	"net"
	"os"

	"brackendale/internal/net/failure"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// pollerBarrier prevents events of closed connections from being applied to new ones. The engine's goroutine receives
// many events at a time and finds their connections by file descriptor. If another goroutine closes a descriptor in the
// meantime, the descriptor can belong to a new connection when its event is handled, and the event would close that
// connection. A connection whose descriptor was just closed outside of the engine's goroutine is therefore registered
// with the engine only after the engine has handled all events that it had received. To detect that, the barrier wakes
// the engine by a byte on a socket pair, whose event is queued behind the others. Its methods must be called on the
// loop's goroutine, except onWake.
type pollerBarrier struct {
	reactor *Reactor
	wake    int // the descriptor to write to, which wakes the engine; negative: the system has no socket pairs

	closedAt    map[int]int // the generation in which each descriptor was closed
	generation  int         // the number of times that the engine was woken
	waking      bool        // the engine has not handled the last byte yet
	waiting     []func()    // registrations that wait for that
	waitingNext []func()    // registrations that wait for the byte after it
}

// newPollerBarrier connects the engine, which must have been started, to itself. It returns only transient errors.
func newPollerBarrier(r *Reactor) (*pollerBarrier, error) {
	b := &pollerBarrier{reactor: r, wake: -1, closedAt: map[int]int{}}
	pair, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return b, transientOnly(err)
	}
	if err := b.addWakeSocket(pair[0]); err != nil {
		_ = unix.Close(pair[1])
		return b, transientOnly(err)
	}
	b.wake = pair[1]
	return b, nil
}

// transientOnly returns a transient error, and nil for a permanent one, after which the barrier is not used.
func transientOnly(err error) error {
	if failure.Transient(err) {
		return fmt.Errorf("connecting the socket engine to itself: %w", err)
	}
	return nil
}

// addWakeSocket registers the engine's end of the socket pair.
func (b *pollerBarrier) addWakeSocket(descriptor int) error {
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

// stop closes the writing end of the socket pair.
func (b *pollerBarrier) stop() {
	if b.wake >= 0 {
		_ = unix.Close(b.wake)
	}
}

// closedOutsideEngine records that a descriptor was closed outside of the engine's goroutine.
func (b *pollerBarrier) closedOutsideEngine(descriptor int) { b.closedAt[descriptor] = b.generation }

// whenSafe calls register at once or, if the descriptor was just closed, once the engine has handled all events that it
// had received for it.
func (b *pollerBarrier) whenSafe(descriptor int, register func()) {
	generation, wasClosed := b.closedAt[descriptor]
	switch {
	case !wasClosed || b.wake < 0:
		register()
	case b.waking && generation == b.generation: // it was closed after the engine was woken
		b.waitingNext = append(b.waitingNext, register)
	case b.waking:
		b.waiting = append(b.waiting, register)
	default:
		b.waiting = append(b.waiting, register)
		b.start()
	}
}

// start wakes the engine for all connections that are waiting.
func (b *pollerBarrier) start() {
	b.waking = true
	b.generation++
	if _, err := unix.Write(b.wake, []byte{1}); err != nil {
		b.complete() // the engine has stopped
	}
}

// onWake runs on the engine's goroutine, when it handles the byte.
func (b *pollerBarrier) onWake() { b.reactor.Post(b.complete) }

// complete registers the connections that waited for this wake-up, and wakes the engine again if others are waiting.
func (b *pollerBarrier) complete() {
	b.waking = false
	for descriptor, generation := range b.closedAt {
		if generation < b.generation {
			delete(b.closedAt, descriptor)
		}
	}
	waiting := b.waiting
	b.waiting, b.waitingNext = b.waitingNext, nil
	for _, register := range waiting {
		register()
	}
	if len(b.waiting) > 0 && !b.waking {
		b.start()
	}
}
