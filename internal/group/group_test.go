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

// A duty must not be executed by two members at once while its lease changes hands, with clocks that
// run up to 1% too fast or too slow. A holder that is partitioned from the other members, but not from
// the receiver, stops by its own clock, and another member continues under a newer epoch. A command
// moves a duty to the member that it names. A holder that stops hands its duties over.
func TestHandOverOnPartitionAndCommand(t *testing.T) {
	cluster := newTestGroup(t, threeMembers, "x", "y")
	for name, rate := range map[string]float64{"a": 0.991, "b": 1.009} {
		cluster.memberOptions[name].Clock = func() time.Duration { return time.Duration(float64(group.Boottime()) * rate) }
	}
	cluster.start(threeMembers...)
	for range 2 {
		holder := cluster.awaitExecutions()
		cluster.setIsolated(holder, true)
		cluster.waitFor("another member executes the duty", func() bool { return cluster.awaitExecutions() != holder })
		for _, duty := range cluster.running[holder].Duties() {
			if duty.Holder != "" || duty.Reason == "" {
				t.Errorf("the isolated member shows a holder, or no reason: %+v", duty)
			}
		}
		cluster.setIsolated(holder, false)
	}
	holder := cluster.awaitExecutions()
	recipient := otherThan(holder)
	ctx, stop := context.WithTimeout(context.Background(), hangTimeout)
	defer stop()
	cluster.waitFor("the leader accepts the hand-over",
		func() bool { return cluster.running[otherThan(recipient)].HandOver(ctx, "x", recipient) == nil })
	cluster.waitFor("the recipient executes the duty", func() bool { return cluster.awaitExecutions() == recipient })
	// No execution ends in time now: each one is aborted, its error is shown, and the duty stays held.
	cluster.receiver.SetBehavior(leaseLength, 0, false)
	cluster.waitFor("the holder shows the error of an execution", func() bool {
		for _, duty := range cluster.running[recipient].Duties() {
			if duty.Holder == recipient && strings.Contains(duty.Reason, "deadline") {
				return true
			}
		}
		return false
	})
	cluster.receiver.SetBehavior(0, 0, false)
	cluster.stop(recipient)
	cluster.waitFor("a member other than the stopped one executes the duty",
		func() bool { return cluster.awaitExecutions() != recipient })
	if err := cluster.running[holder].HandOver(ctx, "x", recipient); err == nil {
		t.Errorf("a duty was handed over to a member that is absent: %v", err)
	}
	cluster.requireOneHolder()
}

// The check of the other tests must detect an overlap: a holder whose clock is far slower than the
// allowed drift uses its lease for too long, and the receiver accepts executions of any epoch.
func TestSlowClockIsDetected(t *testing.T) {
	cluster := newTestGroup(t, threeMembers, "x")
	cluster.receiver.SetBehavior(leaseLength/8, 0, true)
	slowed := map[string]*atomic.Int64{}
	for _, name := range threeMembers {
		slowedAt := &atomic.Int64{}
		slowed[name] = slowedAt
		cluster.memberOptions[name].Clock = func() time.Duration {
			if since := slowedAt.Load(); since != 0 {
				return time.Duration(since) + (group.Boottime()-time.Duration(since))/10 // a tenth of the normal speed
			}
			return group.Boottime()
		}
	}
	cluster.start(threeMembers...)
	holder := cluster.awaitExecutions()
	slowed[holder].Store(int64(group.Boottime()))
	cluster.setIsolated(holder, true)
	cluster.waitFor("the check finds the overlap in the timeline", func() bool {
		verdict := fleet.Check(cluster.timeline.Events())
		return verdict.Overlaps+verdict.StaleExecutions > 0
	})
}

