package app

import (
	"errors"
	"math/rand"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"brackendale/internal/testing/fleet"
)

// A sender is killed repeatedly soon after its start, and its snapshot is kept, lost, truncated, replaced by an
// earlier one, or too big: every accepted charge has one final answer, none is applied twice, and the last
// incarnation reaches full service.
func TestRepeatedKillsWithDamagedSnapshots(t *testing.T) {
	kills, err := strconv.Atoi(os.Getenv("BRACKENDALE_KILLS"))
	if err != nil {
		kills = 12
	}
	rng := rand.New(rand.NewSource(2))
	env := newTestEnv(t)
	snapshot, earlier := filepath.Join(env.stateDir(), "memory"), filepath.Join(env.dir, "earlier")
	end := env.startClients(4)
	cases := map[string]int{}
	for i := range kills {
		proc := env.startProcess()
		env.waitReady(proc)
		wait := time.Duration(rng.Intn(40)) * time.Millisecond
		if i%3 == 2 { // long enough for a snapshot
			wait += 1100 * time.Millisecond
		}
		time.Sleep(wait)
		_ = proc.Process.Kill()
		<-proc.exited
		data, err := os.ReadFile(snapshot)
		damage := []string{"kept", "lost", "torn", "earlier", "big"}[rng.Intn(5)]
		if err != nil {
			damage = "none yet"
		}
		cases[damage]++
		switch err = nil; damage {
		case "lost":
			err = os.Remove(snapshot)
		case "torn":
			_, err = fleet.Corrupt(snapshot, rng)
		case "earlier":
			if earlierData, readErr := os.ReadFile(earlier); readErr == nil {
				err = os.WriteFile(snapshot, earlierData, 0o600)
			}
			err = errors.Join(err, os.WriteFile(earlier, data, 0o600))
		case "big":
			err = os.WriteFile(snapshot, append(data, make([]byte, 1<<20)...), 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	proc := env.startProcess()
	env.waitReady(proc)
	end()
	env.waitSettled()
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if _, text := proc.callControl("GET", "/api/telemetry", ""); strings.Contains(text, "\nlb_life_full 1\n") {
			break
		}
		if time.Now().After(deadline) {
			_, text := proc.callControl("GET", "/api/telemetry", "")
			t.Fatalf("the sender does not reach full service\n%s\n%s", text, proc.stderr)
		}
	}
	t.Logf("%d kills, %v, %d charges accepted", kills, cases, len(env.accepted))
}

// All clients of a failed sender connect to one that has just restarted, more than its limits admit: each rejected
// client receives a time after which to retry, and each message is accepted in the end.
func TestConnectionFloodAfterSenderFailure(t *testing.T) {
	t.Parallel()
	dir, err := fleet.TempDir()
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	report, err := fleet.ConnectionFlood{
		Program: os.Args[0], Dir: dir, Clients: 1000, LimitPerS: 400, WarmUp: time.Second,
		MaxRetryAfter: 5 * time.Second, Seed: 1,
	}.Run()
	if err != nil || report.Accepted != 1000 || report.Lost != 0 || report.MeanSubmits <= 1 {
		t.Fatalf("%+v %v", report, err)
	}
}
