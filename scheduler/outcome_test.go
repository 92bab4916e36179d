package scheduler

import (
	"math"
	"testing"
)

// The first reset of an idle connection determines, for all endpoints, the idle time after which connections are
// closed. It does not count as a failure of the destination. Without further resets the limit expires.
func TestResetOnIdleConnection(t *testing.T) {
	rig := newRig(t, settingsForSenders(4), liveEndpoint("a", "plain", "z", 1), liveEndpoint("b", "plain", "z", 2))
	for _, id := range []int64{1, 2} {
		rig.warmUp(id, 1)
	}
	event := rig.request("safe", 1)
	rig.advance(2000*ms, event)
	actions := rig.advance(60*ms, rig.outcome(event.ID, OutcomeReset))
	rt := rig.sched.destination(1).route
	if countActions(actions, CloseIdleConnections) != 1 || rt.health.consecutiveFailures != 0 ||
		rt.health.failureShare != 0 {
		t.Fatalf("%d failures, failure share %.2f, %d CloseIdleConnections actions; want 0, 0 and 1",
			rt.health.consecutiveFailures, rt.health.failureShare, countActions(actions, CloseIdleConnections))
	}
	if _, retried := rig.runUntil(1000*ms, startsAttempt(event.ID)); !retried {
		t.Fatal("the message was not sent again")
	}
	rig.advance(100*ms, rig.outcome(event.ID, OutcomeReset)) // on a new connection it is a failure
	if rt.health.consecutiveFailures != 1 {
		t.Fatalf("%d failures after a reset of a new connection, want 1", rt.health.consecutiveFailures)
	}
	other := rig.request("safe", 2)
	if actions := rig.advance(1000*ms, other); countActions(actions, CloseIdleConnections) != 1 ||
		rig.attempts[other.ID] != 1 {
		t.Fatal("the idle connection to the other endpoint was reused")
	}
	rig.advance(100*ms, rig.outcome(other.ID, OutcomeSuccess))
	for range 5 { // in use for a long time without such a loss
		rig.advance(9000 * ms)
		other = rig.request("safe", 2)
		rig.step(other)
		rig.advance(100*ms, rig.outcome(other.ID, OutcomeSuccess))
	}
	other = rig.request("safe", 2)
	if actions := rig.advance(3000*ms, other); countActions(actions, CloseIdleConnections) != 0 {
		t.Fatal("the learned idle time did not expire")
	}
}

// The spread of retries after rejections grows if such retries are rejected again, and shrinks if they succeed. What
// is learned at one destination applies to its machine type.
func TestSpreadAfterRejectionsIsLearned(t *testing.T) {
	meanDelayUs := func(retryOutcome Outcome) float64 {
		sum := 0.0
		for seed := range int64(30) {
			rig := newSeededRig(t, settingsForSenders(200), seed, liveEndpoint("a", "plain", "z", 1),
				liveEndpoint("b", "plain", "z", 2))
			for i := range 12 {
				event := rig.request("safe", 1)
				event.Deadline += 3600_000 * ms
				if _, ok := rig.runUntil(100*ms, startsAttempt(event.ID)); !ok {
					rig.step(event)
				}
				for range 2 {
					if rig.attempts[event.ID] == 0 || rig.sched.messages[event.ID].call == nil {
						rig.runUntil(600_000*ms, startsAttempt(event.ID))
					}
					reason := OutcomeRejected
					if i%2 == 1 {
						reason = retryOutcome
					}
					if rig.advance(100*ms, rig.outcome(event.ID, reason)); rig.sched.messages[event.ID] == nil {
						break
					}
				}
				rig.step(Event{Kind: RequestWithdrawn, ID: event.ID})
			}
			event := rig.request("safe", 2)
			event.Deadline += 3600_000 * ms
			rig.step(event)
			rig.advance(100*ms, rig.outcome(event.ID, OutcomeRejected))
			sum += float64(rig.sched.messages[event.ID].notBefore-rig.now) / 30
		}
		return sum
	}
	if afterSuccesses, afterRejections := meanDelayUs(OutcomeSuccess),
		meanDelayUs(OutcomeRejected); afterSuccesses*2 > afterRejections {
		t.Errorf("mean retry delay %.0f ms where retries succeeded, %.0f ms where they were rejected",
			afterSuccesses/1000, afterRejections/1000)
	}
}

