package platform

import (
	"errors"
	"strconv"
	"time"

	"brackendale/internal/admission"
	"brackendale/internal/eventlog"
	"brackendale/internal/failpoint"
	"brackendale/internal/net/failure"
	"brackendale/internal/net/http1"
	"brackendale/internal/timers"
	"brackendale/sender"
)

// minTimeoutUs is the shortest timeout of a call, in microseconds.
const minTimeoutUs = 1000

// A response that has arrived when its call is aborted still counts, and may carry a Retry-After. The
// abort is therefore delayed by abortDelay, at most maxAbortDelays times, until the response was read.
const (
	maxAbortDelays = 40
	abortDelay     = time.Millisecond
)

// errNoDescriptor ends a call whose connection would exceed the descriptor budget for endpoints.
var errNoDescriptor = errors.New("platform: the descriptor budget for endpoint connections is used up")

// call is one HTTP request in flight. It carries one attempt, or several as a bundle.
type call struct {
	egress    *Egress
	route     sender.Route
	attempts  []sender.Attempt
	admission admission.Attempt
	exchange  *exchange

	timer        timers.Timer   // fires at the call's timeout
	abortOutcome sender.Outcome // the outcome to report if the call is aborted
	abortDelays  int            // how many times an abort may still be delayed
	canceled     []string       // message IDs of canceled attempts
}

// admit returns nil if the call may be written now. It returns errUnread while a response of the same
// route has arrived but was not read, since that response may carry a Retry-After.
func (c *call) admit() error {
	failpoint.Reach(failpoint.BeforeAdmission)
	if c.egress.Gate.Admit(c.admission, c.egress.core.Now()) != admission.Admitted {
		return errNotAdmitted
	}
	for i := range c.attempts {
		if !c.exchange.begun() && !c.attempts[i].MayLeave() {
			return errNotAdmitted
		}
	}
	if c.exchange.conn.HasPendingInput() {
		return errUnread
	}
	for other := range c.egress.callsOfRoute(c.egress.Gate.RouteName(c.route.Endpoint)) {
		if other != c && other.exchange.begun() && other.exchange.conn.HasPendingInput() {
			return errUnread
		}
	}
	return nil
}

// request returns the HTTP request as pieces that are written one after the other.
func (c *call) request(timeoutUs int64) [][]byte {
	head := make([]byte, 0, 256)
	if len(c.attempts) == 1 {
		attempt := c.attempts[0]
		head = append(head, "POST /events HTTP/1.1\r\nHost: "...)
		head = append(head, c.route.Dial...)
		head = append(head, "\r\nReq-Id: "...)
		head = append(head, attempt.ID...)
		if attempt.Key != "" {
			head = append(head, "\r\nIdempotency-Key: "...)
			head = append(head, attempt.Key...)
		}
		return [][]byte{appendCommonHeaders(head, timeoutUs, len(attempt.Body)), attempt.Body}
	}
	head = append(head, "POST /events/bundle HTTP/1.1\r\nHost: "...)
	head = append(head, c.route.Dial...)
	pieces, size := [][]byte{nil}, 0
	for _, attempt := range c.attempts {
		key := attempt.Key
		if key == "" {
			key = "-"
		}
		line := []byte(attempt.ID + " " + key + " " + strconv.Itoa(len(attempt.Body)) + "\r\n")
		pieces = append(pieces, line, attempt.Body, crlf)
		size += len(line) + len(attempt.Body) + len(crlf)
	}
	pieces[0] = appendCommonHeaders(head, timeoutUs, size)
	return pieces
}

var crlf = []byte("\r\n")

// appendCommonHeaders appends the headers that single and bundled requests share, and ends the head.
func appendCommonHeaders(head []byte, timeoutUs int64, size int) []byte {
	head = append(head, "\r\nReq-Deadline-Ms: "...)
	head = strconv.AppendInt(head, max(1, timeoutUs/1000), 10)
	head = append(head, "\r\nContent-Length: "...)
	head = strconv.AppendInt(head, int64(size), 10)
	return append(head, "\r\nConnection: close\r\n\r\n"...)
}

