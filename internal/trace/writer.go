package trace

import (
	"io"
	"net/url"
	"strconv"

	"brackendale/scheduler"
)

// Writer writes the lines of one sender. It is not safe for concurrent use.
type Writer struct {
	out    io.Writer
	sender string // escaped
	line   []byte
}

// NewWriter returns a Writer for the sender of a name.
func NewWriter(out io.Writer, name string) *Writer {
	return &Writer{out: out, sender: url.QueryEscape(name)}
}

// Step writes the line of a step, or nothing if none of its events and actions has a kind of record. now is in
// microseconds; dest returns the destination of an endpoint. Write errors are ignored: the sender continues without its
// trace.
func (w *Writer) Step(now int64, events []scheduler.Event, actions []scheduler.Action, dest func(addr string) int64) {
	w.line = append(strconv.AppendInt(append(w.line[:0], linePrefix...), now, 10), ' ')
	w.line = append(w.line, w.sender...)
	withoutRecords := len(w.line)
	for i := range events {
		w.writeEvent(now, &events[i])
	}
	for i := range actions {
		w.writeAction(&actions[i], dest)
	}
	if len(w.line) == withoutRecords {
		return
	}
	w.line = append(w.line, '\n')
	_, _ = w.out.Write(w.line)
}

func (w *Writer) writeEvent(now int64, event *scheduler.Event) {
	switch event.Kind {
	case scheduler.RequestAccepted:
		remainingMs := number((event.Deadline - now) / 1000)
		w.record(recordAccepted, event.ID, event.Class, event.Tenant, number(event.Destination), remainingMs)
		if event.Restored {
			w.line = append(append(w.line, ':'), restoredField...)
		}
	case scheduler.AttemptFinished:
		w.record(recordAttemptFinished, event.ID, number(int64(event.Attempt)), event.Endpoint, string(event.Outcome),
			number(event.RetryAfterMs), "")
		for i, value := range event.LoadReport {
			if i > 0 {
				w.line = append(w.line, ',')
			}
			w.line = strconv.AppendFloat(w.line, value, 'g', 4, 64)
		}
	case scheduler.EndpointsUpdated:
		w.record(recordEndpoints, string(event.Update), number(int64(len(event.Endpoints))))
	}
}

func (w *Writer) writeAction(action *scheduler.Action, dest func(addr string) int64) {
	switch action.Kind {
	case scheduler.StartAttempt:
		w.record(recordAttemptStarted, action.ID, action.Endpoint, number(dest(action.Endpoint)),
			number(action.TimeoutUs/1000))
	case scheduler.Reject:
		w.record(recordRejected, action.ID, number(action.RetryAfterUs/1000))
	case scheduler.Fail:
		w.record(recordFailed, action.ID)
	case scheduler.CancelAttempt:
		w.record(recordCanceled, action.ID, number(int64(action.Attempt)))
	case scheduler.CloseIdleConnections:
		w.record(recordIdleClosed, action.Endpoint)
	}
}

// record appends a record, with its fields escaped.
func (w *Writer) record(kind string, fields ...string) {
	w.line = append(append(w.line, ' '), kind...)
	for _, field := range fields {
		w.line = append(append(w.line, ':'), url.QueryEscape(field)...)
	}
}

func number(n int64) string { return strconv.FormatInt(n, 10) }
