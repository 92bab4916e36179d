package sender

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/snapshot"
	"brackendale/internal/statefs"
	"brackendale/scheduler"

	"github.com/rs/zerolog"
)

// listedRoute returns the route of a live endpoint.
func listedRoute(name, dial string, destination int64) Route {
	return Route{
		Endpoint: scheduler.Endpoint{Addr: name, MachineType: "k", Destination: destination, State: scheduler.StatusLive},
		Dial:     dial, Protocol: "p",
	}
}

// removedRoute returns a route as the registry reports its removal.
func removedRoute(route Route) Route {
	route.State = scheduler.StatusDead
	return route
}

// runningSender is a sender whose Run goroutine is active.
type runningSender struct {
	*Sender
	dir  string
	stop func()
}

func runSender(t *testing.T, dir string, checkpoint *Checkpoint) *runningSender {
	t.Helper()
	core, err := New(Options{
		Name: "n", Settings: testSettings(), StateDir: dir, DiskBytes: 1 << 20, KeepSnapshot: true, Log: zerolog.Nop(),
		Checkpoint: checkpoint,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- core.Run(ctx) }()
	running := &runningSender{Sender: core, dir: dir}
	stopped := false
	running.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	}
	t.Cleanup(running.stop)
	return running
}

// snapshotTimeout bounds the wait for a snapshot.
const snapshotTimeout = 20 * time.Second

// awaitSnapshot waits until a snapshot with all that was posted before this call has been written.
func (r *runningSender) awaitSnapshot(t *testing.T) {
	t.Helper()
	waitPosted(t, r.Sender)
	called := clock.Now().SinceBoot
	for deadline := time.Now().Add(snapshotTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		r.Post(func() { r.writeSnapshotIfDue(true) }) // it does nothing while the writer is busy
		raw, err := os.ReadFile(filepath.Join(r.dir, "memory"))
		if stored, decodeErr := snapshot.Decode(raw); err == nil && decodeErr == nil && stored.TakenAt.SinceBoot > called {
			return
		}
	}
	t.Error("no snapshot is written")
}

