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

// restartScenario is a run in virtual time: senders share one destination with a limit; a share
// of them is killed and restarts after a while with what its clients brought meanwhile.
type restartScenario struct {
	Senders       int
	KilledShare   float64 // share
	AwayUs        int64
	ExtraRestarts int     // further kills, each 300 ms after a restart
	Waves         int     // a second apart
	Limit         float64 // calls a second for each sender
	Demand        float64 // of the limit
	LimitShare    float64 // share of the limit that is left at the restart
	NoReports     bool    // answers have no load report
	Outage        bool    // the destination is unavailable from 2 s before the kill to the restart
	// it rejects all, with a Retry-After, from a second before the kill to two after the restart
	Closed    bool
	Inflation float64 // learned limits and rates are so many times too high
	Seed      int64
}

// restartResult is what happened in the ten seconds from the first restart on.
type restartResult struct {
	tally
	mostInHalfSecond int     // calls in half a second
	earlyCalls       int     // calls before a Retry-After had ended
	slowStartExcess  float64 // most calls in two seconds, against what slow start allows
	unfinished       int     // messages without a final answer at the end
}

// play plays it; change is applied to the learned state of each restarted sender, if there is any.
func (scenario restartScenario) play(t testing.TB, believes bool, change func(*State)) (result restartResult) {
	fleet := newFleet(t, scenario.Senders, scenario.Seed)
	limit := scenario.Limit * float64(scenario.Senders)
	start := fleet.now
	killAt := start + 10_000*ms
	backAt := killAt + scenario.AwayUs
	fleet.noReports, fleet.retryAfterMs = scenario.NoReports, 200
	fleet.limit = func(now int64) float64 {
		if now >= backAt {
			return limit * scenario.LimitShare
		}
		return limit
	}
	if scenario.Outage {
		fleet.outage = [2]int64{killAt - 2000*ms, backAt}
	}
	if scenario.Closed {
		fleet.closed = [2]int64{killAt - 1000*ms, backAt + 2000*ms}
	}
	fleet.traffic(start, backAt+10_000*ms, scenario.Demand*limit, scenario.Seed+2)
	fleet.run(killAt - start)
	killed := max(1, int(scenario.KilledShare*float64(scenario.Senders)))
	saved := make([]State, killed)
	down := func() {
		for i, sender := range fleet.senders[:killed] {
			if sender.sched == nil {
				continue
			}
			if believes {
				saved[i] = sender.sched.LearnedState(100)
			}
			fleet.connections -= len(sender.idleSince)
			fleet.senders[i] = &simSender{retryAfterUntil: sender.retryAfterUntil}
		}
	}
	up := func(from, to int) {
		for i, sender := range fleet.senders[from:to] {
			sched, err := New(fleet.settings, 77_000*(scenario.Seed+1)+int64(from+i)+fleet.now)
			if err != nil {
				t.Fatal(err)
			}
			if believes {
				state := saved[from+i]
				if fleet.now <= backAt+int64(scenario.Waves)*1000*ms && scenario.ExtraRestarts == 0 ||
					fleet.now == backAt { // the first time
					inflateState(&state, scenario.Inflation)
				}
				if change != nil {
					change(&state)
				}
				if err := sched.RestoreLearnedState(state, fleet.now); err != nil {
					t.Fatal(err)
				}
			}
			in := append([]Event{{
				Kind: EndpointsUpdated, Update: UpdateFull,
				Endpoints: []Endpoint{ep("a", "plain", "z", 1)},
			}}, sender.events...)
			fleet.senders[from+i] = &simSender{sched: sched, attempts: map[string]int{}, retryAfterUntil: sender.retryAfterUntil}
			for _, event := range in {
				fleet.deliver(fleet.senders[from+i], event)
			}
		}
	}
	down()
	fleet.run(scenario.AwayUs)
	for k := range scenario.ExtraRestarts {
		fleet.at(backAt+int64(k)*400*ms, func() { up(0, killed) })
		fleet.at(backAt+int64(k)*400*ms+300*ms, down)
	}
	late := int64(scenario.ExtraRestarts) * 400 * ms
	for w := range scenario.Waves {
		fleet.at(backAt+late+int64(w)*1000*ms, func() { up(killed*w/scenario.Waves, killed*(w+1)/scenario.Waves) })
	}
	fleet.run(10_000 * ms)
	result.tally, result.earlyCalls = fleet.total(0, 10), fleet.earlyCalls
	two := 0
	for k := range fleet.bins {
		half := 0
		for _, b := range fleet.bins[max(0, k-4) : k+1] {
			half += b.calls
		}
		result.mostInHalfSecond = max(result.mostInHalfSecond, half)
		two += fleet.bins[k].calls
		if k >= 20 {
			two -= fleet.bins[k-20].calls
		}
		over := float64(min(k+1, 20)) / 10
		s := fleet.settings.Rules
		warm := s.SlowStartInitialShare + (1-s.SlowStartInitialShare)*(float64(k+1)/10-over/2)/(float64(s.SlowStartUs)/1e6)
		n := s.OverloadMultiple * limit * scenario.LimitShare * 1.2 * warm * 2 // its capacity is a fifth above its limit
		result.slowStartExcess = max(result.slowStartExcess, float64(two)/(n+3*math.Sqrt(n)+3))
	}
	fleet.run(12_000 * ms) // the deadlines of all messages are over
	for _, sender := range fleet.senders {
		for _, x := range sender.sched.messages {
			result.unfinished += int(boolToFloat(!x.ended))
		}
	}
	return result
}

