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

// world stands in for the agent and the endpoints.
type world struct {
	t                 *testing.T
	agent             *httptest.Server
	target            *httptest.Server
	finals            chan string
	calls             chan *http.Request
	answer            func(w http.ResponseWriter, r *http.Request, body string)
	mu                sync.Mutex
	agentUnresponsive bool        // the agent answers only with changes
	reject            int         // finals that are answered with an error first
	asked             chan string // the watch's versions
	changes           chan string // lists that the agent publishes
	lists             []agentList // that it has published with a version, in their order
	cutNext           chan int    // the byte at which the agent's next list ends
	wasCut            chan bool   // it has ended
	dir               string
	dial              string // of the endpoint, as the route table has it
	most              int    // clients
	senders           int    // that share the registry
	grace             time.Duration
	age               time.Duration // of the list, when the sender starts
	registry          *Registry
	seq               int64 // of the list that the sender last held
	core              *sender.Sender
	in                *Ingress
	r                 *reactor.Reactor
}

func newWorld(t *testing.T) *world {
	w := &world{
		t: t, finals: make(chan string, 100), calls: make(chan *http.Request, 100),
		asked: make(chan string, 100), changes: make(chan string, 1), dir: t.TempDir(), most: 100, seq: 1, senders: 1,
		grace: 2 * time.Second, wasCut: make(chan bool, 1),
	}
	w.target = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		answer := w.answer // the test may set another once it has seen the call
		w.calls <- r
		answer(rw, r, string(body))
	}))
	w.agent = httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v2/finals" {
			w.mu.Lock()
			w.reject--
			bad := w.reject >= 0
			w.mu.Unlock()
			if bad {
				rw.WriteHeader(http.StatusBadRequest)
				return
			}
			for sc := bufio.NewScanner(r.Body); sc.Scan(); {
				w.finals <- sc.Text()
			}
			rw.WriteHeader(http.StatusNoContent)
			return
		}
		w.asked <- r.URL.Query().Get("index")
		w.answerPoll(rw, r)
	}))
	w.dial = w.target.Listener.Addr().String()
	t.Cleanup(func() { w.agent.CloseClientConnections(); w.target.CloseClientConnections() })
	return w
}

func (w *world) hosts(health string) config.List {
	return config.List{Seq: w.seq, Whole: true, Hosts: []config.Host{{
		Host: "e1", Block: 7, Class: "k", Health: health,
		Dial: w.dial,
	}}}
}

// start begins one incarnation of a sender.
func (w *world) start() (addr string, kill func()) {
	w.t.Helper()
	return standin.Start(w.t, w.dir, func(core *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		agent := w.agent.Listener.Addr().String()
		in := NewIngress(core, r, agent, conntable.NewSharedLimit(w.most).NewTable(Limits(w.most)), false)
		w.core, w.in, w.r = core, in, r
		core.AddIngress(Front, in)
		core.AddEgress(Proto, NewEgress(core, r, standin.Settings(), conntable.NewSharedLimit(100)))
		w.registry = Watch(core, r, agent, w.hosts("active"),
			WatchOptions{Senders: w.senders, Seed: 1, Grace: w.grace, Age: w.age})
		return in.Accept
	})
}

// client hands one command in and reads one line.
func (w *world) say(addr string, words ...string) string {
	w.t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		w.t.Fatal(err)
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(standin.Long))
	fmt.Fprintf(c, "*%d\r\n", len(words))
	for _, x := range words {
		fmt.Fprintf(c, "$%d\r\n%s\r\n", len(x), x)
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		w.t.Fatal(err)
	}
	return strings.TrimSpace(line)
}

func wait[T any](t *testing.T, c chan T) (x T) {
	t.Helper()
	select {
	case x = <-c:
	case <-time.After(standin.Long):
		t.Fatal("nothing came")
	}
	return x
}

func (w *world) submit(addr, id, class, ms string) {
	w.t.Helper()
	if got := w.say(addr, "SUBMIT", "0", id, "c="+class+",t=x,k=5c0f,dest=7,d="+ms, "body "+id); got != "+OK" {
		w.t.Fatal(got)
	}
}

func ok(rw http.ResponseWriter, _ *http.Request, _ string) { rw.WriteHeader(http.StatusOK) }

// A message goes out with its id, key, deadline and body unchanged, and no notice is sent after its
// 200.
func TestDelivered(t *testing.T) {
	w := newWorld(t)
	bodies := make(chan string, 1)
	w.answer = func(rw http.ResponseWriter, _ *http.Request, b string) { bodies <- b }
	addr, kill := w.start()
	w.submit(addr, "m1", "key", "9000")
	r := wait(t, w.calls)
	if r.URL.Path != "/events" || r.Header.Get("Req-Id") != "m1" || r.Header.Get("Idempotency-Key") != "5c0f" ||
		r.Header.Get("Req-Deadline-Ms") == "" || wait(t, bodies) != "body m1" {
		t.Fatal(r.URL, r.Header)
	}
	w.submit(addr, "m1", "key", "9000") // handed in twice: held or over, and never a second call at once
	standin.Shows(t, w.core, "lb_upstream_tries_total 1")
	kill()
	_, kill = w.start()
	kill()
	if len(w.finals) != 0 {
		t.Fatal("a delivered message was ended by a notice", <-w.finals)
	}
}

// Killed with a call out, the sender comes back: the charge may have run and fails, the keyed
// message goes again, and neither end is forgotten.
func TestRestartWithCallsOut(t *testing.T) {
	w := newWorld(t)
	hang := make(chan bool)
	w.answer = func(http.ResponseWriter, *http.Request, string) { <-hang }
	addr, kill := w.start()
	w.submit(addr, "charge", "once", "30000")
	wait(t, w.calls)
	kill()
	close(hang)
	w.answer = ok
	_, kill = w.start()
	if got := wait(t, w.finals); got != `{"id":"charge","state":"failed"}` {
		t.Fatal(got)
	}
	kill()
	hang = make(chan bool)
	w.answer = func(http.ResponseWriter, *http.Request, string) { <-hang }
	addr, kill = w.start()
	w.submit(addr, "record", "key", "30000")
	wait(t, w.calls)
	kill()
	close(hang)
	w.answer = ok
	w.start()
	if r := wait(t, w.calls); r.Header.Get("Req-Id") != "record" {
		t.Fatal(r.Header)
	}
	for len(w.finals) > 0 { // the charge's notice may come again, if its 204 crossed the kill
		if got := <-w.finals; !strings.Contains(got, `"charge"`) {
			t.Fatal(got)
		}
	}
}
