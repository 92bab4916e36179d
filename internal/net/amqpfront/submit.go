package amqpfront

import (
	"strconv"
	"strings"

	"brackendale/internal/clock"
	"brackendale/internal/net/amqp"
	"brackendale/scheduler"
	"brackendale/sender"
)

// publish submits a message. The routing key is its destination, message-id its ID, type its class, app-id its
// tenant, and expiration the time until its deadline in milliseconds.
func (s *session) publish(ch *channel, msg *amqp.Message, fault faultFunc) error {
	props := msg.Props
	if props.ReplyTo == directReplyTo {
		if ch.directQueue == "" {
			return fault(amqp.PreconditionFailed, "direct reply-to without a consumer on this channel")
		}
		props.ReplyTo = ch.directQueue
	}
	if err := s.checkPublish(ch, msg, fault); err != nil {
		return err
	}
	ch.published++
	destination, err := strconv.ParseInt(string(msg.Bytes(2)), 10, 64)
	if err != nil || !s.grant.AllowsDestination(destination) || !s.ingress.core.HasDestination(destination) {
		return s.publishUnroutable(ch, msg, fault)
	}
	class := s.ingress.core.Class(props.Type)
	key, _ := props.Headers["idempotency-key"].(string)
	limitUs := class.DeadlineUs
	if props.Expiration != "" {
		expirationMs, err := strconv.ParseUint(props.Expiration, 10, 40)
		if err != nil {
			return fault(amqp.PreconditionFailed, "expiration is no time in milliseconds")
		}
		limitUs = min(limitUs, int64(expirationMs)*1000)
	}
	needsKey := class.Idempotency == scheduler.IdempotentByKey
	if err := s.checkProps(ch, props, key, needsKey, fault); err != nil {
		return err
	}
	incoming := &incomingPublish{channel: ch, tag: ch.published}
	incoming.Request = sender.Request{
		ID:          props.MessageID,
		Class:       props.Type,
		Tenant:      props.AppID,
		Key:         key,
		Destination: destination,
		Deadline:    s.ingress.core.Now().Add(clock.Microseconds(limitUs)),
		Body:        msg.Body,
		Front:       s.host.front,
		Correlation: props.ReplyTo + correlationSeparator + props.CorrelationID,
		IngressData: incoming,
	}
	return s.submit(ch, &incoming.Request, fault)
}

// checkPublish checks whether the publish is permitted on this channel. The destination and most properties are checked
// separately.
func (s *session) checkPublish(ch *channel, msg *amqp.Message, fault faultFunc) error {
	userID := msg.Props.UserID
	switch {
	case string(msg.Bytes(1)) != s.grant.Exchange():
		return fault(amqp.NotFound, "no exchange %q", msg.Str(1))
	case !s.grant.MayPublish(msg.Bytes(2)):
		return fault(amqp.AccessRefused, "user %q may not publish with the key %q", s.grant.User(), msg.Str(2))
	case userID != "" && userID != s.grant.User() && !s.ingress.policy.IsOpen():
		return fault(amqp.PreconditionFailed, "user-id %q is not the connection's user", userID)
	case !ch.confirms && ch.tx == nil: // with neither, the client would not be notified of a rejection
		return fault(amqp.PreconditionFailed, "confirm.select or tx.select must come first")
	case msg.Bool(4):
		return fault(amqp.NotImplemented, "immediate")
	}
	return nil
}

// checkProps checks the properties of a publish whose destination exists.
func (s *session) checkProps(ch *channel, props *amqp.Props, key string, needsKey bool, fault faultFunc) error {
	switch {
	case !s.ingress.core.HasClass(props.Type):
		return fault(amqp.PreconditionFailed, "type names no class: %q", props.Type)
	case !isToken(props.MessageID):
		return fault(amqp.PreconditionFailed, "message-id is missing or no plain word")
	case props.ReplyTo == "" || len(props.ReplyTo) > maxNameLength:
		return fault(amqp.PreconditionFailed, "reply-to is missing or too long")
	case strings.Contains(props.ReplyTo, correlationSeparator):
		return fault(amqp.PreconditionFailed, "reply-to contains a zero byte")
	case props.ReplyTo != ch.directQueue && !s.grant.MayRead(props.ReplyTo):
		return fault(amqp.AccessRefused, "user %q may not read the answers' queue %q", s.grant.User(), props.ReplyTo)
	case needsKey && key == "":
		return fault(amqp.PreconditionFailed, "header idempotency-key is missing")
	case key != "" && !isToken(key) || len(props.AppID) > maxNameLength:
		return fault(amqp.PreconditionFailed, "idempotency-key or app-id is no plain word")
	case s.host.queues[props.ReplyTo] == nil && len(s.host.queues) >= maxQueues:
		return fault(amqp.ResourceError, "too many queues")
	}
	return nil
}

// publishUnroutable returns a mandatory message without a destination, in a transaction at its commit;
// any other is a fault.
func (s *session) publishUnroutable(ch *channel, msg *amqp.Message, fault faultFunc) error {
	if mandatory := msg.Bool(3); !mandatory {
		return fault(amqp.NotFound, "no destination %q", msg.Str(2))
	}
	if ch.tx == nil {
		s.returnMessage(ch, msg)
		s.writeMethod(ch.id, amqp.Ack, ch.published, false)
		return nil
	}
	if !ch.reserveTx(len(msg.Body) + txMessageOverhead) {
		return fault(amqp.PreconditionFailed, "too much waits for its commit")
	}
	ch.tx.returns = append(ch.tx.returns, msg)
	return nil
}

// submit adds a request to the channel's transaction or, without one, to the batch that is submitted to the core at
// the end of this read.
func (s *session) submit(ch *channel, request *sender.Request, fault faultFunc) error {
	if ch.tx == nil {
		ch.pending = append(ch.pending, request)
		s.ingress.submissions = append(s.ingress.submissions, request)
		s.addPending(1)
		return nil
	}
	if !ch.reserveTx(len(request.Body) + txMessageOverhead) {
		return fault(amqp.PreconditionFailed, "too much waits for its commit")
	}
	ch.tx.requests = append(ch.tx.requests, request)
	return nil
}

// confirm acknowledges a publish. noneBefore means that no earlier publish is unconfirmed. If the last method in
// the connection's write buffer is the ack of the previous publish, that ack is widened to cover both. An
// ack never covers a rejected publish, because clients that process confirms in order (such as amqp091-go) would
// take the rejected one for accepted.
func (s *session) confirm(id uint16, tag uint64, noneBefore bool) {
	bufferTag := func(tag uint64) uint64 { return uint64(id)<<48 | tag&(1<<48-1) }
	if buffer := s.conn.Buffer(); noneBefore && s.conn.BufferTag() == bufferTag(tag-1) {
		amqp.WidenAck(buffer, tag)
		s.commitBuffer(buffer)
	} else {
		s.writeMethod(id, amqp.Ack, tag, false)
	}
	if noneBefore {
		s.conn.SetBufferTag(bufferTag(tag))
	}
}

// returnMessage sends basic.return for a mandatory message that has no destination.
func (s *session) returnMessage(ch *channel, msg *amqp.Message) {
	s.writeContent(ch.id, amqp.Return, msg.Props, msg.Body, amqp.NoRoute, "NO_ROUTE", msg.Str(1), msg.Str(2))
}

// isToken reports whether an ID or key can be passed on in a header field of any protocol: it is printable ASCII
// without spaces, and not too long.
func isToken(text string) bool {
	return text != "" && len(text) <= maxNameLength &&
		!strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r >= 0x7f })
}
