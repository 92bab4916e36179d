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

// frameConn is the test's end of a connection, which reads and writes frames.
type frameConn struct {
	net.Conn
	buf        []byte
	assemblies map[uint16]*amqp.Assembly
}

func newFrameConn(c net.Conn) *frameConn {
	_ = c.SetDeadline(time.Now().Add(standin.Long))
	return &frameConn{Conn: c, assemblies: map[uint16]*amqp.Assembly{}}
}

// readFrame returns the next frame that is not a heartbeat.
func (c *frameConn) readFrame() (amqp.Frame, error) {
	for {
		frame, size, err := amqp.ParseFrame(c.buf, amqp.FrameMax)
		if err != nil {
			return frame, err
		}
		if size > 0 {
			c.buf = c.buf[size:]
			if frame.Kind != amqp.FrameHeartbeat {
				return frame, nil
			}
			continue
		}
		chunk := make([]byte, 8192)
		size, err = c.Read(chunk)
		if err != nil {
			return frame, err
		}
		c.buf = append(c.buf, chunk[:size]...)
	}
}

// next returns the next message and its channel.
func (c *frameConn) next() (uint16, *amqp.Message, error) {
	for {
		frame, err := c.readFrame()
		if err != nil {
			return 0, nil, err
		}
		if c.assemblies[frame.Channel] == nil {
			c.assemblies[frame.Channel] = &amqp.Assembly{}
		}
		if msg, err := c.assemblies[frame.Channel].Add(frame); msg != nil || err != nil {
			return frame.Channel, msg, err
		}
	}
}

func (c *frameConn) writeMethod(ch uint16, key amqp.Key, args ...any) {
	_, _ = c.Write(amqp.AppendMethod(nil, ch, key, args...)) // after a close by the peer, the next read fails
}

// testBroker is a stand-in for a partner's broker.
type testBroker struct {
	listener net.Listener
	mu       sync.Mutex
	applied  map[string]int   // number of times that a message was applied, by message ID
	props    chan *amqp.Props // the properties of the applied messages

	connections sync.WaitGroup // that are open

	maxChannels int // channel numbers of a connection; 0: no limit

	// step is called at each step of a connection; true closes the connection there.
	step func(name string) bool
	// publish handles a publish; nil: apply and ack.
	publish func(conn *frameConn, ch uint16, msg *amqp.Message, tag uint64)
}

// newBroker starts a broker that applies and acks every publish.
func newBroker(t *testing.T) *testBroker {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	broker := &testBroker{
		listener: listener, applied: map[string]int{}, props: make(chan *amqp.Props, 100),
		step: func(string) bool { return false },
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			broker.connections.Go(func() { broker.serve(newFrameConn(c)) })
		}
	}()
	return broker
}

// serve handles a connection until it ends.
func (b *testBroker) serve(conn *frameConn) {
	defer conn.Close()
	header := make([]byte, len(amqp.ProtocolHeader))
	if _, err := conn.Read(header); err != nil || b.step("preamble") {
		return
	}
	conn.writeMethod(0, amqp.ConnStart, 0, 9, amqp.Table{}, "PLAIN", "en_US")
	tags, assemblies := map[uint16]uint64{}, map[uint16]*amqp.Assembly{}
	for {
		frame, err := conn.readFrame()
		if err != nil {
			return
		}
		if assemblies[frame.Channel] == nil {
			assemblies[frame.Channel] = &amqp.Assembly{}
		}
		msg, err := assemblies[frame.Channel].Add(frame)
		if err != nil {
			return
		}
		if msg == nil {
			if b.step(map[byte]string{
				amqp.FrameMethod: "publish", amqp.FrameHeader: "header", amqp.FrameBody: "part",
			}[frame.Kind]) {
				return
			}
			continue
		}
		switch msg.Key {
		case amqp.ConnStartOk:
			if b.step("start-ok") {
				return
			}
			conn.writeMethod(0, amqp.ConnTune, b.maxChannels, amqp.FrameMin, 0)
		case amqp.ConnOpen:
			if b.step("open") {
				return
			}
			conn.writeMethod(0, amqp.ConnOpenOk, "")
		case amqp.ChanOpen:
			if b.step("channel") {
				return
			}
			tags[frame.Channel] = 0
			conn.writeMethod(frame.Channel, amqp.ChanOpenOk, "")
		case amqp.ConfirmSelect:
			if b.step("select") {
				return
			}
			conn.writeMethod(frame.Channel, amqp.ConfirmSelectOk)
		case amqp.ChanClose:
			conn.writeMethod(frame.Channel, amqp.ChanCloseOk)
		case amqp.Publish:
			tags[frame.Channel]++
			if b.publish != nil {
				b.publish(conn, frame.Channel, msg, tags[frame.Channel])
				continue
			}
			b.apply(msg)
			if b.step("applied") {
				return
			}
			conn.writeMethod(frame.Channel, amqp.Ack, tags[frame.Channel], false)
			if b.step("acked") {
				return
			}
		}
	}
}

