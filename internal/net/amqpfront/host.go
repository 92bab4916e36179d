package amqpfront

import (
	"strings"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/conntable"
	"brackendale/sender"
)

// host is one virtual host. It has queues of its own and a front of its own at the core, so that its
// answers come back to it after a restart, and to no other host.
type host struct {
	ingress        *Ingress
	name           string
	front          string
	queues         map[string]*queue
	undelivered    map[string]struct{} // IDs of messages whose answers are queued or unacknowledged
	generatedNames int
}

// frontName is the name of a host's front in the journal. The root host has that of earlier versions,
// which had no others.
func frontName(host string) string {
	if host == access.Root {
		return Front
	}
	return Front + ":" + host
}

// Follow applies a policy. Hosts that it no longer names stay as fronts, to receive the answers to their
// messages, but can't be opened. A connection whose user no longer has access to its host is closed;
// one that was opened with a password that has changed stays.
func (in *Ingress) Follow(policy *access.Policy) {
	in.policy = policy
	for _, h := range policy.Hosts() {
		if in.hosts[h.Name] == nil {
			added := &host{
				ingress:     in,
				name:        h.Name,
				front:       frontName(h.Name),
				queues:      map[string]*queue{},
				undelivered: map[string]struct{}{},
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
		if g := policy.HostGrant(user, s.host.name); g != nil {
			s.grant = g
			return
		}
		s.closeWith(0, amqp.Errorf(amqp.ConnectionForced, "user %q may not be in this virtual host any more", user))
	})
}

// SetBackpressure sends connection.blocked or connection.unblocked to the clients that understand it.
func (h *host) SetBackpressure(on bool, why string) {
	if h.ingress.blockedReason = ""; on { // the core sets it for all fronts at once
		h.ingress.blockedReason = why
	}
	h.ingress.table.Each(func(e *conntable.Entry) {
		s, ok := e.Owner().(*session)
		switch {
		case !ok || !s.notifiesBlocked || s.stage != stageReady || s.host != h:
		case on:
			s.writeMethod(0, amqp.ConnBlocked, why)
		default:
			s.writeMethod(0, amqp.ConnUnblocked)
		}
	})
}

// MustNotify tells that every final answer must be delivered.
func (h *host) MustNotify(string) bool { return true }

// Deduplicates tells that a message with a known ID must not run again.
func (h *host) Deduplicates() bool { return true }

// Answer confirms a publish that was accepted with basic.ack, any other with basic.nack.
func (h *host) Answer(request *sender.Request, verdict sender.Verdict, _ int64) {
	p, ok := request.IngressData.(*incomingPublish)
	if !ok || p.channel.closed {
		return
	}
	all := p.channel.removePending(request)
	p.channel.session.addPending(-1)
	if verdict == sender.Accepted {
		p.channel.session.confirm(p.channel.id, p.tag, all)
		return
	}
	p.channel.session.writeMethod(p.channel.id, amqp.Nack, p.tag, false, false)
}

// Notify queues a final answer by its reply-to, once. redelivered tells that a client may have got it
// before.
func (h *host) Notify(id, correlation, outcome string, waitMs int64, redelivered bool) {
	replyTo, _, _ := strings.Cut(correlation, "\x00")
	if strings.HasPrefix(replyTo, directReplyTo+".") && h.queues[replyTo] == nil {
		h.ingress.core.Acknowledge(id) // its channel has ended, and no other may consume it
		return
	}
	if _, known := h.undelivered[id]; known {
		return
	}
	h.undelivered[id] = struct{}{}
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

// settle acknowledges answers to the core.
func (h *host) settle(ids ...string) {
	h.release(ids...)
	h.ingress.core.Acknowledge(ids...)
}

// release forgets answers that are neither queued nor unacknowledged any more.
func (h *host) release(ids ...string) {
	for _, id := range ids {
		delete(h.undelivered, id)
	}
}

// queue returns the queue of this name, and makes it where there is none.
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

// removeUnused deletes one declared queue that has no answers and consumers: a name can be used without
// a declaration.
func (h *host) removeUnused() {
	for _, q := range h.queues {
		if q.owner == nil && len(q.answers) == 0 && len(q.consumers) == 0 {
			h.ingress.reactor.Disarm(&q.timer)
			delete(h.queues, q.name)
			return
		}
	}
}

// requeue puts answers back in their order, before those that were never delivered.
func (h *host) requeue(list []delivery) {
	for i := len(list) - 1; i >= 0; i-- {
		q := h.queue(list[i].queue.name) // it may have been deleted and made again
		q.answers = append([]*answer{list[i].answer}, q.answers...)
	}
	for _, d := range list {
		q := h.queue(d.queue.name)
		q.dispatch()
		q.enforceLimits() // it may have expired in the meantime
	}
}
