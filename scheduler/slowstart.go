package scheduler

import "math"

const (
	slowStartMarginMax = 1.3  // factor on the slow-start budget
	slowStartMarginMin = 1.15 // factor on the slow-start budget where it holds many calls
	slowStartBatchCost = 0.25 // cost of each further message of a call
	peakMinSamples     = 30   // answers after which the peak success rate tells the capacity
)

// slowStartState paces the return of a route.
type slowStartState struct {
	until      int64
	nextCallAt int64
}

// startListedSlowStart starts the slow start of a route whose only endpoint the list names as returning.
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
}

// beginRecovery starts the slow start of a route that answers again.
func (s *Scheduler) beginRecovery(rt *route) {
	rt.slowStart.until = s.now + s.settings.Rules.SlowStartUs
	rt.slowStart.nextCallAt = s.now + int64(1e6/s.slowStartRate(rt))
	rt.maxInFlight = 1
	s.logRoute("%s answers again after %d failures and %d ms, its load returns in steps", rt, s.now)
}

// chargeSlowStart puts the next call of a route in slow start off by the cost of one message.
func (s *Scheduler) chargeSlowStart(rt *route, call *call) {
	if s.now < rt.slowStart.until {
		cost := 1 - (1-slowStartBatchCost)*float64(min(call.size, 1))
		rt.slowStart.nextCallAt += int64(cost * 1e6 / s.slowStartRate(rt))
	}
}

// slowStartRate is this sender's part, in calls a second, of what a route takes in slow start, by a
// low estimate of its capacity.
func (s *Scheduler) slowStartRate(rt *route) float64 {
	rules := &s.settings.Rules
	started := 0.0 // share of the slow start that is over
	if rt.slowStart.until > 0 && rules.SlowStartUs > 0 {
		started = 1 - max(0, float64(rt.slowStart.until-s.now)/float64(rules.SlowStartUs))
	}
	share := rules.SlowStartInitialShare + (1-rules.SlowStartInitialShare)*started
	rate := s.capacityEstimate(rt) * share * max(1, rules.OverloadMultiple)
	rate *= s.slowStartMargin(rate)
	return max(rate, 1e6/(float64(max(rules.OverloadWindowUs, 500_000))*float64(s.settings.Senders)))
}

// capacityEstimate is this sender's part of a route's capacity, in calls a second, guessed low.
// Among many senders the sum of what arrives at each is the best guess.
func (s *Scheduler) capacityEstimate(rt *route) float64 {
	if s.hasSharedLimit(rt) {
		return rt.advertisedLimit.EvenShare(s.senders)
	}
	capacity := max(s.arrivalRate(rt)*s.crowding, rt.capacityHint, rt.throughput.peakSuccessRate/s.senderFactor)
	if rt.latency.samples < peakMinSamples {
		young := s.recovery.MeanBiasCorrection(s.now-s.startedAt, arrivalRateDecayUs)
		capacity = max(capacity, s.arrivalRate(rt)*young/slowStartMarginMax)
	}
	return capacity
}

// slowStartMargin is the factor by which all senders together may exceed the low estimate of a
// budget. rate is this sender's part of it. The more calls the budget holds, the less chance counts.
func (s *Scheduler) slowStartMargin(rate float64) float64 {
	calls := rate * s.senders * float64(s.settings.Rules.OverloadWindowUs) / 1e6
	if calls <= 0 {
		return slowStartMarginMax
	}
	return min(slowStartMarginMax, slowStartMarginMin+1/math.Sqrt(calls))
}
