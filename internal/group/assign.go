package group

import (
	"maps"
	"slices"
	"time"

	"brackendale/internal/assignment"
)

// assignDuties returns the member that should hold each duty, given the members that are present.
// It returns nil on a member that is not the leader, and on a new leader until every member has had
// time to send it a heartbeat. The caller must hold g.mu.
func (g *Group) assignDuties(now time.Duration) map[string]string {
	if !g.leading || now-g.leaderSince < g.leaseFraction(grantDelayFraction) {
		return nil
	}
	holders, preferred := g.holdersAndPreferred(now)
	duties, settled, present := g.candidates(now, holders, preferred)
	plan := assignment.Assign(duties, settled, holders, preferred)
	for duty, member := range assignment.Assign(duties, present, holders, preferred) {
		if plan[duty] == "" { // a member that has not settled yet is better than no holder
			plan[duty] = member
		}
	}
	if now-g.leaderSince < g.leaseFraction(rebalanceDelayFraction) { // a new leader does not move held duties yet
		for duty, holder := range holders {
			if present, _ := g.presence.Present(holder, now); present && preferred[duty] == "" && plan[duty] != "" {
				plan[duty] = holder
			}
		}
	}
	return plan
}

// holdersAndPreferred returns, by lease, the current holder, and the preferred holder if that member
// is present. The caller must hold g.mu.
func (g *Group) holdersAndPreferred(now time.Duration) (holders, preferred map[string]string) {
	holders, preferred = map[string]string{}, map[string]string{}
	for name, record := range g.table.Leases {
		holders[name] = record.Holder
		if present, _ := g.presence.Present(record.Preferred, now); present && record.Preferred != "" {
			preferred[name] = record.Preferred
		}
	}
	return holders, preferred
}

// candidates returns the duties that are offered, the members that duties may move to (settled), and
// all members that are present. The caller must hold g.mu.
func (g *Group) candidates(
	now time.Duration, holders, preferred map[string]string,
) (duties []string, settled, present []assignment.Member) {
	newLeader := now-g.leaderSince < g.leaseFraction(settleFraction+grantDelayFraction)
	exempt := map[string]bool{} // holders and preferred members need not be settled
	for _, member := range holders {
		exempt[member] = true
	}
	for _, member := range preferred {
		exempt[member] = true
	}
	offered := map[string]bool{}
	for _, name := range g.presence.PresentMembers(now) {
		state := g.members[name]
		if state == nil {
			continue
		}
		member := assignment.Member{Name: name, Weight: state.weight, Offers: state.offers}
		present = append(present, member)
		if _, ok := g.presence.Present(name, now); ok || newLeader || exempt[name] {
			settled = append(settled, member)
		}
		for duty := range state.offers {
			offered[duty] = true
		}
	}
	return slices.Collect(maps.Keys(offered)), settled, present
}
