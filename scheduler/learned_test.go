package scheduler

import (
	"encoding/json"
	"math"
	"testing"
)

// restarted is the rig of the next incarnation, started a time later with the learned state of
// this one. Its clock was moved meanwhile.
func restarted(t *testing.T, rig *rig, settings Settings, later, move int64) *rig {
	t.Helper()
	raw, err := json.Marshal(rig.sched.LearnedState(100))
	if err != nil {
		t.Fatal(err)
	}
	var state State
	if err := json.Unmarshal(raw, &state); err != nil {
		t.Fatal(err)
	}
	state.ShiftTimes(move)
	sched, err := New(settings, 11)
	if err != nil {
		t.Fatal(err)
	}
	n := rigOf(t, sched, rig.now+later+move)
	if err := sched.RestoreLearnedState(state, n.now); err != nil {
		t.Fatal(err)
	}
	n.step(Event{Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: []Endpoint{ep("a", "plain", "z", 1)}})
	return n
}

// Many senders restart at once, each with messages for a limit that the last incarnations saw
// advertised: with the learned state the sum of the first calls stays near the limit, without it
// all leave at once.
func TestFirstCallsKeepToALearnedLimit(t *testing.T) {
	settings := settingsFor(80)
	settings.LoadReport.Fields = []string{"x0", "x1"}
	settings.CapacityHints = HintsNone
	rig := newRig(t, settings, ep("a", "plain", "z", 1))
	event := rig.request("safe", 1)
	rig.step(event)
	good := rig.outcome(event.ID, OutcomeSuccess)
	good.LoadReport = []float64{0.5, 40}
	rig.advance(100*ms, good)
	first := func(memory bool) (calls int) {
		for seed := range int64(80) {
			sched, err := New(settings, seed)
			if err != nil {
				t.Fatal(err)
			}
			later := rigOf(t, sched, rig.now+3000*ms)
			if memory {
				if err := sched.RestoreLearnedState(rig.sched.LearnedState(100), later.now); err != nil {
					t.Fatal(err)
				}
			}
			later.step(Event{Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: []Endpoint{ep("a", "plain", "z", 1)}})
			m := later.request("safe", 1)
			m.Deadline += 60_000 * ms
			later.step(m)
			later.run(500*ms, func(action Action) bool { return false })
			calls += later.attempts[m.ID]
		}
		return calls
	}
	if with, without := first(true), first(false); with > 28 || without < 70 {
		t.Errorf("first calls of 80 incarnations in half a second at a limit of 40: %d with learned state, %d without", with,
			without)
	}
}