// recordSent counts and records the attempts once the call's last byte was sent.
func (c *call) recordSent() {
	c.egress.core.CountAttempts(len(c.attempts))
	c.recordAttempts(eventlog.Event{Kind: eventlog.Sent, Class: c.attempts[0].Class})
	if c.admission.StartBy != 0 {
		c.egress.reactor.After(c.admission.StartBy.Sub(c.egress.core.Now())+windowGrace, c.abortUntaken)
	}
}

// windowGrace is how long after its idempotency window a call may still arrive: the platform's time limits on sockets
// are 50 ms longer.
const windowGrace = 45 * time.Millisecond

// recordLeft tells the guard that bytes of the attempts were written.
func (c *call) recordLeft() {
	for i := range c.attempts {
		c.attempts[i].Left()
	}
}

// abortUntaken gives up the call if it is out and its endpoint has not taken it whole: the last byte must not arrive
// from now on. It may have run, as far as this sender knows.
func (c *call) abortUntaken() {
	isOut := c.egress.calls[c.attempts[0].ID] == c && c.exchange.begun()
	if isOut && !c.exchange.conn.Taken(c.exchange.conn.StreamOffset()) {
		c.recordAbandoned()
		c.exchange.fail(errNotAdmitted)
	}
}

// recordAttempts records an event for each attempt of the call.
func (c *call) recordAttempts(event eventlog.Event) {
	events := c.egress.core.Events()
	if !events.Enabled() {
		return
	}
	event.Endpoint, event.Connection = c.route.Addr, c.exchange.number
	for _, attempt := range c.attempts {
		event.Message, event.Attempt = attempt.ID, attempt.Number
		if event.Class != "" {
			event.Class, event.Destination = attempt.Class, c.route.Destination
			event.Effect = string(attempt.Effect)
		}
		events.Record(event)
	}
}

// recordEnd records how the call ended.
func (c *call) recordEnd(response *http1.Response, err error) {
	if err == nil {
		c.recordAttempts(eventlog.Event{
			Kind: eventlog.Answered, Status: response.Status, Bytes: len(response.Body),
			WaitMs: response.MaxNumber(backoffHeader),
		})
		return
	}
	c.recordAttempts(eventlog.Event{Kind: eventlog.Unanswered, Reason: err.Error()})
}

// abort ends the call with an outcome. It is delayed while the call's response has arrived unread.
func (c *call) abort(outcome sender.Outcome) {
	if c.egress.calls[c.attempts[0].ID] != c {
		return
	}
	if c.exchange.begun() && c.abortDelays > 0 && c.exchange.conn.HasPendingInput() && c.exchange.conn.UnsentBytes() == 0 {
		c.abortDelays--
		c.egress.reactor.Arm(&c.timer, abortDelay, 0, timers.Func(func() { c.abort(outcome) }))
		return
	}
	c.abortOutcome = outcome
	c.recordAbandoned()
	c.exchange.abort()
}

// Whether all bytes of an attempt were sent when it was given up.
const (
	abandonedSent   = "all bytes were sent"
	abandonedUnsent = "bytes were unsent"
)

// AbandonReasons returns the states of the bytes of attempts that are given up, as they are recorded.
func AbandonReasons() []string { return []string{abandonedSent, abandonedUnsent} }

// recordAbandoned records that the call is given up after its first byte was written. Bytes count as unsent until the
// endpoint's machine has acknowledged them.
func (c *call) recordAbandoned() {
	if !c.exchange.begun() {
		return
	}
	event := eventlog.Event{
		Kind: eventlog.Abandoned, Message: c.attempts[0].ID, Attempt: c.attempts[0].Number, Endpoint: c.route.Addr,
		Connection: c.exchange.number, Bytes: c.exchange.conn.UnsentBytes(), Reason: abandonedSent,
	}
	if event.Bytes > 0 {
		event.Reason = abandonedUnsent
	}
	c.egress.core.Events().RecordCounted(event, len(c.attempts))
}

