package amqpfront

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/conns"
	"brackendale/internal/net/door"
	"brackendale/internal/net/reactor"
	"brackendale/internal/timers"
	"brackendale/sender"
)

// Front is the name of this front in the spool.
const Front = "amqp"

// The bounds of what clients may hold.
const (
	maxConsumers = 64 // of one channel
	maxQueues    = 1024
	maxName      = 128 // bytes of an id, a key or the name of a queue
	maxUnacked   = 256 // answers out on one channel at most, whatever prefetch says
)

// Options is what an ingress is told.
type Options struct {
	Policy    *access.Policy // users and virtual hosts
	Heartbeat time.Duration  // offered to clients
	Channels  int            // of one connection, 1 to 2047
}

// Limits are the front's for so many connections. A handshake and a frame have 10 s each. A connection that has
// opened stays: its heartbeats were agreed on.
func Limits(most int) conns.Limits {
	const limit = 10 * time.Second
	return conns.Limits{Most: most, Keep: 1, First: limit, Whole: limit}
}

// sweepGap is how often the table is asked whether a connection has gone over a limit.
const sweepGap = 500 * time.Millisecond

// Ingress serves AMQP clients. A publish is a message handed in, its confirm says that it was taken on,
// and its one final answer goes to the queue that its reply-to names, until a client has acknowledged it.
type Ingress struct {
	core    *sender.Sender
	r       *reactor.Reactor
	opt     Options
	table   *conns.Table
	policy  *access.Policy
	checker *access.Checker
	hosts   map[string]*host
	door    *door.Door
	txBytes int                // that wait for commits
	batch   []*sender.Exchange // of the read that is being handled, which is one client's
}

// queue holds the answers for one reply-to. It lives while it has answers or consumers.
type queue struct {
	queueLimits
	timer      timers.Timer
	used       time.Duration // it was declared, consumed from or asked
	in         *Ingress
	vh         *host
	name       string
	owner      *session // whose alone it is
	direct     bool     // of direct reply-to: what its channel does not hear is dropped
	declared   bool
	autoDelete bool
	answers    []*answer
	consumers  []*consumer
}

type answer struct {
	id, note, end string
	waitMs        int64
	again         bool // it was out before
	since         time.Duration
}

// NewIngress makes the clients' side with a table of its own, and joins it to the core.
func NewIngress(core *sender.Sender, r *reactor.Reactor, opt Options, table *conns.Table) *Ingress {
	in := &Ingress{core: core, r: r, opt: opt, table: table, door: door.New(r, table, sweepGap), hosts: map[string]*host{},
		checker: access.NewChecker()}
	in.Follow(opt.Policy)
	return in
}

// TurnedAway is what a newcomer without room is told. The specification lets a connection be closed at any time.
var TurnedAway = amqp.AppendMethod(nil, 0, amqp.ConnClose, amqp.ResourceError, "no room for another connection", 0, 0)

// Accept takes a client's connection. When there is no room, one that has not opened yet goes for it: a silent
// crowd must not lock out the others.
func (in *Ingress) Accept(c *reactor.Conn) reactor.Handler {
	s := &session{in: in, peer: newPeer(in.r.Loop)}
	s.conn = c
	if !in.door.Admit(&s.Entry, s, c) {
		if c.Secured() { // a word would cost a handshake
			return nil
		}
		return in.r.Farewell(TurnedAway)
	}
	return s
}

// Close ends all connections, with word that the sender goes away.
func (in *Ingress) Close() {
	in.table.Each(func(e *conns.Entry) {
		if s, ok := e.Owner().(*session); ok {
			s.fail(0, amqp.Errorf(amqp.ConnectionForced, "the sender is stopping"))
		}
	})
}

// has tells whether the answer to a message is there, or out.
func (q *queue) has(id string) bool {
	if slices.ContainsFunc(q.answers, func(a *answer) bool { return a.id == id }) {
		return true
	}
	for _, c := range q.consumers {
		if slices.ContainsFunc(c.ch.unacked, func(d delivery) bool { return d.a.id == id }) ||
			c.ch.tx != nil && slices.ContainsFunc(c.ch.tx.acks, func(d txAck) bool { return d.a.id == id }) {
			return true
		}
	}
	return false
}

// pump delivers answers to consumers in turn, as far as they may have more.
func (q *queue) pump() {
	for len(q.answers) > 0 {
		i := slices.IndexFunc(q.consumers, (*consumer).ready)
		if i < 0 {
			return
		}
		c, a := q.consumers[i], q.answers[0]
		q.answers = q.answers[1:]
		q.consumers = append(slices.Delete(q.consumers, i, i+1), c)
		c.deliver(a)
	}
}

type consumer struct {
	ch        *channel
	tag       string
	q         *queue
	noAck     bool
	exclusive bool
}

// ended lets go of a queue that lived for its consumers.
func (c *consumer) ended() {
	c.q.used = c.q.in.r.Now()
	c.q.bound()
	if c.q.autoDelete && len(c.q.consumers) == 0 {
		c.q.declared = false // answers that wait are owed, and stay
	}
	c.q.vh.tidy(c.q)
}

