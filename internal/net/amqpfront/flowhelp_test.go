package amqpfront

import (
	"crypto/tls"
	"net"
	"runtime"
	"strconv"
	"testing"
	"time"

	"brackendale/internal/certs"
	"brackendale/internal/net/amqp"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/internal/testing/testkit"
	"brackendale/scheduler"
	"brackendale/sender"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// siteKeys are those of one server and of whoever believes its CA.
func siteKeys(t testing.TB) (server, client *tls.Config) {
	t.Helper()
	site, err := certs.CreateAuthority(t.TempDir(), "site", 10, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	f, err := site.IssueServer([]string{"127.0.0.1"}, 10)
	if err != nil {
		t.Fatal(err)
	}
	if server, err = certs.ServerConfig(f, false, time.Now); err != nil {
		t.Fatal(err)
	}
	if client, err = certs.ClientConfig(certs.Files{CA: f.CA}, "127.0.0.1", time.Now); err != nil {
		t.Fatal(err)
	}
	return server, client
}

var flowKeys *tls.Config // of the client

// startFlow begins a sender for a benchmark, plainly or under TLS.
func startFlow(b *testing.B, set scheduler.Settings, secure bool,
	join func(*sender.Sender, *reactor.Reactor) func(*reactor.Conn) reactor.Handler,
) string {
	var server *tls.Config
	if secure {
		server, flowKeys = siteKeys(b)
	}
	addr, _ := standin.StartWith(b, b.TempDir(), set, 1<<30, server, join)
	return addr
}

// dialFlow opens a client with channel 1 in confirm mode.
func dialFlow(b *testing.B, addr string, secure bool) *client {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	if secure {
		conn = tls.Client(conn, flowKeys)
	}
	cl := &client{newSide(conn), b}
	_, _ = cl.Write([]byte(amqp.Preamble))
	cl.shake(amqp.Table{}, 0)
	return cl
}

// BenchmarkHandshakeTLS is one TLS handshake and AMQP opening after another, both ends on the core.
func BenchmarkHandshakeTLS(b *testing.B) { handshakes(b, true) }

// BenchmarkHandshake is the same without TLS.
func BenchmarkHandshake(b *testing.B) { handshakes(b, false) }

func handshakes(b *testing.B, secure bool) {
	addr := startFlow(b, standin.Settings(), secure, joinInstant)
	b.ResetTimer()
	for range b.N {
		_ = dialFlow(b, addr, secure).Close()
	}
}

// BenchmarkBytes is what idle things take of the heap: a connection with a channel, each further
// channel, a queue that is declared, and a connection under TLS (both of whose ends are here).
func BenchmarkBytes(b *testing.B) {
	const n = 2000
	for range b.N {
		_, sessions, each := inMemory(n)
		before := testkit.HeapBytes()
		for i, s := range sessions {
			s.channels = append(s.channels, &channel{session: s, id: uint16(i)})
		}
		channels := testkit.HeapBytes() - before
		h := &host{ingress: sessions[0].ingress, queues: map[string]*queue{}, undelivered: map[string]struct{}{}}
		before = testkit.HeapBytes()
		for i := range maxQueues {
			h.queue("answers-" + strconv.Itoa(i)).declared = true
		}
		queues := testkit.HeapBytes() - before
		runtime.KeepAlive(sessions)
		runtime.KeepAlive(h)
		b.ReportMetric(float64(each), "B/connection")
		b.ReportMetric(float64(channels)/n, "B/channel")
		b.ReportMetric(float64(queues)/maxQueues, "B/queue")
	}
	const conns = 400
	heap := func(secure bool) uint64 {
		addr := startFlow(b, standin.Settings(), secure, joinInstant)
		dialFlow(b, addr, secure)
		before := testkit.HeapBytes()
		for range conns {
			dialFlow(b, addr, secure)
		}
		return testkit.HeapBytes() - before
	}
	plain := heap(false)
	b.ReportMetric((float64(heap(true))-float64(plain))/conns, "B/tls-both-ends")
}

// BenchmarkBeside is how long one message at a time waits for its confirm on one connection, alone and while another
// connection has hundreds open all the time.
func BenchmarkBeside(b *testing.B) {
	for name, crowd := range map[string]int{"alone": 0, "beside": 500} {
		b.Run(name, func(b *testing.B) {
			set := standin.Settings()
			set.Limits.MaxMessages, set.Calls.ConcurrentCalls, set.Calls.MessagesPerCall = 4000, 1000, []int{64}
			addr := startFlow(b, set, false, joinInstant)
			if crowd > 0 {
				go hurry(dialFlow(b, addr, false), crowd)
			}
			one, h := dialFlow(b, addr, false), hdrhistogram.New(1, 60_000_000, 3)
			refused := 0
			_ = one.SetDeadline(time.Now().Add(5 * time.Minute))
			b.ResetTimer()
			for i := range b.N {
				began := time.Now()
				one.publish("one"+strconv.Itoa(i), "safe", func(p *amqp.Props) { p.ReplyTo = "mine" })
				_, m, err := one.next()
				if err != nil {
					b.Fatal(err)
				}
				if m.Key != amqp.Ack {
					refused++
				}
				_ = h.RecordValue(max(1, time.Since(began).Microseconds())) // within its bounds
				time.Sleep(time.Millisecond)
			}
			b.ReportMetric(float64(h.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(float64(refused)/float64(b.N), "refused/msg")
		})
	}
}

// hurry keeps so many messages open, until its connection ends.
func hurry(c *client, window int) {
	c.consume()
	_ = c.SetDeadline(time.Now().Add(5 * time.Minute))
	sent, open := 0, 0
	for {
		for ; open < window; open++ {
			sent++
			c.publish("h"+strconv.Itoa(sent), "safe")
		}
		_, m, err := c.next()
		if err != nil {
			return
		}
		switch m.Key {
		case amqp.Deliver:
			open--
			c.method(1, amqp.Ack, m.Int(1), false)
		case amqp.Nack:
			open--
		}
	}
}
