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

// Proto is the protocol of routes that this egress serves.
const Proto = "http"

// Defaults for limits that the settings leave out.
const (
	defaultConnectTimeout = 1500 * time.Millisecond
	defaultIdleTimeout    = 4 * time.Second
)

// idleSettleTime is how long a link is not reused after a response: surplus data behind the
// response must arrive within it, or it would be taken for the next response.
const idleSettleTime = 10 * time.Millisecond

// Egress carries attempts to HTTP/1.1 endpoints. It belongs to the reactor's goroutine.
type Egress struct {
	core    *sender.Sender
	reactor *reactor.Reactor

	connectTimeout time.Duration
	idleTimeout    time.Duration // below the endpoint's keep-alive time: this side closes first
	loadFields     []string      // the load report's fields, in the order of the settings

	idleLinks map[string][]*link // by endpoint address, the most recently used last
	calls     map[string]*call   // in flight, by message ID; attempts of one bundle share a call
	table     *conntable.Table
	paths     paths

	// Gate admits each attempt just before it is written. Other egresses of the same core may share
	// it.
	Gate *admission.Gate
}

// NewEgress makes the endpoints' side; its connections take their descriptors from room.
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
		paths:          paths{},
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

// Send writes a call to an idle connection, or to a new one.
func (e *Egress) Send(route sender.Route, attempts []sender.Attempt) {
	now := e.core.Now()
	c := &call{
		egress:       e,
		route:        route,
		attempts:     attempts,
		abortOutcome: sender.OutcomeTimedOut,
		admission:    admission.Attempt{Endpoint: route.Endpoint, Deadline: math.MaxInt64},
		extensions:   maxExtensions,
	}
	// The attempts share one call: the longest timeout applies, up to the earliest deadline.
	limitUs := int64(0)
	for _, attempt := range attempts {
		limitUs = max(limitUs, attempt.TimeoutUs)
		c.admission.Deadline = min(c.admission.Deadline, attempt.Deadline)
		if attempt.StartBy != 0 && (c.admission.StartBy == 0 || attempt.StartBy < c.admission.StartBy) {
			c.admission.StartBy = attempt.StartBy
		}
		e.calls[attempt.ID] = c
	}
	limitUs = max(minTimeoutUs, min(limitUs, c.admission.Deadline.Sub(now).Microseconds()))
	onTimeout := timers.Func(func() { c.abort(sender.OutcomeTimedOut) })
	e.reactor.Arm(&c.timer, time.Duration(limitUs)*time.Microsecond, 0, onTimeout)
	if c.link = e.acquire(route, limitUs); c.link == nil {
		c.link = &link{}
		c.finish(nil, errNoDescriptor)
		return
	}
	c.link.onSent = func() { e.core.CountAttempts(len(attempts)) }
	c.link.admit = c.admit
	c.link.send(c.finish, c.request(limitUs)...)
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

// applyRetryAfter records a Retry-After and aborts the route's calls whose request has been started
// but not sent whole: they were admitted before it was known.
func (e *Egress) applyRetryAfter(route sender.Route, result sender.AttemptResult) {
	slotsOnly := result.Outcome == sender.OutcomeNotSent && result.RetryAfterMs == fullRetryAfterMs
	if result.RetryAfterMs <= 0 || slotsOnly {
		return
	}
	now := e.core.Now()
	// One microsecond more, since now is rounded down to one.
	until := now.Add(time.Duration(result.RetryAfterMs)*time.Millisecond) + 1
	e.Gate.SetRetryAfter(route.Endpoint, now, until)
	for c := range e.callsOfRoute(e.Gate.RouteName(route.Endpoint)) {
		if c.link.requestStarted && !c.link.sent() {
			c.link.fail(errNotAdmitted)
		}
	}
}

// Stop closes the gate and ends all calls that have not been sent whole. Their outcome is reported
// while the journal is still open, so the next incarnation may repeat them.
func (e *Egress) Stop() {
	e.Gate.Stop()
	for id, c := range e.calls {
		if c.attempts[0].ID == id && !c.link.sent() {
			c.link.fail(errNotAdmitted)
		}
	}
}

// Out is the number of messages in flight.
func (e *Egress) Out() int { return len(e.calls) }

// acquire returns the most recently used idle link to an endpoint, or opens a new one; nil if no
// descriptor is left. An idle link that has received something, even the endpoint's close, is
// closed.
func (e *Egress) acquire(route sender.Route, limitUs int64) *link {
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
	victim, _, ok := e.table.Admit(&opened.Entry, opened, netip.Addr{}, e.reactor.Now())
	if victim != nil {
		victim.Owner().Evict(conntable.ForNewConnection)
	}
	if !ok {
		return nil
	}
	opened.Move(conntable.Busy, e.reactor.Now())
	opened.open(e.reactor, min(e.connectTimeout, time.Duration(limitUs)*time.Microsecond))
	return opened
}

// release makes a link idle, and closes it before the endpoint would.
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

func (e *Egress) removeIdle(addr string, idle *link) {
	links := e.idleLinks[addr]
	i := slices.Index(links, idle)
	if i < 0 {
		return
	}
	e.idleLinks[addr] = append(links[:i:i], links[i+1:]...)
	if len(links) == 1 {
		delete(e.idleLinks, addr) // endpoints come and go: no empty entries are kept
	}
}

// Cancel aborts an attempt. The attempts of a bundle share their connection: the call ends once all
// of them are canceled, so that an unsafe one that is still wanted is not cut off.
func (e *Egress) Cancel(id string, number int) {
	c := e.calls[id]
	if c == nil {
		return
	}
	known := slices.ContainsFunc(c.attempts, func(attempt sender.Attempt) bool {
		return attempt.ID == id && attempt.Number == number
	})
	if !known || slices.Contains(c.canceled, id) {
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

// UpdateRoutes closes the idle connections to endpoints that take no new attempts.
func (e *Egress) UpdateRoutes(changed []sender.Route) {
	for _, route := range changed {
		if e.Gate.UpdateEndpoint(route.Endpoint); route.State != scheduler.StatusLive {
			e.paths.reset(route.Addr)
			e.CloseIdle(route)
		}
	}
}
