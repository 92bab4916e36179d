package group

import (
	"maps"
	"slices"
	"time"

	"brackendale/internal/lease"
	"brackendale/internal/metrics"
)

// quotaUnitsPerRequest is the number of units of a quota that make one request a second in the
// metrics.
const quotaUnitsPerRequest = 1000

// CollectMetrics returns the metrics of this member. It does not wait for other members, and any
// goroutine may call it.
func (g *Group) CollectMetrics() []metrics.Metric {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	list := g.memberMetrics(now)
	for _, name := range slices.Sorted(maps.Keys(g.runners)) {
		list = append(list, g.dutyMetrics(name, now)...)
	}
	for _, limit := range g.opt.Limits {
		held, _ := g.holder.Get(lease.QuotaName(limit.Name, g.opt.Name), now)
		list = append(list, metrics.Metric{
			Name: "lb_group_share", Help: "This member's share of a limit, in calls a second; 0 without one.",
			Label: []string{"limit", limit.Name}, Value: float64(held.Amount) / quotaUnitsPerRequest,
		})
	}
	return list
}

// memberMetrics returns the metrics that have no label. The caller must hold g.mu.
func (g *Group) memberMetrics(now time.Duration) []metrics.Metric {
	gauge := func(name, help string, on bool) metrics.Metric {
		return metrics.Metric{Name: name, Help: help, Value: oneIf(on)}
	}
	total := func(name, help string, count uint64) metrics.Metric {
		return metrics.Metric{Name: name, Help: help, Counter: true, Value: float64(count)}
	}
	return []metrics.Metric{
		gauge("lb_group_leads", "1 while this member leads the group.", g.leading),
		gauge("lb_group_votes", "1 while this member's log runs and votes.", g.node != nil),
		gauge("lb_group_heard", "1 while the group's leader answers this member.", g.unreachableReason(now) == ""),
		total("lb_group_duties_taken_total", "Duties that this member has taken since the process began.",
			g.counters.acquired),
		total("lb_group_duties_lost_total", "Duties that it gave back or lost.", g.counters.lost),
		total("lb_group_acts_total", "Acts of duties that it began.", g.counters.executions),
		total("lb_group_acts_failed_total", "Acts that failed.", g.counters.failed),
		total("lb_group_acts_refused_total", "Acts whose receiver knew a newer epoch.", g.counters.stale),
	}
}

// dutyMetrics returns the metrics of one duty that this member holds or could hold. The caller must
// hold g.mu.
func (g *Group) dutyMetrics(name string, now time.Duration) []metrics.Metric {
	held, ok := g.holder.Get(name, now)
	label := []string{"duty", name}
	list := []metrics.Metric{{
		Name: "lb_group_holds", Help: "1 for a duty that this member holds, 0 for one that it could hold.",
		Label: label, Value: oneIf(ok),
	}}
	if ok {
		list = append(list, metrics.Metric{
			Name: "lb_group_epoch", Help: "The epoch under which it holds a duty.",
			Label: label, Value: float64(held.Epoch),
		})
	}
	return list
}

func oneIf(on bool) float64 {
	if on {
		return 1
	}
	return 0
}
