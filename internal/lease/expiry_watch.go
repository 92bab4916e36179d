package lease

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// ExpiryWatch determines which leases their holders can no longer rely on, by the clock of one member
// that applies the log. Any member may run one, provided that it observes each change after the
// change was applied, never before. It is not safe for concurrent use.
type ExpiryWatch struct {
	terms    Terms
	observed map[string]observation
}

// observation is the time at which the latest grant or renewal of a lease was first seen.
type observation struct {
	epoch   uint64
	renewal uint64
	seenAt  time.Duration
	term    time.Duration // for how long from seenAt the lease must not be expired
}

// NewExpiryWatch returns an ExpiryWatch that has not observed any lease.
func NewExpiryWatch(terms Terms) *ExpiryWatch {
	return &ExpiryWatch{terms: terms, observed: map[string]observation{}}
}

// Observe records the grants and renewals in a table that are new since the last call. now must be
// later than the time at which the last entry was applied to the table. A change that is observed
// late only delays the expiry of its lease.
func (w *ExpiryWatch) Observe(table *Table, now time.Duration) {
	for name, lease := range table.Leases {
		last, ok := w.observed[name]
		if lease.Holder == "" || ok && last.epoch == lease.Epoch && last.renewal == lease.Renewal {
			continue
		}
		terms := w.terms
		terms.Length = max(terms.Length, time.Duration(lease.HoldUs)*time.Microsecond)
		w.observed[name] = observation{
			epoch: lease.Epoch, renewal: lease.Renewal, seenAt: now, term: terms.ObserverTerm(),
		}
	}
	maps.DeleteFunc(w.observed, func(name string, _ observation) bool {
		lease := table.Leases[name]
		return lease == nil || lease.Holder == ""
	})
}

// Expired lists the leases that may be expired, sorted by name, and returns the time at which the
// next one may be, or math.MaxInt64 if there is none.
func (w *ExpiryWatch) Expired(now time.Duration) (expired []Ref, next time.Duration) {
	next = math.MaxInt64
	for name, last := range w.observed {
		if end := last.seenAt + last.term; now >= end {
			expired = append(expired, Ref{Name: name, Epoch: last.epoch, Renewal: last.renewal})
		} else {
			next = min(next, end)
		}
	}
	slices.SortFunc(expired, func(a, b Ref) int { return cmp.Compare(a.Name, b.Name) })
	return expired, next
}

// Remaining returns how long it takes until a lease may be expired; 0 if it may be now, or is not
// held.
func (w *ExpiryWatch) Remaining(name string, now time.Duration) time.Duration {
	last, ok := w.observed[name]
	if !ok {
		return 0
	}
	return max(0, last.seenAt+last.term-now)
}
