package scheduler

import "testing"

// An assigned quota limits the calls until its deadline, whatever the token bucket allows; after it the even quota
// does. Without a quota there is no such limit.
func TestQuota(t *testing.T) {
	sent := func(rig *rig, durationUs int64, first ...Event) (n int) {
		for endAt := rig.now + durationUs; rig.now < endAt; {
			events := first
			first = nil
			for _, action := range rig.actions {
				if action.Kind == StartAttempt {
					events = append(events, rig.outcome(action.ID, OutcomeSuccess))
					n++
				}
			}
			for i := len(rig.sched.destination(1).pending); i < 5; i++ {
				events = append(events, rig.request("safe", 1))
			}
			rig.advance(10*ms, append(events, Event{Kind: TimerFired})...)
		}
		return n
	}
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 12)
	if n := sent(rig, 4000*ms); n < 200 {
		t.Fatalf("%d calls in 4 s without a quota, want at least 200", n)
	}
	if n := sent(rig, 4000*ms, Event{
		Kind: QuotaAssigned, Destination: 1, Quota: 20_000, EvenQuota: 5_000,
		Deadline: rig.now + 4000*ms,
	}); n < 78 || n > 88 {
		t.Errorf("%d calls in 4 s with a quota of 20 per second, want 78 to 88", n)
	}
	if n := sent(rig, 4000*ms); n < 19 || n > 23 {
		t.Errorf("%d calls in 4 s with an even quota of 5 per second, want 19 to 23", n)
	}
	if demand := rig.sched.Demand(rig.now, 1); demand < 20_000 {
		t.Errorf("demand %d calls per 1,000 s, want at least 20,000", demand)
	}
}

// While another sender probes an unavailable destination, this one does not. It probes when the delegation ends, and
// soon after the destination has responded to the other sender; a success of its own probe attempt starts the slow
// start. A Retry-After that another sender has received applies until its end.
func TestDelegatedProbe(t *testing.T) {
	unavailableRig := func() (*rig, Event) {
		rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
		rig.warmUp(1, 12)
		event := rig.request("safe", 1)
		event.Deadline = rig.now + 120_000*ms
		rig.step(event)
		for range 200 {
			var outcomes []Event
			for _, action := range rig.actions {
				if action.Kind == StartAttempt {
					outcomes = append(outcomes, rig.outcome(action.ID, OutcomeConnectFailed))
				}
			}
			rig.advance(50*ms, append(outcomes, Event{Kind: TimerFired})...)
		}
		if report := rig.sched.Health(rig.now); len(report) != 1 || !report[0].Unavailable || !report[0].HasPending {
			t.Fatalf("the destination is not reported as unavailable with pending messages: %+v", report)
		}
		if rig.sched.messages[event.ID].call != nil {
			rig.advance(ms, rig.outcome(event.ID, OutcomeConnectFailed))
		}
		return rig, event
	}
	rig, event := unavailableRig()
	rig.step(Event{Kind: ProbeDelegated, Destination: 1, Deadline: rig.now + 5000*ms})
	if _, ok := rig.runUntil(4900*ms, startsAttempt(event.ID)); ok {
		t.Error("a probe attempt was sent while another sender probes")
	}
	if _, ok := rig.runUntil(5000*ms, startsAttempt(event.ID)); !ok {
		t.Error("no probe attempt after the end of the delegation")
	}
	rig, event = unavailableRig()
	rig.step(Event{Kind: ProbeDelegated, Destination: 1, Deadline: rig.now + 50_000*ms})
	rig.step(Event{Kind: RecoveryObserved, Destination: 1})
	if _, ok := rig.runUntil(1000*ms, startsAttempt(event.ID)); !ok {
		t.Fatal("no probe attempt after the destination had responded to another sender")
	}
	rig.advance(50*ms, rig.outcome(event.ID, OutcomeSuccess))
	if report := rig.sched.Health(rig.now); len(report) != 1 || !report[0].Recovering {
		t.Errorf("the recovery has no slow start: %+v", report)
	}
	rig = newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.step(Event{Kind: RetryAfterShared, Destination: 1, Deadline: rig.now + 3000*ms})
	event = rig.request("safe", 1)
	event.Deadline = rig.now + 60_000*ms
	if rig.step(event); rig.attempts[event.ID] != 0 {
		t.Error("a message was sent at once, in another sender's Retry-After")
	}
	if _, ok := rig.runUntil(2900*ms, startsAttempt(event.ID)); ok {
		t.Error("a message was sent in another sender's Retry-After")
	}
	if _, ok := rig.runUntil(1000*ms, startsAttempt(event.ID)); !ok {
		t.Error("the message was not sent after the other sender's Retry-After")
	}
}
