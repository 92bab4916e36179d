package app

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/statefs"
	"brackendale/internal/testing/faults"
	"brackendale/internal/testing/fleet"
	"brackendale/internal/testing/standin"
)

// The wall clock steps by an hour or three seconds, forward or back: when the sender restarts after a kill or a
// graceful shutdown, in a hot restart, while it runs, or just before a graceful shutdown. Pending messages must still
// be delivered once their partner accepts calls, and those whose deadline passes before that must have their final
// answer in time.
func TestWallClockSteps(t *testing.T) {
	for step, events := range map[time.Duration][]string{
		time.Hour:  {"killed", "handed over", "ending"},
		-time.Hour: {"killed", "ended", "handed over", "running"}, 3 * time.Second: {"ending"}, -3 * time.Second: {"killed"},
	} {
		for _, event := range events {
			t.Run(fmt.Sprint(step, " ", event), func(t *testing.T) {
				t.Parallel()
				env := newTestEnv(t)
				acceptCalls := env.rejectCalls()
				var first, second faults.Faults
				switch event {
				case "running":
					first = faults.Faults{WallStep: step, StepIn: time.Second}
				case "ending":
					first = faults.Faults{WallStep: step, StepIn: 1500 * time.Millisecond}
				default:
					second = faults.Faults{WallStep: step}
				}
				proc := env.startWith(first)
				env.waitReady(proc)
				env.submitAccepted("long", 8, "c=charge,t=x,d=20000,dest=7")
				env.submitAccepted("short", 8, "c=charge,t=x,d=6000,dest=7")
				due := time.Now().Add(6 * time.Second)
				switch event {
				case "killed":
					_ = proc.Process.Kill()
					<-proc.exited
					env.waitReady(env.startWith(second))
				case "ended", "ending":
					_ = proc.Process.Signal(syscall.SIGTERM)
					<-proc.exited
					env.waitReady(env.startWith(second))
				case "handed over":
					env.waitReady(env.startWith(second))
					env.waitExit(proc)
				}
				// By then, the grace period for final answers after a restart and the tolerance of the protocol have passed.
				time.Sleep(time.Until(due.Add(1900 * time.Millisecond)))
				env.mu.Lock()
				for id, state := range env.finalAnswers {
					if strings.HasPrefix(id, "long") {
						t.Errorf("%s has the final answer %s with two thirds of the time to its deadline remaining", id, state)
					}
				}
				for i := range 8 {
					if id := fmt.Sprint("short-", i); env.finalAnswers[id] == "" {
						t.Errorf("%s has no final answer two seconds after its deadline", id)
					}
				}
				env.mu.Unlock()
				acceptCalls()
				env.waitSettled()
				for i := range 8 {
					if id := fmt.Sprint("long-", i); env.applied[id] != 1 {
						t.Errorf("%s was delivered %d times", id, env.applied[id])
					}
				}
			})
		}
	}
}

// The machine was rebooted between two processes, with a downtime of unknown length: messages that were never
// attempted are delivered, and a charge that was in flight gets the final answer failed.
func TestRebootBetweenIncarnations(t *testing.T) {
	env := newTestEnv(t)
	var calls atomic.Int64
	env.partnerHandler = func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		env.mu.Lock()
		env.applied[r.Header.Get("Req-Id")]++
		env.mu.Unlock()
	}
	proc := env.startProcess()
	env.waitReady(proc)
	env.submitAccepted("out", 1, "c=charge,t=x,d=20000,dest=7")
	for calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	env.submitAccepted("held", 4, "c=charge,t=x,d=20000,dest=7") // pending behind a call that does not return
	_ = proc.Process.Kill()
	<-proc.exited
	env.waitReady(env.startWith(faults.Faults{BootID: "another", WallStep: -time.Hour}))
	env.waitSettled()
	env.mu.Lock()
	defer env.mu.Unlock()
	if env.finalAnswers["out-0"] != "failed" || env.applied["out-0"] != 0 {
		t.Errorf("the charge that was in flight: final answer %q, applied %d times", env.finalAnswers["out-0"],
			env.applied["out-0"])
	}
	for id := range env.accepted {
		if strings.HasPrefix(id, "held") && env.applied[id] != 1 && env.finalAnswers[id] != "failed" {
			t.Errorf("%s: applied %d times, final answer %q", id, env.applied[id], env.finalAnswers[id])
		}
	}
}

