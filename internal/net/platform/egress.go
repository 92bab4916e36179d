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

// The defaults of timeouts that the settings omit.
const (
	defaultConnectTimeout = 1500 * time.Millisecond
	defaultIdleTimeout    = 4 * time.Second
)

// idleSettleTime is how long a link is not reused after a response. Surplus data behind that response
// must arrive within this time, or it would be parsed as the next response.
const idleSettleTime = 10 * time.Millisecond

// Egress sends attempts to HTTP/1.1 endpoints. It belongs to the reactor's goroutine.
type Egress struct {
	core    *sender.Sender
	reactor *reactor.Reactor

	connectTimeout time.Duration
	idleTimeout    time.Duration // shorter than the endpoint's keep-alive time, so that this side closes first
	loadFields     []string      // the fields of a load report, in the order of the settings

	idleLinks    map[string][]*link // by endpoint address, the most recently used last
	calls        map[string]*call   // in flight, by message ID; attempts of one bundle share a call
	table        *conntable.Table
	pathFailures pathFailures

	// Gate admits each attempt just before it is written. Other egresses of the same core may share
	// it.
	Gate *admission.Gate
}

// NewEgress returns an Egress whose connections take their descriptors from room.
func NewEgress(
	core *sender.Sender, eventLoop *reactor.Reactor, settings scheduler.Settings, room *conntable.SharedLimit,
) *Egress {
	e := &Egress{
		core:           core,
		reactor:        eventLoop,
		connectTimeout: time.Duration(settings.Limits.ConnectTimeoutUs) * time.Microsecond,
		idleTimeout:    time.Duration(settings.Limits.KeepAliveUs) * time.Microsecond * 9 / 10,
		loadFields:     settings.LoadReport.Fields,
		idleLinks:      map[string][]*link{},
		calls:          map[string]*call{},
		table:          room.NewDialedTable(),
		pathFailures:   pathFailures{},
		Gate:           admission.New(settings),
	}
	if e.connectTimeout <= 0 {
		e.connectTimeout = defaultConnectTimeout
	}
	if e.idleTimeout <= 0 {
		e.idleTimeout = defaultIdleTimeout
	}
	return e
}

// Send starts a call with these attempts on an idle connection or a new one.
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
	if c.link = e.acquire(route, timeoutUs); c.link == nil {
		c.link = &link{}
		c.finish(nil, errNoDescriptor)
		return
	}
	c.link.onSent = func() { e.core.CountAttempts(len(attempts)) }
	c.link.admit = c.admit
	c.link.send(c.finish, c.request(timeoutUs)...)
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
	now := e.core.Now()
	// One microsecond more, since now is rounded down to a microsecond.
	until := now.Add(time.Duration(result.RetryAfterMs)*time.Millisecond) + 1
	e.Gate.SetRetryAfter(route.Endpoint, now, until)
	for c := range e.callsOfRoute(e.Gate.RouteName(route.Endpoint)) {
		if c.link.requestStarted && !c.link.sent() {
			c.link.fail(errNotAdmitted)
		}
	}
}

// Stop closes the gate and ends all calls that were not completely sent. Their outcome is reported
// while the journal is still open, so that the next incarnation may repeat them.
func (e *Egress) Stop() {
	e.Gate.Stop()
	for id, c := range e.calls {
		if c.attempts[0].ID == id && !c.link.sent() {
			c.link.fail(errNotAdmitted)
		}
	}
}

// InFlight returns the number of messages in flight.
func (e *Egress) InFlight() int { return len(e.calls) }

// acquire returns the most recently used idle link to an endpoint, or opens a new one; it returns nil
// if the descriptor budget is used up. An idle link that has received data or the endpoint's close is
// closed.
func (e *Egress) acquire(route sender.Route, timeoutUs int64) *link {
	for _, idle := range slices.Backward(slices.Clone(e.idleLinks[route.Addr])) {
		if e.reactor.Now()-idle.lastResponse < idleSettleTime {
			continue
		}
		e.removeIdle(route.Addr, idle)
		e.reactor.Disarm(&idle.idleTimer)
		idle.onClosed, idle.onReusable = nil, nil
		if idle.addr == route.Dial && idle.conn.AllInputReceived() {
			idle.Move(conntable.Busy, e.reactor.Now())
			return idle
		}
		idle.conn.Close()
	}
	opened := &link{maxResponse: maxEndpointResponse, addr: route.Dial}
	evicted, _, ok := e.table.Admit(&opened.Entry, opened, netip.Addr{}, e.reactor.Now())
	if evicted != nil {
		evicted.Owner().Evict(conntable.ForNewConnection)
	}
	if !ok {
		return nil
	}
	opened.Move(conntable.Busy, e.reactor.Now())
	opened.open(e.reactor, min(e.connectTimeout, time.Duration(timeoutUs)*time.Microsecond))
	return opened
}

// release makes a link idle. It is closed after idleTimeout, before the endpoint would close it.
func (e *Egress) release(addr string, idle *link) {
	if !e.Gate.AcceptsAttempts(addr) {
		idle.conn.Close()
		return
	}
	e.idleLinks[addr] = append(e.idleLinks[addr], idle)
	idle.Move(conntable.Idle, e.reactor.Now())
	e.reactor.Arm(&idle.idleTimer, e.idleTimeout, 0, timers.Func(idle.conn.Close))
	idle.onClosed = func() {
		e.reactor.Disarm(&idle.idleTimer)
		e.removeIdle(addr, idle)
	}
}

// removeIdle removes a link from the idle ones.
func (e *Egress) removeIdle(addr string, idle *link) {
	links := e.idleLinks[addr]
	i := slices.Index(links, idle)
	if i < 0 {
		return
	}
	e.idleLinks[addr] = append(links[:i:i], links[i+1:]...)
	if len(links) == 1 {
		delete(e.idleLinks, addr) // or entries of endpoints that left the list would accumulate
	}
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

// CloseIdle closes the idle connections to an endpoint.
func (e *Egress) CloseIdle(route sender.Route) {
	for _, idle := range e.idleLinks[route.Addr] {
		idle.conn.Close()
	}
	delete(e.idleLinks, route.Addr)
}

// UpdateRoutes applies route changes and closes the idle connections to endpoints that accept no new
// attempts.
func (e *Egress) UpdateRoutes(changed []sender.Route) {
	for _, route := range changed {
		if e.Gate.UpdateEndpoint(route.Endpoint); route.State != scheduler.StatusLive {
			e.pathFailures.reset(route.Addr)
			e.CloseIdle(route)
		}
	}
}
