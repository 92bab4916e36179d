package scheduler

// ActionKind is the kind of an Action. It determines which of its fields are set.
type ActionKind uint8

// The kinds of actions that Step returns, each with the fields that it sets.
const (
	// StartAttempt starts an attempt of a message: ID, Endpoint, TimeoutUs.
	StartAttempt ActionKind = iota
	// Reject ends a message that has not run, or that may be sent again safely: ID, RetryAfterUs.
	Reject
	// Fail ends a message that may have run: ID.
	Fail
	// SetTimer requests a TimerFired event: DelayUs, TimerID. It replaces the previous timer.
	SetTimer
	// WriteLog writes a log line: Text.
	WriteLog
	// CancelAttempt cancels an attempt in flight: ID, Attempt.
	CancelAttempt
	// CloseIdleConnections closes the idle connections to an endpoint: Endpoint.
	CloseIdleConnections
	// WatchEndpoints opens a watch of the endpoint list: On.
	WatchEndpoints
)

// Action is one operation that the caller of Step has to carry out. Times are in microseconds.
type Action struct {
	Kind         ActionKind
	ID           string
	Attempt      int
	Endpoint     string
	TimeoutUs    int64
	RetryAfterUs int64
	DelayUs      int64
	TimerID      uint64
	Text         string
	On           bool
}
