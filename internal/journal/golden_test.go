package journal

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"flag"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"

	"brackendale/internal/clock"
)

// updateGolden makes the golden tests write their files before they compare them:
//
//	go test ./internal/journal -run Golden -update-golden
//
// The files fix the format on disk. Regenerate them only for an intended change of the format, and
// keep the old format readable.
var updateGolden = flag.Bool("update-golden", false, "write the files in testdata/golden anew")

const (
	goldenBoot                     = "00000000-0000-4000-8000-000000000001"
	goldenStart      clock.Instant = 1_000_000 // one second after boot, which any machine that runs a test has passed
	goldenDeadline   clock.Instant = 90_000_000
	goldenLatestTime clock.Instant = 5_000_000 // the time in the last clock record
	goldenBudget                   = 1 << 20
)

func goldenPath(name string) string { return filepath.Join("testdata", "golden", name) }

// checkGolden compares raw with a golden file byte by byte, and its hex dump, which is for readers,
// with the file beside it.
func checkGolden(t *testing.T, name string, raw []byte) {
	t.Helper()
	for file, got := range map[string][]byte{name: raw, name + ".hex": []byte(hex.Dump(raw))} {
		if *updateGolden {
			if err := os.WriteFile(goldenPath(file), got, 0o644); err != nil {
				t.Fatal(err)
			}
		}
		if want := readGolden(t, file); !bytes.Equal(got, want) {
			t.Errorf("%s differs:\ngot\n%s\nwant\n%s", file, hex.Dump(got), hex.Dump(want))
		}
	}
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(goldenPath(name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// fixBoot makes clock.BootID return the given ID until the test ends.
func fixBoot(t *testing.T, id string) {
	t.Helper()
	t.Cleanup(clock.SetBootID(id))
}

// goldenDir returns a folder whose journal file has the given content.
func goldenDir(t *testing.T, raw []byte) string {
	t.Helper()
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, "spool"), raw, 0o600); err != nil {
		t.Fatal(err)
	}
	return dir
}

func readJournal(t *testing.T, dir string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join(dir, "spool"))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// newTestEntry returns an entry in which every field is set that is known when a message is accepted.
func newTestEntry(id string) *Entry {
	return &Entry{
		ID: id, Class: "charge", Tenant: "tenant-1", Key: "key-" + id, Front: "amqp", Correlation: "note-" + id,
		Destination: 42, Deadline: goldenDeadline, Body: []byte("body of " + id),
	}
}

// writeSteps writes every kind of record, with one Flush for each step. The first step writes the head
// of the file, each further one a batch.
func writeSteps(t *testing.T, j *Journal) {
	t.Helper()
	now := goldenStart
	j.SetClock(func() clock.Instant { return now })
	step := func(f func()) {
		t.Helper()
		f()
		flush(t, j)
		now += 500_000 // every second step gets a clock record
	}
	step(func() { j.SetIncarnation(3) })
	step(func() {
		for _, id := range []string{"untried", "open", "turned-away", "may-have-run", "ended", "heard", "gone", "doubted"} {
			j.Accept(newTestEntry(id))
		}
	})
	step(func() {
		for _, id := range []string{"open", "turned-away", "may-have-run", "ended", "heard", "gone"} {
			j.StartAttempt(id, "zone-a", now)
		}
	})
	step(func() {
		j.EndAttempt("turned-away", false)
		for _, id := range []string{"may-have-run", "ended", "heard", "gone"} {
			j.EndAttempt(id, true)
		}
	})
	step(func() {
		j.StartAttempt("may-have-run", "zone-b", now)
		j.SetFinalAnswer("ended", "failed", 250)
		j.SetFinalAnswer("heard", "delivered", 0)
		j.SetFinalAnswer("gone", "delivered", 0)
	})
	step(func() {
		j.Acknowledge("heard")
		j.Remove("gone")
	})
	step(func() { exclude(t, j, "target-back", true) })
	step(func() {
		exclude(t, j, "target-out", true)
		exclude(t, j, "target-back", false)
	})
	step(func() { j.SetIncarnation(4) })
}

func exclude(t *testing.T, j *Journal, endpoint string, excluded bool) {
	t.Helper()
	if err := j.SetExcluded(endpoint, excluded); err != nil {
		t.Fatal(err)
	}
}

// entryWith returns the entry of newTestEntry with the given order and change.
func entryWith(id string, order uint64, change func(*Entry)) Entry {
	entry := newTestEntry(id)
	entry.order = order
	change(entry)
	return *entry
}

// wantEntries returns the entries that writeSteps leaves. notified is the value of Notified in entries
// with a final answer: true once a later incarnation has read them.
func wantEntries(notified bool) []Entry {
	return []Entry{
		entryWith("untried", 1, func(*Entry) {}),
		entryWith("open", 2, func(e *Entry) { e.Attempts, e.InFlightSince, e.InFlightZone = 1, 2_000_000, "zone-a" }),
		entryWith("turned-away", 3, func(e *Entry) { e.Attempts = 1 }),
		entryWith("may-have-run", 4, func(e *Entry) {
			e.Attempts, e.FirstRun, e.Zone, e.InFlightSince, e.InFlightZone = 2, 2_000_000, "zone-a", 3_000_000, "zone-b"
		}),
		entryWith("ended", 5, func(e *Entry) {
			e.Attempts, e.FirstRun, e.Zone, e.FinalAnswer, e.RetryAfterMs, e.Body = 1, 2_000_000, "zone-a", "failed", 250, nil
			e.Notified = notified
		}),
		entryWith("heard", 6, func(e *Entry) {
			e.Attempts, e.FirstRun, e.Zone, e.FinalAnswer, e.Body = 1, 2_000_000, "zone-a", "delivered", nil
			e.Acknowledged, e.Notified = true, notified
		}),
		entryWith("doubted", 8, func(*Entry) {}),
	}
}

// wantCompacted returns the entries after MarkAmbiguous and a compaction, which renumbers them.
func wantCompacted() []Entry {
	list := wantEntries(true)
	for i := range list {
		list[i].order = uint64(i + 1)
		if list[i].FinalAnswer != "" {
			list[i].Body = []byte{}
		}
	}
	doubted := &list[len(list)-1]
	doubted.Attempts, doubted.FirstRun = 2, 1_500_000
	return list
}

func checkEntries(t *testing.T, got []*Entry, want []Entry) {
	t.Helper()
	if len(got) != len(want) {
		t.Errorf("%d entries, want %d", len(got), len(want))
	}
	for i := range min(len(got), len(want)) {
		if !reflect.DeepEqual(*got[i], want[i]) {
			t.Errorf("entry %d:\ngot  %+v\nwant %+v", i, *got[i], want[i])
		}
	}
}

// countKinds counts the records of each kind in a file, including those within batches.
func countKinds(raw []byte) map[int]int {
	counts := map[int]int{}
	var visit func(payload []byte) bool
	visit = func(payload []byte) bool {
		counts[int(payload[0])]++
		if payload[0] == 7 {
			walkRecords(payload[1:], visit)
		}
		return true
	}
	walkRecords(raw[len("brackendale spool 2\n"):], visit)
	return counts
}

// The same operations at the same times must write the same bytes. The golden file has every kind of
// record.
func TestGoldenWrite(t *testing.T) {
	fixBoot(t, goldenBoot)
	dir := t.TempDir()
	j := openTest(t, dir, goldenBudget)
	writeSteps(t, j)
	checkEntries(t, j.Entries(), wantEntries(false))
	raw := readJournal(t, dir)
	checkGolden(t, "rounds.journal", raw)
	if got := slices.Sorted(maps.Keys(countKinds(raw))); !slices.Equal(got, []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}) {
		t.Errorf("the golden file has records of kinds %v", got)
	}
	j.MarkAmbiguous("doubted", 2, 1_500_000)
	flush(t, j)
	checkGolden(t, "compacted.journal", readJournal(t, dir))
	if n, err := Verify(dir, goldenBudget); err != nil || n != 10 {
		t.Errorf("the compacted file has %d records: %v", n, err)
	}
}