// inflateState multiplies the learned limits and rates. The arrival rate is the sender's own and
// decays.
func inflateState(state *State, times float64) {
	for i := range state.Destinations {
		d := &state.Destinations[i]
		rt := newRoute("", nil)
		rt.restore(d.Route)
		rt.bucket.rate = rt.bucket.rate * times
		rt.bucket.rateMark = rt.bucket.rateMark * times
		rt.throughput.successRate = rt.throughput.successRate * times
		rt.throughput.peakSuccessRate = rt.throughput.peakSuccessRate * times
		d.Route = rt.state()
		d.Route.AdvertisedLimit[1] *= times
	}
}

// Seven in ten of many senders are killed at once and restart three seconds later, with what
// their clients brought meanwhile; the limit is 0.7 calls a second for each sender, or one that
// is not advertised. With learned state the busiest half second has at most seven tenths of the
// calls that it has without, and at most one call in a hundred is rejected.
// BRACKENDALE_SIZES=300,1000 plays other numbers.
func TestMassRestartInVirtualTime(t *testing.T) {
	games := []restartScenario{{Senders: 24, Limit: 2.5, NoReports: true}, {Senders: 80, Limit: 0.7}}
	if list := os.Getenv("BRACKENDALE_SIZES"); list != "" {
		games = nil
		for _, word := range strings.Split(list, ",") {
			n, err := strconv.Atoi(word)
			if err != nil {
				t.Fatal(err)
			}
			games = append(games, restartScenario{Senders: n, Limit: 0.7})
		}
	}
	for _, scenario := range games {
		scenario.KilledShare = 0.7
		scenario.AwayUs = 3000 * ms
		scenario.Waves = 1
		scenario.Demand = 0.8
		scenario.LimitShare = 1
		scenario.Inflation = 1
		scenario.Seed = 3
		without, now := scenario.play(t, false, nil), scenario.play(t, true, nil)
		share := func(result restartResult) float64 { return float64(result.rejected) / float64(max(1, result.calls)) }
		t.Logf("%d senders, limit %.0f in half a second, advertised: %v: at most %d calls, "+
			"with learned state %d; rejected %.3f, with learned state %.3f", scenario.Senders,
			scenario.Limit*float64(scenario.Senders)/2, !scenario.NoReports, without.mostInHalfSecond,
			now.mostInHalfSecond, share(without), share(now))
		if float64(now.mostInHalfSecond) > 0.7*float64(without.mostInHalfSecond) || share(now) > 0.01 ||
			share(without) < 0.04 {
			t.Errorf("%d senders: learned state is of no use", scenario.Senders)
		}
	}
}

