package scheduler

import (
	"cmp"
	"math"
)

const (
	timeoutLatencyMultiple = 10.0      // timeout of an attempt, as a multiple of the expected latency
	timeoutTenths          = 6         // maximum tenths of the remaining time for one attempt, so that a retry fits
	minHorizonUs           = 1_000_000 // minimum wait over which the score measures the loss of value
	minLatencySeconds      = 0.02      // lower latencies do not raise a message's score further
)

// call is one request to an endpoint; it carries one or more messages.
type call struct {
	route    *route
	endpoint *endpoint
	messages []*message

	sentAt           int64
	step             int64 // Scheduler.step in which it was started
	idleUs           int64 // idle time of the connection that it reused; 0: none
	size             int   // number of messages sent with it
	unfinished       int   // number of its messages that have no outcome yet
	recorded         bool  // its first outcome has been recorded
	canceled         bool
	openedConnection bool
	afterRejections  bool // the route's last outcomes before it were rejections
}

// candidate is the message of a destination that loses most by waiting, and the endpoint to send it to.
type candidate struct {
	message  *message // nil: no message can be sent now
	endpoint *endpoint
	score    float64 // see Scheduler.score
}

// dispatch sends messages until the limit of concurrent calls is reached or no message can be sent. Of
// all destinations' messages the one that loses most by waiting goes first.
func (s *Scheduler) dispatch() {
	s.countCallsToSlowRoutes()
	for _, dest := range s.active {
		dest.nextCandidate.message, dest.nextDispatchAt = nil, never
		if len(dest.pending) > 0 && s.callsInFlight < s.maxCalls {
			dest.nextCandidate = s.bestMessage(dest, nil)
		}
	}
	for s.callsInFlight < s.maxCalls {
		dest := s.mostUrgentDestination()
		if dest == nil {
			return
		}
		s.sendCall(dest)
		dest.nextCandidate = s.bestMessage(dest, nil)
	}
}

// mostUrgentDestination returns the destination whose best message loses most by waiting, or nil if no
// message can be sent.
func (s *Scheduler) mostUrgentDestination() *destination {
	var urgent *destination
	for _, dest := range s.active {
		if dest.nextCandidate.message != nil && (urgent == nil || dest.nextCandidate.score > urgent.nextCandidate.score) {
			urgent = dest
		}
	}
	return urgent
}

// sendCall sends a destination's best message, and further messages in the same call if it has room.
func (s *Scheduler) sendCall(dest *destination) {
	ep := dest.nextCandidate.endpoint
	for msg := dest.nextCandidate.message; msg != nil; msg = s.bestMessage(dest, ep).message {
		s.send(msg, ep)
		if ep.currentCall.size >= ep.messagesPerCall || s.isProbing(ep.route) {
			return
		}
	}
}

// bestMessage selects the pending message of a destination that loses most by waiting, and its
// endpoint. If batchEndpoint is not nil, it selects a further message for the current call to that
// endpoint.
func (s *Scheduler) bestMessage(dest *destination, batchEndpoint *endpoint) candidate {
	var buffer [16]*endpoint
	usable := buffer[:0]
	if batchEndpoint != nil {
		usable = append(usable, batchEndpoint)
	} else {
		usable = s.appendUsable(usable, dest)
	}
	if len(usable) == 0 || len(dest.pending) == 0 {
		return candidate{}
	}
	horizonUs := max(minHorizonUs, int64(s.drainTimeUs(dest)))
	best := candidate{score: math.Inf(-1)}
	for _, msg := range dest.pending {
		if !s.isReady(msg) {
			continue
		}
		ep := s.chooseEndpoint(msg, usable)
		if ep == nil {
			continue
		}
		score := s.score(msg, ep.route, horizonUs)
		if score > best.score+1e-9 || score > best.score-1e-9 && msg.objectiveAt < best.message.objectiveAt {
			best = candidate{message: msg, endpoint: ep, score: score}
		}
	}
	best.score *= s.messagesForCall(dest, best.endpoint)
	return best
}

