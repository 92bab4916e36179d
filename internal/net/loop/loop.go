// Package loop is an event loop: one goroutine owns the state of all connections, that is their parsers, partial frames
// and timers. Other goroutines enqueue tasks, which run on it without locks.
package loop

import (
	"context"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"brackendale/internal/timers"
)

// The number of tasks and timers that run before the loop runs the functions posted in the meantime, so that many reads
// or timers at once do not delay other work.
const (
	readBatch  = 64 // reads
	timerBatch = 64 // timers with slack
)

// Task is work that carries its own state, so that enqueueing it allocates no closure.
type Task interface{ Do() }

// Func is a function that is used as a task.
type Func func()

// Do calls the function.
func (f Func) Do() { f() }

// Loop runs tasks and timers on one goroutine. Use New.
type Loop struct {
	mu    sync.Mutex
	posts []Task // from the core, dials and accepts
	reads []Task // input from clients and endpoints
	wake  chan struct{}

	deferred []Task // to run at the end of this batch

	start         time.Time // the zero of the loop's clock
	wheel         *timers.Wheel
	sleepTimer    *time.Timer
	sleepDeadline time.Duration // the time that sleepTimer is set to; 0: not set

	lastIteration time.Duration // the end of the last iteration
	stalledUntil  time.Duration // Stalled returns true before it

	onStall func(Stall, time.Duration) // nil: none

	fired atomic.Uint64
}

// Stall is a kind of delay of a loop, which delays all connections.
type Stall string

// The kinds of stalls.
const (
	LateTimer     Stall = "late timer"     // the loop was woken late: the process was paused, or had no processor
	LongIteration Stall = "long iteration" // a task or a system call took long
)

// Stalls returns all kinds of stalls.
func Stalls() []Stall { return []Stall{LateTimer, LongIteration} }

// reportedStall is the duration from which on a stall is reported.
const reportedStall = 50 * time.Millisecond

// SetStallObserver makes the loop call observe for each stall, on its goroutine. It must be called before Run.
func (l *Loop) SetStallObserver(observe func(Stall, time.Duration)) { l.onStall = observe }

// reportStall reports a stall if it is long enough.
func (l *Loop) reportStall(kind Stall, duration time.Duration) {
	if l.onStall != nil && duration >= reportedStall {
		l.onStall(kind, duration)
	}
}

// New returns a loop, which runs tasks and timers once Run is called.
func New() *Loop {
	l := &Loop{
		wake:       make(chan struct{}, 1),
		start:      time.Now(),
		wheel:      timers.New(),
		sleepTimer: time.NewTimer(time.Hour),
	}
	l.sleepTimer.Stop()
	return l
}

// Post enqueues f to run on the loop's goroutine, after the functions posted before it. It is safe for concurrent use.
func (l *Loop) Post(f func()) { l.enqueue(&l.posts, Func(f)) }

// PostRead enqueues a task that handles input of a socket; posted functions run before it. It is safe for concurrent
// use.
func (l *Loop) PostRead(task Task) { l.enqueue(&l.reads, task) }

