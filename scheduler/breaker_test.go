package scheduler

import (
	"fmt"
	"testing"
)

// An unresponsive route gets few calls, and a pause without responses is not an outage.
func TestUnresponsiveRouteGetsFewCalls(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 8)
	event := rig.request("safe", 1)
	rig.step(event)
	for range 40 {
		rig.advance(50*ms, rig.request("once", 1))
	}
	rt := rig.sched.destination(1).route
	if inFlight := len(rt.calls); inFlight > 6 {
		t.Fatalf("%d calls in flight to an unresponsive destination, want at most 6", inFlight)
	}
	if !rig.sched.isProbing(rt) || rt.health.unavailable {
		t.Fatal("after two seconds without a response the route must be probing and not yet unavailable")
	}
	if rig.advance(50*ms, rig.outcome(event.ID, OutcomeSuccess)); rig.sched.isFailing(rt) || rt.gate.Until > 0 {
		t.Fatal("a pause without responses counted as an outage")
	}
}

// In an outage a route gets only probe attempts. After it, the calls of two seconds stay within the slow-start
// budget, however the outage ended the calls.
func TestRecoveryFromOutageIsPaced(t *testing.T) {
	for _, reason := range []Outcome{OutcomeConnectFailed, OutcomeReset, OutcomeFailed, OutcomeTimedOut, OutcomeRejected} {
		rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
		rig.warmUp(1, 12)
		var events []Event
		for range 60 {
			event := rig.request("safe", 1)
			event.Deadline = rig.now + 60_000*ms
			events = append(events, event)
		}
		actions, outageEndAt := rig.step(events...), rig.now+8000*ms
		calls := 0
		for rig.now < outageEndAt { // every call fails for eight seconds
			var outcomes []Event
			for _, action := range actions {
				if action.Kind == StartAttempt {
					outcomes = append(outcomes, rig.outcome(action.ID, reason))
					calls++
				}
			}
			actions = rig.advance(100*ms, append(outcomes, Event{Kind: TimerFired})...)
		}
		if calls > 25 {
			t.Errorf("outcome %s: %d calls in an outage of 8 s, want at most 25", reason, calls)
		}
		budgetEndAt, successes := 0.0, 0
		for range 80 { // it responds again: the calls of two seconds must stay within the budget
			var outcomes []Event
			for _, action := range actions {
				if action.Kind == StartAttempt {
					outcomes = append(outcomes, rig.outcome(action.ID, OutcomeSuccess))
					successes++
				}
			}
			actions = rig.advance(100*ms, append(outcomes, Event{Kind: TimerFired})...)
			if successes == 1 && budgetEndAt == 0 {
				budgetEndAt = float64(rig.now + 2000*ms)
			}
			if budgetEndAt > 0 && float64(rig.now) < budgetEndAt && successes > 10 {
				t.Fatalf("outcome %s: %d calls within two seconds of the recovery, want at most 10", reason, successes)
			}
		}
		if successes == 0 {
			t.Errorf("outcome %s: no call was sent after the recovery", reason)
		}
	}
}

// Rejections between successes are due to a limit: they limit the rate, and the route stays available.
func TestRejectionsAmongSuccessesAreNoOutage(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 6)
	for i := range 30 { // every third call is rejected
		event := rig.request("safe", 1)
		rig.step(event)
		if rig.attempts[event.ID] == 1 {
			rig.advance(300*ms, rig.outcome(event.ID, []Outcome{OutcomeSuccess, OutcomeSuccess, OutcomeRejected}[i%3]))
		} else {
			rig.advance(300*ms, Event{Kind: TimerFired})
		}
	}
	if rt := rig.sched.destination(1).route; rt.health.unavailable || rt.gate.Until > 0 || !rt.bucket.limited {
		t.Fatalf("rejections among successes: unavailable %v, slow start %v, limited %v", rt.health.unavailable,
			rt.gate.Until > 0, rt.bucket.limited)
	}
}

