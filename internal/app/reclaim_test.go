package app

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/failpoint"
	"brackendale/internal/net/reactor"
	"brackendale/internal/testing/faults"
	"brackendale/internal/testing/standin"
)

// reclaimEnv is a consoleEnv in which a process has to reclaim the journal from a successor.
type reclaimEnv struct {
	*consoleEnv
	proc *process // reclaims the journal
}

// killSuccessor lets a successor with a configuration file of its own take over and kills it once it serves, with calls
// in flight and messages waiting. It returns once the first process serves again.
func (env *reclaimEnv) killSuccessor() {
	env.t.Helper()
	env.mu.Lock()
	env.callDuration = 100 * time.Millisecond
	env.mu.Unlock()
	env.submitAccepted("before", 20, "c=charge,t=x,d=20000,dest=7")
	successorFile := filepath.Join(env.dir, "successor.toml")
	text, err := os.ReadFile(filepath.Join(env.dir, "first.toml"))
	if err != nil {
		env.t.Fatal(err)
	}
	if err := os.WriteFile(successorFile, text, 0o600); err != nil {
		env.t.Fatal(err)
	}
	env.extraEnv = []string{
		"BRACKENDALE_TEST_SERVE=" + successorFile, killEnv + "=1 " + string(failpoint.ServingConfirmed),
	}
	killed := env.startProcess()
	env.extraEnv = nil
	<-killed.exited
	if text := killed.stderr.String(); text != "" && !strings.Contains(text, "taken over") {
		env.t.Fatalf("the successor did not take over:\n%s", text)
	}
	env.waitReady(env.proc)
}

// startReclaiming starts the process whose successor is killed later, with injected faults.
func startReclaiming(t *testing.T, injected faults.Faults) *reclaimEnv {
	t.Helper()
	env := &reclaimEnv{consoleEnv: newConsoleEnv(t)}
	text, err := os.ReadFile(env.configFile())
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(filepath.Join(env.dir, "first.toml"), text, 0o600); err != nil {
		t.Fatal(err)
	}
	env.proc = env.startWith(injected)
	env.waitReady(env.proc)
	return env
}

// checkServes checks that the process that reclaimed the journal serves clients and the console, finishes what was
// accepted before, and can be replaced.
func (env *reclaimEnv) checkServes() {
	env.t.Helper()
	env.submitAccepted("after", 4, "c=charge,t=x,d=20000,dest=7")
	env.checkConsole()
	env.waitSettled()
	if log := env.proc.stderr.String(); !strings.Contains(log, "restarts from the journal") {
		env.t.Errorf("the process did not reclaim the journal:\n%s", log)
	}
}

// A process that reclaims the journal continues with the configuration that was in effect, reloaded routes included.
// The failure: it read the file again, which was meant for its successor and had a key that it did not know, and ended.
func TestReclaimUsesTheConfigurationInEffect(t *testing.T) {
	t.Parallel()
	env := startReclaiming(t, faults.Faults{})
	text, err := os.ReadFile(env.configFile())
	if err != nil {
		t.Fatal(err)
	}
	reloaded := string(text) + "[[route]]\nname = \"e2\"\ndest = 8\nproto = \"http\"\ndial = \"" + env.partnerAddr + "\"\n"
	if err := os.WriteFile(env.configFile(), []byte(reloaded), 0o600); err != nil {
		t.Fatal(err)
	}
	_ = env.proc.Process.Signal(syscall.SIGHUP)
	env.submitWhenRouted("reloaded")
	if err := os.WriteFile(env.configFile(), []byte("a key of a later release = 1\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	env.killSuccessor()
	env.checkServes()
	env.submitWhenRouted("reclaimed")
	env.waitSettled()
}

// submitWhenRouted submits a message to destination 8 until it is accepted.
func (env *reclaimEnv) submitWhenRouted(id string) {
	env.t.Helper()
	reply := ""
	for deadline := time.Now().Add(standin.Long); reply != "+OK"; time.Sleep(10 * time.Millisecond) {
		if reply = env.submit(id, "c=charge,t=x,d=20000,dest=8"); time.Now().After(deadline) {
			env.t.Fatalf("%s: %q", id, reply)
		}
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	env.accepted[id] = true
}

// A process that reclaims the journal serves although the path of its console has become a file. The failure: it ended.
func TestReclaimWithoutConsole(t *testing.T) {
	t.Parallel()
	env := startReclaiming(t, faults.Faults{})
	if err := os.Remove(env.console); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(env.console, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	env.killSuccessor()
	env.submitAccepted("after", 4, "c=charge,t=x,d=20000,dest=7")
	env.waitSettled()
	if log := env.proc.stderr.String(); !strings.Contains(log, "the sender serves without it") {
		t.Errorf("the console's failure is not logged:\n%s", log)
	}
}

// A process that reclaims the journal opens its sockets again although some calls fail at first.
func TestReclaimWithFailingSockets(t *testing.T) {
	t.Parallel()
	const socketsOfTheStart = 2
	env := startReclaiming(t, faults.Faults{Sockets: []faults.Socket{
		{Call: reactor.CallListen, Errno: syscall.EMFILE, First: socketsOfTheStart + 1, Count: 5},
	}})
	env.killSuccessor()
	env.checkServes()
	if log := env.proc.stderr.String(); !strings.Contains(log, "delayed by a transient error") {
		t.Errorf("no call failed when the process reclaimed the journal:\n%s", log)
	}
}
