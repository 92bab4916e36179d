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
	timer    timers.Timer  // enforces the time limits
	lastUsed time.Duration // time when it was last declared, consumed from or read by basic.get

	ingress *Ingress
	host    *host
	name    string
	owner   *session // the connection of an exclusive queue, otherwise nil

	directReply bool // the queue of a direct reply-to: its answers are dropped when its channel ends
	declared    bool
	autoDelete  bool

	answers   []*answer
	consumers []*consumer // in the order of delivery; a consumer moves to the end when it gets an answer
}

// answer is the final answer of a message.
type answer struct {
	id          string // the ID of the message
	correlation string // reply-to and correlation-id of the message, separated by a NUL
	outcome     string
	waitMs      int64 // Retry-After
	redelivered bool  // it was delivered before, or may have been by a previous incarnation
	queuedAt    time.Duration
}

// correlationSeparator stands between the reply-to and the correlation-id of a message; a reply-to has none.
const correlationSeparator = "\x00"

// replyTo returns the reply-to in a correlation.
func replyTo(correlation string) string {
	name, _, _ := strings.Cut(correlation, correlationSeparator)
	return name
}

// replyTo returns the name of the queue that the answer is for.
func (a *answer) replyTo() string { return replyTo(a.correlation) }

// dispatch delivers answers to the consumers in rotation, as far as their limits allow.
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
	if c.queue.directReply && len(c.queue.consumers) == 0 {
		undelivered := c.queue.answers
		c.queue.answers = nil
		defer c.queue.host.giveBack(undelivered) // nobody else may consume it
	}
	if c.queue.autoDelete && len(c.queue.consumers) == 0 {
		c.queue.declared = false // a queue with answers still stays
	}
	c.queue.host.removeIfUnused(c.queue)
}

// ready reports whether the consumer may get another answer now.
func (c *consumer) ready() bool {
	if c.channel.session.conn.IsClosing() { // the answer would count as received by a consumer without acknowledgements
		return false
	}
	limit := maxUnacked
	if c.channel.prefetch > 0 {
		limit = min(limit, int(c.channel.prefetch))
	}
	return !c.channel.paused && (c.noAck || c.channel.unacknowledged() < limit) && !c.channel.session.conn.IsBacklogged()
}

// outcomeNames are the values of the type property of answers.
var outcomeNames = map[string]string{
	sender.Delivered:      "delivered",
	sender.Returned:       "refused",
	sender.DeliveryFailed: "failed",
}

// outcomeBodies are the bodies of answers, with the same texts as outcomeNames.
var outcomeBodies = map[string][]byte{
	sender.Delivered: []byte("delivered"), sender.Returned: []byte("refused"),
	sender.DeliveryFailed: []byte("failed"),
}

// deliver writes an answer as basic.deliver.
func (c *consumer) deliver(a *answer) {
	wasDelivered := a.redelivered
	tag := c.channel.recordDelivery(c.queue, a, c.noAck)
	p, body := c.queue.host.answerContent(a)
	c.channel.session.writeContent(c.channel.id, amqp.Deliver, p, body, c.tag, tag, wasDelivered, "", c.queue.name)
}

// answerContent returns the properties and body of an answer. The properties are valid until the next call.
func (h *host) answerContent(a *answer) (*amqp.Props, []byte) {
	_, correlation, _ := strings.Cut(a.correlation, correlationSeparator)
	h.ingress.answerProps = amqp.Props{CorrelationID: correlation, MessageID: a.id, Type: outcomeNames[a.outcome]}
	if a.outcome == sender.Returned {
		h.ingress.answerProps.Headers = amqp.Table{"retry-after-ms": a.waitMs}
	}
	return &h.ingress.answerProps, outcomeBodies[a.outcome]
}