// A Retry-After counts to its end, also where the clock was set an hour forward or back
// meanwhile; an unavailable destination is probed and nothing is rejected for it; a slow start
// goes on to the same end; and state that is old or of another version is not used.
func TestLearnedState(t *testing.T) {
	const hour = 3600_000 * ms
	for _, move := range []int64{0, hour, -hour / 6} {
		rig := newRig(t, testSettings(), ep("a", "plain", "z", 1))
		rig.warmUp(1, 12)
		event := rig.request("safe", 1)
		rig.step(event)
		full := rig.outcome(event.ID, OutcomeRejected)
		full.RetryAfterMs = 5000
		rig.advance(10*ms, full)
		later := restarted(t, rig, testSettings(), 2000*ms, move)
		m := later.request("safe", 1)
		m.Deadline += 60_000 * ms
		if later.step(m); later.attempts[m.ID] != 0 {
			t.Errorf("clock moved by %d: sent in a Retry-After", move)
		}
		if _, ok := later.run(2800*ms, starts(m.ID)); ok {
			t.Errorf("clock moved by %d: sent in a Retry-After", move)
		}
		if _, ok := later.run(1500*ms, starts(m.ID)); !ok {
			t.Errorf("clock moved by %d: the wait does not end", move)
		}
	}

	rig := newRig(t, testSettings(), ep("a", "plain", "z", 1))
	rig.warmUp(1, 40)
	event := rig.request("safe", 1)
	event.Deadline += hour
	rig.step(event)
	for range 100 {
		var res []Event
		for _, action := range rig.actions {
			if action.Kind == StartAttempt {
				res = append(res, rig.outcome(action.ID, OutcomeConnectFailed))
			}
		}
		rig.advance(50*ms, append(res, Event{Kind: TimerFired})...)
	}
	if !rig.sched.destination(1).route.health.unavailable {
		t.Fatal("still available")
	}
	later := restarted(t, rig, testSettings(), 1000*ms, 0)
	var list []Event
	for range 20 {
		m := later.request("safe", 1)
		m.Deadline += hour
		list = append(list, m)
	}
	if actions := later.step(list...); count(actions, Reject) != 0 || count(actions, StartAttempt) > 1 {
		t.Errorf("unavailable: %d rejected, %d sent at once", count(actions, Reject), count(actions, StartAttempt))
	}
	action, ok := later.run(5000*ms, func(action Action) bool { return action.Kind == StartAttempt })
	if !ok {
		t.Fatal("what was unavailable is never tried")
	}
	later.advance(50*ms, later.outcome(action.ID, OutcomeSuccess))
	later.advance(1000 * ms)
	if h := later.sched.Health(later.now); len(h) != 1 || !h[0].Recovering {
		t.Fatalf("%+v", h)
	}
	slowStartEnd := later.sched.destination(1).route.slowStart.until
	again := restarted(t, later, testSettings(), 500*ms, 0).sched.destination(1).route
	if again.slowStart.until != slowStartEnd {
		t.Errorf("slow start until %d, and after a restart until %d", slowStartEnd, again.slowStart.until)
	}
	other := restarted(t, later, testSettings(), hour, 0).sched.destination(1).route
	if other.latency.samples != 0 || other.health.unavailable || other.slowStart.until != 0 ||
		other.health.failureShare != 0 {
		t.Error("an hour old, and used")
	}
	state := later.sched.LearnedState(100)
	state.Format++
	if sched, _ := New(testSettings(), 1); sched.RestoreLearnedState(state, later.now) == nil ||
		len(sched.destinations) != 0 {
		t.Error("another version was taken up")
	}
	state.Format--
	state.Destinations[0].Route.Integers = state.Destinations[0].Route.Integers[:3]
	if sched, _ := New(testSettings(), 1); sched.RestoreLearnedState(state, later.now) == nil ||
		len(sched.destinations) != 0 {
		t.Error("half of it was taken up")
	}
}

