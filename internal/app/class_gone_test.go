package app

import (
	"os"
	"strings"
	"testing"
	"time"

	"brackendale/internal/testing/standin"
)

// A charge that may have run, and whose class the next process does not know, fails. The failure: it was told as
// returned, which lets the client submit it again, although it may have run. One that was never sent is returned.
func TestChargeWhoseClassIsGone(t *testing.T) {
	for name, end := range map[string]func(env *testEnv, proc *process, restart func() *process){
		"killed": func(_ *testEnv, proc *process, restart func() *process) {
			proc.kill()
			restart()
		},
		"hot restart": func(env *testEnv, proc *process, restart func() *process) {
			env.waitReady(restart())
			proc.kill()
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			env := newTestEnv(t)
			env.holdCalls()
			proc := env.startProcess()
			env.waitReady(proc)
			env.submitAccepted("charge", 20, "c=charge,t=x,d=15000,dest=7")
			env.waitCalled("charge-0")
			end(env, proc, func() *process {
				text, err := os.ReadFile(env.configFile())
				if err != nil {
					t.Fatal(err)
				}
				renamed := strings.Replace(string(text), `name = "charge"`, `name = "fee"`, 1)
				if err := os.WriteFile(env.configFile(), []byte(renamed), 0o600); err != nil {
					t.Fatal(err)
				}
				return env.startProcess()
			})
			env.waitAllAnswered()
			env.mu.Lock()
			defer env.mu.Unlock()
			for id, answer := range env.finalAnswers {
				if _, called := env.applied[id]; called && answer != "failed" {
					t.Errorf("%s reached the partner and has the final answer %q", id, answer)
				} else if !called && answer != "returned" {
					t.Errorf("%s was never sent and has the final answer %q", id, answer)
				}
			}
		})
	}
}

// waitCalled waits until the partner has a call with a message.
func (env *testEnv) waitCalled(id string) {
	env.t.Helper()
	for deadline := time.Now().Add(standin.Long); ; time.Sleep(2 * time.Millisecond) {
		env.mu.Lock()
		_, called := env.applied[id]
		env.mu.Unlock()
		if called {
			return
		}
		if time.Now().After(deadline) {
			env.t.Fatal("the partner gets no call")
		}
	}
}

// waitAllAnswered waits until each accepted message has its final answer.
func (env *testEnv) waitAllAnswered() {
	env.t.Helper()
	for deadline := time.Now().Add(standin.Long); ; time.Sleep(5 * time.Millisecond) {
		env.mu.Lock()
		missing := len(env.accepted) - len(env.finalAnswers)
		env.mu.Unlock()
		if missing == 0 {
			return
		}
		if time.Now().After(deadline) {
			env.t.Fatalf("%d messages have no final answer", missing)
		}
	}
}
