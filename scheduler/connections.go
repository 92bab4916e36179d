package scheduler

import "cmp"

const (
	connectFailureGain      = 0.05    // weight of one connect in the share of failed ones
	connectFailureThreshold = 0.01    // share of failed connects from which idle connections are closed
	minKeepIdleRate         = 0.7     // messages a second from which an idle connection is kept
	connectRejectedDelayUs  = 100_000 // first gap before a new connection after a rejected one
	maxIdleGrowthDivisor    = 100     // each use raises the age at which idle connections are closed by 1/100
)

// connectionState is what is known of an endpoint's connections.
type connectionState struct {
	open         int
	limit        int   // while limitedUntil lasts
	limitedUntil int64 // no connection beyond the limit is opened before
	maxIdleUs    int64 // age at which an idle connection is closed; 0: not known
	lastUsedAt   int64
}

// hasFreeStream tells whether a further call finds a connection with a free stream.
func (s *Scheduler) hasFreeStream(ep *endpoint) bool {
	return ep.connections.open*max(1, s.settings.Limits.StreamsPerConnection) > ep.callsInFlight
}

// takeConnection finds a connection for a call that leaves, or opens one.
func (s *Scheduler) takeConnection(ep *endpoint, call *call) {
	connections := &ep.connections
	maxIdleUs := s.maxIdleAgeUs(ep)
	call.idleUs = s.now - connections.lastUsedAt
	if ep.callsInFlight == 0 && connections.open > 0 && call.idleUs > maxIdleUs {
		s.closeIdleConnections(ep)
		call.idleUs = 0
	}
	if !s.hasFreeStream(ep) {
		connections.open++
		call.openedConnection = true
	}
	connections.lastUsedAt = s.now
}

// maxIdleAgeUs is the age at which an idle connection to an endpoint is closed, so that it is not
// lost to a middlebox that drops idle connections.
func (s *Scheduler) maxIdleAgeUs(ep *endpoint) int64 {
	age := cmp.Or(ep.connections.maxIdleUs, never)
	if s.maxIdleUs > 0 && s.now-s.maxIdleLearnedAt < idleResetUs {
		return min(age, s.maxIdleUs)
	}
	s.maxIdleUs = 0
	return age
}

// recordConnectionUse learns from a call how long connections may be idle. It reports whether the
// outcome tells of the connection alone: a reset of one that had been idle.
func (s *Scheduler) recordConnectionUse(call *call, outcome Outcome) bool {
	ep := call.endpoint
	if !outcome.isAmbiguous() {
		ep.connections.lastUsedAt = s.now
		ep.connections.maxIdleUs += ep.connections.maxIdleUs / maxIdleGrowthDivisor
		return false
	}
	wasIdle := call.idleUs > 0 && !call.openedConnection && call.idleUs < s.settings.Limits.KeepAliveUs
	if !wasIdle {
		return false
	}
	reducedUs := call.idleUs * 3 / 4
	ep.connections.maxIdleUs = min(cmp.Or(ep.connections.maxIdleUs, call.idleUs), reducedUs)
	if outcome != OutcomeReset || ep.callsInFlight > 0 {
		return false
	}
	// What drops idle connections is on the way to most endpoints.
	s.maxIdleUs = min(cmp.Or(s.maxIdleUs, call.idleUs), reducedUs)
	s.maxIdleLearnedAt = s.now
	s.closeIdleConnections(ep)
	return true
}

// isConnectionRejection tells whether a rejection is one of the connection, not of the message:
// where answers hold load reports, it comes without one.
func (s *Scheduler) isConnectionRejection(call *call, event *Event) bool {
	return event.Outcome == OutcomeRejected && call.openedConnection &&
		len(event.LoadReport) == 0 && event.RetryAfterMs == 0 &&
		s.settings.LoadReport.Mode == ReportInAnswers
}

// recordConnect updates the share of failed connects of a machine type.
func (s *Scheduler) recordConnect(call *call, outcome Outcome, rejected bool) {
	if !call.openedConnection || !outcome.involvesEndpoint() {
		return
	}
	machineType := call.endpoint.MachineType
	failed := boolToFloat(rejected || outcome == OutcomeConnectFailed)
	s.connectFailureShare[machineType] += (failed - s.connectFailureShare[machineType]) * connectFailureGain
}

// limitConnections keeps an endpoint that rejected a connection at those in use, for a random time
// that grows with each rejection in a row.
func (s *Scheduler) limitConnections(ep *endpoint) {
	ep.connections.open = ep.callsInFlight
	ep.connections.limit = ep.callsInFlight
	streak := &ep.failures[connectFailures]
	streak.record(s.now)
	delayUs := int64(connectRejectedDelayUs) << min(streak.count-1, 4)
	ep.connections.limitedUntil = s.now + int64((0.5+s.rng.Float64())*float64(delayUs))
}

// closeIfRarelyUsed closes idle connections at once where this sender comes rarely: where connects
// fail, and among many senders always, since the endpoint may lack room for the others'.
func (s *Scheduler) closeIfRarelyUsed(ep *endpoint) {
	if ep.callsInFlight > 0 || ep.connections.open == 0 {
		return
	}
	threshold := s.senderFactor - boolToFloat(s.connectFailureShare[ep.MachineType] <= connectFailureThreshold)
	if s.arrivalRate(ep.route) < minKeepIdleRate*threshold {
		s.closeIdleConnections(ep)
	}
}

func (s *Scheduler) closeIdleConnections(ep *endpoint) {
	s.actions = append(s.actions, Action{Kind: CloseIdleConnections, Endpoint: ep.Addr})
	ep.connections.open = 0
}
