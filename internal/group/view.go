package group

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// view is the state of the group as the leader reports it to members.
type view struct {
	Leader       string            `json:"leader"`
	Duties       []DutyView        `json:"duties"`
	Members      []MemberView      `json:"members"`
	Incarnations map[string]uint64 `json:"lives"`
	Addresses    map[string]string `json:"addrs"`

	// The fields below are local to the member that received the view.
	receivedAt      time.Duration
	leaderRepliedAt time.Duration // time of the leader's last reply
	requestedAt     time.Duration // time at which a view was last read on this member
	lastError       string        // of the last failed heartbeat
}

// DutyView is the state of a duty as it is shown to operators.
type DutyView struct {
	Name        string `json:"name"`
	Holder      string `json:"holder"` // empty if the duty is free
	Epoch       uint64 `json:"epoch"`
	RemainingMs int64  `json:"left_ms"` // until the lease ends unless renewed, by the clock of the member that shows it
	Executions  uint64 `json:"acts"`    // executions begun under this epoch
	Reason      string `json:"why"`     // why the duty is free, or the error of the last execution
}

// MemberView is the state of a member as it is shown to operators.
type MemberView struct {
	Name           string   `json:"name"`
	Present        bool     `json:"here"`
	Settled        bool     `json:"settled"`
	Voter          bool     `json:"voter"`
	Leader         bool     `json:"leader"`
	Incarnation    uint64   `json:"life"`
	Address        string   `json:"addr"`
	Holds          []string `json:"holds"`
	HeartbeatAgeMs int64    `json:"quiet_ms"` // since its last heartbeat; -1 if unknown
	Reason         string   `json:"why,omitempty"`
}

// buildView returns the leader's view. The caller must hold g.mu.
func (g *Group) buildView(now time.Duration) view {
	duties := g.viewDuties(now)
	holds := map[string][]string{} // by member with a record
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

// viewDuties returns the state of each duty that has a lease or is offered, sorted by name. The caller
// must hold g.mu.
func (g *Group) viewDuties(now time.Duration) (duties []DutyView) {
	names := map[string]bool{}
	for name, record := range g.table.Leases {
		if record.HoldUs == 0 || record.Holder != "" { // a free restart slot is not shown
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

// viewDuty returns the state of one duty. The caller must hold g.mu.
func (g *Group) viewDuty(name string, plan map[string]string, now time.Duration) DutyView {
	duty := DutyView{Name: name}
	if record := g.table.Leases[name]; record != nil {
		duty.Holder, duty.Epoch = record.Holder, record.Epoch
		duty.RemainingMs = g.watch.Remaining(name, now).Milliseconds()
		if record.Revoked {
			duty.Reason = "revoked: it ends with its lease"
		}
	}
	if member := g.members[duty.Holder]; member != nil {
		duty.Executions = member.executions[name].Number
		duty.Reason = cmp.Or(duty.Reason, member.executions[name].Error)
	}
	if duty.Holder == "" {
		duty.Reason = freeReason(name, plan)
	} else if present, _ := g.presence.Present(duty.Holder, now); !present {
		duty.Reason = cmp.Or(duty.Reason, duty.Holder+" is silent: its lease has to end")
	}
	return duty
}

// freeReason returns the reason for which no member holds a duty.
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

// viewMembers returns the state of each member that has an incarnation in the table or votes, sorted by
// name. The caller must hold g.mu.
func (g *Group) viewMembers(now time.Duration, holds map[string][]string) (members []MemberView) {
	voters := g.currentVoters()
	known := maps.Clone(g.table.Incarnations)
	for name := range voters {
		known[name] = g.table.Incarnations[name]
	}
	for _, name := range slices.Sorted(maps.Keys(known)) {
		member := MemberView{
			Name:           name,
			Voter:          voters[name],
			Leader:         name == g.opt.Name,
			Incarnation:    known[name],
			Address:        g.table.Addresses[name],
			Holds:          holds[name],
			HeartbeatAgeMs: -1,
		}
		member.Present, member.Settled = g.presence.Present(name, now)
		if state := g.members[name]; state != nil {
			member.HeartbeatAgeMs = (now - state.lastHeartbeatAt).Milliseconds()
		}
		members = append(members, member)
	}
	return members
}

// currentVoters returns the voters by this member's log. The caller must hold g.mu.
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
