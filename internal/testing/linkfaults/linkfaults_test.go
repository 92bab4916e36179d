package linkfaults

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"brackendale/internal/app"
	"brackendale/internal/testing/faults"
	"brackendale/internal/testing/fleet"
	"brackendale/internal/testing/soak"
)

const serveKey = "BRACKENDALE_LINKFAULTS_SERVE"

// TestMain runs the sender in child processes, with the platform's configuration.
func TestMain(m *testing.M) {
	if os.Getenv(serveKey) != "" {
		faults.Inject()
		if err := app.Serve(context.Background(), "", app.Options{}); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

const (
	playLength   = 6 * time.Second
	playDeadline = 1200 * time.Millisecond
	// faultyPercent is the share of connections with a fault: one in five.
	faultyPercent = 20
)

// play runs a sender without any fault but those of its links, and fails the test for each violation.
func play(t *testing.T, seed int64, links soak.LinkOptions) {
	t.Helper()
	t.Parallel()
	links.Percent, links.Deadline = faultyPercent, playDeadline
	report, err := soak.Run(soak.Options{
		Seed: seed, Program: os.Args[0], Env: []string{serveKey + "=1"}, Dir: t.TempDir(), Length: playLength,
		Quiet: true, Links: &links,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if len(report.Violations) > 0 {
		t.Errorf("%d violations, the first ones:\n%s", len(report.Violations),
			strings.Join(report.Violations[:min(5, len(report.Violations))], "\n"))
	}
}

// A notice waits behind the silence of another connection to the agent, and its message's end is late.
func TestNoticeWaitsBehindASilentConnection(t *testing.T) {
	for seed, fault := range []fleet.RelayFault{
		fleet.RelaySilent, fleet.RelaySwallowed, fleet.RelayNeverRead, fleet.RelayLateResponse, fleet.RelaySilentInResponse,
	} {
		t.Run(fault.String(), func(t *testing.T) {
			play(t, int64(901+seed), soak.LinkOptions{Agent: []fleet.RelayFault{fault}})
		})
	}
}

// A call that was given up is read whole by its endpoint after its message has ended.
func TestCallDeliveredBehindItsEnd(t *testing.T) {
	for seed, fault := range []fleet.RelayFault{fleet.RelayStopped, fleet.RelayThrottled} {
		t.Run(fault.String(), func(t *testing.T) {
			play(t, int64(911+seed), soak.LinkOptions{Endpoints: []fleet.RelayFault{fault}, LargePercent: 60})
		})
	}
}

// A fault of one link ends messages late or never, sends calls behind the end, or leaves clients without an answer.
func TestEveryFaultOfEveryLink(t *testing.T) {
	options := map[string]func(fault []fleet.RelayFault) soak.LinkOptions{
		"endpoints": func(fault []fleet.RelayFault) soak.LinkOptions {
			return soak.LinkOptions{Endpoints: fault, LargePercent: 30}
		},
		"agent": func(fault []fleet.RelayFault) soak.LinkOptions { return soak.LinkOptions{Agent: fault} },
		"clients": func(fault []fleet.RelayFault) soak.LinkOptions {
			return soak.LinkOptions{Clients: fault, HalfClosePercent: 30}
		},
	}
	for number, fault := range fleet.RelayFaults() {
		for _, link := range []string{"endpoints", "agent", "clients"} {
			t.Run(fmt.Sprint(link, "/", fault), func(t *testing.T) {
				play(t, int64(1000+number), options[link]([]fleet.RelayFault{fault}))
			})
		}
	}
}

// A client that ends its sending behind its request gets no answer.
func TestHalfClosedClientWithoutAnswer(t *testing.T) {
	play(t, 921, soak.LinkOptions{HalfClosePercent: 50})
}

// The sender stands still once nobody reads its log: nothing is answered, ended or sent any more.
func TestLogThatNobodyReads(t *testing.T) {
	play(t, 931, soak.LinkOptions{SilentLog: true})
}

// A client that ends its sending behind its request gets no answer if the process stood still before the request came.
func TestHalfClosedClientBehindAPause(t *testing.T) {
	play(t, 922, soak.LinkOptions{HalfClosePercent: 50, Pause: 1200 * time.Millisecond})
}
