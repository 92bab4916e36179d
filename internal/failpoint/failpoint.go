// Package failpoint lets a test interrupt the program at named points, to reproduce there every time what would
// otherwise depend on rare timing. Without a hook, passing a point costs one atomic load.
package failpoint

import "sync/atomic"

// Point is a named place in the code. Its value states what has happened there and, after the comma, what has not yet.
type Point string

// The points, grouped by the goroutine that reaches them: "core" is the event loop of the sender, "loop" the event loop
// of the fronts' connections.
const (
	// On the core.
	StepDecided Point = "a step is decided, its attempts are not handed to the fronts"
	// On the loop.
	BeforeAdmission Point = "an attempt is about to be judged for its write"
	// On the loop.
	AttemptAdmitted Point = "an attempt may be written, none of its bytes is"
	// On the loop.
	CloseDecided Point = "a client's connection is to be closed, its socket is not shut"
	// On the goroutine that shuts down the process.
	ShutdownWaitEnded Point = "the end of a planned shutdown has come, the fronts are not ended yet"

	// The steps of a hot restart in the predecessor, on the goroutine that serves the connection of the successor.
	SuccessorWelcomed Point = "a successor has been welcomed, the core still runs"
	ListenersPaused   Point = "the listeners are paused, the core still runs"
	CoreQuiesced      Point = "the core stands still, its state is not sent"
	JournalReleased   Point = "the journal is released, the listeners are not closed"
	// On the loop.
	TransportReleased Point = "the listeners are closed, clients have not been retired"
	// The steps of a hot restart in the successor, on the goroutine that starts it.
	JournalOpened   Point = "the journal is open, the clients' socket is not taken"
	SocketInherited Point = "the clients' socket is taken, the sender does not serve"
	// On the same goroutine, if the predecessor waits for the confirmation.
	ServingConfirmed Point = "the predecessor knows that the successor serves, no client is accepted"
	// On the goroutine of a TLS handshake.
	HandshakeComputed Point = "a handshake has its result, the loop does not know it"
	// On the accepting goroutine of a listener.
	ConnectionAccepted Point = "a newcomer is accepted, it is not on its way to the loop"
	// On the goroutine that handles the shutdown signal.
	ShutdownStarted Point = "the core stops, the fronts still serve"
)

// HotRestartPoints returns the points of a hot restart, in the order in which each process reaches them.
func HotRestartPoints() []Point {
	return []Point{
		SuccessorWelcomed, ListenersPaused, CoreQuiesced, JournalReleased, TransportReleased, JournalOpened, SocketInherited,
		ServingConfirmed,
	}
}

var hook atomic.Pointer[func(Point)]

// Reach calls the hook, if one is set. The program calls it when it passes a point.
func Reach(point Point) {
	if reached := hook.Load(); reached != nil {
		(*reached)(point)
	}
}

// SetHook makes Reach call reached with each point, on the goroutine that passes it, until undo is called. It is for
// tests only, one hook at a time.
func SetHook(reached func(Point)) (undo func()) {
	hook.Store(&reached)
	return func() { hook.Store(nil) }
}
