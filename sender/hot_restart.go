package sender

import (
	"errors"

	"brackendale/internal/clock"
	"brackendale/scheduler"
)

// ErrHandedOver says that another process goes on in this one's place.
var ErrHandedOver = errors.New("handed over to a new process: call that one")

// Action is an attempt in flight: its message, which of its attempts, and to which endpoint.
type Action = scheduler.Action

// Checkpoint is what a sender knows and its journal does not. With both, another process goes on in
// its place.
type Checkpoint struct {
	Scheduler      scheduler.State `json:"Module"`
	Routes         []Route         `json:"Routes"`
	Ended          []string        `json:"Over"`   // ids of messages that are over
	KnownEndpoints []string        `json:"Listed"` // names that were ever listed
	Draining       []string        `json:"Gone"`   // endpoints that were draining or gone
}

// Successor is the process that goes on in place of this one. Its methods are called on Run's
// goroutine and must not wait.
type Successor interface {
	// JournalReleased says that the journal is free. It comes before all that is passed on.
	JournalReleased()
	// Submit passes on a request; Sender.AnswerForwarded brings the verdict.
	Submit(request *Request)
	// Withdraw takes back a request that has no verdict yet.
	Withdraw(request *Request)
	// Report passes on how attempts that share a call ended.
	Report(results []AttemptResult)
}

// Predecessor is the process in whose place this one goes on, while it still has calls in flight.
// It is called on Run's goroutine.
type Predecessor interface {
	Cancel(id string, attempt int)
}

// hotRestart is this process's part in a hot restart, on either side.
type hotRestart struct {
	quiesceRequest *quiesceRequest // nil: none
	successor      Successor       // goes on in this one's place; nil: nobody

	predecessor    Predecessor       // has calls in flight for this one; nil: nobody
	remoteAttempts map[string]Action // in flight at the predecessor, by message
}

// quiesceRequest is one call of Quiesce.
type quiesceRequest struct {
	state     chan Checkpoint
	successor chan Successor
}

// handedOver reports whether a successor goes on in this one's place.
func (s *Sender) handedOver() bool { return s.hotRestart.successor != nil }

// Quiesce stops the sender behind a whole step and gives its checkpoint. Nothing is accepted, sent
// or written until resume is called, once. With nil the sender goes on as if nothing had been. With
// a successor the journal is released and all that the fronts report is passed on, for good. resume
// returns once that is done. It is not called where the sender ends first, and state is never given
// then, nor where state is closed: the journal cannot be written, and the sender goes on. Any
// goroutine may call Quiesce.
func (s *Sender) Quiesce() (state <-chan Checkpoint, resume func(Successor)) {
	request := &quiesceRequest{state: make(chan Checkpoint, 1), successor: make(chan Successor)}
	s.Post(func() { s.hotRestart.quiesceRequest = request })
	return request.state, func(successor Successor) {
		request.successor <- successor
		request.successor <- nil // received once the first has been carried out
	}
}

// quiesceIfRequested waits for the caller of Quiesce, if there is one.
func (s *Sender) quiesceIfRequested() {
	request := s.hotRestart.quiesceRequest
	if request == nil {
		return
	}
	s.hotRestart.quiesceRequest = nil
	if s.diskStall.err != nil { // what is not written could not be handed over
		close(request.state)
		return
	}
	request.state <- s.checkpoint()
	if successor := <-request.successor; successor != nil {
		s.handOver(successor)
	}
	<-request.successor
}

func (s *Sender) handOver(successor Successor) {
	s.hotRestart.successor = successor
	s.setNotReady(ErrHandedOver)
	if err := s.journal.Close(); err != nil {
		s.log.Error().Err(err).Msg("closing the journal for the successor failed")
	}
	s.nextInput.events, s.nextInput.requests = nil, nil
	successor.JournalReleased()
}

func (s *Sender) checkpoint() Checkpoint {
	checkpoint := Checkpoint{
		Scheduler:      s.scheduler.State(),
		Ended:          s.endedIDs.all(),
		KnownEndpoints: s.knownEndpoints.all(),
		Draining:       s.draining.names,
	}
	for _, route := range s.routes {
		checkpoint.Routes = append(checkpoint.Routes, route)
	}
	return checkpoint
}

// resumeCheckpoint restores what the predecessor gave. Its attempts stay in flight until it reports
// them.
func (s *Sender) resumeCheckpoint(checkpoint *Checkpoint) {
	for _, id := range checkpoint.Ended {
		s.endedIDs.add(id)
	}
	for _, name := range checkpoint.KnownEndpoints {
		s.knownEndpoints.add(name)
	}
	s.draining.names = checkpoint.Draining
	s.hotRestart.remoteAttempts = map[string]Action{}
	for _, attempt := range s.scheduler.InFlight() {
		if entry := s.journal.Get(attempt.ID); entry == nil || entry.FinalAnswer != "" || entry.InFlightSince == 0 {
			s.log.Warn().Str("id", attempt.ID).
				Msg("an attempt is in flight in the checkpoint and not in the journal: its result is awaited all the same")
		}
		s.hotRestart.remoteAttempts[attempt.ID] = attempt
	}
	for _, message := range checkpoint.Scheduler.Messages {
		entry := s.journal.Get(message.ID)
		if s.scheduler.Holds(message.ID) && (entry == nil || entry.FinalAnswer != "") {
			s.addEvents(scheduler.Event{Kind: scheduler.RequestWithdrawn, ID: message.ID})
		}
	}
}

// SetPredecessor names the process that has calls in flight for this one. It is called before Run.
func (s *Sender) SetPredecessor(predecessor Predecessor) { s.hotRestart.predecessor = predecessor }

// PredecessorEnded books that the predecessor has ended: what it had not reported may have run. Any
// goroutine may call it.
func (s *Sender) PredecessorEnded() {
	s.Post(func() {
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

// AnswerForwarded brings the successor's verdict on a request that was passed on. Any goroutine may
// call it.
func (s *Sender) AnswerForwarded(request *Request, verdict Verdict, waitMs int64) {
	s.Post(func() { s.answer(request, reply{verdict, waitMs}) })
}

// ValidateCheckpoint returns an error where no sender with these settings could go on from a
// checkpoint.
func ValidateCheckpoint(settings scheduler.Settings, checkpoint *Checkpoint, now clock.Instant) error {
	core, err := scheduler.New(settings, 0)
	if err != nil {
		return err
	}
	return core.SetState(checkpoint.Scheduler, int64(now))
}