// Writes to the journal fail with an error, once or several times in a row, before or after a part of a record is
// written, and the truncation that follows may fail too: the sender continues to serve, and after a kill each accepted
// message is delivered once or has its final answer.
func TestJournalWritesFail(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EINTR, syscall.ENOMEM} {
		for _, after := range []int{0, 13, 1 << 20} {
			for _, truncateFails := range []bool{false, true} {
				t.Run(fmt.Sprint(errno.Error(), " after ", after, " truncate fails ", truncateFails), func(t *testing.T) {
					t.Parallel()
					env := newTestEnv(t)
					var failures []faults.Folder
					for _, writes := range [][2]int{{3, 1}, {8, 3}, {20, 5}} {
						failures = append(failures, faults.Folder{
							Call: statefs.CallWrite, Name: "spool", Errno: errno, After: after,
							First: writes[0], Count: writes[1],
						})
					}
					if truncateFails {
						failures = append(failures, faults.Folder{
							Call: statefs.CallTruncate, Name: "spool", Errno: errno, First: 2, Count: 3,
						})
					}
					proc := env.startWith(faults.Faults{Folder: failures})
					env.waitReady(proc)
					stop := env.startClients(4)
					waitAccepted := func(n int) {
						t.Helper()
						for deadline := time.Now().Add(standin.Long); ; time.Sleep(5 * time.Millisecond) {
							env.mu.Lock()
							accepted := len(env.accepted)
							env.mu.Unlock()
							if accepted >= n {
								return
							}
							select {
							case err := <-proc.exited:
								t.Fatalf("the process exited with %d charges accepted: %v\n%s", accepted, err, proc.stderr)
							default:
							}
							if time.Now().After(deadline) {
								t.Fatalf("only %d charges accepted\n%s", accepted, proc.stderr)
							}
						}
					}
					waitAccepted(60)
					_ = proc.Process.Kill()
					<-proc.exited
					proc = env.startProcess()
					env.waitReady(proc)
					stop()
					env.waitSettled()
				})
			}
		}
	}
}

// A configuration that cannot be read at SIGHUP, since all descriptors are in use, is applied once it can be read: no
// second signal follows, and the old registry may disappear.
func TestReloadWithoutDescriptors(t *testing.T) {
	env := newTestEnv(t)
	proc := env.startProcess()
	env.waitReady(proc)
	requests := make(chan string, 100)
	newRegistry := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		requests <- r.URL.Path
		<-r.Context().Done()
	}))
	defer func() { newRegistry.CloseClientConnections(); newRegistry.Close() }()
	config, err := os.ReadFile(env.configFile())
	if err != nil {
		t.Fatal(err)
	}
	changed := regexp.MustCompile(`discovery = ".*"`).
		ReplaceAll(config, []byte(fmt.Sprintf("discovery = %q", newRegistry.Listener.Addr().String())))
	if err := os.WriteFile(env.configFile(), changed, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := fleet.ExhaustDescriptors(proc.Process.Pid, true); err != nil {
		t.Fatal(err)
	}
	_ = proc.Process.Signal(syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
	if err := fleet.ExhaustDescriptors(proc.Process.Pid, false); err != nil {
		t.Fatal(err)
	}
	select {
	case <-requests:
	case <-time.After(5 * time.Second):
		t.Fatalf("the new registry received no request\n%s", proc.stderr)
	}
}
