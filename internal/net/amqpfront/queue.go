package amqpfront

import (
	"slices"
	"strings"
	"time"

	"brackendale/internal/net/amqp"
	"brackendale/internal/timers"
	"brackendale/sender"
)

// queue holds the answers for one reply-to. It exists while it has answers or consumers, or is declared.
type queue struct {
	queueLimits
	timer    timers.Timer  // of its limits
	lastUsed time.Duration // when it was declared, consumed from or read by basic.get

	ingress *Ingress
	host    *host
	name    string
	owner   *session // nil unless it is exclusive

	direct     bool // of direct reply-to: answers that its channel does not receive are dropped
	declared   bool
	autoDelete bool

	answers   []*answer
	consumers []*consumer // the next to deliver to first
}

// answer is the final answer of a message.
type answer struct {
	id          string
	correlation string // the request's: reply-to and correlation-id, with a NUL between
	outcome     string
	waitMs      int64 // Retry-After
	redelivered bool  // it was delivered before, or may have been by an earlier incarnation
	queuedAt    time.Duration
}

// dispatch delivers answers to consumers in turn, as far as their limits allow.
func (q *queue) dispatch() {
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

// consumer is a client's subscription to a queue.
type consumer struct {
	channel   *channel
	tag       string
	queue     *queue
	noAck     bool
	exclusive bool
}

// release deletes the consumer's queue if nothing else needs it.
func (c *consumer) release() {
	c.queue.lastUsed = c.queue.ingress.reactor.Now()
	c.queue.enforceLimits()
	if c.queue.autoDelete && len(c.queue.consumers) == 0 {
		c.queue.declared = false // with answers it stays all the same
	}
	c.queue.host.removeIfUnused(c.queue)
}

// ready tells whether the consumer may get another answer now.
func (c *consumer) ready() bool {
	limit := maxUnacked
	if c.channel.prefetch > 0 {
		limit = min(limit, int(c.channel.prefetch))
	}
	return !c.channel.paused && (c.noAck || c.channel.unacknowledged() < limit) && !c.channel.session.conn.IsBacklogged()
}

// outcomeNames are the type property of answers.
var outcomeNames = map[string]string{
	sender.Delivered:      "delivered",
	sender.Returned:       "refused",
	sender.DeliveryFailed: "failed",
}

// outcomeBodies are the same as contents.
var outcomeBodies = map[string][]byte{
	sender.Delivered: []byte("delivered"), sender.Returned: []byte("refused"),
	sender.DeliveryFailed: []byte("failed"),
}

// deliver writes an answer as basic.deliver.
func (c *consumer) deliver(a *answer) {
	again := a.redelivered
	tag := c.channel.recordDelivery(c.queue, a, c.noAck)
	p, body := c.queue.host.answerContent(a)
	c.channel.session.writeContent(c.channel.id, amqp.Deliver, p, body, c.tag, tag, again, "", c.queue.name)
}

// answerContent returns an answer's content, valid until the next call.
func (h *host) answerContent(a *answer) (*amqp.Props, []byte) {
	_, correlation, _ := strings.Cut(a.correlation, "\x00")
	h.ingress.answerProps = amqp.Props{CorrelationID: correlation, MessageID: a.id, Type: outcomeNames[a.outcome]}
	if a.outcome == sender.Returned {
		h.ingress.answerProps.Headers = amqp.Table{"retry-after-ms": a.waitMs}
	}
	return &h.ingress.answerProps, outcomeBodies[a.outcome]
}
