package soak

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"strings"
	"time"
)

// hangTime is how long an endpoint waits for the sender to give up a call that it does not answer.
const hangTime = 20 * time.Second

// garbage are answers that cannot be read.
var garbage = []string{
	"noise\r\n\r\n",
	"HTTP/1.1 2",
	"HTTP/1.1 500 F\r\nContent-Length: 9999999999999\r\n\r\n",
	"HTTP/1.1 500 F\r\nX: ",
}

// call is one call at an endpoint. One goroutine uses it.
type call struct {
	endpoint *endpoint
	conn     net.Conn
	in       *bufio.Reader
	items    []item
}

// answer answers the call by the endpoint's behavior; false ends its connection.
func (c *call) answer() bool {
	kind, random := c.endpoint.draw()
	if kind == refusing {
		return c.refuse(random)
	}
	c.recordMayRun()
	switch kind {
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
	case garbling:
		c.write("%s", garbage[random%len(garbage)])
		c.waitGone(hangTime)
		c.recordEnd(true)
		return false
	case hanging:
		c.waitGone(hangTime)
		c.recordEnd(true)
		return false
	case slow:
		if c.waitGone(time.Duration(200+random%1500) * time.Millisecond) {
			c.recordEnd(true)
			return false
		}
		c.recordMayRun()
	}
	return c.deliver()
}

// refuse answers 503, or 429 with a wait.
func (c *call) refuse(random int) bool {
	c.recordEnd(false)
	if random%3 == 0 {
		return c.write("HTTP/1.1 503 S\r\nContent-Length: 0\r\n\r\n")
	}
	wait := time.Duration(50+random%900) * time.Millisecond
	c.endpoint.judge.recordRetryAfter(c.endpoint.dest, wait)
	return c.write("HTTP/1.1 429 W\r\nX-Backoff-Ms: %d\r\nContent-Length: 0\r\n\r\n", wait.Milliseconds())
}

// deliver answers that each message is done, or void if it is over. A call of one message is answered
// by its status alone.
func (c *call) deliver() bool {
	single := len(c.items) == 1
	if single && c.items[0].gone {
		c.recordEnd(false)
		c.endpoint.judge.recordToldOver(c.items[0].id)
		return c.write("HTTP/1.1 410 G\r\nContent-Length: 0\r\n\r\n")
	}
	var results strings.Builder
	for _, x := range c.items {
		result := "done"
		if x.gone {
			result = "void"
			c.endpoint.judge.recordToldOver(x.id)
		}
		if !single {
			fmt.Fprintf(&results, "%s %s\r\n", x.id, result)
		}
	}
	c.recordEnd(true)
	if !c.write("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", results.Len(), results.String()) {
		return false
	}
	for _, x := range c.items {
		if !x.gone {
			c.endpoint.judge.recordDelivery(x.id)
		}
	}
	return true
}

// recordMayRun records that the messages may run from here on.
func (c *call) recordMayRun() {
	for _, x := range c.items {
		if !x.gone {
			c.endpoint.judge.recordMayRun(x.attempt)
		}
	}
}

// recordEnd records that the call is over.
func (c *call) recordEnd(mayRun bool) {
	for _, x := range c.items {
		c.endpoint.judge.recordCallEnd(x.attempt, mayRun && !x.gone)
	}
}

// write writes to the connection and reports whether that succeeded.
func (c *call) write(format string, args ...any) bool {
	_, err := fmt.Fprintf(c.conn, format, args...)
	return err == nil
}

// waitGone waits until the sender gives the call up, for at most so long, and reports whether it did.
func (c *call) waitGone(most time.Duration) bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(most))
	_, err := c.in.Peek(1)
	_ = c.conn.SetReadDeadline(time.Time{})
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	return err != nil && !timedOut
}
