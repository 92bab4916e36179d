package scheduler

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// stateSimulation returns a simulation in the middle of its run, with pending messages, calls in flight and
// destinations of every kind.
func stateSimulation(t *testing.T) *goldenSimulation {
	t.Helper()
	scenario := goldenScenario{
		name: "saved", load: 1.5, limit: 15, changeProbability: 0.02, peerEvents: true,
		changeSettings: func(s *Settings) { s.Senders = 5 },
	}
	sim := newGoldenSimulation(t, scenario, goldenWriter(t, scenario.name))
	sim.run(1500)
	for len(sim.sched.State().Calls) == 0 {
		sim.run(1)
	}
	return sim
}

// learnedStateSimulation returns a simulation of one of many senders, whose learned state contains limits, outages
// and endpoints with their own routes.
func learnedStateSimulation(t *testing.T) *goldenSimulation {
	t.Helper()
	scenario := goldenScenario{
		name: "remembered", load: 0.6, limit: 6, changeProbability: 0.02,
		changeSettings: func(s *Settings) { s.Senders = 300 },
	}
	sim := newGoldenSimulation(t, scenario, goldenWriter(t, scenario.name))
	sim.run(1500)
	return sim
}

// checkGoldenJSON compares compact JSON with a golden file, which is indented for review, and returns the compact
// form of the file.
func checkGoldenJSON(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	var indented bytes.Buffer
	if err := json.Indent(&indented, got, "", "\t"); err != nil {
		t.Fatal(err)
	}
	indented.WriteByte('\n')
	checkGolden(t, name, indented.Bytes())
	indentedFile, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, indentedFile); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(compact.Bytes(), got) {
		t.Errorf("%s: the compact form of the golden file differs from the result", name)
	}
	return compact.Bytes()
}

// decodeStateStrictly decodes a state and fails the test for fields that the types do not have.
func decodeStateStrictly(t *testing.T, text []byte) (state State) {
	t.Helper()
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&state); err != nil {
		t.Errorf("the recorded state does not match the types: %v", err)
	}
	return state
}

// State must return the recorded bytes. A scheduler restored from them must return the same bytes and make the
// recorded decisions.
func TestGoldenState(t *testing.T) {
	sim := stateSimulation(t)
	text := checkGoldenJSON(t, "saved.json", goldenJSON(t, sim.sched.State()))
	if result := goldenJSON(t, decodeStateStrictly(t, text)); !bytes.Equal(result, text) {
		t.Error("the recorded state changes when it is decoded and encoded")
	}
	sim.hotRestart(text)
	if result := goldenJSON(t, sim.sched.State()); !bytes.Equal(result, text) {
		t.Errorf("state after the restart\n%s\nwant\n%s", result, text)
	}
	sum := sim.run(1000)
	checkGolden(t, "saved.txt", fmt.Appendf(nil, "%d %s\n", sim.actions, sum))
}

// A state that is restored with settings that lack one of its classes must leave out the requests of that class, except
// for those with an attempt in flight.
func TestGoldenStateWithFewerClasses(t *testing.T) {
	sim := stateSimulation(t)
	state := sim.sched.State()
	removed := state.Messages[0].Class
	sim.settings.Classes = slices.DeleteFunc(slices.Clone(sim.settings.Classes),
		func(class Class) bool { return class.Name == removed })
	sim.hotRestart(goldenJSON(t, state))
	checkGoldenJSON(t, "saved-fewer.json", goldenJSON(t, sim.sched.State()))
}

// LearnedState must return the recorded bytes, and a scheduler restored from them must make the recorded decisions.
func TestGoldenLearnedState(t *testing.T) {
	sim := learnedStateSimulation(t)
	text := checkGoldenJSON(t, "remembered.json", goldenJSON(t, sim.sched.LearnedState(20)))
	if encoded := goldenJSON(t, decodeStateStrictly(t, text)); !bytes.Equal(encoded, text) {
		t.Error("the recorded state changes when it is decoded and encoded")
	}
	checkGoldenJSON(t, "remembered-three.json", goldenJSON(t, sim.sched.LearnedState(3)))
	shifted := goldenState(t, text)
	shifted.ShiftTimes(-7000 * ms)
	checkGoldenJSON(t, "remembered-moved.json", goldenJSON(t, shifted))
	sim.restart(text)
	sum := sim.run(1000)
	checkGolden(t, "remembered.txt", fmt.Appendf(nil, "%d %s\n", sim.actions, sum))
}

// An incarnation that ends soon after its start must pass on the learned state that it received.
func TestGoldenLearnedStateOfAShortIncarnation(t *testing.T) {
	sim := learnedStateSimulation(t)
	sim.restart(goldenJSON(t, sim.sched.LearnedState(20)))
	sim.run(2)
	text := checkGoldenJSON(t, "remembered-early.json", goldenJSON(t, sim.sched.LearnedState(20)))
	if !bytes.Contains(text, []byte(`"First":`)) {
		t.Error("no route has an earliest time of its first call")
	}
	state := goldenState(t, text) // restored at once, before these times
	for i := range state.Destinations {
		state.Destinations[i].Endpoints = nil
	}
	successor := sim.newScheduler()
	if err := successor.RestoreLearnedState(state, sim.now); err != nil {
		t.Fatal(err)
	}
	checkGoldenJSON(t, "remembered-at-once.json", goldenJSON(t, successor.LearnedState(20)))
	sim.restart(text)
	sum := sim.run(500)
	checkGolden(t, "remembered-early.txt", fmt.Appendf(nil, "%d %s\n", sim.actions, sum))
}

