package scheduler

import "brackendale/internal/slowstart"

// slowStartRules returns the rules of the slow start in the form of the gate.
func (s *Scheduler) slowStartRules() slowstart.Rules {
	rules := &s.settings.Rules
	return slowstart.Rules{
		InitialShare: rules.SlowStartInitialShare,
		Multiple:     rules.OverloadMultiple,
		WindowUs:     rules.OverloadWindowUs,
		DurationUs:   rules.SlowStartUs,
		Senders:      s.senders,
	}
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
	rt.gate.Recover(s.now, s.slowStartRules(), s.capacityEstimate(rt))
	rt.gate.NextCallAt = s.now
	s.reportPhase(rt, reasonListed)
}

// suspectOutage begins the pacing of a route's calls if there is evidence of an outage.
func (s *Scheduler) suspectOutage(rt *route) {
	if !rt.gate.Suspected && rt.gate.HasEvidence(s.now, rt.lastSuccessAt) {
		rt.gate.Suspect(s.now, s.slowStartRules(), s.capacityEstimate(rt), s.rng.Float64())
		s.retrySuspectedSoon(rt)
	}
}

// inheritSuspicion begins the pacing of a new endpoint's own route if an endpoint of its destination that the list
// removes has or had an outage: the same server may come back at the new address.
func (s *Scheduler) inheritSuspicion(ep *endpoint) {
	if !ep.ownLimit || ep.route.gate.Paced(s.now) {
		return
	}
	capacity, paced := 0.0, 0
	for _, other := range ep.route.destination.endpoints {
		if !other.ownLimit || other.live && other.listed {
			continue
		}
		s.suspectOutage(other.route)
		if other.route.gate.Paced(s.now) {
			capacity += other.route.gate.Capacity
			paced++
		}
	}
	if paced > 0 {
		ep.route.gate.Suspect(s.now, s.slowStartRules(), capacity/float64(paced), s.rng.Float64())
		s.retrySuspectedSoon(ep.route)
	}
}

// retrySuspectedSoon lets one of few senders try a suspected route soon, whatever the estimate of its capacity: so few
// calls harm no route, and the estimate may be missing.
func (s *Scheduler) retrySuspectedSoon(rt *route) {
	if s.contention == 0 {
		rt.gate.NextCallAt = min(rt.gate.NextCallAt, s.now+probeIntervalMinUs)
	}
}

// The numbers of refused or lost calls without a success between them that are an outage. One of many senders may see
// no more than one of them in an outage, one of few senders has more of them at a limit.
const (
	outageCallsAmongFew   = 2
	outageCallsAmongMany  = 1
	manySendersContention = 0.5
)

// outageCalls returns the number of refused or lost calls that are an outage.
func (s *Scheduler) outageCalls() int {
	if s.contention > manySendersContention {
		return outageCallsAmongMany
	}
	return outageCallsAmongFew
}

// observeRefusal counts a refused call of a route. One that was refused for a used-up limit, as its response tells,
// needs a second one behind it.
func (s *Scheduler) observeRefusal(rt *route, call *call, event *Event) {
	refusals := s.outageCalls()
	if s.isLimitUsedUp(event) {
		refusals++
	}
	rt.gate.ObserveRefusal(s.now, call.sentAt, refusals)
	s.suspectOutage(rt)
}

// beginRecovery starts the slow start of a route that responds again.
func (s *Scheduler) beginRecovery(rt *route) {
	rt.gate.Recover(s.now, s.slowStartRules(), s.capacityEstimate(rt))
	rt.maxInFlight = 1
	s.logRoute("%s answers again after %d failures and %d ms, its load returns in steps", rt, s.now)
}

// recoverIfMissed begins the slow start of a route that had an outage and has responded since, as a call shows that has
// failed or was given up.
func (s *Scheduler) recoverIfMissed(rt *route, call *call) {
	if rules := s.slowStartRules(); rt.gate.MissedReturn(s.now, call.sentAt, rules, s.outageCalls()) {
		rt.gate.RecoverLate(s.now, rules, s.capacityEstimate(rt), s.rng.Float64())
	}
}

