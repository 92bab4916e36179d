package reactor

import (
	"math"
	"syscall"
	"time"

	"brackendale/internal/timers"
)

const (
	// maxGracefulCloses bounds the graceful closes in progress while new connections are admitted: each uses a file
	// descriptor that no connection table counts.
	maxGracefulCloses = 8
	// gracefulCloseTimeout is the time that a peer has to read its last reply and close its side.
	gracefulCloseTimeout = 500 * time.Millisecond
)

// AllowAllGracefulCloses removes the limit on graceful closes in progress; call it once no new connections are
// admitted. It must be called on the loop's goroutine.
func (r *Reactor) AllowAllGracefulCloses() { r.maxFinishing = math.MaxInt }

// CloseGracefully closes the connection once all written bytes have been sent, so that the peer reads them before the
// end of the stream. Further input is ignored until the peer has closed its side too, for at most gracefulCloseTimeout.
// An immediate close with unread input would send a reset, which can overtake the last reply. Down follows. If too many
// graceful closes are in progress, it closes the connection as Close does.
func (c *Conn) CloseGracefully() {
	if c.adoptedOutput && c.state == open && c.Flush() == nil {
		c.closeOutput()
		return
	}
	if c.reactor.finishing >= c.reactor.maxFinishing {
		c.Close()
		return
	}
	c.startFinish()
}

// startFinish starts a graceful close, however many are in progress.
func (c *Conn) startFinish() {
	if c.state != open || c.Flush() != nil {
		c.Close()
		return
	}
	if c.layer != nil {
		c.layer.closeNotify()
	}
	c.state = finishing
	c.reactor.finishing++
	c.finishTimer = &timers.Timer{}
	c.reactor.Arm(c.finishTimer, gracefulCloseTimeout, timers.CoarseSlack, timers.Func(c.Close))
	c.shutdownWrite()
}

// shutdownWrite closes the sending side once all written bytes have been sent.
func (c *Conn) shutdownWrite() {
	if !c.Sent(c.queued) {
		c.flags.set(flagAwaitsDrain) // drained calls shutdownWrite again
		if !c.Sent(c.queued) {
			return
		}
	}
	if socket, open := c.openSocket(); open {
		_ = syscall.Shutdown(socket.Hash(), syscall.SHUT_WR)
	}
}
