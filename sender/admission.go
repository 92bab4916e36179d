package sender

import (
	"slices"

	"brackendale/internal/eventlog"
	"brackendale/internal/journal"
	"brackendale/internal/metrics"
	"brackendale/scheduler"
)

// Submit submits requests that arrived together; their ingress gets a verdict on each after the next
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
	if early.verdict == Accepted {
		s.acceptRepeat(request, early)
		return
	}
	s.answer(request, early)
}

// admit decides on a request without the scheduler if it can. decided reports whether it did, and
// early is the reply then. ahead are the preceding requests of the same transaction, and aheadBytes
// is the journal space that they need.
func (s *Sender) admit(request *Request, ahead []*Request, aheadBytes int) (decided bool, early reply) {
	if entry := s.journal.Get(request.ID); entry != nil {
		if entry.Front != request.Front { // the id belongs to a message of another front
			return true, reply{verdict: Failed, reason: "the id belongs to a message of another front"}
		}
		// A repeat: its client may not have received the verdict.
		return true, reply{verdict: Accepted, reason: "known already"}
	}
	if s.endedIDs.has(request.ID) {
		return true, s.endedReply(request)
	}
	if reason := s.refusalReason(request, ahead, aheadBytes); reason != "" {
		return true, reply{verdict: Rejected, retryAfterMs: s.retryAfterMs(), reason: reason}
	}
	sameID := func(other *Request) bool { return other.ID == request.ID }
	if s.nextInput.requestIDs[request.ID] || slices.ContainsFunc(ahead, sameID) {
		return true, reply{verdict: Rejected, retryAfterMs: s.retryAfterMs(), reason: "the id is being decided on"}
	}
	return false, reply{}
}

// refusalReason returns why no request, or not this one, can be accepted now; empty: it can.
func (s *Sender) refusalReason(request *Request, ahead []*Request, aheadBytes int) string {
	switch {
	case !s.hasRoom(request, ahead, aheadBytes):
		return "no room for another message"
	case s.stats.Paused:
		return "paused"
	case s.diskStall.err != nil:
		return "the journal cannot be written"
	}
	return ""
}

// hasRoom reports whether the limit on messages and the journal have room for a request.
func (s *Sender) hasRoom(request *Request, ahead []*Request, aheadBytes int) bool {
	limit := s.options.Settings.Limits.MaxMessages
	if limit > 0 && s.pending+len(s.nextInput.requests)+len(ahead) >= limit {
		return false
	}
	return s.journal.HasSpace(aheadBytes+journal.RecordSize(s.newEntry(request)), s.nextInput.reservedBytes)
}

// enqueue queues a request for the decision of the next step.
func (s *Sender) enqueue(request *Request) {
	s.nextInput.reservedBytes += journal.RecordSize(s.newEntry(request))
	s.nextInput.requests = append(s.nextInput.requests, request)
	s.nextInput.requestIDs[request.ID] = true
	s.addEvents(scheduler.Event{
		Kind:        scheduler.RequestAccepted,
		ID:          request.ID,
		Class:       request.Class,
		Tenant:      request.Tenant,
		Destination: request.Destination,
		Deadline:    int64(request.Deadline),
	})
}

// Withdraw cancels a request that no step has processed yet; its verdict is Failed. After that step
// it does nothing: the verdict of the step stands. Any goroutine may call it.
func (s *Sender) Withdraw(request *Request) {
	s.Post(func() {
		if s.handedOver() {
			s.hotRestart.successor.Withdraw(request)
			return
		}
		for i, queued := range s.nextInput.requests {
			if queued == request {
				s.nextInput.requests[i] = &Request{ID: request.ID}
				s.addEvents(scheduler.Event{Kind: scheduler.RequestWithdrawn, ID: request.ID})
				s.answer(request, reply{verdict: Failed, reason: "withdrawn by its client"})
			}
		}
	})
}

// recordVerdict records the verdict on a request.
func (s *Sender) recordVerdict(request *Request, answer reply) {
	if !s.events.Enabled() {
		return
	}
	event := eventlog.Event{
		Kind: eventlog.Accepted, Message: request.ID, Class: request.Class, Destination: request.Destination,
		Effect: string(s.classes[request.Class].Idempotency), WaitMs: answer.retryAfterMs, Reason: answer.reason,
	}
	if answer.verdict != Accepted {
		event.Kind = eventlog.Refused
	}
	s.events.Record(event)
}

// Events returns the recorder of events, which may be nil. Any goroutine may call it.
func (s *Sender) Events() *eventlog.Recorder { return s.events }

// Metrics returns the metrics, which may be nil. Any goroutine may call it.
func (s *Sender) Metrics() *metrics.Registry { return s.metrics }

// answer counts the verdict on a request and queues it for the ingress.
func (s *Sender) answer(request *Request, answer reply) {
	s.countVerdict(request.Class, answer.verdict)
	s.recordVerdict(request, answer)
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

// HasClass reports whether the settings define a class. Any goroutine may call it.
func (s *Sender) HasClass(class string) bool { _, ok := s.classes[class]; return ok }

// Class returns the settings of a class. Any goroutine may call it.
func (s *Sender) Class(class string) scheduler.Class { return s.classes[class] }

// newEntry returns the journal entry of a request that is accepted.
func (s *Sender) newEntry(request *Request) *journal.Entry {
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
		Terms:       termsOf(s.classes[request.Class]),
	}
}
