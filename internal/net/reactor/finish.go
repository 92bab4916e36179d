package reactor

import (
	"math"
	"syscall"
	"time"

	"brackendale/internal/timers"
)

const (
	// maxGracefulCloses bounds the graceful closes in progress while newcomers are admitted: each holds a descriptor
	// that no connection table counts.
	maxGracefulCloses = 8
	// gracefulCloseLimit is the time that a peer has to read its last answer and end its side.
	gracefulCloseLimit = 500 * time.Millisecond
)

// AllowAllGracefulCloses removes the bound on graceful closes in progress: no newcomers are admitted any more. Only
// for the loop's goroutine.
func (r *Reactor) AllowAllGracefulCloses() { r.maxFinishing = math.MaxInt }

// CloseGracefully closes the connection after what was written has left: the peer reads the end behind it, and what
// it still sends is ignored until it has ended its side too, for gracefulCloseLimit at most. An immediate close with
// unread bytes would be a reset, which can overtake the last answer. Down follows. Where too many graceful closes are
// in progress, it is a Close.
func (c *Conn) CloseGracefully() {
	if c.reactor.finishing >= c.reactor.maxFinishing {
		c.Close()
		return
	}
	c.startFinish()
}

// startFinish begins a graceful close, whatever the number of others.
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
	c.reactor.Arm(c.finishTimer, gracefulCloseLimit, timers.Coarse, timers.Func(c.Close))
	c.shutdownWrite()
}

// shutdownWrite ends the sending side once all that was written has left.
func (c *Conn) shutdownWrite() {
	if !c.Sent(c.queued) {
		c.awaitsDrain.Store(true) // drained calls again
		if !c.Sent(c.queued) {
			return
		}
	}
	if socket, open := c.openSocket(); open {
		_ = syscall.Shutdown(socket.Hash(), syscall.SHUT_WR)
	}
}
