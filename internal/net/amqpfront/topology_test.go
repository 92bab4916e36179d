package amqpfront

import (
	"testing"
	"time"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/sender"
)

// An exclusive queue is locked to all other connections (specification, section 1.7.2.1), and its owner can still use
// it. The other operations on exchanges and queues are tested by the conformance suite, whose test cases have one
// connection.
func TestExclusiveQueueOfAnotherConnection(t *testing.T) {
	addr, _ := start(t, t.TempDir(), newBroker(t))
	owner := dial(t, addr)
	owner.writeMethod(1, amqp.QueueDeclare, 0, "locked", false, false, true, false, false, amqp.Table{})
	owner.want(amqp.QueueDeclareOk)
	for method, args := range map[amqp.Key][]any{
		amqp.QueueDeclare: {0, "locked", true, false, false, false, false, amqp.Table{}},
		amqp.QueueDelete:  {0, "locked", false, false, false},
		amqp.QueuePurge:   {0, "locked", false},
		amqp.Get:          {0, "locked", false},
		amqp.Consume:      {0, "locked", "", false, false, false, false, amqp.Table{}},
	} {
		client := dial(t, addr)
		client.writeMethod(1, method, args...)
		if msg := client.want(amqp.ChanClose); msg.Int(0) != amqp.ResourceLocked ||
			amqp.Key(msg.Int(2)<<16|msg.Int(3)) != method {
			t.Fatal(method, msg.Int(0), msg.Str(1))
		}
	}
	owner.writeMethod(1, amqp.Get, 0, "locked", false)
	owner.want(amqp.GetEmpty)
}

// An answer is fetched with basic.get and requeued by basic.recover. It is fetched again, marked as redelivered, and
// dropped after its ack.
func TestGetAndRecover(t *testing.T) {
	broker := newBroker(t)
	addr, _ := start(t, t.TempDir(), broker)
	client := dial(t, addr)
	client.publish("m", "once")
	client.want(amqp.Ack)
	fetch := func() *amqp.Message {
		for {
			client.writeMethod(1, amqp.Get, 0, "answers", false)
			_, msg, err := client.next()
			if err != nil {
				t.Fatal(err)
			}
			if msg.Key == amqp.GetOk {
				return msg
			}
			time.Sleep(time.Millisecond) // the answer is not queued yet
		}
	}
	for len(broker.props) == 0 {
		time.Sleep(time.Millisecond)
	}
	client.writeMethod(1, amqp.QueueDeclare, 0, "answers", false, false, false, false, false, amqp.Table{})
	client.want(amqp.QueueDeclareOk)
	msg := fetch()
	if msg.Bool(1) || msg.Props.MessageID != "m" || msg.Props.Type != "delivered" || msg.Int(4) != 0 {
		t.Fatal(msg.Props, msg.Bool(1))
	}
	client.writeMethod(1, amqp.Recover, true)
	client.want(amqp.RecoverOk)
	if msg = fetch(); !msg.Bool(1) {
		t.Fatal("not marked as redelivered")
	}
	client.writeMethod(1, amqp.Ack, msg.Int(0), false)
	client.writeMethod(1, amqp.Get, 0, "answers", false)
	client.want(amqp.GetEmpty)
	if broker.count("m") != 1 {
		t.Fatal(broker.count("m"))
	}
}

