package hotrestart

import (
	"testing"

	"brackendale/internal/testing/testkit"

	"pgregory.net/rapid"
)

// TestMain makes the property tests draw the same cases in each run.
func TestMain(m *testing.M) { testkit.Seeded(m, "2000") }

// lockHolder is the process that holds the journal's lock.
type lockHolder string

const (
	noHolder        lockHolder = ""
	predecessorSide lockHolder = "predecessor"
	successorSide   lockHolder = "successor"
)

// model simulates two processes and the lock of the journal. Messages are delivered late or, after a disconnection,
// never.
type model struct {
	predecessor   Predecessor
	successor     Successor
	predecessorUp bool // the process runs
	successorUp   bool // the process runs

	disconnected  bool // the connection is broken, and neither side has noticed yet
	toPredecessor []Event
	toSuccessor   []Event

	lock         lockHolder
	quiesced     bool // the predecessor's core is paused
	served       bool // the successor's start is complete: it may have written the journal
	shuttingDown bool
	reclaimed    bool // the predecessor restarts from the journal
}

// completeStart lets the successor serve, if it holds the journal and does not serve yet.
func (m *model) completeStart() {
	if m.successorUp && m.successor.HoldsJournal() && !m.served {
		m.served = true
		m.toPredecessor = append(m.toPredecessor, SuccessorServing)
	}
}

func (m *model) handleAtPredecessor(t *rapid.T, event Event) {
	switch m.predecessor.Handle(event) {
	case SendWelcome:
		m.toSuccessor = append(m.toSuccessor, PeerConnected)
	case Quiesce:
		m.quiesced = true
		m.toSuccessor = append(m.toSuccessor, StateLoaded)
	case ReleaseJournal:
		if m.lock != predecessorSide {
			t.Fatal("the predecessor released a journal that it did not hold")
		}
		m.lock = noHolder
		m.toSuccessor = append(m.toSuccessor, JournalReceived)
	case HandOver:
		m.quiesced = false
	case ReacquireJournal:
		if m.lock != noHolder || m.served {
			m.handleAtPredecessor(t, JournalLost)
			return
		}
		m.lock = predecessorSide
		m.handleAtPredecessor(t, JournalReacquired)
	case Resume:
		if m.lock != predecessorSide {
			t.Fatal("the predecessor continues without the journal")
		}
		m.quiesced, m.disconnected = false, true
	case Exit:
		if !m.served {
			t.Fatal("the predecessor exits before its successor serves")
		}
		m.predecessorUp, m.disconnected = false, true
	case ReclaimJournal:
		m.quiesced, m.reclaimed = false, true
	case RefuseAndShutDown:
		m.shuttingDown = true
	}
}

func (m *model) handleAtSuccessor(t *rapid.T, event Event) {
	switch action := m.successor.Handle(event); action {
	case SendPrepared:
		m.toPredecessor = append(m.toPredecessor, SuccessorPrepared)
	case SendAccepted:
		m.toPredecessor = append(m.toPredecessor, StateAccepted)
	case OpenWithState, OpenAlone:
		if m.lock != noHolder {
			t.Fatal("two processes hold the journal")
		}
		m.lock = successorSide
		m.served = action == OpenAlone
	case RetryLater:
		m.disconnected = true
	}
}

