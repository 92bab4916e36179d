// Package conntable keeps the table of connections and decides which one is evicted when a connection limit is
// reached. It does no I/O and reads no clock: the owner reports the class of each connection and the time at which it
// changes, and closes the connections that the table evicts. Times are durations on the owner's monotonic clock. The
// tables of one SharedLimit are together not safe for concurrent use.
//
// Each connection is in one list, that of its class, ordered by the time at which it entered the class. The next
// connection to expire or to be evicted is thus at the front of a list, and no list is searched: the cost of a call
// does not grow with the number of connections, except for Expire and Each, whose cost is proportional to the
// connections that they evict or visit.
package conntable

import (
	"math"
	"net/netip"
	"time"
)

// Limits are the connection limits of one table. A duration of 0 means no limit.
type Limits struct {
	MaxConns      int     // the number of connections
	MaxPerAddr    int     // the number of connections from one address; 0: no limit
	PressureShare float64 // the share of MaxConns above which connections idle for IdleGrace are evicted; 1: never

	IdleGrace         time.Duration // a connection that has been idle or partial for this long may be evicted first
	FirstFrameGrace   time.Duration // so may one that has been open for this long without a complete frame
	FirstFrameTimeout time.Duration // from the accept to the first complete frame
	FrameTimeout      time.Duration // from the first byte of a frame to its last
	IdleTimeout       time.Duration // without an open request
}

// SharedLimit is the connection limit that several tables share, which is set by the process's file descriptors.
type SharedLimit struct {
	maxConns int
	used     int
	tables   []*Table
}

// NewSharedLimit returns a shared limit of the given number of connections.
func NewSharedLimit(maxConns int) *SharedLimit { return &SharedLimit{maxConns: maxConns} }

// SetMaxConns changes the limit. Expire evicts the connections above it.
func (s *SharedLimit) SetMaxConns(maxConns int) { s.maxConns = maxConns }

// MaxConns returns the limit.
func (s *SharedLimit) MaxConns() int { return s.maxConns }

// Used returns the number of connections in all tables.
func (s *SharedLimit) Used() int { return s.used }

// Table holds the connections of one ingress, or those of the egresses.
type Table struct {
	shared *SharedLimit
	limits Limits

	lists    [classes]Entry // sentinels of circular lists
	deferred Entry          // sentinel of the list of deferred evictions: over a limit, with unhandled input
	counts   [classes]int
	size     int
	sources  map[netip.Addr]*source

	deferredCount int

	evicted  [reasons]uint64 // includes new connections that were rejected
	admitted uint64
}

// NewDialedTable adds a table of dialed connections. Only the shared limit applies to them, and idle ones are evicted,
// the oldest first.
func (s *SharedLimit) NewDialedTable() *Table {
	return s.NewTable(Limits{MaxConns: math.MaxInt, PressureShare: 1})
}

// NewTable adds a table with its own limits to those that share r.
func (s *SharedLimit) NewTable(limits Limits) *Table {
	t := &Table{shared: s, limits: limits, sources: map[netip.Addr]*source{}}
	for i := range t.lists {
		t.lists[i].makeEmpty()
	}
	t.deferred.makeEmpty()
	s.tables = append(s.tables, t)
	return t
}

// SetLimits changes the limits. Expire evicts the connections that exceed them.
func (t *Table) SetLimits(limits Limits) { t.limits = limits }

// Len returns the number of connections.
func (t *Table) Len() int { return t.size }

// Counts returns the number of connections in each class.
func (t *Table) Counts() [classes]int { return t.counts }

// Stats is the console's reply about a table.
type Stats struct {
	Open              int            `json:"open"`
	MaxConns          int            `json:"most"`  // the table's own limit, or the shared one if that is lower
	ByClass           map[string]int `json:"doing"` // open connections by class
	Admitted          uint64         `json:"came"`  // connections admitted since the start
	EvictedOrRejected map[string]int `json:"gone"`  // connections evicted or rejected since the start, by reason
}

