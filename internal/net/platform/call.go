package platform

import (
	"errors"
	"strconv"
	"time"

	"brackendale/internal/admission"
	"brackendale/internal/failpoint"
	"brackendale/internal/net/failure"
	"brackendale/internal/net/http1"
	"brackendale/internal/timers"
	"brackendale/sender"
)

// minTimeoutUs is the shortest timeout of a call, in microseconds.
const minTimeoutUs = 1000

// A response that has arrived by the time its call is aborted counts, and may carry a Retry-After:
// the abort is put off, at most maxExtensions times, until it is read.
const (
	maxExtensions = 40
	extensionTime = time.Millisecond
)

// errNoDescriptor ends a call for which there is no descriptor within the budget.
var errNoDescriptor = errors.New("platform: no descriptor is left for targets")

// call is one HTTP request in flight, with one attempt or a bundle of them.
type call struct {
	egress    *Egress
	route     sender.Route
	attempts  []sender.Attempt
	admission admission.Attempt
	link      *link

	timer        timers.Timer   // the call's timeout
	abortOutcome sender.Outcome // reported if the call is aborted
	extensions   int            // how often an abort may still be put off
	canceled     []string       // IDs of canceled attempts
}

// admit tells whether the call may be written now. A response of the same route that has arrived
// but was not read yet may carry a Retry-After: it is read first.
func (c *call) admit() error {
	failpoint.Reach(failpoint.BeforeAdmission)
	if c.egress.Gate.Admit(c.admission, c.egress.core.Now()) != admission.Admitted {
		return errNotAdmitted
	}
	if c.link.conn.HasPendingInput() {
		return errUnread
	}
	for other := range c.egress.callsOfRoute(c.egress.Gate.RouteName(c.route.Endpoint)) {
		if other != c && other.link.requestStarted && other.link.conn.HasPendingInput() {
			return errUnread
		}
	}
	return nil
}

// request returns the pieces of the HTTP request, to be written one after the other.
func (c *call) request(limitUs int64) [][]byte {
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
		return [][]byte{appendCommonHeaders(head, limitUs, len(attempt.Body)), attempt.Body}
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
	pieces[0] = appendCommonHeaders(head, limitUs, size)
	return pieces
}

var crlf = []byte("\r\n")

// appendCommonHeaders ends a request's head with the headers that both kinds of request have.
func appendCommonHeaders(head []byte, limitUs int64, size int) []byte {
	head = append(head, "\r\nReq-Deadline-Ms: "...)
	head = strconv.AppendInt(head, max(1, limitUs/1000), 10)
	head = append(head, "\r\nContent-Length: "...)
	head = strconv.AppendInt(head, int64(size), 10)
	return append(head, "\r\n\r\n"...)
}

// abort ends the call with an outcome, unless its response is about to be read.
func (c *call) abort(outcome sender.Outcome) {
	if c.egress.calls[c.attempts[0].ID] != c {
		return
	}
	if c.link.requestStarted && c.extensions > 0 && c.link.conn.HasPendingInput() {
		c.extensions--
		c.egress.reactor.Arm(&c.timer, extensionTime, 0, timers.Func(func() { c.abort(outcome) }))
		return
	}
	c.abortOutcome = outcome
	c.link.abort()
}

// finish reports the results of the call's attempts. The response is not nil with an error, too,
// if there was a connection; it then holds what was parsed.
func (c *call) finish(response *http1.Response, err error) {
	c.egress.reactor.Disarm(&c.timer)
	for _, attempt := range c.attempts {
		delete(c.egress.calls, attempt.ID)
	}
	if c.link.connected {
		c.egress.paths.reset(c.route.Addr)
	}
	var (
		shared      sender.AttemptResult // what all attempts of the call have in common
		bundleLines map[string]string
	)
	if err != nil {
		shared = c.failedResult(response, err)
	} else {
		shared = c.parseResponse(response)
		if response.Status == statusOK && len(c.attempts) > 1 {
			bundleLines = c.parseBundle(response.Body, response.Ended)
		}
	}
	c.egress.applyRetryAfter(c.route, shared)
	c.egress.core.ReportAttempts(c.attemptResults(shared, bundleLines)...)

	unused := errors.Is(err, errNotAdmitted) && !c.link.requestStarted
	if unused || err == nil && !response.Close {
		reusable, addr := c.link, c.route.Addr
		reusable.onReusable = func() { c.egress.release(addr, reusable) }
	}
}

// failedResult is the result of a call that ended with an error. A Retry-After in the head of its
// response applies even if the rest of the response did not arrive.
func (c *call) failedResult(response *http1.Response, err error) sender.AttemptResult {
	result := sender.AttemptResult{Endpoint: c.route.Addr, Outcome: c.failedOutcome(response, err)}
	if response != nil {
		result.RetryAfterMs = response.Longest(backoffHeader)
	}
	return result
}

func (c *call) failedOutcome(response *http1.Response, err error) sender.Outcome {
	switch {
	case !c.link.sent(): // nothing has run: the connection is closed and the request incomplete
		if c.endpointBlameless(err) {
			return sender.OutcomeNotSent
		}
		return sender.OutcomeConnectFailed
	case response != nil && response.Status == statusOK && len(c.attempts) == 1:
		return sender.OutcomeSuccess // the status line is enough
	case errors.Is(err, errAborted):
		return c.abortOutcome
	case errors.Is(err, http1.ErrHead), errors.Is(err, http1.ErrBody), errors.Is(err, errStalled):
		return sender.OutcomeFailed // malformed: it may have run, and the connection is not to blame
	default:
		return sender.OutcomeReset
	}
}

// attemptResults gives each attempt its result: the shared one, or for a bundle (bundleLines not
// nil) the outcome that the response has for it.
func (c *call) attemptResults(
	shared sender.AttemptResult, bundleLines map[string]string,
) []sender.AttemptResult {
	results := make([]sender.AttemptResult, 0, len(c.attempts))
	for _, attempt := range c.attempts {
		result := shared
		result.ID, result.Attempt = attempt.ID, attempt.Number
		if bundleLines != nil {
			result.Outcome, result.Final = bundleOutcome(bundleLines[attempt.ID])
			if result.Outcome == "" {
				result.Outcome = sender.OutcomeFailed // malformed response
			}
		}
		results = append(results, result)
	}
	return results
}

// endpointBlameless tells whether the failure of a call that was not sent says nothing about its
// endpoint. A missing network path is counted.
func (c *call) endpointBlameless(err error) bool {
	if errors.Is(err, errNoDescriptor) || errors.Is(err, errNotAdmitted) {
		return true
	}
	if c.link.connected {
		return failure.Of(failure.Write, err).Blame != failure.Peer
	}
	switch failure.Of(failure.Connect, err).Blame {
	case failure.Machine:
		return true
	case failure.Path:
		return c.egress.paths.failed(c.route.Addr)
	default:
		return false
	}
}
