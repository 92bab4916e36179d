package main

import (
	"path/filepath"
	"time"
)

// channels: one connection has two consumers of its queue of answers, on two channels: one acknowledges, one needs no
// acknowledgement. The first has the answer to a charge, which it has not acknowledged yet, when the connection drops.
// The client comes back and consumes the queue.
func channels(e *env) {
	const queue = "answers"
	partner := newEndpoint(e)
	amqp := freeAddr()
	p := e.serve("sender", applianceConfig("sender", amqp, 16)+httpRoute("lab", 1, partner.addr), filepath.Join(e.dir, "state"))
	c := e.waitAMQP(p, amqp)
	e.must(c.openChannel(1, true), "channel 1")
	e.must(c.openChannel(2, false), "channel 2")
	e.must(c.consume(1, queue, "ledger", false), "the consumer that acknowledges")
	e.must(c.consume(2, queue, "display", true), "the consumer without acknowledgements")
	e.must(c.publish(1, "messages", "1", props{
		messageID: "charge-1", typ: "beamtime-charge", replyTo: queue, correlationID: "1",
	}, []byte("400 EUR")), "the publish")
	_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	for taken, answered := false, false; !taken || !answered; {
		m, err := c.next()
		e.must(err, "the confirm and the answer")
		switch m.method {
		case basicAck:
			taken = true
			e.log("charge-1 is confirmed with basic.ack")
		case basicDeliver:
			answered = true
			e.log("the consumer %q has the answer %s; it is not acknowledged yet", m.consumer, m.props.typ)
			if m.consumer != "ledger" {
				e.finish(unable, "the other consumer has the answer")
			}
		}
	}
	if e.trouble {
		c.reset()
		e.log("the connection drops")
	} else {
		time.Sleep(500 * time.Millisecond)
		c.ack(1, 1)
		e.finish(held, "the connection stays, and the client acknowledges its answer")
	}
	time.Sleep(500 * time.Millisecond)
	again := e.waitAMQP(p, amqp)
	e.must(again.openChannel(1, false), "the channel")
	e.must(again.consume(1, queue, "ledger", false), "the consumer")
	_ = again.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	m, err := again.next()
	if err != nil || m.method != basicDeliver {
		e.finish(broken, "nothing for the client that came back: %v", err)
	}
	e.finish(held, "the client that came back has the answer %s, redelivered %v", m.props.typ, m.again)
}
