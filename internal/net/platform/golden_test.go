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

// The golden files hold what the platform's front writes, byte for byte but for addresses and
// remaining times. After a change that is meant, go test ./internal/net/platform -run Golden
// -update-golden writes them anew.

// tape is an HTTP server that keeps the bytes of each request.
type tape struct {
	ln     net.Listener
	heard  chan string
	answer func(r *http.Request) string // empty: none, and the connection stays open
}

func newTape(t *testing.T, answer func(r *http.Request) string) *tape {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	tp := &tape{ln, make(chan string, 100), answer}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { _ = c.Close() })
			go tp.serve(c)
		}
	}()
	return tp
}

func (tp *tape) addr() string { return tp.ln.Addr().String() }

func (tp *tape) serve(c net.Conn) {
	var raw bytes.Buffer
	for in := bufio.NewReader(io.TeeReader(c, &raw)); ; raw.Reset() {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		tp.heard <- raw.String()
		text := tp.answer(r)
		if text == "" {
			_, _ = io.Copy(io.Discard, c)
			return
		}
		_, _ = io.WriteString(c, text)
	}
}

// shown is a request as the golden files have it, on one line.
func shown(raw string) string {
	raw = golden.Mask(raw, `127\.0\.0\.1:\d+`, "HOST:PORT", `Req-Deadline-Ms: \d+`, "Req-Deadline-Ms: N")
	return fmt.Sprintf("%q\n", raw)
}

// front is a sender with a RESP client's side, one endpoint and an agent.
type front struct {
	addr string
	core *sender.Sender
	in   *Ingress
	r    *reactor.Reactor
}

func startFront(t *testing.T, endpoint, agent *tape) *front {
	t.Helper()
	f := &front{}
	w := &world{seq: 1, dial: endpoint.addr()}
	type accept = func(*reactor.Conn) reactor.Handler
	f.addr, _ = standin.Start(t, t.TempDir(), func(core *sender.Sender, r *reactor.Reactor) accept {
		f.core, f.r = core, r
		f.in = NewIngress(core, r, agent.addr(), conntable.NewSharedLimit(100).NewTable(Limits(100)), true)
		core.AddIngress(Front, f.in)
		core.AddEgress(Proto, NewEgress(core, r, standin.Settings(), conntable.NewSharedLimit(100)))
		Watch(core, r, agent.addr(), w.hosts("active"), WatchOptions{Senders: 1, Seed: 1, Grace: 2 * time.Second})
		return f.in.Accept
	})
	return f
}

const (
	done    = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	broke   = "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n"
	settled = "HTTP/1.1 204 No Content\r\n\r\n"
)

