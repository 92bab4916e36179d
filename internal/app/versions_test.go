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
	"math/rand"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/hotrestart"
	"brackendale/internal/testing/fleet"
	"brackendale/internal/testing/standin"
)

// otherProgramEnv is the environment variable with the path of a built program of another version. The version tests
// run this tree's program against it; without the variable both sides are this tree's program. The path has to be
// absolute. A manual run:
//
//	BRACKENDALE_OTHER=/path/to/brackendale go test ./internal/app -run TestVersions -count=1 -v
const otherProgramEnv = "BRACKENDALE_OTHER"

// buildCurrent builds this tree's program.
func buildCurrent(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "brackendale")
	build := exec.Command("go", "build", "-o", program, "./cmd/brackendale")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		t.Fatalf("%v\n%s", err, out)
	}
	return program
}

// versionOrder has the two programs of a run of a scenario: the one that it starts with, and the one that replaces it.
type versionOrder struct{ name, first, second string }

// TestVersions runs each scenario with this tree's program and the other one, in both orders.
func TestVersions(t *testing.T) {
	current := buildCurrent(t)
	other, err := filepath.Abs(cmp.Or(os.Getenv(otherProgramEnv), current))
	if err != nil {
		t.Fatal(err)
	}
	for _, scenario := range []struct {
		name string
		run  func(*testing.T, versionOrder)
	}{
		{"upgrade", runUpgrade},
		{"kill", runKill},
		{"kill during upgrade", runKillDuringUpgrade},
		{"roll", runRollingUpgrade},
		{"appliance", runApplianceUpgrade},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			for _, programs := range []versionOrder{{"other to current", other, current}, {"current to other", current, other}} {
				t.Run(programs.name, func(t *testing.T) {
					t.Parallel()
					scenario.run(t, programs)
				})
			}
		})
	}
}

// versionEnv is a testEnv whose processes run built programs. Its partner can be paused, and can reply to single
// charges with an error, so that there are both deliveries and final notices to count.
type versionEnv struct {
	*testEnv
	partnerGate  sync.RWMutex    // while it is locked, the partner does not reply
	atPartner    map[string]bool // charges that the partner has received and not replied to
	errorReplies map[string]bool // charges to which the partner replies with an error
	calls        map[string]int
	finalNotices map[string][]string // all final notices that the agent received, by the ID of the charge
}

func newVersionEnv(t *testing.T) *versionEnv {
	env := &versionEnv{
		testEnv: newTestEnv(t), atPartner: map[string]bool{}, errorReplies: map[string]bool{},
		calls: map[string]int{}, finalNotices: map[string][]string{},
	}
	env.partnerHandler = env.serveCall
	env.recordFinals()
	return env
}

// serveCall is the handler of the partner. A charge is applied once the gate is unlocked, unless the partner replies
// with an error.
func (env *versionEnv) serveCall(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Req-Id")
	env.mu.Lock()
	env.calls[id]++
	env.atPartner[id] = true
	env.mu.Unlock()
	env.partnerGate.RLock()
	defer env.partnerGate.RUnlock()
	env.mu.Lock()
	defer env.mu.Unlock()
	delete(env.atPartner, id)
	if env.errorReplies[id] {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	env.applied[id] = env.calls[id]
}

// failOneCharge waits until the partner, which is paused, has received a charge, and makes it reply with an error.
func (env *versionEnv) failOneCharge() error {
	for deadline := time.Now().Add(standin.Long); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		env.mu.Lock()
		for id := range env.atPartner {
			env.errorReplies[id] = true
			env.mu.Unlock()
			return nil
		}
		env.mu.Unlock()
	}
	return errors.New("the partner received no call")
}

// recordFinals inserts a proxy between the senders and the agent, which records all final notices.
func (env *versionEnv) recordFinals() {
	config, err := os.ReadFile(env.configFile())
	if err != nil {
		env.t.Fatal(err)
	}
	_, after, _ := strings.Cut(string(config), "discovery = \"")
	agent, _, found := strings.Cut(after, "\"")
	if !found {
		env.t.Fatalf("no registry in %s", config)
	}
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: agent})
	proxy.ErrorHandler = func(w http.ResponseWriter, _ *http.Request, _ error) { w.WriteHeader(http.StatusBadGateway) }
	recorder := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/v2/finals" {
			body, _ := io.ReadAll(r.Body)
			env.record(body)
			r.Body = io.NopCloser(bytes.NewReader(body))
		}
		proxy.ServeHTTP(w, r)
	}))
	env.t.Cleanup(recorder.CloseClientConnections)
	config = bytes.Replace(config, []byte(agent), []byte(recorder.Listener.Addr().String()), 1)
	if err := os.WriteFile(env.configFile(), config, 0o600); err != nil {
		env.t.Fatal(err)
	}
}

