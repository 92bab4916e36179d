package app

import (
	"strings"
	"testing"
	"time"

	"brackendale/internal/testing/fleet"
	"brackendale/internal/testing/standin"
)

// The disk of a sender under load is full repeatedly, also while a new process requests to take over, and the sender
// is killed while the disk is full. With a full disk the sender continues to run, rejects new messages, reports why
// it is not ready, and does not hand over. Each accepted charge has one final answer and is applied at most once.
func TestFullDisk(t *testing.T) {
	env := newTestEnv(t)
	proc := env.startProcess()
	env.waitReady(proc)
	stopClients := env.startClients(4)
	setDiskFull := func(full bool) {
		t.Helper()
		if err := fleet.FullDisk(proc.Process.Pid, full); err != nil {
			t.Fatal(err)
		}
	}
	waitNotReady := func() {
		t.Helper()
		for deadline := time.Now().Add(standin.Long); ; time.Sleep(5 * time.Millisecond) {
			if status, reason := proc.callControl("GET", "/api/ready", ""); status != 200 &&
				strings.Contains(reason, "disk takes nothing") {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("the process does not report that its disk is full\n%s", proc.stderr)
			}
		}
	}
	waitIncrease := func(change string, count func() int) {
		t.Helper()
		env.mu.Lock()
		before := count()
		env.mu.Unlock()
		for deadline := time.Now().Add(standin.Long); ; time.Sleep(5 * time.Millisecond) {
			env.mu.Lock()
			now := count()
			env.mu.Unlock()
			if now > before {
				return
			}
			if time.Now().After(deadline) {
				t.Fatalf("no message is %s any more\n%s", change, proc.stderr)
			}
		}
	}
	rejected, accepted := func() int { return env.rejected }, func() int { return len(env.accepted) }
	for range 3 {
		setDiskFull(true)
		waitNotReady()
		waitIncrease("refused", rejected)
		setDiskFull(false)
		env.waitReady(proc)
		waitIncrease("taken on", accepted)
	}
	setDiskFull(true)
	waitNotReady()
	newProc := env.startProcess()
	select {
	case <-newProc.exited: // it was refused
	case <-time.After(standin.Long):
		t.Fatalf("the refused process does not exit\n%s\n%s", newProc.stderr, proc.stderr)
	}
	setDiskFull(false)
	env.waitReady(proc)
	waitIncrease("taken on", accepted)
	setDiskFull(true)
	waitNotReady()
	_ = proc.Process.Kill()
	<-proc.exited
	proc = env.startProcess()
	env.waitReady(proc)
	waitIncrease("taken on", accepted)
	stopClients()
	env.waitSettled()
}