// What is known of routes with limits of their own outlives an incarnation too, and one that
// ends before it has a list; an endpoint in another zone, of another machine type or for another
// destination starts without it.
func TestOwnRoutesAreLearned(t *testing.T) {
	waiting, unavailable := ep("waiting", "apart", "z", 1), ep("unavailable", "apart", "z", 1)
	rig := newRig(t, testSettings(), waiting, unavailable)
	rt := rig.sched.endpoints["waiting"].route
	rt.retryAfterUntil, rt.latency.samples, rt.latency.baselineUs, rt.lastOutcomeAt = rig.now+3000*ms, 40, 50_000, rig.now
	rt = rig.sched.endpoints["unavailable"].route
	rt.latency.samples, rt.latency.baselineUs, rt.lastSendAt, rt.health.lastFailureAt = 40, 50_000, rig.now, rig.now
	rig.sched.markUnavailable(rt)
	fingerprint := rig.sched.Fingerprint()
	if rt.health.unavailable = false; rig.sched.Fingerprint() == fingerprint {
		t.Error("an outage of a route apart does not change the fingerprint")
	}
	rt.health.unavailable = true
	saved, now := rig.sched.LearnedState(100), rig.now
	for range 10 { // killed again and again before it has a list
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
		waiting, unavailable Endpoint
		same                 bool
	}{
		{waiting, unavailable, true},
		{ep("waiting", "apart", "y", 1), ep("unavailable", "apart", "y", 1), false},
		{ep("waiting", "plain", "z", 1), ep("unavailable", "plain", "z", 1), false},
		{ep("waiting", "apart", "z", 2), ep("unavailable", "apart", "z", 2), false},
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
			Endpoints: []Endpoint{tc.waiting, tc.unavailable},
		}})
		a, b := sched.endpoints["waiting"].route, sched.endpoints["unavailable"].route
		if (a.retryAfterUntil == 1e9+3000*ms) != tc.same || b.health.unavailable != tc.same ||
			(a.latency.baselineUs == 50_000) != tc.same {
			t.Errorf("%+v: wait %d, unavailable %v, usual %v", tc, a.retryAfterUntil, b.health.unavailable, a.latency.baselineUs)
		}
		if len(sched.learnedEndpoints) != 0 {
			t.Error("still waited for:", sched.learnedEndpoints)
		}
	}
	for _, epState := range saved.Destinations[0].Endpoints { // no absurd time in learned state stops a route for long
		for i := range epState.OwnRoute.Integers {
			epState.OwnRoute.Integers[i] = now + 3600_000*ms
		}
		epState.OwnRoute.FirstCallAt = now + 3600_000*ms
		epState.OwnRoute.Integers[8] = now
		epState.OwnRoute.Integers[9] = now
		epState.OwnRoute.AdvertisedLimit = [3]float64{0, 40, 0}
		epState.OwnRoute.Integers[2], epState.OwnRoute.Integers[6] = 0, now // no Retry-After, failed just now
	}
	sched, err := New(settingsFor(80), 11)
	if err != nil {
		t.Fatal(err)
	}
	if err := sched.RestoreLearnedState(saved, now); err != nil {
		t.Fatal(err)
	}
	sched.Step(now, []Event{{Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: []Endpoint{waiting, unavailable}}})
	for _, addr := range []string{"waiting", "unavailable"} {
		if rt := sched.endpoints[addr].route; rt.firstCallAt > now+retrySpreadMinUs ||
			rt.probe.nextAt > now+2*probeSpreadMaxUs || rt.advertisedLimit.Known() != true {
			t.Errorf("%s: first call in %d ms, probe in %d", addr, (rt.firstCallAt-now)/1000, (rt.probe.nextAt-now)/1000)
		}
	}
	if few := rig.sched.LearnedState(1); len(few.Destinations) != 1 || len(few.Destinations[0].Endpoints) != 1 {
		t.Errorf("room for one route: %+v", few)
	}
	saved.Destinations[0].Endpoints[0].OwnRoute.Integers = nil
	if sched, _ := New(testSettings(), 1); sched.RestoreLearnedState(saved, now) == nil || len(sched.destinations) != 0 {
		t.Error("half of it was taken up")
	}
}

// An inherited rate grows once the time of catching up is over, and never becomes a number that
// JSON cannot hold.
func TestInheritedRateGrows(t *testing.T) {
	rig := newRig(t, testSettings(), ep("a", "plain", "z", 1))
	rig.warmUp(1, 40)
	later := restarted(t, rig, testSettings(), 1000*ms, 0)
	rt := later.sched.destination(1).route
	before := rt.bucket.rate
	if !rt.bucket.limited || !rt.bucket.inherited {
		t.Fatalf("%+v", rt)
	}
	for _, us := range []int64{5_000 * ms, 0, 3_600_000 * ms, 0} {
		later.sched.now += us
		later.sched.refillBucket(rt)
	}
	if !(rt.bucket.rate > 10*before) || math.IsInf(rt.bucket.rate+rt.bucket.tokens, 0) || math.IsNaN(rt.bucket.tokens) {
		t.Errorf("a rate of %v, %v before, and %v tokens", rt.bucket.rate, before, rt.bucket.tokens)
	}
}
