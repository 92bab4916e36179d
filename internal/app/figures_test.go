package app

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/testing/standin"
)

// metrics returns the metrics that the control address serves, by name and labels.
func (proc *process) metrics(t *testing.T) map[string]int {
	t.Helper()
	status, text := proc.callControl("GET", "/api/telemetry", "")
	if status != 200 {
		t.Fatal(status, text)
	}
	values := map[string]int{}
	for _, match := range regexp.MustCompile(`(?m)^(\w+)(\{[^}]*\})? ([\d.e+]+)$`).FindAllStringSubmatch(text, -1) {
		value, err := strconv.ParseFloat(match[3], 64)
		if err != nil {
			t.Fatal(err)
		}
		values[match[1]+match[2]] += int(value)
	}
	return values
}

// The metrics must agree with the counts of the partner and the clients, under load with errors, resets, rejections,
// batches, clients that disconnect before the reply, a hot restart and a graceful shutdown. Each process counts from
// 0.
func TestMetricsMatchPeers(t *testing.T) {
	env := newTestEnv(t)
	env.partnerKind = "k"
	var mu sync.Mutex
	calls, received, delivered := 0, 0, map[string]bool{}
	env.partnerHandler = func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the request is incomplete
		}
		ids := []string{r.Header.Get("Req-Id")}
		if strings.HasSuffix(r.URL.Path, "/bundle") {
			ids = nil
			for reader := bufio.NewReader(strings.NewReader(string(body))); ; {
				var id, key string
				var n int
				if _, err := fmt.Fscanf(reader, "%s %s %d\r\n", &id, &key, &n); err != nil {
					break
				}
				ids = append(ids, id)
				_, _ = reader.Discard(n + 2)
			}
		}
		mu.Lock()
		calls++
		received += len(ids)
		n := calls
		mu.Unlock()
		time.Sleep(3 * time.Millisecond)
		switch n % 40 {
		case 10:
			w.WriteHeader(http.StatusInternalServerError)
		case 20:
			w.Header().Set("X-Backoff-Ms", "10")
			w.WriteHeader(http.StatusTooManyRequests)
		case 30:
			if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
				_ = conn.Close()
			}
		default:
			mu.Lock()
			for _, id := range ids {
				delivered[id] = true
			}
			mu.Unlock()
			for _, id := range ids {
				fmt.Fprintf(w, "%s done\r\n", id)
			}
		}
	}
	total := map[string]int{}
	add := func(proc *process) {
		for k, value := range proc.metrics(t) {
			total[k] += value
		}
	}
	proc := env.startProcess()
	env.waitReady(proc)
	stopClients := env.startClients(8)
	disconnected := 0
	for i := range 20 { // submit and disconnect at once
		if conn, err := net.Dial("tcp", env.clientAddr); err == nil {
			fmt.Fprintf(conn, "*5\r\n$6\r\nSUBMIT\r\n$1\r\n0\r\n$3\r\nL%02d\r\n$28\r\nc=charge,t=x,d=15000,dest=7 \r\n$1\r\n"+
				"x\r\n", i)
			_ = conn.Close()
			disconnected++
		}
		time.Sleep(5 * time.Millisecond)
	}
	// A partial command keeps the predecessor running until its metrics are read.
	partialConn, err := net.Dial("tcp", env.clientAddr)
	if err != nil {
		t.Fatal(err)
	}
	defer partialConn.Close()
	_, _ = io.WriteString(partialConn, "*5\r\n$6\r\nSUB")
	time.Sleep(50 * time.Millisecond)
	successorProc := env.startProcess()
	env.waitReady(successorProc)
	add(proc) // the counts of the predecessor; it makes no decisions any more
	_ = partialConn.Close()
	env.waitExit(proc)
	proc = successorProc
	time.Sleep(100 * time.Millisecond)
	stopClients()
	for deadline := time.Now().Add(standin.Long); proc.metrics(t)["lb_in_progress"] > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("messages without a final answer:", proc.metrics(t)["lb_in_progress"])
		}
	}
	add(proc)
	_ = proc.Process.Signal(syscall.SIGTERM)
	env.waitExit(proc)
	mu.Lock()
	defer mu.Unlock()
	env.mu.Lock()
	defer env.mu.Unlock()
	handled := func(outcome string) int {
		return total[`lb_handled_total{category="charge",outcome="`+outcome+`"}`]
	}
	checkClose := func(metric string, shown, seen, tolerance int) {
		t.Helper()
		if d := shown - seen; d > tolerance || -d > tolerance {
			t.Errorf("%s: the metric is %d, counted %d", metric, shown, seen)
		}
	}
	checkClose("messages written whole", total["lb_upstream_tries_total"], received, 3+received/50)
	checkClose("passed", handled("passed"), len(delivered), 3+disconnected)
	checkClose("failed or given back", handled("bad_gateway")+handled("dropped"), len(env.finalAnswers)+env.rejected,
		3+disconnected)
	if len(delivered) < 20 || total["lb_known_endpoints"] == 0 {
		t.Errorf("too few messages to compare: %d delivered, %d with a final answer, %v", len(delivered),
			len(env.finalAnswers), total)
	}
}
