package scheduler

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// The golden tests compare the behavior of this package with a recorded one. They show that a refactoring does not
// change it. After an intended change of behavior, record the golden files again and review the difference:
//
//	go test ./scheduler -run TestGolden -update-golden
//
// The hashes depend on floating-point results, which are the same on every architecture unless the compiler fuses
// multiplications with additions: where it does, as on arm64, build with -gcflags=all=-d=fmahash=qn. With -golden-log
// DIR, the text of each hash is written to a file in DIR, for comparison line by line.
var (
	updateGolden = flag.Bool("update-golden", false, "record the golden files anew")
	goldenLog    = flag.String("golden-log", "", "write the text of each scenario to this directory")
)

// goldenScenario is one simulated run of a scheduler.
type goldenScenario struct {
	name              string
	steps             int
	changeSettings    func(*Settings) // changes to goldenSettings
	load              float64         // mean number of requests per step
	limit             float64         // calls per second that each destination accepts; 0: unlimited
	changeProbability float64         // probability per step that a destination changes its condition
	handoverEvery     int             // number of steps between hot restarts; 0: never
	restartEvery      int             // number of steps between restarts with learned state; 0: never
	peerEvents        bool            // there are events from other senders
	shutdownEvery     int             // number of steps between ShutdownStarted events; 0: never
}

// goldenScenarios returns the scenarios of TestGoldenBehaviour. Their names are also the seeds.
func goldenScenarios() []goldenScenario {
	large := func(s *Settings) { s.Senders, s.Limits.MaxMessages = 300, 40 }
	five := func(s *Settings) { s.Senders = 5 }
	none := func(*Settings) {}
	return []goldenScenario{
		{name: "alone-steady", steps: 4000, changeSettings: none, load: 0.6},
		{name: "alone-limited", steps: 4000, changeSettings: none, load: 1.2, limit: 12, changeProbability: 0.002},
		{name: "alone-troubled", steps: 5000, changeSettings: none, load: 0.8, changeProbability: 0.02},
		{
			name: "alone-overload", steps: 4000, load: 4, limit: 20, changeProbability: 0.01,
			changeSettings: func(s *Settings) {
				s.Limits.MaxMessages, s.Calls.ValueDecay, s.Rules.OverloadWindowUs = 30, DecayHalving, 0
			},
		},
		{
			name: "five-on-request", steps: 4000, load: 0.8, limit: 30, changeProbability: 0.01, peerEvents: true,
			changeSettings: func(s *Settings) {
				s.Senders, s.Discovery, s.Rules.MaxPollIntervalUs = 5, DiscoveryOnRequest, 2000*ms
			},
		},
		{
			name: "five-neighbours", steps: 5000, changeSettings: five, load: 1, limit: 20, changeProbability: 0.01,
			peerEvents: true,
		},
		{
			name: "five-handover", steps: 4000, changeSettings: five, load: 1, limit: 20, changeProbability: 0.01,
			handoverEvery: 400, shutdownEvery: 1500,
		},
		{
			name: "five-restart", steps: 4000, changeSettings: five, load: 0.8, limit: 20, changeProbability: 0.01,
			restartEvery: 500, shutdownEvery: 490,
		},
		{name: "large-limited", steps: 5000, changeSettings: large, load: 0.5, limit: 4, changeProbability: 0.003},
		{
			name: "large-troubled", steps: 5000, changeSettings: large, load: 1.5, limit: 10, changeProbability: 0.02,
			peerEvents: true,
		},
		{
			name: "large-on-request", steps: 4000, load: 0.4, limit: 10, changeProbability: 0.01, handoverEvery: 700,
			changeSettings: func(s *Settings) { large(s); s.Discovery, s.Rules.MaxPollIntervalUs = DiscoveryOnRequest, 3000*ms },
		},
		{
			name: "large-restart", steps: 5000, changeSettings: large, load: 0.4, limit: 6, changeProbability: 0.01,
			restartEvery: 600, peerEvents: true,
		},
		{
			name: "large-restart-often", steps: 3000, changeSettings: large, load: 0.4, limit: 6, changeProbability: 0.01,
			restartEvery: 25,
		},
		{
			name: "large-hints", steps: 4000, load: 0.6, limit: 8, changeProbability: 0.01, restartEvery: 900,
			changeSettings: func(s *Settings) { large(s); s.CapacityHints, s.Limits.CanCancel = HintsRough, false },
		},
		{
			name: "large-no-caps", steps: 3000, load: 1.5, limit: 8, changeProbability: 0.01,
			changeSettings: func(s *Settings) {
				s.Senders, s.Limits.MaxMessages, s.Limits.MaxAttempts, s.Rules.KeyQuarantineUs,
					s.Classes[2].PriorityWeight = 300, 0, 0, 0, 0
			},
		},
		{
			name: "large-refused", steps: 3000, load: 0.3, limit: 1.02,
			changeSettings: func(s *Settings) {
				large(s)
				s.LoadReport.Mode, s.LoadReport.Fields, s.CapacityHints = ReportNone, nil, HintsRough
			},
		},
		{
			name: "alone-silent-reports", steps: 4000, load: 1, limit: 10, changeProbability: 0.015, restartEvery: 1300,
			handoverEvery: 800,
			changeSettings: func(s *Settings) {
				s.LoadReport.Mode, s.LoadReport.Fields, s.CapacityHints = ReportNone, nil, HintsExact
			},
		},
	}
}

