package assignment

import (
	"cmp"
	"maps"
	"slices"
)

// MinShare is the fraction of an even quota that a member gets whatever its demand, so that its first
// call need not wait for the group.
const MinShare = 0.25

// DivideLimit divides a limit among members according to their demands (max-min fairness). Each member
// gets at least MinShare of the even quota, and no more than its demand while the demand of another
// is not met. What no member demands is divided evenly, so that the whole limit is in use. Quotas are
// integers, and their sum never exceeds the limit.
func DivideLimit(limit int64, demands map[string]int64) map[string]int64 {
	quotas := make(map[string]int64, len(demands))
	names := slices.Sorted(maps.Keys(demands))
	members := int64(len(names))
	if members == 0 || limit <= 0 {
		return quotas
	}
	floor := int64(MinShare * float64(limit/members))
	remaining := limit - floor*members
	unmet := map[string]int64{} // demand above the floor
	for _, name := range names {
		quotas[name] = floor
		unmet[name] = max(0, demands[name]-floor)
	}
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(unmet[a], unmet[b]) })
	for i, name := range names { // the smallest demand first, so that the others share what it leaves
		extra := min(unmet[name], remaining/int64(len(names)-i))
		quotas[name] += extra
		remaining -= extra
	}
	evenExtra := remaining / members
	for _, name := range names {
		quotas[name] += evenExtra
	}
	return quotas
}
