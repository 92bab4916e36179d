package scheduler

import (
	"fmt"
	"math"

	"brackendale/internal/quota"
	"brackendale/internal/recovery"
)

const (
	learnedHalfLifeUs    = 60_000_000  // learned latencies and failure shares count half after this time
	learnedMaxAgeUs      = 600_000_000 // older learned state is not used
	learnedUnavailableUs = 30_000_000  // for so long an outage is taken to last
	learnedRateMark      = 10.0        // the rate mark, as a multiple of the learned rate
)

// learnedEndpoint is what the last incarnation left of an endpoint with a route of its own.
type learnedEndpoint struct {
	Endpoint
	route       *route
	arrivalRate float64 // messages a second, its part of the destination's
}

// RestoreLearnedState takes up what the last incarnation left, before the first step. The times in
// the state are of the same clock as now. After an error, for a state of another version, nothing
// has been taken up.
func (s *Scheduler) RestoreLearnedState(state State, now int64) error {
	if err := state.checkLearned(); err != nil {
		return err
	}
	s.now = now
	s.recovery.SetRestarted()
	for i := range state.Destinations {
		s.restoreLearnedDestination(&state.Destinations[i])
	}
	return nil
}

// checkLearned tells why a state cannot be restored as a learned one.
func (state *State) checkLearned() error {
	if state.Format != StateFormat {
		return fmt.Errorf("memory: of form %d, this is %d", state.Format, StateFormat)
	}
	for i := range state.Destinations {
		dest := &state.Destinations[i]
		ok := newRoute("", nil).restore(dest.Route) && len(dest.Floats) == 1 && len(dest.Integers) == 1
		for _, ep := range dest.Endpoints {
			ok = ok && ep.OwnRoute != nil && newRoute("", nil).restore(*ep.OwnRoute)
		}
		if !ok {
			return fmt.Errorf("memory: destination %d makes no sense", dest.Destination)
		}
	}
	return nil
}

func (s *Scheduler) restoreLearnedDestination(state *DestinationState) {
	dest := s.destination(state.Destination)
	if rate, at := state.Floats[0], state.Integers[0]; rate > 0 && at <= s.now {
		dest.arrivalRate, dest.arrivalRateAt = rate, at
	}
	learned := newRoute("", dest)
	learned.restore(state.Route)
	s.restoreRoute(dest.route, learned, dest.arrivalRate)
	for i := range state.Endpoints { // kept until the list names them
		ep := &state.Endpoints[i]
		own := newRoute("", dest)
		own.restore(*ep.OwnRoute)
		s.learnedEndpoints[ep.Addr] = learnedEndpoint{
			Endpoint:    ep.Endpoint,
			route:       own,
			arrivalRate: dest.arrivalRate / float64(len(state.Endpoints)),
		}
	}
}

// adoptLearnedEndpoint restores the route of an endpoint that the list names, where the last
// incarnation knew the same one.
func (s *Scheduler) adoptLearnedEndpoint(ep *endpoint, listed Endpoint) {
	learned, ok := s.learnedEndpoints[listed.Addr]
	delete(s.learnedEndpoints, listed.Addr)
	same := learned.Zone == listed.Zone && learned.MachineType == listed.MachineType &&
		learned.Destination == listed.Destination
	if ok && ep.ownLimit && same {
		s.restoreRoute(ep.route, learned.route, learned.arrivalRate)
	}
}

// restoreRoute takes up what the last incarnation knew of a route, by its age. arrivalRate is that
// of its messages, a second.
func (s *Scheduler) restoreRoute(rt, learned *route, arrivalRate float64) {
	rt.retryAfterUntil = min(learned.retryAfterUntil, s.now+peerHintMaxUs)
	age := s.now - max(learned.lastSendAt, learned.lastAnswerAt, learned.health.lastFailureAt)
	if age < 0 || age > learnedMaxAgeUs {
		return
	}
	rt.lastAnswerAt = s.now - age // keeps the age, if this incarnation ends before it learns anything
	restoreEstimates(rt, learned, age, s.now)
	s.restoreLimit(rt, learned, age)
	s.restoreRate(rt, learned, max(learned.throughput.successRate, arrivalRate), age)
	s.restoreOutage(rt, learned, age)
}

