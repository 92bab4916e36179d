package amqpfront

import (
	"fmt"
	"net"
	"syscall"
	"testing"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/scheduler"
	"brackendale/sender"
)

// A burst of 10,000 publishes with one consumer that takes one answer at a time: each publish is confirmed or rejected,
// and each accepted message has exactly one answer.
func TestBurstWithOneSlowConsumer(t *testing.T) {
	broker := newBroker(t)
	broker.props = make(chan *amqp.Props, 10_000)
	addr, _ := start(t, t.TempDir(), broker)
	client := dial(t, addr)
	client.writeMethod(1, amqp.Qos, 0, 1, false)
	client.want(amqp.QosOk)
	client.consume()
	const burst = 10_000
	go func() {
		for i := range burst {
			client.publish(fmt.Sprint("m", i), "once")
		}
	}()
	confirmed := uint64(0)
	accepted, rejected, answers := map[uint64]bool{}, map[uint64]bool{}, map[string]bool{}
	for len(accepted)+len(rejected) < burst || len(answers) < len(accepted) {
		_, msg, err := client.next()
		if err != nil {
			t.Fatal(err, len(accepted), len(rejected), len(answers))
		}
		switch msg.Key {
		case amqp.Ack:
			if !msg.Bool(1) {
				accepted[msg.Int(0)] = true
				continue
			}
			for ; confirmed < msg.Int(0); confirmed++ { // all up to this tag, except for the rejected ones
				if !rejected[confirmed+1] {
					accepted[confirmed+1] = true
				}
			}
		case amqp.Nack:
			rejected[msg.Int(0)] = true
		case amqp.Deliver:
			if answers[msg.Props.MessageID] {
				t.Fatal("second answer for", msg.Props.MessageID)
			}
			answers[msg.Props.MessageID] = true
			client.writeMethod(1, amqp.Ack, msg.Int(1), false)
		}
	}
	if len(accepted) == 0 || len(rejected) == 0 || len(answers) != len(accepted) {
		t.Fatal(len(accepted), len(rejected), len(answers))
	}
	for id := range answers {
		if broker.count(id) > 1 {
			t.Fatal(id, broker.count(id))
		}
	}
}

// A consumer that does not read delays only its own answers. The number of answers written to it is bounded, its
// connection stays open, another client is served meanwhile, and it gets all answers once it reads.
func TestConsumerThatDoesNotRead(t *testing.T) {
	var core *sender.Sender
	const messages = 16_000
	settings := standin.Settings()
	settings.Limits.MaxMessages, settings.Calls.ConcurrentCalls = 2*messages, 500
	addr, _ := standin.StartWith(t, t.TempDir(), settings, 256<<20, nil,
		func(c *sender.Sender, react *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
			core = c
			ingress := NewIngress(c, react, Options{Policy: access.OpenPolicy("messages"), Channels: 16},
				conntable.NewSharedLimit(10).NewTable(Limits(10)))
			c.AddEgress("now", instantEgress{c})
			c.UpdateRoutes("whole", []sender.Route{{
				Endpoint: scheduler.Endpoint{Addr: "a", MachineType: "k", Destination: 7, State: "live"},
				Protocol: "now",
			}})
			return ingress.Accept
		})
	dialer := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error { // default buffers would hold all answers
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF,
				64<<10)
		})
	}}
	conn, err := dialer.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader, publisher := &testClient{newFrameConn(conn), t}, dial(t, addr)
	_, _ = reader.Write([]byte(amqp.ProtocolHeader))
	reader.handshake(amqp.Table{}, 0)
	// With no-ack, the number of unacknowledged answers is no limit.
	reader.writeMethod(1, amqp.Consume, 0, "answers", "me", false, true, false, false, amqp.Table{})
	reader.want(amqp.ConsumeOk)
	long := make([]byte, 250)
	for i := range long {
		long[i] = 'c'
	}
	for sent := 0; sent < messages; {
		for range 200 {
			publisher.publish(fmt.Sprint("m", sent), "safe", func(props *amqp.Props) { props.CorrelationID = string(long) })
			sent++
		}
		for confirmed := 0; confirmed < sent; { // an ack with multiple covers all before it; others come in order
			if msg := publisher.want(amqp.Ack); msg.Bool(1) || int(msg.Int(0)) == sent {
				confirmed = int(msg.Int(0))
			}
		}
	}
	publisher.writeMethod(1, amqp.Consume, 0, "mine", "me", false, false, false, false, amqp.Table{})
	publisher.want(amqp.ConsumeOk)
	publisher.publish("last", "safe", func(props *amqp.Props) { props.ReplyTo = "mine" })
	publisher.want(amqp.Ack)
	publisher.want(amqp.Deliver)
	state := make(chan sender.State)
	core.Post(func() { state <- core.State() })
	if unacknowledged := (<-state).Unacknowledged; unacknowledged < 100 {
		t.Fatal("only", unacknowledged, "answers are unacknowledged: too many were written to a client that does not read")
	}
	seen := map[string]bool{}
	for len(seen) < messages {
		msg := reader.want(amqp.Deliver)
		if seen[msg.Props.MessageID] {
			t.Fatal(msg.Props.MessageID, "was answered twice")
		}
		seen[msg.Props.MessageID] = true
	}
}

