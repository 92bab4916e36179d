package sender

import (
	"fmt"
	"testing"
)

func (f *recordingFront) AnswerTransaction(g *Transaction, v Verdict, _ int64) {
	f.answers = append(f.answers, fmt.Sprintf("group of %d: %d", len(g.Requests), v))
}

func (f *recordingFront) submitTransaction(t *testing.T, g *Transaction) {
	t.Helper()
	g.Front = "f"
	f.sender.SubmitTransaction(g)
	f.step(t)
}

// A transaction of which the scheduler, the limit or the journal rejects one message is rejected
// whole: nothing of it is written, sent or acknowledged, and the scheduler holds nothing of it
// either.
func TestTransactionIsAtomic(t *testing.T) {
	s, f := newTestSender(t, t.TempDir(), 1<<20)
	f.deduplicates = true
	f.step(t, request(s, "old", 9e6))
	s.ReportAttempts(AttemptResult{ID: "old", Attempt: 0, Endpoint: "a", Outcome: OutcomeSuccess})
	f.step(t)
	f.expect(t, "old 0", "old delivered")
	f.attempts = nil
	for _, g := range []*Transaction{
		{Requests: []*Request{request(s, "a", 9e6), request(s, "late", 0)}, Acknowledged: []string{"old"}},
		{Requests: []*Request{request(s, "a", 9e6), request(s, "a", 9e6)}, Acknowledged: []string{"old"}},
		{Requests: []*Request{request(s, "a", 9e6), request(s, "b", 9e6), request(s, "c", 9e6), request(s, "d", 9e6)}},
	} {
		f.submitTransaction(t, g)
		f.expect(t, fmt.Sprintf("group of %d: 1", len(g.Requests)))
		f.step(t) // the scheduler hears that they have gone
		if len(f.attempts) > 0 || s.journal.Get("a") != nil || s.pending != 0 || s.journal.Get("old").Acknowledged {
			t.Fatal(len(f.attempts), s.pending)
		}
	}
	f.submitTransaction(t, &Transaction{
		Requests:     []*Request{request(s, "a", 9e6), request(s, "b", 9e6), request(s, "old", 9e6)},
		Acknowledged: []string{"old"},
	})
	f.expect(t, "group of 3: 0", "old delivered again")
	if len(f.attempts) != 2 || s.pending != 2 || !s.journal.Get("old").Acknowledged {
		t.Fatal(len(f.attempts), s.pending)
	}
	s.ReportAttempts(AttemptResult{ID: "a", Attempt: 0, Endpoint: "a", Outcome: OutcomeSuccess},
		AttemptResult{ID: "b", Attempt: 0, Endpoint: "a", Outcome: OutcomeSuccess})
	f.step(t)
	f.expect(t, "a delivered", "b delivered")
}

// Two transactions of one step are answered in their order, whatever the verdicts.
func TestTransactionsAreAnsweredInOrder(t *testing.T) {
	s, f := newTestSender(t, t.TempDir(), 1<<20)
	for _, g := range []*Transaction{
		{Requests: []*Request{request(s, "a", 9e6)}},
		{Requests: []*Request{request(s, "b", 9e6), request(s, "b", 9e6)}}, // rejected for its double id
		{Requests: []*Request{request(s, "late", 0), request(s, "c", 9e6), request(s, "d", 9e6)}},
	} { // rejected by the scheduler or the limit
		g.Front = "f"
		s.SubmitTransaction(g)
	}
	f.step(t)
	f.expect(t, "group of 1: 0", "group of 2: 1", "group of 3: 1")
}

// The sender ends after the journal is written and before the verdict: all of the transaction is
// there in the next incarnation.
func TestTransactionAfterRestart(t *testing.T) {
	dir := t.TempDir()
	s, f := newTestSender(t, dir, 1<<20)
	s.UpdateRoutes("whole", []Route{}) // nothing leaves
	f.step(t)
	s.SubmitTransaction(&Transaction{Front: "f", Requests: []*Request{request(s, "a", 9e6), request(s, "b", 9e6)}})
	s.options.RunOnFronts = func(func()) {} // the answer is lost
	f.step(t)
	f.expect(t)
	_ = s.journal.Close()
	s, f = newTestSender(t, dir, 1<<20)
	s.restoreJournal()
	f.step(t)
	if len(f.attempts) == 0 || s.pending != 2 || s.journal.Get("a") == nil || s.journal.Get("b") == nil {
		t.Fatal(len(f.attempts), s.pending)
	}
}
