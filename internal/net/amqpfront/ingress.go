package amqpfront

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"brackendale/internal/net/amqp"
	"brackendale/internal/net/reactor"
	"brackendale/sender"
)

// Front is the name of this front in the spool.
const Front = "amqp"

// The bounds of what clients may hold.
const (
	maxChannels  = 16
	maxConsumers = 64 // of one channel
	maxQueues    = 1024
	maxName      = 128 // bytes of an id, a key or the name of a queue
	maxUnacked   = 256 // answers out on one channel at most, whatever prefetch says
	handshakeMax = 10 * time.Second
)

// Options is what an ingress is told.
type Options struct {
	User, Password string        // both empty: any client may come
	Exchange       string        // that clients publish to; the routing key is the destination
	Heartbeat      time.Duration // offered to clients
	Most           int           // clients' connections
}

// Ingress serves AMQP clients. A publish is a message handed in, its confirm says that it was taken on,
// and its one final answer goes to the queue that its reply-to names, until a client has acknowledged it.
type Ingress struct {
	core    *sender.Sender
	opt     Options
	clients map[*session]bool
	queues  map[string]*queue
	named   int
}

// queue holds the answers for one reply-to. It lives while it has answers or consumers.
type queue struct {
	name      string
	answers   []*answer
	consumers []*consumer
}

type answer struct {
	id, note, end string
	waitMs        int64
	again         bool // it was out before
}

// NewIngress makes the clients' side.
func NewIngress(core *sender.Sender, opt Options) *Ingress {
	return &Ingress{core: core, opt: opt, clients: map[*session]bool{}, queues: map[string]*queue{}}
}

// makeRoom closes the connection that has been heard least lately among those that have not opened yet: a
// silent crowd must not lock out the others.
func (in *Ingress) makeRoom() bool {
	var oldest *session
	for s := range in.clients {
		if s.stage < open && (oldest == nil || s.heard.Before(oldest.heard)) {
			oldest = s
		}
	}
	if oldest == nil {
		return false
	}
	delete(in.clients, oldest)
	oldest.conn.Close()
	return true
}

// Accept takes a client's connection.
func (in *Ingress) Accept(c *reactor.Conn) reactor.Handler {
	if len(in.clients) >= in.opt.Most && !in.makeRoom() {
		return nil
	}
	s := &session{in: in, peer: newPeer(in.core.Post), chans: map[uint16]*channel{}}
	s.conn = c
	in.clients[s] = true
	s.timer = time.AfterFunc(handshakeMax, func() {
		in.core.Post(func() {
			if s.stage < open {
				s.conn.Close()
			}
		})
	})
	return s
}

// Close ends all connections, with word that the sender goes away.
func (in *Ingress) Close() {
	for s := range in.clients {
		s.fail(0, amqp.Errorf(amqp.ConnectionForced, "the sender is stopping"))
	}
}

// Owes tells that every end is told here.
func (in *Ingress) Owes(string) bool { return true }

// Remembers tells that an id that comes again must not run again.
func (in *Ingress) Remembers() bool { return true }

// Answer confirms a publish that was taken on, and refuses the others.
func (in *Ingress) Answer(x *sender.Exchange, v sender.Verdict, _ int64) {
	p, ok := x.Ref.(*publish)
	if !ok || p.ch.closed {
		return
	}
	p.ch.pending = slices.DeleteFunc(p.ch.pending, func(o *sender.Exchange) bool { return o == x })
	if v == sender.Taken {
		p.ch.s.method(p.ch.id, amqp.Ack, p.tag, false)
		return
	}
	p.ch.s.method(p.ch.id, amqp.Nack, p.tag, false, false)
}

// Tell puts an end on the queue of its reply-to, once.
func (in *Ingress) Tell(id, note, end string, waitMs int64) {
	replyTo, _, _ := strings.Cut(note, "\x00")
	q := in.queue(replyTo)
	same := func(a *answer) bool { return a.id == id }
	if slices.ContainsFunc(q.answers, same) {
		return
	}
	for _, c := range q.consumers {
		if slices.ContainsFunc(c.ch.unacked, func(d delivery) bool { return d.a.id == id }) {
			return
		}
	}
	q.answers = append(q.answers, &answer{id: id, note: note, end: end, waitMs: waitMs})
	q.pump()
}

func (in *Ingress) queue(name string) *queue {
	q := in.queues[name]
	if q == nil {
		q = &queue{name: name}
		in.queues[name] = q
	}
	return q
}

// tidy forgets a queue that nobody needs.
func (in *Ingress) tidy(q *queue) {
	if len(q.answers) == 0 && len(q.consumers) == 0 {
		delete(in.queues, q.name)
	}
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
	ch  *channel
	tag string
	q   *queue
}

func (c *consumer) ready() bool {
	most := maxUnacked
	if c.ch.prefetch > 0 {
		most = min(most, c.ch.prefetch)
	}
	return len(c.ch.unacked) < most
}

type delivery struct {
	tag uint64
	q   *queue
	a   *answer
}

// states words the ends for clients.
var states = map[string]string{sender.Delivered: "delivered", sender.Returned: "refused", sender.Abandoned: "failed"}

func (c *consumer) deliver(a *answer) {
	c.ch.delivered++
	c.ch.unacked = append(c.ch.unacked, delivery{c.ch.delivered, c.q, a})
	_, correlation, _ := strings.Cut(a.note, "\x00")
	p := &amqp.Props{CorrelationID: correlation, MessageID: a.id, Type: states[a.end], Headers: amqp.Table{}}
	if a.end == sender.Returned {
		p.Headers["retry-after-ms"] = a.waitMs
	}
	args := []any{c.tag, c.ch.delivered, a.again, "", c.q.name}
	a.again = true
	c.ch.s.write(amqp.Content(c.ch.id, amqp.Deliver, args, p, []byte(states[a.end]), c.ch.s.max)...)
}

type channel struct {
	s         *session
	id        uint16
	confirm   bool
	closing   bool // a close was sent: all but its answer is passed over
	closed    bool
	published uint64
	delivered uint64
	prefetch  int
	consumers []*consumer
	unacked   []delivery
	pending   []*sender.Exchange // offered, and not answered
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
	ch.closed = true
	for _, x := range ch.pending {
		ch.s.in.core.Withdraw(x)
	}
	for _, c := range ch.consumers {
		c.q.consumers = slices.DeleteFunc(c.q.consumers, func(o *consumer) bool { return o == c })
	}
	ch.requeue(ch.unacked)
	for _, c := range ch.consumers {
		ch.s.in.tidy(c.q)
	}
	ch.unacked, ch.consumers, ch.pending = nil, nil, nil
}

// requeue puts answers back in their order, before those that were never out.
func (ch *channel) requeue(list []delivery) {
	for _, d := range slices.Backward(list) {
		d.q.answers = append([]*answer{d.a}, d.q.answers...)
	}
	for _, d := range list {
		d.q.pump()
	}
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
	if requeue {
		ch.requeue(hit)
	} else {
		for _, d := range hit {
			ch.s.in.core.Settle(d.a.id)
		}
	}
	for _, c := range ch.consumers { // there is room for more
		c.q.pump()
	}
	return nil
}
