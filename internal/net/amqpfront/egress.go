package amqpfront

import (
	"cmp"
	"crypto/tls"
	"net"
	"net/netip"
	"time"

	"brackendale/internal/admission"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/timers"
	"brackendale/scheduler"
	"brackendale/sender"
)

// Proto is the protocol of the routes that this egress serves.
const Proto = "amqp"

// defaultConnectTimeout is used if NewEgress is called without a timeout.
const defaultConnectTimeout = 1500 * time.Millisecond

// Egress publishes attempts to brokers. Attempts of idempotent classes share channels, on which publishes are
// pipelined. Any other attempt has a channel of its own while it is in flight, so that it is not affected when
// another attempt is given up or the broker closes another attempt's channel.
//
// After the loop has started, only its goroutine may call the methods.
type Egress struct {
	core           *sender.Sender
	reactor        *reactor.Reactor
	connectTimeout time.Duration
	connections    *conntable.Table

	links      map[linkKey]*brokerLink
	attempts   map[string]*publishAttempt // without an outcome, by message ID
	tlsByRoute map[string]*tls.Config

	// Gate decides whether a publish may still be sent, just before it is. Other egresses of the same core may
	// share it.
	Gate *admission.Gate
}

// NewEgress returns an egress whose connections are bounded by room.
// A connectTimeout of 0 or less means the default.
func NewEgress(
	core *sender.Sender, react *reactor.Reactor, connectTimeout time.Duration, room *conntable.SharedLimit,
) *Egress {
	if connectTimeout <= 0 {
		connectTimeout = defaultConnectTimeout
	}
	return &Egress{
		core:           core,
		reactor:        react,
		connectTimeout: connectTimeout,
		connections:    room.NewDialedTable(),
		links:          map[linkKey]*brokerLink{},
		attempts:       map[string]*publishAttempt{},
		Gate:           admission.New(scheduler.Settings{}),
	}
}

// InFlight returns the number of attempts without an outcome.
func (e *Egress) InFlight() int { return len(e.attempts) }

// SetTLSConfigs sets the TLS configurations by route. It does not affect open connections.
func (e *Egress) SetTLSConfigs(byRoute map[string]*tls.Config) { e.tlsByRoute = byRoute }

// Send publishes each attempt as a message of its own.
func (e *Egress) Send(route sender.Route, attempts []sender.Attempt) {
	target, err := amqp.ParseURL(route.Dial)
	for _, attempt := range attempts {
		p := &publishAttempt{
			egress:    e,
			attempt:   attempt,
			routeAddr: route.Addr,
			target:    target,
			shareable: attempt.Effect == scheduler.Idempotent,
			admission: admission.Attempt{
				Endpoint: route.Endpoint,
				StartBy:  attempt.StartBy,
				Deadline: attempt.Deadline,
			},
		}
		e.attempts[attempt.ID] = p
		if err != nil { // URLs of the configuration are validated on load, those of a registry are not
			p.report(sender.OutcomeConnectFailed)
			continue
		}
		p.start()
	}
}

// Cancel gives up an attempt of a message, by its attempt number.
func (e *Egress) Cancel(id string, number int) {
	if p := e.attempts[id]; p != nil && p.attempt.Number == number {
		p.giveUp(sender.OutcomeCanceled)
	}
}

// Abandon gives up the publish of a message if its broker has not taken it whole.
func (e *Egress) Abandon(id string) {
	p := e.attempts[id]
	switch {
	case p == nil:
	case p.channel == nil, !p.sent():
		p.giveUp(sender.OutcomeNotSent)
	case p.link.conn.UnsentBytes() > 0:
		p.giveUpOutcome = cmp.Or(p.giveUpOutcome, sender.OutcomeCanceled)
		p.abandon()
	}
}

// closeIdle closes the connection to a route's target if no attempt uses it.
func (e *Egress) closeIdle(route sender.Route) {
	target, err := amqp.ParseURL(route.Dial)
	if err != nil {
		return
	}
	if link := e.links[newLinkKey(route.Addr, target)]; link != nil && link.idle() {
		link.closeIdle()
	}
}

// UpdateRoutes passes changed endpoints to the gate, and closes idle connections to those that accept no new
// attempts.
func (e *Egress) UpdateRoutes(changed []sender.Route) {
	for _, route := range changed {
		if e.Gate.UpdateEndpoint(route.Endpoint); route.State != scheduler.StatusLive {
			e.closeIdle(route)
		}
	}
}

// Stop prevents any further publish. The attempts that still wait for a channel are reported as not
// sent, which does not count against the broker.
func (e *Egress) Stop() {
	e.Gate.Stop()
	for _, p := range e.attempts {
		if p.channel == nil {
			p.link.removeWaiting(p)
			p.report(sender.OutcomeNotSent)
		}
	}
}

// linkKey is the key of a connection: everything that is fixed when it is opened. Targets that differ only in
// exchange and routing key share a connection.
type linkKey struct {
	addr     string
	vhost    string
	user     string
	password string
	tlsRoute string // the route whose TLS configuration it uses; empty without TLS
}

func newLinkKey(route string, target amqp.Target) linkKey {
	key := linkKey{addr: target.Addr, vhost: target.VHost, user: target.User, password: target.Password}
	if target.TLS {
		key.tlsRoute = route
	}
	return key
}

// linkTo returns the connection to a target, and dials one if there is none. It returns nil if no descriptor is
// available.
func (e *Egress) linkTo(route string, target amqp.Target) *brokerLink {
	key := newLinkKey(route, target)
	if link := e.links[key]; link != nil {
		return link
	}
	link := &brokerLink{amqpConn: newAMQPConn(e.reactor.Loop), egress: e, key: key, target: target}
	victim, _, ok := e.connections.Admit(&link.Entry, link, netip.Addr{}, e.reactor.Now())
	if victim != nil {
		victim.Owner().Evict(conntable.ForNewConnection)
	}
	if !ok {
		return nil
	}
	e.links[key] = link
	link.conn = e.dial(route, target, link)
	// No byte of a publish that was given up may arrive later.
	link.conn.DiscardUnsentOnClose()
	e.reactor.Arm(&link.timer, 2*e.connectTimeout, timers.CoarseSlack, link) // for the connect and the handshake
	return link
}

// dial opens the transport of a connection, with TLS if the target requires it.
func (e *Egress) dial(route string, target amqp.Target, link *brokerLink) *reactor.Conn {
	if !target.TLS {
		return e.reactor.Dial(target.Addr, e.connectTimeout, link)
	}
	config := e.tlsByRoute[route]
	if config == nil { // a route of an endpoint list, without configured keys: use the system's certificate authorities
		host, _, _ := net.SplitHostPort(target.Addr)
		config = &tls.Config{ServerName: host, MinVersion: tls.VersionTLS12}
	}
	return e.reactor.DialTLS(target.Addr, e.connectTimeout, config, link)
}
