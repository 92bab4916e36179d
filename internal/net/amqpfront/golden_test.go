package amqpfront

import (
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"brackendale/internal/net/amqp"
	"brackendale/internal/testing/golden"
)

// The golden files list the bytes that the AMQP front writes to clients and to brokers, except for the expiration of
// messages, which varies. After an intended change,
// go test ./internal/net/amqpfront -run Golden -update-golden rewrites them.

// tap records what is read from a connection.
type tap struct {
	net.Conn
	mu  sync.Mutex
	raw bytes.Buffer
}

func (t *tap) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.raw.Write(b[:n])
	return n, err
}

// all returns what has been read so far.
func (t *tap) all() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return bytes.Clone(t.raw.Bytes())
}

// frames lists the frames of a stream, one per line: the type, the channel and the payload.
func frames(raw []byte) string {
	const head, tail = 7, 1
	var out strings.Builder
	for len(raw) >= head+tail {
		size := int(binary.BigEndian.Uint32(raw[3:]))
		if len(raw) < head+size+tail {
			break
		}
		payload := fmt.Sprintf("%q", raw[head:head+size])
		if len(payload) > 400 { // a body frame whose bytes are all the same
			payload = fmt.Sprintf("%.100s... of %d bytes", payload, size)
		}
		channel := binary.BigEndian.Uint16(raw[1:])
		fmt.Fprintf(&out, "  kind %d channel %d %s end %#x\n", raw[0], channel, payload, raw[head+size])
		raw = raw[head+size+tail:]
	}
	if len(raw) > 0 {
		fmt.Fprintf(&out, "  %q\n", raw)
	}
	return golden.Mask(out.String(), `\\x05\d{5}`, `\x05MILLISECONDS`)
}

// recorder is a client that lists what the front writes to it after each of the client's steps.
type recorder struct {
	*testClient
	tap    *tap
	out    strings.Builder
	listed int // number of bytes listed so far
}

func newRecorder(t *testing.T, addr string) *recorder {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	tapped := &tap{Conn: c}
	return &recorder{testClient: &testClient{newFrameConn(tapped), t}, tap: tapped}
}

// step sends bytes, waits for methods, and lists what was received.
func (r *recorder) step(name string, send []byte, want ...amqp.Key) {
	r.t.Helper()
	_, _ = r.Write(send)
	for _, k := range want {
		r.want(k)
	}
	raw := r.tap.all()
	raw = raw[r.listed : len(raw)-len(r.buf)]
	r.listed += len(raw)
	fmt.Fprintf(&r.out, "%s\n%s", name, frames(raw))
}

// end sends bytes and lists what is received until the connection is closed.
func (r *recorder) end(name string, send []byte) {
	_, _ = r.Write(send)
	_, _ = io.Copy(io.Discard, r.Conn)
	fmt.Fprintf(&r.out, "%s\n%s  (closed)\n", name, frames(r.tap.all()[r.listed:]))
}

func encodeMethod(ch uint16, key amqp.Key, args ...any) []byte {
	return amqp.AppendMethod(nil, ch, key, args...)
}

// encodedConsume is a basic.consume of the queue "answers".
var encodedConsume = encodeMethod(1, amqp.Consume, 0, "answers", "me", false, false, false, false, amqp.Table{})

// encodePublish returns a basic.publish with its content.
func encodePublish(exchange, key, id, class, body string) []byte {
	props := &amqp.Props{
		MessageID: id, Type: class, ReplyTo: "answers", CorrelationID: "c-" + id,
		Headers: amqp.Table{"idempotency-key": "k" + id},
	}
	return amqp.AppendMessage(nil, 1, amqp.Publish, props, []byte(body), amqp.FrameMin, 0, exchange, key, false, false)
}

// open opens the connection and a channel in confirm mode, and lists each reply.
func (r *recorder) open() {
	r.t.Helper()
	r.step("preamble", []byte(amqp.ProtocolHeader), amqp.ConnStart)
	r.step("start-ok", encodeMethod(0, amqp.ConnStartOk, amqp.Table{}, "PLAIN", "\x00guest\x00guest", "en_US"),
		amqp.ConnTune)
	tune := encodeMethod(0, amqp.ConnTuneOk, 8, amqp.FrameMin, 0)
	r.step("tune-ok, open", append(tune, encodeMethod(0, amqp.ConnOpen, "/", "", false)...), amqp.ConnOpenOk)
	r.step("channel.open", encodeMethod(1, amqp.ChanOpen, ""), amqp.ChanOpenOk)
	r.step("confirm.select", encodeMethod(1, amqp.ConfirmSelect, false), amqp.ConfirmSelectOk)
}

