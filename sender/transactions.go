package sender

import (
	"brackendale/internal/journal"
	"brackendale/scheduler"
)

// Transaction is what a client hands in and acknowledges as one: all of it or nothing, also over a
// restart. Its requests are judged one by one, in one step. When one of them is rejected, none is
// accepted and nothing counts as acknowledged.
type Transaction struct {
	Front        string
	Requests     []*Request
	Acknowledged []string // ids of messages whose final answers have arrived
	Ref          any      // the ingress's own, for the verdict

	newRequests []*Request // of Requests, those that the step decides on
	reply       reply      // Accepted until something speaks against it
}

func (t *Transaction) reject(answer reply) { t.newRequests, t.reply = nil, answer }

// SubmitTransaction hands in a transaction; its ingress gets one verdict, after the step. Any
// goroutine may call it.
func (s *Sender) SubmitTransaction(transaction *Transaction) {
	s.Post(func() { s.submitTransaction(transaction) })
}

func (s *Sender) submitTransaction(transaction *Transaction) {
	if s.handedOver() { // its client comes again
		transaction.reply = reply{Rejected, s.retryAfterMs()}
		s.answerTransaction(transaction)
		return
	}
	// Also one that is rejected here, since verdicts come in the order of the transactions.
	s.nextInput.transactions = append(s.nextInput.transactions, transaction)
	size := 0
	for _, request := range transaction.Requests {
		decided, early := s.admit(request, transaction.newRequests, size)
		if decided && early.verdict != Accepted {
			transaction.reject(early)
			return
		}
		if !decided {
			transaction.newRequests = append(transaction.newRequests, request)
			size += journal.RecordSize(newEntry(request))
		}
	}
	if size > journal.MaxTransactionBytes { // the ingress exceeds its own bound
		transaction.reject(reply{verdict: Failed})
		return
	}
	for _, request := range transaction.newRequests {
		request.transaction = transaction
		s.enqueue(request)
	}
}

func (s *Sender) answerTransaction(transaction *Transaction) {
	answer := transaction.reply
	for _, request := range transaction.Requests {
		s.countVerdict(request.Class, answer.verdict)
	}
	if in, ok := s.ingresses[transaction.Front].(TransactionIngress); ok {
		s.enqueueCall(func() { in.AnswerTransaction(transaction, answer.verdict, answer.retryAfterMs) })
	}
}

// resolveTransactions makes the transactions of a step all or nothing. Where a request of one was
// rejected or failed, the others get the same reply, in replies; the actions for them are left out,
// and the scheduler hears in the next step that they have gone.
func (s *Sender) resolveTransactions(decided *decision) {
	withdrawn := map[string]bool{} // requests that fall with their transaction; true: the step wanted to send it
	for _, transaction := range decided.input.transactions {
		transaction.combineReplies(decided.replies)
		if transaction.reply.verdict == Accepted {
			continue
		}
		for _, request := range transaction.newRequests {
			if _, ok := decided.replies[request.ID]; !ok {
				decided.replies[request.ID] = transaction.reply
				withdrawn[request.ID] = false
			}
		}
	}
	if len(withdrawn) > 0 {
		s.withdrawDecided(decided, withdrawn)
	}
}

// combineReplies takes the highest verdict and the longest wait of the requests that have a reply.
func (t *Transaction) combineReplies(replies map[string]reply) {
	for _, request := range t.newRequests {
		if answer, ok := replies[request.ID]; ok { // never Accepted
			t.reply.verdict = max(t.reply.verdict, answer.verdict)
			t.reply.retryAfterMs = max(t.reply.retryAfterMs, answer.retryAfterMs)
		}
	}
}

// withdrawDecided removes the actions for withdrawn requests and tells the scheduler in the next
// step.
func (s *Sender) withdrawDecided(decided *decision, withdrawn map[string]bool) {
	var remaining []scheduler.Action
	var events []scheduler.Event
	for _, action := range decided.actions {
		if _, ok := withdrawn[action.ID]; !ok {
			remaining = append(remaining, action)
		} else if action.Kind == scheduler.StartAttempt {
			withdrawn[action.ID] = true
			events = append(events, unsentAttemptEvent(action.ID, action.Endpoint))
		}
	}
	for id, wanted := range withdrawn {
		if !wanted {
			events = append(events, scheduler.Event{Kind: scheduler.RequestWithdrawn, ID: id})
		}
	}
	s.Post(func() { s.addEvents(events...) })
	decided.actions = remaining
}

// unsentAttemptEvent tells the scheduler that an attempt was not sent and that its request has gone.
func unsentAttemptEvent(id, endpoint string) scheduler.Event {
	return scheduler.Event{
		Kind:     scheduler.AttemptFinished,
		ID:       id,
		Endpoint: endpoint,
		Outcome:  OutcomeNotSent,
		Final:    true,
	}
}

// recordTransaction records an accepted transaction. What one step records is one record of the
// journal: the next process finds all of it or nothing.
func (s *Sender) recordTransaction(transaction *Transaction) {
	if transaction.reply.verdict != Accepted {
		return
	}
	for _, request := range transaction.newRequests {
		s.pending++
		s.journal.Accept(newEntry(request))
	}
	for _, id := range transaction.Acknowledged {
		s.acknowledge(id)
	}
	for _, request := range transaction.Requests {
		s.notifyAgain(request)
	}
}
