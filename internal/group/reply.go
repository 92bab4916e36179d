package group

import (
	"time"

	"brackendale/internal/lease"
)

// handleReply processes the leader's reply to a heartbeat. sentAt is a time before the heartbeat was
// built. The caller must not hold g.mu.
func (g *Group) handleReply(sentAt time.Duration, request heartbeat, reply heartbeatReply) {
	g.mu.Lock()
	notify := g.recordReply(sentAt, request, reply)
	g.mu.Unlock()
	callAll(notify)
	g.storeQuotaMembers()
}

// recordReply records a reply, and returns the functions that have to be called because of it. The
// caller must hold g.mu, and must release it before it calls them.
func (g *Group) recordReply(sentAt time.Duration, request heartbeat, reply heartbeatReply) (notify []func()) {
	g.confirmReleased(request.Released)
	now := g.clock()
	g.expireHeld(now)
	g.quotaMembers = max(reply.QuotaMembers, 1)
	if onHints := g.opt.OnHints; onHints != nil {
		until := sentAt + g.opt.Terms.HolderTerm()
		notify = append(notify, func() { onHints(reply.Hints, reply.ClaimHolders, until) })
	}
	renewed := map[string]bool{}
	for _, ref := range reply.Granted {
		renewed[ref.Name] = true
		if limit, ok := lease.QuotaLimit(ref.Name); ok {
			notify = append(notify, g.applyQuota(limit, ref, sentAt, reply))
			continue
		}
		g.recordGrant(ref, sentAt, now)
	}
	g.dropUnrenewed(renewed)
	g.handOverDuties(reply.HandOver, now)
	g.recordView(reply, now)
	g.finishCommand(request.Command, reply.CommandError)
	if g.leaving {
		g.releaseAll("leaving")
	}
	return append(notify, g.withdrawClaims(now)...)
}

// confirmReleased drops the releases that the leader has received. The caller must hold g.mu.
func (g *Group) confirmReleased(refs []lease.Ref) {
	for _, ref := range refs {
		if pending, ok := g.released[ref.Name]; ok && pending.Epoch == ref.Epoch {
			delete(g.released, ref.Name)
			delete(g.successors, ref.Name)
		}
	}
}

// recordGrant records a duty that was granted or renewed. A duty that this member no longer wants is
// released at once, unless it is being executed: then the lease must outlast the execution. The caller
// must hold g.mu.
func (g *Group) recordGrant(ref lease.Ref, sentAt, now time.Duration) {
	runner := g.runners[ref.Name]
	if runner == nil || g.leaving && !runner.executing && !g.holdsClaim(ref.Name, now) {
		g.released[ref.Name] = lease.Ref{Name: ref.Name, Epoch: ref.Epoch}
		return
	}
	if g.released[ref.Name].Epoch == ref.Epoch { // the lease was released after the heartbeat had been sent
		return
	}
	held, ok := g.holder.Get(ref.Name, now)
	g.holder.RecordGrant(ref.Name, ref.Epoch, sentAt)
	if !ok || held.Epoch != ref.Epoch {
		runner.acquired(now)
		delete(g.successors, ref.Name)
		g.counters.acquired++
		g.log.Info().Str("duty", ref.Name).Uint64("epoch", ref.Epoch).
			Msg("group: duty acquired: the leader has granted it")
	}
	runner.wakeUp()
}

// dropUnrenewed gives up the duties that the leader did not renew. The caller must hold g.mu.
func (g *Group) dropUnrenewed(renewed map[string]bool) {
	for _, ref := range g.holder.Refs() {
		if !renewed[ref.Name] && g.runners[ref.Name] != nil {
			g.holder.Drop(ref.Name, ref.Epoch)
			g.counters.lost++
			g.log.Warn().Str("duty", ref.Name).Uint64("epoch", ref.Epoch).
				Msg("group: duty lost: the leader did not renew its lease")
		}
	}
}

// handOverDuties releases the duties that other members should hold. A duty that is being executed is
// released after the execution, and a claimed one when it is claimed no more. The caller must hold g.mu.
func (g *Group) handOverDuties(recipients map[string]string, now time.Duration) {
	for name, recipient := range recipients {
		held, ok := g.holder.Get(name, now)
		if !ok {
			continue
		}
		g.successors[name] = recipient
		if runner := g.runners[name]; runner != nil && !runner.executing && !g.holdsClaim(name, now) {
			g.release(lease.Ref{Name: name, Epoch: held.Epoch}, "it goes to "+recipient)
			g.requestHeartbeat()
		}
	}
}

// recordView records the leader, and the view if the reply has one. The caller must hold g.mu.
func (g *Group) recordView(reply heartbeatReply, now time.Duration) {
	if reply.View == nil {
		g.lastView.Leader, g.lastView.leaderRepliedAt = reply.Leader, now
		return
	}
	requestedAt := g.lastView.requestedAt
	g.lastView = *reply.View
	g.lastView.receivedAt, g.lastView.leaderRepliedAt, g.lastView.requestedAt = now, now, requestedAt
}

// finishCommand passes the result of a command to the call that waits for it. The caller must hold
// g.mu.
func (g *Group) finishCommand(sent *command, reason string) {
	if sent == nil || g.pendingCommand != sent {
		return
	}
	g.pendingCommand = nil
	if reason != "" {
		sent.done <- &commandError{reason: reason}
		return
	}
	sent.done <- nil
}

// handleFailure records that a heartbeat got no reply. Leases are not dropped for that: they end when
// they expire.
func (g *Group) handleFailure(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expireHeld(g.clock())
	g.lastView.lastError = err.Error()
	if g.leaving { // releases that could not be sent are given up: the leases expire
		clear(g.released)
	}
}

// expireHeld gives up the leases that have expired. The caller must hold g.mu.
func (g *Group) expireHeld(now time.Duration) {
	for _, ref := range g.holder.Expire(now) {
		g.counters.lost++
		g.log.Warn().Str("duty", ref.Name).Uint64("epoch", ref.Epoch).
			Msg("group: duty lost: its lease expired before the leader replied")
	}
}
