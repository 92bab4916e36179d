package amqpfront

import (
	"slices"
	"strings"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/conntable"
	"brackendale/sender"
)

// host is one virtual host. It has its own queues and is a front of its own for the core, so that the answers to its
// messages are delivered to it, and to no other host, after a restart too.
type host struct {
	ingress        *Ingress
	name           string
	front          string
	queues         map[string]*queue
	unsettled      map[string]*answer // the queued or unacknowledged answers, by the ID of the message
	generatedNames int                // number of queue names generated
}

// frontName returns the name of a host's front in the journal. The root host keeps the name that was used by earlier
// versions, which had only this host.
func frontName(host string) string {
	if host == access.Root {
		return FrontName
	}
	return FrontName + ":" + host
}

// SetPolicy applies a policy. Hosts that are missing from it stay as fronts, to receive the answers to their
// messages, but can't be opened. A connection whose user no longer has access to its host is closed;
// one that was opened with a password that has since changed stays open.
func (in *Ingress) SetPolicy(policy *access.Policy) {
	in.policy = policy
	for _, h := range policy.Hosts() {
		if in.hosts[h.Name] == nil {
			added := &host{
				ingress:   in,
				name:      h.Name,
				front:     frontName(h.Name),
				queues:    map[string]*queue{},
				unsettled: map[string]*answer{},
			}
			in.hosts[h.Name] = added
			in.core.Post(func() { in.core.AddIngress(added.front, added) })
		}
	}
	in.table.Each(func(e *conntable.Entry) {
		s, ok := e.Owner().(*session)
		if !ok || s.host == nil {
			return
		}
		user := s.grant.User()
		if newGrant := policy.HostGrant(user, s.host.name); newGrant != nil {
			s.grant = newGrant
			return
		}
		s.closeWith(0, amqp.Errorf(amqp.ConnectionForced, "user %q may not be in this virtual host any more", user))
	})
}

// SetBackpressure sends connection.blocked or connection.unblocked to the clients that support it.
func (h *host) SetBackpressure(on bool, reason string) {
	if h.ingress.blockedReason = ""; on { // shared by all hosts: the core calls this for all fronts at once
		h.ingress.blockedReason = reason
	}
	h.ingress.table.Each(func(e *conntable.Entry) {
		s, ok := e.Owner().(*session)
		switch {
		case !ok || !s.supportsBlocked || s.stage != stageReady || s.host != h:
		case on:
			s.writeMethod(0, amqp.ConnBlocked, reason)
		default:
			s.writeMethod(0, amqp.ConnUnblocked)
		}
	})
}

// MustNotify reports that every final answer must be delivered.
func (h *host) MustNotify(string) bool { return true }

// Deduplicates reports that a message whose ID was accepted before must not run again.
func (h *host) Deduplicates() bool { return true }

// Answer confirms an accepted publish with basic.ack, and any other with basic.nack.
func (h *host) Answer(request *sender.Request, verdict sender.Verdict, _ int64) {
	incoming, ok := request.IngressData.(*incomingPublish)
	if !ok || incoming.channel.closed {
		return
	}
	noneBefore := incoming.channel.removePending(request)
	incoming.channel.session.addPending(-1)
	if verdict == sender.Accepted {
		incoming.channel.session.confirm(incoming.channel.id, incoming.tag, noneBefore)
		return
	}
	incoming.channel.session.writeMethod(incoming.channel.id, amqp.Nack, incoming.tag, false, false)
}

// IsTransient reports whether a correlation names a queue of direct reply-to, which ends with its channel.
func (h *host) IsTransient(correlation string) bool {
	return strings.HasPrefix(correlation, directReplyTo+".")
}

