package scheduler

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"reflect"
	"slices"
	"testing"
)

// stateSettings has destinations that share a limit and some whose endpoints have limits of
// their own.
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

// randomPlayer drives a scheduler whose destinations answer at random, and keeps the attempts in
// flight.
type randomPlayer struct {
	sched    *Scheduler
	rng      *rand.Rand
	now      int64
	requests int
	inFlight map[string]Action
}

func (p *randomPlayer) step(events ...Event) []Action {
	actions := p.sched.Step(p.now, events)
	for _, action := range actions {
		if action.Kind == StartAttempt {
			p.inFlight[action.ID] = Action{
				ID: action.ID, Attempt: p.sched.messages[action.ID].attempts - 1,
				Endpoint: action.Endpoint,
			}
		}
	}
	return actions
}

// drawEvents draws what comes next: arrivals, and outcomes of attempts in flight.
func (p *randomPlayer) drawEvents() (events []Event) {
	p.now += int64(p.rng.Intn(40_000)) + 1000
	for range p.rng.Intn(3) {
		p.requests++
		class := p.sched.settings.Classes[p.rng.Intn(3)]
		events = append(events, Event{
			Kind: RequestAccepted, ID: fmt.Sprint("m", p.requests), Class: class.Name, Destination: int64(p.rng.Intn(3)),
			Deadline: p.now + class.DeadlineUs,
		})
	}
	for _, id := range slices.Sorted(func(yield func(string) bool) {
		for id := range p.inFlight {
			if !yield(id) {
				return
			}
		}
	}) {
		if p.rng.Intn(3) > 0 {
			continue
		}
		action := p.inFlight[id]
		delete(p.inFlight, id)
		event := Event{
			Kind: AttemptFinished, ID: id, Attempt: action.Attempt, Endpoint: action.Endpoint,
			LoadReport: []float64{p.rng.Float64(), 20},
		}
		switch k := p.rng.Intn(10); {
		case k < 6:
			event.Outcome, event.Final = OutcomeSuccess, true
		case k == 6:
			event.Outcome, event.RetryAfterMs = OutcomeRejected, int64(p.rng.Intn(400))
		default:
			event.Outcome = []Outcome{OutcomeFailed, OutcomeTimedOut, OutcomeConnectFailed, OutcomeReset}[p.rng.Intn(4)]
		}
		events = append(events, event)
	}
	return events
}

// A state that is written as JSON and restored is the same to the last digit, and so are the
// next decisions: waits, calls in use, concurrency limits, slow starts and the times of pending
// messages.
func TestStateIsComplete(t *testing.T) {
	for seed := range int64(60) {
		set := stateSettings([]int{1, 2, 300}[seed%3])
		sched, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		p := &randomPlayer{sched: sched, rng: rand.New(rand.NewSource(seed)), now: 1e15, inFlight: map[string]Action{}}
		list := Event{Kind: EndpointsUpdated, Update: UpdateFull}
		for i := range 6 {
			list.Endpoints = append(list.Endpoints, Endpoint{
				Addr: fmt.Sprint("e", i), MachineType: set.MachineTypes[i%3/2],
				Destination: int64(i % 3), State: StatusLive,
			})
		}
		p.step(list)
		for range 50 + p.rng.Intn(200) {
			p.step(p.drawEvents()...)
		}
		saved := sched.State()
		text, err := json.Marshal(saved)
		if err != nil {
			t.Fatal(err)
		}
		var back State
		if err := json.Unmarshal(text, &back); err != nil {
			t.Fatal(err)
		}
		to, err := New(set, seed)
		if err != nil {
			t.Fatal(err)
		}
		if err := to.RestoreState(back, p.now); err != nil {
			t.Fatal(err)
		}
		if again := to.State(); !reflect.DeepEqual(stateJSON(again), stateJSON(saved)) {
			t.Fatalf("seed %d: loaded\n%s\nsaved\n%s", seed, stateJSON(again), text)
		}
		if sched.callsInFlight != to.callsInFlight || sched.acceptedCount != to.acceptedCount ||
			len(sched.InFlight()) != len(to.InFlight()) ||
			len(p.inFlight) != len(to.InFlight()) {
			t.Fatalf("seed %d: calls %d and %d, accepted %d and %d", seed, sched.callsInFlight, to.callsInFlight,
				sched.acceptedCount, to.acceptedCount)
		}
		p.now += 1000
		issued := func(actions []Action) (list []string) {
			for _, action := range actions {
				if action.Kind == StartAttempt {
					list = append(list, action.ID+" to "+action.Endpoint)
				}
			}
			return list
		}
		to.rng, sched.rng = rand.New(rand.NewSource(1)), rand.New(rand.NewSource(1))
		events := p.drawEvents()
		if a, b := issued(sched.Step(p.now, events)), issued(to.Step(p.now, events)); !slices.Equal(a, b) {
			t.Fatalf("seed %d: next leave %v, after loading %v", seed, a, b)
		}
	}
}

func stateJSON(state State) string {
	text, err := json.Marshal(state)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// A state of another version or with missing parts is an error: the journal alone counts then.
func TestRestoreStateRejectsInvalidState(t *testing.T) {
	sched, err := New(stateSettings(1), 1)
	if err != nil {
		t.Fatal(err)
	}
	sched.Step(1, []Event{{
		Kind: EndpointsUpdated, Update: UpdateFull,
		Endpoints: []Endpoint{{Addr: "e", MachineType: "one", State: StatusLive}},
	}})
	good := sched.State()
	for name, change := range map[string]func(*State){
		"form":     func(state *State) { state.Format++ },
		"numbers":  func(state *State) { state.Floats = append(state.Floats, 1) },
		"route":    func(state *State) { state.Destinations[0].Route.Integers = nil },
		"endpoint": func(state *State) { state.Destinations[0].Endpoints[0].Counts = nil },
		"message":  func(state *State) { state.Messages = []MessageState{{ID: "m", Class: "safe"}} },
		"call":     func(state *State) { state.Calls = []CallState{{Endpoint: "nowhere"}} },
	} {
		var state State
		if err := json.Unmarshal([]byte(stateJSON(good)), &state); err != nil {
			t.Fatal(err)
		}
		change(&state)
		to, _ := New(stateSettings(1), 1)
		if to.RestoreState(state, 1) == nil {
			t.Errorf("%s: accepted", name)
		}
	}
}
