package amqptest

import (
	"brackendale/internal/net/amqp"
)

// standQueue is a queue, which is always empty.
type standQueue struct {
	owner      *standConn // of an exclusive queue, which ends with this connection
	autoDelete bool
	consumers  int
	exclusive  bool // its only consumer asked to be the only one
}

// cancel removes a channel's consumer. The lock is held.
func (b *StandIn) cancel(channel *standChan, tag string) {
	if q := b.queues[channel.consumers[tag]]; q != nil {
		if q.consumers--; q.consumers == 0 {
			q.exclusive = false
		}
	}
	delete(channel.consumers, tag)
}

// queue answers the queue class, and consumers of queues, which are always empty. The lock is held.
func (c *standConn) queue(id uint16, channel *standChan, message *amqp.Message) error {
	switch message.Key {
	case amqp.Cancel:
		c.b.cancel(channel, message.Str(0))
		c.send(id, amqp.CancelOk, message.Str(0))
		return nil
	case amqp.QueueDeclare:
		return c.declareQueue(id, channel, message)
	case amqp.QueueBind, amqp.QueueUnbind, amqp.QueuePurge, amqp.QueueDelete, amqp.Consume, amqp.Get:
	default:
		return refuse(message, amqp.CommandInvalid, "out of place")
	}
	name := message.Str(1)
	if name == "" {
		name = channel.last
	}
	switch message.Key {
	case amqp.Consume:
		return c.consume(id, channel, message, name)
	case amqp.QueueDelete:
		return c.deleteQueue(id, message, name)
	}
	if c.b.queues[name] == nil {
		return refuse(message, amqp.NotFound, "no such queue")
	}
	switch message.Key {
	case amqp.QueuePurge:
		c.send(id, amqp.QueuePurgeOk, 0)
	case amqp.Get:
		c.send(id, amqp.GetEmpty, "")
	default: // bind, unbind
		if message.Str(2) != c.b.Exchange {
			return refuse(message, amqp.NotFound, "no such exchange")
		}
		return refuse(message, amqp.NotImplemented, "bindings")
	}
	return nil
}

// declareQueue makes a queue, or checks that it is there with the same properties.
func (c *standConn) declareQueue(id uint16, channel *standChan, message *amqp.Message) error {
	name := message.Str(1)
	passive, exclusive, autoDelete, noWait := message.Bool(2), message.Bool(4), message.Bool(5), message.Bool(6)
	q := c.b.queues[name]
	switch {
	case q == nil && passive:
		return refuse(message, amqp.NotFound, "no such queue")
	case q != nil && !passive && ((q.owner != nil) != exclusive || q.autoDelete != autoDelete):
		return refuse(message, amqp.PreconditionFailed, "it is there with other properties")
	case q == nil:
		if name == "" {
			c.b.serial++
			name = "stand-" + string(rune('a'+c.b.serial%26)) + "-" + c.RemoteAddr().String()
		}
		q = &standQueue{autoDelete: autoDelete}
		if exclusive {
			q.owner = c
		}
		c.b.queues[name] = q
	}
	channel.last = name
	if !noWait {
		c.send(id, amqp.QueueDeclareOk, name, 0, q.consumers)
	}
	return nil
}

// consume adds a consumer, and makes the queue if it is not there.
func (c *standConn) consume(id uint16, channel *standChan, message *amqp.Message, name string) error {
	tag, exclusive, noWait := message.Str(2), message.Bool(5), message.Bool(6)
	if tag == "" {
		tag = "t" + string(rune('a'+len(channel.consumers)))
	}
	q := c.b.queues[name]
	if q == nil {
		q = &standQueue{}
		c.b.queues[name] = q
	}
	if _, inUse := channel.consumers[tag]; inUse {
		return refuse(message, amqp.NotAllowed, "the tag is in use")
	}
	if q.exclusive || q.consumers > 0 && exclusive {
		return refuse(message, amqp.AccessRefused, "the queue has a consumer")
	}
	channel.consumers[tag] = name
	q.consumers++
	q.exclusive = exclusive
	if !noWait {
		c.send(id, amqp.ConsumeOk, tag)
	}
	return nil
}

func (c *standConn) deleteQueue(id uint16, message *amqp.Message, name string) error {
	onlyUnused := message.Bool(2)
	if q := c.b.queues[name]; q != nil && onlyUnused && q.consumers > 0 {
		return refuse(message, amqp.PreconditionFailed, "the queue is in use")
	}
	delete(c.b.queues, name)
	c.send(id, amqp.QueueDeleteOk, 0)
	return nil
}
