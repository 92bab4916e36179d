package scheduler

import "math"

const (
	outageAfterUs               = 3_000_000  // without a success; from then on failures are an outage
	failureShareGain            = 0.22       // weight of one outcome
	failureShareUnavailable     = 0.5        // failure share from which a route is unavailable
	lastingShareDecayUs         = 5_000_000  // for so long a failure share counts as recent
	probeIntervalMinUs          = 500_000    // between probe attempts
	probeIntervalMaxUs          = 2_500_000  // between probe attempts
	probeIntervalGrowth         = 1.5        // each gap against the one before
	probeIntervalManyMaxUs      = 12_000_000 // longest gap between one sender's probes among many
	unresponsiveLatencyMultiple = 1.5        // a route is silent after so many expected latencies
)

// healthState is what a route's failures tell.
type healthState struct {
	unavailable           bool
	consecutiveFailures   int // of any kind, rejections too
	consecutiveRejections int
	consecutiveTimeouts   int
	failingSince          int64
	lastFailureAt         int64
	lastFailureAmbiguous  bool // the attempt may have run
	failureShare          float64
	lastingFailureShare   float64 // the part of it that had lasted at failureShareAt
	failureShareAt        int64
}

// probeState paces the probe attempts to an unavailable route.
type probeState struct {
	nextAt         int64
	intervalUs     int64
	delegatedUntil int64 // until then another sender alone probes
}

// The indexes of endpoint.failures. The classes' streaks come after them, by requestClass.index.
const (
	connectFailures = iota
	rejections
	classFailures
)

// failureStreak counts failures in a row of one kind at one endpoint.
type failureStreak struct {
	count  int
	since  int64
	lastAt int64
}

func (streak *failureStreak) record(now int64) {
	streak.count++
	if streak.count == 1 {
		streak.since = now
	}
	streak.lastAt = now
}

// classFailures is the streak of the call's endpoint and class.
func (c *call) classFailures() *failureStreak {
	return &c.endpoint.failures[classFailures+c.messages[0].class.index]
}

// recordFailure records a failure other than a rejection. It leaves the rate as it is.
func (s *Scheduler) recordFailure(rt *route, call *call, mayHaveRun bool) {
	s.updateFailureShare(rt, 1)
	if call.sentAt >= rt.health.lastFailureAt {
		s.countFailure(rt, mayHaveRun)
	}
	mostlyFailing := rt.health.failureShare > failureShareUnavailable
	repeated := rt.health.consecutiveFailures-rt.health.consecutiveRejections >= 2
	noSuccess := s.now-rt.lastSuccessAt > outageAfterUs/3
	switch {
	case rt.health.unavailable, noSuccess && (repeated || mostlyFailing), rt.latency.samples == 0 && mostlyFailing:
		s.markUnavailable(rt)
	case rt.health.failureShare-s.lastingFailureShare(rt) > failureShareUnavailable:
		// Some calls succeed: probes would waste the capacity that is left.
		rt.slowStart.until = s.now + s.settings.Rules.SlowStartUs
	}
}

// countFailure counts a failure of a call that had left after the last one was known.
func (s *Scheduler) countFailure(rt *route, mayHaveRun bool) {
	rt.health.consecutiveFailures++
	if rt.health.consecutiveFailures == 1 {
		rt.health.failingSince = s.now
	}
	rt.health.lastFailureAt = s.now
	rt.health.lastFailureAmbiguous = mayHaveRun
}

// clearFailures makes a route available.
func (s *Scheduler) clearFailures(rt *route) {
	rt.health.unavailable = false
	rt.health.consecutiveFailures = 0
	rt.health.consecutiveRejections = 0
	rt.health.consecutiveTimeouts = 0
	rt.probe.intervalUs = probeIntervalMinUs
}

// markUnavailable records an outage, or that it lasts: from here on the route gets single probe
// attempts with growing gaps.
func (s *Scheduler) markUnavailable(rt *route) {
	if !rt.health.unavailable {
		rt.health.unavailable = true
		rt.maxInFlight = 1
		rt.probe.intervalUs = probeIntervalMinUs
		rt.slowStart.until = 0
		s.logRoute("%s is out: %d failures without a success for %d ms, trial calls only", rt, s.now)
	}
	// The probes of all senders together stay below what the route takes in slow start.
	spreadUs := s.contention * min(1.2e6/s.slowStartRate(rt), probeIntervalManyMaxUs)
	rt.probe.nextAt = s.now + int64(max(float64(rt.probe.intervalUs), spreadUs)*(0.8+0.4*s.rng.Float64()))
	rt.probe.nextAt = max(rt.probe.nextAt, rt.retryAfterUntil+int64(spreadUs*s.rng.Float64()))
	rt.probe.intervalUs = min(probeIntervalMaxUs, int64(float64(rt.probe.intervalUs)*probeIntervalGrowth))
	if s.hasSharedLimit(rt) {
		rt.probe.intervalUs = min(rt.probe.intervalUs, max(probeIntervalMinUs, int64(spreadUs)))
	}
}

// isProbing tells whether calls to a route leave one by one: it is failing, or holds calls and has
// been silent for longer than expected, before any time-out shows it.
func (s *Scheduler) isProbing(rt *route) bool {
	unresponsive := len(rt.calls) > 0 && s.isUnresponsiveSince(rt, max(rt.calls[0].sentAt, rt.lastOutcomeAt))
	return unresponsive || s.isFailing(rt)
}

// isFailing tells whether a route is unavailable, or without a success since a failure some time ago.
func (s *Scheduler) isFailing(rt *route) bool {
	health := &rt.health
	if health.unavailable {
		return true
	}
	failed := health.consecutiveFailures > health.consecutiveRejections ||
		float64(health.consecutiveRejections) > s.senderFactor
	return failed && s.now-health.failingSince > outageAfterUs
}

// unresponsiveSinceStart tells whether this incarnation has begun in an outage without failures: it holds
// calls, and the route has never answered.
func (s *Scheduler) unresponsiveSinceStart(rt *route) bool {
	return rt.latency.samples == 0 && len(rt.calls) > 0 && s.isUnresponsiveSince(rt, rt.calls[0].sentAt)
}

func (s *Scheduler) isUnresponsiveSince(rt *route, since int64) bool {
	return s.now-since > int64(unresponsiveLatencyMultiple*float64(s.expectedLatencyUs(rt)))
}

// lastingFailureShare is the part of a route's failure share that is not recent. Waiting does not
// reduce it.
func (s *Scheduler) lastingFailureShare(rt *route) float64 {
	health := &rt.health
	return health.failureShare + (health.lastingFailureShare-health.failureShare)*
		math.Exp(-float64(s.now-health.failureShareAt)/lastingShareDecayUs)
}

// updateFailureShare records an outcome in the route's failure share: 1 for a failure, else 0.
func (s *Scheduler) updateFailureShare(rt *route, failed float64) {
	rt.health.lastingFailureShare = s.lastingFailureShare(rt)
	rt.health.failureShareAt = s.now
	rt.health.failureShare += (failed - rt.health.failureShare) * failureShareGain
}

// siblingConnects tells whether another endpoint of the same route has had no failed connect lately.
// In a rolling restart single addresses fail while the route is available.
func (s *Scheduler) siblingConnects(ep *endpoint) bool {
	for _, other := range ep.route.destination.endpoints {
		if other == ep || other.ownLimit || !other.live {
			continue
		}
		streak := other.failures[connectFailures]
		if streak.count == 0 || s.now-streak.lastAt > arrivalRateDecayUs {
			return true
		}
	}
	return false
}
