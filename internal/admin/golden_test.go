package admin

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"brackendale/internal/testing/golden"
)

// The golden file holds the responses byte for byte, except for dates. After an intended change,
// go test ./internal/admin -run Golden -update-golden rewrites it.

// exchangeRaw sends the bytes of a request and returns those of the response.
func exchangeRaw(t *testing.T, addr, text string) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return golden.Mask(string(response), `Date: [^\r]*`, "Date: DATE")
}

// forEachState brings the server into each state in which its responses differ, and calls check in it.
func forEachState(t *testing.T, s *Server, metricsErr *error, check func(name string)) {
	t.Helper()
	check("starting")
	s.SetStarting("waiting for the process before")
	check("starting, with a reason")
	s.SetReady(func() (bool, string) { return false, "stopping" }, excludeByName)
	check("not ready")
	s.SetReady(func() (bool, string) { return true, "" }, excludeByName)
	check("ready")
	*metricsErr = errors.New("no figures")
	check("figures fail")
}

// excludeByName stands in for a core's exclude: the endpoint's id determines the error.
func excludeByName(_ context.Context, target string, _ bool) error {
	return map[string]error{
		"never": ErrUnknownEndpoint, "slow": context.DeadlineExceeded,
		"full": errors.New("no room"),
	}[target]
}

// Each path and method in each state of the server.
func TestGoldenResponses(t *testing.T) {
	var metricsErr error
	s, err := Listen("127.0.0.1:0", func(w io.Writer) error {
		if metricsErr == nil {
			_, _ = io.WriteString(w, "lb_in_progress 14\n")
		}
		return metricsErr
	}, "text/plain; version=0.0.4")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }
	requests := []string{
		get("/api/ready"), get("/api/telemetry"), get("/api/exclude"), get("/api/include"),
		get("/api"), get("/metrics"), postRequest("/api/ready", "x"), postRequest("/api/telemetry", "x"), "nonsense\r\n\r\n",
		"HEAD /api/ready HTTP/1.1\r\nHost: x\r\n\r\n",
	}
	for _, path := range []string{"/api/exclude", "/api/include"} {
		for _, body := range []string{
			`{"target":"e1"}`, `{"target":"e1","more":1}`, `{"target":"never"}`,
			`{"target":"slow"}`, `{"target":"full"}`, `{"target":7}`, `{}`, ``, `{"target":""}`,
			`{"target":"` + strings.Repeat("x", 256) + `"}`,
		} {
			requests = append(requests, postRequest(path, body))
		}
	}
	var out strings.Builder
	record := func(name, request string) {
		response := strings.ReplaceAll(exchangeRaw(t, s.Addr().String(), request), "\r\n", "\\r\\n\n")
		fmt.Fprintf(&out, "--- %s: %.120q\n%s\n", name, request, response)
	}
	forEachState(t, s, &metricsErr, func(name string) {
		for _, c := range requests {
			record(name, c)
		}
	})
	// Only once, because the server waits before it closes the connection.
	record("a long body", postRequest("/api/exclude", strings.Repeat("x", maxBodyBytes+1)))
	golden.Check(t, "answers.txt", out.String())
}
