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

// agentCheckInterval is how often the agent looks for a list that answers a poll that waits.
const agentCheckInterval = time.Millisecond

// agentList is a list that the agent has published with a version.
type agentList struct {
	version int64
	text    string
}

// answerPoll answers a poll as an agent does: with the list that follows on the version that is asked, whoever was
// answered with it before, and else after the poll's wait that nothing is new.
func (w *world) answerPoll(rw http.ResponseWriter, r *http.Request) {
	index := r.URL.Query().Get("index")
	answersAtOnce := r.URL.Query().Get("wait") == "1" && !w.agentUnresponsive
	for {
		if list, ok := w.listAfter(index); ok {
			w.writeList(rw, list)
			return
		}
		if answersAtOnce {
			_, _ = io.WriteString(rw, `{"seq":`+index+`,"whole":false,"hosts":[]}`)
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-time.After(agentCheckInterval):
		}
	}
}

// writeList writes an answer, or as much of it as the test wants of the next one, and then closes the connection.
func (w *world) writeList(rw http.ResponseWriter, list string) {
	select {
	case cut := <-w.cutNext:
		conn, _, err := http.NewResponseController(rw).Hijack()
		if err != nil {
			w.t.Error(err)
			return
		}
		answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(list), list)
		_, _ = io.WriteString(conn, answer[:min(cut, len(answer)-1)])
		_ = conn.Close()
		w.wasCut <- true
	default:
		_, _ = io.WriteString(rw, list)
	}
}

// listAfter publishes what the test has sent, and returns the answer to a poll, if there is one. A list that has no
// version, or none that is newer than that of the poll, answers this poll alone.
func (w *world) listAfter(index string) (text string, ok bool) {
	asked, hasVersion := int64(-1), false
	if version, err := strconv.ParseInt(index, 10, 64); err == nil {
		asked, hasVersion = version, true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	select {
	case list := <-w.changes:
		var form struct{ Seq *int64 }
		if json.Unmarshal([]byte(list), &form) != nil || form.Seq == nil || !hasVersion || *form.Seq <= asked {
			return list, true
		}
		w.lists = append(w.lists, agentList{*form.Seq, list})
		if list := w.lists[len(w.lists)-1]; w.agentUnresponsive {
			return list.text, true
		}
	default:
	}
	if w.agentUnresponsive {
		return "", false // it answers only as something is published
	}
	for _, list := range w.lists {
		if hasVersion && list.version > asked {
			return list.text, true
		}
	}
	return "", false
}

// A list that the process before has been told is told to the next one, too, which asks from the same version.
func TestAgentAnswersEachProcess(t *testing.T) {
	w := newWorld(t)
	w.changes <- `{"seq":2,"whole":false,"hosts":[]}`
	for process := range 2 {
		resp, err := http.Get(w.agent.URL + "/v2/registry?index=1&wait=1")
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil || !strings.Contains(string(text), `"seq":2`) {
			t.Fatalf("process %d was told %q, %v", process, text, err)
		}
	}
}

// An agent's answer that tells of a drain ends at any of its bytes, with the connection or with the process: the sender
// learns of it by its next poll, and sends the drained endpoint nothing.
func TestDrainThatIsCutShort(t *testing.T) {
	for _, killed := range []bool{false, true} {
		for cut := 0; cut < 420; cut += 30 {
			t.Run(fmt.Sprintf("killed %v, byte %d", killed, cut), func(t *testing.T) {
				t.Parallel()
				drainCutShort(t, cut, killed)
			})
		}
	}
}

func drainCutShort(t *testing.T, cut int, killed bool) {
	t.Helper()
	w := newWorld(t)
	hang := make(chan bool)
	w.answer = func(http.ResponseWriter, *http.Request, string) { <-hang }
	other := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { w.calls <- r }))
	defer other.Close()
	addr, kill := w.start()
	w.submit(addr, "first", "safe", "50000")
	wait(t, w.calls)
	news := fmt.Sprintf(`{"seq":2,"whole":false,"hosts":[{"host":"e1","block":7,"class":"k","health":"leaving",`+
		`"dial":%q},{"host":"e2","block":7,"class":"k","health":"active","dial":%q}]}`, w.dial, other.Listener.Addr())
	w.cutNext = make(chan int, 1)
	w.cutNext <- cut
	w.changes <- news
	if wait(t, w.wasCut); killed {
		kill()
		w.age = time.Hour
		addr, _ = w.start()
	} else {
		for wait(t, w.asked) != "2" { // it has been told
		}
	}
	close(hang)
	w.submit(addr, "second", "safe", "50000")
	for {
		if r := wait(t, w.calls); r.Header.Get("Req-Id") == "second" {
			if r.Host == w.dial {
				t.Fatal("sent to an endpoint that wants nothing new")
			}
			return
		}
	}
}
