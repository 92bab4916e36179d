package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"strings"
	"time"
)

// client submits messages on connections that it keeps open. It is not safe for concurrent use.
type client struct {
	simulation  *simulation
	number      int
	rng         *rand.Rand
	conn        net.Conn
	reader      *bufio.Reader
	unused      bool // no request was sent on the connection yet
	submitCount int
}

// pong is the reply to PING.
const pong = "+PONG\r\n"

// encodeCommand encodes a RESP command.
func encodeCommand(args ...string) string {
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(arg), arg)
	}
	return text.String()
}

// run submits messages until ctx ends, sometimes several at once.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		count := 1
		if c.rng.Intn(10) == 0 {
			count = 2 + c.rng.Intn(4)
		}
		if c.connect(ctx) {
			c.submit(count)
		}
		c.pause(ctx, time.Duration(10+c.rng.Intn(90))*time.Millisecond)
		if c.rng.Intn(200) == 0 { // longer than the sender keeps idle connections
			c.pause(ctx, 2500*time.Millisecond)
		}
	}
	c.drop()
}

func (c *client) pause(ctx context.Context, duration time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(duration):
	}
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) connect(ctx context.Context) bool {
	if c.conn != nil {
		return true
	}
	conn, err := (&net.Dialer{Timeout: replyTimeout}).DialContext(ctx, "tcp", c.simulation.clientAddr())
	if err != nil {
		return false
	}
	c.conn, c.reader, c.unused = conn, bufio.NewReader(conn), true
	return true
}

// submit submits count messages at once and reads their replies.
func (c *client) submit(count int) {
	var messages []*message
	var text strings.Builder
	for range count {
		msg := c.simulation.newMessage(fmt.Sprintf("c%d-%d", c.number, c.submitCount), c.rng)
		c.submitCount++
		messages = append(messages, msg)
		remainingMs := time.Until(msg.deadline).Milliseconds()
		text.WriteString(encodeCommand("SUBMIT", "0", msg.id,
			fmt.Sprintf("c=%s,t=x,d=%d,dest=%d,k=%s", msg.class, remainingMs, msg.dest, msg.key), msg.body))
		c.simulation.judge.submitted(msg)
	}
	submittedAt := time.Now()
	unused := c.unused
	c.unused = false
	_ = c.conn.SetDeadline(time.Now().Add(replyTimeout))
	encoded := text.String()
	split := len(encoded)
	if c.rng.Intn(8) == 0 { // written in two parts
		split = c.rng.Intn(len(encoded))
	}
	_, err := io.WriteString(c.conn, encoded[:split])
	if err == nil && split < len(encoded) {
		time.Sleep(time.Duration(c.rng.Intn(20)) * time.Millisecond)
		_, err = io.WriteString(c.conn, encoded[split:])
	}
	sent := err == nil
	halfClosed := sent && c.simulation.links.halfClose(c.conn, c.rng)
	for i, msg := range messages {
		line := ""
		if err == nil {
			line, err = c.reader.ReadString('\n')
		}
		var netErr net.Error
		isNetErr := errors.As(err, &netErr)
		switch {
		case err == nil && strings.HasPrefix(line, "+"):
			msg.transit = c.simulation.links.transit(c.conn, submittedAt)
			c.simulation.judge.recordReply(msg, accepted)
		case err == nil && strings.HasPrefix(line, "-BUSY"):
			c.simulation.judge.recordReply(msg, refused)
		case err == nil:
			c.simulation.judge.recordReply(msg, failed)
		case isNetErr && netErr.Timeout() || !sent || i > 0 && !halfClosed || c.simulation.links.clientFaulty(c.conn):
			c.simulation.judge.recordReply(msg, withdrawn) // the reply timed out, or the message was not sent completely
		default:
			c.simulation.judge.recordConnectionLost(msg, unused)
		}
	}
	if err != nil || halfClosed {
		c.drop()
	}
}

// badInputs are malformed, incomplete or invalid commands, and an empty one.
var badInputs = []string{
	"*3\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n", "*1\r\n$-7\r\n", "*999999999\r\n", "$60000000\r\nx", strings.Repeat("x", 70000),
	"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\nzz\r\n$22\r\nc=none,t=x,d=900,dest=1\r\n$1\r\nb\r\n", "GET / HTTP/1.1\r\n\r\n",
	encodeCommand("SUBMIT", "0", "bad", "c=safe,t=x,d=soon,dest=1", "b"),
	encodeCommand("SUBMIT", "0", "bad", "c=safe,t=x,d=900,dest=99", "b"), "",
}

// badClient sends a malformed or incomplete command and keeps the connection open: the sender must reply with an
// error or close it within badClientTimeout.
func (s *simulation) badClient(input string) {
	startTime := time.Now()
	conn, err := net.DialTimeout("tcp", s.listen, replyTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, input)
	_ = conn.SetReadDeadline(startTime.Add(badClientTimeout + slack))
	line, err := bufio.NewReader(conn).ReadString('\n')
	var netErr net.Error
	isNetErr := errors.As(err, &netErr)
	s.judge.mu.Lock()
	defer s.judge.mu.Unlock()
	if s.judge.down(time.Now(), badClientTimeout) || s.judge.down(startTime, badClientTimeout) {
		return
	}
	if strings.HasPrefix(line, "+") {
		s.judge.violate("bad client: %.30q was taken on", input)
	} else if isNetErr && netErr.Timeout() {
		s.judge.violate("bad client: %.30q from %v got neither an error nor a close since %.3f", input, conn.LocalAddr(),
			s.judge.seconds(startTime))
	}
	s.judge.counts["bad clients"]++
}
