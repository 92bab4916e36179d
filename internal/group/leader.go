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

// leaderState is what a member knows as the leader. Group.mu guards it.
type leaderState struct {
	leading     bool
	leaderSince time.Duration
	members     map[string]*memberState
	presence    *assignment.Presence
}

// memberState is what the leader knows of a member.
type memberState struct {
	incarnation uint64
	process     uint64
	readIndex   uint64
	term        uint64
	lastHeard   time.Duration

	offers map[string]bool
	weight float64
	acts   map[string]actReport
	quotas map[string]quotaDemand
	hints  []Hint

	connections int
	wakeUp      func() // sends the member a wake-up notification; nil: it cannot be sent one
	wokenAt     time.Duration
}

const (
	// forgetAfter is how long the leader knows a member that sends no heartbeats.
	forgetAfter = 10 * time.Minute

	// readMarkInterval is how many entries a member reads before the log records how far it is.
	readMarkInterval = 64

	// maxOffers bounds the duties that one member may offer.
	maxOffers = 256
)

// resetMembers forgets all members. The lock is held.
func (g *Group) resetMembers() {
	g.members = map[string]*memberState{}
	g.presence = assignment.NewPresence(g.leaseFraction(absentFraction), g.leaseFraction(settleFraction))
}

// nameInUse reports whether another process of a member's name is connected. The lock is held.
func (g *Group) nameInUse(name string, process uint64, now time.Duration) bool {
	member := g.members[name]
	return member != nil && member.process != process && member.connections > 0 &&
		now-member.lastHeard < g.leaseFraction(nameFraction)
}

// superviseLeadership runs while the log does: it watches who leads, and acts as the leader where
// that is this member. It returns when ctx ends, the log has failed or this member shall vote no
// more.
func (g *Group) superviseLeadership(ctx context.Context, node *raftNode) error {
	ticker := time.NewTicker(max(g.leaseFraction(checkFraction), time.Millisecond))
	defer ticker.Stop()
	unheard := g.otherVoters() // those that have not answered whether this is the last folder that this member had
	peeked := g.clock()
	for {
		select {
		case <-ctx.Done():
			return nil
		case err := <-node.failed:
			g.log.Error().Err(err).Msg("group: the disk has failed the log: this member votes no more for now")
			return fmt.Errorf("the log cannot be written: %w", err)
		case <-ticker.C:
		}
		if now := g.clock(); len(unheard) > 0 && now-peeked > g.leaseFraction(latePeekInterval) {
			peeked = now
			heard := g.peekVoters(ctx, g.leaseFraction(latePeekFraction))
			unheard = slices.DeleteFunc(unheard, func(name string) bool { _, ok := heard[name]; return ok })
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

// updateLeadership follows the log's election, and reports whether this member leads.
func (g *Group) updateLeadership(node *raftNode) bool {
	leading := g.leads()
	if !node.leads() {
		if leading {
			g.mu.Lock()
			g.leading = false
			g.mu.Unlock()
			g.log.Info().Msg("group: this member leads no more")
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
	g.log.Info().Msg("group: this member leads")
	g.requestHeartbeat()
	return true
}

// leads reports whether this member leads.
func (g *Group) leads() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.leading
}

// checkLeases expires the leases whose time is over, and wakes the members that have to release or
// may take a duty.
func (g *Group) checkLeases(node *raftNode) {
	now := g.clock()
	if !g.expireLeases(node, now) {
		return
	}
	g.mu.Lock()
	wake, absentPreferred := g.pendingMoves(now)
	g.mu.Unlock()
	callAll(wake)
	for _, duty := range absentPreferred {
		if _, err := node.propose(lease.Entry{Op: lease.Prefer, Name: duty}, g.entryTimeout()); err != nil {
			return
		}
	}
}

// expireLeases expires the leases whose time is over, and forgets the members that are long absent.
// It reports whether the log took the entry.
func (g *Group) expireLeases(node *raftNode, now time.Duration) bool {
	g.mu.Lock()
	expired, _ := g.watch.Expired(now)
	g.presence.Prune(now, forgetAfter)
	maps.DeleteFunc(g.members, func(_ string, member *memberState) bool { return now-member.lastHeard > forgetAfter })
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
			Msg("group: lease expired: its holder has not renewed it; others may hold it now")
	}
	return true
}

// pendingMoves lists the wake-ups of the members that have to release or may take a duty, and the
// duties whose preferred member is absent. The lock is held.
func (g *Group) pendingMoves(now time.Duration) (wake []func(), absentPreferred []string) {
	for duty, assignee := range g.assignDuties(now) {
		member := g.members[assignee]
		if member == nil {
			continue
		}
		holder := ""
		if held := g.table.Leases[duty]; held != nil {
			if holder = held.Holder; held.Preferred != "" && held.Preferred != assignee {
				absentPreferred = append(absentPreferred, duty)
			}
		}
		if holder == assignee {
			continue
		}
		if holder != "" {
			member = g.members[holder]
		}
		if member != nil && member.due(now, g.leaseFraction(moveWakeFraction)) {
			wake = append(wake, member.wakeUp)
		}
	}
	return wake, absentPreferred
}

// wakeAssignees wakes at once the members that should hold a duty that is free.
func (g *Group) wakeAssignees() {
	now := g.clock()
	var wake []func()
	g.mu.Lock()
	for duty, assignee := range g.assignDuties(now) {
		held, member := g.table.Leases[duty], g.members[assignee]
		if held != nil && held.Holder != "" {
			continue
		}
		if member != nil && member.due(now, g.leaseFraction(freeWakeFraction)) {
			wake = append(wake, member.wakeUp)
		}
	}
	g.mu.Unlock()
	callAll(wake)
}

// due reports whether the member may be woken again, at most once in a gap, and records that it is.
func (m *memberState) due(now, gap time.Duration) bool {
	if m.wakeUp == nil || now-m.wokenAt <= gap {
		return false
	}
	m.wokenAt = now
	return true
}

func callAll(functions []func()) {
	for _, call := range functions {
		call()
	}
}

// ensureVoter makes a member that has a log a voter.
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
		g.log.Warn().Err(err).Str("member", name).Msg("group: member is not a voter yet: the log has not taken it")
		return
	}
	g.log.Info().Str("member", name).Msg("group: member is a voter now")
}
