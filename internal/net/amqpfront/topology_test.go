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

// What is another connection's own is locked to all others (section 1.7.2.1), and its holder still
// has it. The rest of what may be done with exchanges and queues stands in the conformance suite,
// whose scenes have one connection.
func TestAnotherConnectionsOwn(t *testing.T) {
	addr, _ := start(t, t.TempDir(), newBroker(t))
	holder := dial(t, addr)
	holder.method(1, amqp.QueueDeclare, 0, "locked", false, false, true, false, false, amqp.Table{})
	holder.want(amqp.QueueOk)
	for k, args := range map[amqp.Key][]any{
		amqp.QueueDeclare: {0, "locked", true, false, false, false, false, amqp.Table{}},
		amqp.QueueDelete:  {0, "locked", false, false, false},
		amqp.QueuePurge:   {0, "locked", false},
		amqp.Get:          {0, "locked", false},
		amqp.Consume:      {0, "locked", "", false, false, false, false, amqp.Table{}},
	} {
		c := dial(t, addr)
		c.method(1, k, args...)
		if x := c.want(amqp.ChanClose); x.Int(0) != amqp.ResourceLocked || amqp.Key(x.Int(2)<<16|x.Int(3)) != k {
			t.Fatal(k, x.Int(0), x.Str(1))
		}
	}
	holder.method(1, amqp.Get, 0, "locked", false)
	holder.want(amqp.GetEmpty)
}

// An answer is fetched by get, handed back by recover, comes again marked as redelivered, and is over with its ack.
func TestGetAndRecover(t *testing.T) {
	b := newBroker(t)
	addr, _ := start(t, t.TempDir(), b)
	c := dial(t, addr)
	c.publish("m", "once")
	c.want(amqp.Ack)
	fetch := func() *amqp.Message {
		for {
			c.method(1, amqp.Get, 0, "answers", false)
			_, x, err := c.next()
			if err != nil {
				t.Fatal(err)
			}
			if x.Key == amqp.GetOk {
				return x
			}
			time.Sleep(time.Millisecond) // not delivered yet
		}
	}
	for len(b.props) == 0 {
		time.Sleep(time.Millisecond)
	}
	c.method(1, amqp.QueueDeclare, 0, "answers", false, false, false, false, false, amqp.Table{})
	c.want(amqp.QueueOk)
	x := fetch()
	if x.Bool(1) || x.Props.MessageID != "m" || x.Props.Type != "delivered" || x.Int(4) != 0 {
		t.Fatal(x.Props, x.Bool(1))
	}
	c.method(1, amqp.Recover, true)
	c.want(amqp.RecoverOk)
	if x = fetch(); !x.Bool(1) {
		t.Fatal("not marked as redelivered")
	}
	c.method(1, amqp.Ack, x.Int(0), false)
	c.method(1, amqp.Get, 0, "answers", false)
	c.want(amqp.GetEmpty)
	if b.count("m") != 1 {
		t.Fatal(b.count("m"))
	}
}

// Direct reply-to: the answer comes to the channel that published, once and without acknowledgement; what nobody can
// hear any more is dropped, over a restart too.
func TestDirectReplyTo(t *testing.T) {
	b, dir := newBroker(t), t.TempDir()
	addr, kill := start(t, dir, b)
	c := dial(t, addr)
	c.method(1, amqp.Consume, 0, directReplyTo, "", false, true, false, false, amqp.Table{})
	c.want(amqp.ConsumeOk)
	direct := func(p *amqp.Props) { p.ReplyTo = directReplyTo }
	c.publish("m", "once", direct)
	c.want(amqp.Ack)
	if x := c.want(amqp.Deliver); x.Props.MessageID != "m" || x.Props.Type != "delivered" {
		t.Fatal(x.Props)
	}
	hold := make(chan bool)
	b.publish = func(s *side, ch uint16, x *amqp.Message, tag uint64) {
		<-hold
		b.apply(x)
		s.method(ch, amqp.Ack, tag, false)
	}
	c.publish("n", "once", direct)
	c.want(amqp.Ack)
	_ = c.Close()
	close(hold)
	for b.count("n") == 0 {
		time.Sleep(time.Millisecond)
	}
	kill()
	addr, _ = start(t, dir, b)
	d := dial(t, addr)
	d.method(1, amqp.QueueDeclare, 0, "x", false, false, false, false, false, amqp.Table{})
	d.want(amqp.QueueOk)
	d.publish("m", "once", func(p *amqp.Props) { p.ReplyTo = "x" }) // an id that was heard never runs again
	d.want(amqp.Ack)
	d.publish("k", "safe", func(p *amqp.Props) { p.ReplyTo = directReplyTo })
	if x := d.want(amqp.ChanClose); x.Int(0) != amqp.PreconditionFailed {
		t.Fatal(x.Int(0))
	}
	if b.count("m") != 1 || b.count("n") != 1 {
		t.Fatal(b.count("m"), b.count("n"))
	}
}

