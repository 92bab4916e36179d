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

// list is what an agent answers: the endpoint e1 in a state, as of a version.
func list(seq int, health string) string {
	body := fmt.Sprintf("{\n  \"seq\": %d,\n  \"whole\": false,\n  \"hosts\": [\n    {\"host\": \"e1\", \"dial\": "+
		"\"127.0.0.1:1\",\n     \"class\": \"k\", \"block\": 7, \"health\": %q}\n  ]\n}\n", seq, health)
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// health returns the health of route e1 in the core, or "none".
func (b *bench) health() string {
	got := make(chan string, 1)
	b.core.Post(func() {
		for _, r := range b.core.State().Routes {
			if r.Name == "e1" {
				got <- r.Health
				return
			}
		}
		got <- "none"
	})
	return wait(b.t, got)
}

// Whatever becomes of a watch, the next one is opened, from the version that is held, and what it
// tells counts. Only what was a whole list moves the version; nothing that a connection says which
// was given up counts.
func TestWatchIsOpenedAnew(t *testing.T) {
	whole := list(2, "leaving")
	for name, x := range map[string]struct {
		say   string
		close bool
		next  string // the version that the next call names; "": none
	}{
		"news":                        {whole, false, "index=2"},
		"news, and closed":            {whole, true, "index=2"},
		"closed without a word":       {"", true, "index=1"},
		"closed in the head":          {whole[:30], true, "index=1"},
		"closed in half a line":       {whole[:len(whole)-30], true, "index=1"},
		"silent":                      {"", false, "index=1"},
		"silent in the head":          {whole[:30], false, "index=1"},
		"silent in half a line":       {whole[:len(whole)-30], false, "index=1"},
		"refused":                     {"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", false, "index=1"},
		"no list":                     {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n[1,2]", false, "index=1"},
		"noise":                       {"\x00\x01\x02", false, "index=1"},
		"no version":                  {"HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\n{\"hosts\":[]}", false, ""},
		"news, and more than belongs": {whole + "HTTP/1.1 200 OK\r\n", false, "index=2"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			b := newBench(t)
			agent := newScript(t)
			known := config.EndpointList{
				Seq: 1, Whole: true,
				Hosts: []config.Host{{Host: "e1", Block: 7, Class: "k", Health: "active", Dial: "127.0.0.1:1"}},
			}
			b.do(func() {
				Watch(b.core, b.r, agent.ln.Addr().String(), known, WatchOptions{Senders: 1, Grace: 2 * time.Second})
			})
			first := wait(t, agent.turns)
			if want := "/registry/instances?index=1&wait=1"; first.path != want {
				t.Fatalf("asked %q first, not %q", first.path, want)
			}
			first.say("HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{\"seq\":1,\"whole\":false,\"hosts\":[]}")
			u := wait(t, agent.turns)
			if want := "/registry/instances?index=1&wait=3000"; u.path != want {
				t.Fatalf("asked %q, not %q", u.path, want)
			}
			if u.say(x.say); x.close {
				u.c.Close()
			}
			next := wait(t, agent.turns)
			if want := "/registry/instances"; x.next == "" && next.path != want || x.next != "" &&
				next.path != want+"?"+x.next+"&wait=3000" {
				t.Fatalf("asked %q next, not from %q", next.path, x.next)
			}
			if next.c == u.c != (name == "news") {
				t.Errorf("on the same connection: %v", next.c == u.c)
			}
			_, _ = u.c.Write([]byte(list(9, "left"))) // too late
			next.say(list(3, "active"))
			third := wait(t, agent.turns)
			if want := "/registry/instances?index=3&wait=3000"; third.path != want && name != "news" {
				t.Errorf("asked %q last, not %q", third.path, want)
			}
			if got := b.health(); got != "live" && name != "news" {
				t.Errorf("e1 is %s", got)
			}
		})
	}
}

// News counts as known 6 s after the registry had it and could be reached, whatever
// became of the calls meanwhile.
func TestGapsOfTheWatchAreWithinWhatCountsAsTold(t *testing.T) {
	const knownWithin = 6 * time.Second
	if d := watchWaitMs*time.Millisecond + watchMargin + minRetryGap + agentTimeout; d > knownWithin {
		t.Error("an unresponsive watch:", d)
	}
	for _, senders := range []int{1, 3, 20, 300, 100_000} {
		for seed := range int64(200) {
			g := newRegistry(nil, nil, "", 1, WatchOptions{Senders: senders, Seed: seed})
			backoffs := map[string]*recovery.PollSchedule{"refused": g.refusedBackoff, "failed": g.failedBackoff}
			for name, backoff := range backoffs {
				for range 12 {
					if d := backoff.NextDelay() + agentTimeout; d > knownWithin {
						t.Fatalf("%d senders, %s: %v between two calls", senders, name, d)
					}
				}
			}
		}
	}
}

// Many senders that are started in one instant do not poll in one, but each polls before its grace
// is half over: what has changed while it was away counts as known from its first moment.
func TestFirstCallOfALifeIsWithinTheGrace(t *testing.T) {
	for _, grace := range []time.Duration{0, 200 * time.Millisecond, 2 * time.Second, time.Minute} {
		most := time.Duration(0)
		for seed := range int64(300) {
			by := WatchOptions{Senders: 300, Seed: seed, Grace: grace}
			d := newRegistry(nil, nil, "", 1, by).firstPollDelay(by)
			if most = max(most, d); d > grace/2 || d > maxFirstPollDelay {
				t.Fatalf("grace %v, seed %d: the first call waits %v", grace, seed, d)
			}
		}
		if grace > 0 && most < min(grace/2, maxFirstPollDelay)/2 {
			t.Errorf("grace %v: all poll within %v", grace, most)
		}
	}
}

// An endpoint is drained while the sender starts again, with a list in its configuration that is
// older: what it held is not sent there, since the agent has that news and answers at once. Where
// the agent does not respond, what the process before knew still counts.
func TestDrainedAcrossARestart(t *testing.T) {
	for _, heard := range []string{"while it was down", "by the process before"} {
		t.Run(heard, func(t *testing.T) {
			w := newWorld(t)
			hang := make(chan bool)
			w.answer = func(rw http.ResponseWriter, _ *http.Request, _ string) { <-hang }
			other := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { w.calls <- r }))
			defer other.Close()
			addr, kill := w.start()
			w.submit(addr, "first", "safe", "50000")
			wait(t, w.calls)
			for i := range 4 { // behind it, or out as well
				w.submit(addr, fmt.Sprint("m", i), "safe", "50000")
			}
			news := fmt.Sprintf(`{"seq":2,"whole":false,"hosts":[{"host":"e1","block":7,"class":"k","health":"leaving",`+
				`"dial":%q},`+
				`{"host":"e2","block":7,"class":"k","health":"active","dial":%q}]}`, w.dial, other.Listener.Addr())
			if heard == "by the process before" {
				w.changes <- news
				for until := time.Now().Add(standin.Long); ; time.Sleep(time.Millisecond) {
					got := make(chan bool, 1)
					w.core.Post(func() {
						got <- slices.ContainsFunc(w.core.State().Routes, func(r sender.RouteState) bool { return r.Name == "e2" })
					})
					if wait(t, got) {
						break
					}
					if time.Now().After(until) {
						t.Fatal("the news never came")
					}
				}
				time.Sleep(50 * time.Millisecond) // the news is kept beside the steps
			}
			kill()
			close(hang)
			for len(w.calls) > 0 {
				<-w.calls
			}
			w.answer = ok
			if w.age = time.Hour; heard == "while it was down" {
				w.changes <- news
			} else {
				w.agentUnresponsive = true
			}
			w.start()
			if heard == "while it was down" {
				for range 5 {
					if r := wait(t, w.calls); r.Host == w.dial {
						t.Fatal("sent to an endpoint that wants nothing new")
					}
				}
				return
			}
			time.Sleep(2 * w.grace) // the agent says nothing, and nothing else may take it
			if len(w.calls) > 0 {
				t.Fatal("sent to an endpoint that wants nothing new")
			}
		})
	}
}