// In any order of messages, timeouts, disconnections and kills at most one process holds the journal, the predecessor
// does not stay quiesced, and the process that runs at the end holds the journal.
func TestAtMostOneJournalHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			predecessorUp: true, successorUp: true, lock: predecessorSide, toPredecessor: []Event{PeerConnected},
		}
		deliver := func() {
			if m.disconnected { // both sides notice the disconnection, once
				m.disconnected, m.toPredecessor, m.toSuccessor = false, nil, nil
				if m.predecessorUp {
					m.handleAtPredecessor(t, PeerDisconnected)
				}
				if m.successorUp {
					m.handleAtSuccessor(t, PeerDisconnected)
				}
				m.disconnected, m.toPredecessor, m.toSuccessor = false, nil, nil
				return
			}
			if len(m.toPredecessor) > 0 && m.predecessorUp &&
				(len(m.toSuccessor) == 0 || !m.successorUp || rapid.Bool().Draw(t, "to the predecessor")) {
				event := m.toPredecessor[0]
				m.toPredecessor = m.toPredecessor[1:]
				m.handleAtPredecessor(t, event)
			} else if len(m.toSuccessor) > 0 && m.successorUp {
				event := m.toSuccessor[0]
				m.toSuccessor = m.toSuccessor[1:]
				m.handleAtSuccessor(t, event)
			}
		}
		for range rapid.IntRange(0, 30).Draw(t, "steps") {
			switch rapid.IntRange(0, 9).Draw(t, "what") {
			default:
				deliver()
			case 0:
				m.disconnected = true
			case 1:
				if m.predecessorUp && m.predecessor.State >= SuccessorPreparing && m.predecessor.State <= SuccessorStarting {
					m.handleAtPredecessor(t, StepTimedOut)
				}
			case 2:
				if m.successorUp && m.successor.State != OwnsJournal {
					m.handleAtSuccessor(t, StepTimedOut)
				}
			case 3:
				if m.predecessorUp && m.predecessor.State >= JournalReleased && m.lock == successorSide {
					m.handleAtPredecessor(t, DrainComplete)
				}
			case 4:
				if rapid.IntRange(0, 3).Draw(t, "kill") == 0 && m.predecessorUp {
					m.predecessorUp, m.disconnected = false, true
					if m.lock == predecessorSide {
						m.lock = noHolder
					}
				}
			case 5:
				if rapid.IntRange(0, 3).Draw(t, "kill") == 0 && m.successorUp {
					m.successorUp, m.disconnected = false, true
					if m.lock == successorSide {
						m.lock = noHolder
					}
				}
			case 6: // the successor checks the lock without a connection
				if m.successorUp && m.successor.State == ConnectingToPredecessor && m.lock == noHolder &&
					(!m.predecessorUp || m.predecessor.State >= SuccessorStarting) {
					m.handleAtSuccessor(t, JournalUnlocked)
				}
			case 8:
				m.completeStart()
			case 9: // the successor cannot open the journal that it received
				if m.successorUp && m.successor.HoldsJournal() && !m.served && m.lock == successorSide {
					m.lock = noHolder
					m.handleAtSuccessor(t, JournalOpenFailed)
				}
			case 7: // a third process is refused while there are two, and changes nothing
				before := m.predecessor.State
				if m.predecessorUp && before != NoSuccessor && m.predecessor.Handle(PeerConnected) != Refuse ||
					m.predecessor.State != before {
					t.Fatal("a third process was welcomed")
				}
			}
		}
		for range 40 { // all messages are delivered, and a waiting side checks the lock again
			deliver()
			m.completeStart()
			if m.predecessorUp && m.predecessor.State >= SuccessorPreparing && m.predecessor.State <= SuccessorStarting &&
				len(m.toPredecessor)+len(m.toSuccessor) == 0 {
				m.handleAtPredecessor(t, StepTimedOut)
				m.disconnected = true
			}
			if m.successorUp && !m.successor.HoldsJournal() && m.lock == noHolder &&
				len(m.toPredecessor)+len(m.toSuccessor) == 0 && !m.disconnected {
				if m.successor.State != ConnectingToPredecessor {
					m.handleAtSuccessor(t, StepTimedOut)
				}
				m.handleAtSuccessor(t, JournalUnlocked)
			}
		}
		switch {
		case m.quiesced && m.predecessorUp:
			t.Fatal("the predecessor stays quiesced")
		case m.successorUp && !m.predecessorUp && m.lock != successorSide:
			t.Fatalf("only the successor runs, lock holder %q, state %d", m.lock, m.successor.State)
		case !m.successorUp && m.predecessorUp && m.lock != predecessorSide && !m.reclaimed:
			t.Fatalf("only the predecessor runs, lock holder %q, state %d", m.lock, m.predecessor.State)
		case m.lock == predecessorSide && !m.predecessor.HoldsJournal() && !m.shuttingDown:
			t.Fatal("the predecessor holds the lock of a journal that it has released")
		case m.lock == noHolder && m.successorUp:
			t.Fatal("no process holds the journal")
		}
	})
}
