package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"brackendale/internal/testing/fleet"
)

// hangTime is how long an endpoint waits for the sender to abandon a call that gets no response.
const hangTime = 20 * time.Second

// malformedResponses are responses that a client cannot parse.
var malformedResponses = []string{
	"noise\r\n\r\n",
	"HTTP/1.1 2",
	"HTTP/1.1 500 F\r\nContent-Length: 9999999999999\r\n\r\n",
	"HTTP/1.1 500 F\r\nX: ",
}

// call is one call at an endpoint. It is not safe for concurrent use.
type call struct {
	endpoint *endpoint
	conn     net.Conn
	reader   *bufio.Reader
	items    []item
	relayed  *fleet.RelayedConn // nil: the connection is direct
}

// respond responds to the call by the endpoint's behavior. It returns false if the connection must end.
func (c *call) respond() bool {
	mode, random := c.endpoint.draw()
	if mode == busy {
		var abandoned bool
		if mode, abandoned = c.waitAsBusy(random); abandoned {
			c.recordMayRun()
			c.recordEnd(true)
			return false
		}
	}
	if mode == flaky {
		var abandoned bool
		if mode, abandoned = c.waitAsFlaky(random); abandoned {
			c.recordMayRun()
			c.recordEnd(true)
			return false
		}
	}
	if mode == refusing {
		return c.refuse(random)
	}
	c.recordMayRun()
	switch mode {
	case failing:
		c.recordEnd(true)
		return c.write("HTTP/1.1 500 F\r\nContent-Length: 0\r\n\r\n")
	case resetting:
		if random%2 == 0 {
			c.write("HTTP/1.1 20")
		}
		reset(c.conn)
		c.recordEnd(true)
		return false
	case malformed:
		c.write("%s", malformedResponses[random%len(malformedResponses)])
		c.waitAbandoned(hangTime)
		c.recordEnd(true)
		return false
	case hanging:
		c.waitAbandoned(hangTime)
		c.recordEnd(true)
		return false
	case slow:
		if c.waitAbandoned(time.Duration(200+random%1500) * time.Millisecond) {
			c.recordEnd(true)
			return false
		}
		c.recordMayRun()
	}
	return c.deliver()
}

// The answers of a busy endpoint, in percent of its calls, and when they come.
const (
	busyRefusedPercent = 12
	busyFailedPercent  = 3
	minBusyDelay       = 20 * time.Millisecond
	maxBusyDelay       = 120 * time.Millisecond
)

// waitAsBusy waits as a busy endpoint does, and returns how that endpoint responds, or whether the sender has closed
// the connection by then.
func (c *call) waitAsBusy(random int) (mode behavior, abandoned bool) {
	delay := minBusyDelay + time.Duration(random)*time.Microsecond%(maxBusyDelay-minBusyDelay)
	if c.waitAbandoned(delay) {
		return busy, true
	}
	switch percent := random % 100; {
	case percent < busyRefusedPercent:
		return refusing, false
	case percent < busyRefusedPercent+busyFailedPercent:
		return failing, false
	}
	return normal, false
}

// The answers of a flaky endpoint, in percent of its calls.
const (
	flakyHangPercent    = 8
	flakyRefusedPercent = 8
)

// waitAsFlaky waits as a flaky endpoint does before it answers, and returns how it responds, or whether the sender has
// closed the connection by then.
func (c *call) waitAsFlaky(random int) (mode behavior, abandoned bool) {
	percent := random % 100
	switch {
	case percent < flakyHangPercent:
		return hanging, false
	case percent < flakyHangPercent+flakyRefusedPercent:
		return refusing, false
	}
	delay := minBusyDelay + time.Duration(random)*time.Microsecond%(maxBusyDelay-minBusyDelay)
	return normal, c.waitAbandoned(delay)
}

// refuse responds with 503, or with 429 and a Retry-After.
func (c *call) refuse(random int) bool {
	c.recordEnd(false)
	if random%3 == 0 || c.mayLoseAnswer() { // a wait counts as told only if its answer arrives
		return c.write("HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n")
	}
	wait := time.Duration(50+random%900) * time.Millisecond
	cause := c.items[0].id + " on " + connectionName(c.conn, c.endpoint.name)
	answer := fmt.Sprintf("HTTP/1.1 429 W\r\nX-Backoff-Ms: %d\r\nContent-Length: 0\r\n\r\n", wait.Milliseconds())
	until := time.Now().Add(wait)
	record := func() { c.endpoint.judge.recordRetryAfter(c.endpoint.dest, until, cause) }
	if c.relayed == nil {
		record()
		return c.write("%s", answer)
	}
	written := c.write("%s", answer)
	c.relayed.WhenForwarded(len(answer), record)
	return written
}

// deliver responds that each message is done, or void if it is expired. The response to a call of one message
// has only a status.
func (c *call) deliver() bool {
	single := len(c.items) == 1
	if single && c.items[0].expired {
		c.recordEnd(false)
		c.endpoint.judge.recordRejectedAsExpired(c.items[0].id)
		return c.write("HTTP/1.1 410 G\r\nContent-Length: 0\r\n\r\n")
	}
	var results strings.Builder
	for _, item := range c.items {
		result := "done"
		if item.expired {
			result = "void"
			c.endpoint.judge.recordRejectedAsExpired(item.id)
		}
		if !single {
			fmt.Fprintf(&results, "%s %s\r\n", item.id, result)
		}
	}
	c.recordEnd(true)
	answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", results.Len(), results.String())
	if !c.write("%s", answer) {
		return false
	}
	delivers := strings.Index(answer, "\r\n") + len("\r\n")
	if !single {
		delivers = len(answer)
	}
	c.whenForwarded(delivers, func() {
		for _, item := range c.items {
			if !item.expired {
				c.endpoint.judge.recordDelivery(item.id)
			}
		}
	})
	return true
}

// recordMayRun records that the messages may have run from now on.
func (c *call) recordMayRun() {
	for _, item := range c.items {
		if !item.expired {
			c.endpoint.judge.recordMayRun(item.attempt)
		}
	}
}

// recordEnd records the end of the call, and whether its messages may have run.
func (c *call) recordEnd(mayRun bool) {
	for _, item := range c.items {
		c.endpoint.judge.recordCallEnd(item.attempt, mayRun && !item.expired)
	}
}

// write writes to the connection and reports whether that succeeded.
func (c *call) write(format string, args ...any) bool {
	text := fmt.Sprintf(format, args...)
	for _, item := range c.items {
		c.endpoint.judge.recordAnswer(item.attempt, statusOf(text))
	}
	_, err := io.WriteString(c.conn, text)
	return err == nil
}

// statusOf returns the status line of an answer up to the status code, for reports.
func statusOf(answer string) string { return answer[:min(len(answer), len("HTTP/1.1 200"))] }

// waitAbandoned waits up to timeout for the sender to close the connection, and reports whether it did.
func (c *call) waitAbandoned(timeout time.Duration) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(timeout))
	_, err := c.reader.Peek(1)
	_ = c.conn.SetReadDeadline(time.Time{})
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	return err != nil && !timedOut
}
