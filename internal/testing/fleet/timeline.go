package fleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"time"
)

// The kinds of events that are not faults. Events of executions are recorded by their receiver.
const (
	EventExecution  = "act"     // an execution of a duty begins
	EventDone       = "done"    // an execution ends
	EventRefused    = "refused" // an execution of a stale epoch is refused
	EventStart      = "start"   // a member's process starts
	EventFaultEnded = "over"    // the fault named in Text ends
)

// Event is an entry of a timeline.
type Event struct {
	At          time.Duration `json:"at"` // since the timeline's start, by the monotonic clock
	Member      string        `json:"who"`
	Kind        string        `json:"what"` // a fault such as kill or stop, or one of the constants above
	Duty        string        `json:"duty,omitempty"`
	Epoch       uint64        `json:"epoch,omitempty"`
	Execution   uint64        `json:"act,omitempty"`
	ExecutionID uint64        `json:"call,omitempty"` // links the begin of an execution with its end
	Text        string        `json:"text,omitempty"`
}

// Timeline records events in order. It is safe for concurrent use.
type Timeline struct {
	mu              sync.Mutex
	start           time.Time
	events          []Event
	lastExecutionID uint64
}

// NewTimeline returns an empty timeline that starts now.
func NewTimeline() *Timeline { return &Timeline{start: time.Now()} }

// Now returns the time since the timeline's start.
func (t *Timeline) Now() time.Duration { return time.Since(t.start) }

// Add records an event with the current time.
func (t *Timeline) Add(event Event) {
	t.mu.Lock()
	defer t.mu.Unlock()
	event.At = time.Since(t.start)
	t.events = append(t.events, event)
}

// nextExecutionID returns a new number for Event.ExecutionID.
func (t *Timeline) nextExecutionID() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastExecutionID++
	return t.lastExecutionID
}

// Events returns a copy of the events so far.
func (t *Timeline) Events() []Event {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Event(nil), t.events...)
}

// Write writes the events as JSON, one per line.
func (t *Timeline) Write(out io.Writer) error {
	buffered := bufio.NewWriter(out)
	encoder := json.NewEncoder(buffered)
	for _, event := range t.Events() {
		if err := encoder.Encode(event); err != nil {
			return fmt.Errorf("fleet: timeline: %w", err)
		}
	}
	return buffered.Flush()
}
