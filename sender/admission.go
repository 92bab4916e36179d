package sender

import (
	"slices"

	"brackendale/internal/journal"
	"brackendale/internal/metrics"
	"brackendale/scheduler"
)

// Submit hands in requests that came together; their ingress gets a verdict on each, after the
// step. Any goroutine may call it.
func (s *Sender) Submit(requests ...*Request) {
	if len(requests) == 0 {
		return
	}
	s.Post(func() {
		for _, request := range requests {
			s.submit(request)
		}
	})
}

func (s *Sender) submit(request *Request) {
	if s.handedOver() {
		s.hotRestart.successor.Submit(request)
		return
	}
	decided, early := s.admit(request, nil, 0)
	if !decided {
		s.enqueue(request)
		return
	}
	s.answer(request, early)
	if early.verdict == Accepted {
		s.notifyAgain(request)
	}
}

// admit judges a request before the scheduler is asked. decided says that it needs no step, and
// early is its answer then. ahead are the requests of its transaction before it, and aheadBytes is
// what they take in the journal.
func (s *Sender) admit(request *Request, ahead []*Request, aheadBytes int) (decided bool, early reply) {
	if entry := s.journal.Get(request.ID); entry != nil {
		if entry.Front != request.Front { // the id is another front's
			return true, reply{verdict: Failed}
		}
		return true, reply{verdict: Accepted} // its client did not get the verdict
	}
	if s.endedIDs.has(request.ID) {
		return true, reply{verdict: Accepted}
	}
	if !s.hasRoom(request, ahead, aheadBytes) || s.stats.Paused || s.diskStall.err != nil {
		return true, reply{Rejected, s.retryAfterMs()}
	}
	sameID := func(other *Request) bool { return other.ID == request.ID }
	if s.next.requestIDs[request.ID] || slices.ContainsFunc(ahead, sameID) {
		return true, reply{Rejected, s.retryAfterMs()}
	}
	return false, reply{}
}

// hasRoom reports whether the limit of messages and the journal have room for a request.
func (s *Sender) hasRoom(request *Request, ahead []*Request, aheadBytes int) bool {
	limit := s.options.Settings.Limits.MaxMessages
	if limit > 0 && s.pending+len(s.next.requests)+len(ahead) >= limit {
		return false
	}
	return s.journal.HasSpace(aheadBytes+journal.RecordSize(newEntry(request)), s.next.promisedBytes)
}

// enqueue lets the next step decide on a request.
func (s *Sender) enqueue(request *Request) {
	s.next.promisedBytes += journal.RecordSize(newEntry(request))
	s.next.requests = append(s.next.requests, request)
	s.next.requestIDs[request.ID] = true
	s.addEvents(scheduler.Event{
		Kind:        scheduler.RequestAccepted,
		ID:          request.ID,
		Class:       request.Class,
		Tenant:      request.Tenant,
		Destination: request.Destination,
		Deadline:    int64(request.Deadline),
	})
}

// Withdraw takes back a request that no step has taken in yet; its verdict is Failed. One that a
// step has taken in stays, and its verdict is on its way. Any goroutine may call it.
func (s *Sender) Withdraw(request *Request) {
	s.Post(func() {
		if s.handedOver() {
			s.hotRestart.successor.Withdraw(request)
			return
		}
		for i, queued := range s.next.requests {
			if queued == request {
				s.next.requests[i] = &Request{ID: request.ID}
				s.addEvents(scheduler.Event{Kind: scheduler.RequestWithdrawn, ID: request.ID})
				s.answer(request, reply{verdict: Failed})
			}
		}
	})
}

// answer counts the verdict on a request and hands it to the ingress at the end of the step.
func (s *Sender) answer(request *Request, answer reply) {
	s.countVerdict(request.Class, answer.verdict)
	if request.Reply != nil {
		s.enqueueCall(func() { request.Reply(answer.verdict, answer.retryAfterMs) })
		return
	}
	if in := s.ingresses[request.Front]; in != nil {
		s.outbox = append(s.outbox, outboxItem{
			ingress:      in,
			request:      request,
			verdict:      answer.verdict,
			retryAfterMs: answer.retryAfterMs,
		})
	}
}

func (s *Sender) countVerdict(class string, verdict Verdict) {
	switch verdict {
	case Accepted:
		s.stats.Accepted++
		return
	case Rejected:
		s.metrics.CountFinal(class, metrics.ResultRejected)
	default:
		s.metrics.CountFinal(class, metrics.ResultFailed)
	}
	s.stats.Rejected++
}

// HasClass reports whether the settings name a class. Any goroutine may call it.
func (s *Sender) HasClass(class string) bool { _, ok := s.classes[class]; return ok }

// Class returns the settings of a class. Any goroutine may call it.
func (s *Sender) Class(class string) scheduler.Class { return s.classes[class] }

func newEntry(request *Request) *journal.Entry {
	return &journal.Entry{
		ID:          request.ID,
		Class:       request.Class,
		Tenant:      request.Tenant,
		Key:         request.Key,
		Front:       request.Front,
		Correlation: request.Correlation,
		Destination: request.Destination,
		Deadline:    request.Deadline,
		Body:        request.Body,
	}
}
