package recovery

import (
	"bytes"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"brackendale/internal/testing/golden"
)

// TestGoldenBehaviour compares hashes of the outputs for seeded input sequences with the recorded ones.
func TestGoldenBehaviour(t *testing.T) {
	var out bytes.Buffer
	for i, senders := range []int{-1, 0, 1, 4, 5, 80, 900, 2_000_000} {
		seed := int64(i)
		golden.Fingerprint(&out, fmt.Sprintf("plan-%d", senders), 2000, planScenario(seed, senders))
		golden.Fingerprint(&out, fmt.Sprintf("ask-%d", senders), 500, pollScenario(seed, senders))
		golden.Fingerprint(&out, fmt.Sprintf("door-%d", senders), 2000, retryAfterScenario(seed))
	}
	golden.Check(t, "behaviour.txt", out.String())
}

// planScenario calls all methods of a plan with random arguments; halfway through, the plan is marked
// as that of a returning sender.
func planScenario(seed int64, senders int) func(int) string {
	rng := rand.New(rand.NewSource(seed))
	plan := New(senders, rng.Float64)
	return func(i int) string {
		if i == 1000 {
			plan.SetRestarted()
		}
		if i%100 == 99 { // another incarnation with the same number of senders
			backlog := plan.BacklogDelay()
			plan = New(senders, rng.Float64)
			if i > 1000 {
				plan.SetRestarted()
			}
			return fmt.Sprint(backlog)
		}
		downtimeUs, evenShare := rng.Int63n(1<<rng.Intn(36)), rng.Float64()*float64(rng.Intn(100)-5)
		maxRate, durationUs := plan.CatchUpRate(rng.Float64()*50, downtimeUs)
		return fmt.Sprint(plan.SenderFactor(), plan.Contention(), plan.BacklogDelay(),
			plan.FirstCallDelay(evenShare, downtimeUs), maxRate, durationUs,
			plan.MeanBiasCorrection(downtimeUs, 1+rng.Int63n(20_000_000)),
			plan.RetryAfter(downtimeUs, 1+rng.Int63n(60_000_000)))
	}
}

// pollScenario polls with random failures and successes.
func pollScenario(seed int64, senders int) func(int) string {
	rng := rand.New(rand.NewSource(seed))
	schedule := NewPollSchedule(senders, seed, 500*time.Millisecond, 30*time.Second)
	return func(i int) string {
		if i%50 == 49 {
			shortest, longest := time.Duration(rng.Intn(5000))*time.Millisecond, time.Duration(rng.Intn(60))*time.Second
			schedule = NewPollSchedule(senders, rng.Int63(), shortest, longest)
		}
		if rng.Intn(8) == 0 {
			schedule.Reset()
		}
		if rng.Intn(10) == 0 {
			return fmt.Sprint(int64(schedule.InitialDelay()))
		}
		return fmt.Sprint(int64(schedule.NextDelay()))
	}
}

// retryAfterScenario rejects clients at changing rates.
func retryAfterScenario(seed int64) func(int) string {
	rng := rand.New(rand.NewSource(seed))
	var queue RetryAfterQueue
	now := int64(0)
	return func(int) string {
		now += rng.Int63n(1<<rng.Intn(20)) - 10
		ratePerSecond := float64(max(0, rng.Intn(300)-100))
		pending, minUs, maxUs := rng.Intn(20_000), 1+rng.Int63n(2_000_000), 1+rng.Int63n(120_000_000)
		return fmt.Sprint(queue.RetryAfter(now, pending, ratePerSecond, minUs, maxUs, rng.Float64()))
	}
}
