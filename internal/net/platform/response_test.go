package platform

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"brackendale/internal/admission"
	"brackendale/internal/clock"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/http1"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/sender"
)

// Each message of a bundle has a status of its own. A response that lacks one, or has an unknown one, is
// malformed and proves nothing, even where it states that a message has not run.
func TestParseBundle(t *testing.T) {
	c := &call{exchange: &exchange{}, attempts: []sender.Attempt{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}}
	const body = "a done\r\nb busy\r\nc void\r\nd used_up\r\ne failed"
	statuses := c.parseBundle([]byte(body), false)
	for id, want := range map[string]sender.Outcome{
		"a": sender.OutcomeSuccess, "b": sender.OutcomeRejected, "c": sender.OutcomeNotSent, "d": sender.OutcomeNotSent,
		"e": sender.OutcomeFailed,
	} {
		if got, final := bundleOutcome(statuses[id]); got != want || final != (id == "c") {
			t.Errorf("%s: %s", id, got)
		}
	}
	for _, malformed := range []string{
		body[:len(body)-1], body[:len(body)-10], body + "\r\nf done", "", body + "\r\nnoise",
	} {
		if got := c.parseBundle([]byte(malformed), false); len(got) > 0 {
			t.Errorf("%q: %v", malformed, got)
		}
	}
	// Bodies that are delimited by the connection's end.
	for truncated, want := range map[string]int{body: 0, body + "\r": 0, body + "\r\n": 5} {
		if got := c.parseBundle([]byte(truncated), true); len(got) != want {
			t.Errorf("%q, delimited by the connection's end: %v", truncated, got)
		}
	}
	if c.exchange.trailingData = true; len(c.parseBundle([]byte(body), false)) > 0 {
		t.Error("accepted although its Content-Length truncated it")
	}
}

// A malformed load report once counted as a load of 0, the lowest possible.
func TestMalformedLoadReport(t *testing.T) {
	egress := &Egress{loadFields: []string{"x0", "x1"}}
	for text, want := range map[string]int{
		"x0=0.4, x1=25": 2, "x0=nan,x1=1": 0, "x0=1,x1=+Inf": 0,
		"x0=-1,x1=1": 0, "x0=1": 0, "x0=?,x1=1": 0, "": 0,
	} {
		var response http1.Response
		if _, err := response.Parse([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nSrv-Load: "+text+"\r\n\r\n"),
			false); err != nil || len(egress.parseLoadReport(&response)) != want {
			t.Errorf("%q: %v %v", text, egress.parseLoadReport(&response), err)
		}
	}
}

// startRawEndpoint starts an endpoint that responds to each request with the next of the responses, byte for
// byte, and leaves the connection open. It returns a channel with the connection number of each request.
func (env *testEnv) startRawEndpoint(responses ...string) (connNumbers chan int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { listener.Close() })
	env.endpointAddr = listener.Addr().String()
	connNumbers = make(chan int, 100)
	var mu sync.Mutex
	go func() {
		for number := 0; ; number++ {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(conn)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					mu.Lock()
					if len(responses) > 0 {
						_, _ = io.WriteString(conn, responses[0])
						responses = responses[1:]
					}
					mu.Unlock()
					connNumbers <- number
				}
			}()
		}
	}()
	return connNumbers
}

// A malformed response on a connection that stays open once occupied a slot until the timeout. The message
// may have run, so an unsafe one must fail at once. A complete status line with 200 counts as delivery.
func TestMalformedResponses(t *testing.T) {
	const complete, statusLine = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\n"
	for _, test := range []struct {
		text      string
		delivered bool
	}{
		{"\x01noise", false},
		{"HTTP/1.1 500 E\r\nContent-Length: 9\r\n\r\nshort", false},
		{"HTTP/1.1 50", false},
		{statusLine + "half a he", true},
		{statusLine + "A: half", true},
		{statusLine + "Content-Length: -4\r\n\r\n", true},
		{statusLine + "Content-Length: 3000000000\r\n\r\nxxx", true},
		{statusLine + "Content-Length: 9\r\n\r\nshort", true},
		{complete + "noise", true},
		{strings.Repeat("HTTP/1.1 102 P\r\n\r\n", 3) + complete, true},
	} {
		env := newTestEnv(t)
		env.startRawEndpoint(test.text)
		addr, _ := env.startSender()
		env.submit(addr, "m1", "once", "60000")
		if !test.delivered {
			if got := receive(t, env.notices); got != `{"id":"m1","state":"failed"}` {
				t.Fatalf("%q: %s", test.text, got)
			}
			continue
		}
		for deadline := time.Now().Add(standin.Long); env.deliveredCount() != 1; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%q: not delivered", test.text)
			}
		}
	}
}

// deliveredCount returns the number of messages that the sender has delivered.
func (env *testEnv) deliveredCount() uint64 {
	count := make(chan uint64, 1)
	env.core.Post(func() { count <- env.core.State().Delivered })
	return receive(env.t, count)
}

