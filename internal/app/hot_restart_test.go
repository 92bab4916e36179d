package app

import (
	"bufio"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/hotrestart"
	"brackendale/internal/journal"
	"brackendale/internal/testing/standin"
	"brackendale/sender"

	"golang.org/x/sys/unix"
)

// Three hot restarts under load: every charge has exactly one final outcome, at most two requests per restart are
// interrupted by a disconnection, an excluded endpoint stays excluded, and each predecessor exits gracefully.
func TestHotRestartUnderLoad(t *testing.T) {
	env := newTestEnv(t)
	proc := env.startProcess()
	env.waitReady(proc)
	stopClients := env.startClients(6)
	for i := range 3 {
		time.Sleep(100 * time.Millisecond)
		if i == 1 {
			if status, text := proc.callControl("POST", "/api/exclude", `{"target":"e1"}`); status != 200 {
				t.Fatal(status, text)
			}
		}
		newProc := env.startProcess()
		env.waitReady(newProc)
		if status, _ := proc.callControl("GET", "/api/ready", ""); status == 200 {
			t.Fatal("both processes report that they are ready")
		}
		_ = proc.Process.Signal(syscall.SIGTERM)
		env.waitExit(proc)
		proc = newProc
		if i == 1 {
			if _, text := proc.callControl("GET", "/api/telemetry", ""); !strings.Contains(text, "lb_skipped_endpoints 1\n") {
				t.Fatalf("the endpoint excluded before the hot restart is not excluded after it:\n%s", text)
			}
			if status, text := proc.callControl("POST", "/api/include", `{"target":"e1"}`); status != 200 {
				t.Fatal(status, text)
			}
		}
	}
	time.Sleep(100 * time.Millisecond)
	stopClients()
	env.waitSettled()
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.interrupted > 6 {
		t.Errorf("%d requests were interrupted by a disconnection", env.interrupted)
	}
	for id, finalAnswer := range env.finalAnswers {
		if finalAnswer == "failed" {
			t.Errorf("%s failed, though its partner replies to all calls", id)
		}
	}
}

// A predecessor must exit after a hot restart even if the program that started it has set the shared listening socket
// to blocking mode, as os/exec does with a file from net.TCPListener.File.
func TestHotRestartWithBlockingSocket(t *testing.T) {
	env := newTestEnv(t)
	proc := env.startProcess()
	env.waitReady(proc)
	if err := unix.SetNonblock(int(env.listenerFile.Fd()), false); err != nil {
		t.Fatal(err)
	}
	conn, err := net.Dial("tcp", env.clientAddr) // the accept after this connection blocks
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(standin.Long))
	if _, err := io.WriteString(conn, "*1\r\n$4\r\nPING\r\n"); err != nil {
		t.Fatal(err)
	}
	if line, err := bufio.NewReader(conn).ReadString('\n'); line != "+PONG\r\n" {
		t.Fatal(line, err)
	}
	newProc := env.startProcess()
	env.waitReady(newProc)
	_ = proc.Process.Signal(syscall.SIGTERM)
	env.waitExit(proc)
}

