package eventlog

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/slowstart"

	"github.com/rs/zerolog"
)

// The bounds of what is kept and written.
const (
	keptEvents        = 2048
	maxLinesPerSecond = 500 // at level Calls
	dumpInterval      = 10 * time.Second
)

// The messages of the lines.
const (
	eventMessage   = "event"
	keptMessage    = "event kept before"
	leftOutMessage = "events left out: more than the lines of a second"
)

// Recorder records events. It is safe for concurrent use; a nil Recorder records nothing.
type Recorder struct {
	log   zerolog.Logger
	now   func() clock.Instant
	level atomic.Int32

	dumping sync.WaitGroup // of the goroutine that writes the events that were kept

	mu        sync.Mutex
	kept      []Event // the last events; it wraps at next once it is full
	next      int
	second    clock.Instant // the begin of the second that lines and leftOut count
	lines     int
	leftOut   int
	dumpedAt  clock.Instant
	hasDumped bool
	counts    map[Kind]map[string]int // of the kinds that are counted, by place or reason
}

// New returns a Recorder at level Record that writes to log. now is the steady clock.
func New(log zerolog.Logger, now func() clock.Instant) *Recorder {
	r := &Recorder{log: log, now: now, counts: map[Kind]map[string]int{}}
	r.SetLevel(Record)
	return r
}

// SetLevel changes the level.
func (r *Recorder) SetLevel(level Level) {
	if r != nil {
		r.level.Store(int32(level))
	}
}

// Enabled reports whether events are recorded.
func (r *Recorder) Enabled() bool { return r != nil && Level(r.level.Load()) != Off }

// Record records an event, at the current time.
func (r *Recorder) Record(event Event) {
	if !r.Enabled() {
		return
	}
	event.At = r.now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.keep(event)
	if Level(r.level.Load()) == Calls {
		r.write(&event)
	}
}

// RecordUnexpected records that a peer wrote what belongs to no request, and writes the events that were kept before,
// at most once in dumpInterval.
func (r *Recorder) RecordUnexpected(place string, event Event) {
	if r == nil {
		return
	}
	r.count(Unexpected, place, 1)
	event.Kind = Unexpected
	event.Reason = place + ": " + event.Reason
	r.Record(event)
	r.Dump("an answer belongs to no request: " + event.Reason)
}

// RecordTransition records a change of the phase of a route's recovery, and writes it to the log at each level but Off.
func (r *Recorder) RecordTransition(transition slowstart.Transition) {
	if r == nil {
		return
	}
	r.count(Recovery, transition.To.String(), 1)
	if !r.Enabled() {
		return
	}
	event := Event{
		At: r.now(), Kind: Recovery, Endpoint: transition.Endpoint, Reason: transition.Reason, Recovery: &transition,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.write(&event)
}

// CloseReason returns the end of a connection as it is recorded.
func CloseReason(side, reason string) string { return side + ": " + reason }

// RecordClosed records the end of a connection.
func (r *Recorder) RecordClosed(side, reason string, event Event) {
	event.Kind, event.Reason = Closed, CloseReason(side, reason)
	r.RecordCounted(event, 1)
}

// RecordCounted records an event and adds amount to the count of its kind and reason, which is kept at level Off too.
func (r *Recorder) RecordCounted(event Event, amount int) {
	if r == nil {
		return
	}
	r.count(event.Kind, event.Reason, amount)
	r.Record(event)
}

// RecordViolation records what must not happen, and writes the events that were kept before, at most once in
// dumpInterval.
func (r *Recorder) RecordViolation(event Event) {
	event.Kind = Violated
	r.RecordCounted(event, 1)
	r.Dump(ViolationMessage + event.Reason + ", message " + event.Message)
}

// ViolationMessage begins the reason with which a violation writes the events that were kept.
const ViolationMessage = "a violation: "

// count adds to the count of a kind with a label.
func (r *Recorder) count(kind Kind, label string, amount int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts[kind] == nil {
		r.counts[kind] = map[string]int{}
	}
	r.counts[kind][label] += amount
}

// Counts returns how often events of a kind that is counted have occurred, by place or reason.
func (r *Recorder) Counts(kind Kind) map[string]int {
	if r == nil {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.counts[kind])
}

// Dump writes the events that are kept, and forgets them. It does nothing if that was done less than dumpInterval ago,
// or at level Calls, where they were written as they happened.
func (r *Recorder) Dump(reason string) {
	if !r.Enabled() || Level(r.level.Load()) == Calls {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.now()
	if r.hasDumped && now.Sub(r.dumpedAt) < dumpInterval {
		return
	}
	r.hasDumped, r.dumpedAt = true, now
	r.log.Warn().Str("why", reason).Int("events", len(r.kept)).Msg("the last events follow")
	kept := slices.Concat(r.kept[r.next:], r.kept[:r.next])
	r.kept, r.next = r.kept[:0], 0
	r.dumping.Go(func() { r.writeKept(kept) }) // the caller's goroutine must not wait for the log
}

// writeKept writes events that were kept.
func (r *Recorder) writeKept(kept []Event) {
	for i := range kept {
		r.log.Info().EmbedObject(&kept[i]).Msg(keptMessage)
	}
}

// keep stores an event in place of the oldest. The caller must hold mu.
func (r *Recorder) keep(event Event) {
	if len(r.kept) < keptEvents {
		r.kept = append(r.kept, event)
		return
	}
	r.kept[r.next] = event
	r.next = (r.next + 1) % keptEvents
}

// write writes an event unless the lines of this second are used up. The caller must hold mu.
func (r *Recorder) write(event *Event) {
	if event.At.Sub(r.second) >= time.Second {
		if r.leftOut > 0 {
			r.log.Warn().Int("left_out", r.leftOut).Msg(leftOutMessage)
		}
		r.second, r.lines, r.leftOut = event.At, 0, 0
	}
	if r.lines >= maxLinesPerSecond {
		r.leftOut++
		return
	}
	r.lines++
	r.log.Info().EmbedObject(event).Msg(eventMessage)
}
