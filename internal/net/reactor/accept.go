package reactor

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// acceptBurst is the most unused time that a pacer credits to later connections.
const acceptBurst = 100 * time.Millisecond

// pacer limits the rate of new connections. It reads no clock.
type pacer struct{ next time.Duration }

// wait returns how long the next connection has to wait at a rate. Time without connections is credited, up to
// acceptBurst, and allows a burst.
func (p *pacer) wait(now time.Duration, perSecond int) time.Duration {
	p.next = max(p.next, now-acceptBurst) + time.Second/time.Duration(perSecond)
	return max(0, p.next-now)
}

// The bounds of the pause after a failed accept: short after the first failure, because clients in the backlog need a
// reply in time, and longer while every accept fails.
const (
	minAcceptPause = time.Millisecond
	maxAcceptPause = 20 * time.Millisecond
	// maxPauseDoublings keeps the shift in acceptPause from overflowing.
	maxPauseDoublings = 8
)

// acceptPause returns the pause after a failed accept that follows the given number of failed ones.
func acceptPause(before int) time.Duration {
	return min(maxAcceptPause, minAcceptPause<<min(before, maxPauseDoublings))
}

// acceptFailed handles a failed accept. If there was no file descriptor for the connection and a spare one is reserved,
// it replies to the client; otherwise it pauses.
func (l *Listener) acceptFailed(err error) {
	if l.spare == nil || !errors.Is(err, syscall.EMFILE) && !errors.Is(err, syscall.ENFILE) {
		l.reserveSpare()
		time.Sleep(acceptPause(l.failures))
		l.failures++
		return
	}
	l.replyWithSpare()
}

const (
	// spareAcceptTimeout bounds the wait for a connection, whose client may have closed it in the meantime.
	spareAcceptTimeout = time.Millisecond
	// spareReplyTimeout bounds the time for writing the reply and reading the request.
	spareReplyTimeout = 5 * time.Millisecond
	// spareReadSize is how much of the client's request is read before the close, in bytes.
	spareReadSize = 512
)

// replyWithSpare accepts a connection on the spare descriptor, sends the rejection and closes it. Otherwise the client
// would wait in the backlog without a reply.
func (l *Listener) replyWithSpare() {
	l.releaseSpare()
	l.setAcceptDeadline(time.Now().Add(spareAcceptTimeout))
	if socket, err := l.Accept(); err == nil {
		_ = socket.SetDeadline(time.Now().Add(spareReplyTimeout))
		_, _ = socket.Write(l.rejection)
		_, _ = socket.Read(make([]byte, spareReadSize)) // a close with unread bytes sends a reset and can lose the reply
		_ = socket.Close()
	}
	l.setAcceptDeadline(time.Time{})
	l.reserveSpare()
}

// setAcceptDeadline sets the deadline of the next accept. During a pause it does nothing: the pause has set a deadline
// that has passed, and that has to stay.
func (l *Listener) setAcceptDeadline(deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if listener, ok := l.Listener.(deadlineSetter); ok && l.paused == nil {
		_ = listener.SetDeadline(deadline)
	}
}

// reserveSpare opens the spare descriptor if the listener has a rejection to send on it.
func (l *Listener) reserveSpare() {
	if l.rejection == nil || l.spare != nil {
		return
	}
	if file, err := os.Open(os.DevNull); err == nil {
		l.spare = file
	}
}

// releaseSpare closes the spare descriptor.
func (l *Listener) releaseSpare() {
	if l.spare != nil {
		_ = l.spare.Close()
		l.spare = nil
	}
}