// newTappedBroker starts a broker that records what the egress writes to it. The channel has a tap for each connection.
func newTappedBroker(t *testing.T) (*testBroker, chan *tap) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	broker := &testBroker{
		listener: listener, applied: map[string]int{}, props: make(chan *amqp.Props, 100),
		step: func(string) bool { return false },
	}
	taps := make(chan *tap, 10)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			tapped := &tap{Conn: c}
			taps <- tapped
			go broker.serve(newFrameConn(tapped))
		}
	}()
	return broker, taps
}

// The bytes of a client's connection, from the handshake over a publish, its confirm and its answer to the close, and
// those that the egress writes to the broker for it.
func TestGoldenConnection(t *testing.T) {
	broker, taps := newTappedBroker(t)
	addr, _ := start(t, t.TempDir(), broker)
	rec := newRecorder(t, addr)
	rec.open()
	rec.step("basic.qos", encodeMethod(1, amqp.Qos, 0, 5, false), amqp.QosOk)
	rec.step("basic.consume", encodedConsume, amqp.ConsumeOk)
	rec.step("publish", encodePublish("messages", "7", "m1", "once", "body"), amqp.Ack, amqp.Deliver)
	rec.step("ack, publish of more than a frame", append(encodeMethod(1, amqp.Ack, 1, false),
		encodePublish("messages", "7", "m2", "key", strings.Repeat("x", 9000))...), amqp.Ack, amqp.Deliver)
	bye := append(encodeMethod(1, amqp.Ack, 2, false), encodeMethod(1, amqp.ChanClose, 200, "bye", 0, 0)...)
	rec.step("ack, channel.close", bye, amqp.ChanCloseOk)
	rec.end("connection.close", encodeMethod(0, amqp.ConnClose, 200, "bye", 0, 0))
	golden.Check(t, "client.txt", rec.out.String())
	tapped := <-taps
	raw := tapped.all()
	n := len(amqp.ProtocolHeader)
	golden.Check(t, "broker.txt", fmt.Sprintf("%q\n%s", raw[:n], frames(raw[n:])))
}

// The replies to invalid methods and frames, each on a new connection, and to a connection over the limit.
func TestGoldenFaults(t *testing.T) {
	broker := newBroker(t)
	addr, _ := start(t, t.TempDir(), broker)
	var out strings.Builder
	for _, test := range []struct {
		name string
		send []byte
		want amqp.Key
	}{
		{"no such exchange", encodePublish("nowhere", "7", "m", "once", "b"), amqp.ChanClose},
		{"no such destination", encodePublish("messages", "8", "m", "once", "b"), amqp.ChanClose},
		{"no such class", encodePublish("messages", "7", "m", "none", "b"), amqp.ChanClose},
		{"an ack of nothing", encodeMethod(1, amqp.Ack, 9, false), amqp.ChanClose},
		{"a channel that is not open", encodeMethod(3, amqp.Qos, 0, 5, false), amqp.ConnClose},
		{"a channel that is open", encodeMethod(1, amqp.ChanOpen, ""), amqp.ConnClose},
		{"no method", []byte{1, 0, 1, 0, 0, 0, 4, 0, 99, 0, 99, 0xce}, amqp.ConnClose},
		{"no frame", []byte{9, 0, 1, 0, 0, 0, 0, 0xce}, amqp.ConnClose},
	} {
		rec := newRecorder(t, addr)
		rec.open()
		rec.out.Reset()
		rec.step(test.name, test.send, test.want)
		out.WriteString(rec.out.String())
		_ = rec.Close()
	}
	rec := newRecorder(t, addr)
	rec.end("another protocol", []byte("GET / HTTP/1.1\r\n\r\n"))
	out.WriteString(rec.out.String())
	fmt.Fprintf(&out, "turned away\n%s", frames(OverLimitReply))
	golden.Check(t, "faults.txt", out.String())
}

// The final answer of a message that failed.
func TestGoldenAnswerOfFailure(t *testing.T) {
	broker := newBroker(t)
	broker.publish = func(conn *frameConn, ch uint16, _ *amqp.Message, tag uint64) {
		conn.writeMethod(ch, amqp.Nack, tag, false, false)
	}
	addr, _ := start(t, t.TempDir(), broker)
	rec := newRecorder(t, addr)
	rec.open()
	rec.out.Reset()
	rec.step("basic.consume", encodedConsume, amqp.ConsumeOk)
	rec.step("publish", encodePublish("messages", "7", "m1", "once", "body"), amqp.Ack, amqp.Deliver)
	golden.Check(t, "failed.txt", rec.out.String())
}
