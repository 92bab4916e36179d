package scheduler

import (
	"cmp"
	"flag"
	"math"
	"os"
	"strconv"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// restartScenario is a simulated run in virtual time. Senders share one destination with a limit. After ten
// seconds a share of them is killed, and later restarts with the messages that its clients have submitted in
// between.
type restartScenario struct {
	Senders        int
	KilledShare    float64 // share of the senders that are killed
	DowntimeUs     int64   // from the kill to the first restart
	ExtraRestarts  int     // number of restarts that end with another kill 300 ms later
	Waves          int     // number of groups that restart one second apart
	LimitPerSender float64 // calls per second, for each sender
	DemandShare    float64 // arrival rate of messages, relative to the limit
	LimitShare     float64 // share of the limit that remains after the restart
	NoReports      bool    // responses have no load report
	Outage         bool    // the destination is unavailable from 2 s before the kill to the restart
	// the destination rejects all calls, with a Retry-After, from 1 s before the kill to 2 s after the restart
	RejectsAll bool
	Inflation  float64 // factor on the learned limits and rates, to make them wrong
	Seed       int64
}

// restartResult is the result of the ten seconds after the first restart.
type restartResult struct {
	tally
	maxCallsInHalfSecond int     // maximum number of calls in half a second
	earlyCalls           int     // number of calls before the end of a Retry-After
	slowStartExcess      float64 // maximum number of calls in 2 s, relative to the slow-start budget and its variation
	unfinished           int     // number of messages without a final answer at the end of the run
}

// simulate runs the scenario, with or without learned state. changeState, unless it is nil, is applied to the
// learned state of each restarted sender.
func (scenario restartScenario) simulate(
	t testing.TB, useLearnedState bool, changeState func(*State),
) (result restartResult) {
	fleet := newFleet(t, scenario.Senders, scenario.Seed)
	limit := scenario.LimitPerSender * float64(scenario.Senders)
	start := fleet.now
	stoppedAt := start + 10_000*ms
	restartedAt := stoppedAt + scenario.DowntimeUs
	fleet.noReports, fleet.retryAfterMs = scenario.NoReports, 200
	fleet.limit = func(now int64) float64 {
		if now >= restartedAt {
			return limit * scenario.LimitShare
		}
		return limit
	}
	if scenario.Outage {
		fleet.outage = [2]int64{stoppedAt - 2000*ms, restartedAt}
	}
	if scenario.RejectsAll {
		fleet.rejectsAll = [2]int64{stoppedAt - 1000*ms, restartedAt + 2000*ms}
	}
	fleet.addRequests(start, restartedAt+10_000*ms, scenario.DemandShare*limit, scenario.Seed+2)
	fleet.run(stoppedAt - start)
	killed := max(1, int(scenario.KilledShare*float64(scenario.Senders)))
	saved := make([]State, killed)
	kill := func() {
		for i, sender := range fleet.senders[:killed] {
			if sender.sched == nil {
				continue
			}
			if useLearnedState {
				saved[i] = sender.sched.LearnedState(100)
			}
			fleet.connections -= len(sender.idleSince)
			fleet.senders[i] = &simSender{retryAfterUntil: sender.retryAfterUntil}
		}
	}
	restart := func(firstIndex, endIndex int) {
		for i, sender := range fleet.senders[firstIndex:endIndex] {
			sched, err := New(fleet.settings, 77_000*(scenario.Seed+1)+int64(firstIndex+i)+fleet.now)
			if err != nil {
				t.Fatal(err)
			}
			if useLearnedState {
				state := saved[firstIndex+i]
				if fleet.now <= restartedAt+int64(scenario.Waves)*1000*ms && scenario.ExtraRestarts == 0 ||
					fleet.now == restartedAt { // the first restart
					inflateState(&state, scenario.Inflation)
				}
				if changeState != nil {
					changeState(&state)
				}
				if err := sched.RestoreLearnedState(state, fleet.now); err != nil {
					t.Fatal(err)
				}
			}
			input := append([]Event{{
				Kind: EndpointsUpdated, Update: UpdateFull,
				Endpoints: []Endpoint{liveEndpoint("a", "plain", "z", 1)},
			}}, sender.events...)
			fleet.senders[firstIndex+i] = &simSender{
				sched: sched, attempts: map[string]int{}, retryAfterUntil: sender.retryAfterUntil,
			}
			for _, event := range input {
				fleet.deliver(fleet.senders[firstIndex+i], event)
			}
		}
	}
	kill()
	fleet.run(scenario.DowntimeUs)
	for index := range scenario.ExtraRestarts {
		fleet.schedule(restartedAt+int64(index)*400*ms, func() { restart(0, killed) })
		fleet.schedule(restartedAt+int64(index)*400*ms+300*ms, kill)
	}
	extraUs := int64(scenario.ExtraRestarts) * 400 * ms
	for wave := range scenario.Waves {
		fleet.schedule(restartedAt+extraUs+int64(wave)*1000*ms,
			func() { restart(killed*wave/scenario.Waves, killed*(wave+1)/scenario.Waves) })
	}
	fleet.run(10_000 * ms)
	result.tally, result.earlyCalls = fleet.total(0, 10), fleet.earlyCalls
	callsInTwoSeconds := 0
	for index := range fleet.bins {
		callsInHalfSecond := 0
		for _, bin := range fleet.bins[max(0, index-4) : index+1] {
			callsInHalfSecond += bin.calls
		}
		result.maxCallsInHalfSecond = max(result.maxCallsInHalfSecond, callsInHalfSecond)
		callsInTwoSeconds += fleet.bins[index].calls
		if index >= 20 {
			callsInTwoSeconds -= fleet.bins[index-20].calls
		}
		windowSeconds := float64(min(index+1, 20)) / 10
		rules := fleet.settings.Rules
		acceptedShare := rules.SlowStartInitialShare +
			(1-rules.SlowStartInitialShare)*(float64(index+1)/10-windowSeconds/2)/(float64(rules.SlowStartUs)/1e6)
		// The capacity is a fifth above the limit.
		budget := rules.OverloadMultiple * limit * scenario.LimitShare * 1.2 * acceptedShare * 2
		result.slowStartExcess = max(result.slowStartExcess, float64(callsInTwoSeconds)/(budget+3*math.Sqrt(budget)+3))
	}
	fleet.run(12_000 * ms) // until after the deadlines of all messages
	for _, sender := range fleet.senders {
		for _, msg := range sender.sched.messages {
			result.unfinished += int(boolToFloat(!msg.ended))
		}
	}
	return result
}

// inflateState multiplies the learned limits and rates by a factor. It leaves out the arrival rate, which the
// sender measures itself and which decays.
func inflateState(state *State, factor float64) {
	for i := range state.Destinations {
		dest := &state.Destinations[i]
		rt := newRoute("", nil)
		rt.restore(dest.Route)
		rt.bucket.rate = rt.bucket.rate * factor
		rt.bucket.rateMark = rt.bucket.rateMark * factor
		rt.throughput.successRate = rt.throughput.successRate * factor
		rt.throughput.peakSuccessRate = rt.throughput.peakSuccessRate * factor
		dest.Route = rt.state()
		dest.Route.AdvertisedLimit[1] *= factor
	}
}

// A mass restart: seven in ten of many senders are killed at once and restart three seconds later, with the
// messages that their clients have submitted in between. The limit is 0.7 calls per second for each sender, or
// 2.5 and not advertised. With learned state the maximum number of calls in half a second must be at most seven
// tenths of that without, and at most one call in a hundred may be rejected. BRACKENDALE_SIZES=300,1000 runs the
// test with these numbers of senders instead.
func TestMassRestartInVirtualTime(t *testing.T) {
	scenarios := []restartScenario{{Senders: 24, LimitPerSender: 2.5, NoReports: true}, {Senders: 80, LimitPerSender: 0.7}}
	if list := os.Getenv("BRACKENDALE_SIZES"); list != "" {
		scenarios = nil
		for _, field := range strings.Split(list, ",") {
			senders, err := strconv.Atoi(field)
			if err != nil {
				t.Fatal(err)
			}
			scenarios = append(scenarios, restartScenario{Senders: senders, LimitPerSender: 0.7})
		}
	}
	for _, scenario := range scenarios {
		scenario.KilledShare = 0.7
		scenario.DowntimeUs = 3000 * ms
		scenario.Waves = 1
		scenario.DemandShare = 0.8
		scenario.LimitShare = 1
		scenario.Inflation = 1
		scenario.Seed = 3
		without, with := scenario.simulate(t, false, nil), scenario.simulate(t, true, nil)
		rejectedShare := func(result restartResult) float64 {
			return float64(result.rejected) / float64(max(1, result.calls))
		}
		t.Logf("%d senders, limit %.0f in half a second, advertised: %v; maximum %d calls without learned state, "+
			"%d with it; share of rejected calls %.3f without, %.3f with it", scenario.Senders,
			scenario.LimitPerSender*float64(scenario.Senders)/2, !scenario.NoReports, without.maxCallsInHalfSecond,
			with.maxCallsInHalfSecond, rejectedShare(without), rejectedShare(with))
		if float64(with.maxCallsInHalfSecond) > 0.7*float64(without.maxCallsInHalfSecond) || rejectedShare(with) > 0.01 ||
			rejectedShare(without) < 0.04 {
			t.Errorf("%d senders: learned state does not reduce the calls or rejections enough", scenario.Senders)
		}
	}
}

// In any scenario a Retry-After applies across restarts, a destination in slow start is not overloaded, and each
// message gets its final answer. Senders with learned state, even if it is wrong by a factor of ten, do not
// deliver much less than senders without. BRACKENDALE_SEED sets the seed.
func TestRestartsOfAnyKind(t *testing.T) {
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("BRACKENDALE_SEED"), "1")); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		scenario := drawScenario(rt)
		without, with := scenario.simulate(t, false, nil), scenario.simulate(t, true, nil)
		if with.earlyCalls > 0 {
			rt.Errorf("%d calls before the end of a Retry-After", with.earlyCalls)
		}
		if maxExcess := map[bool]float64{false: 1, true: 1.5}[scenario.Inflation > 1]; scenario.Outage &&
			with.slowStartExcess > max(maxExcess, without.slowStartExcess) {
			rt.Errorf("%.2f times the slow-start budget, %.2f times without learned state",
				with.slowStartExcess, without.slowStartExcess)
		}
		if with.unfinished > 0 {
			rt.Errorf("%d messages without a final answer", with.unfinished)
		}
		if scenario.Outage { // without learned state the senders overload a destination in slow start
			return
		}
		minDelivered, maxMoreRejected := without.delivered*7/10-10, with.calls/10+15
		if scenario.Inflation != 1 {
			minDelivered, maxMoreRejected = without.delivered/2-10, with.calls/4+15
		}
		if scenario.RejectsAll { // its Retry-After is so long that it counts as unavailable
			minDelivered = without.delivered/3 - 10
		}
		if with.delivered < minDelivered || with.rejected > without.rejected+maxMoreRejected {
			rt.Errorf("%d delivered, %d of %d calls rejected; without learned state %d and %d of %d", with.delivered,
				with.rejected, with.calls,
				without.delivered, without.rejected, without.calls)
		}
	})
}

