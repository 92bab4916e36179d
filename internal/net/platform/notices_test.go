package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"testing"

	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/sender"
)

// A notice is sent until its response is 204, over a restart too.
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

// A notice that the old agent has not acknowledged is sent to the new one.
func TestNoticeMoves(t *testing.T) {
	w := newWorld(t)
	w.answer = func(rw http.ResponseWriter, _ *http.Request, _ string) {
		rw.WriteHeader(http.StatusInternalServerError)
	}
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	heard := make(chan bool, 1)
	go func() {
		if c, err := unresponsive.Accept(); err == nil {
			_, err = c.Read(make([]byte, 1))
			heard <- err == nil
		}
	}()
	var move func()
	agent := w.agent.Listener.Addr().String()
	addr, _ := standin.Start(t, w.dir, func(core *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		in := NewIngress(core, r, unresponsive.Addr().String(), conntable.NewSharedLimit(100).NewTable(Limits(100)), false)
		move = func() { r.Post(func() { in.Move(agent) }) }
		core.AddIngress(Front, in)
		core.AddEgress(Proto, NewEgress(core, r, standin.Settings(), conntable.NewSharedLimit(100)))
		core.UpdateRoutes("whole", Routes(w.hosts("active")))
		return in.Accept
	})
	w.submit(addr, "m1", "once", "9000")
	wait(t, heard)
	move()
	if got := wait(t, w.finals); got != `{"id":"m1","state":"failed"}` {
		t.Fatal(got)
	}
}
