package sender

import (
	"time"

	"brackendale/internal/journal"
	"brackendale/internal/metrics"
)

// finish books the final answer of an accepted message. Its client gets it once the step is
// recorded.
func (s *Sender) finish(id, answer string, retryAfterMs int64) {
	entry := s.journal.Get(id)
	if entry == nil || entry.FinalAnswer != "" {
		return
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
	if in := s.ingresses[entry.Front]; in != nil && !in.MustNotify(answer) {
		s.forget(id)
		return
	}
	s.journal.SetFinalAnswer(id, answer, retryAfterMs)
	s.unsentAnswers = append(s.unsentAnswers, entry)
}

// finishUnanswered ends an accepted message whose client gets no final answer any more.
func (s *Sender) finishUnanswered(entry *journal.Entry) {
	s.pending--
	s.finishRestored(entry.ID)
	s.metrics.CountFinal(entry.Class, metrics.ResultFailed)
	s.forget(entry.ID)
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

// notify hands a final answer to the ingress that its message came by.
func (s *Sender) notify(entry *journal.Entry) {
	in := s.ingresses[entry.Front]
	if in == nil {
		return
	}
	s.outbox = append(s.outbox, outboxItem{
		ingress:      in,
		id:           entry.ID,
		correlation:  entry.Correlation,
		answer:       entry.FinalAnswer,
		retryAfterMs: entry.RetryAfterMs,
		repeated:     entry.Notified,
	})
	entry.Notified = true
}

// notifyAgain repeats the final answer of a message that was handed in a second time, if it has
// one.
func (s *Sender) notifyAgain(request *Request) {
	if entry := s.journal.Get(request.ID); entry != nil && entry.FinalAnswer != "" {
		s.unsentAnswers = append(s.unsentAnswers, entry)
	}
}

// Acknowledge books that final answers have arrived. Any goroutine may call it.
func (s *Sender) Acknowledge(ids ...string) {
	s.Post(func() {
		if s.handedOver() {
			return // the successor notifies again
		}
		for _, id := range ids {
			s.acknowledge(id)
		}
	})
}

func (s *Sender) acknowledge(id string) {
	entry := s.journal.Get(id)
	if entry == nil || entry.FinalAnswer == "" || entry.Acknowledged {
		return
	}
	if in := s.ingresses[entry.Front]; in != nil && in.Deduplicates() {
		s.journal.Acknowledge(id)
		s.scheduleForget(entry)
		return
	}
	s.forget(id)
}

// forget removes a message from the journal.
func (s *Sender) forget(id string) {
	if entry := s.journal.Get(id); entry != nil {
		s.journal.Remove(id)
		s.rememberEnded(entry)
	}
}

// rememberEnded keeps the id of a message that is over. An ingress that deduplicates drops an id
// only when it may be used anew, and then the sender owes a final answer for it.
func (s *Sender) rememberEnded(entry *journal.Entry) {
	if in := s.ingresses[entry.Front]; in != nil && !in.Deduplicates() {
		s.endedIDs.add(entry.ID)
	}
}
