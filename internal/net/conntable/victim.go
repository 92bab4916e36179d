package conntable

import "time"

// rank orders the connections that may be evicted for a newcomer: the lowest rank goes first.
type rank int

const (
	expendable rank = iota // idle or partial for Patience, or fresh and silent for Grace
	recent                 // idle or partial since shortly; its client repeats what crosses the close
	newcomer               // fresh since shortly: its first request would fail
	ranks      = iota
)

// candidates holds the oldest connection of each rank; nil where there is none.
type candidates [ranks]*Entry

// add enters a connection under a rank, if it is older than the one there.
func (cs *candidates) add(e *Entry, at rank) {
	if e != nil && (cs[at] == nil || e.since < cs[at].since) {
		cs[at] = e
	}
}

// victim is the oldest connection of the lowest rank; nil if nobody may be evicted.
func (cs *candidates) victim() *Entry {
	for _, e := range cs {
		if e != nil {
			return e
		}
	}
	return nil
}

// candidates returns those of this table.
func (t *Table) candidates(now time.Duration) candidates {
	var found candidates
	for _, class := range [...]Class{Idle, Partial} {
		if e := t.front(class); e != nil {
			at := recent
			if now-e.since >= t.limits.Patience {
				at = expendable
			}
			found.add(e, at)
		}
	}
	if e := t.front(Fresh); e != nil {
		at := newcomer
		if now-e.since >= t.limits.Grace {
			at = expendable
		}
		found.add(e, at)
	}
	found.add(t.sparedVictim(), expendable)
	return found
}

// sparedVictim is the connection that was spared first, of those whose class may be evicted; nil if there is none.
func (t *Table) sparedVictim() *Entry {
	for e := t.spared.next; e != &t.spared; e = e.next {
		if e.class == Idle || e.class == Partial || e.class == Fresh {
			return e
		}
	}
	return nil
}

// chooseVictim returns the connection of this table that is evicted for a newcomer; nil if there is none.
func (t *Table) chooseVictim(now time.Duration) *Entry {
	found := t.candidates(now)
	return found.victim()
}

// chooseVictim does so over all tables of the room. Of equal ages the earlier table's goes.
func (r *Room) chooseVictim(now time.Duration) *Entry {
	var found candidates
	for _, t := range r.tables {
		for at, e := range t.candidates(now) {
			found.add(e, rank(at))
		}
	}
	return found.victim()
}

// front is the connection that has been in a class for longest; nil if there is none.
func (t *Table) front(class Class) *Entry {
	if e := t.lists[class].next; e != &t.lists[class] {
		return e
	}
	return nil
}
