package simulator

import "encoding/json"

// MessageName is the name of a message on the simulator's wire.
type MessageName string

// The messages that the simulator sends.
const (
	BatchStarted        MessageName = "Batch"
	BatchEnded          MessageName = "Eob"
	EndpointListDefined MessageName = "Catalog" // a numbered list of endpoints, which EndpointsUpdated refers to
	InstanceStarted     MessageName = "Up"
	InstanceStopped     MessageName = "PowerOff"
	requestAccepted     MessageName = "Incoming"
	attemptFinished     MessageName = "ReportBack"
	responseStarted     MessageName = "Streaming"
	requestWithdrawn    MessageName = "Left"
	timerFired          MessageName = "Wake"
	EndpointsUpdated    MessageName = "DirectoryUpdate"
	healthChecked       MessageName = "CheckResult"
	peerMessage         MessageName = "Message"
)

// The messages that the adapter sends.
const (
	startAttempt         MessageName = "Issue"
	reject               MessageName = "PushBack"
	fail                 MessageName = "Abort"
	setTimer             MessageName = "Sleep"
	writeLog             MessageName = "WriteLog"
	cancelAttempt        MessageName = "Recall"
	closeIdleConnections MessageName = "FreeLinks"
	watchEndpoints       MessageName = "Tail"
	instanceFailed       MessageName = "GiveIn"
)

// message holds the fields of all messages from the simulator. A pointer is nil where the field is absent or null.
type message struct {
	Instance     *int64          `json:"who"`
	TimeUs       *int64          `json:"timeUs"`
	Seed         *int64          `json:"initSeed"`
	Settings     json.RawMessage `json:"setup"`
	ListNumber   *int            `json:"sheet"`
	Endpoints    *[]listEntry    `json:"elements"`
	Update       *string         `json:"how"`
	ID           *string         `json:"opId"`
	Key          *int64          `json:"partitionKey"`
	Class        *string         `json:"class"`
	WorkUs       *int64          `json:"workHintUs"`
	Destination  *int64          `json:"terminatesAt"`
	DeadlineUs   *int64          `json:"dropDeadUs"`
	Tenant       json.RawMessage `json:"team"`
	Attempt      *int            `json:"n"`
	Endpoint     *string         `json:"endpoint"`
	Outcome      *string         `json:"reason"`
	RttUs        *int64          `json:"rttUs"`
	Final        *bool           `json:"finished"`
	RetryAfterMs *int64          `json:"holdMs"`
	LoadReport   []*float64      `json:"report"`
}

// listEntry is one endpoint of a numbered list.
type listEntry struct {
	Endpoint     *string  `json:"endpoint"`
	Zone         string   `json:"site"`
	MachineType  string   `json:"shape"`
	Destination  *int64   `json:"belongsTo"`
	Status       *string  `json:"stageState"`
	CapacityHint *float64 `json:"powerHint"`
}

// reply holds the fields of all messages to the simulator. Pointers tell fields that are sent even if zero from fields
// that the message does not have.
type reply struct {
	Instance     int64   `json:"who"`
	ID           string  `json:"opId,omitempty"`
	Endpoint     string  `json:"endpoint,omitempty"`
	Attempt      *int    `json:"n,omitempty"`
	TimeoutUs    int64   `json:"limitUs,omitempty"`
	RetryAfterUs int64   `json:"waitUs,omitempty"`
	DelayUs      *int64  `json:"delayUs,omitempty"`
	TimerID      *uint64 `json:"mark,omitempty"`
	Text         string  `json:"reasonText,omitempty"`
	On           *bool   `json:"on,omitempty"`
}
