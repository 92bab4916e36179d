package sender

import (
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/journal"
	"brackendale/internal/provenance"
	"brackendale/scheduler"
)

// restoreFolder restores the learned state, judges the state folder, and limits the deadlines that
// the journal names.
func (s *Sender) restoreFolder() {
	hotRestart := s.options.Checkpoint != nil
	hasSnapshot := s.options.KeepSnapshot && !hotRestart && s.restoreSnapshot()
	s.recovery.snapshotReadTime = time.Since(s.startedAt)
	s.recovery.start.Store(startCaseOf(hotRestart, len(s.journal.Entries()) > 0, hasSnapshot))
	s.journal.SetClock(s.Now)
	for _, entry := range s.journal.Entries() { // a deadline of another boot was moved, and may lie too far ahead
		if class, ok := s.classes[entry.Class]; ok {
			s.journal.LimitDeadline(entry.ID, s.Now().Add(clock.Microseconds(class.DeadlineUs)))
		}
	}
	if lost := s.journal.LostBytes(); lost > 0 {
		s.log.Warn().Int64("bytes", lost).
			Msg("the end of the journal is unreadable and was cut off: what it recorded is lost")
	}
	if problem := s.checkProvenance(); problem != "" {
		s.recovery.folderProblem = problem
		s.recovery.start.Store(startDistrusted)
		s.log.Error().Str("why", problem).Int("messages", len(s.journal.Entries())).
			Msg("this folder is not as the last life left it: messages that may have been sent since and must not be " +
				"repeated fail")
	}
}

// restoreJournal hands the scheduler the messages of the last incarnation. An attempt that was in
// flight may have run.
func (s *Sender) restoreJournal() {
	for _, entry := range s.journal.RemovedEntries() {
		s.rememberEnded(entry)
	}
	if s.options.Checkpoint != nil {
		s.resumeCheckpoint(s.options.Checkpoint)
	}
	for _, entry := range s.journal.Entries() {
		s.restoreEntry(entry)
	}
	s.recovery.restoredCount = len(s.recovery.restored)
	s.recovery.window.checkedAt = time.Now()
	if s.pending > 0 || len(s.unsentAnswers) > 0 {
		s.log.Info().Int("open", s.pending).Int("owed", len(s.unsentAnswers)).Int("doubtful", s.recovery.ambiguousCount).
			Msg("messages of the last incarnation restored from the journal")
	}
	s.Post(func() {}) // wakes Run
}

func (s *Sender) restoreEntry(entry *journal.Entry) {
	if entry.Acknowledged {
		s.scheduleForget(entry)
		return
	}
	if entry.FinalAnswer != "" {
		s.unsentAnswers = append(s.unsentAnswers, entry)
		return
	}
	s.pending++
	if s.options.Checkpoint != nil && s.scheduler.Holds(entry.ID) {
		return
	}
	if entry.InFlightSince != 0 {
		s.journal.EndAttempt(entry.ID, true)
	}
	s.recovery.restored[entry.ID] = true
	s.addEvents(s.restoredEvent(entry))
}

// restoredEvent tells the scheduler of a message that an earlier incarnation accepted.
func (s *Sender) restoredEvent(entry *journal.Entry) scheduler.Event {
	distrusted := s.recovery.folderProblem != ""
	message := provenanceMessage(entry, s.classes[entry.Class])
	attempts, firstRun := message.AssumedAttempts(distrusted)
	if message.Disposition(s.Now(), distrusted) == provenance.DispositionAmbiguous {
		s.recovery.ambiguousCount++
	}
	return scheduler.Event{
		Kind:        scheduler.RequestAccepted,
		Restored:    true,
		ID:          entry.ID,
		Class:       entry.Class,
		Tenant:      entry.Tenant,
		Destination: entry.Destination,
		Deadline:    int64(entry.Deadline),
		Attempts:    attempts,
		FirstRunUs:  int64(firstRun),
		Zone:        entry.Zone,
	}
}
