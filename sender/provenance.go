package sender

import (
	"encoding/json"
	"fmt"
	"path/filepath"

	"brackendale/internal/clock"
	"brackendale/internal/journal"
	"brackendale/internal/provenance"
	"brackendale/internal/statefs"
	"brackendale/scheduler"
)

// FolderTrust is how far the state folder is trusted.
type FolderTrust uint8

// The kinds of trust.
const (
	FolderTrusted  FolderTrust = iota // as it is: no note is written, and nothing is judged
	FolderJudged                      // a folder that is not as the last incarnation left it counts as restored
	FolderRestored                    // it is an older state, as the operator says
	FolderMoved                       // it is as the last incarnation left it, as the operator says, in another place
)

const (
	noteFileName = "life"  // stored data
	maxNoteBytes = 4 << 10 // that are read
)

// checkProvenance judges the folder, notes this incarnation in it, and returns what speaks against
// the folder. The journal names the incarnation first, in one record with the ambiguous messages of
// an older folder. So there is no moment at which the folder looks older than it is, and once the
// incarnation is noted, one that follows at once finds those messages.
func (s *Sender) checkProvenance() (problem string) {
	if s.options.FolderTrust == FolderTrusted || s.options.Checkpoint != nil {
		return ""
	}
	evidence := readEvidence(s.options.StateDir, s.journal.Incarnation(), len(s.journal.Entries()))
	problem = folderProblem(s.options.Name, s.options.FolderTrust, evidence)
	if problem != "" {
		for _, entry := range s.journal.Entries() {
			s.markAmbiguous(entry)
		}
	}
	s.journal.SetIncarnation(max(evidence.Note.Incarnation, evidence.JournalIncarnation) + 1)
	err := s.journal.Flush()
	if err == nil {
		err = writeNote(s.options.StateDir, provenance.Note{
			Name:        s.options.Name,
			Incarnation: s.journal.Incarnation(),
			FileID:      evidence.FileID,
		})
	}
	if err != nil { // the next incarnation finds the note of an earlier one, and a journal that is newer
		s.log.Warn().Err(err).Uint64("incarnation", s.journal.Incarnation()).
			Msg("this incarnation cannot be noted in the state folder: it goes on without")
	}
	return problem
}

// DistrustFolder books that the folder turns out to be an older state after all, and why. Messages
// of earlier incarnations that must not be repeated fail, or go on only within their idempotency
// window. What has been sent already cannot be called back. booked is called once the next
// incarnation would know it too. Any goroutine may call it.
func (s *Sender) DistrustFolder(why string, booked func()) {
	s.Post(func() {
		if s.handedOver() {
			booked()
			return
		}
		s.onFlushed = append(s.onFlushed, func(err error) {
			if err == nil {
				booked()
			}
		})
		if s.options.FolderTrust == FolderMoved || s.recovery.folderProblem != "" {
			return
		}
		s.recovery.folderProblem = why
		s.recovery.start.Store(startDistrusted)
		s.log.Error().Str("why", why).Int("messages", len(s.recovery.restored)).
			Msg("this folder is an older state: messages that may have been sent since and must not be repeated fail")
		for id := range s.recovery.restored {
			s.distrustEntry(s.journal.Get(id))
		}
	})
}

// distrustEntry restores a message once more where none of its attempts is in flight, as one that
// may have run.
func (s *Sender) distrustEntry(entry *journal.Entry) {
	if entry.InFlightSince != 0 || s.classes[entry.Class].Idempotency == scheduler.Idempotent {
		return
	}
	s.markAmbiguous(entry)
	s.addEvents(scheduler.Event{Kind: scheduler.RequestWithdrawn, ID: entry.ID}, s.restoredEvent(entry))
}

// markAmbiguous records that a message of an older folder may have been sent since, where that
// matters: the next incarnation finds the folder as this one left it.
func (s *Sender) markAmbiguous(entry *journal.Entry) {
	class := s.classes[entry.Class]
	if entry.FinalAnswer != "" || entry.Acknowledged || class.Idempotency == scheduler.Idempotent {
		return
	}
	attempts, firstRun := provenanceMessage(entry, class).AssumedAttempts(true)
	s.journal.MarkAmbiguous(entry.ID, attempts, firstRun)
}

// folderProblem returns what speaks against a folder; empty: nothing.
func folderProblem(name string, trust FolderTrust, evidence provenance.FolderState) string {
	switch trust {
	case FolderRestored:
		return "by the operator's word"
	case FolderMoved, FolderTrusted:
		return ""
	}
	return provenance.Problem(name, evidence)
}

// readEvidence reads what the folder tells beside its journal.
func readEvidence(dir string, journalIncarnation uint64, messages int) provenance.FolderState {
	evidence := provenance.FolderState{JournalIncarnation: journalIncarnation, Messages: messages}
	if stamp, err := journal.LockFileID(dir); err == nil {
		evidence.FileID = provenance.FileID(stamp)
	}
	raw, err := statefs.Read(filepath.Join(dir, noteFileName), maxNoteBytes)
	evidence.HasNote = err == nil && json.Unmarshal(raw, &evidence.Note) == nil
	return evidence
}

func writeNote(dir string, note provenance.Note) error {
	raw, err := json.Marshal(note)
	if err != nil {
		return fmt.Errorf("encoding the note of incarnation %d: %w", note.Incarnation, err)
	}
	if err := statefs.Replace(filepath.Join(dir, noteFileName), append(raw, '\n')); err != nil {
		return fmt.Errorf("writing the note of incarnation %d: %w", note.Incarnation, err)
	}
	return nil
}

func provenanceMessage(entry *journal.Entry, class scheduler.Class) provenance.Message {
	return provenance.Message{
		Idempotency:       class.Idempotency,
		Deadline:          entry.Deadline,
		MaxDeadline:       clock.Microseconds(class.DeadlineUs),
		IdempotencyWindow: clock.Microseconds(class.KeyWindowUs),
		Attempts:          entry.Attempts,
		FirstRun:          entry.FirstRun,
		InFlightSince:     entry.InFlightSince,
		FinalAnswer:       entry.FinalAnswer,
		Acknowledged:      entry.Acknowledged,
	}
}