func (c *consumer) ready() bool {
	most := maxUnacked
	if c.ch.prefetch > 0 {
		most = min(most, int(c.ch.prefetch))
	}
	return !c.ch.paused && (c.noAck || c.ch.outNow() < most)
}

// outNow counts the answers that are out; an acknowledgement counts once it is committed.
func (ch *channel) outNow() int {
	n := len(ch.unacked)
	if ch.tx != nil {
		n += len(ch.tx.acks)
	}
	return n
}

type delivery struct {
	tag uint64
	q   *queue
	a   *answer
}

// states words the ends for clients.
var states = map[string]string{sender.Delivered: "delivered", sender.Returned: "refused", sender.Abandoned: "failed"}

func (c *consumer) deliver(a *answer) {
	again := a.again
	tag := c.ch.out(c.q, a, c.noAck)
	p, body := a.content()
	c.ch.s.write(amqp.Content(c.ch.id, amqp.Deliver, []any{c.tag, tag, again, "", c.q.name}, p, body, c.ch.s.max)...)
}

// out books an answer that leaves on a channel. One that needs no acknowledgement has been heard with that.
func (ch *channel) out(q *queue, a *answer, noAck bool) (tag uint64) {
	ch.delivered++
	a.again = true
	if noAck {
		ch.s.in.core.Settle(a.id)
	} else {
		ch.unacked = append(ch.unacked, delivery{ch.delivered, q, a})
		ch.s.owe(1)
	}
	return ch.delivered
}

// content words an answer.
func (a *answer) content() (*amqp.Props, []byte) {
	_, correlation, _ := strings.Cut(a.note, "\x00")
	p := &amqp.Props{CorrelationID: correlation, MessageID: a.id, Type: states[a.end], Headers: amqp.Table{}}
	if a.end == sender.Returned {
		p.Headers["retry-after-ms"] = a.waitMs
	}
	return p, []byte(states[a.end])
}

type channel struct {
	s         *session
	id        uint16
	prefetch  uint16
	confirm   bool
	paused    bool // by channel.flow
	closing   bool // a close was sent: all but its answer is passed over
	closed    bool
	commits   int32  // what is owed for commits without their answer
	last      string // the queue that was declared last
	direct    string // the queue of its direct reply-to
	published uint64
	delivered uint64
	consumers []*consumer
	unacked   []delivery
	pending   []*sender.Exchange // offered, and not answered
	asm       amqp.Assembly
	tx        *txState // nil: every publish and acknowledgement counts by itself
}

// answered takes a publish off those that wait.
func (ch *channel) answered(x *sender.Exchange) {
	ch.pending = slices.DeleteFunc(ch.pending, func(o *sender.Exchange) bool { return o == x })
}

// publish is where an exchange's confirm goes.
type publish struct {
	ch  *channel
	tag uint64
}

// drop ends a channel: what it did not acknowledge is there for the next consumer.
func (ch *channel) drop() {
	if ch.closed {
		return
	}
	if ch.tx != nil {
		ch.rollback()
		ch.tx = nil
	}
	ch.closed = true
	ch.s.owe(-len(ch.pending) - len(ch.unacked) - int(ch.commits))
	ch.commits = 0
	batch := &ch.s.in.batch
	for _, x := range ch.pending {
		if i := slices.Index(*batch, x); i >= 0 { // never handed in
			*batch = slices.Delete(*batch, i, i+1)
			continue
		}
		ch.s.in.core.Withdraw(x)
	}
	for _, c := range ch.consumers {
		c.q.consumers = slices.DeleteFunc(c.q.consumers, func(o *consumer) bool { return o == c })
	}
	ch.s.vh.requeue(ch.unacked)
	for _, c := range ch.consumers {
		if c.q.direct {
			c.q.discard()
		}
		c.ended()
	}
	ch.unacked, ch.consumers, ch.pending = nil, nil, nil
}

// settle takes deliveries off by tag; 0 with multiple means all.
func (ch *channel) settle(k amqp.Key, tag uint64, multiple, requeue bool) error {
	var hit, rest []delivery
	for _, d := range ch.unacked {
		if d.tag == tag || multiple && (d.tag < tag || tag == 0) {
			hit = append(hit, d)
		} else {
			rest = append(rest, d)
		}
	}
	if len(hit) == 0 && !(multiple && tag == 0) {
		return &amqp.Fault{Code: amqp.PreconditionFailed, Text: "unknown delivery tag " + strconv.FormatUint(tag, 10), Method: k}
	}
	ch.unacked = rest
	if ch.tx != nil {
		for _, d := range hit {
			ch.tx.acks = append(ch.tx.acks, txAck{d, requeue})
		}
		return nil
	}
	ch.s.owe(-len(hit))
	if requeue {
		ch.s.vh.requeue(hit)
	} else {
		ids := make([]string, len(hit))
		for i, d := range hit {
			ids[i] = d.a.id
		}
		ch.s.in.core.Settle(ids...)
	}
	for _, c := range ch.consumers { // there is room for more
		c.q.pump()
	}
	return nil
}
