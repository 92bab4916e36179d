package scheduler

import (
	"fmt"
	"math"
	"testing"
)

// Draining endpoints and endpoints that a full list no longer contains get no attempts; pending messages go to
// their replacement.
func TestDrainingAndUnlistedEndpointsGetNoMessages(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	draining := liveEndpoint("a", "plain", "z", 1)
	draining.State = StatusDraining
	if actions := rig.step(Event{Kind: EndpointsUpdated, Update: UpdatePatch, Endpoints: []Endpoint{draining}},
		rig.request("safe", 1)); countActions(actions, StartAttempt) != 0 {
		t.Fatal("a message was sent to a draining endpoint")
	}
	if actions := rig.step(Event{
		Kind: EndpointsUpdated, Update: UpdatePatch,
		Endpoints: []Endpoint{liveEndpoint("b", "plain", "z", 1)},
	}); countActions(actions,
		StartAttempt) != 1 {
		t.Fatal("the pending message was not sent to the replacement")
	}
	if actions := rig.step(Event{Kind: EndpointsUpdated, Update: UpdateFull}, rig.request("safe", 1),
		Event{Kind: EndpointsUpdated, Update: UpdateBroken},
		rig.request("safe", 99)); countActions(actions, StartAttempt) != 0 {
		t.Fatal("a message was sent to an endpoint that a full list does not contain")
	}
}

// An endpoint that leaves the list and returns keeps its Retry-After.
func TestRelistedRouteKeepsItsRetryAfter(t *testing.T) {
	listed := liveEndpoint("a", "apart", "z", 1)
	rig := newRig(t, testSettings(), listed)
	event := rig.request("safe", 1)
	rig.step(event)
	rejection := rig.outcome(event.ID, OutcomeRejected)
	rejection.RetryAfterMs = 2000
	rig.advance(10*ms, rejection)
	removed := listed
	removed.State = StatusDead
	rig.advance(10*ms, Event{Kind: EndpointsUpdated, Update: UpdatePatch, Endpoints: []Endpoint{removed}})
	if calls := countActions(rig.advance(10*ms,
		Event{Kind: EndpointsUpdated, Update: UpdatePatch, Endpoints: []Endpoint{listed}}), StartAttempt); calls != 0 {
		t.Errorf("%d calls when the route was listed again, within its Retry-After", calls)
	}
	if action, sent := rig.runUntil(1_900*ms, func(action Action) bool { return action.Kind == StartAttempt }); sent {
		t.Errorf("message %s was sent before the end of the Retry-After of the route that was listed again", action.ID)
	}
}

// A capacity hint that is not a positive finite number counts as none, and messages are sent nevertheless.
func TestBadCapacityHintsAreIgnored(t *testing.T) {
	for _, hint := range []float64{0, -3, math.NaN(), math.Inf(1), math.Inf(-1)} {
		listed := liveEndpoint("a", "apart", "z", 1)
		listed.CapacityHint = hint
		settings := settingsForSenders(200)
		settings.CapacityHints = HintsRough
		rig := newRig(t, settings, listed)
		if recorded := rig.sched.endpoints["a"].route.capacityHint; recorded != 0 {
			t.Errorf("capacity hint %v was recorded as %v, want 0", hint, recorded)
		}
		event := rig.request("safe", 1)
		if rig.step(event); rig.attempts[event.ID] != 1 {
			t.Errorf("capacity hint %v: the message was not sent", hint)
		}
	}
}

// An address that the list moves to another destination gets the messages of that destination only.
func TestAddressThatMovesServesItsNewDestination(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1), liveEndpoint("b", "plain", "z", 1))
	rig.advance(10*ms,
		Event{Kind: EndpointsUpdated, Update: UpdatePatch, Endpoints: []Endpoint{liveEndpoint("a", "plain", "z", 2)}})
	for destination, want := range map[int64]string{1: "b", 2: "a"} {
		event := rig.request("safe", destination)
		if rig.step(event); rig.sentTo[event.ID] != want {
			t.Errorf("the message for destination %d was sent to %q, want %q", destination, rig.sentTo[event.ID], want)
		}
		rig.advance(50*ms, rig.outcome(event.ID, OutcomeSuccess))
	}
	rig.advance(10*ms,
		Event{Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: []Endpoint{liveEndpoint("a", "plain", "z", 2)}})
	if rig.sched.endpoints["a"] == nil || rig.sched.endpoints["b"] != nil {
		t.Error("after a full list the moved endpoint is missing or the removed one is still there")
	}
}

