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

// FileID distinguishes a file from its copies: a copy has another inode or another creation time. The
// device number is not included, since it may change with each boot.
type FileID struct {
	Inode     uint64 `json:"inode"`
	CreatedNs int64  `json:"born,omitempty"` // Unix time in nanoseconds; 0: the file system does not record it
}

// Note is the content of a file that each incarnation writes into the folder, beside its journal.
type Note struct {
	Name        string `json:"name"` // of the sender
	Incarnation uint64 `json:"life"` // counted from 1
	FileID      FileID `json:"at"`   // of the journal's lock file, which is never replaced
	// GroupIncarnation is the latest incarnation that this sender had as a member of a group; 0: none is known.
	GroupIncarnation uint64 `json:"group,omitempty"`
}

// FolderState is what was found in a folder.
type FolderState struct {
	Note               Note
	HasNote            bool   // the folder has a readable note
	JournalIncarnation uint64 // the last one that the journal records; 0: none, or there is no journal
	Messages           int    // in the journal
	FileID             FileID // of the journal's lock file
}

// Problem returns the reason why a folder is not as the last incarnation of the sender of that name
// left it, or an empty string if there is none. A folder without a note whose journal records no
// incarnation is new, or was written by a version that recorded neither. The texts are shown to
// operators and read by their scripts.
func Problem(name string, folder FolderState) string {
	note := folder.Note
	switch {
	case !folder.HasNote && folder.JournalIncarnation == 0:
		return ""
	case !folder.HasNote:
		return fmt.Sprintf("its note is lost, and its journal is of life %d", folder.JournalIncarnation)
	case note.Name != name:
		return fmt.Sprintf("it is of the sender %.40q, and this is %q", note.Name, name)
	case note.FileID != folder.FileID:
		return fmt.Sprintf("its files are copies of those of life %d", note.Incarnation)
	case folder.JournalIncarnation < note.Incarnation:
		return fmt.Sprintf("its journal is of life %d, and life %d has been", folder.JournalIncarnation,
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

// AssumedAttempts returns the number of attempts that the next incarnation has to assume, and the
// earliest time at which one of them may have run (0: none). A distrusted folder may be an older
// state: any message in it that is not idempotent may have been sent since then, at any time after it
// can have been accepted.
func (m Message) AssumedAttempts(distrusted bool) (attempts int, firstRun clock.Instant) {
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

// Disposition is what the next incarnation does with a message.
type Disposition string

// The dispositions. Their values are shown to operators and read by their scripts.
const (
	DispositionAcknowledged Disposition = "over"       // its final answer was acknowledged: only the ID is kept
	DispositionNotify       Disposition = "told"       // its client receives the final answer
	DispositionNotifyAgain  Disposition = "told again" // its client receives the final answer, perhaps for the second time
	DispositionContinue     Disposition = "goes on"    // it is sent, with the time left until its deadline
	DispositionAmbiguous    Disposition = "doubtful"   // it fails: it may have run and must not be repeated
	DispositionExpired      Disposition = "late"       // its deadline has passed
)

// Disposition returns what the next incarnation does with a message if it starts at now.
func (m Message) Disposition(now clock.Instant, distrusted bool) Disposition {
	_, firstRun := m.AssumedAttempts(distrusted)
	switch {
	case m.Acknowledged:
		return DispositionAcknowledged
	case m.FinalAnswer != "" && distrusted:
		return DispositionNotifyAgain
	case m.FinalAnswer != "":
		return DispositionNotify
	case firstRun != 0 && !m.mayRepeat(now, firstRun):
		return DispositionAmbiguous
	case now >= m.Deadline:
		return DispositionExpired
	}
	return DispositionContinue
}

// mayRepeat reports whether a message whose first attempt may have run at firstRun may be sent again.
func (m Message) mayRepeat(now, firstRun clock.Instant) bool {
	switch m.Idempotency {
	case scheduler.NotIdempotent:
		return false
	case scheduler.IdempotentByKey:
		return now < firstRun.Add(m.IdempotencyWindow)
	}
	return true
}
