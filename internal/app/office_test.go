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

// testEnv is a test deployment with senders in their own processes. It has one stand-in partner (the endpoint that
// messages are delivered to), a stand-in agent (the registry and the receiver of final answers), and clients.
type testEnv struct {
	t            *testing.T
	dir          string
	listener     *net.TCPListener // for clients; all processes inherit it
	listenerFile *os.File         // duplicate of the listener's descriptor
	clientAddr   string           // address of the listener
	partnerAddr  string           // address of the partner
	agentAddr    string           // address of the agent
	ownSockets   bool             // the processes do not inherit the listener

	mu           sync.Mutex
	applied      map[string]int    // how often the partner applied a message, by its ID
	finalAnswers map[string]string // received by the agent, by the ID of the message
	accepted     map[string]bool   // IDs of the messages that a sender accepted
	interrupted  int               // requests whose connection was closed before the reply
	callDuration time.Duration     // of a call of the partner
	partnerKind  string            // machine type of the partner; with "k" a call carries up to three messages
	rejected     int               // requests that a sender did not accept
	partnerDial  string            // address of the partner in the registry; empty for its own address
	extraEnv     []string          // additional environment of the next process
	// partnerHandler replaces the handler of the partner. It is set before the first call.
	partnerHandler func(w http.ResponseWriter, r *http.Request)
}

