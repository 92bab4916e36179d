package amqpfront

import (
	"net/netip"
	"runtime"
	"strconv"
	"sync"
	"testing"
	"time"
	"unsafe"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/loop"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/internal/testing/testkit"
	"brackendale/internal/timers"
	"brackendale/scheduler"
	"brackendale/sender"
)

// testFront is a running sender whose AMQP ingress and loop a test can access.
type testFront struct {
	t       *testing.T
	ingress *Ingress
	react   *reactor.Reactor
	room    *conntable.SharedLimit
	addr    string
	kill    func()
}

// newTestFront starts a sender with one route, to the broker.
func newTestFront(t *testing.T, broker *testBroker, maxConnections int, heartbeat time.Duration) *testFront {
	front := &testFront{t: t, room: conntable.NewSharedLimit(maxConnections)}
	front.addr, front.kill = standin.Start(t, t.TempDir(),
		func(core *sender.Sender, react *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
			front.react = react
			front.ingress = NewIngress(core, react, Options{
				Policy: access.OpenPolicy("messages"), Heartbeat: heartbeat, Channels: 16,
			}, front.room.NewTable(Limits(maxConnections)))
			core.AddEgress(Proto, NewEgress(core, react, standin.Long, conntable.NewSharedLimit(10)))
			core.UpdateRoutes("whole", []sender.Route{{
				Endpoint: scheduler.Endpoint{Addr: "b", MachineType: "k", Destination: 7, State: "live"}, Protocol: Proto,
				Dial: "amqp://" + broker.listener.Addr().String() + "/?key=in",
			}})
			return front.ingress.Accept
		})
	return front
}

// onLoop runs f on the loop and waits for it.
func (tf *testFront) onLoop(f func()) {
	done := make(chan bool)
	tf.react.Post(func() { f(); close(done) })
	<-done
}

// The final answer of a message is due while its client's connection is being evicted. The answer is kept, and
// delivered once to the next consumer.
func TestAnswerDueOnAnEvictedConnection(t *testing.T) {
	broker, published, release := newBroker(t), make(chan bool, 1), make(chan bool)
	broker.publish = func(conn *frameConn, ch uint16, msg *amqp.Message, tag uint64) {
		published <- true
		<-release
		broker.apply(msg)
		conn.writeMethod(ch, amqp.Ack, tag, false)
	}
	front := newTestFront(t, broker, 10, time.Minute)
	first := dial(t, front.addr)
	first.consume()
	first.publish("m", "once")
	first.want(amqp.Ack)
	<-published
	front.onLoop(func() {
		front.room.SetMaxConns(0) // evicts all connections, as when the limit is lowered
		front.ingress.table.Expire(front.react.Now(), 10, conntable.HasUnhandledInput, conntable.EvictOwner)
		front.room.SetMaxConns(10)
		close(release) // the outcome arrives while the connection is being closed
	})
	if msg := first.want(amqp.ConnClose); msg.Int(0) != amqp.ConnectionForced {
		t.Fatal(msg.Int(0), msg.Str(1))
	}
	second := dial(t, front.addr)
	second.consume()
	if got := second.wantAnswer("m", true); got != "delivered" || broker.count("m") != 1 {
		t.Fatal(got, broker.count("m"))
	}
	second.publish("n", "safe") // a second delivery of m would arrive before its answer
	second.want(amqp.Ack)
	second.wantAnswer("n", true)
}

// Many idle clients send heartbeats at the same time, half of them reset their connections, and new ones connect.
// Meanwhile another client publishes: each of its messages has one answer, and no other connection is closed.
func TestMassHeartbeatsAndResets(t *testing.T) {
	broker := newBroker(t)
	front := newTestFront(t, broker, 300, time.Minute)
	active := dial(t, front.addr)
	active.consume()
	var idle []*testClient
	for range 100 {
		idle = append(idle, dial(t, front.addr))
	}
	var done sync.WaitGroup
	done.Add(1)
	go func() {
		defer done.Done()
		for index, client := range idle {
			_, _ = client.Write(amqp.AppendFrame(nil, amqp.FrameHeartbeat, 0, nil))
			if index%2 == 0 {
				_ = client.Conn.(interface{ SetLinger(int) error }).SetLinger(0)
				_ = client.Close()
			}
		}
	}()
	for _, id := range []string{"a", "b", "c", "d"} {
		active.publish(id, "once")
		active.want(amqp.Ack)
		if got := active.wantAnswer(id, true); got != "delivered" || broker.count(id) != 1 {
			t.Fatal(id, got, broker.count(id))
		}
	}
	done.Wait()
	for range 50 {
		dial(t, front.addr)
	}
	for i, client := range idle {
		if i%2 == 1 { // still served
			client.writeMethod(1, amqp.Qos, 0, 0, false)
			client.want(amqp.QosOk)
		}
	}
	for n := 0; n != 101; { // the table drops the connections that were reset
		front.onLoop(func() { n = front.ingress.table.Len() })
	}
}

