package scheduler

import (
	"testing"
)

// After an outcome that may have run, an unsafe message must fail at once; all other messages must be sent
// again.
func TestOutcomesByIdempotency(t *testing.T) {
	for _, tc := range []struct {
		class   string
		outcome Outcome
		retried bool
	}{
		{"safe", OutcomeFailed, true},
		{"safe", OutcomeTimedOut, true},
		{"safe", OutcomeReset, true},
		{"safe", OutcomeRejected, true},
		{"safe", OutcomeConnectFailed, true},
		{"safe", OutcomeNotSent, true},
		{"safe", OutcomeCanceled, true},
		{"key", OutcomeFailed, true},
		{"key", OutcomeTimedOut, true},
		{"key", OutcomeReset, true},
		{"key", OutcomeRejected, true},
		{"key", OutcomeConnectFailed, true},
		{"key", OutcomeNotSent, true},
		{"key", OutcomeCanceled, true},
		{"once", OutcomeRejected, true},
		{"once", OutcomeConnectFailed, true},
		{"once", OutcomeNotSent, true},
		{"once", OutcomeFailed, false},
		{"once", OutcomeTimedOut, false},
		{"once", OutcomeReset, false},
		{"once", OutcomeCanceled, false},
	} {
		rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
		rig.warmUp(1, 4)
		event := rig.request(tc.class, 1)
		rig.step(event)
		actions := rig.advance(200*ms, rig.outcome(event.ID, tc.outcome))
		if !tc.retried {
			if countActions(actions, Fail) != 1 || countActions(actions, Reject) != 0 {
				t.Errorf("class %s, outcome %s: got actions %v, want one Fail at once", tc.class, tc.outcome, actions)
			}
			continue
		}
		if rig.attempts[event.ID] < 2 {
			if _, ok := rig.runUntil(3500*ms, startsAttempt(event.ID)); !ok {
				t.Errorf("class %s, outcome %s: the message was not sent again", tc.class, tc.outcome)
			}
		}
	}
}

// A message that is idempotent by key is sent again only in the zone of its first attempt and within its
// idempotency window, and then fails.
func TestIdempotentByKeyStaysInZoneAndWindow(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1), liveEndpoint("b", "plain", "y", 1))
	event := rig.request("key", 1)
	rig.step(event)
	first, sentAt := rig.sentTo[event.ID], rig.now
	rig.advance(100*ms, rig.outcome(event.ID, OutcomeFailed))
	for rig.now < sentAt+9000*ms {
		for _, action := range rig.advance(50*ms, Event{Kind: TimerFired}) {
			if action.Kind == StartAttempt && action.ID == event.ID {
				if action.Endpoint != first || rig.now > sentAt+4000*ms {
					t.Fatalf("retry to %s after %d ms; the first attempt went to %s", action.Endpoint, (rig.now-sentAt)/ms, first)
				}
				rig.advance(50*ms, rig.outcome(event.ID, OutcomeFailed))
			}
			if action.Kind == Reject {
				t.Fatal("a message that may have run was rejected, though its key is valid in one zone only")
			}
			if action.Kind == Fail {
				return
			}
		}
	}
	t.Fatal("the message did not fail after its idempotency window")
}

// The outcomes of a call's messages arrive one by one. A Retry-After applies even if only the last of them has
// one, and the rejection of the call lowers the rate only once.
func TestRetryAfterOfEveryMessageOfACall(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "batch", "z", 1))
	rig.warmUp(1, 3)
	first, second := rig.request("safe", 1), rig.request("safe", 1)
	if rig.step(first, second); rig.attempts[first.ID]+rig.attempts[second.ID] != 2 {
		t.Fatal("two messages of one step were not sent in one call")
	}
	firstOutcome, secondOutcome := rig.outcome(first.ID, OutcomeRejected), rig.outcome(second.ID, OutcomeRejected)
	secondOutcome.RetryAfterMs = 2000 // only the second message of the call has one
	rejectedAt := rig.now + 100*ms
	rig.advance(100*ms, firstOutcome, secondOutcome)
	if start, ok := rig.runUntil(1900*ms, func(action Action) bool { return action.Kind == StartAttempt }); ok {
		t.Fatalf("%v was sent %d ms after a Retry-After of 2000 ms", start, (rig.now-rejectedAt)/ms)
	}
	if rig.sched.destination(1).route.bucket.rateMark == 0 ||
		rig.sched.destination(1).route.bucket.decreasedAt != rejectedAt {
		t.Fatal("the rejection did not lower the rate when it arrived")
	}
}

