package journal

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/statefs"
)

// A write fails after each possible number of bytes, once or three times in a row. The truncation that
// should remove those bytes works or fails too. If the process is killed then, the next one must find
// everything written before and nothing of the failed step, or all of it if all its bytes were written
// and not truncated. If the process continues, the next successful Flush must write all of it.
func TestWriteFailsAtEveryByte(t *testing.T) {
	size := 1
	for after := 0; after <= size; after++ {
		for _, failures := range []int{1, 3} {
			for _, truncateWorks := range []bool{true, false} {
				dir := t.TempDir()
				j := openTest(t, dir, budget)
				j.Accept(&Entry{ID: "old", Body: []byte("body")})
				flush(t, j)
				remaining := failures
				undo := statefs.SetHook(func(call statefs.Call, name string) *statefs.Fault {
					if name != fileName || call == statefs.CallTruncate && truncateWorks {
						return nil
					}
					if call == statefs.CallTruncate || call == statefs.CallWrite && remaining > 0 {
						if call == statefs.CallWrite {
							remaining--
						}
						return &statefs.Fault{Err: syscall.EIO, After: after}
					}
					return nil
				})
				j.Accept(&Entry{ID: "new", Body: []byte("body")})
				j.StartAttempt("old", "z", 7)
				size = len(j.buffer)
				for range failures {
					if err := j.Flush(); err == nil {
						t.Fatal("Flush succeeded although the write fails")
					}
					j.Accept(&Entry{ID: "more" + string(rune('a'+len(j.buffer)%26))}) // recorded between the failed writes
					j.Remove("more" + string(rune('a'+len(j.buffer)%26)))
				}
				killedDir := t.TempDir()
				raw, err := os.ReadFile(filepath.Join(dir, fileName))
				if err == nil {
					err = os.WriteFile(filepath.Join(killedDir, fileName), raw, 0o600)
				}
				if err != nil {
					t.Fatal(err)
				}
				next := replayFile(t, killedDir)
				if complete := next.Get("new") != nil; next.Get("old") == nil || complete != (next.Get("old").InFlightSince != 0) ||
					complete && (truncateWorks || after < size) {
					t.Fatalf("write failed after %d of %d bytes, truncation works %v: %s", after, size, truncateWorks, describe(next))
				}
				undo()
				flush(t, j)
				want := describe(j)
				_ = j.Close()
				if got := describe(openTest(t, dir, budget)); got != want {
					t.Fatalf("write failed after %d of %d bytes, truncation works %v\ngot  %s\nwant %s", after, size,
						truncateWorks, got, want)
				}
			}
		}
	}
}

// replayFile reads the journal in dir without statefs, so that injected faults do not apply to it.
func replayFile(t *testing.T, dir string) *Journal {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	j := &Journal{entries: map[string]*Entry{}, excluded: map[string]bool{}}
	j.replay(raw)
	return j
}

// The steady clock restarts with each boot of the machine. A message without an attempt must keep the
// time it had left until its deadline, however long no process ran. Attempts must move so far back
// that no retry can depend on their age. Within one boot all times must stay as they are.
func TestAnotherBoot(t *testing.T) {
	dir := t.TempDir()
	defer clock.SetBootID("one")()
	j := openTest(t, dir, budget)
	now := clock.Steady()
	j.SetClock(func() clock.Instant { return now })
	j.Accept(&Entry{ID: "untried", Deadline: now.Add(9 * time.Second)})
	j.Accept(&Entry{ID: "out", Deadline: now.Add(9 * time.Second)})
	j.StartAttempt("out", "z", now)
	j.Accept(&Entry{ID: "ran", Deadline: now.Add(9 * time.Second)})
	j.StartAttempt("ran", "z", now)
	j.EndAttempt("ran", true)
	flush(t, j)
	_ = j.Close()
	j = openTest(t, dir, budget)
	if entry := j.Get("untried"); entry.Deadline != now.Add(9*time.Second) || j.Get("out").InFlightSince != now ||
		j.Get("ran").FirstRun != now || j.needsRewrite {
		t.Fatal("times changed within a boot: ", describe(j))
	}
	_ = j.Close()
	defer clock.SetBootID("two")()
	for range 2 {
		openedAt := clock.Steady()
		j = openTest(t, dir, budget)
		for _, id := range []string{"untried", "out", "ran"} {
			if remaining := j.Get(id).Deadline.Sub(openedAt); remaining < 8*time.Second || remaining > 11*time.Second {
				t.Errorf("%s has %v left until its deadline", id, remaining)
			}
		}
		if j.Get("out").InFlightSince != unknownStart || j.Get("ran").FirstRun != unknownStart ||
			j.Get("untried").FirstRun != 0 {
			t.Error(describe(j))
		}
		flush(t, j)
		_ = j.Close()
	}
}

// A journal of the version that recorded times of the wall clock must be readable. If the wall clock
// has been set an hour forward or back since, that must not change the time left to a message.
func TestWallClockJournal(t *testing.T) {
	for _, offset := range []time.Duration{0, time.Hour, -time.Hour} {
		dir := t.TempDir()
		wall := clock.Instant(clock.Now().Wall).Add(-2 * time.Second)
		raw := []byte(magicWallClock)
		raw = (&Entry{ID: "untried", Deadline: wall.Add(9 * time.Second)}).appendTo(raw)
		raw = (&Entry{ID: "out", Deadline: wall.Add(9 * time.Second), Attempts: 0}).appendTo(raw)
		out, start := beginRecord(raw)
		out = appendText(append(out, byte(recordAttemptStarted)), "out")
		out = appendInt(out, int64(wall))
		raw = finishRecord(appendText(out, "z"), start)
		if err := os.WriteFile(filepath.Join(dir, fileName), raw, 0o600); err != nil {
			t.Fatal(err)
		}
		clock.StepWall(offset)
		openedAt := clock.Steady()
		j := openTest(t, dir, budget)
		clock.StepWall(-offset)
		remaining := j.Get("untried").Deadline.Sub(openedAt)
		if remaining < 6*time.Second || remaining > 10*time.Second || j.Get("out").InFlightSince != unknownStart ||
			j.Get("out").Attempts != 1 {
			t.Errorf("wall clock moved by %v: %v left until the deadline, %s", offset, remaining, describe(j))
		}
		flush(t, j)
		want := describe(j)
		_ = j.Close()
		if got := describe(openTest(t, dir, budget)); got != want {
			t.Errorf("got  %s\nwant %s", got, want)
		}
	}
}

// If the disk budget is lowered between two processes, the file is still read as a whole, and
// LostBytes counts only the incomplete record at its end.
func TestLoweredBudgetAndLostBytes(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, budget)
	for i := range 40 {
		j.Accept(&Entry{ID: string(rune('A' + i)), Body: make([]byte, 20_000)})
	}
	flush(t, j)
	want := describe(j)
	_ = j.Close()
	f, err := os.OpenFile(filepath.Join(dir, fileName), os.O_WRONLY|os.O_APPEND, 0)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = f.WriteString("half a record")
	_ = f.Close()
	j = openTest(t, dir, 64<<10)
	if got := describe(j); got != want || j.LostBytes() != int64(len("half a record")) {
		t.Fatalf("%d bytes lost, %d of %d messages read", j.LostBytes(), len(j.Entries()), 40)
	}
	if j.HasSpace(1, 0) {
		t.Error("HasSpace accepts a message beyond the disk budget")
	}
}
