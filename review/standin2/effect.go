package main

import (
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// effect: a charge is out when the sender is restarted as planned, with a file in which the charge's class has another
// effect: from now on clients give a key with each charge, and partners drop repeats by it.
func effect(e *env) {
	partner := newEndpoint(e)
	partner.setAnswer(func(string) (int, time.Duration) { return 200, 6 * time.Second })
	amqp, state := freeAddr(), filepath.Join(e.dir, "state")
	before := applianceConfig("sender", amqp, 16) + httpRoute("lab", 1, partner.addr)
	after := strings.Replace(before, "effect = \"once\"\n", "effect = \"by_key\"\nwindow_ms = 15000\n", 1)
	p := e.serve("sender", before, state)
	e.waitAMQP(p, amqp).reset()
	c, err := dialAMQP(amqp, 0)
	e.must(err, "the client")
	e.must(c.openChannel(1, true), "its channel")
	e.must(c.publish(1, "messages", "1", props{
		messageID: "charge-1", typ: "beamtime-charge", replyTo: "answers", correlationID: "1",
	}, []byte("400 EUR")), "the publish")
	_ = c.conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	m, err := c.next()
	e.must(err, "the confirm")
	if m.method != basicAck {
		e.finish(unable, "the charge was not taken on")
	}
	e.log("client: charge-1, of a class with effect once and with no key, is confirmed with basic.ack")
	if !waitFor(5*time.Second, func() bool { return partner.ran("charge-1") == 1 }) {
		e.finish(unable, "the partner has not got the charge")
	}
	time.Sleep(200 * time.Millisecond)
	p.signal(syscall.SIGTERM)
	e.log("sender: SIGTERM, while the charge is out")
	select {
	case <-p.done:
		e.log("sender: ended")
	case <-time.After(3700 * time.Millisecond):
		p.kill()
		e.log("sender: SIGKILL")
	}
	time.Sleep(600 * time.Millisecond)
	file := before
	if e.trouble {
		file = after
	}
	p = e.serve("sender", file, state)
	again := e.waitAMQP(p, amqp)
	e.must(again.openChannel(1, false), "the channel")
	e.must(again.consume(1, "answers", "ledger", false), "the consumer")
	_ = again.conn.SetReadDeadline(time.Now().Add(30 * time.Second))
	if m, err = again.next(); err != nil {
		e.log("client: no final answer: %v", err)
	} else {
		e.log("client: final answer %s for %s", m.props.typ, m.props.messageID)
	}
	if n := partner.ran("charge-1"); n > 1 {
		e.finish(broken, "the charge ran %d times", n)
	}
	e.finish(held, "the charge ran once")
}
