package sender

import (
	"slices"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/snapshot"
)

const (
	minSnapshotInterval     = time.Second      // between two looks at whether a new snapshot is due
	maxSnapshotAge          = 10 * time.Second // after which there is a new one though nothing that matters has changed
	maxSnapshotDestinations = 100              // destinations in a snapshot; each takes some 250 bytes
)

// snapshotWriter writes snapshots of the learned state on a goroutine of its own. Run's goroutine
// owns the fields.
type snapshotWriter struct {
	queue chan snapshot.Snapshot // to the goroutine that writes; nil: no snapshots are kept
	done  chan struct{}          // closed when that goroutine has ended

	checkedAt   time.Time // when it was last asked whether a snapshot is due
	queuedAt    time.Time // of the last snapshot
	fingerprint uint64    // of the state in the last snapshot
}

// restoreSnapshot restores the learned state of an earlier incarnation and reports whether there
// was any of use.
func (s *Sender) restoreSnapshot() bool {
	stored, there, err := snapshot.Read(s.options.StateDir, s.options.Name)
	if !there {
		return false
	}
	if err == nil {
		err = s.applySnapshot(stored)
	}
	if err != nil {
		s.log.Warn().Err(err).Msg("what the last life knew is dropped: the snapshot cannot be used")
		return false
	}
	return true
}

func (s *Sender) applySnapshot(stored snapshot.Snapshot) error {
	now := clock.Now()
	elapsed, shift := snapshot.Elapsed(stored.TakenAt, now)
	stored.Scheduler.ShiftTimes(shift)
	if err := s.scheduler.RestoreLearnedState(stored.Scheduler, int64(now.SinceBoot)); err != nil {
		return err
	}
	s.draining.names = stored.Draining
	// Until messages get their final answers in this incarnation: what came in went out.
	s.finalAnswerRate.perSecond = s.scheduler.ArrivalRate(int64(now.SinceBoot))
	s.log.Info().Int64("away_ms", elapsed/1000).Int64("clock_moved_ms", shift/1000).
		Int("destinations", len(stored.Scheduler.Destinations)).Msg("what the last life knew")
	return nil
}

// startSnapshotWriter starts the goroutine that writes.
func (s *Sender) startSnapshotWriter() {
	s.snapshots.queue, s.snapshots.done = make(chan snapshot.Snapshot, 1), make(chan struct{})
	go func() {
		defer close(s.snapshots.done)
		logged := false
		for taken := range s.snapshots.queue {
			if err := snapshot.Write(s.options.StateDir, taken); err != nil && !logged {
				logged = true
				s.log.Warn().Err(err).Msg("the snapshot cannot be written: the next incarnation may lack the learned state")
			}
		}
	}()
}

// writeSnapshotIfDue queues a snapshot where one is due, or, with force, in any case. It never
// blocks: a snapshot that finds the writer busy is taken anew later.
func (s *Sender) writeSnapshotIfDue(force bool) {
	writer := &s.snapshots
	if writer.queue == nil || s.handedOver() {
		return
	}
	now := time.Now()
	force = force || s.draining.unsaved
	// The fingerprint costs a walk over all destinations: it is not taken in each turn.
	if !force && now.Sub(writer.checkedAt) < minSnapshotInterval {
		return
	}
	writer.checkedAt = now
	fingerprint := s.scheduler.Fingerprint()
	if fingerprint == writer.fingerprint && !force && now.Sub(writer.queuedAt) < maxSnapshotAge {
		return
	}
	select {
	case writer.queue <- s.newSnapshot():
		writer.queuedAt, writer.fingerprint, s.draining.unsaved = now, fingerprint, false
	default:
	}
}

func (s *Sender) newSnapshot() snapshot.Snapshot {
	return snapshot.Snapshot{
		Name:      s.options.Name,
		TakenAt:   clock.Now(),
		Scheduler: s.scheduler.LearnedState(maxSnapshotDestinations),
		Draining:  slices.Clone(s.draining.names),
	}
}

// stopSnapshotWriter queues a last snapshot and waits until it is written.
func (s *Sender) stopSnapshotWriter() {
	if s.snapshots.queue == nil {
		return
	}
	s.writeSnapshotIfDue(true)
	close(s.snapshots.queue)
	<-s.snapshots.done
}
