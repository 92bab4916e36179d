package assignment

import (
	"fmt"
	"testing"
	"time"

	"brackendale/internal/testing/testkit"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { testkit.Seeded(m, "300") }

// numberedNames returns names made of a prefix and the numbers from 0.
func numberedNames(count int, prefix string) (names []string) {
	for i := range count {
		names = append(names, fmt.Sprint(prefix, i))
	}
	return names
}

// membersOffering returns members that each offer all duties.
func membersOffering(duties []string, names ...string) (members []Member) {
	for _, name := range names {
		member := Member{Name: name, Offers: map[string]bool{}}
		for _, duty := range duties {
			member.Offers[duty] = true
		}
		members = append(members, member)
	}
	return members
}

// countMoves counts the duties whose member differs between two assignments.
func countMoves(before, after map[string]string) (moves int) {
	for duty, member := range before {
		if after[duty] != member {
			moves++
		}
	}
	return moves
}

// While members join and leave, each duty is assigned to a present member that offers it, no member
// exceeds its maximum load where all offer all duties, and a second Assign moves nothing.
func TestAssign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		duties := numberedNames(rapid.IntRange(1, 40).Draw(t, "duties"), "duty-")
		names := numberedNames(rapid.IntRange(1, 9).Draw(t, "members"), "m")
		var held map[string]string
		for range 6 {
			chosen := rapid.SliceOfNDistinct(rapid.SampledFrom(names), 1, -1, rapid.ID[string]).Draw(t, "here")
			present := membersOffering(duties, chosen...)
			held = Assign(duties, present, held, nil)
			load := map[string]int{}
			for _, duty := range duties {
				load[held[duty]]++
			}
			for _, member := range present {
				if maxLoad := (5*len(duties) + 4*len(present) - 1) / (4 * len(present)); load[member.Name] > maxLoad {
					t.Fatalf("%s holds %d of %d duties among %d members", member.Name, load[member.Name], len(duties), len(present))
				}
				delete(load, member.Name)
			}
			if len(load) != 0 {
				t.Fatalf("duties assigned to members that are not present: %v", load)
			}
			if moves := countMoves(held, Assign(duties, present, held, nil)); moves != 0 {
				t.Fatalf("%d duties moved though the members did not change", moves)
			}
		}
		preferred := map[string]string{duties[0]: names[0], "unknown": names[0]}
		got := Assign(duties, membersOffering(duties, names...), held, preferred)
		if got[duties[0]] != names[0] || got["unknown"] != "" {
			t.Fatal("the preferred member of an operator was not used, or a duty that does not exist was assigned")
		}
	})
}

// When one member joins a group of five with 100 duties, or leaves a group of six, few more duties may
// move than necessary: those that the new member takes, or that the leaving member held.
func TestMovesPerChange(t *testing.T) {
	duties := numberedNames(100, "duty-")
	five, six := membersOffering(duties, numberedNames(5, "m")...), membersOffering(duties, numberedNames(6, "m")...)
	for _, c := range []struct {
		change   string
		from, to []Member
	}{{"comes", five, six}, {"goes", six, five}} {
		before := Assign(duties, c.from, nil, nil)
		after := Assign(duties, c.to, before, nil)
		ideal := 0
		for duty, member := range before {
			if c.change == "goes" && member == "m5" || c.change == "comes" && after[duty] == "m5" {
				ideal++
			}
		}
		moves := countMoves(before, after)
		if t.Logf("a member %s: %d of 100 move, %d necessarily", c.change, moves, ideal); moves > ideal+len(duties)/10 ||
			ideal == 0 {
			t.Errorf("a member %s: %d duties move, ideal %d", c.change, moves, ideal)
		}
	}
	// A member of a higher weight gets more duties.
	heavy := membersOffering(duties, "a", "b")
	heavy[0].Weight = 3
	load := map[string]int{}
	for _, member := range Assign(duties, heavy, nil, nil) {
		load[member]++
	}
	if load["a"] < 2*load["b"] {
		t.Errorf("weights 3 and 1: %v", load)
	}
	heavy[0].Offers = map[string]bool{}
	if got := Assign(duties, heavy, nil, map[string]string{"duty-1": "a"}); got["duty-1"] != "b" {
		t.Error("a duty was assigned to a member that does not offer it")
	}
}

