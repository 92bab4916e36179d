package group

import (
	"context"
	"time"

	"brackendale/internal/lease"

	"github.com/rs/zerolog"
)

// Options configure a member.
type Options struct {
	Name   string            // unique in the group
	Listen string            // the address on which this member listens for other members
	Voters map[string]string // the voters of the first start, with the addresses at which this member reaches them
	Dir    string            // the persistent folder of this package; nothing else may be stored in it
	Terms  lease.Terms
	Weight float64 // the share of duties that it should hold, relative to the other members; 0 counts as 1

	Duties   []Duty
	Limits   []Limit
	Rollouts []Rollout

	// Notes has a text for each duty of the settings for which there is no lease of the same name. The
	// text is shown in place of the state of the lease.
	Notes map[string]string

	// OnHints, if set, is called for each reply of the leader with the hints of the other members, the
	// holders of the leases that this member claims (by lease; it may be this member), and the time on
	// the group's clock until which these holders are valid. It must not block.
	OnHints func(hints []Hint, holders map[string]string, until time.Duration)

	// OnWithdraw, if set, is called with the claimed leases that this member has to give up, again with each
	// reply of the leader until it claims them no more: see Group.Claim. Without it they are released at
	// once. It must not block.
	OnWithdraw func(names []string)

	// OnSuperseded, if set, is called when another member has recorded a later incarnation of this
	// member than its folder has: the folder is an older state. It is called with the group's lock held
	// and must not block. This member does not continue with a later incarnation until recorded has
	// been called, on a goroutine other than the caller's: otherwise, if the process were killed
	// first, its next incarnation would not detect that the folder was an older state.
	OnSuperseded func(incarnation uint64, recorded func())

	// OnIncarnation, if set, is called with each incarnation of this member before another member can see it. It
	// may be called with the group's lock held.
	OnIncarnation func(incarnation uint64)

	Ready func() bool // reports whether this sender accepts messages; nil means that it always does
	Log   zerolog.Logger
	Clock func() time.Duration // monotonic, also while the machine is suspended; nil means Boottime

	store func(logStore) logStore // for tests: wraps the store of the log to inject disk faults
}

// Duty is a periodic task that one member of the group at a time executes. This member may hold it.
type Duty struct {
	Name        string
	Every       time.Duration // between the starts of two executions
	MaxDuration time.Duration // that an execution may take
	RoundRobin  bool          // the duty moves on to the next member after each execution
	Execute     func(ctx context.Context, execution Execution) error
}

// Execution is one execution of a duty. Its context ends after Duty.MaxDuration.
type Execution struct {
	Duty   string
	Member string
	Epoch  uint64
	Number uint64 // counts the executions of each epoch from 1
}

// Limit is a rate limit that all members of the group share. Amounts are integers in a unit that the
// user of this package chooses, such as thousandths of a request per second.
type Limit struct {
	Name   string
	Rate   int64        // of all members together
	Demand func() int64 // returns the amount that this member would use now; it must not block

	// Apply is called with this member's quota, the time on the group's clock until which the quota is
	// valid, and the even share, which is all that this member may use after that time. It must not
	// block.
	Apply func(amount int64, until time.Duration, evenShare int64)
}

// Rollout limits how many members may restart at the same time.
type Rollout struct {
	Name          string
	MaxConcurrent int           // members that may restart at the same time
	MaxDowntime   time.Duration // after which another member may restart even if the first is not back
}
