package limits

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"testing"
	"time"

	"brackendale/internal/testing/golden"
)

// TestGoldenQuotaState checks the JSON of a quota's stored state. Its keys are capitalized.
func TestGoldenQuotaState(t *testing.T) {
	want := QuotaState{Day: 1_700_000_000_000_000, Used: 17}
	raw, err := json.Marshal(want)
	if err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "quota.json", string(append(raw, '\n')))
	stored, err := os.ReadFile(filepath.Join("testdata", "golden", "quota.json"))
	if err != nil {
		t.Fatal(err)
	}
	decoder := json.NewDecoder(bytes.NewReader(stored))
	decoder.DisallowUnknownFields()
	var got QuotaState
	if err := decoder.Decode(&got); err != nil {
		t.Fatal(err)
	}
	if got.Day != 1_700_000_000_000_000 || got.Used != 17 {
		t.Errorf("read back: %+v", got)
	}
}

// TestGoldenBehaviour hashes the outputs of seeded sequences of inputs.
func TestGoldenBehaviour(t *testing.T) {
	var out bytes.Buffer
	for seed := range int64(6) {
		newRand := func() *rand.Rand { return rand.New(rand.NewSource(seed)) }
		rng := newRand()
		rate, period, burst := rng.Int63n(50), rng.Int63n(5_000_000), rng.Int63n(40)
		bucket := NewBucket(0, rate, period, burst)
		window := NewSlidingWindow(burst, period)
		running := NewConcurrencyLimit(burst)
		daily := NewDailyQuota(2*burst, time.UTC, QuotaState{Day: -3600_000_000, Used: 3})
		all := All{NewBucket(0, rate, period, burst), NewSlidingWindow(burst, period), NewConcurrencyLimit(burst)}
		for _, c := range []struct {
			name    string
			limiter Limiter
			level   func(now int64) int64
		}{
			{"bucket", bucket, bucket.Level},
			{"window", window, nil},
			{"concurrent", running, func(int64) int64 { return running.Used() }},
			{"quota", daily, daily.Left},
			{"all", all, nil},
		} {
			golden.Fingerprint(&out, fmt.Sprintf("%s-%d", c.name, seed), 3000, limiterScenario(newRand(), c.limiter, c.level))
		}
		golden.Fingerprint(&out, fmt.Sprintf("rate-%d", seed), 3000, rateScenario(newRand()))
		golden.Fingerprint(&out, fmt.Sprintf("fair-%d", seed), 3000, fairScenario(newRand()))
	}
	golden.Check(t, "behaviour.txt", out.String())
}

// limiterScenario takes units from a limiter, returns some, and calls AvailableAt. Time advances, and sometimes
// goes back a little.
func limiterScenario(rng *rand.Rand, limiter Limiter, level func(int64) int64) func(int) string {
	now, taken := int64(0), int64(0)
	return func(int) string {
		now = max(0, now+rng.Int63n(1<<rng.Intn(24))-rng.Int63n(50))
		units := rng.Int63n(1 << rng.Intn(7))
		at, ok, remaining := limiter.AvailableAt(now, units), false, int64(-1)
		switch rng.Intn(4) {
		case 0:
			units = min(units, taken)
			limiter.Return(now, units)
			taken -= units
		default:
			if at != Never && rng.Intn(3) == 0 {
				now = max(now, at)
			}
			if ok = limiter.Take(now, units); ok {
				taken += units
			}
		}
		if level != nil {
			remaining = level(now)
		}
		return fmt.Sprint(now, units, at, ok, remaining)
	}
}

// rateScenario changes a bucket's parameters, sometimes to values out of range.
func rateScenario(rng *rand.Rand) func(int) string {
	now := int64(0)
	bucket := NewBucket(now, 5, 1_000_000, 10)
	return func(int) string {
		now += rng.Int63n(400_000)
		if rng.Intn(10) == 0 {
			bucket.SetRate(now, rng.Int63n(100)-5, rng.Int63n(1<<rng.Intn(40))-5, rng.Int63n(1<<rng.Intn(22))-5)
		}
		units := rng.Int63n(8)
		return fmt.Sprint(bucket.Take(now, units), bucket.Level(now), bucket.AvailableAt(now, units+1))
	}
}

// fairScenario serves tenants of several weights, of which one at a time is not eligible.
func fairScenario(rng *rand.Rand) func(int) string {
	queue := NewFairQueue[int](rng.Int63n(20))
	for i := range 4 {
		queue.SetWeight(fmt.Sprintf("t%d", i), rng.Int63n(6)-1)
	}
	return func(i int) string {
		if rng.Intn(2) == 0 {
			queue.Add(fmt.Sprintf("t%d", rng.Intn(6)), rng.Int63n(40), i)
		}
		if rng.Intn(20) == 0 { // a burst, drained by the steps that follow
			for k := range 12 {
				queue.Add(fmt.Sprintf("t%d", k%6), rng.Int63n(9), i*100+k)
			}
		}
		ineligible := fmt.Sprintf("t%d", rng.Intn(8))
		tenant, value, ok := queue.Next(func(tenant string, _ int) bool { return tenant != ineligible })
		return fmt.Sprint(tenant, value, ok, queue.Len())
	}
}
