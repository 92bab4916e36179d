package amqpfront

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/scheduler"
	"brackendale/sender"
)

// side is one end of a connection as a stand-in speaks it.
type side struct {
	net.Conn
	buf []byte
	asm map[uint16]*amqp.Assembly
}

func newSide(c net.Conn) *side {
	_ = c.SetDeadline(time.Now().Add(standin.Long))
	return &side{Conn: c, asm: map[uint16]*amqp.Assembly{}}
}

func (s *side) frame() (amqp.Frame, error) {
	for {
		f, n, err := amqp.ParseFrame(s.buf, amqp.FrameMax)
		if err != nil {
			return f, err
		}
		if n > 0 {
			s.buf = s.buf[n:]
			if f.Kind != amqp.FrameBeat {
				return f, nil
			}
			continue
		}
		b := make([]byte, 8192)
		n, err = s.Read(b)
		if err != nil {
			return f, err
		}
		s.buf = append(s.buf, b[:n]...)
	}
}

// next returns the next method and its channel.
func (s *side) next() (uint16, *amqp.Message, error) {
	for {
		f, err := s.frame()
		if err != nil {
			return 0, nil, err
		}
		if s.asm[f.Channel] == nil {
			s.asm[f.Channel] = &amqp.Assembly{}
		}
		if m, err := s.asm[f.Channel].Add(f); m != nil || err != nil {
			return f.Channel, m, err
		}
	}
}

func (s *side) method(ch uint16, k amqp.Key, args ...any) {
	_, _ = s.Write(amqp.AppendMethod(nil, ch, k, args...)) // a peer that went is seen by the next read
}

// broker is a stand-in for a partner's broker. step is asked before each thing it does with a frame; true
// cuts the connection there.
type broker struct {
	ln      net.Listener
	mu      sync.Mutex
	applied map[string]int
	props   chan *amqp.Props
	step    func(what string) bool
	publish func(s *side, ch uint16, m *amqp.Message, tag uint64) // answers; nil: ack
}

func newBroker(t *testing.T) *broker {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	b := &broker{
		ln: ln, applied: map[string]int{}, props: make(chan *amqp.Props, 100),
		step: func(string) bool { return false },
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go b.serve(newSide(c))
		}
	}()
	return b
}

func (b *broker) serve(s *side) {
	defer s.Close()
	pre := make([]byte, len(amqp.Preamble))
	if _, err := s.Read(pre); err != nil || b.step("preamble") {
		return
	}
	s.method(0, amqp.ConnStart, 0, 9, amqp.Table{}, "PLAIN", "en_US")
	tags, part := map[uint16]uint64{}, map[uint16]*amqp.Assembly{}
	for {
		f, err := s.frame()
		if err != nil {
			return
		}
		if part[f.Channel] == nil {
			part[f.Channel] = &amqp.Assembly{}
		}
		m, err := part[f.Channel].Add(f)
		if err != nil {
			return
		}
		if m == nil {
			if b.step(map[byte]string{amqp.FrameMethod: "publish", amqp.FrameHeader: "header", amqp.FrameBody: "part"}[f.Kind]) {
				return
			}
			continue
		}
		switch m.Key {
		case amqp.ConnStartOk:
			if b.step("start-ok") {
				return
			}
			s.method(0, amqp.ConnTune, 0, amqp.FrameMin, 0)
		case amqp.ConnOpen:
			if b.step("open") {
				return
			}
			s.method(0, amqp.ConnOpenOk, "")
		case amqp.ChanOpen:
			if b.step("channel") {
				return
			}
			s.method(f.Channel, amqp.ChanOpenOk, "")
		case amqp.ConfirmSelect:
			if b.step("select") {
				return
			}
			s.method(f.Channel, amqp.ConfirmOk)
		case amqp.ChanClose:
			s.method(f.Channel, amqp.ChanCloseOk)
		case amqp.Publish:
			tags[f.Channel]++
			if b.publish != nil {
				b.publish(s, f.Channel, m, tags[f.Channel])
				continue
			}
			b.apply(m)
			if b.step("applied") {
				return
			}
			s.method(f.Channel, amqp.Ack, tags[f.Channel], false)
			if b.step("acked") {
				return
			}
		}
	}
}

func (b *broker) apply(m *amqp.Message) {
	b.mu.Lock()
	b.applied[m.Props.MessageID]++
	b.mu.Unlock()
	b.props <- m.Props
}

func (b *broker) count(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.applied[id]
}

const maxTestClients = 20

