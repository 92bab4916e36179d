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

// Ten thousand publishes in a burst with one slow consumer: each is confirmed or rejected at once, and each
// accepted one has one answer, one after another as the consumer takes them.
func TestBurstWithOneSlowConsumer(t *testing.T) {
	b := newBroker(t)
	b.props = make(chan *amqp.Props, 10_000)
	addr, _ := start(t, t.TempDir(), b)
	c := dial(t, addr)
	c.method(1, amqp.Qos, 0, 1, false)
	c.want(amqp.QosOk)
	c.consume()
	const burst = 10_000
	go func() {
		for i := range burst {
			c.publish(fmt.Sprint("m", i), "once")
		}
	}()
	low := uint64(0)
	taken, refused, answers := map[uint64]bool{}, map[uint64]bool{}, map[string]bool{}
	for len(taken)+len(refused) < burst || len(answers) < len(taken) {
		_, m, err := c.next()
		if err != nil {
			t.Fatal(err, len(taken), len(refused), len(answers))
		}
		switch m.Key {
		case amqp.Ack:
			if !m.Bool(1) {
				taken[m.Int(0)] = true
				continue
			}
			for ; low < m.Int(0); low++ { // all up to it that were not refused
				if !refused[low+1] {
					taken[low+1] = true
				}
			}
		case amqp.Nack:
			refused[m.Int(0)] = true
		case amqp.Deliver:
			if answers[m.Props.MessageID] {
				t.Fatal("a second answer for", m.Props.MessageID)
			}
			answers[m.Props.MessageID] = true
			c.method(1, amqp.Ack, m.Int(1), false)
		}
	}
	if len(taken) == 0 || len(refused) == 0 || len(answers) != len(taken) {
		t.Fatal(len(taken), len(refused), len(answers))
	}
	for id := range answers {
		if b.count(id) > 1 {
			t.Fatal(id, b.count(id))
		}
	}
}

// A consumer that does not read holds its own answers up and nothing else: what waits for it is bounded, its connection
// stays, another client is served meanwhile, and once it reads it has all of them.
func TestConsumerThatDoesNotRead(t *testing.T) {
	var core *sender.Sender
	const messages = 16_000
	set := standin.Settings()
	set.Limits.MaxMessages, set.Calls.ConcurrentCalls = 2*messages, 500
	addr, _ := standin.StartWith(t, t.TempDir(), set, 256<<20, nil,
		func(c *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
			core = c
			in := NewIngress(c, r, Options{Policy: access.Anyone("messages"), Channels: 16},
				conntable.NewSharedLimit(10).NewTable(Limits(10)))
			c.AddEgress("now", atOnce{c})
			c.UpdateRoutes("whole", []sender.Route{{
				Endpoint: scheduler.Endpoint{Addr: "a", MachineType: "k", Destination: 7, State: "live"},
				Protocol: "now",
			}})
			return in.Accept
		})
	small := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error { // the kernel's buffers would hold all
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF,
				64<<10)
		})
	}}
	conn, err := small.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	deaf, other := &client{newSide(conn), t}, dial(t, addr)
	_, _ = deaf.Write([]byte(amqp.Preamble))
	deaf.shake(amqp.Table{}, 0)
	// with no-ack nothing else bounds it
	deaf.method(1, amqp.Consume, 0, "answers", "me", false, true, false, false, amqp.Table{})
	deaf.want(amqp.ConsumeOk)
	long := make([]byte, 250)
	for i := range long {
		long[i] = 'c'
	}
	for sent := 0; sent < messages; {
		for range 200 {
			other.publish(fmt.Sprint("m", sent), "safe", func(p *amqp.Props) { p.CorrelationID = string(long) })
			sent++
		}
		for confirmed := 0; confirmed < sent; { // a confirm is for all before it, or is the next of a few
			if m := other.want(amqp.Ack); m.Bool(1) || int(m.Int(0)) == sent {
				confirmed = int(m.Int(0))
			}
		}
	}
	other.method(1, amqp.Consume, 0, "mine", "me", false, false, false, false, amqp.Table{})
	other.want(amqp.ConsumeOk)
	other.publish("last", "safe", func(p *amqp.Props) { p.ReplyTo = "mine" })
	other.want(amqp.Ack)
	other.want(amqp.Deliver)
	st := make(chan sender.State)
	core.Post(func() { st <- core.State() })
	if owed := (<-st).Unacknowledged; owed < 100 {
		t.Fatal("only", owed, "are owed: all went to a client that reads nothing")
	}
	seen := map[string]bool{}
	for len(seen) < messages {
		m := deaf.want(amqp.Deliver)
		if seen[m.Props.MessageID] {
			t.Fatal(m.Props.MessageID, "came twice")
		}
		seen[m.Props.MessageID] = true
	}
}

// Contents that are begun and not ended, on many channels of some connections, are bounded together.
func TestHalfContentsAreBounded(t *testing.T) {
	addr, _ := startInstant(t)
	begin := func(c *client, channel uint16) {
		whole := amqp.AppendMessage(nil, channel, amqp.Publish, &amqp.Props{}, make([]byte, amqp.MaxBody),
			amqp.FrameMin, 0, "messages", "7", false, false)
		_, _ = c.Write(whole[:len(whole)-136])
	}
	opened := 0
	for ended := false; !ended; {
		c := dial(t, addr)
		for ch := uint16(2); ch <= 8 && !ended; ch++ {
			c.method(ch, amqp.ChanOpen, "")
			begin(c, ch)
			opened++
			_, m, err := c.next() // of the channel, or of the connection's end
			if err != nil {
				t.Fatal(err)
			}
			if ended = m.Key == amqp.ConnClose; ended && m.Int(0) != amqp.ResourceError {
				t.Fatal(m.Int(0))
			}
		}
	}
	if bytes := opened * amqp.MaxBody; bytes < maxPartial/2 || bytes > 2*maxPartial {
		t.Fatal(opened)
	}
	c := dial(t, addr) // whoever sends whole contents is served
	c.publish("m", "safe")
	c.want(amqp.Ack)
}

// The same message-id from two connections at once runs once; each gets the right verdict, and the
// final answer comes once.
func TestSameIDFromTwoConnections(t *testing.T) {
	b := newBroker(t)
	addr, _ := start(t, t.TempDir(), b)
	one, two := dial(t, addr), dial(t, addr)
	one.consume()
	for i := range 50 {
		id := fmt.Sprint("m", i)
		go two.publish(id, "once")
		one.publish(id, "once")
		taken := 0
		if _, m, err := two.next(); err != nil || m.Key != amqp.Ack && m.Key != amqp.Nack {
			t.Fatal(err)
		} else if m.Key == amqp.Ack {
			taken++
		}
		for ended := false; !ended; {
			_, m, err := one.next()
			if err != nil {
				t.Fatal(err)
			}
			switch m.Key {
			case amqp.Ack:
				taken++
			case amqp.Deliver:
				one.method(1, amqp.Ack, m.Int(1), false)
				ended = m.Props.MessageID == id
			}
		}
		if taken == 0 || b.count(id) != 1 {
			t.Fatal(id, taken, b.count(id))
		}
		<-b.props
	}
}
