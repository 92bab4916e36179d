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

// No attempt is sent to a destination before its Retry-After has elapsed.
func TestRetryAfter(t *testing.T) {
	env := newTestEnv(t)
	var rejectedAt, repeatedAt time.Time
	count := 0
	env.respond = func(rw http.ResponseWriter, _ *http.Request, _ string) {
		if count++; count == 1 {
			rw.Header().Set("X-Backoff-Ms", "300")
			rw.WriteHeader(http.StatusTooManyRequests)
			rejectedAt = time.Now()
			return
		}
		repeatedAt = time.Now()
	}
	addr, _ := env.startSender()
	env.submit(addr, "m1", "once", "9000")
	receive(t, env.calls)
	receive(t, env.calls)
	env.endpoint.Close() // waits until the handler has returned
	if repeatedAt.Sub(rejectedAt) < 300*time.Millisecond {
		t.Fatal("sent after", repeatedAt.Sub(rejectedAt))
	}
}

// While a call's connection is being established, a Retry-After arrives from another endpoint of its
// destination, or its idempotency window ends. The call must not be written, and its connection is closed.
func TestLateConnection(t *testing.T) {
	for _, withRetryAfter := range []bool{true, false} {
		t.Run(fmt.Sprint("Retry-After ", withRetryAfter), func(t *testing.T) { testLateConnection(t, withRetryAfter) })
	}
}

func testLateConnection(t *testing.T, withRetryAfter bool) {
	env := newTestEnv(t)
	env.respond = func(rw http.ResponseWriter, _ *http.Request, _ string) {
		rw.Header().Set("X-Backoff-Ms", "60000")
		rw.WriteHeader(http.StatusTooManyRequests)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	raw, err := listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		// a backlog of one connection: the next one has to repeat its handshake
		err = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) })
	}
	if err != nil {
		t.Fatal(err)
	}
	first, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer first.Close()
	callsAndConnections := make(chan [2]int)
	standin.Start(t, env.stateDir, func(
		core *sender.Sender, eventLoop *reactor.Reactor,
	) func(*reactor.Conn) reactor.Handler {
		settings := standin.Settings()
		settings.Limits.ConnectTimeoutUs = 20e6
		egress := NewEgress(core, eventLoop, settings, conntable.NewSharedLimit(100))
		route := Routes(env.endpointList("active"))[0]
		other := route
		other.Addr, other.Dial = "late", listener.Addr().String()
		egress.UpdateRoutes([]sender.Route{route, other})
		var checkEnded func()
		checkEnded = func() {
			if egress.calls["late"] != nil || egress.table.Len() > 0 {
				eventLoop.After(time.Millisecond, checkEnded)
				return
			}
			callsAndConnections <- [2]int{len(egress.calls), egress.table.Len()}
		}
		eventLoop.Post(func() {
			attempt := sender.Attempt{ID: "late", TimeoutUs: 60e6, Deadline: core.Now() + 60e6}
			if !withRetryAfter {
				attempt.StartBy = core.Now() + 1
			}
			if egress.Send(other, []sender.Attempt{attempt}); withRetryAfter {
				egress.Send(route, []sender.Attempt{{ID: "refused", TimeoutUs: 60e6, Deadline: core.Now() + 60e6}})
			}
			checkEnded()
		})
		return func(*reactor.Conn) reactor.Handler { return nil }
	})
	if withRetryAfter {
		receive(t, env.calls)
	}
	for range 2 { // the first one, and the call's once its handshake was repeated
		conn, err := listener.Accept()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if conn.RemoteAddr().String() == first.LocalAddr().String() {
			continue
		}
		if got := receive(t, callsAndConnections); got != [2]int{0, 0} {
			t.Errorf("calls in flight and connections: %v", got)
		}
		_ = conn.SetReadDeadline(time.Now().Add(standin.Long))
		if received, err := conn.Read(make([]byte, 1)); received > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("written although not admitted: %d, %v", received, err)
		}
	}
}

// An endpoint that is leaving gets no new attempts: the message waits until the list has an active one.
func TestDrain(t *testing.T) {
	env := newTestEnv(t)
	activeAgain := make(chan bool)
	env.respond = func(http.ResponseWriter, *http.Request, string) {
		select {
		case <-activeAgain:
		default:
			t.Error("sent to a leaving endpoint")
		}
	}
	publish := func(seq int64, health string) {
		list := env.endpointList(health)
		list.Seq = seq
		raw, err := json.Marshal(list)
		if err != nil {
			t.Fatal(err)
		}
		env.updates <- string(raw)
	}
	publish(2, "leaving")
	addr, _ := env.startSender()
	for receive(t, env.polledVersions) != "2" {
	}
	env.submit(addr, "m1", "safe", "9000")
	close(activeAgain)
	publish(3, "active")
	if r := receive(t, env.calls); r.Header.Get("Req-Id") != "m1" {
		t.Fatal(r.Header)
	}
}

