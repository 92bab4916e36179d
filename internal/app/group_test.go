package app

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"brackendale/internal/testing/fleet"
)

// Runs a group of real processes, with a relay between each two, through a fixed fault schedule: the holder of a duty
// is stopped for longer than its lease and continues; the leader is killed; the holder is isolated from the other
// members but not from the receiver of executions; a member can only receive or only send; the group is split into
// two halves, or into halves that one member connects; links are slow; all members are killed at the same time; the
// state of a member is deleted, or replaced by an older copy; the disk of the leader and of the holder is full; a
// duty is handed over on request, and by a holder that shuts down. No execution of a duty overlaps another one, no
// execution under an older epoch is accepted, and every duty has a holder at the end.
func TestGroupThroughFaults(t *testing.T) {
	t.Parallel()
	const lease = 500 * time.Millisecond
	step := func(action string, members ...string) fleet.Step {
		return fleet.Step{Fault: action, Targets: members, Length: 2 * lease}
	}
	plan := []fleet.Step{
		step("stop", "holder:duty1"), step("kill", "leader"), step("cut", "holder:duty1"), step("mute", "holder:duty2"),
		step("deaf", "leader"), step("part", "a", "b"), step("bridge", "a", "c"), step("slow", "b"),
		step("stop", "leader"), step("empty", "c"),
		step("killall"), step("hand", "d"),
		step("term", "holder:duty1"), step("old", "b"), step("full", "leader"), step("full", "holder:duty1"),
	}
	for i := range plan {
		plan[i].At = time.Duration(i) * 3 * lease
	}
	dir, err := fleet.TempDir()
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	report, _, err := fleet.Scenario{
		Program: os.Args[0], Dir: dir, Members: 5, Duties: 2, Lease: lease, Interval: lease / 10, MaxDuration: lease / 4,
		ExecutionTime: 5 * time.Millisecond, Seed: 1, Plan: plan,
	}.Run()
	if err != nil {
		t.Fatal(err)
	}
	if verdict := report.Verdict; !verdict.Passed() || verdict.Executions < 50 || len(report.Handovers) < 3 {
		t.Errorf("%+v, %d hand-overs", verdict, len(report.Handovers))
	}
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	failed := 0
	for _, file := range logs {
		text, _ := os.ReadFile(file)
		failed += strings.Count(string(text), "the disk has failed the log")
	}
	if err != nil || failed == 0 {
		t.Errorf("%v: no member logged a failure of its disk", err)
	}
	t.Logf("%d disk failures logged", failed)
	t.Logf("%d executions, %d rejected, %d hand-overs, %v",
		report.Verdict.Executions, report.Verdict.Refused,
		len(report.Handovers), report.Pauses)
}

// A partner that was unavailable recovers in slow start, just when the member that probes it for the group is stopped
// for longer than its lease, or killed: another member continues to probe it, the partner does not fail again under
// the load of all members, and the accepted messages are delivered.
func TestSlowStartWhileProbingMemberFails(t *testing.T) {
	for _, fault := range []string{"stop", "kill"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			dir, err := fleet.TempDir()
			if err != nil {
				t.Fatal(err)
			}
			defer os.RemoveAll(dir)
			phases, err := fleet.LimitScenario{
				Program: os.Args[0], Dir: dir, Senders: 4, LimitPerS: 60, Demand: 0.6, Group: true,
				ColdReturn: true, ProbeFault: fault,
				WarmUp: 2 * time.Second, PhaseLength: 8 * time.Second, EndpointDowntime: 2 * time.Second,
			}.Run()
			if err != nil {
				t.Fatal(err)
			}
			// Probes by all members, as without a group, are several calls per second. If the group has lost its leader, too,
			// each member may probe by itself.
			if recovery := phases[1]; recovery.Collapses != 0 || recovery.SoleProbes < 2 && !recovery.WasLeader ||
				recovery.Lost > 1.5 || recovery.Used < 0.1 {
				t.Errorf("%+v", recovery)
			}
		})
	}
}

// All members are requested to drain at the same time: one drains and restarts, the others receive the reason why
// they may not drain yet, and each may drain once the previous one has restarted. No two members may drain at the
// same time.
func TestConcurrentDrainRequests(t *testing.T) {
	t.Parallel()
	dir, err := fleet.TempDir()
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	names := []string{"a", "b", "c"}
	cluster, err := fleet.NewCluster(os.Args[0], dir, names, nil, 1, fleet.NewTimeline(),
		func(member *fleet.Member) string {
			respAddr, err := fleet.FreePort()
			if err != nil {
				t.Error(err)
			}
			text := fmt.Sprintf("name = %q\n[limits]\ndisk_mb = 16\n[console]\nsocket = \"b.sock\"\n[resp]\nlisten = %q\n"+
				"finals = \"127.0.0.1:1\"\n[[class]]\nname = \"safe\"\neffect = \"repeatable\"\n"+
				"aim_ms = 2000\ndeadline_ms = 20000\nworth = 1\n[[route]]\nname = \"r\"\ndest = 1\nproto = \"http\"\ndial = "+
				"\"127.0.0.1:1\"\n"+
				"[group]\nname = %q\nlisten = %q\nlease_ms = 500\nmembers = [", member.Name, respAddr, member.Name, member.Listen)
			for _, name := range names {
				text += fmt.Sprintf("%q, ", name+"="+member.Addrs[name])
			}
			return text + "]\n[[duty]]\nname = \"restarts\"\nkind = \"roll\"\n"
		})
	if err != nil {
		t.Fatal(err)
	}
	defer cluster.Close()
	if err := cluster.StartMembers(); err != nil {
		t.Fatal(err)
	}
	restarted, lastReasons := map[string]int{}, []string(nil)
	for deadline := time.Now().Add(60 * time.Second); len(restarted) < len(names); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("only these members drained: %v; last replies: %v", restarted, lastReasons)
		}
		var requests sync.WaitGroup
		drained, reasons := make([]bool, len(names)), make([]string, len(names))
		for i, name := range names {
			if restarted[name] > 0 { // on a second request it would drain again, and the test would not start it again
				continue
			}
			requests.Add(1)
			go func() {
				defer requests.Done()
				var reply struct{ Error, Text string }
				err := fleet.AskSocket(cluster.Member(name).Socket(), "drain", &reply)
				reasons[i] = fmt.Sprint(err, reply.Error)
				drained[i] = err == nil && reply.Error == ""
			}()
		}
		requests.Wait()
		draining := ""
		lastReasons = reasons
		for i, name := range names {
			if drained[i] {
				if draining != "" {
					t.Fatalf("%s and %s drain at the same time", draining, name)
				}
				draining = name
			}
		}
		if draining == "" {
			continue
		}
		restarted[draining]++
		for exitDeadline := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			if exited, err := cluster.Proc(draining).Ended(); exited && err != nil || time.Now().After(exitDeadline) {
				t.Fatal(draining, exited, err)
			} else if exited {
				break
			}
		}
		if err := cluster.StartMembers(draining); err != nil {
			t.Fatal(err)
		}
	}
}
