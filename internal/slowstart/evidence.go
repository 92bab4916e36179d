package slowstart

import "brackendale/internal/portablemath"

// A route is suspected when it has failed and its last success is suspicionGapUs old, or when the share of recent
// failures is suspicionRise above the lasting one. A failure among many recent successes is no evidence: the route was
// not out between them.
const (
	suspicionGapUs  = 1_000_000
	suspicionRise   = 0.3
	minOutcomes     = 4.0  // recent outcomes below which their share proves nothing
	lastingShareMax = 0.45 // a route that fails a larger lasting share has an outage
	recentDecayUs   = 2_000_000
	lastingDecayUs  = 5_000_000 // time constant with which the lasting share follows the recent one
	minHistory      = 8         // outcomes up to which all of them are the lasting share
)

// evidence is what the outcomes of a route's calls say of an outage.
type evidence struct {
	refusals     int   // since the last success
	refusedAt    int64 // the last refusal that was counted
	observedAt   int64
	observed     int // outcomes, up to minHistory
	recent       outcomeCounts
	lastingShare float64 // of failures
	gapFrom      int64   // the last time of more than suspicionGapUs without a success, up to gapTo
	gapTo        int64
	gapCalls     int // calls of that time that have failed or were given up behind it
}

// outcomeCounts are exponentially decaying numbers of outcomes.
type outcomeCounts struct{ failures, successes float64 }

func (c *outcomeCounts) decay(us int64) {
	weight := portablemath.Exp(-float64(us) / recentDecayUs)
	c.failures *= weight
	c.successes *= weight
}

// failureShare returns the share of failures, or 0 if there are none.
func (c *outcomeCounts) failureShare() float64 {
	if c.failures == 0 {
		return 0
	}
	return c.failures / (c.failures + c.successes)
}

func (e *evidence) decay(now int64) {
	share := e.recent.failureShare()
	weight := portablemath.Exp(-float64(now-e.observedAt) / lastingDecayUs)
	e.lastingShare = share + (e.lastingShare-share)*weight
	e.recent.decay(now - e.observedAt)
	e.observedAt = now
}

// observe counts an outcome.
func (e *evidence) observe(now int64, failures, successes float64) {
	e.decay(now)
	e.recent.failures += failures
	e.recent.successes += successes
	if e.observed < minHistory {
		e.observed++
		e.lastingShare = e.recent.failureShare()
	}
}

// ObserveSuccess counts a success. previousAt is the time of the one before, or of the first call; 0: there was none.
func (g *Gate) ObserveSuccess(now, previousAt int64) {
	e := &g.evidence
	if previousAt > 0 && now-previousAt > suspicionGapUs {
		e.gapFrom, e.gapTo, e.gapCalls = previousAt, now, 0
	}
	e.observe(now, 0, 1)
	g.Failed, e.refusals = false, 0
}

// ObserveFailure counts a failure.
func (g *Gate) ObserveFailure(now int64) {
	g.evidence.observe(now, 1, 0)
	g.Failed = true
}

// ObserveRefusal counts a refusal of a call that was sent at sentAt; calls sent before the last refusal that was
// counted prove nothing more. A refusal between successes may be due to a limit: only that number of refusals since the
// last success and further ones are failures.
func (g *Gate) ObserveRefusal(now, sentAt int64, refusalsOfOutage int) {
	e := &g.evidence
	if sentAt < e.refusedAt {
		return
	}
	e.refusedAt = now
	if e.refusals++; e.refusals >= refusalsOfOutage {
		g.ObserveFailure(now)
	}
}

// MissedReturn reports whether a call that fails or is given up now, and was sent at sentAt, shows that the last gap
// between successes was an outage: the success that ended it began no slow start. It takes that number of calls.
func (g *Gate) MissedReturn(now, sentAt int64, rules Rules, calls int) bool {
	e := &g.evidence
	if g.Paced(now) || sentAt <= e.gapFrom || sentAt >= e.gapTo || now >= e.gapTo+rules.PacedUs() {
		return false
	}
	e.gapCalls++
	return e.gapCalls >= calls
}

// RecoverLate begins the slow start of a route whose return was missed, as of that return. phase is a random number in
// [0, 1).
func (g *Gate) RecoverLate(now int64, rules Rules, capacity, phase float64) {
	g.Capacity, g.Suspected = capacity, false
	g.Until = g.evidence.gapTo + rules.PacedUs()
	g.NextCallAt = g.after(now, rules, phase)
}

// HasEvidence reports whether the outcomes until now are evidence of an outage. succeededAt is the time of the last
// success, or of the first call if there was none.
func (g *Gate) HasEvidence(now, succeededAt int64) bool {
	if !g.Failed {
		return false
	}
	if now-succeededAt > suspicionGapUs {
		return true
	}
	e := &g.evidence
	enough := e.recent.failures+e.recent.successes >= minOutcomes
	return enough && e.recent.failureShare()-min(lastingShareMax, e.lastingShare) > suspicionRise
}
