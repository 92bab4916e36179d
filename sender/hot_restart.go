package sender

import (
	"errors"

	"brackendale/internal/clock"
	"brackendale/scheduler"
)

// ErrHandedOver reports that a successor process has replaced this one.
var ErrHandedOver = errors.New("handed over to a new process: call that one")

// Action is an attempt in flight: its message, its number among the attempts of the message, and its
// endpoint.
type Action = scheduler.Action

// Checkpoint is the state of a sender that is not in its journal. With both, a successor process
// continues in its place.
type Checkpoint struct {
	Scheduler      scheduler.State `json:"Module"`
	Routes         []Route         `json:"Routes"`
	Ended          []string        `json:"Over"`   // ids of removed messages
	KnownEndpoints []string        `json:"Listed"` // names of all endpoints that were ever listed
	Draining       []string        `json:"Gone"`   // endpoints that were draining or removed
	// LiveEndpoints are fingerprints of the endpoints that were live in the registry's last report; nil:
	// there is no report.
	LiveEndpoints []byte `json:"Live,omitzero"`
}

// Successor is the process that replaces this one in a hot restart. Its methods are called on Run's
// goroutine and must not block.
type Successor interface {
	// Submit forwards a request; Sender.AnswerForwarded receives the verdict.
	Submit(request *Request)
	// Withdraw cancels a request that has no verdict yet.
	Withdraw(request *Request)
	// Report forwards the results of attempts that shared a call.
	Report(results []AttemptResult)
}

// Predecessor is the process that this one replaces, as long as it has calls in flight. Its method is
// called on Run's goroutine.
type Predecessor interface {
	// Cancel cancels an attempt of a message.
	Cancel(id string, attempt int)
}

// hotRestart is this process's state in a hot restart, as the predecessor or as the successor.
type hotRestart struct {
	pauseRequest chan<- *Pause // receives the pause that was requested; nil: none was
	successor    Successor     // has replaced this process; nil: none

	resumed        bool              // the checkpoint is restored; meaningless without one
	untilResumed   []func()          // what the predecessor reported before that
	predecessor    Predecessor       // has calls in flight for this process; nil: none
	remoteAttempts map[string]Action // in flight at the predecessor, by message id
}

// handedOver reports whether a successor has replaced this process.
func (s *Sender) handedOver() bool { return s.hotRestart.successor != nil }

// Quiesce pauses the sender after a complete step and sends the pause on the channel: nothing is
// accepted, sent or written until the pause ends. If the journal cannot be written, the channel is
// closed and the sender continues. If Run returns first, the channel never receives a value. Any
// goroutine may call Quiesce.
func (s *Sender) Quiesce() <-chan *Pause {
	request := make(chan *Pause, 1)
	s.Post(func() { s.hotRestart.pauseRequest = request })
	return request
}

// quiesceIfRequested pauses the sender until the pause ends, if one was requested.
func (s *Sender) quiesceIfRequested() {
	request := s.hotRestart.pauseRequest
	if request == nil {
		return
	}
	s.hotRestart.pauseRequest = nil
	if s.diskStall.err != nil { // state that is not recorded could not be handed over
		close(request)
		return
	}
	pause := &Pause{Checkpoint: s.checkpoint(), sender: s, commands: make(chan pauseCommand)}
	request <- pause
	for ended := false; !ended; {
		command := <-pause.commands
		ended = command.run()
		close(command.done)
	}
}

// Pause is a pause of a sender in a hot restart. It ends with Resume or HandOver, one of which must be
// called. Its methods are called on one goroutine, which is not Run's, and return once Run's
// goroutine has done what they say.
type Pause struct {
	Checkpoint Checkpoint

	sender   *Sender
	commands chan pauseCommand // executed on Run's goroutine
}

// pauseCommand is one call of a method of Pause.
type pauseCommand struct {
	run  func() (ended bool)
	done chan struct{}
}

func (p *Pause) execute(run func() (ended bool)) {
	command := pauseCommand{run: run, done: make(chan struct{})}
	p.commands <- command
	<-command.done
}

// ReleaseJournal lets the successor open the journal, while the sender stays paused.
func (p *Pause) ReleaseJournal() {
	p.execute(func() bool {
		if err := p.sender.journal.Release(); err != nil {
			p.sender.log.Error().Err(err).Msg("releasing the journal for the successor failed")
		}
		return false
	})
}

// ReacquireJournal takes the journal back from a successor that ended before it wrote anything, after
// which Resume may be called. The error is journal.ErrLocked while another process holds the journal,
// and journal.ErrChanged if one has written it.
func (p *Pause) ReacquireJournal() (err error) {
	p.execute(func() bool {
		err = p.sender.journal.Reacquire()
		return false
	})
	return err
}

