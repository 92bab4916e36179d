package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/sender"
)

// Nothing is sent to a destination before its Retry-After has passed.
func TestRetryAfter(t *testing.T) {
	w := newWorld(t)
	var refused, next time.Time
	n := 0
	w.answer = func(rw http.ResponseWriter, _ *http.Request, _ string) {
		if n++; n == 1 {
			rw.Header().Set("X-Backoff-Ms", "300")
			rw.WriteHeader(http.StatusTooManyRequests)
			refused = time.Now()
			return
		}
		next = time.Now()
	}
	addr, _ := w.start()
	w.submit(addr, "m1", "once", "9000")
	wait(t, w.calls)
	wait(t, w.calls)
	w.target.Close() // waits for the answer
	if next.Sub(refused) < 300*time.Millisecond {
		t.Fatal("sent after", next.Sub(refused))
	}
}

// A call whose connection comes up late is not written under a Retry-After that came meanwhile
// from another endpoint of its destination, nor when the time is over in which its key is known: it
// never left, and the connection stays for the next one.
func TestLateConnection(t *testing.T) {
	for _, wait := range []bool{true, false} {
		t.Run(fmt.Sprint("wait ", wait), func(t *testing.T) { lateConnection(t, wait) })
	}
}

func lateConnection(t *testing.T, withRetryAfter bool) {
	w := newWorld(t)
	w.answer = func(rw http.ResponseWriter, _ *http.Request, _ string) {
		rw.Header().Set("X-Backoff-Ms", "60000")
		rw.WriteHeader(http.StatusTooManyRequests)
	}
	late, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer late.Close()
	raw, err := late.(*net.TCPListener).SyscallConn()
	if err == nil {
		// room for one that is not accepted: the next has to come again
		err = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	if err != nil {
		t.Fatal(err)
	}
	first, err := net.Dial("tcp", late.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	held := make(chan [2]int)
	standin.Start(t, w.dir, func(core *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		set := standin.Settings()
		set.Limits.ConnectTimeoutUs = 20e6
		e := NewEgress(core, r, set, conntable.NewSharedLimit(100))
		to := Routes(w.hosts("active"))[0]
		other := to
		other.Addr, other.Dial = "late", late.Addr().String()
		e.UpdateRoutes([]sender.Route{to, other})
		var look func()
		look = func() {
			if e.calls["late"] != nil {
				r.After(time.Millisecond, look)
				return
			}
			held <- [2]int{len(e.calls), len(e.idleLinks["late"])}
		}
		r.Post(func() {
			h := sender.Attempt{ID: "late", TimeoutUs: 60e6, Deadline: core.Now() + 60e6}
			if !withRetryAfter {
				h.StartBy = core.Now() + 1
			}
			if e.Send(other, []sender.Attempt{h}); withRetryAfter {
				e.Send(to, []sender.Attempt{{ID: "refused", TimeoutUs: 60e6, Deadline: core.Now() + 60e6}})
			}
			look()
		})
		return func(*reactor.Conn) reactor.Handler { return nil }
	})
	if withRetryAfter {
		wait(t, w.calls)
	}
	for range 2 { // the first one, and the late one once it has come again
		c, err := late.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if c.RemoteAddr().String() == first.LocalAddr().String() {
			continue
		}
		if got := wait(t, held); got != [2]int{0, 1} {
			t.Errorf("out and idle: %v", got)
		}
		_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if n, err := c.Read(make([]byte, 1)); n > 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("written too late: %d, %v", n, err)
		}
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

// A connect that fails for want of a descriptor is no word on the target.
func TestLocalFailure(t *testing.T) {
	w := newWorld(t)
	w.start()
	reason := make(chan sender.Outcome, 1)
	w.r.Post(func() {
		e := NewEgress(w.core, w.r, standin.Settings(), conntable.NewSharedLimit(100))
		c := &call{egress: e, route: Routes(w.hosts("active"))[0], attempts: []sender.Attempt{{ID: "m"}}, link: &link{}}
		c.finish(nil, fmt.Errorf("dial: %w", syscall.EMFILE))
		w.core.Post(func() { reason <- w.core.State().Routes[0].LastOutcome })
	})
	if got := wait(t, reason); got != sender.OutcomeNotSent {
		t.Fatal(got)
	}
}

// A recall of one message of a bundle must not cut off a charge that travels with it.
func TestRecallOfPartOfABundle(t *testing.T) {
	w, end := newWorld(t), make(chan bool)
	w.answer = func(http.ResponseWriter, *http.Request, string) { <-end }
	defer close(end)
	out := make(chan [3]int, 1)
	standin.Start(t, w.dir, func(core *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		e := NewEgress(core, r, standin.Settings(), conntable.NewSharedLimit(100))
		r.Post(func() {
			to, until := Routes(w.hosts("active"))[0], core.Now()+9e6
			e.UpdateRoutes([]sender.Route{to})
			e.Send(to, []sender.Attempt{
				{ID: "record", TimeoutUs: 9e6, Deadline: until},
				{ID: "charge", TimeoutUs: 9e6, Deadline: until},
			})
			e.Cancel("record", 0)
			e.Cancel("record", 0)
			n := len(e.calls)
			e.Cancel("charge", 1) // another attempt's number
			m := len(e.calls)
			e.Cancel("charge", 0)
			out <- [3]int{n, m, len(e.calls)}
		})
		return func(*reactor.Conn) reactor.Handler { return nil }
	})
	if got := wait(t, out); got != [3]int{2, 2, 0} {
		t.Fatal("attempts out after each recall:", got)
	}
}

// A request that waits for its connection is admitted by what holds when that is up, whatever came
// meanwhile.
func TestLateConnectionIsJudgedWhenItIsUp(t *testing.T) {
	gone := func(b *bench, f func(*sender.Route)) { x := b.to; f(&x); b.e.UpdateRoutes([]sender.Route{x}) }
	for name, forbid := range map[string]func(*bench){
		"drained":                    func(b *bench) { gone(b, func(r *sender.Route) { r.State = "quiescing" }) },
		"left the list":              func(b *bench) { gone(b, func(r *sender.Route) { r.State = "dead" }) },
		"of another destination now": func(b *bench) { gone(b, func(r *sender.Route) { r.Destination++ }) },
		"shutdown":                   func(b *bench) { b.e.Stop() },
		"Retry-After":                func(b *bench) { b.e.Gate.SetRetryAfter(b.to.Endpoint, 0, 1<<62) },
		"window over":                func(b *bench) { b.e.calls["late"].admission.StartBy = 1 },
		"time up":                    func(b *bench) { b.e.calls["late"].admission.Deadline = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench(t)
			b.do(func() {
				b.e.Send(b.to, b.attempt("late"))
				wait(t, b.s.conns) // it is up, and the loop does not know yet
				forbid(b)
			})
			b.nothing("late")
		})
	}
	b := newBench(t) // and nothing forbids it
	b.do(func() { b.e.Send(b.to, b.attempt("late")) })
	wait(t, b.s.turns).say("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	b.do(func() { b.e.Stop(); b.e.Send(b.to, b.attempt("after")) }) // decided before the shutdown
	b.nothing("after")
}
