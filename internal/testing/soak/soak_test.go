package soak

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"brackendale/internal/app"
	"brackendale/internal/failpoint"
	"brackendale/internal/testing/faults"
)

const (
	serveKey = "BRACKENDALE_SOAK_SERVE"
	// killPointKey is the environment variable with the failpoint at which a process kills itself.
	killPointKey = "BRACKENDALE_SOAK_KILL"
)

// TestMain runs the sender in child processes, with the platform's configuration.
func TestMain(m *testing.M) {
	if os.Getenv(serveKey) != "" {
		faults.Inject()
		killAtPoint(os.Getenv(killPointKey))
		if err := app.Serve(context.Background(), "", app.Options{}); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// killAtPoint makes this process kill itself when it reaches a failpoint; an empty one is never reached.
func killAtPoint(point string) {
	if point == "" {
		return
	}
	failpoint.SetHook(func(reached failpoint.Point) {
		if string(reached) == point {
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
			select {}
		}
	})
}

// seeds returns the seeds of BRACKENDALE_SOAK, in the form "from-to", or a few fixed ones.
func seeds(t *testing.T) []int64 {
	all, err := ParseSeeds(os.Getenv("BRACKENDALE_SOAK"), 1, 2, 3, 4, 5, 6)
	if err != nil {
		t.Fatal(err)
	}
	return all
}

// Random faults, several at once, with processes that are restarted and killed repeatedly, cause no violation.
func TestSoak(t *testing.T) { soak(t, Options{}, seeds(t)) }

// Upgrades in quick succession under load, by a launcher that owns the listening socket: open connections get replies
// throughout, and clients that never complete a command are disconnected.
func TestSoakOfUpgrades(t *testing.T) { soak(t, Options{Upgrades: true}, seeds(t)) }

// New processes are killed in their start, between upgrades that succeed: the old process goes on as if they had not
// been there. The failure: a start that failed ended both processes, or cut the calls and clients of the old one.
func TestSoakOfFailedStarts(t *testing.T) {
	opt, days := Options{Upgrades: true, KillPointEnv: killPointKey}, seeds(t)
	if os.Getenv("BRACKENDALE_SOAK") == "" { // short, since all tests of the package share the time limit
		opt.Length, days = 12*time.Second, days[:3]
	}
	soak(t, opt, days)
}

// The agent receives a drain while the open watch is unresponsive, and is unavailable by the next poll. A process
// started then does not have the drain and sends to the draining endpoint.
func TestSoakOfADrainMissedByASilentWatch(t *testing.T) {
	soak(t, Options{Upgrades: true}, []int64{6040, 6048})
}

func soak(t *testing.T, opt Options, days []int64) {
	t.Helper()
	for _, seed := range days {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			if keep := os.Getenv("BRACKENDALE_SOAK_KEEP"); keep != "" {
				dir = fmt.Sprintf("%s/%d", keep, seed)
			}
			opt := opt
			opt.Seed, opt.Program, opt.Env, opt.Dir = seed, os.Args[0], []string{serveKey + "=1"}, dir
			opt.Length = cmp.Or(opt.Length, 25*time.Second)
			// For manual runs: arguments of strace, such as "-e inject=...".
			if text := os.Getenv("BRACKENDALE_SOAK_STRACE"); text != "" {
				opt.Program, opt.Args = "strace", append(strings.Fields("-D -f -qq -o "+dir+"/strace "+text), os.Args[0])
			}
			report, err := Run(opt)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(report)
			for _, violation := range report.Violations {
				t.Error(violation)
			}
			if len(report.Violations) > 0 {
				t.Log(strings.Join(report.Actions, "\n"))
			}
			if report.Counts["delivered"] < 50 {
				t.Errorf("only %d messages were delivered, at least 50 are needed for a meaningful run", report.Counts["delivered"])
			}
		})
	}
}

// The resource use of a sender grows little with the number of endpoints: descriptors, connections, bytes of
// lists, memory and the share of delivered messages stay within bounds for larger fleets. For manual runs
// BRACKENDALE_GROWTH has the numbers of endpoints and of senders that share them, such as
// "200x300,800x300,3200x900"; the log then shows the figures with the CPU time.
func TestGrowthOfTheFleet(t *testing.T) {
	text, length := os.Getenv("BRACKENDALE_GROWTH"), 20*time.Second
	if text == "" {
		text, length = "20,120", 5*time.Second
	}
	var first Usage
	for i, size := range strings.Split(text, ",") {
		opt := Options{Seed: 1, Program: os.Args[0], Env: []string{serveKey + "=1"}, Dir: t.TempDir(), Length: length}
		endpoints, senders, _ := strings.Cut(size, "x")
		count, err := strconv.Atoi(endpoints)
		if err == nil && senders != "" {
			opt.Senders, err = strconv.Atoi(senders)
		}
		if opt.Destinations = count / 2; err != nil {
			t.Fatal(err)
		}
		usage, err := Measure(opt)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d endpoints, %d senders: %v of processor time, %.1f MB, %d descriptors, %d connections, %.0f KB of "+
			"lists, %.3f served",
			usage.Endpoints, usage.Senders, usage.CPU, usage.PeakMB, usage.MaxDescriptors, usage.Connections,
			usage.ListKB, usage.DeliveredShare)
		for _, violation := range usage.Violations {
			t.Error(violation)
		}
		if i == 0 {
			first = usage
		}
		thousands := float64(usage.Endpoints) / 1000
		if usage.PeakMB > 1.5*first.PeakMB+8+4*thousands || usage.MaxDescriptors > 2*first.MaxDescriptors+40 ||
			usage.Connections > first.Connections*5/2+40 || usage.ListKB > 2*first.ListKB+64+500*thousands ||
			usage.DeliveredShare < 0.85*first.DeliveredShare {
			t.Errorf("resource use exceeds a bound: %+v, first size: %+v", usage, first)
		}
	}
}