// The incomplete contents of all channels and connections together are limited. A client that sends complete contents
// is still served.
func TestIncompleteContentsAreBounded(t *testing.T) {
	addr, _ := startInstantSender(t)
	beginContent := func(client *testClient, channel uint16) {
		whole := amqp.AppendMessage(nil, channel, amqp.Publish, &amqp.Props{}, make([]byte, amqp.MaxBody),
			amqp.FrameMin, 0, "messages", "7", false, false)
		_, _ = client.Write(whole[:len(whole)-136])
	}
	opened := 0
	for ended := false; !ended; {
		client := dial(t, addr)
		for ch := uint16(2); ch <= 8 && !ended; ch++ {
			client.writeMethod(ch, amqp.ChanOpen, "")
			beginContent(client, ch)
			opened++
			_, msg, err := client.next() // channel.open-ok or connection.close
			if err != nil {
				t.Fatal(err)
			}
			if ended = msg.Key == amqp.ConnClose; ended && msg.Int(0) != amqp.ResourceError {
				t.Fatal(msg.Int(0))
			}
		}
	}
	if bytes := opened * amqp.MaxBody; bytes < maxPartialBytes/2 || bytes > 2*maxPartialBytes {
		t.Fatal(opened)
	}
	client := dial(t, addr)
	client.publish("m", "safe")
	client.want(amqp.Ack)
}

// When two connections publish the same message-id at the same time, the message runs once. Each gets a confirm, at
// least one of them an ack, and there is one final answer.
func TestSameIDFromTwoConnections(t *testing.T) {
	broker := newBroker(t)
	addr, _ := start(t, t.TempDir(), broker)
	first, second := dial(t, addr), dial(t, addr)
	first.consume()
	for i := range 50 {
		id := fmt.Sprint("m", i)
		go second.publish(id, "once")
		first.publish(id, "once")
		accepted := 0
		if _, msg, err := second.next(); err != nil || msg.Key != amqp.Ack && msg.Key != amqp.Nack {
			t.Fatal(err)
		} else if msg.Key == amqp.Ack {
			accepted++
		}
		for ended := false; !ended; {
			_, msg, err := first.next()
			if err != nil {
				t.Fatal(err)
			}
			switch msg.Key {
			case amqp.Ack:
				accepted++
			case amqp.Deliver:
				first.writeMethod(1, amqp.Ack, msg.Int(1), false)
				ended = msg.Props.MessageID == id
			}
		}
		if accepted == 0 || broker.count(id) != 1 {
			t.Fatal(id, accepted, broker.count(id))
		}
		<-broker.props
	}
}
