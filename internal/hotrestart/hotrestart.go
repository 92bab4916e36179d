// Package hotrestart defines the protocol by which a new process (the successor) takes over from the running one (the
// predecessor) without an interruption of service: the successor requests the state and the journal, which the
// predecessor holds. Both sides are explicit state machines without I/O or clocks (predecessor.go, successor.go).
// messages.go defines the messages, codec.go reads them.
package hotrestart

// Event is an input of either state machine.
type Event int

// The events.
const (
	PeerConnected       Event = iota // the predecessor received a hello, or the successor a welcome, of the same version
	VersionMismatch                  // the other side uses another version of the protocol
	SuccessorPrepared                // predecessor: the successor needs nothing more than the state and the journal
	StateLoaded                      // successor: it has read the state and can continue from it
	StateAccepted                    // predecessor: the successor has read the state
	JournalReceived                  // successor: the predecessor has released the journal
	JournalOpenFailed                // successor: the journal that it received cannot be opened
	SuccessorServing                 // predecessor: the start of the successor is complete
	OwnPredecessorEnded              // predecessor: the process from which this one took over has ended
	JournalReacquired                // predecessor: the journal is as it was released, and this process holds it again
	JournalLost                      // predecessor: the journal that was released was written, or stays locked
	PeerDisconnected                 // the connection to the other side is closed
	StepTimedOut                     // no message was received within the timeout of the step
	DrainComplete                    // predecessor: no attempt is in flight and no client is connected
	JournalUnlocked                  // successor: no process holds the journal
	JournalLocked                    // successor: another process holds the journal and does not release it
)

// Action is what a process has to do after an event.
type Action int

// The actions.
const (
	DoNothing         Action = iota
	SendWelcome              // send welcome and leave half of the limits to the successor
	SendPrepared             // send prepared
	Quiesce                  // pause the core between two steps and send its state
	SendAccepted             // report that the state is accepted
	ReleaseJournal           // release the journal and notify the successor; the core stays paused
	HandOver                 // end the pause: forward all new requests to the successor
	ReacquireJournal         // the successor failed to start: take the journal back, unless it was written
	Resume                   // let the core continue as before; the connection is closed
	OpenWithState            // open the journal and serve with the state received
	OpenAlone                // open the journal and serve, as after an ordinary restart
	ReclaimJournal           // the successor exited while it held the journal: restart from the journal
	Exit                     // exit this process
	RetryLater               // check again shortly for an unlocked journal or a predecessor
	RefuseAndShutDown        // refuse the new process and shut this process down gracefully
	Refuse                   // notify the new process that another hot restart is in progress
)
