package amqpfront

import (
	"fmt"
	"slices"

	"brackendale/internal/net/amqp"
)

// handleChannel handles a method on a channel other than 0; ch is nil if it is not open.
func (s *session) handleChannel(id uint16, ch *channel, msg *amqp.Message) error {
	fault := func(code uint16, format string, args ...any) error {
		return &amqp.Fault{Code: code, Text: fmt.Sprintf(format, args...), Method: msg.Key}
	}
	if s.stage != stageReady {
		return fault(amqp.CommandInvalid, "the connection is not open")
	}
	if msg.Key == amqp.ChanOpen {
		if ch != nil || int(id) > s.ingress.options.Channels {
			return fault(amqp.ChannelError, "channel %d cannot be opened", id)
		}
		i, _ := s.searchChannel(id)
		s.channels = slices.Insert(s.channels, i, &channel{session: s, id: id})
		s.writeMethod(id, amqp.ChanOpenOk, "")
		return nil
	}
	if ch == nil {
		return fault(amqp.ChannelError, "channel %d is not open", id)
	}
	return s.handleOpenChannel(ch, msg, fault)
}

// handleOpenChannel handles a method on an open channel.
func (s *session) handleOpenChannel(ch *channel, msg *amqp.Message, fault faultFunc) error {
	switch msg.Key {
	case amqp.ChanClose:
		ch.end()
		s.removeChannel(ch.id)
		s.writeMethod(ch.id, amqp.ChanCloseOk)
	case amqp.ChanFlow:
		s.setFlow(ch, msg.Bool(0))
	case amqp.ExchangeDeclare, amqp.ExchangeDelete, amqp.ExchangeBind, amqp.ExchangeUnbind:
		return s.handleExchange(ch, msg, fault)
	case amqp.QueueDeclare, amqp.QueueBind, amqp.QueuePurge, amqp.QueueDelete, amqp.QueueUnbind:
		return s.handleQueue(ch, msg, fault)
	case amqp.Get:
		return s.get(ch, msg, fault)
	case amqp.Recover, amqp.RecoverAsync:
		return s.recover(ch, msg, fault)
	case amqp.TxSelect, amqp.TxCommit, amqp.TxRollback:
		return s.handleTx(ch, msg, fault)
	case amqp.ConfirmSelect:
		if ch.tx != nil {
			return fault(amqp.PreconditionFailed, "the channel has transactions, and cannot have publisher confirms too")
		}
		if ch.confirms = true; !msg.Bool(0) {
			s.writeMethod(ch.id, amqp.ConfirmSelectOk)
		}
	case amqp.Qos:
		ch.prefetch = uint16(msg.Int(1))
		s.writeMethod(ch.id, amqp.QosOk)
		for _, c := range ch.consumers {
			c.queue.dispatch()
		}
	case amqp.Consume:
		return s.consume(ch, msg, fault)
	case amqp.Cancel:
		s.cancel(ch, msg.Str(0), msg.Bool(1))
	case amqp.Publish:
		return s.publish(ch, msg, fault)
	case amqp.Ack:
		return ch.settle(msg.Key, msg.Int(0), msg.Bool(1), false)
	case amqp.Reject:
		return ch.settle(msg.Key, msg.Int(0), false, msg.Bool(1))
	case amqp.Nack:
		return ch.settle(msg.Key, msg.Int(0), msg.Bool(1), msg.Bool(2))
	default:
		return fault(amqp.CommandInvalid, "out of place")
	}
	return nil
}

// setFlow pauses or resumes the delivery of answers on a channel. Answers that were already written still arrive.
func (s *session) setFlow(ch *channel, active bool) {
	ch.paused = !active
	s.writeMethod(ch.id, amqp.ChanFlowOk, active)
	for _, c := range slices.Clone(ch.consumers) {
		c.queue.dispatch()
	}
}

// cancel handles basic.cancel, which removes a consumer by its tag.
func (s *session) cancel(ch *channel, tag string, noWait bool) {
	for i, c := range ch.consumers {
		if c.tag == tag {
			ch.consumers = append(ch.consumers[:i:i], ch.consumers[i+1:]...)
			c.queue.remove(c)
			c.release()
			break
		}
	}
	s.reply(ch, noWait, amqp.CancelOk, tag)
}

// remove removes a consumer from the queue.
func (q *queue) remove(ended *consumer) {
	for i, c := range q.consumers {
		if c == ended {
			q.consumers = append(q.consumers[:i:i], q.consumers[i+1:]...)
			return
		}
	}
}

// faultFunc returns a fault for the method that is being handled.
type faultFunc func(code uint16, format string, args ...any) error

// consume handles basic.consume. The queue need not be declared.
func (s *session) consume(ch *channel, msg *amqp.Message, fault faultFunc) error {
	name, tag, noAck, exclusive := msg.Str(1), msg.Str(2), msg.Bool(4), msg.Bool(5)
	if name == "" {
		name = ch.lastDeclared
	}
	directReply := name == directReplyTo
	if directReply {
		if name = ch.directQueue; name == "" {
			s.host.generatedNames++
			name = fmt.Sprintf("%s.%x-%d", directReplyTo, s.ingress.core.Now(), s.host.generatedNames)
		}
	}
	existing, err := s.findQueue(name, fault)
	switch {
	case err != nil:
		return err
	case name == "" || len(name) > maxNameLength:
		return fault(amqp.NotFound, "no queue %q", name)
	case directReply && !noAck:
		return fault(amqp.PreconditionFailed, "direct reply-to is consumed with no-ack")
	case directReply && ch.directQueue != "":
		return fault(amqp.PreconditionFailed, "direct reply-to is consumed already")
	case existing != nil && len(existing.consumers) > 0 && (exclusive || existing.consumers[0].exclusive):
		return fault(amqp.AccessRefused, "queue %q has a consumer, and one is to be alone", name)
	case len(ch.consumers) >= maxConsumers || s.host.queues[name] == nil && len(s.host.queues) >= maxQueues:
		return fault(amqp.ResourceError, "too many consumers or queues")
	}
	if tag == "" {
		tag = fmt.Sprintf("c%d.%d", ch.id, len(ch.consumers))
	}
	for _, c := range ch.consumers {
		if c.tag == tag {
			return fault(amqp.NotAllowed, "consumer tag %q is in use", tag)
		}
	}
	c := &consumer{channel: ch, tag: tag, queue: s.host.queue(name), noAck: noAck, exclusive: exclusive}
	if directReply {
		ch.directQueue, c.queue.directReply = name, true
	}
	ch.consumers = append(ch.consumers, c)
	c.queue.consumers = append(c.queue.consumers, c)
	if !msg.Bool(6) {
		s.writeMethod(ch.id, amqp.ConsumeOk, tag)
	}
	c.queue.dispatch()
	return nil
}
