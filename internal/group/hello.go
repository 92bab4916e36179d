package group

import (
	"fmt"
	"time"

	"brackendale/internal/lease"
)

// protocolVersion is the version of the messages between members. A member of another version is
// refused with an explanation: a group can be upgraded member by member only if the messages have
// not changed.
const protocolVersion = 1

// logState is the state of a member's log, as reported to the other members.
type logState string

const (
	stateOpening  logState = "opens" // the log has not been read yet, or could not be read
	stateEmpty    logState = "empty" // the folder is empty; whether the other voters have a log is unknown
	stateReady    logState = "ready" // all voters of the settings had empty folders; the log may be started
	stateStarted  logState = "begun" // the member has a log, or had one
	stateNonVoter logState = "none"  // the member does not vote and has no log
)

// connPurpose is the purpose of a connection between two members.
type connPurpose string

const (
	purposePeek      connPurpose = "peek" // reads the target's state from its welcome, and nothing else
	purposeHeartbeat connPurpose = "ask"  // carries a member's heartbeats to the leader
	purposeRaft      connPurpose = "raft" // carries the raft library's messages
)

// helloMessage is the first line of a connection, sent by the member that opened it (the caller).
type helloMessage struct {
	Version          int         `json:"v"`
	Purpose          connPurpose `json:"for"`
	From             string      `json:"from"`
	To               string      `json:"to"`
	Incarnation      uint64      `json:"life"`
	Process          uint64      `json:"self"`  // a random number that identifies the caller's process
	KnownIncarnation uint64      `json:"known"` // the highest incarnation of the target that the caller has recorded
	LeaseUs          int64       `json:"lease_us"`
	Drift            float64     `json:"drift"`
	Log              logPosition `json:"log"`
}

// logPosition is the last index and the term of a log at the start of its process. Both only grow
// unless the folder is emptied or replaced by an older copy.
type logPosition struct {
	Index  uint64 `json:"index,omitempty"`
	Term   uint64 `json:"term,omitempty"`
	Exists bool   `json:"here,omitempty"`
}

// welcomeMessage is the reply to a hello.
type welcomeMessage struct {
	Error            string      `json:"error,omitempty"`
	Incarnation      uint64      `json:"life,omitempty"`
	KnownIncarnation uint64      `json:"known,omitempty"` // the highest recorded incarnation of the caller
	Outdated         bool        `json:"old,omitempty"`   // the caller's log lacks entries that it had before
	Log              logPosition `json:"log"`
	Voters           []string    `json:"voters,omitempty"` // of its settings
	State            logState    `json:"state,omitempty"`
	Leader           string      `json:"leader,omitempty"`
	LeaderAddress    string      `json:"at,omitempty"` // as the leader reported it
}

// maxNameLength is the maximum length of a member's name in bytes.
const maxNameLength = 128

// The formats of the refusals that apply to hellos and to heartbeats.
const (
	refusalIncarnationEnded = "life %d of %s is over: life %d has been seen"
	refusalNameInUse        = "the name %s is in use by another process"
)

// peerProcess is the process of another member that connected last under that member's name.
type peerProcess struct {
	incarnation uint64
	process     uint64
	lastSeen    time.Duration // time of its last hello or heartbeat
}

// newHello returns the hello for a connection to another member.
func (g *Group) newHello(target string, purpose connPurpose) helloMessage {
	g.mu.Lock()
	defer g.mu.Unlock()
	return helloMessage{
		Version:          protocolVersion,
		Purpose:          purpose,
		From:             g.opt.Name,
		To:               target,
		Incarnation:      g.incarnation,
		Process:          g.process,
		KnownIncarnation: g.knownIncarnation(target),
		LeaseUs:          g.opt.Terms.Length.Microseconds(),
		Drift:            g.opt.Terms.Drift,
		Log:              g.position,
	}
}

// checkHello checks a hello, records its caller, and returns the reply.
func (g *Group) checkHello(hello helloMessage) welcomeMessage {
	now := g.clock()
	g.mu.Lock()
	defer g.mu.Unlock()
	if reason := g.helloRefusal(hello, now); reason != "" {
		return welcomeMessage{
			Error: reason, Incarnation: g.incarnation, KnownIncarnation: g.knownIncarnation(hello.From),
		}
	}
	g.recordPeer(hello, now)
	if hello.KnownIncarnation > g.incarnation {
		g.markSuperseded(hello.KnownIncarnation, hello.From)
	}
	welcome := welcomeMessage{
		Incarnation:      g.incarnation,
		KnownIncarnation: g.knownIncarnation(hello.From),
		State:            g.state,
		Outdated:         g.logOutdated(hello.From, hello.Incarnation, hello.Log),
		Log:              g.position,
		Voters:           voterNames(g.opt.Voters),
	}
	if welcome.Outdated && hello.Purpose == purposeRaft {
		welcome.Error = "the caller's log is older than what it had before"
	}
	welcome.Leader, welcome.LeaderAddress = g.currentLeader()
	return welcome
}