// start begins one incarnation of a sender.
func start(t *testing.T, dir string, b *broker) (addr string, kill func()) {
	t.Helper()
	return startFor(t, dir, b, access.Anyone("messages"))
}

// startFor begins one whose clients are under a policy.
func startFor(t *testing.T, dir string, b *broker, p *access.Policy) (addr string, kill func()) {
	t.Helper()
	return standin.Start(t, dir, func(core *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		in := NewIngress(core, r, Options{Policy: p, Heartbeat: time.Minute, Channels: 16},
			conntable.NewSharedLimit(maxTestClients).NewTable(Limits(maxTestClients)))
		core.AddEgress(Proto, NewEgress(core, r, 1500*time.Millisecond, conntable.NewSharedLimit(100)))
		core.UpdateRoutes("whole", []sender.Route{{
			Endpoint: scheduler.Endpoint{Addr: "b", MachineType: "k", Destination: 7, State: "live"}, Protocol: Proto,
			Dial: "amqp://u:p@" + b.ln.Addr().String() + "/?exchange=records&key=in",
		}})
		return in.Accept
	})
}

// dialRaw opens a client that has sent the protocol header.
func dialRaw(t testing.TB, addr string) (*client, error) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = c.Close() })
	cl := &client{newSide(c), t}
	_, _ = cl.Write([]byte(amqp.Preamble))
	return cl, nil
}

// dial opens a client with channel 1 in confirm mode.
func dial(t *testing.T, addr string) *client { t.Helper(); return dialAs(t, addr, amqp.Table{}, 0) }

// dialAs does so with the client's properties and heartbeats.
func dialAs(t testing.TB, addr string, properties amqp.Table, beat int) *client {
	t.Helper()
	cl, err := dialRaw(t, addr)
	if err != nil {
		t.Fatal(err)
	}
	cl.shake(properties, beat)
	return cl
}

// shake opens the connection and channel 1 in confirm mode.
func (c *client) shake(properties amqp.Table, beat int) {
	c.t.Helper()
	c.want(amqp.ConnStart)
	c.method(0, amqp.ConnStartOk, properties, "PLAIN", "\x00guest\x00guest", "en_US")
	c.want(amqp.ConnTune)
	c.method(0, amqp.ConnTuneOk, 8, amqp.FrameMin, beat)
	c.method(0, amqp.ConnOpen, "/", "", false)
	c.want(amqp.ConnOpenOk)
	c.method(1, amqp.ChanOpen, "")
	c.want(amqp.ChanOpenOk)
	c.method(1, amqp.ConfirmSelect, false)
	c.want(amqp.ConfirmOk)
}

type client struct {
	*side
	t testing.TB
}

func (c *client) want(k amqp.Key) *amqp.Message {
	c.t.Helper()
	_, m, err := c.next()
	if err != nil {
		c.t.Fatalf("waiting for %d.%d: %v", k.Class(), k.ID(), err)
	}
	if m.Key != k {
		c.t.Fatalf("got %d.%d, want %d.%d: %v", m.Class(), m.ID(), k.Class(), k.ID(), m.Method)
	}
	return m
}

func (c *client) consume() {
	c.t.Helper()
	c.method(1, amqp.Consume, 0, "answers", "me", false, false, false, false, amqp.Table{})
	c.want(amqp.ConsumeOk)
}

func (c *client) publish(id, class string, change ...func(*amqp.Props)) {
	p := &amqp.Props{
		MessageID: id, Type: class, ReplyTo: "answers", CorrelationID: "c-" + id,
		Headers: amqp.Table{"idempotency-key": "k" + id},
	}
	for _, f := range change {
		f(p)
	}
	_, _ = c.Write(amqp.AppendMessage(nil, 1, amqp.Publish, p, make([]byte, 9000), amqp.FrameMin, 0, "messages",
		"7", false, false))
}

// answer reads one final answer and returns its outcome.
func (c *client) answer(id string, ack bool) string {
	c.t.Helper()
	m := c.want(amqp.Deliver)
	if m.Props.MessageID != id || m.Props.CorrelationID != "c-"+id {
		c.t.Fatalf("an answer for %q", m.Props.MessageID)
	}
	if ack {
		c.method(1, amqp.Ack, m.Int(1), false)
		// The ack has been handled once what is sent after it is answered.
		c.method(1, amqp.Qos, 0, 0, false)
		c.want(amqp.QosOk)
	}
	return m.Props.Type
}