// Stats returns the table's statistics.
func (t *Table) Stats() Stats {
	stats := Stats{
		Open:              t.size,
		MaxConns:          min(t.limits.MaxConns, t.shared.maxConns),
		ByClass:           map[string]int{},
		Admitted:          t.admitted,
		EvictedOrRejected: map[string]int{},
	}
	for class, count := range t.counts {
		if count > 0 {
			stats.ByClass[Class(class).String()] = count
		}
	}
	for reason, count := range t.evicted {
		if count > 0 {
			stats.EvictedOrRejected[Reason(reason).String()] = int(count)
		}
	}
	return stats
}

// Each calls visit for each connection; visit may remove the connection that it is given from the table.
func (t *Table) Each(visit func(*Entry)) {
	for i := range t.lists {
		t.lists[i].each(visit)
	}
	t.deferred.each(visit)
}

// Admit adds a new connection, as Fresh. A victim that is not nil was evicted for it and removed from its table; the
// caller closes it. If ok is false, the new connection was rejected for the returned reason.
func (t *Table) Admit(entry *Entry, owner Owner, peerAddr netip.Addr, now time.Duration) (
	victim *Entry, reason Reason, ok bool,
) {
	if t.addressLimitReached(peerAddr) {
		t.evicted[AddressLimitReached]++
		return nil, AddressLimitReached, false
	}
	tableFull, sharedFull := t.size >= t.limits.MaxConns, t.shared.used >= t.shared.maxConns
	switch {
	case tableFull:
		victim = t.chooseVictim(now)
	case sharedFull:
		victim = t.shared.chooseVictim(now)
	}
	if victim == nil && (tableFull || sharedFull) {
		t.evicted[LimitReached]++
		return nil, LimitReached, false
	}
	if victim != nil {
		victim.table.evict(victim, ForNewConnection)
	}
	if peerAddr.IsValid() {
		entry.source = t.countSource(peerAddr)
	}
	entry.table, entry.owner, entry.enteredAt, entry.class, entry.inTable = t, owner, now, Fresh, true
	t.link(entry)
	t.size++
	t.shared.used++
	t.admitted++
	return victim, 0, true
}

// HasRoom reports whether a connection can be admitted without the eviction of another.
func (t *Table) HasRoom() bool {
	return t.size < t.limits.MaxConns && t.shared.used < t.shared.maxConns
}

// addressLimitReached reports whether an address has as many connections as the limit allows.
func (t *Table) addressLimitReached(peerAddr netip.Addr) bool {
	if t.limits.MaxPerAddr <= 0 || !peerAddr.IsValid() {
		return false
	}
	src := t.sources[peerAddr]
	return src != nil && src.conns >= t.limits.MaxPerAddr
}

// countSource counts one more connection from an address.
func (t *Table) countSource(peerAddr netip.Addr) *source {
	src := t.sources[peerAddr]
	if src == nil {
		src = &source{addr: peerAddr}
		t.sources[peerAddr] = src
	}
	src.conns++
	return src
}

// link appends a connection to the list of its class.
func (t *Table) link(e *Entry) {
	t.lists[e.class].append(e)
	t.counts[e.class]++
}

// unlink removes a connection from the list of its class, or from the list of deferred evictions.
func (t *Table) unlink(e *Entry) {
	e.prev.next, e.next.prev = e.next, e.prev
	t.counts[e.class]--
	if e.reason != notDeferred {
		e.reason = notDeferred
		t.deferredCount--
	}
}

// Move records the connection's new class and appends it to the list of that class, even if its class stays the same.
// A connection that is no longer in the table is ignored.
func (t *Table) Move(e *Entry, newClass Class, now time.Duration) {
	if !e.inTable {
		return
	}
	t.unlink(e)
	e.class, e.enteredAt = newClass, now
	t.link(e)
}

// Remove removes a connection, if it is in the table.
func (t *Table) Remove(entry *Entry) {
	if !entry.inTable {
		return
	}
	t.unlink(entry)
	t.size--
	t.shared.used--
	if src := entry.source; src != nil {
		if src.conns--; src.conns == 0 {
			delete(t.sources, src.addr)
		}
	}
	entry.inTable, entry.prev, entry.next, entry.source = false, nil, nil, nil
}

// evict removes a connection and counts the reason. The caller closes the connection.
func (t *Table) evict(e *Entry, reason Reason) {
	t.Remove(e)
	t.evicted[reason]++
}
