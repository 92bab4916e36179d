package sender

import (
	"brackendale/internal/clock"
	"brackendale/internal/eventlog"
	"brackendale/internal/journal"
	"brackendale/scheduler"
)

// outgoingCall is a call to an endpoint and the attempts that it carries.
type outgoingCall struct {
	route    Route
	attempts []Attempt
}

// buildCalls groups the attempts of a step into calls and records each attempt. The machine type of
// the endpoint limits the attempts in one call.
func (s *Sender) buildCalls(actions []scheduler.Action) []*outgoingCall {
	var calls []*outgoingCall
	latest := map[string]*outgoingCall{} // by endpoint
	now := s.Now()
	for _, action := range actions {
		if action.Kind != scheduler.StartAttempt {
			continue
		}
		entry, route := s.journal.Get(action.ID), s.routes[action.Endpoint]
		if entry == nil { // the scheduler and the journal disagree: a programming error
			s.log.Error().Str("id", action.ID).Str("endpoint", action.Endpoint).
				Msg("the scheduler started an attempt of a message that is not in the journal: the attempt is not sent")
			continue
		}
		if !s.guard.Start(entry.ID, entry.Attempts) {
			s.addEvents(unsentAttemptEvent(entry.ID, action.Endpoint))
			continue
		}
		call := latest[action.Endpoint]
		if call == nil || len(call.attempts) >= max(1, s.messagesPerCall[route.MachineType]) {
			call = &outgoingCall{route: route}
			latest[action.Endpoint] = call
			calls = append(calls, call)
		}
		call.attempts = append(call.attempts, s.newAttempt(entry, action.TimeoutUs))
		s.journal.StartAttempt(entry.ID, route.Zone, now)
		s.recordMilestone(&s.recovery.firstCallUs)
		s.stats.Sent++
		if stats := s.routeStats[action.Endpoint]; stats != nil {
			stats.InFlight++
		}
	}
	return calls
}

func (s *Sender) newAttempt(entry *journal.Entry, timeoutUs int64) Attempt {
	class, _ := s.classOf(entry)
	return Attempt{
		ID:        entry.ID,
		Effect:    class.Idempotency,
		Key:       entry.Key,
		Class:     entry.Class,
		Body:      entry.Body,
		Number:    entry.Attempts,
		TimeoutUs: timeoutUs,
		Deadline:  clock.Instant(s.scheduler.LastSend(int64(entry.Deadline))),
		StartBy:   s.startBy(entry),
		guard:     s.guard,
	}
}

// startBy returns the time until which an attempt may be written to its connection, or 0 for no
// limit. The scheduler starts an attempt within the idempotency window of its message, but the
// connection may be established long after that.
func (s *Sender) startBy(entry *journal.Entry) clock.Instant {
	class, _ := s.classOf(entry)
	if entry.FirstRun == 0 || class.Idempotency != scheduler.IdempotentByKey {
		return 0
	}
	return entry.FirstRun.Add(clock.Microseconds(class.KeyWindowUs - s.options.Settings.TickUs))
}

// send passes a call to the egress of its protocol. Without one, its attempts end with
// OutcomeConnectFailed.
func (s *Sender) send(call *outgoingCall) {
	if egress := s.egresses[call.route.Protocol]; egress != nil {
		s.enqueueCall(func() { egress.Send(call.route, call.attempts) })
		return
	}
	for _, attempt := range call.attempts {
		s.ReportAttempts(AttemptResult{
			ID:       attempt.ID,
			Attempt:  attempt.Number,
			Endpoint: call.route.Addr,
			Outcome:  OutcomeConnectFailed,
		})
	}
}

// ReportAttempts records the results of attempts that shared a call. Any goroutine may call it.
func (s *Sender) ReportAttempts(results ...AttemptResult) {
	s.postResumed(func() {
		if s.handedOver() {
			s.hotRestart.successor.Report(results)
			return
		}
		for _, result := range results {
			s.reportResult(result)
		}
	})
}

// reportResult records the result of an attempt in the journal and reports it to the scheduler.
func (s *Sender) reportResult(result AttemptResult) {
	delete(s.hotRestart.remoteAttempts, result.ID)
	s.events.Record(eventlog.Event{
		Kind: eventlog.Outcome, Message: result.ID, Attempt: result.Attempt, Endpoint: result.Endpoint,
		WaitMs: result.RetryAfterMs, Reason: string(result.Outcome),
	})
	s.journal.EndAttempt(result.ID, mayHaveRun(result.Outcome))
	s.guard.Finish(result.ID, mayHaveRun(result.Outcome))
	if stats := s.routeStats[result.Endpoint]; stats != nil {
		stats.InFlight--
		stats.LastOutcome = result.Outcome
		if result.Outcome == OutcomeSuccess {
			stats.Succeeded++
		} else {
			stats.Failed++
		}
	}
	if entry := s.journal.Get(result.ID); entry != nil && entry.FinalAnswer == "" {
		if result.Outcome == OutcomeSuccess {
			s.finish(result.ID, Delivered, 0)
		} else if result.Final {
			s.finishUnanswered(entry)
		}
	}
	s.addEvents(scheduler.Event{
		Kind:         scheduler.AttemptFinished,
		ID:           result.ID,
		Attempt:      result.Attempt,
		Endpoint:     result.Endpoint,
		Outcome:      result.Outcome,
		Final:        result.Final || result.Outcome == OutcomeSuccess,
		RetryAfterMs: result.RetryAfterMs,
		LoadReport:   result.LoadReport,
	})
}
