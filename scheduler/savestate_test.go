package scheduler

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"testing"
)

// stateSettings returns settings with one class of each idempotency. Endpoints of the machine type "one" share the
// limit of their destination, those of "apart" have their own limits.
func stateSettings(senders int) (settings Settings) {
	settings.Senders = senders
	settings.TickUs = 1000
	settings.Discovery = DiscoveryPushed
	settings.CapacityHints = HintsNone
	settings.MachineTypes = []string{"one", "apart"}
	settings.Classes = []Class{
		{Name: "safe", Idempotency: Idempotent, LatencyObjectiveUs: 1e6, DeadlineUs: 6e6, PriorityWeight: 1},
		{
			Name: "key", Idempotency: IdempotentByKey, KeyScope: KeyScopeAll, LatencyObjectiveUs: 1e6, DeadlineUs: 12e6,
			KeyWindowUs: 9e6, PriorityWeight: 2,
		},
		{Name: "once", Idempotency: NotIdempotent, LatencyObjectiveUs: 1e6, DeadlineUs: 12e6, PriorityWeight: 4},
	}
	settings.Calls.EndpointLimits = []bool{false, true}
	settings.Calls.MessagesPerCall = []int{3, 1}
	settings.Calls.ConcurrentCalls = 6
	settings.Limits.MaxMessages = 60
	settings.Limits.MaxAttempts = 8
	settings.Limits.CanSendRetryAfter = true
	settings.Limits.MaxRetryAfterUs = 3e6
	settings.Limits.CanCancel = true
	settings.Limits.ConnectTimeoutUs = 1500e3
	settings.Limits.KeepAliveUs = 5e6
	settings.Limits.StreamsPerConnection = 1
	settings.Rules.OverloadWindowUs = 2e6
	settings.Rules.SlowStartInitialShare = 0.2
	settings.Rules.OverloadMultiple = 2
	settings.Rules.SlowStartUs = 10e6
	settings.LoadReport.Mode = ReportInAnswers
	settings.LoadReport.Fields = []string{"x0", "x1"}
	return settings
}

// randomDriver drives a scheduler with random requests and outcomes.
type randomDriver struct {
	sched    *Scheduler
	rng      *rand.Rand
	now      int64
	requests int               // number of requests so far
	inFlight map[string]Action // attempts in flight, by message id
}

// step runs one step of the scheduler and records the attempts that it starts.
func (driver *randomDriver) step(events ...Event) []Action {
	actions := driver.sched.Step(driver.now, events)
	for _, action := range actions {
		if action.Kind == StartAttempt {
			driver.inFlight[action.ID] = Action{
				ID: action.ID, Attempt: driver.sched.messages[action.ID].attempts - 1,
				Endpoint: action.Endpoint,
			}
		}
	}
	return actions
}

// drawEvents returns the events of the next step: up to two requests, and random outcomes of some of the attempts in
// flight.
func (driver *randomDriver) drawEvents() (events []Event) {
	driver.now += int64(driver.rng.Intn(40_000)) + 1000
	for range driver.rng.Intn(3) {
		driver.requests++
		class := driver.sched.settings.Classes[driver.rng.Intn(3)]
		events = append(events, Event{
			Kind: RequestAccepted, ID: fmt.Sprint("m", driver.requests), Class: class.Name,
			Destination: int64(driver.rng.Intn(3)), Deadline: driver.now + class.DeadlineUs,
		})
	}
	for _, id := range slices.Sorted(func(yield func(string) bool) {
		for id := range driver.inFlight {
			if !yield(id) {
				return
			}
		}
	}) {
		if driver.rng.Intn(3) > 0 {
			continue
		}
		action := driver.inFlight[id]
		delete(driver.inFlight, id)
		event := Event{
			Kind: AttemptFinished, ID: id, Attempt: action.Attempt, Endpoint: action.Endpoint,
			LoadReport: []float64{driver.rng.Float64(), 20},
		}
		switch choice := driver.rng.Intn(10); {
		case choice < 6:
			event.Outcome, event.Final = OutcomeSuccess, true
		case choice == 6:
			event.Outcome, event.RetryAfterMs = OutcomeRejected, int64(driver.rng.Intn(400))
		default:
			event.Outcome = []Outcome{OutcomeFailed, OutcomeTimedOut, OutcomeConnectFailed, OutcomeReset}[driver.rng.Intn(4)]
		}
		events = append(events, event)
	}
	return events
}

