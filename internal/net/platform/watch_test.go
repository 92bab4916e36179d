package platform

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/recovery"
	"brackendale/internal/testing/standin"
	"brackendale/sender"
)

// listResponse returns an agent's response: a list with a version, which has the endpoint e1 with this health.
func listResponse(seq int, health string) string {
	body := fmt.Sprintf("{\n  \"seq\": %d,\n  \"whole\": false,\n  \"hosts\": [\n    {\"host\": \"e1\", \"dial\": "+
		"\"127.0.0.1:1\",\n     \"class\": \"k\", \"block\": 7, \"health\": %q}\n  ]\n}\n", seq, health)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// routeHealth returns the health of route e1 in the core, or "none" without such a route.
func (h *egressHarness) routeHealth() string {
	got := make(chan string, 1)
	h.core.Post(func() {
		for _, route := range h.core.State().Routes {
			if route.Name == "e1" {
				got <- route.Health
				return
			}
		}
		got <- "none"
	})
	return receive(h.t, got)
}

// However a poll ends, the next one follows, from the current version, and its response is applied. Only a
// complete list changes the version, and data behind the response is ignored.
func TestWatchReconnects(t *testing.T) {
	complete := listResponse(2, "leaving")
	for name, test := range map[string]struct {
		response string
		close    bool
		next     string // the query of the next poll before "&wait"; "": no query
	}{
		"change":                    {complete, false, "index=2"},
		"change, then closed":       {complete, true, "index=2"},
		"closed without a response": {"", true, "index=1"},
		"closed in the head":        {complete[:30], true, "index=1"},
		"closed in the body":        {complete[:len(complete)-30], true, "index=1"},
		"unresponsive":              {"", false, "index=1"},
		"unresponsive in the head":  {complete[:30], false, "index=1"},
		"unresponsive in the body":  {complete[:len(complete)-30], false, "index=1"},
		"error response":            {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false, "index=1"},
		"not a list":                {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[1,2]", false, "index=1"},
		"malformed response":        {"\x00\x01\x02", false, "index=1"},
		"no version":                {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"hosts\":[]}", false, ""},
		"change, then surplus data": {complete + "HTTP/1.1 200 OK\r\n", false, "index=2"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			h := newEgressHarness(t)
			agent := newScriptedServer(t)
			known := config.EndpointList{
				Seq: 1, Whole: true,
				Hosts: []config.Host{{Host: "e1", Block: 7, Class: "k", Health: "active", Dial: "127.0.0.1:1"}},
			}
			h.runOnLoop(func() {
				Watch(h.core, h.eventLoop, agent.listener.Addr().String(), known,
					WatchOptions{Senders: 1, DrainGrace: 2 * time.Second})
			})
			first := receive(t, agent.requests)
			if want := "/registry/instances?index=1&wait=1"; first.path != want {
				t.Fatalf("the first poll is %q, want %q", first.path, want)
			}
			first.respond("HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{\"seq\":1,\"whole\":false,\"hosts\":[]}")
			request := receive(t, agent.requests)
			if want := "/registry/instances?index=1&wait=400"; request.path != want {
				t.Fatalf("the second poll is %q, want %q", request.path, want)
			}
			if request.respond(test.response); test.close {
				request.conn.Close()
			}
			next := receive(t, agent.requests)
			if want := "/registry/instances"; test.next == "" && next.path != want || test.next != "" &&
				next.path != want+"?"+test.next+"&wait=400" {
				t.Fatalf("the next poll is %q, want %q", next.path, test.next)
			}
			if next.conn == request.conn {
				t.Error("two polls on one connection")
			}
			_, _ = request.conn.Write([]byte(listResponse(9, "left"))) // ignored: the poll has ended
			next.respond(listResponse(3, "active"))
			third := receive(t, agent.requests)
			if want := "/registry/instances?index=3&wait=400"; third.path != want {
				t.Errorf("the last poll is %q, want %q", third.path, want)
			}
			if got := h.routeHealth(); got != "live" {
				t.Errorf("e1 is %s", got)
			}
		})
	}
}

// The protocol requires that a change is applied within 6 s after the registry had it and could be reached,
// however the polls end in the meantime.
func TestPollIntervalsWithinNotificationLimit(t *testing.T) {
	const updateLimit = 6 * time.Second
	longestPoll := pollWaitMs*time.Millisecond + pollMargin<<maxMarginDoublings
	if interval := longestPoll + minRetryInterval + agentTimeout; interval > updateLimit {
		t.Error("with an unresponsive agent:", interval)
	}
	for _, senders := range []int{1, 3, 20, 300, 100_000} {
		for seed := range int64(200) {
			registry := newRegistry(nil, nil, "", 1, WatchOptions{Senders: senders, Seed: seed})
			backoffs := map[string]*recovery.PollSchedule{"refused": registry.errorBackoff, "failed": registry.noResponseBackoff}
			for name, backoff := range backoffs {
				for range 12 {
					if interval := backoff.NextDelay() + agentTimeout; interval > updateLimit {
						t.Fatalf("%d senders, %s: %v between two polls", senders, name, interval)
					}
				}
			}
		}
	}
}

// Senders that start at the same time must not poll at the same time, but each must poll within half of its
// drain grace, which for a change during the downtime counts from the start.
func TestFirstPollWithinDrainGrace(t *testing.T) {
	for _, grace := range []time.Duration{0, 200 * time.Millisecond, 2 * time.Second, time.Minute} {
		maxDelay := time.Duration(0)
		for seed := range int64(300) {
			options := WatchOptions{Senders: 300, Seed: seed, DrainGrace: grace}
			delay := newRegistry(nil, nil, "", 1, options).firstPollDelay(options)
			if maxDelay = max(maxDelay, delay); delay > grace/2 || delay > maxFirstPollDelay {
				t.Fatalf("grace %v, seed %d: the first poll is delayed by %v", grace, seed, delay)
			}
		}
		if grace > 0 && maxDelay < min(grace/2, maxFirstPollDelay)/2 {
			t.Errorf("grace %v: all senders poll within %v", grace, maxDelay)
		}
	}
}

// An endpoint drains around a restart of the sender, whose configured list is older. Pending messages must
// not be sent to it: if it drained during the downtime, the agent has the change and responds at once; if
// the previous incarnation received the change, it applies even while the agent is unresponsive.
func TestDrainedDuringRestart(t *testing.T) {
	for _, received := range []string{"while it was down", "by the process before"} {
		t.Run(received, func(t *testing.T) {
			env := newTestEnv(t)
			blocked := make(chan bool)
			env.respond = func(rw http.ResponseWriter, _ *http.Request, _ string) { <-blocked }
			other := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { env.calls <- r }))
			defer other.Close()
			addr, kill := env.startSender()
			env.submit(addr, "first", "safe", "50000")
			receive(t, env.calls)
			for i := range 4 { // pending, or in flight as well
				env.submit(addr, fmt.Sprint("m", i), "safe", "50000")
			}
			update := fmt.Sprintf(`{"seq":2,"whole":false,"hosts":[{"host":"e1","block":7,"class":"k","health":"leaving",`+
				`"dial":%q},`+
				`{"host":"e2","block":7,"class":"k","health":"active","dial":%q}]}`, env.endpointAddr, other.Listener.Addr())
			if received == "by the process before" {
				env.updates <- update
				for deadline := time.Now().Add(standin.Long); ; time.Sleep(time.Millisecond) {
					got := make(chan bool, 1)
					env.core.Post(func() {
						got <- slices.ContainsFunc(env.core.State().Routes, func(r sender.RouteState) bool { return r.Name == "e2" })
					})
					if receive(t, got) {
						break
					}
					if time.Now().After(deadline) {
						t.Fatal("the change was never applied")
					}
				}
				time.Sleep(50 * time.Millisecond) // the change is stored asynchronously to the steps
			}
			kill()
			close(blocked)
			for len(env.calls) > 0 {
				<-env.calls
			}
			env.respond = respondOK
			if env.listAge = time.Hour; received == "while it was down" {
				env.updates <- update
			} else {
				env.agentUnresponsive = true
			}
			env.startSender()
			if received == "while it was down" {
				for range 5 {
					if r := receive(t, env.calls); r.Host == env.endpointAddr {
						t.Fatal("sent to a draining endpoint")
					}
				}
				return
			}
			time.Sleep(2 * env.drainGrace) // the agent is unresponsive, and no other endpoint may get the message
			if len(env.calls) > 0 {
				t.Fatal("sent to a draining endpoint")
			}
		})
	}
}

