package scheduler

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"brackendale/internal/quota"
)

// errStateFormat is returned by RestoreState for a state of another version of the program.
var errStateFormat = errors.New("saved state: unsupported format version")

// State returns the complete state of the scheduler. It has no side effects. The maps of the result are
// shared with the scheduler and must not be changed.
func (s *Scheduler) State() State {
	state := State{
		Format:              StateFormat,
		Floats:              values(s.floats()),
		Integers:            values(s.integers()),
		ConnectFailureShare: s.connectFailureShare,
		RetrySpread:         s.retrySpread,
		Tenants:             map[string][2]float64{},

		OtherRetryAfterUntil: s.pendingOtherRetryAfter(),
	}
	for name, tenant := range s.tenants {
		state.Tenants[name] = [2]float64{tenant.tokens, tenant.refilledAt}
	}
	for _, dest := range s.destinations {
		state.Destinations = append(state.Destinations, dest.state())
		for _, msg := range dest.pending { // in the order in which they became pending
			state.Messages = append(state.Messages, msg.state())
		}
	}
	var calls []*call
	for _, msg := range s.messagesInFlight() {
		state.Messages = append(state.Messages, msg.state())
		if !slices.Contains(calls, msg.call) {
			calls = append(calls, msg.call)
		}
	}
	slices.SortStableFunc(calls, func(a, b *call) int { return cmp.Compare(a.sentAt, b.sentAt) })
	for _, call := range calls {
		state.Calls = append(state.Calls, call.state())
	}
	return state
}

// messagesInFlight returns the messages with an attempt in flight, sorted by id.
func (s *Scheduler) messagesInFlight() []*message {
	var list []*message
	for _, msg := range s.messages {
		if msg.call != nil {
			list = append(list, msg)
		}
	}
	slices.SortFunc(list, func(a, b *message) int { return cmp.Compare(a.id, b.id) })
	return list
}

func (dest *destination) state() DestinationState {
	state := DestinationState{
		Destination: dest.id,
		Floats:      values(dest.floats()),
		Integers:    values(dest.integers()),
		Route:       dest.route.state(),
	}
	for _, ep := range dest.endpoints {
		state.Endpoints = append(state.Endpoints, ep.state())
	}
	return state
}

func (ep *endpoint) state() EndpointState {
	state := EndpointState{
		Endpoint: ep.Endpoint,
		Floats:   values(ep.floats()),
		Integers: values(ep.integers()),
		Counts:   values(ep.counts()),
		Flags:    values(ep.flags()),

		Superseded: ep.superseded,
	}
	for _, streak := range ep.failures {
		state.Failures = append(state.Failures, [3]int64{int64(streak.count), streak.since, streak.lastAt})
	}
	if ep.route != ep.route.destination.route {
		ownRoute := ep.route.state()
		state.OwnRoute = &ownRoute
	}
	return state
}

func (rt *route) state() RouteState {
	return RouteState{
		Floats:          values(rt.floats()),
		Integers:        values(rt.integers()),
		Counts:          values(rt.counts()),
		Flags:           values(rt.flags()),
		AdvertisedLimit: rt.advertisedLimit.State(),
		FirstCallAt:     rt.firstCallAt,
		SlowStart:       rt.slowStartState(),
	}
}

// slowStartState returns nil if there is nothing to store.
func (rt *route) slowStartState() *SlowStartState {
	state := SlowStartState{
		Failed:        rt.gate.Failed,
		Suspected:     rt.gate.Suspected,
		Capacity:      rt.gate.Capacity,
		SustainedRate: rt.throughput.sustainedRate,
		SustainedAt:   rt.throughput.sustainedAt,
	}
	if state == (SlowStartState{}) {
		return nil
	}
	return &state
}

func (msg *message) state() MessageState {
	return MessageState{
		ID:             msg.id,
		Class:          msg.class.Name,
		Destination:    msg.destination.id,
		PriorityWeight: msg.priorityWeight,
		Integers:       values(msg.integers()),
		Zone:           msg.firstRunZone,
		Attempts:       msg.attempts,
		Retries:        msg.retries,
		Ended:          msg.ended,
	}
}

