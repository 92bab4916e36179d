package journal

import (
	"errors"
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"syscall"
	"testing"
)

const budget = 3 << 20

func openTest(t *testing.T, dir string, diskBudget int64) *Journal {
	t.Helper()
	j, err := Open(dir, diskBudget)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = j.Close() })
	return j
}

func flush(t *testing.T, j *Journal) {
	t.Helper()
	if err := j.Flush(); err != nil {
		t.Fatal(err)
	}
}

func describe(j *Journal) (out string) {
	for _, e := range j.Entries() {
		out += fmt.Sprintf("%s/%s/%d/%d/%s/%d/%s/%d;", e.ID, e.Body, e.Attempts, e.FirstRun, e.Zone, e.InFlightSince,
			e.FinalAnswer,
			e.RetryAfterMs)
	}
	return out
}

// The next incarnation must read every message, attempt and final answer that was recorded.
func TestReopen(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, budget)
	for _, id := range []string{"b", "a", "c", "d"} {
		j.Accept(&Entry{ID: id, Class: "k", Destination: 3, Deadline: 77, Body: []byte("body " + id)})
	}
	j.StartAttempt("b", "z1", 10) // rejected: it never ran
	j.EndAttempt("b", false)
	j.StartAttempt("b", "z2", 20) // in flight
	j.StartAttempt("a", "z1", 11)
	j.EndAttempt("a", true)
	j.SetFinalAnswer("c", "failed", 250)
	j.SetFinalAnswer("d", "delivered", 0)
	j.Remove("d")
	flush(t, j)
	_ = j.Close()
	want := "b/body b/2/0//20//0;a/body a/1/11/z1/0//0;c//0/0//0/failed/250;"
	if got := describe(openTest(t, dir, budget)); got != want {
		t.Fatalf("got  %s\nwant %s", got, want)
	}
}

// A message whose reply address changed is read back with the new one and all else as it was, also if it has ended.
func TestRedirect(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, budget)
	terms := Terms{Idempotency: 2, KeyWindowUs: 500}
	j.Accept(&Entry{ID: "a", Correlation: "one", Body: []byte("body a"), Terms: terms})
	j.Accept(&Entry{ID: "b", Correlation: "one", Body: []byte("body b"), Terms: terms})
	j.StartAttempt("a", "z1", 11)
	j.EndAttempt("a", true)
	j.SetFinalAnswer("b", "returned", 250)
	j.Acknowledge("b")
	flush(t, j)
	j.Redirect("a", "a longer one")
	j.Redirect("b", "two")
	j.Redirect("unknown", "two")
	flush(t, j)
	liveBytes := j.liveBytes
	_ = j.Close()
	j = openTest(t, dir, budget)
	if got, want := describe(j), "a/body a/1/11/z1/0//0;b//0/0//0/returned/250;"; got != want {
		t.Fatalf("got  %s\nwant %s", got, want)
	}
	a, b := j.Get("a"), j.Get("b")
	if a.Correlation != "a longer one" || b.Correlation != "two" || b.Acknowledged ||
		a.Terms != terms || b.Terms != terms {
		t.Fatalf("%+v %+v", a, b)
	}
	if removed := j.RemovedEntries(); len(removed) > 0 || j.liveBytes != liveBytes {
		t.Fatal(removed, j.liveBytes, liveBytes)
	}
}

