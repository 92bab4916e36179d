package platform

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/golden"
	"brackendale/internal/testing/standin"
	"brackendale/sender"
)

// The golden files contain what the platform's front writes, byte for byte except for addresses and
// remaining times. After an intended change, go test ./internal/net/platform -run Golden -update-golden
// rewrites them.

// recordingServer is an HTTP server that records the bytes of each request.
type recordingServer struct {
	listener net.Listener
	requests chan string
	respond  func(r *http.Request) string // an empty response is not sent, and the connection stays open
}

func newRecordingServer(t *testing.T, respond func(r *http.Request) string) *recordingServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	server := &recordingServer{ln, make(chan string, 100), respond}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = conn.Close() })
			go server.serve(conn)
		}
	}()
	return server
}

func (server *recordingServer) addr() string { return server.listener.Addr().String() }

// serve reads and answers the requests of one connection.
func (server *recordingServer) serve(conn net.Conn) {
	var raw bytes.Buffer
	for reader := bufio.NewReader(io.TeeReader(conn, &raw)); ; raw.Reset() {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		server.requests <- raw.String()
		text := server.respond(r)
		if text == "" {
			_, _ = io.Copy(io.Discard, conn)
			return
		}
		_, _ = io.WriteString(conn, text)
	}
}

// maskRequest returns a request in the form of the golden files, on one line.
func maskRequest(raw string) string {
	raw = golden.Mask(raw, `127\.0\.0\.1:\d+`, "HOST:PORT", `Req-Deadline-Ms: \d+`, "Req-Deadline-Ms: N")
	return fmt.Sprintf("%q\n", raw)
}

// testFront is a sender with an ingress for RESP clients, one endpoint and an agent.
type testFront struct {
	addr      string
	core      *sender.Sender
	ingress   *Ingress
	eventLoop *reactor.Reactor
}

func startFront(t *testing.T, endpoint, agent *recordingServer) *testFront {
	t.Helper()
	f := &testFront{}
	env := &testEnv{listVersion: 1, endpointAddr: endpoint.addr()}
	type accept = func(*reactor.Conn) reactor.Handler
	f.addr, _ = standin.Start(t, t.TempDir(), func(core *sender.Sender, eventLoop *reactor.Reactor) accept {
		f.core, f.eventLoop = core, eventLoop
		f.ingress = NewIngress(core, eventLoop, agent.addr(), conntable.NewSharedLimit(100).NewTable(Limits(100)), true)
		core.AddIngress(Front, f.ingress)
		core.AddEgress(Proto, NewEgress(core, eventLoop, standin.Settings(), conntable.NewSharedLimit(100)))
		Watch(core, eventLoop, agent.addr(), env.endpointList("active"),
			WatchOptions{Senders: 1, Seed: 1, DrainGrace: 2 * time.Second})
		return f.ingress.Accept
	})
	return f
}

const (
	okResponse        = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	errorResponse     = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
	noContentResponse = "HTTP/1.1 204 No Content\r\n\r\n"
)

