package group_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"brackendale/internal/group"
)

// The sum of the quotas that the members use, each by its own clock, must never exceed the limit:
// while demands change, while a member is isolated, and after a member has stopped. After each of
// these, the whole limit is used again. A restart slot belongs to one member at a time, until the next
// incarnation of that member releases it. A round-robin duty moves from member to member.
func TestQuotasAndRollouts(t *testing.T) {
	cluster := newTestGroup(t, threeMembers, "x")
	const limit = 60_000
	type appliedQuota struct {
		amount atomic.Int64
		until  atomic.Int64
	}
	quotas, demands := map[string]*appliedQuota{}, map[string]*atomic.Int64{}
	maximum := atomic.Int64{}
	maximum.Store(limit)
	for _, name := range threeMembers {
		quota, demand := &appliedQuota{}, &atomic.Int64{}
		quotas[name], demands[name] = quota, demand
		demand.Store(5_000)
		options := cluster.memberOptions[name]
		options.Duties[0].RoundRobin = true
		options.Rollouts = []group.Rollout{{Name: "r", MaxConcurrent: 1, MaxDowntime: time.Hour}}
		options.Limits = []group.Limit{{
			Name: "l", Rate: limit, Demand: demand.Load,
			Apply: func(amount int64, until time.Duration, _ int64) {
				// The two values are stored separately: a later deadline must never be paired with an earlier, larger
				// amount. So the amount is stored first if it is lowered, and last if it is raised.
				if amount > quota.amount.Load() {
					quota.until.Store(int64(until))
					quota.amount.Store(amount)
					return
				}
				quota.amount.Store(amount)
				quota.until.Store(int64(until))
			},
		}}
	}
	sum := func() (total int64) {
		now := int64(group.Boottime())
		for _, quota := range quotas {
			if now < quota.until.Load() {
				total += quota.amount.Load()
			}
		}
		return total
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				if inUse := sum(); inUse > maximum.Load() {
					t.Errorf("the quotas add up to %d, the limit is %d", inUse, maximum.Load())
					return
				}
			}
		}
	}()
	fullyUsed := func() bool { return sum() > limit*95/100 }
	cluster.start(threeMembers...)
	cluster.waitFor("the whole limit is used", fullyUsed)
	demands["a"].Store(50_000)
	cluster.waitFor("the member with the highest demand has the largest quota",
		func() bool { return fullyUsed() && quotas["a"].amount.Load() > 45_000 })
	demands["a"].Store(1_000)
	demands["b"].Store(50_000)
	cluster.waitFor("the quota follows the demand to another member",
		func() bool { return fullyUsed() && quotas["b"].amount.Load() > 45_000 })
	cluster.setIsolated("b", true)
	demands["c"].Store(50_000)
	cluster.waitFor("another member uses the quota of the isolated one",
		func() bool { return fullyUsed() && quotas["c"].amount.Load() > 45_000 })
	cluster.setIsolated("b", false)
	cluster.waitFor("both members have a quota", func() bool { return fullyUsed() && quotas["b"].amount.Load() > 20_000 })
	cluster.stop("b")
	cluster.waitFor("another member uses the quota of the stopped one",
		func() bool { return fullyUsed() && quotas["c"].amount.Load() > 45_000 })
	cluster.start("b")

	ctx, cancel := context.WithTimeout(context.Background(), hangTimeout)
	defer cancel()
	cluster.waitFor("the first member gets the restart slot",
		func() bool { return cluster.running["a"].RequestRestart(ctx) == nil })
	if err := cluster.running["c"].RequestRestart(ctx); err == nil || !strings.Contains(err.Error(), "a is out") {
		t.Errorf("two members may restart at once: %v", err)
	}
	cluster.stop("a")
	if err := cluster.running["c"].RequestRestart(ctx); err == nil {
		t.Error("another member may restart while the first has not started again")
	}
	cluster.start("a")
	cluster.waitFor("another member gets the slot after the first has started again",
		func() bool { return cluster.running["c"].RequestRestart(ctx) == nil })
	executors := map[string]bool{}
	cluster.waitFor("the round-robin duty was executed by all members",
		func() bool { executors[cluster.awaitExecutions()] = true; return len(executors) == 3 })
	cluster.requireOneHolder()
}