// Incident iaf4c66: where most calls fail but some succeed, single probe attempts waste the remaining capacity.
// Such a route is in slow start instead.
func TestPartialErrorsArePacedNotUnavailable(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 12)
	sent := 0
	for i := range 60 {
		event := rig.request("safe", 1)
		event.Deadline = rig.now + 60_000*ms
		var events []Event
		for number := range rig.requests {
			if msg := rig.sched.messages[fmt.Sprint("m", number)]; msg != nil && msg.call != nil {
				events = append(events, rig.outcome(msg.id, []Outcome{OutcomeFailed, OutcomeFailed, OutcomeSuccess}[i%3]))
				break
			}
		}
		sent += countActions(rig.advance(250*ms, append(events, event)...), StartAttempt)
	}
	if rt := rig.sched.destination(1).route; sent < 12 || rt.gate.Until == 0 {
		t.Fatalf("%d calls in 15 s, slow start %v, want at least 12 in slow start", sent, rt.gate.Until > 0)
	}
}

// A single call without a response must not stop other calls to its route.
func TestOneLostCallDoesNotBlockTheRoute(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 12)
	rig.step(rig.request("safe", 1)) // gets no response
	rig.advance(1500*ms, Event{Kind: TimerFired})
	if actions := rig.step(rig.request("safe", 1)); countActions(actions, StartAttempt) != 1 {
		t.Fatal("one lost call blocked the route")
	}
}

// An endpoint that accepts few connections fails connects like an unavailable one. Responses in between show
// that it is available, with a connection limit.
func TestConnectionLimitIsNoOutage(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 8)
	var events []Event
	for range 3 {
		events = append(events, rig.request("safe", 1))
	}
	rig.step(events...)
	rig.advance(50*ms, rig.outcome(events[0].ID, OutcomeSuccess))
	rig.advance(50*ms, rig.outcome(events[1].ID, OutcomeConnectFailed))
	endpoint := rig.sched.endpoints["a"]
	if rt := rig.sched.destination(1).route; rt.health.consecutiveFailures != 0 || endpoint.connections.limit < 1 ||
		endpoint.connections.limitedUntil <= rig.now {
		t.Fatalf("%d failures, connection limit %d until %d; want no failure and a limit in effect",
			rt.health.consecutiveFailures, endpoint.connections.limit, endpoint.connections.limitedUntil)
	}
}

// A destination with a long Retry-After counts as unavailable, and its recovery has a slow start.
func TestLongRetryAfterIsAnOutage(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 8)
	event := rig.request("safe", 1)
	rig.step(event)
	rejection := rig.outcome(event.ID, OutcomeRejected)
	rejection.RetryAfterMs = 5000
	rig.advance(50*ms, rejection)
	if action, ok := rig.runUntil(9000*ms, startsAttempt(event.ID)); !ok ||
		!rig.sched.destination(1).route.health.unavailable {
		t.Fatalf("no probe attempt after the Retry-After, or the route is available: %v", action)
	}
	rig.advance(100*ms, rig.outcome(event.ID, OutcomeSuccess))
	if rig.sched.destination(1).route.gate.Until <= rig.now {
		t.Fatal("the recovery has no slow start")
	}
}

// A probe attempt that ends at its message's deadline says nothing about the route, but counted as a failure:
// four in a row kept a destination unavailable for four seconds after its recovery. A probe attempt must
// therefore carry a message with time left.
func TestProbeCarriesAMessageWithTimeLeft(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 5)
	rt := rig.sched.destinationByID[1].route
	rt.health.unavailable, rt.probe.nextAt = true, rig.now
	expiring, recent := rig.request("safe", 1), rig.request("safe", 1)
	expiring.Deadline = rig.now + int64(5*rt.latency.baselineUs)
	rig.advance(1*ms, expiring)
	rig.advance(1*ms, recent)
	if rig.attempts[expiring.ID] != 0 || rig.attempts[recent.ID] != 1 {
		t.Fatal("attempts of the expiring and the recent message, want 0 and 1:", rig.attempts[expiring.ID],
			rig.attempts[recent.ID])
	}
}

// A success of a call that was sent before the destination's Retry-After does not end the outage.
func TestResponseSentBeforeARetryAfterIsNoRecovery(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 5)
	first, second := rig.request("safe", 1), rig.request("safe", 1)
	rig.step(first, second)
	rejection := rig.outcome(first.ID, OutcomeRejected)
	rejection.RetryAfterMs = 5000
	rig.advance(20*ms, rejection)
	rig.advance(20*ms, rig.outcome(second.ID, OutcomeSuccess))
	rt := rig.sched.destinationByID[1].route
	if !rt.health.unavailable {
		t.Fatal("the destination counts as available during its Retry-After")
	}
	for range 6 {
		rig.step(rig.request("safe", 1))
	}
	if rig.advance(5000*ms, Event{Kind: TimerFired}); countActions(rig.actions, StartAttempt) != 1 {
		t.Fatal("calls at the end of the Retry-After, want one probe attempt:", countActions(rig.actions, StartAttempt))
	}
}

