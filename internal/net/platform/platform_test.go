package platform

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/sender"
)

// testEnv has a stand-in agent and endpoint, and the sender that a test has started.
type testEnv struct {
	t                 *testing.T
	agent             *httptest.Server
	endpoint          *httptest.Server
	notices           chan string                                               // acknowledged by the agent
	calls             chan *http.Request                                        // received by the endpoint
	respond           func(w http.ResponseWriter, r *http.Request, body string) // the endpoint's handler
	mu                sync.Mutex
	agentUnresponsive bool        // the agent responds only when a list is published
	rejectedNotices   int         // the number of notice requests that get an error before one is acknowledged
	polledVersions    chan string // the list version of each poll
	updates           chan string // lists to be published by the agent
	published         []agentList // with a version, in the order of publication
	truncateNext      chan int    // the byte at which the agent's next response is truncated
	truncated         chan bool   // that response was sent
	stateDir          string
	endpointAddr      string // of the endpoint, for the route table
	maxClients        int    // connection limit
	senders           int    // that poll the registry
	drainGrace        time.Duration
	listAge           time.Duration // of the list, when the sender starts
	registry          *Registry
	listVersion       int64 // of the list with which the sender starts
	core              *sender.Sender
	ingress           *Ingress
	eventLoop         *reactor.Reactor
}

func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{
		t: t, notices: make(chan string, 100), calls: make(chan *http.Request, 100),
		polledVersions: make(chan string, 100), updates: make(chan string, 1), stateDir: t.TempDir(),
		maxClients: 100, listVersion: 1, senders: 1,
		drainGrace: 2 * time.Second, truncated: make(chan bool, 1),
	}
	env.endpoint = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		respond := env.respond // read first, since the test may change it once it has received the call
		env.calls <- r
		respond(rw, r, string(body))
	}))
	env.agent = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v2/finals" {
			env.mu.Lock()
			env.rejectedNotices--
			rejected := env.rejectedNotices >= 0
			env.mu.Unlock()
			if rejected {
				rw.WriteHeader(http.StatusBadRequest)
				return
			}
			for scanner := bufio.NewScanner(r.Body); scanner.Scan(); {
				env.notices <- scanner.Text()
			}
			rw.WriteHeader(http.StatusNoContent)
			return
		}
		env.polledVersions <- r.URL.Query().Get("index")
		env.respondToPoll(rw, r)
	}))
	env.endpointAddr = env.endpoint.Listener.Addr().String()
	t.Cleanup(func() { env.agent.CloseClientConnections(); env.endpoint.CloseClientConnections() })
	return env
}

func (env *testEnv) endpointList(health string) config.EndpointList {
	return config.EndpointList{Seq: env.listVersion, Whole: true, Hosts: []config.Host{{
		Host: "e1", Block: 7, Class: "k", Health: health,
		Dial: env.endpointAddr,
	}}}
}

// startSender starts one incarnation of the sender.
func (env *testEnv) startSender() (addr string, kill func()) {
	env.t.Helper()
	return standin.Start(env.t, env.stateDir, func(
		core *sender.Sender, eventLoop *reactor.Reactor,
	) func(*reactor.Conn) reactor.Handler {
		agent := env.agent.Listener.Addr().String()
		ingress := NewIngress(core, eventLoop, agent,
			conntable.NewSharedLimit(env.maxClients).NewTable(Limits(env.maxClients)), false)
		env.core, env.ingress, env.eventLoop = core, ingress, eventLoop
		core.AddIngress(Front, ingress)
		core.AddEgress(Proto, NewEgress(core, eventLoop, standin.Settings(), conntable.NewSharedLimit(100)))
		env.registry = Watch(core, eventLoop, agent, env.endpointList("active"),
			WatchOptions{Senders: env.senders, Seed: 1, DrainGrace: env.drainGrace, ListAge: env.listAge})
		return ingress.Accept
	})
}

// sendCommand sends one command on a connection of its own and returns the first line of the reply.
func (env *testEnv) sendCommand(addr string, elements ...string) string {
	env.t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		env.t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(standin.Long))
	fmt.Fprintf(conn, "*%d\r\n", len(elements))
	for _, element := range elements {
		fmt.Fprintf(conn, "$%d\r\n%s\r\n", len(element), element)
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		env.t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

// receive returns the next value of c, and fails the test if none arrives in time.
func receive[T any](t *testing.T, c chan T) (value T) {
	t.Helper()
	select {
	case value = <-c:
	case <-time.After(standin.Long):
		t.Fatal("nothing was received in time")
	}
	return value
}

// submit submits a message and expects that it is accepted.
func (env *testEnv) submit(addr, id, class, deadlineMs string) {
	env.t.Helper()
	if got := env.sendCommand(
		addr, "SUBMIT", "0", id, "c="+class+",t=x,k=5c0f,dest=7,d="+deadlineMs, "body "+id,
	); got != "+OK" {
		env.t.Fatal(got)
	}
}

func respondOK(rw http.ResponseWriter, _ *http.Request, _ string) { rw.WriteHeader(http.StatusOK) }

// A message is sent with its ID, key and body unchanged and with a deadline, and no notice is sent after
// its 200.
func TestDelivered(t *testing.T) {
	env := newTestEnv(t)
	bodies := make(chan string, 1)
	env.respond = func(rw http.ResponseWriter, _ *http.Request, body string) { bodies <- body }
	addr, kill := env.startSender()
	env.submit(addr, "m1", "key", "9000")
	r := receive(t, env.calls)
	if r.URL.Path != "/events" || r.Header.Get("Req-Id") != "m1" || r.Header.Get("Idempotency-Key") != "5c0f" ||
		r.Header.Get("Req-Deadline-Ms") == "" || receive(t, bodies) != "body m1" {
		t.Fatal(r.URL, r.Header)
	}
	// Submitted again, there is no second call, whether the first submission is pending or has ended.
	env.submit(addr, "m1", "key", "9000")
	standin.ExpectMetric(t, env.core, "lb_upstream_tries_total 1")
	kill()
	_, kill = env.startSender()
	kill()
	if len(env.notices) != 0 {
		t.Fatal("notice of a delivered message", <-env.notices)
	}
}

// The sender is killed with a call in flight and restarts. An unsafe message may have run and must fail, one
// with an idempotency key must be sent again, and neither final answer is lost.
func TestRestartWithCallsInFlight(t *testing.T) {
	env := newTestEnv(t)
	blocked := make(chan bool)
	env.respond = func(http.ResponseWriter, *http.Request, string) { <-blocked }
	addr, kill := env.startSender()
	env.submit(addr, "charge", "once", "30000")
	receive(t, env.calls)
	kill()
	close(blocked)
	env.respond = respondOK
	_, kill = env.startSender()
	if got := receive(t, env.notices); got != `{"id":"charge","state":"failed"}` {
		t.Fatal(got)
	}
	kill()
	blocked = make(chan bool)
	env.respond = func(http.ResponseWriter, *http.Request, string) { <-blocked }
	addr, kill = env.startSender()
	env.submit(addr, "record", "key", "30000")
	receive(t, env.calls)
	kill()
	close(blocked)
	env.respond = respondOK
	env.startSender()
	if r := receive(t, env.calls); r.Header.Get("Req-Id") != "record" {
		t.Fatal(r.Header)
	}
	for len(env.notices) > 0 { // the first message's notice may be repeated, if its 204 was in transit at the kill
		if got := <-env.notices; !strings.Contains(got, `"charge"`) {
			t.Fatal(got)
		}
	}
}
