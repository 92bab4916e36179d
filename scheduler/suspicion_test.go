package scheduler

import (
	"testing"

	"brackendale/internal/slowstart"
)

// thinRig returns a rig of one of 49 senders, whose only destination has delivered a message every two seconds.
func thinRig(t *testing.T) *rig {
	t.Helper()
	rig := newRig(t, settingsForSenders(49), liveEndpoint("a", "plain", "z", 1))
	for range 10 {
		deliverOne(t, rig)
		rig.advance(1950 * ms)
	}
	return rig
}

// deliverOne sends a message and lets it succeed.
func deliverOne(t *testing.T, rig *rig) {
	t.Helper()
	event := rig.request("safe", 1)
	if rig.step(event); rig.attempts[event.ID] != 1 {
		t.Fatalf("message %s was not sent at once", event.ID)
	}
	rig.advance(50*ms, rig.outcome(event.ID, OutcomeSuccess))
}

// failOne sends a message and lets it fail; the message is withdrawn.
func failOne(t *testing.T, rig *rig, outcome Outcome) {
	t.Helper()
	event := rig.request("safe", 1)
	if rig.step(event); rig.attempts[event.ID] != 1 {
		rig.runUntil(60_000*ms, startsAttempt(event.ID))
	}
	rig.advance(50*ms, rig.outcome(event.ID, outcome))
	rig.step(Event{Kind: RequestWithdrawn, ID: event.ID})
}

// Incident 489239: a success behind a single failure began no slow start.
func TestSuccessBehindOneFailureBeginsNoSlowStart(t *testing.T) {
	rig := thinRig(t)
	rt := rig.sched.destination(1).route
	failOne(t, rig, OutcomeFailed)
	if phase := rig.sched.phase(rt); phase != slowstart.Suspected {
		t.Fatalf("after one failure the route is %s", phase)
	}
	event := rig.request("safe", 1)
	rig.step(event)
	if _, ok := rig.runUntil(9_000*ms, startsAttempt(event.ID)); !ok {
		t.Fatal("a suspected route gets no call")
	}
	rig.advance(50*ms, rig.outcome(event.ID, OutcomeSuccess))
	if phase := rig.sched.phase(rt); phase != slowstart.Recovering {
		t.Errorf("after the first success the route is %s", phase)
	}
}

// Incident 489239: a clump of messages raised the budget of the destination for which they were.
func TestDemandRaisesTheSlowStartBudget(t *testing.T) {
	rig := thinRig(t)
	rt := rig.sched.destination(1).route
	failOne(t, rig, OutcomeFailed)
	before := rig.sched.slowStartRate(rt)
	for range 40 {
		rig.step(rig.request("safe", 1))
	}
	if _, ok := rig.runUntil(9_000*ms, func(action Action) bool { return action.Kind == StartAttempt }); !ok {
		t.Fatal("no call in 9 s")
	}
	if after := rig.sched.slowStartRate(rt); after > before {
		t.Errorf("%.3f calls per second before the messages came, %.3f since", before, after)
	}
}

// A single refusal was no evidence of an outage: the calls behind it were not paced, and no slow start followed. Few
// senders needed three of them, many needed two.
func TestOneRefusalBeginsNoSlowStart(t *testing.T) {
	for _, mode := range []ReportMode{ReportNone, ReportInAnswers} {
		rig := thinRig(t)
		rig.sched.settings.LoadReport.Mode = mode
		rt := rig.sched.destination(1).route
		failOne(t, rig, OutcomeRejected)
		if phase := rig.sched.phase(rt); phase != slowstart.Suspected {
			t.Errorf("reports %q: after one refusal the route is %s", mode, phase)
		}
		event := rig.request("safe", 1)
		if rig.step(event); rig.attempts[event.ID] != 0 {
			t.Errorf("reports %q: the call behind a refusal is not paced", mode)
		}
	}
}