// By a list that is younger than the grace calls leave at once; when it gets older than that with
// no news, none does any more, until the agent has answered or is known not to respond.
func TestOldListIsTrustedForItsGrace(t *testing.T) {
	w := newWorld(t)
	w.agentUnresponsive, w.answer = true, ok
	w.grace, w.age = time.Hour, 0
	addr, kill := w.start()
	w.submit(addr, "a", "safe", "50000")
	wait(t, w.calls)
	kill()
	w.age = 2 * time.Hour
	addr, _ = w.start()
	w.submit(addr, "b", "safe", "50000")
	wait(t, w.calls) // the agent does not respond
}

// 0 is the version of a list that has not changed yet: it was taken for none, and eighty senders
// fetched the whole list every 50 ms, until the registry turned all of them away.
func TestVersionNaughtIsWatched(t *testing.T) {
	w := newWorld(t)
	w.seq = 0
	w.start()
	for range 3 {
		if v := wait(t, w.asked); v != "0" {
			t.Fatalf("asked from version %q", v)
		}
		w.changes <- `{"seq":0,"whole":false,"hosts":[]}`
	}
	w.changes <- `{"whole":true,"hosts":[]}` // without a version there is nothing to watch from
	for v := wait(t, w.asked); v != ""; v = wait(t, w.asked) {
		if v != "0" {
			t.Fatalf("asked from version %q after a list without one", v)
		}
	}
}

// Among many the first watch waits; a new configuration that came before it made two requests on
// one link.
func TestMoveBeforeTheFirstWatchAsksOnce(t *testing.T) {
	w := newWorld(t)
	w.senders = 8 // up to 280 ms
	w.start()
	other := newWorld(t)
	w.r.Post(func() { w.registry.Move(other.agent.Listener.Addr().String()) })
	if v := wait(t, other.asked); v != "" {
		t.Fatalf("asked from version %q", v)
	}
	time.Sleep(400 * time.Millisecond) // the first watch would have been by now
	other.changes <- `{"seq":5,"whole":true,"hosts":[]}`
	if v := wait(t, other.asked); v != "5" {
		t.Errorf("the next request is from version %q: two were on the link", v)
	}
	if len(w.asked) > 0 {
		t.Error("the old agent was asked")
	}
}
