package scheduler

import (
	"fmt"
	"testing"
)

// A destination accepts twelve connections, and eighty senders have one message in two seconds each. The idle
// connections of a few senders used up the limit. The others had their connections rejected, mistook that for a
// rejection by the rate limit, and only a quarter of the messages was delivered.
func TestFewConnectionsServeAllSenders(t *testing.T) {
	for seed := range int64(3) {
		fleet := newFleet(t, 80, seed)
		fleet.maxConnections = 12
		fleet.addRequests(fleet.now, fleet.now+20_000*ms, 40, seed)
		fleet.run(20_000 * ms)
		if total := fleet.total(5, 20); total.delivered < 560 || total.connectionsRejected > total.delivered/4 {
			t.Errorf("seed %d: of about 600 messages %d were delivered, and %d connections were rejected", seed,
				total.delivered, total.connectionsRejected)
		}
		starved := 0
		for _, sender := range fleet.senders {
			if sender.undelivered > 0 {
				starved++
			}
		}
		if starved > 8 {
			t.Errorf("seed %d: %d senders have undelivered messages, want at most 8", seed, starved)
		}
	}
}

// A limit of 130 calls per second falls to half for nine seconds, and rejected calls count towards it. Eighty
// senders, each at its minimum rate, used it up with rejected calls until it was raised again.
func TestAllSendersFollowALoweredLimit(t *testing.T) {
	for seed := range int64(3) {
		fleet := newFleet(t, 80, seed)
		fleet.rejectionsUseLimit, fleet.retryAfterMs = true, 300
		start := fleet.now
		fleet.limit = func(now int64) float64 {
			if second := (now - start) / 1_000_000; second >= 7 && second < 16 {
				return 65
			}
			return 130
		}
		fleet.addRequests(fleet.now, fleet.now+26_000*ms, 110, seed)
		fleet.run(28_000 * ms)
		if total := fleet.total(10, 16); total.delivered < 6*65*7/10 || total.rejected > total.delivered/3 {
			t.Errorf("seed %d: %d calls accepted and %d rejected in 6 s of the lowered limit, 65 per second", seed,
				total.delivered, total.rejected)
		}
		if total := fleet.total(19, 26); total.delivered < 7*130*7/10 || total.rejected > total.delivered/5 {
			t.Errorf("seed %d: %d calls accepted and %d rejected in 7 s of the raised limit, 130 per second", seed,
				total.delivered, total.rejected)
		}
	}
}

// Eighty senders have twice as many messages as the limit allows: the limit is used, with few rejections.
func TestAnOverloadedLimitIsUsed(t *testing.T) {
	for seed := range int64(3) {
		fleet := newFleet(t, 80, seed)
		fleet.rejectionsUseLimit = true
		fleet.limit = func(int64) float64 { return 45 }
		fleet.addRequests(fleet.now, fleet.now+30_000*ms, 90, seed)
		fleet.run(30_000 * ms)
		if total := fleet.total(10, 30); total.delivered < 20*45*8/10 || total.rejected > total.delivered/5 {
			t.Errorf("seed %d: %d calls accepted and %d rejected in 20 s of a limit of 45 per second", seed,
				total.delivered, total.rejected)
		}
	}
}

// A destination is unavailable for five seconds and recovers in slow start while eighty senders have messages
// for it. The sum of their calls must stay within the slow-start budget, and most must notice the recovery
// within a second: each message had a random retry delay of up to 20 s in addition to the spread of the probe
// attempts.
func TestRecoveryIsNoticedSoonAndNotOverloaded(t *testing.T) {
	for seed := range int64(3) {
		fleet := newFleet(t, 80, seed)
		fleet.limit = func(int64) float64 { return 100 }
		fleet.outage = [2]int64{fleet.now + 6_000*ms, fleet.now + 11_000*ms}
		fleet.addRequests(fleet.now, fleet.now+20_000*ms, 80, seed)
		fleet.run(20_000 * ms)
		settings := testSettings()
		for start := 85; start+20 <= 160; start++ { // windows of 2 s, once the senders have noticed the outage
			sentCalls := 0
			for _, bin := range fleet.bins[start : start+20] {
				sentCalls += bin.calls
			}
			acceptedShare := settings.Rules.SlowStartInitialShare +
				(1-settings.Rules.SlowStartInitialShare)*max(0, float64(start)/10+1-11)/(float64(settings.Rules.SlowStartUs)/1e6)
			// The capacity is a fifth above the limit; 5 % are allowed for random variation.
			if budget := settings.Rules.OverloadMultiple * 100 * 1.2 * acceptedShare * 2 * 1.05; float64(sentCalls) > budget {
				t.Errorf("seed %d: %d calls in the 2 s from %.1f s, want at most %.0f", seed, sentCalls, float64(start)/10,
					budget)
			}
		}
		if deliveredCalls := fleet.total(11, 13).delivered; deliveredCalls < 90 {
			t.Errorf("seed %d: %d calls accepted in the first 2 s of the recovery, want at least 90", seed, deliveredCalls)
		}
	}
}