// A message whose destination has no endpoint is rejected before its deadline, with one final answer.
func TestPendingMessageEndsInTimeAndOnce(t *testing.T) {
	rig := newRig(t, testSettings())
	event := rig.request("once", 1) // a destination without an endpoint
	rig.step(event)
	action, ok := rig.runUntil(9990*ms, func(action Action) bool { return action.Kind == Reject || action.Kind == Fail })
	if !ok && countActions(rig.advance(30*ms, Event{Kind: TimerFired}), Reject) != 1 || ok && action.Kind != Reject {
		t.Fatalf("the message was not rejected before its deadline: %v", action)
	}
	if actions := rig.step(Event{Kind: RequestWithdrawn, ID: event.ID}); len(actions) != 0 {
		t.Fatal("a message with a final answer got another one")
	}
}

// Messages of one key are in flight one at a time, and an ambiguous outcome puts the key in quarantine.
func TestOrderByKey(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].OrderedByKey = true
	rig := newRig(t, settings, liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 4)
	first, second := rig.request("safe", 1), rig.request("safe", 1)
	first.Key, first.HasKey, second.Key, second.HasKey = 5, true, 5, true
	if rig.step(first, second); rig.attempts[first.ID] != 1 || rig.attempts[second.ID] != 0 {
		t.Fatal("two messages of one key were in flight together")
	}
	timeout := rig.outcome(first.ID, OutcomeTimedOut)
	timeout.Final = true
	timeoutAt := rig.now + 100*ms
	rig.advance(100*ms, timeout)
	if _, ok := rig.runUntil(5000*ms, startsAttempt(second.ID)); !ok || rig.now < timeoutAt+1000*ms {
		t.Fatalf("the key's next message was sent after %d ms, want a quarantine of 1000 ms", (rig.now-timeoutAt)/ms)
	}
}

// Incident i16493c: calls on connections that had been idle were lost. After such a loss idle connections must
// be closed before the next call.
func TestIdleConnectionsAreClosed(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 6)
	rig.advance(2000*ms, Event{Kind: TimerFired})
	event := rig.request("safe", 1)
	rig.step(event)
	rig.advance(1500*ms, rig.outcome(event.ID, OutcomeTimedOut))
	if _, ok := rig.runUntil(3000*ms, startsAttempt(event.ID)); !ok {
		t.Fatal("the lost message was not sent again")
	}
	rig.advance(100*ms, rig.outcome(event.ID, OutcomeSuccess))
	rig.now += 2000 * ms
	if actions := rig.step(rig.request("safe", 1)); countActions(actions, CloseIdleConnections) != 1 {
		t.Fatalf("the idle connection was reused: %v", actions)
	}
}

