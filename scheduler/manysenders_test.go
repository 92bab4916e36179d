package scheduler

import (
	"fmt"
	"testing"
)

// A sender with little traffic closes its idle connections where connects fail, and always if there are many
// senders: the endpoint may not have enough connections for all of them.
func TestIdleConnectionsAreClosedWhereConnectsFailAndAmongMany(t *testing.T) {
	for _, tc := range []struct {
		senders      int
		connectsFail bool
		want         int
	}{{4, false, 0}, {4, true, 1}, {100, false, 1}} {
		rig := newRig(t, settingsForSenders(tc.senders), liveEndpoint("a", "plain", "z", 1),
			liveEndpoint("b", "plain", "z", 2))
		for range 4 {
			rig.advance(20_000 * ms)
			rig.step(rig.request("safe", 2))
			id := fmt.Sprint("m", rig.requests)
			reason := OutcomeSuccess
			if tc.connectsFail {
				reason = OutcomeConnectFailed
			}
			rig.advance(100*ms, rig.outcome(id, reason))
			rig.step(Event{Kind: RequestWithdrawn, ID: id})
		}
		rig.advance(20_000 * ms)
		event := rig.request("safe", 1)
		if rig.step(event); rig.attempts[event.ID] != 1 {
			t.Fatalf("message %s was not sent at once", event.ID)
		}
		if got := countActions(rig.advance(100*ms, rig.outcome(event.ID, OutcomeSuccess)),
			CloseIdleConnections); got != tc.want {
			t.Errorf("%d senders, connects to another endpoint fail: %v; %d CloseIdleConnections actions, want %d",
				tc.senders, tc.connectsFail, got, tc.want)
		}
	}
}

// A single sender uses the cheapest route. Many senders together must use routes in proportion to their capacity
// hints, since the cheapest one alone would be overloaded.
func TestManySendersSpreadOverRoutesByCapacity(t *testing.T) {
	big, small := liveEndpoint("big", "apart", "y", 1), liveEndpoint("small", "apart", "z", 1)
	big.CapacityHint, small.CapacityHint = 30, 10
	for _, senders := range []int{1, 200} {
		settings := settingsForSenders(senders)
		settings.CapacityHints = HintsExact
		settings.Zones = []string{"z", "y"}
		settings.Calls.ZoneFees = []float64{0.01, 0.04}
		sentToBig := 0
		for seed := range int64(200) {
			rig := newSeededRig(t, settings, seed, big, small)
			event := rig.request("safe", 1)
			rig.step(event)
			sentToBig += int(boolToFloat(rig.sentTo[event.ID] == "big"))
		}
		if senders == 1 && sentToBig != 0 {
			t.Errorf("one sender: %d of 200 messages were sent to the expensive route, want 0", sentToBig)
		}
		if senders > 1 && (sentToBig < 120 || sentToBig > 180) {
			t.Errorf("%d senders: %d of 200 messages were sent to the route with three quarters of the capacity", senders,
				sentToBig)
		}
	}
}

// After a rejection a single sender tries the other endpoint at once. The retries of many senders must be spread,
// since together they would flood it.
func TestRetriesSpreadAfterARejection(t *testing.T) {
	earlyCalls := map[int]int{}
	for _, senders := range []int{1, 200} {
		for seed := range int64(40) {
			rig := newSeededRig(t, settingsForSenders(senders), seed, liveEndpoint("a", "apart", "z", 1),
				liveEndpoint("b", "apart", "z", 1))
			first := rig.request("safe", 1)
			rig.step(first)
			rig.advance(20*ms, rig.outcome(first.ID, OutcomeRejected))
			next := rig.request("safe", 1)
			rig.advance(20*ms, next)
			rig.runUntil(300*ms, func(Action) bool { return false })
			earlyCalls[senders] += int(boolToFloat(rig.attempts[first.ID] > 1 || rig.attempts[next.ID] > 0))
		}
	}
	if earlyCalls[1] != 40 {
		t.Errorf("one sender: in %d of 40 runs the other route was tried at once, want all", earlyCalls[1])
	}
	if earlyCalls[200] > 16 {
		t.Errorf("200 senders: in %d of 40 runs the other route was tried at once, want at most 16", earlyCalls[200])
	}
}

// A success of the destination ends the random retry delays of its pending messages, but not their backoff.
func TestSuccessEndsRetryDelays(t *testing.T) {
	rig := newRig(t, settingsForSenders(200), liveEndpoint("a", "plain", "z", 1))
	sched, dest := rig.sched, rig.sched.destination(1)
	rt := dest.route
	rt.health.consecutiveFailures, rt.health.lastFailureAt = 3, rig.now
	msg := &message{destination: dest, notBefore: rig.now + 9_000*ms, backoffUntil: rig.now + 100*ms}
	dest.pending = append(dest.pending, msg)
	sched.recordSuccess(rt, &call{route: rt, endpoint: &endpoint{}, sentAt: rig.now - 50*ms})
	if msg.notBefore != rig.now+100*ms {
		t.Errorf("delay of %d ms after a success, want the 100 ms of the message's backoff", (msg.notBefore-rig.now)/ms)
	}
}

