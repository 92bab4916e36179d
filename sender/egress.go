package sender

import (
	"brackendale/internal/clock"
	"brackendale/internal/lifecycle"
	"brackendale/scheduler"
)

// Attempt is one delivery of a message to an endpoint.
type Attempt struct {
	ID        string
	Key       string
	Class     string
	Effect    scheduler.Idempotency // of the message, which may differ from that of its class in the settings
	Body      []byte
	Number    int           // of earlier attempts of the message
	TimeoutUs int64         // from now; the egress cancels the attempt then
	Deadline  clock.Instant // no byte of it may leave later: shortly before the final answer of its message
	StartBy   clock.Instant // it must not be written later: its idempotency window ends then; 0: no limit

	guard *lifecycle.Guard // nil: the attempt belongs to no message of a sender
}

// Egress sends attempts to endpoints of one protocol. Its methods are called on the fronts'
// goroutine.
type Egress interface {
	// Send starts one call that carries all of the attempts, which share its outcome. The egress
	// must report each attempt to Sender.ReportAttempts exactly once.
	Send(route Route, attempts []Attempt)
	// Cancel cancels an attempt of a message. It may be in flight at another egress.
	Cancel(id string, attempt int)
	// UpdateRoutes notifies the egress of changed routes. One with scheduler.StatusDead was removed.
	UpdateRoutes(changed []Route)
}

// Route is one entry of the route table: an endpoint and how to reach it.
type Route struct {
	scheduler.Endpoint        // Addr is its name, the same for every sender
	Dial               string `json:"Dial"`  // the address to which this sender connects
	Protocol           string `json:"Proto"` // selects the egress: its name in Sender.AddEgress
}

// Outcome is the result of an attempt.
type Outcome = scheduler.Outcome

// The outcomes. Only OutcomeRejected, OutcomeConnectFailed and OutcomeNotSent prove that the
// attempt did not run.
const (
	OutcomeSuccess       = scheduler.OutcomeSuccess
	OutcomeFailed        = scheduler.OutcomeFailed
	OutcomeRejected      = scheduler.OutcomeRejected
	OutcomeTimedOut      = scheduler.OutcomeTimedOut
	OutcomeConnectFailed = scheduler.OutcomeConnectFailed
	OutcomeReset         = scheduler.OutcomeReset
	OutcomeCanceled      = scheduler.OutcomeCanceled
	OutcomeNotSent       = scheduler.OutcomeNotSent
)

// mayHaveRun reports whether an attempt with this outcome may have run at the endpoint.
func mayHaveRun(outcome Outcome) bool {
	return outcome != OutcomeRejected && outcome != OutcomeConnectFailed && outcome != OutcomeNotSent
}

// AttemptResult is the outcome of an attempt as its egress reports it.
type AttemptResult struct {
	ID           string    `json:"ID"`
	Attempt      int       `json:"N"`
	Endpoint     string    `json:"Target"`
	Outcome      Outcome   `json:"Reason"`
	RetryAfterMs int64     `json:"HoldMs"` // with OutcomeRejected: the endpoint's Retry-After
	Final        bool      `json:"Over"`   // the message ends without a final answer to its client
	LoadReport   []float64 `json:"Load"`   // by the endpoint
}
