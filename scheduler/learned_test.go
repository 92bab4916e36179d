package scheduler

import (
	"encoding/json"
	"fmt"
	"math"
	"testing"
)

// restarted returns a rig of the next incarnation, which starts after downtimeUs with the learned state of this
// one. The clock was changed by clockShiftUs in between.
func restarted(t *testing.T, rig *rig, settings Settings, downtimeUs, clockShiftUs int64) *rig {
	t.Helper()
	raw, err := json.Marshal(rig.sched.LearnedState(100))
	if err != nil {
		t.Fatal(err)
	}
	var state State
	if err := json.Unmarshal(raw, &state); err != nil {
		t.Fatal(err)
	}
	state.ShiftTimes(clockShiftUs)
	sched, err := New(settings, 11)
	if err != nil {
		t.Fatal(err)
	}
	next := rigFor(t, sched, rig.now+downtimeUs+clockShiftUs)
	if err := sched.RestoreLearnedState(state, next.now); err != nil {
		t.Fatal(err)
	}
	next.step(Event{Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: []Endpoint{liveEndpoint("a", "plain", "z", 1)}})
	return next
}

// Many senders restart at once, each with messages for a destination that advertised a limit to their previous
// incarnations. With learned state the sum of their first calls must stay near the limit; without it all would
// send at once.
func TestFirstCallsKeepToALearnedLimit(t *testing.T) {
	settings := settingsForSenders(80)
	settings.LoadReport.Fields = []string{"x0", "x1"}
	settings.CapacityHints = HintsNone
	rig := newRig(t, settings, liveEndpoint("a", "plain", "z", 1))
	event := rig.request("safe", 1)
	rig.step(event)
	success := rig.outcome(event.ID, OutcomeSuccess)
	success.LoadReport = []float64{0.5, 40}
	rig.advance(100*ms, success)
	firstCalls := func(learned bool) (calls int) {
		for seed := range int64(80) {
			sched, err := New(settings, seed)
			if err != nil {
				t.Fatal(err)
			}
			next := rigFor(t, sched, rig.now+3000*ms)
			if learned {
				if err := sched.RestoreLearnedState(rig.sched.LearnedState(100), next.now); err != nil {
					t.Fatal(err)
				}
			}
			next.step(
				Event{Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: []Endpoint{liveEndpoint("a", "plain", "z", 1)}})
			msg := next.request("safe", 1)
			msg.Deadline += 60_000 * ms
			next.step(msg)
			next.runUntil(500*ms, func(action Action) bool { return false })
			calls += next.attempts[msg.ID]
		}
		return calls
	}
	if with, without := firstCalls(true), firstCalls(false); with > 28 || without < 70 {
		t.Errorf("first calls of 80 senders in half a second, limit 40 per second: %d with learned state, %d without", with,
			without)
	}
}

