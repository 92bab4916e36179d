package group

import (
	"fmt"
	"slices"
	"time"

	"brackendale/internal/lease"
)

// heartbeatHandler handles one heartbeat on the leader, in the steps of handleHeartbeat.
type heartbeatHandler struct {
	group   *Group
	node    *raftNode
	sender  helloMessage
	request heartbeat
	reply   heartbeatReply

	unrecorded bool // the table does not have the sender's current incarnation, address or read mark
}

// handleHeartbeat handles one heartbeat and returns the reply. attach is called with the sender's
// record while g.mu is held.
func (g *Group) handleHeartbeat(
	sender helloMessage, request heartbeat, attach func(*memberState),
) heartbeatReply {
	handler := &heartbeatHandler{group: g, sender: sender, request: request}
	if !handler.recordSender(attach) {
		return handler.reply
	}
	for _, step := range []func() error{
		handler.recordIncarnation,
		handler.releaseLeases,
		handler.executeCommand,
		handler.renewLeases,
		handler.grantFreeDuties,
	} {
		if err := step(); err != nil {
			return heartbeatReply{Error: "the log does not take entries: " + err.Error()}
		}
	}
	handler.describeGroup()
	if request.Voter {
		g.ensureVoter(handler.node, sender.From)
	}
	g.wakeAssignees()
	return handler.reply
}

// recordSender checks the sender and records what it reports. If it returns false, the reply has the
// reason.
func (h *heartbeatHandler) recordSender(attach func(*memberState)) bool {
	g := h.group
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if h.node = g.node; !g.leading || h.node == nil {
		h.reply.Leader, h.reply.LeaderAddress = g.currentLeader()
		if h.reply.Leader == g.opt.Name {
			h.reply.Leader = "" // this member does not lead yet, or no longer leads
		}
		h.reply.Error = "does not lead"
		return false
	}
	if h.reply.Error = h.refusal(now); h.reply.Error != "" {
		return false
	}
	member := g.members[h.sender.From]
	if member == nil || member.process != h.sender.Process {
		if len(g.members) >= lease.MaxMembers {
			h.reply.Error = "there is no room for another member"
			return false
		}
		member = &memberState{incarnation: h.sender.Incarnation, process: h.sender.Process}
		g.members[h.sender.From] = member
	}
	attach(member)
	member.update(&h.request, now)
	g.peers[h.sender.From] = peerProcess{incarnation: h.sender.Incarnation, process: h.sender.Process, lastSeen: now}
	if g.presence.RecordHeartbeat(h.sender.From, now) {
		g.log.Info().Str("member", h.sender.From).Uint64("incarnation", h.sender.Incarnation).
			Msg("group: member is present: it sends heartbeats")
	}
	h.unrecorded = h.needsRecording(g.table)
	return true
}

// refusal returns the reason for which the heartbeat is refused, or "" if it is accepted. The caller
// must hold the group's lock.
func (h *heartbeatHandler) refusal(now time.Duration) string {
	known := h.group.knownIncarnation(h.sender.From)
	switch {
	case h.sender.Incarnation < known:
		return fmt.Sprintf(refusalIncarnationEnded, h.sender.Incarnation, h.sender.From, known)
	case h.group.nameInUse(h.sender.From, h.sender.Process, now):
		return fmt.Sprintf(refusalNameInUse, h.sender.From)
	}
	return ""
}

// update records what a member reports. The caller must hold the group's lock.
func (m *memberState) update(request *heartbeat, now time.Duration) {
	m.lastHeartbeatAt = now
	m.weight = request.Weight
	m.executions = request.Executions
	m.quotas = request.Quotas
	m.hints = request.Hints[:min(len(request.Hints), maxHints)]
	m.readIndex, m.term = max(m.readIndex, request.ReadIndex), max(m.term, request.Term)
	m.offers = map[string]bool{}
	for _, duty := range request.Offers[:min(len(request.Offers), maxOffers)] {
		if duty != "" && len(duty) <= lease.MaxNameLen {
			m.offers[duty] = true
		}
	}
}

// needsRecording reports whether the table does not have the sender's current incarnation or address,
// or has a read mark that is too far behind.
func (h *heartbeatHandler) needsRecording(table *lease.Table) bool {
	name := h.sender.From
	return table.Incarnations[name] < h.sender.Incarnation ||
		h.request.Address != "" && table.Addresses[name] != h.request.Address ||
		h.request.ReadIndex >= table.ReadMarks[name].Entry+readMarkInterval
}

// propose writes an entry for the sender and waits until it is applied.
func (h *heartbeatHandler) propose(entry lease.Entry) (lease.Result, error) {
	entry.Member, entry.Incarnation = h.sender.From, h.sender.Incarnation
	return h.node.propose(entry, h.group.entryTimeout())
}

// recordIncarnation writes the sender's incarnation, address and read mark to the table if needed.
func (h *heartbeatHandler) recordIncarnation() error {
	if !h.unrecorded {
		return nil
	}
	_, err := h.propose(lease.Entry{
		Op: lease.RecordIncarnation, Recipient: h.request.Address, Base: h.request.ReadIndex,
	})
	return err
}

