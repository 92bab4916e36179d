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
	// maxActWait bounds how long a member that leaves waits for its acts.
	maxActWait = time.Second

	// pollInterval is how often a condition is looked at that nothing signals.
	pollInterval = 5 * time.Millisecond
)

// leave ends what is in progress, releases all duties and hands on the leadership, within a bound.
func (g *Group) leave() {
	g.mu.Lock()
	g.leaving = true
	longest := time.Duration(0)
	for _, runner := range g.runners {
		longest = max(longest, runner.Longest)
	}
	g.releaseAll("leaving")
	node := g.node
	g.mu.Unlock()
	g.requestHeartbeat()
	until := time.Now().Add(min(longest, maxActWait) + g.leaseFraction(leaveFraction))
	for time.Now().Before(until) && !g.nothingHeld() {
		time.Sleep(pollInterval)
	}
	if node == nil || !node.leads() {
		return
	}
	transferred := make(chan struct{})
	go func() { defer close(transferred); _ = node.raft.LeadershipTransfer().Error() }()
	select {
	case <-transferred:
	case <-time.After(g.leaseFraction(leaveFraction)):
	}
}

// releaseAll releases all duties without an act in progress. Quotas and restart slots are held on
// to. The lock is held.
func (g *Group) releaseAll(reason string) {
	for _, ref := range g.holder.Refs() {
		if runner := g.runners[ref.Name]; runner != nil && !runner.acting {
			g.release(ref, reason)
		}
	}
}

// release stops counting on a lease and lets the leader know with the next heartbeat. The lock is
// held.
func (g *Group) release(ref lease.Ref, reason string) {
	g.holder.Drop(ref.Name, ref.Epoch)
	g.released[ref.Name] = ref
	g.counters.lost++
	g.log.Info().Str("duty", ref.Name).Uint64("epoch", ref.Epoch).Str("reason", reason).
		Msg("group: duty released: others may hold it once the leader hears of it")
}

// nothingHeld reports whether no duty is held, no act is in progress and no release is to be sent.
func (g *Group) nothingHeld() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, runner := range g.runners {
		if runner.acting {
			return false
		}
	}
	return len(g.released) == 0 && !slices.ContainsFunc(g.holder.Refs(),
		func(ref lease.Ref) bool { return g.runners[ref.Name] != nil })
}

// Join makes this member, which has left, a voter again: the group admits it with an empty log.
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

// Leave ends this member's vote; it goes on sending heartbeats. Where it leads it hands that on
// first.
func (g *Group) Leave(ctx context.Context) (err error) {
	g.mu.Lock()
	node, stored := g.node, g.folder
	if node == nil || !stored.Voter {
		g.mu.Unlock()
		return errNotVoter
	}
	g.givingUpVote = true
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		g.givingUpVote = false
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
