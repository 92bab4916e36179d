package amqpfront

import (
	"time"

	"brackendale/internal/admission"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/conntable"
	"brackendale/internal/timers"
	"brackendale/sender"
)

// publishAttempt is one attempt that has no outcome yet.
type publishAttempt struct {
	egress    *Egress
	attempt   sender.Attempt
	routeAddr string
	target    amqp.Target
	admission admission.Attempt
	shareable bool // it may share a channel with others

	link    *brokerLink
	channel *brokerChannel // nil while the attempt waits for one
	timer   timers.Timer   // the attempt's timeout

	endOffset     int64          // offset of the end of the publish in the connection's output
	returnCode    uint16         // the reply code of basic.return; 0 if the broker has not returned it
	giveUpOutcome sender.Outcome // empty until given up; then the outcome to report when the channel is closed
}

// start arms the timeout and queues the attempt.
func (p *publishAttempt) start() {
	e := p.egress
	e.reactor.Arm(&p.timer, time.Duration(p.attempt.TimeoutUs)*time.Microsecond, 0,
		timers.Func(func() { p.giveUp(sender.OutcomeTimedOut) }))
	p.enqueue()
}

// enqueue queues the attempt on the connection to its target.
func (p *publishAttempt) enqueue() {
	e := p.egress
	p.link = e.linkTo(p.routeAddr, p.target)
	if p.link == nil { // no descriptor is available, which must not count against the broker
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
		p.channel.confirmTracker.remove(p)
	}
	if p.sent() {
		e.core.CountAttempts(1)
	}
	if p.link != nil && p.link.idle() {
		p.link.Move(conntable.Idle, e.reactor.Now())
		p.link.closeIfReplaced()
	}
	e.core.ReportAttempts(sender.AttemptResult{
		ID:       p.attempt.ID,
		Attempt:  p.attempt.Number,
		Endpoint: p.routeAddr,
		Outcome:  outcome,
	})
}

// sent reports whether the last byte of the publish has been sent.
func (p *publishAttempt) sent() bool { return p.channel != nil && p.link.conn.Sent(p.endOffset) }

// connectionLost reports an attempt whose connection or channel ended. If the last byte of the publish was not
// sent, the broker does not have the complete message, which proves that it has not run.
func (p *publishAttempt) connectionLost(outcome sender.Outcome) {
	if !p.sent() {
		outcome = sender.OutcomeConnectFailed
	}
	p.report(outcome)
}

// giveUp stops waiting for the confirm and closes the channel. The attempt ends when the broker has confirmed the
// close, because no second attempt may start while the broker could still accept this one. A confirm that
// arrives before that is valid.
func (p *publishAttempt) giveUp(outcome sender.Outcome) {
	if p.egress.attempts[p.attempt.ID] != p {
		return
	}
	if p.channel == nil {
		p.link.removeWaiting(p)
		p.report(sender.OutcomeConnectFailed)
		return
	}
	if !p.sent() { // the publish may be sent in part: no further byte of it may be sent
		p.link.conn.CloseWithoutFlush()
		p.report(sender.OutcomeConnectFailed)
		return
	}
	if p.giveUpOutcome != "" {
		return
	}
	p.giveUpOutcome = outcome
	if p.link.conn.UnsentBytes() > 0 { // the broker does not read: the rest must not arrive later
		p.abandon()
		return
	}
	p.egress.reactor.After(takenTimeout, func() {
		if !p.link.conn.Taken(p.endOffset) { // the network holds it back
			p.abandon()
		}
	})
	p.link.retire(p.channel)
}

// takenTimeout is how long the broker's machine has to acknowledge a publish that was given up.
const takenTimeout = 60 * time.Millisecond

// abandon closes the connection of a publish that was given up and discards what the broker has not taken.
func (p *publishAttempt) abandon() {
	if p.egress.attempts[p.attempt.ID] == p {
		p.link.conn.CloseWithoutFlush()
		p.report(p.giveUpOutcome)
	}
}

// confirmed ends an attempt by its confirm, basic.ack or basic.nack. A message that was returned has not run, so that
// its basic.ack does not mean a delivery.
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

// outcomeOfClose returns the outcome of a sent publish whose channel or connection the broker closed with
// this reply code. A soft error is about the publish itself, which counts as a failure; any other is about the
// connection or the broker, which counts as a reset. Both outcomes are ambiguous.
func outcomeOfClose(code uint64) sender.Outcome {
	if f := (&amqp.Fault{Code: uint16(code)}); f.Soft() {
		return sender.OutcomeFailed
	}
	return sender.OutcomeReset
}

// outcomeOfRefusal returns the outcome of an attempt that was rejected with this reply code before its
// publish, so that it has not run.
func outcomeOfRefusal(code uint64) sender.Outcome {
	if code == amqp.ResourceError || code == amqp.ResourceLocked || code == amqp.ConnectionForced {
		return sender.OutcomeRejected
	}
	return sender.OutcomeConnectFailed
}
