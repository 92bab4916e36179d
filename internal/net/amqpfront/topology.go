package amqpfront

import (
	"fmt"
	"slices"
	"strings"

	"brackendale/internal/net/amqp"
)

// directReplyTo is the pseudo-queue of RabbitMQ's "Direct reply-to". Its consumer gets, without acknowledgements,
// the answers to the messages that the same channel publishes with this name as reply-to. When the channel ends, they
// are dropped, unless the message was published by another client too.
const directReplyTo = "amq.rabbitmq.reply-to"

// exchangeDirect is the type of the only exchange.
const exchangeDirect = "direct"

// handleExchange handles the methods of the exchange class. Each virtual host has one exchange, which the
// configuration names. Clients can declare it with its actual properties, but can't create, bind or delete exchanges.
func (s *session) handleExchange(ch *channel, msg *amqp.Message, fault faultFunc) error {
	name := msg.Str(1)
	switch msg.Key {
	case amqp.ExchangeDeclare:
		passive := msg.Bool(3)
		switch {
		case name == "" && !passive:
			return fault(amqp.AccessRefused, "the default exchange cannot be declared")
		case name != s.grant.Host().Exchange && name != "" && passive:
			return fault(amqp.NotFound, "no exchange %q", name)
		case name != s.grant.Host().Exchange && name != "":
			return fault(amqp.AccessRefused, "exchanges are made in the sender's file, and %q is not there", name)
		case !passive && (msg.Str(2) != exchangeDirect || !msg.Bool(4) || msg.Bool(5) || msg.Bool(6)):
			return fault(amqp.PreconditionFailed, "exchange %q is direct, durable, and neither auto-delete nor internal", name)
		}
		s.reply(ch, msg.Bool(7), amqp.ExchangeDeclareOk)
	case amqp.ExchangeDelete:
		if name != s.grant.Host().Exchange {
			return fault(amqp.NotFound, "no exchange %q", name)
		}
		return fault(amqp.AccessRefused, "exchange %q is the sender's own", name)
	default:
		return fault(amqp.NotImplemented,
			"%s: what the exchange takes goes to destinations, by its routing key", msg.Key)
	}
	return nil
}

// reply sends the reply to a method, unless the client requested none (no-wait).
func (s *session) reply(ch *channel, noWait bool, key amqp.Key, args ...any) {
	if !noWait {
		s.writeMethod(ch.id, key, args...)
	}
}

// findQueue returns the queue with this name, or nil if there is none. It returns a fault if this connection may not
// use it.
func (s *session) findQueue(name string, fault faultFunc) (*queue, error) {
	if own := strings.HasPrefix(name, directReplyTo+"."); !own && name != "" && !s.grant.MayRead(name) {
		return nil, fault(amqp.AccessRefused, "user %q may not use the queue %q", s.grant.User(), name)
	}
	q := s.host.queues[name]
	if q != nil && q.owner != nil && q.owner != s {
		return nil, fault(amqp.ResourceLocked, "queue %q is another connection's own", name)
	}
	return q, nil
}

// handleQueue handles the methods of the queue class. Queues hold answers, and need not be declared before they are
// used.
func (s *session) handleQueue(ch *channel, msg *amqp.Message, fault faultFunc) error {
	name := msg.Str(1)
	if name == "" && msg.Key != amqp.QueueDeclare {
		name = ch.lastDeclared // specification, section 3.1.5.3: the queue that was last declared on the channel
	}
	if msg.Key == amqp.QueueDeclare {
		return s.declare(ch, msg, fault)
	}
	q, err := s.findQueue(name, fault)
	if err != nil {
		return err
	}
	switch msg.Key {
	case amqp.QueuePurge:
		if q == nil {
			return fault(amqp.NotFound, "no queue %q", name)
		}
		s.reply(ch, msg.Bool(2), amqp.QueuePurgeOk, q.discard())
		s.host.removeIfUnused(q)
	case amqp.QueueDelete:
		discarded := 0
		if q != nil {
			if msg.Bool(2) && len(q.consumers) > 0 {
				return fault(amqp.PreconditionFailed, "queue %q is in use", name)
			}
			if msg.Bool(3) && len(q.answers) > 0 {
				return fault(amqp.PreconditionFailed, "queue %q is not empty", name)
			}
			discarded = q.discard()
			s.host.removeQueue(q)
		}
		s.reply(ch, msg.Bool(4), amqp.QueueDeleteOk, discarded)
	default: // bind, unbind
		exchange := msg.Str(2)
		switch {
		case q == nil:
			return fault(amqp.NotFound, "no queue %q", name)
		case exchange == "":
			return fault(amqp.AccessRefused, "the default exchange has a binding for each queue, and no others")
		case exchange != s.grant.Host().Exchange:
			return fault(amqp.NotFound, "no exchange %q", exchange)
		}
		return fault(amqp.NotImplemented, "%s: what the exchange takes goes to destinations; answers go to the queue "+
			"that reply-to names", msg.Key)
	}
	return nil
}

