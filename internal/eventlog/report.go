package eventlog

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"brackendale/internal/clock"
)

// maxLogLine bounds a line of a log, in bytes.
const maxLogLine = 1 << 20

// line is one event in a log.
type line struct {
	At          clock.Instant `json:"us"`
	Kind        Kind          `json:"event"`
	Sender      string        `json:"sender"`
	Message     string        `json:"message_id"`
	Attempt     int           `json:"attempt"`
	Class       string        `json:"class"`
	Effect      string        `json:"effect"`
	Destination int64         `json:"destination"`
	Endpoint    string        `json:"endpoint"`
	Connection  uint64        `json:"connection"`
	Status      int           `json:"status"`
	Bytes       int           `json:"bytes"`
	WaitMs      int64         `json:"wait_ms"`
	DelayMs     int64         `json:"delay_ms"`
	Reason      string        `json:"reason"`
	LeftOut     int           `json:"left_out"`

	From              string  `json:"from"`
	Phase             string  `json:"phase"`
	CallsPerSecond    float64 `json:"calls_per_s"`
	CapacityPerSecond float64 `json:"capacity_per_s"`
	Calls             int     `json:"calls"`
}

// Report collects the events of several logs and writes the timeline of each message.
type Report struct {
	lines   []line
	leftOut int
}

// Read adds the events of a log. Lines that are no events are skipped.
func (r *Report) Read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		var read line
		start := strings.IndexByte(scanner.Text(), '{')
		if start < 0 || json.Unmarshal(scanner.Bytes()[start:], &read) != nil {
			continue
		}
		r.leftOut += read.LeftOut
		if read.Kind != "" {
			r.lines = append(r.lines, read)
		}
	}
	if err := scanner.Err(); err != nil {
		return fmt.Errorf("eventlog: %w", err)
	}
	return nil
}

// history is what the logs tell of one message.
type history struct {
	id       string
	lines    []line
	attempts int
	out      int // attempts that have no answer yet
	twice    bool
	accepted bool
	ended    bool
}

// Write writes what is noteworthy: messages with an attempt beside another, messages that were accepted and have no
// end, answers that belong to no request, and the states of endpoints. With all, it writes each message's timeline.
func (r *Report) Write(out io.Writer, all bool) error {
	if len(r.lines) == 0 {
		_, err := fmt.Fprintln(out, "no events")
		return err
	}
	slices.SortStableFunc(r.lines, func(a, b line) int { return cmp.Compare(a.At, b.At) })
	start := r.lines[0].At
	var text strings.Builder
	fmt.Fprintf(&text, "times are seconds from the first event\n")
	if r.leftOut > 0 {
		fmt.Fprintf(&text, "%d events were left out of the logs\n", r.leftOut)
	}
	for _, other := range r.lines {
		if other.Message == "" && (other.Kind == Unexpected || other.Kind == State) {
			fmt.Fprintf(&text, "%.3f %s %s %s%s: %s\n", other.At.Sub(start).Seconds(), other.Sender, other.Kind,
				other.Endpoint, other.onConnection(), other.Reason)
		}
	}
	r.writeRecoveries(&text, start)
	for _, message := range r.histories() {
		if all || message.twice || message.accepted && !message.ended {
			message.write(&text, start)
		}
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// writeRecoveries writes the phases of each destination's recovery, the senders side by side.
func (r *Report) writeRecoveries(out io.Writer, start clock.Instant) {
	byDestination := map[int64][]line{}
	for _, event := range r.lines {
		if event.Kind == Recovery {
			byDestination[event.Destination] = append(byDestination[event.Destination], event)
		}
	}
	for _, destination := range slices.Sorted(maps.Keys(byDestination)) {
		fmt.Fprintf(out, "recovery of destination %d\n", destination)
		for _, event := range byDestination[destination] {
			fmt.Fprintf(out, "  %.3f %s %s%s -> %s: %s, %d calls before; %.3f calls/s of %.3f/s\n",
				event.At.Sub(start).Seconds(), event.Sender, event.ofEndpoint(), event.From, event.Phase, event.Reason,
				event.Calls, event.CallsPerSecond, event.CapacityPerSecond)
		}
	}
}

func (l *line) ofEndpoint() string {
	if l.Endpoint == "" {
		return ""
	}
	return l.Endpoint + " "
}

// WriteMessages writes the timelines of these messages, with times of the machine's steady clock.
func (r *Report) WriteMessages(out io.Writer, ids []string) error {
	slices.SortStableFunc(r.lines, func(a, b line) int { return cmp.Compare(a.At, b.At) })
	var text strings.Builder
	for _, message := range r.histories() {
		if !slices.Contains(ids, message.id) {
			continue
		}
		message.write(&text, 0)
		r.writeStalls(&text, message.lines[0].At, message.lines[len(message.lines)-1].At)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// writeStalls writes the stalls between two instants.
func (r *Report) writeStalls(out io.Writer, from, to clock.Instant) {
	for _, event := range r.lines {
		if event.Kind == Stalled && event.At >= from && event.At <= to {
			fmt.Fprintf(out, "  %.3f %s stalled for %d ms: %s\n", event.At.Sub(0).Seconds(), event.Sender, event.DelayMs,
				event.Reason)
		}
	}
}

// histories returns the messages in the order of their first event.
func (r *Report) histories() (ordered []*history) {
	byID := map[string]*history{}
	for _, event := range r.lines {
		if event.Message == "" {
			continue
		}
		message := byID[event.Message]
		if message == nil {
			message = &history{id: event.Message}
			byID[event.Message] = message
			ordered = append(ordered, message)
		}
		message.add(event)
	}
	return ordered
}

func (h *history) add(event line) {
	h.lines = append(h.lines, event)
	switch event.Kind {
	case Accepted:
		h.accepted = true
	case Ended:
		h.ended = true
	case Sent:
		h.attempts++
		h.out++
		h.twice = h.twice || h.out > 1
	case Answered, Unanswered:
		h.out = max(0, h.out-1)
	}
}

func (h *history) write(out io.Writer, start clock.Instant) {
	verdict := ""
	if h.twice {
		verdict += ", two attempts out at once"
	}
	if h.accepted && !h.ended {
		verdict += ", no end"
	}
	fmt.Fprintf(out, "message %s%s\n", h.id, verdict)
	for _, event := range h.lines {
		fmt.Fprintf(out, "  %.3f %s %s\n", event.At.Sub(start).Seconds(), event.Sender, event.describe())
	}
}

func (l *line) onConnection() string {
	if l.Connection == 0 {
		return ""
	}
	return fmt.Sprintf(" on connection %d", l.Connection)
}

// describe returns an event of a message in words.
func (l *line) describe() string {
	text := string(l.Kind)
	switch l.Kind {
	case Accepted:
		text += fmt.Sprintf(" (class %s, %s, destination %d)", l.Class, l.Effect, l.Destination)
	case Sent:
		text += fmt.Sprintf(" attempt %d to %s%s", l.Attempt, l.Endpoint, l.onConnection())
	case Answered:
		text += fmt.Sprintf(" attempt %d with %d, %d bytes%s", l.Attempt, l.Status, l.Bytes, l.onConnection())
	case Unanswered, Outcome:
		text += fmt.Sprintf(" attempt %d%s", l.Attempt, l.onConnection())
	}
	if l.Reason != "" {
		text += ": " + l.Reason
	}
	if l.WaitMs > 0 {
		text += fmt.Sprintf(", wait %d ms", l.WaitMs)
	}
	return text
}