// Clients in the middle of a command, more than half of the connection limit in number, must not be disconnected when
// a successor connects.
func TestHelloDisconnectsNoClient(t *testing.T) {
	env := newTestEnv(t)
	proc := env.startProcess()
	env.waitReady(proc)
	var conns []net.Conn
	for range 200 {
		conn, err := net.Dial("tcp", env.clientAddr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		if _, err := io.WriteString(conn, "*1\r\n$4\r\nPI"); err != nil {
			t.Fatal(err)
		}
		conns = append(conns, conn)
	}
	link := env.simulateSuccessor("hello", "<welcome")
	defer link.close()
	time.Sleep(time.Second) // the table has applied its limits by then: with the fault, it had closed 37 connections
	for i, conn := range conns {
		_ = conn.SetDeadline(time.Now().Add(standin.Long))
		_, _ = io.WriteString(conn, "NG\r\n")
		if line, err := bufio.NewReader(conn).ReadString('\n'); line != "+PONG\r\n" {
			t.Fatalf("client %d of %d: reply %q, %v", i, len(conns), line, err)
		}
	}
}

// simulateSuccessor runs a part of the successor's side of the protocol in the test. steps has the kinds of message to
// send and, with the prefix "<", to receive.
func (env *testEnv) simulateSuccessor(steps ...string) *restartLink {
	env.t.Helper()
	path, release, err := restartSocketPath(env.stateDir())
	if err != nil {
		env.t.Fatal(err)
	}
	defer release()
	conn, err := net.Dial("unix", path)
	if err != nil {
		env.t.Fatal(err)
	}
	link := newRestartLink(conn)
	version := hotrestart.Version
	for _, step := range steps {
		if kind, ok := strings.CutPrefix(step, "<"); ok {
			if got, err := link.receive(standin.Long); err != nil || string(got.Kind) != kind {
				env.t.Fatalf("received %q %q, %v, not %s", got.Kind, got.Reason, err, kind)
			}
			continue
		}
		link.send(hotrestart.Message{Kind: hotrestart.Kind(step), Version: version})
	}
	return link
}

// A successor exits or hangs at any step before it is ready: the predecessor continues to serve, directly or after a
// restart from the journal.
func TestSuccessorFailure(t *testing.T) {
	for _, steps := range [][]string{
		{},
		{"hello"},
		{"hello", "<welcome", "taken"},
		{"hello", "<welcome", "prepared"},
		{"hello", "<welcome", "prepared", "<state", "nonsense"},
		{"hello", "<welcome", "prepared", "<state", "taken", "<yours"},
	} {
		for _, hangs := range []bool{false, true} {
			if last := len(steps) - 1; hangs && (last < 0 || steps[last] == "<yours") {
				continue // without a step it cannot hang; once it has the journal, only a disconnection shows its failure
			}
			t.Run(fmt.Sprint(steps, hangs), func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				proc := env.startProcess()
				env.waitReady(proc)
				stopClients := env.startClients(4)
				time.Sleep(50 * time.Millisecond)
				link := env.simulateSuccessor(steps...)
				if !hangs {
					link.close()
				}
				env.waitReady(proc)
				time.Sleep(50 * time.Millisecond)
				stopClients()
				env.waitSettled()
				if link.close(); !hangs { // the next process can take over
					newProc := env.startProcess()
					env.waitReady(newProc)
					env.waitExit(proc)
				}
			})
		}
	}
}

// A predecessor exits at any step, or refuses: the successor starts from the journal once it is unlocked.
func TestPredecessorFailure(t *testing.T) {
	for _, steps := range [][]string{
		{},
		{"<hello"},
		{"<hello", "refused"},
		{"<hello", "welcome"},
		{"<hello", "welcome", "<prepared"},
		{"<hello", "welcome", "<prepared", "state"},
	} {
		t.Run(fmt.Sprint(steps), func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			predecessorJournal, err := journal.Open(env.stateDir(), 3<<20)
			if err != nil {
				t.Fatal(err)
			}
			predecessorJournal.Accept(&journal.Entry{
				ID: "held", Class: "charge", Front: "platform", Destination: 7,
				Deadline: clock.Steady().Add(time.Minute),
			})
			predecessorJournal.Accept(&journal.Entry{
				ID: "out", Class: "charge", Front: "platform", Destination: 7,
				Deadline: clock.Steady().Add(time.Minute),
			})
			predecessorJournal.StartAttempt("out", "", clock.Steady())
			if err := predecessorJournal.Flush(); err != nil {
				t.Fatal(err)
			}
			path, release, err := restartSocketPath(env.stateDir())
			if err != nil {
				t.Fatal(err)
			}
			defer release()
			listener, err := net.Listen("unix", path)
			if err != nil {
				t.Fatal(err)
			}
			proc := env.startProcess()
			conn, err := listener.Accept()
			if err != nil {
				t.Fatal(err)
			}
			link := newRestartLink(conn)
			for _, step := range steps {
				if kind, ok := strings.CutPrefix(step, "<"); ok {
					if got, err := link.receive(standin.Long); err != nil || string(got.Kind) != kind {
						t.Fatal(got.Kind, err)
					}
					continue
				}
				msg := hotrestart.Message{Kind: hotrestart.Kind(step), Version: hotrestart.Version}
				if step == "state" {
					msg.State = &hotrestart.State{Core: sender.Checkpoint{}} // without a valid state format
				}
				link.send(msg)
			}
			if _, text := proc.callControl("GET", "/api/ready", ""); strings.HasPrefix(text, "ready") {
				t.Fatal("the process is ready without the journal")
			}
			for !link.flushed() {
				time.Sleep(time.Millisecond)
			}
			link.close()
			_ = listener.Close()
			_ = predecessorJournal.Close()
			env.waitReady(proc)
			env.mu.Lock()
			env.accepted["held"], env.accepted["out"] = true, true
			env.mu.Unlock()
			env.waitSettled()
			if env.applied["out"] != 0 || env.finalAnswers["out"] != "failed" || env.applied["held"] != 1 {
				t.Errorf("applied %v, final answers %v", env.applied, env.finalAnswers)
			}
		})
	}
}

