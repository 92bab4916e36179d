package scheduler

import "brackendale/internal/portablemath"

// acceptRequest adds an accepted message: a new one, or one that was accepted before a restart.
func (s *Scheduler) acceptRequest(event *Event) {
	class, terms := s.classes[event.Class], s.takeExpectedTerms(event.ID)
	if class == nil {
		s.finishWithoutClass(event)
		return
	}
	msg := s.newMessage(event, class.withTerms(terms))
	s.joinKeyQueue(msg, event)
	s.messages[msg.id] = msg
	s.acceptedCount++
	s.countArrival(msg, event)
	s.delayFirstAttempt(msg, event)
	s.enqueue(msg)
	s.setDeadline(msg, s.sendDeadline(msg))
	if msg.attempts > 0 && s.attemptsExhausted(msg) || s.retryAfterTooLong(msg) {
		s.finishUndelivered(msg)
		return
	}
	msg.keyQueue.sortDelays()
	s.shedIfFull(msg)
}

// finishWithoutClass gives a message its final answer whose class is not in the settings, for example one
// that an earlier incarnation accepted under another configuration. One that may have run fails: a
// rejection would tell the client that it did not.
func (s *Scheduler) finishWithoutClass(event *Event) {
	action := Action{Kind: Reject, ID: event.ID}
	if event.FirstRunUs != 0 {
		action.Kind = Fail
	}
	s.actions = append(s.actions, action)
}

// newMessage returns the message of a RequestAccepted event and charges it to its tenant's quota.
func (s *Scheduler) newMessage(event *Event, class *requestClass) *message {
	objectiveUs := class.LatencyObjectiveUs + int64(class.ObjectivePerWork*float64(event.WorkUs))
	msg := &message{
		id:             event.ID,
		class:          class,
		destination:    s.destination(event.Destination),
		priorityWeight: class.PriorityWeight,
		objectiveAt:    min(event.Deadline, event.Deadline-class.DeadlineUs+objectiveUs),
		deadline:       event.Deadline,
		attempts:       event.Attempts,
		retries:        event.Attempts,
		firstRunAt:     event.FirstRunUs,
		firstRunZone:   event.Zone,
	}
	if tenant := s.tenants[event.Tenant]; tenant != nil && !event.Restored && !tenant.takeToken(s.now) {
		msg.priorityWeight *= s.settings.OverQuotaWeight
	}
	return msg
}

// takeToken charges a message to the tenant's quota. It reports false if the quota is exhausted.
func (t *tenant) takeToken(now int64) bool {
	if t.quotaPerSecond <= 0 {
		return true
	}
	seconds := float64(now) / 1e6
	t.tokens = min(t.bucketSize, t.tokens+t.quotaPerSecond*(seconds-t.refilledAt))
	t.refilledAt = seconds
	if t.tokens--; t.tokens < 0 {
		t.tokens++
		return false
	}
	return true
}

// countArrival counts a message in its destination's arrival rate. Messages restored after a restart
// were counted when they first arrived.
func (s *Scheduler) countArrival(msg *message, event *Event) {
	if event.Restored {
		return
	}
	dest := msg.destination
	dest.arrivalRate = dest.arrivalRate*portablemath.Exp(float64(dest.arrivalRateAt-s.now)/arrivalRateDecayUs) +
		1e6/arrivalRateDecayUs
	dest.arrivalRateAt = s.now
	msg.acceptedAt = s.now
}

// delayFirstAttempt sets the earliest time of a message's first attempt. A restored message is delayed
// by at most half of the time until its send deadline.
func (s *Scheduler) delayFirstAttempt(msg *message, event *Event) {
	msg.notBefore = s.now + s.retryDelay(msg.destination)
	if event.Restored {
		msg.notBefore = max(msg.notBefore, s.startedAt+s.recovery.BacklogDelay())
		msg.notBefore = min(msg.notBefore, s.now+max(0, s.sendDeadline(msg)-s.now)/2)
	}
}

// finishUndelivered gives an undelivered message its final answer. A rejection promises the client
// that it may safely send the message again. Without that certainty the final answer is failed.
func (s *Scheduler) finishUndelivered(msg *message) {
	action := Action{Kind: Fail, ID: msg.id}
	notRun := msg.firstRunAt == 0 && msg.call == nil
	repeatable := !msg.class.unsafe && (!msg.class.idempotentByKey || msg.class.KeyScope == KeyScopeAll)
	if notRun || repeatable {
		action.Kind = Reject
		if s.settings.Limits.CanSendRetryAfter {
			waitUs := int64(s.drainTimeUs(msg.destination) / 2)
			action.RetryAfterUs = s.recovery.RetryAfter(waitUs, s.settings.Limits.MaxRetryAfterUs)
		}
	}
	s.removeMessage(msg)
	s.actions = append(s.actions, action)
}

// removeMessage drops a message that has its final answer. While an attempt is in flight, the message
// stays in s.messages so that the outcome can be recorded.
func (s *Scheduler) removeMessage(msg *message) {
	msg.ended = true
	s.acceptedCount--
	s.clearDeadline(msg)
	msg.destination.pending = remove(msg.destination.pending, msg)
	if msg.keyQueue != nil {
		msg.keyQueue.messages = remove(msg.keyQueue.messages, msg)
	}
	if msg.call == nil {
		delete(s.messages, msg.id)
	}
}
