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
	leaseLength = 400 * time.Millisecond
	hangTimeout = 30 * time.Second // fails a test that hangs; no other result depends on it
)

// testGroup is a group whose members run in this process. Each two members are connected by links that
// can inject faults.
type testGroup struct {
	t             *testing.T
	dir           string
	timeline      *fleet.Timeline
	receiver      *fleet.Receiver
	memberOptions map[string]*group.Options
	links         map[[2]string]*fleet.Link // by caller and target
	listen        map[string]string         // addresses by member
	running       map[string]*runningMember
	duties        []string
}

// runningMember is a member whose Run is in progress.
type runningMember struct {
	*group.Group
	stop func()
}

// newTestGroup prepares members that may hold the duties; start starts them.
func newTestGroup(t *testing.T, names []string, duties ...string) *testGroup {
	t.Helper()
	cluster := &testGroup{
		t:             t,
		dir:           t.TempDir(),
		timeline:      fleet.NewTimeline(),
		memberOptions: map[string]*group.Options{},
		links:         map[[2]string]*fleet.Link{},
		listen:        map[string]string{},
		running:       map[string]*runningMember{},
		duties:        duties,
	}
	var err error
	if cluster.receiver, err = fleet.NewReceiver(cluster.timeline); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.receiver.Close)
	for _, name := range names {
		if cluster.listen[name], err = fleet.FreePort(); err != nil {
			t.Fatal(err)
		}
	}
	for _, name := range names {
		cluster.memberOptions[name] = cluster.options(name, names)
	}
	t.Cleanup(func() {
		for name := range cluster.running {
			cluster.stop(name)
		}
	})
	return cluster
}

// options returns the options of a member, which connects to each other member over a separate link.
func (c *testGroup) options(name string, names []string) *group.Options {
	c.t.Helper()
	options := &group.Options{
		Name:   name,
		Listen: c.listen[name],
		Voters: map[string]string{},
		Dir:    filepath.Join(c.dir, name),
		Terms:  lease.Terms{Length: leaseLength, Drift: 0.01},
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
			Name: duty, Every: leaseLength / 8, MaxDuration: leaseLength / 4,
			Execute: group.HTTPExecutor("http://" + c.receiver.Addr() + "/act"),
		})
	}
	return options
}

// start starts members.
func (c *testGroup) start(names ...string) {
	for _, name := range names {
		ctx, cancel := context.WithCancel(context.Background())
		member, done := group.New(*c.memberOptions[name]), make(chan struct{})
		go func() { defer close(done); member.Run(ctx) }()
		c.running[name] = &runningMember{member, func() { cancel(); <-done }}
	}
}

// stop stops a member gracefully if it runs.
func (c *testGroup) stop(name string) {
	if member := c.running[name]; member != nil {
		delete(c.running, name)
		member.stop()
	}
}

// votes reports whether a member is a voter of the group again, by its own view.
func (c *testGroup) votes(name string) bool {
	for _, member := range c.running[name].Members() {
		if member.Name == name && member.Voter && member.Present && member.Incarnation > 1 {
			return true
		}
	}
	return false
}

// setIsolated cuts all links to and from a member, or restores them.
func (c *testGroup) setIsolated(name string, isolated bool) {
	for ends, link := range c.links {
		if ends[0] == name || ends[1] == name {
			link.Set(fleet.LinkConditions{Cut: isolated}, fleet.LinkConditions{Cut: isolated})
		}
	}
}

// waitFor waits until a condition holds. It fails the test after hangTimeout.
func (c *testGroup) waitFor(condition string, holds func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(hangTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			for name, member := range c.running {
				c.t.Logf("%s: %+v %+v", name, member.Duties(), member.Members())
			}
			c.t.Fatalf("never: %s", condition)
		}
	}
}

// awaitExecutions waits until an execution of each duty has begun since this call, and returns the
// member that executed the first duty.
func (c *testGroup) awaitExecutions() (executor string) {
	c.t.Helper()
	start := c.timeline.Now()
	c.waitFor("each duty is executed", func() bool {
		executors := map[string]string{}
		for _, event := range c.timeline.Events() {
			if event.Kind == "act" && event.At > start {
				executors[event.Duty] = event.Member
			}
		}
		executor = executors[c.duties[0]]
		return len(executors) == len(c.duties)
	})
	return executor
}

// requireOneHolder fails the test if two members held a duty at once.
func (c *testGroup) requireOneHolder() {
	c.t.Helper()
	if verdict := fleet.Check(c.timeline.Events()); !verdict.Passed() {
		c.t.Errorf("%d overlapping executions, %d of an old epoch, %d epochs of two members: %s",
			verdict.Overlaps, verdict.StaleExecutions, verdict.SharedEpochs, strings.Join(verdict.Violations, "\n"))
	}
}

// leader waits until a member reports itself as the leader, and returns its name.
func (c *testGroup) leader() (name string) {
	c.t.Helper()
	c.waitFor("a member leads", func() bool {
		for running, member := range c.running {
			for _, view := range member.Members() {
				if view.Leader && view.Name == running {
					name = running
					return true
				}
			}
		}
		return false
	})
	return name
}

// otherThan returns a member of threeMembers that is not excluded.
func otherThan(excluded ...string) string {
	for _, name := range []string{"a", "b", "c"} {
		if fmt.Sprint(excluded) != fmt.Sprint([]string{name}) && !strings.Contains(strings.Join(excluded, ""), name) {
			return name
		}
	}
	return ""
}

// threeMembers are the names of the members in most tests.
var threeMembers = []string{"a", "b", "c"}
