package hotrestart

// PredecessorState is a state of the old process.
type PredecessorState int

// The states of the predecessor.
const (
	NoSuccessor        PredecessorState = iota // no process has requested the journal
	SuccessorPreparing                         // a successor is connected and starts up
	Quiesced                                   // the core is paused
	SuccessorStarting                          // the core is paused, and the successor has the journal
	ReacquiringJournal                         // the core is paused, and the start of the successor failed
	JournalReleased                            // this process forwards; the start of the successor takes long
	Draining                                   // the successor serves, and this process drains
	PredecessorExited                          // the process exits, or restarts from the journal
	// OwnPredecessorDraining is the first state of a process that has taken over itself and whose predecessor still
	// drains. Of three processes the oldest could not tell whether the journal is with the second or the third.
	OwnPredecessorDraining
)

// Predecessor is the state machine of the old process. The zero value has no successor. It is not safe for
// concurrent use.
type Predecessor struct{ State PredecessorState }

type predecessorInput struct {
	state PredecessorState
	event Event
}

type predecessorStep struct {
	next   PredecessorState
	action Action
}

// predecessorTable lists the transitions of the predecessor. An input without an entry is ignored.
var predecessorTable = map[predecessorInput]predecessorStep{
	{NoSuccessor, PeerConnected}: {SuccessorPreparing, SendWelcome},
	// The successor can open the journal once this process has shut down gracefully.
	{NoSuccessor, VersionMismatch}: {PredecessorExited, RefuseAndShutDown},

	{OwnPredecessorDraining, OwnPredecessorEnded}: {NoSuccessor, DoNothing},
	{OwnPredecessorDraining, PeerConnected}:       {OwnPredecessorDraining, Refuse},
	{OwnPredecessorDraining, VersionMismatch}:     {OwnPredecessorDraining, Refuse},

	{SuccessorPreparing, SuccessorPrepared}: {Quiesced, Quiesce},
	{SuccessorPreparing, PeerDisconnected}:  {NoSuccessor, Resume},
	{SuccessorPreparing, StepTimedOut}:      {NoSuccessor, Resume},
	{SuccessorPreparing, PeerConnected}:     {SuccessorPreparing, Refuse},
	{SuccessorPreparing, VersionMismatch}:   {SuccessorPreparing, Refuse},

	{Quiesced, StateAccepted}:    {SuccessorStarting, ReleaseJournal},
	{Quiesced, PeerDisconnected}: {NoSuccessor, Resume},
	{Quiesced, StepTimedOut}:     {NoSuccessor, Resume},
	{Quiesced, PeerConnected}:    {Quiesced, Refuse},
	{Quiesced, VersionMismatch}:  {Quiesced, Refuse},

	// Until the successor serves, it has written nothing: if it fails, this process continues as if it had not been there.
	{SuccessorStarting, SuccessorServing}: {Draining, HandOver},
	{SuccessorStarting, PeerDisconnected}: {ReacquiringJournal, ReacquireJournal},
	// The successor may still become ready, and the core cannot stay paused for long.
	{SuccessorStarting, StepTimedOut}:    {JournalReleased, HandOver},
	{SuccessorStarting, PeerConnected}:   {SuccessorStarting, Refuse},
	{SuccessorStarting, VersionMismatch}: {SuccessorStarting, Refuse},

	{ReacquiringJournal, JournalReacquired}: {NoSuccessor, Resume},
	{ReacquiringJournal, JournalLost}:       {PredecessorExited, ReclaimJournal},
	{ReacquiringJournal, PeerConnected}:     {ReacquiringJournal, Refuse},
	{ReacquiringJournal, VersionMismatch}:   {ReacquiringJournal, Refuse},

	{JournalReleased, SuccessorServing}: {Draining, DoNothing},
	{JournalReleased, PeerDisconnected}: {PredecessorExited, ReclaimJournal},
	{JournalReleased, PeerConnected}:    {JournalReleased, Refuse},
	{JournalReleased, VersionMismatch}:  {JournalReleased, Refuse},

	{Draining, PeerDisconnected}: {PredecessorExited, ReclaimJournal},
	{Draining, DrainComplete}:    {PredecessorExited, Exit},
	{Draining, PeerConnected}:    {Draining, Refuse},
	{Draining, VersionMismatch}:  {Draining, Refuse},

	{PredecessorExited, PeerConnected}:   {PredecessorExited, Refuse},
	{PredecessorExited, VersionMismatch}: {PredecessorExited, Refuse},
}

// HoldsJournal reports whether the predecessor holds the journal.
func (p *Predecessor) HoldsJournal() bool {
	return p.State < SuccessorStarting || p.State == OwnPredecessorDraining
}

// Handle applies an event and returns the action to take.
func (p *Predecessor) Handle(event Event) Action {
	step, ok := predecessorTable[predecessorInput{p.State, event}]
	if !ok {
		return DoNothing
	}
	p.State = step.next
	return step.action
}
