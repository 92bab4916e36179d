package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// host is an entry of the list of endpoints, in discovery's form.
type host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int64   `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   int64   `json:"born_ms"`
}

// agent is the platform's agent: it takes notices, and serves the list of endpoints and its changes.
type agent struct {
	addr string
	e    *env

	mu      sync.Mutex
	seq     int64
	changes map[int64][]host // by version
	silent  bool             // discovery is down
	notices map[string][]string
}

func newAgent(e *env, first []host) *agent {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	e.must(err, "the agent")
	a := &agent{addr: l.Addr().String(), e: e, notices: map[string][]string{}, seq: 1, changes: map[int64][]host{1: first}}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v2/finals", a.finals)
	mux.HandleFunc("GET /registry/instances", a.list)
	go func() { _ = http.Serve(l, mux) }()
	return a
}

func (a *agent) finals(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for line := range bytes.Lines(raw) {
		var notice struct{ ID, State string }
		if json.Unmarshal(line, &notice) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		a.mu.Lock()
		a.notices[notice.ID] = append(a.notices[notice.ID], notice.State)
		a.mu.Unlock()
		a.e.log("agent: notice %s", strings.TrimSpace(string(line)))
	}
	w.WriteHeader(http.StatusNoContent)
}

// list answers a watch with what has changed since its version, and a request without a version with the whole list.
func (a *agent) list(w http.ResponseWriter, r *http.Request) {
	index, wait := int64(-1), 0
	_, _ = fmt.Sscan(r.URL.Query().Get("index"), &index)
	_, _ = fmt.Sscan(r.URL.Query().Get("wait"), &wait)
	for end := time.Now().Add(time.Duration(wait) * time.Millisecond); ; time.Sleep(5 * time.Millisecond) {
		a.mu.Lock()
		silent, seq := a.silent, a.seq
		hosts := a.since(index)
		a.mu.Unlock()
		select {
		case <-r.Context().Done():
			return
		default:
		}
		if silent || index == seq && time.Now().Before(end) {
			continue
		}
		_ = json.NewEncoder(w).Encode(map[string]any{"seq": seq, "whole": index < 0, "hosts": hosts})
		return
	}
}

// since returns the entries that have changed since a version; all that are there, with -1.
func (a *agent) since(index int64) []host {
	hosts, at := []host{}, map[string]int{}
	for seq := max(index, 0) + 1; seq <= a.seq; seq++ {
		for _, changed := range a.changes[seq] {
			if i, ok := at[changed.Host]; ok {
				hosts[i] = changed
				continue
			}
			at[changed.Host] = len(hosts)
			hosts = append(hosts, changed)
		}
	}
	if index >= 0 {
		return hosts
	}
	whole := []host{}
	for _, there := range hosts {
		if there.Health != "left" {
			whole = append(whole, there)
		}
	}
	return whole
}

// change tells a new version of the list.
func (a *agent) change(hosts ...host) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.seq++
	a.changes[a.seq] = hosts
}

func (a *agent) setSilent(silent bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.silent = silent
}