// SIGKILL may end the last write after any byte. All complete records before it must be read, and
// records written after the restart must be readable too.
func TestTornTail(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, budget)
	j.Accept(&Entry{ID: "a"})
	flush(t, j)
	validBytes := j.size
	j.Accept(&Entry{ID: "b", Body: []byte("body")})
	flush(t, j)
	raw, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	for cut := 0; cut < len(raw); cut++ {
		torn := t.TempDir()
		if err := os.WriteFile(filepath.Join(torn, fileName), raw[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		j := openTest(t, torn, budget)
		if _, ok := j.entries["a"]; ok != (cut >= int(validBytes)) || j.Get("b") != nil {
			t.Fatalf("cut at %d: %s", cut, describe(j))
		}
		j.Accept(&Entry{ID: "z"})
		flush(t, j)
		_ = j.Close()
		if j := openTest(t, torn, budget); j.Get("z") == nil {
			t.Fatalf("cut at %d: a message accepted after the restart is lost", cut)
		}
	}
}

// If the process is killed while it writes a step, none of the records of that step may be read back.
func TestTornStep(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, budget)
	j.Accept(&Entry{ID: "old", FinalAnswer: "delivered"})
	flush(t, j)
	sizeBefore := j.size
	j.Accept(&Entry{ID: "a", Body: []byte("body")})
	j.Accept(&Entry{ID: "b"})
	j.Remove("old")
	flush(t, j)
	raw, err := os.ReadFile(filepath.Join(dir, fileName))
	if err != nil {
		t.Fatal(err)
	}
	for cut := int(sizeBefore); cut <= len(raw); cut++ {
		torn := t.TempDir()
		if err := os.WriteFile(filepath.Join(torn, fileName), raw[:cut], 0o600); err != nil {
			t.Fatal(err)
		}
		j := openTest(t, torn, budget)
		complete := cut == len(raw)
		if (j.Get("a") != nil) != complete || (j.Get("b") != nil) != complete || (j.Get("old") == nil) != complete {
			t.Fatalf("cut at %d: %s", cut, describe(j))
		}
		_ = j.Close()
	}
}

// The files of the journal must stay within the disk budget at any time, including the new file of a
// compaction.
func TestBudget(t *testing.T) {
	const small = 256 << 10
	dir := t.TempDir()
	j := openTest(t, dir, small)
	rng := rand.New(rand.NewSource(4))
	var ids []string
	for i := range 4000 {
		entry := &Entry{ID: fmt.Sprint("m", i), Body: make([]byte, rng.Intn(9000))}
		if j.HasSpace(RecordSize(entry), 0) {
			j.Accept(entry)
			ids = append(ids, entry.ID)
		} else if len(ids) == 0 {
			t.Fatal("no space in an empty journal")
		}
		for len(ids) > 0 && (rng.Intn(3) == 0 || i%500 == 0) {
			pick := rng.Intn(len(ids))
			for range 8 {
				j.StartAttempt(ids[pick], "zone", 1)
				j.EndAttempt(ids[pick], true)
			}
			j.SetFinalAnswer(ids[pick], "failed", 1)
			if i%2 == 0 {
				j.Remove(ids[pick])
				ids = append(ids[:pick], ids[pick+1:]...)
			}
		}
		flush(t, j)
		if j.size > small/2-2*headReserve {
			t.Fatalf("the file has %d bytes: a compaction would exceed the disk budget", j.size)
		}
	}
	_ = j.Close()
	if got := describe(openTest(t, dir, small)); got != describe(j) {
		t.Fatal("the reopened journal differs")
	}
	if _, err := Open(dir, 512); err == nil {
		t.Fatal("Open accepted a budget that is too small")
	}
}

// Flush must report a failed write.
func TestWriteFails(t *testing.T) {
	j := openTest(t, t.TempDir(), budget)
	flush(t, j)
	_ = j.file.Close()
	j.Accept(&Entry{ID: "a"})
	if err := j.Flush(); !errors.Is(err, os.ErrClosed) {
		t.Fatal(err)
	}
}

// Whatever the file holds, replay must not panic, and it must not report more valid bytes than there
// are.
func FuzzReplay(f *testing.F) {
	var valid []byte
	valid = append(valid, magic...)
	valid = (&Entry{ID: "a", Class: "k", Body: []byte("x")}).appendTo(valid)
	rng := rand.New(rand.NewSource(1))
	for range 40 {
		raw := append([]byte(nil), valid[:rng.Intn(len(valid)+1)]...)
		if len(raw) > 0 && rng.Intn(2) == 0 {
			raw[rng.Intn(len(raw))] ^= byte(1 + rng.Intn(255))
		}
		f.Add(raw)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		j := &Journal{entries: map[string]*Entry{}}
		if n := j.replay(raw); n < 0 || n > int64(len(raw)) {
			t.Fatal(n)
		}
	})
}

// Only one process may have the journal open. Once it has closed the journal, the next one may open it.
func TestOneWriter(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, budget)
	if _, err := Open(dir, budget); !errors.Is(err, ErrLocked) {
		t.Fatal(err)
	}
	_ = j.Close()
	openTest(t, dir, budget)
}

