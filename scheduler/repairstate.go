package scheduler

import "fmt"

// The ranges of stored numbers. What is outside cannot have been learned, and would stay: a rate that is
// not a number admits no call, and no comparison changes it.
const (
	maxStoredRate  = 1e9  // of calls or messages per second, of means and of limits that peers advertise
	maxStoredUs    = 1e15 // some 30 years, in microseconds
	maxStoredCount = 1e9
)

// floatRange is the range of a stored number, and the value that replaces one that is outside and not just
// too high.
type floatRange struct {
	name        string
	low, high   float64
	replacement float64
}

func (r floatRange) contains(value float64) bool { return value >= r.low && value <= r.high } // false for NaN

// routeFloatRanges has the ranges of route.floats, in the same order.
var routeFloatRanges = []floatRange{
	{name: "bucket.rate", high: unlimitedRate},
	{name: "bucket.rateMark", high: unlimitedRate},
	{name: "bucket.tokens", low: -1 - sharedBucketTokens, high: unlimitedRate},
	{name: "throughput.sendRate", high: maxStoredRate},
	{name: "throughput.successRate", high: maxStoredRate},
	{name: "throughput.peakSuccessRate", high: maxStoredRate},
	{name: "capacityHint", high: maxStoredRate},
	{name: "latency.smoothedUs", high: maxStoredUs},
	{name: "latency.deviationUs", high: maxStoredUs},
	{name: "latency.baselineUs", high: maxStoredUs},
	{name: "latency.samples", high: maxStoredCount},
	{name: "health.failureShare", high: 1},
	{name: "health.lastingFailureShare", high: 1},
}

// The positions of the token bucket's rate in route.floats, and of its flag in route.flags.
const (
	bucketRateIndex    = 0
	bucketLimitedIndex = 0
)

var (
	slowdownRange    = floatRange{name: "slowdown", low: 1, high: maxStoredRate, replacement: 1}
	arrivalRateRange = floatRange{name: "arrivalRate", high: maxStoredRate}
	preferenceRange  = floatRange{name: "randomPreference", low: -maxStoredRate, high: maxStoredRate}
	tokensRange      = floatRange{name: "tokens", low: -maxStoredCount, high: maxStoredCount}
	refilledAtRange  = floatRange{name: "refilledAt", low: -maxStoredUs, high: maxStoredUs}
	shareRange       = floatRange{name: "share", high: maxStoredCount}
	limitRange       = floatRange{name: "advertised limit", high: maxStoredUs}
	capacityRange    = floatRange{name: "slow start's rate", high: unlimitedRate}
)

// Repair replaces the numbers of a state that are outside their ranges, and returns a description of each.
// A rate above any possible one becomes the highest possible one; other figures count as not learned.
// Messages and calls are not touched. A state with lists of another length is left to RestoreState.
func (state *State) Repair() (repairs []string) {
	report := func(where, name string, value float64) {
		repairs = append(repairs, fmt.Sprintf("%s: %s was %v", where, name, value))
	}
	repairFloats(state.Floats, []floatRange{slowdownRange}, "scheduler", report)
	repairShares(state.ConnectFailureShare, "failed connects to", report)
	repairShares(state.RetrySpread, "spread of retries to", report)
	for name, tenant := range state.Tenants {
		if !tokensRange.contains(tenant[0]) || !refilledAtRange.contains(tenant[1]) {
			report("tenant "+name, tokensRange.name, tenant[0])
			delete(state.Tenants, name)
		}
	}
	for i := range state.Destinations {
		state.Destinations[i].repair(report)
	}
	return repairs
}

// repairReport records a number that was outside its range.
type repairReport func(where, name string, value float64)

func repairShares(shares map[string]float64, what string, report repairReport) {
	for key, share := range shares {
		if !shareRange.contains(share) {
			report(what+" "+key, shareRange.name, share)
			delete(shares, key)
		}
	}
}

func (state *DestinationState) repair(report repairReport) {
	where := fmt.Sprintf("destination %d", state.Destination)
	repairFloats(state.Floats, []floatRange{arrivalRateRange}, where, report)
	state.Route.repair(where, report)
	for i := range state.Endpoints {
		ep := &state.Endpoints[i]
		where := "endpoint " + ep.Addr
		repairFloats(ep.Floats, []floatRange{preferenceRange}, where, report)
		if ep.OwnRoute != nil {
			ep.OwnRoute.repair(where, report)
		}
	}
}

func (state *RouteState) repair(where string, report repairReport) {
	repairFloats(state.Floats, routeFloatRanges, where, report)
	for i, count := range state.Counts {
		if count < 0 {
			report(where, "a count", float64(count))
			state.Counts[i] = 0
		}
	}
	for _, value := range state.AdvertisedLimit {
		if !limitRange.contains(value) {
			report(where, limitRange.name, value)
			state.AdvertisedLimit = [3]float64{}
			break
		}
	}
	if saved := state.SlowStart; saved != nil {
		rates := []float64{saved.Capacity, saved.SustainedRate}
		repairFloats(rates, []floatRange{capacityRange, capacityRange}, where, report)
		saved.Capacity, saved.SustainedRate = rates[0], rates[1]
	}
	limited := len(state.Flags) > bucketLimitedIndex && state.Flags[bucketLimitedIndex]
	if limited && len(state.Floats) > bucketRateIndex && state.Floats[bucketRateIndex] == 0 {
		report(where, "bucket.rate of a limited route", 0)
		state.Flags[bucketLimitedIndex] = false // until a response limits the route
	}
}

// repairFloats replaces the values that are outside their ranges.
func repairFloats(values []float64, ranges []floatRange, where string, report repairReport) {
	if len(values) != len(ranges) {
		return
	}
	for i, r := range ranges {
		if r.contains(values[i]) {
			continue
		}
		report(where, r.name, values[i])
		if values[i] > r.high && r.high == unlimitedRate {
			values[i] = r.high
		} else {
			values[i] = r.replacement
		}
	}
}
