package sender

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"brackendale/internal/journal"
	"brackendale/internal/testing/fleet"
	"brackendale/scheduler"

	"github.com/rs/zerolog"
)

// An incarnation is in full service once it has an endpoint list, all messages that the previous one
// left have their final answers, and no more are pending than were accepted within a second. Each
// start reports how the state folder was found.
func TestFullService(t *testing.T) {
	dir := t.TempDir()
	core, front := newTestSender(t, dir, 1<<20)
	if core.recovery.loadStart() != startNew {
		t.Errorf("start case of an empty folder: %q", core.recovery.loadStart())
	}
	front.step(t, request(core, "m1", 60e6), request(core, "m2", 60e6))
	_ = core.journal.Close()

	core, front = newTestSender(t, dir, 1<<20)
	if core.recovery.loadStart() != startJournal {
		t.Errorf("start case of a journal without a snapshot: %q", core.recovery.loadStart())
	}
	core.restoreJournal()
	core.recovery.fullServiceUs.Store(0) // the step in newTestSender preceded the restore, unlike in Run
	core.recovery.window.checkedAt = time.Now().Add(-time.Second)
	front.step(t)
	if core.recovery.fullServiceUs.Load() != 0 || core.recovery.restoredCount == 0 ||
		core.recovery.firstListUs.Load() == 0 {
		t.Fatalf("full service with %d of %d restored messages pending, first list at %d us",
			len(core.recovery.restored), core.recovery.restoredCount,
			core.recovery.firstListUs.Load())
	}
	for id := range core.recovery.restored {
		core.finish(id, Delivered, 0)
	}
	core.recovery.window.checkedAt = time.Now().Add(-time.Second)
	front.step(t)
	if core.recovery.fullServiceUs.Load() == 0 || core.recovery.restoredDoneUs.Load() == 0 {
		t.Error("full service is not reached")
	}
	want := map[string]float64{"lb_life_full": 1, "lb_life_taken_up": float64(core.recovery.restoredCount)}
	for _, metric := range core.RecoveryMetrics() {
		if value, ok := want[metric.Name]; ok && value != metric.Value {
			t.Errorf("%s %v, want %v", metric.Name, metric.Value, value)
		}
	}
	got := fmt.Sprint(startCaseOf(true, true, true), startCaseOf(false, true, true), startCaseOf(false, false, true))
	if got != fmt.Sprint(startHotRestart, startComplete, startSnapshot) {
		t.Error(got)
	}
}

// When the state folder turns out to be an older state, pending messages that must not be repeated are
// not sent any more and fail. One in flight continues.
func TestDistrustedFolder(t *testing.T) {
	dir, settings := t.TempDir(), testSettings()
	settings.Limits.MaxMessages = 30
	core, front := newTestSenderWith(t, dir, 1<<20, settings)
	front.step(t, request(core, "m1", 8e6), request(core, "m2", 8e6), request(core, "m3", 8e6), request(core, "m4", 8e6))
	sentEarlier := len(front.attempts)
	_ = core.journal.Close()
	core, front = newTestSenderWith(t, dir, 1<<20, settings)
	core.restoreJournal()
	front.step(t)
	sentBefore := len(front.attempts)
	front.answers = nil
	recorded := 0
	core.DistrustFolder("by a word", func() {
		recorded++
		copied := filepath.Join(t.TempDir(), "copy")
		err := fleet.Backup(dir, copied)
		entries, _, readErr := journal.ReadEntries(copied, 1<<20)
		if err = errors.Join(err, readErr); err != nil || len(entries) == 0 {
			t.Error(len(entries), err)
		}
		for _, entry := range entries {
			if entry.FinalAnswer == "" && entry.FirstRun == 0 && entry.InFlightSince == 0 {
				t.Error("not recorded for the next incarnation:", entry.ID, err)
			}
		}
	})
	front.step(t)
	front.step(t)
	if recorded != 1 {
		t.Error("reported as recorded", recorded, "times")
	}
	if len(front.attempts) != sentBefore {
		t.Fatalf("%d attempts sent after the call, %d before it", len(front.attempts)-sentBefore, sentBefore)
	}
	for _, line := range front.answers {
		if id := strings.TrimSuffix(line, " failed"); id == line || id == front.attempts[0].ID {
			t.Errorf("%q", line)
		}
	}
	if len(front.answers) == 0 || len(front.answers)+sentBefore+sentEarlier != 4 ||
		core.recovery.loadStart() != startDistrusted {
		t.Error(front.answers, sentBefore, sentEarlier, core.recovery.loadStart())
	}
}

