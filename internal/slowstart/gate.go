package slowstart

import "math"

const (
	marginMax   = 1.3     // factor on a budget of few calls
	batchCost   = 0.25    // cost of each further message of a call, relative to the first
	minWindowUs = 500_000 // shortest window of a budget
	minCalls    = 2.0     // calls of all senders that any route takes in a window
	// fallFactor is the factor on the estimate of a route that failed again within its slow start.
	fallFactor = 0.5
	// settleDivisor is the part of the slow start for which calls are paced beyond it.
	settleDivisor = 5
	usPerS        = 1e6
)

// Rules are the requirements on what all senders together send to a recovering route.
type Rules struct {
	InitialShare float64 // share of its capacity that the route has at first
	Multiple     float64 // multiple of its present capacity that it takes
	WindowUs     int64   // time over which that load is counted
	DurationUs   int64   // time until it has its whole capacity
	Senders      float64 // number of senders that share the route
}

// PacedUs returns how long the slow start paces calls: for some time after the route has its whole capacity, since it
// may have returned later than its first success says, and since what has become pending would leave at once.
func (r Rules) PacedUs() int64 { return r.DurationUs + r.DurationUs/settleDivisor }

// Gate decides what one sender may send to one route that may be recovering. From the first evidence of an outage on,
// the sender's calls are paced by its share of what the route takes at its return, which may be at any time. The first
// success begins the slow start, and evidence within the slow start ends it. It is not safe for concurrent use.
type Gate struct {
	State

	evidence evidence
}

// State is the part of a gate that a later process needs.
type State struct {
	Failed     bool // a call has failed since the last success
	Suspected  bool
	Until      int64 // end of the slow start
	NextCallAt int64
	// Capacity is a low estimate of this sender's share of the route's capacity, in calls per second, as of the first
	// evidence; 0: there is no evidence.
	Capacity float64
}

// Paced reports whether calls are paced at a time.
func (g *Gate) Paced(now int64) bool { return g.Suspected || now < g.Until }

// AvailableAt returns the time from which the gate lets a call through, which may have passed.
func (g *Gate) AvailableAt(now int64) int64 {
	if !g.Paced(now) {
		return now
	}
	return g.NextCallAt
}

// Suspect begins the pacing at the first evidence of an outage, or ends a slow start. capacity is the present estimate
// of this sender's share of the route's capacity, in calls per second. phase is a random number in [0, 1): the senders
// that learn of an outage at the same time must not send their next calls at the same time.
func (g *Gate) Suspect(now int64, rules Rules, capacity, phase float64) {
	recovering := now < g.Until
	if !g.Paced(now) {
		g.Capacity = 0
	}
	g.Capacity = max(g.Capacity, capacity)
	g.Until = 0
	if g.Suspected {
		return
	}
	g.Suspected = true
	if !recovering {
		g.NextCallAt = g.after(now, rules, phase)
	}
}

// Resume continues the pacing of an earlier process. phase is a random number in [0, 1).
func (g *Gate) Resume(now int64, rules Rules, phase float64) {
	g.NextCallAt = g.after(now, rules, phase)
}

// Fall lowers the estimate of a route that has become unavailable within its slow start: it was too high.
func (g *Gate) Fall(now int64) {
	if now < g.Until {
		g.Capacity *= fallFactor
	}
}

// Recover begins the slow start of a route that has responded. capacity is the estimate that applies where there was no
// evidence before.
func (g *Gate) Recover(now int64, rules Rules, capacity float64) {
	if !g.Paced(now) || g.Capacity == 0 {
		g.Capacity = capacity
	}
	g.Suspected = false
	g.Until = now + rules.PacedUs()
	g.NextCallAt = g.after(now, rules, 1)
}

// Take charges a message to the budget. first is whether it is the first one of its call.
func (g *Gate) Take(now int64, rules Rules, first bool) {
	if !g.Paced(now) {
		return
	}
	cost := batchCost
	if first {
		cost = 1
	}
	g.NextCallAt = g.after(max(g.NextCallAt, now), rules, cost)
}

// after returns the time after start at which the budget has grown by a number of calls. In the slow start the rate
// grows with time.
func (g *Gate) after(start int64, rules Rules, calls float64) int64 {
	rate := g.Rate(start, rules, 0)
	growth := 0.0 // calls per second, per second
	if whole := g.Until - rules.DurationUs/settleDivisor; whole > start {
		growth = (g.Rate(whole, rules, 0) - rate) / (float64(whole-start) / usPerS)
	}
	seconds := calls / rate
	if growth > 0 {
		// The solution of rate * t + growth / 2 * t^2 = calls, in the form without cancellation.
		seconds = 2 * calls / (rate + math.Sqrt(rate*rate+2*growth*calls))
	}
	return start + int64(seconds*usPerS)
}

// Rate returns this sender's share, in calls per second, of the load that the route takes at a time. capacity is the
// estimate that applies where there was no evidence before.
func (g *Gate) Rate(now int64, rules Rules, capacity float64) float64 {
	if g.Capacity > 0 {
		capacity = g.Capacity
	}
	rate := capacity * g.presentShare(now, rules) * max(1, rules.Multiple)
	rate *= margin(rate, rules)
	return max(rate, minCalls*usPerS/(float64(max(rules.WindowUs, minWindowUs))*rules.Senders))
}

// presentShare returns the share of its capacity that the route has at a time, by this sender's slow start.
func (g *Gate) presentShare(now int64, rules Rules) float64 {
	elapsed := 0.0
	if g.Until > 0 && rules.DurationUs > 0 {
		startedAt := g.Until - rules.PacedUs()
		elapsed = min(1, max(0, float64(now-startedAt)/float64(rules.DurationUs)))
	}
	return rules.InitialShare + (1-rules.InitialShare)*elapsed
}

// margin returns the factor by which all senders together may exceed a budget. rate is this sender's share of the
// budget. It is half of what the budget allows for chance, which paced calls need less than random ones.
func margin(rate float64, rules Rules) float64 {
	totalCalls := rate * rules.Senders * float64(rules.WindowUs) / usPerS
	if totalCalls <= 0 {
		return marginMax
	}
	return min(marginMax, 1+1/math.Sqrt(totalCalls))
}
