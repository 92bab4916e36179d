package scheduler

import "cmp"

const (
	connectFailureGain      = 0.05    // weight of one connect in the share of failed connects
	connectFailureThreshold = 0.01    // share of failed connects above which rarely used connections are closed
	minKeepIdleRate         = 0.7     // messages per second from which an idle connection is kept open
	connectRejectedDelayUs  = 100_000 // initial delay before a new connection after a rejected one
	maxIdleGrowthDivisor    = 100     // each use raises maxIdleUs by 1/100
)

// connectionState describes the connections to an endpoint.
type connectionState struct {
	open         int
	limit        int   // applies until limitedUntil
	limitedUntil int64 // no connection beyond the limit is opened earlier
	maxIdleUs    int64 // idle time after which a connection is closed; 0: unknown
	lastUsedAt   int64
}

// UseConnectionsOnce states that each call opens a connection of its own, which ends with the call.
func (s *Scheduler) UseConnectionsOnce() { s.singleUseConnections = true }

// hasFreeStream reports whether an open connection has a free stream for another call.
func (s *Scheduler) hasFreeStream(ep *endpoint) bool {
	return !s.singleUseConnections &&
		ep.connections.open*max(1, s.settings.Limits.StreamsPerConnection) > ep.callsInFlight
}

// takeConnection assigns an open connection to a new call, or counts a connection that it opens.
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

// releaseConnection counts the connection of an ended call as idle, unless it ends with the call.
func (s *Scheduler) releaseConnection(ep *endpoint) {
	if s.singleUseConnections {
		ep.connections.open = ep.callsInFlight
	}
	s.closeIfRarelyUsed(ep)
}

// maxIdleAgeUs returns the idle time after which a connection to an endpoint is closed, before a
// middlebox silently drops it.
func (s *Scheduler) maxIdleAgeUs(ep *endpoint) int64 {
	age := cmp.Or(ep.connections.maxIdleUs, never)
	if s.maxIdleUs > 0 && s.now-s.maxIdleLearnedAt < idleResetUs {
		return min(age, s.maxIdleUs)
	}
	s.maxIdleUs = 0
	return age
}

// recordConnectionUse learns from the outcome of a call how long connections may stay idle. It reports
// whether the outcome concerns only the connection, and not the route: the reset of an idle connection.
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
	// A middlebox that drops idle connections is usually on the path to most endpoints.
	s.maxIdleUs = min(cmp.Or(s.maxIdleUs, call.idleUs), reducedUs)
	s.maxIdleLearnedAt = s.now
	s.closeIdleConnections(ep)
	return true
}

// isConnectionRejection reports whether a rejection is one of the connection and not of the message.
// Where responses carry load reports, it comes without one.
func (s *Scheduler) isConnectionRejection(call *call, event *Event) bool {
	return event.Outcome == OutcomeRejected && call.openedConnection &&
		len(event.LoadReport) == 0 && event.RetryAfterMs == 0 &&
		s.settings.LoadReport.Mode == ReportInAnswers
}

// recordConnect updates the share of failed connects to a machine type.
func (s *Scheduler) recordConnect(call *call, outcome Outcome, rejected bool) {
	if !call.openedConnection || !outcome.involvesEndpoint() {
		return
	}
	machineType := call.endpoint.MachineType
	failed := boolToFloat(rejected || outcome == OutcomeConnectFailed)
	s.connectFailureShare[machineType] += (failed - s.connectFailureShare[machineType]) * connectFailureGain
}

// limitConnections limits an endpoint that rejected a connection to the connections in use, for a
// random time that grows with each consecutive rejection.
func (s *Scheduler) limitConnections(ep *endpoint) {
	ep.connections.open = ep.callsInFlight
	ep.connections.limit = ep.callsInFlight
	streak := &ep.failures[connectFailures]
	streak.record(s.now)
	delayUs := int64(connectRejectedDelayUs) << min(streak.count-1, 4)
	ep.connections.limitedUntil = s.now + int64((0.5+s.rng.Float64())*float64(delayUs))
}

// closeIfRarelyUsed closes the idle connections to an endpoint to which this sender rarely sends. It
// does so where connects fail, and among many senders always, since the endpoint may not have enough
// connections for all of them.
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