// The numbers of the record kinds and the file names are stored data and must not change.
func TestGoldenKinds(t *testing.T) {
	got := []recordKind{
		recordAccepted, recordAttemptStarted, recordAttemptEnded, recordFinalAnswer, recordRemoved,
		recordAcknowledged, recordBatch, recordExclusion, recordIncarnation, recordClock,
	}
	if !slices.Equal(got, []recordKind{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}) {
		t.Errorf("kinds %v", got)
	}
	names := []string{magic, magicWallClock, fileName, lockName}
	if want := []string{"brackendale spool 2\n", "brackendale spool 1\n", "spool", "lock"}; !slices.Equal(names, want) {
		t.Errorf("%q", names)
	}
}

// Open and ReadEntries must read a file of the current boot as it was written, without changing it.
func TestGoldenRead(t *testing.T) {
	fixBoot(t, goldenBoot)
	for _, c := range []struct {
		name       string
		want       []Entry
		latestTime clock.Instant
		removed    int
	}{
		{"rounds.journal", wantEntries(true), goldenLatestTime, 1},
		{"compacted.journal", wantCompacted(), 5_500_000, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			raw := readGolden(t, c.name)
			dir := goldenDir(t, raw)
			entries, incarnation, err := ReadEntries(dir, goldenBudget)
			if err != nil || incarnation != 4 {
				t.Fatal(incarnation, err)
			}
			checkEntries(t, entries, withoutNotified(c.want))
			j := openTest(t, dir, goldenBudget)
			checkEntries(t, j.Entries(), c.want)
			checkHead(t, j, c.latestTime)
			checkRemoved(t, j.RemovedEntries(), c.removed)
			if !bytes.Equal(readJournal(t, dir), raw) {
				t.Error("opening the file has changed it")
			}
		})
	}
}

