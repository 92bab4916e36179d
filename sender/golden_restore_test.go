package sender

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/provenance"
	"brackendale/scheduler"
)

// ids returns ids of the golden folder's messages: each of states with each of classes.
func ids(classes []string, states ...string) (list []string) {
	for _, state := range states {
		for _, class := range classes {
			list = append(list, state+"-"+class)
		}
	}
	slices.Sort(list)
	return list
}

// without returns list without the ids in dropped.
func without(list, dropped []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(id string) bool { return slices.Contains(dropped, id) })
}

// restoreCase is one way to restore the golden folder, with the expected disposition of each message.
type restoreCase struct {
	name, bootID         string // bootID is that of the boot in which the folder is restored
	trust                FolderTrust
	now                  clock.Instant // 0: the machine's clock
	problem              string
	continued, ambiguous []string
	expired              []string
	notified             provenance.Disposition
	start                string
}

var (
	allClasses           = []string{"once", "key", "free"}
	nonIdempotentClasses = []string{"once", "key"}
	idempotentClasses    = []string{"free"}
)

const copiedProblem = "its files are copies of those of life 1"

// restoreCases returns the cases of both tests. Those with a time are used only for plans, since a
// sender uses the machine's clock.
func restoreCases() []restoreCase {
	notRun := ids(allClasses, "untried", "turned")
	ambiguous := ids(nonIdempotentClasses, "open", "mayrun")
	continued := append(ids(idempotentClasses, "open", "mayrun"), notRun...)
	continuedInWindow := append(ids([]string{"key"}, "open", "mayrun"), continued...)
	ambiguousInWindow := ids([]string{"once"}, "open", "mayrun")
	allIdempotent := ids(idempotentClasses, "untried", "open", "turned", "mayrun")
	allNonIdempotent := ids(nonIdempotentClasses, "untried", "open", "turned", "mayrun")
	// A message with an idempotency key that was not attempted is still sent from an older folder of
	// another boot. It keeps the 50 of 60 seconds that it had left in the previous incarnation, so it counts
	// as ten seconds old, which is within the idempotency window.
	keyedInWindow := ids([]string{"key"}, "untried", "turned")
	olderContinued, olderAmbiguous := append(slices.Clone(keyedInWindow), allIdempotent...),
		without(allNonIdempotent, keyedInWindow)
	return []restoreCase{
		{"another boot", otherBoot, FolderMoved, 0, "", continued, ambiguous, nil, provenance.DispositionNotify, "kept"},
		{
			"another boot, trusted", otherBoot, FolderTrusted, 0, "", continued, ambiguous, nil,
			provenance.DispositionNotify, "kept",
		},
		{
			"another boot, a copy", otherBoot, FolderVerified, 0, copiedProblem, olderContinued, olderAmbiguous, nil,
			provenance.DispositionNotifyAgain, "old",
		},
		{
			"another boot, restored", otherBoot, FolderRestored, 0, "by the operator's word", olderContinued, olderAmbiguous,
			nil, provenance.DispositionNotifyAgain, "old",
		},
		{
			"this boot, a second later", goldenBoot, FolderMoved, 2_000_000, "", continuedInWindow, ambiguousInWindow, nil,
			provenance.DispositionNotify, "",
		},
		{
			"this boot, behind the window", goldenBoot, FolderMoved, 31_000_000, "", continued, ambiguous, nil,
			provenance.DispositionNotify, "",
		},
		{
			"this boot, too late", goldenBoot, FolderMoved, 51_000_000, "", nil, ambiguous, continued,
			provenance.DispositionNotify, "",
		},
		{
			"this boot, a copy behind the window", goldenBoot, FolderVerified, 31_000_000, copiedProblem, allIdempotent,
			allNonIdempotent, nil, provenance.DispositionNotifyAgain, "",
		},
	}
}

// PlanRecovery gives the expected disposition for each message of the golden folder.
func TestGoldenFolderPlan(t *testing.T) {
	for _, test := range restoreCases() {
		t.Run(test.name, func(t *testing.T) {
			t.Cleanup(clock.SetBootID(test.bootID))
			now := test.now
			if now == 0 {
				now = clock.Steady()
			}
			plan, err := PlanRecovery(goldenFolder(t), "n1", test.trust, goldenSettings(), goldenDisk, now)
			if err != nil || plan.Problem != test.problem {
				t.Fatal(plan.Problem, err)
			}
			got := map[string]provenance.Disposition{}
			for _, message := range plan.Messages {
				got[message.ID] = message.Disposition
			}
			want := map[string]provenance.Disposition{"ended": test.notified, "back": test.notified}
			for disposition, list := range map[provenance.Disposition][]string{
				provenance.DispositionContinue:  test.continued,
				provenance.DispositionAmbiguous: test.ambiguous,
				provenance.DispositionExpired:   test.expired,
			} {
				for _, id := range list {
					want[id] = disposition
				}
			}
			if !maps.Equal(got, want) || plan.Counts[provenance.DispositionAcknowledged] != 1 || len(want) != 14 {
				t.Errorf("got  %v\nwant %v\n%v", got, want, plan.Counts)
			}
		})
	}
}

