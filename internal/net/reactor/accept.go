package reactor

import (
	"errors"
	"os"
	"syscall"
	"time"
)

// acceptBurst is the time without newcomers that may be made up for at once.
const acceptBurst = 100 * time.Millisecond

// pacer spaces newcomers out. It reads no clock.
type pacer struct{ next time.Duration }

// wait returns how long the next newcomer has to wait at a rate. Time in which nobody came is made up for by as much
// as acceptBurst.
func (p *pacer) wait(now time.Duration, perSecond int) time.Duration {
	p.next = max(p.next, now-acceptBurst) + time.Second/time.Duration(perSecond)
	return max(0, p.next-now)
}

// The bounds of the pause after a failed accept: short after the first, since those in the backlog need an answer in
// time, and longer while all fail.
const (
	minAcceptPause = time.Millisecond
	maxAcceptPause = 20 * time.Millisecond
	// maxPauseDoublings keeps the shift in acceptPause from overflowing.
	maxPauseDoublings = 8
)

// acceptPause is the pause after a failed accept that follows a number of others.
func acceptPause(before int) time.Duration {
	return min(maxAcceptPause, minAcceptPause<<min(before, maxPauseDoublings))
}

// acceptFailed replies to a newcomer for whom there was no descriptor, if there is a spare one, or pauses.
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
	// spareAcceptLimit bounds the wait for a newcomer who may have gone meanwhile.
	spareAcceptLimit = time.Millisecond
	// spareReplyLimit bounds the reply.
	spareReplyLimit = 5 * time.Millisecond
	// spareReadSize is how much of the newcomer's request is read before the close, in bytes.
	spareReadSize = 512
)

// replyWithSpare accepts a newcomer on the spare descriptor for the time of the reply; otherwise it would wait in the
// backlog without an answer.
func (l *Listener) replyWithSpare() {
	l.releaseSpare()
	l.setAcceptDeadline(time.Now().Add(spareAcceptLimit))
	if socket, err := l.Accept(); err == nil {
		_ = socket.SetDeadline(time.Now().Add(spareReplyLimit))
		_, _ = socket.Write(l.rejection)
		_, _ = socket.Read(make([]byte, spareReadSize)) // a close with unread bytes would be a reset and could overtake it
		_ = socket.Close()
	}
	l.setAcceptDeadline(time.Time{})
	l.reserveSpare()
}

// setAcceptDeadline bounds the next accept, unless a pause has begun, whose deadline has passed and stays.
func (l *Listener) setAcceptDeadline(deadline time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if listener, ok := l.Listener.(deadliner); ok && l.paused == nil {
		_ = listener.SetDeadline(deadline)
	}
}

// reserveSpare opens the spare descriptor, if the listener has a reply to send on it.
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
