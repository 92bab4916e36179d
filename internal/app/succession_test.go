package app

import (
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/journal"
)

// holdCalls makes the partner hold all calls until the returned function is called.
func (env *testEnv) holdCalls() (release func()) {
	released := make(chan bool)
	env.partnerHandler = func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		<-released
		env.mu.Lock()
		env.applied[r.Header.Get("Req-Id")]++
		env.mu.Unlock()
	}
	var once sync.Once
	release = func() { once.Do(func() { close(released) }) }
	env.t.Cleanup(release)
	return release
}

// startDraining starts a process with a call in flight and a successor that has taken over from it.
func (env *testEnv) startDraining() (first, second *process) {
	env.t.Helper()
	first = env.startProcess()
	env.waitReady(first)
	env.submitAccepted("out", 1, "c=charge,t=x,d=15000,dest=7")
	env.waitCalled("out-0")
	second = env.startProcess()
	env.waitReady(second)
	return first, second
}

// reclaimed reports whether a process that has exited had reclaimed the journal.
func (proc *process) reclaimed() bool {
	return strings.Contains(proc.stderr.String(), "restarts from the journal")
}

// A third process takes over only once the first one has drained. The failure: the second handed over and left, the
// first took that for a crash, and took the service back from the third.
func TestThirdProcessWhileTheFirstDrains(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	release := env.holdCalls()
	first, second := env.startDraining()
	third := env.startProcess()
	time.Sleep(300 * time.Millisecond) // it tries to take over some times
	if status, text := third.callControl("GET", "/api/ready", ""); status == http.StatusOK {
		t.Error("the third process is ready while the first one drains:", text)
	}
	env.waitReady(second)
	release()
	env.waitExit(first)
	env.waitReady(third)
	env.waitExit(second)
	env.submitAccepted("after", 3, "c=charge,t=x,d=15000,dest=7")
	env.waitSettled()
	if first.reclaimed() || second.reclaimed() {
		t.Error("a process took the service back")
	}
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.applied["out-0"] != 1 || env.finalAnswers["out-0"] != "" {
		t.Errorf("the call of the first process: applied %d times, final answer %q", env.applied["out-0"],
			env.finalAnswers["out-0"])
	}
}

// A process that has been told to end does not reclaim the journal when its successor dies. The failure: it served
// again with its signal used up, until it was killed.
func TestStoppingProcessDoesNotReclaim(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	release := env.holdCalls()
	first, second := env.startDraining()
	_ = first.Process.Signal(syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond) // the signal has arrived
	second.kill()
	env.waitExit(first)
	if first.reclaimed() {
		t.Error("the process took the service back")
	}
	release()
	env.waitReady(env.startProcess())
	env.submitAccepted("after", 3, "c=charge,t=x,d=15000,dest=7")
	env.waitSettled()
}

// A process does not reclaim the journal from a successor that has lost the connection and still holds the journal. The
// failure: it cut its own calls, waited for the journal in vain, and ended with an error.
func TestNoReclaimWhileAnotherProcessHoldsTheJournal(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	release := env.holdCalls()
	proc := env.startProcess()
	env.waitReady(proc)
	env.submitAccepted("out", 1, "c=charge,t=x,d=15000,dest=7")
	link := env.simulateSuccessor("hello", "<welcome", "prepared", "<state", "taken", "<yours")
	held, err := journal.Open(env.stateDir(), 3<<20)
	if err != nil {
		t.Fatal(err)
	}
	defer held.Close()
	link.close()
	time.Sleep(2 * reacquireTimeout)
	select {
	case err := <-proc.exited:
		t.Fatalf("the process exited with a call in flight: %v\n%s", err, proc.stderr)
	default:
	}
	release()
	env.waitExit(proc)
	if proc.reclaimed() {
		t.Error("the process tried to take the service back")
	}
}

// A process that takes over from one that shuts down goes on calling its partners. The failure: the time by which the
// old process had to end was part of the state that it handed over, and the new one returned all messages after it.
func TestSuccessorOfAStoppingProcess(t *testing.T) {
	t.Parallel()
	env := newTestEnv(t)
	first := env.startProcess()
	env.waitReady(first)
	_ = first.Process.Signal(syscall.SIGTERM)
	time.Sleep(300 * time.Millisecond) // the shutdown has started
	second := env.startProcess()
	env.waitReady(second)
	env.waitExit(first)
	time.Sleep(shutdownDuration) // the time by which the first process had to end is over
	env.submitAccepted("after", 3, "c=charge,t=x,d=15000,dest=7")
	env.waitSettled()
	env.mu.Lock()
	defer env.mu.Unlock()
	for id := range env.accepted {
		if env.applied[id] != 1 {
			t.Errorf("%s was applied %d times and has the final answer %q", id, env.applied[id], env.finalAnswers[id])
		}
	}
}