// Where no message has a second left, a probe attempt is sent nevertheless, only later: otherwise the recovery
// would never be noticed.
func TestProbeWithShortDeadlines(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 5)
	rt := rig.sched.destinationByID[1].route
	rt.health.unavailable, rt.probe.nextAt = true, rig.now
	for range 40 {
		event := rig.request("safe", 1)
		event.Deadline = rig.now + 800*ms
		rig.step(event)
		if rig.advance(400*ms, Event{Kind: TimerFired}); rig.attempts[event.ID] == 1 {
			return
		}
	}
	t.Fatal("no probe attempt in 16 s")
}

// Rejections without a success for several seconds are an outage for few senders. For many senders they are
// normal, since each has too few calls to see a success.
func TestRejectionsAloneAreAnOutageOnlyForFewSenders(t *testing.T) {
	for _, senders := range []int{3, 200} {
		rig := newRig(t, settingsForSenders(senders), liveEndpoint("a", "plain", "z", 1))
		rt := rig.sched.destination(1).route
		for range 4 {
			rig.now += 1_500 * ms
			rig.sched.now = rig.now
			rig.sched.recordOutcome(&call{
				route: rt, endpoint: rig.sched.endpoints["a"], sentAt: rig.now,
				messages: []*message{{class: rig.sched.classes["safe"]}},
			}, &Event{Outcome: OutcomeRejected})
		}
		if rt.health.unavailable != (senders == 3) {
			t.Errorf("%d senders, four rejections over 4.5 s: unavailable %v", senders, rt.health.unavailable)
		}
	}
}

// The probe attempts of all senders together stay below the load that a recovering route accepts, so each of
// many senders has a longer probe interval.
func TestProbesOfManySendersShareTheSlowStartBudget(t *testing.T) {
	firstInterval := func(senders int) int64 {
		rig := newRig(t, settingsForSenders(senders), liveEndpoint("a", "plain", "z", 1))
		rt := rig.sched.destination(1).route
		rt.destination.arrivalRate, rt.destination.arrivalRateAt = 0.1, rig.sched.now
		rig.sched.markUnavailable(rt)
		return rt.probe.nextAt - rig.sched.now
	}
	if few, many := firstInterval(3), firstInterval(200); few > probeIntervalMinUs*13/10 || many < 4*probeIntervalMinUs {
		t.Errorf("first probe attempt after %d ms with 3 senders and after %d ms with 200", few/ms, many/ms)
	}
}

// In a rolling restart endpoints are replaced one after another, and the endpoint list follows seconds later.
// Two failed connects to the endpoint that had gone made the whole destination unavailable, with a slow start
// of thirteen seconds.
func TestOneLostEndpointIsNoOutage(t *testing.T) {
	rig := newRig(t, settingsForSenders(80), liveEndpoint("a", "plain", "z", 1), liveEndpoint("b", "plain", "z", 1))
	rig.warmUp(1, 4)
	rt := rig.sched.destination(1).route
	failConnect := func() string { // the next call fails to connect
		t.Helper()
		event := rig.request("safe", 1)
		if rig.step(event); rig.attempts[event.ID] == 0 {
			rig.runUntil(9000*ms, startsAttempt(event.ID))
		}
		rig.advance(20*ms, rig.outcome(event.ID, OutcomeConnectFailed), Event{Kind: RequestWithdrawn, ID: event.ID})
		return rig.sentTo[event.ID]
	}
	first := failConnect()
	if rt.health.unavailable || rt.health.consecutiveFailures > 0 {
		t.Fatalf("one endpoint has failed a connect: unavailable %v, %d failures of the destination",
			rt.health.unavailable, rt.health.consecutiveFailures)
	}
	if second := failConnect(); second == first {
		t.Fatal("the next message was sent to the endpoint that had failed a connect")
	}
	if rt.health.consecutiveFailures == 0 {
		t.Error("both endpoints have failed a connect, and the destination has no failure")
	}
}
