package group

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// viewTimeout is how long a call waits for a new view from the leader.
	viewTimeout = 500 * time.Millisecond

	// viewPollInterval is the interval at which such a call checks for the view.
	viewPollInterval = 2 * time.Millisecond
)

// unreachableReason returns the reason for which no leader is reachable, or "" if one has replied
// recently. The caller must hold g.mu.
func (g *Group) unreachableReason(now time.Duration) string {
	last := &g.lastView
	switch {
	case g.inactiveReason != "":
		return g.inactiveReason
	case last.leaderRepliedAt == 0 && last.lastError == "":
		return "no leader has answered yet"
	case last.leaderRepliedAt == 0 || now-last.leaderRepliedAt > g.leaseFraction(unreachableFraction):
		return "no leader answers: " + cmp.Or(last.lastError, "nobody leads")
	}
	return ""
}

// Duties returns the state of all duties as this member has it. While no leader replies, it shows no
// holder for the duties that this member does not hold itself. It waits for a new view from the
// leader for up to viewTimeout. Any goroutine may call it.
func (g *Group) Duties() []DutyView {
	g.waitForView()
	return g.dutiesNow()
}

// Members returns the state of all members as the leader has it. It may wait as Duties does.
func (g *Group) Members() []MemberView {
	g.waitForView()
	return g.membersNow()
}

// Views returns the results of Duties and Members by the last view, without waiting for a new one.
// While it is called regularly, that view is at most one heartbeat interval old.
func (g *Group) Views() ([]DutyView, []MemberView) {
	g.mu.Lock()
	g.lastView.requestedAt = g.clock()
	g.mu.Unlock()
	return g.dutiesNow(), g.membersNow()
}

// dutiesNow returns the state of all duties without waiting for a new view.
func (g *Group) dutiesNow() []DutyView {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	unreachable := g.unreachableReason(now)
	known := g.knownDuties(now)
	duties := make([]DutyView, 0, len(known))
	for _, name := range slices.Sorted(maps.Keys(known)) {
		duties = append(duties, g.overlayOwnState(known[name], unreachable, now))
	}
	return duties
}

// knownDuties returns each duty as the best available source shows it: the last view, else this
// member's table, else the settings. The caller must hold g.mu.
func (g *Group) knownDuties(now time.Duration) map[string]DutyView {
	known := map[string]DutyView{}
	for name, note := range g.opt.Notes {
		known[name] = DutyView{Name: name, Reason: note}
	}
	for name := range g.runners {
		known[name] = DutyView{Name: name, Reason: "not heard of yet"}
	}
	for name, record := range g.table.Leases {
		known[name] = DutyView{Name: name, Epoch: record.Epoch}
	}
	age := (now - g.lastView.receivedAt).Milliseconds()
	for _, duty := range g.lastView.Duties {
		duty.RemainingMs = max(0, duty.RemainingMs-age)
		known[duty.Name] = duty
	}
	return known
}

// overlayOwnState corrects the view of a duty by this member's own state, which may be newer. The
// caller must hold g.mu.
func (g *Group) overlayOwnState(duty DutyView, unreachable string, now time.Duration) DutyView {
	runner := g.runners[duty.Name]
	held, own := g.holder.Get(duty.Name, now)
	switch {
	case own && runner != nil:
		duty.Holder, duty.Epoch = g.opt.Name, held.Epoch
		duty.RemainingMs = (held.ExpiresAt - now).Milliseconds()
		duty.Executions = runner.executions
		duty.Reason = cmp.Or(unreachable, runner.lastError)
	case unreachable != "": // the holder is unknown; each member then uses the even share of a limit
		duty.Holder, duty.RemainingMs, duty.Executions, duty.Reason = "", 0, 0, unreachable
	case duty.Holder == g.opt.Name: // released, but the leader has not received the release yet
		duty.Holder, duty.RemainingMs, duty.Reason = "", 0, "given back"
	}
	return duty
}

// membersNow returns the state of all members without waiting for a new view.
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
			Name:           name,
			Address:        g.opt.Voters[name],
			Incarnation:    g.knownIncarnation(name),
			HeartbeatAgeMs: -1,
			Reason:         "not known: no leader answers",
		})
	}
	return members
}

// waitForView waits for a view that is received after the start of this call, for up to viewTimeout.
func (g *Group) waitForView() {
	g.mu.Lock()
	start := g.clock()
	g.lastView.requestedAt = start
	g.mu.Unlock()
	g.requestHeartbeat()
	for deadline := time.Now().Add(viewTimeout); time.Now().Before(deadline); time.Sleep(viewPollInterval) {
		g.mu.Lock()
		done := g.lastView.receivedAt >= start || g.inactiveReason != ""
		g.mu.Unlock()
		if done {
			return
		}
	}
}