// Direct reply-to: the answer is delivered once, without acknowledgement, to the channel that published. An answer
// whose channel has ended is dropped, also after a restart.
func TestDirectReplyTo(t *testing.T) {
	broker, dir := newBroker(t), t.TempDir()
	addr, kill := start(t, dir, broker)
	client := dial(t, addr)
	client.writeMethod(1, amqp.Consume, 0, directReplyTo, "", false, true, false, false, amqp.Table{})
	client.want(amqp.ConsumeOk)
	direct := func(props *amqp.Props) { props.ReplyTo = directReplyTo }
	client.publish("m", "once", direct)
	client.want(amqp.Ack)
	if msg := client.want(amqp.Deliver); msg.Props.MessageID != "m" || msg.Props.Type != "delivered" {
		t.Fatal(msg.Props)
	}
	release := make(chan bool)
	broker.publish = func(conn *frameConn, ch uint16, msg *amqp.Message, tag uint64) {
		<-release
		broker.apply(msg)
		conn.writeMethod(ch, amqp.Ack, tag, false)
	}
	client.publish("n", "once", direct)
	client.want(amqp.Ack)
	_ = client.Close()
	close(release)
	for broker.count("n") == 0 {
		time.Sleep(time.Millisecond)
	}
	kill()
	addr, _ = start(t, dir, broker)
	second := dial(t, addr)
	second.writeMethod(1, amqp.QueueDeclare, 0, "x", false, false, false, false, false, amqp.Table{})
	second.want(amqp.QueueDeclareOk)
	second.publish("m", "once", func(props *amqp.Props) { props.ReplyTo = "x" }) // an acknowledged ID never runs again
	second.want(amqp.Ack)
	second.publish("k", "safe", func(props *amqp.Props) { props.ReplyTo = directReplyTo })
	if msg := second.want(amqp.ChanClose); msg.Int(0) != amqp.PreconditionFailed {
		t.Fatal(msg.Int(0))
	}
	if broker.count("m") != 1 || broker.count("n") != 1 {
		t.Fatal(broker.count("m"), broker.count("n"))
	}
}

// Clients that support connection.blocked get it while the sender accepts no messages, new connections included, and
// connection.unblocked afterwards. Other clients get neither.
func TestPublishersAreBlocked(t *testing.T) {
	var core *sender.Sender
	addr, _ := standin.Start(t, t.TempDir(),
		func(started *sender.Sender, react *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
			core = started
			ingress := NewIngress(started, react, Options{Policy: access.OpenPolicy("messages"), Channels: 16},
				conntable.NewSharedLimit(10).NewTable(Limits(10)))
			return ingress.Accept
		})
	properties := amqp.Table{"capabilities": amqp.Table{"connection.blocked": true}}
	first, incapable := dialAs(t, addr, properties, 0), dial(t, addr)
	core.Post(func() { core.Pause(true) })
	if msg := first.want(amqp.ConnBlocked); msg.Str(0) != "paused by the operator" {
		t.Fatal(msg.Str(0))
	}
	second, err := dialRaw(t, addr)
	if err != nil {
		t.Fatal(err)
	}
	second.want(amqp.ConnStart)
	second.writeMethod(0, amqp.ConnStartOk, properties, "PLAIN", "\x00a\x00b", "en_US")
	second.want(amqp.ConnTune)
	second.writeMethod(0, amqp.ConnTuneOk, 8, amqp.FrameMin, 0)
	second.writeMethod(0, amqp.ConnOpen, "/", "", false)
	second.want(amqp.ConnOpenOk)
	second.want(amqp.ConnBlocked)
	core.Post(func() { core.Pause(false) })
	first.want(amqp.ConnUnblocked)
	second.want(amqp.ConnUnblocked)
	incapable.writeMethod(1, amqp.Qos, 0, 0, false)
	incapable.want(amqp.QosOk)
}

