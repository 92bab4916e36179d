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

// A notice is sent again until its response is 204.
func TestNoticeUntil204(t *testing.T) {
	env := newTestEnv(t)
	env.rejectedNotices = 2
	env.respond = func(rw http.ResponseWriter, _ *http.Request, _ string) {
		rw.WriteHeader(http.StatusInternalServerError)
	}
	addr, _ := env.startSender()
	env.submit(addr, "m1", "once", "9000") // after a 500 it may have run, and an unsafe message is not repeated
	var notice struct{ ID, State string }
	if err := json.Unmarshal([]byte(receive(t, env.notices)), &notice); err != nil || notice.ID != "m1" ||
		notice.State != "failed" {
		t.Fatal(notice, err)
	}
	if len(env.calls) != 1 {
		t.Fatal("calls:", len(env.calls))
	}
}

// A notice that the old agent has not acknowledged is sent to the new one.
func TestNoticeAfterAgentChange(t *testing.T) {
	env := newTestEnv(t)
	env.respond = func(rw http.ResponseWriter, _ *http.Request, _ string) {
		rw.WriteHeader(http.StatusInternalServerError)
	}
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	received := make(chan bool, 1)
	go func() {
		if conn, err := unresponsive.Accept(); err == nil {
			_, err = conn.Read(make([]byte, 1))
			received <- err == nil
		}
	}()
	var setAgent func()
	agent := env.agent.Listener.Addr().String()
	addr, _ := standin.Start(t, env.stateDir, func(
		core *sender.Sender, eventLoop *reactor.Reactor,
	) func(*reactor.Conn) reactor.Handler {
		ingress := NewIngress(core, eventLoop, unresponsive.Addr().String(),
			conntable.NewSharedLimit(100).NewTable(Limits(100)), false)
		setAgent = func() { eventLoop.Post(func() { ingress.SetAgent(agent) }) }
		core.AddIngress(Front, ingress)
		core.AddEgress(Proto, NewEgress(core, eventLoop, standin.Settings(), conntable.NewSharedLimit(100)))
		core.UpdateRoutes("whole", Routes(env.endpointList("active")))
		return ingress.Accept
	})
	env.submit(addr, "m1", "once", "9000")
	receive(t, received)
	setAgent()
	if got := receive(t, env.notices); got != `{"id":"m1","state":"failed"}` {
		t.Fatal(got)
	}
}
