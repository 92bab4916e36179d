package sender

import (
	"container/heap"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/journal"
)

// minExpiryInterval is the minimum time between two removals of expired ids.
const minExpiryInterval = 20 * time.Millisecond

// expiringIDs are the ids of acknowledged messages, which are kept until they expire. One timer serves
// all of them.
type expiringIDs struct {
	queue expiryQueue
	timer *time.Timer // nil: not created yet
}

// scheduleExpiry schedules the removal of an acknowledged message: after its deadline it is kept for
// as long as its class allowed a message to be pending, so that a late repeat is detected.
func (s *Sender) scheduleExpiry(entry *journal.Entry) {
	expiresAt := entry.Deadline.Add(s.retention(entry))
	if s.expiring.queue.add(expiresAt, entry.ID) {
		s.armExpiryTimer(expiresAt)
	}
}

// armExpiryTimer sets the timer. It may fire late: keeping an id longer is harmless.
func (s *Sender) armExpiryTimer(expiresAt clock.Instant) {
	delay := max(minExpiryInterval, expiresAt.Sub(s.Now()))
	if s.expiring.timer == nil {
		s.expiring.timer = time.AfterFunc(delay, func() { s.Post(s.removeExpired) })
		return
	}
	s.expiring.timer.Reset(delay)
}

// removeExpired removes the messages whose ids have expired.
func (s *Sender) removeExpired() {
	if s.handedOver() {
		return
	}
	for _, id := range s.expiring.queue.popDue(s.Now()) {
		if entry := s.journal.Get(id); entry != nil && entry.Acknowledged { // otherwise another client has asked since
			s.removeMessage(id)
		}
	}
	if len(s.expiring.queue) > 0 {
		s.armExpiryTimer(s.expiring.queue[0].expiresAt)
	}
}

// expiringID is an id and the time at which it expires.
type expiringID struct {
	expiresAt clock.Instant
	id        string
}

// expiryQueue is a heap of ids ordered by the time at which they expire.
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

// add adds an id and reports whether it is the first to expire. Most ids are added in the order in
// which they expire, so that the heap needs no reordering.
func (q *expiryQueue) add(expiresAt clock.Instant, id string) (first bool) {
	*q = append(*q, expiringID{expiresAt, id})
	heap.Fix(q, len(*q)-1)
	return (*q)[0] == expiringID{expiresAt, id}
}

// popDue removes the ids that have expired and returns them.
func (q *expiryQueue) popDue(now clock.Instant) (ids []string) {
	for len(*q) > 0 && (*q)[0].expiresAt <= now {
		item, _ := heap.Pop(q).(expiringID)
		ids = append(ids, item.id)
	}
	return ids
}