// declare handles queue.declare: it creates the queue, or checks that the existing one has the same properties.
func (s *session) declare(ch *channel, msg *amqp.Message, fault faultFunc) error {
	name, passive, exclusive, autoDelete := msg.Str(1), msg.Bool(2), msg.Bool(4), msg.Bool(5)
	if name == "" && !passive {
		s.host.generatedNames++
		name = fmt.Sprintf("answers-%x-%d", s.ingress.core.Now(), s.host.generatedNames)
	}
	if len(name) > maxNameLength {
		return fault(amqp.PreconditionFailed, "the name is too long")
	}
	if name == directReplyTo {
		s.reply(ch, msg.Bool(6), amqp.QueueDeclareOk, name, 0, 0)
		return nil
	}
	q, err := s.findQueue(name, fault)
	var limits queueLimits
	if err == nil && !passive {
		limits, err = readLimits(msg.Table(7), fault)
	}
	switch {
	case err != nil:
		return err
	case q == nil && passive:
		return fault(amqp.NotFound, "no queue %q", name)
	case q == nil && len(s.host.queues) >= maxQueues:
		return fault(amqp.ResourceError, "too many queues")
	case q != nil && !passive && q.declared &&
		((q.owner != nil) != exclusive || q.autoDelete != autoDelete || q.queueLimits != limits):
		return fault(amqp.PreconditionFailed, "queue %q is there with other properties", name)
	}
	if !passive {
		if q = s.host.queue(name); !q.declared {
			q.declared, q.autoDelete, q.queueLimits = true, autoDelete, limits
			if exclusive {
				q.owner = s
				s.exclusiveQueues = append(s.exclusiveQueues, q)
			}
		}
		ch.lastDeclared = name
		q.lastUsed = s.loop.Now()
		q.enforceLimits()
	}
	s.reply(ch, msg.Bool(6), amqp.QueueDeclareOk, name, len(q.answers), len(q.consumers))
	return nil
}

// discard drops all answers of a queue, which then count as acknowledged, and returns their number.
func (q *queue) discard() int {
	discarded := q.answers
	q.answers = nil
	q.host.settle(discarded...)
	return len(discarded)
}

// removeQueue deletes a queue. Its consumers are canceled, and notified if their clients support it.
func (h *host) removeQueue(deleted *queue) {
	for _, c := range deleted.consumers {
		c.channel.consumers = slices.DeleteFunc(c.channel.consumers, func(other *consumer) bool { return other == c })
		if c.channel.session.supportsCancelNotify {
			c.channel.session.writeMethod(c.channel.id, amqp.Cancel, c.tag, true)
		}
	}
	deleted.consumers = nil
	if deleted.owner != nil {
		deleted.owner.exclusiveQueues = slices.DeleteFunc(deleted.owner.exclusiveQueues,
			func(q *queue) bool { return q == deleted })
	}
	h.ingress.reactor.Disarm(&deleted.timer)
	if h.queues[deleted.name] == deleted {
		delete(h.queues, deleted.name)
	}
}

// get handles basic.get, which returns one answer.
func (s *session) get(ch *channel, msg *amqp.Message, fault faultFunc) error {
	name, noAck := msg.Str(1), msg.Bool(2)
	if name == "" {
		name = ch.lastDeclared
	}
	q, err := s.findQueue(name, fault)
	if q != nil {
		q.lastUsed = s.loop.Now()
		q.enforceLimits()
	}
	switch {
	case err != nil:
		return err
	case q == nil:
		return fault(amqp.NotFound, "no queue %q", name)
	case len(q.answers) == 0:
		s.writeMethod(ch.id, amqp.GetEmpty, "")
		return nil
	case !noAck && ch.unacknowledged() >= maxUnacked:
		return fault(amqp.ResourceError, "too many answers are out without an acknowledgement")
	}
	a := q.answers[0]
	q.answers = q.answers[1:]
	wasDelivered := a.redelivered
	tag := ch.recordDelivery(q, a, noAck)
	p, body := s.host.answerContent(a)
	s.writeContent(ch.id, amqp.GetOk, p, body, tag, wasDelivered, "", q.name, len(q.answers))
	s.host.removeIfUnused(q)
	return nil
}

// recover handles basic.recover: it requeues the unacknowledged answers of a channel, which are delivered again,
// marked as redelivered.
func (s *session) recover(ch *channel, msg *amqp.Message, fault faultFunc) error {
	if !msg.Bool(0) {
		return fault(amqp.NotImplemented, "%s without requeue: answers come again to whoever consumes", msg.Key)
	}
	deliveries := ch.unacked
	ch.unacked = nil
	s.addPending(-len(deliveries))
	if msg.Key == amqp.Recover {
		s.writeMethod(ch.id, amqp.RecoverOk)
	}
	s.host.requeue(deliveries)
	return nil
}
