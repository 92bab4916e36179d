package amqpfront

import (
	"fmt"
	"testing"

	"brackendale/internal/net/amqp"
)

// dialTx opens a client with channel 1 in confirm mode and channel 2 with transactions.
func dialTx(t *testing.T, addr string) *testClient {
	t.Helper()
	client := dial(t, addr)
	client.writeMethod(2, amqp.ChanOpen, "")
	client.want(amqp.ChanOpenOk)
	client.writeMethod(2, amqp.TxSelect)
	client.want(amqp.TxSelectOk)
	return client
}

// publishInTx publishes on channel 2, which sends no reply until the commit.
func (c *testClient) publishInTx(id string) {
	props := &amqp.Props{MessageID: id, Type: "once", ReplyTo: "answers"}
	_, _ = c.Write(amqp.AppendMessage(nil, 2, amqp.Publish, props, []byte("body"), amqp.FrameMin, 0, "messages", "7",
		false, false))
}

// The publishes of a transaction take effect together at its commit. They have no effect after a rollback, or if the
// connection ends before the last byte of the commit.
func TestTxPublishes(t *testing.T) {
	broker := newBroker(t)
	addr, _ := start(t, t.TempDir(), broker)
	client := dialTx(t, addr)
	client.publishInTx("back")
	client.writeMethod(2, amqp.TxRollback)
	client.want(amqp.TxRollbackOk)
	commit := amqp.AppendMethod(nil, 2, amqp.TxCommit)
	for cut := range commit {
		interrupted := dialTx(t, addr)
		interrupted.publishInTx(fmt.Sprint("cut", cut))
		_, _ = interrupted.Write(commit[:cut])
		_ = interrupted.Close()
	}
	client.publishInTx("a")
	client.publishInTx("b")
	client.writeMethod(2, amqp.TxCommit)
	client.want(amqp.TxCommitOk)
	client.consume()
	for range 2 {
		client.writeMethod(1, amqp.Ack, client.want(amqp.Deliver).Int(1), false)
	}
	if len(broker.applied) != 2 || broker.count("a") != 1 || broker.count("b") != 1 {
		t.Fatal(broker.applied)
	}
}

// A transaction that exceeds the sender's queue limit is rejected as a whole, and its channel is closed. So is one that
// exceeds the limit for transactions. Neither leaves anything in the queue.
func TestTxAllOrNone(t *testing.T) {
	broker := newBroker(t)
	addr, _ := start(t, t.TempDir(), broker)
	for _, n := range []int{101, maxTxMessages + 1} { // the sender's queue limit is 100 messages
		client := dialTx(t, addr)
		for i := range n {
			client.publishInTx(fmt.Sprint("m", i))
		}
		client.writeMethod(2, amqp.TxCommit)
		if msg := client.want(amqp.ChanClose); msg.Int(0) != amqp.PreconditionFailed {
			t.Fatal(msg.Int(0), msg.Str(1))
		}
		client.publish("after", "once") // the queue has as much room as before
		client.want(amqp.Ack)
	}
	if len(broker.applied) > 1 {
		t.Fatal(broker.applied)
	}
}

// An acknowledgement takes effect at its commit. After a rollback it can be sent again, and if its channel ends before
// the commit, the answer is delivered again.
func TestTxAcks(t *testing.T) {
	broker := newBroker(t)
	addr, _ := start(t, t.TempDir(), broker)
	client := dialTx(t, addr)
	client.publishInTx("m")
	client.writeMethod(2, amqp.TxCommit)
	client.want(amqp.TxCommitOk)
	consume := func(client *testClient) uint64 {
		client.writeMethod(2, amqp.Consume, 0, "answers", "me", false, false, false, false, amqp.Table{})
		client.want(amqp.ConsumeOk)
		return client.want(amqp.Deliver).Int(1)
	}
	tag := consume(client)
	for range 2 {
		client.writeMethod(2, amqp.Ack, tag, false)
		client.writeMethod(2, amqp.TxRollback)
		client.want(amqp.TxRollbackOk)
	}
	client.writeMethod(2, amqp.Ack, tag, false) // not committed
	client.writeMethod(2, amqp.ChanClose, 200, "", 0, 0)
	client.want(amqp.ChanCloseOk)
	client = dialTx(t, addr)
	tag = consume(client)
	client.writeMethod(2, amqp.Ack, tag, false)
	client.writeMethod(2, amqp.TxCommit)
	client.want(amqp.TxCommitOk)
	client.writeMethod(2, amqp.Ack, tag, false) // committed before: an unknown tag now
	client.want(amqp.ChanClose)
	client.writeMethod(1, amqp.Get, 0, "answers", false)
	if msg := client.want(amqp.ChanClose); msg.Int(0) != amqp.NotFound { // the queue was deleted with its last answer
		t.Fatal(msg.Int(0))
	}
}
