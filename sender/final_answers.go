package sender

import (
	"slices"
	"time"

	"brackendale/internal/eventlog"
	"brackendale/internal/journal"
	"brackendale/internal/metrics"
)

// finish records the final answer of an accepted message. Its client gets the answer once the step is
// recorded in the journal. A message that has a final answer keeps it.
func (s *Sender) finish(id, answer string, retryAfterMs int64) {
	entry := s.journal.Get(id)
	if entry == nil || entry.FinalAnswer != "" {
		return
	}
	if !s.guard.End(id, answer == Returned) {
		answer = DeliveryFailed
	}
	s.pending--
	s.finishRestored(id)
	s.finalAnswerRate.add(time.Since(s.startedAt))
	s.addRecentAnswer(FinalAnswer{
		ID:           entry.ID,
		Class:        entry.Class,
		Answer:       answer,
		RetryAfterMs: retryAfterMs,
		At:           time.Now(),
	})
	s.countFinalAnswer(entry.Class, answer)
	s.events.Record(eventlog.Event{Kind: eventlog.Ended, Message: id, WaitMs: retryAfterMs, Reason: answer})
	if in := s.ingresses[entry.Front]; in != nil && !in.MustNotify(answer) {
		s.removeMessage(id)
		return
	}
	s.journal.SetFinalAnswer(id, answer, retryAfterMs)
	s.unsentAnswers = append(s.unsentAnswers, entry)
}

// finishUnanswered ends an accepted message without a final answer to its client.
func (s *Sender) finishUnanswered(entry *journal.Entry) {
	s.guard.End(entry.ID, false)
	s.pending--
	s.finishRestored(entry.ID)
	s.metrics.CountFinal(entry.Class, metrics.ResultFailed)
	s.events.Record(eventlog.Event{Kind: eventlog.Ended, Message: entry.ID, Reason: "void, as its endpoint says"})
	s.removeMessage(entry.ID)
}

func (s *Sender) countFinalAnswer(class, answer string) {
	switch answer {
	case Delivered:
		s.stats.Delivered++
		s.metrics.CountFinal(class, metrics.ResultDelivered)
	case Returned:
		s.stats.Returned++
		s.metrics.CountFinal(class, metrics.ResultRejected)
	default:
		s.stats.Failed++
		s.metrics.CountFinal(class, metrics.ResultFailed)
	}
}

// notify queues a final answer for the ingress of its message.
func (s *Sender) notify(entry *journal.Entry) {
	in := s.ingresses[entry.Front]
	if in == nil { // the settings lack it, now
		s.withoutFront[entry.Front] = append(s.withoutFront[entry.Front], entry)
		return
	}
	s.abandonAttempt(entry.ID)
	s.outbox = append(s.outbox, outboxItem{ingress: in, guard: s.guard, notice: newNotice(entry)})
	entry.Notified = true
}

// newNotice returns the final answer of an entry.
func newNotice(entry *journal.Entry) Notice {
	notice := Notice{
		ID:           entry.ID,
		Correlation:  entry.Correlation,
		Answer:       entry.FinalAnswer,
		RetryAfterMs: entry.RetryAfterMs,
		Repeated:     entry.Notified,
	}
	if n := len(entry.LaterCorrelations); n > 0 {
		notice.Correlation = entry.LaterCorrelations[n-1]
		notice.Earlier = append([]string{entry.Correlation}, entry.LaterCorrelations[:n-1]...)
		slices.Reverse(notice.Earlier)
	}
	return notice
}

// ReportUnheard reports that the reply address of final answers has ended before their client received them. They go
// to clients that submitted the messages earlier, as far as there are any. Any goroutine may call it.
func (s *Sender) ReportUnheard(ids ...string) {
	s.Post(func() {
		if s.handedOver() {
			return // the successor repeats the final answers
		}
		for _, id := range ids {
			if entry := s.journal.Get(id); entry != nil && entry.FinalAnswer != "" && !entry.Acknowledged {
				s.unsentAnswers = append(s.unsentAnswers, entry)
			}
		}
	})
}

// Acknowledge records that clients have received the final answers of these messages. Any goroutine
// may call it.
func (s *Sender) Acknowledge(ids ...string) {
	s.Post(func() {
		if s.handedOver() {
			return // the successor repeats the final answers
		}
		for _, id := range ids {
			s.acknowledge(id)
		}
	})
}

// acknowledge records that a client has received the final answer of a message. The message is removed
// at once, or kept until its id expires if its ingress deduplicates.
func (s *Sender) acknowledge(id string) {
	entry := s.journal.Get(id)
	if entry == nil || entry.FinalAnswer == "" || entry.Acknowledged {
		return
	}
	if in := s.ingresses[entry.Front]; in != nil && in.Deduplicates() {
		s.journal.Acknowledge(id)
		s.scheduleExpiry(entry)
		return
	}
	s.removeMessage(id)
}

// removeMessage removes a message from the journal.
func (s *Sender) removeMessage(id string) {
	if entry := s.journal.Get(id); entry != nil {
		s.guard.Forget(id)
		s.journal.Remove(id)
		s.recordEndedID(entry)
	}
}

// recordEndedID keeps the id of a removed message, so that a repeat is not sent again. It does not do
// so for an ingress that deduplicates: there an id is kept in the journal until it may be reused, and
// a new message with that id must get a final answer of its own.
func (s *Sender) recordEndedID(entry *journal.Entry) {
	if in := s.ingresses[entry.Front]; in != nil && !in.Deduplicates() {
		s.endedIDs.add(entry.ID)
	}
}
