package group

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	"brackendale/internal/assignment"
	"brackendale/internal/lease"

	"github.com/hashicorp/raft"
)

// leaderState is the state that a member has as the leader. Group.mu guards it.
type leaderState struct {
	leading     bool
	leaderSince time.Duration
	members     map[string]*memberState
	presence    *assignment.Presence
}

// memberState is the leader's record of a member.
type memberState struct {
	incarnation     uint64
	process         uint64
	readIndex       uint64 // last log index that the member has read
	term            uint64 // of the member's log
	lastHeartbeatAt time.Duration

	offers     map[string]bool
	weight     float64
	executions map[string]executionReport
	quotas     map[string]quotaDemand
	hints      []Hint

	connections int           // for heartbeats
	wakeUp      func()        // sends the member a wake-up notification; nil if that is impossible
	wokenAt     time.Duration // time of the last wake-up
}

const (
	// memberRetention is how long the leader keeps the record of a member that sends no heartbeats.
	memberRetention = 10 * time.Minute

	// readMarkInterval is the number of log entries that a member reads between two records of its
	// read position in the log.
	readMarkInterval = 64

	// maxOffers is the maximum number of duties that one member may offer.
	maxOffers = 256
)

// resetMembers drops the records of all members. The caller must hold g.mu.
func (g *Group) resetMembers() {
	g.members = map[string]*memberState{}
	g.presence = assignment.NewPresence(g.leaseFraction(absentFraction), g.leaseFraction(settleFraction))
}

// nameInUse reports whether another process is connected under a member's name. The caller must hold
// g.mu.
func (g *Group) nameInUse(name string, process uint64, now time.Duration) bool {
	member := g.members[name]
	return member != nil && member.process != process && member.connections > 0 &&
		now-member.lastHeartbeatAt < g.leaseFraction(nameReservationFraction)
}

// superviseLeadership runs as long as the log: it follows the elections, and performs the leader's
// periodic work while this member leads. It returns when ctx ends, when the log has failed, or when
// this member may no longer vote.
func (g *Group) superviseLeadership(ctx context.Context, node *raftNode) error {
	ticker := time.NewTicker(max(g.leaseFraction(leaseCheckFraction), time.Millisecond))
	defer ticker.Stop()
	unconfirmed := g.otherVoters() // voters that have not yet replied whether this member's folder is its latest one
	lastPeekAt := g.clock()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-node.failed:
			g.log.Error().Err(err).Msg("group: the disk has failed the log: this member does not vote for now")
			return fmt.Errorf("the log cannot be written: %w", err)
		case <-ticker.C:
		}
		if now := g.clock(); len(unconfirmed) > 0 && now-lastPeekAt > g.leaseFraction(latePeekIntervalFraction) {
			lastPeekAt = now
			replies := g.peekVoters(ctx, g.leaseFraction(latePeekTimeoutFraction))
			unconfirmed = slices.DeleteFunc(unconfirmed, func(name string) bool { _, ok := replies[name]; return ok })
		}
		g.mu.Lock()
		superseded, voter := g.superseded, g.folder.Voter
		g.mu.Unlock()
		if superseded {
			return errSuperseded
		}
		if !voter {
			return nil
		}
		if g.updateLeadership(node) {
			g.checkLeases(node)
		}
	}
}

// updateLeadership follows the result of the log's elections, and reports whether this member leads.
// A member that was elected first waits until it has applied all entries of earlier leaders.
func (g *Group) updateLeadership(node *raftNode) bool {
	leading := g.leads()
	if !node.leads() {
		if leading {
			g.mu.Lock()
			g.leading = false
			g.mu.Unlock()
			g.log.Info().Msg("group: this member is no longer the leader")
		}
		return false
	}
	if leading {
		return true
	}
	if err := node.raft.Barrier(g.entryTimeout()).Error(); err != nil {
		return false
	}
	g.mu.Lock()
	g.leading, g.leaderSince = true, g.clock()
	g.resetMembers()
	g.mu.Unlock()
	g.log.Info().Msg("group: this member is the leader now")
	g.requestHeartbeat()
	return true
}

// leads reports whether this member is the leader.
func (g *Group) leads() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leading
}

