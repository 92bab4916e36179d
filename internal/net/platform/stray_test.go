package platform

import (
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/failpoint"
	"brackendale/internal/net/conntable"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/standin"
	"brackendale/scheduler"
	"brackendale/sender"
)

// strayStatuses are answers that an endpoint may write a second time, or to nobody.
var strayStatuses = map[string]string{
	"200":                      "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	"410":                      "HTTP/1.1 410 Gone\r\nContent-Length: 0\r\n\r\n",
	"429":                      "HTTP/1.1 429 Wait\r\nX-Backoff-Ms: 3600000\r\nContent-Length: 0\r\n\r\n",
	"500":                      "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n",
	"503":                      "HTTP/1.1 503 Full\r\nContent-Length: 0\r\n\r\n",
	"503 with all slots taken": "HTTP/1.1 503 Full\r\nX-Egress-Full: 1\r\nContent-Length: 0\r\n\r\n",
	"504":                      "HTTP/1.1 504 Used Up\r\nContent-Length: 0\r\n\r\n",
	"interim":                  "HTTP/1.1 102 Processing\r\n\r\n",
	"load report":              "HTTP/1.1 200 OK\r\nSrv-Load: x0=0,x1=1\r\nContent-Length: 0\r\n\r\n",
	"a half":                   "HTTP/1.1 503 Fu",
}

// An answer that belongs to an earlier call must not end the next one, whenever it comes.
func TestStrayAnswerEndsTheNextCall(t *testing.T) {
	for name, stray := range strayStatuses {
		t.Run(name+" before the write", func(t *testing.T) { testStrayBeforeWrite(t, stray) })
		t.Run(name+" after the write", func(t *testing.T) { testStrayAfterWrite(t, stray) })
	}
}

// answerFirstCall makes a call that is answered, and returns the endpoint's side of its connection, once the connection
// could carry another call.
func (h *egressHarness) answerFirstCall() (conn io.Writer) {
	h.t.Helper()
	h.runOnLoop(func() { h.egress.Send(h.route, h.newAttempt("first")) })
	first := receive(h.t, h.endpoint.requests)
	first.respond(strayStatuses["200"])
	var answeredAt time.Duration
	h.waitUntil("the first call has ended", func() bool {
		answeredAt = h.eventLoop.Now()
		return h.egress.calls["first"] == nil
	})
	const settleTime = 20 * time.Millisecond
	h.waitUntil("a connection could be reused", func() bool { return h.eventLoop.Now() > answeredAt+settleTime })
	return first.conn
}

// testStrayBeforeWrite writes the stray answer when the next call is about to be admitted.
func testStrayBeforeWrite(t *testing.T, stray string) {
	h := newEgressHarness(t)
	conn := h.answerFirstCall()
	var once sync.Once
	undo := failpoint.SetHook(func(point failpoint.Point) {
		if point == failpoint.BeforeAdmission {
			once.Do(func() { _, _ = io.WriteString(conn, stray) })
		}
	})
	defer undo()
	h.runOnLoop(func() { h.egress.Send(h.route, h.newAttempt("next")) })
	h.waitUntil("it is written or ended", func() bool {
		return len(h.endpoint.requests) > 0 || h.egress.calls["next"] == nil
	})
	if len(h.endpoint.requests) > 0 {
		h.expectOnlyOwnAnswer()
	}
	if h.hasRetryAfterOnLoop() {
		t.Error("a Retry-After was applied")
	}
}

// testStrayAfterWrite writes the stray answer when the endpoint has the whole next call.
func testStrayAfterWrite(t *testing.T, stray string) {
	h := newEgressHarness(t)
	conn := h.answerFirstCall()
	h.runOnLoop(func() { h.egress.Send(h.route, h.newAttempt("next")) })
	h.waitUntil("it is written", func() bool { return len(h.endpoint.requests) > 0 })
	_, _ = io.WriteString(conn, stray)
	h.expectOnlyOwnAnswer()
	if h.hasRetryAfterOnLoop() {
		t.Error("a Retry-After was applied")
	}
}

// expectOnlyOwnAnswer expects that the call that the endpoint has received is out until the endpoint answers it.
func (h *egressHarness) expectOnlyOwnAnswer() {
	h.t.Helper()
	request := receive(h.t, h.endpoint.requests)
	h.waitUntil("the stray answer is handled", func() bool {
		c := h.egress.calls["next"]
		return c == nil || h.egress.table.Len() == 1 && !c.exchange.conn.HasPendingInput()
	})
	h.runOnLoop(func() {
		if c := h.egress.calls["next"]; c == nil || c.exchange.conn.IsClosing() {
			h.t.Error("the call was ended by an answer that is not its own")
		}
	})
	request.respond(strayStatuses["200"])
	h.waitUntil("it has ended", func() bool { return h.egress.calls["next"] == nil })
}

// startNotifying starts a sender that notifies the final answers of two messages to a scripted agent.
func startNotifying(t *testing.T, agent *scriptedServer) (addNotice func(id string)) {
	env := newTestEnv(t)
	var ingress *Ingress
	var eventLoop *reactor.Reactor
	standin.Start(t, env.stateDir, func(core *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		ingress, eventLoop = NewIngress(core, r, agent.listener.Addr().String(),
			conntable.NewSharedLimit(100).NewTable(Limits(100)), false), r
		core.AddIngress(Front, ingress)
		return ingress.Accept
	})
	return func(id string) {
		eventLoop.Post(func() { ingress.Notify(sender.Notice{ID: id, Answer: sender.DeliveryFailed}) })
	}
}