// A refusal shortly after a success is due to a limit, until there has been no success for a while.
func TestRefusalAfterASuccessIsALimit(t *testing.T) {
	rig := thinRig(t)
	rt := rig.sched.destination(1).route
	for range 4 {
		deliverOne(t, rig)
	}
	failOne(t, rig, OutcomeRejected)
	if phase := rig.sched.phase(rt); phase != slowstart.Healthy {
		t.Errorf("after a refusal 50 ms after a success the route is %s", phase)
	}
	rig.advance(2000 * ms)
	event := rig.request("safe", 1)
	if rig.step(event); rig.sched.phase(rt) != slowstart.Suspected {
		t.Errorf("after a refusal and 2 s without a success the route is %s", rig.sched.phase(rt))
	}
}

// A process that starts during an outage, after its predecessor has noticed it, sent at the ordinary pace.
func TestSuspicionLostInARestart(t *testing.T) {
	rig := thinRig(t)
	failOne(t, rig, OutcomeFailed)
	before := rig.sched.destination(1).route.gate
	restarted, err := New(settingsForSenders(49), 9)
	if err != nil {
		t.Fatal(err)
	}
	if err := restarted.RestoreLearnedState(rig.sched.LearnedState(100), rig.now+1000*ms); err != nil {
		t.Fatal(err)
	}
	rt := restarted.destination(1).route
	if !rt.gate.Suspected || rt.gate.Capacity < before.Capacity*0.99 || rt.gate.Capacity > before.Capacity*1.01 {
		t.Errorf("restored %+v, before the restart it was %+v", rt.gate.State, before.State)
	}
}

// A call that the slow start does not let through is counted, whichever part of the sender starts it.
func TestCallBeyondTheSlowStartIsCounted(t *testing.T) {
	rig := thinRig(t)
	failOne(t, rig, OutcomeFailed)
	dest := rig.sched.destination(1)
	rig.sched.startCall(dest, dest.endpoints[0])
	transitions := rig.sched.Transitions()
	if len(transitions) == 0 || !transitions[len(transitions)-1].Violation {
		t.Errorf("transitions %+v, want a violation", transitions)
	}
}

// A sender whose only call to a destination had failed, or had failed shortly after a success, forgot this in a restart
// and in a hot restart, and sent at the ordinary pace.
func TestFailureIsForgottenInARestart(t *testing.T) {
	for _, successes := range []int{0, 1} {
		rig := newRig(t, settingsForSenders(49), liveEndpoint("a", "plain", "z", 1))
		for range successes {
			deliverOne(t, rig)
		}
		failOne(t, rig, OutcomeFailed)
		for name, restore := range map[string]func(*Scheduler) error{
			"restart": func(sched *Scheduler) error {
				return sched.RestoreLearnedState(rig.sched.LearnedState(100), rig.now+2000*ms)
			},
			"hot restart": func(sched *Scheduler) error { return sched.RestoreState(rig.sched.State(), rig.now) },
		} {
			restarted, err := New(settingsForSenders(49), 9)
			if err != nil {
				t.Fatal(err)
			}
			if err := restore(restarted); err != nil {
				t.Fatal(err)
			}
			rt := restarted.destination(1).route
			restarted.now = rig.now + 2000*ms
			if restarted.slowStartAvailableAt(rt); !rt.gate.Suspected {
				t.Errorf("%s after %d successes and a failure: the route is not suspected", name, successes)
			}
		}
	}
}

// A destination whose endpoints have their own limits came back at another address, and was overloaded by senders that
// knew of the outage at the earlier one.
func TestSuspicionOfAMovedEndpoint(t *testing.T) {
	for _, outcome := range []Outcome{OutcomeSuccess, OutcomeFailed} {
		rig := newRig(t, stateSettings(49), liveEndpoint("a", "apart", "z", 1))
		for range 10 {
			deliverOne(t, rig)
			rig.advance(1950 * ms)
		}
		failOne(t, rig, outcome)
		rig.advance(1000*ms, Event{
			Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: []Endpoint{liveEndpoint("b", "apart", "z", 1)},
		})
		event := rig.request("safe", 1)
		rig.step(event)
		if sent := rig.sentTo[event.ID] == "b"; sent != (outcome == OutcomeSuccess) {
			t.Errorf("after a call that was %s, a message is sent to the new endpoint at once: %v", outcome, sent)
		}
		if _, ok := rig.runUntil(20_000*ms, startsAttempt(event.ID)); !ok && outcome != OutcomeSuccess &&
			rig.sched.messages[event.ID] != nil {
			t.Error("the new endpoint gets no call")
		}
	}
}
