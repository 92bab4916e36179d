package scheduler

import (
	"cmp"
	"math"
)

// The cost of an endpoint is in the unit of the settings' fees.
const (
	inFlightCost        = 0.03      // of each call in flight at the endpoint
	preferenceWeight    = 0.2       // of this sender's random preference, the most
	preferenceFadeUs    = 2_000_000 // the preference fades where there is more than a call in this time
	failureCost         = 0.3       // of each failure in a row; it decays
	maxCountedFailures  = 3
	failureShareCost    = 0.5       // of a route on which all fails
	failureShareUnsafe  = 0.3       // failure share above which unsafe messages wait
	probeMinRemainingUs = 1_000_000 // time that a message for a probe attempt has left at least
)

// chooseEndpoint picks the endpoint of least cost for a message; nil where it has to wait.
func (s *Scheduler) chooseEndpoint(msg *message, endpoints []*endpoint) *endpoint {
	var chosen *endpoint
	lowestCost := math.Inf(1)
	for _, ep := range endpoints {
		if !s.mayUse(msg, ep) {
			continue
		}
		if cost := s.endpointCost(msg, ep); cost < lowestCost {
			lowestCost, chosen = cost, ep
		}
	}
	return chosen
}

// mayUse tells whether a message may go to an endpoint now. Where it is only to wait, it notes for
// how long.
func (s *Scheduler) mayUse(msg *message, ep *endpoint) bool {
	rt := ep.route
	keyOutOfScope := msg.firstRunAt != 0 && msg.class.idempotentByKey &&
		msg.class.KeyScope != KeyScopeAll && ep.Zone != msg.firstRunZone
	if keyOutOfScope {
		return false
	}
	remainingUs := s.answerDeadline(msg) - 2*s.settings.TickUs - s.now
	if remainingUs < int64(rt.latency.baselineUs) {
		return false
	}
	if at := s.probeAllowedAt(rt, remainingUs); s.now < at {
		msg.destination.nextDispatchAt = min(msg.destination.nextDispatchAt, at)
		return false
	}
	if at := s.unsafeAllowedAt(msg, rt); s.now < at {
		msg.destination.nextDispatchAt = min(msg.destination.nextDispatchAt, at)
		return false
	}
	return s.shutdownAt <= 0 || s.now+s.callDurationUs(msg, rt) <= s.shutdownAt
}

// probeAllowedAt is when a message with so much time left may be a route's probe attempt; 0 where
// nothing stands against it. A probe that its message's deadline ends proves nothing, but is sent
// where no other message comes.
func (s *Scheduler) probeAllowedAt(rt *route, remainingUs int64) int64 {
	if !s.isProbing(rt) || remainingUs >= max(probeMinRemainingUs, int64(timeoutLatencyMultiple*rt.latency.baselineUs)) {
		return 0
	}
	return max(rt.lastSendAt, rt.retryAfterUntil, rt.probe.nextAt) + 2*probeIntervalMaxUs
}

// unsafeAllowedAt is when a message may go to a route on which attempts may be lost; 0 where it is
// safe or the route is healthy.
func (s *Scheduler) unsafeAllowedAt(msg *message, rt *route) int64 {
	if !msg.class.unsafe || !rt.health.lastFailureAmbiguous && len(rt.calls) == 0 {
		return 0
	}
	if !s.isProbing(rt) && rt.health.failureShare <= failureShareUnsafe {
		return 0
	}
	return max(rt.lastSendAt, rt.health.lastFailureAt) + probeIntervalMaxUs
}

// endpointCost weighs an endpoint's fee, load, recent failures and connections.
func (s *Scheduler) endpointCost(msg *message, ep *endpoint) float64 {
	rt := ep.route
	cost := ep.zoneFee + s.preferenceCost(ep) + inFlightCost*float64(ep.callsInFlight) +
		failureShareCost*rt.health.failureShare
	for _, kind := range [...]int{connectFailures, rejections, classFailures + msg.class.index} {
		streak := &ep.failures[kind]
		if streak.count > 0 {
			recency := math.Exp(float64(streak.lastAt-s.now) / arrivalRateDecayUs)
			cost += failureCost * float64(min(streak.count, maxCountedFailures)) * recency
		}
	}
	for _, call := range rt.calls { // an overdue call is likely to fail
		if call.endpoint == ep && call.messages[0].class == msg.class && s.isOverdue(rt, call.sentAt) {
			cost += failureCost
		}
	}
	if s.now-ep.connections.lastUsedAt > s.settings.Limits.KeepAliveUs {
		ep.connections.open = ep.callsInFlight
	}
	if !s.hasFreeStream(ep) {
		cost += s.settings.Costs.Handshake
	}
	return cost
}

// preferenceCost spreads many senders over a destination's routes, by each sender's random
// preference and the routes' capacities: by fees alone all would overload the cheapest one.
func (s *Scheduler) preferenceCost(ep *endpoint) float64 {
	if s.contention == 0 {
		return 0
	}
	totalCapacity, ownCapacity := 0.0, cmp.Or(ep.route.capacityHint, 1)
	for _, other := range ep.route.destination.endpoints {
		totalCapacity += cmp.Or(other.route.capacityHint, 1)
	}
	preference := ep.randomPreference * totalCapacity / ownCapacity
	callsPerFade := preferenceFadeUs / 1e6 * s.arrivalRate(ep.route)
	return preferenceWeight * preference / (1 + preference) * s.contention / (1 + callsPerFade*callsPerFade)
}

// callDurationUs is how long a call should take, with a margin for an unsafe message.
func (s *Scheduler) callDurationUs(msg *message, rt *route) int64 {
	if msg.class.unsafe {
		return 2 * s.expectedLatencyUs(rt)
	}
	return int64(rt.latency.smoothedUs)
}