// Publishers that can hear it are told to hold back while the sender takes nothing on, newcomers too, and that it is
// over; the others are not.
func TestPublishersAreBlocked(t *testing.T) {
	var core *sender.Sender
	addr, _ := standin.Start(t, t.TempDir(),
		func(c *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
			core = c
			in := NewIngress(c, r, Options{Policy: access.Anyone("messages"), Channels: 16},
				conntable.NewSharedLimit(10).NewTable(Limits(10)))
			return in.Accept
		})
	able := amqp.Table{"capabilities": amqp.Table{"connection.blocked": true}}
	one, deaf := dialAs(t, addr, able, 0), dial(t, addr)
	core.Post(func() { core.Pause(true) })
	if m := one.want(amqp.ConnBlocked); m.Str(0) != "paused by the operator" {
		t.Fatal(m.Str(0))
	}
	two, err := dialRaw(t, addr)
	if err != nil {
		t.Fatal(err)
	}
	two.want(amqp.ConnStart)
	two.method(0, amqp.ConnStartOk, able, "PLAIN", "\x00a\x00b", "en_US")
	two.want(amqp.ConnTune)
	two.method(0, amqp.ConnTuneOk, 8, amqp.FrameMin, 0)
	two.method(0, amqp.ConnOpen, "/", "", false)
	two.want(amqp.ConnOpenOk)
	two.want(amqp.ConnBlocked)
	core.Post(func() { core.Pause(false) })
	one.want(amqp.ConnUnblocked)
	two.want(amqp.ConnUnblocked)
	deaf.method(1, amqp.Qos, 0, 0, false)
	deaf.want(amqp.QosOk)
}

// A queue's own limits: the oldest answers give way, an answer that has waited too long is gone, and so is a queue that
// nobody used; what went counts as heard.
func TestQueueLimits(t *testing.T) {
	b := newBroker(t)
	addr, _ := start(t, t.TempDir(), b)
	c := dial(t, addr)
	publish := func(queue, id string) {
		c.publish(id, "once", func(p *amqp.Props) { p.ReplyTo = queue })
		c.want(amqp.Ack)
		for b.count(id) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	count := func(queue string) uint64 {
		c.method(1, amqp.QueueDeclare, 0, queue, true, false, false, false, false, amqp.Table{})
		_, x, err := c.next()
		if err != nil {
			t.Fatal(err)
		}
		if x.Key == amqp.ChanClose {
			c.method(1, amqp.ChanCloseOk)
			c.method(1, amqp.ChanOpen, "")
			c.want(amqp.ChanOpenOk)
			c.method(1, amqp.ConfirmSelect, false)
			c.want(amqp.ConfirmOk)
			return 99
		}
		return x.Int(1)
	}
	for name, args := range map[string]amqp.Table{
		"two": {"x-max-length": int64(2)}, "short": {"x-message-ttl": int64(100)},
		"brief": {"x-expires": int64(100)},
	} {
		c.method(1, amqp.QueueDeclare, 0, name, false, false, false, false, false, args)
		c.want(amqp.QueueOk)
	}
	for _, id := range []string{"a", "b", "c"} {
		publish("two", id)
	}
	publish("short", "d")
	for count("brief") != 99 || count("short") != 0 {
		time.Sleep(5 * time.Millisecond)
	}
	for count("two") != 2 { // the last end is on its way
		time.Sleep(time.Millisecond)
	}
	for _, id := range []string{"b", "c"} {
		c.method(1, amqp.Get, 0, "two", true)
		if x := c.want(amqp.GetOk); x.Props.MessageID != id {
			t.Fatal(x.Props.MessageID)
		}
	}
}

// An answer that comes back to its queue after its time has passed is not kept there: the queue's timer had nothing to
// end while the answer was out.
func TestLimitOfAnAnswerThatComesBack(t *testing.T) {
	b := newBroker(t)
	addr, _ := start(t, t.TempDir(), b)
	c := dial(t, addr)
	c.method(1, amqp.QueueDeclare, 0, "answers", false, false, false, false, false,
		amqp.Table{"x-message-ttl": int64(300)})
	c.want(amqp.QueueOk)
	c.consume()
	c.publish("m", "once")
	c.want(amqp.Ack)
	c.want(amqp.Deliver)
	time.Sleep(500 * time.Millisecond) // out for longer than it may wait
	c.method(1, amqp.Cancel, "me", false)
	c.want(amqp.CancelOk)
	c.method(1, amqp.Recover, true)
	c.want(amqp.RecoverOk)
	c.method(1, amqp.QueueDeclare, 0, "answers", true, false, false, false, false, amqp.Table{})
	if x := c.want(amqp.QueueOk); x.Int(1) != 0 {
		t.Fatal("it waits again:", x.Int(1))
	}
}

// A consumer whose queue is deleted is told, and flow holds answers back until it is let on again.
func TestCancelAndFlow(t *testing.T) {
	b := newBroker(t)
	addr, _ := start(t, t.TempDir(), b)
	c := dialAs(t, addr, amqp.Table{"capabilities": amqp.Table{"consumer_cancel_notify": true}}, 0)
	c.consume()
	c.method(1, amqp.ChanFlow, false)
	c.want(amqp.ChanFlowOk)
	c.publish("m", "once")
	c.want(amqp.Ack)
	for b.count("m") == 0 {
		time.Sleep(time.Millisecond)
	}
	c.method(1, amqp.Qos, 0, 0, false) // nothing comes before its answer
	c.want(amqp.QosOk)
	c.method(1, amqp.ChanFlow, true)
	c.want(amqp.ChanFlowOk)
	if got := c.answer("m", true); got != "delivered" {
		t.Fatal(got)
	}
	d := dial(t, addr)
	d.method(1, amqp.QueueDelete, 0, "answers", false, false, false)
	d.want(amqp.QueueDeleteOk)
	if x := c.want(amqp.Cancel); x.Str(0) != "me" {
		t.Fatal(x.Str(0))
	}
}
