package group_test

import (
	"context"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"brackendale/internal/group"
	"brackendale/internal/lease"
	"brackendale/internal/testing/fleet"

	"github.com/rs/zerolog"
)

const (
	length = 400 * time.Millisecond // of a lease
	long   = 30 * time.Second       // ends a hang; no test passes or fails by time
)

// testGroup is members in this process, with a link between each two.
type testGroup struct {
	t        *testing.T
	dir      string
	timeline *fleet.Timeline
	receiver *fleet.Receiver
	opts     map[string]*group.Options
	links    map[[2]string]*fleet.Link
	listen   map[string]string
	running  map[string]*runningMember
	duties   []string
}

// runningMember is a member that takes part.
type runningMember struct {
	*group.Group
	stop func()
}

// newTestGroup makes members with these duties; start lets them take part.
func newTestGroup(t *testing.T, names []string, duties ...string) *testGroup {
	t.Helper()
	c := &testGroup{
		t:        t,
		dir:      t.TempDir(),
		timeline: fleet.NewTimeline(),
		opts:     map[string]*group.Options{},
		links:    map[[2]string]*fleet.Link{},
		listen:   map[string]string{},
		running:  map[string]*runningMember{},
		duties:   duties,
	}
	var err error
	if c.receiver, err = fleet.NewReceiver(c.timeline); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.receiver.Close)
	for _, name := range names {
		if c.listen[name], err = fleet.FreePort(); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range names {
		c.opts[name] = c.options(name, names)
	}
	t.Cleanup(func() {
		for name := range c.running {
			c.stop(name)
		}
	})
	return c
}

// options is those of a member, which reaches each other one over a link of its own.
func (c *testGroup) options(name string, names []string) *group.Options {
	c.t.Helper()
	options := &group.Options{
		Name:   name,
		Listen: c.listen[name],
		Voters: map[string]string{},
		Dir:    filepath.Join(c.dir, name),
		Terms:  lease.Terms{Length: length, Drift: 0.01},
		Log:    zerolog.New(zerolog.NewTestWriter(c.t)).Level(zerolog.WarnLevel),
	}
	for _, peer := range names {
		if peer == name {
			options.Voters[peer] = c.listen[peer]
			continue
		}
		link, err := fleet.NewLink(c.listen[peer], int64(len(c.links)))
		if err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(link.Close)
		c.links[[2]string{name, peer}] = link
		options.Voters[peer] = link.Addr()
	}
	for _, duty := range c.duties {
		options.Duties = append(options.Duties, group.Duty{
			Name: duty, Every: length / 8, MaxDuration: length / 4,
			Execute: group.HTTPExecutor("http://" + c.receiver.Addr() + "/act"),
		})
	}
	return options
}

// start lets members take part.
func (c *testGroup) start(names ...string) {
	for _, name := range names {
		ctx, cancel := context.WithCancel(context.Background())
		member, done := group.New(*c.opts[name]), make(chan struct{})
		go func() { defer close(done); member.Run(ctx) }()
		c.running[name] = &runningMember{member, func() { cancel(); <-done }}
	}
}

// stop ends a member in order, if it runs.
func (c *testGroup) stop(name string) {
	if member := c.running[name]; member != nil {
		delete(c.running, name)
		member.stop()
	}
}

// cut cuts a member off from all others, both ways, or lets all through again.
func (c *testGroup) cut(name string, on bool) {
	for ends, link := range c.links {
		if ends[0] == name || ends[1] == name {
			link.Set(fleet.LinkConditions{Cut: on}, fleet.LinkConditions{Cut: on})
		}
	}
}

// waitFor waits until something holds.
func (c *testGroup) waitFor(what string, is func() bool) {
	c.t.Helper()
	for end := time.Now().Add(long); !is(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			for name, member := range c.running {
				c.t.Logf("%s: %+v %+v", name, member.Duties(), member.Members())
			}
			c.t.Fatalf("never: %s", what)
		}
	}
}

// acts waits for an act of each duty that begins after this moment, and tells who carries out the
// first one.
func (c *testGroup) acts() (who string) {
	c.t.Helper()
	from := c.timeline.Now()
	c.waitFor("an act of each duty", func() bool {
		seen := map[string]string{}
		for _, event := range c.timeline.Events() {
			if event.What == "act" && event.At > from {
				seen[event.Duty] = event.Who
			}
		}
		who = seen[c.duties[0]]
		return len(seen) == len(c.duties)
	})
	return who
}

// requireOneHolder fails the test where two held a duty at once.
func (c *testGroup) requireOneHolder() {
	c.t.Helper()
	if verdict := fleet.Check(c.timeline.Events()); !verdict.Right() {
		c.t.Errorf("%d overlaps, %d old, %d shared: %s", verdict.Overlaps, verdict.Old, verdict.Shared,
			strings.Join(verdict.Broken, "\n"))
	}
}

// leader waits until a member sees itself lead.
func (c *testGroup) leader() (name string) {
	c.t.Helper()
	c.waitFor("a leader", func() bool {
		for running, member := range c.running {
			for _, m := range member.Members() {
				if m.Leader && m.Name == running {
					name = running
					return true
				}
			}
		}
		return false
	})
	return name
}

// other is a member that is none of those given.
func other(than ...string) string {
	for _, n := range []string{"a", "b", "c"} {
		if fmt.Sprint(than) != fmt.Sprint([]string{n}) && !strings.Contains(strings.Join(than, ""), n) {
			return n
		}
	}
	return ""
}

// three is the names of a usual group.
var three = []string{"a", "b", "c"}