// helloRefusal returns the reason for which a caller is refused, or "" if it is accepted. The caller
// must hold g.mu.
func (g *Group) helloRefusal(hello helloMessage, now time.Duration) string {
	terms := g.opt.Terms
	switch {
	case hello.Version != protocolVersion:
		return fmt.Sprintf("this member speaks version %d of the group's words, and the caller version %d",
			protocolVersion, hello.Version)
	case hello.To != g.opt.Name:
		return fmt.Sprintf("this is %s, and not %.40q", g.opt.Name, hello.To)
	case hello.From == "" || len(hello.From) > maxNameLength ||
		hello.From == g.opt.Name && hello.Process != g.process:
		return fmt.Sprintf("the name %.40q is in use", hello.From)
	case hello.LeaseUs != terms.Length.Microseconds() || hello.Drift != terms.Drift:
		return fmt.Sprintf("leases of %v with drift %v are agreed on here: lease_ms and drift must be the same in "+
			"every file", terms.Length, terms.Drift)
	case hello.Purpose == purposePeek:
		return ""
	}
	if known := g.knownIncarnation(hello.From); hello.Incarnation < known {
		return fmt.Sprintf(refusalIncarnationEnded, hello.Incarnation, hello.From, known)
	}
	if g.usedByOtherProcess(hello, now) || g.nameInUse(hello.From, hello.Process, now) {
		return fmt.Sprintf(refusalNameInUse, hello.From)
	}
	return ""
}

// usedByOtherProcess reports whether another process with the name and the incarnation of the
// hello's sender has connected recently. The caller must hold g.mu.
func (g *Group) usedByOtherProcess(hello helloMessage, now time.Duration) bool {
	last := g.peers[hello.From]
	return last.process != 0 && last.process != hello.Process && last.incarnation == hello.Incarnation &&
		now-last.lastSeen < g.leaseFraction(nameReservationFraction)
}

// recordPeer records the sender of a hello if it is a voter, or sends heartbeats to this member while
// this member leads. Other senders may not belong to the group. The caller must hold g.mu.
func (g *Group) recordPeer(hello helloMessage, now time.Duration) {
	if hello.Purpose != purposeRaft && (hello.Purpose != purposeHeartbeat || !g.leading) {
		return
	}
	if len(g.peers) < lease.MaxMembers || g.peers[hello.From].process != 0 {
		g.peers[hello.From] = peerProcess{incarnation: hello.Incarnation, process: hello.Process, lastSeen: now}
	}
}

// recordWelcome records what a welcome reports about this member's own incarnation and log: if they
// are superseded, this member stops voting. It reports whether the other member's log is outdated,
// in which case its vote must not be requested.
func (g *Group) recordWelcome(hello helloMessage, welcome welcomeMessage) (outdated bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if hello.Incarnation == g.incarnation && hello.Log == g.position &&
		(welcome.KnownIncarnation > hello.Incarnation || welcome.Outdated) {
		g.markSuperseded(welcome.KnownIncarnation, hello.To)
	}
	return g.logOutdated(hello.To, welcome.Incarnation, welcome.Log)
}

// markSuperseded records that another member has recorded a later state of this folder. The caller
// must hold g.mu.
func (g *Group) markSuperseded(known uint64, reporter string) {
	g.supersededBy = max(g.supersededBy, known)
	if g.superseded {
		return
	}
	g.superseded = true
	if g.opt.OnSuperseded != nil {
		g.supersedePending = true
		g.opt.OnSuperseded(known, func() {
			g.mu.Lock()
			g.supersedePending = false
			g.mu.Unlock()
		})
	}
	g.log.Error().Uint64("incarnation", g.incarnation).Uint64("known", known).Str("member", reporter).
		Msg("group: another member has recorded a later state of this folder: the log and votes in it are not used")
}

// knownIncarnation returns the highest incarnation of a member that this member has recorded. The
// caller must hold g.mu.
func (g *Group) knownIncarnation(name string) uint64 {
	return max(g.table.Incarnations[name], g.peers[name].incarnation, g.lastView.Incarnations[name])
}

// logOutdated reports whether a member's log at the start of an incarnation lacks entries that an
// earlier incarnation had. That happens if its folder was replaced by an older copy. The caller must
// hold g.mu.
func (g *Group) logOutdated(name string, incarnation uint64, log logPosition) bool {
	if !log.Exists {
		return false
	}
	mark, member := g.table.ReadMarks[name], g.members[name]
	if mark.Incarnation < incarnation && log.Index < mark.Entry {
		return true
	}
	return member != nil && member.incarnation < incarnation &&
		(log.Index < member.readIndex || log.Term < member.term)
}

// currentLeader returns the name and the address of the leader as this member has recorded them. The
// caller must hold g.mu.
func (g *Group) currentLeader() (name, address string) {
	if g.node != nil {
		_, id := g.node.raft.LeaderWithID()
		name = string(id)
	} else {
		name = g.lastView.Leader
	}
	if name == g.opt.Name {
		return name, g.opt.Listen
	}
	return name, g.table.Addresses[name]
}
