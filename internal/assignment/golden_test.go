package assignment

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"testing"
	"time"

	"brackendale/internal/testing/golden"
)

// TestGoldenBehaviour hashes the outputs of seeded sequences of inputs.
func TestGoldenBehaviour(t *testing.T) {
	var out bytes.Buffer
	for seed := range int64(6) {
		golden.Fingerprint(&out, fmt.Sprintf("assign-%d", seed), 500, assignScenario(seed))
		golden.Fingerprint(&out, fmt.Sprintf("divide-%d", seed), 1000, divideScenario(seed))
		golden.Fingerprint(&out, fmt.Sprintf("presence-%d", seed), 3000, presenceScenario(seed))
		golden.Fingerprint(&out, fmt.Sprintf("rhythm-%d", seed), 2000, scheduleScenario(seed))
	}
	golden.Check(t, "behaviour.txt", out.String())
}

// assignScenario assigns duties while members join and leave; duties are held as last assigned.
func assignScenario(seed int64) func(int) string {
	rng := rand.New(rand.NewSource(seed))
	var duties []string
	for i := range 3 + rng.Intn(12) {
		duties = append(duties, fmt.Sprintf("duty-%d", i))
	}
	holders := map[string]string{}
	return func(int) string {
		var members []Member
		for i := range rng.Intn(6) {
			member := Member{Name: fmt.Sprintf("m%d", i+rng.Intn(2)*10), Weight: float64(rng.Intn(4)), Offers: map[string]bool{}}
			for _, duty := range duties {
				member.Offers[duty] = rng.Intn(8) > 0
			}
			members = append(members, member)
		}
		preferred := map[string]string{}
		for _, duty := range duties {
			if rng.Intn(10) == 0 {
				preferred[duty] = fmt.Sprintf("m%d", rng.Intn(6))
			}
			if rng.Intn(30) == 0 { // held by another member than assigned
				holders[duty] = fmt.Sprintf("m%d", rng.Intn(2))
			}
		}
		assigned := Assign(duties, members, holders, preferred)
		holders = maps.Clone(assigned)
		return fmt.Sprint(assigned) // sorted by name
	}
}

// divideScenario divides limits among members with low, high and no demand.
func divideScenario(seed int64) func(int) string {
	rng := rand.New(rand.NewSource(seed))
	return func(int) string {
		demands := map[string]int64{}
		for i := range rng.Intn(9) {
			demands[fmt.Sprintf("m%d", i)] = rng.Int63n(1 << rng.Intn(20))
		}
		return fmt.Sprint(DivideLimit(rng.Int63n(1_000_000)-1000, demands))
	}
}

// presenceScenario records heartbeats of members that stay, flap, and are dropped.
func presenceScenario(seed int64) func(int) string {
	rng := rand.New(rand.NewSource(seed))
	presence := NewPresence(time.Second, time.Duration(rng.Intn(3))*time.Second)
	now := time.Duration(0)
	return func(int) string {
		now += time.Duration(rng.Intn(900)) * time.Millisecond
		name, first := fmt.Sprintf("m%d", rng.Intn(3)), false
		if now%7 < 5 {
			first = presence.RecordHeartbeat(name, now-time.Duration(rng.Intn(100))*time.Millisecond)
		}
		if rng.Intn(100) == 0 {
			now += time.Duration(rng.Intn(100)) * time.Second
		}
		if rng.Intn(20) == 0 {
			presence.Prune(now, 4*time.Second)
		}
		present, settled := presence.Present(name, now)
		all := presence.PresentMembers(now)
		return fmt.Sprint(first, present, settled, all, slices.IsSorted(all))
	}
}

// scheduleScenario runs executions of which some fail and some start late.
func scheduleScenario(seed int64) func(int) string {
	rng := rand.New(rand.NewSource(seed))
	schedule := Schedule{Every: time.Duration(1+rng.Intn(50)) * 100 * time.Millisecond}
	now := time.Duration(0)
	failing := 0
	return func(int) string {
		now += time.Duration(rng.Int63n(int64(schedule.Every)))
		due, next := schedule.Due(now)
		switch {
		case rng.Intn(200) == 0:
			schedule.Reset(now)
		case due:
			schedule.RecordStart(now)
			now += time.Duration(rng.Int63n(int64(schedule.Every)))
			if failing--; failing < -20 {
				failing = rng.Intn(15)
			}
			schedule.RecordResult(now, failing < 0)
		}
		_, after := schedule.Due(now)
		return fmt.Sprint(due, int64(next), int64(after))
	}
}
