package conntable

import (
	"net/netip"
	"time"
)

// Class is what a connection is doing.
type Class uint8

// The classes. A request is open until its answer was written.
const (
	Fresh   Class = iota // it has sent no complete first frame, or is in its handshake
	Idle                 // no request is open, and its client repeats a request that crosses the close
	Held                 // no request is open, but its protocol promises that the connection stays
	Partial              // no request is open, and a frame has come in part
	Stuck                // requests are open, and a frame has come in part
	Busy                 // requests are open
	classes = iota
)

var classNames = [classes]string{"fresh", "idle", "held", "partial", "stuck", "busy"}

// String is the class's key in the console's reply.
func (c Class) String() string { return classNames[c] }

// Reason is why a connection was evicted, or a newcomer not admitted.
type Reason uint8

// The reasons.
const (
	ForNewcomer Reason = iota // evicted for a newcomer
	Silent                    // no complete first frame within Limits.First
	Slow                      // a frame was not complete within Limits.Whole
	Unused                    // idle for Limits.Unused, or for Limits.Patience while little room is left
	Lowered                   // the bound has been lowered
	Full                      // a newcomer: there is no room and nobody may be evicted
	Crowd                     // a newcomer: its address has too many connections
	reasons     = iota

	notSpared = ForNewcomer // in place of a limit, in the record of a connection that is not spared
)

var reasonNames = [reasons]string{
	"for a newcomer", "silent", "slow", "unused", "bound lowered", "no room", "too many of its address",
}

// String is the reason's key in the console's reply.
func (r Reason) String() string { return reasonNames[r] }

// Owner is the connection that a record belongs to.
type Owner interface {
	// Evict closes a connection that has left its table.
	Evict(why Reason)
	// MarkArrived marks the place in the peer's byte stream behind all that has arrived. known is false where that
	// cannot be told for the moment.
	MarkArrived() (known bool)
	// MarkHandled tells whether all bytes before the mark were handled.
	MarkHandled() bool
}

// Entry is one connection's record, 64 bytes. It is a field of its owner and must not be copied.
type Entry struct {
	prev, next *Entry // neighbors in the list of its class, or of the spared ones

	table   *Table
	owner   Owner
	since   time.Duration // when it entered its class, on the owner's clock
	origin  *origin       // nil where the address is not known
	class   Class
	why     Reason // of a spared one: the limit; notSpared
	marked  bool   // of a spared one: what had arrived at its limit is marked
	inTable bool
}

// origin counts the connections of one address.
type origin struct {
	addr  netip.Addr
	conns int
}

// Unread marks what has arrived of a connection, and tells whether some of it was not handled yet. Given to Expire as
// keep, it spares a connection whose request arrived while the process paused or was overrun.
func Unread(e *Entry) bool {
	e.marked = e.owner.MarkArrived()
	return e.unread()
}

// unread tells whether bytes are unhandled that had arrived when Unread was called last.
func (e *Entry) unread() bool { return !e.marked || !e.owner.MarkHandled() }

// End evicts a connection; given to Expire as end.
func End(e *Entry, why Reason) { e.owner.Evict(why) }

// Move records what the connection does from now on, if it is in a table.
func (e *Entry) Move(to Class, now time.Duration) {
	if e.inTable {
		e.table.Move(e, to, now)
	}
}

// Remove takes the connection out of its table, if it is in one.
func (e *Entry) Remove() {
	if e.inTable {
		e.table.Remove(e)
	}
}

// Owner is the owner that Admit was given.
func (e *Entry) Owner() Owner { return e.owner }

// Class is what the connection is doing.
func (e *Entry) Class() Class { return e.class }

// Since is when it entered its class.
func (e *Entry) Since() time.Duration { return e.since }

// In tells whether the connection is in a table.
func (e *Entry) In() bool { return e.inTable }
