package sender

import (
	"sync/atomic"
	"time"

	"brackendale/internal/metrics"
)

// recoveryProgress records how this incarnation started and when it reached full service: it accepts
// messages, all messages that the previous incarnation left pending have their final answers, and no
// more messages are pending than were accepted within the last second. Run's goroutine owns it,
// except for the atomic fields and those that do not change after New.
type recoveryProgress struct {
	start            atomic.Value // of startCase: how the state folder was found
	folderProblem    string       // why the folder is not as the previous incarnation left it; empty: it is
	journalReadTime  time.Duration
	snapshotReadTime time.Duration

	restored       map[string]bool // ids of messages of earlier incarnations that have no final answer yet
	isRestored     bool            // the messages of earlier incarnations were passed to the scheduler
	restoredCount  int             // number of them at the start
	ambiguousCount int             // number of them that may have run and must not be repeated

	// Milestones, in microseconds since the start; 0: not yet.
	firstListUs    atomic.Int64 // first endpoint list
	firstCallUs    atomic.Int64 // first call
	restoredDoneUs atomic.Int64 // final answer of the last restored message
	fullServiceUs  atomic.Int64

	window acceptedWindow
}

// acceptedWindow counts the messages accepted within the last second.
type acceptedWindow struct {
	checkedAt      time.Time
	acceptedBefore uint64     // State.Accepted at checkedAt
	slots          [10]uint64 // messages accepted in each of the last ten tenths of a second
	current        int        // index into slots
	checkScheduled bool       // Run will be woken for another check
}

// recoveryCheckInterval is the time between two checks for full service: one slot of the window.
const recoveryCheckInterval = 100 * time.Millisecond

// recoveryIdleInterval is the time after which an idle incarnation that is not in full service checks
// again.
const recoveryIdleInterval = 500 * time.Millisecond

// startCase names how the state folder was found. The metrics and the log show it.
type startCase string

const (
	startNew        startCase = "new"     // empty
	startComplete   startCase = "kept"    // a journal with messages, and a snapshot
	startJournal    startCase = "journal" // a journal with messages, and no usable snapshot
	startSnapshot   startCase = "memory"  // a snapshot, and a journal without messages
	startHotRestart startCase = "handed"  // a hot restart
	startDistrusted startCase = "old"     // an older state, a copy, or another sender's
)

// startCaseOf returns the case of a folder that is as the previous incarnation left it.
func startCaseOf(hotRestart, hasMessages, hasSnapshot bool) startCase {
	switch {
	case hotRestart:
		return startHotRestart
	case hasMessages && hasSnapshot:
		return startComplete
	case hasMessages:
		return startJournal
	case hasSnapshot:
		return startSnapshot
	}
	return startNew
}

// loadStart returns the start case. Any goroutine may call it.
func (p *recoveryProgress) loadStart() startCase {
	found, _ := p.start.Load().(startCase)
	return found
}

// recordMilestone sets the time of a milestone unless it is set.
func (s *Sender) recordMilestone(sinceStartUs *atomic.Int64) {
	if sinceStartUs.Load() == 0 {
		sinceStartUs.Store(max(1, time.Since(s.startedAt).Microseconds()))
	}
}

// finishRestored records that a message has its final answer if it is one of an earlier incarnation.
func (s *Sender) finishRestored(id string) {
	if len(s.recovery.restored) == 0 {
		return
	}
	delete(s.recovery.restored, id)
	if len(s.recovery.restored) == 0 {
		s.recordMilestone(&s.recovery.restoredDoneUs)
	}
}

// updateRecovery checks whether this incarnation is in full service, until it is.
func (s *Sender) updateRecovery() {
	progress := &s.recovery
	window := &progress.window
	if progress.fullServiceUs.Load() != 0 {
		return
	}
	if !window.checkScheduled { // an idle sender makes no iterations that would check again
		window.checkScheduled = true
		time.AfterFunc(recoveryIdleInterval, func() { s.Post(func() { window.checkScheduled = false }) })
	}
	if time.Since(window.checkedAt) < recoveryCheckInterval {
		return
	}
	accepted := window.update(s.stats.Accepted)
	if ready, _ := s.Ready(); !ready || len(progress.restored) > 0 || uint64(s.pending) > accepted+1 {
		return
	}
	s.recordMilestone(&progress.fullServiceUs)
	s.logFullService()
}

// update adds the messages accepted since the last check and returns how many were accepted within
// the last second.
func (w *acceptedWindow) update(acceptedNow uint64) (accepted uint64) {
	for n := min(int(time.Since(w.checkedAt)/recoveryCheckInterval), len(w.slots)); n > 0; n-- {
		w.current = (w.current + 1) % len(w.slots)
		w.slots[w.current] = 0
	}
	w.slots[w.current] = acceptedNow - w.acceptedBefore
	w.checkedAt, w.acceptedBefore = time.Now(), acceptedNow
	for _, n := range w.slots {
		accepted += n
	}
	return accepted
}

func (s *Sender) logFullService() {
	progress := &s.recovery
	ms := func(sinceStartUs *atomic.Int64) int64 { return sinceStartUs.Load() / 1000 }
	s.log.Info().
		Str("start", string(progress.loadStart())).
		Int("taken_up", progress.restoredCount).
		Int64("journal_ms", progress.journalReadTime.Milliseconds()).
		Int64("memory_ms", progress.snapshotReadTime.Milliseconds()).
		Int64("list_ms", ms(&progress.firstListUs)).
		Int64("first_call_ms", ms(&progress.firstCallUs)).
		Int64("taken_up_ended_ms", ms(&progress.restoredDoneUs)).
		Int64("full_ms", ms(&progress.fullServiceUs)).
		Msg("full service")
}

// RecoveryMetrics returns the metrics of the start of this incarnation. Any goroutine may call it.
func (s *Sender) RecoveryMetrics() []metrics.Metric {
	progress := &s.recovery
	seconds := func(sinceStartUs *atomic.Int64) float64 { return float64(sinceStartUs.Load()) / 1e6 }
	inFullService := 0.0
	if progress.fullServiceUs.Load() != 0 {
		inFullService = 1
	}
	return []metrics.Metric{
		{
			Name: "lb_life_start",
			Help: "How the folder that lasts was found: new, kept, journal (and no memory), memory (and no messages), " +
				"handed, old (not as the last life left it).",
			Label: []string{"case", string(progress.loadStart())},
			Value: 1,
		},
		{
			Name:  "lb_life_taken_up",
			Help:  "Messages that the life before had left without an end.",
			Value: float64(progress.restoredCount),
		},
		{
			Name:  "lb_life_doubtful",
			Help:  "Of those, messages that may have run and may not be sent again: they end as failed.",
			Value: float64(progress.ambiguousCount),
		},
		{
			Name:  "lb_life_first_call_seconds",
			Help:  "From the start to the first call; 0: none yet.",
			Value: seconds(&progress.firstCallUs),
		},
		{
			Name:  "lb_life_taken_up_ended_seconds",
			Help:  "From the start until all that was taken up had its end; 0: not yet, or there was none.",
			Value: seconds(&progress.restoredDoneUs),
		},
		{
			Name:  "lb_life_full",
			Help:  "1 once all that was taken up has its end and no more is held than came in within a second.",
			Value: inFullService,
		},
		{
			Name:  "lb_life_full_seconds",
			Help:  "From the start to full service; 0: not yet.",
			Value: seconds(&progress.fullServiceUs),
		},
	}
}