// A second copy of a 204 must not acknowledge a notice that the agent has not taken.
func TestStrayAcknowledgementEndsANotice(t *testing.T) {
	agent := newScriptedServer(t)
	addNotice := startNotifying(t, agent)
	addNotice("m1")
	first := receive(t, agent.requests)
	first.respond("HTTP/1.1 204 N\r\n\r\n")
	addNotice("m2")
	next := receive(t, agent.requests)
	_, _ = io.WriteString(first.conn, "HTTP/1.1 204 N\r\n\r\n")
	if next.conn != first.conn {
		next.conn.Close()
	}
	addNotice("m3")
	close(next.responded)
	for {
		request := receive(t, agent.requests)
		if strings.Contains(request.body, `"m2"`) {
			return
		}
		if strings.Contains(request.body, `"m3"`) {
			t.Fatalf("m2 counts as acknowledged: %s", request.body)
		}
		request.respond("HTTP/1.1 204 N\r\n\r\n")
	}
}

// The answer to an earlier poll must not bring back a version that is older than the known one.
func TestStrayListReopensADrainedEndpoint(t *testing.T) {
	h, agent := startWatching(t)
	polls := h.answerPolls(agent, listResponse(2, "active"), listResponse(3, "leaving"))
	third := receive(t, agent.requests)
	_, _ = io.WriteString(polls[1].conn, listResponse(2, "active")) // where this poll would be, on a reused connection
	h.expectStillDraining(agent, third)
}

// An agent that answers a poll with an older version than the polled one must not reopen a drained endpoint.
func TestOlderListReopensADrainedEndpoint(t *testing.T) {
	h, agent := startWatching(t)
	h.answerPolls(agent, listResponse(2, "active"), listResponse(3, "leaving"))
	third := receive(t, agent.requests)
	_, _ = io.WriteString(third.conn, listResponse(2, "active"))
	h.expectStillDraining(agent, third)
}

// An agent that keeps answering with older versions numbers them anew: its whole list is taken then.
func TestRenumberedRegistryIsIgnored(t *testing.T) {
	h, agent := startWatching(t)
	h.answerPolls(agent, listResponse(9, "active"), listResponse(2, "leaving"), listResponse(2, "leaving"),
		listResponse(2, "leaving"))
	whole := receive(t, agent.requests)
	if whole.path != "/registry/instances" {
		t.Fatalf("the next poll is %q, want one for the whole list", whole.path)
	}
	list := strings.Replace(listResponse(2, "leaving"), "\"whole\": false", "\"whole\": true ", 1)
	whole.respond(list)
	if next := receive(t, agent.requests); !strings.Contains(next.path, "index=2") {
		t.Errorf("the next poll is %q, want one from version 2", next.path)
	}
	if got := h.routeHealth(); got != string(scheduler.StatusDraining) {
		t.Errorf("e1 is %q after the whole list", got)
	}
}

// startWatching starts a sender that watches a scripted agent, from version 1 with e1 active.
func startWatching(t *testing.T) (*egressHarness, *scriptedServer) {
	env, agent := newTestEnv(t), newScriptedServer(t)
	h := &egressHarness{t: t}
	standin.Start(t, env.stateDir, func(core *sender.Sender, r *reactor.Reactor) func(*reactor.Conn) reactor.Handler {
		h.core, h.eventLoop = core, r
		list := config.EndpointList{Seq: 1, Whole: true, Hosts: []config.Host{
			{Host: "e1", Dial: "127.0.0.1:1", Class: "k", Block: 7, Health: "active"},
		}}
		ResumeWatch(core, r, agent.listener.Addr().String(), Routes(list), list.Seq,
			WatchOptions{Senders: 1, Seed: 1, DrainGrace: 2 * time.Second})
		return func(*reactor.Conn) reactor.Handler { return nil }
	})
	return h, agent
}

// answerPolls answers the next polls.
func (h *egressHarness) answerPolls(agent *scriptedServer, responses ...string) (polls []*scriptedRequest) {
	h.t.Helper()
	for _, response := range responses {
		poll := receive(h.t, agent.requests)
		poll.respond(response)
		polls = append(polls, poll)
	}
	return polls
}

// expectStillDraining ends the open poll, answers the next ones with no change, and expects that e1 still drains.
func (h *egressHarness) expectStillDraining(agent *scriptedServer, open *scriptedRequest) {
	h.t.Helper()
	close(open.responded)
	open.conn.Close()
	for range 3 {
		next := receive(h.t, agent.requests)
		if !strings.Contains(next.path, "index=3") {
			h.t.Errorf("the next poll is %q, want one from version 3", next.path)
		}
		next.respond(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(noChange), noChange))
	}
	if got := h.routeHealth(); got != string(scheduler.StatusDraining) {
		h.t.Errorf("e1 is %q after an older list", got)
	}
}

const noChange = `{"seq":3,"whole":false,"hosts":[]}`
