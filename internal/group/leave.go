package group

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"brackendale/internal/lease"
)

const (
	// maxExecutionWait limits how long a leaving member waits for executions that are in progress.
	maxExecutionWait = time.Second

	// pollInterval is the interval at which conditions without a notification are polled.
	pollInterval = 5 * time.Millisecond
)

// Leaving begins to leave ahead of the end of Run's context: it waits for executions in progress,
// releases all duties and transfers the leadership, all for a limited time. The member takes no duty from
// then on, but still sends heartbeats, which renew its quotas and what it has not released yet. Repeated
// calls wait for the first one. Any goroutine may call it.
func (g *Group) Leaving() { g.leaveOnce.Do(g.leave) }

func (g *Group) leave() {
	g.mu.Lock()
	g.leaving = true
	longest := time.Duration(0)
	for _, runner := range g.runners {
		longest = max(longest, runner.MaxDuration)
	}
	g.releaseAll("leaving")
	withdraw := g.withdrawClaims(g.clock())
	node := g.node
	g.mu.Unlock()
	callAll(withdraw)
	g.requestHeartbeat()
	deadline := time.Now().Add(min(longest, maxExecutionWait) + g.leaseFraction(leaveTimeoutFraction))
	for time.Now().Before(deadline) && !g.allReleased() {
		time.Sleep(pollInterval)
	}
	if node == nil || !node.leads() {
		return
	}
	transferred := make(chan struct{})
	go func() { defer close(transferred); _ = node.raft.LeadershipTransfer().Error() }()
	select {
	case <-transferred:
	case <-time.After(g.leaseFraction(leaveTimeoutFraction)):
	}
}

// releaseAll releases all duties that are neither being executed nor claimed. Quotas and restart slots
// stay held. The caller must hold g.mu.
func (g *Group) releaseAll(reason string) {
	now := g.clock()
	for _, ref := range g.holder.Refs() {
		if runner := g.runners[ref.Name]; runner != nil && !runner.executing && !g.holdsClaim(ref.Name, now) {
			g.release(ref, reason)
		}
	}
}

// release stops using a lease, and has the next heartbeat notify the leader. The caller must hold g.mu.
func (g *Group) release(ref lease.Ref, reason string) {
	g.holder.Drop(ref.Name, ref.Epoch)
	g.released[ref.Name] = ref
	g.counters.lost++
	g.log.Info().Str("duty", ref.Name).Uint64("epoch", ref.Epoch).Str("reason", reason).
		Msg("group: duty released: others may hold it once the leader is notified")
}

// allReleased reports whether this member holds no duty, executes none, and has no release left to
// send.
func (g *Group) allReleased() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, runner := range g.runners {
		if runner.executing {
			return false
		}
	}
	return len(g.released) == 0 && !slices.ContainsFunc(g.holder.Refs(),
		func(ref lease.Ref) bool { return g.runners[ref.Name] != nil })
}

// Join makes this member a voter again after Leave: the group admits it with an empty log.
func (g *Group) Join() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	stored := g.folder
	switch {
	case stored == nil:
		return errors.New(g.inactiveReason)
	case g.opt.Voters[g.opt.Name] == "":
		return errUnlisted
	case stored.Voter:
		return errAlreadyVoter
	}
	stored.Voter, stored.Started, stored.FirstStartVoters = true, true, nil
	if err := stored.save(); err != nil {
		stored.Voter = false
		return err
	}
	return nil
}

// Leave removes this member from the voters; it still sends heartbeats. A leader transfers the
// leadership first.
func (g *Group) Leave(ctx context.Context) (err error) {
	g.mu.Lock()
	node, stored := g.node, g.folder
	if node == nil || !stored.Voter {
		g.mu.Unlock()
		return errNotVoter
	}
	g.resigning = true
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.resigning = false
		g.mu.Unlock()
	}()
	if node.leads() {
		if err := node.raft.LeadershipTransfer().Error(); err != nil {
			return fmt.Errorf("nobody else can lead: %w", err)
		}
		for node.leads() || g.leads() {
			if !sleep(ctx, pollInterval) {
				return ctx.Err()
			}
		}
	}
	if err := g.submit(ctx, &command{Op: opLeave}); err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	stored.Voter = false
	return stored.save()
}
