package platform

import (
	"bufio"
	"encoding/json"
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
	"brackendale/internal/net/reactor"
	"brackendale/internal/standin"
	"brackendale/sender"
)

// world stands in for the agent and the endpoints.
type world struct {
	t       *testing.T
	agent   *httptest.Server
	target  *httptest.Server
	finals  chan string
	calls   chan *http.Request
	answer  func(w http.ResponseWriter, r *http.Request, body string)
	mu      sync.Mutex
	reject  int         // finals that are answered with an error first
	asked   chan string // the watch's versions
	changes chan string
	dir     string
}

func newWorld(t *testing.T) *world {
	w := &world{t: t, finals: make(chan string, 100), calls: make(chan *http.Request, 100), asked: make(chan string, 100), changes: make(chan string, 1), dir: t.TempDir()}
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
		select {
		case list := <-w.changes:
			_, _ = io.WriteString(rw, list)
		case <-r.Context().Done():
		}
	}))
	t.Cleanup(func() { w.agent.CloseClientConnections(); w.target.CloseClientConnections() })
	return w
}

func (w *world) hosts(health string) config.List {
	return config.List{Seq: 1, Whole: true, Hosts: []config.Host{{Host: "e1", Block: 7, Class: "k", Health: health,
		Dial: w.target.Listener.Addr().String()}}}
}