// apply records that a message has run.
func (b *testBroker) apply(msg *amqp.Message) {
	b.mu.Lock()
	b.applied[msg.Props.MessageID]++
	b.mu.Unlock()
	b.props <- msg.Props
}

// count returns how often a message was applied.
func (b *testBroker) count(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.applied[id]
}

// maxTestClients is the connection limit of a sender that start or startFor started.
const maxTestClients = 20

// start starts an incarnation of a sender whose state is in dir, with one route, to the broker.
func start(t *testing.T, dir string, broker *testBroker) (addr string, kill func()) {
	t.Helper()
	return startFor(t, dir, broker, access.OpenPolicy("messages"))
}

// startFor is like start, with an access policy for the clients.
func startFor(t *testing.T, dir string, broker *testBroker, policy *access.Policy) (addr string, kill func()) {
	t.Helper()
	return standin.Start(t, dir, joinFor(broker, policy))
}

// joinFor returns a function that adds the front and the egress to a sender, with one route, to the broker.
func joinFor(
	broker *testBroker, policy *access.Policy,
) func(*sender.Sender, *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
	return func(core *sender.Sender, react *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		ingress := NewIngress(core, react, Options{Policy: policy, Heartbeat: time.Minute, Channels: 16},
			conntable.NewSharedLimit(maxTestClients).NewTable(Limits(maxTestClients)))
		core.AddEgress(Proto, NewEgress(core, react, 1500*time.Millisecond, conntable.NewSharedLimit(100)))
		core.UpdateRoutes("whole", []sender.Route{{
			Endpoint: scheduler.Endpoint{Addr: "b", MachineType: "k", Destination: 7, State: "live"}, Protocol: Proto,
			Dial: "amqp://u:p@" + broker.listener.Addr().String() + "/?exchange=records&key=in",
		}})
		return ingress.Accept
	}
}

// dialRaw opens a client that has sent the protocol header.
func dialRaw(t testing.TB, addr string) (*testClient, error) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	t.Cleanup(func() { _ = c.Close() })
	client := &testClient{newFrameConn(c), t}
	_, _ = client.Write([]byte(amqp.ProtocolHeader))
	return client, nil
}

// dial opens a client with channel 1 in confirm mode.
func dial(t *testing.T, addr string) *testClient { t.Helper(); return dialAs(t, addr, amqp.Table{}, 0) }

// dialAs is like dial, with client properties and a heartbeat interval in seconds.
func dialAs(t testing.TB, addr string, properties amqp.Table, heartbeat int) *testClient {
	t.Helper()
	client, err := dialRaw(t, addr)
	if err != nil {
		t.Fatal(err)
	}
	client.handshake(properties, heartbeat)
	return client
}

