package scheduler

import "math"

const (
	slowStartMarginMax = 1.3  // factor on a slow-start budget of few calls
	slowStartMarginMin = 1.15 // factor on a slow-start budget of many calls
	slowStartBatchCost = 0.25 // cost of each further message of a call, relative to the first
	peakMinSamples     = 30   // number of responses after which the peak success rate estimates the capacity
)

// slowStartState paces the calls to a recovering route.
type slowStartState struct {
	until      int64
	nextCallAt int64
}

// startListedSlowStart starts the slow start of a route if the endpoint list marks its only live endpoint as
// recovering.
func (s *Scheduler) startListedSlowStart(listed Endpoint) {
	ep := s.endpoints[listed.Addr]
	if !listed.SlowStart || ep == nil || !ep.live {
		return
	}
	for _, other := range ep.route.destination.endpoints {
		if other != ep && other.live && other.route == ep.route {
			return
		}
	}
	rt := ep.route
	rt.maxInFlight = 1
	rt.slowStart.until = s.now + s.settings.Rules.SlowStartUs
	rt.slowStart.nextCallAt = s.now
	s.reportPhase(rt, reasonListed)
}

// beginRecovery starts the slow start of a route that responds again.
func (s *Scheduler) beginRecovery(rt *route) {
	rt.slowStart.until = s.now + s.settings.Rules.SlowStartUs
	rt.slowStart.nextCallAt = s.now + int64(1e6/s.slowStartRate(rt))
	rt.maxInFlight = 1
	s.logRoute("%s answers again after %d failures and %d ms, its load returns in steps", rt, s.now)
}

// chargeSlowStart delays the next call to a route in slow start by the cost of one message.
func (s *Scheduler) chargeSlowStart(rt *route, call *call) {
	if s.now < rt.slowStart.until {
		cost := 1 - (1-slowStartBatchCost)*float64(min(call.size, 1))
		rt.slowStart.nextCallAt += int64(cost * 1e6 / s.slowStartRate(rt))
	}
}

// slowStartRate returns this sender's share, in calls per second, of the load that a route accepts in
// slow start, by a low estimate of its capacity.
func (s *Scheduler) slowStartRate(rt *route) float64 {
	rules := &s.settings.Rules
	elapsedShare := 0.0 // share of the slow start that has passed
	if rt.slowStart.until > 0 && rules.SlowStartUs > 0 {
		elapsedShare = 1 - max(0, float64(rt.slowStart.until-s.now)/float64(rules.SlowStartUs))
	}
	share := rules.SlowStartInitialShare + (1-rules.SlowStartInitialShare)*elapsedShare
	rate := s.capacityEstimate(rt) * share * max(1, rules.OverloadMultiple)
	rate *= s.slowStartMargin(rate)
	return max(rate, 1e6/(float64(max(rules.OverloadWindowUs, 500_000))*float64(s.settings.Senders)))
}

// capacityEstimate returns a low estimate of this sender's share of a route's capacity, in calls per
// second. With many senders the sum of their arrival rates is the best estimate of the capacity.
func (s *Scheduler) capacityEstimate(rt *route) float64 {
	if s.hasSharedLimit(rt) {
		return rt.advertisedLimit.EvenShare(s.senders)
	}
	capacity := max(s.arrivalRate(rt)*s.contention, rt.capacityHint, rt.throughput.peakSuccessRate/s.senderFactor)
	if rt.latency.samples < peakMinSamples {
		startupFactor := s.recovery.MeanBiasCorrection(s.now-s.startedAt, arrivalRateDecayUs)
		capacity = max(capacity, s.arrivalRate(rt)*startupFactor/slowStartMarginMax)
	}
	return capacity
}

// slowStartMargin returns the factor by which all senders together may exceed the low estimate of a
// budget. rate is this sender's share of the budget. The factor decreases with the number of calls in
// the budget, since their random variation matters less.
func (s *Scheduler) slowStartMargin(rate float64) float64 {
	totalCalls := rate * s.senders * float64(s.settings.Rules.OverloadWindowUs) / 1e6
	if totalCalls <= 0 {
		return slowStartMarginMax
	}
	return min(slowStartMarginMax, slowStartMarginMin+1/math.Sqrt(totalCalls))
}
