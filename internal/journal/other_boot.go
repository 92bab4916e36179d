package journal

import (
	"time"

	"brackendale/internal/clock"
)

// Times in the journal are of the steady clock, which restarts at zero with each boot of the machine.

// unknownStart stands for the start of an attempt that was sent during another boot. It lies so far
// back that every idempotency window has ended: endpoints may have dropped the idempotency key.
const unknownStart clock.Instant = -1 << 50

// maxPlausibleDowntime is the longest time between two processes that is taken from the wall clock
// alone. A longer one may be a step of the wall clock.
const maxPlausibleDowntime = time.Minute

// sameClock reports whether the file's times are of the clock that runs now. If the system provides
// no boot ID, a clock that is not behind the file's latest time is taken for the same.
func (j *Journal) sameClock(now clock.Reading) bool {
	return !j.usesWallClock && j.bootID == now.BootID && now.SinceBoot >= j.latestTime
}

// rebaseTimes converts times of another clock to the one that runs now. How long no process ran is
// unknown. A message keeps the time that it had left until its deadline, so that one without an
// attempt still gets one. Attempts get unknownStart, which rules out any retry that depends on the
// age of an attempt.
func (j *Journal) rebaseTimes(now clock.Reading) {
	downtime := clock.Instant(0)
	if j.usesWallClock && j.latestTime > 0 { // once, after an upgrade from a version that recorded the wall clock
		downtime = clock.Instant(now.Wall) - j.latestTime
		if downtime < 0 || downtime > clock.Instant(0).Add(maxPlausibleDowntime) {
			downtime = 0
		}
	}
	shift := now.SinceBoot - j.latestTime - downtime
	for _, entry := range j.entries {
		entry.Deadline += shift
		if entry.FirstRun != 0 {
			entry.FirstRun = unknownStart
		}
		if entry.InFlightSince != 0 {
			entry.InFlightSince = unknownStart
		}
	}
	j.needsRewrite, j.timesRebased = true, true
}

// TimesRebased reports whether the times of the file were of another clock and have been converted.
func (j *Journal) TimesRebased() bool { return j.timesRebased }

// LimitDeadline lowers the deadline of a message to the given one. A message with an earlier deadline
// keeps it.
func (j *Journal) LimitDeadline(id string, deadline clock.Instant) {
	if entry := j.entries[id]; entry != nil && entry.Deadline > deadline {
		entry.Deadline = deadline
		j.needsRewrite = true
	}
}