// appendUsable appends the endpoints of a destination to which a call may be sent now. For the others it
// updates the destination's nextDispatchAt.
func (s *Scheduler) appendUsable(usable []*endpoint, dest *destination) []*endpoint {
	for _, ep := range dest.endpoints {
		if ok, at := s.maySend(dest, ep); ok {
			usable = append(usable, ep)
		} else {
			dest.nextDispatchAt = min(dest.nextDispatchAt, at)
		}
	}
	return usable
}

// isReady reports whether a message's delay and its key queue allow it to be sent now. If not, it updates
// the destination's nextDispatchAt.
func (s *Scheduler) isReady(msg *message) bool {
	dest := msg.destination
	if msg.notBefore > s.now {
		dest.nextDispatchAt = min(dest.nextDispatchAt, msg.notBefore)
		return false
	}
	if queue := msg.keyQueue; queue != nil && queue.blocks(msg, s.now) {
		dest.nextDispatchAt = min(dest.nextDispatchAt, max(queue.quarantinedUntil, s.now+s.settings.TickUs))
		return false
	}
	return true
}

// score returns the value that a message loses by waiting for the horizon, per second of the route's
// latency. A probe attempt is made with the message for which a lost attempt does least harm.
func (s *Scheduler) score(msg *message, rt *route, horizonUs int64) float64 {
	if s.isProbing(rt) {
		if msg.firstRunAt != 0 {
			return 3e-3
		}
		return 1e-3 * float64(2-msg.class.repeatRisk)
	}
	responseAt := s.now + int64(rt.latency.smoothedUs)
	loss := s.valueAt(msg, responseAt) - s.valueAt(msg, responseAt+horizonUs)
	return loss/max(minLatencySeconds, rt.latency.smoothedUs/1e6) + 1e-3*msg.priorityWeight
}

// messagesForCall returns the number of messages that a call to an endpoint would carry now.
func (s *Scheduler) messagesForCall(dest *destination, ep *endpoint) float64 {
	if ep == nil || ep.messagesPerCall == 1 || s.isProbing(ep.route) {
		return 1
	}
	count := 0
	for _, msg := range dest.pending {
		if msg.notBefore <= s.now {
			count++
		}
		if count == ep.messagesPerCall {
			break
		}
	}
	return float64(max(1, count))
}

// maySend reports whether a call may be sent to an endpoint now. If not, it also returns when to check
// again; never means only after an outcome. Every call is checked here.
func (s *Scheduler) maySend(dest *destination, ep *endpoint) (bool, int64) {
	rt := ep.route
	if !ep.live || dest.callsInFlight >= s.maxCallsPerDestination || s.callsNotOverdue(rt) >= rt.maxInFlight {
		return false, never
	}
	if s.now < rt.retryAfterUntil {
		return false, rt.retryAfterUntil
	}
	if s.now < ep.connections.limitedUntil && ep.callsInFlight >= ep.connections.limit {
		return false, ep.connections.limitedUntil
	}
	probing := s.isProbing(rt)
	if !s.isFailing(rt) && (probing || s.isSlow(rt)) && s.callsToSlowRoutes >= s.maxCallsToSlowRoutes {
		return false, s.now + slowRouteRetryUs
	}
	if probing {
		if at := s.nextProbeAt(rt); s.now < at {
			return false, at
		}
	}
	if at := s.slowStartAvailableAt(rt); s.now < at {
		return false, at
	}
	if ok, at := s.admittedByBucket(rt); !ok {
		return false, at
	}
	return rt.admittedByPeers(s.now)
}

// callsNotOverdue returns the number of a route's calls that count towards its concurrency limit: those
// that are not overdue.
func (s *Scheduler) callsNotOverdue(rt *route) int {
	for i, call := range rt.calls {
		if !s.isOverdue(rt, call.sentAt) {
			return len(rt.calls) - i
		}
	}
	return 0
}

