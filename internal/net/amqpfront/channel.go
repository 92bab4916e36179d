package amqpfront

import (
	"cmp"
	"slices"
	"strconv"

	"brackendale/internal/net/amqp"
	"brackendale/sender"
)

// channel is one channel of a client's connection.
type channel struct {
	session  *session
	id       uint16
	assembly amqp.Assembly
	prefetch uint16 // set by basic.qos; 0: the client sets no limit
	confirms bool   // publisher confirms are selected
	paused   bool   // by channel.flow
	closing  bool   // channel.close was sent: everything but channel.close-ok is discarded
	closed   bool   // end was called

	published uint64 // the delivery tag of the last publish
	delivered uint64 // the delivery tag of the last answer

	lastDeclared string // the name of the queue that was declared last
	directQueue  string // the name of the queue for direct reply-to; empty without one

	consumers      []*consumer
	unacked        []delivery        // ordered by tag
	pending        []*sender.Request // submitted, without a verdict
	tx             *txState          // nil unless tx.select was received
	pendingCommits int32             // the part of session.pending that belongs to commits without a verdict
}

// delivery is an answer that was delivered and is not acknowledged yet.
type delivery struct {
	tag    uint64
	queue  *queue
	answer *answer
}

// incomingPublish is a client's publish as a request to the core, with the channel and delivery tag of its confirm.
type incomingPublish struct {
	sender.Request
	channel *channel
	tag     uint64
}

// unacknowledged returns the number of answers without an acknowledgement. An acknowledgement in a transaction has
// no effect until its commit.
func (ch *channel) unacknowledged() int {
	n := len(ch.unacked)
	if ch.tx != nil {
		n += len(ch.tx.acks)
	}
	return n
}

// recordDelivery records that an answer is being written on the channel, and returns its delivery tag. With noAck the
// answer counts as acknowledged once the system has taken its bytes over.
func (ch *channel) recordDelivery(source *queue, outgoing *answer, noAck bool) (tag uint64) {
	ch.delivered++
	outgoing.redelivered = true
	d := delivery{ch.delivered, source, outgoing}
	if noAck {
		ch.session.trackUnsent(d)
	} else {
		ch.unacked = append(ch.unacked, d)
		ch.session.addPending(1)
	}
	return ch.delivered
}

// removePending removes a publish that has its verdict, and reports whether no earlier one is pending.
// Verdicts come in the order of the publishes, except for a message whose ID the core already has.
func (ch *channel) removePending(request *sender.Request) (noneBefore bool) {
	i := slices.Index(ch.pending, request)
	if i > 0 {
		ch.pending = slices.Delete(ch.pending, i, i+1)
	} else if i == 0 {
		ch.pending[0] = nil
		ch.pending = ch.pending[1:]
	}
	return i == 0
}

// end closes the channel: it rolls back an open transaction, withdraws pending publishes, removes the consumers and
// requeues unacknowledged answers.
func (ch *channel) end() {
	if ch.closed {
		return
	}
	if ch.tx != nil {
		ch.rollback()
		ch.tx = nil
	}
	ch.closed = true
	ch.session.ingress.partialBytes -= ch.assembly.Pending()
	ch.assembly = amqp.Assembly{}
	ch.session.addPending(-len(ch.pending) - len(ch.unacked) - int(ch.pendingCommits))
	ch.pendingCommits = 0
	batch := &ch.session.ingress.submissions
	for _, request := range ch.pending {
		if i := slices.Index(*batch, request); i >= 0 { // not submitted to the core yet
			*batch = slices.Delete(*batch, i, i+1)
			continue
		}
		ch.session.ingress.core.Withdraw(request)
	}
	ch.detachConsumers()
	ch.session.host.requeue(ch.unacked)
	for _, c := range ch.consumers {
		c.release()
	}
	ch.unacked, ch.consumers, ch.pending = nil, nil, nil
}

// detachConsumers stops the delivery of answers to the channel's consumers.
func (ch *channel) detachConsumers() {
	for _, c := range ch.consumers {
		c.queue.consumers = slices.DeleteFunc(c.queue.consumers, func(other *consumer) bool { return other == c })
	}
}

// settle handles basic.ack, basic.nack or basic.reject of answers by tag; tag 0 with multiple means all.
func (ch *channel) settle(key amqp.Key, tag uint64, multiple, requeue bool) error {
	first, found := slices.BinarySearchFunc(ch.unacked, tag,
		func(d delivery, tag uint64) int { return cmp.Compare(d.tag, tag) })
	end := first
	if found {
		end++
	}
	if multiple {
		if first = 0; tag == 0 {
			end = len(ch.unacked)
		}
	}
	covered := ch.unacked[first:end]
	if len(covered) == 0 && (!multiple || tag != 0) {
		return &amqp.Fault{
			Code: amqp.PreconditionFailed, Text: "unknown delivery tag " + strconv.FormatUint(tag, 10),
			Method: key,
		}
	}
	if ch.tx != nil {
		for _, d := range covered {
			ch.tx.acks = append(ch.tx.acks, txAck{d, requeue})
		}
		ch.unacked = slices.Delete(ch.unacked, first, end)
		return nil
	}
	ch.session.addPending(-len(covered))
	if requeue {
		covered = slices.Clone(covered)
		ch.unacked = slices.Delete(ch.unacked, first, end)
		ch.session.host.requeue(covered)
	} else {
		answers := make([]*answer, len(covered))
		for i, d := range covered {
			answers[i] = d.answer
		}
		ch.unacked = slices.Delete(ch.unacked, first, end)
		ch.session.host.settle(answers...)
	}
	for _, c := range ch.consumers { // there may be room for more unacknowledged answers now
		c.queue.dispatch()
	}
	return nil
}