// A sender with one call per second halved its rate at each rejection until it was below the lowered limit.
// Rejected calls of eighty such senders used the limit up for four seconds. The first rejection that advertises
// the lowered limit must reduce the rate to the sender's share of it.
func TestARejectionAdoptsTheLoweredLimit(t *testing.T) {
	settings := settingsForSenders(80)
	settings.LoadReport.Mode = ReportInAnswers
	settings.LoadReport.Fields = []string{"x0", "x1"}
	rig := newRig(t, settings, liveEndpoint("a", "plain", "z", 1))
	serve := func(reason Outcome, headroom, limit float64) {
		event := rig.request("safe", 1)
		if rig.advance(1000*ms, event); rig.attempts[event.ID] == 0 {
			rig.runUntil(9000*ms, startsAttempt(event.ID))
		}
		finished := rig.outcome(event.ID, reason)
		finished.LoadReport = []float64{headroom, limit}
		rig.advance(50*ms, finished, Event{Kind: RequestWithdrawn, ID: event.ID})
	}
	for range 20 {
		serve(OutcomeSuccess, 1, 160)
	}
	rt := rig.sched.destination(1).route
	if rt.bucket.rate < 2 {
		t.Fatalf("rate %.2f with an unused limit of 160 calls per second and 80 senders, want at least 2", rt.bucket.rate)
	}
	if serve(OutcomeRejected, 0, 40); rt.bucket.rate > 0.5 {
		t.Errorf("rate %.2f after a rejection with a used-up limit of 40 calls per second and 80 senders, want at most 0.5",
			rt.bucket.rate)
	}
}

// Eighty senders restart at once, each with restored messages: their first calls must be spread over time, and
// each message must get one final answer.
func TestRestoredMessagesAreSpreadOverTime(t *testing.T) {
	fleet := newFleet(t, 80, 1)
	fleet.rejectionsUseLimit, fleet.limit = true, func(int64) float64 { return 60 }
	for i, sender := range fleet.senders {
		for number := range 4 {
			fleet.deliver(sender, Event{
				Kind: RequestAccepted, Restored: true, ID: fmt.Sprint("h", i, "-", number), Class: "safe", Destination: 1,
				Deadline: fleet.now + 9000*ms,
			})
		}
		// An unsafe message in flight when its sender was killed may have run.
		fleet.deliver(sender, Event{
			Kind: RequestAccepted, Restored: true, ID: "charge", Class: "once", Destination: 1, Deadline: fleet.now + 9000*ms,
			Attempts: 1, FirstRunUs: fleet.now - 1000*ms, Zone: "z",
		})
	}
	fleet.run(10_000 * ms)
	for i, sender := range fleet.senders {
		if sender.attempts["charge"] > 0 || sender.sched.messages["charge"] != nil || sender.undelivered == 0 {
			t.Errorf("sender %d: its unsafe message was sent again %d times, or has no final answer", i,
				sender.attempts["charge"])
		}
		sender.undelivered-- // do not count the unsafe message
	}
	for i, bin := range fleet.bins[:15] {
		if bin.calls > 20 {
			t.Errorf("%d calls in the 100 ms from %.1f s, want at most 20", bin.calls, float64(i)/10)
		}
	}
	returned := 0
	for _, sender := range fleet.senders {
		returned += sender.undelivered
	}
	if total := fleet.total(0, 10); total.delivered+returned != 320 || total.delivered < 280 {
		t.Errorf("of 320 messages %d were delivered and %d rejected or failed", total.delivered, returned)
	}
}

// An extreme advertised limit, almost zero or huge, must neither keep a message from being sent nor make the
// scheduler step again and again.
func TestExtremeLimitNeitherStallsNorSpins(t *testing.T) {
	for _, limit := range []float64{1e-300, 1e-9, 1e300} {
		settings := settingsForSenders(80)
		settings.LoadReport.Mode = ReportInAnswers
		settings.LoadReport.Fields = []string{"x0", "x1"}
		rig := newRig(t, settings, liveEndpoint("a", "plain", "z", 1))
		for range 3 {
			event := rig.request("safe", 1)
			event.Deadline = rig.now + 600_000*ms
			steps := 0
			for rig.step(event); rig.attempts[event.ID] == 0 && steps < 1000; steps++ { // one step at each timer
				rig.advance(max(1, rig.sched.timerAt-rig.now), Event{Kind: TimerFired})
			}
			if rig.attempts[event.ID] == 0 || steps > 100 {
				t.Errorf("limit %g: %d steps, the message was sent %d times; want at most 100 steps and one attempt", limit,
					steps, rig.attempts[event.ID])
			}
			rejection := rig.outcome(event.ID, OutcomeRejected)
			rejection.LoadReport = []float64{0, limit}
			rig.advance(50*ms, rejection, Event{Kind: RequestWithdrawn, ID: event.ID})
		}
	}
}