// Excluded endpoints must be read by the next incarnation, also after a compaction. Endpoints whose
// exclusion has ended must not.
func TestExclusions(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, budget)
	for _, endpoint := range []string{"a", "b", "c"} {
		if err := j.SetExcluded(endpoint, true); err != nil {
			t.Fatal(err)
		}
	}
	if err := j.SetExcluded("b", false); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		flush(t, j)
		_ = j.Close()
		j = openTest(t, dir, budget)
		if !j.Excluded("a") || j.Excluded("b") || !j.Excluded("c") {
			t.Fatal(j.excluded)
		}
		if err := j.compact(); err != nil {
			t.Fatal(err)
		}
	}
	if err := errors.Join(j.SetExcluded("a", false), j.SetExcluded("c", false)); err != nil || j.liveBytes != 0 {
		t.Fatal(err, j.liveBytes)
	}
}

// All file descriptors are in use when the journal has to be compacted: it must use its spare one.
// Without that, Flush must return an error and write the pending records once a descriptor is free.
func TestCompactionWithoutDescriptors(t *testing.T) {
	dir := t.TempDir()
	j := openTest(t, dir, 64<<10)
	fillUntilCompaction := func(id string) { // the next Flush compacts the file
		j.Accept(&Entry{ID: id, Class: "k", Destination: 3, Deadline: 77, Body: []byte("body")})
		for j.size+int64(len(j.buffer)) <= j.maxSize {
			j.StartAttempt(id, "z", 1)
			j.EndAttempt(id, false)
		}
	}
	var original syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &original); err != nil {
		t.Fatal(err)
	}
	exhaustDescriptors := func() (restore func()) {
		probe, err := os.Open(os.DevNull)
		if err != nil {
			t.Fatal(err)
		}
		lowered := original
		lowered.Cur = uint64(probe.Fd()) // the lowest free descriptor: no file can be opened
		_ = probe.Close()
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &lowered); err != nil {
			t.Fatal(err)
		}
		return func() { _ = syscall.Setrlimit(syscall.RLIMIT_NOFILE, &original) }
	}
	fillUntilCompaction("a")
	restore := exhaustDescriptors()
	err := j.Flush()
	restore()
	if err != nil || j.spareDescriptor == nil {
		t.Fatal("the compaction did not use the spare descriptor, or did not reopen it:", err)
	}
	fillUntilCompaction("b")
	j.closeSpare()
	restore = exhaustDescriptors()
	err = j.Flush()
	restore()
	if !errors.Is(err, syscall.EMFILE) {
		t.Fatal(err)
	}
	flush(t, j)
	want := describe(j)
	_ = j.Close()
	if got := describe(openTest(t, dir, 64<<10)); got != want || got == "" {
		t.Fatalf("got  %s\nwant %s", got, want)
	}
}

// The terms of a message must be read back, also from a record that has more than this release writes, and a message
// without them must be stored as by earlier releases.
func TestTermsAreRecorded(t *testing.T) {
	for _, terms := range []Terms{{}, {Idempotency: 1}, {Idempotency: 2, KeyWindowUs: 15_000_000}, {Idempotency: 200}, {
		Idempotency: 2, KeyWindowUs: 15_000_000, RetentionMs: 20_000,
	}} {
		entry := &Entry{ID: "m", Class: "once", Body: []byte("body"), Terms: terms}
		record := entry.appendTo(nil)
		for _, later := range []string{"", "of a later release"} {
			fields := &fieldReader{unread: append(record[headerSize:len(record):len(record)], later...)}
			if kind := recordKind(fields.byte()); kind != recordAccepted {
				t.Fatal(kind)
			}
			if terms.Idempotency == 0 && later != "" {
				continue // what follows the body would be terms
			}
			got := readEntry(fields)
			if fields.malformed || got.Terms != terms || string(got.Body) != "body" {
				t.Errorf("%+v, then %q: %+v, malformed %v", terms, later, got, fields.malformed)
			}
		}
		bare := (&Entry{ID: "m", Class: "once", Body: []byte("body")}).appendTo(nil)
		most := 6 // bytes
		if terms.RetentionMs != 0 {
			most = 8
		}
		if grown := len(record) - len(bare); (terms.Idempotency == 0) != (grown == 0) || grown > most {
			t.Errorf("%+v takes %d bytes", terms, grown)
		}
	}
}
