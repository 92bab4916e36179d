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

// quotaHysteresis is the minimum change of a quota, as a fraction of the limit.
const quotaHysteresis = 0.02

// quotaDemands returns this member's demand on its limits. The caller must hold g.mu.
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

// assignQuotas moves the sender's quotas towards their target amounts, and renews them. A quota is
// lowered only once its holder has reported that it uses less, and raised only by the amount by which
// the others were lowered: so the sum of the quotas in use never exceeds the limit.
func (h *heartbeatHandler) assignQuotas() error {
	for _, name := range slices.Sorted(maps.Keys(h.request.Quotas)) {
		own := h.request.Quotas[name]
		h.group.mu.Lock()
		limit, demands := h.group.collectDemands(name, own.Limit)
		newLeader := h.group.clock()-h.group.leaderSince < h.group.leaseFraction(grantDelayFraction)
		h.group.mu.Unlock()
		quota := own.Using
		if !newLeader { // a new leader may not have received the demand of all members yet
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

// collectDemands returns the members' demand on a limit, and the lowest value of the limit in the
// settings of any of them: changed settings may not have reached all members yet. The caller must
// hold g.mu.
func (g *Group) collectDemands(name string, limit int64) (lowest int64, demands map[string]int64) {
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

// targetQuota returns the amount that a member should use: its share, or the amount that it uses
// already if the difference is small.
func targetQuota(own quotaDemand, limit, share int64) int64 {
	change := max(share-own.Using, own.Using-share)
	if change < int64(quotaHysteresis*float64(limit)) && own.Using <= limit {
		return own.Using
	}
	return share
}

// applyQuota records a quota that was granted or renewed, and returns a function that passes it to
// Limit.Apply. The caller must hold g.mu, and must release it before it calls that function.
func (g *Group) applyQuota(limit string, ref lease.Ref, sentAt time.Duration, reply heartbeatReply) func() {
	if _, ok := g.holder.Get(ref.Name, g.clock()); !ok {
		g.log.Info().Str("quota", ref.Name).Uint64("epoch", ref.Epoch).Int64("amount", ref.Amount).
			Msg("group: quota acquired: the leader has granted it")
	}
	g.holder.RecordQuotaGrant(ref.Name, ref.Epoch, ref.Amount, sentAt)
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

// applyEvenQuotas limits this member to the even share of each limit until the leader's first reply.
// Without that, many members that start at the same time would exceed the limit until then. The
// number of members that share the limit comes from this member's last incarnation.
func (g *Group) applyEvenQuotas() {
	g.mu.Lock()
	members := int64(max(1, g.quotaMembers))
	g.mu.Unlock()
	for _, limit := range g.opt.Limits {
		limit.Apply(0, 0, limit.Rate/members)
	}
}

// storeQuotaMembers stores the number of members that use the limits for the next incarnation, if it
// has changed by a tenth or more since it was last stored.
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

// quotaMembersFile is the file with the last stored number of members that use the limits. It is only
// an estimate: losing it violates no guarantee.
const quotaMembersFile = "crowd"

// readQuotaMembers returns the stored number of members that use the limits, or 0 if there is none.
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

// writeQuotaMembers stores the number of members that use the limits.
func writeQuotaMembers(dir string, members int) error {
	newPath := filepath.Join(dir, quotaMembersFile+".new")
	if err := os.WriteFile(newPath, []byte(strconv.Itoa(members)+"\n"), 0o600); err != nil {
		return fmt.Errorf("group: %w", err)
	}
	return os.Rename(newPath, filepath.Join(dir, quotaMembersFile))
}
