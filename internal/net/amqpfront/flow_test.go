package amqpfront

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"runtime"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"brackendale/internal/access"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/scheduler"
	"brackendale/sender"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// atOnce is an egress whose targets deliver at once: what is measured with it is the front, the core and the journal.
type atOnce struct{ core *sender.Sender }

func (e atOnce) Send(to sender.Route, attempts []sender.Attempt) {
	list := make([]sender.AttemptResult, len(attempts))
	for i, h := range attempts {
		list[i] = sender.AttemptResult{ID: h.ID, Attempt: h.Number, Endpoint: to.Addr, Outcome: sender.OutcomeSuccess}
	}
	e.core.ReportAttempts(list...)
}
func (atOnce) Cancel(string, int)          {}
func (atOnce) CloseIdle(sender.Route)      {}
func (atOnce) UpdateRoutes([]sender.Route) {}

// BenchmarkFlow is messages through the front: published, confirmed, answered and acknowledged,
// with so many open at once. b.N counts messages; run it with -cpu 1 for one core, which the client
// shares.
func BenchmarkFlow(b *testing.B) { flow(b, 0, false) }

// BenchmarkFlowTLS is the same under TLS, of which both ends are on the core.
func BenchmarkFlowTLS(b *testing.B) { flow(b, 0, true) }

// BenchmarkConfirm is the time from when a publish is due to its confirm, at a steady rate.
func BenchmarkConfirm(b *testing.B) {
	for _, rate := range []int{5_000, 10_000, 30_000} {
		b.Run(strconv.Itoa(rate), func(b *testing.B) { flow(b, rate, false) })
	}
}

// flow publishes at a rate, or as fast as the window lets it.
func flow(b *testing.B, rate int, secure bool) {
	const window, dests = 3000, 16
	var core *sender.Sender
	settings := standin.Settings()
	settings.Limits.MaxMessages, settings.Calls.ConcurrentCalls, settings.Calls.MessagesPerCall = 2*window, window,
		[]int{64}
	addr := startFlow(b, settings, secure, func(c *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		core = c
		in := NewIngress(c, r, Options{Policy: access.Anyone("messages"), Channels: 16},
			conntable.NewSharedLimit(10).NewTable(Limits(10)))
		c.AddEgress("now", atOnce{c})
		var routes []sender.Route
		for i := range dests {
			routes = append(routes, sender.Route{Endpoint: scheduler.Endpoint{
				Addr: fmt.Sprint("t", i), MachineType: "k",
				Destination: int64(10 + i), State: "live",
			}, Protocol: "now"})
		}
		c.UpdateRoutes("whole", routes)
		return in.Accept
	})
	_ = core
	cl := dialFlow(b, addr, secure)
	cl.consume()
	_ = cl.SetDeadline(time.Now().Add(5 * time.Minute))
	const mark = "m0000000000"
	frame := amqp.AppendMessage(nil, 1, amqp.Publish,
		&amqp.Props{MessageID: mark, Type: "safe", ReplyTo: "answers", CorrelationID: mark},
		make([]byte, 200), amqp.FrameMin, 0, "messages", "10", false, false)
	key := bytes.Index(frame, []byte("\x0210")) + 1
	publish := func(out []byte, i int) []byte {
		id := fmt.Appendf(nil, "m%010d", i)
		at := len(out)
		out = append(out, frame...)
		out[at+key+1] = byte('0' + (10+i%dests)%10)
		out[at+key] = byte('0' + (10+i%dests)/10)
		for k := bytes.Index(out[at:], []byte(mark)); k >= 0; k = bytes.Index(out[at:], []byte(mark)) {
			copy(out[at+k:], id)
			at += k + len(mark)
		}
		return out
	}
	// The first fifth comes four times as slowly, since the module tries a destination that it does
	// not know with care, and what comes until the second has passed is not counted.
	warm := b.N / 5
	at := func(i int) time.Duration {
		if i < warm {
			return time.Duration(i) * 4 * time.Second / time.Duration(rate)
		}
		return time.Duration(warm*4+i-warm) * time.Second / time.Duration(rate)
	}
	var open, nacks atomic.Int64
	due, confirms := make([]int64, b.N+1), hdrhistogram.New(1, 60_000_000, 3)
	room := make(chan struct{}, 1)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	b.ResetTimer()
	began := time.Now()
	go func() {
		var out []byte
		for sent := 0; sent < b.N; {
			n := min(64, b.N-sent, window-int(open.Load()))
			if rate > 0 {
				time.Sleep(at(sent) - time.Since(began))
				for n = 1; n < b.N-sent && at(sent+n) <= time.Since(began); n++ {
				}
			} else if n <= 0 {
				<-room
				continue
			}
			for i := range n {
				if due[sent+i+1] = time.Since(began).Microseconds(); rate > 0 {
					due[sent+i+1] = at(sent + i).Microseconds()
				}
			}
			out = out[:0]
			for i := range n {
				out = publish(out, sent+i)
			}
			sent += n
			open.Add(int64(n))
			if _, err := cl.Write(out); err != nil {
				return
			}
		}
	}()
	in, buf := make([]byte, 0, 256<<10), make([]byte, 64<<10)
	acked := uint64(0)
	for ended := 0; ended < b.N; {
		n, err := cl.Read(buf)
		if err != nil {
			b.Fatal(err)
		}
		in = append(in, buf[:n]...)
		at, last := 0, uint64(0)
		done := 0
		for {
			f, n, err := amqp.ParseFrame(in[at:], amqp.FrameMax)
			if err != nil {
				b.Fatal(err)
			}
			if n == 0 {
				break
			}
			at += n
			if f.Kind != amqp.FrameMethod {
				continue
			}
			switch k := amqp.Key(binary.BigEndian.Uint32(f.Payload)); k {
			case amqp.Deliver:
				last++
				done++
			case amqp.Ack:
				now, tag := time.Since(began).Microseconds(), binary.BigEndian.Uint64(f.Payload[4:])
				if f.Payload[12] == 0 {
					acked = tag - 1
				}
				for ; acked < tag; acked++ {
					if rate > 0 && int(acked) < 2*warm {
						continue
					}
					_ = confirms.RecordValue(max(1, now-due[acked+1])) // within its bounds
				}
			case amqp.Nack:
				nacks.Add(1)
				done++
			case amqp.ChanClose, amqp.ConnClose:
				b.Fatalf("%s %q", k, f.Payload)
			}
		}
		in = append(in[:0], in[at:]...)
		if last > 0 {
			cl.method(1, amqp.Ack, 0, true)
		}
		if ended += done; done > 0 {
			open.Add(int64(-done))
			select {
			case room <- struct{}{}:
			default:
			}
		}
	}
	b.StopTimer()
	runtime.ReadMemStats(&after)
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "msg/s")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/float64(b.N), "allocs/msg")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(b.N), "B/msg")
	b.ReportMetric(float64(confirms.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(float64(nacks.Load())/float64(b.N), "refused/msg")
}