// With discovery on request, a watch is opened after a stale list, stays open, and is opened again after it has
// ended. A stream whose response has started is not ended at its deadline.
func TestWatchRenewalAndStartedStream(t *testing.T) {
	settings := testSettings()
	settings.Discovery = DiscoveryOnRequest
	settings.Rules.MaxPollIntervalUs = 3000 * ms
	settings.Classes[0].Stream = true
	rig := newRig(t, settings, liveEndpoint("a", "plain", "z", 1))
	sched, _ := New(settings, 1)
	if actions := sched.Step(5, []Event{{Kind: EndpointsUpdated, Update: UpdateStale}}); countActions(actions,
		WatchEndpoints) != 1 {
		t.Fatal("no watch was opened after a stale list")
	}
	sched.Step(10, []Event{{Kind: EndpointsUpdated, Update: UpdatePatch}})
	if actions := sched.Step(3_999_000, nil); countActions(actions, WatchEndpoints) != 0 {
		t.Fatal("another watch was opened while one was open")
	}
	sched.Step(4_000_000, []Event{{Kind: EndpointsUpdated, Update: UpdateBroken}})
	if watchAt := sched.nextWatchAt; watchAt < 4_000_000 || countActions(sched.Step(watchAt+1, nil), WatchEndpoints) != 1 {
		t.Fatal("no watch was opened after one had ended")
	}
	event := rig.request("safe", 1)
	rig.step(event)
	rig.advance(100*ms, Event{Kind: ResponseStarted, ID: event.ID})
	if action, ok := rig.runUntil(12_000*ms, func(action Action) bool {
		return action.Kind == Fail ||
			action.Kind == Reject
	}); ok {
		t.Fatalf("a started stream was ended: %v", action)
	}
}

func TestInvalidSettings(t *testing.T) {
	for name, change := range map[string]func(*Settings){
		"no classes": func(s *Settings) { s.Classes = nil },
		"no slots":   func(s *Settings) { s.Calls.ConcurrentCalls = 0 },
		"effect":     func(s *Settings) { s.Classes[0].Idempotency = "sometimes" },
		"time":       func(s *Settings) { s.Rules.SlowStartUs = -1 },
		"deadline":   func(s *Settings) { s.Classes[1].DeadlineUs = 0 },
	} {
		settings := testSettings()
		change(&settings)
		if _, err := New(settings, 1); err == nil {
			t.Errorf("%s: New accepted invalid settings", name)
		}
	}
}

// Unused key queues are dropped; otherwise their number would grow for as long as the process runs.
func TestUnusedKeyQueuesAreDropped(t *testing.T) {
	settings := testSettings()
	settings.Classes[0].OrderedByKey = true
	rig := newRig(t, settings, liveEndpoint("a", "plain", "z", 1))
	for i := range 1000 {
		event := rig.request("safe", 1)
		event.Key, event.HasKey = int64(i), true
		rig.step(event)
		rig.advance(100*ms, rig.outcome(event.ID, OutcomeSuccess))
	}
	if n := len(rig.sched.keyQueues); n > 200 {
		t.Fatalf("%d key queues were kept after 1000 keys, want at most 200", n)
	}
}

// The latency objective of a message that is restored after a restart counts from its first acceptance, which
// follows from its deadline.
func TestRestoredMessageKeepsItsLatencyObjective(t *testing.T) {
	rig := newRig(t, testSettings())
	event := rig.request("safe", 1)
	event.Deadline = rig.now + 4000*ms // six of its ten seconds have passed
	rig.step(event)
	msg := rig.sched.messages[event.ID]
	if msg.objectiveAt != rig.now-5000*ms {
		t.Fatalf("the latency objective ends %+d ms from now, want -5000 ms", (msg.objectiveAt-rig.now)/ms)
	}
	if value := rig.sched.valueAt(msg, rig.now); value >= 1 || value <= 0.5 {
		t.Fatalf("the message's value is %v now, want between 0.5 and 1", value)
	}
}

// Where endpoints have their own limits, the Retry-After of one does not apply to the others.
func TestEndpointsWithOwnLimits(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "apart", "z", 1), liveEndpoint("b", "apart", "z", 1))
	event := rig.request("safe", 1)
	rig.step(event)
	first := rig.sentTo[event.ID]
	rejection := rig.outcome(event.ID, OutcomeRejected)
	rejection.RetryAfterMs = 2000
	actions := rig.advance(50*ms, rejection)
	if countActions(actions, StartAttempt) != 1 || rig.sentTo[event.ID] == first {
		t.Fatalf("got actions %v after a rejection by %s, want an attempt at the other endpoint at once", actions, first)
	}
}