// The list loses a destination's only endpoint for three seconds, and then eighty senders receive a new one at
// the same time. All have messages and saved tokens, so that without a spread all would send at once.
func TestNewEndpointIsNotOverloaded(t *testing.T) {
	for seed := range int64(3) {
		fleet := newFleet(t, 80, seed)
		fleet.rejectionsUseLimit, fleet.limit = true, func(int64) float64 { return 60 }
		start := fleet.now
		updateList := func(at int64, addrs ...string) {
			fleet.schedule(at, func() {
				for _, sender := range fleet.senders {
					event := Event{Kind: EndpointsUpdated, Update: UpdateFull}
					for _, addr := range addrs {
						event.Endpoints = append(event.Endpoints, liveEndpoint(addr, "plain", "z", 1))
					}
					sender.events = append(sender.events, event)
				}
			})
		}
		updateList(start + 6000*ms)
		updateList(start+9000*ms, "b")
		fleet.addRequests(start, start+14_000*ms, 55, seed)
		fleet.run(14_000 * ms)
		if sentCalls := fleet.bins[90].calls; sentCalls > 15 {
			t.Errorf("seed %d: %d calls in the first 100 ms of the new endpoint, want at most 15", seed, sentCalls)
		}
		if total := fleet.total(9, 12); total.delivered < 3*60*6/10 || total.rejected > total.delivered/4 {
			t.Errorf("seed %d: %d calls accepted and %d rejected in the first 3 s of the new endpoint", seed,
				total.delivered, total.rejected)
		}
	}
}

// Eighty senders have slightly more messages than a limit of 30 calls per second allows, and the load reports
// are up to half a second old. All senders with the same report sent their next call after the same interval,
// used the limit up and were rejected for seconds.
func TestSendersWithTheSameReportsDoNotSynchronize(t *testing.T) {
	deliveredSum, rejectedSum := 0, 0
	for seed := range int64(5) {
		fleet := newFleet(t, 80, seed)
		fleet.rejectionsUseLimit, fleet.reportPeriodUs = true, 500*ms
		fleet.limit = func(int64) float64 { return 30 }
		fleet.addRequests(fleet.now, fleet.now+60_000*ms, 33, seed)
		fleet.run(60_000 * ms)
		total := fleet.total(10, 60)
		deliveredSum, rejectedSum = deliveredSum+total.delivered, rejectedSum+total.rejected
	}

	if capacity := 5 * 50 * 30; deliveredSum < capacity*85/100 || rejectedSum > capacity*8/100 {
		t.Errorf("%d calls accepted and %d rejected, with a limit of %d", deliveredSum, rejectedSum, capacity)
	}
}

// A destination rejects all calls for two seconds, with a Retry-After until the end of that time: none of eighty
// senders may send earlier, and they must not all send at that time.
func TestSharedRetryAfterDoesNotEndInABurst(t *testing.T) {
	for seed := range int64(3) {
		fleet := newFleet(t, 80, seed)
		fleet.rejectionsUseLimit, fleet.limit = true, func(int64) float64 { return 60 }
		fleet.rejectsAll = [2]int64{fleet.now + 6000*ms, fleet.now + 8000*ms}
		fleet.addRequests(fleet.now, fleet.now+14_000*ms, 55, seed)
		fleet.run(14_000 * ms)
		if total := fleet.total(6, 8); fleet.earlyCalls > 0 || total.rejected < 50 {
			t.Errorf("seed %d: %d calls before the end of a Retry-After, %d rejected", seed, fleet.earlyCalls, total.rejected)
		}
		for i, bin := range fleet.bins[80:90] {
			if bin.calls > 15 {
				t.Errorf("seed %d: %d calls in the 100 ms from %.1f s, want at most 15", seed, bin.calls, 8+float64(i)/10)
			}
		}
		if total := fleet.total(8, 11); total.delivered < 3*60*6/10 || total.rejected > total.delivered/4 {
			t.Errorf("seed %d: %d calls accepted and %d rejected in the 3 s after it", seed, total.delivered, total.rejected)
		}
	}
}
