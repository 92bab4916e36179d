package sender

import (
	"testing"
	"time"

	"brackendale/scheduler"

	"github.com/rs/zerolog"
)

// cancelRecorder is a predecessor that records what is canceled.
type cancelRecorder struct{ canceled []string }

func (p *cancelRecorder) Cancel(id string, _ int) { p.canceled = append(p.canceled, id) }

// upgradeWithoutClass replaces a sender whose attempt of the message m is in flight by one whose settings lack the
// message's class.
func upgradeWithoutClass(t *testing.T, deadlineUs int64) (*recordingFront, *cancelRecorder) {
	t.Helper()
	dir := t.TempDir()
	old, oldFront := newTestSender(t, dir, 1<<20)
	if oldFront.step(t, request(old, "m", deadlineUs)); len(oldFront.attempts) != 1 {
		t.Fatal("attempts:", len(oldFront.attempts))
	}
	checkpoint := old.checkpoint()
	if err := old.journal.Close(); err != nil {
		t.Fatal(err)
	}
	settings := testSettings()
	settings.Classes[0].Name = "another"
	core, err := New(Options{
		Settings: settings, StateDir: dir, DiskBytes: 1 << 20, Log: zerolog.Nop(), Checkpoint: &checkpoint,
	})
	if err != nil {
		t.Fatal(err)
	}
	front, predecessor := &recordingFront{sender: core, mustNotify: true}, &cancelRecorder{}
	core.AddIngress("f", front)
	core.AddEgress("p", front)
	core.SetPredecessor(predecessor)
	core.UpdateRoutes("whole", []Route{{
		Endpoint: scheduler.Endpoint{Addr: "a", MachineType: "k", Destination: 1, State: "live"}, Protocol: "p",
	}})
	core.runPosted()
	core.restoreJournal()
	front.step(t)
	return front, predecessor
}

// An attempt that a predecessor has in flight decides the end of its message, also if the settings lack its class: an
// end before that would be told while bytes of the attempt may still leave.
func TestUpgradeWithoutTheClass(t *testing.T) {
	for outcome, want := range map[Outcome]string{
		OutcomeSuccess: "m delivered", OutcomeReset: "m failed", OutcomeTimedOut: "m failed",
		OutcomeNotSent: "m returned", OutcomeRejected: "m returned",
	} {
		t.Run(string(outcome), func(t *testing.T) {
			front, _ := upgradeWithoutClass(t, 9e6)
			front.expect(t)
			front.sender.ReportAttempts(AttemptResult{ID: "m", Attempt: 0, Endpoint: "a", Outcome: outcome})
			for range 3 {
				front.step(t)
			}
			if front.expect(t, want); len(front.attempts) > 0 || front.sender.Violations() > 0 {
				t.Error(len(front.attempts), front.sender.Violations())
			}
		})
	}
}

// Such a message has its end by its deadline, and its attempt is canceled before that is told.
func TestDeadlineAfterUpgradeWithoutTheClass(t *testing.T) {
	front, predecessor := upgradeWithoutClass(t, 300_000)
	for range maxTestSteps {
		if front.step(t); len(front.answers) > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	if front.expect(t, "m failed"); len(predecessor.canceled) == 0 {
		t.Error("the attempt was not canceled")
	}
}