// In any scenario a Retry-After is kept over restarts, a destination in slow start is not
// overloaded, each message gets its final answer, and a sender with learned state, be it ten
// times wrong, does not do much worse than one without.
func TestRestartsOfAnyKind(t *testing.T) {
	if err := flag.Set("rapid.seed", cmp.Or(os.Getenv("BRACKENDALE_SEED"), "1")); err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		scenario := drawScenario(rt)
		without, now := scenario.play(t, false, nil), scenario.play(t, true, nil)
		if now.earlyCalls > 0 {
			rt.Errorf("%d calls before a Retry-After had ended", now.earlyCalls)
		}
		if most := map[bool]float64{false: 1, true: 1.5}[scenario.Inflation > 1]; scenario.Outage &&
			now.slowStartExcess > max(most, without.slowStartExcess) {
			rt.Errorf("%.2f times the calls that a destination in slow start takes, %.2f without learned state",
				now.slowStartExcess, without.slowStartExcess)
		}
		if now.unfinished > 0 {
			rt.Errorf("%d messages without an end", now.unfinished)
		}
		if scenario.Outage { // without learned state the senders overload a destination in slow start
			return
		}
		least, more := without.delivered*7/10-10, now.calls/10+15
		if scenario.Inflation != 1 {
			least, more = without.delivered/2-10, now.calls/4+15
		}
		if scenario.Closed { // for so long that it counts as unavailable
			least = without.delivered/3 - 10
		}
		if now.delivered < least || now.rejected > without.rejected+more {
			rt.Errorf("%d delivered and %d of %d rejected, %d and %d of %d without learned state", now.delivered,
				now.rejected, now.calls,
				without.delivered, without.rejected, without.calls)
		}
	})
}

// The scenarios above notice learned state that lacks a Retry-After or an outage.
func TestBrokenLearnedStateIsCaught(t *testing.T) {
	each := func(change func(rt *route)) func(*State) {
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
		Senders: 60, KilledShare: 0.97, AwayUs: 1000 * ms, Waves: 1, Limit: 1, Demand: 1, LimitShare: 1, Inflation: 1,
		Seed: 1, Closed: true,
	}
	if n := scenario.play(t, true, each(func(rt *route) {
		rt.retryAfterUntil, rt.health.unavailable = 0,
			false
	})).earlyCalls; n == 0 {
		t.Error("a forgotten wait was not seen")
	}
	if n := scenario.play(t, true, nil).earlyCalls; n != 0 {
		t.Error("calls before a Retry-After had ended:", n)
	}
	scenario.Closed, scenario.Outage, scenario.NoReports = false, true, true
	forgetful, with := scenario.play(t, true, each(func(rt *route) {
		rt.health.unavailable, rt.throughput.successRate, rt.bucket.limited, rt.latency.samples = false, 0, false, 0
		rt.lastSendAt, rt.lastOutcomeAt, rt.health.lastFailureAt = 0, 0, 0
	})).slowStartExcess, scenario.play(t, true, nil).slowStartExcess
	if with > 1 || forgetful <= 1 {
		t.Errorf("%.2f times what a destination in slow start takes, and %.2f where the outage is forgotten", with, forgetful)
	}
}

// drawScenario draws any scenario of the kind.
func drawScenario(t *rapid.T) restartScenario {
	return restartScenario{
		Senders:       rapid.SampledFrom([]int{6, 24, 60}).Draw(t, "senders"),
		KilledShare:   rapid.SampledFrom([]float64{0.43, 0.7, 0.97}).Draw(t, "killed"),
		AwayUs:        rapid.Int64Range(50, 8000).Draw(t, "away ms") * ms,
		ExtraRestarts: rapid.SampledFrom([]int{0, 0, 1, 10}).Draw(t, "times"),
		Waves:         rapid.IntRange(1, 3).Draw(t, "waves"), Limit: rapid.SampledFrom([]float64{0.4, 1, 3}).Draw(t, "limit"),
		Demand:     rapid.Float64Range(0.3, 1.2).Draw(t, "demand"),
		LimitShare: rapid.SampledFrom([]float64{1, 1, 0.5}).Draw(t, "lowered"),
		NoReports:  rapid.Bool().Draw(t, "mute"), Outage: rapid.Bool().Draw(t, "out"), Closed: rapid.Bool().Draw(t, "shut"),
		Inflation: rapid.SampledFrom([]float64{1, 1, 0.1, 10}).Draw(t, "lie"),
		Seed:      rapid.Int64Range(1, 1000).Draw(t, "seed"),
	}
}
