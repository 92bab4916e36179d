package sender

import (
	"testing"
	"time"

	"brackendale/scheduler"

	"github.com/rs/zerolog"
)

// A result that the predecessor reports before the successor has restored the checkpoint is lost: its attempt counts as
// out for good, and ends a second time with the predecessor, while the next attempt is out.
func TestResultBeforeTheCheckpointIsRestored(t *testing.T) {
	dir := t.TempDir()
	settings := testSettings()
	settings.Classes[0].Idempotency = "repeatable"
	old, oldFront := newTestSenderWith(t, dir, 1<<20, settings)
	oldFront.step(t, request(old, "m", 9e6))
	if len(oldFront.attempts) != 1 {
		t.Fatal("attempts:", len(oldFront.attempts))
	}
	checkpoint := old.checkpoint()
	if err := old.journal.Close(); err != nil {
		t.Fatal(err)
	}
	core, err := New(Options{
		Settings: settings, StateDir: dir, DiskBytes: 1 << 20, Log: zerolog.Nop(), Checkpoint: &checkpoint,
	})
	if err != nil {
		t.Fatal(err)
	}
	front := &recordingFront{sender: core, mustNotify: true}
	core.AddIngress("f", front)
	core.AddEgress("p", front)
	core.ReportAttempts(AttemptResult{ID: "m", Attempt: 0, Endpoint: "a", Outcome: OutcomeRejected})
	core.UpdateRoutes("whole", []Route{{
		Endpoint: scheduler.Endpoint{Addr: "a", MachineType: "k", Destination: 1, State: "live"}, Protocol: "p",
	}})
	core.runPosted()
	core.restoreJournal()
	for range maxTestSteps {
		front.step(t)
		if len(front.attempts) > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	core.PredecessorEnded()
	core.runPosted()
	if len(front.attempts) != 1 || core.journal.Get("m").InFlightSince == 0 {
		t.Errorf("%d attempts, and the one of this process is not out after the predecessor's end", len(front.attempts))
	}
	if count := core.Violations(); count > 0 {
		t.Errorf("the guard has found %d violations", count)
	}
}

// maxTestSteps bounds the steps until a message is sent again.
const maxTestSteps = 3000