// After a restart with learned state, a Retry-After applies until its end, even if the clock was set forward or
// back in between. An unavailable destination is probed, and its messages are not rejected. A slow start ends at
// the same time. State that is too old, of another version or incomplete is not used.
func TestLearnedState(t *testing.T) {
	const hour = 3600_000 * ms
	for _, clockShift := range []int64{0, hour, -hour / 6} {
		rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
		rig.warmUp(1, 12)
		event := rig.request("safe", 1)
		rig.step(event)
		rejection := rig.outcome(event.ID, OutcomeRejected)
		rejection.RetryAfterMs = 5000
		rig.advance(10*ms, rejection)
		next := restarted(t, rig, testSettings(), 2000*ms, clockShift)
		msg := next.request("safe", 1)
		msg.Deadline += 60_000 * ms
		if next.step(msg); next.attempts[msg.ID] != 0 {
			t.Errorf("clock changed by %d us: a message was sent at the start, in a Retry-After", clockShift)
		}
		if _, ok := next.runUntil(2800*ms, startsAttempt(msg.ID)); ok {
			t.Errorf("clock changed by %d us: a message was sent in a Retry-After", clockShift)
		}
		if _, ok := next.runUntil(1500*ms, startsAttempt(msg.ID)); !ok {
			t.Errorf("clock changed by %d us: the message was not sent after the Retry-After", clockShift)
		}
	}

	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 40)
	event := rig.request("safe", 1)
	event.Deadline += hour
	rig.step(event)
	for range 100 {
		var outcomes []Event
		for _, action := range rig.actions {
			if action.Kind == StartAttempt {
				outcomes = append(outcomes, rig.outcome(action.ID, OutcomeConnectFailed))
			}
		}
		rig.advance(50*ms, append(outcomes, Event{Kind: TimerFired})...)
	}
	if !rig.sched.destination(1).route.health.unavailable {
		t.Fatal("the destination is available after 5 s of failed connects")
	}
	next := restarted(t, rig, testSettings(), 1000*ms, 0)
	var requests []Event
	for range 20 {
		msg := next.request("safe", 1)
		msg.Deadline += hour
		requests = append(requests, msg)
	}
	if actions := next.step(requests...); countActions(actions, Reject) != 0 || countActions(actions, StartAttempt) > 1 {
		t.Errorf("unavailable destination: %d messages rejected and %d sent at once, want none rejected and at most one sent",
			countActions(actions, Reject), countActions(actions, StartAttempt))
	}
	action, ok := next.runUntil(5000*ms, func(action Action) bool { return action.Kind == StartAttempt })
	if !ok {
		t.Fatal("the unavailable destination got no probe attempt")
	}
	next.advance(50*ms, next.outcome(action.ID, OutcomeSuccess))
	next.advance(1000 * ms)
	if report := next.sched.Health(next.now); len(report) != 1 || !report[0].Recovering {
		t.Fatalf("the health after a success is %+v, want one destination in slow start", report)
	}
	slowStartEnd := next.sched.destination(1).route.gate.Until
	again := restarted(t, next, testSettings(), 500*ms, 0).sched.destination(1).route
	if again.gate.Until != slowStartEnd {
		t.Errorf("the slow start ends at %d, after a restart at %d", slowStartEnd, again.gate.Until)
	}
	expired := restarted(t, next, testSettings(), hour, 0).sched.destination(1).route
	if expired.latency.samples != 0 || expired.health.unavailable || expired.gate.Until != 0 ||
		expired.health.failureShare != 0 {
		t.Error("learned state that is an hour old was used")
	}
	state := next.sched.LearnedState(100)
	state.Format++
	if sched, _ := New(testSettings(), 1); sched.RestoreLearnedState(state, next.now) == nil ||
		len(sched.destinations) != 0 {
		t.Error("learned state of another version was used")
	}
	state.Format--
	state.Destinations[0].Route.Integers = state.Destinations[0].Route.Integers[:3]
	if sched, _ := New(testSettings(), 1); sched.RestoreLearnedState(state, next.now) == nil ||
		len(sched.destinations) != 0 {
		t.Error("incomplete learned state was used")
	}
}

