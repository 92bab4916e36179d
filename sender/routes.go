package sender

import (
	"slices"
	"time"

	"brackendale/scheduler"
)

// HasDestination reports whether the route table has ever had a route for the destination. Its last
// endpoint may have left for a moment, until another takes its place. Any goroutine may call it.
func (s *Sender) HasDestination(dest int64) bool { _, ok := s.destinations.Load(dest); return ok }

// UpdateRoutes books an update of the route table: a patch, a full list, or a stale list. Any
// goroutine may call it.
func (s *Sender) UpdateRoutes(kind scheduler.UpdateKind, list []Route) {
	for _, route := range list { // at once: a request for a new destination may come before the next step
		s.destinations.Store(route.Destination, true)
	}
	s.Post(func() { s.applyRoutes(kind, list) })
}

func (s *Sender) applyRoutes(kind scheduler.UpdateKind, list []Route) {
	if s.handedOver() {
		return
	}
	event := scheduler.Event{Kind: scheduler.EndpointsUpdated, Update: kind}
	changed := map[string][]Route{} // by protocol
	if kind != scheduler.UpdatePatch {
		s.removeMissingRoutes(list, changed)
	}
	for _, route := range list {
		route = s.applyRoute(kind, route)
		event.Endpoints = append(event.Endpoints, route.Endpoint)
		changed[route.Protocol] = append(changed[route.Protocol], route)
	}
	s.syncRouteStats()
	for protocol, egress := range s.egresses {
		if routes := changed[protocol]; len(routes) > 0 {
			s.enqueueCall(func() { egress.UpdateRoutes(routes) })
		}
	}
	s.addEvents(event)
	s.avoidedRoutes.countedAt = time.Time{}
	if kind != scheduler.UpdateStale || len(list) > 0 {
		s.readiness.hasEndpointList = true
		s.recordMilestone(&s.recovery.firstListUs)
	}
}

// removeMissingRoutes removes all routes; those that a full list lacks have changed.
func (s *Sender) removeMissingRoutes(list []Route, changed map[string][]Route) {
	for name, route := range s.routes {
		if !slices.ContainsFunc(list, func(listed Route) bool { return listed.Addr == name }) {
			route.State = scheduler.StatusDead
			s.draining.update(route)
			changed[route.Protocol] = append(changed[route.Protocol], route)
		}
	}
	s.routes = map[string]Route{}
}

// applyRoute books one route and returns it as the scheduler and the egress shall see it.
func (s *Sender) applyRoute(kind scheduler.UpdateKind, route Route) Route {
	if kind == scheduler.UpdateStale {
		route = s.draining.correct(route)
	} else {
		s.draining.update(route)
	}
	if route.State == scheduler.StatusDead {
		delete(s.routes, route.Addr)
	} else {
		kept := route
		kept.SlowStart = false // it is passed on once
		s.routes[route.Addr] = kept
	}
	s.knownEndpoints.add(route.Addr)
	if route.State == scheduler.StatusLive && s.journal.Excluded(route.Addr) {
		route.State = scheduler.StatusDraining
	}
	return route
}

// syncRouteStats keeps one line for each route.
func (s *Sender) syncRouteStats() {
	for name := range s.routeStats {
		if _, ok := s.routes[name]; !ok {
			delete(s.routeStats, name)
		}
	}
	for name := range s.routes {
		if s.routeStats[name] == nil {
			s.routeStats[name] = &RouteState{}
		}
	}
}