// handshake opens the connection and channel 1 in confirm mode.
func (c *testClient) handshake(properties amqp.Table, heartbeat int) {
	c.t.Helper()
	c.want(amqp.ConnStart)
	c.writeMethod(0, amqp.ConnStartOk, properties, "PLAIN", "\x00guest\x00guest", "en_US")
	c.want(amqp.ConnTune)
	c.writeMethod(0, amqp.ConnTuneOk, 8, amqp.FrameMin, heartbeat)
	c.writeMethod(0, amqp.ConnOpen, "/", "", false)
	c.want(amqp.ConnOpenOk)
	c.writeMethod(1, amqp.ChanOpen, "")
	c.want(amqp.ChanOpenOk)
	c.writeMethod(1, amqp.ConfirmSelect, false)
	c.want(amqp.ConfirmSelectOk)
}

// testClient is a client of the front. Its methods fail the test when the front replies with something else.
type testClient struct {
	*frameConn
	t testing.TB
}

// want reads the next message, which must be of this method.
func (c *testClient) want(key amqp.Key) *amqp.Message {
	c.t.Helper()
	_, msg, err := c.next()
	if err != nil {
		c.t.Fatalf("waiting for %d.%d: %v", key.Class(), key.ID(), err)
	}
	if msg.Key != key {
		c.t.Fatalf("got %d.%d, want %d.%d: %v", msg.Class(), msg.ID(), key.Class(), key.ID(), msg.Method)
	}
	return msg
}

// consume starts a consumer of the queue "answers" on channel 1.
func (c *testClient) consume() {
	c.t.Helper()
	c.writeMethod(1, amqp.Consume, 0, "answers", "me", false, false, false, false, amqp.Table{})
	c.want(amqp.ConsumeOk)
}

// publish publishes a message to destination 7, with the queue "answers" as reply-to.
func (c *testClient) publish(id, class string, change ...func(*amqp.Props)) {
	props := &amqp.Props{
		MessageID: id, Type: class, ReplyTo: "answers", CorrelationID: "c-" + id,
		Headers: amqp.Table{"idempotency-key": "k" + id},
	}
	for _, f := range change {
		f(props)
	}
	_, _ = c.Write(amqp.AppendMessage(nil, 1, amqp.Publish, props, make([]byte, 9000), amqp.FrameMin, 0, "messages",
		"7", false, false))
}

// wantAnswer reads one final answer and returns its outcome.
func (c *testClient) wantAnswer(id string, ack bool) string {
	c.t.Helper()
	msg := c.want(amqp.Deliver)
	if msg.Props.MessageID != id || msg.Props.CorrelationID != "c-"+id {
		c.t.Fatalf("got the answer to another message, %q", msg.Props.MessageID)
	}
	if ack {
		c.writeMethod(1, amqp.Ack, msg.Int(1), false)
		// The ack has been handled when the reply to a later method arrives.
		c.writeMethod(1, amqp.Qos, 0, 0, false)
		c.want(amqp.QosOk)
	}
	return msg.Props.Type
}

// The broker's connection ends at each step of a publish of an unsafe message. Until the last byte of the publish was
// sent, the message has not run and is sent again. After that it may have run, and must not be sent again. It is never
// applied twice, and the client gets one answer.
func TestBrokerKilledAtEveryStep(t *testing.T) {
	for step, wantOutcome := range map[string]string{
		"preamble": "delivered", "start-ok": "delivered", "open": "delivered",
		"channel": "delivered", "select": "delivered", "publish": "", "header": "", "part": "", "applied": "failed",
		"acked": "delivered",
	} {
		t.Run(step, func(t *testing.T) {
			broker := newBroker(t)
			var once sync.Once
			broker.step = func(current string) (cut bool) {
				if current == step {
					once.Do(func() { cut = true })
				}
				return cut
			}
			addr, _ := start(t, t.TempDir(), broker)
			client := dial(t, addr)
			client.consume()
			client.publish("m", "once")
			client.want(amqp.Ack)
			got := client.wantAnswer("m", true)
			// If the cut is within the publish, the sender may or may not have written the last byte: any outcome is valid.
			if n := broker.count("m"); n > 1 || wantOutcome != "" && got != wantOutcome ||
				(got == "delivered") != (n == 1) && wantOutcome != "failed" {
				t.Errorf("%s, applied %d times", got, n)
			}
			client.publish("m", "once") // the same message-id never runs twice
			client.want(amqp.Ack)
			if again := client.wantAnswer("m", true); again != got || broker.count("m") > 1 {
				t.Errorf("second publish: %s, applied %d times", again, broker.count("m"))
			}
		})
	}
}

