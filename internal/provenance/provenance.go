// Package provenance checks the state folder that an incarnation finds at its start: whether it is as
// the last incarnation of this sender left it, or a copy, a restored backup or another sender's
// folder. It also decides what happens to each message of the folder. The package does no I/O and
// reads no clock.
package provenance

import (
	"fmt"
	"time"

	"brackendale/internal/clock"
	"brackendale/scheduler"
)

// Stamp identifies a file, so that it can be told from a copy: a copy has another inode or another
// creation time. The device number is not included, since it may change with each boot.
type Stamp struct {
	Inode     uint64 `json:"inode"`
	CreatedNs int64  `json:"born,omitempty"` // Unix time in nanoseconds; 0: the file system does not record it
}

// Note is the content of a file that each incarnation writes into the folder, beside its journal.
type Note struct {
	Name        string `json:"name"` // of the sender
	Incarnation uint64 `json:"life"` // counted from 1
	Stamp       Stamp  `json:"at"`   // of the journal's lock file, which is never replaced
}

// Evidence is what was found in a folder.
type Evidence struct {
	Note               Note
	HasNote            bool   // the folder has a readable note
	JournalIncarnation uint64 // the last one that the journal records; 0: none, or there is no journal
	Messages           int    // in the journal
	Stamp              Stamp  // of the journal's lock file
}

// Problem returns the reason why a folder is not as the last incarnation of the sender of that name
// left it, or an empty string if there is none. A folder without a note whose journal records no
// incarnation is new, or was written by a version that recorded neither. The texts are shown to
// operators and read by their scripts.
func Problem(name string, evidence Evidence) string {
	note := evidence.Note
	switch {
	case !evidence.HasNote && evidence.JournalIncarnation == 0:
		return ""
	case !evidence.HasNote:
		return fmt.Sprintf("its note is lost, and its journal is of life %d", evidence.JournalIncarnation)
	case note.Name != name:
		return fmt.Sprintf("it is of the sender %.40q, and this is %q", note.Name, name)
	case note.Stamp != evidence.Stamp:
		return fmt.Sprintf("its files are copies of those of life %d", note.Incarnation)
	case evidence.JournalIncarnation < note.Incarnation:
		return fmt.Sprintf("its journal is of life %d, and life %d has been", evidence.JournalIncarnation,
			note.Incarnation)
	}
	return ""
}

// Message has what the journal and the settings record about one message.
type Message struct {
	// The settings of its class.
	Idempotency       scheduler.Idempotency
	MaxDeadline       time.Duration // the maximum time from acceptance to the deadline
	IdempotencyWindow time.Duration

	Deadline      clock.Instant
	Attempts      int
	FirstRun      clock.Instant // when the first attempt that may have run was sent; 0: none
	InFlightSince clock.Instant // when the attempt was sent that was in flight when the last incarnation ended; 0: none
	FinalAnswer   string        // empty: none
	Acknowledged  bool
}

// Attempted returns the number of attempts that the next incarnation has to assume, and the time at
// which the first of them may have run (0: none has). A distrusted folder may be an older state. Any
// message in it that is not idempotent may have been sent since then, at the earliest at the earliest
// possible time of its acceptance.
func (m Message) Attempted(distrusted bool) (attempts int, firstRun clock.Instant) {
	attempts, firstRun = m.Attempts, m.FirstRun
	if m.InFlightSince != 0 && firstRun == 0 {
		firstRun = m.InFlightSince
	}
	if !distrusted || m.Idempotency == scheduler.Idempotent {
		return attempts, firstRun
	}
	acceptedAt := m.Deadline.Add(-m.MaxDeadline)
	if firstRun == 0 || acceptedAt < firstRun {
		firstRun = max(acceptedAt, 1)
	}
	return max(attempts, 1), firstRun
}

// Fate is what the next incarnation does with a message.
type Fate string

// The fates. Their values are shown to operators and read by their scripts.
const (
	FateAcknowledged Fate = "over"       // its final answer was acknowledged: only the ID is kept
	FateNotify       Fate = "told"       // its client receives the final answer
	FateNotifyAgain  Fate = "told again" // its client receives the final answer, possibly for the second time
	FateContinue     Fate = "goes on"    // it is sent, with the time left until its deadline
	FateAmbiguous    Fate = "doubtful"   // it fails: it may have run and must not be repeated
	FateExpired      Fate = "late"       // its deadline has passed
)

// Fate returns what happens to a message if the next incarnation starts at now.
func (m Message) Fate(now clock.Instant, distrusted bool) Fate {
	_, firstRun := m.Attempted(distrusted)
	switch {
	case m.Acknowledged:
		return FateAcknowledged
	case m.FinalAnswer != "" && distrusted:
		return FateNotifyAgain
	case m.FinalAnswer != "":
		return FateNotify
	case firstRun != 0 && !m.repeatable(now, firstRun):
		return FateAmbiguous
	case now >= m.Deadline:
		return FateExpired
	}
	return FateContinue
}

// repeatable reports whether a message whose first attempt may have run at firstRun may be sent again.
func (m Message) repeatable(now, firstRun clock.Instant) bool {
	switch m.Idempotency {
	case scheduler.NotIdempotent:
		return false
	case scheduler.IdempotentByKey:
		return now < firstRun.Add(m.IdempotencyWindow)
	}
	return true
}