// A state that is encoded as JSON and restored must be exactly the same, and the restored scheduler must make the same
// decisions. This covers the times of Retry-Afters, the calls in flight, concurrency limits, slow starts and the times
// of pending messages.
func TestStateIsComplete(t *testing.T) {
	for seed := range int64(60) {
		settings := stateSettings([]int{1, 2, 300}[seed%3])
		sched, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		driver := &randomDriver{sched: sched, rng: rand.New(rand.NewSource(seed)), now: 1e15, inFlight: map[string]Action{}}
		list := Event{Kind: EndpointsUpdated, Update: UpdateFull}
		for i := range 6 {
			list.Endpoints = append(list.Endpoints, Endpoint{
				Addr: fmt.Sprint("e", i), MachineType: settings.MachineTypes[i%3/2],
				Destination: int64(i % 3), State: StatusLive,
			})
		}
		driver.step(list)
		for range 50 + driver.rng.Intn(200) {
			driver.step(driver.drawEvents()...)
		}
		saved := sched.State()
		text, err := json.Marshal(saved)
		if err != nil {
			t.Fatal(err)
		}
		var decoded State
		if err := json.Unmarshal(text, &decoded); err != nil {
			t.Fatal(err)
		}
		restored, err := New(settings, seed)
		if err != nil {
			t.Fatal(err)
		}
		if err := restored.RestoreState(decoded, driver.now); err != nil {
			t.Fatal(err)
		}
		if restoredState := restored.State(); !reflect.DeepEqual(stateJSON(restoredState), stateJSON(saved)) {
			t.Fatalf("seed %d: restored state\n%s\nsaved state\n%s", seed, stateJSON(restoredState), text)
		}
		if sched.callsInFlight != restored.callsInFlight || sched.acceptedCount != restored.acceptedCount ||
			len(sched.InFlight()) != len(restored.InFlight()) ||
			len(driver.inFlight) != len(restored.InFlight()) {
			t.Fatalf("seed %d: calls in flight %d, restored %d; accepted messages %d, restored %d; or the attempts differ", seed,
				sched.callsInFlight, restored.callsInFlight, sched.acceptedCount, restored.acceptedCount)
		}
		driver.now += 1000
		startedAttempts := func(actions []Action) (list []string) {
			for _, action := range actions {
				if action.Kind == StartAttempt {
					list = append(list, action.ID+" to "+action.Endpoint)
				}
			}
			return list
		}
		restored.rng, sched.rng = rand.New(rand.NewSource(1)), rand.New(rand.NewSource(1))
		events := driver.drawEvents()
		if want, got := startedAttempts(sched.Step(driver.now, events)),
			startedAttempts(restored.Step(driver.now, events)); !slices.Equal(want, got) {
			t.Fatalf("seed %d: the next attempts are %v, of the restored scheduler %v", seed, want, got)
		}
	}
}

// stateJSON returns a state in its stored form.
func stateJSON(state State) string {
	text, err := json.Marshal(state)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// RestoreState must return an error for a state of another version or with missing values. The caller then relies on
// the journal alone.
func TestRestoreStateRejectsInvalidState(t *testing.T) {
	sched, err := New(stateSettings(1), 1)
	if err != nil {
		t.Fatal(err)
	}
	sched.Step(1, []Event{{
		Kind: EndpointsUpdated, Update: UpdateFull,
		Endpoints: []Endpoint{{Addr: "e", MachineType: "one", State: StatusLive}},
	}})
	valid := sched.State()
	for name, change := range map[string]func(*State){
		"form":     func(state *State) { state.Format++ },
		"numbers":  func(state *State) { state.Floats = append(state.Floats, 1) },
		"route":    func(state *State) { state.Destinations[0].Route.Integers = nil },
		"endpoint": func(state *State) { state.Destinations[0].Endpoints[0].Counts = nil },
		"message":  func(state *State) { state.Messages = []MessageState{{ID: "m", Class: "safe"}} },
		"call":     func(state *State) { state.Calls = []CallState{{Endpoint: "nowhere"}} },
	} {
		var state State
		if err := json.Unmarshal([]byte(stateJSON(valid)), &state); err != nil {
			t.Fatal(err)
		}
		change(&state)
		successor, _ := New(stateSettings(1), 1)
		if successor.RestoreState(state, 1) == nil {
			t.Errorf("%s: RestoreState accepted an invalid state", name)
		}
	}
}

// A hot restart after an address had moved to another destination: the endpoint that has the address now got no more
// calls, and the outcome of a call to the earlier one counted for it.
func TestHotRestartWithAMovedAddress(t *testing.T) {
	rig := newRig(t, stateSettings(5), liveEndpoint("a", "one", "z", 2), liveEndpoint("b", "one", "z", 1))
	earlier := rig.request("safe", 2)
	if rig.step(earlier); rig.sentTo[earlier.ID] != "a" {
		t.Fatal("the message for destination 2 is not sent")
	}
	rig.advance(10*ms, Event{Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: []Endpoint{
		liveEndpoint("a", "one", "z", 1), liveEndpoint("b", "one", "z", 2),
	}})
	state := rig.sched.State()
	restarted, err := New(stateSettings(5), 9)
	if err != nil {
		t.Fatal(err)
	}
	if err := restarted.RestoreState(goldenState(t, goldenJSON(t, state)), rig.now); err != nil {
		t.Fatal(err)
	}
	if again := restarted.State(); !reflect.DeepEqual(again, state) {
		t.Errorf("state after the restart\n%+v\nbefore\n%+v", again, state)
	}
	rig.sched = restarted
	event := rig.request("safe", 1)
	if rig.step(event); rig.sentTo[event.ID] != "a" {
		t.Errorf("a message for destination 1 is sent to %q, want the endpoint that moved there", rig.sentTo[event.ID])
	}
	rig.advance(50*ms, rig.outcome(earlier.ID, OutcomeFailed))
	if failures := restarted.destination(1).route.health.consecutiveFailures; failures > 0 {
		t.Errorf("%d failures at destination 1, which got no failed call", failures)
	}
	if failures := restarted.destination(2).route.health.consecutiveFailures; failures != 1 {
		t.Errorf("%d failures at destination 2, want 1", failures)
	}
}
