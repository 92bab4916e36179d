package scheduler

import (
	"math"
	"testing"
)

// The token bucket follows ATB: a rejection records the rate as the mark and halves it, once for all calls that were
// sent before; a success raises it, faster below the mark than above; and it does not fall below the minimum rate.
func TestBucketArithmetic(t *testing.T) {
	sched, _ := New(testSettings(), 1)
	sched.now = 10_000 * ms
	rt := newRoute("x", &destination{})
	rt.throughput.sendRate, rt.throughput.sendRateAt, rt.lastSuccessAt = 8, sched.now, sched.now
	rt.destination.route, rt.destination.arrivalRate, rt.destination.arrivalRateAt = rt, 8, sched.now
	old := &call{route: rt, endpoint: &endpoint{}, sentAt: sched.now - 1}
	sched.decreaseRate(rt, old)
	if rt.bucket.rateMark != 8 || rt.bucket.rate != 4 || rt.bucket.tokens != 0 {
		t.Fatalf("first rejection: mark %v, rate %v, tokens %v, want 8, 4 and 0", rt.bucket.rateMark, rt.bucket.rate,
			rt.bucket.tokens)
	}
	if sched.decreaseRate(rt, old); rt.bucket.rate != 4 {
		t.Fatalf("a call that was sent before the decrease lowered the rate again, to %v", rt.bucket.rate)
	}
	later := &call{route: rt, endpoint: &endpoint{}, sentAt: sched.now}
	sched.recordSuccess(rt, later)
	if want := max(4+minRateIncrease, 4*rateGrowthBelowMark); math.Abs(rt.bucket.rate-want) > 1e-9 {
		t.Fatalf("success below the mark: rate %v, want %v", rt.bucket.rate, want)
	}
	rt.bucket.rate = 20
	sched.recordSuccess(rt, later)
	if want := max(20+minRateIncrease, 20*rateGrowthAboveMark); math.Abs(rt.bucket.rate-want) > 1e-9 {
		t.Fatalf("success above the mark: rate %v, want %v", rt.bucket.rate, want)
	}
	sched.now++
	rt.bucket.rate, rt.throughput.peakSuccessRate, rt.destination.arrivalRate = 0.02, 0, 0
	sched.decreaseRate(rt, &call{route: rt, endpoint: &endpoint{}, sentAt: sched.now})
	if math.Abs(rt.bucket.rate-minTotalRate) > minRateJitter+1e-9 {
		t.Fatalf("minimum rate %v, want %v within %v", rt.bucket.rate, minTotalRate, minRateJitter)
	}
}

// Senders with the same Retry-After must not all send their pending messages at its end. Each has one token then,
// and continues at its rate.
func TestEndOfRetryAfterIsNoBurst(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 8)
	event := rig.request("safe", 1)
	rig.step(event)
	rejection := rig.outcome(event.ID, OutcomeRejected)
	rejection.RetryAfterMs = 1500
	rig.advance(50*ms, rejection)
	for range 20 {
		rig.step(rig.request("safe", 1))
	}
	sent := 0
	for endAt := rig.now + 1700*ms; rig.now < endAt; {
		sent += countActions(rig.advance(50*ms, Event{Kind: TimerFired}), StartAttempt)
	}
	if sent > 2 {
		t.Fatalf("%d calls within 200 ms after the end of a Retry-After, want at most 2", sent)
	}
}

// The sum of the minimum rates must not grow with the number of senders.
func TestMinRatesOfManySendersHaveASmallSum(t *testing.T) {
	minRateSum := func(senders int) float64 {
		rig := newRig(t, settingsForSenders(senders), liveEndpoint("a", "plain", "z", 1))
		rt := rig.sched.destination(1).route
		for range 12 {
			rig.sched.now++
			rig.sched.decreaseRate(rt, &call{route: rt, endpoint: &endpoint{}, sentAt: rig.sched.now})
		}
		return rt.bucket.rate * float64(senders)
	}
	few, many := minRateSum(3), minRateSum(300)
	if many > 1.3*few || few > 1 {
		t.Errorf("sum of the minimum rates: %.2f per second of 3 senders and %.2f of 300", few, many)
	}
}

// One of many senders has too few successes to raise a low rate, so its rate also grows with time, except after many
// consecutive rejections. The rate of a single sender grows by successes only.
func TestRateGrowsOverTimeOnlyForManySenders(t *testing.T) {
	for _, senders := range []int{1, 200} {
		rig := newRig(t, settingsForSenders(senders), liveEndpoint("a", "plain", "z", 1))
		rt := rig.sched.destination(1).route
		rt.bucket.limited = true
		rt.bucket.rate = 0.01
		rt.bucket.refilledAt = rig.sched.now
		rt.throughput.successRateAt = rig.sched.now
		rt.destination.arrivalRate, rt.destination.arrivalRateAt = 2, rig.sched.now+4_000*ms
		rig.sched.now += 4_000 * ms
		if rig.sched.refillBucket(rt); (rt.bucket.rate > 0.02) != (senders > 1) {
			t.Errorf("%d senders: a rate of 0.01 is %.3f after 4 s without a rejection", senders, rt.bucket.rate)
		}
		rt.bucket.rate, rt.health.consecutiveRejections, rt.bucket.refilledAt = 0.01, 9, rig.sched.now-4_000*ms
		if rig.sched.refillBucket(rt); rt.bucket.rate > 0.0101 {
			t.Errorf("after nine consecutive rejections the rate has grown over time to %.3f, want 0.01", rt.bucket.rate)
		}
	}
}

