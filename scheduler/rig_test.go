package scheduler

import (
	"fmt"
	"testing"
)

// ms is one millisecond in microseconds, the unit of the scheduler's times.
const ms = int64(1000)

// testSettings returns the settings of a single sender with one class of each idempotency. Endpoints of the
// machine type "apart" have their own limits; those of "batch" accept four messages per call.
func testSettings() Settings {
	var settings Settings
	settings.Senders = 1
	settings.TickUs = 5 * ms
	settings.Discovery = DiscoveryPushed
	settings.CapacityHints = HintsNone
	settings.Classes = []Class{
		{
			Name: "safe", Idempotency: Idempotent, LatencyObjectiveUs: 1000 * ms, DeadlineUs: 10000 * ms,
			LateValue: 0.5, PriorityWeight: 1,
		},
		{
			Name: "key", Idempotency: IdempotentByKey, KeyScope: KeyScopeZone, KeyWindowUs: 4000 * ms,
			LatencyObjectiveUs: 1000 * ms,
			DeadlineUs:         10000 * ms, LateValue: 0.5, PriorityWeight: 1,
		},
		{
			Name: "once", Idempotency: NotIdempotent, LatencyObjectiveUs: 1000 * ms, DeadlineUs: 10000 * ms, LateValue: 0.5,
			PriorityWeight: 1,
		},
	}
	settings.MachineTypes = []string{"plain", "apart", "batch"}
	settings.Calls.EndpointLimits = []bool{false, true, false}
	settings.Calls.MessagesPerCall = []int{1, 1, 4}
	settings.Calls.ConcurrentCalls = 8
	settings.Limits.MaxMessages = 100
	settings.Limits.MaxAttempts = 8
	settings.Limits.CanCancel = true
	settings.Limits.CanSendRetryAfter = true
	settings.Limits.MaxRetryAfterUs = 2000 * ms
	settings.Limits.ConnectTimeoutUs = 500 * ms
	settings.Limits.KeepAliveUs = 5000 * ms
	settings.Limits.StreamsPerConnection = 1
	settings.Rules.SlowStartInitialShare = 0.25
	settings.Rules.OverloadMultiple = 2
	settings.Rules.OverloadWindowUs = 2000 * ms
	settings.Rules.SlowStartUs = 10000 * ms
	settings.Rules.KeyQuarantineUs = 1000 * ms
	return settings
}

// rig drives one scheduler with the events that a test gives it. It simulates no endpoints: the test also
// provides the outcomes of the attempts.
type rig struct {
	t        testing.TB
	sched    *Scheduler
	now      int64
	requests int               // number of requests so far
	actions  []Action          // of the last step
	attempts map[string]int    // number of attempts, by message id
	sentTo   map[string]string // endpoint of the last attempt, by message id
}

// rigFor returns a rig for an existing scheduler, whose next step is at now.
func rigFor(t testing.TB, sched *Scheduler, now int64) *rig {
	return &rig{t: t, sched: sched, now: now, attempts: map[string]int{}, sentTo: map[string]string{}}
}

// newRig returns a rig with a new scheduler that has received the endpoint list.
func newRig(t testing.TB, settings Settings, list ...Endpoint) *rig {
	t.Helper()
	sched, err := New(settings, 7)
	if err != nil {
		t.Fatal(err)
	}
	rig := rigFor(t, sched, 1e9)
	rig.step(Event{Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: list})
	return rig
}

// newSeededRig is newRig with another seed of the scheduler, for tests with many senders.
func newSeededRig(t *testing.T, settings Settings, seed int64, list ...Endpoint) *rig {
	t.Helper()
	sched, err := New(settings, seed)
	if err != nil {
		t.Fatal(err)
	}
	rig := rigFor(t, sched, 1e9)
	rig.step(Event{Kind: EndpointsUpdated, Update: UpdateFull, Endpoints: list})
	return rig
}

// settingsForSenders returns testSettings with another number of senders.
func settingsForSenders(senders int) Settings {
	settings := testSettings()
	settings.Senders = senders
	return settings
}

// liveEndpoint returns the entry of a live endpoint in the endpoint list.
func liveEndpoint(addr, machineType, zone string, destination int64) Endpoint {
	return Endpoint{Addr: addr, MachineType: machineType, Zone: zone, Destination: destination, State: StatusLive}
}

// step runs one step of the scheduler at the current time.
func (rig *rig) step(events ...Event) []Action {
	rig.actions = rig.sched.Step(rig.now, events)
	for _, action := range rig.actions {
		if action.Kind == StartAttempt {
			rig.attempts[action.ID]++
			rig.sentTo[action.ID] = action.Endpoint
		}
	}
	return rig.actions
}

// advance lets time pass and then runs one step.
func (rig *rig) advance(durationUs int64, events ...Event) []Action {
	rig.now += durationUs
	return rig.step(events...)
}

// runUntil lets time pass, with a step every 50 ms, until stop accepts an action. It returns that action, or
// false if there is none within durationUs.
func (rig *rig) runUntil(durationUs int64, stop func(Action) bool) (Action, bool) {
	for endAt := rig.now + durationUs; rig.now < endAt; {
		for _, action := range rig.advance(50*ms, Event{Kind: TimerFired}) {
			if stop(action) {
				return action, true
			}
		}
	}
	return Action{}, false
}

// request returns the event of a new message.
func (rig *rig) request(class string, destination int64) Event {
	rig.requests++
	deadlineUs := rig.sched.classes[class].DeadlineUs
	return Event{
		Kind: RequestAccepted, ID: fmt.Sprint("m", rig.requests), Class: class, Destination: destination,
		Deadline: rig.now + deadlineUs,
	}
}

// outcome returns the event that ends the last attempt of a message.
func (rig *rig) outcome(id string, outcome Outcome) Event {
	return Event{
		Kind: AttemptFinished, ID: id, Attempt: rig.attempts[id] - 1, Endpoint: rig.sentTo[id],
		Outcome: outcome, Final: outcome == OutcomeSuccess,
	}
}

func countActions(actions []Action, kind ActionKind) (n int) {
	for _, action := range actions {
		if action.Kind == kind {
			n++
		}
	}
	return n
}

// startsAttempt returns a condition for runUntil: an attempt of the message starts.
func startsAttempt(id string) func(Action) bool {
	return func(action Action) bool { return action.Kind == StartAttempt && action.ID == id }
}

// warmUp delivers messages one after another, so that the route has latency samples and a high concurrency
// limit.
func (rig *rig) warmUp(destination int64, messages int) {
	rig.t.Helper()
	for range messages {
		event := rig.request("safe", destination)
		if rig.step(event); rig.attempts[event.ID] != 1 {
			rig.t.Fatalf("message %s was not sent at once", event.ID)
		}
		rig.advance(100*ms, rig.outcome(event.ID, OutcomeSuccess))
	}
}

func countStarts(actions []Action) (n int) {
	for _, action := range actions {
		if action.Kind == StartAttempt {
			n++
		}
	}
	return n
}
