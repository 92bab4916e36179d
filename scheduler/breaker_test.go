package scheduler

import (
	"fmt"
	"testing"
)

// A silent route gets few calls, and a pause does not count as an outage.
func TestSilence(t *testing.T) {
	rig := newRig(t, testSettings(), ep("a", "plain", "z", 1))
	rig.warmUp(1, 8)
	event := rig.request("safe", 1)
	rig.step(event)
	for range 40 {
		rig.advance(50*ms, rig.request("once", 1))
	}
	rt := rig.sched.destination(1).route
	if n := len(rt.calls); n > 6 {
		t.Fatalf("%d calls stranded at a silent destination", n)
	}
	if !rig.sched.isProbing(rt) || rt.health.unavailable {
		t.Fatal("two seconds of silence must hold calls back, and not yet count as an outage")
	}
	if rig.advance(50*ms, rig.outcome(event.ID, OutcomeSuccess)); rig.sched.isFailing(rt) || rt.slowStart.until > 0 {
		t.Fatal("a pause counted as an outage")
	}
}

func TestReturnFromOutageIsPaced(t *testing.T) {
	for _, reason := range []Outcome{OutcomeConnectFailed, OutcomeReset, OutcomeFailed, OutcomeTimedOut, OutcomeRejected} {
		rig := newRig(t, testSettings(), ep("a", "plain", "z", 1))
		rig.warmUp(1, 12)
		var events []Event
		for range 60 {
			event := rig.request("safe", 1)
			event.Deadline = rig.now + 60_000*ms
			events = append(events, event)
		}
		actions, end := rig.step(events...), rig.now+8000*ms
		calls := 0
		for rig.now < end { // every call fails for eight seconds
			var back []Event
			for _, action := range actions {
				if action.Kind == StartAttempt {
					back = append(back, rig.outcome(action.ID, reason))
					calls++
				}
			}
			actions = rig.advance(100*ms, append(back, Event{Kind: TimerFired})...)
		}
		if calls > 25 {
			t.Errorf("%s: %d calls in an outage of 8 s", reason, calls)
		}
		limit, back := 0.0, 0
		for range 80 { // it answers again: what is sent in two seconds must stay in the budget
			var res []Event
			for _, action := range actions {
				if action.Kind == StartAttempt {
					res = append(res, rig.outcome(action.ID, OutcomeSuccess))
					back++
				}
			}
			actions = rig.advance(100*ms, append(res, Event{Kind: TimerFired})...)
			if back == 1 && limit == 0 {
				limit = float64(rig.now + 2000*ms)
			}
			if limit > 0 && float64(rig.now) < limit && back > 10 {
				t.Fatalf("%s: %d calls within two seconds of the return", reason, back)
			}
		}
		if back == 0 {
			t.Errorf("%s: the return was never noticed", reason)
		}
	}
}

func TestRejectionsAmongSuccessesAreNoOutage(t *testing.T) {
	rig := newRig(t, testSettings(), ep("a", "plain", "z", 1))
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
	if rt := rig.sched.destination(1).route; rt.health.unavailable || rt.slowStart.until > 0 || !rt.bucket.limited {
		t.Fatalf("rejections among successes: unavailable %v, slow start %v, limited %v", rt.health.unavailable,
			rt.slowStart.until > 0, rt.bucket.limited)
	}
}

// Incident iaf4c66: where most calls fail but some succeed, single probes waste what works.
func TestPartialErrorsArePacedNotUnavailable(t *testing.T) {
	rig := newRig(t, testSettings(), ep("a", "plain", "z", 1))
	rig.warmUp(1, 12)
	sent := 0
	for i := range 60 {
		event := rig.request("safe", 1)
		event.Deadline = rig.now + 60_000*ms
		var back []Event
		for n := range rig.requests {
			if msg := rig.sched.messages[fmt.Sprint("m", n)]; msg != nil && msg.call != nil {
				back = append(back, rig.outcome(msg.id, []Outcome{OutcomeFailed, OutcomeFailed, OutcomeSuccess}[i%3]))
				break
			}
		}
		sent += count(rig.advance(250*ms, append(back, event)...), StartAttempt)
	}
	if rt := rig.sched.destination(1).route; sent < 12 || rt.slowStart.until == 0 {
		t.Fatalf("%d sends in 15 s, paced %v", sent, rt.slowStart.until > 0)
	}
}

func TestOneLostCallIsNoHang(t *testing.T) {
	rig := newRig(t, testSettings(), ep("a", "plain", "z", 1))
	rig.warmUp(1, 12)
	rig.step(rig.request("safe", 1)) // never answered
	rig.advance(1500*ms, Event{Kind: TimerFired})
	if actions := rig.step(rig.request("safe", 1)); count(actions, StartAttempt) != 1 {
		t.Fatal("one lost call held the route back")
	}
}

// Few accepted connections look like an unavailable endpoint; answers in between tell them
// apart.
func TestFewConnectionsAreNoOutage(t *testing.T) {
	rig := newRig(t, testSettings(), ep("a", "plain", "z", 1))
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
		t.Fatalf("failures %d, connections %d until %d", rt.health.consecutiveFailures, endpoint.connections.limit,
			endpoint.connections.limitedUntil)
	}
}

