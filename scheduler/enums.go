package scheduler

// The enumerations of the service's protocol. The protocol's keywords are written out only in this
// file of the package. An unknown keyword is kept as a value that equals none of the constants.

// Outcome is how an attempt ended.
type Outcome string

// The outcomes. Only OutcomeRejected, OutcomeConnectFailed and OutcomeNotSent prove that the endpoint
// has not run the message.
const (
	OutcomeSuccess       Outcome = "GOOD"
	OutcomeFailed        Outcome = "BAD"    // an error response
	OutcomeRejected      Outcome = "FULL"   // the endpoint shed it
	OutcomeTimedOut      Outcome = "LATE"   // no response within the attempt's timeout
	OutcomeConnectFailed Outcome = "NOCONN" // no connection could be opened
	OutcomeReset         Outcome = "RST"    // the connection ended before the response
	OutcomeCanceled      Outcome = "CXL"    // canceled by the scheduler
	OutcomeNotSent       Outcome = "NOP"    // the attempt ended before its first byte was written
)

// UpdateKind is the content of an EndpointsUpdated event.
type UpdateKind string

// The kinds of updates of the endpoint list.
const (
	UpdatePatch  UpdateKind = "patch"      // the endpoints that changed
	UpdateFull   UpdateKind = "whole"      // all endpoints
	UpdateStale  UpdateKind = "stale_copy" // all endpoints, from a copy that may be out of date
	UpdateBroken UpdateKind = "broken"     // the watch has ended; the list is unchanged
)

// EndpointStatus is the status of an endpoint in the registry.
type EndpointStatus string

// The statuses of an endpoint.
const (
	StatusLive     EndpointStatus = "live"
	StatusDraining EndpointStatus = "quiescing" // accepts no new attempts
	StatusDead     EndpointStatus = "dead"
)

// Idempotency specifies whether a message of a class may be sent again after an attempt that may have run.
type Idempotency string

// The kinds of idempotency.
const (
	Idempotent      Idempotency = "repeatable" // it may
	IdempotentByKey Idempotency = "by_key"     // it may, while the endpoints keep its idempotency key
	NotIdempotent   Idempotency = "once"       // it must not: the message is unsafe
)

// KeyScope specifies which endpoints share their idempotency keys.
type KeyScope string

// The scopes of idempotency keys.
const (
	KeyScopeAll  KeyScope = "all"
	KeyScopeZone KeyScope = "zone"
)

// Discovery specifies how the endpoint list arrives.
type Discovery string

// The ways of discovery.
const (
	DiscoveryPushed    Discovery = "pushed"
	DiscoveryOnRequest Discovery = "on_request"
)

// CapacityHints specifies how exact the capacity hints in the endpoint list are.
type CapacityHints string

// The kinds of capacity hints.
const (
	HintsNone  CapacityHints = "silent"
	HintsExact CapacityHints = "nominal"
	HintsRough CapacityHints = "rough"
)

// ValueDecay specifies how a message's priority weight decays between its latency objective and its deadline.
type ValueDecay string

// The kinds of value decay.
const (
	DecayLinear  ValueDecay = "line"
	DecayHalving ValueDecay = "halves"
)

// ReportMode specifies how load reports of endpoints arrive.
type ReportMode string

// The modes of load reports.
const (
	ReportInAnswers ReportMode = "piggyback"
	ReportOnRequest ReportMode = "pull"
	ReportNone      ReportMode = "silent"
)