func (c *call) state() CallState {
	state := CallState{
		Endpoint: c.endpoint.Addr,
		Integers: values(c.integers()),
		Flags:    values(c.flags()),
		Size:     c.size,

		Superseded: c.endpoint.superseded,
	}
	for _, msg := range c.messages {
		if msg.call == c {
			state.Messages = append(state.Messages, msg.id)
		}
	}
	return state
}

// RestoreState gives a scheduler that has taken no step the complete state of another one, apart from
// what concerns the process of that one. The settings may be newer: messages of a class that they do not
// contain are dropped, unless their attempt is in flight. After an error the scheduler must not be used.
func (s *Scheduler) RestoreState(state State, now int64) error {
	if state.Format != StateFormat || !assign(s.floats(), state.Floats) || !assign(s.integers(), state.Integers) {
		return errStateFormat
	}
	s.now = now
	s.otherRetryAfterUntil = state.OtherRetryAfterUntil
	s.shutdownAt = 0 // of the process that saved the state: this one has not been told to end
	maps.Copy(s.connectFailureShare, state.ConnectFailureShare)
	maps.Copy(s.retrySpread, state.RetrySpread)
	s.restoreTenants(state.Tenants)
	for i := range state.Destinations {
		if !s.restoreDestination(&state.Destinations[i]) {
			return errStateFormat
		}
	}
	s.watching = true
	inFlight := map[string]bool{}
	for i := range state.Calls {
		for _, id := range state.Calls[i].Messages {
			inFlight[id] = true
		}
	}
	for i := range state.Messages {
		if !s.restoreMessage(&state.Messages[i], inFlight[state.Messages[i].ID]) {
			return errStateFormat
		}
	}
	for i := range state.Calls {
		if err := s.restoreCall(&state.Calls[i]); err != nil {
			return err
		}
	}
	s.restoreQueues(state.Messages)
	return nil
}

func (s *Scheduler) restoreTenants(states map[string][2]float64) {
	for name, state := range states {
		if tenant := s.tenants[name]; tenant != nil {
			tenant.tokens = min(tenant.bucketSize, state[0])
			tenant.refilledAt = state[1]
		}
	}
}

// restoreDestination reports false if the state is of another version.
func (s *Scheduler) restoreDestination(state *DestinationState) bool {
	dest := s.destination(state.Destination)
	if !assign(dest.floats(), state.Floats) || !assign(dest.integers(), state.Integers) ||
		!dest.route.restore(state.Route) {
		return false
	}
	for i := range state.Endpoints {
		if !s.restoreEndpoint(&state.Endpoints[i]) {
			return false
		}
	}
	return dest.route.restore(state.Route) // updateEndpoint may have changed it
}

// restoreEndpoint reports false if the state is of another version.
func (s *Scheduler) restoreEndpoint(state *EndpointState) bool {
	ep := s.restoredEndpoint(state)
	if !assign(ep.floats(), state.Floats) || !assign(ep.integers(), state.Integers) ||
		!assign(ep.counts(), state.Counts) || !assign(ep.flags(), state.Flags) {
		return false
	}
	for i, streak := range state.Failures[:min(len(state.Failures), len(ep.failures))] {
		ep.failures[i] = failureStreak{count: int(streak[0]), since: streak[1], lastAt: streak[2]}
	}
	rt := ep.route
	if state.OwnRoute != nil && rt != rt.destination.route && !rt.restore(*state.OwnRoute) {
		return false
	}
	succeededRecently := rt.latency.samples > 0 && s.now-rt.lastSuccessAt < outageAfterUs
	if succeededRecently && !slices.Contains(s.respondingRoutes, rt) {
		s.respondingRoutes = append(s.respondingRoutes, rt)
	}
	return true
}

// restoredEndpoint adds an endpoint of a saved state.
func (s *Scheduler) restoredEndpoint(state *EndpointState) *endpoint {
	if !state.Superseded {
		s.updateEndpoint(state.Endpoint)
		return s.endpoints[state.Addr]
	}
	ep := s.newEndpoint(state.Endpoint)
	ep.Endpoint, ep.superseded = state.Endpoint, true
	return ep
}

