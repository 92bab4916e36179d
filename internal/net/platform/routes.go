package platform

import (
	"slices"

	"brackendale/internal/config"
	"brackendale/scheduler"
	"brackendale/sender"
)

// Routes translates an endpoint list of the registry into routes.
func Routes(list config.EndpointList) []sender.Route {
	var routes []sender.Route
	for _, host := range list.Hosts {
		protocol := host.Proto
		if protocol == "" {
			protocol = Proto
		}
		routes = append(routes, sender.Route{
			Dial:     host.Dial,
			Protocol: protocol,
			Endpoint: scheduler.Endpoint{
				Addr:         host.Host,
				Zone:         host.Site,
				MachineType:  host.Class,
				Destination:  host.Block,
				State:        endpointStatus(host.Health),
				CapacityHint: host.Share,
			},
		})
	}
	return routes
}

// endpointStatus translates the registry's value for an endpoint's health. An endpoint with an unknown
// value accepts no new attempts.
func endpointStatus(health string) scheduler.EndpointStatus {
	switch health {
	case "active":
		return scheduler.StatusLive
	case "left":
		return scheduler.StatusDead
	default: // "leaving", or unknown
		return scheduler.StatusDraining
	}
}

// draining returns a copy of the routes in which all live endpoints are draining, so that no new
// attempts are sent. Messages for their destinations are still accepted.
func draining(routes []sender.Route) []sender.Route {
	routes = slices.Clone(routes)
	for i := range routes {
		if routes[i].State == scheduler.StatusLive {
			routes[i].State = scheduler.StatusDraining
		}
	}
	return routes
}