// The rate grows over time at most to the arrival rate, halved for each consecutive rejection and once more if
// there was no recent success.
func TestRateGrowthOverTimeEndsLowerWithoutASuccess(t *testing.T) {
	finalRate := func(sinceSuccessUs int64) float64 {
		rig := newRig(t, settingsForSenders(200), liveEndpoint("a", "plain", "z", 1))
		rt := rig.sched.destination(1).route
		rt.bucket.limited = true
		rt.bucket.rate = 0.01
		rt.health.consecutiveRejections = 1
		rt.bucket.refilledAt = rig.sched.now - 60_000*ms
		rt.throughput.successRateAt = rig.sched.now - sinceSuccessUs
		rt.destination.arrivalRate, rt.destination.arrivalRateAt = 2, rig.sched.now
		rig.sched.startedAt = rig.sched.now - 600_000*ms
		rig.sched.refillBucket(rt)
		return rt.bucket.rate
	}
	if recent, longAgo := finalRate(2_000*ms), finalRate(12_000*ms); math.Abs(recent-1) > 1e-9 ||
		math.Abs(longAgo-0.5) > 1e-9 {
		t.Errorf("one rejection, arrival rate 2: the rate grows to %v with a recent success, want 1, "+
			"and to %v without, want 0.5", recent, longAgo)
	}
}

// The decaying mean of the arrival rate is too low in the first seconds of an incarnation: about a fifth of the true
// rate after two seconds. The rate must grow to the true arrival rate. With learned state the mean needs no
// correction.
func TestRateOfANewIncarnationGrowsToTheArrivalRate(t *testing.T) {
	for _, learned := range []bool{false, true} {
		rig := newRig(t, settingsForSenders(200), liveEndpoint("a", "plain", "z", 1))
		rt := rig.sched.destination(1).route
		rig.sched.now += 2_000 * ms
		rt.bucket.limited = true
		rt.bucket.rate = 0.01
		rt.bucket.refilledAt = rig.sched.now - 60_000*ms
		rt.throughput.successRateAt = rig.sched.now
		rt.destination.arrivalRate, rt.destination.arrivalRateAt = 0.44, rig.sched.now // the mean after 2 s at 2 per second
		if learned {
			rig.sched.recovery.SetRestarted()
		}
		want := map[bool]float64{false: 2, true: 0.44}[learned]
		if rig.sched.refillBucket(rt); math.Abs(rt.bucket.rate-want) > 0.02 {
			t.Errorf("learned state %v: the rate grows to %.2f, want %.2f", learned, rt.bucket.rate, want)
		}
	}
}

// A lowered limit leads to rejections, which lower the rate; successes raise it again.
func TestRateFollowsALoweredLimitAndRecovers(t *testing.T) {
	rig := newRig(t, settingsForSenders(2), liveEndpoint("a", "plain", "z", 1))
	sched, rt := rig.sched, rig.sched.destination(1).route
	rt.throughput.sendRate, rt.throughput.sendRateAt, rt.lastSuccessAt = 8, sched.now, sched.now
	for range 3 {
		sched.now += 1000 * ms
		sched.decreaseRate(rt, &call{route: rt, endpoint: &endpoint{}, sentAt: sched.now})
	}
	lowered := rt.bucket.rate
	for range 12 {
		sched.now += 100 * ms
		sched.recordSuccess(rt, &call{route: rt, endpoint: &endpoint{}, sentAt: sched.now - 50*ms})
	}
	if lowered > 2 || rt.bucket.rate < 2*lowered {
		t.Errorf("three rejections changed the rate from 8 to %.2f, and then twelve successes to %.2f", lowered,
			rt.bucket.rate)
	}
}

// The first rejection sets the mark to the send rate of a single sender, at least the minimum rate. With many senders
// the mark is the arrival rate if that is lower, and the tokens are random, so that the senders do not synchronize.
func TestFirstDecreaseAmongManyFollowsTheArrivalRate(t *testing.T) {
	for _, senders := range []int{1, 400} {
		minTokens, maxTokens := math.Inf(1), math.Inf(-1)
		var mark float64
		for seed := range int64(30) {
			rig := newSeededRig(t, settingsForSenders(senders), seed, liveEndpoint("a", "plain", "z", 1))
			rt := rig.sched.destination(1).route
			rt.throughput.sendRate = 0.5
			rt.throughput.sendRateAt = rig.sched.now
			rt.destination.arrivalRate = 0.125
			rt.destination.arrivalRateAt = rig.sched.now
			rig.sched.decreaseRate(rt, &call{route: rt, endpoint: &endpoint{}, sentAt: rig.sched.now})
			minTokens, maxTokens, mark = min(minTokens, rt.bucket.tokens), max(maxTokens, rt.bucket.tokens), rt.bucket.rateMark
		}
		if senders == 1 && (maxTokens != 0 || math.Abs(mark-0.6) > 1e-9) {
			t.Errorf("one sender: mark %v, tokens up to %v; want the minimum rate 0.6 and no tokens", mark, maxTokens)
		}
		if senders > 1 && (minTokens > 0.2 || maxTokens < 0.8 || math.Abs(mark-0.125) > 0.01) {
			t.Errorf("%d senders: mark %v, tokens from %v to %v; want the arrival rate 0.125 and tokens from 0 to 1", senders,
				mark, minTokens, maxTokens)
		}
	}
}