func (env *versionEnv) record(body []byte) {
	env.mu.Lock()
	defer env.mu.Unlock()
	var final struct{ ID, State string }
	for decoder := json.NewDecoder(bytes.NewReader(body)); decoder.Decode(&final) == nil; {
		env.finalNotices[final.ID] = append(env.finalNotices[final.ID], final.State)
	}
}

// startProgram starts a further process, which runs a built program.
func (env *testEnv) startProgram(program string) *process {
	env.t.Helper()
	return env.launch(exec.Command(program, "serve", "--config", env.configFile()))
}

// kill kills a process and waits until it has exited.
func (proc *process) kill() {
	_ = proc.Process.Kill()
	<-proc.exited
}

// waitReadyOrRestart waits until a process is ready, and returns it. If the process exits instead, since it had handed
// over or lost its predecessor, it starts the program again, as the platform does, and returns the new process.
func (env *versionEnv) waitReadyOrRestart(proc *process, program string) *process {
	env.t.Helper()
	for deadline := time.Now().Add(standin.Long); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if status, _ := proc.callControl("GET", "/api/ready", ""); status == 200 {
			return proc
		}
		select {
		case <-proc.exited:
			newProc := env.startProgram(program)
			env.waitReady(newProc)
			return newProc
		default:
		}
	}
	env.t.Fatalf("the process does not become ready\n%s", proc.stderr)
	return nil
}

// checkFinalAnswers waits until each accepted charge has its final outcome and checks that it has exactly one: a
// delivery, or one kind of final notice. If no process was killed, a charge may fail only if the partner replied with
// an error.
func (env *versionEnv) checkFinalAnswers(killed bool) {
	env.t.Helper()
	env.waitSettled()
	env.mu.Lock()
	defer env.mu.Unlock()
	for id, count := range env.calls {
		if count > 1 {
			env.t.Errorf("%s reached the partner %d times", id, count)
		}
	}
	for id := range env.accepted {
		finalNotices := slices.Compact(slices.Sorted(slices.Values(env.finalNotices[id])))
		switch {
		case len(finalNotices) > 1:
			env.t.Errorf("%s has several final answers: %v", id, env.finalNotices[id])
		case killed:
		case env.errorReplies[id] && !slices.Equal(finalNotices, []string{"failed"}):
			env.t.Errorf("the partner replied to %s with an error, and its final answers are %v", id, finalNotices)
		case !env.errorReplies[id] && (env.calls[id] != 1 || len(finalNotices) > 0):
			env.t.Errorf("%s: %d calls, and its final answers are %v", id, env.calls[id], finalNotices)
		}
	}
	env.t.Logf("%d charges accepted, %d rejected, %d with a final notice, %d requests interrupted by a disconnection",
		len(env.accepted), env.rejected, len(env.finalNotices), env.interrupted)
}

// messageRecorder relays the messages of the hot restart between predecessor and successor, and records them.
type messageRecorder struct {
	listener        *net.UnixListener
	predecessorPath string // path of the socket at which the predecessor listens
	done            sync.WaitGroup

	mu         sync.Mutex
	kinds      []string // kinds of the messages on the last connection
	messages   []string // the first bytes of all messages
	mismatches []string // messages that this tree's program would write differently
}

// logMessages logs the messages if the test has failed.
func (recorder *messageRecorder) logMessages(t *testing.T) {
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	if t.Failed() {
		t.Logf("messages:\n%s", strings.Join(recorder.messages, ""))
	}
}

// recordMessages replaces the restart socket of the predecessor and relays all connections to it. The successor
// replaces the socket in turn once it has taken over.
func (env *versionEnv) recordMessages() *messageRecorder {
	env.t.Helper()
	path := filepath.Join(env.stateDir(), "upgrade.sock")
	recorder := &messageRecorder{predecessorPath: filepath.Join(env.stateDir(), "elder.sock")}
	if err := os.Rename(path, recorder.predecessorPath); err != nil {
		env.t.Fatal(err)
	}
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		env.t.Fatal(err)
	}
	listener.SetUnlinkOnClose(false)
	recorder.listener = listener
	recorder.done.Go(recorder.accept)
	env.t.Cleanup(func() { _ = listener.Close() })
	return recorder
}

