package conntable

import "time"

// Expire evicts the connections that exceed a limit, at most budget of them. It calls onEvict for each, after removing
// it from the table. If shouldDefer is not nil and returns true, because input that has arrived is still unhandled, the
// eviction is deferred: a later call evicts the connection once that input has been handled, unless its class has
// changed by then. Input that arrives after the limit was exceeded does not defer the eviction further. shouldDefer is
// not called for connections that are evicted because a limit was lowered. more reports whether further connections
// exceed a limit.
func (t *Table) Expire(now time.Duration, budget int, shouldDefer func(*Entry) bool,
	onEvict func(*Entry, Reason),
) (more bool) {
	budget -= t.evictDeferred(budget, shouldDefer, onEvict)
	for ; ; budget-- {
		e, reason := t.nextOverLimit(now)
		if e == nil {
			return false
		}
		if budget <= 0 {
			return true
		}
		if reason != LimitLowered && shouldDefer != nil && shouldDefer(e) {
			t.deferEviction(e, reason)
			continue
		}
		t.evict(e, reason)
		onEvict(e, reason)
	}
}

// deferEviction moves a connection from the list of its class to the list of deferred evictions. Move returns it to
// the list of a class.
func (t *Table) deferEviction(e *Entry, reason Reason) {
	e.prev.next, e.next.prev = e.next, e.prev
	e.reason = reason
	t.deferred.append(e)
	t.deferredCount++
}

// evictDeferred evicts the deferred connections whose input from before their limit has all been handled, at most
// budget of them, and returns their number.
func (t *Table) evictDeferred(budget int, shouldDefer func(*Entry) bool, onEvict func(*Entry, Reason)) (evicted int) {
	for e := t.deferred.next; e != &t.deferred && evicted < budget; {
		next := e.next
		if shouldDefer == nil || !t.staysDeferred(e, shouldDefer) {
			reason := e.reason
			t.evict(e, reason)
			onEvict(e, reason)
			evicted++
		}
		e = next
	}
	return evicted
}

// staysDeferred reports whether the eviction of a connection remains deferred.
func (t *Table) staysDeferred(e *Entry, shouldDefer func(*Entry) bool) bool {
	if e.marked {
		return e.hasUnhandled()
	}
	return shouldDefer(e)
}

// Deferred returns the number of deferred evictions; while it is not 0, Expire has to be called again soon.
func (t *Table) Deferred() int { return t.deferredCount }

// nextOverLimit returns the next connection that exceeds a limit and the reason for its eviction, or nil if there is
// none.
func (t *Table) nextOverLimit(now time.Duration) (*Entry, Reason) {
	timeouts := [...]struct {
		class  Class
		limit  time.Duration
		reason Reason
	}{
		{Partial, t.limits.FrameTimeout, SlowFrame},
		{BusyPartial, t.limits.FrameTimeout, SlowFrame},
		{Fresh, t.limits.FirstFrameTimeout, NoFirstFrame},
		{Idle, t.limits.IdleTimeout, IdleTimeout},
		{Persistent, t.limits.IdleTimeout, IdleTimeout},
	}
	for _, timeout := range timeouts {
		if e := t.overdue(timeout.class, timeout.limit, now); e != nil {
			return e, timeout.reason
		}
	}
	if t.limits.PressureShare < 1 && float64(t.size) > t.limits.PressureShare*float64(t.limits.MaxConns) {
		if e := t.overdue(Idle, t.limits.IdleGrace, now); e != nil {
			return e, IdleTimeout
		}
	}
	if t.size > t.limits.MaxConns || t.shared.used > t.shared.maxConns {
		for _, class := range [...]Class{Idle, Fresh, Persistent, Partial} {
			if e := t.front(class); e != nil {
				return e, LimitLowered
			}
		}
	}
	return nil, 0
}

// overdue returns the oldest connection of a class if it has been in that class for at least limit, and nil otherwise.
// A limit of 0 means none.
func (t *Table) overdue(class Class, limit, now time.Duration) *Entry {
	if e := t.front(class); e != nil && limit > 0 && now-e.enteredAt >= limit {
		return e
	}
	return nil
}