func newTestEnv(t *testing.T) *testEnv {
	env := &testEnv{
		t: t, dir: t.TempDir(), applied: map[string]int{}, finalAnswers: map[string]string{}, accepted: map[string]bool{},
		callDuration: 5 * time.Millisecond,
	}
	partner := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if env.partnerHandler != nil {
			env.mu.Lock()
			env.applied[r.Header.Get("Req-Id")] = 0
			env.mu.Unlock()
			env.partnerHandler(w, r)
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		env.mu.Lock()
		env.applied[r.Header.Get("Req-Id")]++
		callDuration := env.callDuration
		env.mu.Unlock()
		time.Sleep(callDuration)
	}))
	agent := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v2/finals" {
			var f struct{ ID, State string }
			for d := json.NewDecoder(r.Body); d.Decode(&f) == nil; {
				env.mu.Lock()
				env.finalAnswers[f.ID] = f.State
				env.mu.Unlock()
			}
			w.WriteHeader(http.StatusNoContent)
			return
		}
		if r.URL.Query().Get("index") != "" {
			<-r.Context().Done()
			return
		}
		_ = json.NewEncoder(w).Encode(config.EndpointList{Seq: 1, Whole: true, Hosts: []config.Host{{
			Host: "e1", Block: 7, Class: env.partnerKind, Health: "active",
			Dial: cmp.Or(env.partnerDial, partner.Listener.Addr().String()),
		}}})
	}))
	env.partnerAddr, env.agentAddr = partner.Listener.Addr().String(), agent.Listener.Addr().String()
	t.Cleanup(func() { agent.CloseClientConnections(); partner.CloseClientConnections() })
	listener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	env.listener, env.clientAddr = listener, listener.Addr().String()
	env.listenerFile = inheritable(t, listener)
	t.Cleanup(func() { _ = env.listenerFile.Close(); _ = listener.Close() })
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
`, env.clientAddr, agent.Listener.Addr().String())
	if err := os.WriteFile(env.configFile(), []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return env
}

// inheritable duplicates a listener's descriptor for child processes. It is in blocking mode until the first child
// uses it. All processes share the mode of the socket: a file from listener.File would set the socket to blocking mode
// again at each start (os.File.Fd), while another process accepts on it.
func inheritable(t *testing.T, listener *net.TCPListener) *os.File {
	t.Helper()
	raw, err := listener.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	duplicate := -1
	var controlErr error
	err = raw.Control(func(fd uintptr) {
		duplicate, controlErr = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 3)
	})
	if err := errors.Join(err, controlErr); err != nil {
		t.Fatal(err)
	}
	if err := unix.SetNonblock(duplicate, false); err != nil {
		t.Fatal(err)
	}
	return os.NewFile(uintptr(duplicate), "clients")
}

func (env *testEnv) configFile() string { return filepath.Join(env.dir, "site.toml") }

func (env *testEnv) stateDir() string {
	dir := filepath.Join(env.dir, "state")
	_ = os.MkdirAll(dir, 0o700)
	return dir
}

// process is a sender in its own process.
type process struct {
	*exec.Cmd
	controlAddr string
	stderr      *bytes.Buffer
	exited      chan error // receives the result of Wait
}

// startProcess starts a further process.
func (env *testEnv) startProcess() *process {
	env.t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "BRACKENDALE_TEST_SERVE="+env.configFile())
	return env.launch(cmd)
}

// launch starts a command that runs a sender.
func (env *testEnv) launch(cmd *exec.Cmd) *process {
	env.t.Helper()
	proc := &process{Cmd: cmd, controlAddr: freeAddr(env.t), stderr: &bytes.Buffer{}, exited: make(chan error, 1)}
	proc.Env = append(cmd.Environ(), "LB_STATE="+env.stateDir(), "LB_CONTROL="+proc.controlAddr)
	proc.Env = append(proc.Env, env.extraEnv...)
	if !env.ownSockets {
		proc.Env = append(proc.Env, "LB_ACCEPT_FD=3")
		proc.ExtraFiles = []*os.File{env.listenerFile}
	}
	proc.Stderr = proc.stderr
	if err := proc.Start(); err != nil {
		env.t.Fatal(err)
	}
	go func() { proc.exited <- proc.Wait() }()
	env.t.Cleanup(func() { _ = proc.Process.Kill() })
	return proc
}

// freeAddr returns an address at which nothing listens.
func freeAddr(t *testing.T) string {
	t.Helper()
	addr, err := fleet.FreePort()
	if err != nil {
		t.Fatal(err)
	}
	return addr
}

// callControl makes an HTTP call to the control address.
func (proc *process) callControl(method, path, body string) (int, string) {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+proc.controlAddr+path,
		strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return response.StatusCode, string(text)
}

// waitReady waits until a process is ready.
func (env *testEnv) waitReady(proc *process) {
	env.t.Helper()
	for deadline := time.Now().Add(standin.Long); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if status, _ := proc.callControl("GET", "/api/ready", ""); status == 200 {
			return
		}
		select {
		case err := <-proc.exited:
			env.t.Fatalf("the process exited: %v\n%s", err, proc.stderr)
		default:
		}
	}
	env.t.Fatalf("the process does not become ready\n%s", proc.stderr)
}

// waitExit waits until a process exits, and fails the test if its exit status is not 0.
func (env *testEnv) waitExit(proc *process) {
	env.t.Helper()
	select {
	case err := <-proc.exited:
		if err != nil {
			env.t.Fatalf("%v\n%s", err, proc.stderr)
		}
	case <-time.After(standin.Long):
		env.t.Fatalf("the process does not exit\n%s", proc.stderr)
	}
}

// sendUntil submits charges until stop is closed. It keeps its connection and opens a new one after each
// disconnection, as a client does.
func (env *testEnv) sendUntil(name string, stop chan bool, interval time.Duration) {
	var conn net.Conn
	var reader *bufio.Reader
	for i := 0; ; i++ {
		select {
		case <-stop:
			if conn != nil {
				_ = conn.Close()
			}
			return
		case <-time.After(interval):
		}
		id := name + "-" + strconv.Itoa(i)
		for attempt := 0; ; attempt++ {
			select {
			case <-stop:
				return
			default:
			}
			if conn != nil { // a client detects a disconnection while the connection is idle
				_ = conn.SetReadDeadline(time.Now().Add(time.Millisecond))
				if _, err := reader.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
					_ = conn.Close()
					conn = nil
				}
			}
			if conn == nil {
				dialed, err := net.Dial("tcp", env.clientAddr)
				if err != nil {
					continue
				}
				conn, reader = dialed, bufio.NewReader(dialed)
			}
			_ = conn.SetDeadline(time.Now().Add(standin.Long))
			args := []string{"SUBMIT", "0", id, "c=charge,t=x,d=15000,dest=7", "body " + id}
			var text strings.Builder
			fmt.Fprintf(&text, "*%d\r\n", len(args))
			for _, arg := range args {
				fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(arg), arg)
			}
			_, err := io.WriteString(conn, text.String())
			line := ""
			if err == nil {
				line, err = reader.ReadString('\n')
			}
			if err != nil { // disconnected: submit again on a new connection
				_ = conn.Close()
				conn = nil
				env.mu.Lock()
				env.interrupted++
				env.mu.Unlock()
				continue
			}
			env.mu.Lock()
			if line == "+OK\r\n" {
				env.accepted[id] = true
			} else {
				env.rejected++
			}
			env.mu.Unlock()
			break
		}
	}
}

// waitSettled waits until each accepted charge is delivered or has its final answer, and checks that none was applied
// more than once.
func (env *testEnv) waitSettled() {
	env.t.Helper()
	deadline := time.Now().Add(2 * standin.Long)
	for {
		open := ""
		env.mu.Lock()
		for id := range env.accepted {
			if env.applied[id] == 0 && env.finalAnswers[id] == "" {
				open = id
			}
		}
		for id, n := range env.applied {
			if n > 1 {
				env.t.Errorf("%s was applied %d times", id, n)
			}
		}
		n := len(env.accepted)
		env.mu.Unlock()
		if n == 0 {
			env.t.Fatal("no charge was accepted")
		}
		if open == "" || env.t.Failed() {
			return
		}
		if time.Now().After(deadline) {
			env.t.Fatalf("%s, one of %d accepted charges, is neither delivered nor has a final answer", open, n)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// startClients starts n clients that submit charges until the returned function is called.
func (env *testEnv) startClients(n int) (end func()) {
	stop, clients := make(chan bool), sync.WaitGroup{}
	for i := range n {
		clients.Add(1)
		go func() { defer clients.Done(); env.sendUntil(fmt.Sprint("c", i), stop, 10*time.Millisecond) }()
	}
	var once sync.Once
	end = func() { once.Do(func() { close(stop); clients.Wait() }) }
	env.t.Cleanup(end)
	return end
}

// startWith starts a process with injected faults.
func (env *testEnv) startWith(injected faults.Faults) *process {
	env.extraEnv = []string{injected.Env()}
	defer func() { env.extraEnv = nil }()
	return env.startProcess()
}

// submit sends one message on a connection of its own and returns the reply.
func (env *testEnv) submit(id, params string) string {
	for deadline := time.Now().Add(standin.Long); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		conn, err := net.Dial("tcp", env.clientAddr)
		if err != nil {
			continue
		}
		_ = conn.SetDeadline(time.Now().Add(standin.Long))
		args := []string{"SUBMIT", "0", id, params, "body " + id}
		var text strings.Builder
		fmt.Fprintf(&text, "*%d\r\n", len(args))
		for _, arg := range args {
			fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(arg), arg)
		}
		_, _ = io.WriteString(conn, text.String())
		line, _ := bufio.NewReader(conn).ReadString('\n')
		_ = conn.Close()
		if line != "" {
			return strings.TrimSpace(line)
		}
	}
	return ""
}

// submitAccepted submits n messages and fails the test if one is not accepted.
func (env *testEnv) submitAccepted(name string, n int, params string) {
	env.t.Helper()
	for i := range n {
		id := fmt.Sprint(name, "-", i)
		if line := env.submit(id, params); line != "+OK" {
			env.t.Fatalf("%s: %q", id, line)
		}
		env.mu.Lock()
		env.accepted[id] = true
		env.mu.Unlock()
	}
}

// rejectCalls makes the partner reject all calls until accept is called; env.applied counts the messages of later
// calls.
func (env *testEnv) rejectCalls() (accept func()) {
	var accepting atomic.Bool
	env.partnerHandler = func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if !accepting.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		env.mu.Lock()
		env.applied[r.Header.Get("Req-Id")]++
		env.mu.Unlock()
	}
	var once sync.Once
	return func() { once.Do(func() { accepting.Store(true) }) }
}
