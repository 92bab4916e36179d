package group

import (
	"maps"
	"slices"
	"time"

	"brackendale/internal/assignment"
)

// assignDuties tells which member should hold which duty, by who is present. Until the members have
// had the time to send a heartbeat, there is no assignment. The lock is held.
func (g *Group) assignDuties(now time.Duration) map[string]string {
	if !g.leading || now-g.leaderSince < g.leaseFraction(hearFraction) {
		return nil
	}
	holders, preferred := g.holdersAndPreferred(now)
	duties, settled, present := g.candidates(now, holders, preferred)
	plan := assignment.Assign(duties, settled, holders, preferred)
	for duty, member := range assignment.Assign(duties, present, holders, preferred) {
		if plan[duty] == "" { // better a member that has just come than nobody
			plan[duty] = member
		}
	}
	if now-g.leaderSince < g.leaseFraction(calmFraction) {
		for duty, holder := range holders {
			if present, _ := g.presence.Present(holder, now); present && preferred[duty] == "" && plan[duty] != "" {
				plan[duty] = holder
			}
		}
	}
	return plan
}

// holdersAndPreferred lists who holds each lease, and who should hold it where that member is
// present. The lock is held.
func (g *Group) holdersAndPreferred(now time.Duration) (holders, preferred map[string]string) {
	holders, preferred = map[string]string{}, map[string]string{}
	for name, held := range g.table.Leases {
		holders[name] = held.Holder
		if present, _ := g.presence.Present(held.Preferred, now); present && held.Preferred != "" {
			preferred[name] = held.Preferred
		}
	}
	return holders, preferred
}

// candidates lists the duties that are offered, the members that duties may move to, and all
// members that are present. The lock is held.
func (g *Group) candidates(
	now time.Duration, holders, preferred map[string]string,
) (duties []string, settled, present []assignment.Member) {
	newLeader := now-g.leaderSince < g.leaseFraction(settleFraction+hearFraction)
	keep := map[string]bool{} // holders and preferred members may hold duties before they have settled
	for _, member := range holders {
		keep[member] = true
	}
	for _, member := range preferred {
		keep[member] = true
	}
	offered := map[string]bool{}
	for _, name := range g.presence.PresentMembers(now) {
		state := g.members[name]
		if state == nil {
			continue
		}
		member := assignment.Member{Name: name, Weight: state.weight, Offers: state.offers}
		present = append(present, member)
		if _, ok := g.presence.Present(name, now); ok || newLeader || keep[name] {
			settled = append(settled, member)
		}
		for duty := range state.offers {
			offered[duty] = true
		}
	}
	return slices.Collect(maps.Keys(offered)), settled, present
}
