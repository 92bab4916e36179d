package scheduler

// State is the complete state of a scheduler, for the successor in a hot restart. LearnedState returns
// a part of it. The stored form consists of the tags and the order of the values in the lists: a change
// of the lists needs a new StateFormat.
type State struct {
	Format              int                   `json:"Form"` // StateFormat
	Floats              []float64             `json:"Bits"`
	Integers            []int64               `json:"Ints"`
	ConnectFailureShare map[string]float64    `json:"Crowd"`
	RetrySpread         map[string]float64    `json:"Ease"`
	Tenants             map[string][2]float64 `json:"Tenant"` // tokens, and the time of their last refill in seconds
	Destinations        []DestinationState    `json:"Dests"`
	Messages            []MessageState        `json:"Msgs"`
	Calls               []CallState           `json:"Calls"`
	// OtherRetryAfterUntil is the end of the longest Retry-After that may apply to a route which a learned state
	// leaves out; 0: there is none.
	OtherRetryAfterUntil int64 `json:"Waits,omitempty"`
}

// StateFormat is the version of the stored form. It changes with the contents of the lists.
const StateFormat = 1

// DestinationState is the state of a destination, its routes and its endpoints.
type DestinationState struct {
	Destination int64           `json:"Dest"`
	Floats      []float64       `json:"Bits"`
	Integers    []int64         `json:"Ints"`
	Route       RouteState      `json:"Whole"`
	Endpoints   []EndpointState `json:"Eps"`
}

// RouteState is the state of a route.
type RouteState struct {
	Floats          []float64  `json:"Bits"`
	Integers        []int64    `json:"Ints"`
	Counts          []int      `json:"Counts"`
	Flags           []bool     `json:"Flags"`
	AdvertisedLimit [3]float64 `json:"Told"`
	FirstCallAt     int64      `json:"First,omitempty"` // no call is sent earlier
	// SlowStart is nil in a state of earlier versions, and for a route that has none of it.
	SlowStart *SlowStartState `json:"Slow,omitempty"`
}

// SlowStartState is what a route's state has of its recovery beside the times of its slow start.
type SlowStartState struct {
	Failed        bool    `json:"Failed,omitempty"` // a call has failed since the last success
	Suspected     bool    `json:"Suspected,omitempty"`
	Capacity      float64 `json:"Capacity,omitempty"`  // calls per second
	SustainedRate float64 `json:"Sustained,omitempty"` // calls per second, as of SustainedAt
	SustainedAt   int64   `json:"At,omitempty"`
}

// EndpointState is the state of an endpoint. OwnRoute is nil if it shares the destination's route.
type EndpointState struct {
	Endpoint
	Floats   []float64   `json:"Bits"`
	Integers []int64     `json:"Ints"`
	Counts   []int       `json:"Counts"`
	Flags    []bool      `json:"Flags"`
	Failures [][3]int64  `json:"Blames"` // count, since and lastAt of each streak in endpoint.failures
	OwnRoute *RouteState `json:"Own,omitempty"`
	// Superseded means that another endpoint has its address now.
	Superseded bool `json:"Superseded,omitempty"`
}

// MessageState is the state of a message that is pending or in flight.
type MessageState struct {
	ID             string  `json:"ID"`
	Class          string  `json:"Class"`
	Destination    int64   `json:"Dest"`
	PriorityWeight float64 `json:"Worth"`
	Integers       []int64 `json:"Ints"`
	Zone           string  `json:"Zone"`
	Attempts       int     `json:"Attempts"`
	Retries        int     `json:"Tries"`
	Ended          bool    `json:"Ended"`
}

// CallState is the state of a call in flight.
type CallState struct {
	Endpoint string   `json:"Addr"`
	Integers []int64  `json:"Ints"`
	Flags    []bool   `json:"Flags"`
	Messages []string `json:"Msgs"` // ids of the messages that have no outcome yet
	Size     int      `json:"Size"`
	// Superseded means that another endpoint has the address of the call's endpoint now.
	Superseded bool `json:"Superseded,omitempty"`
}

// The methods below return the variables of each type in the order of the lists in its stored form.

func (s *Scheduler) floats() []*float64 { return []*float64{&s.slowdown} }

func (s *Scheduler) integers() []*int64 {
	return []*int64{&s.startedAt, &s.maxIdleUs, &s.maxIdleLearnedAt, &s.shutdownAt}
}

func (dest *destination) floats() []*float64 { return []*float64{&dest.arrivalRate} }

func (dest *destination) integers() []*int64 { return []*int64{&dest.arrivalRateAt} }

func (rt *route) floats() []*float64 {
	return []*float64{
		&rt.bucket.rate,
		&rt.bucket.rateMark,
		&rt.bucket.tokens,
		&rt.throughput.sendRate,
		&rt.throughput.successRate,
		&rt.throughput.peakSuccessRate,
		&rt.capacityHint,
		&rt.latency.smoothedUs,
		&rt.latency.deviationUs,
		&rt.latency.baselineUs,
		&rt.latency.samples,
		&rt.health.failureShare,
		&rt.health.lastingFailureShare,
	}
}

func (rt *route) integers() []*int64 {
	return []*int64{
		&rt.bucket.refilledAt,
		&rt.bucket.decreasedAt,
		&rt.retryAfterUntil,
		&rt.throughput.sendRateAt,
		&rt.throughput.successRateAt,
		&rt.health.failingSince,
		&rt.health.lastFailureAt,
		&rt.lastSuccessAt,
		&rt.lastSendAt,
		&rt.lastOutcomeAt,
		&rt.health.failureShareAt,
		&rt.probe.nextAt,
		&rt.probe.intervalUs,
		&rt.gate.Until,
		&rt.gate.NextCallAt,
		&rt.overtakenUntil,
	}
}

func (rt *route) counts() []*int {
	return []*int{
		&rt.maxInFlight,
		&rt.health.consecutiveFailures,
		&rt.health.consecutiveRejections,
		&rt.health.consecutiveTimeouts,
	}
}

func (rt *route) flags() []*bool {
	return []*bool{&rt.bucket.limited, &rt.health.lastFailureAmbiguous, &rt.health.unavailable}
}

func (ep *endpoint) floats() []*float64 { return []*float64{&ep.randomPreference} }

func (ep *endpoint) integers() []*int64 {
	return []*int64{
		&ep.connections.lastUsedAt,
		&ep.lastSuccessAt,
		&ep.connections.limitedUntil,
		&ep.connections.maxIdleUs,
	}
}

func (ep *endpoint) counts() []*int { return []*int{&ep.connections.limit} }

func (ep *endpoint) flags() []*bool { return []*bool{&ep.listed} }

func (msg *message) integers() []*int64 {
	return []*int64{&msg.objectiveAt, &msg.deadline, &msg.notBefore, &msg.backoffUntil, &msg.firstRunAt}
}

func (c *call) integers() []*int64 { return []*int64{&c.sentAt, &c.idleUs} }

func (c *call) flags() []*bool {
	return []*bool{&c.recorded, &c.canceled, &c.openedConnection, &c.afterRejections}
}

// values returns the values of variables.
func values[T any](variables []*T) []T {
	list := make([]T, len(variables))
	for i, variable := range variables {
		list[i] = *variable
	}
	return list
}

// assign sets the variables to the values of a list. It reports false, and changes nothing, if their
// numbers differ.
func assign[T any](variables []*T, list []T) bool {
	if len(variables) != len(list) {
		return false
	}
	for i, variable := range variables {
		*variable = list[i]
	}
	return true
}
