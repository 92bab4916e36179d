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

// Real processes with a relay between each two, and the same faults each time: the holder is
// stopped past its lease and goes on, the leader is killed, the holder is cut off from the others
// but not from the receiver, hears and is not heard, is heard and does not hear; two halves, a
// bridge, slow links, all killed in one instant, one emptied, one put back, the leader's and the
// holder's disk full; a duty handed on by order, and by a holder that ends in order. No act
// overlaps another of its duty, none of an older epoch is taken, and every duty is held again at
// the end.
func TestGroupThroughFaults(t *testing.T) {
	t.Parallel()
	const lease = 500 * time.Millisecond
	step := func(do string, whom ...string) fleet.Step {
		return fleet.Step{Fault: do, Targets: whom, Length: 2 * lease}
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
	rep, _, err := fleet.Scenario{
		Program: os.Args[0], Dir: dir, Members: 5, Duties: 2, Lease: lease, Interval: lease / 10, MaxDuration: lease / 4,
		ExecutionTime: 5 * time.Millisecond, Seed: 1, Plan: plan,
	}.Run()
	if err != nil {
		t.Fatal(err)
	}
	if v := rep.Verdict; !v.Passed() || v.Executions < 50 || len(rep.Handovers) < 3 {
		t.Errorf("%+v, %d hand-overs", v, len(rep.Handovers))
	}
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	failed := 0
	for _, f := range logs {
		raw, _ := os.ReadFile(f)
		failed += strings.Count(string(raw), "the disk has failed the log")
	}
	if err != nil || failed == 0 {
		t.Errorf("%v: no member's log was failed by its disk", err)
	}
	t.Logf("%d times the disk failed a log", failed)
	t.Logf("%d acts, %d refused, %d hand-overs, %v", rep.Verdict.Executions, rep.Verdict.Refused,
		len(rep.Handovers), rep.Pauses)
}

// A partner that was unavailable comes back in slow start, just when the member that probes it for all is stopped for
// longer than its lease, or killed: another member probes on, the partner does not fail again under the load of all,
// and the accepted messages arrive.
func TestColdReturnWhileItsTrialChangesHands(t *testing.T) {
	for _, fault := range []string{"stop", "kill"} {
		t.Run(fault, func(t *testing.T) {
			t.Parallel()
			dir, err := fleet.TempDir()
			if err != nil {
				t.Fatal(err)
			}
			defer os.RemoveAll(dir)
			out, err := fleet.LimitScenario{
				Program: os.Args[0], Dir: dir, Senders: 4, LimitPerS: 60, Demand: 0.6, Group: true,
				ColdReturn: true, ProbeFault: fault,
				WarmUp: 2 * time.Second, PhaseLength: 8 * time.Second, EndpointDowntime: 2 * time.Second,
			}.Run()
			if err != nil {
				t.Fatal(err)
			}
			// Probes by all members, as without a group, are several calls a second. Where the group
			// has lost its leader too each member may probe for itself.
			if back := out[1]; back.Collapses != 0 || back.SoleProbes < 2 && !back.WasLeader ||
				back.Lost > 1.5 || back.Used < 0.1 {
				t.Errorf("%+v", back)
			}
		})
	}
}

// All members are asked to drain at the same time: one goes, the others get the reason why not yet, and each gets its
// turn once the one before it is back; no two are out together.
func TestDrainAskedOfAllAtOnce(t *testing.T) {
	t.Parallel()
	dir, err := fleet.TempDir()
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	names := []string{"a", "b", "c"}
	w, err := fleet.NewCluster(os.Args[0], dir, names, nil, 1, fleet.NewTimeline(), func(m *fleet.Member) string {
		at, err := fleet.FreePort()
		if err != nil {
			t.Error(err)
		}
		text := fmt.Sprintf("name = %q\n[limits]\ndisk_mb = 16\n[console]\nsocket = \"b.sock\"\n[resp]\nlisten = %q\n"+
			"finals = \"127.0.0.1:1\"\n[[class]]\nname = \"safe\"\neffect = \"repeatable\"\n"+
			"aim_ms = 2000\ndeadline_ms = 20000\nworth = 1\n[[route]]\nname = \"r\"\ndest = 1\nproto = \"http\"\ndial = "+
			"\"127.0.0.1:1\"\n"+
			"[group]\nname = %q\nlisten = %q\nlease_ms = 500\nmembers = [", m.Name, at, m.Name, m.Listen)
		for _, n := range names {
			text += fmt.Sprintf("%q, ", n+"="+m.Addrs[n])
		}
		return text + "]\n[[duty]]\nname = \"restarts\"\nkind = \"roll\"\n"
	})
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	if err := w.StartMembers(); err != nil {
		t.Fatal(err)
	}
	out, last := map[string]int{}, []string(nil)
	for until := time.Now().Add(60 * time.Second); len(out) < len(names); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(until) {
			t.Fatalf("%v went; %v", out, last)
		}
		var all sync.WaitGroup
		went, why := make([]bool, len(names)), make([]string, len(names))
		for i, n := range names {
			if out[n] > 0 { // asked again it would go again, and nobody would start it
				continue
			}
			all.Add(1)
			go func() {
				defer all.Done()
				var r struct{ Error, Text string }
				err := fleet.AskSocket(w.Member(n).Socket(), "drain", &r)
				why[i] = fmt.Sprint(err, r.Error)
				went[i] = err == nil && r.Error == ""
			}()
		}
		all.Wait()
		gone := ""
		last = why
		for i, n := range names {
			if went[i] {
				if gone != "" {
					t.Fatalf("%s and %s are out together", gone, n)
				}
				gone = n
			}
		}
		if gone == "" {
			continue
		}
		out[gone]++
		for end := time.Now().Add(30 * time.Second); ; time.Sleep(10 * time.Millisecond) {
			if over, err := w.Proc(gone).Ended(); over && err != nil || time.Now().After(end) {
				t.Fatal(gone, over, err)
			} else if over {
				break
			}
		}
		if err := w.StartMembers(gone); err != nil {
			t.Fatal(err)
		}
	}
}
