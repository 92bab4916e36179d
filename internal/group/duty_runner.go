package group

import (
	"context"
	"errors"
	"time"

	"brackendale/internal/assignment"
	"brackendale/internal/lease"
)

// runner executes one duty while this member holds its lease. Group.mu guards all fields but wake;
// runDuty runs on a goroutine of its own.
type runner struct {
	Duty
	schedule   assignment.Schedule
	wake       chan struct{}
	executing  bool
	claimed    bool   // a lease that is held without executions: see Group.Claim
	executions uint64 // begun under this epoch
	lastError  string // of the last execution; empty if it succeeded
}

// acquired resets the runner for a lease that was just granted. The first execution of a round-robin
// duty waits a full interval: without that, the duty would move from member to member without a
// pause.
func (r *runner) acquired(now time.Duration) {
	r.executions, r.lastError = 0, ""
	if r.RoundRobin {
		now += r.Every
	}
	r.schedule.Reset(now)
}

// wakeUp makes the runner check whether an execution is due. It does not block.
func (r *runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// counters are totals since the process started.
type counters struct {
	acquired   uint64 // duties
	lost       uint64 // duties that were released or lost
	executions uint64 // begun
	failed     uint64 // executions
	stale      uint64 // executions that failed with ErrStaleEpoch
}

// runDuty executes a duty until ctx ends. An execution begins only if the lease outlasts the longest
// time that the execution may take.
func (g *Group) runDuty(ctx context.Context, runner *runner) {
	for {
		execution, started, wait := g.startExecution(runner)
		if started {
			g.runExecution(ctx, runner, execution)
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-runner.wake:
		case <-wait:
		}
	}
}

// startExecution begins an execution if one is due and allowed. If not, wait fires when the next one
// is due; wait is nil if the duty may not be executed at all for now.
func (g *Group) startExecution(runner *runner) (execution Execution, started bool, wait <-chan time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	epoch, allowed := g.holder.MayExecute(runner.Name, now, runner.MaxDuration)
	if !allowed || g.leaving || g.successors[runner.Name] != "" {
		return Execution{}, false, nil
	}
	due, next := runner.schedule.Due(now)
	if !due {
		return Execution{}, false, time.After(max(next-now, time.Millisecond))
	}
	runner.executing = true
	runner.executions++
	runner.schedule.RecordStart(now)
	g.counters.executions++
	return Execution{Duty: runner.Name, Member: g.opt.Name, Epoch: epoch, Number: runner.executions}, true, nil
}

// runExecution runs one execution and records its result.
func (g *Group) runExecution(ctx context.Context, runner *runner, execution Execution) {
	executionCtx, cancel := context.WithTimeout(ctx, runner.MaxDuration)
	err := runner.Execute(executionCtx, execution)
	cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	runner.executing = false
	runner.schedule.RecordResult(now, err == nil)
	held, ok := g.holder.Get(runner.Name, now)
	ok = ok && held.Epoch == execution.Epoch
	if runner.lastError = ""; err != nil {
		runner.lastError = err.Error()
		g.counters.failed++
		g.log.Warn().Err(err).Str("duty", runner.Name).Uint64("epoch", execution.Epoch).Uint64("act", execution.Number).
			Msg("group: execution of a duty failed: it will be retried")
	}
	if g.releaseAfterExecution(runner, execution, ok, errors.Is(err, ErrStaleEpoch)) {
		g.requestHeartbeat()
	}
}

// releaseAfterExecution releases the duty if a release was only waiting for the execution to end.
// held reports whether the duty is still held under the epoch of the execution. The result reports
// whether the leader must be notified by a heartbeat. The caller must hold g.mu.
func (g *Group) releaseAfterExecution(runner *runner, execution Execution, held, staleEpoch bool) bool {
	ref := lease.Ref{Name: runner.Name, Epoch: execution.Epoch}
	switch {
	case staleEpoch:
		g.counters.stale++
		if held {
			g.release(ref, "its receiver knows a newer epoch")
		}
	case held && g.leaving:
		g.release(ref, "leaving")
	case held && runner.RoundRobin:
		g.successors[runner.Name] = anyNextMember
		g.release(ref, "it goes round")
	case held && g.successors[runner.Name] != "":
		g.release(ref, "it goes to "+g.successors[runner.Name])
	default:
		return false
	}
	return true
}
