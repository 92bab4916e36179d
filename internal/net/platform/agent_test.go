package platform

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"
)

// agentCheckInterval is the interval at which a waiting poll checks for a published list.
const agentCheckInterval = time.Millisecond

// agentList is a published list that has a version.
type agentList struct {
	version int64
	text    string
}

// respondToPoll responds to a poll as an agent does: with the first list that is newer than the polled version, also if
// an earlier poll got it. Without one it reports no change to a poll with a wait of 1 ms, and lets any other poll wait.
func (env *testEnv) respondToPoll(rw http.ResponseWriter, r *http.Request) {
	polledIndex := r.URL.Query().Get("index")
	respondsAtOnce := r.URL.Query().Get("wait") == "1" && !env.agentUnresponsive
	for {
		if list, ok := env.listAfter(polledIndex); ok {
			env.writeList(rw, list)
			return
		}
		if respondsAtOnce {
			_, _ = io.WriteString(rw, `{"seq":`+polledIndex+`,"whole":false,"hosts":[]}`)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(agentCheckInterval):
		}
	}
}

// writeList writes a response. If the test has requested it, the response is truncated by the connection's end.
func (env *testEnv) writeList(rw http.ResponseWriter, list string) {
	select {
	case truncateAt := <-env.truncateNext:
		conn, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			env.t.Error(err)
			return
		}
		response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		_, _ = io.WriteString(conn, response[:min(truncateAt, len(response)-1)])
		_ = conn.Close()
		env.truncated <- true
	default:
		_, _ = io.WriteString(rw, list)
	}
}

// listAfter publishes the list that the test has submitted, and returns the response to a poll, if there is one. A list
// without a version, or with one that is not newer than the polled one, is the response to this poll alone.
func (env *testEnv) listAfter(polledIndex string) (text string, ok bool) {
	polledVersion, hasVersion := int64(-1), false
	if version, err := strconv.ParseInt(polledIndex, 10, 64); err == nil {
		polledVersion, hasVersion = version, true
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	select {
	case list := <-env.updates:
		var decoded struct{ Seq *int64 }
		if json.Unmarshal([]byte(list), &decoded) != nil || decoded.Seq == nil || !hasVersion ||
			*decoded.Seq <= polledVersion {
			return list, true
		}
		env.published = append(env.published, agentList{*decoded.Seq, list})
		if list := env.published[len(env.published)-1]; env.agentUnresponsive {
			return list.text, true
		}
	default:
	}
	if env.agentUnresponsive {
		return "", false // it responds only when a list is published
	}
	for _, list := range env.published {
		if hasVersion && list.version > polledVersion {
			return list.text, true
		}
	}
	return "", false
}

// The stand-in agent returns a list to each incarnation that polls from the same version, not only to the first.
func TestAgentRespondsToEachIncarnation(t *testing.T) {
	env := newTestEnv(t)
	env.updates <- `{"seq":2,"whole":false,"hosts":[]}`
	for incarnation := range 2 {
		resp, err := http.Get(env.agent.URL + "/v2/registry?index=1&wait=1")
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || !strings.Contains(string(text), `"seq":2`) {
			t.Fatalf("incarnation %d received %q, %v", incarnation, text, err)
		}
	}
}

// A response with a draining endpoint is truncated at any byte, by the end of the connection or of the sender's
// process. The sender must receive the change by its next poll and send the endpoint no new attempts.
func TestTruncatedDrainUpdate(t *testing.T) {
	for _, killed := range []bool{false, true} {
		for truncateAt := 0; truncateAt < 420; truncateAt += 30 {
			t.Run(fmt.Sprintf("killed %v, byte %d", killed, truncateAt), func(t *testing.T) {
				t.Parallel()
				testTruncatedDrain(t, truncateAt, killed)
			})
		}
	}
}

func testTruncatedDrain(t *testing.T, truncateAt int, killed bool) {
	t.Helper()
	env := newTestEnv(t)
	blocked := make(chan bool)
	env.respond = func(http.ResponseWriter, *http.Request, string) { <-blocked }
	other := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { env.calls <- r }))
	defer other.Close()
	addr, kill := env.startSender()
	env.submit(addr, "first", "safe", "50000")
	receive(t, env.calls)
	update := fmt.Sprintf(`{"seq":2,"whole":false,"hosts":[{"host":"e1","block":7,"class":"k","health":"leaving",`+
		`"dial":%q},{"host":"e2","block":7,"class":"k","health":"active","dial":%q}]}`,
		env.endpointAddr, other.Listener.Addr())
	env.truncateNext = make(chan int, 1)
	env.truncateNext <- truncateAt
	env.updates <- update
	if receive(t, env.truncated); killed {
		kill()
		env.listAge = time.Hour
		addr, _ = env.startSender()
	} else {
		for receive(t, env.polledVersions) != "2" { // until it has applied the update
		}
	}
	close(blocked)
	env.submit(addr, "second", "safe", "50000")
	for {
		if r := receive(t, env.calls); r.Header.Get("Req-Id") == "second" {
			if r.Host == env.endpointAddr {
				t.Fatal("sent to a draining endpoint")
			}
			return
		}
	}
}
