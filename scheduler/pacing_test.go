package scheduler

import (
	"math"
	"testing"
)

func TestBucketArithmetic(t *testing.T) {
	sched, _ := New(testSettings(), 1)
	sched.now = 10_000 * ms
	rt := newRoute("x", &destination{})
	rt.throughput.sendRate, rt.throughput.sendRateAt, rt.lastSuccessAt = 8, sched.now, sched.now
	rt.destination.route, rt.destination.arrivalRate, rt.destination.arrivalRateAt = rt, 8, sched.now
	old := &call{route: rt, endpoint: &endpoint{}, sentAt: sched.now - 1}
	sched.decreaseRate(rt, old)
	if rt.bucket.rateMark != 8 || rt.bucket.rate != 4 || rt.bucket.tokens != 0 {
		t.Fatalf("first rejection: mark %v rate %v tokens %v, want 8 4 0", rt.bucket.rateMark, rt.bucket.rate,
			rt.bucket.tokens)
	}
	if sched.decreaseRate(rt, old); rt.bucket.rate != 4 {
		t.Fatalf("a call that left before the decrease lowered the rate again: %v", rt.bucket.rate)
	}
	later := &call{route: rt, endpoint: &endpoint{}, sentAt: sched.now}
	sched.recordSuccess(rt, later)
	if want := max(4+minRateIncrease, 4*rateGrowthBelowMark); math.Abs(rt.bucket.rate-want) > 1e-9 {
		t.Fatalf("below the mark: rate %v, want %v", rt.bucket.rate, want)
	}
	rt.bucket.rate = 20
	sched.recordSuccess(rt, later)
	if want := max(20+minRateIncrease, 20*rateGrowthAboveMark); math.Abs(rt.bucket.rate-want) > 1e-9 {
		t.Fatalf("above the mark: rate %v, want %v", rt.bucket.rate, want)
	}
	sched.now++
	rt.bucket.rate, rt.throughput.peakSuccessRate, rt.destination.arrivalRate = 0.02, 0, 0
	sched.decreaseRate(rt, &call{route: rt, endpoint: &endpoint{}, sentAt: sched.now})
	if math.Abs(rt.bucket.rate-minTotalRate) > minRateJitter+1e-9 {
		t.Fatalf("least rate %v, want %v within %v", rt.bucket.rate, minTotalRate, minRateJitter)
	}
}

// Senders with the same Retry-After must not all send their backlog at its end: one token, then
// the rate.
func TestEndOfRetryAfterIsNoBurst(t *testing.T) {
	rig := newRig(t, testSettings(), ep("a", "plain", "z", 1))
	rig.warmUp(1, 8)
	event := rig.request("safe", 1)
	rig.step(event)
	full := rig.outcome(event.ID, OutcomeRejected)
	full.RetryAfterMs = 1500
	rig.advance(50*ms, full)
	for range 20 {
		rig.step(rig.request("safe", 1))
	}
	sent := 0
	for end := rig.now + 1700*ms; rig.now < end; {
		sent += count(rig.advance(50*ms, Event{Kind: TimerFired}), StartAttempt)
	}
	if sent > 2 {
		t.Fatalf("%d calls within 200 ms of the end of a Retry-After", sent)
	}
}

func TestLeastRatesOfManySendersAddUpToLittle(t *testing.T) {
	least := func(n int) float64 {
		rig := newRig(t, settingsFor(n), ep("a", "plain", "z", 1))
		rt := rig.sched.destination(1).route
		for range 12 {
			rig.sched.now++
			rig.sched.decreaseRate(rt, &call{route: rt, endpoint: &endpoint{}, sentAt: rig.sched.now})
		}
		return rt.bucket.rate * float64(n)
	}
	few, many := least(3), least(300)
	if many > 1.3*few || few > 1 {
		t.Errorf("all senders together send %.2f a second at least among 3 and %.2f among 300", few, many)
	}
}

func TestTimeLetsARateClimbOnlyAmongMany(t *testing.T) {
	for _, n := range []int{1, 200} {
		rig := newRig(t, settingsFor(n), ep("a", "plain", "z", 1))
		rt := rig.sched.destination(1).route
		rt.bucket.limited = true
		rt.bucket.rate = 0.01
		rt.bucket.refilledAt = rig.sched.now
		rt.throughput.successRateAt = rig.sched.now
		rt.destination.arrivalRate, rt.destination.arrivalRateAt = 2, rig.sched.now+4_000*ms
		rig.sched.now += 4_000 * ms
		if rig.sched.refillBucket(rt); (rt.bucket.rate > 0.02) != (n > 1) {
			t.Errorf("among %d a rate of 0.01 is %.3f after 4 s without a rejection", n, rt.bucket.rate)
		}
		rt.bucket.rate, rt.health.consecutiveRejections, rt.bucket.refilledAt = 0.01, 9, rig.sched.now-4_000*ms
		if rig.sched.refillBucket(rt); rt.bucket.rate > 0.0101 {
			t.Errorf("after nine rejections in a row the rate climbed to %.3f by time", rt.bucket.rate)
		}
	}
}

