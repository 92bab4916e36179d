// Package connlimit applies the decisions of a connection table to an ingress: it admits new connections, closes the
// connections evicted for them, and periodically evicts those that exceed a limit.
package connlimit

import (
	"time"

	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/timers"
)

// evictionsPerSweep is the number of connections that are closed at a time; the loop handles the input that has arrived
// before it closes more.
const evictionsPerSweep = 64

// deferredInterval is the time between checks of the connections that are over a limit and whose eviction was deferred
// because they had unhandled input.
const deferredInterval = 25 * time.Millisecond

// Limiter enforces the connection limits of one ingress. Its methods must be called on the loop's goroutine.
type Limiter struct {
	Table *conntable.Table

	reactor       *reactor.Reactor
	sweepInterval time.Duration
	timer         timers.Timer // set while the table holds connections
}

// New returns a limiter that checks for connections over a limit at the given interval.
func New(r *reactor.Reactor, table *conntable.Table, sweepInterval time.Duration) *Limiter {
	return &Limiter{Table: table, reactor: r, sweepInterval: sweepInterval}
}

// Admit adds a new connection to the table and closes the connection that is evicted for it. It returns false if the
// new connection is rejected; the caller then closes it.
func (l *Limiter) Admit(entry *conntable.Entry, owner conntable.Owner, conn *reactor.Conn) bool {
	victim, _, ok := l.Table.Admit(entry, owner, conn.PeerAddr(), l.reactor.Now())
	if victim != nil {
		victim.Owner().Evict(conntable.ForNewConnection)
	}
	if ok && !l.timer.IsSet() {
		l.reactor.Arm(&l.timer, l.sweepInterval, timers.CoarseSlack, l)
	}
	return ok
}

// Due evicts the connections over a limit; it is the timer's callback. The eviction of a connection is deferred until
// the input that had arrived when it reached its limit is handled. Shortly after a pause of the process no connection
// is evicted, because requests may have arrived during the pause.
func (l *Limiter) Due(*timers.Timer) {
	next, slack := l.sweepInterval, timers.CoarseSlack
	if !l.reactor.Stalled() && l.Table.Expire(l.reactor.Now(), evictionsPerSweep,
		conntable.HasUnhandledInput, conntable.EvictOwner) {
		next, slack = 0, timers.TickSlack
	} else if l.Table.Deferred() > 0 {
		next, slack = deferredInterval, timers.TickSlack
	}
	if l.Table.Len() > 0 {
		l.reactor.Arm(&l.timer, next, slack, l)
	}
}
