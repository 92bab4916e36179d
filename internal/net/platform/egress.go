package platform

import (
	"iter"
	"math"
	"net/netip"
	"slices"
	"time"

	"brackendale/internal/admission"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/timers"
	"brackendale/scheduler"
	"brackendale/sender"
)

// Proto is the protocol of the routes that this egress serves.
const Proto = "http"

// defaultConnectTimeout is the connect timeout if the settings have none.
const defaultConnectTimeout = 1500 * time.Millisecond

// Egress sends attempts to HTTP/1.1 endpoints, each call on a connection of its own. It belongs to the reactor's
// goroutine.
type Egress struct {
	core    *sender.Sender
	reactor *reactor.Reactor

	connectTimeout time.Duration
	loadFields     []string // the fields of a load report, in the order of the settings

	calls        map[string]*call // in flight, by message ID; attempts of one bundle share a call
	table        *conntable.Table
	pathFailures pathFailures
	connectTime  connectTime

	// Gate admits each attempt just before it is written. Other egresses of the same core may share
	// it.
	Gate *admission.Gate

	// ShareRetryAfter, if set, is called with each Retry-After of a route that arrives here, in milliseconds: another
	// process with attempts in flight to the route must observe it too.
	ShareRetryAfter func(route string, retryAfterMs int64)
}

// NewEgress returns an Egress whose connections take their descriptors from room.
func NewEgress(
	core *sender.Sender, eventLoop *reactor.Reactor, settings scheduler.Settings, room *conntable.SharedLimit,
) *Egress {
	e := &Egress{
		core:           core,
		reactor:        eventLoop,
		connectTimeout: time.Duration(settings.Limits.ConnectTimeoutUs) * time.Microsecond,
		loadFields:     settings.LoadReport.Fields,
		calls:          map[string]*call{},
		table:          room.NewDialedTable(),
		pathFailures:   pathFailures{},
		Gate:           admission.New(settings),
	}
	if e.connectTimeout <= 0 {
		e.connectTimeout = defaultConnectTimeout
	}
	return e
}

// Send starts a call with these attempts.
func (e *Egress) Send(route sender.Route, attempts []sender.Attempt) {
	now := e.core.Now()
	c := &call{
		egress:       e,
		route:        route,
		attempts:     attempts,
		abortOutcome: sender.OutcomeTimedOut,
		admission:    admission.Attempt{Endpoint: route.Endpoint, Deadline: math.MaxInt64},
		abortDelays:  maxAbortDelays,
	}
	// The attempts share one call: the longest timeout applies, up to the earliest deadline.
	timeoutUs := int64(0)
	for _, attempt := range attempts {
		timeoutUs = max(timeoutUs, attempt.TimeoutUs)
		c.admission.Deadline = min(c.admission.Deadline, attempt.Deadline)
		if attempt.StartBy != 0 && (c.admission.StartBy == 0 || attempt.StartBy < c.admission.StartBy) {
			c.admission.StartBy = attempt.StartBy
		}
		e.calls[attempt.ID] = c
	}
	timeoutUs = max(minTimeoutUs, min(timeoutUs, c.admission.Deadline.Sub(now).Microseconds()))
	onTimeout := timers.Func(func() { c.abort(sender.OutcomeTimedOut) })
	e.reactor.Arm(&c.timer, time.Duration(timeoutUs)*time.Microsecond, 0, onTimeout)
	if c.exchange = e.connect(route, timeoutUs); c.exchange == nil {
		c.exchange = &exchange{}
		c.finish(nil, errNoDescriptor)
		return
	}
	c.exchange.onWritten = c.recordLeft
	c.exchange.onSent = c.recordSent
	c.exchange.admit = c.admit
	c.exchange.send(c.finish, c.request(timeoutUs)...)
}

// callsOfRoute yields the calls in flight to the route with this name.
func (e *Egress) callsOfRoute(name string) iter.Seq[*call] {
	return func(yield func(*call) bool) {
		for id, c := range e.calls {
			if c.attempts[0].ID == id && e.Gate.RouteName(c.route.Endpoint) == name && !yield(c) {
				return
			}
		}
	}
}

// applyRetryAfter records a Retry-After and aborts the route's calls whose request was started but not
// completely sent: they were admitted before the Retry-After was known.
func (e *Egress) applyRetryAfter(route sender.Route, result sender.AttemptResult) {
	// A Retry-After with egressFullHeader concerns only this endpoint's connections, not the whole route.
	endpointFull := result.Outcome == sender.OutcomeNotSent && result.RetryAfterMs == fullRetryAfterMs
	if result.RetryAfterMs <= 0 || endpointFull {
		return
	}
	name := e.Gate.RouteName(route.Endpoint)
	if e.ShareRetryAfter != nil {
		e.ShareRetryAfter(name, result.RetryAfterMs)
	}
	e.StartRetryAfter(name, result.RetryAfterMs)
}

