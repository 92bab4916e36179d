package trace

import (
	"bufio"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"brackendale/scheduler"
)

// maxLineBytes is the length of the longest line that Read accepts.
const maxLineBytes = 16 << 20

// Counters beside those of the outcomes. Their names are printed.
const (
	rejectedWithoutReport = "DOOR"  // rejected without a load report and without a Retry-After
	resultsWithRetryAfter = "waits" // results with a Retry-After
)

// Summary adds up the lines of any number of senders by destination and time interval.
type Summary struct {
	intervalUs   int64
	firstUs      int64                       // the earliest time that was counted; 0: none
	counts       map[int64]map[int64]*counts // by destination and interval
	destinations map[string]int64            // of requests and of endpoints
}

// counts holds the counters of one destination in one interval.
type counts struct {
	accepted int            // requests
	restored int            // those of the accepted requests that were restored at startup
	calls    int            // calls to endpoints, each of which may carry several messages
	rejected int            // requests
	failed   int            // requests
	results  map[string]int // of calls, by outcome
}

// NewSummary returns an empty summary by intervals of lengthUs microseconds, but at least 1.
func NewSummary(lengthUs int64) *Summary {
	return &Summary{intervalUs: max(1, lengthUs), counts: map[int64]map[int64]*counts{}, destinations: map[string]int64{}}
}

// RecordError reports a malformed record in a line.
type RecordError struct {
	Record string
	Line   string
}

// Error implements error.
func (e *RecordError) Error() string {
	return fmt.Sprintf("the word %q cannot be read in %q", e.Record, e.Line)
}

// Read adds the output of one sender. It skips lines that are not part of a trace. Its error is a *RecordError or the
// error of reading.
func (s *Summary) Read(in io.Reader) error {
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		_, line, ok := strings.Cut(scanner.Text(), linePrefix)
		fields := strings.Fields(line)
		if !ok || len(fields) < 2 {
			continue
		}
		timeUs, err := strconv.ParseInt(fields[0], 10, 64)
		if err != nil {
			continue // another line that contains the prefix
		}
		step := &stepReader{summary: s, timeUs: timeUs, calls: map[string]bool{}, results: map[string]bool{}}
		for _, record := range fields[2:] {
			if !step.readRecord(strings.Split(record, ":")) {
				return &RecordError{Record: record, Line: line}
			}
		}
	}
	return scanner.Err()
}

// countsAt returns the counters of a destination in the interval that contains a time.
func (s *Summary) countsAt(destination, timeUs int64) *counts {
	if s.firstUs == 0 || timeUs < s.firstUs {
		s.firstUs = timeUs
	}
	intervals := s.counts[destination]
	if intervals == nil {
		intervals = map[int64]*counts{}
		s.counts[destination] = intervals
	}
	interval := timeUs / s.intervalUs
	if intervals[interval] == nil {
		intervals[interval] = &counts{results: map[string]int{}}
	}
	return intervals[interval]
}

// Write prints a line for each destination and interval. Times are in seconds since the interval of the earliest line
// that was counted.
func (s *Summary) Write(out io.Writer) error {
	for _, destination := range slices.Sorted(maps.Keys(s.counts)) {
		intervals := s.counts[destination]
		for _, interval := range slices.Sorted(maps.Keys(intervals)) {
			counters := intervals[interval]
			sinceFirstUs := interval*s.intervalUs - s.firstUs/s.intervalUs*s.intervalUs
			line := fmt.Sprintf("dest %d  %7.1f s  in %d held %d calls %d back %d failed %d", destination,
				float64(sinceFirstUs)/1e6, counters.accepted, counters.restored, counters.calls, counters.rejected, counters.failed)
			for _, outcome := range slices.Sorted(maps.Keys(counters.results)) {
				line += fmt.Sprintf(" %s %d", outcome, counters.results[outcome])
			}
			if _, err := fmt.Fprintln(out, line); err != nil {
				return err
			}
		}
	}
	return nil
}

// stepReader counts the records of one line. All messages of one call to an endpoint are sent in one step and get their
// outcomes in one step, so that a call and its result are counted only once for a line.
type stepReader struct {
	summary *Summary
	timeUs  int64
	calls   map[string]bool // the calls that were counted, by endpoint
	results map[string]bool // the results that were counted, by endpoint and result
}

// readRecord counts one record. It returns false if the record is malformed.
func (r *stepReader) readRecord(fields []string) bool {
	count := len(fields)
	switch kind := fields[0]; {
	case kind == recordAccepted && count >= 6:
		return r.accepted(fields)
	case kind == recordAttemptStarted && count == 5:
		return r.attemptStarted(fields)
	case kind == recordAttemptFinished && count == 7:
		r.attemptFinished(fields)
	case kind == recordRejected && count >= 2:
		r.countsOfRequest(fields[1]).rejected++
	case kind == recordFailed && count >= 2:
		r.countsOfRequest(fields[1]).failed++
	case kind == recordEndpoints, kind == recordCanceled, kind == recordIdleClosed:
	default:
		return false
	}
	return true
}

// countsOfRequest returns the current counters of a request's destination.
func (r *stepReader) countsOfRequest(id string) *counts {
	return r.summary.countsAt(r.summary.destinations[id], r.timeUs)
}

func (r *stepReader) accepted(fields []string) bool {
	destination, err := strconv.ParseInt(fields[4], 10, 64)
	if err != nil {
		return false
	}
	r.summary.destinations[fields[1]] = destination
	counters := r.summary.countsAt(destination, r.timeUs)
	counters.accepted++
	if fields[len(fields)-1] == restoredField {
		counters.restored++
	}
	return true
}

func (r *stepReader) attemptStarted(fields []string) bool {
	destination, err := strconv.ParseInt(fields[3], 10, 64)
	if err != nil {
		return false
	}
	endpoint := fields[2]
	r.summary.destinations[endpoint] = destination
	if !r.calls[endpoint] {
		r.calls[endpoint] = true
		r.summary.countsAt(destination, r.timeUs).calls++
	}
	return true
}

func (r *stepReader) attemptFinished(fields []string) {
	endpoint, outcome, retryAfterMs, loadReport := fields[3], fields[4], fields[5], fields[6]
	hasRetryAfter := retryAfterMs != "0"
	if outcome == string(scheduler.OutcomeRejected) && loadReport == "" && !hasRetryAfter {
		outcome = rejectedWithoutReport
	}
	key := endpoint + outcome + retryAfterMs + loadReport
	if r.results[key] {
		return
	}
	r.results[key] = true
	counters := r.summary.countsAt(r.summary.destinations[endpoint], r.timeUs)
	counters.results[outcome]++
	if hasRetryAfter {
		counters.results[resultsWithRetryAfter]++
	}
}