// An incarnation that ends before it receives an endpoint list must pass on the learned state of endpoints. The
// state has one endpoint of each destination, since the order of several with the same priority depends on the
// iteration order of a map.
func TestGoldenLearnedStateBeforeTheFirstList(t *testing.T) {
	sim := learnedStateSimulation(t)
	state := sim.sched.LearnedState(20)
	for i := range state.Destinations {
		state.Destinations[i].Endpoints = state.Destinations[i].Endpoints[:min(1, len(state.Destinations[i].Endpoints))]
	}
	sim.sched = sim.newScheduler()
	if err := sim.sched.RestoreLearnedState(state, sim.now+300*ms); err != nil {
		t.Fatal(err)
	}
	checkGoldenJSON(t, "remembered-unmet.json", goldenJSON(t, sim.sched.LearnedState(20)))
}

// The errors of New, RestoreState and RestoreLearnedState must have the recorded texts.
func TestGoldenErrors(t *testing.T) {
	var lines strings.Builder
	addLine := func(name string, err error) { fmt.Fprintf(&lines, "%s: %v\n", name, err) }
	for _, tc := range []struct {
		name  string
		spoil func(*Settings)
	}{
		{"no class", func(s *Settings) { s.Classes = nil }},
		{"no worker", func(s *Settings) { s.Calls.ConcurrentCalls = 0 }},
		{"negative tick", func(s *Settings) { s.TickUs = -1 }},
		{"negative fall", func(s *Settings) { s.Rules.OverloadWindowUs = -1 }},
		{"negative return", func(s *Settings) { s.Rules.SlowStartUs = -1 }},
		{"negative rest", func(s *Settings) { s.Rules.KeyQuarantineUs = -1 }},
		{"negative retry", func(s *Settings) { s.Limits.MaxRetryAfterUs = -1 }},
		{"negative connect", func(s *Settings) { s.Limits.ConnectTimeoutUs = -1 }},
		{"negative ask", func(s *Settings) { s.Rules.MaxPollIntervalUs = -1 }},
		{"negative keepalive", func(s *Settings) { s.Limits.KeepAliveUs = -1 }},
		{"negative attempts", func(s *Settings) { s.Limits.MaxAttempts = -1 }},
		{"negative multiple", func(s *Settings) { s.Rules.OverloadMultiple = -1 }},
		{"negative share", func(s *Settings) { s.Rules.SlowStartInitialShare = -1 }},
		{"negative hold", func(s *Settings) { s.Limits.MaxMessages = -1 }},
		{"effect", func(s *Settings) { s.Classes[0].Idempotency = "twice" }},
		{"limit", func(s *Settings) { s.Classes[1].DeadlineUs = 0 }},
		{"aim", func(s *Settings) { s.Classes[1].LatencyObjectiveUs = -1 }},
		{"window", func(s *Settings) { s.Classes[1].KeyWindowUs = -1 }},
		{"worth", func(s *Settings) { s.Classes[1].PriorityWeight = -1 }},
	} {
		settings := goldenSettings()
		tc.spoil(&settings)
		_, err := New(settings, 1)
		addLine("new, "+tc.name, err)
	}
	saved, learned := stateSimulation(t).sched.State(), learnedStateSimulation(t).sched.LearnedState(20)
	for _, tc := range []struct {
		name  string
		spoil func(*State)
	}{
		{"form", func(state *State) { state.Format++ }},
		{"numbers", func(state *State) { state.Integers = nil }},
		{"destination", func(state *State) { state.Destinations[0].Integers = nil }},
		{"route", func(state *State) { state.Destinations[0].Route.Flags = nil }},
		{"endpoint", func(state *State) { state.Destinations[0].Endpoints[0].Flags = nil }},
		{"endpoint's route", func(state *State) { state.Destinations[1].Endpoints[0].OwnRoute.Counts = nil }},
		{"message", func(state *State) { state.Messages[0].Integers = nil }},
		{"call", func(state *State) { state.Calls[0].Endpoint = "nowhere" }},
	} {
		state := goldenState(t, goldenJSON(t, saved))
		tc.spoil(&state)
		addLine("load, "+tc.name,
			errorOnNewScheduler(t, func(sched *Scheduler) error { return sched.RestoreState(state, 2e9) }))
	}
	for _, tc := range []struct {
		name  string
		spoil func(*State)
	}{
		{"form", func(state *State) { state.Format++ }},
		{"destination", func(state *State) { state.Destinations[0].Floats = nil }},
		{"route", func(state *State) { state.Destinations[0].Route.Floats = nil }},
		{"no fault", func(*State) {}},
	} {
		state := goldenState(t, goldenJSON(t, learned))
		tc.spoil(&state)
		addLine("recall, "+tc.name,
			errorOnNewScheduler(t, func(sched *Scheduler) error { return sched.RestoreLearnedState(state, 2e9) }))
	}
	checkGolden(t, "errors.txt", []byte(lines.String()))
}

// errorOnNewScheduler returns the error of an operation on a new scheduler.
func errorOnNewScheduler(t *testing.T, operation func(*Scheduler) error) error {
	t.Helper()
	settings := goldenSettings()
	settings.Senders = 5
	sched, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	return operation(sched)
}
