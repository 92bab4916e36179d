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

// newTLSConfigs returns the TLS configurations of a server with a new certificate, and of a client that trusts its CA.
func newTLSConfigs(t testing.TB) (server, client *tls.Config) {
	t.Helper()
	site, err := certs.CreateAuthority(t.TempDir(), "site", 10, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	files, err := site.IssueServer([]string{"127.0.0.1"}, 10)
	if err != nil {
		t.Fatal(err)
	}
	if server, err = certs.ServerConfig(files, false, time.Now); err != nil {
		t.Fatal(err)
	}
	if client, err = certs.ClientConfig(certs.Files{CA: files.CA}, "127.0.0.1", time.Now); err != nil {
		t.Fatal(err)
	}
	return server, client
}

var flowClientTLS *tls.Config // set by startFlow for dialFlow

// startFlow starts a sender for a benchmark, with or without TLS.
func startFlow(b *testing.B, set scheduler.Settings, secure bool,
	join func(*sender.Sender, *reactor.Reactor) func(*reactor.Conn) reactor.Handler,
) string {
	var server *tls.Config
	if secure {
		server, flowClientTLS = newTLSConfigs(b)
	}
	addr, _ := standin.StartWith(b, b.TempDir(), set, 1<<30, server, join)
	return addr
}

// dialFlow opens a client with channel 1 in confirm mode.
func dialFlow(b *testing.B, addr string, secure bool) *testClient {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = conn.Close() })
	if secure {
		conn = tls.Client(conn, flowClientTLS)
	}
	client := &testClient{newFrameConn(conn), b}
	_, _ = client.Write([]byte(amqp.ProtocolHeader))
	client.handshake(amqp.Table{}, 0)
	return client
}

// BenchmarkHandshakeTLS measures successive TLS and AMQP handshakes. Both ends share the core.
func BenchmarkHandshakeTLS(b *testing.B) { measureHandshakes(b, true) }

// BenchmarkHandshake is BenchmarkHandshakeTLS without TLS.
func BenchmarkHandshake(b *testing.B) { measureHandshakes(b, false) }

func measureHandshakes(b *testing.B, secure bool) {
	addr := startFlow(b, standin.Settings(), secure, addInstantFront)
	b.ResetTimer()
	for range b.N {
		_ = dialFlow(b, addr, secure).Close()
	}
}

// BenchmarkBytes measures the heap bytes of idle objects: a connection with a channel, each further channel, a declared
// queue, and the TLS state of a connection (of both ends, which are in this process).
func BenchmarkBytes(b *testing.B) {
	const n = 2000
	for range b.N {
		_, sessions, each := newIdleSessions(n)
		before := testkit.HeapBytes()
		for i, s := range sessions {
			s.channels = append(s.channels, &channel{session: s, id: uint16(i)})
		}
		channels := testkit.HeapBytes() - before
		h := &host{ingress: sessions[0].ingress, queues: map[string]*queue{}, unsettled: map[string]*answer{}}
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
		addr := startFlow(b, standin.Settings(), secure, addInstantFront)
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

// BenchmarkBeside measures the time to the confirm of one message at a time, without other traffic and while another
// connection always has 500 messages in progress.
func BenchmarkBeside(b *testing.B) {
	for name, concurrent := range map[string]int{"alone": 0, "beside": 500} {
		b.Run(name, func(b *testing.B) {
			settings := standin.Settings()
			settings.Limits.MaxMessages, settings.Calls.ConcurrentCalls, settings.Calls.MessagesPerCall = 4000, 1000, []int{64}
			addr := startFlow(b, settings, false, addInstantFront)
			if concurrent > 0 {
				go publishContinuously(dialFlow(b, addr, false), concurrent)
			}
			client, latencies := dialFlow(b, addr, false), hdrhistogram.New(1, 60_000_000, 3)
			refused := 0
			_ = client.SetDeadline(time.Now().Add(5 * time.Minute))
			b.ResetTimer()
			for i := range b.N {
				began := time.Now()
				client.publish("one"+strconv.Itoa(i), "safe", func(props *amqp.Props) { props.ReplyTo = "mine" })
				_, msg, err := client.next()
				if err != nil {
					b.Fatal(err)
				}
				if msg.Key != amqp.Ack {
					refused++
				}
				_ = latencies.RecordValue(max(1, time.Since(began).Microseconds())) // always within the histogram's range
				time.Sleep(time.Millisecond)
			}
			b.ReportMetric(float64(latencies.ValueAtQuantile(99))/1000, "p99-ms")
			b.ReportMetric(float64(refused)/float64(b.N), "refused/msg")
		})
	}
}

// publishContinuously keeps window messages in progress until the connection ends.
func publishContinuously(client *testClient, window int) {
	client.consume()
	_ = client.SetDeadline(time.Now().Add(5 * time.Minute))
	sent, open := 0, 0
	for {
		for ; open < window; open++ {
			sent++
			client.publish("h"+strconv.Itoa(sent), "safe")
		}
		_, msg, err := client.next()
		if err != nil {
			return
		}
		switch msg.Key {
		case amqp.Deliver:
			open--
			client.writeMethod(1, amqp.Ack, msg.Int(1), false)
		case amqp.Nack:
			open--
		}
	}
}
