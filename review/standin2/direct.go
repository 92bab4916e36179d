package main

import (
	"path/filepath"
	"time"
)

const directReplyTo = "amq.rabbitmq.reply-to"

// waitAMQP waits until the sender serves AMQP clients.
func (e *env) waitAMQP(p *proc, addr string) *client {
	var c *client
	if !waitFor(15*time.Second, func() (ok bool) {
		var err error
		c, err = dialAMQP(addr, 0)
		return err == nil || p.ended()
	}) || c == nil {
		e.finish(unable, "the sender does not serve AMQP")
	}
	return c
}

// directReply: a client publishes a charge with a direct reply-to, its connection drops while the answer is in flight,
// and it publishes the charge again, with the same message-id, from a new connection.
func directReply(e *env) {
	partner := newEndpoint(e)
	partner.setAnswer(func(string) (int, time.Duration) { return 200, 1500 * time.Millisecond })
	amqp := freeAddr()
	p := e.serve("sender", applianceConfig("sender", amqp, 16)+httpRoute("lab", 1, partner.addr), filepath.Join(e.dir, "state"))

	publishCharge := func(c *client, name string) error {
		return c.publish(1, "messages", "1", props{
			messageID: "charge-1", typ: "beamtime-charge", replyTo: directReplyTo, correlationID: name,
		}, []byte("400 EUR"))
	}
	// hand publishes the charge and waits for its confirm.
	hand := func(name string, c *client) {
		e.must(c.openChannel(1, true), "a channel")
		e.must(c.consume(1, directReplyTo, "answers", true), "consuming "+directReplyTo)
		e.must(publishCharge(c, name), "the publish")
		_ = c.conn.SetReadDeadline(time.Now().Add(3 * time.Second))
		m, err := c.next()
		e.must(err, "the confirm of "+name)
		if m.method != basicAck {
			e.finish(unable, "%s was not taken on", name)
		}
		e.log("%s: charge-1 published with reply-to %s, and confirmed with basic.ack", name, directReplyTo)
	}
	// answers counts the final answers that come within a time.
	answers := func(name string, c *client, limit time.Duration) (n int) {
		_ = c.conn.SetReadDeadline(time.Now().Add(limit))
		for {
			m, err := c.next()
			if err != nil {
				e.log("%s: no more: %v", name, err)
				return n
			}
			if m.method == basicDeliver && m.props.messageID == "charge-1" {
				n++
				e.log("%s: final answer %s, correlation-id %s, redelivered %v", name, m.props.typ, m.props.correlationID, m.again)
			}
		}
	}

	first := e.waitAMQP(p, amqp)
	hand("first connection", first)
	if !e.trouble {
		time.Sleep(500 * time.Millisecond)
		e.must(publishCharge(first, "again"), "the second publish")
		if n := answers("first connection", first, 5*time.Second); n != 1 {
			e.finish(broken, "the connection stayed, and the client got %d final answers", n)
		}
		e.finish(held, "one final answer; the charge ran %d times", partner.ran("charge-1"))
	}
	time.Sleep(300 * time.Millisecond)
	first.reset()
	e.log("first connection: dropped, while the charge is out")
	time.Sleep(200 * time.Millisecond)
	second := e.waitAMQP(p, amqp)
	hand("second connection", second)
	// The class's deadline is 28 s from the first publish, and the answer is due by then.
	n := answers("second connection", second, 32*time.Second)
	e.log("the partner ran the charge %d times", partner.ran("charge-1"))
	if n != 1 {
		e.finish(broken, "charge-1 was confirmed twice and ran %d times, and its client got %d final answers",
			partner.ran("charge-1"), n)
	}
	e.finish(held, "one final answer")
}