// restoreEstimates takes up latencies and failure shares, with a weight that halves with their age.
func restoreEstimates(rt, learned *route, age, now int64) {
	weight := math.Exp2(-float64(age) / learnedHalfLifeUs)
	rt.latency.samples = math.Floor(learned.latency.samples * weight)
	if rt.latency.samples > 0 {
		rt.latency.smoothedUs = learned.latency.usualUs
		rt.latency.deviationUs = learned.latency.deviationUs
		rt.latency.usualUs = learned.latency.usualUs
		rt.throughput.peakSuccessRate = learned.throughput.peakSuccessRate * weight
	}
	rt.health.failureShare = learned.health.lastingFailureShare * weight
	rt.health.lastingFailureShare = rt.health.failureShare
	rt.health.failureShareAt = now
}

// restoreLimit takes up an advertised limit, and when the first call may leave. What was left of the
// limit is not known.
func (s *Scheduler) restoreLimit(rt, learned *route, age int64) {
	limit := learned.advertisedLimit.State()
	if !learned.advertisedLimit.Known() || math.IsInf(limit[1], 0) || s.settings.CapacityHints != HintsNone {
		return
	}
	rt.advertisedLimit = quota.FromState([3]float64{0, limit[1], 0})
	rt.capacityHint = limit[1] / s.senders
	delay := s.recovery.FirstCallDelay(rt.advertisedLimit.EvenShare(s.senders), age)
	switch {
	case learned.firstCallAt > s.now && learned.firstCallAt <= s.now+recovery.MaxSpreadUs:
		rt.firstCallAt = learned.firstCallAt // drawn anew, it might never come in a row of short incarnations
	case delay == 0:
		rt.firstCallAt = 0
	default:
		rt.firstCallAt = s.now + delay
	}
}

// restoreRate limits a route without an advertised limit to the last incarnation's rate, so that
// senders that return together do not send their backlog at once. Successes raise the rate.
func (s *Scheduler) restoreRate(rt, learned *route, rate float64, age int64) {
	if rt.advertisedLimit.Known() || rate <= 0 || age >= learnedHalfLifeUs {
		return
	}
	bucket := &rt.bucket
	bucket.limited = true
	bucket.rate = max(rate, minTotalRate/s.senders)
	bucket.rateMark = learnedRateMark * rate
	rt.lastSendAt = s.now
	if learned.bucket.limited && learned.bucket.rate > 0 {
		bucket.rate = min(bucket.rate, learned.bucket.rate)
		bucket.rateMark = learned.bucket.rateMark
	}
	bucket.tokens = s.rng.Float64()
	bucket.refilledAt = s.now
	catchUpRate, catchUpUs := s.recovery.CatchUpRate(max(bucket.rate, rate), age)
	bucket.catchUpRate = catchUpRate
	bucket.catchUpUntil = s.now + catchUpUs
	bucket.inherited = !learned.bucket.limited
}

// restoreOutage takes up an outage or a slow start that had not ended.
func (s *Scheduler) restoreOutage(rt, learned *route, age int64) {
	switch {
	case learned.health.unavailable && age < learnedUnavailableUs:
		rt.health.failingSince = s.now
		rt.health.lastFailureAt = s.now
		rt.health.consecutiveFailures = 1
		s.markUnavailable(rt)
		if learned.probe.nextAt > s.now && learned.probe.nextAt <= s.now+2*probeSpreadMaxUs {
			rt.probe.nextAt = learned.probe.nextAt // for the reason of firstCallAt
		}
	case learned.slowStart.until > s.now:
		rt.slowStart.until = min(learned.slowStart.until, s.now+s.settings.Rules.SlowStartUs)
		rt.slowStart.nextCallAt = s.now + int64(s.rng.Float64()*1e6/s.slowStartRate(rt))
	}
}
