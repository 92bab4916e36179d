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

// A sender is killed again and again, ten times in a row soon after its start, with its snapshot kept, lost, torn, of
// an earlier incarnation, or too big: every accepted charge has one final answer, none is applied twice, and the last
// incarnation is in full service.
func TestKilledWithWhateverMemory(t *testing.T) {
	kills, err := strconv.Atoi(os.Getenv("BRACKENDALE_KILLS"))
	if err != nil {
		kills = 12
	}
	rng := rand.New(rand.NewSource(2))
	o := newOffice(t)
	memory, earlier := filepath.Join(o.state(), "memory"), filepath.Join(o.dir, "earlier")
	end := o.crowd(4)
	cases := map[string]int{}
	for i := range kills {
		p := o.start()
		o.ready(p)
		wait := time.Duration(rng.Intn(40)) * time.Millisecond
		if i%3 == 2 { // long enough for an image
			wait += 1100 * time.Millisecond
		}
		time.Sleep(wait)
		_ = p.Process.Kill()
		<-p.ended
		raw, err := os.ReadFile(memory)
		what := []string{"kept", "lost", "torn", "earlier", "big"}[rng.Intn(5)]
		if err != nil {
			what = "none yet"
		}
		cases[what]++
		switch err = nil; what {
		case "lost":
			err = os.Remove(memory)
		case "torn":
			_, err = fleet.Corrupt(memory, rng)
		case "earlier":
			if old, rerr := os.ReadFile(earlier); rerr == nil {
				err = os.WriteFile(memory, old, 0o600)
			}
			err = errors.Join(err, os.WriteFile(earlier, raw, 0o600))
		case "big":
			err = os.WriteFile(memory, append(raw, make([]byte, 1<<20)...), 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	p := o.start()
	o.ready(p)
	end()
	o.settled()
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		if _, text := p.ask("GET", "/api/telemetry", ""); strings.Contains(text, "\nlb_life_full 1\n") {
			break
		}
		if time.Now().After(until) {
			_, text := p.ask("GET", "/api/telemetry", "")
			t.Fatalf("never in full service\n%s\n%s", text, p.said)
		}
	}
	t.Logf("%d kills, %v, %d taken on", kills, cases, len(o.taken))
}

// All clients of a dead sender come to one that is just back, more than it has room for: each is
// told when to come again, and each has its message taken on in the end.
func TestCrowdOfADeadSender(t *testing.T) {
	t.Parallel()
	dir, err := fleet.TempDir()
	if err != nil {
		t.Fatal(err)
	}
	defer os.RemoveAll(dir)
	rep, err := fleet.ConnectionFlood{
		Program: os.Args[0], Dir: dir, Clients: 1000, LimitPerS: 400, WarmUp: time.Second,
		MaxRetryAfter: 5 * time.Second, Seed: 1,
	}.Run()
	if err != nil || rep.Accepted != 1000 || rep.Lost != 0 || rep.MeanSubmits <= 1 {
		t.Fatalf("%+v %v", rep, err)
	}
}