// accept relays one connection after another: a successor whose first attempt timed out connects again.
func (recorder *messageRecorder) accept() {
	for {
		successorConn, err := recorder.listener.Accept()
		if err != nil {
			return
		}
		predecessorConn, err := net.Dial("unix", recorder.predecessorPath)
		if err != nil {
			_ = successorConn.Close()
			continue
		}
		recorder.mu.Lock()
		recorder.kinds = nil
		recorder.mu.Unlock()
		recorder.done.Go(func() { recorder.relay(successorConn, predecessorConn) })
		recorder.done.Go(func() { recorder.relay(predecessorConn, successorConn) })
	}
}

// relay copies messages with their descriptors from one side to the other until the connection is closed.
func (recorder *messageRecorder) relay(source, target net.Conn) {
	defer target.Close()
	descriptors := &descriptorReader{conn: source}
	reader := bufio.NewReader(descriptors)
	for {
		line, err := reader.ReadBytes('\n')
		if err != nil {
			return
		}
		recorder.record(line)
		received := descriptors.take()
		err = writeWithDescriptors(target, line, received)
		closeDescriptors(received)
		if err != nil {
			return
		}
	}
}

// record records the kind of a message and checks that this tree's program knows all of its fields and writes it again
// byte for byte.
func (recorder *messageRecorder) record(line []byte) {
	var msg hotrestart.Message
	decoder := json.NewDecoder(bytes.NewReader(line))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&msg)
	again, _ := json.Marshal(msg)
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	recorder.kinds = append(recorder.kinds, string(msg.Kind))
	recorder.messages = append(recorder.messages, string(line[:min(len(line), 100)]))
	if err != nil || !bytes.Equal(append(again, '\n'), line) {
		recorder.mismatches = append(recorder.mismatches, fmt.Sprintf("%v\n read %swrote %s", err, line, again))
	}
}

// check waits until all connections are closed and checks that the messages are those of a complete hot restart.
func (recorder *messageRecorder) check(t *testing.T) {
	t.Helper()
	_ = recorder.listener.Close()
	recorder.done.Wait()
	recorder.mu.Lock()
	defer recorder.mu.Unlock()
	want := []string{"hello", "welcome", "prepared", "state", "taken", "yours"}
	if len(recorder.kinds) < len(want) || !slices.Equal(recorder.kinds[:len(want)], want) {
		t.Fatalf("messages %v, want them to begin with %v", recorder.kinds, want)
	}
	if !slices.Contains(recorder.kinds, "report") {
		t.Errorf("calls were in flight, and no result was reported: %v", recorder.kinds)
	}
	for _, mismatch := range recorder.mismatches {
		t.Errorf("this program writes the message differently: %s", mismatch)
	}
	count := map[string]int{}
	for _, kind := range recorder.kinds {
		count[kind]++
	}
	t.Log(count)
}

// upgrade starts a program that takes over from a process while calls are in flight, and returns the new process.
func (env *versionEnv) upgrade(proc *process, program string) *process {
	env.t.Helper()
	recorder := env.recordMessages()
	env.partnerGate.Lock()
	var successorProc *process
	func() {
		defer env.partnerGate.Unlock()
		if err := env.failOneCharge(); err != nil {
			env.t.Fatal(err)
		}
		successorProc = env.startProgram(program)
		env.waitReady(successorProc)
	}()
	if status, _ := proc.callControl("GET", "/api/ready", ""); status == 200 {
		env.t.Error("both processes report that they are ready")
	}
	_ = proc.Process.Signal(syscall.SIGTERM)
	defer recorder.logMessages(env.t)
	env.waitExit(proc)
	recorder.check(env.t)
	return successorProc
}

