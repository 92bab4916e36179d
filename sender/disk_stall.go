package sender

import (
	"time"

	"brackendale/scheduler"
)

// stallRetryInterval is the time between two attempts to write a journal record whose write failed.
const stallRetryInterval = 50 * time.Millisecond

// diskStall is the state that waits while the journal cannot be written. The scheduler makes no steps
// meanwhile, since no decision could be recorded. Attempts in flight continue, and the final answers
// of their messages are sent once they are recorded.
type diskStall struct {
	err            error           // of the last write; nil: the journal can be written
	retryScheduled bool            // Run will be woken to retry the write
	transactions   []*Transaction  // accepted by the step that failed: answered once they are recorded
	withheld       []withheldReply // for requests of that step: sent once no part of its record can be read back
}

// unrecorded returns the ids of messages that are accepted but not recorded.
func (d *diskStall) unrecorded() map[string]bool {
	ids := map[string]bool{}
	for _, transaction := range d.transactions {
		for _, request := range transaction.newRequests {
			ids[request.ID] = true
		}
	}
	return ids
}

// withheldReply is a request and the reply that is withheld from it.
type withheldReply struct {
	request *Request
	reply   reply
}

// undoStep undoes a step that could not be recorded: its requests are rejected and its calls are not
// sent. Final answers that the step decided are sent once they are recorded. Whatever the error is,
// the sender continues and retries the write, since messages that were accepted before must get
// their final answers.
func (s *Sender) undoStep(err error, decided *decision) {
	s.diskStall.err = err
	s.log.Error().Err(err).Dur("retry_ms", stallRetryInterval).
		Msg("writing the journal failed: no messages are accepted or sent until a retry succeeds")
	undone := s.undoRequests(decided)
	s.undoCalls(decided.calls, undone)
	for id, reported := range undone {
		if !reported {
			s.addEvents(scheduler.Event{Kind: scheduler.RequestWithdrawn, ID: id})
		}
	}
	// Transactions are atomic: an accepted one stays accepted and is answered once it is recorded.
	for _, transaction := range decided.input.transactions {
		if transaction.reply.verdict == Accepted {
			s.diskStall.transactions = append(s.diskStall.transactions, transaction)
		} else {
			s.answerTransaction(transaction)
		}
	}
	s.scheduleRetry()
}

// undoRequests rejects the standalone requests that the step accepted and returns their ids. The value
// of an id becomes true when an attempt of the request is reported to the scheduler as not sent,
// which also removes the request there.
func (s *Sender) undoRequests(decided *decision) map[string]bool {
	undone := map[string]bool{}
	for _, request := range decided.input.requests {
		if _, ended := decided.replies[request.ID]; ended || !request.standalone() {
			continue
		}
		s.pending--
		s.journal.Remove(request.ID)
		s.guard.Undo(request.ID)
		decided.replies[request.ID] = reply{
			verdict: Rejected, retryAfterMs: s.retryAfterMs(), reason: "the journal cannot be written",
		}
		undone[request.ID] = false
	}
	return undone
}

// undoCalls reports the attempts of the step to the scheduler as not sent.
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
			s.addEvents(unsentAttemptEvent(attempt.ID, endpoint))
		}
	}
}

// answerRequests answers the standalone requests of a step. If a record that could not be written may
// still be read back in part by the next incarnation, the disposition of its requests is unknown and
// none is answered: Rejected would promise that submitting the request again is safe, and Failed that
// nothing is sent any more. The clients of such requests time out.
func (s *Sender) answerRequests(decided *decision) {
	for _, request := range decided.input.requests {
		if !request.standalone() {
			continue
		}
		answer := decided.replies[request.ID] // the zero reply is Accepted
		if s.diskStall.err != nil && s.journal.HasTornTail() {
			s.diskStall.withheld = append(s.diskStall.withheld, withheldReply{request, answer})
			continue
		}
		s.answer(request, answer)
	}
}

// retryFlush reports whether the journal can be written. After a failure it retries the write; once
// that succeeds, the replies and functions that waited for it follow. Until then it rejects new
// transactions, and admit rejects new standalone requests.
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

// rejectTransactions rejects the transactions that arrived while the journal cannot be written.
func (s *Sender) rejectTransactions() {
	for _, transaction := range s.nextInput.transactions {
		transaction.reply = reply{verdict: Rejected, retryAfterMs: s.retryAfterMs(), reason: "the journal cannot be written"}
		s.answerTransaction(transaction)
	}
	s.nextInput.transactions = nil
}

// finishOverdue fails messages whose deadline passes while the journal cannot be written, and sends
// the final answers of messages past their deadline. These answers need no record: such a message is
// not sent any more, and the next incarnation would give the same final answer.
func (s *Sender) finishOverdue() {
	now := s.Now()
	unrecorded := s.diskStall.unrecorded()
	for _, entry := range s.journal.Entries() {
		if entry.FinalAnswer == "" && entry.InFlightSince == 0 && now >= entry.Deadline && !unrecorded[entry.ID] {
			s.finish(entry.ID, DeliveryFailed, 0)
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

// scheduleRetry schedules an iteration of Run that retries the write.
func (s *Sender) scheduleRetry() {
	if !s.diskStall.retryScheduled {
		s.diskStall.retryScheduled = true
		time.AfterFunc(stallRetryInterval, func() { s.Post(func() { s.diskStall.retryScheduled = false }) })
	}
}
