package group

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// viewTimeout is how long a call waits for a new view of the leader.
	viewTimeout = 500 * time.Millisecond

	// viewPollInterval is how often it looks whether the view has come.
	viewPollInterval = 2 * time.Millisecond
)

// unreachableReason is why the leader is not heard; empty where it has replied lately. The lock is
// held.
func (g *Group) unreachableReason(now time.Duration) string {
	last := &g.lastView
	switch {
	case g.inactiveReason != "":
		return g.inactiveReason
	case last.leaderHeardAt == 0 && last.lastError == "":
		return "no leader has answered yet"
	case last.leaderHeardAt == 0 || now-last.leaderHeardAt > g.leaseFraction(unreachableFraction):
		return "no leader answers: " + cmp.Or(last.lastError, "nobody leads")
	}
	return ""
}

// Duties shows all duties as this member knows them now. Where no leader replies, nobody is said to
// hold what this member does not hold itself. It may wait for the leader, half a second at most.
// Any goroutine may call it.
func (g *Group) Duties() []DutyView {
	g.waitForView()
	return g.dutiesNow()
}

// Members shows all members as the leader knows them. It may wait as Duties does.
func (g *Group) Members() []MemberView {
	g.waitForView()
	return g.membersNow()
}

// Views is what Duties and Members show, as this member has heard it last. It does not wait; called
// again and again, it is at most a heartbeat old.
func (g *Group) Views() ([]DutyView, []MemberView) {
	g.mu.Lock()
	g.lastView.wantedAt = g.clock()
	g.mu.Unlock()
	return g.dutiesNow(), g.membersNow()
}

func (g *Group) dutiesNow() []DutyView {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	unreachable := g.unreachableReason(now)
	known := g.knownDuties(now)
	duties := make([]DutyView, 0, len(known))
	for _, name := range slices.Sorted(maps.Keys(known)) {
		duties = append(duties, g.ownDutyView(known[name], unreachable, now))
	}
	return duties
}

// knownDuties is each duty as the best source shows it: the last view, else the table, else the
// file. The lock is held.
func (g *Group) knownDuties(now time.Duration) map[string]DutyView {
	known := map[string]DutyView{}
	for name, note := range g.opt.Notes {
		known[name] = DutyView{Name: name, Reason: note}
	}
	for name := range g.runners {
		known[name] = DutyView{Name: name, Reason: "not heard of yet"}
	}
	for name, held := range g.table.Leases {
		known[name] = DutyView{Name: name, Epoch: held.Epoch}
	}
	age := (now - g.lastView.receivedAt).Milliseconds()
	for _, duty := range g.lastView.Duties {
		duty.RemainingMs = max(0, duty.RemainingMs-age)
		known[duty.Name] = duty
	}
	return known
}

// ownDutyView corrects the view of a duty by what this member knows itself. The lock is held.
func (g *Group) ownDutyView(duty DutyView, unreachable string, now time.Duration) DutyView {
	runner := g.runners[duty.Name]
	held, own := g.holder.Get(duty.Name, now)
	switch {
	case own && runner != nil:
		duty.Holder, duty.Epoch = g.opt.Name, held.Epoch
		duty.RemainingMs = (held.ExpiresAt - now).Milliseconds()
		duty.Acts = runner.acts
		duty.Reason = cmp.Or(unreachable, runner.lastError)
	case unreachable != "": // of a limit that is divided each member has its even part
		duty.Holder, duty.RemainingMs, duty.Acts, duty.Reason = "", 0, 0, unreachable
	case duty.Holder == g.opt.Name: // released, and the leader has not heard yet
		duty.Holder, duty.RemainingMs, duty.Reason = "", 0, "given back"
	}
	return duty
}

func (g *Group) membersNow() []MemberView {
	g.mu.Lock()
	defer g.mu.Unlock()
	unreachable := g.unreachableReason(g.clock())
	if unreachable == "" {
		return slices.Clone(g.lastView.Members)
	}
	members := []MemberView{{
		Name: g.opt.Name, Present: true, Incarnation: g.incarnation, Address: g.opt.Listen, Reason: unreachable,
	}}
	for _, name := range g.otherVoters() {
		members = append(members, MemberView{
			Name:        name,
			Address:     g.opt.Voters[name],
			Incarnation: g.knownIncarnation(name),
			SilentMs:    -1,
			Reason:      "not known: no leader answers",
		})
	}
	return members
}

// waitForView waits for a view that is younger than this call, for viewTimeout at most.
func (g *Group) waitForView() {
	g.mu.Lock()
	from := g.clock()
	g.lastView.wantedAt = from
	g.mu.Unlock()
	g.requestHeartbeat()
	for until := time.Now().Add(viewTimeout); time.Now().Before(until); time.Sleep(viewPollInterval) {
		g.mu.Lock()
		done := g.lastView.receivedAt >= from || g.inactiveReason != ""
		g.mu.Unlock()
		if done {
			return
		}
	}
}