// runApplianceUpgrade upgrades an appliance, whose processes open their own sockets, from one version to the other
// under load. The console is there at the end: a predecessor of an earlier release keeps its own until it exits.
func runApplianceUpgrade(t *testing.T, programs versionOrder) {
	env := newConsoleEnv(t)
	proc := env.startProgram(programs.first)
	env.waitReady(proc)
	stopClients := env.startClients(4)
	time.Sleep(50 * time.Millisecond)
	successorProc := env.startProgram(programs.second)
	env.waitReady(successorProc)
	env.waitExit(proc)
	time.Sleep(50 * time.Millisecond)
	stopClients()
	env.waitSettled()
	env.checkConsole()
}

// runUpgrade upgrades from one version to the other and back under load, by hot restarts: each hot restart is
// complete, every charge has one final outcome, and none is applied twice.
func runUpgrade(t *testing.T, programs versionOrder) {
	env := newVersionEnv(t)
	proc := env.startProgram(programs.first)
	env.waitReady(proc)
	stopClients := env.startClients(6)
	proc = env.upgrade(proc, programs.second)
	env.upgrade(proc, programs.first)
	stopClients()
	env.checkFinalAnswers(false)
}

// runKill kills a process under load and starts the other version with the same state folder, several times: each
// accepted charge has one final outcome, and none is applied twice.
func runKill(t *testing.T, programs versionOrder) {
	rng := rand.New(rand.NewSource(1))
	env := newVersionEnv(t)
	proc := env.startProgram(programs.first)
	env.waitReady(proc)
	stopClients := env.startClients(6)
	for _, program := range []string{programs.second, programs.first, programs.second} {
		time.Sleep(time.Duration(50+rng.Intn(100)) * time.Millisecond)
		proc.kill()
		proc = env.startProgram(program)
		env.waitReady(proc)
	}
	stopClients()
	env.checkFinalAnswers(true)
}

// runKillDuringUpgrade kills either side at a random time during an upgrade between versions. A program is started
// again if no process remains, as the platform does.
func runKillDuringUpgrade(t *testing.T, programs versionOrder) {
	rng := rand.New(rand.NewSource(1))
	env := newVersionEnv(t)
	proc := env.startProgram(programs.first)
	env.waitReady(proc)
	stopClients := env.startClients(4)
	for i := range 4 {
		program := []string{programs.second, programs.first}[i%2]
		newProc := env.startProgram(program)
		time.Sleep(time.Duration(rng.Intn(80)) * time.Millisecond)
		killed, remaining := proc, newProc
		if rng.Intn(2) == 0 {
			killed, remaining = newProc, proc
		}
		killed.kill()
		proc = env.waitReadyOrRestart(remaining, program)
	}
	stopClients()
	env.checkFinalAnswers(true)
}

// rollingUpgrade is a group of three senders whose members are upgraded one by one.
type rollingUpgrade struct {
	t           *testing.T
	cluster     *fleet.Cluster
	timeline    *fleet.Timeline
	program     string            // path of a symbolic link to the program that members run when they are started
	clientAddrs map[string]string // addresses for clients, by member

	mu           sync.Mutex
	applied      map[string]int
	finalAnswers map[string][]string
	accepted     map[string]bool
}

var memberNames = []string{"a", "b", "c"}

// memberConfig is the configuration of a member. Its parameters are the name of the member, its address for clients,
// the address for final notices, the address of the partner, the member's address in the group, the members, and the
// address to which the executions of the duty are sent.
const memberConfig = `name = %[1]q
[limits]
disk_mb = 16
[console]
socket = "b.sock"
[resp]
listen = %[2]q
finals = %[3]q
[[class]]
name = "charge"
effect = "once"
aim_ms = 2000
deadline_ms = 20000
worth = 1
[[route]]
name = "partner"
dest = 1
proto = "http"
dial = %[4]q
[group]
name = %[1]q
listen = %[5]q
lease_ms = 500
members = [%[6]s]
[[duty]]
name = "restarts"
kind = "roll"
[[duty]]
name = "acts"
kind = "call"
url = "http://%[7]s/act"
every_ms = 50
longest_ms = 200
`

