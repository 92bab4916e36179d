// Package simulator translates between the simulator's JSON lines and the scheduler's types: it parses lines into
// events and formats actions as lines. It makes no scheduling decisions.
package simulator

import (
	"bytes"
	"encoding/json"
	"fmt"

	"brackendale/internal/settings"
	"brackendale/scheduler"
)

// Line is one parsed line from the simulator. Which fields are set depends on its name.
type Line struct {
	Name       MessageName
	Instance   int64
	TimeUs     int64
	Seed       int64
	Settings   scheduler.Settings
	ListNumber int
	Endpoints  []scheduler.Endpoint
	Event      scheduler.Event
	IsEvent    bool
}

// A MissingFieldError reports a message that lacks a required field.
type MissingFieldError struct {
	Message string
	Field   string
}

// Error names the message and the field by their names on the wire.
func (e *MissingFieldError) Error() string {
	return fmt.Sprintf("%s: field %s is missing", e.Message, e.Field)
}

// Parse parses one line. Its error names the malformed message and field.
func Parse(raw []byte) (Line, error) {
	var outer map[string]json.RawMessage
	if err := json.Unmarshal(raw, &outer); err != nil {
		return Line{}, fmt.Errorf("not a JSON object: %w", err)
	}
	if len(outer) != 1 {
		return Line{}, fmt.Errorf("want one message name, got %d", len(outer))
	}
	var line Line
	var m message
	for name, inner := range outer {
		line.Name = MessageName(name)
		if text := bytes.TrimSpace(inner); len(text) == 0 || text[0] != '{' {
			return Line{}, fmt.Errorf("%s: its value is not an object", name)
		}
		if err := json.Unmarshal(inner, &m); err != nil {
			return Line{}, fmt.Errorf("%s: %w", name, err)
		}
	}
	return line, line.fill(&m)
}

// fill sets the fields of the line from its message.
func (l *Line) fill(msg *message) error {
	l.Instance, l.TimeUs, l.ListNumber = value(msg.Instance), value(msg.TimeUs), value(msg.ListNumber)
	switch l.Name {
	case BatchStarted:
		return l.require(field{"timeUs", msg.TimeUs != nil})
	case BatchEnded:
		return nil
	case EndpointListDefined:
		return l.fillEndpointList(msg)
	}
	if err := l.require(field{"who", msg.Instance != nil}); err != nil {
		return err
	}
	l.IsEvent = l.Name != InstanceStarted && l.Name != InstanceStopped
	l.fillSharedFields(msg)
	switch l.Name {
	case InstanceStarted:
		return l.fillStart(msg)
	case InstanceStopped:
		return nil
	}
	return l.fillEvent(msg)
}

func (l *Line) fillEndpointList(msg *message) error {
	if err := l.require(field{"sheet", msg.ListNumber != nil}, field{"elements", msg.Endpoints != nil}); err != nil {
		return err
	}
	for _, entry := range *msg.Endpoints {
		err := require("Catalog entry", field{"endpoint", entry.Endpoint != nil},
			field{"belongsTo", entry.Destination != nil}, field{"stageState", entry.Status != nil})
		if err != nil {
			return err
		}
		l.Endpoints = append(l.Endpoints, scheduler.Endpoint{
			Addr:         *entry.Endpoint,
			Zone:         entry.Zone,
			MachineType:  entry.MachineType,
			Destination:  *entry.Destination,
			State:        scheduler.EndpointStatus(*entry.Status),
			CapacityHint: value(entry.CapacityHint),
		})
	}
	return nil
}

// fillSharedFields sets the fields of the event that several kinds of events share.
func (l *Line) fillSharedFields(msg *message) {
	event := &l.Event
	event.ID = value(msg.ID)
	event.Attempt = value(msg.Attempt)
	event.Endpoint = value(msg.Endpoint)
	event.Outcome = scheduler.Outcome(value(msg.Outcome))
	event.RttUs = value(msg.RttUs)
	event.RetryAfterMs = value(msg.RetryAfterMs)
	event.Update = scheduler.UpdateKind(value(msg.Update))
	for _, reported := range msg.LoadReport {
		event.LoadReport = append(event.LoadReport, value(reported))
	}
}

func (l *Line) fillStart(msg *message) error {
	if len(msg.Settings) == 0 || string(msg.Settings) == "null" || msg.Seed == nil {
		return &MissingFieldError{string(l.Name), `"setup" or "initSeed"`}
	}
	l.Seed = *msg.Seed
	var wire settings.Settings
	if err := json.Unmarshal(msg.Settings, &wire); err != nil {
		return fmt.Errorf("%s: setup: %w", l.Name, err)
	}
	l.Settings = wire.Scheduler()
	return nil
}

func (l *Line) fillEvent(msg *message) error {
	id, endpoint, outcome := field{"opId", msg.ID != nil}, field{"endpoint", msg.Endpoint != nil},
		field{"reason", msg.Outcome != nil}
	attempt := field{"n", msg.Attempt != nil}
	switch l.Name {
	case requestAccepted:
		return l.fillRequest(msg)
	case attemptFinished:
		l.Event.Kind, l.Event.Final = scheduler.AttemptFinished, value(msg.Final)
		return l.require(id, attempt, endpoint, outcome, field{"finished", msg.Final != nil})
	case responseStarted:
		l.Event.Kind = scheduler.ResponseStarted
		return l.require(id, attempt)
	case requestWithdrawn:
		l.Event.Kind = scheduler.RequestWithdrawn
		return l.require(id)
	case timerFired:
		l.Event.Kind = scheduler.TimerFired
	case EndpointsUpdated:
		l.Event.Kind = scheduler.EndpointsUpdated
		hasSheet := msg.ListNumber != nil || l.Event.Update == scheduler.UpdateBroken
		return l.require(field{"how", msg.Update != nil}, field{"sheet", hasSheet})
	case healthChecked:
		l.Event.Kind = scheduler.HealthChecked
		return l.require(endpoint, outcome)
	case peerMessage:
		l.Event.Kind = scheduler.PeerMessage
	default:
		return fmt.Errorf("unknown message %q", l.Name)
	}
	return nil
}

func (l *Line) fillRequest(msg *message) error {
	event := &l.Event
	event.Kind = scheduler.RequestAccepted
	event.Class = value(msg.Class)
	event.Destination = value(msg.Destination)
	event.Deadline = value(msg.DeadlineUs)
	event.Key, event.HasKey = value(msg.Key), msg.Key != nil
	event.WorkUs = value(msg.WorkUs)
	if len(msg.Tenant) > 0 && msg.Tenant[0] == '"' {
		if err := json.Unmarshal(msg.Tenant, &event.Tenant); err != nil {
			return fmt.Errorf("%s: team: %w", l.Name, err)
		}
	}
	return l.require(field{"opId", msg.ID != nil}, field{"class", msg.Class != nil},
		field{"terminatesAt", msg.Destination != nil}, field{"dropDeadUs", msg.DeadlineUs != nil})
}

// field names a required field, as on the wire, and records whether a message has it.
type field struct {
	name    string
	present bool
}

func (l *Line) require(fields ...field) error { return require(string(l.Name), fields...) }

// require returns a MissingFieldError for the first field that is absent.
func require(message string, fields ...field) error {
	for _, f := range fields {
		if !f.present {
			return &MissingFieldError{message, fmt.Sprintf("%q", f.name)}
		}
	}
	return nil
}

// value returns what p points to, or the zero value if p is nil.
func value[T any](p *T) (v T) {
	if p != nil {
		v = *p
	}
	return v
}