// A message whose attempt is in flight when the folder turns out to be an older state may have run before it: a refusal
// does not let an unsafe one go out again, nor is it returned. One with a key goes on within its window.
func TestDistrustedFolderWithAnAttemptInFlight(t *testing.T) {
	for idempotency, want := range map[scheduler.Idempotency]string{
		scheduler.NotIdempotent: "m failed", scheduler.IdempotentByKey: "", scheduler.Idempotent: "",
	} {
		t.Run(string(idempotency), func(t *testing.T) {
			dir, settings := t.TempDir(), termsSettings(idempotency, time.Hour)
			core, _ := newTestSenderWith(t, dir, 1<<20, settings)
			message := request(core, "m", 9e6)
			message.Key = "k"
			core.journal.Accept(core.newEntry(message))
			if err := core.journal.Flush(); err != nil {
				t.Fatal(err)
			}
			_ = core.journal.Close()
			core, front := newTestSenderWith(t, dir, 1<<20, settings)
			core.restoreJournal()
			if front.step(t); len(front.attempts) != 1 {
				t.Fatal("attempts:", len(front.attempts))
			}
			core.DistrustFolder("by a word", func() {})
			front.step(t)
			core.ReportAttempts(AttemptResult{
				ID: "m", Attempt: front.attempts[0].Number, Endpoint: "a", Outcome: OutcomeRejected,
			})
			for range maxTestSteps {
				if front.step(t); len(front.answers) > 0 || len(front.attempts) > 1 {
					break
				}
				time.Sleep(time.Millisecond)
			}
			if want != "" {
				front.expect(t, want)
			}
			if repeated := len(front.attempts) > 1; repeated != (want == "") || core.Violations() > 0 {
				t.Errorf("%d attempts, %d violations", len(front.attempts), core.Violations())
			}
		})
	}
}

// A folder that proves to be an older state before its messages are restored is recorded as such for the next
// incarnation.
func TestDistrustBeforeTheMessagesAreRestored(t *testing.T) {
	dir := t.TempDir()
	core, _ := newTestSender(t, dir, 1<<20)
	core.journal.Accept(core.newEntry(request(core, "m", 9e6)))
	if err := core.journal.Flush(); err != nil {
		t.Fatal(err)
	}
	_ = core.journal.Close()
	core, front := newTestSender(t, dir, 1<<20)
	core.DistrustFolder("by a word", func() {})
	core.runPosted()
	core.restoreJournal()
	front.step(t)
	front.expect(t, "m failed")
	if entry := core.journal.Get("m"); entry.FirstRun == 0 {
		t.Error("not recorded")
	}
}