func TestClimbByTimeEndsLowerWithoutASuccess(t *testing.T) {
	top := func(sinceGood int64) float64 {
		rig := newRig(t, settingsFor(200), ep("a", "plain", "z", 1))
		rt := rig.sched.destination(1).route
		rt.bucket.limited = true
		rt.bucket.rate = 0.01
		rt.health.consecutiveRejections = 1
		rt.bucket.refilledAt = rig.sched.now - 60_000*ms
		rt.throughput.successRateAt = rig.sched.now - sinceGood
		rt.destination.arrivalRate, rt.destination.arrivalRateAt = 2, rig.sched.now
		rig.sched.startedAt = rig.sched.now - 600_000*ms
		rig.sched.refillBucket(rt)
		return rt.bucket.rate
	}
	if lately, long := top(2_000*ms), top(12_000*ms); math.Abs(lately-1) > 1e-9 || math.Abs(long-0.5) > 1e-9 {
		t.Errorf("one rejection, arrival rate 2: the climb ends at %v with a success lately, want 1, "+
			"and at %v without, want 0.5", lately, long)
	}
}

// An incarnation two seconds old has counted a fifth of its arrival rate, and climbs to the
// whole; with learned state nothing is added.
func TestRateOfAYoungIncarnationClimbsToItsArrivalRate(t *testing.T) {
	for _, returns := range []bool{false, true} {
		rig := newRig(t, settingsFor(200), ep("a", "plain", "z", 1))
		rt := rig.sched.destination(1).route
		rig.sched.now += 2_000 * ms
		rt.bucket.limited = true
		rt.bucket.rate = 0.01
		rt.bucket.refilledAt = rig.sched.now - 60_000*ms
		rt.throughput.successRateAt = rig.sched.now
		rt.destination.arrivalRate, rt.destination.arrivalRateAt = 0.44, rig.sched.now // two a second for two seconds
		if returns {
			rig.sched.recovery.SetRestarted()
		}
		want := map[bool]float64{false: 2, true: 0.44}[returns]
		if rig.sched.refillBucket(rt); math.Abs(rt.bucket.rate-want) > 0.02 {
			t.Errorf("learned state: %v: climbs to %.2f, want %.2f", returns, rt.bucket.rate, want)
		}
	}
}

// A limit falls to a part: rejections lower the rate and successes raise it again.
func TestRateFallsWithALimitAndComesBack(t *testing.T) {
	rig := newRig(t, settingsFor(2), ep("a", "plain", "z", 1))
	sched, rt := rig.sched, rig.sched.destination(1).route
	rt.throughput.sendRate, rt.throughput.sendRateAt, rt.lastSuccessAt = 8, sched.now, sched.now
	for range 3 {
		sched.now += 1000 * ms
		sched.decreaseRate(rt, &call{route: rt, endpoint: &endpoint{}, sentAt: sched.now})
	}
	low := rt.bucket.rate
	for range 12 {
		sched.now += 100 * ms
		sched.recordSuccess(rt, &call{route: rt, endpoint: &endpoint{}, sentAt: sched.now - 50*ms})
	}
	if low > 2 || rt.bucket.rate < 2*low {
		t.Errorf("three rejections took the rate from 8 to %.2f, twelve successes to %.2f", low, rt.bucket.rate)
	}
}

func TestFirstDecreaseAmongManyFollowsTheArrivalRate(t *testing.T) {
	for _, n := range []int{1, 400} {
		low, high := math.Inf(1), math.Inf(-1)
		var rate float64
		for seed := range int64(30) {
			rig := newSeededRig(t, settingsFor(n), seed, ep("a", "plain", "z", 1))
			rt := rig.sched.destination(1).route
			rt.throughput.sendRate = 0.5
			rt.throughput.sendRateAt = rig.sched.now
			rt.destination.arrivalRate = 0.125
			rt.destination.arrivalRateAt = rig.sched.now
			rig.sched.decreaseRate(rt, &call{route: rt, endpoint: &endpoint{}, sentAt: rig.sched.now})
			low, high, rate = min(low, rt.bucket.tokens), max(high, rt.bucket.tokens), rt.bucket.rateMark
		}
		if n == 1 && (high != 0 || math.Abs(rate-0.6) > 1e-9) {
			t.Errorf("alone: mark %v, tokens up to %v; want the least rate and none", rate, high)
		}
		if n > 1 && (low > 0.2 || high < 0.8 || math.Abs(rate-0.125) > 0.01) {
			t.Errorf("among %d: mark %v, tokens from %v to %v; want the arrival rate, and anywhere from none to one", n,
				rate, low, high)
		}
	}
}
