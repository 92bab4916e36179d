package slowstart

import (
	"math"
	"math/rand"
	"testing"
)

const second = int64(1e6)

// manySenders are the rules of 49 senders that share a route.
var manySenders = Rules{InitialShare: 0.2, Multiple: 2, WindowUs: 2 * second, DurationUs: 12 * second, Senders: 49}

// One failure of a sender with little traffic is evidence; one among many successes is none until the successes end.
func TestEvidence(t *testing.T) {
	for name, tc := range map[string]struct {
		successesPerSecond int64
		failures           int
		waitUs             int64
		want               bool
	}{
		"little traffic, one failure":                 {0, 1, 0, true},
		"much traffic, one failure":                   {20, 1, 0, false},
		"much traffic, one failure and nothing since": {20, 1, 1_100_000, true},
		"much traffic, many failures":                 {20, 30, 0, true},
	} {
		gate, now := Gate{}, 100*second
		succeededAt := now - 3*second
		for i := range tc.successesPerSecond * 10 {
			succeededAt = now - 10*second + i*second/tc.successesPerSecond
			gate.ObserveSuccess(succeededAt, succeededAt)
		}
		for range tc.failures {
			gate.ObserveFailure(now)
		}
		if got := gate.HasEvidence(now+tc.waitUs, succeededAt); got != tc.want {
			t.Errorf("%s: evidence %v, want %v", name, got, tc.want)
		}
		gate.ObserveSuccess(now+tc.waitUs, succeededAt)
		if gate.HasEvidence(now+tc.waitUs, now+tc.waitUs) {
			t.Errorf("%s: a success leaves evidence", name)
		}
	}
}

// A route that always fails a share of its calls has no outage; one whose failures rise by as much has.
func TestLastingFailuresAreNoEvidence(t *testing.T) {
	gate, rng := Gate{}, rand.New(rand.NewSource(1))
	evidence, succeededAt := 0, second
	observe := func(from, to int64, failedShare float64) {
		for now := from; now < to; now += second / 40 {
			if rng.Float64() < failedShare {
				gate.ObserveFailure(now)
			} else {
				gate.ObserveSuccess(now, succeededAt)
				succeededAt = now
			}
			if gate.HasEvidence(now, succeededAt) {
				evidence++
			}
		}
	}
	observe(second, 60*second, 0.4)
	if evidence > 0 {
		t.Errorf("%d times evidence at a lasting share of 0.4", evidence)
	}
	observe(60*second, 64*second, 0.9)
	if evidence == 0 {
		t.Error("no evidence at a share of 0.9")
	}
}

// Refusals between successes are due to a limit; some without a success are an outage.
func TestRefusalsAsEvidence(t *testing.T) {
	gate, now := Gate{}, 100*second
	for range 10 {
		now += 3 * second
		gate.ObserveRefusal(now, now-1, 2)
		if gate.HasEvidence(now, now-2*second) {
			t.Fatal("one refusal after a success is evidence")
		}
		gate.ObserveSuccess(now+second, now)
	}
	now += 3 * second
	gate.ObserveRefusal(now, now-1, 2)
	gate.ObserveRefusal(now+1, now-2, 2) // sent before the first one came
	if gate.HasEvidence(now+1, now-2*second) {
		t.Error("two refusals of calls that were out together are evidence")
	}
	gate.ObserveRefusal(now+second, now+2, 2)
	if !gate.HasEvidence(now+second, now-2*second) {
		t.Error("two refusals without a success between them are no evidence")
	}
}

// Where one refusal is an outage, it is evidence when there was no success for a second. Refusals among successes are
// due to a limit, and refusals of calls that were out together are one.
func TestSingleRefusalAsEvidence(t *testing.T) {
	gate, now := Gate{}, 100*second
	succeed := func() {
		now += second / 4
		gate.ObserveSuccess(now, now-second/4)
	}
	for range 10 {
		for range 4 {
			succeed()
		}
		gate.ObserveRefusal(now+second/8, now, 1)
		for sentBefore := range int64(10) {
			gate.ObserveRefusal(now+second/8+sentBefore, now+sentBefore, 1)
		}
		if gate.HasEvidence(now+second/4, now) {
			t.Fatal("refusals of calls that were out together, among successes, are evidence")
		}
	}
	succeed()
	gate.ObserveRefusal(now+2*second, now+second, 1)
	if !gate.HasEvidence(now+2*second, now) {
		t.Error("a refusal with no success for two seconds is no evidence")
	}
}

