package scheduler

import (
	"math"
	"slices"
)

// The multiples are of a route's expected latency, or where they say so of its usual one.
const (
	maxDestinationCallShare = 0.75 // most calls in flight to one destination, as a share of all
	maxSlowRouteCallShare   = 0.5  // most calls in flight to slow, silent or failing routes, as a share of all
	slowLatencyMultiple     = 3.0  // a route is slow: multiple of the usual latency
	overdueLatencyMultiple  = 4.0  // a call is overdue
	cancelLatencyMultiple   = 3.0  // a call to a silent route may be canceled
	defaultLatencyUs        = 500_000
	slowRouteRetryUs        = probeIntervalMinUs / 4 // when to ask again for a call to a slow route
)

// latencyEstimate follows the time from an attempt's start to its answer.
type latencyEstimate struct {
	smoothedUs  float64
	deviationUs float64
	baselineUs  float64 // over many more answers
	samples     float64
}

// observe takes up the latency of one answer.
func (latency *latencyEstimate) observe(latencyUs float64) {
	latency.samples++
	if latency.samples == 1 {
		latency.smoothedUs, latency.deviationUs, latency.baselineUs = latencyUs, latencyUs/2, latencyUs
	}
	latency.deviationUs += (math.Abs(latencyUs-latency.smoothedUs) - latency.deviationUs) / min(8, latency.samples+1)
	latency.smoothedUs += (latencyUs - latency.smoothedUs) / min(8, latency.samples)
	latency.baselineUs += (min(latencyUs, 4*latency.baselineUs) - latency.baselineUs) / min(64, latency.samples)
}

// expectedLatencyUs is the time within which a route normally answers: the mean and two deviations.
func (s *Scheduler) expectedLatencyUs(rt *route) int64 {
	if rt.latency.smoothedUs == 0 {
		return max(s.settings.Limits.ConnectTimeoutUs, defaultLatencyUs)
	}
	return int64((rt.latency.smoothedUs + 2*rt.latency.deviationUs) * s.slowdown)
}

// updateSlowdown notes that a route has answered, and takes the median over all routes of the
// latency against the usual one: where all are slow, none counts as slow.
func (s *Scheduler) updateSlowdown(answered *route) {
	if !slices.Contains(s.respondingRoutes, answered) {
		s.respondingRoutes = append(s.respondingRoutes, answered)
	}
	s.respondingRoutes = slices.DeleteFunc(s.respondingRoutes, func(rt *route) bool {
		return s.now-rt.lastSuccessAt >= outageAfterUs
	})
	var buffer [32]float64
	ratios := buffer[:0]
	for _, rt := range s.respondingRoutes {
		ratios = append(ratios, rt.latency.smoothedUs/rt.latency.baselineUs)
	}
	slices.Sort(ratios)
	s.slowdown = max(1, elementOrZero(ratios, len(ratios)/2))
}

// raiseMaxInFlight doubles a route's concurrency limit for a success.
func (s *Scheduler) raiseMaxInFlight(rt *route) {
	limit := s.maxCallsPerDestination
	if s.isSlow(rt) {
		limit = max(1, limit/2)
	}
	rt.maxInFlight = min(limit, rt.maxInFlight*2)
}

// isSlow tells whether a route answers much slower than usual, while others do not.
func (s *Scheduler) isSlow(rt *route) bool {
	return rt.latency.smoothedUs > slowLatencyMultiple*rt.latency.baselineUs*s.slowdown
}

// isOverdue tells whether a call without an outcome has probably been lost.
func (s *Scheduler) isOverdue(rt *route, sentAt int64) bool {
	return s.now-sentAt > int64(overdueLatencyMultiple*float64(s.expectedLatencyUs(rt)))
}

// countCallsToSlowRoutes updates callsToSlowRoutes.
func (s *Scheduler) countCallsToSlowRoutes() {
	s.callsToSlowRoutes = 0
	for _, dest := range s.active {
		for i, ep := range dest.endpoints {
			rt := ep.route
			counted := !ep.ownLimit && i > 0
			if !counted && len(rt.calls) > 0 && (s.isSlow(rt) || s.isProbing(rt)) {
				s.callsToSlowRoutes += len(rt.calls)
			}
		}
	}
}

// cancelStuckCall cancels one call where all are in use, some by routes that are silent or
// unavailable, while a route that works has pending messages. A canceled unsafe message fails.
func (s *Scheduler) cancelStuckCall() {
	if s.callsInFlight < s.maxCalls {
		return
	}
	var stuck *call
	lowestCost, neededElsewhere := math.Inf(1), false
	for _, dest := range s.active {
		for _, ep := range dest.endpoints {
			probing := s.isProbing(ep.route)
			if ok, _ := s.maySend(dest, ep); ok && !probing && len(dest.pending) > 0 {
				neededElsewhere = true
			}
			if cost, ok := s.cancellationCost(ep.route, probing); ok && cost < lowestCost {
				lowestCost, stuck = cost, ep.route.calls[0]
			}
		}
	}
	if neededElsewhere && stuck != nil {
		s.cancelCall(stuck, true)
	}
}

// cancellationCost is what canceling the oldest call of a route costs: most for an unsafe message,
// less the longer it has waited. False where it may not be canceled.
func (s *Scheduler) cancellationCost(rt *route, probing bool) (float64, bool) {
	if len(rt.calls) == 0 {
		return 0, false
	}
	oldest := rt.calls[0]
	if probing && s.callsToSlowRoutes <= s.maxCallsToSlowRoutes || !probing && oldest.sentAt > rt.overtakenUntil {
		return 0, false
	}
	age := float64(s.now-oldest.sentAt) / float64(s.expectedLatencyUs(rt))
	if oldest.canceled || age <= cancelLatencyMultiple || s.now-oldest.sentAt <= oldest.cancelAfterUs() {
		return 0, false
	}
	return 100*float64(oldest.messages[0].class.repeatRisk) - age, true
}

// cancelOvertaken cancels overdue calls that left before one that is answered now: they were lost.
func (s *Scheduler) cancelOvertaken(rt *route, answered *call) {
	rt.overtakenUntil = max(rt.overtakenUntil, answered.sentAt-1)
	for _, other := range rt.calls {
		if other.sentAt < answered.sentAt && s.isOverdue(rt, other.sentAt) && s.now-other.sentAt > other.cancelAfterUs() {
			s.cancelCall(other, false)
		}
	}
}

// cancelCall cancels the attempts of a call that have no response yet, those of unsafe messages
// only where unsafe is set.
func (s *Scheduler) cancelCall(call *call, unsafe bool) {
	if !call.canceled && s.settings.Limits.CanCancel {
		for _, msg := range call.messages {
			if msg.call == call && !msg.responseStarted && (unsafe || !msg.class.unsafe) {
				s.actions = append(s.actions, Action{Kind: CancelAttempt, ID: msg.id, Attempt: msg.attempts - 1})
			}
		}
	}
	call.canceled = true
}

// cancelAfterUs is how long a call gets at least: the latency objective where it has an unsafe
// message, else half of it, so that a retry has as long.
func (c *call) cancelAfterUs() int64 {
	afterUs := c.messages[0].class.LatencyObjectiveUs / 2
	for _, msg := range c.messages {
		if msg.class.unsafe {
			return max(afterUs, msg.class.LatencyObjectiveUs)
		}
	}
	return afterUs
}
