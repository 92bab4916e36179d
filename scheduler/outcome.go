package scheduler

import (
	"math"
	"slices"
)

// handleOutcome processes the end of an attempt: it updates the state of the route, and then ends the
// message or schedules a retry.
func (s *Scheduler) handleOutcome(msg *message, event *Event) {
	if msg.call == nil || event.Attempt != msg.attempts-1 {
		s.handleControlEvent(event)
		return
	}
	call := msg.call
	s.detachAttempt(msg)
	s.applyRetryAfter(call.route, msg.destination, event)
	if !call.recorded {
		call.recorded = true
		s.recordOutcome(call, event)
		s.reportPhase(call.route, string(event.Outcome))
	}
	s.recordFirstRun(msg, call, event.Outcome)
	s.recordKeyOutcome(msg, event.Outcome)
	switch {
	case msg.ended:
		delete(s.messages, msg.id)
	case event.Final:
		s.removeMessage(msg)
	case msg.responseStarted || msg.class.removed || s.attemptsExhausted(msg) || s.retryAfterTooLong(msg):
		s.finishUndelivered(msg)
	default:
		s.scheduleRetry(msg, event.Outcome)
	}
}

// detachAttempt removes a message from its call. With its last message the call is no longer in flight.
func (s *Scheduler) detachAttempt(msg *message) {
	call := msg.call
	msg.call = nil
	if call.unfinished--; call.unfinished > 0 {
		return
	}
	call.endpoint.callsInFlight--
	msg.destination.callsInFlight--
	s.callsInFlight--
	call.route.calls = remove(call.route.calls, call)
	s.releaseConnection(call.endpoint)
}

// recordFirstRun records when and in which zone a message may have run first.
func (s *Scheduler) recordFirstRun(msg *message, call *call, outcome Outcome) {
	if msg.firstRunAt != 0 || outcome.provesNotRun() {
		return
	}
	msg.firstRunAt, msg.firstRunZone = call.sentAt, call.endpoint.Zone
	if !msg.ended {
		s.setDeadline(msg, s.resendDeadline(msg))
	}
}

// recordOutcome updates the state of a call's route and endpoint. It is called once per call, whatever
// the number of its messages.
func (s *Scheduler) recordOutcome(call *call, event *Event) {
	if event.Outcome.involvesEndpoint() {
		call.route.lastOutcomeAt = s.now
	}
	if s.recordConnectionUse(call, event.Outcome) {
		return
	}
	connectionRejected := s.isConnectionRejection(call, event)
	s.recordConnect(call, event.Outcome, connectionRejected)
	if connectionRejected && !call.route.health.unavailable {
		s.observeRefusal(call.route, call, event)
		s.limitConnections(call.endpoint)
		return
	}
	s.recordLoadReport(call.route, event)
	switch event.Outcome {
	case OutcomeSuccess:
		s.onSuccess(call)
	case OutcomeRejected:
		s.onRejection(call, event)
	case OutcomeConnectFailed:
		s.onConnectFailure(call)
	case OutcomeCanceled:
		call.classFailures().record(s.now)
	case OutcomeTimedOut:
		s.onTimeout(call)
	case OutcomeFailed, OutcomeReset:
		s.onFailure(call)
	}
}

func (s *Scheduler) onSuccess(call *call) {
	s.adjustRetrySpread(call, 1/retrySpreadStep)
	s.recordSuccess(call.route, call)
	ep := call.endpoint
	ep.lastSuccessAt = s.now
	ep.failures[connectFailures].count = 0
	ep.failures[rejections].count = 0
	call.classFailures().count = 0
}

func (s *Scheduler) onRejection(call *call, event *Event) {
	rt, ep := call.route, call.endpoint
	s.observeRefusal(rt, call, event)
	ep.failures[connectFailures].count = 0
	ep.failures[rejections] = failureStreak{count: 1, since: s.now, lastAt: s.now}
	// If headroom is left in the limit, the endpoint rejected because its own queue is full.
	if s.reportedValue(event, reportHeadroom) < limitHeadroomShare || s.hasSharedLimit(rt) {
		s.decreaseRate(rt, call)
		if s.hasSharedLimit(rt) && !rt.health.unavailable { // no evidence about the route's health
			return
		}
	}
	s.adjustRetrySpread(call, retrySpreadStep)
	if call.sentAt >= rt.health.lastFailureAt {
		rt.health.consecutiveRejections++
		s.countFailure(rt, false)
	}
	// Rejections between successes are due to a limit. Only rejections for longer than outageAfterUs are an outage.
	rejectionOutage := float64(rt.health.consecutiveRejections) >= 3*s.senderFactor &&
		s.now-rt.health.failingSince > outageAfterUs
	if rt.health.unavailable || rejectionOutage || event.RetryAfterMs*1000 > outageAfterUs {
		s.markUnavailable(rt)
	}
}