// The calls of many senders, each with a backlog, stay within what the route takes in any window of the slow start,
// whenever the route returns, also if it fell again.
func TestSumOfPacedCalls(t *testing.T) {
	for _, senders := range []float64{5, 49, 900} {
		capacity := 40.0 // calls per second of all senders
		rules := manySenders
		rules.Senders = senders
		rng := rand.New(rand.NewSource(7))
		var calls []int64
		for range int(senders) {
			gate := Gate{}
			gate.Suspect(0, rules, capacity/senders, rng.Float64())
			gate.Suspect(second, rules, 0, rng.Float64())
			returned := false
			for now := int64(0); now < 20*second; now += second / 200 {
				if gate.AvailableAt(now) > now {
					continue
				}
				gate.Take(now, rules, true)
				if calls = append(calls, now); now >= 5*second && !returned { // the route returns after 5 s
					returned = true
					gate.Recover(now, rules, 0)
				}
			}
		}
		checkWindows(t, senders, rules, capacity, calls)
	}
}

func checkWindows(t *testing.T, senders float64, rules Rules, capacity float64, calls []int64) {
	t.Helper()
	for start := 5 * second; start+rules.WindowUs < 17*second; start += second / 10 {
		count := 0
		for _, at := range calls {
			if at >= start && at < start+rules.WindowUs {
				count++
			}
		}
		elapsed := float64(start+rules.WindowUs/2-5*second) / float64(rules.DurationUs)
		share := rules.InitialShare + (1-rules.InitialShare)*elapsed
		budget := rules.Multiple * capacity * share * float64(rules.WindowUs) / 1e6
		if limit := budget + 2*math.Sqrt(budget) + 2; float64(count) > limit {
			t.Errorf("%v senders: %d calls from %.1f s, %.1f are allowed", senders, count, float64(start)/1e6, limit)
		}
	}
}

// The budgets of all senders together are what the route takes, and half of what it takes by chance.
func TestBudgetsTogether(t *testing.T) {
	for _, senders := range []float64{5, 49, 900} {
		rules := manySenders
		rules.Senders = senders
		gate := Gate{}
		gate.Suspect(0, rules, 1, 0.5)
		budget := rules.InitialShare * rules.Multiple * senders * float64(rules.WindowUs) / 1e6
		calls := gate.Rate(0, rules, 0) * senders * float64(rules.WindowUs) / 1e6
		if calls > budget+math.Sqrt(budget)+minCalls {
			t.Errorf("%v senders may send %.1f calls in a window, the budget is %.1f", senders, calls, budget)
		}
	}
}

// What has become pending in the slow start does not leave at once when the route has its whole capacity.
func TestPacingEndsBehindTheSlowStart(t *testing.T) {
	gate := Gate{}
	gate.Recover(0, manySenders, 2)
	whole := manySenders.DurationUs
	if !gate.Paced(whole+second) || gate.Paced(2*whole) {
		t.Errorf("paced a second behind the slow start: %v, long behind it: %v", gate.Paced(whole+second),
			gate.Paced(2*whole))
	}
	if rate, later := gate.Rate(whole, manySenders, 0), gate.Rate(whole+second, manySenders, 0); rate != later {
		t.Errorf("%.2f calls per second at the end of the slow start, %.2f a second later", rate, later)
	}
}

// A fall within the slow start lowers the estimate, and a further failure does not forget it.
func TestFallLowersTheEstimate(t *testing.T) {
	gate := Gate{}
	gate.Suspect(0, manySenders, 2, 0.5)
	gate.Recover(second, manySenders, 0)
	gate.Fall(2 * second)
	gate.Suspect(2*second, manySenders, 0.5, 0.5)
	if gate.Capacity != 2*fallFactor {
		t.Errorf("estimate %v after a fall, want %v", gate.Capacity, 2*fallFactor)
	}
	if gate.Until != 0 || !gate.Paced(100*second) {
		t.Error("the slow start goes on after a fall, or the pacing ends without a success")
	}
}

// A call that times out behind the first success of its route's return begins the slow start as of that success.
func TestReturnMissedBehindATimeout(t *testing.T) {
	gate := Gate{}
	gate.ObserveSuccess(10*second, 9*second)
	gate.ObserveSuccess(13*second, 10*second) // the route was silent for some time before
	gate.ObserveFailure(14 * second)
	if gate.MissedReturn(14*second, 13*second+1, manySenders, 1) {
		t.Error("a call that was sent behind the return shows an outage")
	}
	if !gate.MissedReturn(14*second, 11*second, manySenders, 1) {
		t.Fatal("a call of the outage shows none")
	}
	gate.RecoverLate(14*second, manySenders, 2, 0.5)
	if want := 13*second + manySenders.PacedUs(); gate.Until != want || gate.NextCallAt <= 14*second {
		t.Errorf("slow start until %d, next call at %d; want %d and later than now", gate.Until, gate.NextCallAt, want)
	}
}
