package platform

import (
	"bytes"
	"math"
	"slices"
	"strconv"

	"brackendale/internal/net/http1"
	"brackendale/sender"
)

// The HTTP statuses that have a special meaning in the platform's protocol.
const (
	statusOK                 = 200
	statusNoContent          = 204
	statusGone               = 410
	statusTooManyRequests    = 429
	statusServiceUnavailable = 503
	statusGatewayTimeout     = 504
)

const (
	backoffHeader    = "X-Backoff-Ms"  // Retry-After: for how many milliseconds nothing may be sent to the route
	egressFullHeader = "X-Egress-Full" // 1: all of the endpoint's connections are in use
	loadHeader       = "Srv-Load"      // a load report
)

// fullRetryAfterMs is the Retry-After, in milliseconds, of a response with egressFullHeader.
const fullRetryAfterMs = 1

// parseResponse translates a complete response into the result that the call's attempts share.
func (c *call) parseResponse(response *http1.Response) sender.AttemptResult {
	result := sender.AttemptResult{
		Endpoint:     c.route.Addr,
		Outcome:      sender.OutcomeFailed,
		RetryAfterMs: response.MaxNumber(backoffHeader),
		LoadReport:   c.egress.parseLoadReport(response),
	}
	switch response.Status {
	case statusOK:
		result.Outcome = sender.OutcomeSuccess
	case statusTooManyRequests:
		result.Outcome = sender.OutcomeRejected
	case statusServiceUnavailable:
		result.Outcome = sender.OutcomeRejected
		if response.Int(egressFullHeader) == 1 {
			result.Outcome, result.RetryAfterMs = sender.OutcomeNotSent, fullRetryAfterMs
		}
	case statusGatewayTimeout:
		result.Outcome = sender.OutcomeNotSent
	case statusGone:
		result.Outcome, result.Final = sender.OutcomeNotSent, true
	}
	return result
}

// parseBundle parses the lines of a bundle's response and returns the status of each message by its ID.
// The response must list each message of the call and no other, each with a known status; otherwise
// nothing in it is trusted and the map is empty. endedByClose reports that the body was delimited by the
// connection's end: then the last line must be complete.
func (c *call) parseBundle(body []byte, endedByClose bool) map[string]string {
	statuses := map[string]string{}
	for line := range bytes.Lines(body) {
		id, status, _ := bytes.Cut(bytes.TrimSpace(line), []byte{' '})
		outcome, _ := bundleOutcome(string(status))
		if outcome != "" {
			statuses[string(id)] = string(status)
		} else if len(id)+len(status) > 0 {
			return map[string]string{}
		}
	}
	mayBeTruncated := c.exchange.trailingData || endedByClose
	if len(statuses) != len(c.attempts) || mayBeTruncated && !bytes.HasSuffix(body, crlf) {
		return map[string]string{}
	}
	for _, attempt := range c.attempts {
		if statuses[attempt.ID] == "" {
			return map[string]string{}
		}
	}
	return statuses
}

// bundleOutcome translates a message's status in a bundle's response. The outcome is "" if the status is
// unknown.
func bundleOutcome(status string) (outcome sender.Outcome, final bool) {
	switch status {
	case "done":
		return sender.OutcomeSuccess, false
	case "busy":
		return sender.OutcomeRejected, false
	case "void":
		return sender.OutcomeNotSent, true
	case "used_up":
		return sender.OutcomeNotSent, false
	case "failed":
		return sender.OutcomeFailed, false // it may have run
	}
	return "", false
}

// parseLoadReport returns the values of a load report in the order of the settings. It returns nil if a
// field is missing or is not a finite number of at least 0: with a zero in its place, the endpoint would
// count as idle.
func (e *Egress) parseLoadReport(response *http1.Response) []float64 {
	const missing = -1
	raw := response.Get(loadHeader)
	if raw == nil || len(e.loadFields) == 0 {
		return nil
	}
	loads := make([]float64, len(e.loadFields))
	for i := range loads {
		loads[i] = missing
	}
	for pair := range bytes.SplitSeq(raw, []byte{','}) {
		name, value, _ := bytes.Cut(bytes.TrimSpace(pair), []byte{'='})
		i := slices.Index(e.loadFields, string(name))
		if i < 0 {
			continue
		}
		load, err := strconv.ParseFloat(string(value), 64)
		if err != nil || !(load >= 0) || math.IsInf(load, 1) { // not load < 0, which is false for NaN
			return nil
		}
		loads[i] = load
	}
	if slices.Contains(loads, missing) {
		return nil
	}
	return loads
}
