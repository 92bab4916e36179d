package amqpfront

import (
	"testing"

	"brackendale/internal/net/amqp"
)

// heldBroker is a broker that acks a publish once release is called.
func heldBroker(t *testing.T) (broker *testBroker, published <-chan bool, release func()) {
	t.Helper()
	broker = newBroker(t)
	arrived, released := make(chan bool, 9), make(chan bool)
	broker.publish = func(conn *frameConn, ch uint16, msg *amqp.Message, tag uint64) {
		broker.apply(msg)
		arrived <- true
		go func() {
			<-released
			conn.writeMethod(ch, amqp.Ack, tag, false)
		}()
	}
	return broker, arrived, func() { close(released) }
}

// withReplyTo returns a change of a publish that names its reply-to and correlation-id.
func withReplyTo(queue, correlation string) func(*amqp.Props) {
	return func(props *amqp.Props) { props.ReplyTo, props.CorrelationID = queue, correlation }
}

// consumeFrom starts a consumer of a queue on channel 1.
func (c *testClient) consumeFrom(queue string, noAck bool) {
	c.t.Helper()
	c.writeMethod(1, amqp.Consume, 0, queue, "", false, noAck, false, false, amqp.Table{})
	c.want(amqp.ConsumeOk)
}

// publishDirect publishes with direct reply-to and waits for the confirm.
func (c *testClient) publishDirect(id, correlation string) {
	c.t.Helper()
	c.publish(id, "once", withReplyTo(directReplyTo, correlation))
	c.want(amqp.Ack)
}

// wantCorrelation reads one final answer, which must be delivered with this correlation-id.
func (c *testClient) wantCorrelation(correlation string) (tag uint64) {
	c.t.Helper()
	msg := c.want(amqp.Deliver)
	if msg.Props.CorrelationID != correlation || msg.Props.Type != "delivered" {
		c.t.Fatalf("got %s for %q, want the answer for %q", msg.Props.Type, msg.Props.CorrelationID, correlation)
	}
	return msg.Int(1)
}

// wantNothing checks that no answer arrived before the reply to a later method.
func (c *testClient) wantNothing() {
	c.t.Helper()
	c.writeMethod(1, amqp.Qos, 0, 0, false)
	c.want(amqp.QosOk)
}

// waitForAnswers returns once the answers to earlier messages are queued: when that to a later one has arrived.
func waitForAnswers(t *testing.T, addr string) {
	t.Helper()
	client := dial(t, addr)
	client.consumeFrom(directReplyTo, true)
	client.publishDirect("later", "later")
	client.wantCorrelation("later")
}

// drop ends the connection and waits until the front has noticed.
func (c *testClient) drop() {
	c.t.Helper()
	c.writeMethod(0, amqp.ConnClose, 200, "", 0, 0)
	for _, _, err := c.next(); err == nil; _, _, err = c.next() {
	}
}

// A charge is published again from a new connection while it is in flight: the answer goes to the direct reply-to of
// the new connection (review/9), or of an earlier one if the new one has ended too.
func TestPublishedAgainByDirectReplyTo(t *testing.T) {
	for name, test := range map[string]struct {
		firstDrops, secondDrops bool
		want                    string
	}{
		"the first drops":   {firstDrops: true, want: "second"},
		"both ask and stay": {want: "second"},
		"the second drops":  {secondDrops: true, want: "first"},
	} {
		t.Run(name, func(t *testing.T) {
			broker, published, release := heldBroker(t)
			addr, _ := start(t, t.TempDir(), broker)
			clients := map[string]*testClient{}
			for _, id := range []string{"first", "second"} {
				clients[id] = dial(t, addr)
				clients[id].consumeFrom(directReplyTo, true)
				clients[id].publishDirect("m", id)
				if id == "first" {
					<-published
				}
				if id == "first" && test.firstDrops || id == "second" && test.secondDrops {
					clients[id].drop()
				}
			}
			release()
			if clients[test.want].wantCorrelation(test.want); broker.count("m") != 1 {
				t.Fatal("applied", broker.count("m"))
			}
		})
	}
}

// A charge has ended, and its answer was received by a connection that ended since, or by none: a client that publishes
// it again gets the answer, and the charge runs once.
func TestPublishedAgainAfterTheEnd(t *testing.T) {
	for name, heard := range map[string]bool{"heard": true, "not heard": false} {
		t.Run(name, func(t *testing.T) {
			broker, published, release := heldBroker(t)
			addr, _ := start(t, t.TempDir(), broker)
			first := dial(t, addr)
			first.consumeFrom(directReplyTo, true)
			first.publishDirect("m", "first")
			<-published
			if heard {
				release()
				first.wantCorrelation("first")
				first.drop()
			} else {
				first.drop()
				release()
				waitForAnswers(t, addr)
			}
			second := dial(t, addr)
			second.consumeFrom(directReplyTo, true)
			second.publish("m", "once", withReplyTo(directReplyTo, "second"))
			second.want(amqp.Ack)
			if second.wantCorrelation("second"); broker.count("m") != 1 {
				t.Fatal("applied", broker.count("m"))
			}
		})
	}
}

