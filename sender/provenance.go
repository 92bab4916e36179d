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

// FolderTrust is how far the state folder is trusted to be as the previous incarnation left it. An
// older state of it, such as a restored backup, lacks the attempts that were made since.
type FolderTrust uint8

// The levels of trust.
const (
	FolderTrusted  FolderTrust = iota // no checks are made, and no provenance note is written
	FolderVerified                    // the provenance is checked: a folder that is not as it was left counts as restored
	FolderRestored                    // the operator states that the folder is an older state
	FolderMoved                       // the operator states that the folder is as it was left, in another place
)

const (
	noteFileName = "life"  // the provenance note
	maxNoteBytes = 4 << 10 // limit on what is read of it
)

// checkProvenance checks whether the state folder is as the previous incarnation left it, and records
// this incarnation in the folder. It returns the problem with the folder, or "". The journal gets the
// incarnation first, in one record with the marks of the ambiguous messages of an older folder, and
// then the note is written. So the folder never looks older than it is, and once the note names this
// incarnation, the next one finds those messages marked, however early this one is killed.
func (s *Sender) checkProvenance() (problem string) {
	if s.options.FolderTrust == FolderTrusted {
		return ""
	}
	folder := readFolderState(s.options.StateDir, s.journal.Incarnation(), len(s.journal.Entries()))
	s.earlierGroupIncarnation = folder.Note.GroupIncarnation
	if s.options.Checkpoint != nil {
		return ""
	}
	problem = folderProblem(s.options.Name, s.options.FolderTrust, folder)
	if problem != "" {
		s.markAllAmbiguous()
	}
	s.journal.SetIncarnation(max(folder.Note.Incarnation, folder.JournalIncarnation) + 1)
	err := s.journal.Flush()
	if err == nil {
		err = writeNote(s.options.StateDir, provenance.Note{
			Name:             s.options.Name,
			Incarnation:      s.journal.Incarnation(),
			FileID:           folder.FileID,
			GroupIncarnation: folder.Note.GroupIncarnation,
		})
	}
	if err != nil { // the next incarnation finds a note of an earlier incarnation than the journal's
		s.log.Warn().Err(err).Uint64("incarnation", s.journal.Incarnation()).
			Msg("recording this incarnation in the state folder failed: it continues without a new provenance note")
	}
	return problem
}

// EarlierGroupIncarnation returns the latest incarnation as a member of a group that earlier incarnations of this
// sender have recorded in the folder; 0: none. Any goroutine may call it.
func (s *Sender) EarlierGroupIncarnation() uint64 { return s.earlierGroupIncarnation }

// RecordGroupIncarnation records in the folder's note that this sender has an incarnation as a member of a group. It
// is called before another member can see that, on one goroutine at a time. Without checks of the folder there is
// no note.
func (s *Sender) RecordGroupIncarnation(incarnation uint64) error {
	folder := readFolderState(s.options.StateDir, 0, 0)
	if !folder.HasNote || folder.Note.GroupIncarnation >= incarnation {
		return nil
	}
	folder.Note.GroupIncarnation = incarnation
	return writeNote(s.options.StateDir, folder.Note)
}

// DistrustFolder records that the state folder turned out to be an older state while the sender runs,
// with the reason. Messages of earlier incarnations that are unsafe to repeat fail, or are sent only
// within their idempotency window. Attempts that were already sent cannot be undone. recorded is
// called once that is durable, so that the next incarnation finds it too. Any goroutine may call
// DistrustFolder.
func (s *Sender) DistrustFolder(reason string, recorded func()) {
	s.Post(func() {
		if s.handedOver() {
			recorded()
			return
		}
		s.onFlushed = append(s.onFlushed, func(err error) {
			if err == nil {
				recorded()
			}
		})
		if s.options.FolderTrust == FolderMoved || s.recovery.folderProblem != "" {
			return
		}
		s.recovery.folderProblem = reason
		s.recovery.start.Store(startDistrusted)
		s.log.Error().Str("why", reason).Int("messages", len(s.recovery.restored)).
			Msg("the state folder is an older state: messages that may have been sent since and must not be repeated fail")
		if !s.recovery.isRestored { // restoreJournal follows
			s.markAllAmbiguous()
		}
		for id := range s.recovery.restored {
			s.distrustEntry(s.journal.Get(id))
		}
	})
}

// distrustEntry restores a message again, as one that may have run, unless it is idempotent. The attempt of one
// that is in flight goes on, but whatever its result is, the message may have run before it.
func (s *Sender) distrustEntry(entry *journal.Entry) {
	class, _ := s.classOf(entry)
	if class.Idempotency == scheduler.Idempotent {
		return
	}
	s.guard.MarkMayHaveRun(entry.ID)
	if entry.InFlightSince != 0 {
		_, firstRun := provenanceMessage(entry, class).AssumedAttempts(true)
		s.journal.MarkMayHaveRun(entry.ID, firstRun)
		s.scheduler.MarkMayHaveRun(entry.ID, int64(firstRun))
		return
	}
	s.markAmbiguous(entry)
	s.addEvents(scheduler.Event{Kind: scheduler.RequestWithdrawn, ID: entry.ID}, s.restoredEvent(entry))
}

// markAmbiguous records that a message of an older folder may have been sent since, unless the message is
// idempotent or has its final answer. Without the record the next incarnation would not know: for it,
// the folder is as this one left it.
func (s *Sender) markAmbiguous(entry *journal.Entry) {
	class, _ := s.classOf(entry)
	if entry.FinalAnswer != "" || entry.Acknowledged || class.Idempotency == scheduler.Idempotent {
		return
	}
	attempts, firstRun := provenanceMessage(entry, class).AssumedAttempts(true)
	s.journal.MarkAmbiguous(entry.ID, attempts, firstRun)
}

// markAllAmbiguous does that for all messages.
func (s *Sender) markAllAmbiguous() {
	for _, entry := range s.journal.Entries() {
		s.markAmbiguous(entry)
	}
}

// folderProblem returns the reason not to trust a folder, or "" if there is none.
func folderProblem(name string, trust FolderTrust, folder provenance.FolderState) string {
	switch trust {
	case FolderRestored:
		return "by the operator's word"
	case FolderMoved, FolderTrusted:
		return ""
	}
	return provenance.Problem(name, folder)
}

// readFolderState reads the provenance note and the ID of the journal's lock file.
func readFolderState(dir string, journalIncarnation uint64, messages int) provenance.FolderState {
	folder := provenance.FolderState{JournalIncarnation: journalIncarnation, Messages: messages}
	if id, err := journal.LockFileID(dir); err == nil {
		folder.FileID = provenance.FileID(id)
	}
	raw, err := statefs.Read(filepath.Join(dir, noteFileName), maxNoteBytes)
	folder.HasNote = err == nil && json.Unmarshal(raw, &folder.Note) == nil
	return folder
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

// provenanceMessage returns what package provenance needs of a message of a class; see acceptedClass.
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
