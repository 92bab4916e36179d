package scheduler

import (
	"encoding/json"
	"fmt"
	"math"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// A destination that was rejected once must still get calls after very many successes, and the state must be encodable.
// The failure: each success multiplied the rate, which became infinite; its tokens were then not a number.
func TestRateAfterManySuccesses(t *testing.T) {
	rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 8)
	event := rig.request("safe", 1)
	rig.step(event)
	rig.advance(50*ms, rig.outcome(event.ID, OutcomeRejected))
	rig.advance(5000*ms, Event{Kind: TimerFired})
	const successes = 40_000 // 1.03 to the power of 24,000 is infinite
	rt := rig.sched.endpoints["a"].route
	for range successes {
		rig.sched.now += ms / 10
		rig.sched.increaseRate(rt)
	}
	rig.now = rig.sched.now
	for i := range 50 {
		event := rig.request("safe", 1)
		if sent := countActions(rig.step(event), StartAttempt); sent != 1 {
			t.Fatalf("message %d after %d successes: %d calls; bucket %+v", i, successes, sent, rt.bucket)
		}
		rig.advance(ms, rig.outcome(event.ID, OutcomeSuccess))
	}
	if _, err := json.Marshal(rig.sched.State()); err != nil {
		t.Error(err)
	}
}

// eventsEnv is the environment variable with the number of random events. Use 1000000 in a manual run.
const eventsEnv = "BRACKENDALE_EVENTS"

// In random orders of events, spans of 0 included, each number of the state stays within its range.
func TestNumbersStayInRange(t *testing.T) {
	const stepsOfRun, stepsBetweenChecks = 2000, 20
	total, err := strconv.Atoi(os.Getenv(eventsEnv))
	if err != nil {
		total = 50_000
	}
	for seed, events := int64(0), 0; events < total; seed++ {
		run, err := newRandomRun(seed)
		if err != nil {
			t.Fatal(err)
		}
		for stepIndex := range stepsOfRun {
			events += len(run.events)
			if err := run.step(); err != nil {
				t.Fatalf("seed %d, step %d: %v", seed, stepIndex, err)
			}
			run.now += []int64{0, 0, 1, 5 * ms, 15 * ms}[run.rng.Intn(5)]
			run.events = nil
			run.finishAttempts()
			run.addRequests(stepIndex)
			run.addDisturbance()
			run.events = append(run.events, Event{Kind: TimerFired})
			if stepIndex%stepsBetweenChecks == 0 {
				if err := checkNumbers(run.sched); err != nil {
					t.Fatalf("seed %d, step %d: %v", seed, stepIndex, err)
				}
			}
		}
	}
}

func checkNumbers(sched *Scheduler) error {
	state := sched.State()
	if repairs := state.Repair(); len(repairs) > 0 {
		return fmt.Errorf("out of range: %v", repairs)
	}
	_, err := json.Marshal(state)
	return err
}

// A stored state with an impossible number is repaired, and the scheduler that restores it sends.
func TestImpossibleStoredNumbers(t *testing.T) {
	for _, value := range []float64{math.NaN(), math.Inf(1), math.Inf(-1), -1e300, 1e300} {
		for i, r := range routeFloatRanges {
			t.Run(fmt.Sprint(r.name, " ", value), func(t *testing.T) {
				rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1))
				rig.warmUp(1, 8)
				event := rig.request("safe", 1)
				rig.step(event)
				rig.advance(50*ms, rig.outcome(event.ID, OutcomeRejected))
				state := rig.sched.State()
				state.Destinations[0].Route.Floats = slices.Clone(state.Destinations[0].Route.Floats)
				state.Destinations[0].Route.Floats[i] = value
				if repairs := state.Repair(); len(repairs) == 0 {
					t.Fatal("the number was not repaired")
				}
				restored, err := New(testSettings(), 1)
				if err != nil {
					t.Fatal(err)
				}
				if err := restored.RestoreState(state, rig.now); err != nil {
					t.Fatal(err)
				}
				if err := checkNumbers(restored); err != nil {
					t.Fatal(err)
				}
				sent := countActions(restored.Step(rig.now+3000*ms, []Event{{Kind: TimerFired}}), StartAttempt)
				if sent == 0 {
					t.Error("the pending message was not sent")
				}
			})
		}
	}
}

// Any stored state is refused, or repaired so that the scheduler which continues from it has only possible numbers.
func FuzzRestoreState(f *testing.F) {
	rig := newRig(f, testSettings(), liveEndpoint("a", "plain", "z", 1))
	rig.warmUp(1, 8)
	rig.step(rig.request("safe", 1))
	text, err := json.Marshal(rig.sched.State())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(string(text))
	f.Add(strings.ReplaceAll(string(text), "0", "1e300"))
	f.Add(strings.ReplaceAll(string(text), "1", "-1"))
	f.Fuzz(func(t *testing.T, text string) {
		var state State
		if json.Unmarshal([]byte(text), &state) != nil {
			return
		}
		state.Repair()
		sched, err := New(testSettings(), 1)
		if err != nil {
			t.Fatal(err)
		}
		if sched.RestoreState(state, rig.now) != nil {
			return
		}
		if err := checkNumbers(sched); err != nil {
			t.Error(err)
		}
	})
}