// Incarnations that start on an older folder are killed before their first step. Messages that may have
// been sent since stay ambiguous in every following incarnation. This includes a message whose first
// attempt may have been earlier than the one that the journal records.
func TestAmbiguityPersistsAfterKill(t *testing.T) {
	dir, settings := t.TempDir(), testSettings()
	settings.Limits.MaxMessages = 30
	settings.Classes = append(settings.Classes, scheduler.Class{
		Name: "key", Idempotency: "by_key", LatencyObjectiveUs: 1e6, DeadlineUs: 9e6,
		KeyWindowUs: 4e6, PriorityWeight: 1,
	})
	open := func(trust FolderTrust) *Sender {
		t.Helper()
		core, err := New(Options{
			Settings: settings, StateDir: dir, DiskBytes: 1 << 20, Log: zerolog.Nop(),
			FolderTrust: trust,
		})
		if err != nil {
			t.Fatal(err)
		}
		return core
	}
	core := open(FolderVerified)
	now := core.Now()
	for id, class := range map[string]string{"held": "once", "tried": "key"} {
		core.journal.Accept(&journal.Entry{ID: id, Class: class, Destination: 1, Deadline: now + 8_500_000})
	}
	core.journal.StartAttempt("tried", "z", now)
	if err := core.journal.Flush(); err != nil {
		t.Fatal(err)
	}
	_ = core.journal.Close()
	for _, trust := range []FolderTrust{FolderRestored, FolderVerified, FolderVerified} {
		core = open(trust)
		if firstRun := core.journal.Get("held").FirstRun; firstRun == 0 {
			t.Fatalf("trust %d: an unsafe message of an older folder is not ambiguous", trust)
		}
		if firstRun := core.journal.Get("tried").FirstRun; firstRun != now-500_000 {
			t.Fatalf("trust %d: a keyed message may have run for the first time %d us ago, want %d",
				trust, now-firstRun, 500_000)
		}
		if (core.recovery.folderProblem != "") != (trust == FolderRestored) {
			t.Fatalf("trust %d: folder problem %q", trust, core.recovery.folderProblem)
		}
		_ = core.journal.Close() // like a kill before the first step
	}
}

// A client that is rejected because a limit is reached gets a Retry-After in which half of the pending
// messages get their final answers, at the rate of this incarnation.
func TestRetryAfter(t *testing.T) {
	settings := testSettings()
	settings.Limits.MaxRetryAfterUs = 30e6
	core, _ := newTestSenderWith(t, t.TempDir(), 1<<20, settings)
	core.pending = 100
	if ms := core.retryAfterMs(); ms < 250 || ms > 750 {
		t.Errorf("Retry-After without a known rate: %d ms", ms)
	}
	for i := range 1000 { // ten per second for 100 seconds
		core.finalAnswerRate.add(time.Since(core.startedAt) - time.Duration(999-i)*100*time.Millisecond)
	}
	if ms := core.retryAfterMs(); ms < 2400 || ms > 8500 {
		t.Errorf("Retry-After for half of 100 messages at ten per second: %d ms", ms)
	}
	core.pending = 1e6
	if ms := core.retryAfterMs(); ms < 10_000 || ms > 30_000 {
		t.Errorf("Retry-After %d ms, the limit in the settings is 30000 ms", ms)
	}
}

// The incarnation as a member of a group is kept in the folder's note, over restarts and never lowered.
func TestGroupIncarnationIsRecorded(t *testing.T) {
	dir := t.TempDir()
	open := func(trust FolderTrust) *Sender {
		core, err := New(Options{
			Name: "s", Settings: testSettings(), StateDir: dir, DiskBytes: 1 << 20, Log: zerolog.Nop(), FolderTrust: trust,
		})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = core.journal.Close() })
		return core
	}
	for _, step := range []struct{ earlier, record uint64 }{{0, 7}, {7, 3}, {7, 0}, {7, 1009}, {1009, 0}} {
		core := open(FolderVerified)
		if got := core.EarlierGroupIncarnation(); got != step.earlier {
			t.Errorf("%+v: %d", step, got)
		}
		if err := core.RecordGroupIncarnation(step.record); err != nil {
			t.Error(err)
		}
		if got := core.EarlierGroupIncarnation(); got != step.earlier || core.recovery.folderProblem != "" {
			t.Errorf("%+v: %d in the same process, problem %q", step, got, core.recovery.folderProblem)
		}
		_ = core.journal.Close()
	}
}
