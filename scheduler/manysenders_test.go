package scheduler

import (
	"fmt"
	"testing"
)

func TestIdleConnectionsAreClosedWhereConnectsFailAndAmongMany(t *testing.T) {
	for _, tc := range []struct {
		senders int
		fails   bool
		want    int
	}{{4, false, 0}, {4, true, 1}, {100, false, 1}} {
		rig := newRig(t, settingsFor(tc.senders), ep("a", "plain", "z", 1), ep("b", "plain", "z", 2))
		for range 4 {
			rig.advance(20_000 * ms)
			rig.step(rig.request("safe", 2))
			id := fmt.Sprint("m", rig.requests)
			reason := OutcomeSuccess
			if tc.fails {
				reason = OutcomeConnectFailed
			}
			rig.advance(100*ms, rig.outcome(id, reason))
			rig.step(Event{Kind: RequestWithdrawn, ID: id})
		}
		rig.advance(20_000 * ms)
		event := rig.request("safe", 1)
		if rig.step(event); rig.attempts[event.ID] != 1 {
			t.Fatalf("%s was not sent at once", event.ID)
		}
		if got := count(rig.advance(100*ms, rig.outcome(event.ID, OutcomeSuccess)), CloseIdleConnections); got != tc.want {
			t.Errorf("%d senders, connects fail elsewhere %v: %d connections closed, want %d", tc.senders, tc.fails,
				got, tc.want)
		}
	}
}

func TestManySendersSpreadOverRoutesByCapacity(t *testing.T) {
	big, small := ep("big", "apart", "y", 1), ep("small", "apart", "z", 1)
	big.CapacityHint, small.CapacityHint = 30, 10
	for _, n := range []int{1, 200} {
		settings := settingsFor(n)
		settings.CapacityHints = HintsExact
		settings.Zones = []string{"z", "y"}
		settings.Calls.ZoneFees = []float64{0.01, 0.04}
		took := 0
		for seed := range int64(200) {
			rig := newSeededRig(t, settings, seed, big, small)
			event := rig.request("safe", 1)
			rig.step(event)
			took += int(boolToFloat(rig.sentTo[event.ID] == "big"))
		}
		if n == 1 && took != 0 {
			t.Errorf("alone: %d of 200 went to the expensive route", took)
		}
		if n > 1 && (took < 120 || took > 180) {
			t.Errorf("among %d: %d of 200 went to the route with three quarters of the weight", n, took)
		}
	}
}

func TestRetriesSpreadAfterARejection(t *testing.T) {
	early := map[int]int{}
	for _, n := range []int{1, 200} {
		for seed := range int64(40) {
			rig := newSeededRig(t, settingsFor(n), seed, ep("a", "apart", "z", 1), ep("b", "apart", "z", 1))
			first := rig.request("safe", 1)
			rig.step(first)
			rig.advance(20*ms, rig.outcome(first.ID, OutcomeRejected))
			next := rig.request("safe", 1)
			rig.advance(20*ms, next)
			rig.run(300*ms, func(Action) bool { return false })
			early[n] += int(boolToFloat(rig.attempts[first.ID] > 1 || rig.attempts[next.ID] > 0))
		}
	}
	if early[1] != 40 {
		t.Errorf("alone, %d of 40 tried the sibling route at once", early[1])
	}
	if early[200] > 16 {
		t.Errorf("among 200, %d of 40 flooded the sibling route at once", early[200])
	}
}

func TestSuccessEndsRetryDelays(t *testing.T) {
	rig := newRig(t, settingsFor(200), ep("a", "plain", "z", 1))
	sched, dest := rig.sched, rig.sched.destination(1)
	rt := dest.route
	rt.health.consecutiveFailures, rt.health.lastFailureAt = 3, rig.now
	msg := &message{destination: dest, notBefore: rig.now + 9_000*ms, backoffUntil: rig.now + 100*ms}
	dest.pending = append(dest.pending, msg)
	sched.recordSuccess(rt, &call{route: rt, endpoint: &endpoint{}, sentAt: rig.now - 50*ms})
	if msg.notBefore != rig.now+100*ms {
		t.Errorf("delayed by %d ms after a success, want the 100 ms of its own failure", (msg.notBefore-rig.now)/ms)
	}
}

func TestRetryDelayGrowsWithThePendingMessages(t *testing.T) {
	mean := func(pending int) (sum int64) {
		for seed := range int64(300) {
			rig := newSeededRig(t, settingsFor(200), seed, ep("a", "plain", "z", 1))
			dest := rig.sched.destination(1)
			dest.route.health.consecutiveFailures, dest.route.health.lastFailureAt = 1, rig.now
			dest.pending = make([]*message, pending)
			sum += rig.sched.retryDelay(dest)
		}
		return sum / 300
	}
	if one, five := mean(0), mean(4); five < 4*one || five > 6*one {
		t.Errorf("with one message pending a delay of %d ms in the mean, with five %d ms", one/ms, five/ms)
	}
}