// A registry that rejects most requests is overloaded if all senders open their watches at the same times. Their
// attempts must be spread, and each must retry often enough.
func TestManySendersWatchTheListAtRandomTimes(t *testing.T) {
	settings := settingsForSenders(300)
	settings.Discovery = DiscoveryOnRequest
	settings.Rules.MaxPollIntervalUs = 10_000 * ms
	watches := map[int64]int{} // by half second
	for seed := range int64(300) {
		sched, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		sched.Step(0, []Event{{Kind: EndpointsUpdated, Update: UpdateStale}})
		count, lastAt := 0, int64(0)
		for now := 5 * ms; now < 60_000*ms; now += 5 * ms {
			if countActions(sched.Step(now, []Event{{Kind: TimerFired}}), WatchEndpoints) == 0 {
				continue
			}
			if count > 0 && now-lastAt > 16_000*ms {
				t.Fatalf("the next attempt to open a watch came only after %d ms", (now-lastAt)/1000)
			}
			watches[now/(500*ms)], count, lastAt = watches[now/(500*ms)]+1, count+1, now
			sched.Step(now+50*ms, []Event{{Kind: EndpointsUpdated, Update: UpdateBroken}}) // all are rejected
		}
		if count < 4 || count > 12 {
			t.Fatalf("%d attempts to open a watch in a minute of failures, want 4 to 12", count)
		}
	}
	for halfSecond, count := range watches {
		if count > 100 {
			t.Errorf("%d of 300 senders opened a watch in the half second from %d ms", count, halfSecond*500)
		}
	}
}

// Half of sixty endpoints are replaced, and the patch with these changes arrives twice: no message goes to an
// endpoint that is draining or dead.
func TestRepeatedPatchOfHalfTheEndpoints(t *testing.T) {
	var old, patch []Endpoint
	for i := range 60 {
		listed := liveEndpoint(fmt.Sprint("e", i), "plain", "z", int64(i%10))
		if old = append(old, listed); i%2 == 0 {
			listed.State = []EndpointStatus{StatusDraining, StatusDead}[i/2%2]
			patch = append(patch, listed, liveEndpoint(fmt.Sprint("new", i), "plain", "z", listed.Destination))
		}
	}
	rig := newRig(t, settingsForSenders(80), old...)
	rig.step(Event{Kind: EndpointsUpdated, Update: UpdatePatch, Endpoints: patch})
	rig.step(Event{Kind: EndpointsUpdated, Update: UpdatePatch, Endpoints: patch})
	for i := range 400 {
		event := rig.request("safe", int64(i%10))
		rig.advance(20*ms, event)
		if addr := rig.sentTo[event.ID]; addr != "" {
			for _, changed := range patch {
				if changed.Addr == addr && changed.State != StatusLive {
					t.Fatalf("message %s was sent to %s, whose status is %s", event.ID, addr, changed.State)
				}
			}
			rig.advance(20*ms, rig.outcome(event.ID, OutcomeSuccess))
		}
	}
}

// An endpoint of another machine type or zone came up at the address of an earlier one and was taken for it: it got the
// bundles and the limit of the earlier one, and an attempt that the earlier one may have run counted for its zone.
func TestAnotherEndpointAtTheAddress(t *testing.T) {
	rig := newRig(t, stateSettings(5), liveEndpoint("a", "one", "z", 1))
	message := rig.request("key", 1)
	if rig.step(message); rig.sentTo[message.ID] != "a" {
		t.Fatal("the message is not sent")
	}
	rig.advance(10*ms, Event{
		Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: []Endpoint{liveEndpoint("a", "apart", "y", 1)},
	})
	ep := rig.sched.endpoints["a"]
	if !ep.ownLimit || ep.messagesPerCall != 1 || ep.route == ep.route.destination.route {
		t.Errorf("own limit %v, %d messages per call, want those of the new endpoint", ep.ownLimit, ep.messagesPerCall)
	}
	rig.advance(50*ms, rig.outcome(message.ID, OutcomeTimedOut))
	if zone := rig.sched.messages[message.ID].firstRunZone; zone != "z" {
		t.Errorf("the attempt counts for zone %q, want the one of the earlier endpoint", zone)
	}
	if failures := ep.route.health.consecutiveFailures; failures > 0 {
		t.Errorf("%d failures of the new endpoint, which got no call", failures)
	}
}