// The broker is killed at every step of a publish. Before the publish's last byte nothing ran and the
// charge goes again; from there on it may have run and must not. Never is it applied twice, and the
// client gets one answer.
func TestBrokerKilledAtEveryStep(t *testing.T) {
	for step, end := range map[string]string{
		"preamble": "delivered", "start-ok": "delivered", "open": "delivered",
		"channel": "delivered", "select": "delivered", "publish": "", "header": "", "part": "", "applied": "failed",
		"acked": "delivered",
	} {
		t.Run(step, func(t *testing.T) {
			b := newBroker(t)
			var once sync.Once
			b.step = func(what string) (cut bool) {
				if what == step {
					once.Do(func() { cut = true })
				}
				return cut
			}
			addr, _ := start(t, t.TempDir(), b)
			c := dial(t, addr)
			c.consume()
			c.publish("m", "once")
			c.want(amqp.Ack)
			got := c.answer("m", true)
			// Cut inside the publish, the sender may or may not have written its last byte.
			if n := b.count("m"); n > 1 || end != "" && got != end || (got == "delivered") != (n == 1) && end != "failed" {
				t.Errorf("%s, applied %d times", got, n)
			}
			c.publish("m", "once") // the same message-id never runs twice
			c.want(amqp.Ack)
			if again := c.answer("m", true); again != got || b.count("m") > 1 {
				t.Errorf("again: %s, applied %d times", again, b.count("m"))
			}
		})
	}
}

// What the broker says of a publish decides whether it may go again.
func TestConfirms(t *testing.T) {
	for _, c := range []struct {
		name, class, end string
		applied          int
		first            func(s *side, ch uint16, m *amqp.Message, tag uint64)
	}{
		{"a nack may have run", "once", "failed", 0, func(s *side, ch uint16, _ *amqp.Message, tag uint64) {
			s.method(ch, amqp.Nack, tag, false, false)
		}},
		{"a nacked record goes again", "key", "delivered", 1, func(s *side, ch uint16, _ *amqp.Message, tag uint64) {
			s.method(ch, amqp.Nack, tag, false, false)
		}},
		{
			"a returned charge never ran, though it is acked", "once", "delivered", 1,
			func(s *side, ch uint16, m *amqp.Message, tag uint64) {
				_, _ = s.Write(amqp.AppendMessage(nil, ch, amqp.Return, m.Props, m.Body, amqp.FrameMin, amqp.NoRoute,
					"NO_ROUTE", "records", "in"))
				s.method(ch, amqp.Ack, tag, false)
			},
		},
		{"an ack of no publish is no delivery", "once", "failed", 0, func(s *side, ch uint16, _ *amqp.Message, tag uint64) {
			s.method(ch, amqp.Ack, tag+1, false)
		}},
		{"a channel closed after the publish", "once", "failed", 0, func(s *side, ch uint16, _ *amqp.Message, _ uint64) {
			s.method(ch, amqp.ChanClose, amqp.PreconditionFailed, "no", 60, 40)
		}},
		{"a connection closed after the publish", "once", "failed", 0, func(s *side, _ uint16, _ *amqp.Message, _ uint64) {
			s.method(0, amqp.ConnClose, amqp.ConnectionForced, "bye", 0, 0)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newBroker(t)
			n := 0
			b.publish = func(s *side, ch uint16, m *amqp.Message, tag uint64) {
				if n++; n == 1 {
					c.first(s, ch, m, tag)
					return
				}
				b.apply(m)
				s.method(ch, amqp.Ack, tag, true)
			}
			addr, _ := start(t, t.TempDir(), b)
			cl := dial(t, addr)
			cl.consume()
			cl.publish("m", c.class)
			cl.want(amqp.Ack)
			if got := cl.answer("m", true); got != c.end || b.count("m") != c.applied {
				t.Errorf("%s, applied %d times", got, b.count("m"))
			}
		})
	}
}

// A blocked connection gets no new publish until it is unblocked; the deadline travels as expiration.
func TestBlocked(t *testing.T) {
	b := newBroker(t)
	var free, early bool
	b.publish = func(s *side, ch uint16, m *amqp.Message, tag uint64) {
		if m.Props.MessageID == "first" {
			s.method(0, amqp.ConnBlocked, "low on memory")
			s.method(ch, amqp.Ack, tag, false)
			go func() {
				time.Sleep(100 * time.Millisecond)
				b.mu.Lock()
				free = true
				b.mu.Unlock()
				s.method(0, amqp.ConnUnblocked)
			}()
			return
		}
		b.mu.Lock()
		early = !free
		b.mu.Unlock()
		b.apply(m)
		s.method(ch, amqp.Ack, tag, false)
	}
	addr, _ := start(t, t.TempDir(), b)
	c := dial(t, addr)
	c.consume()
	c.publish("first", "once")
	c.want(amqp.Ack)
	c.answer("first", true)
	c.publish("second", "once", func(p *amqp.Props) { p.Expiration = "30000" })
	c.want(amqp.Ack)
	if c.answer("second", true); early {
		t.Error("published while blocked")
	}
	var ms int
	if p := <-b.props; p.Expiration != "" {
		_, _ = fmt.Sscan(p.Expiration, &ms)
	}
	if ms < 1 || ms > 30000 {
		t.Error("expiration", ms)
	}
}

