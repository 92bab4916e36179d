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

// Each end of a bundle is its own; a bundle's answer that lacks one, or says what is not known, is
// spoilt and proves nothing, also where it says that a message never ran.
func TestBundleEnds(t *testing.T) {
	c := &call{link: &link{}, attempts: []sender.Attempt{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}}
	const body = "a done\r\nb busy\r\nc void\r\nd used_up\r\ne failed"
	ends := c.parseBundle([]byte(body), false)
	for id, want := range map[string]sender.Outcome{
		"a": sender.OutcomeSuccess, "b": sender.OutcomeRejected, "c": sender.OutcomeNotSent, "d": sender.OutcomeNotSent,
		"e": sender.OutcomeFailed,
	} {
		if got, over := bundleOutcome(ends[id]); got != want || over != (id == "c") {
			t.Errorf("%s: %s", id, got)
		}
	}
	for _, bad := range []string{body[:len(body)-1], body[:len(body)-10], body + "\r\nf done", "", body + "\r\nnoise"} {
		if got := c.parseBundle([]byte(bad), false); len(got) > 0 {
			t.Errorf("%q: %v", bad, got)
		}
	}
	for cut, want := range map[string]int{body: 0, body + "\r": 0, body + "\r\n": 5} { // by the connection's end
		if got := c.parseBundle([]byte(cut), true); len(got) != want {
			t.Errorf("%q, ended by its connection: %v", cut, got)
		}
	}
	if c.link.trailingData = true; len(c.parseBundle([]byte(body), false)) > 0 {
		t.Error("cut off by its length, it was taken")
	}
}

// A report that cannot be read was taken for a load of 0, the best there is.
func TestUnreadableReport(t *testing.T) {
	e := &Egress{loadFields: []string{"x0", "x1"}}
	for text, want := range map[string]int{
		"x0=0.4, x1=25": 2, "x0=nan,x1=1": 0, "x0=1,x1=+Inf": 0,
		"x0=-1,x1=1": 0, "x0=1": 0, "x0=?,x1=1": 0, "": 0,
	} {
		var a http1.Response
		if _, err := a.Parse([]byte("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nSrv-Load: "+text+"\r\n\r\n"),
			false); err != nil || len(e.parseLoadReport(&a)) != want {
			t.Errorf("%q: %v %v", text, e.parseLoadReport(&a), err)
		}
	}
}

// peer is an endpoint of raw bytes: each request that it reads is reported with its connection's
// number, and answered with the next of the texts; the connection stays open.
func (w *world) peer(texts ...string) (seen chan int) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { ln.Close() })
	w.dial = ln.Addr().String()
	seen = make(chan int, 100)
	var mu sync.Mutex
	go func() {
		for n := 0; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					mu.Lock()
					if len(texts) > 0 {
						_, _ = io.WriteString(c, texts[0])
						texts = texts[1:]
					}
					mu.Unlock()
					seen <- n
				}
			}()
		}
	}()
	return seen
}

// A spoilt answer on a connection that stays open held its slot until the time-out. It may have
// run, so a charge fails at once, but where its first line says 200 that is true.
func TestSpoiltAnswers(t *testing.T) {
	const good, first = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		text string
		ran  bool
	}{
		{"\x01noise", false},
		{"HTTP/1.1 500 E\r\nContent-Length: 9\r\n\r\nshort", false},
		{"HTTP/1.1 50", false},
		{first + "half a he", true},
		{first + "A: half", true},
		{first + "Content-Length: -4\r\n\r\n", true},
		{first + "Content-Length: 3000000000\r\n\r\nxxx", true},
		{first + "Content-Length: 9\r\n\r\nshort", true},
		{good + "noise", true},
		{strings.Repeat("HTTP/1.1 102 P\r\n\r\n", 3) + good, true},
	} {
		w := newWorld(t)
		w.peer(c.text)
		addr, _ := w.start()
		w.submit(addr, "m1", "once", "60000")
		if !c.ran {
			if got := wait(t, w.finals); got != `{"id":"m1","state":"failed"}` {
				t.Fatalf("%q: %s", c.text, got)
			}
			continue
		}
		for end := time.Now().Add(standin.Long); w.delivered() != 1; time.Sleep(time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%q: not delivered", c.text)
			}
		}
	}
}

