package scheduler

import "brackendale/internal/portablemath"

const (
	outageAfterUs               = 3_000_000  // failures are an outage after this time without a success
	failureShareGain            = 0.22       // weight of one outcome in the failure share
	failureShareUnavailable     = 0.5        // failure share above which a route is unavailable
	lastingShareDecayUs         = 5_000_000  // time constant with which lastingFailureShare follows failureShare
	probeIntervalMinUs          = 500_000    // between probe attempts
	probeIntervalMaxUs          = 2_500_000  // between probe attempts
	probeIntervalGrowth         = 1.5        // factor from one probe interval to the next
	probeSpreadMaxUs            = 12_000_000 // maximum time over which many senders spread their probe attempts
	unresponsiveLatencyMultiple = 1.5        // a route is unresponsive after this multiple of its expected latency
)

// healthState is the health of a route, as derived from its failures.
type healthState struct {
	unavailable           bool
	consecutiveFailures   int // of any kind, rejections included
	consecutiveRejections int
	consecutiveTimeouts   int
	failingSince          int64
	lastFailureAt         int64
	lastFailureAmbiguous  bool // the attempt may have run
	failureShare          float64
	lastingFailureShare   float64 // the part of failureShare that was not recent, as of failureShareAt
	failureShareAt        int64
}

// probeState paces the probe attempts to an unavailable route.
type probeState struct {
	nextAt         int64
	intervalUs     int64
	delegatedUntil int64 // only another sender probes until then
}

// The indexes of endpoint.failures. From classFailures on, each class has a streak, ordered by
// requestClass.index.
const (
	connectFailures = iota
	rejections
	classFailures
)

// failureStreak counts the consecutive failures of one kind at one endpoint.
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

// classFailures returns the failure streak of the call's endpoint and class. Of a removed class none is kept.
func (c *call) classFailures() *failureStreak {
	class := c.messages[0].class
	if class.removed {
		return &failureStreak{}
	}
	return &c.endpoint.failures[classFailures+class.index]
}

// recordFailure records a failure other than a rejection. It does not change the route's rate.
func (s *Scheduler) recordFailure(rt *route, call *call, mayHaveRun bool) {
	s.updateFailureShare(rt, 1)
	if call.sentAt >= rt.health.lastFailureAt {
		s.countFailure(rt, mayHaveRun)
	}
	mostlyFailing := rt.health.failureShare > failureShareUnavailable
	repeated := rt.health.consecutiveFailures-rt.health.consecutiveRejections >= 2
	noSuccess := s.now-rt.lastSuccessAt > outageAfterUs/3
	rt.gate.ObserveFailure(s.now)
	s.recoverIfMissed(rt, call)
	s.suspectOutage(rt)
	// Where some calls succeed, single probe attempts would waste the remaining capacity.
	if rt.health.unavailable || noSuccess && (repeated || mostlyFailing) || rt.latency.samples == 0 && mostlyFailing {
		s.markUnavailable(rt)
	}
}

// countFailure counts a failure of a call that was sent after the previous failure was recorded.
func (s *Scheduler) countFailure(rt *route, mayHaveRun bool) {
	rt.health.consecutiveFailures++
	if rt.health.consecutiveFailures == 1 {
		rt.health.failingSince = s.now
	}
	rt.health.lastFailureAt = s.now
	rt.health.lastFailureAmbiguous = mayHaveRun
}

// clearFailures marks a route as available.
func (s *Scheduler) clearFailures(rt *route) {
	rt.health.unavailable = false
	rt.health.consecutiveFailures = 0
	rt.health.consecutiveRejections = 0
	rt.health.consecutiveTimeouts = 0
	rt.probe.intervalUs = probeIntervalMinUs
}

// markUnavailable records that an outage has begun or continues. The route gets only single probe
// attempts, at increasing intervals.
func (s *Scheduler) markUnavailable(rt *route) {
	if !rt.health.unavailable {
		rt.health.unavailable = true
		rt.maxInFlight = 1
		rt.probe.intervalUs = probeIntervalMinUs
		rt.gate.Fall(s.now)
		rt.gate.Suspect(s.now, s.slowStartRules(), s.capacityEstimate(rt), s.rng.Float64())
		s.logRoute("%s is out: %d failures without a success for %d ms, trial calls only", rt, s.now)
	}
	// The probe attempts of all senders together stay below the load that the route accepts in slow start.
	spreadUs := s.contention * min(1.2e6/s.slowStartRate(rt), probeSpreadMaxUs)
	rt.probe.nextAt = s.now + int64(max(float64(rt.probe.intervalUs), spreadUs)*(0.8+0.4*s.rng.Float64()))
	rt.probe.nextAt = max(rt.probe.nextAt, rt.retryAfterUntil+int64(spreadUs*s.rng.Float64()))
	rt.probe.intervalUs = min(probeIntervalMaxUs, int64(float64(rt.probe.intervalUs)*probeIntervalGrowth))
	if s.hasSharedLimit(rt) {
		rt.probe.intervalUs = min(rt.probe.intervalUs, max(probeIntervalMinUs, int64(spreadUs)))
	}
}

// isProbing reports whether calls to a route are sent one at a time: it is failing, or it has calls in
// flight and has been unresponsive for longer than expected. The latter shows before any timeout.
func (s *Scheduler) isProbing(rt *route) bool {
	unresponsive := len(rt.calls) > 0 && s.isUnresponsiveSince(rt, max(rt.calls[0].sentAt, rt.lastOutcomeAt))
	return unresponsive || s.isFailing(rt)
}

// isFailing reports whether a route is unavailable, or has had only failures for outageAfterUs.
func (s *Scheduler) isFailing(rt *route) bool {
	health := &rt.health
	if health.unavailable {
		return true
	}
	failed := health.consecutiveFailures > health.consecutiveRejections ||
		float64(health.consecutiveRejections) > s.senderFactor
	return failed && s.now-health.failingSince > outageAfterUs
}

// unresponsiveSinceStart reports whether a route has never responded to this incarnation and its oldest
// call in flight has waited for longer than expected: the incarnation may have started during an outage
// that causes no failures.
func (s *Scheduler) unresponsiveSinceStart(rt *route) bool {
	return rt.latency.samples == 0 && len(rt.calls) > 0 && s.isUnresponsiveSince(rt, rt.calls[0].sentAt)
}

func (s *Scheduler) isUnresponsiveSince(rt *route, since int64) bool {
	return s.now-since > int64(unresponsiveLatencyMultiple*float64(s.expectedLatencyUs(rt)))
}

// lastingFailureShare returns the part of a route's failure share that is not recent. Without further
// outcomes it approaches the failure share, not zero.
func (s *Scheduler) lastingFailureShare(rt *route) float64 {
	health := &rt.health
	return health.failureShare + (health.lastingFailureShare-health.failureShare)*
		portablemath.Exp(-float64(s.now-health.failureShareAt)/lastingShareDecayUs)
}

// updateFailureShare records an outcome in the route's failure share: 1 for a failure, 0 otherwise.
func (s *Scheduler) updateFailureShare(rt *route, failed float64) {
	rt.health.lastingFailureShare = s.lastingFailureShare(rt)
	rt.health.failureShareAt = s.now
	rt.health.failureShare += (failed - rt.health.failureShare) * failureShareGain
}

// siblingConnects reports whether another endpoint of the same route has had no failed connect recently.
// In a rolling restart single addresses fail while the route stays available.
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
