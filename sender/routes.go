package sender

import (
	"slices"
	"time"

	"brackendale/internal/eventlog"
	"brackendale/scheduler"
)

// HasDestination reports whether the route table has ever had a route for the destination. A
// destination without a route at present still counts: its last endpoint may be removed shortly
// before the next one is listed. Any goroutine may call it.
func (s *Sender) HasDestination(destination int64) bool {
	_, ok := s.destinations.Load(destination)
	return ok
}

// UpdateRoutes applies an update of the route table: a patch, a full list, or a stale list. Any
// goroutine may call it.
func (s *Sender) UpdateRoutes(kind scheduler.UpdateKind, list []Route) {
	for _, route := range list { // at once: a request for a new destination may arrive before the next step
		s.destinations.Store(route.Destination, true)
	}
	s.Post(func() {
		if s.handedOver() {
			return
		}
		removed := s.applyRoutes(kind, list)
		if kind != scheduler.UpdateStale {
			s.reported.update(s.routes, slices.Concat(removed, list))
		}
	})
}

// applyRoutes applies an update to the route table and passes it on to the egresses and the scheduler. It
// returns the routes that a whole list has removed, as dead.
func (s *Sender) applyRoutes(kind scheduler.UpdateKind, list []Route) (removed []Route) {
	event := scheduler.Event{Kind: scheduler.EndpointsUpdated, Update: kind}
	before := s.routes
	if kind != scheduler.UpdatePatch {
		removed = s.removeMissingRoutes(list)
	}
	if kind == scheduler.UpdateStale {
		list = s.correctOlderList(list)
	}
	changed := routesByProtocol(removed)
	for _, route := range list {
		stateBefore := before[route.Addr].State
		if route = s.applyRoute(route); route.State != stateBefore {
			s.recordRouteState(route)
		}
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
	return removed
}

// removeMissingRoutes clears the route table for a whole list. It returns the routes that are not in the
// list, as dead.
func (s *Sender) removeMissingRoutes(list []Route) (removed []Route) {
	for name, route := range s.routes {
		if !slices.ContainsFunc(list, func(listed Route) bool { return listed.Addr == name }) {
			route.State = scheduler.StatusDead
			s.recordRouteState(route)
			removed = append(removed, route)
		}
	}
	s.routes = map[string]Route{}
	return removed
}

func routesByProtocol(routes []Route) map[string][]Route {
	byProtocol := map[string][]Route{}
	for _, route := range routes {
		byProtocol[route.Protocol] = append(byProtocol[route.Protocol], route)
	}
	return byProtocol
}

// correctOlderList returns an older list without the endpoints that must not be used before the registry
// responds: they are draining.
func (s *Sender) correctOlderList(list []Route) []Route {
	corrected := slices.Clone(list)
	count := 0
	for i, route := range list {
		corrected[i] = s.reported.correct(route)
		if corrected[i].State != route.State {
			count++
		}
	}
	if count > 0 {
		s.log.Info().Int("targets", count).Int("listed", len(list)).
			Msg("targets of an older list that were not live in the registry's last report get nothing until it responds")
	}
	return corrected
}

// recordRouteState records that an endpoint has another state than before.
func (s *Sender) recordRouteState(route Route) {
	s.events.Record(eventlog.Event{Kind: eventlog.State, Endpoint: route.Addr, Reason: string(route.State)})
}

// applyRoute applies the update of one route and returns the route to pass to the scheduler and the
// egress.
func (s *Sender) applyRoute(route Route) Route {
	if route.State == scheduler.StatusDead {
		delete(s.routes, route.Addr)
	} else {
		stored := route
		stored.SlowStart = false // only this update requests it
		s.routes[route.Addr] = stored
	}
	s.knownEndpoints.add(route.Addr)
	if route.State == scheduler.StatusLive && s.journal.Excluded(route.Addr) {
		route.State = scheduler.StatusDraining
	}
	return route
}

// syncRouteStats adds and removes route statistics so that there is one entry for each route.
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
