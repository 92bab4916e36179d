package scheduler

import (
	"cmp"
	"math"
	"slices"

	"brackendale/internal/portablemath"
)

// learnedRoute is a route whose state is useful to the next incarnation.
type learnedRoute struct {
	destination int64
	route       *route
	endpoint    *Endpoint // the endpoint that has this route as its own; nil: the destination's route
}

// LearnedState returns the learned state for the next incarnation, of at most maxRoutes routes: first
// those that are unavailable, in slow start or in a Retry-After, then those most recently sent to. If
// there are more, those with the longest Retry-After go first, and the longest one that is left out
// applies to all routes that are left out. It has no side effects. docs/design/coming-back.md gives the
// reasons.
func (s *Scheduler) LearnedState(maxRoutes int) State {
	list := s.learnedRoutes()
	slices.SortFunc(list, func(a, b learnedRoute) int {
		return cmp.Or(
			cmp.Compare(s.learnedPriority(b.route), s.learnedPriority(a.route)),
			cmp.Compare(a.destination, b.destination),
			cmp.Compare(a.route.name, b.route.name),
		)
	})
	if len(list) > maxRoutes {
		slices.SortStableFunc(list, func(a, b learnedRoute) int {
			return cmp.Compare(s.remainingRetryAfter(b.route), s.remainingRetryAfter(a.route))
		})
	}
	count := min(maxRoutes, len(list))
	state := State{Format: StateFormat, OtherRetryAfterUntil: s.pendingOtherRetryAfter()}
	for _, learned := range list[count:] {
		if s.remainingRetryAfter(learned.route) > 0 {
			state.OtherRetryAfterUntil = max(state.OtherRetryAfterUntil, learned.route.retryAfterUntil)
		}
	}
	index := map[int64]int{} // in state.Destinations
	for _, learned := range list[:count] {
		i, ok := index[learned.destination]
		if !ok {
			i = len(state.Destinations)
			index[learned.destination] = i
			state.Destinations = append(state.Destinations, learned.route.destination.learnedState(learned.destination))
		}
		state.Destinations[i].addLearned(learned.endpoint, s.learnedRouteState(learned.route))
	}
	return state
}

// remainingRetryAfter returns the remaining time of a route's Retry-After.
func (s *Scheduler) remainingRetryAfter(rt *route) int64 { return max(0, rt.retryAfterUntil-s.now) }

// pendingOtherRetryAfter returns s.otherRetryAfterUntil until it has passed, then 0.
func (s *Scheduler) pendingOtherRetryAfter() int64 {
	if s.otherRetryAfterUntil <= s.now {
		return 0
	}
	return s.otherRetryAfterUntil
}

// learnedRoutes returns the routes that have learned state.
func (s *Scheduler) learnedRoutes() []learnedRoute {
	var list []learnedRoute
	for id, dest := range s.destinationByID {
		if s.hasLearnedState(dest.route) {
			list = append(list, learnedRoute{destination: id, route: dest.route})
		}
		for _, ep := range dest.endpoints {
			usable := ep.live || !ep.superseded && s.remainingRetryAfter(ep.route) > 0 // it may be live again in time
			if ep.ownLimit && usable && s.hasLearnedState(ep.route) {
				list = append(list, learnedRoute{destination: id, route: ep.route, endpoint: &ep.Endpoint})
			}
		}
	}
	for _, learned := range s.learnedEndpoints { // not in the endpoint list yet
		list = append(list, learnedRoute{destination: learned.Destination, route: learned.route, endpoint: &learned.Endpoint})
	}
	return list
}

// learnedPriority returns the priority with which a route is included in the learned state.
func (s *Scheduler) learnedPriority(rt *route) int64 {
	if rt.health.unavailable || s.remainingRetryAfter(rt) > 0 || rt.gate.Failed || rt.gate.Paced(s.now) {
		return never
	}
	return rt.lastSendAt
}

// hasLearnedState reports whether a route has any state that is useful to the next incarnation.
func (s *Scheduler) hasLearnedState(rt *route) bool {
	return rt.latency.samples > 0 || rt.advertisedLimit.Known() || rt.health.unavailable ||
		s.remainingRetryAfter(rt) > 0 || rt.gate.Failed || rt.gate.Paced(s.now)
}

// learnedState returns a destination's learned state without that of its routes.
func (dest *destination) learnedState(id int64) DestinationState {
	return DestinationState{
		Destination: id,
		Floats:      []float64{roundToThreeDigits(dest.arrivalRate)},
		Integers:    values(dest.integers()),
		Route:       newRoute("", nil).state(),
	}
}

// addLearned adds the learned state of the destination's route, or of an endpoint's own route if ep is
// not nil.
func (state *DestinationState) addLearned(ep *Endpoint, route RouteState) {
	if ep == nil {
		state.Route = route
		return
	}
	state.Endpoints = append(state.Endpoints, EndpointState{
		Endpoint: Endpoint{
			Addr: ep.Addr, Zone: ep.Zone, MachineType: ep.MachineType, Destination: state.Destination,
		},
		OwnRoute: &route,
	})
}

// KeepDestinations leaves out all but the first count destinations of a learned state.
func (state *State) KeepDestinations(count int) {
	for i := range state.Destinations[count:] {
		dropped := &state.Destinations[count+i]
		state.OtherRetryAfterUntil = max(state.OtherRetryAfterUntil, dropped.Route.retryAfterUntil())
		for _, ep := range dropped.Endpoints {
			if ep.OwnRoute != nil {
				state.OtherRetryAfterUntil = max(state.OtherRetryAfterUntil, ep.OwnRoute.retryAfterUntil())
			}
		}
	}
	state.Destinations = state.Destinations[:count]
}