// Surplus data on an idle connection must not be parsed as the response to the next request, which is sent
// on another connection.
func TestSurplusResponse(t *testing.T) {
	const complete = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	env := newTestEnv(t)
	connNumbers := env.startRawEndpoint(complete+complete, "\x00")
	addr, _ := env.startSender()
	env.submit(addr, "m1", "once", "60000")
	receive(t, connNumbers)
	env.submit(addr, "m2", "once", "60000")
	if number := receive(t, connNumbers); number != 1 {
		t.Fatal("m2 was sent on connection", number)
	}
	if got := receive(t, env.notices); got != `{"id":"m2","state":"failed"}` {
		t.Fatal(got)
	}
}

// A call ends at the earliest deadline of its messages. A response after that once counted as delivery of
// the messages with a later deadline, although the endpoint no longer counts the call.
func TestBundleEndsAtEarliestDeadline(t *testing.T) {
	env, release := newTestEnv(t), make(chan bool)
	env.respond = func(http.ResponseWriter, *http.Request, string) { <-release }
	defer close(release)
	callCount := make(chan int)
	standin.Start(t, env.stateDir, func(
		core *sender.Sender, eventLoop *reactor.Reactor,
	) func(*reactor.Conn) reactor.Handler {
		egress := NewEgress(core, eventLoop, standin.Settings(), conntable.NewSharedLimit(100))
		var checkEnded func()
		checkEnded = func() {
			if len(egress.calls) > 0 {
				eventLoop.After(time.Millisecond, checkEnded)
				return
			}
			callCount <- len(egress.calls)
		}
		eventLoop.Post(func() {
			now, route := core.Now(), Routes(env.endpointList("active"))[0]
			egress.UpdateRoutes([]sender.Route{route})
			egress.Send(route, []sender.Attempt{
				{ID: "charge", TimeoutUs: 300e6, Deadline: now + 300e6},
				{ID: "state", TimeoutUs: 1e6, Deadline: now + 20_000},
			})
			checkEnded()
		})
		return func(*reactor.Conn) reactor.Handler { return nil }
	})
	receive(t, callCount)
}

// A response that never ends is aborted, and an unsafe message fails, since it may have run.
func TestEndlessResponse(t *testing.T) {
	env := newTestEnv(t)
	env.respond = func(rw http.ResponseWriter, r *http.Request, _ string) {
		rw.WriteHeader(http.StatusInternalServerError) // a status line with 200 would count as delivery
		for r.Context().Err() == nil {
			if _, err := rw.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}
	addr, _ := env.startSender()
	env.submit(addr, "m1", "once", "30000")
	if got := receive(t, env.notices); got != `{"id":"m1","state":"failed"}` {
		t.Fatal(got)
	}
}

// The valid and invalid forms of a Retry-After header: letter case, white space, repeated headers, zero,
// fractions and malformed numbers.
func TestRetryAfterForms(t *testing.T) {
	h := newEgressHarness(t)
	for header, wantMs := range map[string]clock.Instant{
		"X-Backoff-Ms: 250":                       250,
		"x-backoff-ms:250":                        250,
		"X-BACKOFF-MS: \t 250 \t":                 250,
		"X-Backoff-Ms: 0":                         0,
		"X-Backoff-Ms: 000000000250":              250,
		"X-Backoff-Ms: 249.2":                     250,
		"X-Backoff-Ms: 250.0":                     250,
		"X-Backoff-Ms: 0.01":                      1,
		"X-Backoff-Ms: -250":                      0,
		"X-Backoff-Ms: +250":                      0,
		"X-Backoff-Ms: 250ms":                     0,
		"X-Backoff-Ms: .5":                        0,
		"X-Backoff-Ms: 5.":                        0,
		"X-Backoff-Ms: 1e3":                       0,
		"X-Backoff-Ms: 0x10":                      0,
		"X-Backoff-Ms:":                           0,
		"X-Backoff-Ms: 10\r\nX-Backoff-Ms: 250":   250,
		"X-Backoff-Ms: 250\r\nX-Backoff-Ms: 10":   250,
		"X-Backoff-Ms: none\r\nX-Backoff-Ms: 250": 250,
		"X-Backoff-Ms: 99999999999999999999":      999_999_999,
		"X-Backoff-Ms-2: 250":                     0,
	} {
		var until, before clock.Instant
		h.runOnLoop(func() {
			h.egress.Gate = admission.New(standin.Settings())
			h.egress.UpdateRoutes([]sender.Route{h.route})
			h.egress.Send(h.route, h.newAttempt("a"))
			before = h.core.Now()
		})
		receive(t, h.endpoint.requests).respond("HTTP/1.1 429 R\r\n" + header + "\r\nContent-Length: 0\r\n\r\n")
		h.waitUntil("it has ended", func() bool { return h.egress.calls["a"] == nil })
		h.runOnLoop(func() { until = h.egress.Gate.RetryAfterUntil(h.egress.Gate.RouteName(h.route.Endpoint)) })
		switch {
		case wantMs == 0 && until != 0:
			t.Errorf("%q: a Retry-After of %d us", header, until-before)
		case wantMs > 0 && (until < before+wantMs*1000 || until > h.core.Now()+wantMs*1000+1):
			t.Errorf("%q: a Retry-After of %d us, want %d ms", header, until-before, wantMs)
		}
	}
}
