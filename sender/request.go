package sender

import "brackendale/internal/clock"

// Request is one message that a client submits.
type Request struct {
	ID          string
	Class       string
	Tenant      string
	Key         string // the idempotency key
	Destination int64
	Deadline    clock.Instant // it may be delivered until this time
	Body        []byte

	Front       string // the name under which its ingress was added
	Correlation string // the ingress gets it back with the final answer, also after a restart
	IngressData any    // private data of the ingress, for the verdict; lost in a restart

	// Reply, if set, is called with the verdict instead of the ingress, on the fronts' goroutine.
	Reply func(verdict Verdict, retryAfterMs int64)

	transaction *Transaction // nil: the request is not part of one
}

// Verdict is the immediate reply to a submitted request.
type Verdict uint8

// The verdicts. A transaction gets the highest of its requests' verdicts.
const (
	Accepted Verdict = iota // the message will get a final answer, also across restarts
	Rejected                // it has not run: submitting it again is safe
	Failed                  // it failed at once and will not be sent
)

// The final answers of an accepted message. The journal stores these values.
const (
	Delivered      = "delivered"
	Returned       = "returned" // it has not run: submitting it again is safe
	DeliveryFailed = "failed"   // it will not be sent any more and may have run
)

// reply is a verdict and the Retry-After that goes with it.
type reply struct {
	verdict      Verdict
	retryAfterMs int64
	reason       string // for the record of events; empty: none
}
