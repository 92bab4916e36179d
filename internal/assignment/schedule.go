package assignment

import "time"

// Schedule determines when the holder of a duty executes it: once per period, and less often after
// failed executions, with pauses of up to maxBackoff periods. It is not safe for concurrent use.
type Schedule struct {
	Every    time.Duration // the period
	next     time.Duration
	failures int // consecutive
}

const (
	// maxBackoff is the longest pause after failed executions, in periods.
	maxBackoff = 32

	// maxDoublings bounds how often the pause is doubled, so that it does not overflow.
	maxDoublings = 10
)

// Reset resets the schedule for a new holder. The first execution is due at once, as the previous
// holder may have missed some.
func (s *Schedule) Reset(now time.Duration) { s.next, s.failures = now, 0 }

// Due reports whether an execution is due, and returns the time at which the next one is or was due.
func (s *Schedule) Due(now time.Duration) (bool, time.Duration) { return now >= s.next, s.next }

// RecordStart records the start of an execution. The next one is due a period after the due time of this
// one, and not before half a period from now: missed periods are not made up for.
func (s *Schedule) RecordStart(now time.Duration) { s.next = max(s.next+s.Every, now+s.Every/2) }

// RecordResult records the end of an execution and whether it succeeded. The pause until the next execution
// doubles with each consecutive failure, up to maxBackoff periods.
func (s *Schedule) RecordResult(now time.Duration, ok bool) {
	if ok {
		s.failures = 0
		return
	}
	s.failures++
	periods := min(1<<min(s.failures, maxDoublings), maxBackoff)
	s.next = max(s.next, now+s.Every*time.Duration(periods))
}
