// Package limits implements the limiters from which the limits of routes and classes are built (rate,
// sliding window, concurrency and daily quota, behind one interface), and a fair queue for tenants.
// The package is pure: the caller passes in all times, in microseconds of one clock that does not run
// backwards, and each limiter only determines whether its own limit allows a number of further units.
// Nothing here is safe for concurrent use.
//
// The limiters are exact: they compute with integers, so that no rounding error accumulates however
// long they run.
package limits

import "math"

// Never is the time of an event that does not happen by the passage of time alone.
const Never = math.MaxInt64

// Limiter is one limit on the number of units that may be taken.
type Limiter interface {
	// Take takes units, all of them or none, and reports whether it did.
	Take(now, units int64) bool

	// Return returns units that Take took: to a concurrency limit when they end, to the others when
	// they were not used.
	Return(now, units int64)

	// AvailableAt returns the earliest time at which Take of units would succeed if there were no other
	// calls until then; Never if it cannot succeed at all or not without a Return.
	AvailableAt(now, units int64) int64
}

// All combines several limiters. Each of them must allow what is taken.
type All []Limiter

// Take takes units from every limiter, or from none.
func (a All) Take(now, units int64) bool {
	for i, limit := range a {
		if !limit.Take(now, units) {
			for _, taken := range a[:i] {
				taken.Return(now, units)
			}
			return false
		}
	}
	return true
}

// Return returns units to every limiter.
func (a All) Return(now, units int64) {
	for _, limit := range a {
		limit.Return(now, units)
	}
}

// AvailableAt returns the latest of the times of all limiters. This is right because, while nothing is taken, a
// limiter that allows a number of units continues to do so.
func (a All) AvailableAt(now, units int64) int64 {
	at := now
	for _, limit := range a {
		at = max(at, limit.AvailableAt(now, units))
	}
	return at
}
