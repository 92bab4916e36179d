package app

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/failpoint"
	"brackendale/internal/statefs"
	"brackendale/internal/testing/faults"
	"brackendale/internal/testing/standin"

	"github.com/rabbitmq/amqp091-go"
)

const consoleApplianceConfig = `upgrade = true
[limits]
memory_mb = 64
sockets = 384
[resp]
listen = %q
finals = %q
[amqp]
listen = %q
heartbeat_s = 0
[console]
socket = %q
[sender]
slots = 8
hold = 500
[[class]]
name = "charge"
effect = "once"
aim_ms = 2000
deadline_ms = 20000
worth = 1
[[route]]
name = "e1"
dest = 7
proto = "http"
dial = %q
`

// consoleEnv is a testEnv whose senders are appliances that open their listening sockets themselves: for RESP2 and AMQP
// clients and for the console.
type consoleEnv struct {
	*testEnv
	amqpAddr string
	console  string // path of the console's socket
}

func newConsoleEnv(t *testing.T) *consoleEnv {
	t.Helper()
	env := &consoleEnv{testEnv: newTestEnv(t)}
	env.ownSockets = true
	env.clientAddr, env.amqpAddr = freeAddr(t), freeAddr(t)
	env.console = filepath.Join(env.stateDir(), "console.sock")
	env.writeConsoleConfig()
	return env
}

func (env *consoleEnv) writeConsoleConfig() {
	env.t.Helper()
	env.writeConfig(env.clientAddr, env.amqpAddr, env.console)
}

func (env *consoleEnv) writeConfig(clientAddr, amqpAddr, console string) {
	env.t.Helper()
	text := fmt.Sprintf(consoleApplianceConfig, clientAddr, env.agentAddr, amqpAddr, console, env.partnerAddr)
	if err := os.WriteFile(env.configFile(), []byte(text), 0o600); err != nil {
		env.t.Fatal(err)
	}
}

// checkConsole fails the test if the console does not show the state of a sender.
func (env *consoleEnv) checkConsole() {
	env.t.Helper()
	var screen bytes.Buffer
	var err error
	for deadline := time.Now().Add(standin.Long); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		screen.Reset()
		if err = do(env.console, "state", &screen); err == nil && strings.Contains(screen.String(), "e1") {
			return
		}
	}
	env.t.Errorf("the console does not show the state: %v\n%s", err, &screen)
}

// openConnections opens a connection of each protocol, on which requests are sent until check is called.
func (env *consoleEnv) openConnections() *openClients {
	env.t.Helper()
	clients := &openClients{stop: make(chan bool), served: map[string]int{}}
	respConn, err := net.Dial("tcp", env.clientAddr)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = respConn.Close() })
	reader := bufio.NewReader(respConn)
	clients.repeatRequest(env.t, "resp", func() error { return pingOnce(respConn, reader, standin.Long) })
	amqpConn, err := amqp091.Dial("amqp://guest:guest@" + env.amqpAddr + "/")
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { _ = amqpConn.Close() })
	closed := amqpConn.NotifyClose(make(chan *amqp091.Error, 1))
	clients.repeatRequest(env.t, "amqp", func() error { return amqpRoundTrip(amqpConn, closed) })
	return clients
}

// checkUndisturbed lets a start fail beside a running process with open clients, new ones, a call in flight and
// messages that wait. None of them may notice it, and the next hot restart must succeed.
func (env *consoleEnv) checkUndisturbed(proc *process, failStart func()) {
	env.t.Helper()
	env.mu.Lock()
	env.callDuration = time.Second
	env.mu.Unlock()
	env.submitAccepted("out", 4, "c=charge,t=x,d=20000,dest=7")
	clients := env.openConnections()
	stopConnecting := env.startConnecting(2)
	failStart()
	env.submitAccepted("later", 4, "c=charge,t=x,d=20000,dest=7")
	env.checkConsole()
	if requests, errs := stopConnecting(); len(errs) > 0 || requests == 0 {
		env.t.Errorf("%d new connections, lost: %v", requests, errs)
	}
	for protocol, count := range clients.count() {
		if count == 0 {
			env.t.Errorf("%s: no request was served", protocol)
		}
	}
	clients.check(env.t)
	select {
	case err := <-proc.exited:
		env.t.Fatalf("the running process has exited: %v\n%s", err, proc.stderr)
	default:
	}
	next := env.startProcess()
	env.waitReady(next)
	env.waitExit(proc)
	env.waitSettled()
	env.checkConsole()
	env.mu.Lock()
	defer env.mu.Unlock()
	for id := range env.accepted {
		if env.applied[id] != 1 {
			env.t.Errorf("%s was applied %d times and has the final answer %q", id, env.applied[id], env.finalAnswers[id])
		}
	}
}

// count returns the number of requests that were served so far, by protocol.
func (clients *openClients) count() map[string]int {
	clients.mu.Lock()
	defer clients.mu.Unlock()
	counts := map[string]int{}
	for protocol, count := range clients.served {
		counts[protocol] = count
	}
	return counts
}

// waitFailed waits until a process exits with an error whose text has the reason.
func (env *consoleEnv) waitFailed(proc *process, reason string) {
	env.t.Helper()
	select {
	case err := <-proc.exited:
		if err == nil || !strings.Contains(proc.stderr.String(), reason) {
			env.t.Errorf("the process exited with %v, not for %q:\n%s", err, reason, proc.stderr)
		}
	case <-time.After(standin.Long):
		env.t.Errorf("the process does not exit\n%s", proc.stderr)
	}
}

