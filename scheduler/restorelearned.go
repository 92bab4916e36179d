package scheduler

import (
	"fmt"
	"math"

	"brackendale/internal/portablemath"
	"brackendale/internal/quota"
	"brackendale/internal/recovery"
)

const (
	learnedHalfLifeUs       = 60_000_000     // half-life of the weight of learned latencies and failure shares
	learnedMaxAgeUs         = 600_000_000    // older learned state is not used
	learnedUnavailableUs    = 30_000_000     // maximum age at which an outage is restored
	learnedRetryAfterMaxUs  = 86_400_000_000 // longest Retry-After that is restored
	learnedRateMarkMultiple = 10.0           // the restored rate mark, as a multiple of the learned rate
)

// learnedEndpoint is the learned state of an endpoint with its own route, from the previous incarnation.
type learnedEndpoint struct {
	Endpoint
	route       *route
	arrivalRate float64 // messages per second, its share of the destination's
}

// RestoreLearnedState restores the learned state of the previous incarnation. It must be called before
// the first step. The times in the state are of the same clock as now. It returns an error, and restores
// nothing, for a state of another format version or with invalid contents.
func (s *Scheduler) RestoreLearnedState(state State, now int64) error {
	if err := state.checkLearned(); err != nil {
		return err
	}
	s.now = now
	s.recovery.SetRestarted()
	s.otherRetryAfterUntil = min(state.OtherRetryAfterUntil, now+learnedRetryAfterMaxUs)
	for i := range state.Destinations {
		s.restoreLearnedDestination(&state.Destinations[i])
	}
	return nil
}