// The learned state of endpoints' own routes is passed on too, also by an incarnation that ends before it receives
// an endpoint list. An endpoint that now has another zone, machine type or destination starts without it.
func TestOwnRoutesAreLearned(t *testing.T) {
	limited, unavailable := liveEndpoint("waiting", "apart", "z", 1), liveEndpoint("unavailable", "apart", "z", 1)
	rig := newRig(t, testSettings(), limited, unavailable)
	rt := rig.sched.endpoints["waiting"].route
	rt.retryAfterUntil, rt.latency.samples, rt.latency.baselineUs, rt.lastOutcomeAt = rig.now+3000*ms, 40, 50_000, rig.now
	rt = rig.sched.endpoints["unavailable"].route
	rt.latency.samples, rt.latency.baselineUs, rt.lastSendAt, rt.health.lastFailureAt = 40, 50_000, rig.now, rig.now
	rig.sched.markUnavailable(rt)
	fingerprint := rig.sched.Fingerprint()
	if rt.health.unavailable = false; rig.sched.Fingerprint() == fingerprint {
		t.Error("an outage of an endpoint's own route does not change the fingerprint")
	}
	rt.health.unavailable = true
	saved, now := rig.sched.LearnedState(100), rig.now
	for range 10 { // incarnations that end before they receive an endpoint list
		sched, err := New(testSettings(), 11)
		if err != nil {
			t.Fatal(err)
		}
		now += 100 * ms
		if err := sched.RestoreLearnedState(saved, now); err != nil {
			t.Fatal(err)
		}
		saved = sched.LearnedState(100)
	}
	for _, tc := range []struct {
		limited, unavailable Endpoint
		restored             bool
	}{
		{limited, unavailable, true},
		{liveEndpoint("waiting", "apart", "y", 1), liveEndpoint("unavailable", "apart", "y", 1), false},
		{liveEndpoint("waiting", "plain", "z", 1), liveEndpoint("unavailable", "plain", "z", 1), false},
		{liveEndpoint("waiting", "apart", "z", 2), liveEndpoint("unavailable", "apart", "z", 2), false},
	} {
		sched, err := New(testSettings(), 11)
		if err != nil {
			t.Fatal(err)
		}
		if err := sched.RestoreLearnedState(saved, now); err != nil {
			t.Fatal(err)
		}
		sched.Step(now, []Event{{
			Kind: EndpointsUpdated, Update: UpdateFull,
			Endpoints: []Endpoint{tc.limited, tc.unavailable},
		}})
		limitedRoute, unavailableRoute := sched.endpoints["waiting"].route, sched.endpoints["unavailable"].route
		if (limitedRoute.retryAfterUntil == 1e9+3000*ms) != tc.restored ||
			unavailableRoute.health.unavailable != tc.restored ||
			(limitedRoute.latency.baselineUs == 50_000) != tc.restored {
			t.Errorf("%+v: Retry-After until %d, unavailable %v, baseline latency %v us", tc, limitedRoute.retryAfterUntil,
				unavailableRoute.health.unavailable, limitedRoute.latency.baselineUs)
		}
		if len(sched.learnedEndpoints) != 0 {
			t.Error("learned state of endpoints is left over after the list:", sched.learnedEndpoints)
		}
	}
	for _, epState := range saved.Destinations[0].Endpoints { // invalid times, an hour ahead, must not stop a route
		for i := range epState.OwnRoute.Integers {
			epState.OwnRoute.Integers[i] = now + 3600_000*ms
		}
		epState.OwnRoute.FirstCallAt = now + 3600_000*ms
		epState.OwnRoute.Integers[8] = now // time of the last send
		epState.OwnRoute.Integers[9] = now // time of the last outcome
		epState.OwnRoute.AdvertisedLimit = [3]float64{0, 40, 0}
		epState.OwnRoute.Integers[2], epState.OwnRoute.Integers[6] = 0, now // no Retry-After, and a failure now
	}
	sched, err := New(settingsForSenders(80), 11)
	if err != nil {
		t.Fatal(err)
	}
	if err := sched.RestoreLearnedState(saved, now); err != nil {
		t.Fatal(err)
	}
	sched.Step(now, []Event{{Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: []Endpoint{limited, unavailable}}})
	for _, addr := range []string{"waiting", "unavailable"} {
		if rt := sched.endpoints[addr].route; rt.firstCallAt > now+retrySpreadMinUs ||
			rt.probe.nextAt > now+2*probeSpreadMaxUs || rt.advertisedLimit.Known() != true {
			t.Errorf("endpoint %s: first call after %d ms, or probe attempt after %d ms, or no advertised limit", addr,
				(rt.firstCallAt-now)/1000, (rt.probe.nextAt-now)/1000)
		}
	}
	if truncated := rig.sched.LearnedState(1); len(truncated.Destinations) != 1 ||
		len(truncated.Destinations[0].Endpoints) != 1 {
		t.Errorf("learned state of at most one route: got %+v", truncated)
	}
	saved.Destinations[0].Endpoints[0].OwnRoute.Integers = nil
	if sched, _ := New(testSettings(), 1); sched.RestoreLearnedState(saved, now) == nil || len(sched.destinations) != 0 {
		t.Error("incomplete learned state of an endpoint was used")
	}
}