// The broker's reply to a publish decides whether the message may be sent again.
func TestConfirms(t *testing.T) {
	for _, test := range []struct {
		name, class, wantOutcome string
		applied                  int
		handleFirst              func(conn *frameConn, ch uint16, msg *amqp.Message, tag uint64)
	}{
		{"a nack may have run", "once", "failed", 0, func(conn *frameConn, ch uint16, _ *amqp.Message, tag uint64) {
			conn.writeMethod(ch, amqp.Nack, tag, false, false)
		}},
		{"a nacked record goes again", "key", "delivered", 1, func(conn *frameConn, ch uint16, _ *amqp.Message, tag uint64) {
			conn.writeMethod(ch, amqp.Nack, tag, false, false)
		}},
		{
			"a returned charge never ran, though it is acked", "once", "delivered", 1,
			func(conn *frameConn, ch uint16, msg *amqp.Message, tag uint64) {
				_, _ = conn.Write(amqp.AppendMessage(nil, ch, amqp.Return, msg.Props, msg.Body, amqp.FrameMin, amqp.NoRoute,
					"NO_ROUTE", "records", "in"))
				conn.writeMethod(ch, amqp.Ack, tag, false)
			},
		},
		{
			"an ack of no publish is no delivery", "once", "failed", 0,
			func(conn *frameConn, ch uint16, _ *amqp.Message, tag uint64) {
				conn.writeMethod(ch, amqp.Ack, tag+1, false)
			},
		},
		{
			"a channel closed after the publish", "once", "failed", 0,
			func(conn *frameConn, ch uint16, _ *amqp.Message, _ uint64) {
				conn.writeMethod(ch, amqp.ChanClose, amqp.PreconditionFailed, "no", 60, 40)
			},
		},
		{
			"a connection closed after the publish", "once", "failed", 0,
			func(conn *frameConn, _ uint16, _ *amqp.Message, _ uint64) {
				conn.writeMethod(0, amqp.ConnClose, amqp.ConnectionForced, "bye", 0, 0)
			},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			broker := newBroker(t)
			n := 0
			broker.publish = func(conn *frameConn, ch uint16, msg *amqp.Message, tag uint64) {
				if n++; n == 1 {
					test.handleFirst(conn, ch, msg, tag)
					return
				}
				broker.apply(msg)
				conn.writeMethod(ch, amqp.Ack, tag, true)
			}
			addr, _ := start(t, t.TempDir(), broker)
			client := dial(t, addr)
			client.consume()
			client.publish("m", test.class)
			client.want(amqp.Ack)
			if got := client.wantAnswer("m", true); got != test.wantOutcome || broker.count("m") != test.applied {
				t.Errorf("%s, applied %d times", got, broker.count("m"))
			}
		})
	}
}

