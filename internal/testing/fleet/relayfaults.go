package fleet

import (
	"math/rand"
	"time"
)

// RelayFault is what a relay does to one connection, whatever its two sides are.
type RelayFault uint8

// The faults of a connection. "Request" is what the caller sends, "response" what the target sends.
const (
	RelayFaultNone          RelayFault = iota
	RelayRefused                       // reset before anything is read
	RelayUnread                        // closed before anything is read
	RelayNeverRead                     // open, and nothing is read or written
	RelaySwallowed                     // the request is read and goes nowhere
	RelaySilent                        // the request arrives, and no response comes
	RelaySilentInRequest               // the request stops in its middle
	RelaySilentInResponse              // the response stops in its middle
	RelayLateRequest                   // the request arrives late
	RelayLateResponse                  // the response arrives late
	RelaySingleBytes                   // both directions arrive in single bytes
	RelayThrottled                     // the request is read slowly
	RelayStopped                       // nothing is read for a while, then everything
	RelayResponseHalfClosed            // the caller reads an end of stream within the response, its own side stays open
	RelayResetInRequest                // reset within the request
	RelayResetInResponse               // reset within the response
	RelayResetBehind                   // reset behind the request
	relayFaultCount
)

// String returns the name of a fault, as reports have it.
func (f RelayFault) String() string {
	return [...]string{
		"none", "refused", "unread", "never read", "swallowed", "silent", "silent in the request",
		"silent in the response", "late request", "late response", "single bytes", "throttled", "stopped",
		"half-closed in the response", "reset in the request", "reset in the response", "reset behind the request",
	}[f]
}

// RelayFaults returns all faults of a connection.
func RelayFaults() (all []RelayFault) {
	for fault := RelayFaultNone + 1; fault < relayFaultCount; fault++ {
		all = append(all, fault)
	}
	return all
}

// The bounds of what a faulty connection does.
const (
	minRelayDelay    = 10 * time.Millisecond
	maxRelayDelay    = 3 * time.Second
	maxMiddle        = 40      // bytes before the middle of a message
	throttledChunk   = 1 << 10 // bytes that a throttled connection reads at once
	throttleInterval = 5 * time.Millisecond
	relayHold        = 6 * time.Second // a silent connection is ended after it
)

// relayPlan is the fault of one connection with its details.
type relayPlan struct {
	fault  RelayFault
	delay  time.Duration
	middle int // bytes that pass before the middle of the message
}

// drawRelayPlan draws the plan of a connection: a share of them, in percent, has one of the faults.
func drawRelayPlan(rng *rand.Rand, percent int, faults []RelayFault) relayPlan {
	plan := relayPlan{middle: 1 + rng.Intn(maxMiddle)}
	delays := []time.Duration{30 * time.Millisecond, 300 * time.Millisecond, maxRelayDelay}
	plan.delay = minRelayDelay + time.Duration(rng.Int63n(int64(delays[rng.Intn(len(delays))])))
	faulty, chosen := rng.Intn(100) < percent, 0
	if len(faults) > 0 {
		chosen = rng.Intn(len(faults))
	}
	if faulty && len(faults) > 0 {
		plan.fault = faults[chosen]
	}
	return plan
}