// An inherited rate grows once the catch-up time has ended, and never becomes infinite or NaN, which JSON cannot
// represent.
func TestInheritedRateGrows(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 40)
	next := restarted(t, rig, testSettings(), 1000*ms, 0)
	rt := next.sched.destination(1).route
	before := rt.bucket.rate
	if !rt.bucket.limited || !rt.bucket.inherited {
		t.Fatalf("the restored route is not limited by an inherited rate: %+v", rt)
	}
	for _, elapsedUs := range []int64{5_000 * ms, 0, 3_600_000 * ms, 0} {
		next.sched.now += elapsedUs
		next.sched.refillBucket(rt)
	}
	if !(rt.bucket.rate > 10*before) || math.IsInf(rt.bucket.rate+rt.bucket.tokens, 0) || math.IsNaN(rt.bucket.tokens) {
		t.Errorf("rate %v, initially %v, and %v tokens", rt.bucket.rate, before, rt.bucket.tokens)
	}
}

// A Retry-After must hold across a restart also if there are more than the learned state or its file has room for, and
// if it is longer than what another sender may tell. It was lost then, and the next incarnation sent within it.
func TestEveryRetryAfterIsLearned(t *testing.T) {
	const destinations = 120
	waitUs := func(destination int64) int64 { return (5 + destination) * 1000 * ms }
	restarts := map[string]func(State) State{
		"one":       func(state State) State { return state },
		"less room": func(state State) State { state.KeepDestinations(30); return state },
	}
	for name, store := range restarts {
		for _, ownRoutes := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, own routes %v", name, ownRoutes), func(t *testing.T) {
				machineType := "plain"
				if ownRoutes {
					machineType = "apart"
				}
				var list []Endpoint
				for id := range int64(destinations) {
					list = append(list, liveEndpoint(fmt.Sprint("e", id), machineType, "z", id))
				}
				sched := newRig(t, testSettings(), list...).sched
				for _, ep := range sched.endpoints {
					ep.route.retryAfterUntil = sched.now + waitUs(ep.Destination)
				}
				now := sched.now
				for range 3 { // the later ones end before they get the list
					now += 1000 * ms
					sched = restoredFrom(t, store(sched.LearnedState(100)), now)
				}
				sched.Step(now, []Event{{Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: list}})
				for addr, ep := range sched.endpoints {
					until, want := ep.route.retryAfterUntil, 1e9+waitUs(ep.Destination)
					if until < want {
						t.Errorf("the Retry-After of %s ends %d ms early", addr, (want-until)/1000)
					}
					if longest := 1e9 + waitUs(destinations); until > longest {
						t.Errorf("the Retry-After of %s ends %d ms behind the longest one", addr, (until-longest)/1000)
					}
				}
			})
		}
	}
}

// An endpoint that drains keeps its Retry-After across a restart, and one of ten minutes is not shortened.
func TestRetryAfterOfADrainingEndpointIsLearned(t *testing.T) {
	draining := liveEndpoint("a", "apart", "z", 1)
	rig := newRig(t, testSettings(), draining)
	until := rig.now + 600_000*ms
	rig.sched.endpoints["a"].route.retryAfterUntil = until
	draining.State = StatusDraining
	rig.step(Event{Kind: EndpointsUpdated, Update: UpdatePatch, Endpoints: []Endpoint{draining}})
	sched := restoredFrom(t, rig.sched.LearnedState(100), rig.now+1000*ms)
	draining.State = StatusLive
	sched.Step(rig.now+1000*ms, []Event{{Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: []Endpoint{draining}}})
	if got := sched.endpoints["a"].route.retryAfterUntil; got != until {
		t.Errorf("the Retry-After ends at %d, want %d", got, until)
	}
}

// restoredFrom returns the scheduler of an incarnation that starts at now with a learned state in its stored form.
func restoredFrom(t *testing.T, learned State, now int64) *Scheduler {
	t.Helper()
	raw, err := json.Marshal(learned)
	if err != nil {
		t.Fatal(err)
	}
	var state State
	if err := json.Unmarshal(raw, &state); err != nil {
		t.Fatal(err)
	}
	sched, err := New(testSettings(), 11)
	if err != nil {
		t.Fatal(err)
	}
	if err := sched.RestoreLearnedState(state, now); err != nil {
		t.Fatal(err)
	}
	return sched
}
