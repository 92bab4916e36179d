package scheduler

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Addr         string         `json:"Addr"`
	Zone         string         `json:"Zone"`
	MachineType  string         `json:"Kind"`
	Destination  int64          `json:"Dest"`
	State        EndpointStatus `json:"State"`
	CapacityHint float64        `json:"Hint"` // calls per second; 0: none
	SlowStart    bool           `json:"Cold"` // it is recovering from an outage and needs a slow start
}

// EventKind is the kind of an Event. It determines which of its fields are set.
type EventKind uint8

// The kinds of events that Step processes, each with the fields that it sets.
const (
	// RequestAccepted adds an accepted message: ID, Class, Tenant, Destination, Deadline, Key, HasKey,
	// WorkUs; after a restart also Restored, Attempts, FirstRunUs and Zone.
	RequestAccepted EventKind = iota
	// AttemptFinished is the end of an attempt: ID, Attempt, Endpoint, Outcome, RttUs, Final,
	// RetryAfterMs, LoadReport.
	AttemptFinished
	// ResponseStarted means that the first part of a response has reached the client: ID, Attempt,
	// Endpoint.
	ResponseStarted
	// RequestWithdrawn means that the client has withdrawn a message: ID.
	RequestWithdrawn
	// TimerFired is the end of the delay of SetTimer. It sets no further field.
	TimerFired
	// EndpointsUpdated is a change of the endpoint list: Update, Endpoints.
	EndpointsUpdated
	// HealthChecked is not used: Endpoint, Outcome, RttUs.
	HealthChecked
	// PeerMessage is not used.
	PeerMessage
	// ShutdownStarted means that the sender stops at the deadline: Deadline. The next incarnation
	// continues with its messages.
	ShutdownStarted
	// QuotaAssigned assigns this sender's share of a destination's limit: Destination, Quota,
	// EvenQuota, Deadline. The share is Quota until the deadline and EvenQuota after it.
	QuotaAssigned
	// RetryAfterShared means that another sender received a Retry-After that lasts until the
	// deadline: Destination, Deadline.
	RetryAfterShared
	// ProbeDelegated means that until the deadline only another sender probes an unavailable
	// destination: Destination, Deadline.
	ProbeDelegated
	// RecoveryObserved means that a destination has responded to another sender: Destination.
	RecoveryObserved
)

// Event is one input of Step. Times are in microseconds.
type Event struct {
	Kind         EventKind
	ID           string
	Class        string
	Tenant       string
	Destination  int64
	Deadline     int64
	Key          int64
	HasKey       bool
	WorkUs       int64 // processing time that the message announces
	Attempt      int
	Endpoint     string
	Outcome      Outcome
	RttUs        int64
	Final        bool // the outcome ends the message: it has its final answer
	RetryAfterMs int64
	LoadReport   []float64 // values in the order of Settings.LoadReport.Fields; empty: none
	Update       UpdateKind
	Endpoints    []Endpoint
	Quota        int64 // calls per 1,000 s
	EvenQuota    int64 // calls per 1,000 s

	// The history of a message that an earlier incarnation accepted. All are zero for a new message.
	Restored   bool   // accepted by an earlier incarnation
	Attempts   int    // number of attempts so far
	FirstRunUs int64  // send time of the first attempt that may have run; 0: none
	Zone       string // zone of that attempt's endpoint
}
