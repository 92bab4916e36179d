package slowstartsoak

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"brackendale/internal/app"
	"brackendale/internal/testing/soak"
)

const serveKey = "BRACKENDALE_SLOWSTART_SERVE"

// TestMain runs the sender in child processes, with the platform's configuration.
func TestMain(m *testing.M) {
	if os.Getenv(serveKey) != "" {
		if err := app.Serve(context.Background(), "", app.Options{}); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// play runs a scenario and fails the test if senders that knew of an outage overloaded the recovering destination.
func play(t *testing.T, scenario Scenario) {
	t.Helper()
	scenario.Program, scenario.Env, scenario.Dir = os.Args[0], []string{serveKey + "=1"}, t.TempDir()
	if keep := os.Getenv("BRACKENDALE_SOAK_KEEP"); keep != "" {
		scenario.Dir = fmt.Sprintf("%s/%d", keep, scenario.Seed)
	}
	report, err := scenario.Run()
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if report.Broken > 0 {
		t.Errorf("%d of %d recoveries were overloaded by senders that knew of the outage", report.Broken,
			len(report.Recovery))
	}
	if report.Delivered < report.Submitted/3 {
		t.Errorf("only %d of %d messages were delivered", report.Delivered, report.Submitted)
	}
}

// Destinations that many senders share fall again, soon after their return, under the calls of senders that knew of
// the outage.
func TestSoakOfSharedRecoveries(t *testing.T) {
	seeds, err := soak.ParseSeeds(os.Getenv("BRACKENDALE_SOAK"), 1, 2)
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			play(t, Draw(seed))
		})
	}
}

// Incident 489239: senders that had one or two failed calls in an outage overload the destination that has come back.
func TestSendersWithOneFailureOverloadARecoveredDestination(t *testing.T) {
	play(t, Scenario{
		Seed: 49, Senders: 49, MessageRate: 4, Destinations: 13, Endpoints: 2, Load: 1.2, Observation: slowStartTime,
		Outages: []Outage{{
			Destination: 3, Kind: MostlyFailing, Length: 7200 * time.Millisecond, ClumpShare: 0.3,
		}},
	})
}
