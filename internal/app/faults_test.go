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

// The wall clock steps by an hour or three seconds, forward or back: when the sender starts again after a kill or a
// graceful shutdown, in a hot restart, while it runs, and just before a graceful shutdown. Pending messages are still
// attempted once their partner serves, and those that it never takes have their final answer in time.
func TestWallClockSteps(t *testing.T) {
	for step, whens := range map[time.Duration][]string{
		time.Hour:  {"killed", "handed over", "ending"},
		-time.Hour: {"killed", "ended", "handed over", "running"}, 3 * time.Second: {"ending"}, -3 * time.Second: {"killed"},
	} {
		for _, when := range whens {
			t.Run(fmt.Sprint(step, " ", when), func(t *testing.T) {
				t.Parallel()
				o := newOffice(t)
				open := o.refuseCalls()
				var first, second faults.Faults
				switch when {
				case "running":
					first = faults.Faults{WallStep: step, StepIn: time.Second}
				case "ending":
					first = faults.Faults{WallStep: step, StepIn: 1500 * time.Millisecond}
				default:
					second = faults.Faults{WallStep: step}
				}
				p := o.startWith(first)
				o.ready(p)
				o.submitAccepted("long", 8, "c=charge,t=x,d=20000,dest=7")
				o.submitAccepted("short", 8, "c=charge,t=x,d=6000,dest=7")
				due := time.Now().Add(6 * time.Second)
				switch when {
				case "killed":
					_ = p.Process.Kill()
					<-p.ended
					o.ready(o.startWith(second))
				case "ended", "ending":
					_ = p.Process.Signal(syscall.SIGTERM)
					<-p.ended
					o.ready(o.startWith(second))
				case "handed over":
					o.ready(o.startWith(second))
					o.end(p)
				}
				// A restart's grace on notices, and the page's slack, are over by then.
				time.Sleep(time.Until(due.Add(1900 * time.Millisecond)))
				o.mu.Lock()
				for id, end := range o.finals {
					if strings.HasPrefix(id, "long") {
						t.Errorf("%s is %s with two thirds of its time left", id, end)
					}
				}
				for i := range 8 {
					if id := fmt.Sprint("short-", i); o.finals[id] == "" {
						t.Errorf("%s has no end two seconds after its time", id)
					}
				}
				o.mu.Unlock()
				open()
				o.settled()
				for i := range 8 {
					if id := fmt.Sprint("long-", i); o.applied[id] != 1 {
						t.Errorf("%s was delivered %d times", id, o.applied[id])
					}
				}
			})
		}
	}
}

// The machine has booted between two processes, and nobody knows for how long it was off: messages that were never
// attempted are delivered, and a charge that was in flight ends as failed.
func TestAnotherBootOfTheMachine(t *testing.T) {
	o := newOffice(t)
	var calls atomic.Int64
	o.answer = func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		o.mu.Lock()
		o.applied[r.Header.Get("Req-Id")]++
		o.mu.Unlock()
	}
	p := o.start()
	o.ready(p)
	o.submitAccepted("out", 1, "c=charge,t=x,d=20000,dest=7")
	for calls.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	o.submitAccepted("held", 4, "c=charge,t=x,d=20000,dest=7") // behind a call that hangs
	_ = p.Process.Kill()
	<-p.ended
	o.ready(o.startWith(faults.Faults{BootID: "another", WallStep: -time.Hour}))
	o.settled()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.finals["out-0"] != "failed" || o.applied["out-0"] != 0 {
		t.Errorf("the charge that was out: %q, %d", o.finals["out-0"], o.applied["out-0"])
	}
	for id := range o.taken {
		if strings.HasPrefix(id, "held") && o.applied[id] != 1 && o.finals[id] != "failed" {
			t.Errorf("%s: applied %d times, %q", id, o.applied[id], o.finals[id])
		}
	}
}

// Writes to the journal fail with EIO or ENOSPC, once, a few times, in a row, whole or behind a
// part of a record, with the truncation behind them failing too: the sender goes on, and after a kill
// each accepted message is delivered once or has its final answer.
func TestJournalWritesFail(t *testing.T) {
	for _, errno := range []syscall.Errno{syscall.EIO, syscall.ENOSPC, syscall.EINTR, syscall.ENOMEM} {
		for _, after := range []int{0, 13, 1 << 20} {
			for _, cut := range []bool{false, true} {
				t.Run(fmt.Sprint(errno.Error(), " after ", after, " cut fails ", cut), func(t *testing.T) {
					t.Parallel()
					o := newOffice(t)
					var list []faults.Folder
					for _, at := range [][2]int{{3, 1}, {8, 3}, {20, 5}} {
						list = append(list, faults.Folder{
							Call: statefs.CallWrite, Name: "spool", Errno: errno, After: after,
							First: at[0], Count: at[1],
						})
					}
					if cut {
						list = append(list, faults.Folder{Call: statefs.CallTruncate, Name: "spool", Errno: errno, First: 2, Count: 3})
					}
					p := o.startWith(faults.Faults{Folder: list})
					o.ready(p)
					stop := o.crowd(4)
					enough := func(n int) {
						t.Helper()
						for until := time.Now().Add(standin.Long); ; time.Sleep(5 * time.Millisecond) {
							o.mu.Lock()
							taken := len(o.taken)
							o.mu.Unlock()
							if taken >= n {
								return
							}
							select {
							case err := <-p.ended:
								t.Fatalf("it ended with %d taken on: %v\n%s", taken, err, p.said)
							default:
							}
							if time.Now().After(until) {
								t.Fatalf("only %d are taken on\n%s", taken, p.said)
							}
						}
					}
					enough(60)
					_ = p.Process.Kill()
					<-p.ended
					p = o.start()
					o.ready(p)
					stop()
					o.settled()
				})
			}
		}
	}
}

// A configuration that cannot be read at its SIGHUP, since all descriptors are in use, is applied once it can be read:
// nobody signals again, and the old registry goes away.
func TestReloadWithoutDescriptors(t *testing.T) {
	o := newOffice(t)
	p := o.start()
	o.ready(p)
	asked := make(chan string, 100)
	next := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		asked <- r.URL.Path
		<-r.Context().Done()
	}))
	defer func() { next.CloseClientConnections(); next.Close() }()
	raw, err := os.ReadFile(o.site())
	if err != nil {
		t.Fatal(err)
	}
	changed := regexp.MustCompile(`discovery = ".*"`).
		ReplaceAll(raw, []byte(fmt.Sprintf("discovery = %q", next.Listener.Addr().String())))
	if err := os.WriteFile(o.site(), changed, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := fleet.ExhaustDescriptors(p.Process.Pid, true); err != nil {
		t.Fatal(err)
	}
	_ = p.Process.Signal(syscall.SIGHUP)
	time.Sleep(200 * time.Millisecond)
	if err := fleet.ExhaustDescriptors(p.Process.Pid, false); err != nil {
		t.Fatal(err)
	}
	select {
	case <-asked:
	case <-time.After(5 * time.Second):
		t.Fatalf("the new discovery is not asked\n%s", p.said)
	}
}
