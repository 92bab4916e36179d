package scheduler

import (
	"fmt"
	"math"
	"os"
	"testing"
)

// outageScenario is a simulated run in virtual time. Senders share one destination that has an outage and then recovers
// in slow start. A share of the senders restarts in the middle of the outage, half of them with learned state.
type outageScenario struct {
	senders        int
	limitPerSender float64 // calls per second, for each sender
	demandShare    float64 // arrival rate of messages, relative to the limit
	outageOutcome  Outcome // outcome of calls in the outage; empty: OutcomeConnectFailed
	outageUs       int64
	restartedShare float64 // share of the senders that restart
	noReports      bool    // responses have no load report
	seed           int64
}

// outageResult is the result of the time after the outage.
type outageResult struct {
	// maximum number of calls in an overload window, relative to the slow-start budget N and its variation by chance:
	// N + 2 x root of N + 2
	maxBudgetShare float64
	// share of these calls from senders that had noticed the outage, also in their previous incarnation
	informedShare    float64
	maxBudgetShareAt float64 // end of that window, in seconds after the outage
	firstDelivery    float64 // seconds from the end of the outage to the first delivery
	servedShare      float64 // deliveries from 20 to 30 s after the outage, relative to the messages or the limit
}

// simulate runs the scenario until 30 s after the outage.
func (scenario outageScenario) simulate(t testing.TB) (result outageResult) {
	fleet := newFleet(t, scenario.senders, scenario.seed)
	limit := scenario.limitPerSender * float64(scenario.senders)
	capacity := limit * 1.2 // a destination has at least a fifth more than its limit
	fleet.noReports = scenario.noReports
	fleet.outageOutcome = scenario.outageOutcome
	fleet.rejectionsUseLimit = true
	fleet.retryAfterMs = 200
	fleet.limit = func(int64) float64 { return limit }
	start := fleet.now
	outageAt := start + 8_000*ms
	recoveryAt := outageAt + scenario.outageUs
	fleet.outage = [2]int64{outageAt, recoveryAt}
	fleet.addRequests(start, recoveryAt+30_000*ms, scenario.demandShare*limit, scenario.seed+2)
	fleet.run(outageAt + scenario.outageUs/2 - start)
	for i := range int(scenario.restartedShare * float64(scenario.senders)) {
		sender := fleet.senders[i]
		sched, err := New(fleet.settings, 991*(scenario.seed+1)+int64(i))
		if err != nil {
			t.Fatal(err)
		}
		if i%2 == 0 {
			if err := sched.RestoreLearnedState(sender.sched.LearnedState(100), fleet.now); err != nil {
				t.Fatal(err)
			}
		}
		fleet.connections -= len(sender.idleSince)
		fleet.senders[i] = &simSender{
			sched: sched, attempts: map[string]int{}, noticedOutage: sender.noticedOutage && i%2 == 0,
		}
		fleet.deliver(fleet.senders[i], Event{
			Kind: EndpointsUpdated, Update: UpdateFull,
			Endpoints: []Endpoint{liveEndpoint("a", "plain", "z", 1)},
		})
	}
	fleet.run(recoveryAt - fleet.now)
	fleet.run(30_000 * ms)
	rules := fleet.settings.Rules
	windowBins := int(rules.OverloadWindowUs / (100 * ms))
	callsInWindow, informedInWindow := 0, 0
	slowStartEnd := int(rules.SlowStartUs/(100*ms)) + 1
	for index := range min(slowStartEnd, len(fleet.bins)) {
		if callsInWindow, informedInWindow = callsInWindow+fleet.bins[index].calls,
			informedInWindow+fleet.bins[index].informed; index >= windowBins {
			callsInWindow, informedInWindow = callsInWindow-fleet.bins[index-windowBins].calls,
				informedInWindow-fleet.bins[index-windowBins].informed
		}
		windowStart, windowEnd := max(0, float64(index+1-windowBins)/10), float64(index+1)/10
		acceptedShare := rules.SlowStartInitialShare +
			(1-rules.SlowStartInitialShare)*min(1, (windowStart+windowEnd)/2/(float64(rules.SlowStartUs)/1e6))
		// The budget is that of a whole window, even if less time has passed since the outage.
		budget := rules.OverloadMultiple * capacity * acceptedShare * float64(rules.OverloadWindowUs) / 1e6
		if budgetShare := float64(callsInWindow) / (budget + 2*math.Sqrt(budget) + 2); budgetShare > result.maxBudgetShare {
			result.maxBudgetShare, result.maxBudgetShareAt, result.informedShare = budgetShare, windowEnd,
				float64(informedInWindow)/float64(callsInWindow)
		}
	}
	result.firstDelivery = math.Inf(1)
	for index, bin := range fleet.bins {
		if bin.delivered > 0 {
			result.firstDelivery = float64(index) / 10
			break
		}
	}
	result.servedShare = float64(fleet.total(20, 30).delivered) / (10 * limit * min(1, scenario.demandShare))
	return result
}

