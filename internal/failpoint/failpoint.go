// Package failpoint lets a test stop the program between two lines, so that a rare event can be made to happen there
// each time. The program names the points. Without a hook nothing happens at a point, at the cost of one atomic load.
package failpoint

import "sync/atomic"

// Point is a place between two lines. Its value says what has happened and, behind the comma, what has not.
type Point string

// The points, with the goroutine that reaches them.
const (
	// On the core's goroutine.
	StepDecided Point = "a step is decided, its attempts are not handed to the fronts"
	// On the loop.
	AttemptJudged Point = "an attempt is about to be judged for its write"
	// On the loop.
	CloseDecided Point = "a client's connection is to be closed, its socket is not shut"
	// On the goroutine that shuts the process down.
	ShutdownReached Point = "the end of a planned shutdown has come, the fronts are not ended yet"

	// The steps of a hot restart, first those of the predecessor. On the goroutine of its connection:
	SuccessorWelcomed Point = "a successor has been welcomed, the core still runs"
	ListenersPaused   Point = "the listeners are paused, the core still runs"
	CoreQuiesced      Point = "the core stands still, its state is not sent"
	JournalReleased   Point = "the journal is released, the listeners are not closed"
	// On the loop.
	TransportReleased Point = "the listeners are closed, clients have not been retired"
	// Those of the successor, on the goroutine that starts it.
	JournalOpened   Point = "the journal is open, the clients' socket is not taken"
	SocketInherited Point = "the clients' socket is taken, the sender does not serve"
	// On the goroutine of a TLS handshake.
	HandshakeComputed Point = "a handshake has its result, the loop does not know it"
	// On the accepting goroutine of a listener.
	NewcomerAccepted Point = "a newcomer is accepted, it is not on its way to the loop"
	// On the goroutine of the signal.
	ShutdownBegun Point = "the core stops, the fronts still serve"
)

// HotRestart has the steps of a hot restart, in their order in each process.
func HotRestart() []Point {
	return []Point{
		SuccessorWelcomed, ListenersPaused, CoreQuiesced, JournalReleased, TransportReleased, JournalOpened, SocketInherited,
	}
}

var hook atomic.Pointer[func(Point)]

// Reach calls the hook, if there is one. The program calls it as it passes a point.
func Reach(p Point) {
	if f := hook.Load(); f != nil {
		(*f)(p)
	}
}

// SetHook calls f at each point that is passed, on the goroutine that passes it, until undo is called. It is for tests,
// one hook at a time.
func SetHook(f func(Point)) (undo func()) {
	hook.Store(&f)
	return func() { hook.Store(nil) }
}