// A process that was paused for more than two heartbeat intervals must not close its clients' connections: their frames
// have arrived and are unread.
func TestProcessPauseClosesNoClient(t *testing.T) {
	front := newTestFront(t, newBroker(t), 10, time.Second)
	client := dialAs(t, front.addr, amqp.Table{}, 1)
	stop := make(chan bool)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
				_, _ = client.Write(amqp.AppendFrame(nil, amqp.FrameHeartbeat, 0, nil))
			}
		}
	}()
	front.onLoop(func() { time.Sleep(2500 * time.Millisecond) })
	close(stop)
	client.writeMethod(1, amqp.Qos, 0, 0, false)
	client.want(amqp.QosOk)
}

// A connection with a partial frame over its time limit is closed with the reply code of the specification, also
// without heartbeats. A new connection over the connection limit gets a reply before it is closed.
func TestPartialFrameTimeoutAndConnectionLimit(t *testing.T) {
	front := newTestFront(t, newBroker(t), 1, 0)
	client := dial(t, front.addr)
	_, _ = client.Write([]byte{amqp.FrameMethod, 0, 1, 0, 0})
	for n := 0; n == 0; {
		front.onLoop(func() { n = front.ingress.table.Counts()[conntable.Partial] })
	}
	front.onLoop(func() { // as if a publish was pending, so that the connection is not evicted for the next one
		front.ingress.table.Move(&lastSession(front.ingress).Entry, conntable.BusyPartial, front.react.Now())
	})
	second, err := dialRaw(t, front.addr)
	if err != nil {
		t.Fatal(err)
	}
	if msg := second.want(amqp.ConnClose); msg.Int(0) != amqp.ResourceError {
		t.Fatal(msg.Int(0), msg.Str(1))
	}
	front.onLoop(func() {
		front.ingress.table.Expire(front.react.Now()+11*time.Second, 10, conntable.HasUnhandledInput, conntable.EvictOwner)
	})
	if msg := client.want(amqp.ConnClose); msg.Int(0) != amqp.FrameError {
		t.Fatal(msg.Int(0), msg.Str(1))
	}
}

// lastSession returns a session of the ingress, or nil. It is meant for an ingress with one connection.
func lastSession(ingress *Ingress) (s *session) {
	ingress.table.Each(func(e *conntable.Entry) { s, _ = e.Owner().(*session) })
	return s
}

// The memory of an idle client with one channel is limited: the sizes of its structs, and its bytes of heap, measured
// for 10,000 clients with the connection table and the timer wheel.
func TestSessionBytes(t *testing.T) {
	if n := unsafe.Sizeof(session{}); n > 320 {
		t.Errorf("the session struct has %d bytes", n)
	}
	if n := unsafe.Sizeof(channel{}); n > 208 {
		t.Errorf("the channel struct has %d bytes", n)
	}
	if _, _, each := newIdleSessions(10_000); each > 640 {
		t.Errorf("an idle session has %d bytes of heap", each)
	}
}

// newIdleSessions returns n idle sessions with one channel each, without sockets, and the bytes of heap of each.
func newIdleSessions(n int) (eventLoop *loop.Loop, sessions []*session, each uint64) {
	eventLoop = loop.New()
	in := &Ingress{table: conntable.NewSharedLimit(n).NewTable(Limits(n))}
	sessions = make([]*session, n)
	before := testkit.HeapBytes()
	for i := range sessions {
		s := &session{ingress: in, amqpConn: newAMQPConn(eventLoop), stage: stageReady}
		s.conn, s.channels = &reactor.Conn{}, []*channel{{session: s, id: 1}}
		in.table.Admit(&s.Entry, s, netip.Addr{}, 0)
		s.startHeartbeats(10*time.Second, s)
		sessions[i] = s
	}
	return eventLoop, sessions, (testkit.HeapBytes() - before) / uint64(n)
}

// BenchmarkIdleSessions measures, with up to 250,000 idle sessions, the heap bytes of a session and the time to move
// one to another class of the connection table and back, and to arm its timer again.
func BenchmarkIdleSessions(b *testing.B) {
	for _, n := range []int{1_000, 17_000, 250_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			eventLoop, sessions, each := newIdleSessions(n)
			b.ResetTimer()
			for i := range b.N {
				s := sessions[i*7919%n]
				s.addPending(1)
				s.addPending(-1)
				eventLoop.Arm(&s.timer, s.heartbeat/2, timers.TickSlack, s)
			}
			b.ReportMetric(float64(each), "B/session")
			runtime.KeepAlive(sessions)
		})
	}
}
