package limits

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"brackendale/internal/testing/testkit"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { testkit.Seeded(m, "300") }

// Bucket and SlidingWindow against their definitions, at random times: units that are rejected are
// allowed from the time that AvailableAt returned, to the microsecond, and what is allowed never exceeds the
// limit.
func TestLimitersAgainstDefinition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate, period, burst := rapid.Int64Range(1, 50).Draw(t, "rate"),
			rapid.Int64Range(1, 100_000).Draw(t, "period"), rapid.Int64Range(1, 20).Draw(t, "burst")
		maxUnits, length := rapid.Int64Range(1, 20).Draw(t, "most"), rapid.Int64Range(1, 100_000).Draw(t, "length")
		bucket, window := NewBucket(0, rate, period, burst), NewSlidingWindow(maxUnits, length)
		var inBucket, inWindow []batch
		now := int64(0)
		for range 200 {
			now += rapid.Int64Range(0, period).Draw(t, "gap")
			amount := rapid.Int64Range(1, 5).Draw(t, "n")
			for _, current := range []struct {
				limiter Limiter
				taken   *[]batch
			}{{bucket, &inBucket}, {window, &inWindow}} {
				at := current.limiter.AvailableAt(now, amount)
				took := current.limiter.Take(now, amount)
				if took != (at == now) {
					t.Fatalf("%T: at %d, AvailableAt(%d) returned %d and Take %v", current.limiter, now, amount, at, took)
				}
				if took {
					*current.taken = append(*current.taken, batch{now, amount})
				} else if at != Never && at < now+period {
					if current.limiter.AvailableAt(at-1, amount) != at || current.limiter.AvailableAt(at, amount) != at {
						t.Fatalf("%T: AvailableAt did not return %d again", current.limiter, at)
					}
					now = at // a limiter must not be called with earlier times than before
				}
			}
		}
		for i := range inBucket { // in each interval at most the burst and the tokens that accrue in it
			sum := int64(0)
			for _, current := range inBucket[i:] {
				sum += current.units
				if limit := burst*period + (current.at-inBucket[i].at)*rate; sum*period > limit {
					t.Fatal("the bucket allowed", sum, "tokens in", current.at-inBucket[i].at)
				}
			}
		}
		for i := range inWindow {
			sum := int64(0)
			for _, current := range inWindow[i:] {
				if current.at-inWindow[i].at >= length {
					break
				}
				if sum += current.units; sum > maxUnits {
					t.Fatal("the window allowed", sum)
				}
			}
		}
	})
}

// A bucket of 7 tokens in 3 seconds, from which each token is taken as soon as possible for a day, must
// have allowed exactly as many tokens as accrued: rounding errors must not accumulate.
func TestBucketDoesNotDrift(t *testing.T) {
	bucket := NewBucket(0, 7, 3_000_000, 1)
	taken, day := int64(0), int64(24*3600*1_000_000)
	for now := int64(0); now <= day; now = bucket.AvailableAt(now, 1) {
		if !bucket.Take(now, 1) {
			t.Fatal(now)
		}
		taken++
	}
	if want := 1 + day*7/3_000_000; taken < want-1 || taken > want {
		t.Fatal(taken, want)
	}
}

// If one of several limiters rejects units, they are taken from none of them.
func TestAllTakeOrNone(t *testing.T) {
	bucket, concurrency := NewBucket(0, 1, 1000, 5), NewConcurrencyLimit(2)
	all := All{bucket, NewSlidingWindow(10, 1000), concurrency}
	for _, want := range []bool{true, true, false, false} {
		if all.Take(0, 1) != want {
			t.Fatal("Take did not return", want)
		}
	}
	if bucket.Level(0) != 3 || concurrency.Used() != 2 || all.AvailableAt(0, 1) != Never {
		t.Fatal(bucket.Level(0), concurrency.Used())
	}
	if concurrency.Return(0, 1); all.AvailableAt(0, 1) != 0 || !all.Take(0, 1) {
		t.Fatal("the unit that was returned cannot be taken again")
	}
}

