package amqpfront

import (
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/conntable"
)

// LimitPartialMemory bounds the memory of all clients' unfinished frames together, in bytes. Beyond it the connections
// whose frames have been unfinished for longest are closed.
func (in *Ingress) LimitPartialMemory(bytes int) { in.partialMemory.Limit = bytes }

// chargePartialMemory charges the memory of the connection's unfinished frame.
func (s *session) chargePartialMemory() {
	capacity := s.partialFrame.Capacity()
	s.ingress.partialMemory.Charge(capacity - s.chargedCapacity)
	s.chargedCapacity = capacity
}

// rejectFrame discards the unfinished frame and closes the connection: with a reason once the handshake is over.
func (s *session) rejectFrame() {
	s.partialFrame.Reset()
	s.chargePartialMemory()
	if s.stage < stageReady || s.stage == stageClosing {
		s.conn.Close()
		return
	}
	s.closeWith(0, amqp.Errorf(amqp.ResourceError, "too many frames are half sent"))
}

// freePartialMemory closes connections with unfinished frames until the others are within the limit. latest is the
// connection that was read last: while it is being closed, the table does not have it any more.
func (in *Ingress) freePartialMemory(latest *session) {
	if in.partialMemory.Exceeded() && latest.stage == stageClosing {
		latest.rejectFrame()
	}
	for in.partialMemory.Exceeded() {
		victim := in.longestUnfinished()
		if victim == nil {
			return
		}
		victim.rejectFrame()
	}
}

// longestUnfinished returns the session whose frame has been unfinished for longest, or nil if there is none. Sessions
// with pending publishes come last.
func (in *Ingress) longestUnfinished() (victim *session) {
	in.table.Each(func(entry *conntable.Entry) {
		s, ok := entry.Owner().(*session)
		if ok && s.partialFrame.Capacity() > 0 && (victim == nil || s.unfinishedBefore(victim)) {
			victim = s
		}
	})
	return victim
}

func (s *session) unfinishedBefore(other *session) bool {
	if pending, otherPending := s.pending > 0, other.pending > 0; pending != otherPending {
		return otherPending
	}
	return s.EnteredAt() < other.EnteredAt()
}
