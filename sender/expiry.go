package sender

import (
	"container/heap"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/journal"
)

// minExpiryInterval is the least time between two rounds of forgetting expired ids.
const minExpiryInterval = 20 * time.Millisecond

// expiringIDs are the acknowledged messages whose ids are kept until they expire. One timer serves
// all of them.
type expiringIDs struct {
	queue expiryQueue
	timer *time.Timer // nil: never set
}

// scheduleExpiry forgets an acknowledged message once its class would not let it live any more,
// counted from its deadline on.
func (s *Sender) scheduleExpiry(entry *journal.Entry) {
	at := entry.Deadline.Add(clock.Microseconds(s.classes[entry.Class].DeadlineUs))
	if s.expiring.queue.add(at, entry.ID) {
		s.armExpiryTimer(at)
	}
}

// armExpiryTimer sets the timer. It may fire late: an id that is kept longer does no harm.
func (s *Sender) armExpiryTimer(at clock.Instant) {
	delay := max(minExpiryInterval, at.Sub(s.Now()))
	if s.expiring.timer == nil {
		s.expiring.timer = time.AfterFunc(delay, func() { s.Post(s.removeExpired) })
		return
	}
	s.expiring.timer.Reset(delay)
}

func (s *Sender) removeExpired() {
	if s.handedOver() {
		return
	}
	for _, id := range s.expiring.queue.popDue(s.Now()) {
		s.removeMessage(id)
	}
	if len(s.expiring.queue) > 0 {
		s.armExpiryTimer(s.expiring.queue[0].expiresAt)
	}
}

// expiringID is an id and when it expires.
type expiringID struct {
	expiresAt clock.Instant
	id        string
}

// expiryQueue is a heap of ids by when they expire.
type expiryQueue []expiringID

// Len implements heap.Interface.
func (q expiryQueue) Len() int { return len(q) }

// Less implements heap.Interface.
func (q expiryQueue) Less(i, j int) bool { return q[i].expiresAt < q[j].expiresAt }

// Swap implements heap.Interface.
func (q expiryQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) { *q = append(*q, x.(expiringID)) }

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	item := (*q)[last]
	(*q)[last] = expiringID{}
	*q = (*q)[:last]
	return item
}

// add keeps an id and reports whether it is the first to expire. Most ids come in order, which
// costs no search.
func (q *expiryQueue) add(at clock.Instant, id string) (first bool) {
	*q = append(*q, expiringID{at, id})
	heap.Fix(q, len(*q)-1)
	return (*q)[0] == expiringID{at, id}
}

// popDue returns the ids that have expired.
func (q *expiryQueue) popDue(now clock.Instant) (ids []string) {
	for len(*q) > 0 && (*q)[0].expiresAt <= now {
		item, _ := heap.Pop(q).(expiringID)
		ids = append(ids, item.id)
	}
	return ids
}
