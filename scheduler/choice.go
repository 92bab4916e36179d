package scheduler

import (
	"cmp"
	"math"

	"brackendale/internal/portablemath"
)

// The costs of an endpoint are in units of priority weight, like Calls.ZoneFees.
const (
	inFlightCost        = 0.03      // of each call in flight to the endpoint
	preferenceWeight    = 0.2       // maximum cost due to this sender's random preference
	preferenceFadeUs    = 2_000_000 // the preference fades as the route's calls come more often than this
	failureCost         = 0.3       // of each consecutive failure; it decays
	maxCountedFailures  = 3
	failureShareCost    = 0.5       // at a failure share of 1
	failureShareUnsafe  = 0.3       // failure share above which unsafe messages wait
	probeMinRemainingUs = 1_000_000 // minimum time that a message for a probe attempt has left
)

// chooseEndpoint returns the endpoint with the lowest cost for a message, or nil if the message has to wait.
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

// mayUse reports whether a message may be sent to an endpoint now. If the message only has to wait, it
// updates the destination's nextDispatchAt.
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

// probeAllowedAt returns when a message may be sent as a route's probe attempt; 0 means at once. A probe
// attempt cut short by the deadline of its message proves nothing. A message with little time left is
// therefore delayed, and sent if no other message has been sent by then.
func (s *Scheduler) probeAllowedAt(rt *route, remainingUs int64) int64 {
	if !s.isProbing(rt) || remainingUs >= max(probeMinRemainingUs, int64(timeoutLatencyMultiple*rt.latency.baselineUs)) {
		return 0
	}
	return max(rt.lastSendAt, rt.retryAfterUntil, rt.probe.nextAt) + 2*probeIntervalMaxUs
}

// unsafeAllowedAt returns when an unsafe message may be sent to a route that may lose attempts; 0 means
// at once. It returns 0 for other messages and for a healthy route.
func (s *Scheduler) unsafeAllowedAt(msg *message, rt *route) int64 {
	if !msg.class.unsafe || !rt.health.lastFailureAmbiguous && len(rt.calls) == 0 {
		return 0
	}
	if !s.isProbing(rt) && rt.health.failureShare <= failureShareUnsafe {
		return 0
	}
	return max(rt.lastSendAt, rt.health.lastFailureAt) + probeIntervalMaxUs
}

// endpointCost returns the cost of sending a message to an endpoint, from its fee, load, recent
// failures and connections.
func (s *Scheduler) endpointCost(msg *message, ep *endpoint) float64 {
	rt := ep.route
	cost := ep.zoneFee + s.preferenceCost(ep) + inFlightCost*float64(ep.callsInFlight) +
		failureShareCost*rt.health.failureShare
	for _, kind := range [...]int{connectFailures, rejections, classFailures + msg.class.index} {
		streak := &ep.failures[kind]
		if streak.count > 0 {
			recency := portablemath.Exp(float64(streak.lastAt-s.now) / arrivalRateDecayUs)
			cost += failureCost * float64(min(streak.count, maxCountedFailures)) * recency
		}
	}
	for _, call := range rt.calls { // an overdue call is likely to fail
		if call.endpoint == ep && call.messages[0].class.index == msg.class.index && s.isOverdue(rt, call.sentAt) {
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

// preferenceCost spreads many senders over a destination's routes, according to each sender's random
// preference and the routes' capacities. By fees alone all senders would overload the cheapest route.
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

// callDurationUs returns the expected duration of a call, with a margin for an unsafe message.
func (s *Scheduler) callDurationUs(msg *message, rt *route) int64 {
	if msg.class.unsafe {
		return 2 * s.expectedLatencyUs(rt)
	}
	return int64(rt.latency.smoothedUs)
}
