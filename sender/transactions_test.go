package sender

import (
	"fmt"
	"testing"
)

func (f *recordingFront) AnswerTransaction(transaction *Transaction, verdict Verdict, _ int64) {
	f.answers = append(f.answers, fmt.Sprintf("group of %d: %d", len(transaction.Requests), verdict))
}

func (f *recordingFront) submitTransaction(t *testing.T, transaction *Transaction) {
	t.Helper()
	transaction.Front = "f"
	f.sender.SubmitTransaction(transaction)
	f.step(t)
}

// A transaction is rejected as a whole if the scheduler, the limit on messages or the journal rejects
// one of its messages: nothing of it is recorded, sent or acknowledged, and the scheduler keeps
// nothing of it.
func TestTransactionIsAtomic(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	front.deduplicates = true
	front.step(t, request(core, "old", 9e6))
	core.ReportAttempts(AttemptResult{ID: "old", Attempt: 0, Endpoint: "a", Outcome: OutcomeSuccess})
	front.step(t)
	front.expect(t, "old 0", "old delivered")
	front.attempts = nil
	for _, transaction := range []*Transaction{
		{Requests: []*Request{request(core, "a", 9e6), request(core, "late", 0)}, Acknowledged: []string{"old"}},
		{Requests: []*Request{request(core, "a", 9e6), request(core, "a", 9e6)}, Acknowledged: []string{"old"}},
		{Requests: []*Request{
			request(core, "a", 9e6), request(core, "b", 9e6), request(core, "c", 9e6),
			request(core, "d", 9e6),
		}},
	} {
		front.submitTransaction(t, transaction)
		front.expect(t, fmt.Sprintf("group of %d: 1", len(transaction.Requests)))
		front.step(t) // withdraws the requests from the scheduler
		if len(front.attempts) > 0 || core.journal.Get("a") != nil || core.pending != 0 ||
			core.journal.Get("old").Acknowledged {
			t.Fatal(len(front.attempts), core.pending)
		}
	}
	front.submitTransaction(t, &Transaction{
		Requests:     []*Request{request(core, "a", 9e6), request(core, "b", 9e6)},
		Acknowledged: []string{"old"},
	})
	front.expect(t, "group of 2: 0")
	if len(front.attempts) != 2 || core.pending != 2 || !core.journal.Get("old").Acknowledged {
		t.Fatal(len(front.attempts), core.pending)
	}
	// A transaction that submits a message again asks for its final answer, which is owed from then on.
	front.submitTransaction(t, &Transaction{
		Requests:     []*Request{request(core, "old", 9e6)},
		Acknowledged: []string{"old"},
	})
	front.expect(t, "group of 1: 0", "old delivered again")
	if len(front.attempts) != 2 || core.pending != 2 || core.journal.Get("old").Acknowledged {
		t.Fatal(len(front.attempts), core.pending)
	}
	core.ReportAttempts(AttemptResult{ID: "a", Attempt: 0, Endpoint: "a", Outcome: OutcomeSuccess},
		AttemptResult{ID: "b", Attempt: 0, Endpoint: "a", Outcome: OutcomeSuccess})
	front.step(t)
	front.expect(t, "a delivered", "b delivered")
}

// The transactions of one step are answered in their order, whatever the verdicts.
func TestTransactionsAreAnsweredInOrder(t *testing.T) {
	core, front := newTestSender(t, t.TempDir(), 1<<20)
	for _, transaction := range []*Transaction{
		{Requests: []*Request{request(core, "a", 9e6)}},
		{Requests: []*Request{request(core, "b", 9e6), request(core, "b", 9e6)}}, // rejected for its duplicate id
		{Requests: []*Request{request(core, "late", 0), request(core, "c", 9e6), request(core, "d", 9e6)}},
	} { // rejected by the scheduler or the limit
		transaction.Front = "f"
		core.SubmitTransaction(transaction)
	}
	front.step(t)
	front.expect(t, "group of 1: 0", "group of 2: 1", "group of 3: 1")
}

// The sender ends after the transaction is recorded and before its verdict is sent: the next
// incarnation has all of the transaction.
func TestTransactionAfterRestart(t *testing.T) {
	dir := t.TempDir()
	core, front := newTestSender(t, dir, 1<<20)
	core.UpdateRoutes("whole", []Route{}) // without routes nothing is sent
	front.step(t)
	core.SubmitTransaction(&Transaction{
		Front:    "f",
		Requests: []*Request{request(core, "a", 9e6), request(core, "b", 9e6)},
	})
	core.options.RunOnFronts = func(func()) {} // the verdict is lost
	front.step(t)
	front.expect(t)
	_ = core.journal.Close()
	core, front = newTestSender(t, dir, 1<<20)
	core.restoreJournal()
	front.step(t)
	if len(front.attempts) == 0 || core.pending != 2 || core.journal.Get("a") == nil || core.journal.Get("b") == nil {
		t.Fatal(len(front.attempts), core.pending)
	}
}