// A member that must not join is refused with an explanation, and the group continues without it: a
// name that is in use, other lease terms, the folder of another member, other voters at the first
// start, another protocol version.
func TestMisconfiguredMembersAreRefused(t *testing.T) {
	cluster := newTestGroup(t, threeMembers, "x")
	original := *cluster.memberOptions["c"]
	cluster.start("a", "b")
	cluster.waitFor("the first start waits for all voters",
		func() bool { return strings.Contains(cluster.running["a"].Duties()[0].Reason, "waits for") })
	changed := original
	changed.Voters = map[string]string{"a": original.Voters["a"], "b": original.Voters["b"], "z": original.Listen}
	cluster.memberOptions["c"] = &changed
	cluster.start("c")
	cluster.waitFor("the other voters of a member are reported",
		func() bool { return strings.Contains(cluster.running["a"].Duties()[0].Reason, "other voters") })
	cluster.stop("c")
	cluster.memberOptions["c"] = &original
	cluster.start("c")
	cluster.awaitExecutions()
	expectReason := func(variant, reason string, change func(*group.Options)) {
		t.Helper()
		options := *cluster.memberOptions["c"]
		options.Dir = filepath.Join(cluster.dir, "new"+variant)
		var err error
		if options.Listen, err = fleet.FreePort(); err != nil {
			t.Fatal(err)
		}
		change(&options)
		cluster.memberOptions[variant] = &options
		cluster.start(variant)
		cluster.waitFor(variant+": "+reason,
			func() bool { return strings.Contains(cluster.running[variant].Duties()[0].Reason, reason) })
		cluster.stop(variant)
	}
	expectReason("clash", "in use", func(*group.Options) {})
	expectReason("terms", "drift must be the same",
		func(options *group.Options) { options.Name = "d"; options.Terms.Drift = 0.02 })
	expectReason("folder", "belongs to", func(options *group.Options) {
		options.Name = "d"
		options.Dir = cluster.memberOptions["c"].Dir + "-copy"
		copyFolder(t, cluster.memberOptions["c"].Dir, options.Dir)
	})
	conn, err := net.Dial("tcp", cluster.listen["a"])
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
	cluster.awaitExecutions()
	cluster.requireOneHolder()
}

// copyFolder copies the member.json of a folder to a new folder.
func copyFolder(t *testing.T, source, target string) {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(source, "member.json"))
	if err == nil {
		err = errors.Join(os.MkdirAll(target, 0o700), os.WriteFile(filepath.Join(target, "member.json"), raw, 0o600))
	}
	if err != nil {
		t.Fatal(err)
	}
}

// Members that are not voters hold duties, but cannot vote. A member that its settings list as a voter
// can become one, leave the voters and join them again. A holder releases a duty at once if the
// receiver replies that it has recorded a newer epoch.
func TestNonVotingMembers(t *testing.T) {
	cluster := newTestGroup(t, append([]string{"d"}, threeMembers...), "x", "y", "z")
	for _, options := range cluster.memberOptions {
		delete(options.Voters, "d")
	}
	nonVoter := cluster.memberOptions["d"]
	nonVoter.Weight = 50
	cluster.start("a", "b", "c")
	cluster.awaitExecutions()
	cluster.start("d")
	cluster.waitFor("the non-voter executes a duty", func() bool {
		for _, duty := range cluster.running["d"].Duties() {
			if duty.Holder == "d" && duty.Executions > 0 {
				return true
			}
		}
		return false
	})
	hasVote := func(expected bool) func() bool {
		return func() bool {
			for _, member := range cluster.running["d"].Members() {
				if member.Name == "d" && member.Present {
					return member.Voter == expected
				}
			}
			return false
		}
	}
	if err := cluster.running["d"].Join(); err == nil {
		t.Error("a member that no settings list as a voter may vote")
	}
	cluster.stop("d")
	if _, err := group.Recover(nonVoter.Dir, "d", nonVoter.Voters); err == nil {
		t.Error("a group was recovered on a member that no settings list as a voter: others would not find it")
	}
	nonVoter.Voters["d"] = nonVoter.Listen
	cluster.start("d")
	cluster.waitFor("the listed member votes", hasVote(true))
	ctx, stop := context.WithTimeout(context.Background(), hangTimeout)
	defer stop()
	cluster.waitFor("the member no longer votes after Leave",
		func() bool { _ = cluster.running["d"].Leave(ctx); return hasVote(false)() })
	cluster.waitFor("the member votes again after Join",
		func() bool { _ = cluster.running["d"].Join(); return hasVote(true)() })
	since := cluster.timeline.Now()
	cluster.receiver.SetBehavior(0, 409, false)
	cluster.waitFor("the duty is released and granted again under newer epochs", func() bool {
		epochs := map[uint64]bool{}
		for _, event := range cluster.timeline.Events() {
			if event.Kind == "act" && event.At > since && event.Duty == "x" {
				epochs[event.Epoch] = true
			}
		}
		return len(epochs) > 2
	})
	cluster.requireOneHolder()
}