// withoutNotified returns the entries as ReadEntries reads them, which does not set Notified.
func withoutNotified(list []Entry) []Entry {
	list = slices.Clone(list)
	for i := range list {
		list[i].Notified = false
	}
	return list
}

// checkRemoved checks the removed entries that the file still contains: count is 1 if it contains the
// entry "gone", else 0.
func checkRemoved(t *testing.T, got []*Entry, count int) {
	t.Helper()
	gone := entryWith("gone", 7, func(e *Entry) {
		e.Attempts, e.FirstRun, e.Zone, e.FinalAnswer, e.Body = 1, 2_000_000, "zone-a", "delivered", nil
	})
	checkEntries(t, got, []Entry{gone}[:count])
}

// checkHead checks the content of the golden file other than its entries.
func checkHead(t *testing.T, j *Journal, latestTime clock.Instant) {
	t.Helper()
	lastWriteAt, ok := j.LastWriteAt()
	if j.Incarnation() != 4 || !j.Excluded("target-out") || j.Excluded("target-back") || len(j.excluded) != 1 {
		t.Errorf("incarnation %d, excluded %v", j.Incarnation(), j.excluded)
	}
	if j.IsNew() || j.LostBytes() != 0 || j.bootID != goldenBoot || !ok || lastWriteAt != latestTime {
		t.Errorf("new %v, lost bytes %d, boot %q, last write at %d, %v", j.IsNew(), j.LostBytes(), j.bootID, lastWriteAt, ok)
	}
	if j.Unacknowledged() != 1 {
		t.Errorf("%d final answers unacknowledged", j.Unacknowledged())
	}
}

// Each earlier form of the journal must be readable: with single records instead of batches, without
// a boot ID, and with times of the wall clock.
func TestGoldenEarlierForms(t *testing.T) {
	for _, c := range []struct {
		name, head, boot string
		latestTime       clock.Instant // the latest time in the file if its times have to be converted, else 0
	}{
		{"single.journal", "brackendale spool 2\n", goldenBoot, 0},
		{"noboot.journal", "brackendale spool 2\n", "", 0},
		{"wall.journal", "brackendale spool 1\n", goldenBoot, 3_000_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			fixBoot(t, c.boot)
			checkGolden(t, c.name, earlierForm(t, c.head, c.boot))
			before := clock.Steady()
			j := openTest(t, goldenDir(t, readGolden(t, c.name)), goldenBudget)
			want := wantEntries(true)
			if c.latestTime != 0 {
				shiftTimes(t, want, j.Entries(), before, c.latestTime)
			}
			checkEntries(t, j.Entries(), want)
			if j.Incarnation() != 4 || !j.Excluded("target-out") || j.Excluded("target-back") ||
				j.timesRebased != (c.latestTime != 0) {
				t.Errorf("incarnation %d, excluded %v, rebased %v", j.Incarnation(), j.excluded, j.timesRebased)
			}
			flush(t, j)
			if !bytes.HasPrefix(readJournal(t, j.dir), []byte("brackendale spool 2\n")) {
				t.Error("Flush has not converted the file to the current form")
			}
		})
	}
}

