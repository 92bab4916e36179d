package group

import (
	"context"
	"errors"
	"time"

	"brackendale/internal/lease"

	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

const (
	// retryDelay is how long a member waits before it retries to open its folder, its port or its
	// log.
	retryDelay = 300 * time.Millisecond

	// maxRetryDelays limits the delay while the log fails repeatedly, in multiples of retryDelay.
	maxRetryDelays = 8
)

// maintainLog runs the log while this member is a voter, until ctx ends. A failure is recorded as the
// reason for which this member is inactive, and retried: delivery continues in the meantime.
func (g *Group) maintainLog(ctx context.Context, stored *folder) {
	delay := retryDelay
	for ctx.Err() == nil {
		if !g.isVoter() {
			g.setState(stateNonVoter)
			g.setInactive("")
			if !g.waitAsNonVoter(ctx, stored) {
				return
			}
			continue
		}
		started := time.Now()
		if err := g.runLog(ctx, stored); err != nil && ctx.Err() == nil {
			g.setInactive(err.Error())
		}
		if delay = min(2*delay, maxRetryDelays*retryDelay); time.Since(started) > g.leaseFraction(stableLogFraction) {
			delay = retryDelay
		}
		if !sleep(ctx, delay) {
			return
		}
	}
}

// waitAsNonVoter waits for one poll interval. A non-voter whose folder is an older state only has to
// continue with a later incarnation: it has no log and no votes that could be outdated.
func (g *Group) waitAsNonVoter(ctx context.Context, stored *folder) bool {
	g.mu.Lock()
	superseded, known := g.superseded, g.supersededBy
	g.mu.Unlock()
	if superseded {
		if err := g.raiseIncarnation(stored, known+1); err != nil {
			g.setInactive(err.Error())
		}
	}
	return sleep(ctx, g.leaseFraction(nonVoterPollFraction))
}

// raiseIncarnation continues with a later incarnation, which it stores before using it.
func (g *Group) raiseIncarnation(stored *folder, incarnation uint64) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.supersedePending {
		return errSupersedePending
	}
	stored.Incarnation = max(stored.Incarnation, incarnation)
	if err := stored.save(); err != nil {
		return err
	}
	g.reportIncarnation(stored)
	g.incarnation, g.superseded = stored.Incarnation, false
	return nil
}

// isVoter reports whether this member has, or is to get, a log and a vote.
func (g *Group) isVoter() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.folder.Voter
}

func (g *Group) setState(state logState) {
	g.mu.Lock()
	g.state = state
	g.mu.Unlock()
}

// runLog opens the log in the folder, or obtains a new one, and runs it until ctx ends, it fails, or
// this member may no longer vote.
func (g *Group) runLog(ctx context.Context, stored *folder) error {
	bolt, err := g.openLog(stored)
	if err != nil {
		return err
	}
	position, err := readLogPosition(bolt, stored.dir)
	if err != nil {
		return errors.Join(err, bolt.Close())
	}
	if bolt, err = g.prepareLog(ctx, stored, bolt, position); err != nil {
		return err
	}
	node, err := g.startNode(bolt, stored.dir)
	if err != nil {
		return errors.Join(err, bolt.Close())
	}
	g.mu.Lock()
	g.node, g.state = node, stateStarted
	g.mu.Unlock()
	g.setInactive("")
	defer func() {
		g.mu.Lock()
		g.node, g.leading = nil, false
		g.table, g.watch = lease.NewTable(), lease.NewExpiryWatch(g.opt.Terms)
		g.resetMembers()
		g.mu.Unlock()
		node.stop()
	}()
	return g.superviseLeadership(ctx, node)
}

// openLog opens the log file. A corrupt file is removed: the group then has to readmit this member.
func (g *Group) openLog(stored *folder) (*raftboltdb.BoltStore, error) {
	bolt, err := openBolt(stored.dir)
	if err == nil || !isCorrupt(err) {
		return bolt, err
	}
	g.log.Error().Err(err).Str("folder", stored.dir).
		Msg("group: the log file is corrupt: it is removed, and this member requests to be readmitted")
	if err := stored.removeLog(); err != nil {
		return nil, err
	}
	stored.Started = true // there was a log: the first start is complete
	if err := stored.save(); err != nil {
		return nil, err
	}
	return openBolt(stored.dir)
}

// prepareLog returns the log with which this member may vote: the opened one if it is not empty and is
// this member's latest one as far as the other voters report, else a new one.
func (g *Group) prepareLog(
	ctx context.Context, stored *folder, bolt *raftboltdb.BoltStore, position logPosition,
) (*raftboltdb.BoltStore, error) {
	g.mu.Lock()
	g.position = position
	if g.state = stateEmpty; position.Exists || stored.Started {
		g.state = stateStarted
	}
	g.mu.Unlock()
	if position.Exists {
		g.peekVoters(ctx, g.leaseFraction(peekTimeoutFraction)) // detects a folder that is not the latest one
	}
	g.mu.Lock()
	superseded := g.superseded
	g.mu.Unlock()
	if !superseded && position.Exists {
		return bolt, nil
	}
	if err := bolt.Close(); err != nil {
		return nil, err
	}
	return g.obtainLog(ctx, stored, superseded)
}
