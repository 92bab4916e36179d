// Package connlimit applies the decisions of a connection table to an ingress: it admits newcomers, closes the
// connections evicted for them, and regularly evicts those that exceed a limit.
package connlimit

import (
	"time"

	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/timers"
)

// evictionsPerSweep bounds the connections that are closed in one go; the loop handles what has arrived before it
// closes the next.
const evictionsPerSweep = 64

// spareInterval is the time between checks for connections that are over a limit and were spared for what had arrived.
const spareInterval = 25 * time.Millisecond

// Limiter is the connection limit of one ingress. Its methods are for the loop's goroutine.
type Limiter struct {
	Table *conntable.Table

	reactor       *reactor.Reactor
	sweepInterval time.Duration
	timer         timers.Timer // set while the table holds connections
}

// New makes a limiter that looks for connections over a limit at the given interval.
func New(r *reactor.Reactor, table *conntable.Table, sweepInterval time.Duration) *Limiter {
	return &Limiter{Table: table, reactor: r, sweepInterval: sweepInterval}
}

// Admit enters a newcomer into the table and closes the connection that is evicted for it. It returns false if
// there is no room; the caller closes the newcomer.
func (l *Limiter) Admit(entry *conntable.Entry, owner conntable.Owner, conn *reactor.Conn) bool {
	victim, _, ok := l.Table.Admit(entry, owner, conn.From(), l.reactor.Now())
	if victim != nil {
		victim.Owner().Evict(conntable.ForNewcomer)
	}
	if ok && !l.timer.Set() {
		l.reactor.Arm(&l.timer, l.sweepInterval, timers.Coarse, l)
	}
	return ok
}

// Due evicts the connections over a limit; it is the timer's callback. A connection is spared until what had arrived at
// its limit was handled, and after a pause of the process nobody is evicted for a while: the requests may have arrived
// during it.
func (l *Limiter) Due(*timers.Timer) {
	next, slack := l.sweepInterval, timers.Coarse
	if !l.reactor.Stalled() && l.Table.Expire(l.reactor.Now(), evictionsPerSweep, conntable.Unread, conntable.End) {
		next, slack = 0, timers.Soft
	} else if l.Table.Spared() > 0 {
		next, slack = spareInterval, timers.Soft
	}
	if l.Table.Len() > 0 {
		l.reactor.Arm(&l.timer, next, slack, l)
	}
}
