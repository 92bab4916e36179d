package journal

import (
	"encoding/binary"

	"brackendale/internal/clock"
)

// Entry is the state of one message in the journal.
type Entry struct {
	ID          string
	Class       string
	Tenant      string
	Key         string // the idempotency key
	Front       string // the front that submitted it
	Correlation string // opaque to the journal; returned to that front with the final answer
	Destination int64
	Deadline    clock.Instant
	Body        []byte // empty once there is a final answer: the message is not sent again
	Terms       Terms  // under which the message was accepted

	Attempts      int
	FirstRun      clock.Instant // when the first attempt that may have run was sent; 0: none
	Zone          string        // to which that attempt was sent
	InFlightSince clock.Instant // when the attempt in flight was sent; 0: none
	InFlightZone  string        // to which that attempt was sent

	FinalAnswer  string // empty: none yet
	RetryAfterMs int64  // sent with the final answer
	Acknowledged bool   // the client has confirmed the final answer; the entry is kept to recognize its ID
	Notified     bool   // the client may have received the final answer; set by the caller, not recorded
	// LaterCorrelations are those of later submissions whose reply address ends with this process, in their order; set
	// by the caller, not recorded.
	LaterCorrelations []string

	order uint64 // position in the order of acceptance
}

// Terms are how often a message may run, as of its acceptance. They are opaque to the journal. The zero
// value is that of a message that an earlier release accepted: its terms were not recorded.
type Terms struct {
	Idempotency uint8 // 0: not recorded
	KeyWindowUs int64 // idempotency window, in microseconds
	RetentionMs int64 // for how long after its deadline its ID must be recognized, in milliseconds; 0: not recorded
}

// RecordSize returns the space that an entry takes in the file, in bytes, including the records that
// may still follow for it.
func RecordSize(entry *Entry) int {
	size := len(entry.ID) + len(entry.Class) + len(entry.Tenant) + len(entry.Key) + len(entry.Front) +
		len(entry.Correlation)
	if entry.Acknowledged {
		return size + attemptOverhead
	}
	return size + len(entry.ID) + len(entry.Body) + messageOverhead // its later records contain the ID again
}

// appendTo appends the entry's encoded record to out.
func (e *Entry) appendTo(out []byte) []byte {
	out, start := beginRecord(out)
	out = append(out, byte(recordAccepted))
	for _, text := range [...]string{e.ID, e.Class, e.Tenant, e.Key, e.Front, e.Correlation} {
		out = appendText(out, text)
	}
	for _, n := range [...]int64{e.Destination, int64(e.Deadline), int64(e.Attempts), int64(e.FirstRun)} {
		out = appendInt(out, n)
	}
	out = appendText(out, e.Zone)
	out = appendInt(out, int64(e.InFlightSince))
	out = appendText(out, e.InFlightZone)
	out = appendText(out, e.FinalAnswer)
	out = appendInt(out, e.RetryAfterMs)
	out = appendInt(out, boolInt(e.Acknowledged))
	out = binary.AppendUvarint(out, uint64(len(e.Body)))
	out = append(out, e.Body...)
	if e.Terms.Idempotency != 0 { // earlier releases ignore what follows the body
		out = append(out, e.Terms.Idempotency)
		out = appendInt(out, e.Terms.KeyWindowUs)
		out = appendInt(out, e.Terms.RetentionMs)
	}
	return finishRecord(out, start)
}

// readEntry decodes what appendTo wrote after the kind. fields.malformed reports whether that failed.
func readEntry(fields *fieldReader) *Entry {
	entry := &Entry{
		ID:            fields.text(),
		Class:         fields.text(),
		Tenant:        fields.text(),
		Key:           fields.text(),
		Front:         fields.text(),
		Correlation:   fields.text(),
		Destination:   fields.int(),
		Deadline:      clock.Instant(fields.int()),
		Attempts:      int(fields.int()),
		FirstRun:      clock.Instant(fields.int()),
		Zone:          fields.text(),
		InFlightSince: clock.Instant(fields.int()),
		InFlightZone:  fields.text(),
		FinalAnswer:   fields.text(),
		RetryAfterMs:  fields.int(),
		Acknowledged:  fields.int() != 0,
	}
	entry.Body = []byte(fields.text())
	if len(fields.unread) > 0 {
		entry.Terms = Terms{Idempotency: fields.byte(), KeyWindowUs: fields.int()}
	}
	if len(fields.unread) > 0 {
		entry.Terms.RetentionMs = fields.int()
	}
	return entry
}