// An answer that waits in one queue goes to another one if its message is published again with that reply-to; also if
// it is unacknowledged: then the earlier acknowledgement does not count, and the earlier queue does not get it back.
func TestPublishedAgainWithAnotherQueue(t *testing.T) {
	for name, test := range map[string]struct {
		consumes bool
		end      func(first *testClient, tag uint64)
	}{
		"queued":                {},
		"unacknowledged":        {true, func(first *testClient, _ uint64) { first.drop() }},
		"acknowledged too late": {true, func(first *testClient, tag uint64) { first.writeMethod(1, amqp.Ack, tag, false) }},
		"requeued by its client": {true, func(first *testClient, tag uint64) {
			first.writeMethod(1, amqp.Reject, tag, true)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			broker, dir := newBroker(t), t.TempDir()
			addr, kill := start(t, dir, broker)
			first, second := dial(t, addr), dial(t, addr)
			var tag uint64
			if test.consumes {
				first.consumeFrom("one", false)
			}
			first.publish("m", "once", withReplyTo("one", "first"))
			first.want(amqp.Ack)
			if test.consumes {
				tag = first.wantCorrelation("first")
			} else {
				<-broker.props
			}
			second.publish("m", "once", withReplyTo("two", "second"))
			second.want(amqp.Ack)
			second.consumeFrom("two", false)
			second.wantCorrelation("second")
			if test.end != nil {
				test.end(first, tag)
			}
			third := dial(t, addr)
			third.consumeFrom("one", false)
			third.wantNothing()
			kill() // the answer is still owed to the second queue, and to no other
			addr, _ = start(t, dir, broker)
			second, third = dial(t, addr), dial(t, addr)
			third.consumeFrom("one", false)
			second.consumeFrom("two", false)
			second.wantCorrelation("second")
			if third.wantNothing(); broker.count("m") != 1 {
				t.Fatal("applied", broker.count("m"))
			}
		})
	}
}

// The channel that asked last ends, or cancels its consumer, while its answer waits for it: the answer goes to the one
// that asked before.
func TestAnswerGivenBackByItsChannel(t *testing.T) {
	for name, end := range map[string]func(second *testClient){
		"connection closed": (*testClient).drop,
		"connection lost":   func(second *testClient) { _ = second.Close() },
		"channel closed":    func(second *testClient) { second.writeMethod(1, amqp.ChanClose, 200, "", 0, 0) },
		"consumer canceled": func(second *testClient) { second.writeMethod(1, amqp.Cancel, "c1.0", false) },
	} {
		t.Run(name, func(t *testing.T) {
			broker := newBroker(t)
			addr, _ := start(t, t.TempDir(), broker)
			first, second := dial(t, addr), dial(t, addr)
			first.consumeFrom(directReplyTo, true)
			first.publishDirect("m", "first")
			first.wantCorrelation("first")
			second.consumeFrom(directReplyTo, true)
			second.writeMethod(1, amqp.ChanFlow, false)
			second.want(amqp.ChanFlowOk)
			first.writeMethod(1, amqp.ChanFlow, false)
			first.want(amqp.ChanFlowOk)
			first.publishDirect("n", "first")
			second.publishDirect("n", "second")
			second.wantNothing()
			waitForAnswers(t, addr)
			end(second)
			first.writeMethod(1, amqp.ChanFlow, true)
			first.want(amqp.ChanFlowOk)
			first.wantCorrelation("first")
		})
	}
}

// A transaction that publishes a known message again gets its answer, once it is committed.
func TestPublishedAgainInTransaction(t *testing.T) {
	broker := newBroker(t)
	addr, _ := start(t, t.TempDir(), broker)
	first, second := dial(t, addr), dial(t, addr)
	first.consumeFrom(directReplyTo, true)
	first.publishDirect("m", "first")
	first.wantCorrelation("first")
	second.writeMethod(1, amqp.ChanClose, 200, "", 0, 0)
	second.want(amqp.ChanCloseOk)
	second.writeMethod(1, amqp.ChanOpen, "")
	second.want(amqp.ChanOpenOk)
	second.writeMethod(1, amqp.TxSelect)
	second.want(amqp.TxSelectOk)
	second.consumeFrom(directReplyTo, true)
	second.publish("m", "once", withReplyTo(directReplyTo, "rolled back"))
	second.writeMethod(1, amqp.TxRollback)
	second.want(amqp.TxRollbackOk)
	second.wantNothing()
	second.publish("m", "once", withReplyTo(directReplyTo, "second"))
	second.writeMethod(1, amqp.TxCommit)
	second.want(amqp.TxCommitOk)
	if second.wantCorrelation("second"); broker.count("m") != 1 {
		t.Fatal("applied", broker.count("m"))
	}
}
