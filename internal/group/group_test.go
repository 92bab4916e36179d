package group_test

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"brackendale/internal/group"
	"brackendale/internal/testing/fleet"
)

// The holder is cut off from the others but not from the receiver: it stops by its own clock,
// another goes on under a newer epoch, and an order names who is next. Clocks run at most 1% too
// fast or too slow. What is handed on in order is.
func TestHandedOn(t *testing.T) {
	c := newTestGroup(t, three, "x", "y")
	for n, rate := range map[string]float64{"a": 0.991, "b": 1.009} {
		c.opts[n].Clock = func() time.Duration { return time.Duration(float64(group.Boottime()) * rate) }
	}
	c.start(three...)
	for range 2 {
		who := c.acts()
		c.cut(who, true)
		c.waitFor("another holder", func() bool { return c.acts() != who })
		for _, d := range c.running[who].Duties() {
			if d.Holder != "" || d.Reason == "" {
				t.Errorf("cut off: %+v", d)
			}
		}
		c.cut(who, false)
	}
	who := c.acts()
	to := other(who)
	ctx, stop := context.WithTimeout(context.Background(), long)
	defer stop()
	c.waitFor("handed", func() bool { return c.running[other(to)].HandOver(ctx, "x", to) == nil })
	c.waitFor("it has it", func() bool { return c.acts() == to })
	c.receiver.Behave(length, 0, false) // no act ends in time: each is given up, with a word why, and the duty is held on
	c.waitFor("it says why", func() bool {
		for _, d := range c.running[to].Duties() {
			if d.Holder == to && strings.Contains(d.Reason, "deadline") {
				return true
			}
		}
		return false
	})
	c.receiver.Behave(0, 0, false)
	c.stop(to)
	c.waitFor("it has gone", func() bool { return c.acts() != to })
	if err := c.running[who].HandOver(ctx, "x", to); err == nil {
		t.Errorf("handed to one who is not here: %v", err)
	}
	c.requireOneHolder()
}

// A holder whose clock is far slower than the drift allows believes for too long: with a receiver
// that takes all, the checker must see it.
func TestSlowClockIsCaught(t *testing.T) {
	c := newTestGroup(t, three, "x")
	c.receiver.Behave(length/8, 0, true)
	slowed := map[string]*atomic.Int64{}
	for _, n := range three {
		at := &atomic.Int64{}
		slowed[n] = at
		c.opts[n].Clock = func() time.Duration {
			if f := at.Load(); f != 0 {
				return time.Duration(f) + (group.Boottime()-time.Duration(f))/10 // a tenth of its pace
			}
			return group.Boottime()
		}
	}
	c.start(three...)
	who := c.acts()
	slowed[who].Store(int64(group.Boottime()))
	c.cut(who, true)
	c.waitFor("the fault in the time line", func() bool {
		verdict := fleet.Check(c.timeline.Events())
		return verdict.Overlaps+verdict.Old > 0
	})
}

// A name that is in use, a file with other terms, a folder of another member, a file with other
// voters at the first start: each is refused with a sentence, and the group goes on.
func TestRefused(t *testing.T) {
	c := newTestGroup(t, three, "x")
	other := *c.opts["c"]
	c.start("a", "b")
	c.waitFor("it waits for all at the first start",
		func() bool { return strings.Contains(c.running["a"].Duties()[0].Reason, "waits for") })
	odd := other
	odd.Voters = map[string]string{"a": other.Voters["a"], "b": other.Voters["b"], "z": other.Listen}
	c.opts["c"] = &odd
	c.start("c")
	c.waitFor("other voters", func() bool { return strings.Contains(c.running["a"].Duties()[0].Reason, "other voters") })
	c.stop("c")
	c.opts["c"] = &other
	c.start("c")
	c.acts()
	says := func(what, word string, change func(*group.Options)) {
		t.Helper()
		o := *c.opts["c"]
		o.Dir = filepath.Join(c.dir, "new"+what)
		var err error
		if o.Listen, err = fleet.FreePort(); err != nil {
			t.Fatal(err)
		}
		change(&o)
		c.opts[what] = &o
		c.start(what)
		c.waitFor(what+": "+word, func() bool { return strings.Contains(c.running[what].Duties()[0].Reason, word) })
		c.stop(what)
	}
	says("clash", "in use", func(*group.Options) {})
	says("terms", "drift must be the same", func(o *group.Options) { o.Name = "d"; o.Terms.Drift = 0.02 })
	says("folder", "belongs to", func(o *group.Options) {
		o.Name = "d"
		o.Dir = c.opts["c"].Dir + "-copy"
		copyFolder(t, c.opts["c"].Dir, o.Dir)
	})
	conn, err := net.Dial("tcp", c.listen["a"])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write([]byte(`{"v":99,"for":"ask","from":"z","to":"a"}` + "\n")); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(conn).ReadString('\n'); err != nil || !strings.Contains(line, "version 99") {
		t.Errorf("another version: %q %v", line, err)
	}
	c.acts()
	c.requireOneHolder()
}

func copyFolder(t *testing.T, from, to string) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(from, "member.json"))
	if err == nil {
		err = errors.Join(os.MkdirAll(to, 0o700), os.WriteFile(filepath.Join(to, "member.json"), raw, 0o600))
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Members beside the voters hold duties too and cannot vote; one that its file names is let in,
// leaves and comes again; a receiver that knows a newer epoch ends a holding at once.
func TestMembersBesideVoters(t *testing.T) {
	c := newTestGroup(t, append([]string{"d"}, three...), "x", "y", "z")
	for _, o := range c.opts {
		delete(o.Voters, "d")
	}
	d := c.opts["d"]
	d.Weight = 50
	c.start("a", "b", "c")
	c.acts()
	c.start("d")
	c.waitFor("it holds one", func() bool {
		for _, x := range c.running["d"].Duties() {
			if x.Holder == "d" && x.Executions > 0 {
				return true
			}
		}
		return false
	})
	votes := func(is bool) func() bool {
		return func() bool {
			for _, m := range c.running["d"].Members() {
				if m.Name == "d" && m.Present {
					return m.Voter == is
				}
			}
			return false
		}
	}
	if err := c.running["d"].Join(); err == nil {
		t.Error("a member that no file names votes")
	}
	c.stop("d")
	if _, err := group.Recover(d.Dir, "d", d.Voters); err == nil {
		t.Error("a group was recovered on a member that no file names: others would not find it")
	}
	d.Voters["d"] = d.Listen
	c.start("d")
	c.waitFor("it votes", votes(true))
	ctx, stop := context.WithTimeout(context.Background(), long)
	defer stop()
	c.waitFor("it votes no more", func() bool { _ = c.running["d"].Leave(ctx); return votes(false)() })
	c.waitFor("it votes again", func() bool { _ = c.running["d"].Join(); return votes(true)() })
	from := c.timeline.Now()
	c.receiver.Behave(0, 409, false)
	c.waitFor("given up", func() bool {
		epochs := map[uint64]bool{}
		for _, e := range c.timeline.Events() {
			if e.What == "act" && e.At > from && e.Duty == "x" {
				epochs[e.Epoch] = true
			}
		}
		return len(epochs) > 2
	})
	c.requireOneHolder()
}
