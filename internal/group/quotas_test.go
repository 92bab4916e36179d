package group_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"brackendale/internal/group"
)

// Shares of a limit: at no instant do the members count on more than it together, each by its own
// clock, while wants change, one is cut off, one is gone for good and the limit is lowered; all of
// it is in use again afterwards. A restart slot is one member's at a time, and its next
// incarnation releases it. A duty that goes round does.
func TestSharesAndRolls(t *testing.T) {
	c := newTestGroup(t, three, "x")
	const limit = 60_000
	type part struct {
		amount atomic.Int64
		until  atomic.Int64
	}
	parts, wants := map[string]*part{}, map[string]*atomic.Int64{}
	top := atomic.Int64{}
	top.Store(limit)
	for _, n := range three {
		p, w := &part{}, &atomic.Int64{}
		parts[n], wants[n] = p, w
		w.Store(5_000)
		o := c.opts[n]
		o.Duties[0].RoundRobin = true
		o.Rollouts = []group.Rollout{{Name: "r", MaxConcurrent: 1, MaxDowntime: time.Hour}}
		o.Limits = []group.Limit{{
			Name: "l", Rate: limit, Demand: w.Load,
			Apply: func(amount int64, until time.Duration, _ int64) {
				if amount > p.amount.Load() { // the later end counts only with the later amount: down first, up last
					p.until.Store(int64(until))
					p.amount.Store(amount)
					return
				}
				p.amount.Store(amount)
				p.until.Store(int64(until))
			},
		}}
	}
	sum := func() (all int64) {
		now := int64(group.Boottime())
		for _, p := range parts {
			if now < p.until.Load() {
				all += p.amount.Load()
			}
		}
		return all
	}
	stop := make(chan struct{})
	defer close(stop)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				if s := sum(); s > top.Load() {
					t.Errorf("shares of %d together, of %d", s, top.Load())
					return
				}
			}
		}
	}()
	used := func() bool { return sum() > limit*95/100 }
	c.start(three...)
	c.waitFor("all of it is in use", used)
	wants["a"].Store(50_000)
	c.waitFor("who wants most has most", func() bool { return used() && parts["a"].amount.Load() > 45_000 })
	wants["a"].Store(1_000)
	wants["b"].Store(50_000)
	c.waitFor("the other has it", func() bool { return used() && parts["b"].amount.Load() > 45_000 })
	c.cut("b", true)
	wants["c"].Store(50_000)
	c.waitFor("what the one cut off had is in use", func() bool { return used() && parts["c"].amount.Load() > 45_000 })
	c.cut("b", false)
	c.waitFor("both", func() bool { return used() && parts["b"].amount.Load() > 20_000 })
	c.stop("b")
	c.waitFor("what the dead one had is in use", func() bool { return used() && parts["c"].amount.Load() > 45_000 })
	c.start("b")

	ctx, cancel := context.WithTimeout(context.Background(), long)
	defer cancel()
	c.waitFor("out", func() bool { return c.running["a"].RequestRestart(ctx) == nil })
	if err := c.running["c"].RequestRestart(ctx); err == nil || !strings.Contains(err.Error(), "a is out") {
		t.Errorf("two are out: %v", err)
	}
	c.stop("a")
	if err := c.running["c"].RequestRestart(ctx); err == nil {
		t.Error("another is out while the first has not come back")
	}
	c.start("a")
	c.waitFor("the first is back", func() bool { return c.running["c"].RequestRestart(ctx) == nil })
	who := map[string]bool{}
	c.waitFor("it went round", func() bool { who[c.acts()] = true; return len(who) == 3 })
	c.requireOneHolder()
}

// An incarnation that comes back alone, after one in which three used a limit, counts on no more
// than the even part of three until somebody leads, and knows so before anybody has answered.
func TestEvenPartUntilTheFirstWord(t *testing.T) {
	c := newTestGroup(t, three, "x")
	parts := map[string]*atomic.Int64{}
	for _, n := range three {
		v := &atomic.Int64{}
		parts[n] = v
		delete(c.opts[n].Voters, "b")
		delete(c.opts[n].Voters, "c") // a votes alone: its file says nothing of the others
		c.opts[n].Limits = []group.Limit{{
			Name: "l", Rate: 60_000, Demand: func() int64 { return 10_000 },
			Apply: func(amount int64, _ time.Duration, even int64) {
				if v.Store(even); amount > 20_000 {
					v.Store(-1)
				}
			},
		}}
	}
	c.opts["b"].Voters["a"], c.opts["c"].Voters["a"] = c.links[[2]string{"b", "a"}].Addr(),
		c.links[[2]string{"c", "a"}].Addr()
	c.start(three...)
	c.waitFor("all three share it", func() bool { return parts["a"].Load() == 20_000 && parts["c"].Load() == 20_000 })
	for _, n := range three {
		c.stop(n)
	}
	parts["c"].Store(0)
	c.start("c")
	c.waitFor("it has heard nothing", func() bool {
		return strings.Contains(c.running["c"].Duties()[0].Reason, "no leader") && parts["c"].Load() != 0
	})
	if got := parts["c"].Load(); got != 20_000 {
		t.Errorf("it counts on %d", got)
	}
}

// What one claims another holds: all that claim hear who it is, one at a time, and another when
// that one claims no more. Hints come with their age.
func TestClaimsAndHints(t *testing.T) {
	c := newTestGroup(t, three, "x")
	holds, waits := map[string]*atomic.Value{}, &atomic.Int64{}
	for _, n := range three {
		v := &atomic.Value{}
		v.Store("")
		holds[n] = v
		c.opts[n].OnHints = func(hints []group.Hint, held map[string]string, _ time.Duration) {
			v.Store(held["return@7"])
			for _, h := range hints {
				if h.Destination == 7 && h.Member == "a" && n == "b" {
					waits.Store(h.RetryAfterUs)
				}
			}
		}
	}
	c.start(three...)
	c.acts()
	for _, n := range three {
		c.running[n].Claim([]string{"return@7"})
	}
	agreed := func() string {
		who := holds["a"].Load().(string)
		if who == holds["b"].Load() && who == holds["c"].Load() {
			return who
		}
		return ""
	}
	c.waitFor("one tries", func() bool { return agreed() != "" })
	first := agreed()
	c.running[first].Claim(nil)
	next := other(first)
	c.waitFor("another tries", func() bool { w := holds[next].Load().(string); return w != "" && w != first })
	c.running["a"].PublishHints([]group.Hint{{Destination: 7, RetryAfterUs: 1_000_000}})
	c.waitFor("the wait is heard of", func() bool { w := waits.Load(); return w > 0 && w < 1_000_000 })
}
