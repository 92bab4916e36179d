package group

import (
	"encoding/json"
	"testing"
	"time"

	"brackendale/internal/lease"

	"github.com/hashicorp/raft"
)

// TestGoldenLeader compares the replies of a leader to heartbeats of three members, and the log
// entries that it writes, with golden files.
func TestGoldenLeader(t *testing.T) {
	now := time.Hour
	g := goldenMemberWithLease(t, "a", onlyVoter, 2*time.Second)
	g.clock = func() time.Duration { return now }
	node := bootstrapSingleVoter(t, g)
	defer node.stop()
	var replies []byte
	for i, step := range leaderSteps() {
		now += step.after
		sender := helloMessage{
			Purpose: purposeHeartbeat, From: step.from, To: "a", Incarnation: step.incarnation,
			Process: uint64(len(step.from)) + step.incarnation,
		}
		step.request.Sequence = uint64(i + 1)
		reply := g.handleHeartbeat(sender, step.request, func(member *memberState) { member.wakeUp = func() {} })
		reply.Sequence = step.request.Sequence
		replies = append(replies, wireBytes(t, reply)...)
	}
	compareGolden(t, "leader-answers.jsonl", replies)
	compareGolden(t, "leader-entries.jsonl", commandData(t, node.bolt))
}

// bootstrapSingleVoter starts a group with one member. It marks that member as the leader since time
// zero, so that the delays of a new leader do not apply.
func bootstrapSingleVoter(t *testing.T, g *Group) *raftNode {
	t.Helper()
	stored, err := openFolder(g.opt.Dir, "a", onlyVoter)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(stored.close)
	stored.FirstStartVoters = voterNames(onlyVoter)
	bolt, err := g.bootstrap(stored)
	if err != nil {
		t.Fatal(err)
	}
	node := startNode(t, g, func() (*raftNode, error) { return g.startNode(bolt, stored.dir) })
	g.mu.Lock()
	g.folder, g.node, g.leading, g.state = stored, node, true, stateStarted
	g.resetMembers()
	g.mu.Unlock()
	return node
}

// leaderStep is one heartbeat that a member sends to the leader.
type leaderStep struct {
	after       time.Duration // since the step before
	from        string
	incarnation uint64
	request     heartbeat
}

// leaderSteps returns heartbeats with which two members share two duties and a limit, a third member
// joins them, and each command is sent, including one that does not exist.
func leaderSteps() []leaderStep {
	const step = 200 * time.Millisecond
	newHeartbeat := func(address string, demand, using int64) heartbeat {
		return heartbeat{
			Address: address, Offers: []string{"report", "sweep"}, Ready: true, ReadIndex: 5, Term: 2, WantView: true,
			Weight: 1,
			Quotas: map[string]quotaDemand{"calls": {Demand: demand, Using: using, Limit: 1000}},
		}
	}
	withCommand := func(request heartbeat, cmd *command) heartbeat { request.Command = cmd; return request }
	requestB := newHeartbeat("10.0.0.2:7000", 800, 0)
	requestB.Hints = []Hint{{Destination: 2, RetryAfterUs: 9_000_000, Unavailable: true, AgeUs: 1}}
	requestB.Claims = []string{"report"}
	laterB := newHeartbeat("10.0.0.2:7000", 800, 700)
	laterB.Executions = map[string]executionReport{"sweep": {Number: 7, Error: "it answers 500"}}
	releaseB := newHeartbeat("10.0.0.2:7000", 800, 500)
	releaseB.Released = []lease.Ref{{Name: "report", Epoch: 7}, {Name: "sweep", Epoch: 3}}
	releaseB.Successors = map[string]string{"report": anyNextMember, "sweep": "c"}
	requestA, requestC := newHeartbeat("10.0.0.1:7000", 400, 300), newHeartbeat("10.0.0.3:7000", 900, 0)
	handOverA := requestA
	handOverA.Released, handOverA.Successors = []lease.Ref{{Name: "report", Epoch: 2}}, map[string]string{"report": "bb"}
	return []leaderStep{
		{0, "a", 3, newHeartbeat("10.0.0.1:7000", 400, 0)},
		{step, "bb", 1, requestB},
		{step, "a", 3, requestA},
		{step, "bb", 1, laterB},
		{step, "c", 1, requestC},
		{step, "a", 3, withCommand(requestA, &command{Op: opHandOver, Name: "report", Recipient: "bb"})},
		{step, "a", 3, handOverA},
		{step, "bb", 1, withCommand(laterB, &command{
			Op: opRestart, Name: "roll", MaxConcurrent: 1, MaxDowntimeUs: 60_000_000,
		})},
		{step, "c", 1, withCommand(requestC, &command{
			Op: opRestart, Name: "roll", MaxConcurrent: 1, MaxDowntimeUs: 60_000_000,
		})},
		{step, "bb", 1, releaseB},
		{step, "a", 3, withCommand(requestA, &command{Op: opRevoke, Name: "report"})},
		{step, "a", 3, withCommand(requestA, &command{Op: opRevoke, Name: "sweep"})},
		{step, "c", 1, withCommand(requestC, &command{Op: opAdmit})},
		{step, "c", 1, withCommand(requestC, &command{Op: opLeave})},
		{step, "c", 1, withCommand(requestC, &command{Op: "later"})},
		{step, "bb", 2, newHeartbeat("10.0.0.2:7000", 0, 0)},
		{step, "bb", 1, laterB},
		{8 * step, "a", 3, requestA},
		{step, "c", 1, requestC},
	}
}

// commandData returns the data of the entries of a log, one per line, without the raft library's own
// entries.
func commandData(t *testing.T, log raft.LogStore) (data []byte) {
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
		var logEntry raft.Log
		if err := log.GetLog(i, &logEntry); err != nil {
			t.Fatal(err)
		}
		if logEntry.Type == raft.LogCommand {
			var decoded lease.Entry
			if err := json.Unmarshal(logEntry.Data, &decoded); err != nil {
				t.Errorf("entry %d: %v", i, err)
			}
			data = append(append(data, logEntry.Data...), '\n')
		}
	}
	return data
}
