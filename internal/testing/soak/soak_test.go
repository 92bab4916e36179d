package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"brackendale/internal/app"
	"brackendale/internal/testing/faults"
)

const serveKey = "BRACKENDALE_SOAK_SERVE"

// A child process is the sender, on the platform's configuration.
func TestMain(m *testing.M) {
	if os.Getenv(serveKey) != "" {
		faults.Meet()
		if err := app.Serve(context.Background(), "", app.Options{}); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// seeds are those of BRACKENDALE_SOAK, as "from-to", or a few fixed ones.
func seeds(t *testing.T) (list []int64) {
	text := os.Getenv("BRACKENDALE_SOAK")
	if text == "" {
		return []int64{1, 2, 3, 4, 5, 6}
	}
	from, to, _ := strings.Cut(text, "-")
	a, err := strconv.ParseInt(from, 10, 64)
	b, err2 := strconv.ParseInt(to, 10, 64)
	if err != nil || err2 != nil {
		t.Fatalf("BRACKENDALE_SOAK=%q is not from-to", text)
	}
	for ; a <= b; a++ {
		list = append(list, a)
	}
	return list
}

// Days of drawn troubles, several in one window, against real processes that are ended and killed
// in series: no rule is broken.
func TestSoak(t *testing.T) { soak(t, Options{}, seeds(t)) }

// Days with upgrades in series under load, by a launcher that holds the clients' socket: open clients are answered
// throughout, and those that never end a command are closed.
func TestSoakOfUpgrades(t *testing.T) { soak(t, Options{Upgrades: true}, seeds(t)) }

// A drain that the agent has while an open watch is silent, and that it cannot tell any more by the time of the next
// poll, is not known to the next process: the drained endpoint is sent to.
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
			opt.Length = 25 * time.Second
			if text := os.Getenv("BRACKENDALE_SOAK_STRACE"); text != "" { // by hand: its words, "-e inject=..." for one
				opt.Program, opt.Args = "strace", append(strings.Fields("-D -f -qq -o "+dir+"/strace "+text), os.Args[0])
			}
			r, err := Run(opt)
			if err != nil {
				t.Fatal(err)
			}
			t.Log(r)
			for _, x := range r.Broken {
				t.Error(x)
			}
			if len(r.Broken) > 0 {
				t.Log(strings.Join(r.Acts, "\n"))
			}
			if r.Counts["delivered"] < 50 {
				t.Errorf("only %d were delivered: little is tested", r.Counts["delivered"])
			}
		})
	}
}

// What a sender needs grows little with the endpoints that there are: descriptors, connections,
// bytes of lists, memory and the share served stay within the bounds for larger fleets. By hand
// BRACKENDALE_GROWTH names the endpoints, and the senders that share them,
// "200x300,800x300,3200x900", and the figures are told with the processor time.
func TestGrowthOfTheFleet(t *testing.T) {
	text, length := os.Getenv("BRACKENDALE_GROWTH"), 20*time.Second
	if text == "" {
		text, length = "20,120", 5*time.Second
	}
	var first Need
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
		n, err := Measure(opt)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%d endpoints, %d senders: %v of processor time, %.1f MB, %d descriptors, %d connections, %.0f KB of "+
			"lists, %.3f served",
			n.Endpoints, n.Senders, n.CPU, n.PeakMB, n.Descriptors, n.Connections, n.ListKB, n.Served)
		for _, x := range n.Broken {
			t.Error(x)
		}
		if i == 0 {
			first = n
		}
		thousands := float64(n.Endpoints) / 1000
		if n.PeakMB > 1.5*first.PeakMB+8+4*thousands || n.Descriptors > 2*first.Descriptors+40 ||
			n.Connections > first.Connections*5/2+40 || n.ListKB > 2*first.ListKB+64+500*thousands ||
			n.Served < 0.85*first.Served {
			t.Errorf("over a bound: %+v against %+v", n, first)
		}
	}
}
