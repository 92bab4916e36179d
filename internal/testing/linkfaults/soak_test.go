package linkfaults

import (
	"fmt"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"brackendale/internal/testing/fleet"
	"brackendale/internal/testing/soak"
)

// The number of processes of a run.
const (
	minProcesses = 10
	maxProcesses = 40
)

// soakLength is the time in which faults are injected.
const soakLength = 15 * time.Second

// Faults of every connection, several at once, beside faults of endpoints, folders and clocks, signals in series, kills
// and upgrades, break no rule.
func TestSoakOfLinkFaults(t *testing.T) {
	seeds, err := soak.ParseSeeds(os.Getenv("BRACKENDALE_SOAK"), 1)
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			rng := rand.New(rand.NewSource(seed))
			processes := minProcesses
			if os.Getenv("BRACKENDALE_SOAK") != "" {
				processes += rng.Intn(maxProcesses - minProcesses + 1)
			}
			dir := t.TempDir()
			if keep := os.Getenv("BRACKENDALE_SOAK_KEEP"); keep != "" {
				dir = filepath.Join(keep, fmt.Sprint(seed))
			}
			var running sync.WaitGroup
			for i := range processes {
				options := drawOptions(rng, seed*maxProcesses+int64(i), filepath.Join(dir, fmt.Sprint(i)))
				running.Go(func() { soakProcess(t, i, options) })
			}
			running.Wait()
		})
	}
}

// drawOptions draws what happens to one process of a run.
func drawOptions(rng *rand.Rand, seed int64, dir string) soak.Options {
	all := fleet.RelayFaults()
	links := &soak.LinkOptions{
		Percent: 10 + rng.Intn(11), Endpoints: all, Agent: all, Clients: all, Cuts: rng.Intn(2) == 0,
		HalfClosePercent: 25 * rng.Intn(3), LargePercent: 10 * rng.Intn(3), ClientCount: 2 + rng.Intn(2),
	}
	return soak.Options{
		Seed: seed, Program: os.Args[0], Env: []string{serveKey + "=1"}, Dir: dir, Length: soakLength,
		Upgrades: rng.Intn(3) == 0, Links: links,
	}
}

// soakProcess runs one process and its successors, and reports the violations.
func soakProcess(t *testing.T, number int, options soak.Options) {
	report, err := soak.Run(options)
	if err != nil {
		t.Error(err)
		return
	}
	t.Logf("process %d: %v", number, report)
	for _, note := range report.Notes {
		t.Logf("process %d: allowed: %s", number, note)
	}
	for _, violation := range report.Violations {
		t.Errorf("process %d: %s", number, violation)
	}
	if len(report.Violations) > 0 {
		t.Logf("process %d, %+v:\n%s\n%s", number, *options.Links, strings.Join(report.Actions, "\n"), report.Timelines)
	}
}