// unchangedList returns an agent's response without a change.
func unchangedList(seq int) string {
	body := fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[]}`, seq)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// newIdleAgent starts an agent that acknowledges all notices and has no changes.
func newIdleAgent(t *testing.T) *recordingServer {
	return newRecordingServer(t, func(r *http.Request) string {
		switch {
		case r.URL.Path == "/v2/finals":
			return noContentResponse
		case r.URL.Query().Get("wait") == "1":
			return unchangedList(5)
		}
		return ""
	})
}

// encodeCommand returns the bytes of one command.
func encodeCommand(elements ...string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "*%d\r\n", len(elements))
	for _, element := range elements {
		fmt.Fprintf(&out, "$%d\r\n%s\r\n", len(element), element)
	}
	return out.String()
}

// readReply returns the bytes of one RESP reply, with "(closed)" appended if the connection has ended.
func readReply(reader *bufio.Reader) string {
	line, err := reader.ReadString('\n')
	if err != nil {
		return line + "(closed)"
	}
	if strings.HasPrefix(line, "$") {
		body, _ := reader.ReadString('\n')
		line += body
	}
	return line
}

// Each command and each kind of error on RESP connections, with the bytes of the reply.
func TestGoldenResp(t *testing.T) {
	endpoint := newRecordingServer(t, func(*http.Request) string { return "" })
	f := startFront(t, endpoint, newIdleAgent(t))
	const validFields = "c=key,t=x,k=5c0f,dest=7,d=9000"
	var out strings.Builder
	exchange := func(commands ...string) {
		conn, err := net.Dial("tcp", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_ = conn.SetDeadline(time.Now().Add(standin.Long))
		reader := bufio.NewReader(conn)
		for _, command := range commands {
			_, _ = io.WriteString(conn, command)
			fmt.Fprintf(&out, "> %.200q\n%q\n", command, golden.Mask(readReply(reader), `-BUSY \d+`, "-BUSY N"))
		}
	}
	submit := func(id, fields string) string { return encodeCommand("SUBMIT", "0", id, fields, "body") }
	exchange(encodeCommand("PING"), encodeCommand("ping", "hello"),
		submit("m1", validFields), submit("m1", validFields), submit("", validFields),
		submit("a b", validFields), submit(strings.Repeat("x", 65), validFields), submit("m2", "t=x,dest=7,d=9"),
		submit("m2", "c=none,dest=7,d=9"),
		submit("m2", "c=safe,dest=7"), submit("m2", "c=safe,dest=7,d=x"), submit("m2", "c=safe,d=9"),
		submit("m2", "c=safe,dest=8,d=9"), submit("m2", "c=key,dest=7,d=9"), submit("m2", "c=key,dest=7,d=9,k=a b"),
		encodeCommand("SUBMIT", "0", "m2"),
		encodeCommand("GET", "x"), submit("late", "c=safe,dest=7,d=0"))
	paused := make(chan bool)
	f.core.Post(func() { f.core.Pause(true); close(paused) })
	<-paused
	const nothing = "" // nothing more is sent: the connection must be closed
	exchange(submit("m3", validFields), "+OK\r\n", nothing)
	exchange("*1\r\n$99999999\r\n", nothing)
	exchange("*0\r\n", nothing)
	fmt.Fprintf(&out, "turned away: %q\n", OverLimitReply)
	golden.Check(t, "resp.txt", out.String())
}

// The requests to an endpoint: single messages, with and without an idempotency key, and a bundle.
func TestGoldenCalls(t *testing.T) {
	endpoint := newRecordingServer(t, func(*http.Request) string { return okResponse })
	h := newEgressHarness(t)
	h.route.Dial = endpoint.addr()
	var out strings.Builder
	for _, calls := range [][]sender.Attempt{
		{{ID: "m1", Body: []byte("body\x00\r\n")}},
		{{ID: "m2", Key: "5c0f", Body: []byte("x")}},
		{{ID: "m3"}},
		{{ID: "m4", Body: []byte("four")}, {ID: "m5", Key: "k5", Body: []byte("five")}, {ID: "m6"}},
	} {
		for i := range calls {
			calls[i].TimeoutUs, calls[i].Deadline = 60e6, h.core.Now()+60e6
		}
		h.runOnLoop(func() { h.egress.Send(h.route, calls) })
		out.WriteString(maskRequest(receive(t, endpoint.requests)))
	}
	golden.Check(t, "calls.txt", out.String())
}

// The requests of the registry's watch, and a message from the client's command to the endpoint's request
// and the notice of the final answer.
func TestGoldenNoticesAndWatch(t *testing.T) {
	endpoint := newRecordingServer(t, func(*http.Request) string { return errorResponse })
	agent := newIdleAgent(t)
	f := startFront(t, endpoint, agent)
	var out strings.Builder
	out.WriteString(maskRequest(receive(t, agent.requests)) + maskRequest(receive(t, agent.requests)))
	conn, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_, _ = io.WriteString(conn, encodeCommand("SUBMIT", "0", "m1", "c=once,t=x,k=5c0f,dest=7,d=9000", "body m1"))
	fmt.Fprintf(&out, "%q\n", readReply(bufio.NewReader(conn)))
	out.WriteString(maskRequest(receive(t, endpoint.requests)) + maskRequest(receive(t, agent.requests)))
	for _, notice := range []sender.Notice{
		{ID: "x1", Answer: sender.DeliveryFailed},
		{ID: "x1", Answer: sender.DeliveryFailed, Repeated: true},
		{ID: "x1", Answer: sender.Returned},
		{ID: "x1", Answer: sender.Returned, RetryAfterMs: 700},
		{ID: "x1", Answer: sender.Returned, RetryAfterMs: 700, Repeated: true},
	} {
		f.eventLoop.Post(func() { f.ingress.Notify(notice) })
		out.WriteString(maskRequest(receive(t, agent.requests)))
	}
	golden.Check(t, "notices.txt", out.String())
}

// A sender without a list version polls for the whole list.
func TestGoldenWatchWithoutVersion(t *testing.T) {
	agent := newRecordingServer(t, func(*http.Request) string { return "" })
	standin.Start(t, t.TempDir(), func(
		core *sender.Sender, eventLoop *reactor.Reactor,
	) func(*reactor.Conn) reactor.Handler {
		ingress := NewIngress(core, eventLoop, agent.addr(), conntable.NewSharedLimit(100).NewTable(Limits(100)), true)
		core.AddIngress(Front, ingress)
		ResumeWatch(core, eventLoop, agent.addr(), nil, -1, WatchOptions{Senders: 1, Seed: 1, DrainGrace: 2 * time.Second})
		return ingress.Accept
	})
	golden.Check(t, "watch.txt", maskRequest(receive(t, agent.requests)))
}
