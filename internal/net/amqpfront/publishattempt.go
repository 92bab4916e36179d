package amqpfront

import (
	"time"

	"brackendale/internal/admission"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/conntable"
	"brackendale/internal/timers"
	"brackendale/sender"
)

// publishAttempt is one attempt without an outcome.
type publishAttempt struct {
	egress    *Egress
	attempt   sender.Attempt
	route     string
	target    amqp.Target
	admission admission.Attempt
	shareable bool // it may be on a channel with others

	link    *brokerLink
	channel *brokerChannel // nil while it waits for one
	timer   timers.Timer   // of the attempt's timeout

	endOffset  int64          // of the byte after its last one, in the connection's stream
	returnCode uint16         // the reply code of basic.return; 0 if the broker has not returned it
	givenUpAs  sender.Outcome // empty, or the outcome to report once its channel is closed
}

// start arms the timeout and queues the attempt on the connection to its target.
func (p *publishAttempt) start() {
	e := p.egress
	e.reactor.Arm(&p.timer, time.Duration(p.attempt.TimeoutUs)*time.Microsecond, 0,
		timers.Func(func() { p.giveUp(sender.OutcomeTimedOut) }))
	p.link = e.linkTo(p.route, p.target)
	if p.link == nil { // out of descriptors, which says nothing of the broker
		p.report(sender.OutcomeNotSent)
		return
	}
	p.link.waiting = append(p.link.waiting, p)
	p.link.Move(conntable.Busy, e.reactor.Now())
	p.link.dispatch()
}

// report ends the attempt with its outcome. Only the first call has an effect.
func (p *publishAttempt) report(outcome sender.Outcome) {
	e := p.egress
	if e.attempts[p.attempt.ID] != p {
		return
	}
	delete(e.attempts, p.attempt.ID)
	e.reactor.Disarm(&p.timer)
	if p.channel != nil {
		p.channel.ledger.remove(p)
	}
	if p.sent() {
		e.core.CountAttempts(1)
	}
	if p.link != nil && p.link.idle() {
		p.link.Move(conntable.Idle, e.reactor.Now())
	}
	e.core.ReportAttempts(sender.AttemptResult{
		ID:       p.attempt.ID,
		Attempt:  p.attempt.Number,
		Endpoint: p.route,
		Outcome:  outcome,
	})
}

// sent tells whether the publish's last byte has left.
func (p *publishAttempt) sent() bool { return p.channel != nil && p.link.conn.Sent(p.endOffset) }

// connectionLost reports an attempt whose connection or channel ended. Before the publish's last byte
// has left, the broker has no whole message, which proves that it has not run.
func (p *publishAttempt) connectionLost(outcome sender.Outcome) {
	if !p.sent() {
		outcome = sender.OutcomeConnectFailed
	}
	p.report(outcome)
}

// giveUp stops waiting for the confirm by closing the channel. The attempt ends once the broker has
// answered the close: no second attempt may start while the broker could still accept this one. A
// confirm that crosses the close counts.
func (p *publishAttempt) giveUp(outcome sender.Outcome) {
	if p.egress.attempts[p.attempt.ID] != p {
		return
	}
	if p.channel == nil {
		p.link.removeWaiting(p)
		p.report(sender.OutcomeConnectFailed)
		return
	}
	if !p.sent() { // a part of the message may be in the stream: not one more byte may leave
		p.link.conn.CloseWithoutFlush()
		p.report(sender.OutcomeConnectFailed)
		return
	}
	if p.givenUpAs != "" {
		return
	}
	p.givenUpAs = outcome
	p.link.retire(p.channel)
}

// confirmed ends an attempt by its confirm, basic.ack or basic.nack. A returned message has not run,
// and its ack is no delivery.
func (p *publishAttempt) confirmed(key amqp.Key) {
	switch {
	case p.returnCode == amqp.NoRoute:
		p.report(sender.OutcomeConnectFailed)
	case p.returnCode != 0:
		p.report(sender.OutcomeRejected)
	case key == amqp.Ack:
		p.report(sender.OutcomeSuccess)
	default:
		p.report(sender.OutcomeFailed)
	}
}

// outcomeOfClose is the outcome of a sent publish whose channel or connection the broker closed with
// this reply code: a fault of this side or of the message is a failure, the end of the connection or
// of the broker is a reset. Both are ambiguous.
func outcomeOfClose(code uint64) sender.Outcome {
	if f := (&amqp.Fault{Code: uint16(code)}); f.Soft() {
		return sender.OutcomeFailed
	}
	return sender.OutcomeReset
}

// outcomeOfRefusal is the outcome of an attempt that was refused with this reply code before its
// publish, so that it has not run.
func outcomeOfRefusal(code uint64) sender.Outcome {
	if code == amqp.ResourceError || code == amqp.ResourceLocked || code == amqp.ConnectionForced {
		return sender.OutcomeRejected
	}
	return sender.OutcomeConnectFailed
}
