package group

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"brackendale/internal/lease"

	"github.com/hashicorp/raft"
)

// execute executes a command on the leader. A non-empty reason tells why it was not executed. An
// opAdmit returns an admission.
func (g *Group) execute(node *raftNode, sender helloMessage, cmd command) (admitted *admission, reason string) {
	var err error
	switch cmd.Op {
	case opHandOver:
		reason, err = g.executeHandOver(node, cmd)
	case opRevoke:
		reason, err = g.executeRevoke(node, cmd.Name)
	case opRestart:
		reason = g.grantRestart(node, sender, cmd)
	case opLeave:
		err = g.removeVoter(node, sender.From)
	case opAdmit:
		admitted, err = g.admit(node, sender)
	default:
		reason = fmt.Sprintf("%.20q is no order that this version knows", cmd.Op)
	}
	if err != nil {
		return nil, err.Error()
	}
	return admitted, reason
}

// executeHandOver records the recipient as the preferred holder of a duty, so that the assignment
// moves the duty to it.
func (g *Group) executeHandOver(node *raftNode, cmd command) (reason string, err error) {
	g.mu.Lock()
	present, _ := g.presence.Present(cmd.Recipient, g.clock())
	member := g.members[cmd.Recipient]
	offered := member != nil && member.offers[cmd.Name]
	g.mu.Unlock()
	if !present {
		return fmt.Sprintf("no member %q is here", cmd.Recipient), nil
	}
	if !offered {
		return fmt.Sprintf("the file of %s has no duty %q", cmd.Recipient, cmd.Name), nil
	}
	entry := lease.Entry{Op: lease.Prefer, Name: cmd.Name, Recipient: cmd.Recipient}
	result, err := node.propose(entry, g.entryTimeout())
	if err == nil && result.Reason != "" {
		return result.Reason, nil
	}
	g.checkLeases(node)
	return "", err
}

// executeRevoke marks the lease on a duty as revoked: it is not renewed any more.
func (g *Group) executeRevoke(node *raftNode, duty string) (reason string, err error) {
	g.mu.Lock()
	record := g.table.Leases[duty]
	var ref lease.Ref
	if record != nil && record.Holder != "" {
		ref = lease.Ref{Name: duty, Epoch: record.Epoch}
	}
	g.mu.Unlock()
	if ref.Name == "" {
		return fmt.Sprintf("nobody holds %q", duty), nil
	}
	_, err = node.propose(lease.Entry{Op: lease.Revoke, Refs: []lease.Ref{ref}}, g.entryTimeout())
	return "", err
}

// removeVoter removes a member from the voters of the log.
func (g *Group) removeVoter(node *raftNode, name string) error {
	return node.raft.RemoveServer(raft.ServerID(name), 0, g.entryTimeout()).Error()
}

// admit lets a member whose log is lost or outdated rejoin: it removes the member from the voters,
// records that it starts again with an empty log, and drops how far it had read the log before.
func (g *Group) admit(node *raftNode, sender helloMessage) (*admission, error) {
	if err := g.removeVoter(node, sender.From); err != nil {
		return nil, err
	}
	entry := lease.Entry{Op: lease.AdmitEmptyLog, Member: sender.From, Incarnation: sender.Incarnation}
	if _, err := node.propose(entry, g.entryTimeout()); err != nil {
		return nil, err
	}
	g.mu.Lock()
	if member := g.members[sender.From]; member != nil {
		member.readIndex, member.term = 0, 0
	}
	g.mu.Unlock()
	g.log.Warn().Str("member", sender.From).Uint64("incarnation", sender.Incarnation).
		Msg("group: member readmitted with an empty log: its own log was lost or outdated")
	return &admission{Term: node.raft.CurrentTerm(), Leader: g.opt.Name}, nil
}

// anyNextMember, as the name of a successor, stands for the member that follows the holder by name,
// cyclically, among the members that offer the duty.
const anyNextMember = "+"