// An incarnation that restores the golden folder sends the expected attempts and final answers and has
// the expected metrics.
func TestGoldenFolderRestored(t *testing.T) {
	for _, test := range restoreCases() {
		if test.now != 0 {
			continue
		}
		t.Run(test.name, func(t *testing.T) {
			t.Cleanup(clock.SetBootID(test.bootID))
			dir := goldenFolder(t)
			core, err := New(goldenOptions(dir, test.trust))
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = core.journal.Close() })
			if core.recovery.folderProblem != test.problem || !slices.Equal(core.reported.removed, []string{"gone-target"}) {
				t.Errorf("problem %q, draining %v", core.recovery.folderProblem, core.reported.removed)
			}
			checkDeadlines(t, core)
			front := restoreGolden(t, core, len(test.continued))
			checkAttempts(t, front, test.continued)
			checkAnswers(t, front, test.ambiguous)
			checkRecovery(t, core, test)
			if entry := core.journal.Get("heard"); entry == nil || !entry.Acknowledged || entry.FinalAnswer != "delivered" {
				t.Errorf("acknowledged: %+v", entry)
			}
		})
	}
}

// checkDeadlines checks that each message has the time left that it had when the previous incarnation was
// killed.
func checkDeadlines(t *testing.T, core *Sender) {
	t.Helper()
	for _, entry := range core.journal.Entries() {
		if left := entry.Deadline - core.startInstant; left > goldenTimeLeft || left < goldenTimeLeft-20_000_000 {
			t.Errorf("%s has %d us left", entry.ID, left)
		}
	}
}

// restoreGolden restores the messages and runs iterations until the given number of attempts has been
// sent, and five more, which must not add attempts.
func restoreGolden(t *testing.T, core *Sender, attempts int) *recordingFront {
	t.Helper()
	front := &recordingFront{sender: core, mustNotify: true, deduplicates: true}
	core.AddIngress("f", front)
	core.AddEgress("p", front)
	core.UpdateRoutes("whole", []Route{{Endpoint: scheduler.Endpoint{
		Addr: "a", MachineType: "k", Destination: 1,
		State: "live",
	}, Protocol: "p"}})
	core.runPosted()
	core.restoreJournal()
	deadline := time.Now().Add(15 * time.Second)
	for reported := 0; len(front.attempts) < attempts && time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		front.step(t)
		for ; reported < len(front.attempts); reported++ {
			attempt := front.attempts[reported]
			core.ReportAttempts(AttemptResult{ID: attempt.ID, Attempt: attempt.Number, Endpoint: "a", Outcome: OutcomeSuccess})
		}
	}
	for range 5 {
		front.step(t)
	}
	return front
}

// checkAttempts checks the ids of the attempted messages, and their keys and bodies.
func checkAttempts(t *testing.T, front *recordingFront, want []string) {
	t.Helper()
	var got []string
	for _, attempt := range front.attempts {
		got = append(got, attempt.ID)
		if attempt.Key != "key-"+attempt.ID || string(attempt.Body) != attempt.ID {
			t.Errorf("%s is sent with key %q and body %q", attempt.ID, attempt.Key, attempt.Body)
		}
	}
	slices.Sort(got)
	want = slices.Sorted(slices.Values(want))
	if !slices.Equal(got, want) {
		t.Errorf("attempts:\ngot  %v\nwant %v", got, want)
	}
}

// checkAnswers checks the final answers that are sent: those of the previous incarnation, those of the
// ambiguous messages, and those of the attempts.
func checkAnswers(t *testing.T, front *recordingFront, ambiguous []string) {
	t.Helper()
	want := []string{"ended delivered again", "back returned again"}
	for _, id := range ambiguous {
		want = append(want, id+" failed")
	}
	for _, attempt := range front.attempts {
		want = append(want, attempt.ID+" delivered")
	}
	got := slices.Sorted(slices.Values(front.answers))
	slices.Sort(want)
	if !slices.Equal(got, want) {
		t.Errorf("final answers:\ngot  %v\nwant %v", got, want)
	}
}

// checkRecovery checks the metrics of the start and the number of the incarnation.
func checkRecovery(t *testing.T, core *Sender, test restoreCase) {
	t.Helper()
	want := map[string]string{
		"lb_life_start": "1 [case " + test.start + "]", "lb_life_taken_up": "12 []",
		"lb_life_doubtful": fmt.Sprintf("%d []", len(test.ambiguous)),
	}
	for _, metric := range core.RecoveryMetrics() {
		if wanted, ok := want[metric.Name]; ok && wanted != fmt.Sprint(metric.Value, metric.Label) {
			t.Errorf("%s %v %v, want %s", metric.Name, metric.Value, metric.Label, wanted)
		}
		delete(want, metric.Name)
	}
	if len(want) > 0 {
		t.Errorf("missing metrics: %v", want)
	}
	if core.journal.Incarnation() != map[FolderTrust]uint64{
		FolderTrusted: 1, FolderVerified: 2, FolderRestored: 2,
		FolderMoved: 2,
	}[test.trust] {
		t.Errorf("incarnation %d", core.journal.Incarnation())
	}
}
