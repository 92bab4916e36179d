package settingschange

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"brackendale/scheduler"
	"brackendale/sender"
)

// The sizes of the registry's list.
const (
	minEndpoints = 3
	maxEndpoints = 300
	destinations = 2
)

// savedAfter is a time after which a process has saved what the registry reported.
const savedAfter = time.Second

// registry knows which endpoints exist. Endpoints are replaced by the hundred, and their addresses and sometimes their
// names are used again, also for another destination.
type registry struct {
	rng     *rand.Rand
	names   int
	current []sender.Route
	earlier [][]sender.Route // lists that were reported
	// notLive has when a sender applied a list in which an endpoint was not live any more. It must not be used from then
	// on.
	notLive map[endpointID]time.Time
}

// endpointID is what makes an endpoint another one.
type endpointID struct {
	name, address string
	destination   int64
}

func idOf(route sender.Route) endpointID {
	return endpointID{route.Addr, route.Dial, route.Destination}
}

func newRegistry(rng *rand.Rand) *registry {
	r := &registry{rng: rng, notLive: map[endpointID]time.Time{}}
	for i := range minEndpoints + rng.Intn(maxEndpoints-minEndpoints) {
		r.names++
		r.current = append(r.current, r.newEndpoint(fmt.Sprint("endpoint-", r.names), fmt.Sprint("address-", i), i))
	}
	return r
}

// newEndpoint returns an endpoint; the first ones serve all destinations.
func (r *registry) newEndpoint(name, address string, index int) sender.Route {
	destination := int64(1 + index)
	if index >= destinations {
		destination = int64(1 + r.rng.Intn(destinations))
	}
	return sender.Route{
		Endpoint: scheduler.Endpoint{
			Addr: name, Zone: fmt.Sprint("zone-", r.rng.Intn(2)), MachineType: machineType, Destination: destination,
			State: scheduler.StatusLive,
		},
		Protocol: protocol, Dial: address,
	}
}

// change replaces a part of the endpoints, and drains or undrains some.
func (r *registry) change() {
	for i := range r.current {
		r.current[i].State = scheduler.StatusLive
		if percent(r.rng, 10) {
			r.current[i].State = scheduler.StatusDraining
		}
	}
	if percent(r.rng, 50) {
		r.replace(1 + r.rng.Intn(len(r.current)))
	}
}

// replace replaces some endpoints: their addresses belong to others from then on.
func (r *registry) replace(count int) {
	r.rng.Shuffle(len(r.current), func(i, j int) { r.current[i], r.current[j] = r.current[j], r.current[i] })
	addresses := make([]string, count)
	for i, from := range r.rng.Perm(count) {
		addresses[i] = r.current[from].Dial
	}
	for i := range count {
		name := r.current[i].Addr
		if percent(r.rng, 80) {
			r.names++
			name = fmt.Sprint("endpoint-", r.names)
		}
		r.current[i] = r.newEndpoint(name, addresses[i], i)
	}
}

// report returns the present list, which is sent to a sender now.
func (r *registry) report() []sender.Route {
	list := slices.Clone(r.current)
	r.earlier = append(r.earlier, list)
	return list
}

// applied records that a sender has applied a list that was reported.
func (r *registry) applied(list []sender.Route) {
	live := map[endpointID]bool{}
	for _, route := range list {
		live[idOf(route)] = route.State == scheduler.StatusLive
	}
	for _, known := range r.earlier {
		for _, route := range known {
			id := idOf(route)
			if live[id] {
				delete(r.notLive, id)
			} else if _, known := r.notLive[id]; !known {
				r.notLive[id] = time.Now()
			}
		}
	}
}

// copyOf returns an earlier list, as a file may have it, with all endpoints live.
func (r *registry) copyOf() []sender.Route {
	list := slices.Clone(r.earlier[r.rng.Intn(len(r.earlier))])
	for i := range list {
		list[i].State = scheduler.StatusLive
	}
	return list
}

// forgetUnsaved drops what a killed process has learned too lately to have saved it.
func (r *registry) forgetUnsaved() {
	for id, at := range r.notLive {
		if time.Since(at) < savedAfter {
			delete(r.notLive, id)
		}
	}
}

// mayUse reports whether a sender may begin an attempt at an endpoint.
func (r *registry) mayUse(route sender.Route) bool {
	_, gone := r.notLive[idOf(route)]
	return !gone
}

// putBack makes all endpoints live.
func (r *registry) putBack() {
	for i := range r.current {
		r.current[i].State = scheduler.StatusLive
	}
}