// A connect that fails because this process has no free descriptor proves nothing about the endpoint.
func TestLocalFailure(t *testing.T) {
	env := newTestEnv(t)
	env.startSender()
	outcome := make(chan sender.Outcome, 1)
	env.eventLoop.Post(func() {
		e := NewEgress(env.core, env.eventLoop, standin.Settings(), conntable.NewSharedLimit(100))
		c := &call{
			egress: e, route: Routes(env.endpointList("active"))[0], attempts: []sender.Attempt{{ID: "m"}},
			exchange: &exchange{},
		}
		c.finish(nil, fmt.Errorf("dial: %w", syscall.EMFILE))
		env.core.Post(func() { outcome <- env.core.State().Routes[0].LastOutcome })
	})
	if got := receive(t, outcome); got != sender.OutcomeNotSent {
		t.Fatal(got)
	}
}

// Canceling one message of a bundle must not abort an unsafe message in the same bundle.
func TestCancelPartOfBundle(t *testing.T) {
	env, release := newTestEnv(t), make(chan bool)
	env.respond = func(http.ResponseWriter, *http.Request, string) { <-release }
	defer close(release)
	callCounts := make(chan [3]int, 1)
	standin.Start(t, env.stateDir, func(
		core *sender.Sender, eventLoop *reactor.Reactor,
	) func(*reactor.Conn) reactor.Handler {
		egress := NewEgress(core, eventLoop, standin.Settings(), conntable.NewSharedLimit(100))
		eventLoop.Post(func() {
			route, deadline := Routes(env.endpointList("active"))[0], core.Now()+9e6
			egress.UpdateRoutes([]sender.Route{route})
			egress.Send(route, []sender.Attempt{
				{ID: "record", TimeoutUs: 9e6, Deadline: deadline},
				{ID: "charge", TimeoutUs: 9e6, Deadline: deadline},
			})
			egress.Cancel("record", 0)
			egress.Cancel("record", 0)
			afterFirst := len(egress.calls)
			egress.Cancel("charge", 1) // another attempt's number
			afterOther := len(egress.calls)
			egress.Cancel("charge", 0)
			callCounts <- [3]int{afterFirst, afterOther, len(egress.calls)}
		})
		return func(*reactor.Conn) reactor.Handler { return nil }
	})
	if got := receive(t, callCounts); got != [3]int{2, 2, 0} {
		t.Fatal("attempts in flight after each cancellation:", got)
	}
}

// A request that waits for its connection is admitted by the state at the time when the connection is
// established, not by the state when it was sent to the egress.
func TestAdmissionWhenConnected(t *testing.T) {
	updateRoute := func(h *egressHarness, change func(*sender.Route)) {
		changed := h.route
		change(&changed)
		h.egress.UpdateRoutes([]sender.Route{changed})
	}
	for name, forbid := range map[string]func(*egressHarness){
		"drained": func(h *egressHarness) {
			updateRoute(h, func(r *sender.Route) { r.State = "quiescing" })
		},
		"left the list": func(h *egressHarness) {
			updateRoute(h, func(r *sender.Route) { r.State = "dead" })
		},
		"moved to another destination": func(h *egressHarness) {
			updateRoute(h, func(r *sender.Route) { r.Destination++ })
		},
		"shutdown": func(h *egressHarness) { h.egress.Stop() },
		"Retry-After": func(h *egressHarness) {
			h.egress.Gate.SetRetryAfter(h.egress.Gate.RouteName(h.route.Endpoint), 0, 1<<62)
		},
		"idempotency window ended": func(h *egressHarness) { h.egress.calls["late"].admission.StartBy = 1 },
		"deadline passed":          func(h *egressHarness) { h.egress.calls["late"].admission.Deadline = 1 },
	} {
		t.Run(name, func(t *testing.T) {
			h := newEgressHarness(t)
			h.runOnLoop(func() {
				h.egress.Send(h.route, h.newAttempt("late"))
				receive(t, h.endpoint.conns) // connected, but the event loop has not been notified
				forbid(h)
			})
			h.expectNotWritten("late")
		})
	}
	h := newEgressHarness(t) // the counterpart: nothing forbids the request
	h.runOnLoop(func() { h.egress.Send(h.route, h.newAttempt("late")) })
	receive(t, h.endpoint.requests).respond("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	// An attempt that the core decided before the shutdown.
	h.runOnLoop(func() { h.egress.Stop(); h.egress.Send(h.route, h.newAttempt("after")) })
	h.expectNotWritten("after")
}