// goldenSettings returns settings with classes of every idempotency and machine types with a shared limit, with
// limits of the endpoints and with batches.
func goldenSettings() Settings {
	settings := testSettings()
	settings.Classes = append(settings.Classes,
		Class{
			Name: "ordered", Idempotency: IdempotentByKey, KeyScope: KeyScopeAll, KeyWindowUs: 6000 * ms,
			LatencyObjectiveUs: 800 * ms, DeadlineUs: 12000 * ms,
			OrderedByKey: true, LateValue: 0.2, PriorityWeight: 2,
		},
		Class{
			Name: "stream", Idempotency: Idempotent, LatencyObjectiveUs: 1500 * ms, ObjectivePerWork: 1.5,
			DeadlineUs: 8000 * ms, Stream: true,
			LateValue: 0.1, PriorityWeight: 3,
		})
	settings.Zone = "z"
	settings.Zones = []string{"z", "y"}
	settings.Calls.ZoneFees = []float64{0.01, 0.2}
	settings.Costs.Handshake = 0.05
	settings.Costs.CrossZone = 0.1
	settings.Costs.WastedAttempt = 0.2
	settings.OverQuotaWeight = 0.3
	settings.Tenants = append(settings.Tenants, Tenant{"alpha", 3})
	settings.LoadReport.Mode = ReportInAnswers
	settings.LoadReport.Fields = []string{"x0", "x1"}
	return settings
}

func goldenJSON(t testing.TB, state State) []byte {
	t.Helper()
	text, err := json.Marshal(state)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func goldenState(t testing.TB, text []byte) (state State) {
	t.Helper()
	if err := json.Unmarshal(text, &state); err != nil {
		t.Fatal(err)
	}
	return state
}

// checkGolden compares a result with a golden file, or with -update-golden writes it to the file.
func checkGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *updateGolden {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if string(got) != string(want) {
		reportDifference(t, path, strings.Split(string(got), "\n"), strings.Split(string(want), "\n"))
	}
}

// reportDifference reports the first eight lines in which two texts differ.
func reportDifference(t *testing.T, path string, got, want []string) {
	t.Helper()
	t.Errorf("%s: %d lines, want %d", path, len(got), len(want))
	for i, reported := 0, 0; i < max(len(got), len(want)) && reported < 8; i++ {
		if gotLine, wantLine := elementOrZero(got, i), elementOrZero(want, i); gotLine != wantLine {
			t.Errorf("%s:%d: got %q, want %q", path, i+1, gotLine, wantLine)
			reported++
		}
	}
}

// goldenWriter returns the writer for the text of a scenario; see goldenLog.
func goldenWriter(t *testing.T, name string) io.Writer {
	t.Helper()
	if *goldenLog == "" {
		return io.Discard
	}
	file, err := os.Create(filepath.Join(*goldenLog, name+".txt"))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = file.Close() })
	return file
}

// The actions of the scheduler in each scenario must have the recorded hash.
func TestGoldenBehaviour(t *testing.T) {
	var lines strings.Builder
	for _, scenario := range goldenScenarios() {
		sim := newGoldenSimulation(t, scenario, goldenWriter(t, scenario.name))
		sum := sim.run(scenario.steps)
		fmt.Fprintf(&lines, "%s %d %d %s\n", scenario.name, scenario.steps, sim.actions, sum)
	}
	checkGolden(t, "behaviour.txt", []byte(lines.String()))
}
