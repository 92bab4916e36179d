package group

import (
	"time"

	"brackendale/internal/lease"
)

// handleReply takes over the leader's reply to a heartbeat that was built after the time requested.
// It must be called without the lock.
func (g *Group) handleReply(requested time.Duration, request heartbeat, reply heartbeatReply) {
	g.mu.Lock()
	notify := g.recordReply(requested, request, reply)
	g.mu.Unlock()
	callAll(notify)
	g.storeQuotaMembers()
}

// recordReply takes over a reply, and returns the calls that must be made without the lock. The
// lock is held.
func (g *Group) recordReply(requested time.Duration, request heartbeat, reply heartbeatReply) (notify []func()) {
	g.confirmReleased(request.Released)
	now := g.clock()
	g.expireHeld(now)
	g.quotaMembers = max(reply.QuotaMembers, 1)
	if onHints := g.opt.OnHints; onHints != nil {
		until := requested + g.opt.Terms.HolderTerm()
		notify = append(notify, func() { onHints(reply.Hints, reply.ClaimHolders, until) })
	}
	renewed := map[string]bool{}
	for _, ref := range reply.Granted {
		renewed[ref.Name] = true
		if limit, ok := lease.QuotaLimit(ref.Name); ok {
			notify = append(notify, g.applyQuota(limit, ref, requested, reply))
			continue
		}
		g.recordGrant(ref, requested, now)
	}
	g.dropUnrenewed(renewed)
	g.handOverDuties(reply.HandOver, now)
	g.recordView(reply, now)
	g.finishCommand(request.Command, reply.CommandError)
	if g.leaving {
		g.releaseAll("leaving")
	}
	return notify
}

// confirmReleased forgets the releases that the leader has heard of. The lock is held.
func (g *Group) confirmReleased(refs []lease.Ref) {
	for _, ref := range refs {
		if pending, ok := g.released[ref.Name]; ok && pending.Epoch == ref.Epoch {
			delete(g.released, ref.Name)
			delete(g.successors, ref.Name)
		}
	}
}

// recordGrant records a duty that was granted or renewed. The lock is held.
func (g *Group) recordGrant(ref lease.Ref, requested, now time.Duration) {
	runner := g.runners[ref.Name]
	if runner == nil || g.leaving {
		g.released[ref.Name] = lease.Ref{Name: ref.Name, Epoch: ref.Epoch}
		return
	}
	if g.released[ref.Name].Epoch == ref.Epoch { // the reply has crossed a release
		return
	}
	held, ok := g.holder.Get(ref.Name, now)
	g.holder.RecordGrant(ref.Name, ref.Epoch, requested)
	if !ok || held.Epoch != ref.Epoch {
		runner.taken(now)
		delete(g.successors, ref.Name)
		g.counters.taken++
		g.log.Info().Str("duty", ref.Name).Uint64("epoch", ref.Epoch).
			Msg("group: duty taken: the leader has granted it")
	}
	runner.wakeUp()
}

// dropUnrenewed gives up the duties that the leader has not renewed. The lock is held.
func (g *Group) dropUnrenewed(renewed map[string]bool) {
	for _, ref := range g.holder.Refs() {
		if !renewed[ref.Name] && g.runners[ref.Name] != nil {
			g.holder.Drop(ref.Name, ref.Epoch)
			g.counters.lost++
			g.log.Warn().Str("duty", ref.Name).Uint64("epoch", ref.Epoch).
				Msg("group: duty lost: the leader renews it no more")
		}
	}
}

// handOverDuties releases the duties that other members should hold, those with an act in progress
// after it. The lock is held.
func (g *Group) handOverDuties(recipients map[string]string, now time.Duration) {
	for name, recipient := range recipients {
		held, ok := g.holder.Get(name, now)
		if !ok {
			continue
		}
		g.successors[name] = recipient
		if runner := g.runners[name]; runner != nil && !runner.acting {
			g.release(lease.Ref{Name: name, Epoch: held.Epoch}, "it goes to "+recipient)
			g.requestHeartbeat()
		}
	}
}

// recordView takes over who leads, and the view if the reply has one. The lock is held.
func (g *Group) recordView(reply heartbeatReply, now time.Duration) {
	if reply.View == nil {
		g.lastView.Leader, g.lastView.leaderHeardAt = reply.Leader, now
		return
	}
	wantedAt := g.lastView.wantedAt
	g.lastView = *reply.View
	g.lastView.receivedAt, g.lastView.leaderHeardAt, g.lastView.wantedAt = now, now, wantedAt
}

// finishCommand hands the outcome of a command to whoever waits for it. The lock is held.
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

// handleFailure records that a heartbeat had no reply: what is held ends by time alone.
func (g *Group) handleFailure(err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.expireHeld(g.clock())
	g.lastView.lastError = err.Error()
	if g.leaving { // a release that could not be sent: its lease ends by time
		clear(g.released)
	}
}

// expireHeld gives up the leases that have ended by time. The lock is held.
func (g *Group) expireHeld(now time.Duration) {
	for _, ref := range g.holder.Expire(now) {
		g.counters.lost++
		g.log.Warn().Str("duty", ref.Name).Uint64("epoch", ref.Epoch).
			Msg("group: duty lost: its lease ended before the leader replied")
	}
}
