package amqpfront

import (
	"time"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/connlimit"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/sender"
)

// Front is the name of this front in the journal.
const Front = "amqp"

// The bounds of what clients may hold.
const (
	maxConsumers = 64      // of one channel
	maxQueues    = 1024    // of one virtual host
	maxName      = 128     // bytes of an ID, a key or the name of a queue
	maxUnacked   = 256     // answers of one channel, whatever its prefetch is
	maxPartial   = 4 << 20 // bytes of partial contents of all clients
)

// Options are the settings of an ingress.
type Options struct {
	Policy    *access.Policy // users and virtual hosts
	Heartbeat time.Duration  // offered to clients
	Channels  int            // of one connection, 1 to 2047
}

// frameTimeout bounds the time of a handshake, and that of a frame from its first byte to its last.
const frameTimeout = 10 * time.Second

// Limits returns the connection limits of this front for so many connections. An idle connection stays
// open: it has heartbeats.
func Limits(maxConnections int) conntable.Limits {
	return conntable.Limits{
		MaxConns: maxConnections, PressureShare: 1, FirstFrameTimeout: frameTimeout, FrameTimeout: frameTimeout,
	}
}

// sweepGap is how often the table is searched for connections over a limit.
const sweepInterval = 500 * time.Millisecond

// Ingress serves AMQP clients. A publish submits a message, its confirm says that the message was
// accepted, and the final answer goes to the queue that its reply-to names, until a client has
// acknowledged it.
//
// Once it serves, only the loop's goroutine may call its methods.
type Ingress struct {
	core    *sender.Sender
	reactor *reactor.Reactor
	options Options
	table   *conntable.Table
	limiter *connlimit.Limiter
	policy  *access.Policy
	checker *access.Checker
	hosts   map[string]*host // by name

	blockedReason    string // for connection.blocked; empty while there is no backpressure
	uncommittedBytes int    // of all transactions
	partialBytes     int    // of partial contents

	submissions []*sender.Request // of the read that is being handled, which is one client's
	answerProps amqp.Props        // reused by answerContent
}

// NewIngress makes the clients' side with a table of its own, and joins it to the core.
func NewIngress(core *sender.Sender, react *reactor.Reactor, options Options, table *conntable.Table) *Ingress {
	in := &Ingress{
		core:    core,
		reactor: react,
		options: options,
		table:   table,
		limiter: connlimit.New(react, table, sweepInterval),
		checker: access.NewChecker(),
		hosts:   map[string]*host{},
	}
	in.Follow(options.Policy)
	return in
}

// TurnedAway is sent to a new connection over the limit. The specification allows a close at any time.
var TurnedAway = amqp.AppendMethod(nil, 0, amqp.ConnClose, amqp.ResourceError, "no room for another connection", 0, 0)

// Accept takes a client's connection. At the limit, it replaces a connection that is not open yet, so
// that idle connections can't lock out the others.
func (in *Ingress) Accept(conn *reactor.Conn) reactor.Handler {
	s := &session{ingress: in, peer: newPeer(in.reactor.Loop)}
	s.conn = conn
	if !in.limiter.Admit(&s.Entry, s, conn) {
		if conn.IsTLS() { // a reply would need a TLS handshake
			return nil
		}
		return in.reactor.RejectWith(TurnedAway)
	}
	return s
}

// Close closes all connections with the reply that the sender is stopping.
func (in *Ingress) Close() {
	in.table.Each(func(e *conntable.Entry) {
		if s, ok := e.Owner().(*session); ok {
			s.closeWith(0, amqp.Errorf(amqp.ConnectionForced, "the sender is stopping"))
		}
	})
}