// StartRetryAfter observes a Retry-After of a route, in milliseconds from now. It arrived here or at another process.
func (e *Egress) StartRetryAfter(route string, retryAfterMs int64) {
	now := e.core.Now()
	// One microsecond more, since now is rounded down to a microsecond.
	until := now.Add(time.Duration(retryAfterMs)*time.Millisecond) + 1
	e.Gate.SetRetryAfter(route, now, until)
	for c := range e.callsOfRoute(route) {
		if c.exchange.begun() && !c.exchange.sent() {
			c.exchange.fail(errNotAdmitted)
		}
	}
	e.reactor.After(retryAfterGrace, func() { e.abortUntaken(route) })
}

// retryAfterGrace is how long a call that was written before a Retry-After may still arrive: the platform lets calls
// through that come within 100 ms.
const retryAfterGrace = 70 * time.Millisecond

// abortUntaken gives up the calls of a route that its endpoints have not taken whole, if a Retry-After holds: their
// last byte would arrive within it.
func (e *Egress) abortUntaken(route string) {
	if e.core.Now() >= e.Gate.RetryAfterUntil(route) {
		return
	}
	for c := range e.callsOfRoute(route) {
		c.abortUntaken()
	}
}

// Stop closes the gate and ends all calls that were not completely sent. Their outcome is reported
// while the journal is still open, so that the next incarnation may repeat them.
func (e *Egress) Stop() {
	e.Gate.Stop()
	for id, c := range e.calls {
		if c.attempts[0].ID == id && !c.exchange.sent() {
			c.exchange.fail(errNotAdmitted)
		}
	}
}

// InFlight returns the number of messages in flight.
func (e *Egress) InFlight() int { return len(e.calls) }

// connect starts to connect to an endpoint. It returns nil if the descriptor budget is used up.
func (e *Egress) connect(route sender.Route, timeoutUs int64) *exchange {
	timeout := min(e.connectTimeout, time.Duration(timeoutUs)*time.Microsecond)
	x := &exchange{
		maxResponse: maxEndpointResponse, place: endpointPlace, endpoint: route.Addr, events: e.core.Events(),
		discards: true, // no byte of a call that was given up may arrive later
	}
	opened := &dialedConnection{onUp: e.connectTime.observe}
	evicted, _, ok := e.table.Admit(&opened.Entry, opened, netip.Addr{}, e.reactor.Now())
	if evicted != nil {
		evicted.Owner().Evict(conntable.ForNewConnection)
	}
	if !ok {
		return nil
	}
	opened.Move(conntable.Busy, e.reactor.Now())
	x.dial(opened, e.reactor, route.Dial, timeout)
	e.armBackup(x, route, e.reactor.Now()+timeout)
	return x
}

// armBackup opens a further connection if none is established after a while, up to maxBackups. connectBy is when the
// connects time out, in the loop's time.
func (e *Egress) armBackup(call *exchange, route sender.Route, connectBy time.Duration) {
	delay := e.connectTime.backupDelay()
	if len(call.dials) > maxBackups || e.reactor.Now()+delay >= connectBy {
		return
	}
	e.reactor.Arm(&call.backupTimer, delay, 0, timers.Func(func() {
		if call.connected || call.isEnded() || !e.table.HasRoom() {
			return
		}
		opened := &dialedConnection{}
		e.table.Admit(&opened.Entry, opened, netip.Addr{}, e.reactor.Now())
		opened.Move(conntable.Busy, e.reactor.Now())
		call.dial(opened, e.reactor, route.Dial, connectBy-e.reactor.Now())
		e.armBackup(call, route, connectBy)
	}))
}

// Cancel cancels an attempt. The attempts of a bundle share one call, which is aborted only once all of
// them are canceled: an unsafe one that was not canceled must not be interrupted.
func (e *Egress) Cancel(id string, number int) {
	c := e.calls[id]
	if c == nil {
		return
	}
	inFlight := slices.ContainsFunc(c.attempts, func(attempt sender.Attempt) bool {
		return attempt.ID == id && attempt.Number == number
	})
	if !inFlight || slices.Contains(c.canceled, id) {
		return
	}
	if c.canceled = append(c.canceled, id); len(c.canceled) == len(c.attempts) {
		c.abort(sender.OutcomeCanceled)
	}
}

// Abandon gives up the call that carries a message if its endpoint has not taken it whole.
func (e *Egress) Abandon(id string) {
	c := e.calls[id]
	switch {
	case c == nil:
	case !c.exchange.begun():
		c.exchange.fail(errNotAdmitted)
	default:
		c.abortUntaken()
	}
}

// UpdateRoutes applies route changes.
func (e *Egress) UpdateRoutes(changed []sender.Route) {
	for _, route := range changed {
		if e.Gate.UpdateEndpoint(route.Endpoint); route.State != scheduler.StatusLive {
			e.pathFailures.reset(route.Addr)
		}
	}
}
