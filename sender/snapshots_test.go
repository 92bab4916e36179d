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

// A Retry-After of one incarnation holds in the next one. A snapshot of another sender, a torn
// one, and a journal without a snapshot cost nothing but that; a folder that is too small for both
// keeps messages alone.
func TestSnapshotAcrossRestarts(t *testing.T) {
	dir := t.TempDir()
	runSender := func(name string, disk int64, f func(*Sender)) string {
		t.Helper()
		var log bytes.Buffer
		s, err := New(Options{
			Name: name, Settings: testSettings(), StateDir: dir, DiskBytes: disk, KeepSnapshot: true,
			Log: zerolog.New(&log),
		})
		if err != nil {
			t.Fatal(err)
		}
		s.UpdateRoutes("whole", []Route{{Endpoint: scheduler.Endpoint{
			Addr: "a", MachineType: "k", Destination: 1,
			State: "live",
		}, Protocol: "p"}})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		f(s)
		cancel()
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		return log.String()
	}
	retryAfter := func(s *Sender) (us int64) {
		t.Helper()
		heard := make(chan int64, 1)
		s.Health(nil, func(list []scheduler.Health, _ []int64) {
			us := int64(0)
			for _, h := range list {
				us = max(us, h.RetryAfterUs)
			}
			heard <- us
		})
		select {
		case us = <-heard:
		case <-time.After(20 * time.Second):
			t.Fatal("no answer")
		}
		return us
	}
	runSender("n", 1<<20, func(s *Sender) {
		s.Inject(scheduler.Event{Kind: scheduler.RetryAfterShared, Destination: 1, Deadline: int64(s.Now()) + 50e6})
		// until a step has taken it in
		for until := time.Now().Add(20 * time.Second); retryAfter(s) == 0 && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
	})
	log := runSender("n", 1<<20, func(s *Sender) {
		if us := retryAfter(s); us < 20e6 {
			t.Errorf("a wait of 50 s is lost: %d us left", us)
		}
	})
	if !strings.Contains(log, "learned state of the previous incarnation restored") {
		t.Error(log)
	}
	if log := runSender("other", 1<<20, func(s *Sender) {
		if us := retryAfter(s); us != 0 {
			t.Errorf("another sender's wait: %d", us)
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
		t.Errorf("a folder that is too small has a snapshot: %v", err)
	}
}

// BenchmarkStart is a start with 100,000 messages for 10,000 destinations in the journal, and what
// a second of snapshots costs the core: the fingerprint and the snapshot.
func BenchmarkStart(b *testing.B) {
	const messages, dests = 100_000, 10_000
	dir, set := b.TempDir(), testSettings()
	set.Limits.MaxMessages = 2 * messages
	opt := Options{Settings: set, StateDir: dir, DiskBytes: 256 << 20, Log: zerolog.Nop(), KeepSnapshot: true}
	s, err := New(opt)
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
		s.journal.Accept(&journal.Entry{
			ID: fmt.Sprint("message-", i), Class: "once", Destination: int64(i % dests),
			Deadline: s.Now() + 9e6, Body: body,
		})
	}
	if err := s.journal.Flush(); err != nil {
		b.Fatal(err)
	}
	_ = s.journal.Close()
	var readTime, restoreTime, fingerprintTime, snapshotTime time.Duration
	size := 0
	for b.Loop() {
		if s, err = New(opt); err != nil {
			b.Fatal(err)
		}
		readTime += s.recovery.journalReadTime
		s.UpdateRoutes("whole", list)
		began := time.Now()
		s.runPosted()
		s.restoreJournal()
		s.runIteration()
		restoreTime += time.Since(began)
		began = time.Now()
		s.scheduler.Fingerprint()
		fingerprintTime += time.Since(began)
		began = time.Now()
		m := snapshot.Snapshot{Scheduler: s.scheduler.LearnedState(maxSnapshotDestinations)}
		snapshotTime += time.Since(began)
		raw, err := snapshot.Encode(m)
		if err != nil {
			b.Fatal(err)
		}
		size = len(raw)
		_ = s.journal.Close()
	}
	for name, spent := range map[string]time.Duration{
		"read": readTime, "taken-up": restoreTime, "worth": fingerprintTime, "image": snapshotTime,
	} {
		b.ReportMetric(float64(spent.Microseconds())/1000/float64(b.N), name+"-ms")
	}
	b.ReportMetric(float64(size), "image-bytes")
}