// A quota's day is a calendar day of its time zone, also one of 23 or 25 hours, and a clock that is set
// back does not allow the units of a day twice.
func TestDailyQuota(t *testing.T) {
	location, err := time.LoadLocation("Europe/Helsinki")
	if err != nil {
		t.Skip("no time zone database")
	}
	for _, c := range []struct {
		date  time.Time
		hours int
	}{
		{time.Date(2026, 3, 29, 0, 0, 0, 0, location), 23},
		{time.Date(2026, 10, 25, 0, 0, 0, 0, location), 25},
		{time.Date(2026, 12, 1, 0, 0, 0, 0, location), 24},
	} {
		quota := NewDailyQuota(3, location, QuotaState{})
		noon := c.date.Add(12 * time.Hour).UnixMicro()
		if !quota.Take(noon, 3) || quota.Take(noon, 1) {
			t.Fatal("the quota of 3 units did not allow exactly 3")
		}
		end := c.date.Add(time.Duration(c.hours) * time.Hour).UnixMicro()
		if at := quota.AvailableAt(noon, 1); at != end {
			t.Fatal(c.date, time.UnixMicro(at).In(location))
		}
		restored := NewDailyQuota(3, location, quota.QuotaState) // after a restart
		if restored.Take(end-1, 1) || restored.Left(end-1) != 0 || !restored.Take(end, 1) || restored.Left(end) != 2 {
			t.Fatal("wrong count before or after midnight")
		}
		if restored.Take(noon, 3) {
			t.Fatal("the units of an earlier day were allowed again")
		}
	}
}

// Three tenants that always have items queued are served in proportion to their weights, whatever the
// cost of their items; a tenant that is added later waits for at most one round.
func TestFairQueueWeights(t *testing.T) {
	rng := rand.New(rand.NewSource(1))
	queue := NewFairQueue[int64](100)
	weights := map[string]int64{"a": 1, "b": 2, "c": 4}
	for name, weight := range weights {
		queue.SetWeight(name, weight)
		for range 20_000 {
			cost := 1 + rng.Int63n(150)
			queue.Add(name, cost, cost)
		}
	}
	served := map[string]int64{}
	always := func(string, int64) bool { return true }
	for range 20_000 {
		name, cost, _ := queue.Next(always)
		served[name] += cost
	}
	sum, squares := 0.0, 0.0
	for name, weight := range weights {
		normalized := float64(served[name]) / float64(weight)
		sum, squares = sum+normalized, squares+normalized*normalized
	}
	if jain := sum * sum / (3 * squares); jain < 0.9999 { // fairness index; 1: exactly in proportion to the weights
		t.Fatal(jain, served)
	}
	queue.Add("late", 10, 10)
	for i := 0; ; i++ {
		if name, _, _ := queue.Next(always); name == "late" {
			break
		}
		if i > 100 {
			t.Fatal("the late tenant waits for more than a round")
		}
	}
}

// A tenant that is not eligible loses none of its items, and does not delay the others.
func TestFairQueueSkipsIneligibleTenants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := NewFairQueue[int](1)
		waiting := map[string][]int{}
		ineligible := map[string]bool{}
		count := 0
		for range 100 {
			name := fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "tenant"))
			switch rapid.IntRange(0, 3).Draw(t, "do") {
			case 0, 1:
				count++
				queue.Add(name, rapid.Int64Range(1, 3).Draw(t, "cost"), count)
				waiting[name] = append(waiting[name], count)
			case 2:
				ineligible[name] = !ineligible[name]
			default:
				served, value, ok := queue.Next(func(tenant string, _ int) bool { return !ineligible[tenant] })
				expected := false
				for name, list := range waiting {
					expected = expected || len(list) > 0 && !ineligible[name]
				}
				if ok != expected {
					t.Fatal("served:", ok, "an eligible tenant had items:", expected)
				}
				if ok {
					if ineligible[served] || waiting[served][0] != value {
						t.Fatal(served, value)
					}
					waiting[served] = waiting[served][1:]
				}
			}
			sum := 0
			for _, list := range waiting {
				sum += len(list)
			}
			if queue.Len() != sum {
				t.Fatal(queue.Len(), sum)
			}
		}
	})
}

func BenchmarkTake(b *testing.B) {
	all := All{NewBucket(0, 1<<20, 1_000_000, 1<<20), NewSlidingWindow(1<<40, 1000), NewConcurrencyLimit(1 << 40)}
	b.ReportAllocs()
	for i := range b.N {
		if all.Take(int64(i), 1) {
			all.Return(int64(i), 1)
		}
	}
}