// delivered returns how many messages the sender has delivered.
func (w *world) delivered() uint64 {
	n := make(chan uint64, 1)
	w.core.Post(func() { n <- w.core.State().Delivered })
	return wait(w.t, n)
}

// What comes on an idle connection is not the answer to the next request, which goes out on another
// one.
func TestSecondCopy(t *testing.T) {
	const good = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	w := newWorld(t)
	seen := w.peer(good+good, "\x00")
	addr, _ := w.start()
	w.submit(addr, "m1", "once", "60000")
	wait(t, seen)
	w.submit(addr, "m2", "once", "60000")
	if n := wait(t, seen); n != 1 {
		t.Fatal("m2 went out on connection", n)
	}
	if got := wait(t, w.finals); got != `{"id":"m2","state":"failed"}` {
		t.Fatal(got)
	}
}

// A call ends when the first of its messages has no time left: an answer after that is of none that
// its endpoint still counts, and took messages that had time left for delivered.
func TestBundleEndsWithItsFirstMessage(t *testing.T) {
	w, end := newWorld(t), make(chan bool)
	w.answer = func(http.ResponseWriter, *http.Request, string) { <-end }
	defer close(end)
	out := make(chan int)
	standin.Start(t, w.dir, func(core *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		e := NewEgress(core, r, standin.Settings(), conntable.NewSharedLimit(100))
		var look func()
		look = func() {
			if len(e.calls) > 0 {
				r.After(time.Millisecond, look)
				return
			}
			out <- len(e.calls)
		}
		r.Post(func() {
			now, to := core.Now(), Routes(w.hosts("active"))[0]
			e.UpdateRoutes([]sender.Route{to})
			e.Send(to, []sender.Attempt{
				{ID: "charge", TimeoutUs: 300e6, Deadline: now + 300e6},
				{ID: "state", TimeoutUs: 1e6, Deadline: now + 20_000},
			})
			look()
		})
		return func(*reactor.Conn) reactor.Handler { return nil }
	})
	wait(t, out)
}

// An endpoint whose answer never ends is cut off; the charge may have run.
func TestEndlessAnswer(t *testing.T) {
	w := newWorld(t)
	w.answer = func(rw http.ResponseWriter, r *http.Request, _ string) {
		rw.WriteHeader(http.StatusInternalServerError) // a first line with 200 would be a delivery
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

// The forms in which an answer may tell to wait, or not: any case, blanks, twice, naught, a
// fraction, what is no number.
func TestFormsOfAWait(t *testing.T) {
	b := newBench(t)
	for text, want := range map[string]clock.Instant{
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
		b.do(func() {
			b.e.Gate = admission.New(standin.Settings())
			b.e.UpdateRoutes([]sender.Route{b.to})
			b.e.Send(b.to, b.attempt("a"))
			before = b.core.Now()
		})
		wait(t, b.s.turns).say("HTTP/1.1 429 R\r\n" + text + "\r\nContent-Length: 0\r\n\r\n")
		b.until("it has ended", func() bool { return b.e.calls["a"] == nil })
		b.do(func() { until = b.e.Gate.RetryAfterUntil(b.to.Endpoint) })
		switch {
		case want == 0 && until != 0:
			t.Errorf("%q: a wait of %d us", text, until-before)
		case want > 0 && (until < before+want*1000 || until > b.core.Now()+want*1000+1):
			t.Errorf("%q: a wait of %d us, want %d ms", text, until-before, want)
		}
	}
}