// retryAfterUntil returns 0 for a state of another version.
func (state *RouteState) retryAfterUntil() int64 {
	rt := newRoute("", nil)
	if !rt.restore(*state) {
		return 0
	}
	return rt.retryAfterUntil
}

// learnedRouteState returns a route's learned state. Values that are not used after a restart are zero,
// which keeps the snapshot small.
func (s *Scheduler) learnedRouteState(source *route) RouteState {
	rt := *source
	rt.capacityHint = 0
	rt.overtakenUntil = 0
	rt.probe.intervalUs = 0
	rt.gate.NextCallAt = 0
	if source.gate.Paced(s.now) {
		rt.gate.Capacity = roundToThreeDigits(source.gate.Capacity)
	} else {
		rt.gate.Capacity = 0
	}

	rt.bucket.limited = source.bucket.limited && (!source.bucket.inherited || source.bucket.decreasedAt > 0)
	rt.bucket.rate = roundToThreeDigits(source.bucket.rate)
	rt.bucket.rateMark = roundToThreeDigits(source.bucket.rateMark)
	rt.bucket.tokens = 0
	rt.bucket.refilledAt = 0
	rt.bucket.decreasedAt = 0

	rt.throughput = throughput{
		successRate:     roundToThreeDigits(source.throughput.successRate),
		peakSuccessRate: roundToThreeDigits(source.throughput.peakSuccessRate),
		sustainedRate:   roundToThreeDigits(s.sustainedRate(source)),
	}
	rt.latency.smoothedUs = 0
	rt.latency.baselineUs = roundToThreeDigits(source.latency.baselineUs)
	rt.latency.deviationUs = roundToThreeDigits(source.latency.deviationUs)

	rt.health.failingSince = 0
	rt.health.failureShare = 0
	rt.health.failureShareAt = 0
	rt.health.lastingFailureShare = roundToThreeDigits(s.lastingFailureShare(source))
	return rt.state()
}

// roundToThreeDigits rounds a number to three significant digits. It returns 0 for an infinity or NaN.
func roundToThreeDigits(number float64) float64 {
	if number == 0 || math.IsInf(number, 0) || math.IsNaN(number) {
		return 0
	}
	scale := math.Pow(10, 2-math.Floor(portablemath.Log10(math.Abs(number))))
	return math.Round(number*scale) / scale
}

// Fingerprint returns a number that changes when the learned state has changed enough to be saved again:
// with a limit, an outage, a slow start, a Retry-After, a doubled number of responses, or an arrival rate
// that has doubled or halved.
func (s *Scheduler) Fingerprint() (sum uint64) {
	for id, dest := range s.destinationByID { // a sum does not depend on the iteration order
		sum += dest.route.fingerprint(id, s.now)
		for i, ep := range dest.endpoints {
			if ep.ownLimit {
				sum += ep.route.fingerprint(id+int64(i+1)<<32, s.now)
			}
		}
	}
	return sum
}

// These constants spread the bits of a fingerprint.
const (
	fingerprintID          = 0x9e3779b97f4a7c15
	fingerprintUnavailable = 0x5bd1e995
	fingerprintSuspected   = 0x27d4eb2f
	fingerprintFactor      = 0xff51afd7ed558ccd
)

func (rt *route) fingerprint(id, now int64) uint64 {
	limit := rt.advertisedLimit.State()
	bits := uint64(id)*fingerprintID ^ math.Float64bits(limit[1])
	if rt.gate.Suspected || rt.gate.HasEvidence(now, rt.lastSuccessAt) {
		bits ^= fingerprintSuspected
	}
	bits ^= uint64(rt.gate.Until)<<1 ^ uint64(rt.retryAfterUntil)<<2
	if rt.health.unavailable {
		bits ^= fingerprintUnavailable
	}
	bits ^= uint64(portablemath.Log2(1+rt.latency.samples)) << 40
	bits ^= uint64(int64(math.Round(portablemath.Log2(1e-3+rt.destination.arrivalRate)))) << 48
	return bits * fingerprintFactor
}

// ShiftTimes adds deltaUs to all times of a learned state, to account for a clock change between two
// incarnations.
func (state *State) ShiftTimes(deltaUs int64) {
	if deltaUs == 0 {
		return
	}
	if state.OtherRetryAfterUntil != 0 {
		state.OtherRetryAfterUntil += deltaUs
	}
	for i := range state.Destinations {
		dest := &state.Destinations[i]
		for j := range dest.Integers {
			dest.Integers[j] += deltaUs
		}
		dest.Route.shiftTimes(deltaUs)
		for _, ep := range dest.Endpoints {
			if ep.OwnRoute != nil {
				ep.OwnRoute.shiftTimes(deltaUs)
			}
		}
	}
}

func (state *RouteState) shiftTimes(deltaUs int64) {
	rt := newRoute("", nil)
	if !rt.restore(*state) {
		return
	}
	for _, integer := range rt.integers() {
		isTime := integer != &rt.probe.intervalUs
		if isTime && *integer != 0 {
			*integer += deltaUs
		}
	}
	if rt.firstCallAt != 0 {
		rt.firstCallAt += deltaUs
	}
	limit := rt.advertisedLimit.State()
	*state = rt.state()
	if limit[2] != 0 { // time of the last observation of the limit
		state.AdvertisedLimit[2] = limit[2] + float64(deltaUs)
	}
}
