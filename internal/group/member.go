package group

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"brackendale/internal/lease"
)

// heartbeatSender sends this member's heartbeats. Only the goroutine of runHeartbeats uses it.
type heartbeatSender struct {
	group    *Group
	link     *heartbeatLink // to the target of the last heartbeat; nil if there is none, or it is this member
	sequence uint64
	leader   string // the leader, by the last reply; empty if unknown
	attempt  int    // the number of failed heartbeats that did not lead to another leader: selects the next target
}

// runHeartbeats sends heartbeats to the leader until ctx ends. If the leader does not reply, it tries
// other members.
func (g *Group) runHeartbeats(ctx context.Context) {
	sender := &heartbeatSender{group: g}
	defer func() { sender.link.close() }()
	next := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(next)):
		case <-g.heartbeatNow:
		}
		next = time.Now().Add(g.leaseFraction(heartbeatIntervalFraction))
		target := g.heartbeatTarget(sender.leader, sender.attempt)
		if target == "" {
			continue
		}
		sender.sequence++
		sentAt := g.clock()
		request := g.buildHeartbeat(sender.sequence)
		reply, err := sender.send(ctx, target, request)
		if err == nil {
			sender.leader = target
			g.handleReply(sentAt, request, reply)
			continue
		}
		g.handleFailure(err)
		sender.followRedirect(target, reply)
		next = time.Now().Add(g.leaseFraction(retryDelayFraction)) // usually with another target
	}
}

// send sends one heartbeat to a member. One to this member itself needs no connection.
func (s *heartbeatSender) send(ctx context.Context, target string, request heartbeat) (heartbeatReply, error) {
	if target == s.group.opt.Name {
		s.link.close()
		s.link = nil
		return s.group.handleOwnHeartbeat(request)
	}
	if s.link == nil || s.link.target != target {
		s.link.close()
		s.link = nil
		link, err := s.group.dialLeader(target)
		if err != nil {
			return heartbeatReply{}, err
		}
		s.link = link
	}
	leader, attempt := s.leader, s.attempt
	reply, err := s.link.exchange(request, s.group.leaseFraction(replyTimeoutFraction), func() bool {
		return ctx.Err() != nil || s.group.heartbeatTarget(leader, attempt) != target
	})
	if err != nil {
		s.link.close()
		s.link = nil
		return reply, err
	}
	if reply.Error != "" {
		return reply, &remoteError{member: target, reason: reply.Error}
	}
	return reply, nil
}

// handleOwnHeartbeat handles a heartbeat of this member while it leads.
func (g *Group) handleOwnHeartbeat(request heartbeat) (heartbeatReply, error) {
	self := helloMessage{From: g.opt.Name, Incarnation: g.currentIncarnation(), Process: g.process}
	reply := g.handleHeartbeat(self, request, func(member *memberState) {
		member.wakeUp, member.connections = g.requestHeartbeat, 1
	})
	if reply.Error != "" {
		return reply, errors.New(reply.Error)
	}
	return reply, nil
}

// followRedirect records the leader that is named in a reply of a member that does not lead.
func (s *heartbeatSender) followRedirect(target string, reply heartbeatReply) {
	if reply.Leader == "" || reply.Leader == target {
		s.leader = ""
		s.attempt++
		return
	}
	s.leader = reply.Leader
	g := s.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if reply.LeaderAddress != "" && g.opt.Voters[reply.Leader] == "" {
		g.lastView.Addresses = setEntry(g.lastView.Addresses, reply.Leader, reply.LeaderAddress)
	}
}

