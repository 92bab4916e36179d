package amqpfront

import (
	"strings"
	"time"

	"brackendale/internal/net/amqp"
	"brackendale/internal/timers"
)

// queueLimits are the limits that a client set when it declared a queue; zero values are no limit. The
// arguments' names and meanings are RabbitMQ's.
type queueLimits struct {
	maxAnswers int // x-max-length: queued answers; the oldest is dropped
	// x-message-ttl: how long an answer is queued; below 0: it is delivered at once or not at all
	ttl     time.Duration
	expires time.Duration // x-expires: the queue is deleted after this time without use
}

// The one supported value each of x-overflow and x-queue-type.
const (
	overflowDropHead = "drop-head"
	queueTypeClassic = "classic"
)

// maxLimit is the largest time that a client may set, as with RabbitMQ.
const maxLimit = 10 * 365 * 24 * time.Hour

// readLimits reads the limits from a declaration's arguments. The fault of an invalid one names it.
func readLimits(args amqp.Table, fault faultFunc) (l queueLimits, err error) {
	for name, v := range args {
		n, whole := v.(int64)
		ms := time.Duration(n) * time.Millisecond
		valid := whole && n >= 0 && n <= int64(maxLimit/time.Millisecond)
		switch name {
		case "x-max-length":
			if valid = valid && n >= 1 && n <= maxQueueLength; valid {
				l.maxAnswers = int(n)
			}
		case "x-message-ttl":
			if l.ttl = ms; n == 0 {
				l.ttl = -1
			}
		case "x-expires":
			valid = valid && n > 0
			l.expires = ms
		case "x-overflow":
			if v != overflowDropHead {
				return l, fault(amqp.NotImplemented, "x-overflow: the oldest answer gives way (drop-head)")
			}
			valid = true
		case "x-queue-type":
			if v != queueTypeClassic {
				return l, fault(amqp.NotImplemented, "x-queue-type: queues are classic")
			}
			valid = true
		default:
			if strings.HasPrefix(name, "x-") {
				return l, fault(amqp.NotImplemented, "argument %s is not served", name)
			}
			valid = true
		}
		if !valid {
			return l, fault(amqp.PreconditionFailed, "argument %s: %v is out of its range", name, v)
		}
	}
	return l, nil
}

// maxAnswers is the largest x-max-length.
const maxQueueLength = 1 << 20

// enforceLimits drops the answers that are over the queue's limits, which count as acknowledged, and
// arms the timer for the next.
func (q *queue) enforceLimits() {
	now, old := q.ingress.reactor.Now(), 0
	if q.maxAnswers > 0 {
		old = max(0, len(q.answers)-q.maxAnswers)
	}
	for q.ttl != 0 && old < len(q.answers) && now-q.answers[old].queuedAt >= q.ttl {
		old++
	}
	if old > 0 {
		late := q.answers[:old]
		q.answers = q.answers[old:]
		ids := make([]string, old)
		for i, a := range late {
			ids[i] = a.id
		}
		q.host.settle(ids...)
	}
	var next time.Duration
	if q.ttl > 0 && len(q.answers) > 0 {
		next = q.answers[0].queuedAt + q.ttl
	}
	if q.expires > 0 && len(q.consumers) == 0 && (next == 0 || q.lastUsed+q.expires < next) {
		next = q.lastUsed + q.expires
	}
	if next > 0 {
		q.ingress.reactor.Arm(&q.timer, next-now, timers.TickSlack, q)
	}
}

// Due drops expired answers, or the queue if it has expired itself.
func (q *queue) Due(*timers.Timer) {
	if q.host.queues[q.name] != q {
		return
	}
	if q.expires > 0 && len(q.consumers) == 0 && q.ingress.reactor.Now()-q.lastUsed >= q.expires {
		q.discard()
		q.host.removeQueue(q)
		return
	}
	q.enforceLimits()
}