// enqueue appends a task to a queue and wakes the loop.
func (l *Loop) enqueue(queue *[]Task, task Task) {
	l.mu.Lock()
	*queue = append(*queue, task)
	l.mu.Unlock()
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// Defer runs a task at the end of the current batch, before the loop yields its processor or sleeps. It must be called
// on the loop's goroutine.
func (l *Loop) Defer(task Task) { l.deferred = append(l.deferred, task) }

// runDeferred runs the deferred tasks, including those that they add.
func (l *Loop) runDeferred() {
	for i := 0; i < len(l.deferred); i++ {
		l.deferred[i].Do()
		l.deferred[i] = nil
	}
	l.deferred = l.deferred[:0]
}

// Now returns the monotonic time since the loop was created. It is safe for concurrent use.
func (l *Loop) Now() time.Duration { return time.Since(l.start) }

// Arm sets a timer to be due after d: never earlier, and at most slack (at least a millisecond) plus one iteration
// later. It must be called on the loop's goroutine, as must Disarm.
func (l *Loop) Arm(t *timers.Timer, d, slack time.Duration, handler timers.Handler) {
	l.wheel.Start(t, l.Now()+max(0, d), slack, handler)
}

// Disarm stops a timer.
func (l *Loop) Disarm(t *timers.Timer) { l.wheel.Stop(t) }

// After runs f on the loop's goroutine once d has passed; it cannot be stopped. It is safe for concurrent use.
func (l *Loop) After(d time.Duration, f func()) {
	due := l.Now() + max(0, d)
	l.Post(func() { l.wheel.Start(&timers.Timer{}, due, 0, timers.Func(f)) })
}

const (
	// stallThreshold is the time between two iterations above which the process may have been paused; the loop may also
	// have had nothing to do.
	stallThreshold = time.Second
	// stallGrace is the time after a pause during which the engine may still deliver input that arrived during the pause.
	stallGrace = time.Second
)

// Stalled reports whether the process may just have been paused: a connection must then not be closed because its peer
// seems unresponsive. It must be called on the loop's goroutine.
func (l *Loop) Stalled() bool { return l.Now() < l.stalledUntil }

// Stats holds statistics of a loop.
type Stats struct {
	Timers int    // timers that are set
	Fired  uint64 // timers that have fired since the start
}

// Stats returns the loop's statistics. It must be called on the loop's goroutine.
func (l *Loop) Stats() Stats { return Stats{Timers: l.wheel.Len(), Fired: l.fired.Load()} }

// Run runs tasks and timers until ctx ends. It is called once.
func (l *Loop) Run(ctx context.Context) {
	defer l.sleepTimer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.wake:
		case <-l.sleepTimer.C:
			if l.sleepDeadline != 0 {
				l.reportStall(LateTimer, l.Now()-l.sleepDeadline)
			}
			l.sleepDeadline = 0
		}
		for l.iterate() && ctx.Err() == nil {
		}
		l.sleep()
	}
}

// iterate runs the tasks that are enqueued and the timers that are due, and reports whether there are more.
func (l *Loop) iterate() bool {
	start := l.Now()
	if start-l.lastIteration > stallThreshold {
		l.stalledUntil = start + stallGrace
	}
	defer func() {
		l.lastIteration = l.Now()
		l.reportStall(LongIteration, l.lastIteration-start)
	}()
	l.mu.Lock()
	reads := l.reads
	l.reads = nil
	l.mu.Unlock()
	for len(reads) > 0 {
		n := min(len(reads), readBatch)
		l.runPosts()
		for i, t := range reads[:n] {
			t.Do()
			reads[i] = nil
		}
		reads = reads[n:]
		l.runTimers()
		l.runDeferred()
		runtime.Gosched() // on one processor, the core and the engine wait for this goroutine to yield
	}
	l.runPosts()
	more := l.runTimers()
	l.runDeferred()
	if more {
		runtime.Gosched()
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return more || len(l.posts) > 0 || len(l.reads) > 0
}

// runPosts runs the posted tasks; tasks that they post run at the next call.
func (l *Loop) runPosts() {
	l.mu.Lock()
	posts := l.posts
	l.posts = nil
	l.mu.Unlock()
	for _, t := range posts {
		t.Do()
	}
}

// runTimers runs the timers that are due, and reports whether there are more.
func (l *Loop) runTimers() bool {
	l.wheel.Advance(l.Now())
	n, more := l.wheel.FireDue(timerBatch, func(h timers.Handler, t *timers.Timer) { h.Due(t) })
	if n > 0 {
		l.fired.Add(uint64(n))
	}
	return more
}

// sleep sets sleepTimer to the next time at which the wheel has to advance, unless it fires earlier anyway.
func (l *Loop) sleep() {
	due, ok := l.wheel.Next()
	if !ok || l.sleepDeadline != 0 && l.sleepDeadline <= due && l.sleepDeadline > l.Now() {
		return
	}
	l.sleepDeadline = max(due, 1)
	l.sleepTimer.Reset(max(0, due-l.Now()))
}
