package group

import "time"

// The durations of a group, as fractions of the length of a lease. A member sends four heartbeats per
// lease, so three in a row may fail. A member that misses more counts as absent before its leases
// expire, so that the duties are already assigned to other members by then.
const (
	heartbeatIntervalFraction = 0.25 // between two heartbeats of a member
	absentFraction            = 0.75 // without a heartbeat until a member counts as absent
	settleFraction            = 1.0  // a new member is present before duties move to it
	rebalanceDelayFraction    = 2.0  // a new leader waits before it moves duties between members
	grantDelayFraction        = 0.3  // a new leader waits for a heartbeat of each member before it grants free duties
	leaseCheckFraction        = 0.05 // between two checks of the leader for expired leases
	electionTimeoutFraction   = 0.3  // without a leader until a voter stands for election: this to twice this
	stepDownTimeoutFraction   = 0.25 // without contact to a majority until a leader steps down
	commitTimeoutFraction     = 0.02 // maximum wait of a commit for other entries to be sent with it

	entryTimeoutFraction       = 1.0  // for writing a log entry
	replyTimeoutFraction       = 1.0  // for the reply to a heartbeat or a hello
	singleReplyTimeoutFraction = 3.0  // for the reply to a heartbeat on a connection of its own
	dialTimeoutFraction        = 0.5  // for opening a connection for heartbeats
	idleTimeoutFraction        = 10.0 // without a heartbeat until a connection is closed
	retryDelayFraction         = 0.05 // after a failed heartbeat, and between two steps of a first start

	joinFraction            = 4.0  // after its start, a member without a reply still waits to learn what others hold
	unreachableFraction     = 1.0  // without a reply until the leader counts as unreachable
	nameReservationFraction = 2.0  // after its last message, a process still reserves its member name
	recoveringHintFraction  = 2.0  // after its last hint, a recovering destination still delays restarts
	releaseWakeFraction     = 0.1  // between two wake-ups of a member that has to release a duty
	grantWakeFraction       = 0.02 // between two wake-ups of a member that may take a free duty

	maxViewAgeFraction   = 20.0 // until a member requests a new view although nobody has read the old one
	viewInterestFraction = 3.0  // after a view was read, each heartbeat still requests a new one

	peekTimeoutFraction      = 1.0 // for the reply to a peek at the start of a log
	latePeekTimeoutFraction  = 0.5 // for the reply to a later peek
	latePeekIntervalFraction = 1.0 // between two later peeks
	leaveTimeoutFraction     = 1.0 // a leaving member waits for its releases, and for the transfer of leadership
	stableLogFraction        = 4.0 // a log that ran longer than this is restarted with the shortest delay
	nonVoterPollFraction     = 0.1 // between two checks of a member that does not vote
)

// leaseFraction returns a fraction of the length of a lease.
func (g *Group) leaseFraction(fraction float64) time.Duration {
	return time.Duration(fraction * float64(g.opt.Terms.Length))
}

// entryTimeout returns how long writing a log entry may take.
func (g *Group) entryTimeout() time.Duration { return g.leaseFraction(entryTimeoutFraction) }
