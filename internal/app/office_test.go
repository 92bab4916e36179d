package app

import (
	"bufio"
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/testing/faults"
	"brackendale/internal/testing/fleet"
	"brackendale/internal/testing/standin"

	"golang.org/x/sys/unix"
)

// office is a deployment: one partner, an agent (registry and final answers), clients, and senders in processes of
// their own.
type office struct {
	t       *testing.T
	dir     string
	ln      *net.TCPListener
	file    *os.File
	clients string

	mu      sync.Mutex
	applied map[string]int
	finals  map[string]string
	taken   map[string]bool
	crossed int // requests that met the end of a connection
	slow    time.Duration
	kind    string                                       // of the partner; with "k" three messages go in a call
	refused int                                          // requests
	dial    string                                       // where the partner is listed; empty: where it is
	env     []string                                     // of the next process, beside the usual
	answer  func(w http.ResponseWriter, r *http.Request) // of the partner, in place of its own; set before the first call
}

func newOffice(t *testing.T) *office {
	o := &office{
		t: t, dir: t.TempDir(), applied: map[string]int{}, finals: map[string]string{}, taken: map[string]bool{},
		slow: 5 * time.Millisecond,
	}
	partner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if o.answer != nil {
			o.mu.Lock()
			o.applied[r.Header.Get("Req-Id")] = 0
			o.mu.Unlock()
			o.answer(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		o.mu.Lock()
		o.applied[r.Header.Get("Req-Id")]++
		slow := o.slow
		o.mu.Unlock()
		time.Sleep(slow)
	}))
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v2/finals" {
			var f struct{ ID, State string }
			for d := json.NewDecoder(r.Body); d.Decode(&f) == nil; {
				o.mu.Lock()
				o.finals[f.ID] = f.State
				o.mu.Unlock()
			}
			w.WriteHeader(http.StatusNoContent)
			return
		}
		if r.URL.Query().Get("index") != "" {
			<-r.Context().Done()
			return
		}
		_ = json.NewEncoder(w).Encode(config.EndpointList{Seq: 1, Whole: true, Hosts: []config.Host{{
			Host: "e1", Block: 7, Class: o.kind, Health: "active",
			Dial: cmp.Or(o.dial, partner.Listener.Addr().String()),
		}}})
	}))
	t.Cleanup(func() { agent.CloseClientConnections(); partner.CloseClientConnections() })
	ln, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	o.ln, o.clients = ln, ln.Addr().String()
	o.file = inheritable(t, ln)
	t.Cleanup(func() { _ = o.file.Close(); _ = ln.Close() })
	text := fmt.Sprintf(`listen = %q
discovery = %q
[limits]
memory_mb = 64
sockets = 384
[sender]
slots = 8
hold = 500
[[kind]]
name = "k"
bundle = 3
[[class]]
name = "charge"
effect = "once"
aim_ms = 2000
deadline_ms = 20000
worth = 1
`, o.clients, agent.Listener.Addr().String())
	if err := os.WriteFile(o.site(), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return o
}

// inheritable duplicates a listener's descriptor for child processes. It is in blocking mode until the first child
// takes it up. All processes share the socket's mode: a file from ln.File would return the socket to blocking mode at
// each start (os.File.Fd), while another process accepts on it.
func inheritable(t *testing.T, ln *net.TCPListener) *os.File {
	t.Helper()
	raw, err := ln.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	duplicate := -1
	var failed error
	err = raw.Control(func(fd uintptr) {
		duplicate, failed = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 3)
	})
	if err := errors.Join(err, failed); err != nil {
		t.Fatal(err)
	}
	if err := unix.SetNonblock(duplicate, false); err != nil {
		t.Fatal(err)
	}
	return os.NewFile(uintptr(duplicate), "clients")
}

func (o *office) site() string { return filepath.Join(o.dir, "site.toml") }

func (o *office) state() string {
	dir := filepath.Join(o.dir, "state")
	_ = os.MkdirAll(dir, 0o700)
	return dir
}

// process is a sender in a process of its own.
type process struct {
	*exec.Cmd
	control string
	said    *bytes.Buffer
	ended   chan error
}

// start starts a process beside those that run.
func (o *office) start() *process {
	o.t.Helper()
	control, err := fleet.FreePort()
	if err != nil {
		o.t.Fatal(err)
	}
	p := &process{Cmd: exec.Command(os.Args[0]), control: control, said: &bytes.Buffer{}, ended: make(chan error, 1)}
	p.Env = append(os.Environ(), "BRACKENDALE_TEST_SERVE="+o.site(), "LB_STATE="+o.state(), "LB_ACCEPT_FD=3",
		"LB_CONTROL="+p.control)
	p.Env = append(p.Env, o.env...)
	p.ExtraFiles = []*os.File{o.file}
	p.Stderr = p.said
	if err := p.Start(); err != nil {
		o.t.Fatal(err)
	}
	go func() { p.ended <- p.Wait() }()
	o.t.Cleanup(func() { _ = p.Process.Kill() })
	return p
}

// ask makes one call to the second address.
func (p *process) ask(method, path, body string) (int, string) {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+p.control+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer a.Body.Close()
	text, _ := io.ReadAll(a.Body)
	return a.StatusCode, string(text)
}

