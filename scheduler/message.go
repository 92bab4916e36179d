package scheduler

import "math"

// requestClass is a class of the settings, with what follows from its idempotency.
type requestClass struct {
	Class
	idempotentByKey bool
	unsafe          bool // it must not be repeated once it may have run
	index           int  // among the classes of the settings
	repeatRisk      int  // 0: a repeat is harmless; 1: by key; 2: unsafe
}

// tenant is the token bucket of a customer's quota, this sender's part of it.
type tenant struct {
	quotaPerSecond float64
	bucketSize     float64
	tokens         float64
	refilledAt     float64 // in seconds
}

// message is an accepted message without a final answer, or one whose attempt is still in flight.
type message struct {
	id             string
	class          *requestClass
	destination    *destination
	keyQueue       *keyQueue // nil: not ordered by a key
	priorityWeight float64

	// Times in microseconds.
	acceptedAt   int64 // 0: before this incarnation
	objectiveAt  int64 // from then on the priority weight decays
	deadline     int64
	dueAt        int64 // its place in the deadline queue
	notBefore    int64 // the next attempt leaves then at the earliest
	backoffUntil int64 // the part of notBefore that a success does not shorten

	// Attempts.
	call            *call // the one in flight; nil: the message is pending
	attempts        int   // sent so far
	retries         int   // of these, those that count for the backoff
	firstRunAt      int64 // when the first attempt left that may have run; 0: none
	firstRunZone    string
	responseStarted bool
	ended           bool // it has its final answer
}

// valueAt is what is left of a message's priority weight if it is delivered at a time.
func (s *Scheduler) valueAt(msg *message, at int64) float64 {
	switch {
	case at >= msg.deadline:
		return 0
	case at <= msg.objectiveAt:
		return msg.priorityWeight
	}
	lateUs := float64(at - msg.objectiveAt)
	if s.settings.Calls.ValueDecay == DecayHalving {
		halvings := lateUs / float64(max(1, msg.class.LatencyObjectiveUs))
		return msg.priorityWeight * max(msg.class.LateValue, math.Exp2(-halvings))
	}
	return msg.priorityWeight * (1 - (1-msg.class.LateValue)*lateUs/float64(max(1, msg.deadline-msg.objectiveAt)))
}

// answerDeadline is when a message must have its answer: ahead of the deadline by the time between two steps.
func (s *Scheduler) answerDeadline(msg *message) int64 {
	return msg.deadline - 2*s.settings.TickUs - 1000
}

// resendDeadline is the last moment at which a message may be sent again.
func (s *Scheduler) resendDeadline(msg *message) int64 {
	if msg.firstRunAt == 0 || !msg.class.idempotentByKey {
		return s.answerDeadline(msg)
	}
	return min(s.answerDeadline(msg), msg.firstRunAt+msg.class.KeyWindowUs-s.settings.TickUs)
}

// sendDeadline is the last moment at which an attempt may leave and still be answered in time.
func (s *Scheduler) sendDeadline(msg *message) int64 {
	return min(s.resendDeadline(msg),
		s.answerDeadline(msg)-2*s.settings.TickUs-int64(msg.destination.route.latency.baselineUs))
}

// retryAfterTooLong tells whether all routes of a message are in a Retry-After that ends too late for it.
func (s *Scheduler) retryAfterTooLong(msg *message) bool {
	anyLive, latest := false, s.sendDeadline(msg)
	for _, ep := range msg.destination.endpoints {
		if !ep.live {
			continue
		}
		if ep.route.retryAfterUntil <= latest {
			return false
		}
		anyLive = true
	}
	return anyLive
}

// attemptsExhausted tells whether a message may not be sent again, for its class, its time or the
// attempts that it has had.
func (s *Scheduler) attemptsExhausted(msg *message) bool {
	maxAttempts := s.settings.Limits.MaxAttempts
	return msg.class.unsafe && msg.firstRunAt != 0 || s.now >= s.sendDeadline(msg) ||
		maxAttempts > 0 && msg.attempts >= maxAttempts
}

// Holds tells whether a message has been accepted and has no final answer yet.
func (s *Scheduler) Holds(id string) bool {
	msg := s.messages[id]
	return msg != nil && !msg.ended
}
