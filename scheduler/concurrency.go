package scheduler

import (
	"math"
	"slices"
)

// The multiples are of a route's expected latency unless they name the baseline latency.
const (
	maxDestinationCallShare = 0.75 // maximum calls in flight to one destination, as a share of all
	maxSlowRouteCallShare   = 0.5  // maximum calls in flight to slow, unresponsive or failing routes, as a share of all
	slowLatencyMultiple     = 3.0  // of the baseline latency, above which a route is slow
	overdueLatencyMultiple  = 4.0  // after which a call is overdue
	cancelLatencyMultiple   = 3.0  // after which a stuck call may be canceled
	defaultLatencyUs        = 500_000
	slowRouteRetryUs        = probeIntervalMinUs / 4 // delay before the next attempt to send to a slow route
)

// latencyEstimate tracks the time from the start of an attempt to its response.
type latencyEstimate struct {
	smoothedUs  float64 // moving average over 8 responses
	deviationUs float64 // mean deviation from smoothedUs
	baselineUs  float64 // moving average over 64 responses
	samples     float64
}

// observe records the latency of one response.
func (latency *latencyEstimate) observe(latencyUs float64) {
	latency.samples++
	if latency.samples == 1 {
		latency.smoothedUs, latency.deviationUs, latency.baselineUs = latencyUs, latencyUs/2, latencyUs
	}
	latency.deviationUs += (math.Abs(latencyUs-latency.smoothedUs) - latency.deviationUs) / min(8, latency.samples+1)
	latency.smoothedUs += (latencyUs - latency.smoothedUs) / min(8, latency.samples)
	latency.baselineUs += (min(latencyUs, 4*latency.baselineUs) - latency.baselineUs) / min(64, latency.samples)
}

// expectedLatencyUs returns the time within which a route normally responds: the smoothed latency plus
// two deviations.
func (s *Scheduler) expectedLatencyUs(rt *route) int64 {
	if rt.latency.smoothedUs == 0 {
		return max(s.settings.Limits.ConnectTimeoutUs, defaultLatencyUs)
	}
	return int64((rt.latency.smoothedUs + 2*rt.latency.deviationUs) * s.slowdown)
}

// updateSlowdown records that a route has responded, and updates the slowdown: the median, over all
// responding routes, of the latency as a multiple of the baseline. If all routes are slow, none counts
// as slow.
func (s *Scheduler) updateSlowdown(responding *route) {
	if !slices.Contains(s.respondingRoutes, responding) {
		s.respondingRoutes = append(s.respondingRoutes, responding)
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

// raiseMaxInFlight doubles a route's concurrency limit after a success.
func (s *Scheduler) raiseMaxInFlight(rt *route) {
	limit := s.maxCallsPerDestination
	if s.isSlow(rt) {
		limit = max(1, limit/2)
	}
	rt.maxInFlight = min(limit, rt.maxInFlight*2)
}

// isSlow reports whether a route responds much slower than its baseline while others do not.
func (s *Scheduler) isSlow(rt *route) bool {
	return rt.latency.smoothedUs > slowLatencyMultiple*rt.latency.baselineUs*s.slowdown
}

// isOverdue reports whether a call without an outcome has probably been lost.
func (s *Scheduler) isOverdue(rt *route, sentAt int64) bool {
	return s.now-sentAt > int64(overdueLatencyMultiple*float64(s.expectedLatencyUs(rt)))
}

// countCallsToSlowRoutes updates callsToSlowRoutes. A route that endpoints share is counted once.
func (s *Scheduler) countCallsToSlowRoutes() {
	s.callsToSlowRoutes = 0
	for _, dest := range s.active {
		for i, ep := range dest.endpoints {
			rt := ep.route
			alreadyCounted := !ep.ownLimit && i > 0
			if !alreadyCounted && len(rt.calls) > 0 && (s.isSlow(rt) || s.isProbing(rt)) {
				s.callsToSlowRoutes += len(rt.calls)
			}
		}
	}
}

// cancelStuckCall cancels one call if the limit of concurrent calls is reached, unresponsive or
// unavailable routes use some of them, and a working route has pending messages. A canceled unsafe
// message fails.
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

// cancellationCost returns the cost of canceling the oldest call of a route: highest for an unsafe
// message, and lower the older the call is. It reports false if the call may not be canceled.
func (s *Scheduler) cancellationCost(rt *route, probing bool) (float64, bool) {
	if len(rt.calls) == 0 {
		return 0, false
	}
	oldest := rt.calls[0]
	if probing && s.callsToSlowRoutes <= s.maxCallsToSlowRoutes || !probing && oldest.sentAt > rt.overtakenUntil {
		return 0, false
	}
	ageInLatencies := float64(s.now-oldest.sentAt) / float64(s.expectedLatencyUs(rt))
	if oldest.canceled || ageInLatencies <= cancelLatencyMultiple || s.now-oldest.sentAt <= oldest.cancelAfterUs() {
		return 0, false
	}
	return 100*float64(oldest.messages[0].class.repeatRisk) - ageInLatencies, true
}

// cancelOvertaken cancels the overdue calls of a route that were sent before one that has its response
// now: they have been lost.
func (s *Scheduler) cancelOvertaken(rt *route, completed *call) {
	rt.overtakenUntil = max(rt.overtakenUntil, completed.sentAt-1)
	for _, other := range rt.calls {
		if other.sentAt < completed.sentAt && s.isOverdue(rt, other.sentAt) && s.now-other.sentAt > other.cancelAfterUs() {
			if !other.canceled {
				s.recoverIfMissed(rt, other)
			}
			s.cancelCall(other, false)
		}
	}
}

// cancelCall cancels the attempts of a call that have no response yet. Attempts of unsafe messages are
// canceled only if unsafe is set.
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

// cancelAfterUs returns the minimum age at which a call may be canceled: the latency objective if it
// carries an unsafe message, otherwise half of it, which leaves the other half for a retry.
func (c *call) cancelAfterUs() int64 {
	afterUs := c.messages[0].class.LatencyObjectiveUs / 2
	for _, msg := range c.messages {
		if msg.class.unsafe {
			return max(afterUs, msg.class.LatencyObjectiveUs)
		}
	}
	return afterUs
}