// resolveSuccessor returns the member that a successor's name stands for: the name itself, or for
// anyNextMember the next member that offers the duty.
func (g *Group) resolveSuccessor(successor, duty, holder string) string {
	if successor != anyNextMember {
		return successor
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	first, next := "", ""
	for _, name := range g.presence.PresentMembers(g.clock()) {
		if member := g.members[name]; member == nil || !member.offers[duty] {
			continue
		}
		if first = cmp.Or(first, name); name > holder {
			next = cmp.Or(next, name)
		}
	}
	return cmp.Or(next, first)
}

// restartSlotSeparator separates the name of a rollout from the number of a restart slot.
const restartSlotSeparator = "#"

// restartSlotName returns the name of the lease on one of the restart slots of a rollout.
func restartSlotName(rollout string, number int) string {
	return fmt.Sprintf("%s%s%d", rollout, restartSlotSeparator, number)
}

// grantRestart grants the sender one of the restart slots of a rollout. A non-empty reason tells why
// none was granted.
func (g *Group) grantRestart(node *raftNode, sender helloMessage, cmd command) (reason string) {
	g.mu.Lock()
	holdsSlot, otherHolders := g.restartSlotHolders(sender, cmd.Name)
	recovering := g.recoveringDestinations()
	g.mu.Unlock()
	switch {
	case holdsSlot: // the request is a repeat
		return ""
	case cmd.MaxConcurrent < 1 || cmd.MaxDowntimeUs < 1:
		return "the file of the asker has no duty of the kind roll"
	case len(recovering) > 0:
		return strings.Join(recovering, "; ")
	case len(otherHolders) >= cmd.MaxConcurrent:
		return strings.Join(otherHolders, "; ")
	}
	for number := 1; number <= cmd.MaxConcurrent; number++ {
		result, err := node.propose(lease.Entry{
			Op: lease.Grant, Name: restartSlotName(cmd.Name, number), Member: sender.From,
			Incarnation: sender.Incarnation, HoldUs: cmd.MaxDowntimeUs,
		}, g.entryTimeout())
		if err != nil {
			return err.Error()
		}
		if len(result.Refs) > 0 {
			g.log.Info().Str("slot", result.Refs[0].Name).Uint64("epoch", result.Refs[0].Epoch).
				Str("holder", sender.From).Msg("group: restart slot granted: the member may restart now")
			return ""
		}
	}
	return "others were faster: ask again"
}

// restartSlotHolders reports whether the sender holds a restart slot of a rollout, and describes the
// other members that hold one. The caller must hold g.mu.
func (g *Group) restartSlotHolders(sender helloMessage, rollout string) (holdsSlot bool, others []string) {
	for name, record := range g.table.Leases {
		if !strings.HasPrefix(name, rollout+restartSlotSeparator) || record.Holder == "" {
			continue
		}
		if record.Holder == sender.From {
			holdsSlot = holdsSlot || record.Incarnation == sender.Incarnation
			continue
		}
		remaining := g.watch.Remaining(name, g.clock()).Round(time.Second)
		others = append(others, fmt.Sprintf("%s is out, for %v at most", record.Holder, remaining))
	}
	slices.Sort(others)
	return holdsSlot, others
}

// recoveringDestinations describes the destinations that members have reported as recovering. The
// caller must hold g.mu.
func (g *Group) recoveringDestinations() (list []string) {
	for name, member := range g.members {
		for _, hint := range member.hints {
			if hint.Recovering && g.clock()-member.lastHeartbeatAt < g.leaseFraction(recoveringHintFraction) {
				list = append(list, fmt.Sprintf("destination %d is coming back, says %s", hint.Destination, name))
			}
		}
	}
	slices.Sort(list)
	return list
}

// finishedRestartSlots lists the restart slots that an earlier incarnation of the sender holds, once
// the sender is ready again. The caller must hold g.mu.
func (g *Group) finishedRestartSlots(sender helloMessage, ready bool) (refs []lease.Ref) {
	for name, record := range g.table.Leases {
		if ready && record.HoldUs > 0 && record.Holder == sender.From && record.Incarnation < sender.Incarnation {
			refs = append(refs, lease.Ref{Name: name, Epoch: record.Epoch})
		}
	}
	return refs
}
