package app

import (
	"context"
	"testing"

	"brackendale/internal/clock"
	"brackendale/internal/journal"
	"brackendale/internal/testing/standin"
	"brackendale/sender"

	"github.com/rs/zerolog"
)

// A member whose group folder alone was emptied, as after group recover, keeps the charges that it holds: its journal
// is of the incarnation that others have seen. One whose whole folder is an older state does not.
func TestGroupFolderLostAlone(t *testing.T) {
	const seen = 5 // the incarnation that others have seen
	for name, test := range map[string]struct {
		recorded       uint64
		wantDistrusted bool
	}{
		"the journal is of that incarnation": {seen, false},
		"the journal is of a later one":      {seen + 1, false},
		"the journal is of an earlier one":   {seen - 1, true},
		"the journal is of an older release": {0, true},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			holdCharge(t, dir)
			options := sender.Options{
				Name: "m", Settings: standin.Settings(), StateDir: dir, DiskBytes: 2 << 20, Log: zerolog.Nop(),
				FolderTrust: sender.FolderVerified,
			}
			previous, err := sender.New(options)
			if err != nil {
				t.Fatal(err)
			}
			(&peers{core: previous, log: zerolog.Nop()}).onIncarnation(test.recorded)
			runUntil(previous, func(done func()) { previous.Post(done) })
			core, err := sender.New(options)
			if err != nil {
				t.Fatal(err)
			}
			member := &peers{core: core, log: zerolog.Nop()}
			runUntil(core, func(recorded func()) { member.onSuperseded(seen, recorded) })
			entries, _, err := journal.ReadEntries(dir, 2<<20)
			if err != nil || len(entries) != 1 {
				t.Fatal(len(entries), err)
			}
			if distrusted := entries[0].FirstRun != 0; distrusted != test.wantDistrusted {
				t.Errorf("distrusted: %v", distrusted)
			}
		})
	}
}

// holdCharge writes a journal with a charge that was never sent.
func holdCharge(t *testing.T, dir string) {
	t.Helper()
	held, err := journal.Open(dir, 2<<20)
	if err != nil {
		t.Fatal(err)
	}
	held.Accept(&journal.Entry{ID: "m", Class: "once", Destination: 7, Deadline: clock.Steady().Add(standin.Long)})
	if err := held.Flush(); err != nil {
		t.Fatal(err)
	}
	if err := held.Close(); err != nil {
		t.Fatal(err)
	}
}

// runUntil runs a core until the function that it passes to act has been called.
func runUntil(core *sender.Sender, act func(done func())) {
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- core.Run(ctx) }()
	done := make(chan bool)
	act(func() { close(done) })
	<-done
	cancel()
	<-ended
}
