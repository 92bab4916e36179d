package sender

import (
	"bytes"
	"encoding/hex"
	"errors"
	"os"
	"path/filepath"
	"slices"
	"testing"

	"brackendale/internal/clock"
	"brackendale/internal/journal"
	"brackendale/internal/snapshot"
	"brackendale/internal/testing/fleet"
	"brackendale/scheduler"

	"github.com/rs/zerolog"
)

// The golden folder is the state folder of an incarnation that was killed. All of its times are one
// second after a boot with an ID of its own, so that the tests depend on the boot ID that they set and
// not on the uptime of the machine that runs them.
const (
	goldenBoot                   = "00000000-0000-4000-8000-00000000000a"
	otherBoot                    = "00000000-0000-4000-8000-00000000000b"
	goldenTime     clock.Instant = 1_000_000
	goldenTimeLeft clock.Instant = 50_000_000
	goldenDisk                   = 1 << 20
	goldenState                  = "state"
)

func goldenSettings() scheduler.Settings {
	settings := testSettings()
	settings.Limits.MaxMessages = 100
	settings.Classes = []scheduler.Class{
		{Name: "once", Idempotency: "once", LatencyObjectiveUs: 1e6, DeadlineUs: 60e6, PriorityWeight: 1},
		{Name: "key", Idempotency: "by_key", LatencyObjectiveUs: 1e6, DeadlineUs: 60e6, KeyWindowUs: 30e6, PriorityWeight: 1},
		{Name: "free", Idempotency: "repeatable", LatencyObjectiveUs: 1e6, DeadlineUs: 60e6, PriorityWeight: 1},
	}
	return settings
}

func goldenOptions(dir string, trust FolderTrust) Options {
	return Options{
		Name: "n1", Settings: goldenSettings(), StateDir: dir, DiskBytes: goldenDisk, Log: zerolog.Nop(), KeepSnapshot: true,
		FolderTrust: trust,
	}
}

// makeGoldenFolder recreates the golden folder with the current code.
func makeGoldenFolder(t *testing.T) {
	t.Helper()
	defer clock.SetBootID(goldenBoot)()
	dir := t.TempDir()
	core, err := New(goldenOptions(dir, FolderVerified))
	if err != nil {
		t.Fatal(err)
	}
	core.reported.removed = []string{"gone-target"}
	err = errors.Join(snapshot.Write(dir, core.newSnapshot()), core.journal.Close(),
		os.Remove(filepath.Join(dir, "spool")))
	if err != nil {
		t.Fatal(err)
	}
	makeGoldenJournal(t, dir)
	if err := fleet.Backup(dir, goldenPath(goldenState)); err != nil {
		t.Fatal(err)
	}
}

// makeGoldenJournal writes the journal of the folder's first incarnation at goldenTime.
func makeGoldenJournal(t *testing.T, dir string) {
	t.Helper()
	opened, err := journal.Open(dir, goldenDisk)
	if err != nil {
		t.Fatal(err)
	}
	opened.SetClock(func() clock.Instant { return goldenTime })
	opened.SetIncarnation(1)
	if err := opened.Flush(); err != nil {
		t.Fatal(err)
	}
	for _, class := range []string{"once", "key", "free"} {
		goldenMessages(opened, class)
	}
	for _, id := range []string{"ended", "back", "heard"} {
		opened.Accept(goldenEntry(id, "once"))
	}
	opened.SetFinalAnswer("ended", "delivered", 0)
	opened.SetFinalAnswer("back", "returned", 250)
	opened.SetFinalAnswer("heard", "delivered", 0)
	opened.Acknowledge("heard")
	if err := errors.Join(opened.Flush(), opened.Close()); err != nil {
		t.Fatal(err)
	}
}

func goldenEntry(id, class string) *journal.Entry {
	return &journal.Entry{
		ID: id, Class: class, Tenant: "t", Key: "key-" + id, Front: "f", Correlation: "note", Destination: 1,
		Deadline: goldenTime + goldenTimeLeft, Body: []byte(id),
	}
}

// goldenMessages records messages of a class without final answers, one for each attempt state.
func goldenMessages(opened *journal.Journal, class string) {
	for _, state := range []string{"untried", "open", "turned", "mayrun"} {
		id := state + "-" + class
		opened.Accept(goldenEntry(id, class))
		if state != "untried" {
			opened.StartAttempt(id, "z", goldenTime)
		}
		if state == "turned" || state == "mayrun" {
			opened.EndAttempt(id, state == "mayrun")
		}
	}
}

// goldenFolder returns a copy of the golden folder.
func goldenFolder(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	if err := fleet.Restore(goldenPath(goldenState), dir); err != nil {
		t.Fatal(err)
	}
	return dir
}

// The golden folder has the files that an incarnation leaves. With the update flag it is recreated
// first.
func TestGoldenFolder(t *testing.T) {
	if *updateGolden {
		makeGoldenFolder(t)
	}
	list, err := os.ReadDir(goldenPath(goldenState))
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, file := range list {
		names = append(names, file.Name())
	}
	if !slices.Equal(names, []string{"life", "lock", "memory", "spool"}) {
		t.Error(names)
	}
	stored, found, err := snapshot.Read(goldenFolder(t), "n1")
	if !found || err != nil || stored.TakenAt.BootID != goldenBoot ||
		!slices.Equal(stored.Draining, []string{"gone-target"}) {
		t.Errorf("snapshot: %v %v %+v", found, err, stored)
	}
	folder := readFolderState(goldenPath(goldenState), 1, 15)
	if !folder.HasNote || folder.Note.Name != "n1" || folder.Note.Incarnation != 1 ||
		folder.Note.FileID.Inode == 0 {
		t.Errorf("note: %+v", folder.Note)
	}
}

// Writing the journal of the golden folder again produces the same bytes.
func TestGoldenFolderJournal(t *testing.T) {
	t.Cleanup(clock.SetBootID(goldenBoot))
	dir := t.TempDir()
	makeGoldenJournal(t, dir)
	got, err := os.ReadFile(filepath.Join(dir, "spool"))
	if err != nil {
		t.Fatal(err)
	}
	want, err := os.ReadFile(filepath.Join(goldenPath(goldenState), "spool"))
	if err != nil || !bytes.Equal(got, want) {
		t.Errorf("%v\ngot\n%s\nwant\n%s", err, hex.Dump(got), hex.Dump(want))
	}
}
