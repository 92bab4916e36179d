package eventlog

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/slowstart"

	"github.com/rs/zerolog"
)

// newRecorder returns a recorder whose log and clock the test has.
func newRecorder(level Level) (r *Recorder, log *bytes.Buffer, now *clock.Instant) {
	log, now = &bytes.Buffer{}, new(clock.Instant)
	r = New(zerolog.New(log), func() clock.Instant { return *now })
	r.SetLevel(level)
	return r, log, now
}

// The lines of a second are bounded, and those left out are counted.
func TestLinesOfASecondWithoutBound(t *testing.T) {
	r, log, now := newRecorder(Calls)
	for range maxLinesPerSecond + 7 {
		r.Record(Event{Kind: Sent, Message: "m"})
	}
	*now = now.Add(time.Second)
	r.Record(Event{Kind: Sent, Message: "m"})
	if got := strings.Count(log.String(), `"event":"sent"`); got != maxLinesPerSecond+1 {
		t.Errorf("%d lines, want %d", got, maxLinesPerSecond+1)
	}
	if !strings.Contains(log.String(), `"left_out":7`) {
		t.Error("the log does not say that 7 were left out")
	}
}

// An answer for nobody writes the last events once, in their order, and nothing is written before.
func TestUnexpectedAnswerWithoutTheEventsBefore(t *testing.T) {
	r, log, now := newRecorder(Record)
	for i := range keptEvents + 3 {
		r.Record(Event{Kind: Sent, Message: fmt.Sprint("m", i)})
	}
	if log.Len() > 0 {
		t.Fatalf("written at level record: %s", log)
	}
	r.RecordUnexpected("endpoint", Event{Reason: "surplus"})
	r.dumping.Wait()
	first, last := strings.Index(log.String(), `"m4"`), strings.Index(log.String(), fmt.Sprintf(`"m%d"`, keptEvents+2))
	if first < 0 || last < first || strings.Contains(log.String(), `"m3"`) {
		t.Errorf("the first of the kept events is at %d, the last at %d", first, last)
	}
	if !strings.Contains(log.String(), `"reason":"endpoint: surplus"`) {
		t.Error("the unexpected answer itself is not written")
	}
	size := log.Len()
	r.RecordUnexpected("endpoint", Event{Reason: "surplus"})
	if log.Len() != size {
		t.Error("written again within the interval")
	}
	*now = now.Add(dumpInterval)
	r.RecordUnexpected("endpoint", Event{Reason: "surplus"})
	r.dumping.Wait()
	if log.Len() == size {
		t.Error("not written after the interval")
	}
	if unexpected := r.Counts(Unexpected); unexpected["endpoint"] != 3 {
		t.Errorf("counted %v", unexpected)
	}
}

// At level off, and without a recorder, nothing is kept and nothing is written.
func TestEventsRecordedAtLevelOff(t *testing.T) {
	r, log, _ := newRecorder(Off)
	r.Record(Event{Kind: Sent})
	r.RecordUnexpected("endpoint", Event{})
	if log.Len() > 0 || len(r.kept) > 0 {
		t.Errorf("%d kept, written: %s", len(r.kept), log)
	}
	var none *Recorder
	none.Record(Event{})
	none.RecordClosed("sender", "answered", Event{})
	none.RecordUnexpected("endpoint", Event{})
	none.SetLevel(Calls)
}

// From the logs of two processes, the report names the message with two attempts at once and the one without an end.
func TestReportOfALostAndARepeatedMessage(t *testing.T) {
	var report Report
	for sender, events := range map[string][]Event{
		"n0": {
			{At: 1000, Kind: Accepted, Message: "lost", Class: "key", Effect: "by_key", Destination: 4},
			{At: 3000, Kind: Sent, Message: "lost", Endpoint: "e1", Connection: 7},
			{At: 5000, Kind: Answered, Message: "lost", Endpoint: "e1", Connection: 7, Status: 200},
			{At: 6000, Kind: Unexpected, Endpoint: "e1", Connection: 7, Reason: "endpoint: surplus"},
		},
		"n1": {
			{At: 2000, Kind: Accepted, Message: "twice", Class: "once"},
			{At: 4000, Kind: Sent, Message: "twice", Endpoint: "e1"},
			{At: 7000, Kind: Sent, Message: "twice", Attempt: 1, Endpoint: "e2"},
			{At: 8000, Kind: Ended, Message: "twice", Reason: "delivered"},
			{At: 8500, Kind: Accepted, Message: "fine", Class: "once"},
			{At: 9000, Kind: Ended, Message: "fine", Reason: "delivered"},
		},
	} {
		var log bytes.Buffer
		logger := zerolog.New(&log).With().Str("sender", sender).Logger()
		for i := range events {
			logger.Info().EmbedObject(&events[i]).Msg(eventMessage)
		}
		fmt.Fprintln(&log, "a line of another kind")
		if err := report.Read(&log); err != nil {
			t.Fatal(err)
		}
	}
	var text strings.Builder
	if err := report.Write(&text, false); err != nil {
		t.Fatal(err)
	}
	const want = `times are seconds from the first event
0.005 n0 unexpected e1 on connection 7: endpoint: surplus
message lost, no end
  0.000 n0 accepted (class key, by_key, destination 4)
  0.002 n0 sent attempt 0 to e1 on connection 7
  0.004 n0 answered attempt 0 with 200, 0 bytes on connection 7
message twice, two attempts out at once
  0.001 n1 accepted (class once, , destination 0)
  0.003 n1 sent attempt 0 to e1
  0.006 n1 sent attempt 1 to e2
  0.007 n1 ended: delivered
`
	if text.String() != want {
		t.Errorf("got\n%s\nwant\n%s", &text, want)
	}
}

func BenchmarkRecord(b *testing.B) {
	for _, level := range []Level{Off, Record} {
		b.Run(level.String(), func(b *testing.B) {
			r, _, _ := newRecorder(level)
			for range b.N {
				r.Record(Event{Kind: Sent, Message: "m", Endpoint: "e", Class: "c"})
			}
		})
	}
}

// The phases of a destination's recovery are in the log at level Record, and the report shows all senders' together.
func TestRecoveryThatNoLogTells(t *testing.T) {
	var report Report
	for i, sender := range []string{"n1", "n2"} {
		log, now := &bytes.Buffer{}, clock.Instant(0)
		r := New(zerolog.New(log).With().Str("sender", sender).Logger(), func() clock.Instant { return now })
		now = now.Add(time.Duration(2-i) * time.Second)
		r.RecordTransition(slowstart.Transition{
			Destination: 4, From: slowstart.Suspected, To: slowstart.Recovering, Reason: "GOOD", CallsPerSecond: 0.5,
			CapacityPerSecond: 1.25, Calls: 3,
		})
		r.SetLevel(Off)
		r.RecordTransition(slowstart.Transition{Destination: 4, To: slowstart.Unavailable})
		if counts := r.Counts(Recovery); counts["recovering"] != 1 || counts["unavailable"] != 1 {
			t.Errorf("%s: counted %v", sender, counts)
		}
		if err := report.Read(log); err != nil {
			t.Fatal(err)
		}
	}
	var text strings.Builder
	if err := report.Write(&text, false); err != nil {
		t.Fatal(err)
	}
	want := `recovery of destination 4
  0.000 n2 suspected -> recovering: GOOD, 3 calls before; 0.500 calls/s of 1.250/s
  1.000 n1 suspected -> recovering: GOOD, 3 calls before; 0.500 calls/s of 1.250/s
`
	if !strings.Contains(text.String(), want) {
		t.Errorf("the report has:\n%s", text.String())
	}
}