// With many senders the minimum rate is this sender's share of the capacity, and lower where retries after
// rejections were rejected again.
func TestMinRateFollowsTheCapacityHint(t *testing.T) {
	for spreadFactor, want := range map[float64]float64{0.5: 0.2, 4: 0.05} {
		settings := settingsForSenders(200)
		settings.CapacityHints = HintsExact
		listed := liveEndpoint("a", "plain", "z", 1)
		listed.CapacityHint = 40
		rig := newRig(t, settings, listed)
		rt := rig.sched.destination(1).route
		rig.sched.retrySpread["plain"] = spreadFactor
		for range 12 {
			rig.sched.now++
			rig.sched.decreaseRate(rt, &call{route: rt, endpoint: rig.sched.endpoints["a"], sentAt: rig.sched.now})
		}
		if rt.bucket.rate < want*0.85 || rt.bucket.rate > want*1.15 {
			t.Errorf("retry spread factor %v: minimum rate %.3f, want about %.3f", spreadFactor, rt.bucket.rate, want)
		}
	}
}

// If all messages of one class fail at one endpoint, only that class avoids the endpoint, the route stays available,
// and the class tries the endpoint again after some time.
func TestOneClassFailsAtOneEndpoint(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1), liveEndpoint("b", "plain", "z", 1))
	rig.warmUp(1, 4)
	attempts := map[string]int{}
	send := func(class string) {
		event := rig.request(class, 1)
		rig.advance(300*ms, event)
		for rig.sched.messages[event.ID] != nil {
			if rig.sched.messages[event.ID].call == nil {
				rig.runUntil(10_000*ms, startsAttempt(event.ID))
				continue
			}
			attempts[class+" at "+rig.sentTo[event.ID]]++
			reason := OutcomeSuccess
			if class == "safe" && rig.sentTo[event.ID] == "a" {
				reason = OutcomeFailed
			}
			rig.advance(50*ms, rig.outcome(event.ID, reason))
		}
	}
	for range 20 {
		send("safe")
		send("key")
	}
	rt := rig.sched.destination(1).route
	if attempts["safe at a"] > 6 || attempts["safe at b"] < 20 || attempts["key at a"] == 0 || rt.health.unavailable ||
		rt.health.failureShare > failureShareUnsafe {
		t.Fatalf("attempts %v, route unavailable %v, failure share %.2f", attempts, rt.health.unavailable,
			rt.health.failureShare)
	}
	rig.advance(30_000 * ms)
	first, second := rig.request("safe", 1), rig.request("safe", 1)
	if rig.step(first, second); rig.sentTo[first.ID] == rig.sentTo[second.ID] {
		t.Fatal("the class still avoids the endpoint after 30 s")
	}
}

// A limit that counts rejected calls too recovers only if all senders together retry less often than it allows.
// Rejections must therefore spread retries for as long as the spread lasts, even beyond 20 s.
func TestRejectionsCountAsLongAsRetriesAreSpread(t *testing.T) {
	settings := settingsForSenders(200)
	settings.CapacityHints = HintsExact
	listed := liveEndpoint("a", "plain", "z", 1)
	listed.CapacityHint = 4
	retried := 0
	for seed := range int64(100) {
		rig := newSeededRig(t, settings, seed, listed)
		rt := rig.sched.destination(1).route
		rig.sched.retrySpread["plain"] = 16
		rt.health.consecutiveFailures, rt.health.consecutiveRejections, rt.health.lastFailureAt = 5, 5, rig.now-25_000*ms
		event := rig.request("safe", 1)
		rig.step(event)
		rig.runUntil(10_000*ms, func(Action) bool { return false })
		retried += rig.attempts[event.ID]
	}
	if retried > 20 {
		t.Errorf("%d of 100 senders retried within 10 s, want at most 20", retried)
	}
}

