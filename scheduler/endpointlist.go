package scheduler

import (
	"math"
	"slices"
)

// roughHintError is the factor by which a rough capacity hint may exceed the capacity.
const roughHintError = 1.5

// updateEndpoints applies an EndpointsUpdated event.
func (s *Scheduler) updateEndpoints(event *Event) {
	if event.Update == UpdateBroken {
		if s.watching {
			s.watching, s.watchIntervalUs = false, 0
		}
		return
	}
	s.watching = s.watching || event.Update != UpdateStale
	changed := s.destinations
	if event.Update == UpdatePatch {
		changed = nil
	} else {
		s.unlistEndpoints()
	}
	var added []*endpoint
	for _, listed := range event.Endpoints {
		known := s.endpoints[listed.Addr]
		s.updateEndpoint(listed)
		if ep := s.endpoints[listed.Addr]; ep != known {
			added = append(added, ep)
		}
		s.startListedSlowStart(listed)
		if event.Update == UpdatePatch {
			changed = append(changed, s.destination(listed.Destination))
		}
	}
	for _, ep := range added {
		s.inheritSuspicion(ep)
	}
	for _, dest := range changed {
		s.dropUnlisted(dest)
	}
}

// unlistEndpoints marks all endpoints as not listed, before a full list marks those that it contains.
func (s *Scheduler) unlistEndpoints() {
	for _, dest := range s.destinations {
		for _, ep := range dest.endpoints {
			ep.listed = false
		}
	}
}

// dropUnlisted removes a destination's endpoints that are not live and listed, once they have no call in
// flight and no pending Retry-After.
func (s *Scheduler) dropUnlisted(dest *destination) {
	kept := dest.endpoints[:0]
	for _, ep := range dest.endpoints {
		ep.live = ep.live && ep.listed
		if ep.live || ep.callsInFlight > 0 || s.now < ep.route.retryAfterUntil {
			kept = append(kept, ep)
		} else if s.endpoints[ep.Addr] == ep {
			delete(s.endpoints, ep.Addr)
		}
	}
	dest.endpoints = kept
}

// updateEndpoint applies one entry of the endpoint list.
func (s *Scheduler) updateEndpoint(listed Endpoint) {
	ep := s.endpoints[listed.Addr]
	if ep != nil && !ep.sameServer(listed) { // another server has the address now
		ep.live, ep.superseded = false, true
		ep = nil
	}
	if ep == nil {
		ep = s.newEndpoint(listed)
		s.endpoints[listed.Addr] = ep
	}
	// If the list had no live endpoint, all senders have saved tokens and receive this entry at the same time.
	live := listed.State == StatusLive
	if live && s.hasSharedLimit(ep.route) && !slices.ContainsFunc(ep.route.destination.endpoints, isLive) {
		s.randomizeTokens(ep.route)
	}
	ep.Endpoint, ep.live, ep.listed = listed, live, true
	if hint := listed.CapacityHint * s.hintFactor() / s.senders; hint > 0 && !math.IsInf(hint, 1) {
		ep.route.capacityHint = hint
	}
}

// sameServer reports whether two entries of the endpoint list, of one address, can be of the same server.
func (listed Endpoint) sameServer(other Endpoint) bool {
	return listed.Destination == other.Destination && listed.MachineType == other.MachineType && listed.Zone == other.Zone
}

// newEndpoint adds an endpoint to its destination. It has its own route if endpoints of its machine type have their own
// limits.
func (s *Scheduler) newEndpoint(listed Endpoint) *endpoint {
	dest := s.destination(listed.Destination)
	calls := &s.settings.Calls
	machineType := slices.Index(s.settings.MachineTypes, listed.MachineType)
	ep := &endpoint{
		route:            dest.route,
		ownLimit:         elementOrZero(calls.EndpointLimits, machineType),
		randomPreference: s.rng.ExpFloat64(),
		messagesPerCall:  max(1, elementOrZero(calls.MessagesPerCall, machineType)),
		failures:         make([]failureStreak, classFailures+len(s.settings.Classes)),
	}
	if ep.ownLimit {
		ep.route = newRoute("route "+listed.Addr, dest)
		ep.route.endpointAddr = listed.Addr
		ep.route.retryAfterUntil = s.pendingOtherRetryAfter()
		ep.zoneFee = elementOrZero(calls.ZoneFees, slices.Index(s.settings.Zones, listed.Zone))
	}
	s.adoptLearnedEndpoint(ep, listed)
	dest.endpoints = append(dest.endpoints, ep)
	return ep
}

// hintFactor returns the factor to apply to the list's capacity hints, or 0 if it has none.
func (s *Scheduler) hintFactor() float64 {
	switch s.settings.CapacityHints {
	case HintsExact:
		return 1
	case HintsRough:
		return 1 / roughHintError
	}
	return 0
}

func isLive(ep *endpoint) bool { return ep.live }

// watchEndpoints requests a watch of the endpoint list if the list arrives only on request and no watch
// is open. Requests are sent at random times, with a backoff.
func (s *Scheduler) watchEndpoints() {
	if s.settings.Discovery != DiscoveryOnRequest || s.watching {
		return
	}
	maxIntervalUs := max(s.settings.Rules.MaxPollIntervalUs, s.settings.Limits.ConnectTimeoutUs, s.settings.TickUs)
	if s.watchIntervalUs == 0 { // after the start, and after a watch has ended
		s.watchIntervalUs = maxIntervalUs / 4
		s.nextWatchAt = s.now + int64(s.contention*s.rng.Float64()*float64(maxIntervalUs/2))
	}
	if s.now >= s.nextWatchAt {
		s.nextWatchAt = s.now + int64((0.5+s.rng.Float64())*float64(s.watchIntervalUs))
		s.watchIntervalUs = min(maxIntervalUs, 2*s.watchIntervalUs)
		s.actions = append(s.actions, Action{Kind: WatchEndpoints, On: true})
	}
}

// IsUnavailable reports whether an endpoint gets no regular traffic: it is unknown or not live, or its route is
// unavailable. It has no side effects.
func (s *Scheduler) IsUnavailable(addr string) bool {
	ep := s.endpoints[addr]
	return ep == nil || !ep.live || ep.route.health.unavailable
}
