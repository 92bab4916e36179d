package conntable

import (
	"net/netip"
	"time"
)

// Class is the activity of a connection.
type Class uint8

// The classes. A request is open until its reply has been written.
const (
	Fresh       Class = iota // no complete first frame has arrived, or the handshake is in progress
	Idle                     // no request is open, and the client repeats a request that it sends while this side closes
	Persistent               // no request is open, but the protocol promises that the connection stays open
	Partial                  // no request is open, and part of a frame has arrived
	BusyPartial              // requests are open, and part of a further frame has arrived
	Busy                     // requests are open
	classes     = iota
)

var classNames = [classes]string{"fresh", "idle", "held", "partial", "stuck", "busy"}

// String returns the class's key in the console's reply.
func (c Class) String() string { return classNames[c] }

// Reason is the cause of an eviction, or of the rejection of a new connection.
type Reason uint8

// The reasons.
const (
	ForNewConnection    Reason = iota // evicted to admit a new connection
	NoFirstFrame                      // no complete first frame within Limits.FirstFrameTimeout
	SlowFrame                         // a frame was not complete within Limits.FrameTimeout
	IdleTimeout                       // idle for Limits.IdleTimeout, or for Limits.IdleGrace in a nearly full table
	LimitLowered                      // evicted because a connection limit was lowered
	LimitReached                      // rejected: the limit is reached and no connection may be evicted
	AddressLimitReached               // rejected: its address has too many connections
	reasons             = iota

	notDeferred = ForNewConnection // Entry.reason of a connection whose eviction is not deferred
)

var reasonNames = [reasons]string{
	"for a newcomer", "silent", "slow", "unused", "bound lowered", "no room", "too many of its address",
}

// String returns the reason's key in the console's reply.
func (r Reason) String() string { return reasonNames[r] }

// Owner is the connection that an entry belongs to.
type Owner interface {
	// Evict closes a connection that has been removed from its table.
	Evict(reason Reason)
	// MarkArrived records the position in the peer's byte stream after everything that has arrived. ok is false if
	// that position cannot be determined at present.
	MarkArrived() (ok bool)
	// MarkHandled reports whether all bytes before the recorded position have been handled.
	MarkHandled() bool
}

// Entry is the table's record of one connection, 64 bytes. It is a field of its owner and must not be copied.
type Entry struct {
	prev, next *Entry // neighbors in the list of its class, or in the list of deferred evictions

	table     *Table
	owner     Owner
	enteredAt time.Duration // when it entered its class, on the owner's clock
	source    *source       // nil if the peer's address is unknown
	class     Class
	reason    Reason // of a deferred eviction: the limit that was exceeded; otherwise notDeferred
	marked    bool   // of a deferred eviction: the position of the input at that time was recorded
	inTable   bool
}

// source counts the connections from one address.
type source struct {
	addr  netip.Addr
	conns int
}

// HasUnhandledInput records how much input of a connection has arrived, and reports whether some of it has not been
// handled. Passed to Expire as shouldDefer, it keeps a connection open whose request arrived while the process was
// paused or overloaded.
func HasUnhandledInput(e *Entry) bool {
	e.marked = e.owner.MarkArrived()
	return e.hasUnhandled()
}

// hasUnhandled reports whether input that had arrived at the last call of HasUnhandledInput is still unhandled.
func (e *Entry) hasUnhandled() bool { return !e.marked || !e.owner.MarkHandled() }

// EvictOwner closes an evicted connection; it is passed to Expire as onEvict.
func EvictOwner(e *Entry, reason Reason) { e.owner.Evict(reason) }

// Move records the connection's new class, if it is in a table.
func (e *Entry) Move(newClass Class, now time.Duration) {
	if e.inTable {
		e.table.Move(e, newClass, now)
	}
}

// Remove removes the connection from its table, if it is in one.
func (e *Entry) Remove() {
	if e.inTable {
		e.table.Remove(e)
	}
}

// Owner returns the owner that was passed to Admit.
func (e *Entry) Owner() Owner { return e.owner }

// Class returns the connection's current class.
func (e *Entry) Class() Class { return e.class }

// EnteredAt returns the time at which the connection entered its class.
func (e *Entry) EnteredAt() time.Duration { return e.enteredAt }

// InTable reports whether the connection is in a table.
func (e *Entry) InTable() bool { return e.inTable }