// A crowd that opens nothing must not lock out a client that does.
func TestSilentCrowd(t *testing.T) {
	addr, _ := start(t, t.TempDir(), newBroker(t))
	for range maxTestClients {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
	}
	dial(t, addr)
}

// The client is cut while its answer is in flight: it gets it on return, marked as delivered before, and
// once it has acknowledged it never again.
func TestClientCut(t *testing.T) {
	b, dir := newBroker(t), t.TempDir()
	addr, kill := start(t, dir, b)
	c := dial(t, addr)
	c.consume()
	c.publish("m", "once")
	c.want(amqp.Ack)
	c.answer("m", false)
	_ = c.Close()
	c = dial(t, addr)
	c.consume()
	if m := c.want(amqp.Deliver); !m.Bool(2) || m.Props.Type != "delivered" {
		t.Fatal(m.Method, m.Props)
	}
	kill() // the sender restarts: the answer is unacknowledged, and its client may have got it
	addr, kill = start(t, dir, b)
	c = dial(t, addr)
	c.consume()
	if m := c.want(amqp.Deliver); !m.Bool(2) || m.Props.Type != "delivered" {
		t.Fatal(m.Method, m.Props)
	}
	_ = c.Close()
	c = dial(t, addr)
	c.consume()
	if c.answer("m", true) != "delivered" {
		t.Fatal("another end")
	}
	kill()
	addr, _ = start(t, dir, b)
	c = dial(t, addr)
	c.consume()
	c.publish("n", "safe") // an unacknowledged answer to m would come first
	c.want(amqp.Ack)
	if c.answer("n", true); b.count("m") != 1 {
		t.Fatal("applied", b.count("m"))
	}
}

// The sender is killed with a publish out: the charge may have run and fails, a keyed record goes again.
func TestSenderKilled(t *testing.T) {
	b, dir := newBroker(t), t.TempDir()
	held := make(chan bool, 9)
	b.publish = func(s *side, ch uint16, m *amqp.Message, tag uint64) {
		if m.Props.MessageID == "first" { // with no success yet a destination gets one call at a time
			s.method(ch, amqp.Ack, tag, false)
			return
		}
		held <- true
	}
	addr, kill := start(t, dir, b)
	c := dial(t, addr)
	c.consume()
	c.publish("first", "safe")
	c.want(amqp.Ack)
	c.answer("first", true)
	for _, class := range []string{"once", "key"} {
		c.publish(class, class)
		c.want(amqp.Ack)
		<-held
	}
	kill()
	b.publish = nil
	addr, _ = start(t, dir, b)
	c = dial(t, addr)
	c.consume()
	got := map[string]string{}
	for range 2 {
		m := c.want(amqp.Deliver)
		got[m.Props.MessageID] = m.Props.Type
	}
	if got["once"] != "failed" || got["key"] != "delivered" || b.count("once") != 0 {
		t.Fatal(got)
	}
}

// What could break out of a header field on its way to a partner never gets that far.
func TestHeaderInjection(t *testing.T) {
	b := newBroker(t)
	addr, _ := start(t, t.TempDir(), b)
	for _, bad := range []func(*amqp.Props){
		func(p *amqp.Props) { p.MessageID = "a\r\nb" },
		func(p *amqp.Props) { p.Headers = amqp.Table{"idempotency-key": "a\r\nb"} },
	} {
		c := dial(t, addr)
		c.publish("m", "key", bad)
		if m := c.want(amqp.ChanClose); m.Int(0) != amqp.PreconditionFailed {
			t.Error(m.Int(0), m.Str(1))
		}
	}
	if len(b.applied) != 0 {
		t.Error(b.applied)
	}
}

// listed names a broker to an egress: what is not listed is sent nothing.
func listed(e *Egress, b *broker) sender.Route {
	r := sender.Route{
		Dial: "amqp://" + b.ln.Addr().String() + "/?key=in", Protocol: Proto,
		Endpoint: scheduler.Endpoint{Addr: "b", Destination: 1, State: "live"},
	}
	e.UpdateRoutes([]sender.Route{r})
	return r
}

