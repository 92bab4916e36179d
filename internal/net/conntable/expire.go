package conntable

import "time"

// Expire evicts the connections that exceed a limit, at most budget of them, and calls end for each after it
// has left the table. Where keep is not nil and returns true, the connection is spared: bytes that have arrived were
// not handled yet. Once they were, a later call evicts it, unless it has changed its class by then; bytes that arrive
// after the limit give it no more time. keep isn't called when the bound was lowered. more tells whether further
// connections are due.
func (t *Table) Expire(now time.Duration, budget int, keep func(*Entry) bool, end func(*Entry, Reason)) (more bool) {
	budget -= t.evictSpared(budget, keep, end)
	for ; ; budget-- {
		e, why := t.due(now)
		if e == nil {
			return false
		}
		if budget <= 0 {
			return true
		}
		if why != Lowered && keep != nil && keep(e) {
			t.spare(e, why)
			continue
		}
		t.evict(e, why)
		end(e, why)
	}
}

// spare moves a connection from the list of its class to that of the spared ones. Move takes it out of there.
func (t *Table) spare(e *Entry, why Reason) {
	e.prev.next, e.next.prev = e.next, e.prev
	e.why = why
	t.spared.append(e)
	t.sparedCount++
}

// evictSpared evicts the spared connections of which all was handled that had arrived at their limit, at most budget of
// them, and returns their number.
func (t *Table) evictSpared(budget int, keep func(*Entry) bool, end func(*Entry, Reason)) (evicted int) {
	for e := t.spared.next; e != &t.spared && evicted < budget; {
		next := e.next
		if keep == nil || !t.stillUnread(e, keep) {
			why := e.why
			t.evict(e, why)
			end(e, why)
			evicted++
		}
		e = next
	}
	return evicted
}

// stillUnread tells whether a spared connection stays spared.
func (t *Table) stillUnread(e *Entry, keep func(*Entry) bool) bool {
	if e.marked {
		return e.unread()
	}
	return keep(e)
}

// Spared is the number of connections over a limit that have to be looked at again soon.
func (t *Table) Spared() int { return t.sparedCount }

// due is the next connection that exceeds a limit, and the reason for its eviction; nil if there is none.
func (t *Table) due(now time.Duration) (*Entry, Reason) {
	timeouts := [...]struct {
		class Class
		limit time.Duration
		why   Reason
	}{
		{Partial, t.limits.Whole, Slow},
		{Stuck, t.limits.Whole, Slow},
		{Fresh, t.limits.First, Silent},
		{Idle, t.limits.Unused, Unused},
		{Held, t.limits.Unused, Unused},
	}
	for _, timeout := range timeouts {
		if e := t.overdue(timeout.class, timeout.limit, now); e != nil {
			return e, timeout.why
		}
	}
	if t.limits.Keep < 1 && float64(t.size) > t.limits.Keep*float64(t.limits.Most) {
		if e := t.overdue(Idle, t.limits.Patience, now); e != nil {
			return e, Unused
		}
	}
	if t.size > t.limits.Most || t.room.used > t.room.most {
		for _, class := range [...]Class{Idle, Fresh, Held, Partial} {
			if e := t.front(class); e != nil {
				return e, Lowered
			}
		}
	}
	return nil, 0
}

// overdue is the oldest connection of a class if it has been in it for the limit; a limit of 0 is none.
func (t *Table) overdue(class Class, limit, now time.Duration) *Entry {
	if e := t.front(class); e != nil && limit > 0 && now-e.since >= limit {
		return e
	}
	return nil
}
