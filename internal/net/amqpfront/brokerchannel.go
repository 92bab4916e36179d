package amqpfront

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"time"

	"brackendale/internal/eventlog"
	"brackendale/internal/net/amqp"
	"brackendale/internal/timers"
	"brackendale/sender"
)

// The limits of channels to a broker.
const (
	maxTargetChannels  = 64 // channels of one connection
	maxSharedPublishes = 32 // unconfirmed publishes on one channel
)

// retireTimeout is how long a channel on which one publish was given up stays open for the confirms of the others.
const retireTimeout = 200 * time.Millisecond

// persistent is the delivery mode of messages that the broker stores on disk.
const persistent = 2

// channelState is the state of a channel to a broker.
type channelState uint8

const (
	channelOpening   channelState = iota // channel.open was sent
	channelSelecting                     // confirm.select was sent
	channelOpen                          // publisher confirms are selected
	channelRetiring                      // no further publish; waits for the confirms that are still awaited
	channelClosing                       // channel.close was sent
)

// brokerChannel is one channel to a broker.
type brokerChannel struct {
	id             uint16
	state          channelState
	paused         bool // by channel.flow
	returned       bool // the broker has returned a message: the channel closes behind its confirm
	confirmTracker confirmTracker
	assembly       amqp.Assembly
	closeTimer     timers.Timer // bounds channelRetiring, then the wait for channel.close-ok
}

// busy reports whether the channel has unconfirmed publishes.
func (c *brokerChannel) busy() bool { return len(c.confirmTracker.unconfirmed) > 0 }

// accepts reports whether a publish may be sent on the channel now.
func (c *brokerChannel) accepts(next *publishAttempt) bool {
	switch {
	case c.state != channelOpen || c.paused || c.returned:
		return false
	case !c.busy():
		return true
	}
	first := c.confirmTracker.unconfirmed[0].publish
	return next.shareable && first.shareable && len(c.confirmTracker.unconfirmed) < maxSharedPublishes
}

// endAll calls end for each unconfirmed publish; end may remove the publish from the tracker.
func (c *brokerChannel) endAll(end func(*publishAttempt)) {
	for _, entry := range slices.Clone(c.confirmTracker.unconfirmed) {
		end(entry.publish)
	}
}

// channelByID returns the channel with this ID, or nil.
func (l *brokerLink) channelByID(id uint16) *brokerChannel {
	i := slices.IndexFunc(l.channels, func(c *brokerChannel) bool { return c.id == id })
	if i < 0 {
		return nil
	}
	return l.channels[i]
}

// openChannel opens a channel. It returns false if the connection has used all of its channel numbers.
func (l *brokerLink) openChannel() bool {
	number, ok := l.channelNumbers.Next()
	if !ok {
		return false
	}
	id := uint16(number)
	l.channels = append(l.channels, &brokerChannel{id: id})
	l.writeMethod(id, amqp.ChanOpen, "")
	return true
}

// isOpening reports whether the channel does not carry publishes yet.
func (c *brokerChannel) isOpening() bool {
	return c.state == channelOpening || c.state == channelSelecting
}

// retire closes a channel on which a publish was given up. While the confirms of other publishes are awaited, the
// channel accepts no further publish and stays open for up to retireTimeout; then those are given up too.
func (l *brokerLink) retire(ch *brokerChannel) {
	switch {
	case ch.state == channelClosing:
	case !ch.busy(): // all given-up publishes were confirmed in the meantime
		l.loop.Disarm(&ch.closeTimer)
		ch.state = channelOpen
		l.closeIfReturned(ch)
	case !ch.confirmTracker.anyAwaited():
		l.closeChannel(ch)
	case ch.state != channelRetiring:
		ch.state = channelRetiring
		l.egress.reactor.Arm(&ch.closeTimer, retireTimeout, 0, timers.Func(func() { l.closeChannel(ch) }))
	}
}

// closeChannel sends channel.close. After the broker's channel.close-ok, no publish on the channel can run any more.
// The connection to a broker that doesn't reply within the connect timeout is closed.
func (l *brokerLink) closeChannel(ch *brokerChannel) {
	ch.state = channelClosing
	l.writeMethod(ch.id, amqp.ChanClose, amqp.ReplySuccess, "given up", 0, 0)
	l.egress.reactor.Arm(&ch.closeTimer, l.egress.connectTimeout, 0, timers.Func(l.conn.Close))
}

// removeChannel drops a channel that is closed.
func (l *brokerLink) removeChannel(ch *brokerChannel) {
	l.loop.Disarm(&ch.closeTimer)
	l.channels = slices.DeleteFunc(l.channels, func(c *brokerChannel) bool { return c == ch })
}

