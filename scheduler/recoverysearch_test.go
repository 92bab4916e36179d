package scheduler

import (
	"fmt"
	"math"
	"math/rand"
	"os"
	"strconv"
	"strings"
	"testing"
)

// returnPlay is an outage and a return of one destination that many senders share, in virtual time.
type returnPlay struct {
	senders        int
	rate           float64 // messages per second and sender
	load           float64 // demand over the capacity
	outcome        Outcome // of calls in the outage
	successShare   float64 // share of the calls in the outage that succeed
	outageUs       int64
	clump          float64 // additional demand around the return, as a multiple of the demand
	refuses        bool    // the destination refuses calls above its capacity
	reports        bool    // its answers tell a limit
	restartedShare float64 // share of the senders that restart with learned state
	restartAfterUs int64   // after the begin of the outage
	errorShare     float64 // share of calls that fail without an outage
	seed           int64
}

// returnResult is what the destination's record shows.
type returnResult struct {
	worst         float64 // calls in the worst window, as a share of what the destination can take
	worstAt       float64 // end of that window, in seconds after the return
	worstInformed float64 // share of its calls from senders that knew of the outage
	broken        bool    // more than it can take, over two thirds of it from senders that knew of the outage
	served        float64 // deliveries from the return on, as a share of the demand
}

const (
	returnWarmUpUs      = 20_000 * ms
	returnClumpLeadUs   = 2_000 * ms
	returnClumpUs       = 4_000 * ms
	returnObservationUs = 20_000 * ms
	informedShareOfRule = 2.0 / 3
)

// drawReturn draws a random play.
func drawReturn(seed int64) returnPlay {
	rng := rand.New(rand.NewSource(seed))
	play := returnPlay{
		seed:     seed,
		senders:  []int{3, 5, 8, 15, 30, 49, 90, 300, 900}[rng.Intn(9)],
		load:     []float64{0.5, 0.8, 1, 1.2}[rng.Intn(4)],
		outcome:  []Outcome{OutcomeConnectFailed, OutcomeFailed, OutcomeTimedOut, OutcomeRejected, OutcomeReset}[rng.Intn(5)],
		outageUs: (1200 + rng.Int63n(12_000)) * ms,
		clump:    []float64{0, 0, 0.5, 1.5, 4.5}[rng.Intn(5)],
		refuses:  rng.Intn(2) == 0,
		reports:  rng.Intn(4) == 0,
	}
	play.rate = math.Exp(rng.Float64()*math.Log(20)) * 3 / math.Sqrt(float64(play.senders)) // thin to thick traffic
	if rng.Intn(3) == 0 {
		play.outcome, play.successShare = OutcomeFailed, 0.2
	}
	if rng.Intn(4) == 0 {
		play.restartedShare = []float64{0.3, 1}[rng.Intn(2)]
		play.restartAfterUs = rng.Int63n(play.outageUs + 2_000*ms)
	}
	return play
}

// String returns a play in one line.
func (play returnPlay) String() string {
	return fmt.Sprintf("seed %d: %d senders at %.2f/s, load %.1f, %s (%.1f succeed) for %.1f s, clump %.1f, refuses %v, "+
		"reports %v, restarted %.1f", play.seed, play.senders, play.rate, play.load, play.outcome, play.successShare,
		float64(play.outageUs)/1e6, play.clump, play.refuses, play.reports, play.restartedShare)
}

// presentCapacity returns the share of its capacity that a destination has some seconds after its return.
func presentCapacity(rules *Rules, seconds float64) float64 {
	elapsed := seconds / (float64(rules.SlowStartUs) / 1e6)
	return min(1, rules.SlowStartInitialShare+(1-rules.SlowStartInitialShare)*max(0, elapsed))
}

// simulate runs the play until some time after the return.
func (play returnPlay) simulate(t testing.TB) returnResult {
	fleet := newFleet(t, play.senders, play.seed)
	rules := &fleet.settings.Rules
	demand := play.rate * float64(play.senders)
	capacity := demand / play.load
	start := fleet.now
	outageAt := start + returnWarmUpUs
	returnAt := outageAt + play.outageUs
	fleet.noReports, fleet.errorShare = !play.reports, play.errorShare
	fleet.outageOutcome, fleet.outageSuccessShare = play.outcome, play.successShare
	fleet.outage = [2]int64{outageAt, returnAt}
	if play.refuses {
		fleet.limit = func(now int64) float64 {
			if now < returnAt {
				return capacity
			}
			return capacity * presentCapacity(rules, float64(now-returnAt)/1e6)
		}
	}
	endAt := returnAt + returnObservationUs
	fleet.addRequests(start, endAt, demand, play.seed+2)
	if play.clump > 0 {
		clumpAt := returnAt - returnClumpLeadUs
		fleet.addRequests(clumpAt, clumpAt+returnClumpUs, demand*play.clump, play.seed+3)
	}
	if play.restartedShare > 0 {
		fleet.schedule(outageAt+play.restartAfterUs, func() { play.restart(t, fleet) })
	}
	fleet.run(returnAt - start)
	before := fleet.now
	fleet.run(endAt - before)
	return judgeReturn(fleet, rules, capacity, demand*(1+play.clump*0.1))
}

