package admin

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"brackendale/internal/eventlog"
)

// startServer starts a server, checks that it is not ready, and connects it to a core.
func startServer(t *testing.T, ready func() (bool, string), exclude func(context.Context, string, bool) error) string {
	t.Helper()
	server, err := Listen("127.0.0.1:0", func(w io.Writer) error {
		_, err := io.WriteString(w, "lb_in_progress 14\n")
		return err
	}, "text/plain")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	addr := server.Addr().String()
	if status, body := sendRequest(t, addr, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n"); status != 503 ||
		body != "starting\n" {
		t.Fatalf("before SetReady: %d %q", status, body)
	}
	server.SetReady(ready, exclude)
	server.SetEventLevel(func(_ context.Context, name string) error {
		_, err := eventlog.ParseLevel(name)
		return err
	})
	return addr
}

// sendRequest sends the bytes of a request on a new connection and returns the status and the body of the response.
func sendRequest(t *testing.T, addr, raw string) (int, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Fatalf("%.40q: %v", raw, err)
	}
	defer response.Body.Close()
	body, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(body)
}

func postRequest(path, body string) string {
	return "POST " + path + " HTTP/1.1\r\nHost: x\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
}

// Each request gets the HTTP status that fits it, and only requests for a listed endpoint change anything.
func TestRequests(t *testing.T) {
	notReady := errors.New("starting")
	var excluded []string
	addr := startServer(t,
		func() (bool, string) {
			if notReady != nil {
				return false, notReady.Error()
			}
			return true, ""
		},
		func(_ context.Context, target string, exclude bool) error {
			if target == "never" {
				return ErrUnknownEndpoint
			}
			excluded = append(excluded, target+map[bool]string{true: " out", false: " in"}[exclude])
			return nil
		})
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }
	for _, test := range []struct {
		raw      string
		status   int
		contains string
	}{
		{get("/api/ready"), 503, "starting"},
		{get("/api/telemetry"), 200, "lb_in_progress 14"},
		{get("/api/nothing"), 404, ""},
		{get("/api/exclude"), 405, ""},
		{postRequest("/api/ready", "x"), 405, ""},
		{postRequest("/api/exclude", `{"target":"s-1"}`), 200, "done"},
		{postRequest("/api/include", `{"target":"s-1","more":1}`), 200, "done"},
		{postRequest("/api/exclude", `{"target":"never"}`), 404, "ever listed"},
		{postRequest("/api/events", `{"target":"calls"}`), 200, "done"},
		{postRequest("/api/events", `{"target":"loud"}`), 400, "none of off, record, calls"},
		{get("/api/events"), 405, ""},
		{postRequest("/api/exclude", `{"target":7}`), 400, "JSON"},
		{postRequest("/api/exclude", `target=s-1`), 400, "JSON"},
		{postRequest("/api/exclude", ``), 400, "JSON"},
		{postRequest("/api/exclude", `{}`), 400, "target"},
		{postRequest("/api/exclude", `{"target":"`+strings.Repeat("x", 300)+`"}`), 400, "target"},
		{postRequest("/api/exclude", `{"target":"`+strings.Repeat("x", maxBodyBytes)+`"}`), 413, "long"},
		{"nonsense\r\n\r\n", 400, ""},
	} {
		if status, body := sendRequest(t, addr, test.raw); status != test.status || !strings.Contains(body, test.contains) {
			t.Errorf("%.60q: %d %q, want %d %q", test.raw, status, body, test.status, test.contains)
		}
	}
	if got := strings.Join(excluded, ", "); got != "s-1 out, s-1 in" {
		t.Errorf("changes: %s", got)
	}
	if notReady = nil; true {
		if status, _ := sendRequest(t, addr, get("/api/ready")); status != 200 {
			t.Errorf("ready: %d", status)
		}
	}
}

// Connections without a complete request are bounded, and do not keep a complete request from being served.
func TestIncompleteRequestsAreEvicted(t *testing.T) {
	addr := startServer(t, func() (bool, string) { return true, "" }, nil)
	var incomplete []net.Conn
	for range 3 * maxPendingConns {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if _, err := io.WriteString(c, "GET /api/re"); err != nil {
			t.Fatal(err)
		}
		incomplete = append(incomplete, c)
	}
	if status, _ := sendRequest(t, addr, "GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n"); status != 200 {
		t.Fatalf("with incomplete requests open: %d", status)
	}
	for i, c := range incomplete[:2*maxPendingConns+1] { // so many are evicted, the oldest first
		if _, err := c.Read(make([]byte, 1)); err == nil {
			t.Fatalf("connection %d got a response", i)
		}
	}
}
