package amqpfront

import (
	"time"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/connlimit"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/partial"
	"brackendale/internal/net/reactor"
	"brackendale/sender"
)

// FrontName is the name of this front in the journal.
const FrontName = "amqp"

// The limits on clients' resources.
const (
	maxConsumers    = 64      // consumers of one channel
	maxQueues       = 1024    // queues of one virtual host
	maxNameLength   = 128     // length of an ID, an idempotency key or a queue name, in bytes
	maxUnacked      = 256     // unacknowledged answers of one channel, whatever its prefetch limit is
	maxPartialBytes = 4 << 20 // incomplete contents of all clients, in bytes
)

// Options are the settings of an ingress.
type Options struct {
	Policy    *access.Policy // users and virtual hosts
	Heartbeat time.Duration  // the interval proposed to clients
	Channels  int            // maximum number of channels of one connection, 1 to 2047
}

// frameTimeout is the limit on the duration of a handshake, and of a frame from its first byte to its last.
const frameTimeout = 10 * time.Second

// Limits returns the limits of this front's connection table for up to maxConnections connections. Idle connections
// have no time limit, because heartbeats detect dead ones.
func Limits(maxConnections int) conntable.Limits {
	return conntable.Limits{
		MaxConns: maxConnections, PressureShare: 1, FirstFrameTimeout: frameTimeout, FrameTimeout: frameTimeout,
	}
}

// sweepInterval is how often the table is searched for connections over a time limit.
const sweepInterval = 500 * time.Millisecond

// Ingress serves AMQP clients. A publish submits a message, and its confirm means that the message was
// accepted. The final answer is queued on the queue that the message's reply-to names, until a client has
// acknowledged it.
//
// After the loop has started, only its goroutine may call the methods.
type Ingress struct {
	core    *sender.Sender
	reactor *reactor.Reactor
	options Options
	table   *conntable.Table
	limiter *connlimit.Limiter
	policy  *access.Policy
	checker *access.Checker
	hosts   map[string]*host // by name

	blockedReason    string // sent in connection.blocked; empty while there is no backpressure
	uncommittedBytes int    // publishes of all uncommitted transactions
	partialBytes     int    // incomplete contents of all clients
	partialMemory    partial.Budget

	submissions []*sender.Request // the messages of the read that is being handled, all of one client
	answerProps amqp.Props        // reused by answerContent
}

// NewIngress returns an ingress for clients' connections, which are recorded in table, and adds its virtual hosts to
// the core.
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
	in.SetPolicy(options.Policy)
	return in
}

// OverLimitReply is the reply to a new connection over the limit. The specification allows connection.close at any
// time.
var OverLimitReply = amqp.AppendMethod(nil, 0, amqp.ConnClose,
	amqp.ResourceError, "no room for another connection", 0, 0)

// Accept admits a client's connection. At the limit, a connection that has not completed its handshake is evicted, so
// that connections without a login can't exclude others.
func (in *Ingress) Accept(conn *reactor.Conn) reactor.Handler {
	s := &session{ingress: in, amqpConn: newAMQPConn(in.reactor.Loop)}
	s.conn = conn
	if !in.limiter.Admit(&s.Entry, s, conn) {
		if conn.IsTLS() { // a reply would need a TLS handshake
			return nil
		}
		return in.reactor.RejectWith(OverLimitReply)
	}
	return s
}

// Close sends connection.close to all clients, with a reply text that says that the sender is stopping.
func (in *Ingress) Close() {
	in.table.Each(func(e *conntable.Entry) {
		if s, ok := e.Owner().(*session); ok {
			s.closeWith(0, amqp.Errorf(amqp.ConnectionForced, "the sender is stopping"))
		}
	})
}