// The checks above must detect learned state that lacks a Retry-After or an outage.
func TestScenariosDetectBrokenLearnedState(t *testing.T) {
	changeRoutes := func(change func(rt *route)) func(*State) {
		return func(state *State) {
			for i := range state.Destinations {
				rt := newRoute("", nil)
				rt.restore(state.Destinations[i].Route)
				change(rt)
				state.Destinations[i].Route = rt.state()
			}
		}
	}
	scenario := restartScenario{
		Senders: 60, KilledShare: 0.97, DowntimeUs: 1000 * ms, Waves: 1, LimitPerSender: 1, DemandShare: 1,
		LimitShare: 1, Inflation: 1, Seed: 1, RejectsAll: true,
	}
	if calls := scenario.simulate(t, true, changeRoutes(func(rt *route) {
		rt.retryAfterUntil, rt.health.unavailable = 0,
			false
	})).earlyCalls; calls == 0 {
		t.Error("learned state without its Retry-After was not detected")
	}
	if calls := scenario.simulate(t, true, nil).earlyCalls; calls != 0 {
		t.Error("calls before the end of a Retry-After, with complete learned state:", calls)
	}
	scenario.RejectsAll, scenario.Outage, scenario.NoReports = false, true, true
	broken, intact := scenario.simulate(t, true, changeRoutes(func(rt *route) {
		rt.health.unavailable, rt.throughput.successRate, rt.bucket.limited, rt.latency.samples = false, 0, false, 0
		rt.lastSendAt, rt.lastOutcomeAt, rt.health.lastFailureAt = 0, 0, 0
	})).slowStartExcess, scenario.simulate(t, true, nil).slowStartExcess
	if intact > 1 || broken <= 1 {
		t.Errorf("%.2f times the slow-start budget with learned state, %.2f times where it lacks the outage", intact, broken)
	}
}

