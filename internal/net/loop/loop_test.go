package loop

import (
	"context"
	"sync"
	"testing"
	"time"

	"brackendale/internal/timers"
)

// Ten thousand timers that are due at the same time do not delay tasks that are enqueued in the meantime: these run
// after one batch of timers.
func TestManyTimersDueAtOnce(t *testing.T) {
	const n = 10_000
	l := New()
	fired, enqueuedAt, read, posted := 0, 0, -1, -1
	list := make([]timers.Timer, n)
	for i := range list {
		l.Arm(&list[i], 0, timers.TickSlack, timers.Func(func() {
			if fired++; fired == n/2 {
				enqueuedAt = fired
				l.Post(func() { posted = fired })
				l.PostRead(Func(func() { read = fired }))
			}
		}))
	}
	time.Sleep(5 * timers.Tick) // now all are due
	for l.iterate() {
	}
	if fired != n || posted < enqueuedAt || posted > enqueuedAt+timerBatch ||
		read < enqueuedAt || read > enqueuedAt+2*timerBatch {
		t.Fatal("fired", fired, "enqueued at", enqueuedAt, "posted", posted, "read", read)
	}
}

// For some time after a pause of the process the loop is stalled; a loop that iterates all the time is not.
func TestStalled(t *testing.T) {
	l := New()
	l.iterate()
	if l.Stalled() {
		t.Fatal("a loop that has just started is stalled")
	}
	l.lastIteration -= 2 * stallThreshold // as if the process had been paused
	if l.iterate(); !l.Stalled() {
		t.Fatal("the pause was not detected")
	}
	l.stalledUntil -= 2 * stallGrace
	if l.iterate(); l.Stalled() {
		t.Fatal("the stall does not end")
	}
}

// Posted functions run before reads, also between the batches of many reads that arrive at once.
func TestPostsRunBeforeReads(t *testing.T) {
	l := New()
	var order []string
	for range 3 * readBatch {
		l.PostRead(Func(func() {
			if order = append(order, "read"); len(order) == 1 {
				l.Post(func() { order = append(order, "posted") })
			}
		}))
	}
	for l.iterate() {
	}
	if len(order) != 3*readBatch+1 || order[readBatch] != "posted" {
		t.Fatal("the posted function did not run after the first batch of reads")
	}
}

// Other goroutines post, enqueue reads and set timers while the loop runs: everything runs, and no timer fires early.
func TestConcurrentUse(t *testing.T) {
	l := New()
	ctx, cancel := context.WithCancel(context.Background())
	stopped := make(chan bool)
	go func() { l.Run(ctx); close(stopped) }()
	var pending sync.WaitGroup
	for i := range 8 {
		for range 200 {
			pending.Add(3)
			l.Post(pending.Done)
			l.PostRead(Func(pending.Done))
			d, start := time.Duration(i)*time.Millisecond, l.Now()
			l.After(d, func() {
				if l.Now()-start < d {
					t.Error("a timer fired early")
				}
				pending.Done()
			})
		}
	}
	pending.Wait()
	cancel()
	<-stopped
}
