// Package conntable keeps the table of connections and decides which one is evicted when room is short. It does
// no I/O and reads no clock: the owner reports what a connection does and when, and closes the connections that
// the table evicts. Times are durations on the owner's monotonic clock. All calls on the tables of one Room are
// for one goroutine.
//
// Each connection is in one list, that of its class, in the order in which they entered it. The next one to
// expire or to be evicted is thus at the front of a list, and nothing is searched: the cost of a call doesn't
// grow with the number of connections, but for Expire and Each, which cost what they evict and visit.
package conntable

import (
	"math"
	"net/netip"
	"time"
)

// Limits bound one table. A time of 0 is no limit.
type Limits struct {
	Most    int     // connections
	PerAddr int     // connections of one address; 0: any number
	Keep    float64 // share of Most above which connections idle for Patience are evicted; 1: never

	Patience time.Duration // a connection idle for so long is evicted before all others
	Grace    time.Duration // so does a newcomer that has been silent for so long
	First    time.Duration // until the first complete frame
	Whole    time.Duration // for one frame, from its first byte to its last
	Unused   time.Duration // idle
}

// Room is the bound that several tables share: descriptors.
type Room struct {
	most   int
	used   int
	tables []*Table
}

// NewRoom makes room for the given number of connections.
func NewRoom(most int) *Room { return &Room{most: most} }

// SetMost changes the bound. Expire evicts the connections above it.
func (r *Room) SetMost(most int) { r.most = most }

// Most is the bound.
func (r *Room) Most() int { return r.most }

// Used is the number of connections in all tables.
func (r *Room) Used() int { return r.used }

// Table holds the connections of one ingress or of the egresses.
type Table struct {
	room   *Room
	limits Limits

	lists   [classes]Entry // sentinels of circular lists
	spared  Entry          // sentinel of the list of those over a limit of which something is unread
	counts  [classes]int
	size    int
	origins map[netip.Addr]*origin

	sparedCount int

	evicted  [reasons]uint64 // also newcomers that were not admitted
	admitted uint64
}

// NewTargets adds a table of dialed connections: idle ones are evicted, the oldest first, and only the room bounds
// their number.
func (r *Room) NewTargets() *Table { return r.NewTable(Limits{Most: math.MaxInt, Keep: 1}) }

// NewTable adds a table.
func (r *Room) NewTable(limits Limits) *Table {
	t := &Table{room: r, limits: limits, origins: map[netip.Addr]*origin{}}
	for i := range t.lists {
		t.lists[i].makeEmpty()
	}
	t.spared.makeEmpty()
	r.tables = append(r.tables, t)
	return t
}

// SetLimits changes the limits. Expire evicts the connections above them.
func (t *Table) SetLimits(limits Limits) { t.limits = limits }

// Len is the number of connections.
func (t *Table) Len() int { return t.size }

// Counts is the number of connections of each class.
func (t *Table) Counts() [classes]int { return t.counts }

// Stats is the console's reply about a table.
type Stats struct {
	Open  int            `json:"open"`
	Most  int            `json:"most"`  // the table's own limit, or the room's if that is lower
	Doing map[string]int `json:"doing"` // connections by class
	Came  uint64         `json:"came"`  // admitted newcomers
	Gone  map[string]int `json:"gone"`  // evicted connections and newcomers not admitted, by reason
}

// Stats returns the table's figures.
func (t *Table) Stats() Stats {
	stats := Stats{
		Open:  t.size,
		Most:  min(t.limits.Most, t.room.most),
		Doing: map[string]int{},
		Came:  t.admitted,
		Gone:  map[string]int{},
	}
	for class, count := range t.counts {
		if count > 0 {
			stats.Doing[Class(class).String()] = count
		}
	}
	for reason, count := range t.evicted {
		if count > 0 {
			stats.Gone[Reason(reason).String()] = int(count)
		}
	}
	return stats
}

// Each calls visit for each connection; visit may remove the connection that it is given.
func (t *Table) Each(visit func(*Entry)) {
	for i := range t.lists {
		t.lists[i].each(visit)
	}
	t.spared.each(visit)
}

// Admit enters a newcomer, as Fresh. victim, if not nil, has left its table to make room, and the caller closes
// it. ok is false if the newcomer is not admitted, for the reason given.
func (t *Table) Admit(entry *Entry, owner Owner, from netip.Addr, now time.Duration) (
	victim *Entry, why Reason, ok bool,
) {
	if t.crowded(from) {
		t.evicted[Crowd]++
		return nil, Crowd, false
	}
	tableFull, roomFull := t.size >= t.limits.Most, t.room.used >= t.room.most
	switch {
	case tableFull:
		victim = t.chooseVictim(now)
	case roomFull:
		victim = t.room.chooseVictim(now)
	}
	if victim == nil && (tableFull || roomFull) {
		t.evicted[Full]++
		return nil, Full, false
	}
	if victim != nil {
		victim.table.evict(victim, ForNewcomer)
	}
	if from.IsValid() {
		entry.origin = t.countOrigin(from)
	}
	entry.table, entry.owner, entry.since, entry.class, entry.inTable = t, owner, now, Fresh, true
	t.link(entry)
	t.size++
	t.room.used++
	t.admitted++
	return victim, 0, true
}

// crowded tells whether an address has as many connections as one may have.
func (t *Table) crowded(from netip.Addr) bool {
	if t.limits.PerAddr <= 0 || !from.IsValid() {
		return false
	}
	known := t.origins[from]
	return known != nil && known.conns >= t.limits.PerAddr
}

// countOrigin counts one more connection of an address.
func (t *Table) countOrigin(from netip.Addr) *origin {
	known := t.origins[from]
	if known == nil {
		known = &origin{addr: from}
		t.origins[from] = known
	}
	known.conns++
	return known
}

// link appends a connection to the list of its class.
func (t *Table) link(e *Entry) {
	t.lists[e.class].append(e)
	t.counts[e.class]++
}

// unlink takes a connection out of the list of its class, or of the spared ones.
func (t *Table) unlink(e *Entry) {
	e.prev.next, e.next.prev = e.next, e.prev
	t.counts[e.class]--
	if e.why != notSpared {
		e.why = notSpared
		t.sparedCount--
	}
}

// Move records what a connection does from now on, and appends it to the list of that class, also where the class
// is the one it has. A connection that is no longer in the table is ignored.
func (t *Table) Move(e *Entry, to Class, now time.Duration) {
	if !e.inTable {
		return
	}
	t.unlink(e)
	e.class, e.since = to, now
	t.link(e)
}

// Remove takes a connection out, if it is in the table.
func (t *Table) Remove(entry *Entry) {
	if !entry.inTable {
		return
	}
	t.unlink(entry)
	t.size--
	t.room.used--
	if known := entry.origin; known != nil {
		if known.conns--; known.conns == 0 {
			delete(t.origins, known.addr)
		}
	}
	entry.inTable, entry.prev, entry.next, entry.origin = false, nil, nil, nil
}

// evict removes a connection and counts the reason. The caller closes it.
func (t *Table) evict(e *Entry, why Reason) {
	t.Remove(e)
	t.evicted[why]++
}
