package sender

import (
	"brackendale/internal/eventlog"
	"brackendale/internal/journal"
	"brackendale/internal/lifecycle"
	"brackendale/scheduler"
)

// Abandoner is an Egress that can give up an attempt of which its endpoint has not taken all bytes.
type Abandoner interface {
	// Abandon is called on the fronts' goroutine before the final answer of a message is told that has an attempt out:
	// no byte of it may leave from then on.
	Abandon(id string)
}

// recordViolation records that the guard has found what must not happen.
func (s *Sender) recordViolation(kind lifecycle.Violation, id string, attempt int) {
	s.violations.Add(1)
	s.log.Error().Str("violation", string(kind)).Str("message_id", id).Int("attempt", attempt).
		Msg("a message was to be treated as its state does not allow: a programming error")
	s.events.RecordViolation(eventlog.Event{Message: id, Attempt: attempt, Reason: string(kind)})
}

// Violations returns the number of violations that the guard has found. Any goroutine may call it.
func (s *Sender) Violations() int64 { return s.violations.Load() }

// isUnsafe reports whether a message must not be repeated once it may have run. One of a class that the settings do
// not have any more is.
func (s *Sender) isUnsafe(entry *journal.Entry) bool {
	class, ok := s.classOf(entry)
	return !ok || class.Idempotency == scheduler.NotIdempotent
}

// accept records that a message is taken on.
func (s *Sender) accept(request *Request) {
	s.pending++
	entry := s.newEntry(request)
	s.journal.Accept(entry)
	s.guard.Accept(request.ID, s.isUnsafe(entry), false)
}

// takeRestored records a message that an earlier process has taken on, or that the predecessor has an attempt of out.
func (s *Sender) takeRestored(entry *journal.Entry) {
	if attempt, ok := s.hotRestart.remoteAttempts[entry.ID]; ok {
		s.guard.AcceptInFlight(entry.ID, s.isUnsafe(entry), attempt.Attempt)
		return
	}
	s.guard.Accept(entry.ID, s.isUnsafe(entry), entry.FirstRun != 0)
}

// abandonAttempt makes sure that no byte of a message leaves once its final answer is told.
func (s *Sender) abandonAttempt(id string) {
	if _, out := s.guard.IsOut(id); !out {
		return
	}
	if attempt, ok := s.hotRestart.remoteAttempts[id]; ok && s.hotRestart.predecessor != nil {
		s.hotRestart.predecessor.Cancel(id, attempt.Attempt)
		return
	}
	for _, egress := range s.egresses {
		if abandoner, ok := egress.(Abandoner); ok {
			s.enqueueCall(func() { abandoner.Abandon(id) })
		}
	}
}

// WithGuard returns the attempt as one of a message that the guard knows.
func (a *Attempt) WithGuard(guard *lifecycle.Guard) Attempt {
	guarded := *a
	guarded.guard = guard
	return guarded
}

// MayLeave reports whether bytes of the attempt may leave now. An egress asks on the fronts' goroutine at the last
// instant before it writes them; there final answers are told too.
func (a *Attempt) MayLeave() bool { return a.guard == nil || a.guard.MayLeave(a.ID, a.Number) }

// Left records that bytes of the attempt were written.
func (a *Attempt) Left() {
	if a.guard != nil {
		a.guard.Left(a.ID, a.Number)
	}
}