// The limits of a queue: above x-max-length the oldest answers are dropped, after x-message-ttl an answer is dropped,
// and after x-expires an unused queue is deleted. Dropped answers count as acknowledged.
func TestQueueLimits(t *testing.T) {
	broker := newBroker(t)
	addr, _ := start(t, t.TempDir(), broker)
	client := dial(t, addr)
	publish := func(queue, id string) {
		client.publish(id, "once", func(props *amqp.Props) { props.ReplyTo = queue })
		client.want(amqp.Ack)
		for broker.count(id) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	count := func(queue string) uint64 {
		client.writeMethod(1, amqp.QueueDeclare, 0, queue, true, false, false, false, false, amqp.Table{})
		_, msg, err := client.next()
		if err != nil {
			t.Fatal(err)
		}
		if msg.Key == amqp.ChanClose {
			client.writeMethod(1, amqp.ChanCloseOk)
			client.writeMethod(1, amqp.ChanOpen, "")
			client.want(amqp.ChanOpenOk)
			client.writeMethod(1, amqp.ConfirmSelect, false)
			client.want(amqp.ConfirmSelectOk)
			return 99
		}
		return msg.Int(1)
	}
	for name, args := range map[string]amqp.Table{
		"two": {"x-max-length": int64(2)}, "short": {"x-message-ttl": int64(100)},
		"brief": {"x-expires": int64(100)},
	} {
		client.writeMethod(1, amqp.QueueDeclare, 0, name, false, false, false, false, false, args)
		client.want(amqp.QueueDeclareOk)
	}
	for _, id := range []string{"a", "b", "c"} {
		publish("two", id)
	}
	publish("short", "d")
	for count("brief") != 99 || count("short") != 0 {
		time.Sleep(5 * time.Millisecond)
	}
	for count("two") != 2 { // the last answer may not be queued yet
		time.Sleep(time.Millisecond)
	}
	for _, id := range []string{"b", "c"} {
		client.writeMethod(1, amqp.Get, 0, "two", true)
		if msg := client.want(amqp.GetOk); msg.Props.MessageID != id {
			t.Fatal(msg.Props.MessageID)
		}
	}
}

// An answer that is requeued after its x-message-ttl is dropped at once. While the answer was unacknowledged, the queue
// was empty, so that its timer was not armed.
func TestExpiredAnswerIsDroppedOnRequeue(t *testing.T) {
	broker := newBroker(t)
	addr, _ := start(t, t.TempDir(), broker)
	client := dial(t, addr)
	client.writeMethod(1, amqp.QueueDeclare, 0, "answers", false, false, false, false, false,
		amqp.Table{"x-message-ttl": int64(300)})
	client.want(amqp.QueueDeclareOk)
	client.consume()
	client.publish("m", "once")
	client.want(amqp.Ack)
	client.want(amqp.Deliver)
	time.Sleep(500 * time.Millisecond) // unacknowledged for longer than its x-message-ttl
	client.writeMethod(1, amqp.Cancel, "me", false)
	client.want(amqp.CancelOk)
	client.writeMethod(1, amqp.Recover, true)
	client.want(amqp.RecoverOk)
	client.writeMethod(1, amqp.QueueDeclare, 0, "answers", true, false, false, false, false, amqp.Table{})
	if msg := client.want(amqp.QueueDeclareOk); msg.Int(1) != 0 {
		t.Fatal("the answer is queued again:", msg.Int(1))
	}
}

// channel.flow pauses the delivery of answers until it is active again. A consumer whose queue is deleted gets
// basic.cancel.
func TestCancelAndFlow(t *testing.T) {
	broker := newBroker(t)
	addr, _ := start(t, t.TempDir(), broker)
	client := dialAs(t, addr, amqp.Table{"capabilities": amqp.Table{"consumer_cancel_notify": true}}, 0)
	client.consume()
	client.writeMethod(1, amqp.ChanFlow, false)
	client.want(amqp.ChanFlowOk)
	client.publish("m", "once")
	client.want(amqp.Ack)
	for broker.count("m") == 0 {
		time.Sleep(time.Millisecond)
	}
	client.writeMethod(1, amqp.Qos, 0, 0, false) // no answer is delivered before the reply
	client.want(amqp.QosOk)
	client.writeMethod(1, amqp.ChanFlow, true)
	client.want(amqp.ChanFlowOk)
	if got := client.wantAnswer("m", true); got != "delivered" {
		t.Fatal(got)
	}
	second := dial(t, addr)
	second.writeMethod(1, amqp.QueueDelete, 0, "answers", false, false, false)
	second.want(amqp.QueueDeleteOk)
	if msg := client.want(amqp.Cancel); msg.Str(0) != "me" {
		t.Fatal(msg.Str(0))
	}
}