// A destination with a long Retry-After counts as unavailable, and its return is paced.
func TestLongRetryAfterIsAnOutage(t *testing.T) {
	rig := newRig(t, testSettings(), ep("a", "plain", "z", 1))
	rig.warmUp(1, 8)
	event := rig.request("safe", 1)
	rig.step(event)
	full := rig.outcome(event.ID, OutcomeRejected)
	full.RetryAfterMs = 5000
	rig.advance(50*ms, full)
	if action, ok := rig.run(9000*ms, starts(event.ID)); !ok || !rig.sched.destination(1).route.health.unavailable {
		t.Fatalf("no probe after the wait: %v", action)
	}
	rig.advance(100*ms, rig.outcome(event.ID, OutcomeSuccess))
	if rig.sched.destination(1).route.slowStart.until <= rig.now {
		t.Fatal("the return is not paced")
	}
}

// A probe that its message's deadline ends tells nothing of the route, but counted as a failure:
// four in a row kept a destination unavailable for four seconds after its return. A probe goes
// with a message that has time left.
func TestProbeHasTimeLeft(t *testing.T) {
	rig := newRig(t, testSettings(), ep("a", "plain", "z", 1))
	rig.warmUp(1, 5)
	rt := rig.sched.destinationByID[1].route
	rt.health.unavailable, rt.probe.nextAt = true, rig.now
	late, fresh := rig.request("safe", 1), rig.request("safe", 1)
	late.Deadline = rig.now + int64(5*rt.latency.baselineUs)
	rig.advance(1*ms, late)
	rig.advance(1*ms, fresh)
	if rig.attempts[late.ID] != 0 || rig.attempts[fresh.ID] != 1 {
		t.Fatal("tries:", rig.attempts[late.ID], rig.attempts[fresh.ID])
	}
}

// The answer to a call that left before the destination's Retry-After does not end the outage.
func TestOvertakenAnswerIsNoReturn(t *testing.T) {
	rig := newRig(t, testSettings(), ep("a", "plain", "z", 1))
	rig.warmUp(1, 5)
	a, b := rig.request("safe", 1), rig.request("safe", 1)
	rig.step(a, b)
	full := rig.outcome(a.ID, OutcomeRejected)
	full.RetryAfterMs = 5000
	rig.advance(20*ms, full)
	rig.advance(20*ms, rig.outcome(b.ID, OutcomeSuccess))
	rt := rig.sched.destinationByID[1].route
	if !rt.health.unavailable {
		t.Fatal("it counts as back while it is shut")
	}
	for range 6 {
		rig.step(rig.request("safe", 1))
	}
	if rig.advance(5000*ms, Event{Kind: TimerFired}); count(rig.actions, StartAttempt) != 1 {
		t.Fatal("its messages left at once:", count(rig.actions, StartAttempt))
	}
}

// Where no message has a second left a probe is sent all the same, only later: otherwise the
// return would never be found.
func TestProbeWithShortDeadlines(t *testing.T) {
	rig := newRig(t, testSettings(), ep("a", "plain", "z", 1))
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
	t.Fatal("no probe in 16 s")
}

func TestRejectionsAloneAreAnOutageOnlyAmongFew(t *testing.T) {
	for _, n := range []int{3, 200} {
		rig := newRig(t, settingsFor(n), ep("a", "plain", "z", 1))
		rt := rig.sched.destination(1).route
		for range 4 {
			rig.now += 1_500 * ms
			rig.sched.now = rig.now
			rig.sched.recordOutcome(&call{
				route: rt, endpoint: rig.sched.endpoints["a"], sentAt: rig.now,
				messages: []*message{{class: rig.sched.classes["safe"]}},
			}, &Event{Outcome: OutcomeRejected})
		}
		if rt.health.unavailable != (n == 3) {
			t.Errorf("among %d senders four rejections over 4.5 s: unavailable %v", n, rt.health.unavailable)
		}
	}
}

func TestProbesOfManySendersShareTheSlowStartBudget(t *testing.T) {
	gap := func(n int) int64 {
		rig := newRig(t, settingsFor(n), ep("a", "plain", "z", 1))
		rt := rig.sched.destination(1).route
		rt.destination.arrivalRate, rt.destination.arrivalRateAt = 0.1, rig.sched.now
		rig.sched.markUnavailable(rt)
		return rt.probe.nextAt - rig.sched.now
	}
	if few, many := gap(3), gap(200); few > probeIntervalMinUs*13/10 || many < 4*probeIntervalMinUs {
		t.Errorf("first probe after %d ms among 3 and %d ms among 200", few/ms, many/ms)
	}
}

// In a rolling restart endpoints were replaced one after another, and the list followed seconds
// later: two failed connects to the lost one made the whole destination unavailable, with a slow
// start of thirteen seconds.
func TestOneLostEndpointIsNoOutage(t *testing.T) {
	rig := newRig(t, settingsFor(80), ep("a", "plain", "z", 1), ep("b", "plain", "z", 1))
	rig.warmUp(1, 4)
	rt := rig.sched.destination(1).route
	lost := func() string { // the next call fails to connect
		t.Helper()
		event := rig.request("safe", 1)
		if rig.step(event); rig.attempts[event.ID] == 0 {
			rig.run(9000*ms, starts(event.ID))
		}
		rig.advance(20*ms, rig.outcome(event.ID, OutcomeConnectFailed), Event{Kind: RequestWithdrawn, ID: event.ID})
		return rig.sentTo[event.ID]
	}
	first := lost()
	if rt.health.unavailable || rt.health.consecutiveFailures > 0 {
		t.Fatalf("one endpoint is gone: unavailable %v, %d failures", rt.health.unavailable, rt.health.consecutiveFailures)
	}
	if other := lost(); other == first {
		t.Fatal("the next message went to the endpoint that is gone")
	}
	if rt.health.consecutiveFailures == 0 {
		t.Error("both are gone, and the destination has no failure")
	}
}