// restore sets the state of a route. It reports false if the state is of another version.
func (rt *route) restore(state RouteState) bool {
	rt.advertisedLimit, rt.firstCallAt = quota.FromState(state.AdvertisedLimit), state.FirstCallAt
	if saved := state.SlowStart; saved != nil {
		rt.gate.Failed, rt.gate.Suspected, rt.gate.Capacity = saved.Failed, saved.Suspected, saved.Capacity
		rt.throughput.sustainedRate, rt.throughput.sustainedAt = saved.SustainedRate, saved.SustainedAt
	}
	return assign(rt.floats(), state.Floats) && assign(rt.integers(), state.Integers) &&
		assign(rt.counts(), state.Counts) && assign(rt.flags(), state.Flags)
}

// restoreMessage reports false if the state is of another version. A message of an unknown class is dropped,
// unless its attempt is in flight: the caller learns the result, and the call counts until then.
func (s *Scheduler) restoreMessage(state *MessageState, inFlight bool) bool {
	class := s.classes[state.Class]
	if class == nil && !inFlight {
		return true
	}
	if class == nil {
		class = newRemovedClass(state.Class)
	}
	msg := &message{
		id:             state.ID,
		class:          class,
		destination:    s.destination(state.Destination),
		priorityWeight: state.PriorityWeight,
		firstRunZone:   state.Zone,
		attempts:       state.Attempts,
		retries:        state.Retries,
		ended:          state.Ended,
	}
	if !assign(msg.integers(), state.Integers) {
		return false
	}
	s.messages[msg.id] = msg
	if !msg.ended {
		s.acceptedCount++
	}
	return true
}

// restoreCall restores a call in flight, after its messages.
func (s *Scheduler) restoreCall(state *CallState) error {
	ep := s.endpointOfCall(state)
	restored := &call{endpoint: ep, size: state.Size, step: -1}
	if ep == nil || !assign(restored.integers(), state.Integers) || !assign(restored.flags(), state.Flags) {
		return fmt.Errorf("saved state: invalid state of a call to endpoint %q", state.Endpoint)
	}
	for _, id := range state.Messages {
		if msg := s.messages[id]; msg != nil {
			msg.call = restored
			restored.messages = append(restored.messages, msg)
			restored.unfinished++
		}
	}
	if restored.unfinished == 0 {
		return nil
	}
	restored.route = ep.route
	restored.route.calls = append(restored.route.calls, restored)
	s.callsInFlight++
	ep.callsInFlight++
	ep.connections.open = max(ep.connections.open, ep.callsInFlight) // idle connections are not handed over
	restored.messages[0].destination.callsInFlight++
	return nil
}

// endpointOfCall returns the endpoint of a saved call, or nil if there is none.
func (s *Scheduler) endpointOfCall(state *CallState) *endpoint {
	if !state.Superseded {
		return s.endpoints[state.Endpoint]
	}
	for _, id := range state.Messages {
		if msg := s.messages[id]; msg != nil {
			return msg.destination.supersededEndpoint(state.Endpoint)
		}
	}
	return nil
}

// supersededEndpoint returns the last endpoint of a destination that had an address, or nil.
func (dest *destination) supersededEndpoint(addr string) (last *endpoint) {
	for _, ep := range dest.endpoints {
		if ep.superseded && ep.Addr == addr {
			last = ep
		}
	}
	return last
}

// restoreQueues makes the messages without an attempt in flight pending and sets all deadlines.
func (s *Scheduler) restoreQueues(states []MessageState) {
	for i := range states {
		msg := s.messages[states[i].ID]
		switch {
		case msg == nil:
		case msg.call == nil && msg.ended:
			delete(s.messages, msg.id)
		case msg.call == nil:
			s.enqueue(msg)
			s.setDeadline(msg, s.sendDeadline(msg))
		case !msg.ended:
			s.setDeadline(msg, s.resendDeadline(msg))
		}
	}
}