// Nothing is published on a blocked connection until the broker unblocks it. The publish has the time until the
// deadline as its expiration.
func TestBlocked(t *testing.T) {
	broker := newBroker(t)
	var unblocked, early bool
	broker.publish = func(conn *frameConn, ch uint16, msg *amqp.Message, tag uint64) {
		if msg.Props.MessageID == "first" {
			conn.writeMethod(0, amqp.ConnBlocked, "low on memory")
			conn.writeMethod(ch, amqp.Ack, tag, false)
			go func() {
				time.Sleep(100 * time.Millisecond)
				broker.mu.Lock()
				unblocked = true
				broker.mu.Unlock()
				conn.writeMethod(0, amqp.ConnUnblocked)
			}()
			return
		}
		broker.mu.Lock()
		early = !unblocked
		broker.mu.Unlock()
		broker.apply(msg)
		conn.writeMethod(ch, amqp.Ack, tag, false)
	}
	addr, _ := start(t, t.TempDir(), broker)
	client := dial(t, addr)
	client.consume()
	client.publish("first", "once")
	client.want(amqp.Ack)
	client.wantAnswer("first", true)
	client.publish("second", "once", func(properties *amqp.Props) { properties.Expiration = "30000" })
	client.want(amqp.Ack)
	if client.wantAnswer("second", true); early {
		t.Error("published while blocked")
	}
	var ms int
	if properties := <-broker.props; properties.Expiration != "" {
		_, _ = fmt.Sscan(properties.Expiration, &ms)
	}
	if ms < 1 || ms > 30000 {
		t.Error("expiration", ms)
	}
}

