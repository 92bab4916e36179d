package sender

import (
	"slices"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/snapshot"
)

const (
	minSnapshotInterval     = time.Second      // between two checks whether a new snapshot is due
	maxSnapshotAge          = 10 * time.Second // a new one is written at this age even if its fingerprint is unchanged
	maxSnapshotDestinations = 100              // destinations in a snapshot; each takes about 250 bytes
)

// snapshotWriter writes snapshots of the learned state on a goroutine of its own. Run's goroutine
// owns the fields.
type snapshotWriter struct {
	queue chan snapshot.Snapshot // to the writing goroutine; nil: no snapshots are kept
	done  chan struct{}          // closed when that goroutine has ended

	checkedAt   time.Time // time of the last check whether a snapshot is due
	queuedAt    time.Time // of the last snapshot
	fingerprint uint64    // of the state in the last snapshot
}

// restoreSnapshot restores the learned state of an earlier incarnation and reports whether there was
// a usable snapshot.
func (s *Sender) restoreSnapshot() bool {
	stored, found, err := snapshot.Read(s.options.StateDir, s.options.Name)
	if !found {
		return false
	}
	if err == nil {
		err = s.applySnapshot(stored)
	}
	if err != nil {
		s.log.Warn().Err(err).Msg("the learned state of the previous incarnation is dropped: its snapshot cannot be used")
		return false
	}
	return true
}

// applySnapshot restores the learned state in a snapshot, with its times shifted to the clock of this
// boot.
func (s *Sender) applySnapshot(stored snapshot.Snapshot) error {
	s.reported.restore(stored.LiveEndpoints, stored.Draining) // also if the scheduler's part is not usable
	now := clock.Now()
	elapsed, shift := snapshot.Elapsed(stored.TakenAt, now)
	stored.Scheduler.ShiftTimes(shift)
	logRepairs(s.log, stored.Scheduler.Repair())
	if err := s.scheduler.RestoreLearnedState(stored.Scheduler, int64(now.SinceBoot)); err != nil {
		return err
	}
	// Until messages get their final answers in this incarnation, the rate of final answers is taken
	// to be the arrival rate.
	s.finalAnswerRate.perSecond = s.scheduler.ArrivalRate(int64(now.SinceBoot))
	s.log.Info().Int64("away_ms", elapsed/1000).Int64("clock_moved_ms", shift/1000).
		Int("destinations", len(stored.Scheduler.Destinations)).
		Msg("learned state of the previous incarnation restored")
	return nil
}

// startSnapshotWriter starts the goroutine that writes snapshots.
func (s *Sender) startSnapshotWriter() {
	s.snapshots.queue, s.snapshots.done = make(chan snapshot.Snapshot, 1), make(chan struct{})
	go func() {
		defer close(s.snapshots.done)
		logged := false
		for taken := range s.snapshots.queue {
			err := snapshot.Write(s.options.StateDir, taken)
			if err == nil {
				continue
			}
			s.Post(func() { s.snapshots.queuedAt = time.Time{} }) // the next check tries again
			if !logged {
				logged = true
				s.log.Warn().Err(err).Msg("the snapshot cannot be written: the next incarnation may lack the learned state")
			}
		}
	}()
}

// writeSnapshotIfDue queues a snapshot if one is due or force is set. It never blocks: if the writer is
// busy, a new snapshot is taken later.
func (s *Sender) writeSnapshotIfDue(force bool) {
	writer := &s.snapshots
	if writer.queue == nil || s.handedOver() {
		return
	}
	now := time.Now()
	force = force || s.reported.unsaved
	// The fingerprint iterates over all destinations, so it is not computed in each iteration of Run.
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
		writer.queuedAt, writer.fingerprint, s.reported.unsaved = now, fingerprint, false
	default:
	}
}

func (s *Sender) newSnapshot() snapshot.Snapshot {
	return snapshot.Snapshot{
		Name:          s.options.Name,
		TakenAt:       clock.Now(),
		Scheduler:     s.scheduler.LearnedState(maxSnapshotDestinations),
		Draining:      slices.Clone(s.reported.removed),
		LiveEndpoints: s.reported.live.encode(maxStoredEndpoints),
	}
}

// stopSnapshotWriter queues a last snapshot, behind one that still waits for the writer, and waits until
// the goroutine has ended.
func (s *Sender) stopSnapshotWriter() {
	if s.snapshots.queue == nil {
		return
	}
	if !s.handedOver() {
		s.snapshots.queue <- s.newSnapshot()
	}
	close(s.snapshots.queue)
	<-s.snapshots.done
}
