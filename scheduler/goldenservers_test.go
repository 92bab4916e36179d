package scheduler

import (
	"slices"
)

// serverCondition is the condition of a simulated destination. It determines the outcomes of calls.
type serverCondition int

// The conditions of a destination. conditionCount is their number.
const (
	healthy   serverCondition = iota
	rejecting                 // rejects everything with a Retry-After
	unreachable
	unresponsive // no response in time
	failing      // most calls fail after they may have run
	resetting
	slow
	conditionCount
)

// deliverDue delivers the events that are due, in order of time.
func (sim *goldenSimulation) deliverDue() {
	slices.SortStableFunc(sim.scheduled, func(a, b scheduledEvent) int { return int(a.at - b.at) })
	for len(sim.scheduled) > 0 && sim.scheduled[0].at <= sim.now {
		event := sim.scheduled[0].event
		sim.scheduled = sim.scheduled[1:]
		if event.Final {
			sim.removeRequest(event.ID)
		}
		if event.Kind == AttemptFinished {
			sim.recordFirstRun(event)
		}
		sim.deliver(event)
		if event.Kind == AttemptFinished && sim.chance(0.01) { // a duplicate
			sim.deliver(event)
		}
	}
}

// recordFirstRun records the first attempt of a request that may have run.
func (sim *goldenSimulation) recordFirstRun(event Event) {
	notRun := event.Outcome == OutcomeRejected || event.Outcome == OutcomeConnectFailed || event.Outcome == OutcomeNotSent
	if sim.firstRunAt[event.ID] == 0 && !notRun {
		sim.firstRunAt[event.ID], sim.firstRunZone[event.ID] = sim.now-event.RttUs, sim.zone(event.Endpoint)
	}
}

// zone returns the zone of an endpoint, or "" for an unknown address.
func (sim *goldenSimulation) zone(addr string) string {
	for _, listed := range sim.endpoints {
		if listed.Addr == addr {
			return listed.Zone
		}
	}
	return ""
}

// apply carries out one action of the scheduler.
func (sim *goldenSimulation) apply(action Action) {
	switch action.Kind {
	case StartAttempt:
		sim.startAttempt(action)
	case Reject, Fail:
		sim.removeRequest(action.ID)
	case SetTimer:
		sim.timerAt = sim.now + action.DelayUs
	case CancelAttempt:
		sim.cancelAttempt(action)
	case WatchEndpoints:
		if sim.watching = sim.chance(0.6); sim.watching {
			sim.schedule(30*ms, sim.listEvent(UpdateFull))
		} else {
			sim.schedule(30*ms, Event{Kind: EndpointsUpdated, Update: UpdateBroken})
		}
	case WriteLog, CloseIdleConnections:
	}
}

// schedule delivers an event to the scheduler after a delay.
func (sim *goldenSimulation) schedule(delayUs int64, event Event) {
	sim.scheduled = append(sim.scheduled, scheduledEvent{sim.now + delayUs, event})
}

// cancelAttempt ends an attempt early, unless its response arrives first.
func (sim *goldenSimulation) cancelAttempt(action Action) {
	for i, due := range sim.scheduled {
		if due.event.Kind == AttemptFinished && due.event.ID == action.ID && due.event.Attempt == action.Attempt &&
			sim.chance(0.8) {
			sim.scheduled[i] = scheduledEvent{
				sim.now + 2*ms,
				Event{
					Kind: AttemptFinished, ID: action.ID, Attempt: action.Attempt, Endpoint: due.event.Endpoint,
					Outcome: OutcomeCanceled,
				},
			}
			return
		}
	}
}

// startAttempt draws the outcome of an attempt at random, by the condition of its destination.
func (sim *goldenSimulation) startAttempt(action Action) {
	attempt := sim.attempts[action.ID]
	sim.attempts[action.ID]++
	event := Event{Kind: AttemptFinished, ID: action.ID, Attempt: attempt, Endpoint: action.Endpoint}
	i := slices.IndexFunc(sim.endpoints, func(listed Endpoint) bool { return listed.Addr == action.Endpoint })
	destination := sim.endpoints[i].Destination
	latencyUs := 20*ms + sim.rng.Int63n(80*ms)
	switch sim.conditions[destination] {
	case rejecting:
		event.Outcome, event.RetryAfterMs = OutcomeRejected, sim.rng.Int63n(6000)
	case unreachable:
		event.Outcome = OutcomeConnectFailed
	case unresponsive:
		event.Outcome, latencyUs = OutcomeTimedOut, action.TimeoutUs
	case failing:
		event.Outcome = []Outcome{OutcomeFailed, OutcomeFailed, OutcomeSuccess}[sim.rng.Intn(3)]
	case resetting:
		event.Outcome = []Outcome{OutcomeReset, OutcomeReset, OutcomeNotSent, OutcomeSuccess}[sim.rng.Intn(4)]
		event.RetryAfterMs = int64(sim.rng.Intn(2))
	case slow:
		event.Outcome, latencyUs = OutcomeSuccess, min(action.TimeoutUs, 8*latencyUs)
	default:
		event.Outcome = sim.admit(destination)
	}
	if sim.chance(0.02) {
		event.Outcome = []Outcome{
			OutcomeFailed, OutcomeRejected, OutcomeTimedOut, OutcomeConnectFailed, OutcomeReset,
			OutcomeNotSent,
		}[sim.rng.Intn(6)]
	}
	if event.Outcome == OutcomeTimedOut {
		latencyUs = action.TimeoutUs
	}
	sim.scheduleOutcome(action, event, destination, latencyUs)
}

// scheduleOutcome schedules the outcome of an attempt with its load report and, for a stream, the start of the
// response before it.
func (sim *goldenSimulation) scheduleOutcome(action Action, event Event, destination, latencyUs int64) {
	event.RttUs, event.Final = latencyUs, event.Outcome == OutcomeSuccess
	if event.Outcome == OutcomeRejected && event.RetryAfterMs == 0 && sim.chance(0.3) {
		event.RetryAfterMs = sim.rng.Int63n(900)
	}
	reports := sim.settings.LoadReport.Mode == ReportInAnswers && sim.scenario.limit > 0 && !sim.noReports
	if reports && (event.Outcome == OutcomeSuccess || event.Outcome == OutcomeRejected && sim.chance(0.8)) {
		event.LoadReport = []float64{
			max(0, sim.tokens[destination]/sim.scenario.limit),
			sim.scenario.limit * float64(sim.settings.Senders),
		}
	}
	index := slices.IndexFunc(sim.accepted, func(request Event) bool { return request.ID == action.ID })
	if index >= 0 && sim.accepted[index].Class == "stream" && event.Outcome != OutcomeConnectFailed &&
		event.Outcome != OutcomeRejected {
		sim.schedule(latencyUs/2,
			Event{Kind: ResponseStarted, ID: action.ID, Attempt: event.Attempt, Endpoint: action.Endpoint})
	}
	sim.schedule(latencyUs, event)
}

// admit returns the outcome of a call to a healthy destination: a rejection if its limit is used up.
func (sim *goldenSimulation) admit(destination int64) Outcome {
	if sim.scenario.limit == 0 {
		return OutcomeSuccess
	}
	refill := sim.scenario.limit * float64(sim.now-sim.tokensAt[destination]) / 1e6
	sim.tokens[destination] = min(sim.scenario.limit, sim.tokens[destination]+refill)
	sim.tokensAt[destination] = sim.now
	if sim.tokens[destination] < 1 {
		return OutcomeRejected
	}
	sim.tokens[destination]--
	return OutcomeSuccess
}
