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

// stateWorld is a world in the middle of a run, with messages pending, calls in flight and
// destinations of every kind.
func stateWorld(t *testing.T) *goldenWorld {
	t.Helper()
	scenario := goldenScenario{
		name: "saved", load: 1.5, limit: 15, trouble: 0.02, peerEvents: true,
		change: func(s *Settings) { s.Senders = 5 },
	}
	world := newGoldenWorld(t, scenario, goldenWriter(t, scenario.name))
	world.run(1500)
	return world
}

// learnedWorld is a world of many senders whose learned state holds limits, outages and
// endpoints with routes of their own.
func learnedWorld(t *testing.T) *goldenWorld {
	t.Helper()
	scenario := goldenScenario{
		name: "remembered", load: 0.6, limit: 6, trouble: 0.02,
		change: func(s *Settings) { s.Senders = 300 },
	}
	world := newGoldenWorld(t, scenario, goldenWriter(t, scenario.name))
	world.run(1500)
	return world
}

// checkGoldenJSON compares compact JSON with a golden file, which is indented for review, and returns the file in
// compact form.
func checkGoldenJSON(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	var indented bytes.Buffer
	if err := json.Indent(&indented, got, "", "\t"); err != nil {
		t.Fatal(err)
	}
	indented.WriteByte('\n')
	checkGolden(t, name, indented.Bytes())
	text, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	if err != nil {
		t.Fatal(err)
	}
	var compact bytes.Buffer
	if err := json.Compact(&compact, text); err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(compact.Bytes(), got) {
		t.Errorf("%s: the compact form differs", name)
	}
	return compact.Bytes()
}

// strictState reads a state and rejects fields that the types do not have.
func strictState(t *testing.T, text []byte) (state State) {
	t.Helper()
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&state); err != nil {
		t.Errorf("the recorded state no longer fits the types: %v", err)
	}
	return state
}

// TestGoldenSaved: State gives the recorded bytes; restored, they give the same bytes again and
// the recorded decisions.
func TestGoldenSaved(t *testing.T) {
	world := stateWorld(t)
	text := checkGoldenJSON(t, "saved.json", goldenJSON(t, world.sched.State()))
	if again := goldenJSON(t, strictState(t, text)); !bytes.Equal(again, text) {
		t.Error("decoding and encoding the recorded state changes it")
	}
	world.handOver(text)
	if again := goldenJSON(t, world.sched.State()); !bytes.Equal(again, text) {
		t.Errorf("saved after loading\n%s\nwant\n%s", again, text)
	}
	sum := world.run(1000)
	checkGolden(t, "saved.txt", fmt.Appendf(nil, "%d %s\n", world.actions, sum))
}

// TestGoldenSavedFewerClasses: restored under settings without one of its classes, a state
// leaves out the requests of that class.
func TestGoldenSavedFewerClasses(t *testing.T) {
	world := stateWorld(t)
	state := world.sched.State()
	removed := state.Messages[0].Class
	world.settings.Classes = slices.DeleteFunc(slices.Clone(world.settings.Classes),
		func(class Class) bool { return class.Name == removed })
	world.handOver(goldenJSON(t, state))
	checkGoldenJSON(t, "saved-fewer.json", goldenJSON(t, world.sched.State()))
}

// TestGoldenRemembered: LearnedState gives the recorded bytes; restored, they give the recorded
// decisions.
func TestGoldenRemembered(t *testing.T) {
	world := learnedWorld(t)
	text := checkGoldenJSON(t, "remembered.json", goldenJSON(t, world.sched.LearnedState(20)))
	if again := goldenJSON(t, strictState(t, text)); !bytes.Equal(again, text) {
		t.Error("decoding and encoding the recorded state changes it")
	}
	checkGoldenJSON(t, "remembered-three.json", goldenJSON(t, world.sched.LearnedState(3)))
	moved := goldenState(t, text)
	moved.ShiftTimes(-7000 * ms)
	checkGoldenJSON(t, "remembered-moved.json", goldenJSON(t, moved))
	world.restart(text)
	sum := world.run(1000)
	checkGolden(t, "remembered.txt", fmt.Appendf(nil, "%d %s\n", world.actions, sum))
}

