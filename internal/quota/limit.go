// Package quota computes one sender's share of a limit that many senders use together. Replies report
// the limit and its headroom, the share of it that is unused. As all senders receive the same
// reports, the sum of their rates stays at the limit although the senders do not communicate. The
// package is pure: the caller passes in all times, in microseconds.
package quota

import (
	"math"

	"brackendale/internal/portablemath"
)

// Parameters of a sender's rate, as a factor of its even share, in dependence on the headroom.
const (
	// emptyFactor is the factor at a headroom of 0.
	emptyFactor = 0.75

	// slope is how much the factor grows with the headroom.
	slope = 0.5

	// surplusHeadroom is the headroom above which the factor also grows by surplusSlope times the
	// square of the excess, so that senders with more to send may use what the others leave unused.
	surplusHeadroom = 0.8
	surplusSlope    = 45.0

	// decayUs is the time constant, in microseconds, with which the influence of a reported headroom
	// decays exponentially. After long without a report only the limit counts.
	decayUs = 3_000_000

	// minFactor is the fraction of the even share that a sender keeps however many calls are rejected.
	minFactor = 0.5
)

// Limit is the latest report that one sender received of one limit. The zero value has no report. It
// is not safe for concurrent use.
type Limit struct {
	headroom   float64 // unused share of the limit, 0 to 1
	rate       float64 // calls per second; 0 if no limit was reported
	reportedAt int64   // microseconds
}

// Observe records a report: the unused share of the limit (0 to 1), and the limit in calls per second
// or 0 if there is none.
func (l *Limit) Observe(now int64, headroom, rate float64) {
	l.headroom, l.rate, l.reportedAt = min(1, max(0, headroom)), max(0, rate), now
}

// Known reports whether a limit was reported.
func (l *Limit) Known() bool { return l.rate > 0 }

// MaxRate returns the highest rate at which one of the given number of senders should send, in calls
// per second; infinite if no limit was reported.
func (l *Limit) MaxRate(now int64, senders float64) float64 {
	if !l.Known() {
		return math.Inf(1)
	}
	excess := max(0, l.headroom-surplusHeadroom)
	factor := emptyFactor + slope*l.headroom + surplusSlope*excess*excess
	factor = 1 + (factor-1)*portablemath.Exp(-float64(max(0, now-l.reportedAt))/decayUs)
	return l.EvenShare(senders) * factor
}

// EvenShare returns the limit divided by the number of senders, in calls per second; 0 if no limit was
// reported.
func (l *Limit) EvenShare(senders float64) float64 { return l.rate / max(1, senders) }

// MinRate returns the rate below which rejected calls do not reduce a sender's rate, in calls per
// second; 0 if no limit was reported. The sum over all senders is below the limit, so that the limit
// recovers even where rejected calls count against it.
func (l *Limit) MinRate(senders float64) float64 { return l.EvenShare(senders) * minFactor }

// State returns the report in the form in which it is stored: headroom, limit and time of the report.
// FromState restores it.
func (l *Limit) State() [3]float64 { return [3]float64{l.headroom, l.rate, float64(l.reportedAt)} }

// FromState restores a Limit from what State returned.
func FromState(state [3]float64) Limit {
	return Limit{headroom: state[0], rate: state[1], reportedAt: int64(state[2])}
}
