package sender

import (
	"time"

	"brackendale/internal/failpoint"
	"brackendale/internal/journal"
	"brackendale/scheduler"
)

// maxReusedCapacity is the capacity, in elements, up to which a list of one step is kept for the next.
const maxReusedCapacity = 4096

// runIteration takes in what was posted, makes one step, and calls the fronts.
func (s *Sender) runIteration() {
	s.runPosted()
	if !s.handedOver() {
		s.step()
		s.updateBackpressure()
		s.updateMetrics()
		s.updateReadiness()
		s.updateRecovery()
	}
	s.flushOutbox()
}

// decision is one step of the scheduler: what went in, and what came of it.
type decision struct {
	input   stepInput
	actions []scheduler.Action
	calls   []*outgoingCall
	replies map[string]reply // to requests that the step rejected or failed: they were never accepted
}

// step makes one step of the scheduler. What it decides is recorded before any of it is answered or
// sent.
func (s *Sender) step() {
	if !s.retryFlush() {
		return
	}
	decided := s.decide()
	defer s.reuseBuffers(decided.input.events, decided.input.requests)
	s.record(decided)
	s.flush(decided)
	for _, transaction := range decided.input.transactions {
		s.answerTransaction(transaction)
	}
	s.answerRequests(decided)
	s.notifyAll()
	for _, action := range decided.actions {
		s.applyAction(action)
	}
	for _, call := range decided.calls {
		s.send(call)
	}
}

// decide hands the scheduler what has come since the last step.
func (s *Sender) decide() *decision {
	decided := &decision{input: s.nextInput, replies: map[string]reply{}}
	clear(decided.input.requestIDs)
	s.nextInput = stepInput{requestIDs: decided.input.requestIDs}
	s.lastStep = time.Now()
	now := int64(s.Now())
	decided.actions = s.scheduler.Step(now, decided.input.events)
	if s.tracer != nil {
		destination := func(addr string) int64 { return s.routes[addr].Destination }
		s.tracer.Step(now, decided.input.events, decided.actions, destination)
	}
	// A request that the step takes in and ends at once was never accepted: nothing of it is kept.
	for _, action := range decided.actions {
		switch action.Kind {
		case scheduler.Reject:
			decided.replies[action.ID] = reply{Rejected, action.RetryAfterUs / 1000}
		case scheduler.Fail:
			decided.replies[action.ID] = reply{verdict: Failed}
		}
	}
	s.resolveTransactions(decided)
	return decided
}

// record puts what the step decided into the record of the journal that flush writes.
func (s *Sender) record(decided *decision) {
	for _, transaction := range decided.input.transactions {
		s.recordTransaction(transaction)
	}
	for _, request := range decided.input.requests {
		if _, ended := decided.replies[request.ID]; !ended && request.standalone() {
			s.pending++
			s.journal.Accept(newEntry(request))
		}
	}
	decided.calls = s.buildCalls(decided.actions)
	for _, action := range decided.actions {
		switch action.Kind {
		case scheduler.Reject:
			s.finish(action.ID, Returned, action.RetryAfterUs/1000)
		case scheduler.Fail:
			s.finish(action.ID, Abandoned, 0)
		}
	}
}

// standalone reports whether a request came alone and was not withdrawn.
func (request *Request) standalone() bool { return request.Front != "" && request.transaction == nil }

// flush writes the record of the step. Where that fails, none of the step's transactions are
// answered and no calls are sent.
func (s *Sender) flush(decided *decision) {
	if err := s.journal.Flush(); err != nil {
		s.undoStep(err, decided)
		decided.calls, decided.input.transactions = nil, nil
		return
	}
	s.callOnFlushed()
}

// callOnFlushed tells those who wait for the record that it is durable.
func (s *Sender) callOnFlushed() {
	for _, done := range s.onFlushed {
		done(nil)
	}
	s.onFlushed = nil
}

// notifyAll hands the final answers that are recorded to their ingresses.
func (s *Sender) notifyAll() {
	if s.diskStall.err != nil {
		return
	}
	var answered []*journal.Entry
	answered, s.unsentAnswers = s.unsentAnswers, nil
	for _, entry := range answered {
		s.notify(entry)
	}
}

// applyAction carries out an action that needs no record.
func (s *Sender) applyAction(action scheduler.Action) {
	switch action.Kind {
	case scheduler.SetTimer:
		time.AfterFunc(time.Duration(action.DelayUs)*time.Microsecond, func() {
			s.Post(func() { s.addEvents(scheduler.Event{Kind: scheduler.TimerFired}) })
		})
	case scheduler.CancelAttempt:
		s.cancelAttempt(action)
	case scheduler.CloseIdleConnections:
		route, ok := s.routes[action.Endpoint]
		if egress := s.egresses[route.Protocol]; ok && egress != nil {
			s.enqueueCall(func() { egress.CloseIdle(route) })
		}
	case scheduler.WriteLog:
		s.log.Info().Msg(action.Text)
	}
}

func (s *Sender) cancelAttempt(action scheduler.Action) {
	if _, ok := s.hotRestart.remoteAttempts[action.ID]; ok && s.hotRestart.predecessor != nil {
		s.hotRestart.predecessor.Cancel(action.ID, action.Attempt)
		return
	}
	for _, egress := range s.egresses {
		s.enqueueCall(func() { egress.Cancel(action.ID, action.Attempt) })
	}
}

// reuseBuffers gives the lists of a finished step to the next one, unless that has begun its own.
// The scheduler and the fronts keep what is in the lists, but not the lists.
func (s *Sender) reuseBuffers(events []scheduler.Event, requests []*Request) {
	if s.nextInput.events == nil && cap(events) <= maxReusedCapacity {
		clear(events)
		s.nextInput.events = events[:0]
	}
	if s.nextInput.requests == nil && cap(requests) <= maxReusedCapacity {
		clear(requests)
		s.nextInput.requests = requests[:0]
	}
}

// flushOutbox hands what the turn has for the fronts to their goroutine.
func (s *Sender) flushOutbox() {
	batch := s.outbox
	if len(batch) == 0 {
		return
	}
	failpoint.Reach(failpoint.StepDecided)
	s.outbox = make([]outboxItem, 0, min(len(batch), maxReusedCapacity))
	s.options.RunOnFronts(func() {
		for i := range batch {
			batch[i].deliver()
		}
	})
}