// Members that start at the same time must not use the whole limit each until a leader assigns quotas.
// A member whose last incarnation shared a limit with two others uses only the even share of three
// from its start, without a reply of any other member.
func TestEvenShareUntilFirstReply(t *testing.T) {
	cluster := newTestGroup(t, threeMembers, "x")
	shares := map[string]*atomic.Int64{}
	for _, name := range threeMembers {
		share := &atomic.Int64{}
		shares[name] = share
		delete(cluster.memberOptions[name].Voters, "b")
		delete(cluster.memberOptions[name].Voters, "c") // a is the only voter: the settings do not list the other members
		cluster.memberOptions[name].Limits = []group.Limit{{
			Name: "l", Rate: 60_000, Demand: func() int64 { return 10_000 },
			Apply: func(amount int64, _ time.Duration, evenShare int64) {
				if share.Store(evenShare); amount > 20_000 {
					share.Store(-1)
				}
			},
		}}
	}
	cluster.memberOptions["b"].Voters["a"], cluster.memberOptions["c"].Voters["a"] =
		cluster.links[[2]string{"b", "a"}].Addr(), cluster.links[[2]string{"c", "a"}].Addr()
	cluster.start(threeMembers...)
	cluster.waitFor("the limit is shared by three members",
		func() bool { return shares["a"].Load() == 20_000 && shares["c"].Load() == 20_000 })
	for _, name := range threeMembers {
		cluster.stop(name)
	}
	shares["c"].Store(0)
	cluster.start("c")
	cluster.waitFor("the restarted member uses a share without a leader", func() bool {
		return strings.Contains(cluster.running["c"].Duties()[0].Reason, "no leader") && shares["c"].Load() != 0
	})
	if got := shares["c"].Load(); got != 20_000 {
		t.Errorf("the restarted member uses %d", got)
	}
}

// Of the members that claim a lease, one holds it, and all of them are notified of that holder. Another
// one gets the lease once the holder no longer claims it. Hints arrive with their age deducted.
func TestClaimsAndHints(t *testing.T) {
	cluster := newTestGroup(t, threeMembers, "x")
	holders, retryAfterUs := map[string]*atomic.Value{}, &atomic.Int64{}
	for _, name := range threeMembers {
		holder := &atomic.Value{}
		holder.Store("")
		holders[name] = holder
		cluster.memberOptions[name].OnHints = func(hints []group.Hint, claimHolders map[string]string, _ time.Duration) {
			holder.Store(claimHolders["return@7"])
			for _, hint := range hints {
				if hint.Destination == 7 && hint.Member == "a" && name == "b" {
					retryAfterUs.Store(hint.RetryAfterUs)
				}
			}
		}
	}
	cluster.start(threeMembers...)
	cluster.awaitExecutions()
	for _, name := range threeMembers {
		cluster.running[name].Claim([]string{"return@7"})
	}
	agreedHolder := func() string {
		common := holders["a"].Load().(string)
		if common == holders["b"].Load() && common == holders["c"].Load() {
			return common
		}
		return ""
	}
	cluster.waitFor("all members report the same holder", func() bool { return agreedHolder() != "" })
	first := agreedHolder()
	cluster.running[first].Claim(nil)
	next := otherThan(first)
	cluster.waitFor("another member holds the lease",
		func() bool { w := holders[next].Load().(string); return w != "" && w != first })
	cluster.running["a"].PublishHints([]group.Hint{{Destination: 7, RetryAfterUs: 1_000_000}})
	cluster.waitFor("the hint arrives with a shorter Retry-After",
		func() bool { w := retryAfterUs.Load(); return w > 0 && w < 1_000_000 })
}
