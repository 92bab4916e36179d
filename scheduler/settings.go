package scheduler

import (
	"errors"
	"fmt"
	"slices"
)

// Settings are the settings of a scheduler. They do not change during its lifetime. Fields that end in Us are
// times in microseconds.
type Settings struct {
	Zone            string
	Zones           []string
	Senders         int   // number of senders that share the destinations, this one included
	SenderIndex     int   // index of this sender among them
	TickUs          int64 // minimum time between two steps
	Discovery       Discovery
	CapacityHints   CapacityHints
	MachineTypes    []string
	OverQuotaWeight float64 // factor on the priority weight of messages that exceed their tenant's quota
	Classes         []Class
	Tenants         []Tenant
	Limits          Limits
	Costs           Costs
	Calls           Calls
	LoadReport      LoadReport
	Rules           Rules
}

// Tenant is a group of clients whose messages share a quota.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // messages per second over all senders; 0: no quota
}

// Limits are the capabilities and limits of a sender.
type Limits struct {
	CanCancel            bool // attempts can be canceled
	ConnectTimeoutUs     int64
	KeepAliveUs          int64 // maximum idle time after which a connection is still reused
	MaxAttempts          int   // of one message; 0: unlimited
	MaxRetryAfterUs      int64 // maximum Retry-After sent to clients
	MaxMessages          int   // maximum number of messages without a final answer; 0: unlimited
	HealthChecks         bool  // not used
	CanSendRetryAfter    bool  // clients support Retry-After
	HedgedRequests       bool  // not used
	StreamsPerConnection int   // maximum number of concurrent attempts on one connection
}

// Costs are costs in units of priority weight.
type Costs struct {
	Handshake     float64 // of a new connection
	CrossZone     float64 // not used
	WastedAttempt float64 // not used
}

// Calls describes the calls that carry messages to endpoints. A call carries one or more messages.
type Calls struct {
	ZoneFees        []float64 // cost of a call, by zone; for endpoints with their own limits
	ValueDecay      ValueDecay
	EndpointLimits  []bool // whether each endpoint has its own limit, by machine type
	MessagesPerCall []int  // maximum number of messages in one call, by machine type
	ConcurrentCalls int    // maximum number of calls in flight
}

// LoadReport describes the load reports of endpoints.
type LoadReport struct {
	Fields []string // names of the values, in order
	Mode   ReportMode
}

// Rules are the service's requirements on senders.
type Rules struct {
	AnswerMarginUs        int64   // not used
	MaxPollIntervalUs     int64   // maximum time between two polls of the endpoint list
	SlowStartInitialShare float64 // share of its capacity that a recovering destination accepts at first
	OverloadMultiple      float64 // multiple of that share above which a recovering destination fails again
	OverloadWindowUs      int64   // window over which that load is counted
	SlowStartUs           int64   // time until a recovering destination accepts its full capacity
	DrainWithinUs         int64   // time within which attempts to a draining endpoint end
	KeyQuarantineUs       int64   // quarantine of a key of ordered messages after an ambiguous outcome
}

// Class is a request class. Its times are in microseconds after the acceptance of a message.
type Class struct {
	Name               string
	LatencyObjectiveUs int64
	ObjectivePerWork   float64 // added to the latency objective for each microsecond of announced work
	DeadlineUs         int64
	Idempotency        Idempotency
	KeyScope           KeyScope
	KeyWindowUs        int64   // idempotency window: how long endpoints keep an idempotency key
	OrderedByKey       bool    // messages with the same key are delivered in order
	LateValue          float64 // share of the priority weight that remains at the deadline
	Stream             bool    // responses are streamed
	PriorityWeight     float64
}

// errNegativeSetting is returned by New for a time, count or factor below zero.
var errNegativeSetting = errors.New("settings: a negative time or limit")

// validate returns an error for settings that the scheduler cannot work with.
func (settings *Settings) validate() error {
	if len(settings.Classes) == 0 || settings.Calls.ConcurrentCalls < 1 {
		return fmt.Errorf("settings: %d classes and %d slots",
			len(settings.Classes), settings.Calls.ConcurrentCalls)
	}
	rules, limits := &settings.Rules, &settings.Limits
	smallest := min(settings.TickUs, rules.OverloadWindowUs, rules.SlowStartUs, rules.KeyQuarantineUs,
		rules.MaxPollIntervalUs, limits.MaxRetryAfterUs, limits.ConnectTimeoutUs, limits.KeepAliveUs,
		int64(limits.MaxAttempts), int64(limits.MaxMessages))
	if smallest < 0 || rules.SlowStartInitialShare < 0 || rules.OverloadMultiple < 0 {
		return errNegativeSetting
	}
	for i := range settings.Classes {
		class := &settings.Classes[i]
		if class.DeadlineUs <= 0 || class.LatencyObjectiveUs < 0 || class.KeyWindowUs < 0 ||
			class.PriorityWeight < 0 || class.repeatRisk() < 0 {
			return fmt.Errorf("settings: class %q has a bad time, worth or effect", class.Name)
		}
	}
	return nil
}

// repeatRisk is the risk of sending a message again after an attempt that may have run: 0 if it is
// idempotent, 1 if it is idempotent by key, 2 if it is unsafe, and -1 for an unknown idempotency.
func (class *Class) repeatRisk() int {
	return slices.Index([]Idempotency{Idempotent, IdempotentByKey, NotIdempotent}, class.Idempotency)
}