// start begins one life of a sender.
func (w *world) start() (addr string, kill func()) {
	w.t.Helper()
	return standin.Start(w.t, w.dir, func(core *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		agent := w.agent.Listener.Addr().String()
		in := NewIngress(core, r, agent, 100)
		core.AddIngress(Front, in)
		core.AddEgress(Proto, NewEgress(core, r, standin.Settings()))
		Watch(core, r, agent, w.hosts("active"))
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

// A message goes out with its id, key, deadline and body unchanged, and nothing is owed after its 200.
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
	kill()
	_, kill = w.start()
	kill()
	if len(w.finals) != 0 {
		t.Fatal("a delivered message was ended by a notice", <-w.finals)
	}
}

// An end stays owed until its notice got 204, over a restart too.
func TestNoticeUntil204(t *testing.T) {
	w := newWorld(t)
	w.reject = 2
	w.answer = func(rw http.ResponseWriter, _ *http.Request, _ string) {
		rw.WriteHeader(http.StatusInternalServerError)
	}
	addr, _ := w.start()
	w.submit(addr, "m1", "once", "9000") // answered 500 it may have run: a charge is not repeated
	var n struct{ ID, State string }
	if err := json.Unmarshal([]byte(wait(t, w.finals)), &n); err != nil || n.ID != "m1" || n.State != "failed" {
		t.Fatal(n, err)
	}
	if len(w.calls) != 1 {
		t.Fatal("calls:", len(w.calls))
	}
}

// A notice that the old agent has not confirmed is told to the new one.
func TestNoticeMoves(t *testing.T) {
	w := newWorld(t)
	w.answer = func(rw http.ResponseWriter, _ *http.Request, _ string) {
		rw.WriteHeader(http.StatusInternalServerError)
	}
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	heard := make(chan bool, 1)
	go func() {
		if c, err := silent.Accept(); err == nil {
			_, err = c.Read(make([]byte, 1))
			heard <- err == nil
		}
	}()
	var move func()
	agent := w.agent.Listener.Addr().String()
	addr, _ := standin.Start(t, w.dir, func(core *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		in := NewIngress(core, r, silent.Addr().String(), 100)
		move = func() { core.Post(func() { in.Move(agent) }) }
		core.AddIngress(Front, in)
		core.AddEgress(Proto, NewEgress(core, r, standin.Settings()))
		core.Routes("whole", Routes(w.hosts("active")))
		return in.Accept
	})
	w.submit(addr, "m1", "once", "9000")
	wait(t, heard)
	move()
	if got := wait(t, w.finals); got != `{"id":"m1","state":"failed"}` {
		t.Fatal(got)
	}
}

// Killed with a call out, the sender comes back: the charge may have run and fails, the keyed message
// goes again, and neither end is forgotten.
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
	addr, kill = w.start()
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

// A told wait is heeded: nothing goes to that destination before it is over.
func TestToldWait(t *testing.T) {
	w := newWorld(t)
	var told, next time.Time
	n := 0
	w.answer = func(rw http.ResponseWriter, _ *http.Request, _ string) {
		if n++; n == 1 {
			rw.Header().Set("X-Backoff-Ms", "300")
			rw.WriteHeader(http.StatusTooManyRequests)
			told = time.Now()
			return
		}
		next = time.Now()
	}
	addr, _ := w.start()
	w.submit(addr, "m1", "once", "9000")
	wait(t, w.calls)
	wait(t, w.calls)
	w.target.Close() // waits for the answer
	if next.Sub(told) < 300*time.Millisecond {
		t.Fatal("sent after", next.Sub(told))
	}
}

// A leaving endpoint gets nothing new: its message waits until the list has one that is active.
func TestDrain(t *testing.T) {
	w := newWorld(t)
	back := make(chan bool)
	w.answer = func(http.ResponseWriter, *http.Request, string) {
		select {
		case <-back:
		default:
			t.Error("sent to a leaving endpoint")
		}
	}
	change := func(seq int64, health string) {
		l := w.hosts(health)
		l.Seq = seq
		raw, err := json.Marshal(l)
		if err != nil {
			t.Fatal(err)
		}
		w.changes <- string(raw)
	}
	change(2, "leaving")
	addr, _ := w.start()
	for wait(t, w.asked) != "2" {
	}
	w.submit(addr, "m1", "safe", "9000")
	close(back)
	change(3, "active")
	if r := wait(t, w.calls); r.Header.Get("Req-Id") != "m1" {
		t.Fatal(r.Header)
	}
}

// Whatever a client sends, it gets the protocol's own error.
func TestBadCommands(t *testing.T) {
	w := newWorld(t)
	w.answer = ok
	addr, _ := w.start()
	meta := "c=once,t=x,d=9000,dest=7"
	for _, c := range []struct {
		want  string
		words []string
	}{
		{"+PONG", []string{"ping"}},
		{"-ERR unknown command", []string{"GET", "x"}},
		{"-ERR wrong number", []string{"SUBMIT", "0", "id"}},
		{"-ERR bad id", []string{"SUBMIT", "0", "a b", meta, ""}},
		{"-ERR unknown class", []string{"SUBMIT", "0", "m", "d=1,dest=7", ""}},
		{"-ERR unknown class", []string{"SUBMIT", "0", "m", "c=zzz,d=1,dest=7", ""}},
		{"-ERR bad or missing d", []string{"SUBMIT", "0", "m", "c=once,d=x,dest=7", ""}},
		{"-ERR unknown destination", []string{"SUBMIT", "0", "m", "c=once,d=9,dest=8", ""}},
		{"-ERR missing key", []string{"SUBMIT", "0", "m", "c=key,d=9,dest=7", ""}},
		{"-ERR Protocol error: too long", []string{"SUBMIT", "0", "m", meta, strings.Repeat("x", 64<<10+1)}},
	} {
		if got := w.say(addr, c.words...); !strings.HasPrefix(got, c.want) {
			t.Errorf("%.60q: %q", c.words, got)
		}
	}
	if len(w.calls) != 0 {
		t.Error("a bad command was sent on")
	}
}

// Each end of a bundle is its own.
func TestBundleEnds(t *testing.T) {
	ends := bundleEnds([]byte("a done\r\nb busy\r\nc void\nd used_up\r\nnonsense\r\n"))
	for id, want := range map[string]string{"a": sender.Good, "b": sender.Full, "c": sender.Moot, "d": sender.Moot, "x": sender.Bad} {
		if got, over := bundleEnd(ends[id]); got != want || over != (id == "c") {
			t.Errorf("%s: %s", id, got)
		}
	}
}

// A recall of one message of a bundle must not cut off a charge that travels with it.
func TestRecallOfPartOfABundle(t *testing.T) {
	w, end := newWorld(t), make(chan bool)
	w.answer = func(http.ResponseWriter, *http.Request, string) { <-end }
	defer close(end)
	out := make(chan [3]int, 1)
	standin.Start(t, w.dir, func(core *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		e := NewEgress(core, r, standin.Settings())
		core.Post(func() {
			e.Send(Routes(w.hosts("active"))[0], []sender.Hop{{ID: "record", LimitUs: 9e6}, {ID: "charge", LimitUs: 9e6}})
			e.Recall("record", 0)
			e.Recall("record", 0)
			n := len(e.out)
			e.Recall("charge", 1) // another attempt's number
			m := len(e.out)
			e.Recall("charge", 0)
			out <- [3]int{n, m, len(e.out)}
		})
		return func(*reactor.Conn) reactor.Handler { return nil }
	})
	if got := wait(t, out); got != [3]int{2, 2, 0} {
		t.Fatal("hops out after each recall:", got)
	}
}

// An endpoint whose answer never ends is cut off; the charge may have run.
func TestEndlessAnswer(t *testing.T) {
	w := newWorld(t)
	w.answer = func(rw http.ResponseWriter, r *http.Request, _ string) {
		for r.Context().Err() == nil {
			if _, err := rw.Write(make([]byte, 64<<10)); err != nil {
				return
			}
		}
	}
	addr, _ := w.start()
	w.submit(addr, "m1", "once", "30000")
	if got := wait(t, w.finals); got != `{"id":"m1","state":"failed"}` {
		t.Fatal(got)
	}
}