// slowStartRate returns this sender's share, in calls per second, of the load that a route accepts in
// slow start, by a low estimate of its capacity.
func (s *Scheduler) slowStartRate(rt *route) float64 {
	return rt.gate.Rate(s.now, s.slowStartRules(), s.capacityEstimate(rt))
}

// capacityEstimate returns a low estimate of this sender's share of a route's capacity, in calls per second: what the
// destination tells, or what the route has taken from this sender lately. The demand is no estimate: a backlog or a
// load above the capacity would raise it.
func (s *Scheduler) capacityEstimate(rt *route) float64 {
	switch {
	case s.hasSharedLimit(rt):
		return min(unlimitedRate, rt.advertisedLimit.EvenShare(s.senders))
	case rt.capacityHint > 0:
		return min(unlimitedRate, rt.capacityHint)
	}
	switch {
	case s.isLearningCapacity(rt):
		return max(s.sustainedRate(rt), s.arrivalRate(rt)*s.meanCorrection()/unknownCapacityDivisor)
	case rt.latency.samples == 0: // it has taken nothing yet
		return s.arrivalRate(rt) * s.meanCorrection() / unknownCapacityDivisor
	case s.isYoung():
		return s.sustainedRate(rt) / unknownCapacityDivisor
	}
	return s.sustainedRate(rt)
}

const (
	unknownCapacityDivisor = 1.3 // of the demand, or of a young mean, where it is the only estimate of a capacity
	learningMaxSamples     = 30  // responses up to which one of few senders does not know what a route takes
)

// isLearningCapacity reports whether this sender is one of few and does not know yet what a route takes: what it has
// been told to send is an estimate until then.
func (s *Scheduler) isLearningCapacity(rt *route) bool {
	return s.contention == 0 && rt.latency.samples < learningMaxSamples
}

// isYoung reports whether this incarnation is the first one and has not run for long enough to have an estimate by what
// routes have taken.
func (s *Scheduler) isYoung() bool {
	return !s.recovery.Restarted() && s.now-s.startedAt < arrivalRateDecayUs
}

// updateCapacity updates the estimate of a paced route where the one at the first evidence of an outage was a poor one.
func (s *Scheduler) updateCapacity(rt *route) {
	switch {
	case !rt.gate.Paced(s.now):
	case s.isLearningCapacity(rt):
		rt.gate.Capacity = s.capacityEstimate(rt)
	case s.isYoung():
		rt.gate.Capacity = max(rt.gate.Capacity, s.capacityEstimate(rt))
	}
}

// sustainedRate returns the rate of successes of a route over some time, in calls per second.
func (s *Scheduler) sustainedRate(rt *route) float64 {
	return rt.throughput.sustainedRateNow(s.now) * s.meanCorrection()
}

// meanCorrection returns the bias correction of means with the time constant arrivalRateDecayUs.
func (s *Scheduler) meanCorrection() float64 {
	return s.recovery.MeanBiasCorrection(s.now-s.startedAt, arrivalRateDecayUs)
}

// slowStartAvailableAt returns the time from which the slow start lets a call to a route through, which may have
// passed. Probe attempts have a time of their own, by the same rate.
func (s *Scheduler) slowStartAvailableAt(rt *route) int64 {
	s.suspectOutage(rt)
	if rt.health.unavailable {
		return s.now
	}
	return rt.gate.AvailableAt(s.now)
}

// chargeSlowStart charges a message of a call to a route's slow-start budget.
func (s *Scheduler) chargeSlowStart(rt *route, call *call) {
	s.updateCapacity(rt)
	rt.gate.Take(s.now, s.slowStartRules(), call.size == 0)
}

// restoreSlowStart restores the evidence of an outage, or a slow start, that the previous incarnation had.
func (s *Scheduler) restoreSlowStart(rt, learned *route) {
	rt.gate.State = learned.gate.State
	rt.gate.Until = min(learned.gate.Until, s.now+s.slowStartRules().PacedUs())
	if rt.gate.Capacity == 0 {
		rt.gate.Capacity = s.capacityEstimate(rt)
	}
	rt.gate.Resume(s.now, s.slowStartRules(), s.rng.Float64())
}