// publish writes basic.publish with its content. The message's expiration is the time until the attempt's deadline.
func (l *brokerLink) publish(ch *brokerChannel, next *publishAttempt) {
	ch.confirmTracker.add(next)
	next.channel = ch
	expirationMs := max(1, next.attempt.Deadline.Sub(l.egress.core.Now()).Milliseconds())
	props := &amqp.Props{
		MessageID:    next.attempt.ID,
		Type:         next.attempt.Class,
		DeliveryMode: persistent,
		Expiration:   strconv.FormatInt(expirationMs, 10),
	}
	if next.attempt.Key != "" {
		props.Headers = amqp.Table{"idempotency-key": next.attempt.Key}
	}
	const mandatory, immediate = true, false
	l.writeContent(ch.id, amqp.Publish, props, next.attempt.Body,
		0, next.target.Exchange, next.target.RoutingKey, mandatory, immediate)
	next.endOffset = l.conn.StreamOffset()
	if events := l.egress.core.Events(); events.Enabled() {
		events.Record(eventlog.Event{
			Kind: eventlog.Sent, Message: next.attempt.ID, Attempt: next.attempt.Number, Endpoint: next.routeAddr,
			Reason: fmt.Sprintf("channel %d, tag %d", ch.id, ch.confirmTracker.lastTag),
		})
	}
}

// handleChannel handles a method on an open channel.
func (l *brokerLink) handleChannel(ch *brokerChannel, msg *amqp.Message) error {
	switch msg.Key {
	case amqp.ChanOpenOk:
		if ch.state == channelOpening {
			ch.state = channelSelecting
			l.writeMethod(ch.id, amqp.ConfirmSelect, false)
		}
	case amqp.ConfirmSelectOk:
		if ch.state == channelSelecting {
			ch.state = channelOpen
		}
	case amqp.ChanFlow:
		ch.paused = !msg.Bool(0)
		l.writeMethod(ch.id, amqp.ChanFlowOk, msg.Bool(0))
	case amqp.Return:
		if p := ch.confirmTracker.find(msg.Props.MessageID); p != nil {
			p.returnCode, ch.returned = uint16(msg.Int(0)), true
		}
		return nil
	case amqp.Ack, amqp.Nack:
		if err := l.handleConfirm(ch, msg); err != nil {
			return err
		}
	case amqp.ChanClose:
		l.handleChannelClose(ch, msg.Int(0))
	case amqp.ChanCloseOk:
		if ch.state != channelClosing {
			l.recordUnexpected("channel.close-ok without a close")
			return nil
		}
		l.removeChannel(ch)
		ch.endAll(func(p *publishAttempt) { // those that were not given up had retireTimeout for their confirm
			p.report(cmp.Or(p.giveUpOutcome, sender.OutcomeCanceled))
		})
	default:
		return &amqp.Fault{Code: amqp.CommandInvalid, Text: "out of place", Method: msg.Key}
	}
	l.dispatch()
	return nil
}

// handleConfirm ends the publishes that a basic.ack or basic.nack confirms.
func (l *brokerLink) handleConfirm(ch *brokerChannel, msg *amqp.Message) error {
	settled, ok := ch.confirmTracker.settle(msg.Int(0), msg.Bool(1))
	if !ok {
		return &amqp.Fault{Code: amqp.PreconditionFailed, Text: "unknown delivery tag", Method: msg.Key}
	}
	if slices.ContainsFunc(settled, func(p *publishAttempt) bool { return !p.sent() }) {
		l.closeUnsent(settled)
		return nil
	}
	for _, p := range settled {
		p.confirmed(msg.Key)
	}
	if ch.state == channelRetiring {
		l.retire(ch)
	}
	l.closeIfReturned(ch)
	return nil
}

// closeUnsent ends a connection on which a publish was confirmed before its last byte was sent: no confirm on it can be
// trusted, and no further byte of the publish may be sent.
func (l *brokerLink) closeUnsent(confirmed []*publishAttempt) {
	l.recordUnexpected("a confirm of a publish that was not sent")
	l.closing = true
	l.conn.CloseWithoutFlush()
	for _, p := range confirmed {
		p.connectionLost(sender.OutcomeReset)
	}
}

// closeIfReturned closes a channel on which the broker has returned a message, once no confirm is awaited. A return
// names its message and not the publish: a second copy must not meet the next attempt of that message.
func (l *brokerLink) closeIfReturned(ch *brokerChannel) {
	if ch.returned && ch.state == channelOpen && !ch.busy() {
		l.closeChannel(ch)
	}
}

// handleChannelClose replies to a broker's channel.close. One that came instead of channel.open-ok
// rejects the attempt that has waited longest for a channel.
func (l *brokerLink) handleChannelClose(ch *brokerChannel, code uint64) {
	l.writeMethod(ch.id, amqp.ChanCloseOk)
	l.removeChannel(ch)
	if ch.isOpening() && len(l.waiting) > 0 {
		first := l.waiting[0]
		l.waiting = l.waiting[1:]
		first.report(outcomeOfRefusal(code))
	}
	ch.endAll(func(p *publishAttempt) { p.connectionLost(outcomeOfClose(code)) })
}