// kill returns the folder as SIGKILL leaves it once the last changes are stored.
func (r *runningSender) kill(t *testing.T) string {
	t.Helper()
	r.awaitSnapshot(t)
	dir := t.TempDir()
	for _, name := range []string{"memory", "spool"} {
		raw, err := os.ReadFile(filepath.Join(r.dir, name))
		if err == nil {
			err = os.WriteFile(filepath.Join(dir, name), raw, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	r.stop()
	return dir
}

// plannedStop ends the sender in order, and returns its folder.
func (r *runningSender) plannedStop(t *testing.T) string {
	t.Helper()
	waitPosted(t, r.Sender)
	r.stop()
	return r.dir
}

// discardingSuccessor is a successor that discards what is forwarded to it.
type discardingSuccessor struct{}

func (discardingSuccessor) Submit(*Request)        {}
func (discardingSuccessor) Withdraw(*Request)      {}
func (discardingSuccessor) Report([]AttemptResult) {}

// upgrade replaces the sender by a successor, which gets its checkpoint in the stored form.
func (r *runningSender) upgrade(t *testing.T) *runningSender {
	t.Helper()
	pause := <-r.Quiesce()
	raw, err := json.Marshal(pause.Checkpoint)
	if err != nil {
		t.Fatal(err)
	}
	var checkpoint Checkpoint
	if err := json.Unmarshal(raw, &checkpoint); err != nil {
		t.Fatal(err)
	}
	pause.ReleaseJournal()
	successor := runSender(t, r.dir, &checkpoint)
	pause.HandOver(discardingSuccessor{})
	successor.UpdateRoutes(scheduler.UpdateStale, checkpoint.Routes)
	return successor
}

// endpointStates returns the states of the routes by name.
func (r *runningSender) endpointStates(t *testing.T) map[string]string {
	t.Helper()
	states := make(chan map[string]string, 1)
	r.Post(func() {
		byName := map[string]string{}
		for _, route := range r.State().Routes {
			byName[route.Name] = route.Health
		}
		states <- byName
	})
	return <-states
}

// While discovery is silent, a message must not go to an endpoint of an older list that the sender was told to be gone
// (review/8): not after many other endpoints, with whatever names, have come and gone, nor if the endpoint has another
// address or destination since.
func TestOldListAfterManyReplacedEndpoints(t *testing.T) {
	gone, stays := listedRoute("gone", "127.0.0.1:1", 1), listedRoute("stays", "127.0.0.1:2", 1)
	replace := func(core *runningSender, count int, name string) {
		for i := range count {
			route := listedRoute(fmt.Sprintf("%s-%d", name, i), "127.0.0.1:3", 1)
			core.UpdateRoutes(scheduler.UpdatePatch, []Route{route})
			core.UpdateRoutes(scheduler.UpdatePatch, []Route{removedRoute(route)})
		}
	}
	remove := func(core *runningSender) {
		core.UpdateRoutes(scheduler.UpdatePatch, []Route{removedRoute(gone)})
	}
	change := func(route Route) func(*runningSender) {
		return func(core *runningSender) { core.UpdateRoutes(scheduler.UpdatePatch, []Route{route}) }
	}
	updates := map[string]func(*runningSender){
		"removed":              remove,
		"removed by a list":    func(core *runningSender) { core.UpdateRoutes(scheduler.UpdateFull, []Route{stays}) },
		"many names":           func(core *runningSender) { remove(core); replace(core, 300, "e") },
		"long names":           func(core *runningSender) { remove(core); replace(core, 30, strings.Repeat("e", 400)) },
		"escaped names":        func(core *runningSender) { remove(core); replace(core, 100, strings.Repeat("\x01", 70)) },
		"one very long name":   func(core *runningSender) { remove(core); replace(core, 1, strings.Repeat("e", 40<<10)) },
		"another destination":  change(listedRoute("gone", "127.0.0.1:1", 2)),
		"another address":      change(listedRoute("gone", "127.0.0.1:4", 1)),
		"draining, many names": func(core *runningSender) { change(draining(gone))(core); replace(core, 300, "e") },
	}
	restarts := map[string]func(*testing.T, *runningSender) string{
		"killed":             func(t *testing.T, core *runningSender) string { return core.kill(t) },
		"planned":            func(t *testing.T, core *runningSender) string { return core.plannedStop(t) },
		"upgraded, killed":   func(t *testing.T, core *runningSender) string { return core.upgrade(t).kill(t) },
		"killed twice":       killedTwice(gone, stays),
		"upgraded in series": func(t *testing.T, core *runningSender) string { return core.upgrade(t).upgrade(t).kill(t) },
	}
	for name, update := range updates {
		for restart, end := range restarts {
			t.Run(name+", "+restart, func(t *testing.T) {
				t.Parallel()
				core := runSender(t, t.TempDir(), nil)
				core.UpdateRoutes(scheduler.UpdateStale, []Route{gone, stays})
				core.UpdateRoutes(scheduler.UpdatePatch, nil)
				update(core)
				next := runSender(t, end(t, core), nil)
				next.UpdateRoutes(scheduler.UpdateStale, []Route{gone, stays})
				states := next.endpointStates(t)
				if states["gone"] == string(scheduler.StatusLive) {
					t.Error("an endpoint that the sender was told to be gone is live again")
				}
				if states["stays"] != string(scheduler.StatusLive) {
					t.Errorf("the endpoint that stayed is %q", states["stays"])
				}
			})
		}
	}
}

// killedTwice ends a sender by SIGKILL, and the next one too, which had only the older list.
func killedTwice(list ...Route) func(*testing.T, *runningSender) string {
	return func(t *testing.T, core *runningSender) string {
		second := runSender(t, core.kill(t), nil)
		second.UpdateRoutes(scheduler.UpdateStale, list)
		return second.kill(t)
	}
}

// draining returns a route of an endpoint that drains.
func draining(route Route) Route {
	route.State = scheduler.StatusDraining
	return route
}

// A snapshot of an earlier release has only the names of removed endpoints, and may have dropped some at their limit:
// then no endpoint of an older list is used before the registry responds.
func TestNamesOfAnEarlierReleaseAtTheirLimit(t *testing.T) {
	for name, test := range map[string]struct {
		names int
		live  bool
	}{
		"few names": {10, true},
		"at limit":  {maxRemovedNames, false},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			stored := snapshot.Snapshot{Name: "n", Scheduler: scheduler.State{Format: scheduler.StateFormat}}
			for i := range test.names {
				stored.Draining = append(stored.Draining, fmt.Sprint("e-", i))
			}
			if err := snapshot.Write(dir, stored); err != nil {
				t.Fatal(err)
			}
			core := runSender(t, dir, nil)
			core.UpdateRoutes(scheduler.UpdateStale, []Route{listedRoute("unknown", "127.0.0.1:1", 1)})
			live := core.endpointStates(t)["unknown"] == string(scheduler.StatusLive)
			if live != test.live || core.HasEarlierReport() == test.live {
				t.Errorf("the endpoint is live: %v; there is a report: %v", live, core.HasEarlierReport())
			}
		})
	}
}

// With more live endpoints than a snapshot holds, those that it lacks get nothing until the registry responds, and one
// that is gone does not come back.
func TestMoreEndpointsThanASnapshotHolds(t *testing.T) {
	core := runSender(t, t.TempDir(), nil)
	var list []Route
	for i := range maxStoredEndpoints + 100 {
		list = append(list, listedRoute(fmt.Sprint("e-", i), "127.0.0.1:1", 1))
	}
	gone := listedRoute("gone", "127.0.0.1:2", 1)
	older := append([]Route{gone}, list...)
	core.UpdateRoutes(scheduler.UpdateFull, older)
	core.UpdateRoutes(scheduler.UpdateFull, list)
	next := runSender(t, core.kill(t), nil)
	next.UpdateRoutes(scheduler.UpdateStale, older)
	if state := next.endpointStates(t)["gone"]; state == string(scheduler.StatusLive) {
		t.Error("an endpoint that the sender was told to be gone is live again")
	}
	live := 0
	for _, state := range next.endpointStates(t) {
		if state == string(scheduler.StatusLive) {
			live++
		}
	}
	if live != maxStoredEndpoints {
		t.Errorf("%d endpoints are live, and the snapshot holds %d", live, maxStoredEndpoints)
	}
	next.UpdateRoutes(scheduler.UpdateFull, list)
	for name, state := range next.endpointStates(t) {
		if state != string(scheduler.StatusLive) {
			t.Fatalf("%s is %q after the registry's response", name, state)
		}
	}
}

// What an operator excludes is no report of the registry: within an older list that is suspended it must not make all
// other endpoints of the list unusable until the registry responds.
func TestExclusionIsNoReport(t *testing.T) {
	a, b := listedRoute("a", "127.0.0.1:1", 1), listedRoute("b", "127.0.0.1:2", 1)
	for _, reported := range []bool{false, true} {
		core := runSender(t, t.TempDir(), nil)
		if reported {
			core.UpdateRoutes(scheduler.UpdateFull, []Route{a, b})
		}
		next := runSender(t, core.plannedStop(t), nil)
		next.UpdateRoutes(scheduler.UpdateStale, []Route{draining(a), draining(b)})
		done := make(chan error, 1)
		next.Exclude("a", true, func(err error) { done <- err })
		if err := <-done; err != nil {
			t.Fatal(err)
		}
		next.UpdateRoutes(scheduler.UpdateStale, []Route{a, b})
		if states := next.endpointStates(t); states["b"] != string(scheduler.StatusLive) {
			t.Errorf("with a report %v: the other endpoint is %q", reported, states["b"])
		}
	}
}

// A report of the registry that arrives before the checkpoint of a hot restart is restored must not be overwritten.
func TestReportBeforeTheCheckpointIsRestored(t *testing.T) {
	dir := t.TempDir()
	old, _ := newTestSender(t, dir, 1<<20)
	gone := listedRoute("gone", "127.0.0.1:1", 1)
	old.UpdateRoutes(scheduler.UpdateFull, []Route{gone})
	old.runPosted()
	checkpoint := old.checkpoint()
	if err := old.journal.Close(); err != nil {
		t.Fatal(err)
	}
	core, err := New(Options{
		Settings: testSettings(), StateDir: dir, DiskBytes: 1 << 20, Log: zerolog.Nop(), Checkpoint: &checkpoint,
	})
	if err != nil {
		t.Fatal(err)
	}
	core.UpdateRoutes(scheduler.UpdateStale, []Route{gone})
	core.UpdateRoutes(scheduler.UpdatePatch, []Route{removedRoute(gone)})
	core.runPosted()
	core.restoreJournal()
	if core.reported.live.has(gone) || !slices.Contains(core.reported.removed, "gone") {
		t.Errorf("the report is forgotten: live %v, removed %v", core.reported.live, core.reported.removed)
	}
}

// The last snapshot of a planned restart must not be left out because the one before is still being written.
func TestLastSnapshotBehindASlowOne(t *testing.T) {
	writing, proceed := make(chan bool, 100), make(chan bool)
	defer statefs.SetHook(func(call statefs.Call, name string) *statefs.Fault {
		if call == statefs.CallWrite && name == "memory.new" {
			writing <- true
			<-proceed
		}
		return nil
	})()
	core := runSender(t, t.TempDir(), nil)
	gone := listedRoute("gone", "127.0.0.1:1", 1)
	core.UpdateRoutes(scheduler.UpdateFull, []Route{gone})
	<-writing
	waitPosted(t, core.Sender)
	core.Post(func() { core.writeSnapshotIfDue(true) }) // fills the queue of the writer
	core.UpdateRoutes(scheduler.UpdateFull, nil)
	waitPosted(t, core.Sender)
	time.AfterFunc(50*time.Millisecond, func() { close(proceed) })
	core.stop()
	next := runSender(t, core.dir, nil)
	next.UpdateRoutes(scheduler.UpdateStale, []Route{gone})
	if state := next.endpointStates(t)["gone"]; state == string(scheduler.StatusLive) {
		t.Error("the last report is forgotten")
	}
}

// A report whose snapshot could not be written is stored with the next check, not only when the last one is too old.
func TestReportAfterAFailedWrite(t *testing.T) {
	failed := make(chan bool, 100)
	var broken atomic.Bool
	defer statefs.SetHook(func(call statefs.Call, name string) *statefs.Fault {
		if call == statefs.CallWrite && name == "memory.new" && broken.Load() {
			failed <- true
			return &statefs.Fault{Err: syscall.ENOSPC}
		}
		return nil
	})()
	core := runSender(t, t.TempDir(), nil)
	awaitStored := func(endpoints int) {
		t.Helper()
		for start := time.Now(); ; time.Sleep(time.Millisecond) {
			waitPosted(t, core.Sender)
			raw, err := os.ReadFile(filepath.Join(core.dir, "memory"))
			last, decodeErr := snapshot.Decode(raw)
			if err == nil && decodeErr == nil && len(last.LiveEndpoints) == endpoints*fingerprintBytes {
				return
			}
			if time.Since(start) > maxSnapshotAge/2 {
				t.Fatalf("no snapshot with %d endpoints is stored", endpoints)
			}
		}
	}
	gone := listedRoute("gone", "127.0.0.1:1", 1)
	core.UpdateRoutes(scheduler.UpdateFull, []Route{gone})
	awaitStored(1)
	broken.Store(true)
	core.UpdateRoutes(scheduler.UpdateFull, nil)
	<-failed
	broken.Store(false)
	awaitStored(0)
}
