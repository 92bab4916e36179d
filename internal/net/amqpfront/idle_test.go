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

// crowd is a sender with many places, whose inside a test may reach.
type crowd struct {
	t    *testing.T
	in   *Ingress
	r    *reactor.Reactor
	room *conntable.SharedLimit
	addr string
	kill func()
}

func newCrowd(t *testing.T, b *broker, most int, beat time.Duration) *crowd {
	c := &crowd{t: t, room: conntable.NewSharedLimit(most)}
	c.addr, c.kill = standin.Start(t, t.TempDir(),
		func(core *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
			c.r = r
			c.in = NewIngress(core, r, Options{Policy: access.Anyone("messages"), Heartbeat: beat, Channels: 16},
				c.room.NewTable(Limits(most)))
			core.AddEgress(Proto, NewEgress(core, r, standin.Long, conntable.NewSharedLimit(10)))
			core.UpdateRoutes("whole", []sender.Route{{
				Endpoint: scheduler.Endpoint{Addr: "b", MachineType: "k", Destination: 7, State: "live"}, Protocol: Proto,
				Dial: "amqp://" + b.ln.Addr().String() + "/?key=in",
			}})
			return c.in.Accept
		})
	return c
}

// on runs f on the loop and waits for it.
func (c *crowd) on(f func()) {
	done := make(chan bool)
	c.r.Post(func() { f(); close(done) })
	<-done
}

// The end of a message falls due while its client's connection is being ended for room: it is kept, and delivered
// once to the next consumer.
func TestAnswerDueOnAnEvictedConnection(t *testing.T) {
	b, held, release := newBroker(t), make(chan bool, 1), make(chan bool)
	b.publish = func(s *side, ch uint16, m *amqp.Message, tag uint64) {
		held <- true
		<-release
		b.apply(m)
		s.method(ch, amqp.Ack, tag, false)
	}
	w := newCrowd(t, b, 10, time.Minute)
	one := dial(t, w.addr)
	one.consume()
	one.publish("m", "once")
	one.want(amqp.Ack)
	<-held
	w.on(func() {
		w.room.SetMaxConns(0) // as a lowered bound does
		w.in.table.Expire(w.r.Now(), 10, conntable.HasUnhandledInput, conntable.EvictOwner)
		w.room.SetMaxConns(10)
		close(release) // the end comes while the close is on its way
	})
	if m := one.want(amqp.ConnClose); m.Int(0) != amqp.ConnectionForced {
		t.Fatal(m.Int(0), m.Str(1))
	}
	two := dial(t, w.addr)
	two.consume()
	if got := two.answer("m", true); got != "delivered" || b.count("m") != 1 {
		t.Fatal(got, b.count("m"))
	}
	two.publish("n", "safe") // a second delivery would come first
	two.want(amqp.Ack)
	two.answer("n", true)
}

// A hundred heartbeat at once, half are reset and come back at once, and one goes on publishing: all its messages are
// answered once, and nobody else is ended.
func TestStorms(t *testing.T) {
	b := newBroker(t)
	w := newCrowd(t, b, 300, time.Minute)
	active := dial(t, w.addr)
	active.consume()
	var idle []*client
	for range 100 {
		idle = append(idle, dial(t, w.addr))
	}
	var all sync.WaitGroup
	all.Add(1)
	go func() {
		defer all.Done()
		for round, c := range idle {
			_, _ = c.Write(amqp.AppendFrame(nil, amqp.FrameBeat, 0, nil))
			if round%2 == 0 {
				_ = c.Conn.(interface{ SetLinger(int) error }).SetLinger(0)
				_ = c.Close()
			}
		}
	}()
	for _, id := range []string{"a", "b", "c", "d"} {
		active.publish(id, "once")
		active.want(amqp.Ack)
		if got := active.answer(id, true); got != "delivered" || b.count(id) != 1 {
			t.Fatal(id, got, b.count(id))
		}
	}
	all.Wait()
	for range 50 {
		dial(t, w.addr)
	}
	for i, c := range idle {
		if i%2 == 1 { // still served
			c.method(1, amqp.Qos, 0, 0, false)
			c.want(amqp.QosOk)
		}
	}
	for n := 0; n != 101; { // the reset ones are forgotten
		w.on(func() { n = w.in.table.Len() })
	}
}