func newRollingUpgrade(t *testing.T, program string) *rollingUpgrade {
	t.Helper()
	dir, err := fleet.TempDir()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	upgrade := &rollingUpgrade{
		t: t, timeline: fleet.NewTimeline(), program: filepath.Join(dir, "program"), clientAddrs: map[string]string{},
		applied: map[string]int{}, finalAnswers: map[string][]string{}, accepted: map[string]bool{},
	}
	receiver, err := fleet.NewReceiver(upgrade.timeline)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(receiver.Close)
	receiver.SetBehavior(5*time.Millisecond, 0, false)
	partner := httptest.NewServer(http.HandlerFunc(upgrade.serveCall))
	finalAnswers := httptest.NewServer(http.HandlerFunc(upgrade.serveFinals))
	t.Cleanup(func() { partner.CloseClientConnections(); finalAnswers.CloseClientConnections() })
	upgrade.setProgram(program)
	upgrade.cluster, err = fleet.NewCluster(upgrade.program, dir, memberNames, nil, 1, upgrade.timeline, func(
		member *fleet.Member,
	) string {
		clientAddr, err := fleet.FreePort()
		if err != nil {
			t.Error(err)
		}
		upgrade.clientAddrs[member.Name] = clientAddr
		var members []string
		for _, name := range memberNames {
			members = append(members, fmt.Sprintf("%q", name+"="+member.Addrs[name]))
		}
		return fmt.Sprintf(memberConfig, member.Name, clientAddr, finalAnswers.Listener.Addr(), partner.Listener.Addr(),
			member.Listen,
			strings.Join(members, ", "), receiver.Addr())
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(upgrade.cluster.Close)
	return upgrade
}

// setProgram sets the program that members run when they are started from now on.
func (upgrade *rollingUpgrade) setProgram(program string) {
	upgrade.t.Helper()
	_ = os.Remove(upgrade.program)
	if err := os.Symlink(program, upgrade.program); err != nil {
		upgrade.t.Fatal(err)
	}
}

// getsErrorReply reports whether the partner replies to a charge with an error: it does so for the sixth of each
// member.
func getsErrorReply(id string) bool { return strings.HasSuffix(id, "-5") }

// serveCall is the handler of the partner.
func (upgrade *rollingUpgrade) serveCall(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Req-Id")
	upgrade.mu.Lock()
	upgrade.applied[id]++
	upgrade.mu.Unlock()
	if getsErrorReply(id) {
		w.WriteHeader(http.StatusInternalServerError)
	}
}

func (upgrade *rollingUpgrade) serveFinals(w http.ResponseWriter, r *http.Request) {
	upgrade.mu.Lock()
	defer upgrade.mu.Unlock()
	var final struct{ ID, State string }
	for decoder := json.NewDecoder(r.Body); decoder.Decode(&final) == nil; {
		upgrade.finalAnswers[final.ID] = append(upgrade.finalAnswers[final.ID], final.State)
	}
	w.WriteHeader(http.StatusNoContent)
}

// submit submits one charge and reports whether it was accepted.
func submit(addr, id string) bool {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return false
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(standin.Long))
	args := []string{"SUBMIT", "0", id, "c=charge,t=x,d=15000,dest=1", "body"}
	var text strings.Builder
	fmt.Fprintf(&text, "*%d\r\n", len(args))
	for _, arg := range args {
		fmt.Fprintf(&text, "$%d\r\n%s\r\n", len(arg), arg)
	}
	_, _ = io.WriteString(conn, text.String())
	line, _ := bufio.NewReader(conn).ReadString('\n')
	return line == "+OK\r\n"
}

// startLoad submits charges to each member, each with a unique ID, until the returned function is called.
func (upgrade *rollingUpgrade) startLoad() (stopLoad func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	for name, addr := range upgrade.clientAddrs {
		clients.Add(1)
		go func() {
			defer clients.Done()
			for i := 0; ctx.Err() == nil; i++ {
				id := fmt.Sprint(name, "-", i)
				if submit(addr, id) {
					upgrade.mu.Lock()
					upgrade.accepted[id] = true
					upgrade.mu.Unlock()
				}
				time.Sleep(10 * time.Millisecond)
			}
		}()
	}
	stopLoad = sync.OnceFunc(func() { cancel(); clients.Wait() })
	upgrade.t.Cleanup(stopLoad)
	return stopLoad
}

// waitFor waits until a condition is met, and fails the test with the logs of the members if it is not met in time.
func (upgrade *rollingUpgrade) waitFor(condition string, isMet func() bool) {
	upgrade.t.Helper()
	for deadline := time.Now().Add(standin.Long); !isMet(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			for _, member := range upgrade.cluster.Members {
				log, _ := os.ReadFile(member.LogFile)
				upgrade.t.Logf("%s:\n%s", member.Name, log[max(0, len(log)-4000):])
			}
			upgrade.t.Fatalf("condition not met in time: %s", condition)
		}
	}
}