// A third process that is started while two are running is refused with a reason.
func TestThirdProcessIsRefused(t *testing.T) {
	env := newTestEnv(t)
	proc := env.startProcess()
	env.waitReady(proc)
	link := env.simulateSuccessor("hello", "<welcome")
	defer link.close()
	thirdProc := env.startProcess()
	select {
	case err := <-thirdProc.exited:
		if err == nil || !strings.Contains(thirdProc.stderr.String(), "another upgrade is under way") {
			t.Fatal(err, thirdProc.stderr)
		}
	case <-time.After(standin.Long):
		t.Fatal("the third process does not exit")
	}
	env.waitReady(proc)
}

// Either side is killed at a random time during a hot restart: each accepted message has one final outcome, and none
// is applied twice. BRACKENDALE_KILLS=100 makes many more kills than a regular test run needs.
func TestKillDuringHotRestart(t *testing.T) {
	kills, err := strconv.Atoi(os.Getenv("BRACKENDALE_KILLS"))
	if err != nil {
		kills = 6
	}
	rng := rand.New(rand.NewSource(1))
	env := newTestEnv(t)
	proc := env.startProcess()
	env.waitReady(proc)
	stopClients := env.startClients(4)
	for range kills {
		newProc := env.startProcess()
		time.Sleep(time.Duration(rng.Intn(80)) * time.Millisecond)
		killed, remaining := proc, newProc
		if rng.Intn(2) == 0 {
			killed, remaining = newProc, proc
		}
		_ = killed.Process.Kill()
		<-killed.exited
		select {
		case <-remaining.exited: // it had handed over, or lost its predecessor: the platform starts it again
			remaining = env.startProcess()
		case <-time.After(20 * time.Millisecond):
		}
		env.waitReady(remaining)
		proc = remaining
	}
	stopClients()
	env.waitSettled()
	t.Logf("%d kills, %d charges accepted, %d requests interrupted by a disconnection", kills,
		len(env.accepted), env.interrupted)
}

// A successor takes over while an attempt of the predecessor waits for its connection, since the partner accepts no
// connection until then. Each charge must be applied once, whichever process sends it.
func TestHotRestartWhileConnecting(t *testing.T) {
	env := newTestEnv(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	rawListener, err := listener.(*net.TCPListener).SyscallConn()
	if err == nil {
		err = rawListener.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), 0) }) // a backlog for one connection
	}
	if err != nil {
		t.Fatal(err)
	}
	first, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	env.partnerDial = listener.Addr().String()
	proc := env.startProcess()
	env.waitReady(proc)
	env.submitAccepted("charge", 3, "c=charge,t=x,d=15000,dest=7")
	// By then its connection attempt is in progress, which cannot be observed from outside.
	time.Sleep(100 * time.Millisecond)
	newProc := env.startProcess()
	env.waitReady(newProc)
	_ = first.Close()
	partner := &http.Server{Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		env.mu.Lock()
		env.applied[r.Header.Get("Req-Id")]++
		env.mu.Unlock()
	})}
	go func() { _ = partner.Serve(listener) }()
	defer partner.Close()
	env.waitExit(proc)
	env.waitSettled()
	env.mu.Lock()
	defer env.mu.Unlock()
	for i := range 3 {
		if id := fmt.Sprint("charge-", i); env.applied[id] != 1 {
			t.Errorf("%s was applied %d times and has the final answer %q", id, env.applied[id], env.finalAnswers[id])
		}
	}
}