// finish reports the results of the call's attempts. With an error, response holds what was parsed before it, or is
// nil if there was no connection.
func (c *call) finish(response *http1.Response, err error) {
	c.egress.reactor.Disarm(&c.timer)
	c.recordEnd(response, err)
	for _, attempt := range c.attempts {
		delete(c.egress.calls, attempt.ID)
	}
	if c.exchange.connected {
		c.egress.pathFailures.reset(c.route.Addr)
	}
	var (
		shared         sender.AttemptResult // the fields that are equal for all attempts
		bundleStatuses map[string]string    // by message ID; nil unless the response lists them
	)
	if err != nil {
		shared = c.failedResult(response, err)
	} else {
		shared = c.parseResponse(response)
		if response.Status == statusOK && len(c.attempts) > 1 {
			bundleStatuses = c.parseBundle(response.Body, response.EndedByClose)
		}
	}
	c.egress.applyRetryAfter(c.route, shared)
	c.egress.core.ReportAttempts(c.attemptResults(shared, bundleStatuses)...)
}

// failedResult returns the result of a call that ended with an error. A Retry-After in the head of its
// response applies even if the rest of the response did not arrive.
func (c *call) failedResult(response *http1.Response, err error) sender.AttemptResult {
	result := sender.AttemptResult{Endpoint: c.route.Addr, Outcome: c.failedOutcome(response, err)}
	if response != nil {
		result.RetryAfterMs = response.MaxNumber(backoffHeader)
	}
	return result
}

// failedOutcome returns the outcome of a call that ended with an error.
func (c *call) failedOutcome(response *http1.Response, err error) sender.Outcome {
	switch {
	case !c.exchange.sent(): // the endpoint cannot have run an incomplete request
		if c.endpointBlameless(err) {
			return sender.OutcomeNotSent
		}
		return sender.OutcomeConnectFailed
	case response != nil && response.Status == statusOK && len(c.attempts) == 1:
		return sender.OutcomeSuccess // the status line suffices
	case errors.Is(err, errAborted):
		return c.abortOutcome
	case errors.Is(err, http1.ErrHead), errors.Is(err, http1.ErrBody), errors.Is(err, errStalled):
		return sender.OutcomeFailed // a malformed response: it may have run, and the connection did not fail
	default:
		return sender.OutcomeReset
	}
}

// attemptResults returns the result of each attempt: the shared result, with the outcome that
// bundleStatuses has for the attempt unless that is nil.
func (c *call) attemptResults(
	shared sender.AttemptResult, bundleStatuses map[string]string,
) []sender.AttemptResult {
	results := make([]sender.AttemptResult, 0, len(c.attempts))
	for _, attempt := range c.attempts {
		result := shared
		result.ID, result.Attempt = attempt.ID, attempt.Number
		if bundleStatuses != nil {
			result.Outcome, result.Final = bundleOutcome(bundleStatuses[attempt.ID])
			if result.Outcome == "" {
				result.Outcome = sender.OutcomeFailed // malformed response
			}
		}
		results = append(results, result)
	}
	return results
}

// endpointBlameless reports whether a call that was not sent failed for a reason that proves nothing
// about its endpoint. It counts failures by a missing network path.
func (c *call) endpointBlameless(err error) bool {
	if errors.Is(err, errNoDescriptor) || errors.Is(err, errNotAdmitted) {
		return true
	}
	if c.exchange.connected {
		return failure.Classify(failure.Write, err).Origin != failure.Peer
	}
	switch failure.Classify(failure.Connect, err).Origin {
	case failure.Machine:
		return true
	case failure.Path:
		return c.egress.pathFailures.record(c.route.Addr)
	default:
		return false
	}
}
