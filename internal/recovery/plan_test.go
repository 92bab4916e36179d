package recovery

import (
	"math"
	"math/rand"
	"testing"

	"pgregory.net/rapid"
)

// When many senders start at the same time, their backlogs and their first calls are spread so that
// the first calls of all stay within the destination's limit. Few senders do not wait.
func TestManySendersAreSpread(t *testing.T) {
	for _, senders := range []int{1, 4, 80, 300, 1000} {
		rng := rand.New(rand.NewSource(int64(senders)))
		backlogs, firstCalls := map[int64]int{}, map[int64]int{} // by tenths of a second
		maxFirstCalls := 0
		for range senders {
			plan := New(senders, rng.Float64)
			if delay := plan.BacklogDelay(); delay != plan.BacklogDelay() || delay > MaxSpreadUs {
				t.Fatal(senders, delay)
			}
			backlogs[plan.BacklogDelay()/100_000]++
			// The limit is 0.2 calls per second and sender. After a downtime of three seconds about
			// half of the senders have a message to send.
			if rng.Float64() < 1-math.Exp(-0.2*3) {
				tenth := plan.FirstCallDelay(0.2, 3_000_000) / 100_000
				firstCalls[tenth]++
				maxFirstCalls = max(maxFirstCalls, firstCalls[tenth])
			}
		}
		if senders <= 4 {
			if backlogs[0] != senders || firstCalls[0] != maxFirstCalls {
				t.Errorf("%d senders wait: backlogs %v, first calls %v", senders, backlogs, firstCalls)
			}
			continue
		}
		if limit := 0.02 * float64(senders); float64(maxFirstCalls) > limit+4*math.Sqrt(limit)+1 {
			t.Errorf("%d senders: %d first calls in a tenth of a second, the limit is %.1f", senders, maxFirstCalls, limit)
		}
		if len(backlogs) < min(senders/8, 10) {
			t.Errorf("%d senders: all backlogs start within %d tenths of a second", senders, len(backlogs))
		}
	}
}

// CatchUpRate limits a lone sender to twice its earlier rate and one of many senders to less.
// RetryAfter is spread only in an incarnation that follows an earlier one.
func TestCatchUpRateAndRetryAfter(t *testing.T) {
	lone, oneOfMany := New(1, func() float64 { return 0.25 }), New(1000, func() float64 { return 0.25 })
	if maxRate, us := lone.CatchUpRate(3, 5_000_000); maxRate != 6 || us != 10_000_000 {
		t.Error(maxRate, us)
	}
	if maxRate, us := oneOfMany.CatchUpRate(3, 50_000_000); maxRate < 4.5 || maxRate > 4.6 || us != priorRateValidUs {
		t.Error(maxRate, us)
	}
	if us := lone.RetryAfter(900, 1000); us != 900 {
		t.Error("a first incarnation spreads its Retry-After:", us)
	}
	if lone.SetRestarted(); lone.RetryAfter(800, 10_000) != 600 || lone.RetryAfter(5000, 900) != 450 {
		t.Error(lone.RetryAfter(800, 10_000), lone.RetryAfter(5000, 900))
	}
}

// RetryAfter is never less than half of its lower bound and never more than its upper bound,
// whatever the number of pending messages and the rate.
func TestRetryAfterBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var queue RetryAfterQueue
		minUs := rapid.Int64Range(2, 1e6).Draw(t, "least")
		maxUs := rapid.OneOf(rapid.Int64Range(2*minUs, 1e8), rapid.Just(int64(math.MaxInt64))).Draw(t, "most")
		now := int64(0)
		for range rapid.IntRange(1, 50).Draw(t, "turns") {
			now += rapid.Int64Range(-1e6, 1e9).Draw(t, "later")
			ratePerSecond := rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(0, 1e6)).Draw(t, "pace")
			us := queue.RetryAfter(now, rapid.IntRange(0, 1e6).Draw(t, "held"), ratePerSecond, minUs, maxUs,
				rapid.Float64Range(0, 0.999).Draw(t, "draw"))
			if us < minUs/2 || us > maxUs {
				t.Fatalf("Retry-After %d us, bounds %d us and %d us", us, minUs, maxUs)
			}
		}
	})
}

// Ten thousand clients that are rejected within one second return no faster than they can be served.
// A client that is rejected after all of them have returned gets the minimum wait again.
func TestTenThousandRejectionsAreSpread(t *testing.T) {
	const ratePerSecond = 500.0
	rng := rand.New(rand.NewSource(1))
	rejectAll := func(maxUs int64) (returnsByTenth map[int64]int, queue *RetryAfterQueue) {
		returnsByTenth, queue = map[int64]int{}, &RetryAfterQueue{}
		for i := range int64(10_000) {
			returnsByTenth[(i*100+queue.RetryAfter(i*100, 200, ratePerSecond, 500_000, maxUs, rng.Float64()))/100_000]++
		}
		return returnsByTenth, queue
	}
	returns, queue := rejectAll(math.MaxInt64)
	for tenth, clients := range returns {
		if clients > 3*ratePerSecond/10 {
			t.Errorf("%d clients return in the tenth of a second from %.1f s", clients, float64(tenth)/10)
		}
	}
	if us := queue.RetryAfter(60_000_000, 0, ratePerSecond, 500_000, math.MaxInt64, 0.5); us != 500_000 {
		t.Errorf("Retry-After a minute later: %d us", us)
	}
	returns, _ = rejectAll(3_000_000) // the settings' limit: the waits are spread as widely as it allows
	for tenth, clients := range returns {
		if clients > 10_000/12 {
			t.Errorf("with a limit of 3 s, %d clients return in the tenth of a second from %.1f s", clients, float64(tenth)/10)
		}
	}
}
