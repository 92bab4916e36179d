package sender

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"brackendale/internal/journal"
	"brackendale/internal/snapshot"
	"brackendale/scheduler"

	"github.com/rs/zerolog"
)

// A Retry-After that one incarnation received is still respected by the next one. A snapshot of another
// sender, a torn snapshot or a missing one only loses the learned state. With a disk budget that is
// too small for both, only messages are kept.
func TestSnapshotAcrossRestarts(t *testing.T) {
	dir := t.TempDir()
	runSender := func(name string, disk int64, use func(*Sender)) string {
		t.Helper()
		var log bytes.Buffer
		core, err := New(Options{
			Name: name, Settings: testSettings(), StateDir: dir, DiskBytes: disk, KeepSnapshot: true,
			Log: zerolog.New(&log),
		})
		if err != nil {
			t.Fatal(err)
		}
		core.UpdateRoutes("whole", []Route{{Endpoint: scheduler.Endpoint{
			Addr: "a", MachineType: "k", Destination: 1,
			State: "live",
		}, Protocol: "p"}})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- core.Run(ctx) }()
		use(core)
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		return log.String()
	}
	retryAfter := func(core *Sender) (us int64) {
		t.Helper()
		received := make(chan int64, 1)
		core.Health(nil, func(list []scheduler.Health, _ []int64) {
			us := int64(0)
			for _, health := range list {
				us = max(us, health.RetryAfterUs)
			}
			received <- us
		})
		select {
		case us = <-received:
		case <-time.After(20 * time.Second):
			t.Fatal("Health did not report within 20 s")
		}
		return us
	}
	runSender("n", 1<<20, func(core *Sender) {
		core.Inject(scheduler.Event{Kind: scheduler.RetryAfterShared, Destination: 1, Deadline: int64(core.Now()) + 50e6})
		// until a step has processed the event
		for deadline := time.Now().Add(20 * time.Second); retryAfter(core) == 0 && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
	})
	log := runSender("n", 1<<20, func(core *Sender) {
		if us := retryAfter(core); us < 20e6 {
			t.Errorf("a Retry-After of 50 s is lost: %d us left", us)
		}
	})
	if !strings.Contains(log, "learned state of the previous incarnation restored") {
		t.Error(log)
	}
	if log := runSender("other", 1<<20, func(core *Sender) {
		if us := retryAfter(core); us != 0 {
			t.Errorf("another sender's Retry-After was restored: %d us", us)
		}
	}); !strings.Contains(log, "dropped") {
		t.Error(log)
	}
	path := filepath.Join(dir, "memory")
	raw, err := os.ReadFile(path)
	if err == nil {
		err = os.WriteFile(path, raw[:len(raw)/2], 0o600)
	}
	if err != nil {
		t.Fatal(err)
	}
	if log := runSender("other", 1<<20, func(*Sender) {}); !strings.Contains(log, "torn") {
		t.Error(log)
	}
	if err := os.Remove(path); err != nil {
		t.Fatal(err)
	}
	runSender("n", 100_000, func(*Sender) {})
	if _, err := os.Stat(path); !os.IsNotExist(err) {
		t.Errorf("a snapshot exists despite a disk budget that is too small: %v", err)
	}
}

// BenchmarkStart measures a start with 100,000 messages for 10,000 destinations in the journal, and the
// cost of snapshots on Run's goroutine: the fingerprint and the snapshot.
func BenchmarkStart(b *testing.B) {
	const messages, dests = 100_000, 10_000
	dir, settings := b.TempDir(), testSettings()
	settings.Limits.MaxMessages = 2 * messages
	options := Options{Settings: settings, StateDir: dir, DiskBytes: 256 << 20, Log: zerolog.Nop(), KeepSnapshot: true}
	core, err := New(options)
	if err != nil {
		b.Fatal(err)
	}
	var list []Route
	for i := range dests {
		list = append(list, Route{Endpoint: scheduler.Endpoint{
			Addr: fmt.Sprint("endpoint-", i), MachineType: "k",
			Destination: int64(i), State: "live",
		}, Protocol: "none"})
	}
	body := make([]byte, 200)
	for i := range messages {
		core.journal.Accept(&journal.Entry{
			ID: fmt.Sprint("message-", i), Class: "once", Destination: int64(i % dests),
			Deadline: core.Now() + 9e6, Body: body,
		})
	}
	if err := core.journal.Flush(); err != nil {
		b.Fatal(err)
	}
	_ = core.journal.Close()
	var readTime, restoreTime, fingerprintTime, snapshotTime time.Duration
	size := 0
	for b.Loop() {
		if core, err = New(options); err != nil {
			b.Fatal(err)
		}
		readTime += core.recovery.journalReadTime
		core.UpdateRoutes("whole", list)
		began := time.Now()
		core.runPosted()
		core.restoreJournal()
		core.runIteration()
		restoreTime += time.Since(began)
		began = time.Now()
		core.scheduler.Fingerprint()
		fingerprintTime += time.Since(began)
		began = time.Now()
		taken := snapshot.Snapshot{Scheduler: core.scheduler.LearnedState(maxSnapshotDestinations)}
		snapshotTime += time.Since(began)
		raw, err := snapshot.Encode(taken)
		if err != nil {
			b.Fatal(err)
		}
		size = len(raw)
		_ = core.journal.Close()
	}
	for name, spent := range map[string]time.Duration{
		"read": readTime, "taken-up": restoreTime, "worth": fingerprintTime, "image": snapshotTime,
	} {
		b.ReportMetric(float64(spent.Microseconds())/1000/float64(b.N), name+"-ms")
	}
	b.ReportMetric(float64(size), "image-bytes")
}