// Only the first message of a key can be sent, so it must have the shortest of the random retry delays, both on
// arrival and after a rejection.
func TestFirstOfAKeyHasTheShortestDelay(t *testing.T) {
	settings := settingsForSenders(200)
	settings.Classes[2].OrderedByKey = true
	rig := newRig(t, settings, liveEndpoint("a", "plain", "z", 1))
	rt := rig.sched.destination(1).route
	checkOrder := func(situation string) {
		t.Helper()
		queue := rig.sched.keyQueues[1].messages
		for i := range queue[1:] {
			if queue[i].notBefore > queue[i+1].notBefore {
				t.Fatalf("%s: message %d is delayed until %d, the next until %d", situation, i, queue[i].notBefore,
					queue[i+1].notBefore)
			}
		}
	}
	rt.health.consecutiveFailures, rt.health.lastFailureAt = 2, rig.now
	var first Event
	for i := range 6 {
		event := rig.request("once", 1)
		if event.Key, event.HasKey = 1, true; i == 0 {
			first = event
		}
		rig.step(event)
	}
	checkOrder("on arrival")
	if _, ok := rig.runUntil(20_000*ms, startsAttempt(first.ID)); !ok {
		t.Fatal("the key's first message was not sent")
	}
	rig.advance(50*ms, rig.outcome(first.ID, OutcomeRejected))
	checkOrder("after a refusal")
}

// The limit x1 of a load report replaces a missing capacity hint of the list. A rejection although the report shows
// headroom (x0) is due to a full queue of the endpoint: few senders then keep their rate, many must reduce it.
// Invalid values are ignored.
func TestReportsInAnswers(t *testing.T) {
	for name, tc := range map[string]struct {
		senders   int
		report    []float64
		hint      float64
		decreased bool
	}{
		"room left, few":  {4, []float64{0.8, 40}, 10, false},
		"room left, many": {200, []float64{0.8, 40}, 0.2, true},
		"used up":         {200, []float64{0.05, 40}, 0.2, true},
		"none":            {200, nil, 0, false}, // a rejection of the connection
		"short":           {200, []float64{0.2}, 0, true},
		"long":            {200, []float64{0.1, 40, 3, 4}, 0.2, true},
		"negative":        {200, []float64{-1, -40}, 0, true},
		"not numbers":     {200, []float64{math.NaN(), math.Inf(1)}, 0, true},
	} {
		settings := settingsForSenders(tc.senders)
		settings.LoadReport.Mode = ReportInAnswers
		settings.LoadReport.Fields = []string{"x0", "x1"}
		rig := newRig(t, settings, liveEndpoint("a", "plain", "z", 1))
		event := rig.request("safe", 1)
		if rig.step(event); rig.attempts[event.ID] == 0 {
			rig.runUntil(9000*ms, startsAttempt(event.ID))
		}
		rejection := rig.outcome(event.ID, OutcomeRejected)
		rejection.LoadReport = tc.report
		rig.advance(50*ms, rejection)
		if rt := rig.sched.destination(1).route; rt.capacityHint != tc.hint || rt.bucket.decreasedAt != 0 != tc.decreased {
			t.Errorf("%s: capacity hint %v, want %v; rate decreased %v, want %v", name, rt.capacityHint, tc.hint,
				rt.bucket.decreasedAt != 0, tc.decreased)
		}
	}
}

// After an overdue or canceled call its class avoids the endpoint, even while other classes succeed there.
func TestOverdueCallOfOneClassAtOneEndpoint(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1), liveEndpoint("b", "plain", "z", 1))
	rig.warmUp(1, 6)
	serve := func(class string) string {
		event := rig.request(class, 1)
		rig.step(event)
		if rig.attempts[event.ID] == 0 {
			rig.runUntil(5000*ms, startsAttempt(event.ID))
		}
		rig.advance(50*ms, rig.outcome(event.ID, OutcomeSuccess))
		return rig.sentTo[event.ID]
	}
	first := rig.request("once", 1)
	rig.step(first)
	unresponsive := rig.sentTo[first.ID]
	for range 20 {
		rig.advance(50 * ms)
		serve("safe")
	}
	if addr := serve("once"); addr == unresponsive {
		t.Error("the class's next message was sent to the endpoint where its call is overdue")
	}
	rig.advance(50*ms, rig.outcome(first.ID, OutcomeCanceled))
	if addr := serve("once"); addr == unresponsive {
		t.Error("the class's next message was sent to the endpoint where its call was canceled")
	}
}
