package soak

import (
	"time"

	"brackendale/internal/testing/fleet"
)

// attempt is one call with a message, as its endpoint observed it.
type attempt struct {
	firstAt    time.Time // arrival of the first byte
	receivedAt time.Time // arrival of the last byte
	mayRun     bool
	open       bool
	endedAt    time.Time          // when its endpoint has ended it; zero: it has not
	relayed    *fleet.RelayedConn // nil: the connection is direct

	// For reports.
	connection string
	answer     string // the status line, as far as it was written
	answeredAt time.Time
}

// isOpen reports whether the sender has the connection of a call open and its endpoint has not ended the call.
func (a *attempt) isOpen() bool { return a.open && (a.relayed == nil || !a.relayed.CallerEnded()) }

// end returns when the call was seen to have ended, by its endpoint or by the sender. It returns the zero time if it
// has not.
func (a *attempt) end() time.Time {
	end := a.endedAt
	if a.relayed == nil {
		return end
	}
	if callerEnd := a.relayed.CallerEndedAt(); !callerEnd.IsZero() && (end.IsZero() || callerEnd.Before(end)) {
		return callerEnd
	}
	return end
}

// overlap returns when two calls were out at once; the end is before the begin if they were not. Either may have begun
// first: a relay can be late with a call that the sender has given up before it began the other one.
func overlap(one, other *attempt) (from, to time.Time) {
	first, second := one, other
	if second.firstAt.Before(first.firstAt) {
		first, second = second, first
	}
	end := first.end()
	if end.IsZero() { // it is still out
		end = time.Now().Add(slack)
	}
	return second.firstAt, end
}

// overlapping is a finding that a message had two calls out at once.
type overlapping struct {
	id       string
	from, to time.Time
	found    string // for the report
}