// nextProbeAt returns the earliest time of the next probe attempt. The interval grows with the number
// of calls in flight.
func (s *Scheduler) nextProbeAt(rt *route) int64 {
	inFlight := len(rt.calls)
	if inFlight == 0 {
		return rt.probe.nextAt
	}
	intervalUs := min(probeIntervalMaxUs, s.expectedLatencyUs(rt)<<min(inFlight-1, 4))
	return max(rt.probe.nextAt, rt.lastSendAt+intervalUs)
}

// send starts an attempt of a message, in a new call or in one that was started in this step.
func (s *Scheduler) send(msg *message, ep *endpoint) {
	rt := ep.route
	call := ep.currentCall
	if call == nil || call.step != s.step || call.size >= ep.messagesPerCall || call.unfinished < call.size {
		call = s.startCall(msg.destination, ep)
	}
	s.chargeSlowStart(rt, call)
	call.size++
	call.unfinished++
	call.messages = append(call.messages, msg)
	msg.call = call
	msg.attempts++
	if msg.keyQueue != nil {
		msg.keyQueue.inFlight++
	}
	msg.destination.pending = remove(msg.destination.pending, msg)
	s.actions = append(s.actions, Action{
		Kind: StartAttempt, ID: msg.id, Endpoint: ep.Addr, TimeoutUs: s.attemptTimeoutUs(msg, rt),
	})
}

// startCall starts a call and charges it to the limits of its route.
func (s *Scheduler) startCall(dest *destination, ep *endpoint) *call {
	rt := ep.route
	started := &call{
		route: rt, endpoint: ep, sentAt: s.now, step: s.step,
		afterRejections: rt.health.consecutiveRejections > 0,
	}
	ep.currentCall = started
	rt.calls = append(rt.calls, started)
	rt.takeQuota(s.now)
	if s.now < s.slowStartAvailableAt(rt) {
		s.reportViolation(rt)
	}
	s.reportPhase(rt, reasonElapsed)
	rt.phaseLog.calls++
	s.takeConnection(ep, started)
	s.callsInFlight++
	dest.callsInFlight++
	ep.callsInFlight++
	s.takeToken(rt)
	rt.throughput.recordSend(s.now)
	rt.lastSendAt = s.now
	rt.lastSuccessAt = cmp.Or(rt.lastSuccessAt, s.now)
	return started
}

// attemptTimeoutUs returns the timeout of an attempt. It grows with consecutive timeouts, leaves time
// for a retry, and is longer than the connect timeout, so that a failed connect is not mistaken for a
// lost response.
func (s *Scheduler) attemptTimeoutUs(msg *message, rt *route) int64 {
	remainingUs := max(1, s.answerDeadline(msg)-s.now-2*s.settings.TickUs)
	if msg.class.unsafe || msg.class.Stream {
		return remainingUs
	}
	expectedUs := s.expectedLatencyUs(rt)
	timeoutUs := int64(timeoutLatencyMultiple*float64(expectedUs)) << min(rt.health.consecutiveTimeouts, 4)
	timeoutUs = max(timeoutUs, msg.class.LatencyObjectiveUs, s.settings.Limits.ConnectTimeoutUs+2*expectedUs)
	switch {
	case !msg.class.idempotentByKey:
		timeoutUs = min(timeoutUs, remainingUs*timeoutTenths/10)
	case msg.firstRunAt != 0:
		timeoutUs = remainingUs
	default:
		timeoutUs = min(timeoutUs, msg.class.KeyWindowUs*timeoutTenths/10)
	}
	return max(1, min(timeoutUs, remainingUs))
}

// InFlight returns the attempts in flight, each as its StartAttempt action with the attempt's number.
func (s *Scheduler) InFlight() (list []Action) {
	for id, msg := range s.messages {
		if msg.call != nil {
			list = append(list, Action{
				Kind: StartAttempt, ID: id, Attempt: msg.attempts - 1, Endpoint: msg.call.endpoint.Addr,
			})
		}
	}
	return list
}
