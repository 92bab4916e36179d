package group

import (
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"brackendale/internal/assignment"
	"brackendale/internal/lease"
)

// quotaHysteresis is the part of a limit by which a quota has to change for it to be moved.
const quotaHysteresis = 0.02

// quotaDemands is what this member demands of its limits. The lock is held.
func (g *Group) quotaDemands() map[string]quotaDemand {
	if len(g.opt.Limits) == 0 {
		return nil
	}
	demands := map[string]quotaDemand{}
	for _, limit := range g.opt.Limits {
		held, _ := g.holder.Get(lease.QuotaName(limit.Name, g.opt.Name), g.clock())
		demands[limit.Name] = quotaDemand{Demand: limit.Demand(), Using: held.Amount, Limit: limit.Rate}
	}
	return demands
}

// assignQuotas moves the sender's quotas towards what they should be, and renews them. A quota goes
// down only once its holder has said that it uses less, and up only as far as the others have gone
// down: so at no instant is the sum of what members count on over the limit.
func (h *heartbeatHandler) assignQuotas() error {
	for _, name := range slices.Sorted(maps.Keys(h.request.Quotas)) {
		own := h.request.Quotas[name]
		h.group.mu.Lock()
		limit, demands := h.group.demandsOn(name, own.Limit)
		newLeader := h.group.clock()-h.group.leaderSince < h.group.leaseFraction(hearFraction)
		h.group.mu.Unlock()
		quota := own.Using
		if !newLeader { // else not all members have sent it their demand yet
			quota = targetQuota(own, limit, assignment.DivideLimit(limit, demands)[h.sender.From])
		}
		result, err := h.propose(lease.Entry{
			Op: lease.AssignQuota, Name: name, Amount: max(quota, own.Using), Limit: limit,
		})
		if err != nil {
			return err
		}
		h.reply.Granted = append(h.reply.Granted, result.Refs...)
		h.reply.QuotaMembers = len(demands)
		if quota < own.Using {
			h.reply.LowerQuotas = setEntry(h.reply.LowerQuotas, name, quota)
		}
	}
	return nil
}

// demandsOn is what the members demand of a limit, and the lowest value of it that one of them has
// in its file: a file that was changed may not have reached all. The lock is held.
func (g *Group) demandsOn(name string, limit int64) (lowest int64, demands map[string]int64) {
	lowest, demands = limit, map[string]int64{}
	for _, member := range g.presence.PresentMembers(g.clock()) {
		state := g.members[member]
		if state == nil {
			continue
		}
		if demand, ok := state.quotas[name]; ok {
			demands[member] = demand.Demand
			lowest = min(lowest, demand.Limit)
		}
	}
	return lowest, demands
}

// targetQuota is what a member should use: its part, or what it uses already where the change is
// small.
func targetQuota(own quotaDemand, limit, part int64) int64 {
	change := max(part-own.Using, own.Using-part)
	if change < int64(quotaHysteresis*float64(limit)) && own.Using <= limit {
		return own.Using
	}
	return part
}

// applyQuota records a quota that was granted or renewed, and returns the call that tells its user,
// which must be made without the lock. The lock is held.
func (g *Group) applyQuota(limit string, ref lease.Ref, requested time.Duration, reply heartbeatReply) func() {
	if _, ok := g.holder.Get(ref.Name, g.clock()); !ok {
		g.log.Info().Str("quota", ref.Name).Uint64("epoch", ref.Epoch).Int64("amount", ref.Amount).
			Msg("group: quota taken: the leader has granted it")
	}
	g.holder.RecordQuotaGrant(ref.Name, ref.Epoch, ref.Amount, requested)
	if lower, ok := reply.LowerQuotas[limit]; ok {
		g.holder.LowerQuota(ref.Name, lower)
	}
	held, _ := g.holder.Get(ref.Name, g.clock())
	for _, own := range g.opt.Limits {
		if own.Name == limit {
			return func() { own.Apply(held.Amount, held.ExpiresAt, own.Rate/int64(max(1, g.quotaMembers))) }
		}
	}
	return func() {}
}

// applyEvenQuotas lets the even part of each limit count until the leader's first reply: an
// incarnation that is one of many that start at once must not send what it likes until then. How
// many share the limit, this member knows from its last incarnation.
func (g *Group) applyEvenQuotas() {
	g.mu.Lock()
	members := int64(max(1, g.quotaMembers))
	g.mu.Unlock()
	for _, limit := range g.opt.Limits {
		limit.Apply(0, 0, limit.Rate/members)
	}
}

// storeQuotaMembers keeps how many members use the limits for the next incarnation, where that has
// changed by a tenth or more. It may write a file.
func (g *Group) storeQuotaMembers() {
	g.mu.Lock()
	members, stored := g.quotaMembers, g.storedQuotaMembers
	g.mu.Unlock()
	change := max(members-stored, stored-members)
	if len(g.opt.Limits) == 0 || 10*change < max(1, stored) || writeQuotaMembers(g.opt.Dir, members) != nil {
		return
	}
	g.mu.Lock()
	g.storedQuotaMembers = members
	g.mu.Unlock()
}

// quotaMembersFile holds how many members used the limits when that was last stored: knowledge, and
// no part of what a member promises.
const quotaMembersFile = "crowd"

// readQuotaMembers is 0 where nothing was stored.
func readQuotaMembers(dir string) int {
	raw, err := os.ReadFile(filepath.Join(dir, quotaMembersFile))
	if err != nil {
		return 0
	}
	members, err := strconv.Atoi(strings.TrimSpace(string(raw)))
	if err != nil || members < 0 || members > lease.MaxMembers {
		return 0
	}
	return members
}

func writeQuotaMembers(dir string, members int) error {
	next := filepath.Join(dir, quotaMembersFile+".new")
	if err := os.WriteFile(next, []byte(strconv.Itoa(members)+"\n"), 0o600); err != nil {
		return fmt.Errorf("group: %w", err)
	}
	return os.Rename(next, filepath.Join(dir, quotaMembersFile))
}
