// Package eventlog records what happens to messages, attempts and connections, so that the timeline of an incident can
// be written from a sender's own log.
//
// The last events are kept in memory and are written to the log when something happens that must not, such as an
// answer that belongs to no request. At level Calls each event is also written as it happens, up to a number of lines a
// second.
package eventlog

import (
	"fmt"
	"math"
	"slices"

	"brackendale/internal/clock"
	"brackendale/internal/slowstart"

	"github.com/rs/zerolog"
)

// Level is how much a sender records.
type Level int32

// The levels.
const (
	Off    Level = iota // nothing
	Record              // the last events are kept in memory
	Calls               // each event is written to the log too
)

var levelNames = []string{"off", "record", "calls"}

// String returns the name of the level.
func (l Level) String() string { return levelNames[l] }

// ParseLevel returns the level of a name. No name means Record.
func ParseLevel(name string) (Level, error) {
	if name == "" {
		return Record, nil
	}
	i := slices.Index(levelNames, name)
	if i < 0 {
		return Record, fmt.Errorf("%q is none of off, record, calls", name)
	}
	return Level(i), nil
}

// Kind is the kind of an event. It determines which fields of Event are set.
type Kind string

// The kinds of events, as they are in the log.
const (
	Accepted   Kind = "accepted"   // a message, with its class and destination
	Refused    Kind = "refused"    // a message, with the reason
	Ended      Kind = "ended"      // a message has its final answer, the reason
	Sent       Kind = "sent"       // the last byte of an attempt was written
	Answered   Kind = "answered"   // an attempt has an answer, with its status and size
	Unanswered Kind = "unanswered" // an attempt ended without an answer, with the reason
	Outcome    Kind = "outcome"    // the outcome that the scheduler was told: it decides on a retry
	Connecting Kind = "connecting" // a connection is being opened
	Closed     Kind = "closed"     // a connection, with the side and the reason
	Unexpected Kind = "unexpected" // bytes that belong to no request, with the place and the verdict
	State      Kind = "state"      // an endpoint's state in the list has changed to the reason

	Notified       Kind = "notified"       // the notice of a message's final answer was written to the agent
	Acknowledged   Kind = "acknowledged"   // the agent has acknowledged the notice
	Unacknowledged Kind = "unacknowledged" // a request with notices ended without an acknowledgement, with the reason
	ClientClosed   Kind = "client closed"  // a client's connection, with the side and the reason
	Violated       Kind = "violation"      // what must not happen to a message, the reason
	Abandoned      Kind = "abandoned"      // an attempt was given up; bytes of it were not sent yet
	Stalled        Kind = "stalled"        // the event loop was held up for DelayMs, by the reason
	Recovery       Kind = "recovery"       // the phase of a destination's recovery has changed, for the reason
)

// Event is one event. Fields that its kind does not have are zero.
type Event struct {
	At          clock.Instant
	Kind        Kind
	Message     string // its ID
	Attempt     int    // the number of earlier attempts of the message
	Class       string
	Effect      string // of the class: whether a message may run twice
	Destination int64
	Endpoint    string
	Connection  uint64 // a number of the process; 0: none
	Status      int
	Bytes       int
	WaitMs      int64 // a Retry-After
	DelayMs     int64 // of a stall
	Reason      string
	Recovery    *slowstart.Transition // of Recovery
}

// MarshalZerologObject adds the fields that are set. The instant is in microseconds of the machine's steady clock,
// which the processes of a machine share.
func (e *Event) MarshalZerologObject(line *zerolog.Event) {
	line.Int64("us", int64(e.At)).Str("event", string(e.Kind))
	if e.Message != "" {
		line.Str("message_id", e.Message)
	}
	if e.Kind == Sent || e.Kind == Answered || e.Kind == Unanswered || e.Kind == Outcome ||
		e.Kind == Abandoned {
		line.Int("attempt", e.Attempt)
	}
	if e.Class != "" {
		line.Str("class", e.Class).Str("effect", e.Effect).Int64("destination", e.Destination)
	}
	if e.Endpoint != "" {
		line.Str("endpoint", e.Endpoint)
	}
	if e.Connection != 0 {
		line.Uint64("connection", e.Connection)
	}
	if e.Kind == Answered {
		line.Int("status", e.Status).Int("bytes", e.Bytes)
	}
	if e.Kind == Abandoned {
		line.Int("bytes", e.Bytes)
	}
	if e.WaitMs != 0 {
		line.Int64("wait_ms", e.WaitMs)
	}
	if e.DelayMs != 0 {
		line.Int64("delay_ms", e.DelayMs)
	}
	if e.Recovery != nil {
		addRecovery(line, e.Recovery)
	}
	if e.Reason != "" {
		line.Str("reason", e.Reason)
	}
}

// addRecovery adds the fields of a transition.
func addRecovery(line *zerolog.Event, transition *slowstart.Transition) {
	line.Int64("destination", transition.Destination)
	line.Stringer("from", transition.From).Stringer("phase", transition.To)
	line.Float64("calls_per_s", roundRate(transition.CallsPerSecond))
	line.Float64("capacity_per_s", roundRate(transition.CapacityPerSecond))
	line.Int("calls", transition.Calls)
}

// rateDigits is the power of ten to which rates are rounded in the log.
const rateDigits = 1e4

func roundRate(perSecond float64) float64 { return math.Round(perSecond*rateDigits) / rateDigits }
