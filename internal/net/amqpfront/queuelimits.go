package amqpfront

import (
	"strings"
	"time"

	"brackendale/internal/net/amqp"
	"brackendale/internal/timers"
)

// queueLimits are the limits that a client sets when it declares a queue; a zero value means no limit. The
// names and meanings of the arguments are RabbitMQ's.
type queueLimits struct {
	maxAnswers int // x-max-length: maximum number of queued answers; the oldest are dropped
	// x-message-ttl: how long an answer may be queued; negative: it is delivered at once or dropped
	ttl     time.Duration
	expires time.Duration // x-expires: an unused queue is deleted after this time
}

// The only supported values of x-overflow and x-queue-type.
const (
	overflowDropHead = "drop-head"
	queueTypeClassic = "classic"
)

// maxLimitTime is the upper bound of the time limits that a client may set, as with RabbitMQ.
const maxLimitTime = 10 * 365 * 24 * time.Hour

// readLimits decodes the limits from the arguments of queue.declare. The fault for an invalid argument names it.
func readLimits(args amqp.Table, fault faultFunc) (limits queueLimits, err error) {
	for name, value := range args {
		number, isInteger := value.(int64)
		ms := time.Duration(number) * time.Millisecond
		valid := isInteger && number >= 0 && number <= int64(maxLimitTime/time.Millisecond)
		switch name {
		case "x-max-length":
			if valid = valid && number >= 1 && number <= maxQueueLength; valid {
				limits.maxAnswers = int(number)
			}
		case "x-message-ttl":
			if limits.ttl = ms; number == 0 {
				limits.ttl = -1
			}
		case "x-expires":
			valid = valid && number > 0
			limits.expires = ms
		case "x-overflow":
			if value != overflowDropHead {
				return limits, fault(amqp.NotImplemented, "x-overflow: the oldest answer gives way (drop-head)")
			}
			valid = true
		case "x-queue-type":
			if value != queueTypeClassic {
				return limits, fault(amqp.NotImplemented, "x-queue-type: queues are classic")
			}
			valid = true
		default:
			if strings.HasPrefix(name, "x-") {
				return limits, fault(amqp.NotImplemented, "argument %s is not served", name)
			}
			valid = true
		}
		if !valid {
			return limits, fault(amqp.PreconditionFailed, "argument %s: %v is out of its range", name, value)
		}
	}
	return limits, nil
}

// maxQueueLength is the largest valid x-max-length.
const maxQueueLength = 1 << 20

// enforceLimits drops the answers that exceed the queue's limits, which then count as acknowledged, and
// arms the timer for the next expiration.
func (q *queue) enforceLimits() {
	now, excess := q.ingress.reactor.Now(), 0
	if q.maxAnswers > 0 {
		excess = max(0, len(q.answers)-q.maxAnswers)
	}
	for q.ttl != 0 && excess < len(q.answers) && now-q.answers[excess].queuedAt >= q.ttl {
		excess++
	}
	if excess > 0 {
		dropped := q.answers[:excess]
		q.answers = q.answers[excess:]
		q.host.settle(dropped...)
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

// Due deletes the queue if it has expired, otherwise it drops expired answers.
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
