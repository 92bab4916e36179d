package amqpfront

import (
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

// Proto is the protocol of routes that this egress serves.
const Proto = "amqp"

// defaultConnectTimeout applies where NewEgress is given none.
const defaultConnectTimeout = 1500 * time.Millisecond

// Egress publishes attempts to brokers. Attempts of idempotent classes share channels, one publish
// behind another. An unsafe one has a channel of its own while it is in flight, so that giving up
// another attempt, or a channel closed by the broker, never affects it.
//
// Once it serves, only the loop's goroutine may call its methods.
type Egress struct {
	core           *sender.Sender
	reactor        *reactor.Reactor
	connectTimeout time.Duration
	connections    *conntable.Table

	links      map[string]*brokerLink     // by linkKey
	attempts   map[string]*publishAttempt // without an outcome, by message ID
	tlsByRoute map[string]*tls.Config

	// Gate judges each publish at the last instant. Other egresses of the same core may share it.
	Gate *admission.Gate
}

// NewEgress makes the brokers' side; its connections take their descriptors from room.
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
		links:          map[string]*brokerLink{},
		attempts:       map[string]*publishAttempt{},
		Gate:           admission.New(scheduler.Settings{}),
	}
}

// Out is the number of attempts without an outcome.
func (e *Egress) Out() int { return len(e.attempts) }

// Secure sets the TLS configuration of each route's connections. Open connections stay as they are.
func (e *Egress) Secure(byRoute map[string]*tls.Config) { e.tlsByRoute = byRoute }

// Send publishes attempts, each by itself.
func (e *Egress) Send(to sender.Route, attempts []sender.Attempt) {
	target, err := amqp.ParseURL(to.Dial)
	for _, attempt := range attempts {
		p := &publishAttempt{
			egress:    e,
			attempt:   attempt,
			route:     to.Addr,
			target:    target,
			shareable: e.core.Class(attempt.Class).Idempotency == scheduler.Idempotent,
			admission: admission.Attempt{
				Endpoint: to.Endpoint,
				StartBy:  attempt.StartBy,
				Deadline: attempt.Deadline,
			},
		}
		e.attempts[attempt.ID] = p
		if err != nil { // the configuration's URLs are validated on load, a registry's are not
			p.report(sender.OutcomeConnectFailed)
			continue
		}
		p.start()
	}
}

// Cancel gives up the attempt with this number of the message.
func (e *Egress) Cancel(id string, number int) {
	if p := e.attempts[id]; p != nil && p.attempt.Number == number {
		p.giveUp(sender.OutcomeCanceled)
	}
}

// CloseIdle closes the connection to a target if no attempt uses it.
func (e *Egress) CloseIdle(to sender.Route) {
	target, err := amqp.ParseURL(to.Dial)
	if err != nil {
		return
	}
	if link := e.links[linkKey(to.Addr, target)]; link != nil && link.idle() {
		link.closeIdle()
	}
}

// UpdateRoutes closes idle connections to endpoints that take no new attempts.
func (e *Egress) UpdateRoutes(changed []sender.Route) {
	for _, route := range changed {
		if e.Gate.UpdateEndpoint(route.Endpoint); route.State != scheduler.StatusLive {
			e.CloseIdle(route)
		}
	}
}

// Stop lets no further publish leave. The attempts that still wait for a channel are reported as not
// sent, which says nothing of the broker.
func (e *Egress) Stop() {
	e.Gate.Stop()
	for _, p := range e.attempts {
		if p.channel == nil {
			p.link.removeWaiting(p)
			p.report(sender.OutcomeNotSent)
		}
	}
}

// linkKey tells connections apart by everything that is settled before the first publish.
func linkKey(route string, target amqp.Target) string {
	key := target.Addr + target.VHost + target.User
	if target.TLS { // the TLS configuration belongs to the route
		key += "\x00" + route
	}
	return key
}

// linkTo returns the connection to a target and dials it where there is none. It returns nil when no
// descriptor is left for it.
func (e *Egress) linkTo(route string, target amqp.Target) *brokerLink {
	key := linkKey(route, target)
	if link := e.links[key]; link != nil {
		return link
	}
	link := &brokerLink{peer: newPeer(e.reactor.Loop), egress: e, key: key, target: target}
	victim, _, ok := e.connections.Admit(&link.Entry, link, netip.Addr{}, e.reactor.Now())
	if victim != nil {
		victim.Owner().Evict(conntable.ForNewConnection)
	}
	if !ok {
		return nil
	}
	e.links[key] = link
	link.conn = e.dial(route, target, link)
	e.reactor.Arm(&link.timer, 2*e.connectTimeout, timers.CoarseSlack, link) // for the connect and the handshake
	return link
}

func (e *Egress) dial(route string, target amqp.Target, link *brokerLink) *reactor.Conn {
	if !target.TLS {
		return e.reactor.Dial(target.Addr, e.connectTimeout, link)
	}
	config := e.tlsByRoute[route]
	if config == nil { // an endpoint list without keys: the machine's certificate authorities decide
		host, _, _ := net.SplitHostPort(target.Addr)
		config = &tls.Config{ServerName: host, MinVersion: tls.VersionTLS12}
	}
	return e.reactor.DialTLS(target.Addr, e.connectTimeout, config, link)
}