// earlierForm returns the golden journal with another first line and with single records instead of
// batches. The form with times of the wall clock has no clock records: its latest time is that of the
// last attempt.
func earlierForm(t *testing.T, firstLine, bootID string) []byte {
	t.Helper()
	raw := readGolden(t, "rounds.journal")
	out := []byte(firstLine)
	var add func(payload []byte) bool
	add = func(payload []byte) bool {
		switch {
		case payload[0] == 7:
			return walkRecords(payload[1:], add) == len(payload)-1
		case payload[0] == 10 && firstLine == "brackendale spool 1\n":
			return true
		case payload[0] == 10 && bootID == "":
			payload = bytes.ReplaceAll(payload, append([]byte{byte(len(goldenBoot))}, goldenBoot...), []byte{0})
		}
		var start int
		out, start = beginRecord(out)
		out = finishRecord(append(out, payload...), start)
		return true
	}
	walkRecords(raw[len(firstLine):], add)
	return out
}

// In a file of another boot, deadlines must be converted to the clock that runs now, and attempts must
// move too far back for any retry.
func TestGoldenOtherBoot(t *testing.T) {
	fixBoot(t, "00000000-0000-4000-8000-000000000002")
	before := clock.Steady()
	j := openTest(t, goldenDir(t, readGolden(t, "rounds.journal")), goldenBudget)
	want := wantEntries(true)
	shiftTimes(t, want, j.Entries(), before, goldenLatestTime)
	checkEntries(t, j.Entries(), want)
	if _, ok := j.LastWriteAt(); ok || j.Incarnation() != 4 {
		t.Errorf("last write %v, incarnation %d", ok, j.Incarnation())
	}
}

// shiftTimes changes the wanted entries as the conversion to another clock does. All deadlines must
// have moved by the time between latestTime, the latest time in the file, and the opening of the file,
// which was after before.
func shiftTimes(t *testing.T, want []Entry, got []*Entry, before, latestTime clock.Instant) {
	t.Helper()
	if len(got) == 0 {
		t.Fatal("no entries")
	}
	shift := got[0].Deadline - goldenDeadline
	if opened := shift + latestTime; opened < before || opened > clock.Steady() {
		t.Errorf("deadlines moved by %d: opened at %d, want from %d on", shift, opened, before)
	}
	for i := range want {
		want[i].Deadline += shift
		if want[i].FirstRun != 0 {
			want[i].FirstRun = -1 << 50
		}
		if want[i].InFlightSince != 0 {
			want[i].InFlightSince = -1 << 50
		}
	}
}

// recordEnds returns the offsets at which the first line and each record of a file end.
func recordEnds(raw []byte) (ends []int) {
	offset := len("brackendale spool 2\n")
	for ends = append(ends, offset); offset < len(raw); ends = append(ends, offset) {
		offset += 8 + int(binary.LittleEndian.Uint32(raw[offset:]))
	}
	return ends
}

// A file that ends anywhere must be read up to its last complete record, and the rest must be cut off.
// A file without a complete first line or without the record of its boot is left as it is and
// replaced by the next write.
func TestGoldenTornEnd(t *testing.T) {
	fixBoot(t, goldenBoot)
	raw := readGolden(t, "rounds.journal")
	ends := recordEnds(raw)
	entries := []int{0, 0, 0, 8, 8, 8, 8, 7, 7, 7, 7} // by the number of complete records
	if ends[len(ends)-1] != len(raw) || len(ends) != len(entries) {
		t.Fatalf("records end at %v, the file at %d", ends, len(raw))
	}
	for length := range raw {
		validBytes, keptBytes, entryCount := 0, length, 0
		for i, end := range ends {
			if end <= length {
				validBytes, entryCount = end, entries[i]
				if i > 0 {
					keptBytes = end
				}
			}
		}
		dir := goldenDir(t, raw[:length])
		j := openTest(t, dir, goldenBudget)
		if j.size != int64(validBytes) || j.LostBytes() != int64(length-validBytes) || len(j.Entries()) != entryCount ||
			j.IsNew() != (length == 0) {
			t.Fatalf("cut at %d: %d bytes read, %d lost, %d entries", length, j.size, j.LostBytes(), len(j.Entries()))
		}
		if !bytes.Equal(readJournal(t, dir), raw[:keptBytes]) {
			t.Fatalf("cut at %d: the file does not have its first %d bytes", length, keptBytes)
		}
		if err := j.Close(); err != nil {
			t.Fatal(err)
		}
	}
}

// The size of a record is part of the format: it limits how many messages a folder of a given size
// accepts.
func TestGoldenRecordSize(t *testing.T) {
	e := newTestEntry("untried")
	got := fmt.Sprint(RecordSize(e), exclusionSize("target"))
	e.Acknowledged = true
	if got += fmt.Sprint(" ", RecordSize(e)); got != "518 76 208" {
		t.Errorf("record sizes %s", got)
	}
}