// restart replaces senders by new ones with their learned state.
func (play returnPlay) restart(t testing.TB, fleet *fleet) {
	for i := range int(play.restartedShare * float64(play.senders)) {
		old := fleet.senders[i]
		sched, err := New(fleet.settings, 991*(play.seed+1)+int64(i))
		if err != nil {
			t.Fatal(err)
		}
		if err := sched.RestoreLearnedState(old.sched.LearnedState(100), fleet.now); err != nil {
			t.Fatal(err)
		}
		fleet.connections -= len(old.idleSince)
		fleet.senders[i] = &simSender{sched: sched, attempts: map[string]int{}, noticedOutage: old.noticedOutage}
		fleet.deliver(fleet.senders[i], Event{
			Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: []Endpoint{liveEndpoint("a", "plain", "z", 1)},
		})
	}
}

// judgeReturn judges the windows of the slow start.
func judgeReturn(fleet *fleet, rules *Rules, capacity, demand float64) (result returnResult) {
	windowBins := int(rules.OverloadWindowUs / (100 * ms))
	slowStartBins := int(rules.SlowStartUs / (100 * ms))
	delivered := 0
	for index := range fleet.bins {
		delivered += fleet.bins[index].delivered
		if index >= slowStartBins {
			continue
		}
		first := max(0, index+1-windowBins)
		calls, informed := 0, 0
		for _, bin := range fleet.bins[first : index+1] {
			calls += bin.calls
			informed += bin.informed
		}
		middle := float64(first+windowBins/2) / 10
		budget := rules.OverloadMultiple * capacity * presentCapacity(rules, middle) * float64(rules.OverloadWindowUs) / 1e6
		allowance := budget + 2*math.Sqrt(budget) + 2
		if budget < 30 {
			allowance = budget + 3*math.Sqrt(budget) + 3
		}
		share, informedShare := float64(calls)/allowance, float64(informed)/float64(max(1, calls))
		broken := share > 1 && informedShare > informedShareOfRule
		if broken && !result.broken || broken == result.broken && share > result.worst {
			result.worst, result.worstAt, result.worstInformed = share, float64(index+1)/10, informedShare
		}
		result.broken = result.broken || broken
	}
	result.served = float64(delivered) / (demand * float64(returnObservationUs) / 1e6)
	return result
}

// A destination falls again under the calls of senders that knew of its outage, whatever the outage, the load, the
// traffic and the number of senders. BRACKENDALE_RETURNS sets the number of plays, and logs each.
func TestReturnsOverloadedByInformedSenders(t *testing.T) {
	plays := 60
	text := os.Getenv("BRACKENDALE_RETURNS")
	if text != "" {
		count, err := strconv.Atoi(text)
		if err != nil {
			t.Fatal(err)
		}
		plays = count
	}
	served, broken := 0.0, 0
	for seed := range int64(plays) {
		play := drawReturn(seed)
		result := play.simulate(t)
		served += result.served
		if text != "" {
			t.Logf("%v: worst %.2f at %.1f s, %.2f informed, broken %v, served %.3f", play, result.worst, result.worstAt,
				result.worstInformed, result.broken, result.served)
		}
		if result.broken {
			broken++
			t.Errorf("%v: %.2f of what the destination can take, %.1f s after its return, %.2f by informed senders", play,
				result.worst, result.worstAt, result.worstInformed)
		}
	}
	t.Logf("%d of %d broken, mean served share %.4f", broken, plays, served/float64(plays))
}

// drawQuiet draws a play without an outage, in which some calls fail or are refused all the same.
func drawQuiet(seed int64) returnPlay {
	play := drawReturn(seed)
	play.outageUs, play.clump, play.restartedShare, play.successShare = 0, 0, 0, 0
	play.errorShare = []float64{0, 0.01, 0.05}[seed%3]
	play.refuses = seed%2 == 0
	return play
}

// minServedWithFewErrors is the share of messages that are delivered where at most one call in a hundred fails.
const minServedWithFewErrors = 0.9

// Pacing after single failures must not cost deliveries where there is no outage. BRACKENDALE_RETURNS sets the number
// of plays, and logs each.
func TestDeliveriesWithoutAnOutage(t *testing.T) {
	plays := 12
	text := os.Getenv("BRACKENDALE_RETURNS")
	if text != "" {
		plays, _ = strconv.Atoi(text)
	}
	served := map[string][2]float64{}
	for seed := range int64(plays) {
		play := drawQuiet(seed)
		result := play.simulate(t)
		key := fmt.Sprintf("errors %.2f refuses %v load %.1f", play.errorShare, play.refuses, play.load)
		sum := served[key]
		served[key] = [2]float64{sum[0] + result.served, sum[1] + 1}
		if text != "" {
			t.Logf("%v: served %.3f errors %.2f", play, result.served, play.errorShare)
		}
	}
	for key, sum := range served {
		few := !strings.Contains(key, "refuses true") && !strings.Contains(key, "errors 0.05")
		if few && sum[0]/sum[1] < minServedWithFewErrors {
			t.Errorf("quiet %s: mean served share %.4f, at least %.2f is expected", key, sum[0]/sum[1], minServedWithFewErrors)
		}
		t.Logf("quiet %s: mean served share %.4f of %.0f plays", key, sum[0]/sum[1], sum[1])
	}
}