// A flapping member settles later each time; one that stays settles, and so does one that returns after
// a long visit.
func TestPresence(t *testing.T) {
	presence := NewPresence(2*time.Second, time.Second)
	now := time.Duration(0)
	stay := func(duration time.Duration) (settled bool) {
		for end := now + duration; now < end; now += time.Second / 4 {
			presence.RecordHeartbeat("a", now)
			_, settled = presence.Present("a", now)
		}
		return settled
	}
	if stay(time.Second) || !stay(time.Second) {
		t.Error("a new member settled at once, or not at all")
	}
	for range 8 {
		now += 3 * time.Second
		stay(time.Second)
	}
	if now += 3 * time.Second; stay(30 * time.Second) {
		t.Error("a flapping member settled")
	}
	if !stay(time.Minute) {
		t.Error("a member that stays did not settle")
	}
	stay(10 * time.Minute)
	if now += 3 * time.Second; stay(time.Second/2) || !stay(2*time.Second) {
		t.Error("a member that returned after a long visit did not settle as a new one does")
	}
	if now += time.Hour; len(presence.PresentMembers(now)) != 0 {
		t.Error("present an hour after the last heartbeat")
	}
	if presence.Prune(now, time.Minute); len(presence.visits) != 0 {
		t.Error("an old visit was not dropped")
	}
}

// A new holder's first execution is due at once, further ones once per period; missed ones are not made
// up for, and failures space them out.
func TestSchedule(t *testing.T) {
	schedule := Schedule{Every: 100}
	schedule.Reset(1000)
	var started []time.Duration
	for now := time.Duration(1000); now < 3000; now++ {
		if now >= 1300 && now < 1900 {
			continue // the holder is stalled
		}
		if due, _ := schedule.Due(now); due {
			started = append(started, now)
			schedule.RecordStart(now)
			schedule.RecordResult(now+10, now < 2000)
		}
	}
	want := []time.Duration{1000, 1100, 1200, 1900, 1950, 2050, 2260, 2670}
	if fmt.Sprint(started) != fmt.Sprint(want) {
		t.Errorf("executions started at %v, want %v", started, want)
	}
}

// The quotas use up a limit and never exceed it. Each member has at least the floor, and none with a
// higher demand has less than one with a lower demand.
func TestDivide(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1_000_000).Draw(t, "limit")
		demands := map[string]int64{}
		for _, name := range numberedNames(rapid.IntRange(1, 12).Draw(t, "members"), "m") {
			demands[name] = rapid.Int64Range(0, 2*limit).Draw(t, "want")
		}
		got, sum := DivideLimit(limit, demands), int64(0)
		for name, quota := range got {
			if sum += quota; quota < int64(MinShare*float64(limit/int64(len(demands)))) {
				t.Fatalf("%s has %d of the limit %d among %d members, less than the floor", name, quota, limit, len(demands))
			}
			for other, otherQuota := range got {
				if demands[name] > demands[other] && quota < otherQuota {
					t.Fatalf("%s demands %d and has %d, %s demands %d and has %d",
						name, demands[name], quota, other, demands[other], otherQuota)
				}
			}
		}
		if sum > limit || sum < limit-int64(len(demands))-1 {
			t.Fatalf("the quotas sum up to %d of the limit %d", sum, limit)
		}
	})
	if got := DivideLimit(60_000, map[string]int64{
		"a": 30_000, "b": 6_000, "c": 6_000, "d": 6_000, "e": 6_000,
		"f": 6_000,
	}); got["a"] != 30_000 || got["b"] != 6_000 {
		t.Errorf("one member demands half: %v", got)
	}
}