// waitExecution waits for an execution of the group's duty that starts from now on.
func (upgrade *rollingUpgrade) waitExecution() {
	upgrade.t.Helper()
	start := upgrade.timeline.Now()
	upgrade.waitFor("an act of the duty", func() bool {
		return slices.ContainsFunc(upgrade.timeline.Events(),
			func(event fleet.Event) bool { return event.Kind == "act" && event.At > start })
	})
}

// waitAccepting waits until a member accepts a charge.
func (upgrade *rollingUpgrade) waitAccepting(name string) {
	upgrade.t.Helper()
	attempts := 0
	upgrade.waitFor(name+" takes charges on", func() bool {
		attempts++
		return submit(upgrade.clientAddrs[name], fmt.Sprintf("%s-start%d.", name, attempts))
	})
}

// restart drains a member with the permission of the group and starts it again with the current program.
func (upgrade *rollingUpgrade) restart(name string) {
	upgrade.t.Helper()
	upgrade.waitFor("the group lets "+name+" go", func() bool {
		var reply struct{ Error string }
		return fleet.AskSocket(upgrade.cluster.Member(name).Socket(), "drain", &reply) == nil && reply.Error == ""
	})
	proc := upgrade.cluster.Proc(name)
	select {
	case <-proc.Done():
	case <-time.After(standin.Long):
		upgrade.t.Fatal(name, "does not exit")
	}
	if _, err := proc.Ended(); err != nil {
		upgrade.t.Fatal(name, err)
	}
	if err := upgrade.cluster.StartMembers(name); err != nil {
		upgrade.t.Fatal(err)
	}
	upgrade.waitAccepting(name)
	upgrade.waitExecution()
}

// checkFinalAnswers waits until each accepted charge has its final outcome, and checks that it is the right one and
// the only one.
func (upgrade *rollingUpgrade) checkFinalAnswers() {
	upgrade.t.Helper()
	upgrade.waitFor("all charges end", func() bool {
		upgrade.mu.Lock()
		defer upgrade.mu.Unlock()
		for id := range upgrade.accepted {
			if delivered := upgrade.applied[id] > 0 && !getsErrorReply(id); !delivered &&
				len(upgrade.finalAnswers[id]) == 0 {
				return false
			}
		}
		return true
	})
	upgrade.mu.Lock()
	defer upgrade.mu.Unlock()
	for id, count := range upgrade.applied {
		if count > 1 {
			upgrade.t.Errorf("%s was applied %d times", id, count)
		}
	}
	for id := range upgrade.accepted {
		answers := slices.Compact(slices.Sorted(slices.Values(upgrade.finalAnswers[id])))
		delivered := upgrade.applied[id] == 1 && !getsErrorReply(id)
		neverRan := slices.Contains(answers, "returned") // the final answer "returned" means that it never ran
		if delivered && len(answers) > 0 || !delivered && len(answers) != 1 || upgrade.applied[id] > 0 && neverRan {
			upgrade.t.Errorf("%s reached the partner %d times, and its final answers are %v", id, upgrade.applied[id],
				upgrade.finalAnswers[id])
		}
	}
	if len(upgrade.accepted) == 0 {
		upgrade.t.Error("no charge was accepted")
	}
	upgrade.t.Logf("%d charges accepted", len(upgrade.accepted))
}

// runRollingUpgrade upgrades a group of three senders from one version to the other, one by one and under load: the
// group permits each restart, its duty is executed without overlaps after each step, and every charge has one final
// outcome.
func runRollingUpgrade(t *testing.T, programs versionOrder) {
	upgrade := newRollingUpgrade(t, programs.first)
	if err := upgrade.cluster.StartMembers(); err != nil {
		t.Fatal(err)
	}
	for _, name := range memberNames {
		upgrade.waitAccepting(name)
	}
	upgrade.waitExecution()
	stopLoad := upgrade.startLoad()
	upgrade.setProgram(programs.second)
	for _, name := range memberNames {
		upgrade.restart(name)
	}
	stopLoad()
	upgrade.checkFinalAnswers()
	if verdict := fleet.Check(upgrade.timeline.Events()); !verdict.Passed() {
		t.Errorf("%+v", verdict)
	}
}
