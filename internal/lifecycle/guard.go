// Package lifecycle is the guard that each message passes when it is accepted, sent, retried, ended and notified. It
// holds a state machine for each message, refuses what the state does not allow, and counts violations: what the other
// parts should never have asked for.
package lifecycle

import "sync"

// State is the state of a message.
type State uint8

// The states. The core decides, and the fronts' loop sends and notifies.
const (
	Unknown  State = iota // not accepted, or forgotten after its end
	Waiting               // accepted, no attempt is in flight: the core may start one, or end it
	InFlight              // an attempt is in flight: the fronts may send it, the core may end the message
	Ended                 // it has its final answer: nothing of it may leave any more
	Notified              // its client may know the final answer
)

// String returns the name of a state.
func (s State) String() string { return [...]string{"unknown", "waiting", "out", "ended", "told"}[s] }

// Violation is a kind of what must not happen to a message.
type Violation string

// The violations.
const (
	AcceptedTwice     Violation = "taken on twice"
	StartedUnknown    Violation = "an attempt of an unknown message"
	StartedBeside     Violation = "an attempt beside one that is out"
	StartedAfterEnd   Violation = "an attempt behind the end"
	RepeatedUnsafe    Violation = "a repeat of an unsafe message that may have run"
	EndedTwice        Violation = "ended twice"
	ReturnedUnsafe    Violation = "an unsafe message returned that may have run"
	NotifiedUnended   Violation = "told without an end"
	LeftAfterNotified Violation = "bytes left behind the told end"
	LeftUnannounced   Violation = "bytes of an attempt that was not started"
	BeyondSlowStart   Violation = "a call beyond the slow start of its destination" // it is sent nevertheless
)

// Violations returns all kinds of violations.
func Violations() []Violation {
	return []Violation{
		AcceptedTwice, StartedUnknown, StartedBeside, StartedAfterEnd, RepeatedUnsafe, EndedTwice, ReturnedUnsafe,
		NotifiedUnended, LeftAfterNotified, LeftUnannounced, BeyondSlowStart,
	}
}

// message is what the guard knows of one message.
type message struct {
	state      State
	unsafe     bool // it must not be repeated once it may have run
	mayHaveRun bool
	attempt    int // the number of the attempt in flight
	isOut      bool
	forgotten  bool // it is removed once its attempt has ended
}

// Guard holds the states of all messages. It is safe for concurrent use.
type Guard struct {
	report func(kind Violation, id string, attempt int) // called for each violation, without the lock

	mu       sync.Mutex
	messages map[string]*message
}

// New returns a guard without messages. report is called for each violation.
func New(report func(kind Violation, id string, attempt int)) *Guard {
	return &Guard{report: report, messages: map[string]*message{}}
}

// violate reports a violation.
func (g *Guard) violate(kind Violation, id string, attempt int) { g.report(kind, id, attempt) }

// Accept records that a message is accepted. mayHaveRun: an earlier process has sent it.
func (g *Guard) Accept(id string, unsafe, mayHaveRun bool) {
	g.mu.Lock()
	known := g.messages[id] != nil
	if !known {
		g.messages[id] = &message{state: Waiting, unsafe: unsafe, mayHaveRun: mayHaveRun}
	}
	g.mu.Unlock()
	if known {
		g.violate(AcceptedTwice, id, 0)
	}
}

// AcceptInFlight records a message of which another process has an attempt in flight.
func (g *Guard) AcceptInFlight(id string, unsafe bool, attempt int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.messages[id] = &message{state: InFlight, unsafe: unsafe, attempt: attempt, isOut: true}
}

// Start starts an attempt, or returns false if the state does not allow it.
func (g *Guard) Start(id string, attempt int) (allowed bool) {
	g.mu.Lock()
	held := g.messages[id]
	kind := held.startViolation()
	if kind == "" {
		held.state, held.attempt, held.isOut = InFlight, attempt, true
	}
	g.mu.Unlock()
	if kind != "" {
		g.violate(kind, id, attempt)
	}
	return kind == ""
}

// startViolation returns why no attempt may be started; empty: one may.
func (m *message) startViolation() Violation {
	switch {
	case m == nil:
		return StartedUnknown
	case m.state >= Ended:
		return StartedAfterEnd
	case m.isOut:
		return StartedBeside
	case m.unsafe && m.mayHaveRun:
		return RepeatedUnsafe
	}
	return ""
}

// MarkMayHaveRun records that a message may have run although no attempt that was recorded has.
func (g *Guard) MarkMayHaveRun(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if held := g.messages[id]; held != nil {
		held.mayHaveRun = true
	}
}

// Finish records the end of the attempt in flight.
func (g *Guard) Finish(id string, mayHaveRun bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.messages[id]
	if held == nil || !held.isOut {
		return
	}
	held.isOut = false
	held.mayHaveRun = held.mayHaveRun || mayHaveRun
	if held.state == InFlight {
		held.state = Waiting
	}
	if held.forgotten {
		delete(g.messages, id)
	}
}

// End gives a message its final answer. returned: the answer promises that it has not run or may be repeated. It
// returns false if that promise must not be given.
func (g *Guard) End(id string, returned bool) (allowed bool) {
	g.mu.Lock()
	held := g.messages[id]
	var kind Violation
	switch {
	case held == nil: // it was restored with an end, or belongs to a predecessor
	case held.state >= Ended:
		kind = EndedTwice
	case returned && held.unsafe && (held.mayHaveRun || held.isOut):
		kind = ReturnedUnsafe
		held.state = Ended
	default:
		held.state = Ended
	}
	g.mu.Unlock()
	if kind != "" {
		g.violate(kind, id, 0)
	}
	return kind != ReturnedUnsafe
}

// MayLeave reports whether bytes of an attempt may leave now. The fronts ask at the last instant before the write.
func (g *Guard) MayLeave(id string, attempt int) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.messages[id]
	return held != nil && held.state == InFlight && held.isOut && held.attempt == attempt
}

// Left records that bytes of an attempt were written.
func (g *Guard) Left(id string, attempt int) {
	g.mu.Lock()
	held := g.messages[id]
	var kind Violation
	switch {
	case held == nil: // forgotten behind its end
	case held.state == Notified:
		kind = LeftAfterNotified
	case held.isOut && held.attempt != attempt:
		kind = LeftUnannounced
	}
	g.mu.Unlock()
	if kind != "" {
		g.violate(kind, id, attempt)
	}
}

// Notify records that the client is about to be notified of the final answer.
func (g *Guard) Notify(id string) {
	g.mu.Lock()
	held := g.messages[id]
	early := held != nil && held.state < Ended
	if held != nil && !early {
		held.state = Notified
	}
	g.mu.Unlock()
	if early {
		g.violate(NotifiedUnended, id, 0)
	}
}

// IsOut returns the number of the attempt in flight, and whether there is one.
func (g *Guard) IsOut(id string) (attempt int, out bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if held := g.messages[id]; held != nil && held.isOut {
		return held.attempt, true
	}
	return 0, false
}

// Forget forgets a message that has ended, once no attempt of it is in flight.
func (g *Guard) Forget(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.messages[id]
	if held != nil && held.isOut {
		held.state, held.forgotten = Notified, true
		return
	}
	delete(g.messages, id)
}

// Undo forgets a message whose acceptance could not be recorded.
func (g *Guard) Undo(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.messages, id)
}

// State returns the state of a message.
func (g *Guard) State(id string) State {
	g.mu.Lock()
	defer g.mu.Unlock()
	if held := g.messages[id]; held != nil {
		return held.state
	}
	return Unknown
}