// The mean retry delay is proportional to the number of pending messages, so that the rate of retries does not
// depend on it.
func TestRetryDelayGrowsWithThePendingMessages(t *testing.T) {
	meanDelayUs := func(pending int) (sum int64) {
		for seed := range int64(300) {
			rig := newSeededRig(t, settingsForSenders(200), seed, liveEndpoint("a", "plain", "z", 1))
			dest := rig.sched.destination(1)
			dest.route.health.consecutiveFailures, dest.route.health.lastFailureAt = 1, rig.now
			dest.pending = make([]*message, pending)
			sum += rig.sched.retryDelay(dest)
		}
		return sum / 300
	}
	if forOne, forFive := meanDelayUs(0), meanDelayUs(4); forFive < 4*forOne || forFive > 6*forOne {
		t.Errorf("mean retry delay %d ms with one pending message and %d ms with five", forOne/ms, forFive/ms)
	}
}

// After a pause of the process, outcomes and deadlines are due in the same step. Outcomes are processed first, so
// that a delivered message is not rejected, and each message gets one final answer.
func TestOutcomesCountBeforeDeadlinesAfterAPause(t *testing.T) {
	rig := newRig(t, settingsForSenders(50), liveEndpoint("a", "plain", "z", 1))
	sent, pending := rig.request("once", 1), rig.request("safe", 9) // destination 9 has no endpoint
	rig.step(sent, pending)
	if rig.attempts[sent.ID] != 1 || rig.attempts[pending.ID] != 0 {
		t.Fatal("the test needs one message in flight and one pending")
	}
	finalAnswers := map[string]int{}
	for _, action := range rig.advance(11_000*ms, rig.outcome(sent.ID, OutcomeSuccess), Event{Kind: TimerFired}) {
		if action.Kind == Reject || action.Kind == Fail || action.Kind == CancelAttempt {
			finalAnswers[action.ID]++
		}
	}
	for _, action := range rig.advance(5*ms, Event{Kind: TimerFired}) {
		if action.Kind == Reject || action.Kind == Fail {
			finalAnswers[action.ID]++
		}
	}
	if finalAnswers[sent.ID] != 0 || finalAnswers[pending.ID] != 1 {
		t.Errorf("after a pause: %d rejections or failures of the delivered message, %d of the pending one, want 0 and 1",
			finalAnswers[sent.ID], finalAnswers[pending.ID])
	}
}

// Messages that are accepted while the clock does not advance, and whose deadlines then pass at once, get one
// final answer each.
func TestStoppedOrJumpingClockEndsEachMessageOnce(t *testing.T) {
	rig := newRig(t, settingsForSenders(50), liveEndpoint("a", "plain", "z", 1))
	finalAnswers := map[string]int{}
	countAnswers := func(actions []Action) {
		for _, action := range actions {
			if action.Kind == Reject || action.Kind == Fail {
				finalAnswers[action.ID]++
			}
		}
	}
	for range 20 { // the clock does not advance
		countAnswers(rig.step(rig.request("safe", 1)))
	}
	countAnswers(rig.advance(3_600_000*ms, Event{Kind: TimerFired}))
	countAnswers(rig.advance(5*ms, Event{Kind: TimerFired}))
	for i := 1; i <= 20; i++ {
		if id := fmt.Sprint("m", i); finalAnswers[id] != 1 {
			t.Errorf("message %s got %d final answers after the clock had jumped an hour, want 1", id, finalAnswers[id])
		}
	}
	if rig.sched.acceptedCount != 0 {
		t.Errorf("%d messages have no final answer", rig.sched.acceptedCount)
	}
}

// BenchmarkStep measures the cost of an event, which should hardly grow with the number of endpoints.
func BenchmarkStep(b *testing.B) {
	for _, endpoints := range []int{30, 900} {
		b.Run(fmt.Sprint(endpoints, " endpoints"), func(b *testing.B) {
			sched, err := New(settingsForSenders(200), 1)
			if err != nil {
				b.Fatal(err)
			}
			var list []Endpoint
			for i := range endpoints {
				list = append(list, liveEndpoint(fmt.Sprint("e", i), "plain", "z", int64(i/2)))
			}
			now := int64(1e9)
			sched.Step(now, []Event{{Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: list}})
			b.ResetTimer()
			for i := range b.N {
				id := fmt.Sprint("m", i)
				now += 20 * ms
				actions := sched.Step(now, []Event{{
					Kind: RequestAccepted, ID: id, Class: "safe", Destination: int64(i % (endpoints / 2)),
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

// With any number of senders in the settings, even an invalid one, a message is sent at once. Up to four senders
// there is no contention.
func TestMessageIsSentForAnyNumberOfSenders(t *testing.T) {
	for _, senders := range []int{-5, 0, 1, 3, 80, 10_000} {
		rig := newRig(t, settingsForSenders(senders), liveEndpoint("a", "plain", "z", 1))
		event := rig.request("safe", 1)
		if rig.step(event); rig.attempts[event.ID] != 1 {
			t.Errorf("%d senders: the message was not sent at once", senders)
		}
		success := rig.outcome(event.ID, OutcomeSuccess)
		success.LoadReport = []float64{0.1, 50}
		rig.advance(50*ms, success)
		if fewSenders := rig.sched.contention == 0; fewSenders != (senders <= 4) {
			t.Errorf("%d senders: no contention: %v", senders, fewSenders)
		}
	}
}
