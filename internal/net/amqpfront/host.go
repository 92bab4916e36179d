package amqpfront

import (
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
	unsettledIDs   map[string]struct{} // IDs of messages whose answers are queued or unacknowledged
	generatedNames int                 // number of queue names generated
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
				ingress:      in,
				name:         h.Name,
				front:        frontName(h.Name),
				queues:       map[string]*queue{},
				unsettledIDs: map[string]struct{}{},
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

// Notify queues a final answer on the queue that its reply-to names. An answer that is queued or unacknowledged already
// is ignored. redelivered means that a client may have received it before.
func (h *host) Notify(id, correlation, outcome string, waitMs int64, redelivered bool) {
	replyTo, _, _ := strings.Cut(correlation, "\x00")
	if strings.HasPrefix(replyTo, directReplyTo+".") && h.queues[replyTo] == nil {
		h.ingress.core.Acknowledge(id) // the channel that may consume it has been closed
		return
	}
	if _, known := h.unsettledIDs[id]; known {
		return
	}
	h.unsettledIDs[id] = struct{}{}
	q := h.queue(replyTo)
	q.answers = append(q.answers, &answer{
		id:          id,
		correlation: correlation,
		outcome:     outcome,
		waitMs:      waitMs,
		redelivered: redelivered,
		queuedAt:    h.ingress.reactor.Now(),
	})
	q.dispatch()
	q.enforceLimits()
}

// settle acknowledges answers to the core, which then drops them.
func (h *host) settle(ids ...string) {
	h.release(ids...)
	h.ingress.core.Acknowledge(ids...)
}

// release drops the IDs of answers that are no longer queued or unacknowledged.
func (h *host) release(ids ...string) {
	for _, id := range ids {
		delete(h.unsettledIDs, id)
	}
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

// requeue returns answers to the heads of their queues, in their original order.
func (h *host) requeue(deliveries []delivery) {
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
