package scheduler

// keyQueueSweepSlack is the number of key queues, in addition to twice those in use, from which unused
// ones are dropped.
const keyQueueSweepSlack = 64

// keyQueue contains the messages of one key, which are delivered in order.
type keyQueue struct {
	messages         []*message
	inFlight         int
	quarantinedUntil int64
	ambiguous        *message // the message with the ambiguous outcome; the quarantine does not block it
}

// joinKeyQueue appends a message to its key's queue if its class is ordered by key.
func (s *Scheduler) joinKeyQueue(msg *message, event *Event) {
	if !msg.class.OrderedByKey || !event.HasKey {
		return
	}
	queue := s.keyQueues[event.Key]
	if queue == nil {
		s.sweepKeyQueues()
		queue = &keyQueue{}
		s.keyQueues[event.Key] = queue
	}
	queue.messages = append(queue.messages, msg)
	msg.keyQueue = queue
}

// recordKeyOutcome records the end of an attempt in the message's key queue. An ambiguous outcome puts the
// key in quarantine: its other messages wait.
func (s *Scheduler) recordKeyOutcome(msg *message, outcome Outcome) {
	queue := msg.keyQueue
	if queue == nil {
		return
	}
	queue.inFlight--
	if outcome.isAmbiguous() {
		queue.quarantinedUntil = max(queue.quarantinedUntil, s.now+s.settings.Rules.KeyQuarantineUs)
		queue.ambiguous = msg
	}
}

// blocks reports whether a message has to wait for others of its key.
func (q *keyQueue) blocks(msg *message, now int64) bool {
	return q.messages[0] != msg || q.inFlight > 0 || now < q.quarantinedUntil && q.ambiguous != msg
}

// sortDelays reassigns the random delays of a key's messages in ascending order. Otherwise a long delay
// of the first message would hold up all the others.
func (q *keyQueue) sortDelays() {
	if q == nil {
		return
	}
	for i := 1; i < len(q.messages); i++ {
		for j := i; j > 0 && q.messages[j].notBefore < q.messages[j-1].notBefore; j-- {
			first, second := q.messages[j-1], q.messages[j]
			first.notBefore, second.notBefore = second.notBefore, first.notBefore
		}
	}
}

// sweepKeyQueues drops the unused queues each time the number of queues has doubled.
func (s *Scheduler) sweepKeyQueues() {
	if len(s.keyQueues) < s.keyQueueSweepSize {
		return
	}
	for key, queue := range s.keyQueues {
		if len(queue.messages) == 0 && queue.inFlight == 0 && s.now >= queue.quarantinedUntil {
			delete(s.keyQueues, key)
		}
	}
	s.keyQueueSweepSize = 2*len(s.keyQueues) + keyQueueSweepSlack
}
