package platform

import (
	"errors"

	"brackendale/internal/net/conntable"
)

var errPartialMemory = errors.New("ERR too many unfinished commands")

// LimitPartialMemory bounds the memory of all clients' unfinished commands together, in bytes. Beyond it the clients
// whose commands have been unfinished for longest get an error, and their connections are closed.
func (in *Ingress) LimitPartialMemory(bytes int) { in.partialMemory.Limit = bytes }

// appendToBuffer appends received bytes to the unfinished command. The result is valid until the buffer changes.
func (cl *client) appendToBuffer(received []byte) []byte {
	before := cl.buffer.Capacity()
	unparsed := cl.buffer.Append(received)
	cl.ingress.partialMemory.Charge(cl.buffer.Capacity() - before)
	return unparsed
}

// storeInBuffer stores what is left of the unfinished command; nothing if tail is empty.
func (cl *client) storeInBuffer(tail []byte) {
	before := cl.buffer.Capacity()
	cl.buffer.Store(tail)
	cl.ingress.partialMemory.Charge(cl.buffer.Capacity() - before)
}

// freePartialMemory rejects unfinished commands until the others are within their limit.
func (in *Ingress) freePartialMemory() {
	for in.partialMemory.Exceeded() {
		victim := in.longestUnfinished()
		if victim == nil {
			return
		}
		victim.rejectCommand(errPartialMemory)
	}
}

// longestUnfinished returns the client whose command has been unfinished for longest, or nil if there is none. Clients
// that wait for replies come last: their requests would be withdrawn.
func (in *Ingress) longestUnfinished() (victim *client) {
	in.table.Each(func(entry *conntable.Entry) {
		cl, ok := entry.Owner().(*client)
		if ok && cl.buffer.Capacity() > 0 && (victim == nil || cl.unfinishedBefore(victim)) {
			victim = cl
		}
	})
	return victim
}

func (cl *client) unfinishedBefore(other *client) bool {
	if waits, otherWaits := len(cl.replies) > 0, len(other.replies) > 0; waits != otherWaits {
		return otherWaits
	}
	return cl.EnteredAt() < other.EnteredAt()
}
