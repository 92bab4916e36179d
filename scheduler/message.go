package scheduler

import "brackendale/internal/portablemath"

// requestClass is a class of the settings, with values derived from its idempotency.
type requestClass struct {
	Class
	idempotentByKey bool
	unsafe          bool // a message must not be sent again once it may have run
	index           int  // among the classes of the settings
	repeatRisk      int  // see Class.repeatRisk
	removed         bool // the settings do not have it any more
}

// newRemovedClass returns a class that the settings do not have any more, for a message whose attempt is in
// flight: the attempt may still succeed, but no other one follows.
func newRemovedClass(name string) *requestClass {
	class := newRequestClass(Class{Name: name, Idempotency: NotIdempotent}, -1)
	class.removed = true
	return class
}

// Terms are how often a message may run. They bind it from its acceptance on, whatever the settings of its
// class become.
type Terms struct {
	Idempotency Idempotency
	KeyScope    KeyScope
	KeyWindowUs int64
}

func newRequestClass(class Class, index int) *requestClass {
	return &requestClass{
		Class:           class,
		index:           index,
		idempotentByKey: class.Idempotency == IdempotentByKey,
		unsafe:          class.Idempotency == NotIdempotent,
		repeatRisk:      class.repeatRisk(),
	}
}

// withTerms returns the class with other terms; nil: with its own.
func (class *requestClass) withTerms(terms *Terms) *requestClass {
	if terms == nil || *terms == (Terms{class.Idempotency, class.KeyScope, class.KeyWindowUs}) {
		return class
	}
	changed := class.Class
	changed.Idempotency, changed.KeyScope, changed.KeyWindowUs = terms.Idempotency, terms.KeyScope, terms.KeyWindowUs
	return newRequestClass(changed, class.index)
}

// ExpectTerms sets the terms of the message that the next RequestAccepted event with an id adds.
func (s *Scheduler) ExpectTerms(id string, terms *Terms) { s.expectedTerms[id] = terms }

// takeExpectedTerms returns nil if there are none.
func (s *Scheduler) takeExpectedTerms(id string) *Terms {
	terms := s.expectedTerms[id]
	delete(s.expectedTerms, id)
	return terms
}

// SetTerms sets the terms of a message of a restored state, whose settings may have changed; nil: those of
// its class.
func (s *Scheduler) SetTerms(id string, terms *Terms) {
	msg := s.messages[id]
	if msg == nil || msg.ended {
		return
	}
	msg.class = msg.class.withTerms(terms)
	if msg.call == nil {
		s.setDeadline(msg, s.sendDeadline(msg))
		return
	}
	s.setDeadline(msg, s.resendDeadline(msg))
}

// MarkMayHaveRun records that a message whose attempt is in flight may have run before, at a time, in
// microseconds.
func (s *Scheduler) MarkMayHaveRun(id string, firstRunAt int64) {
	msg := s.messages[id]
	if msg == nil || msg.ended {
		return
	}
	msg.firstRunAt = firstRunAt
	s.setDeadline(msg, s.resendDeadline(msg))
}

// tenant is the token bucket of this sender's share of a tenant's quota.
type tenant struct {
	quotaPerSecond float64
	bucketSize     float64
	tokens         float64
	refilledAt     float64 // in seconds
}

// message is an accepted message that has no final answer yet, or whose last attempt is still in flight.
type message struct {
	id             string
	class          *requestClass
	destination    *destination
	keyQueue       *keyQueue // nil: not ordered by key
	priorityWeight float64

	// Times in microseconds.
	acceptedAt   int64 // 0: accepted by an earlier incarnation
	objectiveAt  int64 // end of the latency objective; the priority weight decays from then on
	deadline     int64
	dueAt        int64 // its time in the deadline queue
	notBefore    int64 // earliest time of the next attempt
	backoffUntil int64 // end of the backoff; a success of the destination does not shorten notBefore below it

	// Attempts.
	call            *call // the one in flight; nil: the message is pending
	attempts        int   // number of attempts so far
	retries         int   // number of attempts that count towards the backoff
	firstRunAt      int64 // send time of the first attempt that may have run; 0: none
	firstRunZone    string
	responseStarted bool
	ended           bool // it has its final answer
}

// valueAt returns what remains of a message's priority weight if it is delivered at a time.
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
		return msg.priorityWeight * max(msg.class.LateValue, portablemath.Exp2(-halvings))
	}
	return msg.priorityWeight * (1 - (1-msg.class.LateValue)*lateUs/float64(max(1, msg.deadline-msg.objectiveAt)))
}

// answerDeadline returns the time by which a message must have its final answer. It is earlier than the
// deadline, since a step may be late by its interval.
func (s *Scheduler) answerDeadline(msg *message) int64 {
	return msg.deadline - 2*s.settings.TickUs - 1000
}

// LastSend returns the latest time at which bytes of an attempt may leave, for a message with a deadline. The
// message may have its final answer from answerDeadline on, which another goroutine decides: the difference
// is the time between the check of an attempt and its write.
func (s *Scheduler) LastSend(deadline int64) int64 {
	return s.answerDeadline(&message{deadline: deadline}) - 2*s.settings.TickUs
}

// resendDeadline returns the latest time at which a message may be sent again: one that may have run only
// within its idempotency window.
func (s *Scheduler) resendDeadline(msg *message) int64 {
	if msg.firstRunAt == 0 || !msg.class.idempotentByKey {
		return s.answerDeadline(msg)
	}
	return min(s.answerDeadline(msg), msg.firstRunAt+msg.class.KeyWindowUs-s.settings.TickUs)
}

// sendDeadline returns the latest time at which an attempt may start and still get its response in time.
func (s *Scheduler) sendDeadline(msg *message) int64 {
	return min(s.resendDeadline(msg),
		s.answerDeadline(msg)-2*s.settings.TickUs-int64(msg.destination.route.latency.baselineUs))
}

// retryAfterTooLong reports whether all routes of a message are in a Retry-After that ends after its send
// deadline.
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

// attemptsExhausted reports whether a message may not be sent again, because of its class, its send
// deadline or its number of attempts.
func (s *Scheduler) attemptsExhausted(msg *message) bool {
	maxAttempts := s.settings.Limits.MaxAttempts
	return msg.class.unsafe && msg.firstRunAt != 0 || s.now >= s.sendDeadline(msg) ||
		maxAttempts > 0 && msg.attempts >= maxAttempts
}

// HasMessage reports whether a message has been accepted and has no final answer yet.
func (s *Scheduler) HasMessage(id string) bool {
	msg := s.messages[id]
	return msg != nil && !msg.ended
}