// checkLearned returns an error for a state that cannot be restored as learned state.
func (state *State) checkLearned() error {
	if state.Format != StateFormat {
		return fmt.Errorf("learned state: format version %d, expected %d", state.Format, StateFormat)
	}
	for i := range state.Destinations {
		dest := &state.Destinations[i]
		ok := newRoute("", nil).restore(dest.Route) && len(dest.Floats) == 1 && len(dest.Integers) == 1
		for _, ep := range dest.Endpoints {
			ok = ok && ep.OwnRoute != nil && newRoute("", nil).restore(*ep.OwnRoute)
		}
		if !ok {
			return fmt.Errorf("learned state: invalid state of destination %d", dest.Destination)
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
	for i := range state.Endpoints { // kept until the endpoint list contains them
		ep := &state.Endpoints[i]
		ownRoute := newRoute("", dest)
		ownRoute.restore(*ep.OwnRoute)
		s.learnedEndpoints[ep.Addr] = learnedEndpoint{
			Endpoint:    ep.Endpoint,
			route:       ownRoute,
			arrivalRate: dest.arrivalRate / float64(len(state.Endpoints)),
		}
	}
}

// adoptLearnedEndpoint restores the route of a newly listed endpoint, if there is learned state of the
// same endpoint.
func (s *Scheduler) adoptLearnedEndpoint(ep *endpoint, listed Endpoint) {
	learned, ok := s.learnedEndpoints[listed.Addr]
	delete(s.learnedEndpoints, listed.Addr)
	if ok && ep.ownLimit && learned.sameServer(listed) {
		s.restoreRoute(ep.route, learned.route, learned.arrivalRate)
	}
}

// restoreRoute restores the learned state of a route according to its age. arrivalRate is the route's
// arrival rate, in messages per second.
func (s *Scheduler) restoreRoute(rt, learned *route, arrivalRate float64) {
	retryAfterUntil := min(learned.retryAfterUntil, s.now+learnedRetryAfterMaxUs)
	rt.retryAfterUntil = max(retryAfterUntil, s.pendingOtherRetryAfter())
	ageUs := s.now - max(learned.lastSendAt, learned.lastOutcomeAt, learned.health.lastFailureAt)
	if ageUs < 0 || ageUs > learnedMaxAgeUs {
		return
	}
	rt.lastOutcomeAt = s.now - ageUs // preserves the age if this incarnation ends before it learns anything
	restoreEstimates(rt, learned, ageUs, s.now)
	s.restoreLimit(rt, learned, ageUs)
	s.restoreRate(rt, learned, max(learned.throughput.successRate, arrivalRate), ageUs)
	s.restoreOutage(rt, learned, ageUs)
}

// restoreEstimates restores latencies and failure shares, with a weight that decays with their age.
func restoreEstimates(rt, learned *route, ageUs, now int64) {
	weight := portablemath.Exp2(-float64(ageUs) / learnedHalfLifeUs)
	rt.latency.samples = math.Floor(learned.latency.samples * weight)
	if rt.latency.samples > 0 {
		rt.latency.smoothedUs = learned.latency.baselineUs
		rt.latency.deviationUs = learned.latency.deviationUs
		rt.latency.baselineUs = learned.latency.baselineUs
		rt.throughput.peakSuccessRate = learned.throughput.peakSuccessRate * weight
		rt.throughput.sustainedRate, rt.throughput.sustainedAt = learned.throughput.sustainedRate, now
	}
	rt.health.failureShare = learned.health.lastingFailureShare * weight
	rt.health.lastingFailureShare = rt.health.failureShare
	rt.health.failureShareAt = now
}

// restoreLimit restores an advertised limit, and sets the time of the first call. The unused part of the
// limit is not known.
func (s *Scheduler) restoreLimit(rt, learned *route, ageUs int64) {
	limit := learned.advertisedLimit.State()
	if !learned.advertisedLimit.Known() || math.IsInf(limit[1], 0) || s.settings.CapacityHints != HintsNone {
		return
	}
	rt.advertisedLimit = quota.FromState([3]float64{0, limit[1], 0})
	rt.capacityHint = limit[1] / s.senders
	delayUs := s.recovery.FirstCallDelay(rt.advertisedLimit.EvenShare(s.senders), ageUs)
	switch {
	case learned.firstCallAt > s.now && learned.firstCallAt <= s.now+recovery.MaxSpreadUs:
		// If it were drawn anew, a sequence of short incarnations might never reach it.
		rt.firstCallAt = learned.firstCallAt
	case delayUs == 0:
		rt.firstCallAt = 0
	default:
		rt.firstCallAt = s.now + delayUs
	}
}

// restoreRate limits a route without an advertised limit to the previous incarnation's rate, so that in a
// mass restart the senders do not send their backlogs all at once. Successes raise the rate.
func (s *Scheduler) restoreRate(rt, learned *route, rate float64, ageUs int64) {
	if rt.advertisedLimit.Known() || rate <= 0 || ageUs >= learnedHalfLifeUs {
		return
	}
	bucket := &rt.bucket
	bucket.limited = true
	bucket.rate = max(rate, minTotalRate/s.senders)
	bucket.rateMark = learnedRateMarkMultiple * rate
	rt.lastSendAt = s.now
	if learned.bucket.limited && learned.bucket.rate > 0 {
		bucket.rate = min(bucket.rate, learned.bucket.rate)
		bucket.rateMark = learned.bucket.rateMark
	}
	bucket.tokens = s.rng.Float64()
	bucket.refilledAt = s.now
	catchUpRate, catchUpUs := s.recovery.CatchUpRate(max(bucket.rate, rate), ageUs)
	bucket.catchUpRate = catchUpRate
	bucket.catchUpUntil = s.now + catchUpUs
	bucket.inherited = !learned.bucket.limited
}

// restoreOutage restores an outage or a slow start that had not ended.
func (s *Scheduler) restoreOutage(rt, learned *route, ageUs int64) {
	failed := learned.gate.Failed || learned.gate.Suspected || learned.health.unavailable
	learned.gate.Suspected = failed && ageUs < learnedUnavailableUs
	if learned.gate.Paced(s.now) {
		s.restoreSlowStart(rt, learned)
	}
	if learned.health.unavailable && ageUs < learnedUnavailableUs {
		rt.health.failingSince = s.now
		rt.health.lastFailureAt = s.now
		rt.health.consecutiveFailures = 1
		s.markUnavailable(rt)
		if learned.probe.nextAt > s.now && learned.probe.nextAt <= s.now+2*probeSpreadMaxUs {
			rt.probe.nextAt = learned.probe.nextAt // for the same reason as firstCallAt
		}
	}
}
