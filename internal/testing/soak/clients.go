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

// client submits messages, on connections that it keeps. One goroutine uses it.
type client struct {
	world  *world
	number int
	rng    *rand.Rand
	conn   net.Conn
	in     *bufio.Reader
	fresh  bool // nothing was asked on the connection yet
	sent   int
}

// pong is the reply to PING.
const pong = "+PONG\r\n"

func command(words ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "*%d\r\n", len(words))
	for _, x := range words {
		fmt.Fprintf(&b, "$%d\r\n%s\r\n", len(x), x)
	}
	return b.String()
}

// run submits messages until ctx ends, some of them several at once.
func (c *client) run(ctx context.Context) {
	for ctx.Err() == nil {
		n := 1
		if c.rng.Intn(10) == 0 {
			n = 2 + c.rng.Intn(4)
		}
		if c.connect(ctx) {
			c.submit(n)
		}
		c.pause(ctx, time.Duration(10+c.rng.Intn(90))*time.Millisecond)
		if c.rng.Intn(200) == 0 { // some stay away for longer than connections are kept
			c.pause(ctx, 2500*time.Millisecond)
		}
	}
	c.drop()
}

func (c *client) pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
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
	conn, err := (&net.Dialer{Timeout: answerWait}).DialContext(ctx, "tcp", c.world.listen)
	if err != nil {
		return false
	}
	c.conn, c.in, c.fresh = conn, bufio.NewReader(conn), true
	return true
}

// submit submits so many messages at once and reads their replies.
func (c *client) submit(count int) {
	var list []*message
	var text strings.Builder
	for range count {
		m := c.world.message(fmt.Sprintf("c%d-%d", c.number, c.sent), c.rng)
		c.sent++
		list = append(list, m)
		d := time.Until(m.deadline).Milliseconds()
		text.WriteString(command("SUBMIT", "0", m.id,
			fmt.Sprintf("c=%s,t=x,d=%d,dest=%d,k=%s", m.class, d, m.dest, m.key), m.body))
		c.world.judge.submitted(m)
	}
	fresh := c.fresh
	c.fresh = false
	_ = c.conn.SetDeadline(time.Now().Add(answerWait))
	raw := text.String()
	cut := len(raw)
	if c.rng.Intn(8) == 0 { // in two pieces
		cut = c.rng.Intn(len(raw))
	}
	_, err := io.WriteString(c.conn, raw[:cut])
	if err == nil && cut < len(raw) {
		time.Sleep(time.Duration(c.rng.Intn(20)) * time.Millisecond)
		_, err = io.WriteString(c.conn, raw[cut:])
	}
	whole := err == nil
	for i, m := range list {
		line := ""
		if err == nil {
			line, err = c.in.ReadString('\n')
		}
		var netErr net.Error
		isNet := errors.As(err, &netErr)
		switch {
		case err == nil && strings.HasPrefix(line, "+"):
			c.world.judge.recordReply(m, accepted)
		case err == nil && strings.HasPrefix(line, "-BUSY"):
			c.world.judge.recordReply(m, refused)
		case err == nil:
			c.world.judge.recordReply(m, failed)
		case isNet && netErr.Timeout() || !whole || i > 0:
			c.world.judge.recordReply(m, withdrawn) // it waited for too long, or never sent it whole
		default:
			c.world.judge.recordCut(m, fresh)
		}
	}
	if err != nil {
		c.drop()
	}
}

// badText is what bad clients send.
var badText = []string{
	"*3\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n", "*1\r\n$-7\r\n", "*999999999\r\n", "$60000000\r\nx", strings.Repeat("x", 70000),
	"*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$2\r\nzz\r\n$22\r\nc=none,t=x,d=900,dest=1\r\n$1\r\nb\r\n", "GET / HTTP/1.1\r\n\r\n",
	command("SUBMIT", "0", "bad", "c=safe,t=x,d=soon,dest=1", "b"),
	command("SUBMIT", "0", "bad", "c=safe,t=x,d=900,dest=99", "b"), "",
}

// bad is a client that sends what cannot be read, or half of something, and stays: the sender must
// answer an error or close.
func (w *world) bad(text string) {
	began := time.Now()
	conn, err := net.DialTimeout("tcp", w.listen, answerWait)
	if err != nil {
		return
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, text)
	_ = conn.SetReadDeadline(began.Add(badClientDue + slack))
	line, err := bufio.NewReader(conn).ReadString('\n')
	var netErr net.Error
	isNet := errors.As(err, &netErr)
	w.judge.mu.Lock()
	defer w.judge.mu.Unlock()
	if w.judge.down(time.Now(), badClientDue) || w.judge.down(began, badClientDue) {
		return
	}
	if strings.HasPrefix(line, "+") {
		w.judge.violate("bad client: %.30q was taken on", text)
	} else if isNet && netErr.Timeout() {
		w.judge.violate("bad client: %.30q got neither an error nor a close", text)
	}
	w.judge.counts["bad clients"]++
}
