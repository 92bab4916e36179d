// Package admission checks, just before the first byte of an attempt is sent, whether the attempt may still be sent.
// The scheduler decides on the state at its last step. Before the connection is ready, a Retry-After may arrive, the
// endpoint may start draining, the idempotency window may end, or the process may shut down. The package does no I/O,
// and the time is passed in.
package admission

import (
	"strconv"

	"brackendale/internal/clock"
	"brackendale/scheduler"
)

// Verdict is the result of the check of an attempt.
type Verdict uint8

// The verdicts. With any but Admitted, no byte of the attempt may be sent.
const (
	Admitted               Verdict = iota
	RetryAfterPending              // a Retry-After of its route has not ended yet
	EndpointDraining               // its endpoint accepts no new attempts, or is not listed
	EndpointMoved                  // its endpoint serves another destination now
	IdempotencyWindowEnded         // the endpoints may have dropped its idempotency key
	DeadlineExceeded               // the deadline of one of its messages has passed
	ShuttingDown                   // the process sends no more attempts
)

// String returns the name of a verdict.
func (v Verdict) String() string {
	return [...]string{
		Admitted:               "admitted",
		RetryAfterPending:      "retry-after pending",
		EndpointDraining:       "endpoint draining",
		EndpointMoved:          "endpoint moved",
		IdempotencyWindowEnded: "idempotency window over",
		DeadlineExceeded:       "deadline over",
		ShuttingDown:           "shutting down",
	}[v]
}

// Attempt has the properties of an attempt that are checked.
type Attempt struct {
	Endpoint scheduler.Endpoint // as it was listed when the scheduler decided on the attempt
	StartBy  clock.Instant      // it must be sent before this time, the end of the idempotency window; 0: no limit
	Deadline clock.Instant      // the earliest deadline of its messages
}

// Gate records which endpoints accept attempts and when the Retry-After of each route ends. It is not safe for
// concurrent use.
type Gate struct {
	ownLimits    map[string]bool          // by machine type: each endpoint of it is a route of its own
	destinations map[string]int64         // of the endpoints that accept new attempts, by address
	retryAfter   map[string]clock.Instant // end of the wait, by route; SetRetryAfter removes past ones
	shuttingDown bool
}

// New returns a gate without endpoints.
func New(settings scheduler.Settings) *Gate {
	g := &Gate{ownLimits: map[string]bool{}, destinations: map[string]int64{}, retryAfter: map[string]clock.Instant{}}
	endpointLimits := settings.Calls.EndpointLimits
	for i, machineType := range settings.MachineTypes {
		g.ownLimits[machineType] = i < len(endpointLimits) && endpointLimits[i]
	}
	return g
}

// UpdateEndpoint applies an entry of the endpoint list.
func (g *Gate) UpdateEndpoint(endpoint scheduler.Endpoint) {
	if endpoint.State == scheduler.StatusLive {
		g.destinations[endpoint.Addr] = endpoint.Destination
	} else {
		delete(g.destinations, endpoint.Addr)
	}
}

// AcceptsAttempts reports whether an endpoint accepts new attempts.
func (g *Gate) AcceptsAttempts(addr string) bool {
	_, listed := g.destinations[addr]
	return listed
}

// RouteName returns the name of the route that a Retry-After of an endpoint applies to: the destination's, or the
// endpoint's own if its machine type has limits by endpoint.
func (g *Gate) RouteName(endpoint scheduler.Endpoint) string {
	if g.ownLimits[endpoint.MachineType] {
		return endpoint.Addr
	}
	return strconv.FormatInt(endpoint.Destination, 10)
}

// SetRetryAfter records a Retry-After of a route that ends at until. Of several, the latest end applies.
func (g *Gate) SetRetryAfter(route string, now, until clock.Instant) {
	for other, end := range g.retryAfter {
		if end <= now {
			delete(g.retryAfter, other)
		}
	}
	g.retryAfter[route] = max(g.retryAfter[route], until)
}

// Stop makes Admit reject every further attempt.
func (g *Gate) Stop() { g.shuttingDown = true }

// Admit checks whether an attempt may be sent at the time now.
func (g *Gate) Admit(attempt Attempt, now clock.Instant) Verdict {
	destination, listed := g.destinations[attempt.Endpoint.Addr]
	switch {
	case g.shuttingDown:
		return ShuttingDown
	case !listed:
		return EndpointDraining
	case destination != attempt.Endpoint.Destination:
		return EndpointMoved
	case now >= attempt.Deadline:
		return DeadlineExceeded
	case attempt.StartBy != 0 && now >= attempt.StartBy:
		return IdempotencyWindowEnded
	case now < g.retryAfter[g.RouteName(attempt.Endpoint)]:
		return RetryAfterPending
	}
	return Admitted
}

// RetryAfterUntil returns the end of the last Retry-After of a route, which may be past; 0: none is recorded.
func (g *Gate) RetryAfterUntil(route string) clock.Instant { return g.retryAfter[route] }
