package group

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// view is what the leader shows of the group.
type view struct {
	Leader       string            `json:"leader"`
	Duties       []DutyView        `json:"duties"`
	Members      []MemberView      `json:"members"`
	Incarnations map[string]uint64 `json:"lives"`
	Addresses    map[string]string `json:"addrs"`

	// What the member that has received it knows besides.
	receivedAt    time.Duration
	leaderHeardAt time.Duration // when the leader replied last
	wantedAt      time.Duration // when somebody wanted to see a view last
	lastError     string        // of the last heartbeat that failed
}

// DutyView is a duty as it is shown.
type DutyView struct {
	Name        string `json:"name"`
	Holder      string `json:"holder"` // empty: nobody
	Epoch       uint64 `json:"epoch"`
	RemainingMs int64  `json:"left_ms"` // until the lease ends if it is not renewed, by whoever shows it
	Acts        uint64 `json:"acts"`    // begun under this epoch
	Reason      string `json:"why"`     // why nobody holds it, or what failed last
}

// MemberView is a member as it is shown.
type MemberView struct {
	Name        string   `json:"name"`
	Present     bool     `json:"here"`
	Settled     bool     `json:"settled"`
	Voter       bool     `json:"voter"`
	Leader      bool     `json:"leader"`
	Incarnation uint64   `json:"life"`
	Address     string   `json:"addr"`
	Holds       []string `json:"holds"`
	SilentMs    int64    `json:"quiet_ms"` // since its last heartbeat; -1: not known
	Reason      string   `json:"why,omitempty"`
}

// buildView is the leader's view. The lock is held.
func (g *Group) buildView(now time.Duration) view {
	duties := g.viewDuties(now)
	holds := map[string][]string{} // of the members that are known
	for _, duty := range duties {
		if g.members[duty.Holder] != nil {
			holds[duty.Holder] = append(holds[duty.Holder], duty.Name)
		}
	}
	return view{
		Leader:       g.opt.Name,
		Duties:       duties,
		Members:      g.viewMembers(now, holds),
		Incarnations: maps.Clone(g.table.Incarnations),
		Addresses:    maps.Clone(g.table.Addresses),
	}
}

// viewDuties shows each duty that has a lease or is offered, sorted by name. The lock is held.
func (g *Group) viewDuties(now time.Duration) (duties []DutyView) {
	names := map[string]bool{}
	for name, held := range g.table.Leases {
		if held.HoldUs == 0 || held.Holder != "" { // a free restart slot is not shown
			names[name] = true
		}
	}
	for _, name := range g.presence.PresentMembers(now) {
		if member := g.members[name]; member != nil {
			for duty := range member.offers {
				names[duty] = true
			}
		}
	}
	plan := g.assignDuties(now)
	for _, name := range slices.Sorted(maps.Keys(names)) {
		duties = append(duties, g.viewDuty(name, plan, now))
	}
	return duties
}

// viewDuty shows one duty. The lock is held.
func (g *Group) viewDuty(name string, plan map[string]string, now time.Duration) DutyView {
	duty := DutyView{Name: name}
	if held := g.table.Leases[name]; held != nil {
		duty.Holder, duty.Epoch = held.Holder, held.Epoch
		duty.RemainingMs = g.watch.Remaining(name, now).Milliseconds()
		if held.Revoked {
			duty.Reason = "revoked: it ends with its lease"
		}
	}
	if member := g.members[duty.Holder]; member != nil {
		duty.Acts = member.acts[name].Number
		duty.Reason = cmp.Or(duty.Reason, member.acts[name].Error)
	}
	if duty.Holder == "" {
		duty.Reason = freeReason(name, plan)
	} else if present, _ := g.presence.Present(duty.Holder, now); !present {
		duty.Reason = cmp.Or(duty.Reason, duty.Holder+" is silent: its lease has to end")
	}
	return duty
}

// freeReason is why nobody holds a duty.
func freeReason(duty string, plan map[string]string) string {
	switch {
	case plan == nil:
		return "the leader has just begun"
	case strings.ContainsAny(duty, "/"+restartSlotSeparator): // a quota or a restart slot
		return "nobody asks for it"
	case plan[duty] == "":
		return "no member that is here has it in its file"
	}
	return plan[duty] + " is to take it"
}

// viewMembers shows each member that is known or votes, sorted by name. The lock is held.
func (g *Group) viewMembers(now time.Duration, holds map[string][]string) (members []MemberView) {
	voters := g.currentVoters()
	known := maps.Clone(g.table.Incarnations)
	for name := range voters {
		known[name] = g.table.Incarnations[name]
	}
	for _, name := range slices.Sorted(maps.Keys(known)) {
		member := MemberView{
			Name:        name,
			Voter:       voters[name],
			Leader:      name == g.opt.Name,
			Incarnation: known[name],
			Address:     g.table.Addresses[name],
			Holds:       holds[name],
			SilentMs:    -1,
		}
		member.Present, member.Settled = g.presence.Present(name, now)
		if state := g.members[name]; state != nil {
			member.SilentMs = (now - state.lastHeard).Milliseconds()
		}
		members = append(members, member)
	}
	return members
}

// currentVoters is who votes by this member's log. The lock is held.
func (g *Group) currentVoters() map[string]bool {
	voters := map[string]bool{}
	if g.node == nil {
		return voters
	}
	if future := g.node.raft.GetConfiguration(); future.Error() == nil {
		for _, server := range future.Configuration().Servers {
			voters[string(server.ID)] = true
		}
	}
	return voters
}