// heartbeatTarget returns the member to send the next heartbeat to: the leader by this member's log,
// else the leader that another member reported, else each known member in turn. It returns "" if
// there is none.
func (g *Group) heartbeatTarget(reported string, attempt int) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.leading {
		return g.opt.Name
	}
	if g.node != nil {
		if _, id := g.node.raft.LeaderWithID(); id != "" && string(id) != g.opt.Name {
			return string(id)
		}
		if g.node.leads() {
			return "" // this member has been elected, and will lead soon
		}
	}
	if reported != "" && reported != g.opt.Name {
		return reported
	}
	candidates := g.otherVoters()
	for name := range g.lastView.Addresses {
		if name != g.opt.Name && !slices.Contains(candidates, name) {
			candidates = append(candidates, name)
		}
	}
	slices.Sort(candidates)
	if len(candidates) == 0 {
		return ""
	}
	return candidates[attempt%len(candidates)]
}

// buildHeartbeat returns a heartbeat with the current state of this member.
func (g *Group) buildHeartbeat(sequence uint64) heartbeat {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	request := heartbeat{
		Sequence:   sequence,
		Address:    g.opt.Listen,
		Weight:     g.opt.Weight,
		Ready:      g.opt.Ready(),
		Executions: map[string]executionReport{},
		Quotas:     g.quotaDemands(),
		Hints:      g.hints.current(g.clock()),
		Command:    g.pendingCommand,
		WantView: g.pendingCommand != nil || now-g.lastView.receivedAt > g.leaseFraction(maxViewAgeFraction) ||
			now-g.lastView.requestedAt < g.leaseFraction(viewInterestFraction),
	}
	if !g.leaving {
		request.Offers = slices.Sorted(maps.Keys(g.runners))
	}
	for name, ref := range g.released {
		request.Released = append(request.Released, ref)
		if successor := g.successors[name]; successor != "" {
			request.Successors = setEntry(request.Successors, name, successor)
		}
	}
	for name, runner := range g.runners {
		if runner.claimed {
			request.Claims = append(request.Claims, name)
		}
		if runner.executions > 0 || runner.lastError != "" {
			request.Executions[name] = executionReport{Number: runner.executions, Error: runner.lastError}
		}
	}
	if g.node != nil {
		request.Voter = !g.resigning
		request.ReadIndex, request.Term = g.node.raft.CommitIndex(), g.node.raft.CurrentTerm()
	}
	return request
}

// requestHeartbeat makes this member send a heartbeat now. It does not block, and any goroutine may
// call it.
func (g *Group) requestHeartbeat() {
	select {
	case g.heartbeatNow <- struct{}{}:
	default:
	}
}

// holdsClaim reports whether this member holds a claimed lease that it releases only when it claims it no
// more. The caller must hold g.mu.
func (g *Group) holdsClaim(name string, now time.Duration) bool {
	runner := g.runners[name]
	_, held := g.holder.Get(name, now)
	return held && g.opt.OnWithdraw != nil && runner != nil && runner.claimed
}

// withdrawClaims returns the call of Options.OnWithdraw for the claimed leases that this member holds and
// has to give up, if there are any. The caller must hold g.mu, and must release it before the call.
func (g *Group) withdrawClaims(now time.Duration) (notify []func()) {
	var names []string
	for name := range g.runners {
		if g.holdsClaim(name, now) && (g.leaving || g.successors[name] != "") {
			names = append(names, name)
		}
	}
	if len(names) == 0 {
		return nil
	}
	return []func(){func() { g.opt.OnWithdraw(names) }}
}

// Claim sets the leases that this member requests in addition to the duties of its settings. Nothing
// is executed under them; the member may hold them as long as it claims them. With Options.OnWithdraw it
// is asked to claim them no more, once all that it does under them has ended.
func (g *Group) Claim(names []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for name, runner := range g.runners {
		if runner.claimed && !slices.Contains(names, name) {
			delete(g.runners, name)
			if held, ok := g.holder.Get(name, g.clock()); ok {
				g.release(lease.Ref{Name: name, Epoch: held.Epoch}, "claimed no more")
			}
		}
	}
	for _, name := range names[:min(len(names), maxOffers/2)] {
		if g.runners[name] == nil {
			g.runners[name] = &runner{Duty: Duty{Name: name}, wake: make(chan struct{}, 1), claimed: true}
		}
	}
}