// Notify queues a final answer on the queue that its reply-to names. If the same answer is queued or unacknowledged
// for an earlier publish of the message, it is only for the later one from now on.
func (h *host) Notify(notice sender.Notice) {
	correlation, ok := h.reachable(notice)
	if !ok {
		h.ingress.core.Acknowledge(notice.ID) // the channels that may consume it have been closed
		return
	}
	redelivered := notice.Repeated
	if unsettled := h.unsettled[notice.ID]; unsettled != nil {
		if unsettled.correlation == correlation {
			return
		}
		redelivered = unsettled.redelivered
		h.supersede(unsettled)
	}
	next := &answer{
		id:          notice.ID,
		correlation: correlation,
		outcome:     notice.Answer,
		waitMs:      notice.RetryAfterMs,
		redelivered: redelivered,
		queuedAt:    h.ingress.reactor.Now(),
	}
	h.unsettled[next.id] = next
	q := h.queue(next.replyTo())
	q.answers = append(q.answers, next)
	q.dispatch()
	q.enforceLimits()
}

// reachable returns the correlation of the latest publish of a message whose reply-to exists.
func (h *host) reachable(notice sender.Notice) (correlation string, ok bool) {
	exists := func(correlation string) bool {
		return !h.IsTransient(correlation) || h.queues[replyTo(correlation)] != nil
	}
	if exists(notice.Correlation) {
		return notice.Correlation, true
	}
	i := slices.IndexFunc(notice.Earlier, exists)
	if i < 0 {
		return "", false
	}
	return notice.Earlier[i], true
}

// supersede withdraws an answer that another one takes the place of. If it is unacknowledged, its acknowledgement
// has no effect any more.
func (h *host) supersede(old *answer) {
	delete(h.unsettled, old.id)
	q := h.queues[old.replyTo()]
	if q == nil {
		return
	}
	if i := slices.Index(q.answers, old); i >= 0 {
		q.answers = slices.Delete(q.answers, i, i+1)
		h.removeIfUnused(q)
	}
}

// settle acknowledges answers to the core, which then drops them.
func (h *host) settle(answers ...*answer) {
	if ids := h.release(answers...); len(ids) > 0 {
		h.ingress.core.Acknowledge(ids...)
	}
}

// giveBack returns answers to the core that can't be delivered where they are.
func (h *host) giveBack(answers []*answer) {
	if ids := h.release(answers...); len(ids) > 0 {
		h.ingress.core.ReportUnheard(ids...)
	}
}

// release drops answers that are no longer queued or unacknowledged, and returns the IDs of their messages, without
// those of superseded answers.
func (h *host) release(answers ...*answer) (ids []string) {
	for _, a := range answers {
		if h.unsettled[a.id] == a {
			delete(h.unsettled, a.id)
			ids = append(ids, a.id)
		}
	}
	return ids
}

// queue returns the queue with this name, and creates it if there is none.
func (h *host) queue(name string) *queue {
	q := h.queues[name]
	if q == nil {
		if len(h.queues) >= maxQueues {
			h.removeUnused()
		}
		q = &queue{ingress: h.ingress, host: h, name: name}
		h.queues[name] = q
	}
	return q
}

// removeIfUnused deletes a queue that has no answers, consumers or declaration.
func (h *host) removeIfUnused(q *queue) {
	if len(q.answers) == 0 && len(q.consumers) == 0 && !q.declared && h.queues[q.name] == q {
		h.ingress.reactor.Disarm(&q.timer)
		delete(h.queues, q.name)
	}
}

// removeUnused deletes one queue that has no answers and no consumers and is not exclusive. A declaration may be lost
// with it, which is acceptable because a queue can be used without one.
func (h *host) removeUnused() {
	for _, q := range h.queues {
		if q.owner == nil && len(q.answers) == 0 && len(q.consumers) == 0 {
			h.ingress.reactor.Disarm(&q.timer)
			delete(h.queues, q.name)
			return
		}
	}
}

// requeue returns answers to the heads of their queues, in their original order, except for superseded ones.
func (h *host) requeue(deliveries []delivery) {
	superseded := func(d delivery) bool { return h.unsettled[d.answer.id] != d.answer }
	deliveries = slices.DeleteFunc(slices.Clone(deliveries), superseded)
	for i := len(deliveries) - 1; i >= 0; i-- {
		q := h.queue(deliveries[i].queue.name) // the queue may have been deleted and created again
		q.answers = append([]*answer{deliveries[i].answer}, q.answers...)
	}
	for _, d := range deliveries {
		q := h.queue(d.queue.name)
		q.dispatch()
		q.enforceLimits() // the answer may have expired in the meantime
	}
}
