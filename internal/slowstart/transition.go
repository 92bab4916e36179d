// Package slowstart decides what one of many senders may send to a route that may be recovering from an outage. The
// package is pure: the caller passes in all times, in microseconds.
package slowstart

// Phase is the phase of a route's recovery, as one sender knows it.
type Phase uint8

// The phases.
const (
	Healthy     Phase = iota // no evidence of an outage
	Suspected                // calls have failed, and none has succeeded since
	Unavailable              // it gets single probe attempts
	Recovering               // it has responded, and its load returns in steps
)

// String returns the name of a phase, as it is in the record of events.
func (p Phase) String() string {
	return [...]string{"healthy", "suspected", "unavailable", "recovering"}[p]
}

// Transition is a change of the phase of a route.
type Transition struct {
	Destination int64
	Endpoint    string // of a route that belongs to one endpoint; empty: the destination's route
	From, To    Phase
	Reason      string
	// CallsPerSecond is what this sender may send in the new phase at first, CapacityPerSecond its share of the
	// route's capacity by its estimate.
	CallsPerSecond    float64
	CapacityPerSecond float64
	Calls             int  // calls that the previous phase let through
	Violation         bool // the phase is as it was: a call was sent that the gate did not let through
}

// Phases returns all phases.
func Phases() []Phase { return []Phase{Healthy, Suspected, Unavailable, Recovering} }
