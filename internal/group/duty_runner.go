package group

import (
	"context"
	"errors"
	"time"

	"brackendale/internal/assignment"
	"brackendale/internal/lease"
)

// runner carries out one duty while it is held. Group.mu guards its fields but wake; runDuty runs
// on a goroutine of its own.
type runner struct {
	Duty
	schedule  assignment.Schedule
	wake      chan struct{}
	acting    bool
	claimed   bool   // without acts: see Group.Claim
	acts      uint64 // begun under this epoch
	lastError string // of the last act; empty: it worked
}

// taken begins a new holding. A duty that goes round starts a period later: it would go round
// without a pause.
func (r *runner) taken(now time.Duration) {
	r.acts, r.lastError = 0, ""
	if r.RoundRobin {
		now += r.Every
	}
	r.schedule.Reset(now)
}

// wakeUp lets the runner look whether an act is due. It does not block.
func (r *runner) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// counters count since the process began.
type counters struct {
	taken   uint64
	lost    uint64
	acts    uint64
	failed  uint64
	refused uint64
}

// runDuty carries out a duty's acts until ctx ends. An act begins only if its lease outlasts the
// longest time that it may take.
func (g *Group) runDuty(ctx context.Context, runner *runner) {
	for {
		act, started, wait := g.startAct(runner)
		if started {
			g.runAct(ctx, runner, act)
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

// startAct starts an act if one is due and allowed; else wait fires when the next one is due, and
// is nil where the duty may not act.
func (g *Group) startAct(runner *runner) (act Act, started bool, wait <-chan time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	epoch, may := g.holder.MayExecute(runner.Name, now, runner.Longest)
	if !may || g.leaving || g.successors[runner.Name] != "" {
		return Act{}, false, nil
	}
	due, next := runner.schedule.Due(now)
	if !due {
		return Act{}, false, time.After(max(next-now, time.Millisecond))
	}
	runner.acting = true
	runner.acts++
	runner.schedule.RecordStart(now)
	g.counters.acts++
	return Act{Duty: runner.Name, Member: g.opt.Name, Epoch: epoch, Number: runner.acts}, true, nil
}

// runAct carries out one act and records how it ended.
func (g *Group) runAct(ctx context.Context, runner *runner, act Act) {
	actCtx, cancel := context.WithTimeout(ctx, runner.Longest)
	err := runner.Do(actCtx, act)
	cancel()
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	runner.acting = false
	runner.schedule.RecordResult(now, err == nil)
	held, ok := g.holder.Get(runner.Name, now)
	ok = ok && held.Epoch == act.Epoch
	if runner.lastError = ""; err != nil {
		runner.lastError = err.Error()
		g.counters.failed++
		g.log.Warn().Err(err).Str("duty", runner.Name).Uint64("epoch", act.Epoch).Uint64("act", act.Number).
			Msg("group: act failed: it is tried again later")
	}
	if g.releaseAfterAct(runner, act, ok, errors.Is(err, ErrStaleEpoch)) {
		g.requestHeartbeat()
	}
}

// releaseAfterAct releases the duty if it has to go now that its act has ended. held reports
// whether it is still held under the act's epoch. The result reports whether the leader has to hear
// of it. The lock is held.
func (g *Group) releaseAfterAct(runner *runner, act Act, held, staleEpoch bool) bool {
	ref := lease.Ref{Name: runner.Name, Epoch: act.Epoch}
	switch {
	case staleEpoch:
		g.counters.refused++
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
