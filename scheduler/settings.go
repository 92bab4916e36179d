package scheduler

import (
	"errors"
	"fmt"
	"slices"
)

// Settings are a scheduler's settings for its whole time. Fields in Us are times in microseconds.
type Settings struct {
	Zone            string
	Zones           []string
	Senders         int   // how many senders share the destinations, this one too
	SenderIndex     int   // of this sender among them
	TickUs          int64 // the least time between two steps
	Discovery       Discovery
	CapacityHints   CapacityHints
	MachineTypes    []string
	OverQuotaWeight float64 // factor on the priority weight of messages of a tenant over its quota
	Classes         []Class
	Tenants         []Tenant
	Limits          Limits
	Costs           Costs
	Calls           Calls
	LoadReport      LoadReport
	Rules           Rules
}

// Tenant is a customer whose messages share a quota.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // messages a second over all senders; 0: no quota
}

// Limits bounds what a sender may do.
type Limits struct {
	CanCancel            bool // attempts can be canceled
	ConnectTimeoutUs     int64
	KeepAliveUs          int64 // an idle connection may be used for so long
	MaxAttempts          int   // of one message; 0: any number
	MaxRetryAfterUs      int64 // the longest Retry-After that clients get
	MaxMessages          int   // accepted and without a final answer; 0: any number
	HealthChecks         bool  // not used
	CanSendRetryAfter    bool  // clients understand a Retry-After
	HedgedRequests       bool  // not used
	StreamsPerConnection int   // attempts that share a connection
}

// Costs are prices in units of priority weight.
type Costs struct {
	Handshake     float64 // of a new connection
	CrossZone     float64 // not used
	WastedAttempt float64 // not used
}

// Calls is how messages travel to endpoints. A call carries one or several messages.
type Calls struct {
	ZoneFees        []float64 // price of a call by zone, for endpoints with limits of their own
	ValueDecay      ValueDecay
	EndpointLimits  []bool // by machine type: each endpoint has a limit of its own
	MessagesPerCall []int  // by machine type: the most messages of one call
	ConcurrentCalls int    // the most calls in flight
}

// LoadReport describes the load reports of endpoints.
type LoadReport struct {
	Fields []string // names of the values, in order
	Mode   ReportMode
}

// Rules are the rules of the service that a scheduler has to keep.
type Rules struct {
	AnswerMarginUs        int64   // not used
	MaxPollIntervalUs     int64   // the longest time between two polls of the endpoint list
	SlowStartInitialShare float64 // share of its capacity that a recovering destination takes at first
	OverloadMultiple      float64 // a recovering destination fails above so many times what it takes
	OverloadWindowUs      int64   // the window over which that is counted
	SlowStartUs           int64   // until a recovering destination takes its whole capacity
	DrainWithinUs         int64   // attempts to a draining endpoint end within this time
	KeyQuarantineUs       int64   // a key of ordered messages waits so long after an ambiguous outcome
}

// Class is a request class. Its times are in microseconds from when a message came in.
type Class struct {
	Name               string
	LatencyObjectiveUs int64
	ObjectiveStretch   float64 // microseconds more for each microsecond of work that a message announces
	DeadlineUs         int64
	Idempotency        Idempotency
	KeyScope           KeyScope
	KeyWindowUs        int64   // for so long endpoints remember an idempotency key
	OrderedByKey       bool    // messages of one key are delivered in order
	LateValue          float64 // share of the priority weight that is left at the deadline
	Stream             bool    // answers arrive in pieces
	PriorityWeight     float64
}

// errNegativeSetting is what New returns for a time, count or factor below zero.
var errNegativeSetting = errors.New("settings: a negative time or limit")

// validate tells why the settings cannot be served.
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

// repeatRisk is 0 where a repeat is harmless, 1 where it is by key, 2 where it is not, and -1 for an
// unknown idempotency.
func (class *Class) repeatRisk() int {
	return slices.Index([]Idempotency{Idempotent, IdempotentByKey, NotIdempotent}, class.Idempotency)
}
