package load

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"os"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// defaultStallTimeout applies where Plan.Limit is 0.
const defaultStallTimeout = 10 * time.Second

// measurement is a running plan. It is not safe for concurrent use.
type measurement struct {
	plan    Plan
	clients *idleClients
	active  *activeLoad
}

// sample holds the values of all counters at one time.
type sample struct {
	at          time.Time
	counts      Counts
	errors      map[string]int // lost idle connections by error
	timersFired uint64         // timers that have fired in the sender
	cpuTime     time.Duration  // CPU time of the sender
	missed      int64          // active messages not sent because all clients were busy
}

// step opens the stage's connections, waits for the gate and measures for Plan.Each.
func (m *measurement) step(ctx context.Context, st stage) (Step, error) {
	step, err := m.open(st)
	if err != nil {
		return step, err
	}
	if m.plan.Gate != nil {
		if err := m.plan.Gate(); err != nil {
			return step, fmt.Errorf("load: step %d: %w", st.idle, err)
		}
	}
	before, err := m.sample()
	if err != nil {
		return step, err
	}
	m.active.swapTally()
	if err := m.perform(ctx, st); err != nil {
		return step, err
	}
	seen := m.active.swapTally()
	after, err := m.sample()
	if err != nil {
		return step, err
	}
	step.record(before, after, seen)
	step.RSS = rss(m.plan.Pid)
	return step, nil
}

// open opens as many idle connections as the stage wants.
func (m *measurement) open(st stage) (Step, error) {
	before, _ := m.clients.counts()
	start := time.Now()
	err := m.clients.grow(st.idle, cmp.Or(m.plan.Limit, defaultStallTimeout), func(open int) {
		if m.plan.Progress != nil {
			m.plan.Progress(open, st.idle)
		}
	})
	if err != nil {
		return Step{}, fmt.Errorf("load: step %d: %w", st.idle, err)
	}
	step := Step{Name: st.name, Idle: st.idle, Opened: st.idle - before.Open, OpenSeconds: time.Since(start).Seconds()}
	if step.OpenSeconds > 0 && step.Opened > 0 {
		step.ConnectionsPerSecond = float64(step.Opened) / step.OpenSeconds
	}
	return step, nil
}

// perform runs the stage's action, if it has one, and returns when the action has ended and Plan.Each has passed.
func (m *measurement) perform(ctx context.Context, st stage) error {
	done := make(chan error, 1)
	go func() {
		if st.perform == nil {
			done <- nil
			return
		}
		done <- st.perform(m.clients)
	}()
	select {
	case <-time.After(m.plan.Each):
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := <-done; err != nil {
		return fmt.Errorf("load: %s: %w", st.name, err)
	}
	return nil
}

// sample reads all counters. The CPU time and the clock are read last.
func (m *measurement) sample() (sample, error) {
	counts, byError := m.clients.counts()
	count, err := timersFired(m.plan.Socket)
	return sample{
		counts: counts, errors: byError, timersFired: count, missed: m.active.missed.Load(),
		cpuTime: cpuTime(m.plan.Pid), at: time.Now(),
	}, err
}

// record fills in the differences between two samples; seen has the results of the active clients between them.
func (s *Step) record(before, after sample, seen *tally) {
	s.TimersFired = int(after.timersFired - before.timersFired)
	s.Lost = after.counts.Lost - before.counts.Lost
	s.HeartbeatsSent = after.counts.Sent - before.counts.Sent
	s.Missed = after.missed - before.missed
	failures := maps.Clone(after.errors)
	seen.update(func() {
		s.Rejected, s.Failed = seen.rejected, seen.failed
		// Copies, since a client that is late may still record what belongs to these results.
		s.accepted = hdrhistogram.Import(seen.accepted.Export())
		s.answered = hdrhistogram.Import(seen.answered.Export())
		for text, count := range seen.errors {
			failures[text] += count
		}
	})
	if s.Lost > 0 || s.Failed > 0 {
		fmt.Fprintln(os.Stderr, "load: lost or failed:", failures)
	}
	s.Accepted, s.Answered = newLatency(s.accepted), newLatency(s.answered)
	s.CPU = (after.cpuTime - before.cpuTime).Seconds() / after.at.Sub(before.at).Seconds()
}
