package group

import (
	"testing"
	"time"

	"brackendale/internal/lease"

	"github.com/rs/zerolog"
)

// goldenHello returns a hello with every field set.
func goldenHello(purpose connPurpose) helloMessage {
	return helloMessage{
		Version: protocolVersion, Purpose: purpose, From: "a", To: "b", Incarnation: 3, Process: 1<<63 + 7,
		KnownIncarnation: 5,
		LeaseUs:          400_000, Drift: 0.01, Log: logPosition{Index: 900, Term: 4, Exists: true},
	}
}

// goldenHeartbeat returns a heartbeat with every field set.
func goldenHeartbeat() heartbeat {
	return heartbeat{
		Sequence: 12, Address: "10.0.0.1:7000", Weight: 1.5, Offers: []string{"report", "sweep"},
		Released:   []lease.Ref{{Name: "sweep", Epoch: 41, Renewal: 2, Amount: 6}},
		Successors: map[string]string{"sweep": anyNextMember},
		Executions: map[string]executionReport{"report": {Number: 7, Error: "it answers 500"}},
		Voter:      true, ReadIndex: 901, Term: 4, WantView: true,
		Quotas: map[string]quotaDemand{"calls": {Demand: 700, Using: 300, Limit: 1000}},
		Ready:  true, Claims: []string{"sweep"},
		Hints: goldenHints(),
		Command: &command{
			Op: opRestart, Name: "roll", Recipient: "b", MaxConcurrent: 2, MaxDowntimeUs: 90_000_000,
		},
	}
}

// goldenHints returns a hint with every field set.
func goldenHints() []Hint {
	return []Hint{{
		Destination: 2, RetryAfterUs: 1_500_000, Unavailable: true, Recovering: true,
		RecoveringUs: 2_000_000, AgeUs: 250_000, Member: "c",
	}}
}

// goldenReply returns a reply with every field set.
func goldenReply() heartbeatReply {
	return heartbeatReply{
		Sequence: 12, WakeUp: true, Error: "does not lead", Leader: "b", LeaderAddress: "10.0.0.2:7000",
		Granted:     []lease.Ref{{Name: "calls/a", Epoch: 43, Renewal: 1, Amount: 700}},
		HandOver:    map[string]string{"report": "c"},
		LowerQuotas: map[string]int64{"calls": 250}, QuotaMembers: 3, Hints: goldenHints(),
		ClaimHolders: map[string]string{"sweep": "c"},
		CommandError: "nobody holds it", Admission: &admission{Term: 4, Leader: "b"}, View: goldenView(),
	}
}

// goldenView returns a view with every field set.
func goldenView() *view {
	return &view{
		Leader: "b", Incarnations: map[string]uint64{"a": 3}, Addresses: map[string]string{"a": "10.0.0.1:7000"},
		Duties: []DutyView{{
			Name: "report", Holder: "a", Epoch: 41, RemainingMs: 250, Executions: 7, Reason: "it answers 500",
		}},
		Members: []MemberView{{
			Name: "a", Present: true, Settled: true, Voter: true, Leader: true, Incarnation: 3,
			Address: "10.0.0.1:7000", Holds: []string{"report"}, HeartbeatAgeMs: 20, Reason: "a later state has been seen",
		}},
	}
}

// goldenMember returns a member that is not running, with a fixed process number and a fixed clock.
func goldenMember(t *testing.T, name string, voters map[string]string) *Group {
	t.Helper()
	return goldenMemberWithLease(t, name, voters, 400*time.Millisecond)
}

// goldenMemberWithLease returns a member as goldenMember does, with leases of the given length.
func goldenMemberWithLease(t *testing.T, name string, voters map[string]string, leaseLength time.Duration) *Group {
	t.Helper()
	g := New(Options{
		Name: name, Listen: "10.0.0.9:7000", Voters: voters, Dir: t.TempDir(), Log: zerolog.Nop(),
		Terms: lease.Terms{Length: leaseLength, Drift: 0.01}, Clock: func() time.Duration { return time.Hour },
	})
	g.process, g.incarnation, g.position = 1<<63+7, 3, logPosition{Index: 900, Term: 4, Exists: true}
	return g
}

// goldenEntries returns the log entries of the stored folder. Together they set every field of an entry.
func goldenEntries() []lease.Entry {
	return []lease.Entry{
		{Op: lease.RecordIncarnation, Member: "a", Incarnation: 3, Recipient: "10.0.0.1:7000", Base: 11},
		{Op: lease.AdmitEmptyLog, Member: "b", Incarnation: 2, Recipient: "10.0.0.2:7000", Base: 12},
		{Op: lease.RaiseEpoch, Base: 40},
		{Op: lease.Prefer, Name: "report", Recipient: "b"},
		{Op: lease.Grant, Name: "report", Member: "a", Incarnation: 3},
		{Op: lease.Revoke, Refs: []lease.Ref{{Name: "report", Epoch: 41}}},
		{Op: lease.Grant, Name: "roll#1", Member: "b", Incarnation: 2, HoldUs: 90_000_000},
		{Op: lease.AssignQuota, Name: "calls", Member: "a", Incarnation: 3, Amount: 700, Limit: 1000},
		// The snapshot does not cover the entries from here on.
		{Op: lease.Grant, Name: "sweep", Member: "b", Incarnation: 2},
		{Op: lease.Renew, Member: "b", Incarnation: 2, Refs: []lease.Ref{{Name: "sweep", Epoch: 44, Renewal: 1, Amount: 1}}},
		{Op: lease.Release, Member: "b", Incarnation: 2, Recipient: "a", Refs: []lease.Ref{{Name: "sweep", Epoch: 44}}},
		{Op: lease.Grant, Name: "clean", Member: "a", Incarnation: 3},
		{Op: lease.Expire, Refs: []lease.Ref{{Name: "clean", Epoch: 45, Renewal: 1}}},
	}
}

// inSnapshot is the number of golden entries that the stored folder's snapshot covers.
const inSnapshot = 8

// goldenTable returns the table after all golden entries.
func goldenTable() *lease.Table {
	return &lease.Table{
		Epoch: 45,
		Leases: map[string]*lease.Lease{
			"report":  {Holder: "a", Incarnation: 3, Epoch: 41, Renewal: 1, Preferred: "b", Revoked: true},
			"roll#1":  {Holder: "b", Incarnation: 2, Epoch: 42, Renewal: 1, HoldUs: 90_000_000},
			"calls/a": {Holder: "a", Incarnation: 3, Epoch: 43, Renewal: 1, Amount: 700},
			"sweep":   {Epoch: 44, Renewal: 2, Preferred: "a"},
			"clean":   {Epoch: 45, Renewal: 1},
		},
		Incarnations: map[string]uint64{"a": 3, "b": 2},
		Addresses:    map[string]string{"a": "10.0.0.1:7000", "b": "10.0.0.2:7000"},
		ReadMarks:    map[string]lease.ReadMark{"a": {Incarnation: 3, Entry: 11}, "b": {Incarnation: 2, Entry: 12}},
	}
}
