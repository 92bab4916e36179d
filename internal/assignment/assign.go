// Package assignment decides which member of a group should hold which duty, how a shared limit is
// divided among members, and when the holder of a duty executes it. It is pure: the caller passes
// in the present members and all times. The lease, not this package, determines who holds a duty;
// an assignment only determines which member should request the lease.
package assignment

import (
	"hash/fnv"
	"math"
	"slices"

	"brackendale/internal/portablemath"
)

// Member is a group member that may hold duties.
type Member struct {
	Name   string
	Weight float64         // its share of the duties, relative to the other members; 0 counts as 1
	Offers map[string]bool // the duties that it is configured to hold
}

// LoadSlack is the fraction by which a member's number of duties may exceed its proportional share
// before duties go to other members. The bound keeps one member from holding all duties, and the
// slack keeps duties from moving on each small change.
const LoadSlack = 0.25

// Assign returns the member that should hold each duty. A duty that no member offers is not in the
// result. holders has the present holder of each duty, and preferred the member that an operator
// chose. A duty with a present holder moves only if another member is preferred, if the holder
// exceeds its maximum load, or if rendezvous hashing selects another member that holds at least two
// duties fewer. Once all duties are held as assigned, nothing moves. The result depends on the
// arguments alone, so all members with the same input compute the same assignment.
func Assign(duties []string, members []Member, holders, preferred map[string]string) map[string]string {
	a := assigner{
		duties:  slices.Sorted(slices.Values(duties)),
		members: members,
		load:    map[string]int{},
		holder:  map[string]string{},
		pinned:  map[string]bool{},
	}
	for i := range members {
		a.totalWeight += members[i].weight()
	}
	a.keepHolders(holders, preferred)
	for i := range members {
		a.freeExcess(&members[i])
	}
	a.assignFree()
	for a.rebalanceOnce() { // terminates, as each move makes the load more even
	}
	return a.holder
}

// assigner is the working state of one call of Assign.
type assigner struct {
	duties      []string // sorted
	members     []Member
	totalWeight float64
	load        map[string]int    // number of duties of each member
	holder      map[string]string // the member assigned to each duty
	pinned      map[string]bool   // duties assigned to their preferred member: they stay there whatever its load
}

// keepHolders assigns each duty to its preferred member, else to its present holder.
func (a *assigner) keepHolders(holders, preferred map[string]string) {
	for _, duty := range a.duties {
		if member := a.findMember(preferred[duty]); member != nil && member.Offers[duty] {
			a.assign(duty, member.Name)
			a.pinned[duty] = true
		} else if member := a.findMember(holders[duty]); member != nil && member.Offers[duty] {
			a.assign(duty, member.Name)
		}
	}
}

// freeExcess frees duties of a member until it is within its maximum load, those with the lowest
// score first. Pinned duties stay.
func (a *assigner) freeExcess(member *Member) {
	for a.load[member.Name] > a.maxLoad(member) {
		lowest, lowestScore := "", math.Inf(1)
		for _, duty := range a.duties {
			if value := score(duty, member); a.holder[duty] == member.Name && !a.pinned[duty] && value < lowestScore {
				lowest, lowestScore = duty, value
			}
		}
		if lowest == "" {
			return
		}
		a.free(lowest)
	}
}

// assignFree assigns each free duty to the best member below its maximum load, else to the least
// loaded member.
func (a *assigner) assignFree() {
	for _, duty := range a.duties {
		if a.holder[duty] != "" {
			continue
		}
		member := a.bestMember(duty, a.belowMaxLoad)
		if member == "" {
			member = a.leastLoaded(duty)
		}
		if member != "" {
			a.assign(duty, member)
		}
	}
}

// rebalanceOnce moves each duty to its best member if that member is below its maximum load and holds
// at least two duties fewer than the present holder. It reports whether a duty moved.
func (a *assigner) rebalanceOnce() (moved bool) {
	for _, duty := range a.duties {
		current := a.holder[duty]
		if a.pinned[duty] || current == "" {
			continue
		}
		target := a.bestMember(duty, a.belowMaxLoad)
		if a.load[current] >= a.load[target]+2 && target == a.bestMember(duty, func(*Member) bool { return true }) {
			a.assign(duty, target)
			moved = true
		}
	}
	return moved
}

// findMember returns the member of a name, or nil.
func (a *assigner) findMember(name string) *Member {
	if name == "" {
		return nil
	}
	for i := range a.members {
		if a.members[i].Name == name {
			return &a.members[i]
		}
	}
	return nil
}

// assign assigns a duty to a member in place of its present holder.
func (a *assigner) assign(duty, member string) {
	a.free(duty)
	a.holder[duty] = member
	a.load[member]++
}

// free takes a duty from its holder.
func (a *assigner) free(duty string) {
	if member, ok := a.holder[duty]; ok {
		a.load[member]--
		delete(a.holder, duty)
	}
}

// maxLoad returns the largest number of duties that a member should hold.
func (a *assigner) maxLoad(member *Member) int {
	return int(math.Ceil((1 + LoadSlack) * float64(len(a.duties)) * member.weight() / a.totalWeight))
}

func (a *assigner) belowMaxLoad(member *Member) bool { return a.load[member.Name] < a.maxLoad(member) }

// bestMember returns the eligible member with the highest score among those that offer a duty, or "".
// Names break ties.
func (a *assigner) bestMember(duty string, eligible func(*Member) bool) (bestMember string) {
	bestScore := math.Inf(-1)
	for i := range a.members {
		member := &a.members[i]
		if !member.Offers[duty] || !eligible(member) {
			continue
		}
		if value := score(duty, member); value > bestScore || value == bestScore && member.Name < bestMember {
			bestMember, bestScore = member.Name, value
		}
	}
	return bestMember
}

// leastLoaded returns the member with the fewest duties among those that offer a duty, or "". Names
// break ties.
func (a *assigner) leastLoaded(duty string) (lowest string) {
	for i := range a.members {
		member := &a.members[i]
		if !member.Offers[duty] {
			continue
		}
		load, lowestLoad := a.load[member.Name], a.load[lowest]
		if lowest == "" || load < lowestLoad || load == lowestLoad && member.Name < lowest {
			lowest = member.Name
		}
	}
	return lowest
}

// weight returns the weight of the member, 1 if none is set.
func (m *Member) weight() float64 {
	if m.Weight > 0 {
		return m.Weight
	}
	return 1
}

// score returns the weighted rendezvous hash of a duty and a member. The member with the highest score
// should hold the duty.
func score(duty string, member *Member) float64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(duty))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(member.Name))
	uniform := (float64(mix(hash.Sum64())>>11) + 0.5) / (1 << 53)
	return -member.weight() / portablemath.Log(uniform)
}

// mix applies the finalizer of MurmurHash3. Without it, FNV hashes of names that differ only in the
// last letter are close together.
func mix(hash uint64) uint64 {
	hash ^= hash >> 33
	hash *= 0xff51afd7ed558ccd
	hash ^= hash >> 33
	hash *= 0xc4ceb9fe1a85ec53
	return hash ^ hash>>33
}