// A process that was paused for longer than two heartbeats must not close its clients: their frames are unread.
func TestPauseOfTheProcess(t *testing.T) {
	w := newCrowd(t, newBroker(t), 10, time.Second)
	c := dialAs(t, w.addr, amqp.Table{}, 1)
	stop := make(chan bool)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(300 * time.Millisecond):
				_, _ = c.Write(amqp.AppendFrame(nil, amqp.FrameBeat, 0, nil))
			}
		}
	}()
	w.on(func() { time.Sleep(2500 * time.Millisecond) })
	close(stop)
	c.method(1, amqp.Qos, 0, 0, false)
	c.want(amqp.QosOk)
}

// Half a frame is ended with the specification's code once its time is over, also where no heartbeats were agreed on;
// a new connection over the limit gets a reply before it is closed.
func TestHalfAFrameAndNoRoom(t *testing.T) {
	w := newCrowd(t, newBroker(t), 1, 0)
	c := dial(t, w.addr)
	_, _ = c.Write([]byte{amqp.FrameMethod, 0, 1, 0, 0})
	for n := 0; n == 0; {
		w.on(func() { n = w.in.table.Counts()[conntable.Partial] })
	}
	w.on(func() { w.in.table.Move(&firstOf(w.in).Entry, conntable.BusyPartial, w.r.Now()) }) // as with something open
	second, err := dialRaw(t, w.addr)
	if err != nil {
		t.Fatal(err)
	}
	if m := second.want(amqp.ConnClose); m.Int(0) != amqp.ResourceError {
		t.Fatal(m.Int(0), m.Str(1))
	}
	w.on(func() {
		w.in.table.Expire(w.r.Now()+11*time.Second, 10, conntable.HasUnhandledInput, conntable.EvictOwner)
	})
	if m := c.want(amqp.ConnClose); m.Int(0) != amqp.FrameError {
		t.Fatal(m.Int(0), m.Str(1))
	}
}

func firstOf(in *Ingress) (s *session) {
	in.table.Each(func(e *conntable.Entry) { s, _ = e.Owner().(*session) })
	return s
}

// The bytes of an idle client with one channel: its records, and what the heap holds for ten thousand of them with the
// table and the wheel.
func TestSessionBytes(t *testing.T) {
	if n := unsafe.Sizeof(session{}); n > 320 {
		t.Errorf("a session's record takes %d bytes", n)
	}
	if n := unsafe.Sizeof(channel{}); n > 208 {
		t.Errorf("a channel's record takes %d bytes", n)
	}
	if _, _, each := inMemory(10_000); each > 640 {
		t.Errorf("an idle session takes %d bytes of heap", each)
	}
}

// inMemory makes idle sessions with one channel each, without sockets, and tells their bytes of heap.
func inMemory(n int) (l *loop.Loop, list []*session, each uint64) {
	l = loop.New()
	in := &Ingress{table: conntable.NewSharedLimit(n).NewTable(Limits(n))}
	list = make([]*session, n)
	before := testkit.HeapBytes()
	for i := range list {
		s := &session{ingress: in, peer: newPeer(l), stage: stageReady}
		s.conn, s.channels = &reactor.Conn{}, []*channel{{session: s, id: 1}}
		in.table.Admit(&s.Entry, s, netip.Addr{}, 0)
		s.keepAlive(10*time.Second, s)
		list[i] = s
	}
	return l, list, (testkit.HeapBytes() - before) / uint64(n)
}

// A quarter of a million idle sessions through the table and the wheel: bytes for each, and what it costs that one is
// heard, stands in its list anew and sets its timer anew.
func BenchmarkIdleSessions(b *testing.B) {
	for _, n := range []int{1_000, 17_000, 250_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			l, list, each := inMemory(n)
			b.ResetTimer()
			for i := range b.N {
				s := list[i*7919%n]
				s.addPending(1)
				s.addPending(-1)
				l.Arm(&s.timer, s.heartbeat/2, timers.TickSlack, s)
			}
			b.ReportMetric(float64(each), "B/session")
			runtime.KeepAlive(list)
		})
	}
}