// releaseLeases releases the leases that the sender returns, with one log entry each.
func (h *heartbeatHandler) releaseLeases() error {
	for _, ref := range h.request.Released {
		successor := h.group.resolveSuccessor(h.request.Successors[ref.Name], ref.Name, h.sender.From)
		result, err := h.propose(lease.Entry{Op: lease.Release, Refs: []lease.Ref{ref}, Recipient: successor})
		if err != nil {
			return err
		}
		if len(result.Refs) > 0 {
			h.group.log.Info().Str("duty", ref.Name).Uint64("epoch", ref.Epoch).Str("holder", h.sender.From).
				Msg("group: lease released by its holder")
		}
	}
	return nil
}

// executeCommand executes the command that came with the heartbeat, if any.
func (h *heartbeatHandler) executeCommand() error {
	if h.request.Command != nil {
		h.reply.Admission, h.reply.CommandError = h.group.execute(h.node, h.sender, *h.request.Command)
	}
	return nil
}

// renewLeases releases the restart slots of the sender's earlier incarnations, assigns its quotas, and
// renews its other leases with one log entry.
func (h *heartbeatHandler) renewLeases() error {
	g := h.group
	g.mu.Lock()
	held := h.renewable()
	restarted := g.finishedRestartSlots(h.sender, h.request.Ready)
	g.mu.Unlock()
	if len(restarted) > 0 {
		if _, err := h.propose(lease.Entry{Op: lease.Release, Refs: restarted}); err != nil {
			return err
		}
	}
	if err := h.assignQuotas(); err != nil {
		return err
	}
	if len(held) == 0 {
		return nil
	}
	result, err := h.propose(lease.Entry{Op: lease.Renew, Refs: held})
	if err != nil {
		return err
	}
	h.reply.Granted = append(h.reply.Granted, result.Refs...)
	return nil
}

// renewable returns the leases of the sender that its heartbeat renews. These exclude its quotas,
// which are renewed when they are assigned, restart slots, and the leases that it has just released.
// The caller must hold the group's lock.
func (h *heartbeatHandler) renewable() []lease.Ref {
	held := h.group.table.HeldBy(h.sender.From, h.sender.Incarnation)
	return slices.DeleteFunc(held, func(ref lease.Ref) bool {
		_, quota := lease.QuotaLimit(ref.Name)
		return quota || h.group.table.Leases[ref.Name].HoldUs > 0 ||
			slices.ContainsFunc(h.request.Released, func(released lease.Ref) bool {
				return released.Name == ref.Name && released.Epoch == ref.Epoch
			})
	})
}

// grantFreeDuties grants the free duties that the sender should hold, and lists in the reply the
// duties that it has to hand over.
func (h *heartbeatHandler) grantFreeDuties() error {
	g := h.group
	g.mu.Lock()
	h.reply.Hints = g.hintsOfOthers(h.sender.From, g.clock())
	free, handOver := h.plannedMoves(g.assignDuties(g.clock()))
	g.mu.Unlock()
	h.reply.HandOver = handOver
	for _, duty := range free {
		result, err := h.propose(lease.Entry{Op: lease.Grant, Name: duty})
		if err != nil {
			return err
		}
		if len(result.Refs) > 0 {
			h.reply.Granted = append(h.reply.Granted, result.Refs...)
			g.log.Info().Str("duty", duty).Uint64("epoch", result.Refs[0].Epoch).Str("holder", h.sender.From).
				Msg("group: lease granted: the duty was free")
		}
	}
	return nil
}

// plannedMoves returns the free duties that the sender should hold, sorted, and the duties that it
// holds and has to hand over, with their recipients. The caller must hold the group's lock.
func (h *heartbeatHandler) plannedMoves(plan map[string]string) (free []string, handOver map[string]string) {
	for duty, assignee := range plan {
		record := h.group.table.Leases[duty]
		if assignee == h.sender.From {
			if record == nil || record.Holder == "" {
				free = append(free, duty)
			}
			continue
		}
		if record != nil && record.Holder == h.sender.From && record.Incarnation == h.sender.Incarnation {
			handOver = setEntry(handOver, duty, assignee)
		}
	}
	slices.Sort(free)
	return free, handOver
}

// describeGroup adds to the reply the holders of what the sender claims, the leader, and a view of
// the group if the sender requested one.
func (h *heartbeatHandler) describeGroup() {
	g := h.group
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, name := range h.request.Claims[:min(len(h.request.Claims), maxOffers)] {
		if record := g.table.Leases[name]; record != nil && record.Holder != "" {
			h.reply.ClaimHolders = setEntry(h.reply.ClaimHolders, name, record.Holder)
		}
	}
	h.reply.Leader, h.reply.LeaderAddress = g.currentLeader()
	if h.request.WantView {
		current := g.buildView(g.clock())
		h.reply.View = &current
	}
}

// setEntry sets an entry of a map, and creates the map for its first entry: a nil map is left out of
// the JSON.
func setEntry[V any](entries map[string]V, key string, value V) map[string]V {
	if entries == nil {
		entries = map[string]V{}
	}
	entries[key] = value
	return entries
}
