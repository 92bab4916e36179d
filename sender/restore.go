package sender

import (
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/journal"
	"brackendale/internal/provenance"
	"brackendale/scheduler"
)

// restoreFolder restores the learned state, limits the deadlines of the messages in the journal, and
// checks the provenance of the state folder.
func (s *Sender) restoreFolder() {
	hotRestart := s.options.Checkpoint != nil
	hasSnapshot := s.options.KeepSnapshot && !hotRestart && s.restoreSnapshot()
	s.recovery.snapshotReadTime = time.Since(s.startedAt)
	s.recovery.start.Store(startCaseOf(hotRestart, len(s.journal.Entries()) > 0, hasSnapshot))
	s.journal.SetClock(s.Now)
	if s.journal.TimesRebased() {
		s.limitRebasedDeadlines()
	}
	if lost := s.journal.LostBytes(); lost > 0 {
		s.log.Warn().Int64("bytes", lost).
			Msg("the end of the journal is unreadable and was truncated: its records are lost")
	}
	if problem := s.checkProvenance(); problem != "" {
		s.recovery.folderProblem = problem
		s.recovery.start.Store(startDistrusted)
		s.log.Error().Str("why", problem).Int("messages", len(s.journal.Entries())).
			Msg("the state folder is not as the previous incarnation left it: messages that may have been sent since " +
				"and must not be repeated fail")
	}
}

// limitRebasedDeadlines limits deadlines that were converted from another clock and may be too late. All
// others bind, whatever the settings of their class have become.
func (s *Sender) limitRebasedDeadlines() {
	for _, entry := range s.journal.Entries() {
		if class, ok := s.classes[entry.Class]; ok {
			s.journal.LimitDeadline(entry.ID, s.Now().Add(clock.Microseconds(class.DeadlineUs)))
		}
	}
}

// restoreJournal passes the messages of earlier incarnations to the scheduler. An attempt that was in
// flight may have run.
func (s *Sender) restoreJournal() {
	for _, entry := range s.journal.RemovedEntries() {
		s.recordEndedID(entry)
	}
	if s.options.Checkpoint != nil {
		s.resumeCheckpoint(s.options.Checkpoint)
	}
	for _, entry := range s.journal.Entries() {
		s.restoreEntry(entry)
	}
	s.runResumed()
	s.recovery.isRestored = true
	s.recovery.restoredCount = len(s.recovery.restored)
	s.recovery.window.checkedAt = time.Now()
	if s.pending > 0 || len(s.unsentAnswers) > 0 {
		s.log.Info().Int("open", s.pending).Int("owed", len(s.unsentAnswers)).Int("doubtful", s.recovery.ambiguousCount).
			Msg("messages of earlier incarnations restored from the journal")
	}
	s.Post(func() {}) // wakes Run
}

// restoreEntry restores one message of the journal by its state: acknowledged, with a final answer, or
// pending. A pending message that the scheduler has from the predecessor's checkpoint stays as it is.
func (s *Sender) restoreEntry(entry *journal.Entry) {
	if entry.Acknowledged {
		s.scheduleExpiry(entry)
		return
	}
	if entry.FinalAnswer != "" {
		s.unsentAnswers = append(s.unsentAnswers, entry)
		return
	}
	s.pending++
	defer s.takeRestored(entry)
	if s.options.Checkpoint != nil && s.scheduler.HasMessage(entry.ID) {
		s.scheduler.SetTerms(entry.ID, s.schedulerTerms(entry))
		return
	}
	if entry.InFlightSince != 0 {
		s.journal.EndAttempt(entry.ID, true)
	}
	s.recovery.restored[entry.ID] = true
	s.addEvents(s.restoredEvent(entry))
}

// restoredEvent returns the scheduler event for a message that an earlier incarnation accepted, and
// counts it if its outcome is ambiguous.
func (s *Sender) restoredEvent(entry *journal.Entry) scheduler.Event {
	distrusted := s.recovery.folderProblem != ""
	class, _ := s.classOf(entry)
	message := provenanceMessage(entry, class)
	attempts, firstRun := message.AssumedAttempts(distrusted)
	if message.Disposition(s.Now(), distrusted) == provenance.DispositionAmbiguous {
		s.recovery.ambiguousCount++
	}
	s.scheduler.ExpectTerms(entry.ID, s.schedulerTerms(entry))
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

// Downtime returns an upper bound of the time for which no process of this sender received updates of
// the endpoint list before this one started; ok is false if it is unknown. A process that writes its
// journal is taken to receive the updates. If no process has written a journal before, the endpoint
// list is as old as this process and the downtime is 0.
func (s *Sender) Downtime() (downtime time.Duration, ok bool) {
	if s.journal.IsNew() {
		return 0, true
	}
	lastWrite, ok := s.journal.LastWriteAt()
	return s.startInstant.Sub(lastWrite), ok
}