func (s *Scheduler) onConnectFailure(call *call) {
	rt, ep := call.route, call.endpoint
	if ep.lastSuccessAt >= call.sentAt && ep.callsInFlight > 0 { // available, but with a limit of connections
		ep.connections.limit = max(1, ep.callsInFlight)
		ep.connections.limitedUntil = s.now + s.settings.Limits.KeepAliveUs
		ep.connections.open = min(ep.connections.open, ep.callsInFlight)
		return
	}
	ep.connections.open = ep.callsInFlight
	ep.failures[connectFailures].record(s.now)
	if rt.health.unavailable || !s.siblingConnects(ep) {
		s.recordFailure(rt, call, false)
	}
}

// onTimeout also halves the concurrency limit, since the destination may be overloaded.
func (s *Scheduler) onTimeout(call *call) {
	rt := call.route
	rt.maxInFlight = max(1, rt.maxInFlight/2)
	rt.health.consecutiveTimeouts++
	s.onFailure(call)
}

// onFailure records a failure of an attempt that may have run. Continuing failures of one class at one
// endpoint, while the route has successes, are no evidence about the route.
func (s *Scheduler) onFailure(call *call) {
	streak := call.classFailures()
	streak.record(s.now)
	if streak.count == 1 || call.route.throughput.successRateAt <= streak.since {
		s.recordFailure(call.route, call, true)
	}
}

// recordSuccess updates the state of a route after a success.
func (s *Scheduler) recordSuccess(rt *route, call *call) {
	unresponsive := s.unresponsiveSinceStart(rt)
	rt.latency.observe(float64(s.now - call.sentAt))
	// During a Retry-After a success does not end the outage: the response was sent before the Retry-After.
	staysUnavailable := rt.health.unavailable && s.now < rt.retryAfterUntil
	s.suspectOutage(rt)
	rt.gate.ObserveSuccess(s.now, rt.lastSuccessAt)
	if (s.isFailing(rt) || rt.gate.Suspected || unresponsive) && !staysUnavailable {
		s.beginRecovery(rt)
	}
	s.endRetryDelays(rt.destination)
	if !staysUnavailable {
		s.clearFailures(rt)
	}
	s.cancelOvertaken(rt, call)
	rt.lastSuccessAt = s.now
	rt.dropInheritedLimit()
	s.updateFailureShare(rt, 0)
	rt.throughput.recordSuccess(s.now)
	s.raiseMaxInFlight(rt)
	s.updateSlowdown(rt)
	s.increaseRate(rt)
}

// recordLoadReport records the limit that a response advertises, unless the endpoint list has capacity
// hints.
func (s *Scheduler) recordLoadReport(rt *route, event *Event) {
	limit := s.reportedValue(event, reportLimit)
	if limit <= 0 || s.settings.CapacityHints != HintsNone {
		return
	}
	rt.capacityHint = limit / s.senders
	rt.advertisedLimit.Observe(s.now, s.reportedValue(event, reportHeadroom), limit)
	if s.contention > 0 && !rt.bucket.limited {
		s.startSharedBucket(rt)
	}
}

// The values of a load report that the scheduler reads.
const (
	reportHeadroom = "x0" // unused share of the limit
	reportLimit    = "x1" // calls per second
)

// isLimitUsedUp reports whether an outcome tells a limit of which little is left.
func (s *Scheduler) isLimitUsedUp(event *Event) bool {
	return s.reportedValue(event, reportLimit) > 0 && s.reportedValue(event, reportHeadroom) < limitHeadroomShare
}

// reportedValue returns a value of an outcome's load report, or 0 if it is missing or not a positive
// finite number.
func (s *Scheduler) reportedValue(event *Event, name string) float64 {
	value := elementOrZero(event.LoadReport, slices.Index(s.settings.LoadReport.Fields, name))
	if !(value > 0) || math.IsInf(value, 1) {
		return 0
	}
	return value
}

// involvesEndpoint reports whether the endpoint, or the network path to it, determined the outcome.
func (outcome Outcome) involvesEndpoint() bool {
	return outcome != OutcomeCanceled && outcome != OutcomeNotSent
}

// isAmbiguous reports whether the attempt may have run without a response.
func (outcome Outcome) isAmbiguous() bool {
	return outcome == OutcomeCanceled || outcome == OutcomeTimedOut || outcome == OutcomeReset
}

// provesNotRun reports whether the attempt has certainly not run.
func (outcome Outcome) provesNotRun() bool {
	return outcome == OutcomeRejected || outcome == OutcomeConnectFailed || outcome == OutcomeNotSent
}