// Connections that send nothing, as many as the limit allows, must not exclude a client that completes its handshake.
func TestConnectionsWithoutHandshakeAreEvicted(t *testing.T) {
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

// A client loses its connection, or the sender restarts, before the client has acknowledged its answer. The answer is
// delivered again, marked as redelivered, and after its acknowledgement never again.
func TestConnectionLostWithUnacknowledgedAnswer(t *testing.T) {
	broker, dir := newBroker(t), t.TempDir()
	addr, kill := start(t, dir, broker)
	client := dial(t, addr)
	client.consume()
	client.publish("m", "once")
	client.want(amqp.Ack)
	client.wantAnswer("m", false)
	_ = client.Close()
	client = dial(t, addr)
	client.consume()
	if msg := client.want(amqp.Deliver); !msg.Bool(2) || msg.Props.Type != "delivered" {
		t.Fatal(msg.Method, msg.Props)
	}
	kill() // the answer is unacknowledged, and the client may have received it
	addr, kill = start(t, dir, broker)
	client = dial(t, addr)
	client.consume()
	if msg := client.want(amqp.Deliver); !msg.Bool(2) || msg.Props.Type != "delivered" {
		t.Fatal(msg.Method, msg.Props)
	}
	_ = client.Close()
	client = dial(t, addr)
	client.consume()
	if client.wantAnswer("m", true) != "delivered" {
		t.Fatal("the final answer has changed")
	}
	kill()
	addr, _ = start(t, dir, broker)
	client = dial(t, addr)
	client.consume()
	client.publish("n", "safe") // an unacknowledged answer to m would be delivered first
	client.want(amqp.Ack)
	if client.wantAnswer("n", true); broker.count("m") != 1 {
		t.Fatal("applied", broker.count("m"))
	}
}

// A connection that has two consumers of one queue ends: the answer that one of them has not acknowledged must not go
// to the other one, which needs no acknowledgement (review/10), but to the client's next connection.
func TestConnectionLostWithTwoConsumers(t *testing.T) {
	for name, end := range map[string]func(client *testClient){
		"dropped":       func(client *testClient) { _ = client.Close() },
		"malformed":     func(client *testClient) { _, _ = client.Write(make([]byte, amqp.FrameMin)) },
		"closed by it":  func(client *testClient) { client.writeMethod(0, amqp.ConnClose, 200, "", 0, 0) },
		"wrong channel": func(client *testClient) { client.writeMethod(7, amqp.Qos, 0, 0, false) },
	} {
		t.Run(name, func(t *testing.T) {
			addr, _ := start(t, t.TempDir(), newBroker(t))
			client := dial(t, addr)
			client.consume()
			client.writeMethod(2, amqp.ChanOpen, "")
			client.want(amqp.ChanOpenOk)
			client.writeMethod(2, amqp.Consume, 0, "answers", "display", false, true, false, false, amqp.Table{})
			client.want(amqp.ConsumeOk)
			client.publish("m", "once")
			client.want(amqp.Ack)
			client.wantAnswer("m", false)
			end(client)
			for _, _, err := client.next(); err == nil; _, _, err = client.next() { // until the connection has ended
				client.writeMethod(0, amqp.ConnCloseOk)
			}
			client = dial(t, addr)
			client.consume()
			if client.wantAnswer("m", true) != "delivered" {
				t.Error("another answer")
			}
		})
	}
}

// The sender is killed while publishes are unconfirmed. After the restart the unsafe message, which may have run,
// fails, and the message with an idempotency key is sent again.
func TestSenderKilled(t *testing.T) {
	broker, dir := newBroker(t), t.TempDir()
	published := make(chan bool, 9)
	broker.publish = func(conn *frameConn, ch uint16, msg *amqp.Message, tag uint64) {
		if msg.Props.MessageID == "first" { // before its first success, a destination gets one call at a time
			conn.writeMethod(ch, amqp.Ack, tag, false)
			return
		}
		published <- true
	}
	addr, kill := start(t, dir, broker)
	client := dial(t, addr)
	client.consume()
	client.publish("first", "safe")
	client.want(amqp.Ack)
	client.wantAnswer("first", true)
	for _, class := range []string{"once", "key"} {
		client.publish(class, class)
		client.want(amqp.Ack)
		<-published
	}
	kill()
	broker.publish = nil
	addr, _ = start(t, dir, broker)
	client = dial(t, addr)
	client.consume()
	got := map[string]string{}
	for range 2 {
		msg := client.want(amqp.Deliver)
		got[msg.Props.MessageID] = msg.Props.Type
	}
	if got["once"] != "failed" || got["key"] != "delivered" || broker.count("once") != 0 {
		t.Fatal(got)
	}
}

// A message ID or idempotency key with line breaks, which could inject a header field in another protocol, is rejected.
func TestHeaderInjection(t *testing.T) {
	broker := newBroker(t)
	addr, _ := start(t, t.TempDir(), broker)
	for _, bad := range []func(*amqp.Props){
		func(props *amqp.Props) { props.MessageID = "a\r\nb" },
		func(props *amqp.Props) { props.Headers = amqp.Table{"idempotency-key": "a\r\nb"} },
	} {
		client := dial(t, addr)
		client.publish("m", "key", bad)
		if msg := client.want(amqp.ChanClose); msg.Int(0) != amqp.PreconditionFailed {
			t.Error(msg.Int(0), msg.Str(1))
		}
	}
	if len(broker.applied) != 0 {
		t.Error(broker.applied)
	}
}

// addToGate adds the broker's endpoint to the egress's gate, which admits attempts only to listed endpoints.
func addToGate(egress *Egress, broker *testBroker) sender.Route {
	route := sender.Route{
		Dial: "amqp://" + broker.listener.Addr().String() + "/?key=in", Protocol: Proto,
		Endpoint: scheduler.Endpoint{Addr: "b", Destination: 1, State: "live"},
	}
	egress.UpdateRoutes([]sender.Route{route})
	return route
}

// The gate checks a publish when its broker is ready, not when it was submitted. If it must no longer be sent by then,
// it ends as not sent, which does not count against the broker.
func TestGateIsCheckedWhenBrokerIsReady(t *testing.T) {
	for name, forbid := range map[string]func(*Egress, sender.Route){
		"drained": func(egress *Egress, r sender.Route) {
			r.State = "quiescing"
			egress.Gate.UpdateEndpoint(r.Endpoint)
		},
		"left the list": func(egress *Egress, r sender.Route) {
			r.State = "dead"
			egress.Gate.UpdateEndpoint(r.Endpoint)
		},
		"told to wait": func(egress *Egress, r sender.Route) {
			egress.Gate.SetRetryAfter(egress.Gate.RouteName(r.Endpoint), 0, 1<<62)
		},
		"time up":  func(egress *Egress, _ sender.Route) { egress.attempts["m"].admission.Deadline = 1 },
		"shutdown": func(egress *Egress, _ sender.Route) { egress.Stop() },
	} {
		t.Run(name, func(t *testing.T) {
			broker, ended := newBroker(t), make(chan bool)
			var core *sender.Sender
			broker.publish = func(*frameConn, uint16, *amqp.Message, uint64) { t.Error("the attempt was published") }
			standin.Start(t, t.TempDir(), func(started *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
				egress := NewEgress(started, r, standin.Long, conntable.NewSharedLimit(100))
				core = started
				var poll func()
				poll = func() {
					if egress.attempts["m"] != nil {
						r.After(time.Millisecond, poll)
						return
					}
					close(ended)
				}
				r.Post(func() {
					to := addToGate(egress, broker)
					started.UpdateRoutes("whole", []sender.Route{to}) // not passed to the egress, which was not added to the core
					egress.Send(to, []sender.Attempt{{ID: "m", TimeoutUs: 60e6, Deadline: started.Now() + 60e6}})
					forbid(egress, to) // the connection to the broker is not open yet
					poll()
				})
				return func(*reactor.Conn) reactor.Handler { return nil }
			})
			select {
			case <-ended:
			case <-time.After(standin.Long):
				t.Fatal("the attempt has no outcome")
			}
			reason := make(chan sender.Outcome, 1)
			core.Post(func() { reason <- core.State().Routes[0].LastOutcome })
			if got := <-reason; got != sender.OutcomeNotSent {
				t.Errorf("got outcome %s, want one that does not count against the broker", got)
			}
		})
	}
}

// An attempt whose idempotency window is over when its broker is ready is not published: the partner may no longer
// recognize its idempotency key.
func TestTooLateToPublish(t *testing.T) {
	broker := newBroker(t)
	published := make(chan string, 2)
	broker.publish = func(_ *frameConn, _ uint16, msg *amqp.Message, _ uint64) { published <- msg.Props.MessageID }
	standin.Start(t, t.TempDir(), func(core *sender.Sender, react *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		egress := NewEgress(core, react, standin.Long, conntable.NewSharedLimit(100))
		react.Post(func() {
			to, deadline := addToGate(egress, broker), core.Now()+60e6
			egress.Send(to, []sender.Attempt{
				{ID: "late", TimeoutUs: 60e6, Deadline: deadline, StartBy: core.Now() - 1},
				{ID: "m", TimeoutUs: 60e6, Deadline: deadline, StartBy: deadline},
			})
		})
		return func(*reactor.Conn) reactor.Handler { return nil }
	})
	if id := <-published; id != "m" {
		t.Fatal(id)
	}
}

// An attempt that is given up ends only when the broker has closed its channel, so that no other attempt can run at the
// same time.
func TestGivenUpAttemptEndsWithItsChannel(t *testing.T) {
	broker, published := newBroker(t), make(chan bool, 1)
	broker.publish = func(*frameConn, uint16, *amqp.Message, uint64) { published <- true }
	var egress *Egress
	var loopReactor *reactor.Reactor
	var core *sender.Sender
	standin.Start(t, t.TempDir(), func(started *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		core, loopReactor, egress = started, r, NewEgress(started, r, standin.Long, conntable.NewSharedLimit(100))
		r.Post(func() {
			egress.Send(addToGate(egress, broker), []sender.Attempt{{ID: "m", TimeoutUs: 60e6, Deadline: started.Now() + 60e6}})
		})
		return func(*reactor.Conn) reactor.Handler { return nil }
	})
	<-published
	count := make(chan int)
	loopReactor.Post(func() { egress.Cancel("m", 0); count <- len(egress.attempts) })
	if n := <-count; n != 1 {
		t.Fatal("the attempt ended before its channel was closed")
	}
	for n := 1; n > 0; n = <-count { // ends with the broker's channel.close-ok
		loopReactor.Post(func() { count <- len(egress.attempts) })
	}
	standin.ExpectMetric(t, core, "lb_upstream_tries_total 1")
}
