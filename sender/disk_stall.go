package sender

import (
	"time"

	"brackendale/scheduler"
)

// stallRetryInterval is the time between two attempts to write what the journal did not take.
const stallRetryInterval = 50 * time.Millisecond

// diskStall is what waits while the journal cannot be written. Nothing is decided meanwhile, since
// no decision could be recorded. Attempts in flight go on, and their messages' final answers are
// sent once they are recorded.
type diskStall struct {
	err            error             // why the last write failed; nil: the journal can be written
	retryScheduled bool              // a step that retries the write is due
	transactions   []*Transaction    // accepted by the step that failed: answered once they are recorded
	withheld       []withheldVerdict // on requests of that step: sent once nothing of it can be read back
}

// withheldVerdict is a request and the reply that waits.
type withheldVerdict struct {
	request *Request
	reply   reply
}

// undoStep undoes a step that could not be recorded: its requests are rejected, and no call is
// sent. Final answers that it led to are sent later. Whatever the error, the sender goes on and
// retries, since it owes final answers for what was accepted before.
func (s *Sender) undoStep(err error, decided *decision) {
	s.diskStall.err = err
	s.log.Error().Err(err).Dur("retry_ms", stallRetryInterval).
		Msg("the journal cannot be written: nothing is accepted or sent until it can")
	undone := s.undoRequests(decided)
	s.undoCalls(decided.calls, undone)
	for id, reported := range undone {
		if !reported {
			s.addEvents(scheduler.Event{Kind: scheduler.RequestWithdrawn, ID: id})
		}
	}
	for _, transaction := range decided.input.transactions { // all or nothing: an accepted one stands once it is recorded
		if transaction.reply.verdict == Accepted {
			s.diskStall.transactions = append(s.diskStall.transactions, transaction)
		} else {
			s.answerTransaction(transaction)
		}
	}
	s.scheduleRetry()
}

// undoRequests rejects the single requests that the step accepted and returns their ids.
func (s *Sender) undoRequests(decided *decision) map[string]bool {
	undone := map[string]bool{} // true: the scheduler has heard how the attempt ended
	for _, request := range decided.input.requests {
		if _, ended := decided.replies[request.ID]; ended || !request.single() {
			continue
		}
		s.pending--
		s.journal.Remove(request.ID)
		decided.replies[request.ID] = reply{Rejected, s.retryAfterMs()}
		undone[request.ID] = false
	}
	return undone
}

// undoCalls reports the attempts of the step as not sent.
func (s *Sender) undoCalls(calls []*outgoingCall, undone map[string]bool) {
	for _, call := range calls {
		endpoint := call.route.Addr
		for _, attempt := range call.attempts {
			if _, ok := undone[attempt.ID]; !ok {
				s.reportResult(AttemptResult{
					ID:       attempt.ID,
					Attempt:  attempt.Number,
					Endpoint: endpoint,
					Outcome:  OutcomeNotSent,
				})
				continue
			}
			undone[attempt.ID] = true
			if stats := s.routeStats[endpoint]; stats != nil {
				stats.InFlight--
			}
			s.addEvents(finishedUnsent(attempt.ID, endpoint))
		}
	}
}

// answerRequests answers the single requests of a step. As long as the next process may still read
// back something of a step that could not be recorded, nobody knows what becomes of its requests,
// and none is answered: Rejected would say that handing it in again does no harm, Failed that
// nothing is sent any more. Their clients time out.
func (s *Sender) answerRequests(decided *decision) {
	for _, request := range decided.input.requests {
		if !request.single() {
			continue
		}
		answer := decided.replies[request.ID] // the zero reply is Accepted
		if s.diskStall.err != nil && s.journal.HasTornTail() {
			s.diskStall.withheld = append(s.diskStall.withheld, withheldVerdict{request, answer})
			continue
		}
		s.answer(request, answer)
	}
}

// retryFlush reports whether the journal can be written. After a failure it retries the write; once
// that succeeds, what has waited for it goes on. Until then transactions that come are rejected
// here, and other requests by admit.
func (s *Sender) retryFlush() bool {
	if s.diskStall.err == nil {
		return true
	}
	err := s.journal.Flush()
	if err == nil || !s.journal.HasTornTail() {
		for _, withheld := range s.diskStall.withheld {
			s.answer(withheld.request, withheld.reply)
		}
		s.diskStall.withheld = nil
	}
	if err != nil {
		s.rejectTransactions()
		s.finishOverdue()
		s.scheduleRetry()
		return false
	}
	s.log.Info().Msg("the journal can be written again: messages are accepted and sent")
	recorded := s.diskStall.transactions
	s.diskStall = diskStall{retryScheduled: s.diskStall.retryScheduled}
	s.callOnFlushed()
	for _, transaction := range recorded {
		s.answerTransaction(transaction)
	}
	return true
}

func (s *Sender) rejectTransactions() {
	for _, transaction := range s.next.transactions {
		transaction.reply = reply{Rejected, s.retryAfterMs()}
		s.answerTransaction(transaction)
	}
	s.next.transactions = nil
}

// finishOverdue fails messages whose deadline passes while the journal cannot be written, and sends
// such final answers. They need no record: nothing of such a message is sent any more, and the next
// process would come to the same end.
func (s *Sender) finishOverdue() {
	now := s.Now()
	unrecorded := map[string]bool{}
	for _, transaction := range s.diskStall.transactions {
		for _, request := range transaction.newRequests {
			unrecorded[request.ID] = true
		}
	}
	for _, entry := range s.journal.Entries() {
		if entry.FinalAnswer == "" && entry.InFlightSince == 0 && now >= entry.Deadline && !unrecorded[entry.ID] {
			s.finish(entry.ID, Abandoned, 0)
			s.addEvents(scheduler.Event{Kind: scheduler.RequestWithdrawn, ID: entry.ID})
		}
	}
	later := s.unsentAnswers[:0]
	for _, entry := range s.unsentAnswers {
		if now >= entry.Deadline && !unrecorded[entry.ID] {
			s.notify(entry)
		} else {
			later = append(later, entry)
		}
	}
	s.unsentAnswers = later
}

// scheduleRetry wakes Run for a step that retries the write.
func (s *Sender) scheduleRetry() {
	if !s.diskStall.retryScheduled {
		s.diskStall.retryScheduled = true
		time.AfterFunc(stallRetryInterval, func() { s.Post(func() { s.diskStall.retryScheduled = false }) })
	}
}
