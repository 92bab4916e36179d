// Package lifecycle is the guard that each message passes when it is taken on, sent, repeated, ended and told. It holds
// one machine of states for each message, refuses what the state does not allow, and counts violations: what the other
// parts should never have asked for.
package lifecycle

import "sync"

// State is the state of a message.
type State uint8

// The states. Who leaves a state is in the comments: the core decides, the fronts' loop sends and tells.
const (
	Unknown State = iota // not taken on, or forgotten behind its end
	Waiting              // taken on, no attempt is out: the core may start one, or end it
	Out                  // an attempt is out: the fronts may send it, the core may end the message
	Ended                // it has its final answer: nothing of it may leave any more
	Told                 // its client may know the final answer
)

// String returns the name of a state.
func (s State) String() string { return [...]string{"unknown", "waiting", "out", "ended", "told"}[s] }

// Violation is a kind of what must not happen to a message.
type Violation string

// The violations.
const (
	TakenTwice      Violation = "taken on twice"
	StartedUnknown  Violation = "an attempt of an unknown message"
	StartedBeside   Violation = "an attempt beside one that is out"
	StartedBehind   Violation = "an attempt behind the end"
	RepeatedUnsafe  Violation = "a repeat of an unsafe message that may have run"
	EndedTwice      Violation = "ended twice"
	ReturnedUnsafe  Violation = "an unsafe message returned that may have run"
	ToldUnended     Violation = "told without an end"
	LeftBehindTold  Violation = "bytes left behind the told end"
	LeftUnannounced Violation = "bytes of an attempt that was not started"
)

// Violations returns all kinds of violations.
func Violations() []Violation {
	return []Violation{
		TakenTwice, StartedUnknown, StartedBeside, StartedBehind, RepeatedUnsafe, EndedTwice, ReturnedUnsafe, ToldUnended,
		LeftBehindTold, LeftUnannounced,
	}
}

// message is what the guard knows of one message.
type message struct {
	state      State
	unsafe     bool // it must not be repeated once it may have run
	mayHaveRun bool
	attempt    int // the number of the attempt that is out
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

// Take takes a message on. mayHaveRun: an earlier process has sent it.
func (g *Guard) Take(id string, unsafe, mayHaveRun bool) {
	g.mu.Lock()
	known := g.messages[id] != nil
	if !known {
		g.messages[id] = &message{state: Waiting, unsafe: unsafe, mayHaveRun: mayHaveRun}
	}
	g.mu.Unlock()
	if known {
		g.violate(TakenTwice, id, 0)
	}
}

// TakeOut takes on a message of which another process has an attempt out.
func (g *Guard) TakeOut(id string, unsafe bool, attempt int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.messages[id] = &message{state: Out, unsafe: unsafe, attempt: attempt, isOut: true}
}

// Start starts an attempt, or returns false if the state does not allow it.
func (g *Guard) Start(id string, attempt int) (allowed bool) {
	g.mu.Lock()
	held := g.messages[id]
	kind := held.startViolation()
	if kind == "" {
		held.state, held.attempt, held.isOut = Out, attempt, true
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
		return StartedBehind
	case m.isOut:
		return StartedBeside
	case m.unsafe && m.mayHaveRun:
		return RepeatedUnsafe
	}
	return ""
}

// Finish records the end of the attempt that is out.
func (g *Guard) Finish(id string, mayHaveRun bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.messages[id]
	if held == nil || !held.isOut {
		return
	}
	held.isOut = false
	held.mayHaveRun = held.mayHaveRun || mayHaveRun
	if held.state == Out {
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
	return held != nil && held.state == Out && held.isOut && held.attempt == attempt
}

// Left records that bytes of an attempt were written.
func (g *Guard) Left(id string, attempt int) {
	g.mu.Lock()
	held := g.messages[id]
	var kind Violation
	switch {
	case held == nil: // forgotten behind its end
	case held.state == Told:
		kind = LeftBehindTold
	case held.isOut && held.attempt != attempt:
		kind = LeftUnannounced
	}
	g.mu.Unlock()
	if kind != "" {
		g.violate(kind, id, attempt)
	}
}

// Tell records that the final answer is about to be told.
func (g *Guard) Tell(id string) {
	g.mu.Lock()
	held := g.messages[id]
	early := held != nil && held.state < Ended
	if held != nil && !early {
		held.state = Told
	}
	g.mu.Unlock()
	if early {
		g.violate(ToldUnended, id, 0)
	}
}

// IsOut returns the number of the attempt that is out, and whether there is one.
func (g *Guard) IsOut(id string) (attempt int, out bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if held := g.messages[id]; held != nil && held.isOut {
		return held.attempt, true
	}
	return 0, false
}

// Forget forgets a message that has ended, once no attempt of it is out.
func (g *Guard) Forget(id string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	held := g.messages[id]
	if held != nil && held.isOut {
		held.state, held.forgotten = Told, true
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