// After a restart the sender uses only those endpoints of its older list that were live in the registry's last report.
// Changes since the older list do not name the others, so that the whole list must be requested: else an endpoint that
// is live again would get nothing for as long as the process runs.
func TestCorrectedListIsRequestedWhole(t *testing.T) {
	env := newTestEnv(t)
	env.respond = respondOK
	_, kill := env.startSender()
	list := func(seq int, whole bool, health string) string {
		return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[{"host":"e1","block":7,"class":"k","health":%q,"dial":%q}]}`,
			seq, whole, health, env.endpointAddr)
	}
	env.updates <- list(2, false, "left")
	for version := receive(t, env.polledVersions); version != "2"; {
		version = receive(t, env.polledVersions)
	}
	time.Sleep(50 * time.Millisecond) // the change is stored asynchronously to the steps
	kill()
	for len(env.polledVersions) > 0 {
		<-env.polledVersions
	}
	env.listAge = time.Hour
	addr, _ := env.startSender()
	env.submit(addr, "m", "safe", "50000")
	env.updates <- `{"seq":1,"whole":false,"hosts":[]}`
	env.updates <- list(3, true, "active")
	polled := []string{receive(t, env.polledVersions)}
	for len(env.updates) > 0 || polled[len(polled)-1] != "3" {
		polled = append(polled, receive(t, env.polledVersions))
	}
	if !slices.Contains(polled, "") {
		t.Errorf("the whole list was never requested: polls from versions %q", polled)
	}
	receive(t, env.calls)
}

// With a list younger than the drain grace, calls are made at once. With an older list, none is made until
// the agent has responded or is considered unresponsive.
func TestOldListTrustedForDrainGrace(t *testing.T) {
	env := newTestEnv(t)
	env.agentUnresponsive, env.respond = true, respondOK
	env.drainGrace, env.listAge = time.Hour, 0
	addr, kill := env.startSender()
	env.submit(addr, "a", "safe", "50000")
	receive(t, env.calls)
	kill()
	env.listAge = 2 * time.Hour
	addr, _ = env.startSender()
	env.submit(addr, "b", "safe", "50000")
	receive(t, env.calls) // once the agent is considered unresponsive
}

// 0 is the version of a list that has never changed. It was once treated as no version: eighty senders
// fetched the whole list every 50 ms, until the registry rejected all of them.
func TestVersionZeroIsWatched(t *testing.T) {
	env := newTestEnv(t)
	env.listVersion = 0
	env.startSender()
	for range 3 {
		if version := receive(t, env.polledVersions); version != "0" {
			t.Fatalf("polled from version %q", version)
		}
		env.updates <- `{"seq":0,"whole":false,"hosts":[]}`
	}
	env.updates <- `{"whole":true,"hosts":[]}` // without a version, the next poll is for the whole list
	for version := receive(t, env.polledVersions); version != ""; version = receive(t, env.polledVersions) {
		if version != "0" {
			t.Fatalf("polled from version %q after a list without one", version)
		}
	}
}

// With many senders the first poll is delayed. A change of the agent before that poll once led to two
// polls in flight.
func TestSetAgentBeforeFirstPoll(t *testing.T) {
	env := newTestEnv(t)
	env.senders = 8 // up to 280 ms
	env.startSender()
	other := newTestEnv(t)
	env.eventLoop.Post(func() { env.registry.SetAgent(other.agent.Listener.Addr().String()) })
	if version := receive(t, other.polledVersions); version != "" {
		t.Fatalf("polled from version %q", version)
	}
	time.Sleep(400 * time.Millisecond) // the first poll would have been sent by now
	other.updates <- `{"seq":5,"whole":true,"hosts":[]}`
	if version := receive(t, other.polledVersions); version != "5" {
		t.Errorf("the next poll is from version %q: two were in flight", version)
	}
	if len(env.polledVersions) > 0 {
		t.Error("the old agent was polled")
	}
}