// answerList is an agent's answer that changes nothing.
func answerList(seq int) string {
	body := fmt.Sprintf(`{"seq":%d,"whole":false,"hosts":[]}`, seq)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// quiet is an agent that settles all ends and has no news.
func quiet(t *testing.T) *tape {
	return newTape(t, func(r *http.Request) string {
		switch {
		case r.URL.Path == "/v2/finals":
			return settled
		case r.URL.Query().Get("wait") == "1":
			return answerList(5)
		}
		return ""
	})
}

// words is the bytes of one command.
func words(list ...string) string {
	var out strings.Builder
	fmt.Fprintf(&out, "*%d\r\n", len(list))
	for _, x := range list {
		fmt.Fprintf(&out, "$%d\r\n%s\r\n", len(x), x)
	}
	return out.String()
}

// answered reads one RESP answer's bytes, or tells that the connection ended.
func answered(in *bufio.Reader) string {
	line, err := in.ReadString('\n')
	if err != nil {
		return line + "(closed)"
	}
	if strings.HasPrefix(line, "$") {
		more, _ := in.ReadString('\n')
		line += more
	}
	return line
}

// A scene on one RESP connection: each command and each kind of fault, and the bytes of the answer.
func TestGoldenResp(t *testing.T) {
	endpoint := newTape(t, func(*http.Request) string { return "" })
	f := startFront(t, endpoint, quiet(t))
	const good = "c=key,t=x,k=5c0f,dest=7,d=9000"
	var out strings.Builder
	talk := func(commands ...string) {
		c, err := net.Dial("tcp", f.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_ = c.SetDeadline(time.Now().Add(standin.Long))
		in := bufio.NewReader(c)
		for _, x := range commands {
			_, _ = io.WriteString(c, x)
			fmt.Fprintf(&out, "> %.200q\n%q\n", x, golden.Mask(answered(in), `-BUSY \d+`, "-BUSY N"))
		}
	}
	submit := func(id, values string) string { return words("SUBMIT", "0", id, values, "body") }
	talk(words("PING"), words("ping", "hello"), submit("m1", good), submit("m1", good), submit("", good),
		submit("a b", good), submit(strings.Repeat("x", 65), good), submit("m2", "t=x,dest=7,d=9"),
		submit("m2", "c=none,dest=7,d=9"),
		submit("m2", "c=safe,dest=7"), submit("m2", "c=safe,dest=7,d=x"), submit("m2", "c=safe,d=9"),
		submit("m2", "c=safe,dest=8,d=9"), submit("m2", "c=key,dest=7,d=9"), submit("m2", "c=key,dest=7,d=9,k=a b"),
		words("SUBMIT", "0", "m2"),
		words("GET", "x"), submit("late", "c=safe,dest=7,d=0"))
	paused := make(chan bool)
	f.core.Post(func() { f.core.Pause(true); close(paused) })
	<-paused
	const more = "" // nothing is sent: the connection must be closed
	talk(submit("m3", good), "+OK\r\n", more)
	talk("*1\r\n$99999999\r\n", more)
	talk("*0\r\n", more)
	fmt.Fprintf(&out, "turned away: %q\n", TurnedAway)
	golden.Check(t, "resp.txt", out.String())
}

// The requests to an endpoint: messages alone, with and without a key, and a bundle.
func TestGoldenCalls(t *testing.T) {
	endpoint := newTape(t, func(*http.Request) string { return done })
	b := newBench(t)
	b.to.Dial = endpoint.addr()
	var out strings.Builder
	for _, calls := range [][]sender.Attempt{
		{{ID: "m1", Body: []byte("body\x00\r\n")}},
		{{ID: "m2", Key: "5c0f", Body: []byte("x")}},
		{{ID: "m3"}},
		{{ID: "m4", Body: []byte("four")}, {ID: "m5", Key: "k5", Body: []byte("five")}, {ID: "m6"}},
	} {
		for i := range calls {
			calls[i].TimeoutUs, calls[i].Deadline = 60e6, b.core.Now()+60e6
		}
		b.do(func() { b.e.Send(b.to, calls) })
		out.WriteString(shown(wait(t, endpoint.heard)))
	}
	golden.Check(t, "calls.txt", out.String())
}

// From a client's command to the endpoint's request and the notice of the end, and the registry's
// watch.
func TestGoldenNoticesAndWatch(t *testing.T) {
	endpoint := newTape(t, func(*http.Request) string { return broke })
	agent := quiet(t)
	f := startFront(t, endpoint, agent)
	var out strings.Builder
	out.WriteString(shown(wait(t, agent.heard)) + shown(wait(t, agent.heard)))
	c, err := net.Dial("tcp", f.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	_, _ = io.WriteString(c, words("SUBMIT", "0", "m1", "c=once,t=x,k=5c0f,dest=7,d=9000", "body m1"))
	fmt.Fprintf(&out, "%q\n", answered(bufio.NewReader(c)))
	out.WriteString(shown(wait(t, endpoint.heard)) + shown(wait(t, agent.heard)))
	for _, x := range []struct {
		end    string
		waitMs int64
		again  bool
	}{
		{sender.DeliveryFailed, 0, false},
		{sender.DeliveryFailed, 0, true},
		{sender.Returned, 0, false},
		{sender.Returned, 700, false},
		{sender.Returned, 700, true},
	} {
		f.r.Post(func() { f.in.Notify("x1", "", x.end, x.waitMs, x.again) })
		out.WriteString(shown(wait(t, agent.heard)))
	}
	golden.Check(t, "notices.txt", out.String())
}

// The watch of a sender that knows no version polls for the whole list.
func TestGoldenWatchWithoutVersion(t *testing.T) {
	agent := newTape(t, func(*http.Request) string { return "" })
	standin.Start(t, t.TempDir(), func(core *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		in := NewIngress(core, r, agent.addr(), conntable.NewSharedLimit(100).NewTable(Limits(100)), true)
		core.AddIngress(Front, in)
		Follow(core, r, agent.addr(), nil, -1, WatchOptions{Senders: 1, Seed: 1, Grace: 2 * time.Second})
		return in.Accept
	})
	golden.Check(t, "watch.txt", shown(wait(t, agent.heard)))
}
