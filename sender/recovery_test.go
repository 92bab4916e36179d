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

// An incarnation is in full service once it knows an endpoint list, all that the last one left has
// its final answer, and no more is pending than was accepted within a second. Each start names
// trust the folder was found.
func TestFullService(t *testing.T) {
	dir := t.TempDir()
	s, f := newTestSender(t, dir, 1<<20)
	if s.recovery.foundCase() != startNew {
		t.Errorf("an empty folder is %q", s.recovery.foundCase())
	}
	f.step(t, request(s, "m1", 60e6), request(s, "m2", 60e6))
	_ = s.journal.Close()

	s, f = newTestSender(t, dir, 1<<20)
	if s.recovery.foundCase() != startJournal {
		t.Errorf("a journal and no snapshot are %q", s.recovery.foundCase())
	}
	s.restoreJournal()
	s.recovery.fullServiceUs.Store(0) // the step above came before it, which no sender's does
	s.recovery.window.checkedAt = time.Now().Add(-time.Second)
	f.step(t)
	if s.recovery.fullServiceUs.Load() != 0 || s.recovery.restoredCount == 0 || s.recovery.firstListUs.Load() == 0 {
		t.Fatalf("full with %d left of %d, list %d", len(s.recovery.restored), s.recovery.restoredCount,
			s.recovery.firstListUs.Load())
	}
	for id := range s.recovery.restored {
		s.finish(id, Delivered, 0)
	}
	s.recovery.window.checkedAt = time.Now().Add(-time.Second)
	f.step(t)
	if s.recovery.fullServiceUs.Load() == 0 || s.recovery.restoredDoneUs.Load() == 0 {
		t.Error("never full")
	}
	want := map[string]float64{"lb_life_full": 1, "lb_life_taken_up": float64(s.recovery.restoredCount)}
	for _, x := range s.RecoveryFigures() {
		if v, ok := want[x.Name]; ok && v != x.Value {
			t.Errorf("%s %v, want %v", x.Name, x.Value, v)
		}
	}
	got := fmt.Sprint(startCaseOf(true, true, true), startCaseOf(false, true, true), startCaseOf(false, false, true))
	if got != fmt.Sprint(startHotRestart, startComplete, startSnapshot) {
		t.Error(got)
	}
}

// A folder turns out to be an older state while its messages wait: none of those that must not be
// repeated is sent any more, and each fails; one in flight goes on.
func TestDistrustedFolder(t *testing.T) {
	dir, set := t.TempDir(), testSettings()
	set.Limits.MaxMessages = 30
	s, f := newTestSenderWith(t, dir, 1<<20, set)
	f.step(t, request(s, "m1", 8e6), request(s, "m2", 8e6), request(s, "m3", 8e6), request(s, "m4", 8e6))
	before := len(f.attempts)
	_ = s.journal.Close()
	s, f = newTestSenderWith(t, dir, 1<<20, set)
	s.restoreJournal()
	f.step(t)
	out := len(f.attempts)
	f.answers = nil
	booked := 0
	s.DistrustFolder("by a word", func() {
		booked++
		copied := filepath.Join(t.TempDir(), "copy")
		err := fleet.Backup(dir, copied)
		l, _, lerr := journal.ReadEntries(copied, 1<<20)
		if err = errors.Join(err, lerr); err != nil || len(l) == 0 {
			t.Error(len(l), err)
		}
		for _, e := range l {
			if e.FinalAnswer == "" && e.FirstRun == 0 && e.InFlightSince == 0 {
				t.Error("booked, and the next incarnation would not know:", e.ID, err)
			}
		}
	})
	f.step(t)
	f.step(t)
	if booked != 1 {
		t.Error("booked", booked, "times")
	}
	if len(f.attempts) != out {
		t.Fatalf("%d sent after the call, %d before it", len(f.attempts)-out, out)
	}
	for _, line := range f.answers {
		if id := strings.TrimSuffix(line, " failed"); id == line || id == f.attempts[0].ID {
			t.Errorf("%q", line)
		}
	}
	if len(f.answers) == 0 || len(f.answers)+out+before != 4 || s.recovery.foundCase() != startDistrusted {
		t.Error(f.answers, out, before, s.recovery.foundCase())
	}
}

// An incarnation that finds an older folder is killed before its first step, again and again: what
// may have been sent since stays ambiguous, also where the journal itself names a later first
// attempt than there may have been.
func TestAmbiguityOutlivesAKill(t *testing.T) {
	dir, set := t.TempDir(), testSettings()
	set.Limits.MaxMessages = 30
	set.Classes = append(set.Classes, scheduler.Class{
		Name: "key", Idempotency: "by_key", LatencyObjectiveUs: 1e6, DeadlineUs: 9e6,
		KeyWindowUs: 4e6, PriorityWeight: 1,
	})
	open := func(trust FolderTrust) *Sender {
		t.Helper()
		s, err := New(Options{Settings: set, StateDir: dir, DiskBytes: 1 << 20, Log: zerolog.Nop(), FolderTrust: trust})
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	s := open(FolderJudged)
	now := s.Now()
	for id, class := range map[string]string{"held": "once", "tried": "key"} {
		s.journal.Accept(&journal.Entry{ID: id, Class: class, Destination: 1, Deadline: now + 8_500_000})
	}
	s.journal.StartAttempt("tried", "z", now)
	if err := s.journal.Flush(); err != nil {
		t.Fatal(err)
	}
	_ = s.journal.Close()
	for _, trust := range []FolderTrust{FolderRestored, FolderJudged, FolderJudged} {
		s = open(trust)
		if at := s.journal.Get("held").FirstRun; at == 0 {
			t.Fatalf("trust %d: a charge of an older folder is not ambiguous", trust)
		}
		if at := s.journal.Get("tried").FirstRun; at != now-500_000 {
			t.Fatalf("trust %d: a keyed one may have run since %d us, not %d", trust, now-at, 500_000)
		}
		if (s.recovery.folderProblem != "") != (trust == FolderRestored) {
			t.Fatalf("trust %d: %q", trust, s.recovery.folderProblem)
		}
		_ = s.journal.Close() // as a kill does, before the first step
	}
}

// A client that is rejected for want of room gets a wait until half of what is pending has gone, at
// the rate of this incarnation or, before anything has ended in it, of the last one.
func TestRetryAfter(t *testing.T) {
	set := testSettings()
	set.Limits.MaxRetryAfterUs = 30e6
	s, _ := newTestSenderWith(t, t.TempDir(), 1<<20, set)
	s.pending = 100
	if ms := s.retryAfterMs(); ms < 250 || ms > 750 {
		t.Errorf("with no pace known: %d", ms)
	}
	for i := range 1000 { // ten a second, for long
		s.finalAnswerRate.add(time.Since(s.startedAt) - time.Duration(999-i)*100*time.Millisecond)
	}
	if ms := s.retryAfterMs(); ms < 2400 || ms > 8500 {
		t.Errorf("fifty at ten a second: %d", ms)
	}
	s.pending = 1e6
	if ms := s.retryAfterMs(); ms < 10_000 || ms > 30_000 {
		t.Errorf("%d, and the settings say 30000", ms)
	}
}