// After a pause a sender gets outcomes and deadlines in one step: outcomes count first, and each
// message ends once.
func TestOutcomesCountBeforeDeadlinesAfterAPause(t *testing.T) {
	rig := newRig(t, settingsFor(50), ep("a", "plain", "z", 1))
	sent, pending := rig.request("once", 1), rig.request("safe", 9) // destination 9 has no endpoint
	rig.step(sent, pending)
	if rig.attempts[sent.ID] != 1 || rig.attempts[pending.ID] != 0 {
		t.Fatal("want one message in flight and one pending")
	}
	ends := map[string]int{}
	for _, action := range rig.advance(11_000*ms, rig.outcome(sent.ID, OutcomeSuccess), Event{Kind: TimerFired}) {
		if action.Kind == Reject || action.Kind == Fail || action.Kind == CancelAttempt {
			ends[action.ID]++
		}
	}
	for _, action := range rig.advance(5*ms, Event{Kind: TimerFired}) {
		if action.Kind == Reject || action.Kind == Fail {
			ends[action.ID]++
		}
	}
	if ends[sent.ID] != 0 || ends[pending.ID] != 1 {
		t.Errorf("after a pause the delivered message ended %d times by us, the pending one %d times, want 0 and 1",
			ends[sent.ID], ends[pending.ID])
	}
}

func TestClockThatJumpsOrStandsEndsEachMessageOnce(t *testing.T) {
	rig := newRig(t, settingsFor(50), ep("a", "plain", "z", 1))
	ends := map[string]int{}
	note := func(actions []Action) {
		for _, action := range actions {
			if action.Kind == Reject || action.Kind == Fail {
				ends[action.ID]++
			}
		}
	}
	for range 20 { // the clock stands
		note(rig.step(rig.request("safe", 1)))
	}
	note(rig.advance(3_600_000*ms, Event{Kind: TimerFired}))
	note(rig.advance(5*ms, Event{Kind: TimerFired}))
	for i := 1; i <= 20; i++ {
		if id := fmt.Sprint("m", i); ends[id] != 1 {
			t.Errorf("%s ended %d times after the clock jumped an hour", id, ends[id])
		}
	}
	if rig.sched.acceptedCount != 0 {
		t.Errorf("%d messages are still pending", rig.sched.acceptedCount)
	}
}

// BenchmarkStep shows that an event's cost hardly grows with the number of endpoints.
func BenchmarkStep(b *testing.B) {
	for _, n := range []int{30, 900} {
		b.Run(fmt.Sprint(n, " endpoints"), func(b *testing.B) {
			sched, err := New(settingsFor(200), 1)
			if err != nil {
				b.Fatal(err)
			}
			var list []Endpoint
			for i := range n {
				list = append(list, ep(fmt.Sprint("e", i), "plain", "z", int64(i/2)))
			}
			now := int64(1e9)
			sched.Step(now, []Event{{Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: list}})
			b.ResetTimer()
			for i := range b.N {
				id := fmt.Sprint("m", i)
				now += 20 * ms
				actions := sched.Step(now, []Event{{
					Kind: RequestAccepted, ID: id, Class: "safe", Destination: int64(i % (n / 2)),
					Deadline: now + 10_000*ms,
				}})
				now += 100 * ms
				for _, action := range actions {
					if action.Kind == StartAttempt {
						sched.Step(now, []Event{{
							Kind: AttemptFinished, ID: action.ID, Endpoint: action.Endpoint, Outcome: OutcomeSuccess,
							Final: true,
						}})
					}
				}
			}
		})
	}
}

// Whatever the number of senders in the settings, a message is sent and its outcome recorded.
func TestAnyNumberOfSendersServes(t *testing.T) {
	for _, n := range []int{-5, 0, 1, 3, 80, 10_000} {
		rig := newRig(t, settingsFor(n), ep("a", "plain", "z", 1))
		event := rig.request("safe", 1)
		if rig.step(event); rig.attempts[event.ID] != 1 {
			t.Errorf("%d senders: not sent at once", n)
		}
		o := rig.outcome(event.ID, OutcomeSuccess)
		o.LoadReport = []float64{0.1, 50}
		rig.advance(50*ms, o)
		if few := rig.sched.contention == 0; few != (n <= 4) {
			t.Errorf("%d senders: among few %v", n, few)
		}
	}
}