// ready waits until a sender is ready.
func (o *office) ready(p *process) {
	o.t.Helper()
	for until := time.Now().Add(standin.Long); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if status, _ := p.ask("GET", "/api/ready", ""); status == 200 {
			return
		}
		select {
		case err := <-p.ended:
			o.t.Fatalf("it ended: %v\n%s", err, p.said)
		default:
		}
	}
	o.t.Fatalf("never ready\n%s", p.said)
}

func (o *office) end(p *process) {
	o.t.Helper()
	select {
	case err := <-p.ended:
		if err != nil {
			o.t.Fatalf("%v\n%s", err, p.said)
		}
	case <-time.After(standin.Long):
		o.t.Fatalf("it does not end\n%s", p.said)
	}
}

// send submits charges on one connection after another, as a client that keeps its connection does, until stop.
func (o *office) send(name string, stop chan bool, gap time.Duration) {
	var c net.Conn
	var in *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-stop:
			if c != nil {
				_ = c.Close()
			}
			return
		case <-time.After(gap):
		}
		id := name + "-" + strconv.Itoa(i)
		for try := 0; ; try++ {
			select {
			case <-stop:
				return
			default:
			}
			if c != nil { // a client that keeps its connection hears of its end while it waits
				_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
				if _, err := in.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
					_ = c.Close()
					c = nil
				}
			}
			if c == nil {
				d, err := net.Dial("tcp", o.clients)
				if err != nil {
					continue
				}
				c, in = d, bufio.NewReader(d)
			}
			_ = c.SetDeadline(time.Now().Add(standin.Long))
			words := []string{"SUBMIT", "0", id, "c=charge,t=x,d=15000,dest=7", "body " + id}
			var text strings.Builder
			fmt.Fprintf(&text, "*%d\r\n", len(words))
			for _, w := range words {
				fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(w), w)
			}
			_, err := io.WriteString(c, text.String())
			line := ""
			if err == nil {
				line, err = in.ReadString('\n')
			}
			if err != nil { // the connection has ended: once more, on a new one
				_ = c.Close()
				c = nil
				o.mu.Lock()
				o.crossed++
				o.mu.Unlock()
				continue
			}
			o.mu.Lock()
			if line == "+OK\r\n" {
				o.taken[id] = true
			} else {
				o.refused++
			}
			o.mu.Unlock()
			break
		}
	}
}

// settled waits until each accepted charge is delivered or has its final answer, and checks that none was applied
// twice.
func (o *office) settled() {
	o.t.Helper()
	until := time.Now().Add(2 * standin.Long)
	for {
		open := ""
		o.mu.Lock()
		for id := range o.taken {
			if o.applied[id] == 0 && o.finals[id] == "" {
				open = id
			}
		}
		for id, n := range o.applied {
			if n > 1 {
				o.t.Errorf("%s was charged %d times", id, n)
			}
		}
		n := len(o.taken)
		o.mu.Unlock()
		if n == 0 {
			o.t.Fatal("nothing was taken on")
		}
		if open == "" || o.t.Failed() {
			return
		}
		if time.Now().After(until) {
			o.t.Fatalf("%s, of %d, has no end", open, n)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// crowd sends charges on n connections until the returned function is called.
func (o *office) crowd(n int) (end func()) {
	stop, all := make(chan bool), sync.WaitGroup{}
	for i := range n {
		all.Add(1)
		go func() { defer all.Done(); o.send(fmt.Sprint("c", i), stop, 10*time.Millisecond) }()
	}
	var once sync.Once
	end = func() { once.Do(func() { close(stop); all.Wait() }) }
	o.t.Cleanup(end)
	return end
}

// startWith starts a process with injected faults.
func (o *office) startWith(f faults.Faults) *process {
	o.env = []string{f.Env()}
	defer func() { o.env = nil }()
	return o.start()
}

// submit sends one message on a connection of its own and returns the reply.
func (o *office) submit(id, params string) string {
	for until := time.Now().Add(standin.Long); time.Now().Before(until); time.Sleep(2 * time.Millisecond) {
		c, err := net.Dial("tcp", o.clients)
		if err != nil {
			continue
		}
		_ = c.SetDeadline(time.Now().Add(standin.Long))
		words := []string{"SUBMIT", "0", id, params, "body " + id}
		var text strings.Builder
		fmt.Fprintf(&text, "*%d\r\n", len(words))
		for _, w := range words {
			fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(w), w)
		}
		_, _ = io.WriteString(c, text.String())
		line, _ := bufio.NewReader(c).ReadString('\n')
		_ = c.Close()
		if line != "" {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// submitAccepted submits messages and fails the test where one is not accepted.
func (o *office) submitAccepted(name string, n int, params string) {
	o.t.Helper()
	for i := range n {
		id := fmt.Sprint(name, "-", i)
		if line := o.submit(id, params); line != "+OK" {
			o.t.Fatalf("%s: %q", id, line)
		}
		o.mu.Lock()
		o.taken[id] = true
		o.mu.Unlock()
	}
}

// refuseCalls lets the partner refuse all calls until accept is called; applied counts what it takes after that.
func (o *office) refuseCalls() (accept func()) {
	var isOpen atomic.Bool
	o.answer = func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if !isOpen.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		o.mu.Lock()
		o.applied[r.Header.Get("Req-Id")]++
		o.mu.Unlock()
	}
	var once sync.Once
	return func() { once.Do(func() { isOpen.Store(true) }) }
}