// drawScenario draws a random scenario.
func drawScenario(t *rapid.T) restartScenario {
	return restartScenario{
		Senders:        rapid.SampledFrom([]int{6, 24, 60}).Draw(t, "senders"),
		KilledShare:    rapid.SampledFrom([]float64{0.43, 0.7, 0.97}).Draw(t, "killed"),
		DowntimeUs:     rapid.Int64Range(50, 8000).Draw(t, "away ms") * ms,
		ExtraRestarts:  rapid.SampledFrom([]int{0, 0, 1, 10}).Draw(t, "times"),
		Waves:          rapid.IntRange(1, 3).Draw(t, "waves"),
		LimitPerSender: rapid.SampledFrom([]float64{0.4, 1, 3}).Draw(t, "limit"),
		DemandShare:    rapid.Float64Range(0.3, 1.2).Draw(t, "demand"),
		LimitShare:     rapid.SampledFrom([]float64{1, 1, 0.5}).Draw(t, "lowered"),
		NoReports:      rapid.Bool().Draw(t, "mute"),
		Outage:         rapid.Bool().Draw(t, "out"),
		RejectsAll:     rapid.Bool().Draw(t, "shut"),
		Inflation:      rapid.SampledFrom([]float64{1, 1, 0.1, 10}).Draw(t, "lie"),
		Seed:           rapid.Int64Range(1, 1000).Draw(t, "seed"),
	}
}
