package group

import "brackendale/internal/lease"

// heartbeat is a member's periodic message to the leader: the duties that it may hold, the leases that
// it releases, and its demand on limits. The order of the fields is that of the wire format.
type heartbeat struct {
	Sequence   uint64                     `json:"n"`
	Address    string                     `json:"at,omitempty"` // at which the member listens for other members
	Weight     float64                    `json:"weight,omitempty"`
	Offers     []string                   `json:"offers,omitempty"` // duties that the member may hold
	Released   []lease.Ref                `json:"back,omitempty"`
	Successors map[string]string          `json:"to,omitempty"` // the next holder, by released duty
	Executions map[string]executionReport `json:"acts,omitempty"`
	Voter      bool                       `json:"voter,omitempty"` // the member's log runs, and it should be a voter
	ReadIndex  uint64                     `json:"index,omitempty"` // last log index that the member has read
	Term       uint64                     `json:"term,omitempty"`
	WantView   bool                       `json:"want,omitempty"`   // requests a view in the reply
	Quotas     map[string]quotaDemand     `json:"shares,omitempty"` // by limit
	Ready      bool                       `json:"ready,omitempty"`  // the member accepts messages
	Claims     []string                   `json:"claims,omitempty"` // those of the offers that come from Group.Claim
	Hints      []Hint                     `json:"hints,omitempty"`
	Command    *command                   `json:"order,omitempty"`
}

// heartbeatReply is the leader's reply, or the reply of another member, which names the leader. The
// order of the fields is that of the wire format.
type heartbeatReply struct {
	Sequence      uint64            `json:"n"`               // of the heartbeat
	WakeUp        bool              `json:"nudge,omitempty"` // not a reply: a notification to send a heartbeat now
	Error         string            `json:"error,omitempty"`
	Leader        string            `json:"leader,omitempty"`
	LeaderAddress string            `json:"at,omitempty"`
	Granted       []lease.Ref       `json:"refs,omitempty"`   // granted or renewed by this heartbeat
	HandOver      map[string]string `json:"hand,omitempty"`   // the recipient, by duty that has to be released
	LowerQuotas   map[string]int64  `json:"shares,omitempty"` // the new amount, by limit whose quota has to be lowered
	QuotaMembers  int               `json:"crowd,omitempty"`  // number of members that use the limits
	Hints         []Hint            `json:"hints,omitempty"`  // of the other members
	ClaimHolders  map[string]string `json:"held,omitempty"`   // the holder, by claimed lease
	CommandError  string            `json:"ordered,omitempty"`
	Admission     *admission        `json:"admit,omitempty"`
	View          *view             `json:"view,omitempty"`
}

// admission is the data with which a readmitted member starts an empty log.
type admission struct {
	Term   uint64 `json:"term"`
	Leader string `json:"leader"`
}

// executionReport is a holder's report on the executions of a duty under the current epoch.
type executionReport struct {
	Number uint64 `json:"n"`             // executions begun
	Error  string `json:"err,omitempty"` // of the last execution
}

// quotaDemand is a member's report on its use of a limit, in the unit of the limit.
type quotaDemand struct {
	Demand int64 `json:"want"`  // the amount that it would use
	Using  int64 `json:"using"` // the maximum amount that it uses now
	Limit  int64 `json:"limit"` // the limit in its settings
}

// operation is the kind of a command.
type operation string

const (
	opHandOver operation = "hand"   // the duty Name goes to the member Recipient
	opRevoke   operation = "revoke" // the lease on Name is not renewed any more
	opLeave    operation = "leave"  // the sender stops voting
	opAdmit    operation = "admit"  // the sender starts again with an empty log
	opRestart  operation = "out"    // the sender gets a restart slot of the rollout Name
)

// command is a request to the leader by an operator or by a member.
type command struct {
	Op            operation `json:"op"`
	Name          string    `json:"name,omitempty"`
	Recipient     string    `json:"to,omitempty"`
	MaxConcurrent int       `json:"at_once,omitempty"` // for opRestart: members that may restart at the same time
	MaxDowntimeUs int64     `json:"hold_us,omitempty"` // for opRestart: microseconds that a restart may take

	done chan error // receives the result; its buffer is 1
}
