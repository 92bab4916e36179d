package group

import (
	"encoding/json"
	"testing"
	"time"

	"brackendale/internal/lease"

	"github.com/hashicorp/raft"
)

// TestGoldenLeader sends heartbeats of three members to a leader: its replies and the entries that
// it writes are golden.
func TestGoldenLeader(t *testing.T) {
	now := time.Hour
	g := goldenMemberOf(t, "a", onlyVoter, 2*time.Second)
	g.clock = func() time.Duration { return now }
	node := bootstrapAlone(t, g)
	defer node.stop()
	var out []byte
	for i, step := range leaderSteps() {
		now += step.after
		sender := helloMessage{
			Purpose: purposeHeartbeat, From: step.from, To: "a", Incarnation: step.incarnation,
			Process: uint64(len(step.from)) + step.incarnation,
		}
		step.request.Sequence = uint64(i + 1)
		reply := g.handleHeartbeat(sender, step.request, func(member *memberState) { member.wakeUp = func() {} })
		reply.Sequence = step.request.Sequence
		out = append(out, sent(t, reply)...)
	}
	compareGolden(t, "leader-answers.jsonl", out)
	compareGolden(t, "leader-entries.jsonl", commands(t, node.bolt))
}

// bootstrapAlone starts a group of one, whose member leads from the clock's zero on.
func bootstrapAlone(t *testing.T, g *Group) *raftNode {
	t.Helper()
	f, err := openFolder(g.opt.Dir, "a", onlyVoter)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.close)
	f.FirstStartVoters = voterNames(onlyVoter)
	bolt, err := g.bootstrap(f)
	if err != nil {
		t.Fatal(err)
	}
	node := startNode(t, g, func() (*raftNode, error) { return g.startNode(bolt, f.dir) })
	g.mu.Lock()
	g.folder, g.node, g.leading, g.state = f, node, true, stateStarted
	g.resetMembers()
	g.mu.Unlock()
	return node
}

type leaderStep struct {
	after       time.Duration
	from        string
	incarnation uint64
	request     heartbeat
}

// leaderSteps has two members share two duties and a limit; a third comes, and all commands are
// given.
func leaderSteps() []leaderStep {
	const step = 200 * time.Millisecond
	usual := func(at string, want, using int64) heartbeat {
		return heartbeat{
			Address: at, Offers: []string{"report", "sweep"}, Ready: true, ReadIndex: 5, Term: 2, WantView: true, Weight: 1,
			Quotas: map[string]quotaDemand{"calls": {Demand: want, Using: using, Limit: 1000}},
		}
	}
	with := func(request heartbeat, cmd *command) heartbeat { request.Command = cmd; return request }
	b := usual("10.0.0.2:7000", 800, 0)
	b.Hints = []Hint{{Destination: 2, RetryAfterUs: 9_000_000, Unavailable: true, AgeUs: 1}}
	b.Claims = []string{"report"}
	later := usual("10.0.0.2:7000", 800, 700)
	later.Executions = map[string]executionReport{"sweep": {Number: 7, Error: "it answers 500"}}
	back := usual("10.0.0.2:7000", 800, 500)
	back.Released = []lease.Ref{{Name: "report", Epoch: 7}, {Name: "sweep", Epoch: 3}}
	back.Successors = map[string]string{"report": anyNextMember, "sweep": "c"}
	a, c := usual("10.0.0.1:7000", 400, 300), usual("10.0.0.3:7000", 900, 0)
	handed := a
	handed.Released, handed.Successors = []lease.Ref{{Name: "report", Epoch: 2}}, map[string]string{"report": "bb"}
	return []leaderStep{
		{0, "a", 3, usual("10.0.0.1:7000", 400, 0)},
		{step, "bb", 1, b},
		{step, "a", 3, a},
		{step, "bb", 1, later},
		{step, "c", 1, c},
		{step, "a", 3, with(a, &command{Op: opHandOver, Name: "report", Recipient: "bb"})},
		{step, "a", 3, handed},
		{step, "bb", 1, with(later, &command{Op: opRestart, Name: "roll", MaxConcurrent: 1, MaxDowntimeUs: 60_000_000})},
		{step, "c", 1, with(c, &command{Op: opRestart, Name: "roll", MaxConcurrent: 1, MaxDowntimeUs: 60_000_000})},
		{step, "bb", 1, back},
		{step, "a", 3, with(a, &command{Op: opRevoke, Name: "report"})},
		{step, "a", 3, with(a, &command{Op: opRevoke, Name: "sweep"})},
		{step, "c", 1, with(c, &command{Op: opAdmit})},
		{step, "c", 1, with(c, &command{Op: opLeave})},
		{step, "c", 1, with(c, &command{Op: "later"})},
		{step, "bb", 2, usual("10.0.0.2:7000", 0, 0)},
		{step, "bb", 1, later},
		{8 * step, "a", 3, a},
		{step, "c", 1, c},
	}
}

// commands is the data of a log's entries, one a line.
func commands(t *testing.T, log raft.LogStore) (data []byte) {
	t.Helper()
	first, err := log.FirstIndex()
	if err != nil {
		t.Fatal(err)
	}
	last, err := log.LastIndex()
	if err != nil {
		t.Fatal(err)
	}
	for i := first; i <= last; i++ {
		var l raft.Log
		if err := log.GetLog(i, &l); err != nil {
			t.Fatal(err)
		}
		if l.Type == raft.LogCommand {
			var e lease.Entry
			if err := json.Unmarshal(l.Data, &e); err != nil {
				t.Errorf("entry %d: %v", i, err)
			}
			data = append(append(data, l.Data...), '\n')
		}
	}
	return data
}
