package scheduler

import (
	"fmt"
	"testing"
)

// One call is free, and two destinations have pending messages. Those of one have twice the priority weight,
// but a call to the other carries five messages and thus a higher value.
func TestFreeCallGoesWhereItCarriesTheHighestValue(t *testing.T) {
	settings := stateSettings(1)
	settings.Calls.ConcurrentCalls, settings.Calls.MessagesPerCall = 3, []int{1, 5}
	settings.Calls.EndpointLimits = []bool{false, false}
	sched, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	now := int64(1e15)
	request := func(id string, dest int64) Event {
		return Event{
			Kind: RequestAccepted, ID: id, Class: map[int64]string{1: "key", 2: "safe", 3: "safe"}[dest], Destination: dest,
			Deadline: now + map[int64]int64{1: 12e6, 2: 6e6, 3: 6e6}[dest],
		}
	}
	success := func(id, addr string) Event {
		return Event{Kind: AttemptFinished, ID: id, Endpoint: addr, Outcome: OutcomeSuccess, Final: true}
	}
	sched.Step(now, []Event{{Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: []Endpoint{
		{Addr: "single", MachineType: "one", Destination: 1, State: StatusLive},
		{Addr: "bundle", MachineType: "apart", Destination: 2, State: StatusLive},
		{Addr: "third", MachineType: "one", Destination: 3, State: StatusLive},
	}}})
	for _, warmUp := range []struct {
		id, addr string
		dest     int64
	}{{"warm1", "single", 1}, {"warm2", "bundle", 2}} { // both have the same latency
		sched.Step(now, []Event{request(warmUp.id, warmUp.dest)})
		now += 50_000
		sched.Step(now, []Event{success(warmUp.id, warmUp.addr)})
	}
	sched.Step(now, []Event{request("out1", 1), request("out2", 2), request("out3", 3)}) // uses all calls
	var pending []Event
	for _, number := range []string{"1", "2", "3", "4", "5"} {
		pending = append(pending, request("s"+number, 1), request("b"+number, 2))
	}
	if actions := sched.Step(now+1000, pending); countStarts(actions) != 0 {
		t.Fatal("a message was sent though no call was free")
	}
	if actions := sched.Step(now+51_000, []Event{success("out3", "third")}); countStarts(actions) != 5 {
		t.Fatalf("the free call carries %d messages, want 5", countStarts(actions))
	}
}

// A call is lost if calls that were sent later have their responses. It is canceled after half the latency
// objective if its message may be sent again, and not before the end of the objective if it is unsafe.
func TestOvertakenCallsAreCanceled(t *testing.T) {
	for class, minAgeUs := range map[string]int64{"key": 500_000, "once": 1_000_000} {
		sched, err := New(stateSettings(1), 1)
		if err != nil {
			t.Fatal(err)
		}
		now := int64(1e15)
		sched.Step(now, []Event{{
			Kind: EndpointsUpdated, Update: UpdateFull,
			Endpoints: []Endpoint{{Addr: "e", MachineType: "one", Destination: 1, State: StatusLive}},
		}})
		deliverNext := func(id string) (canceled bool) {
			sched.Step(now, []Event{{Kind: RequestAccepted, ID: id, Class: "safe", Destination: 1, Deadline: now + 6e6}})
			now += 10_000
			for _, action := range sched.Step(now, []Event{{
				Kind: AttemptFinished, ID: id, Endpoint: "e", Outcome: OutcomeSuccess,
				Final: true,
			}}) {
				canceled = canceled || action.Kind == CancelAttempt && action.ID == "hung"
			}
			return canceled
		}
		for range 20 {
			deliverNext("warm")
		}
		sentAt := now
		sched.Step(now, []Event{{Kind: RequestAccepted, ID: "hung", Class: class, Destination: 1, Deadline: now + 12e6}})
		for now < sentAt+3e6 && !deliverNext("next") {
		}
		if ageUs := now - sentAt; class == "key" && (ageUs < minAgeUs || ageUs > minAgeUs+30_000) ||
			class == "once" && ageUs < minAgeUs {
			t.Errorf("class %s: canceled after %d us, want at least %d", class, ageUs, minAgeUs)
		}
	}
}

// The concurrency limit of a new route is one call, and that of any destination is three quarters of all calls.
func TestConcurrencyLimitStartsAtOneAndStaysUnderThreeQuarters(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	if actions := rig.step(rig.request("safe", 1), rig.request("safe", 1)); countActions(actions, StartAttempt) != 1 {
		t.Fatalf("%d calls to a new route at once, want 1", countActions(actions, StartAttempt))
	}
	rig.advance(100*ms, rig.outcome("m1", OutcomeSuccess))
	rig.advance(100*ms, rig.outcome("m2", OutcomeSuccess))
	rig.warmUp(1, 6)
	var events []Event
	for range 20 {
		events = append(events, rig.request("safe", 1))
	}
	if calls := countActions(rig.step(events...), StartAttempt); calls != 6 {
		t.Fatalf("%d calls in flight to one destination, want 6 of 8", calls)
	}
}

// A route counts as slow if its latency has risen and that of the others has not: if all have become slow, the
// cause is this sender or its network.
func TestRouteIsNotSlowWhereAllAreSlow(t *testing.T) {
	for _, allSlow := range []bool{false, true} {
		var list []Endpoint
		for id := range int64(5) {
			list = append(list, liveEndpoint(fmt.Sprint("e", id), "plain", "z", id))
		}
		rig := newRig(t, testSettings(), list...)
		for range 40 {
			for id := range int64(5) {
				rig.warmUp(id, 1)
			}
		}
		for range 8 {
			for id := range int64(5) {
				event := rig.request("safe", id)
				latencyUs := 100 * ms
				if id == 0 || allSlow {
					latencyUs = 1000 * ms
				}
				rig.step(event)
				rig.advance(latencyUs, rig.outcome(event.ID, OutcomeSuccess))
			}
		}
		if got := rig.sched.isSlow(rig.sched.destination(0).route); got == allSlow {
			t.Errorf("all routes slow: %v; the route counts as slow: %v", allSlow, got)
		}
	}
}

// Incident i7f6ee4: unsafe messages to unresponsive destinations kept all calls in use. One of them must be
// canceled if a working destination has a pending message.
func TestStuckCallsAreCanceled(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1), liveEndpoint("b", "plain", "z", 2),
		liveEndpoint("c", "plain", "z", 3))
	rig.warmUp(1, 6)
	rig.warmUp(2, 6)
	rig.warmUp(3, 6)
	for range 10 {
		rig.step(rig.request("once", 1), rig.request("once", 2))
	}
	if rig.sched.callsInFlight != rig.sched.maxCalls {
		t.Fatalf("%d calls in flight, want all", rig.sched.callsInFlight)
	}
	rig.step(rig.request("safe", 3))
	if _, ok := rig.runUntil(6000*ms, func(action Action) bool { return action.Kind == CancelAttempt }); !ok {
		t.Fatal("no call was canceled for the destination that works")
	}
}
