package scheduler

// keyQueueSweepSlack is how many key queues beside twice those in use may exist before unused ones are dropped.
const keyQueueSweepSlack = 64

// keyQueue holds the messages of one key that are delivered in order.
type keyQueue struct {
	messages         []*message
	inFlight         int
	quarantinedUntil int64
	ambiguous        *message // the one with the ambiguous outcome; the quarantine does not hold it
}

// joinKeyQueue puts a message at the end of its key's queue, if its class is ordered by key.
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

// quarantineKey ends an attempt of a message ordered by key. After an ambiguous outcome the other
// messages of its key wait.
func (s *Scheduler) quarantineKey(msg *message, outcome Outcome) {
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

// blocks tells whether a message has to wait for others of its key.
func (q *keyQueue) blocks(msg *message, now int64) bool {
	return q.messages[0] != msg || q.inFlight > 0 || now < q.quarantinedUntil && q.ambiguous != msg
}

// sortDelays puts the random delays of a key's messages in the order of the messages: otherwise the
// longest would delay all of them.
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

// sweepKeyQueues drops the queues that nothing needs, each time their number has doubled.
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
