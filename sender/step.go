package sender

import (
	"time"

	"brackendale/internal/eventlog"
	"brackendale/internal/failpoint"
	"brackendale/internal/journal"
	"brackendale/internal/lifecycle"
	"brackendale/internal/slowstart"
	"brackendale/scheduler"
)

// maxReusedCapacity is the capacity, in elements, up to which the slices of a step are reused by the
// next one.
const maxReusedCapacity = 4096

// runIteration is one iteration of Run's event loop: it runs the posted functions, makes one step, and
// makes the calls to the fronts.
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

// decision is the input and the result of one step of the scheduler.
type decision struct {
	input   stepInput
	actions []scheduler.Action
	calls   []*outgoingCall
	replies map[string]reply // by the id of a request that the step rejected or failed instead of accepting it
}

// step makes one step of the scheduler. Its decisions are recorded in the journal before any request
// is answered or any attempt is sent.
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

// decide passes the input collected since the last step to the scheduler.
func (s *Sender) decide() *decision {
	decided := &decision{input: s.nextInput, replies: map[string]reply{}}
	clear(decided.input.requestIDs)
	s.nextInput = stepInput{requestIDs: decided.input.requestIDs}
	s.lastStep = time.Now()
	now := int64(s.Now())
	decided.actions = s.scheduler.Step(now, decided.input.events)
	for _, transition := range s.scheduler.Transitions() {
		s.recordTransition(transition)
	}
	if s.tracer != nil {
		destination := func(addr string) int64 { return s.routes[addr].Destination }
		s.tracer.Step(now, decided.input.events, decided.actions, destination)
	}
	// A request that is rejected or failed in the step that receives it was never accepted: it is not
	// recorded.
	for _, action := range decided.actions {
		switch action.Kind {
		case scheduler.Reject:
			decided.replies[action.ID] = reply{
				verdict: Rejected, retryAfterMs: action.RetryAfterUs / 1000, reason: "rejected by the scheduler",
			}
		case scheduler.Fail:
			decided.replies[action.ID] = reply{verdict: Failed, reason: "failed by the scheduler"}
		}
	}
	s.resolveTransactions(decided)
	return decided
}

// recordTransition records a change of the phase of a route's recovery, or a call that its slow start forbids.
func (s *Sender) recordTransition(transition slowstart.Transition) {
	if !transition.Violation {
		s.events.RecordTransition(transition)
		return
	}
	s.events.RecordViolation(eventlog.Event{
		Endpoint: transition.Endpoint, Reason: string(lifecycle.BeyondSlowStart), Recovery: &transition,
	})
}

// record adds the decisions of the step to the journal record that flush writes.
func (s *Sender) record(decided *decision) {
	for _, transaction := range decided.input.transactions {
		s.recordTransaction(transaction)
	}
	for _, request := range decided.input.requests {
		if _, ended := decided.replies[request.ID]; !ended && request.standalone() {
			s.accept(request)
		}
	}
	decided.calls = s.buildCalls(decided.actions)
	for _, action := range decided.actions {
		switch action.Kind {
		case scheduler.Reject:
			s.finish(action.ID, Returned, action.RetryAfterUs/1000)
		case scheduler.Fail:
			s.finish(action.ID, DeliveryFailed, 0)
		}
	}
}

// standalone reports whether a request is not part of a transaction and was not withdrawn.
func (request *Request) standalone() bool { return request.Front != "" && request.transaction == nil }

// flush writes the journal record of the step. If that fails, the step is undone: none of its
// transactions are answered here and none of its calls are sent.
func (s *Sender) flush(decided *decision) {
	if err := s.journal.Flush(); err != nil {
		s.undoStep(err, decided)
		decided.calls, decided.input.transactions = nil, nil
		return
	}
	s.callOnFlushed()
}

// callOnFlushed calls the functions that wait for the journal record to be durable.
func (s *Sender) callOnFlushed() {
	for _, done := range s.onFlushed {
		done(nil)
	}
	s.onFlushed = nil
	clear(s.redirected)
}

// notifyAll passes the recorded final answers to their ingresses.
func (s *Sender) notifyAll() {
	if s.diskStall.err != nil {
		return
	}
	var entries []*journal.Entry
	entries, s.unsentAnswers = s.unsentAnswers, nil
	for _, entry := range entries {
		s.notify(entry)
	}
}

// applyAction carries out an action that is not recorded in the journal.
func (s *Sender) applyAction(action scheduler.Action) {
	switch action.Kind {
	case scheduler.SetTimer:
		time.AfterFunc(time.Duration(action.DelayUs)*time.Microsecond, func() {
			s.Post(func() { s.addEvents(scheduler.Event{Kind: scheduler.TimerFired}) })
		})
	case scheduler.CancelAttempt:
		s.cancelAttempt(action)
	case scheduler.WriteLog:
		s.log.Info().Msg(action.Text)
	}
}

// cancelAttempt cancels an attempt where it is in flight: at the predecessor of a hot restart, or at
// an egress. All egresses are called, since the action does not name the protocol.
func (s *Sender) cancelAttempt(action scheduler.Action) {
	if _, ok := s.hotRestart.remoteAttempts[action.ID]; ok && s.hotRestart.predecessor != nil {
		s.hotRestart.predecessor.Cancel(action.ID, action.Attempt)
		return
	}
	for _, egress := range s.egresses {
		s.enqueueCall(func() { egress.Cancel(action.ID, action.Attempt) })
	}
}

// reuseBuffers passes the slices of a finished step on to the next one, unless that has allocated its
// own already. The scheduler and the fronts may keep the elements, but not the slices.
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

// flushOutbox passes the queued calls to the fronts' goroutine.
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