// TestGoldenRememberedEarly: an incarnation that ends soon after its start passes on the learned
// state that it had.
func TestGoldenRememberedEarly(t *testing.T) {
	world := learnedWorld(t)
	world.restart(goldenJSON(t, world.sched.LearnedState(20)))
	world.run(2)
	text := checkGoldenJSON(t, "remembered-early.json", goldenJSON(t, world.sched.LearnedState(20)))
	if !bytes.Contains(text, []byte(`"First":`)) {
		t.Error("no route has a time before which it must not be called")
	}
	at := goldenState(t, text) // restored at once, while such a time lies ahead
	for i := range at.Destinations {
		at.Destinations[i].Endpoints = nil
	}
	next := world.newSchedulerOf()
	if err := next.RestoreLearnedState(at, world.now); err != nil {
		t.Fatal(err)
	}
	checkGoldenJSON(t, "remembered-at-once.json", goldenJSON(t, next.LearnedState(20)))
	world.restart(text)
	sum := world.run(500)
	checkGolden(t, "remembered-early.txt", fmt.Appendf(nil, "%d %s\n", world.actions, sum))
}

// TestGoldenRememberedUnmet: an incarnation that ends before its first list passes on the
// learned state of endpoints. It has one endpoint of each destination, since the order of
// several that are equally urgent is not fixed: they come out of a map.
func TestGoldenRememberedUnmet(t *testing.T) {
	world := learnedWorld(t)
	state := world.sched.LearnedState(20)
	for i := range state.Destinations {
		state.Destinations[i].Endpoints = state.Destinations[i].Endpoints[:min(1, len(state.Destinations[i].Endpoints))]
	}
	world.sched = world.newSchedulerOf()
	if err := world.sched.RestoreLearnedState(state, world.now+300*ms); err != nil {
		t.Fatal(err)
	}
	checkGoldenJSON(t, "remembered-unmet.json", goldenJSON(t, world.sched.LearnedState(20)))
}

// TestGoldenErrors records the texts of the errors that New, RestoreState and RestoreLearnedState
// return.
func TestGoldenErrors(t *testing.T) {
	var lines strings.Builder
	note := func(what string, err error) { fmt.Fprintf(&lines, "%s: %v\n", what, err) }
	for _, tc := range []struct {
		what  string
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
		note("new, "+tc.what, err)
	}
	saved, remembered := stateWorld(t).sched.State(), learnedWorld(t).sched.LearnedState(20)
	for _, tc := range []struct {
		what  string
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
		note("load, "+tc.what, errorOf(t, func(sched *Scheduler) error { return sched.RestoreState(state, 2e9) }))
	}
	for _, tc := range []struct {
		what  string
		spoil func(*State)
	}{
		{"form", func(state *State) { state.Format++ }},
		{"destination", func(state *State) { state.Destinations[0].Floats = nil }},
		{"route", func(state *State) { state.Destinations[0].Route.Floats = nil }},
		{"no fault", func(*State) {}},
	} {
		state := goldenState(t, goldenJSON(t, remembered))
		tc.spoil(&state)
		note("recall, "+tc.what, errorOf(t, func(sched *Scheduler) error { return sched.RestoreLearnedState(state, 2e9) }))
	}
	checkGolden(t, "errors.txt", []byte(lines.String()))
}

// errorOf is the error of an action on a new scheduler.
func errorOf(t *testing.T, do func(*Scheduler) error) error {
	t.Helper()
	settings := goldenSettings()
	settings.Senders = 5
	sched, err := New(settings, 1)
	if err != nil {
		t.Fatal(err)
	}
	return do(sched)
}
