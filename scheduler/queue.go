package scheduler

import (
	"cmp"
	"math"
	"slices"

	"brackendale/internal/portablemath"
)

// Shedding a message that was accepted earlier costs shedCostShare of its priority weight, until
// shedFreeShare of the time to its deadline has passed.
const (
	shedCostShare = 0.3
	shedFreeShare = 0.7
)

// minDrainRate is the minimum rate, in calls per second, at which a route is assumed to drain its queue.
const minDrainRate = 0.3

// enqueue makes a message pending.
func (s *Scheduler) enqueue(msg *message) {
	dest := msg.destination
	dest.pending = append(dest.pending, msg)
	i, found := slices.BinarySearchFunc(s.active, dest.index, func(other *destination, index int) int {
		return other.index - index
	})
	if !found {
		s.active = slices.Insert(s.active, i, dest)
	}
}

// dropIdleDestinations removes destinations without messages from the active ones.
func (s *Scheduler) dropIdleDestinations() {
	s.active = slices.DeleteFunc(s.active, func(dest *destination) bool {
		return len(dest.pending) == 0 && dest.callsInFlight == 0
	})
}

// setDeadline adds a message to the deadline queue, or moves it within the queue.
func (s *Scheduler) setDeadline(msg *message, at int64) {
	s.clearDeadline(msg)
	msg.dueAt = at
	s.deadlines = slices.Insert(s.deadlines, s.deadlineIndex(at+1), msg)
}

// clearDeadline removes a message from the deadline queue, if it is there.
func (s *Scheduler) clearDeadline(msg *message) {
	for i := s.deadlineIndex(msg.dueAt); i < len(s.deadlines) && s.deadlines[i].dueAt == msg.dueAt; i++ {
		if s.deadlines[i] == msg {
			s.deadlines = slices.Delete(s.deadlines, i, i+1)
			return
		}
	}
}

// deadlineIndex returns the index of the first message in the deadline queue that is due at a time or later.
func (s *Scheduler) deadlineIndex(at int64) int {
	i, _ := slices.BinarySearchFunc(s.deadlines, at, func(msg *message, at int64) int {
		return cmp.Compare(msg.dueAt, at)
	})
	return i
}

// handleDeadlines gives the messages whose deadline has passed their final answer.
func (s *Scheduler) handleDeadlines() {
	for len(s.deadlines) > 0 && s.deadlines[0].dueAt <= s.now {
		msg := s.deadlines[0]
		s.deadlines = s.deadlines[1:]
		pending := msg.call == nil
		switch {
		case pending && s.now >= s.sendDeadline(msg) || s.now >= s.answerDeadline(msg):
			s.finishUndelivered(msg)
		case pending:
			s.setDeadline(msg, s.sendDeadline(msg))
		case !msg.ended:
			s.setDeadline(msg, s.answerDeadline(msg))
		}
	}
}

// drainTimeUs estimates the time until all pending messages of a destination have been sent.
func (s *Scheduler) drainTimeUs(dest *destination) float64 {
	rate, waitUs := 0.0, int64(never)
	for _, ep := range dest.endpoints {
		if ep.live && (ep.ownLimit || rate == 0) {
			callRate, routeWaitUs := s.drainRate(ep.route)
			rate += callRate * float64(ep.messagesPerCall+1) / 2
			waitUs = min(waitUs, routeWaitUs)
		}
	}
	if rate == 0 {
		return float64(probeIntervalMaxUs)
	}
	return float64(waitUs) + float64(len(dest.pending))/rate*1e6
}

// drainRate returns the rate, in calls per second, at which a route drains its queue, and the wait before
// it starts.
func (s *Scheduler) drainRate(rt *route) (float64, int64) {
	waitUs := max(0, rt.retryAfterUntil-s.now)
	switch {
	case rt.health.unavailable:
		return s.slowStartRate(rt), max(waitUs, rt.probe.intervalUs)
	case rt.bucket.limited:
		return rt.bucket.rate, waitUs
	}
	return max(rt.throughput.successRateNow(s.now), minDrainRate), waitUs
}

// shedIfFull sheds the least valuable message if a newly accepted message fills the queue, or the new
// message itself if the queue is half full and the message is below the shed level.
func (s *Scheduler) shedIfFull(accepted *message) {
	maxMessages := s.settings.Limits.MaxMessages
	switch {
	case maxMessages == 0:
	case s.acceptedCount > maxMessages-1-maxMessages/24:
		s.shedLeastValuable()
	case s.acceptedCount > maxMessages/2 && s.isBelowShedLevel(accepted):
		s.finishUndelivered(accepted)
	}
}

// shedLeastValuable sheds the pending message with the lowest cost of shedding.
func (s *Scheduler) shedLeastValuable() {
	var leastValuable *message
	lowestCost := math.Inf(1)
	for _, dest := range s.active {
		drainUs := int64(s.drainTimeUs(dest))
		for _, msg := range dest.pending {
			if cost := s.valueAt(msg, s.now+drainUs/2) + s.shedCost(msg); cost < lowestCost {
				lowestCost, leastValuable = cost, msg
			}
		}
	}
	if leastValuable != nil {
		s.shedLevel, s.shedLevelAt = lowestCost-s.shedCost(leastValuable), s.now
		s.finishUndelivered(leastValuable)
	}
}

// isBelowShedLevel reports whether a newly accepted message is worth less than the recently shed messages
// plus the cost of shedding it later. Shedding it now has no such cost.
func (s *Scheduler) isBelowShedLevel(msg *message) bool {
	if s.contention == 0 || msg.acceptedAt != s.now {
		return false
	}
	level := s.shedLevel * portablemath.Exp(float64(s.shedLevelAt-s.now)/arrivalRateDecayUs)
	value := s.valueAt(msg, s.now+int64(s.drainTimeUs(msg.destination)/2))
	return value < level+shedCostShare*msg.priorityWeight
}

// shedCost returns the cost, in addition to its value, of shedding a message that was accepted in an
// earlier step and has not run. With few senders it is zero: only the value decides.
func (s *Scheduler) shedCost(msg *message) float64 {
	acceptedAt := msg.acceptedAt
	if acceptedAt == 0 { // accepted by an earlier incarnation: the earliest possible time
		acceptedAt = msg.deadline - msg.class.DeadlineUs
	}
	nearDeadline := float64(s.now-acceptedAt) >= shedFreeShare*float64(msg.deadline-acceptedAt)
	if s.contention == 0 || msg.acceptedAt == s.now || msg.firstRunAt != 0 || nearDeadline {
		return 0
	}
	return shedCostShare * msg.priorityWeight
}