// Resume ends the pause: the sender, which must hold the journal, continues as before.
func (p *Pause) Resume() {
	p.execute(func() bool { return true })
}

// HandOver ends the pause after ReleaseJournal: from now on everything that the fronts report is
// forwarded to the successor.
func (p *Pause) HandOver(successor Successor) {
	p.execute(func() bool {
		p.sender.handOver(successor)
		return true
	})
}

// handOver makes the sender forward everything. The successor has the journal.
func (s *Sender) handOver(successor Successor) {
	s.hotRestart.successor = successor
	s.setNotReady(ErrHandedOver)
	if err := s.journal.CloseReleased(); err != nil {
		s.log.Error().Err(err).Msg("closing the released journal failed")
	}
	s.nextInput.events, s.nextInput.requests = nil, nil
}

func (s *Sender) checkpoint() Checkpoint {
	checkpoint := Checkpoint{
		Scheduler:      s.scheduler.State(),
		Ended:          s.endedIDs.all(),
		KnownEndpoints: s.knownEndpoints.all(),
		Draining:       s.reported.removed,
		LiveEndpoints:  s.reported.live.encode(len(s.reported.live)),
	}
	for _, route := range s.routes {
		checkpoint.Routes = append(checkpoint.Routes, route)
	}
	return checkpoint
}

// resumeCheckpoint restores the predecessor's checkpoint. The predecessor's attempts stay in flight
// until it reports their results. Messages that the checkpoint has and the journal has not, or has
// with a final answer, are withdrawn from the scheduler.
func (s *Sender) resumeCheckpoint(checkpoint *Checkpoint) {
	for _, id := range checkpoint.Ended {
		s.endedIDs.add(id)
	}
	for _, name := range checkpoint.KnownEndpoints {
		s.knownEndpoints.add(name)
	}
	s.hotRestart.remoteAttempts = map[string]Action{}
	for _, attempt := range s.scheduler.InFlight() {
		if entry := s.journal.Get(attempt.ID); entry == nil || entry.FinalAnswer != "" || entry.InFlightSince == 0 {
			s.log.Warn().Str("id", attempt.ID).
				Msg("an attempt is in flight in the checkpoint but not in the journal: the sender waits for its result anyway")
		}
		s.hotRestart.remoteAttempts[attempt.ID] = attempt
	}
	for _, message := range checkpoint.Scheduler.Messages {
		entry := s.journal.Get(message.ID)
		if s.scheduler.HasMessage(message.ID) && (entry == nil || entry.FinalAnswer != "") {
			s.addEvents(scheduler.Event{Kind: scheduler.RequestWithdrawn, ID: message.ID})
		}
	}
}

// postResumed queues a task that depends on the checkpoint, if there is one, to run once that is restored.
func (s *Sender) postResumed(task func()) {
	s.Post(func() {
		if s.options.Checkpoint != nil && !s.hotRestart.resumed {
			s.hotRestart.untilResumed = append(s.hotRestart.untilResumed, task)
			return
		}
		task()
	})
}

// runResumed runs the tasks that waited for the checkpoint.
func (s *Sender) runResumed() {
	s.hotRestart.resumed = true
	for _, task := range s.hotRestart.untilResumed {
		task()
	}
	s.hotRestart.untilResumed = nil
}

// SetPredecessor sets the process that has calls in flight for this one. It is called before Run.
func (s *Sender) SetPredecessor(predecessor Predecessor) { s.hotRestart.predecessor = predecessor }

// PredecessorEnded records that the predecessor has ended. Attempts whose results it did not report
// may have run: they end with OutcomeReset. Any goroutine may call it.
func (s *Sender) PredecessorEnded() {
	s.postResumed(func() {
		s.hotRestart.predecessor = nil
		for id, attempt := range s.hotRestart.remoteAttempts {
			s.reportResult(AttemptResult{
				ID:       id,
				Attempt:  attempt.Attempt,
				Endpoint: attempt.Endpoint,
				Outcome:  OutcomeReset,
			})
		}
		s.hotRestart.remoteAttempts = nil
	})
}

// AnswerForwarded answers a forwarded request with the successor's verdict. Any goroutine may call it.
func (s *Sender) AnswerForwarded(request *Request, verdict Verdict, retryAfterMs int64) {
	s.Post(func() {
		s.answer(request, reply{verdict: verdict, retryAfterMs: retryAfterMs, reason: "answered by the successor"})
	})
}

// ValidateCheckpoint returns an error if a sender with these settings could not continue from the
// checkpoint.
func ValidateCheckpoint(settings scheduler.Settings, checkpoint *Checkpoint, now clock.Instant) error {
	sched, err := scheduler.New(settings, 0)
	if err != nil {
		return err
	}
	return sched.RestoreState(checkpoint.Scheduler, int64(now))
}
