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

// instantEgress is an egress whose attempts succeed immediately, so that a benchmark measures only the front, the core
// and the journal.
type instantEgress struct{ core *sender.Sender }

func (e instantEgress) Send(to sender.Route, attempts []sender.Attempt) {
	results := make([]sender.AttemptResult, len(attempts))
	for i, attempt := range attempts {
		results[i] = sender.AttemptResult{
			ID: attempt.ID, Attempt: attempt.Number, Endpoint: to.Addr, Outcome: sender.OutcomeSuccess,
		}
	}
	e.core.ReportAttempts(results...)
}
func (instantEgress) Cancel(string, int)          {}
func (instantEgress) UpdateRoutes([]sender.Route) {}

// BenchmarkFlow measures messages that pass through the front: published, confirmed, answered and acknowledged, with up
// to 3,000 unanswered at a time. b.N counts messages. Run it with -cpu 1 for one core, which the client shares.
func BenchmarkFlow(b *testing.B) { measureFlow(b, 0, false) }

// BenchmarkFlowTLS is BenchmarkFlow over TLS. Both ends of the TLS connection share the core.
func BenchmarkFlowTLS(b *testing.B) { measureFlow(b, 0, true) }

// BenchmarkConfirm measures the time from the scheduled time of a publish to its confirm, at a constant rate.
func BenchmarkConfirm(b *testing.B) {
	for _, rate := range []int{5_000, 10_000, 30_000} {
		b.Run(strconv.Itoa(rate), func(b *testing.B) { measureFlow(b, rate, false) })
	}
}

// measureFlow publishes b.N messages at a rate per second or, if rate is 0, as fast as the window allows.
func measureFlow(b *testing.B, rate int, secure bool) {
	const window, destinations = 3000, 16
	var core *sender.Sender
	settings := standin.Settings()
	settings.Limits.MaxMessages, settings.Calls.ConcurrentCalls, settings.Calls.MessagesPerCall = 2*window, window,
		[]int{64}
	addr := startFlow(b, settings, secure, func(
		started *sender.Sender, react *reactor.Reactor,
	) func(*reactor.Conn) reactor.Handler {
		core = started
		ingress := NewIngress(started, react, Options{Policy: access.OpenPolicy("messages"), Channels: 16},
			conntable.NewSharedLimit(10).NewTable(Limits(10)))
		started.AddEgress("now", instantEgress{started})
		var routes []sender.Route
		for i := range destinations {
			routes = append(routes, sender.Route{Endpoint: scheduler.Endpoint{
				Addr: fmt.Sprint("t", i), MachineType: "k",
				Destination: int64(10 + i), State: "live",
			}, Protocol: "now"})
		}
		started.UpdateRoutes("whole", routes)
		return ingress.Accept
	})
	_ = core
	client := dialFlow(b, addr, secure)
	client.consume()
	_ = client.SetDeadline(time.Now().Add(5 * time.Minute))
	const placeholderID = "m0000000000"
	frame := amqp.AppendMessage(nil, 1, amqp.Publish,
		&amqp.Props{MessageID: placeholderID, Type: "safe", ReplyTo: "answers", CorrelationID: placeholderID},
		make([]byte, 200), amqp.FrameMin, 0, "messages", "10", false, false)
	keyOffset := bytes.Index(frame, []byte("\x0210")) + 1
	publish := func(out []byte, i int) []byte {
		id := fmt.Appendf(nil, "m%010d", i)
		at := len(out)
		out = append(out, frame...)
		out[at+keyOffset+1] = byte('0' + (10+i%destinations)%10)
		out[at+keyOffset] = byte('0' + (10+i%destinations)/10)
		for k := bytes.Index(out[at:], []byte(placeholderID)); k >= 0; k = bytes.Index(out[at:], []byte(placeholderID)) {
			copy(out[at+k:], id)
			at += k + len(placeholderID)
		}
		return out
	}
	// The first fifth is sent at a quarter of the rate, because the scheduler limits attempts to a new destination.
	// The first two fifths are not counted.
	warm := b.N / 5
	at := func(i int) time.Duration {
		if i < warm {
			return time.Duration(i) * 4 * time.Second / time.Duration(rate)
		}
		return time.Duration(warm*4+i-warm) * time.Second / time.Duration(rate)
	}
	var open, nacks atomic.Int64
	due, confirms := make([]int64, b.N+1), hdrhistogram.New(1, 60_000_000, 3)
	windowFreed := make(chan struct{}, 1)
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
				<-windowFreed
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
			if _, err := client.Write(out); err != nil {
				return
			}
		}
	}()
	received, chunk := make([]byte, 0, 256<<10), make([]byte, 64<<10)
	acked := uint64(0)
	for ended := 0; ended < b.N; {
		n, err := client.Read(chunk)
		if err != nil {
			b.Fatal(err)
		}
		received = append(received, chunk[:n]...)
		at, last := 0, uint64(0)
		done := 0
		for {
			f, n, err := amqp.ParseFrame(received[at:], amqp.FrameMax)
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
					_ = confirms.RecordValue(max(1, now-due[acked+1])) // always within the histogram's range
				}
			case amqp.Nack:
				nacks.Add(1)
				done++
			case amqp.ChanClose, amqp.ConnClose:
				b.Fatalf("%s %q", k, f.Payload)
			}
		}
		received = append(received[:0], received[at:]...)
		if last > 0 {
			client.writeMethod(1, amqp.Ack, 0, true)
		}
		if ended += done; done > 0 {
			open.Add(int64(-done))
			select {
			case windowFreed <- struct{}{}:
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
