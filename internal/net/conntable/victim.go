package conntable

import "time"

// evictionRank orders the connections that may be evicted for a new one: the lowest rank is evicted first.
type evictionRank int

const (
	pastGrace      evictionRank = iota // idle or partial for IdleGrace, fresh for FirstFrameGrace, or deferred
	recentlyActive                     // idle or partial for less: the client repeats a request that the close interrupts
	recentlyOpened                     // fresh for less: the first request would fail
	ranks          = iota
)

// candidates holds the oldest connection of each rank; nil where there is none.
type candidates [ranks]*Entry

// add stores a connection under a rank if it is older than the one stored there.
func (cs *candidates) add(e *Entry, rank evictionRank) {
	if e != nil && (cs[rank] == nil || e.enteredAt < cs[rank].enteredAt) {
		cs[rank] = e
	}
}

// victim returns the oldest connection of the lowest rank, or nil if no connection may be evicted.
func (cs *candidates) victim() *Entry {
	for _, e := range cs {
		if e != nil {
			return e
		}
	}
	return nil
}

// candidates returns the table's candidates for eviction.
func (t *Table) candidates(now time.Duration) candidates {
	var found candidates
	for _, class := range [...]Class{Idle, Partial} {
		if e := t.front(class); e != nil {
			rank := recentlyActive
			if now-e.enteredAt >= t.limits.IdleGrace {
				rank = pastGrace
			}
			found.add(e, rank)
		}
	}
	if e := t.front(Fresh); e != nil {
		rank := recentlyOpened
		if now-e.enteredAt >= t.limits.FirstFrameGrace {
			rank = pastGrace
		}
		found.add(e, rank)
	}
	found.add(t.deferredVictim(), pastGrace)
	return found
}

// deferredVictim returns the connection whose eviction was deferred first, of those whose class may be evicted; nil if
// there is none.
func (t *Table) deferredVictim() *Entry {
	for e := t.deferred.next; e != &t.deferred; e = e.next {
		if e.class == Idle || e.class == Partial || e.class == Fresh {
			return e
		}
	}
	return nil
}

// chooseVictim returns the connection of this table to evict for a new one, or nil if there is none.
func (t *Table) chooseVictim(now time.Duration) *Entry {
	found := t.candidates(now)
	return found.victim()
}

// chooseVictim returns the connection of any of the tables to evict for a new one, or nil if there is none. Between
// connections of equal age it prefers that of the table that was added first.
func (s *SharedLimit) chooseVictim(now time.Duration) *Entry {
	var found candidates
	for _, t := range s.tables {
		for rank, e := range t.candidates(now) {
			found.add(e, evictionRank(rank))
		}
	}
	return found.victim()
}

// front returns the connection that has been in a class longest, or nil if there is none.
func (t *Table) front(class Class) *Entry {
	if e := t.lists[class].next; e != &t.lists[class] {
		return e
	}
	return nil
}
