package platform

import (
	"errors"
	"net"
	"slices"

	"brackendale/internal/eventlog"
)

// What a client's connection had open at its end.
const (
	clientIdle       = "nothing open"
	clientPartial    = "within a command"
	clientUnanswered = "with requests unanswered"
)

// ClientCloseReasons returns the sides and reasons of the ends of clients' connections, as they are recorded.
func ClientCloseReasons() (reasons []string) {
	for _, side := range []string{closedHere, closedByPeer} {
		for _, open := range []string{clientIdle, clientPartial, clientUnanswered} {
			reasons = append(reasons, eventlog.CloseReason(side, open))
		}
	}
	return reasons
}

// recordClosed records the end of the connection with the messages that have no answer.
func (cl *client) recordClosed(err error) {
	side, open := closedHere, clientIdle
	if !cl.closing && !errors.Is(err, net.ErrClosed) {
		side = closedByPeer
	}
	unanswered := slices.ContainsFunc(cl.replies, func(pending *reply) bool { return pending.text == nil })
	switch {
	case unanswered:
		open = clientUnanswered
	case cl.buffer.Len() > 0:
		open = clientPartial
	}
	events, reason := cl.ingress.core.Events(), eventlog.CloseReason(side, open)
	events.RecordCounted(eventlog.Event{Kind: eventlog.ClientClosed, Bytes: cl.buffer.Len(), Reason: reason}, 1)
	for _, pending := range cl.replies {
		if pending.text == nil {
			events.Record(eventlog.Event{Kind: eventlog.ClientClosed, Message: pending.request.ID, Reason: reason})
		}
	}
}
