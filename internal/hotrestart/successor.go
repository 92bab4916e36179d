package hotrestart

// SuccessorState is a state of the new process.
type SuccessorState int

// The states of the successor.
const (
	ConnectingToPredecessor SuccessorState = iota // no predecessor has accepted the request yet
	Welcomed                                      // the predecessor has accepted, and this side has sent prepared
	AwaitingJournal                               // the state is read and accepted
	OwnsJournal                                   // this process holds the journal
)

// Successor is the state machine of the new process. The zero value is looking for a predecessor. It is not
// safe for concurrent use.
type Successor struct{ State SuccessorState }

type successorInput struct {
	state SuccessorState
	event Event
}

type successorStep struct {
	next   SuccessorState
	action Action
}

// successorTable lists the transitions of the successor. An input without an entry is ignored. After a failure the
// state that was read is discarded, since the predecessor may have resumed.
var successorTable = map[successorInput]successorStep{
	{ConnectingToPredecessor, PeerConnected}:    {Welcomed, SendPrepared},
	{ConnectingToPredecessor, JournalUnlocked}:  {OwnsJournal, OpenAlone},
	{ConnectingToPredecessor, PeerDisconnected}: {ConnectingToPredecessor, RetryLater},
	{ConnectingToPredecessor, StepTimedOut}:     {ConnectingToPredecessor, RetryLater},
	{ConnectingToPredecessor, VersionMismatch}:  {ConnectingToPredecessor, RetryLater},
	{ConnectingToPredecessor, JournalLocked}:    {ConnectingToPredecessor, RetryLater},

	{Welcomed, StateLoaded}:      {AwaitingJournal, SendAccepted},
	{Welcomed, PeerDisconnected}: {ConnectingToPredecessor, RetryLater},
	{Welcomed, StepTimedOut}:     {ConnectingToPredecessor, RetryLater},
	{Welcomed, VersionMismatch}:  {ConnectingToPredecessor, RetryLater},
	{Welcomed, JournalLocked}:    {ConnectingToPredecessor, RetryLater},

	{AwaitingJournal, JournalReceived}:  {OwnsJournal, OpenWithState},
	{AwaitingJournal, PeerDisconnected}: {ConnectingToPredecessor, RetryLater},
	{AwaitingJournal, StepTimedOut}:     {ConnectingToPredecessor, RetryLater},
	{AwaitingJournal, VersionMismatch}:  {ConnectingToPredecessor, RetryLater},
	{AwaitingJournal, JournalLocked}:    {ConnectingToPredecessor, RetryLater},

	// The predecessor takes the journal back.
	{OwnsJournal, JournalOpenFailed}: {ConnectingToPredecessor, RetryLater},
}

// HoldsJournal reports whether the successor holds the journal.
func (s *Successor) HoldsJournal() bool { return s.State == OwnsJournal }

// Handle applies an event and returns the action to take.
func (s *Successor) Handle(event Event) Action {
	step, ok := successorTable[successorInput{s.State, event}]
	if !ok {
		return DoNothing
	}
	s.State = step.next
	return step.action
}