// checkLeases expires the leases that were not renewed in time, wakes the members that have to release
// or may take a duty, and removes the preference for members that are absent.
func (g *Group) checkLeases(node *raftNode) {
	now := g.clock()
	if !g.expireLeases(node, now) {
		return
	}
	g.mu.Lock()
	wakeUps, absentPreferred := g.pendingMoves(now)
	g.mu.Unlock()
	callAll(wakeUps)
	for _, duty := range absentPreferred {
		if _, err := node.propose(lease.Entry{Op: lease.Prefer, Name: duty}, g.entryTimeout()); err != nil {
			return
		}
	}
}

// expireLeases expires the leases that were not renewed in time, and drops the records of members that
// have been absent for memberRetention. It returns false if the log entry could not be written.
func (g *Group) expireLeases(node *raftNode, now time.Duration) bool {
	g.mu.Lock()
	expired, _ := g.watch.Expired(now)
	g.presence.Prune(now, memberRetention)
	maps.DeleteFunc(g.members,
		func(_ string, member *memberState) bool { return now-member.lastHeartbeatAt > memberRetention })
	g.mu.Unlock()
	if len(expired) == 0 {
		return true
	}
	result, err := node.propose(lease.Entry{Op: lease.Expire, Refs: expired}, g.entryTimeout())
	if err != nil {
		return false
	}
	for _, ref := range result.Refs {
		g.log.Warn().Str("duty", ref.Name).Uint64("epoch", ref.Epoch).
			Msg("group: lease expired: its holder did not renew it in time; others may hold it now")
	}
	return true
}

// pendingMoves returns the wake-ups for the members that have to release or may take a duty, and the
// duties whose preferred member is absent. The caller must hold g.mu.
func (g *Group) pendingMoves(now time.Duration) (wakeUps []func(), absentPreferred []string) {
	for duty, assignee := range g.assignDuties(now) {
		member := g.members[assignee]
		if member == nil {
			continue
		}
		holder := ""
		if record := g.table.Leases[duty]; record != nil {
			if holder = record.Holder; record.Preferred != "" && record.Preferred != assignee {
				absentPreferred = append(absentPreferred, duty)
			}
		}
		if holder == assignee {
			continue
		}
		if holder != "" {
			member = g.members[holder]
		}
		if member != nil && member.allowWakeUp(now, g.leaseFraction(releaseWakeFraction)) {
			wakeUps = append(wakeUps, member.wakeUp)
		}
	}
	return wakeUps, absentPreferred
}

// wakeAssignees wakes the members that should hold a duty that is free.
func (g *Group) wakeAssignees() {
	now := g.clock()
	var wakeUps []func()
	g.mu.Lock()
	for duty, assignee := range g.assignDuties(now) {
		record, member := g.table.Leases[duty], g.members[assignee]
		if record != nil && record.Holder != "" {
			continue
		}
		if member != nil && member.allowWakeUp(now, g.leaseFraction(grantWakeFraction)) {
			wakeUps = append(wakeUps, member.wakeUp)
		}
	}
	g.mu.Unlock()
	callAll(wakeUps)
}

// allowWakeUp reports whether the member may be woken now, which it may at most once in minInterval.
// If so, it records the wake-up.
func (m *memberState) allowWakeUp(now, minInterval time.Duration) bool {
	if m.wakeUp == nil || now-m.wokenAt <= minInterval {
		return false
	}
	m.wokenAt = now
	return true
}

// callAll calls the functions in order.
func callAll(functions []func()) {
	for _, call := range functions {
		call()
	}
}

// ensureVoter makes a member that has a log a voter, unless it is one already.
func (g *Group) ensureVoter(node *raftNode, name string) {
	future := node.raft.GetConfiguration()
	if future.Error() != nil {
		return
	}
	for _, server := range future.Configuration().Servers {
		if string(server.ID) == name && server.Suffrage == raft.Voter {
			return
		}
	}
	err := node.raft.AddVoter(raft.ServerID(name), raft.ServerAddress(name), 0, g.entryTimeout()).Error()
	if err != nil {
		g.log.Warn().Err(err).Str("member", name).
			Msg("group: member is not a voter yet: the log entry could not be written")
		return
	}
	g.log.Info().Str("member", name).Msg("group: member is a voter now")
}