// checkSlowStartBudget fails the test if the sum of all calls exceeded the slow-start budget and its variation by
// chance.
func checkSlowStartBudget(t *testing.T, name string, seed int64, got outageResult) {
	t.Helper()
	// The first call of each sender that has not noticed the outage cannot be avoided, so that a tenth more is allowed
	// where less than two thirds of the calls come from senders that have.
	if maxShare := 1 + 0.1*boolToFloat(got.informedShare < 2.0/3); got.maxBudgetShare > maxShare {
		t.Errorf("%s, seed %d: %.2f times the budget and its variation, %.1f s after the outage, %.2f by informed senders",
			name, seed, got.maxBudgetShare, got.maxBudgetShareAt, got.informedShare)
	}
}

// 900 senders all restart in an outage in which calls time out and which lasts about as long as their timeouts. The sum
// of their calls exceeds the slow-start budget after the outage.
func TestSlowStartOf900RestartedSenders(t *testing.T) {
	const senders, seed = 900, 0
	got := outageScenario{
		senders: senders, limitPerSender: 6 / math.Sqrt(senders), demandShare: 0.8, outageOutcome: OutcomeTimedOut,
		outageUs: 10_000 * ms, restartedShare: 1, noReports: true, seed: seed,
	}.simulate(t)
	checkSlowStartBudget(t, "900 senders, all restarted", seed, got)
}

// With any number of senders, kind of outage and share of restarts, the sum of the calls after the outage must stay
// within the slow-start budget and its variation by chance, and 20 s later the messages must be delivered normally.
// BRACKENDALE_RAMP selects more numbers of senders.
func TestSlowStartOfAllSendersIsWithinChance(t *testing.T) {
	sizes := []int{3, 20, 30, 300}
	if os.Getenv("BRACKENDALE_RAMP") != "" { // takes minutes; not part of the normal test run
		sizes = []int{2, 3, 5, 10, 20, 29, 30, 80, 300, 900}
	}
	for _, senderCount := range sizes {
		for _, outcome := range []Outcome{"", OutcomeFailed, OutcomeTimedOut} {
			for _, restarted := range []float64{0, 0.4, 1} {
				for _, withoutReports := range []bool{false, true} {
					perSender := 6 / math.Sqrt(float64(senderCount)) // the more senders, the fewer calls each
					if senderCount == 300 && (testing.Short() || restarted == 0.4) {
						continue
					}
					name := fmt.Sprintf("%d senders, out by %q, %v restarted, mute %v", senderCount, outcome, restarted,
						withoutReports)
					for seed := range int64(2) {
						got := outageScenario{
							senders: senderCount, limitPerSender: perSender, demandShare: 0.8, outageOutcome: outcome, outageUs: 10_000 * ms,
							restartedShare: restarted,
							noReports:      withoutReports, seed: seed,
						}.simulate(t)
						if os.Getenv("BRACKENDALE_RAMP") != "" {
							t.Logf("%s, seed %d: %.2f times the budget at %.1f s (%.2f informed), first delivery %.1f s, served %.2f",
								name, seed, got.maxBudgetShare, got.maxBudgetShareAt, got.informedShare, got.firstDelivery,
								got.servedShare)
						}
						checkSlowStartBudget(t, name, seed, got)
						if got.servedShare < 0.7 {
							t.Errorf("%s, seed %d: only %.2f of the possible deliveries, 20 to 30 s after the outage", name, seed,
								got.servedShare)
						}
					}
				}
			}
		}
	}
}