// A publish that waits for its broker is judged by what holds once that is ready.
func TestPublishIsJudgedWhenItsBrokerIsReady(t *testing.T) {
	for name, forbid := range map[string]func(*Egress, sender.Route){
		"drained":       func(e *Egress, r sender.Route) { r.State = "quiescing"; e.Gate.UpdateEndpoint(r.Endpoint) },
		"left the list": func(e *Egress, r sender.Route) { r.State = "dead"; e.Gate.UpdateEndpoint(r.Endpoint) },
		"told to wait":  func(e *Egress, r sender.Route) { e.Gate.SetRetryAfter(r.Endpoint, 0, 1<<62) },
		"time up":       func(e *Egress, _ sender.Route) { e.attempts["m"].admission.Deadline = 1 },
		"shutdown":      func(e *Egress, _ sender.Route) { e.Stop() },
	} {
		t.Run(name, func(t *testing.T) {
			b, ended := newBroker(t), make(chan bool)
			var core *sender.Sender
			b.publish = func(*side, uint16, *amqp.Message, uint64) { t.Error("it was published") }
			standin.Start(t, t.TempDir(), func(c *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
				e := NewEgress(c, r, standin.Long, conntable.NewSharedLimit(100))
				core = c
				var look func()
				look = func() {
					if e.attempts["m"] != nil {
						r.After(time.Millisecond, look)
						return
					}
					close(ended)
				}
				r.Post(func() {
					to := listed(e, b)
					c.UpdateRoutes("whole", []sender.Route{to}) // the core tells no egress of it: none was added
					e.Send(to, []sender.Attempt{{ID: "m", TimeoutUs: 60e6, Deadline: c.Now() + 60e6}})
					forbid(e, to) // its connection is not up yet
					look()
				})
				return func(*reactor.Conn) reactor.Handler { return nil }
			})
			select {
			case <-ended:
			case <-time.After(standin.Long):
				t.Fatal("it never ended")
			}
			reason := make(chan sender.Outcome, 1)
			core.Post(func() { reason <- core.State().Routes[0].LastOutcome })
			if got := <-reason; got != sender.OutcomeNotSent {
				t.Errorf("it says %s of the broker", got)
			}
		})
	}
}

// What its partner would not know again by the time its broker is ready is not published.
func TestTooLateToPublish(t *testing.T) {
	b := newBroker(t)
	published := make(chan string, 2)
	b.publish = func(_ *side, _ uint16, m *amqp.Message, _ uint64) { published <- m.Props.MessageID }
	standin.Start(t, t.TempDir(), func(c *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		e := NewEgress(c, r, standin.Long, conntable.NewSharedLimit(100))
		r.Post(func() {
			to, until := listed(e, b), c.Now()+60e6
			e.Send(to, []sender.Attempt{
				{ID: "late", TimeoutUs: 60e6, Deadline: until, StartBy: c.Now() - 1},
				{ID: "m", TimeoutUs: 60e6, Deadline: until, StartBy: until},
			})
		})
		return func(*reactor.Conn) reactor.Handler { return nil }
	})
	if id := <-published; id != "m" {
		t.Fatal(id)
	}
}

// An attempt that is given up ends only once the broker has closed its channel, so that another attempt cannot
// run beside it.
func TestGivenUpEndsWithItsChannel(t *testing.T) {
	b, held := newBroker(t), make(chan bool, 1)
	b.publish = func(*side, uint16, *amqp.Message, uint64) { held <- true }
	var e *Egress
	var at *reactor.Reactor
	var core *sender.Sender
	standin.Start(t, t.TempDir(), func(c *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		core, at, e = c, r, NewEgress(c, r, standin.Long, conntable.NewSharedLimit(100))
		r.Post(func() {
			e.Send(listed(e, b), []sender.Attempt{{ID: "m", TimeoutUs: 60e6, Deadline: c.Now() + 60e6}})
		})
		return func(*reactor.Conn) reactor.Handler { return nil }
	})
	<-held
	count := make(chan int)
	at.Post(func() { e.Cancel("m", 0); count <- len(e.attempts) })
	if n := <-count; n != 1 {
		t.Fatal("it ended before its channel was closed")
	}
	for n := 1; n > 0; n = <-count { // ends with the broker's close-ok, or the test's time runs out
		at.Post(func() { count <- len(e.attempts) })
	}
	standin.Shows(t, core, "lb_upstream_tries_total 1")
}