// Hot restarts of an appliance with a console: each new process has the console, new clients are not refused, and a
// graceful shutdown removes the console's socket. The failure: the old process kept its console, which ended both.
func TestHotRestartOfAnApplianceWithConsole(t *testing.T) {
	env := newConsoleEnv(t)
	proc := env.startProcess()
	env.waitReady(proc)
	stopClients := env.startClients(4)
	stopConnecting := env.startConnecting(4)
	for range 3 {
		env.checkConsole()
		next := env.startProcess()
		env.waitReady(next)
		env.waitExit(proc)
		proc = next
	}
	env.checkConsole()
	stopClients()
	if requests, errs := stopConnecting(); len(errs) > 0 || requests == 0 {
		t.Errorf("%d new connections, lost: %v", requests, errs)
	}
	env.waitSettled()
	_ = proc.Process.Signal(syscall.SIGTERM)
	env.waitExit(proc)
	if _, err := os.Lstat(env.console); !os.IsNotExist(err) {
		t.Errorf("the console's socket is still there after a graceful shutdown: %v", err)
	}
}

// A new process is killed in its start, once it has the journal. The failure: the old process had left already, or
// ended when it started from the journal, and took its clients and calls with it.
func TestSuccessorKilledInItsStart(t *testing.T) {
	for _, point := range []failpoint.Point{failpoint.JournalOpened, failpoint.SocketInherited} {
		t.Run(string(point), func(t *testing.T) {
			t.Parallel()
			env := newConsoleEnv(t)
			proc := env.startProcess()
			env.waitReady(proc)
			env.checkUndisturbed(proc, func() {
				env.extraEnv = []string{killEnv + "=1 " + string(point)}
				killed := env.startProcess()
				env.extraEnv = nil
				env.waitFailed(killed, "")
			})
		})
	}
}

// A new process cannot open one of its sockets: another program has the address, or the path of the console is taken.
// The failure: it tried after it had the journal, for 20 s, and the old process had left by then.
func TestSuccessorThatCannotListen(t *testing.T) {
	for name, change := range map[string]func(env *consoleEnv, taken string){
		"resp": func(env *consoleEnv, taken string) { env.writeConfig(taken, env.amqpAddr, env.console) },
		"amqp": func(env *consoleEnv, taken string) { env.writeConfig(env.clientAddr, taken, env.console) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkSocketTaken(t, takenAddr(t, "tcp", "127.0.0.1:0"), change)
		})
	}
	t.Run("console", func(t *testing.T) {
		t.Parallel()
		checkSocketTaken(t, takenAddr(t, "unix", filepath.Join(t.TempDir(), "other.sock")),
			func(env *consoleEnv, taken string) { env.writeConfig(env.clientAddr, env.amqpAddr, taken) })
	})
}

// checkSocketTaken starts a new process whose configuration names a socket that is taken, beside a running process. The
// new one must exit with an error that names the socket.
func checkSocketTaken(t *testing.T, taken string, change func(env *consoleEnv, taken string)) {
	t.Helper()
	env := newConsoleEnv(t)
	proc := env.startProcess()
	env.waitReady(proc)
	env.checkUndisturbed(proc, func() {
		change(env, taken)
		env.waitFailed(env.startProcess(), taken)
		env.writeConsoleConfig()
	})
}

// takenAddr listens at an address and returns it.
func takenAddr(t *testing.T, network, addr string) string {
	t.Helper()
	listener, err := net.Listen(network, addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	return listener.Addr().String()
}

// The new process cannot open the journal once it has been released to it. The failure: the old process ended all that
// it had in hand, and started from the journal.
func TestSuccessorThatCannotOpenTheJournal(t *testing.T) {
	for _, failure := range []faults.Folder{
		{Call: statefs.CallOpen, Name: "spool", Errno: syscall.EACCES, First: 1, Count: 1 << 20},
		{Call: statefs.CallOpen, Name: "spool", Errno: syscall.EIO, First: 1, Count: 1},
		{Call: statefs.CallRead, Name: "spool", Errno: syscall.EMFILE, First: 1, Count: 1},
	} {
		t.Run(fmt.Sprint(failure.Call, " ", failure.Errno.Error()), func(t *testing.T) {
			t.Parallel()
			env := newConsoleEnv(t)
			proc := env.startProcess()
			env.waitReady(proc)
			transient := failure.Errno != syscall.EACCES
			if transient { // the same process tries again and takes over
				env.submitAccepted("before", 2, "c=charge,t=x,d=20000,dest=7")
				clients := env.openConnections()
				next := env.startWith(faults.Faults{Folder: []faults.Folder{failure}})
				env.waitReady(next)
				env.waitExit(proc)
				clients.check(t)
				env.waitSettled()
				env.checkConsole()
				if !strings.Contains(proc.stderr.String(), "this process continues to serve") {
					t.Errorf("the first attempt did not fail:\n%s", proc.stderr)
				}
				return
			}
			env.checkUndisturbed(proc, func() {
				env.waitFailed(env.startWith(faults.Faults{Folder: []faults.Folder{failure}}), "spool")
			})
		})
	}
}
