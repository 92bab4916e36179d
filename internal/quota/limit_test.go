package quota

import (
	"math"
	"testing"
)

// The highest rate grows with the reported headroom within bounds, and decays to the even share when no
// further report arrives.
func TestMaxRateFollowsReportsAndDecays(t *testing.T) {
	var limit Limit
	if limit.Known() || !math.IsInf(limit.MaxRate(0, 80), 1) || limit.MinRate(80) != 0 {
		t.Fatal("there is a limit before any was reported")
	}
	last := 0.0
	for _, headroom := range []float64{-1, 0, 0.3, 0.5, 0.8, 0.9, 1, 7} {
		limit.Observe(1000, headroom, 160)
		rate := limit.MaxRate(1000, 80)
		if rate < last || rate < 2*emptyFactor || rate > 6.1 || limit.MinRate(80) >= rate {
			t.Errorf("headroom %v: a rate of %v, after %v at the headroom before", headroom, rate, last)
		}
		last = rate
		if decayed := limit.MaxRate(60_000_000, 80); math.Abs(decayed-2) > 0.01 {
			t.Errorf("headroom %v, reported a minute ago: a rate of %v, not the even share", headroom, decayed)
		}
	}
	limit.Observe(2000, 0, 0)
	if limit.Known() {
		t.Error("a report without a limit left the old limit in effect")
	}
	for _, senders := range []float64{0, -4, 1} { // invalid numbers count as one sender
		if limit.Observe(0, 0.5, 10); limit.MaxRate(0, senders) != 10*(emptyFactor+slope/2) {
			t.Errorf("%v senders: a rate of %v", senders, limit.MaxRate(0, senders))
		}
	}
}

// The rates of all senders together stay below a limit without headroom, so that it recovers.
func TestSumOfRatesIsBelowEmptyLimit(t *testing.T) {
	for _, senders := range []int{1, 3, 80, 10_000} {
		var limit Limit
		limit.Observe(0, 0, 77)
		if sum := float64(senders) * limit.MaxRate(0, float64(senders)); sum > 0.9*77 {
			t.Errorf("%d senders: %v of 77 calls per second at a headroom of 0", senders, sum)
		}
	}
}
