package sender

import (
	"slices"

	"brackendale/internal/journal"
	"brackendale/scheduler"
)

// Transaction is a group of requests and acknowledgements that a client submits atomically: all of it
// takes effect or nothing, also across a restart. Its requests are decided one by one, in one step. If
// one of them is rejected, none is accepted and nothing is acknowledged.
type Transaction struct {
	Front        string
	Requests     []*Request
	Acknowledged []string // ids of messages whose final answers the client has received
	IngressData  any      // private data of the ingress, for the verdict

	newRequests []*Request // those of Requests that the step decides on; the others are repeats
	reply       reply      // Accepted until a request is rejected or fails
}

// reject ends a transaction before the step with a reply that is not Accepted.
func (t *Transaction) reject(answer reply) { t.newRequests, t.reply = nil, answer }

// SubmitTransaction submits a transaction; its ingress gets one verdict after the next step. Any
// goroutine may call it.
func (s *Sender) SubmitTransaction(transaction *Transaction) {
	s.Post(func() { s.submitTransaction(transaction) })
}

func (s *Sender) submitTransaction(transaction *Transaction) {
	if s.handedOver() { // its client submits it to the successor
		transaction.reply = reply{verdict: Rejected, retryAfterMs: s.retryAfterMs()}
		s.answerTransaction(transaction)
		return
	}
	// One that is rejected here is queued too, since verdicts are sent in the order of the transactions.
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
			size += journal.RecordSize(s.newEntry(request))
		}
	}
	if size > journal.MaxTransactionBytes { // the ingress exceeds its own limit
		transaction.reject(reply{verdict: Failed})
		return
	}
	for _, request := range transaction.newRequests {
		request.transaction = transaction
		s.enqueue(request)
	}
}

// answerTransaction counts the verdict on each request of a transaction and queues the reply for the
// ingress.
func (s *Sender) answerTransaction(transaction *Transaction) {
	answer := transaction.reply
	for _, request := range transaction.Requests {
		s.countVerdict(request.Class, answer.verdict)
	}
	if ingress, ok := s.ingresses[transaction.Front].(TransactionIngress); ok {
		s.enqueueCall(func() { ingress.AnswerTransaction(transaction, answer.verdict, answer.retryAfterMs) })
	}
}

// resolveTransactions makes the transactions of a step atomic. If a request of a transaction was
// rejected or failed, the other requests get the same reply in decided.replies, their actions are
// removed, and the next step withdraws them from the scheduler.
func (s *Sender) resolveTransactions(decided *decision) {
	withdrawn := map[string]bool{} // requests withdrawn with their transaction; true: the step started an attempt
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

// combineReplies sets the reply to the highest verdict and the longest Retry-After of the requests that
// have a reply.
func (t *Transaction) combineReplies(replies map[string]reply) {
	for _, request := range t.newRequests {
		if answer, ok := replies[request.ID]; ok { // never Accepted
			t.reply.verdict = max(t.reply.verdict, answer.verdict)
			t.reply.retryAfterMs = max(t.reply.retryAfterMs, answer.retryAfterMs)
		}
	}
}

// withdrawDecided removes the actions for withdrawn requests and reports the withdrawal to the
// scheduler in the next step. An attempt that the step started is reported as not sent.
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
	for id, started := range withdrawn {
		if !started {
			events = append(events, scheduler.Event{Kind: scheduler.RequestWithdrawn, ID: id})
		}
	}
	s.Post(func() { s.addEvents(events...) })
	decided.actions = remaining
}

// unsentAttemptEvent returns the scheduler event for an attempt that was not sent and whose request is
// removed.
func unsentAttemptEvent(id, endpoint string) scheduler.Event {
	return scheduler.Event{
		Kind:     scheduler.AttemptFinished,
		ID:       id,
		Endpoint: endpoint,
		Outcome:  OutcomeNotSent,
		Final:    true,
	}
}

// recordTransaction records an accepted transaction. All that one step records is one record of the
// journal, so the next incarnation finds all of the transaction or nothing.
func (s *Sender) recordTransaction(transaction *Transaction) {
	if transaction.reply.verdict != Accepted {
		return
	}
	for _, request := range transaction.newRequests {
		s.accept(request)
	}
	for _, id := range transaction.Acknowledged {
		s.acknowledge(id)
	}
	for _, request := range transaction.Requests {
		if !slices.Contains(transaction.newRequests, request) {
			s.recordRepeat(request)
		}
	}
}
