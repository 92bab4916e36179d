package scheduler

import (
	"crypto/sha256"
	"fmt"
	"hash"
	"io"
	"math/rand"
	"slices"
	"strings"
	"testing"
)

// goldenSimulation simulates the clients, the destinations and the registry of one scheduler. All random choices
// derive from one seed.
type goldenSimulation struct {
	t            testing.TB
	scenario     goldenScenario
	settings     Settings
	sched        *Scheduler
	rng          *rand.Rand
	now          int64
	step         int
	requestCount int
	timerAt      int64             // 0: no timer is set
	scheduled    []scheduledEvent  // to be delivered later
	accepted     []Event           // requests without a final answer, oldest first
	attempts     map[string]int    // number of attempts, by request
	firstRunAt   map[string]int64  // send time of the first attempt that may have run, by request
	firstRunZone map[string]string // zone of that attempt's endpoint
	endpoints    []Endpoint
	conditions   []serverCondition // by destination
	tokens       []float64         // by destination
	tokensAt     []int64           // by destination
	events       []Event           // of the next step
	watching     bool              // a watch of the endpoint list is open
	noReports    bool              // responses have no load report

	digest  hash.Hash // of the trace
	trace   io.Writer // gets the actions and the results of queries as text
	actions int       // number of actions so far
}

// scheduledEvent is an event that is due at a time.
type scheduledEvent struct {
	at    int64
	event Event
}

// goldenDestinations is the number of destinations.
const goldenDestinations = 4

// newGoldenSimulation returns a simulation of a scenario, whose name determines the seed. log gets a copy of the
// trace.
func newGoldenSimulation(t testing.TB, scenario goldenScenario, log io.Writer) *goldenSimulation {
	t.Helper()
	sim := &goldenSimulation{
		t: t, scenario: scenario, settings: goldenSettings(), now: 1e9, attempts: map[string]int{},
		firstRunAt:   map[string]int64{},
		firstRunZone: map[string]string{}, conditions: make([]serverCondition, goldenDestinations),
		tokens:   make([]float64, goldenDestinations),
		tokensAt: make([]int64, goldenDestinations), digest: sha256.New(),
	}
	sim.trace = io.MultiWriter(sim.digest, log)
	scenario.changeSettings(&sim.settings)
	seed := int64(0)
	for _, letter := range scenario.name {
		seed = seed*31 + int64(letter)
	}
	sim.rng = rand.New(rand.NewSource(seed))
	sim.sched = sim.newScheduler()
	machineTypes := []string{"plain", "apart", "batch", "plain"}
	for i := range 3 * goldenDestinations {
		destination := i % goldenDestinations
		sim.endpoints = append(sim.endpoints, Endpoint{
			Addr: fmt.Sprintf("e%02d", i), Zone: sim.settings.Zones[i/goldenDestinations%2],
			MachineType: machineTypes[destination],
			Destination: int64(destination), State: StatusLive, CapacityHint: 5,
		})
	}
	if sim.settings.Discovery == DiscoveryPushed {
		sim.deliver(sim.listEvent(UpdateFull))
	} else {
		sim.deliver(sim.listEvent(UpdateStale))
	}
	return sim
}

func (sim *goldenSimulation) newScheduler() *Scheduler {
	sim.t.Helper()
	sched, err := New(sim.settings, sim.rng.Int63())
	if err != nil {
		sim.t.Fatal(err)
	}
	return sched
}

// deliver adds an event to the next step.
func (sim *goldenSimulation) deliver(event Event) { sim.events = append(sim.events, event) }

// chance returns true with the given probability.
func (sim *goldenSimulation) chance(probability float64) bool { return sim.rng.Float64() < probability }

func (sim *goldenSimulation) listEvent(update UpdateKind) Event {
	return Event{Kind: EndpointsUpdated, Update: update, Endpoints: slices.Clone(sim.endpoints)}
}

// run simulates a number of steps and returns the hash of the trace so far.
func (sim *goldenSimulation) run(steps int) string {
	for range steps {
		sim.advance()
	}
	return fmt.Sprintf("%x", sim.digest.Sum(nil))
}

// advance simulates one step: the events since the last one, and then the scheduler's actions.
func (sim *goldenSimulation) advance() {
	sim.step++
	sim.now += 1*ms + sim.rng.Int63n(60*ms)
	if sim.chance(0.002) {
		sim.now += sim.rng.Int63n(20_000 * ms) // a time without events
	}
	sim.restartIfDue()
	sim.addRequests()
	sim.changeEndpointList()
	sim.changeConditions()
	sim.deliverDue()
	if sim.timerAt > 0 && sim.now >= sim.timerAt {
		sim.timerAt = 0
		sim.deliver(Event{Kind: TimerFired})
	}
	input := sim.events
	sim.events = nil
	fmt.Fprintf(sim.trace, "step %d at %d\n", sim.step, sim.now)
	for _, action := range sim.sched.Step(sim.now, input) {
		fmt.Fprintln(sim.trace, describeAction(action))
		sim.actions++
		sim.apply(action)
	}
	if sim.step%50 == 0 {
		sim.traceQueries()
	}
}

// traceQueries writes the results of the scheduler's methods that report on its state.
func (sim *goldenSimulation) traceQueries() {
	for _, health := range sim.sched.Health(sim.now) {
		fmt.Fprintf(sim.trace, "health %d %t %t %t %d %d\n", health.Destination, health.Unavailable,
			health.Recovering, health.HasPending,
			health.RetryAfterUs, health.RecoveringUs)
	}
	for destination := range int64(goldenDestinations) {
		fmt.Fprintf(sim.trace, "want %d\n", sim.sched.Demand(sim.now, destination))
	}
	for _, listed := range sim.endpoints {
		fmt.Fprintf(sim.trace, "avoids %t\n", sim.sched.IsUnavailable(listed.Addr))
	}
	attempts := sim.sched.InFlight()
	slices.SortFunc(attempts, func(action, other Action) int { return strings.Compare(action.ID, other.ID) })
	for _, action := range attempts {
		fmt.Fprintf(sim.trace, "out %s holds %t\n", describeAction(action), sim.sched.HasMessage(action.ID))
	}
	fmt.Fprintf(sim.trace, "worth %d came %v\n", sim.sched.Fingerprint(), sim.sched.ArrivalRate(sim.now))
}

// restartIfDue announces a shutdown, does a hot restart or does a restart in the steps that the scenario sets.
func (sim *goldenSimulation) restartIfDue() {
	every := func(steps int) bool { return steps > 0 && sim.step%steps == 0 }
	if every(sim.scenario.shutdownEvery) {
		sim.deliver(Event{Kind: ShutdownStarted, Deadline: sim.now + 2000*ms})
	}
	if every(sim.scenario.handoverEvery) {
		sim.hotRestart(goldenJSON(sim.t, sim.sched.State()))
	}
	if every(sim.scenario.restartEvery) {
		sim.restart(goldenJSON(sim.t, sim.sched.LearnedState(20)))
	}
}

// hotRestart replaces the scheduler by one with its complete state. Attempts in flight continue.
func (sim *goldenSimulation) hotRestart(savedState []byte) {
	sim.t.Helper()
	sim.sched = sim.newScheduler()
	if err := sim.sched.RestoreState(goldenState(sim.t, savedState), sim.now); err != nil {
		sim.t.Fatal(err)
	}
}

// restart replaces the scheduler, after a downtime, by one that usually gets a learned state. Attempts in flight
// are lost, and the requests without a final answer are restored.
func (sim *goldenSimulation) restart(savedState []byte) {
	sim.t.Helper()
	state := goldenState(sim.t, savedState)
	downtimeUs := sim.rng.Int63n(5000 * ms)
	if sim.chance(0.5) {
		downtimeUs /= 20
	}
	state.ShiftTimes(downtimeUs / 2)
	sim.now += downtimeUs
	sim.sched, sim.timerAt = sim.newScheduler(), 0
	if sim.chance(0.3) {
		sim.noReports = !sim.noReports
	}
	if sim.chance(0.8) {
		if err := sim.sched.RestoreLearnedState(state, sim.now); err != nil {
			sim.t.Fatal(err)
		}
	}
	for _, due := range sim.scheduled {
		if due.event.Kind == AttemptFinished {
			sim.recordFirstRun(due.event)
		}
	}
	sim.scheduled, sim.watching = nil, false
	sim.deliver(sim.listEvent(UpdateFull))
	for _, event := range sim.accepted {
		event.Restored = true
		event.Attempts = sim.attempts[event.ID]
		event.FirstRunUs = sim.firstRunAt[event.ID]
		event.Zone = sim.firstRunZone[event.ID]
		sim.deliver(event)
	}
}

// addRequests adds requests at random, and withdraws one from time to time.
func (sim *goldenSimulation) addRequests() {
	for remaining := sim.scenario.load * 2 * sim.rng.Float64(); remaining > 0; remaining-- {
		if !sim.chance(remaining) {
			continue
		}
		sim.requestCount++
		class := sim.settings.Classes[sim.rng.Intn(len(sim.settings.Classes))]
		event := Event{
			Kind: RequestAccepted, ID: fmt.Sprint("m", sim.requestCount), Class: class.Name,
			Destination: sim.rng.Int63n(goldenDestinations),
			Deadline:    sim.now + class.DeadlineUs, WorkUs: sim.rng.Int63n(300 * ms),
		}
		if sim.chance(0.3) {
			event.Tenant = "alpha"
		}
		if event.HasKey = class.OrderedByKey || sim.chance(0.2); event.HasKey {
			event.Key = sim.rng.Int63n(300)
		}
		if sim.chance(0.002) {
			event.Class = "unknown"
		}
		sim.accepted = append(sim.accepted, event)
		sim.deliver(event)
	}
	if len(sim.accepted) > 0 && sim.chance(0.01) {
		event := sim.accepted[sim.rng.Intn(len(sim.accepted))]
		sim.removeRequest(event.ID)
		sim.deliver(Event{Kind: RequestWithdrawn, ID: event.ID})
	}
}

// removeRequest removes a request that has its final answer.
func (sim *goldenSimulation) removeRequest(id string) {
	sim.accepted = slices.DeleteFunc(sim.accepted, func(event Event) bool { return event.ID == id })
}

// changeEndpointList changes the endpoint list from time to time, and delivers the change in one of several ways.
func (sim *goldenSimulation) changeEndpointList() {
	if sim.chance(0.005) && sim.settings.Discovery == DiscoveryOnRequest {
		sim.watching = false
		sim.deliver(Event{Kind: EndpointsUpdated, Update: UpdateBroken})
	}
	if !sim.chance(0.01) {
		return
	}
	listed := &sim.endpoints[sim.rng.Intn(len(sim.endpoints))]
	switch sim.rng.Intn(8) {
	case 0, 1:
		listed.State = []EndpointStatus{StatusDraining, StatusDead}[sim.rng.Intn(2)]
	case 2:
		listed.Destination = sim.rng.Int63n(goldenDestinations)
	case 3:
		listed.CapacityHint = float64(sim.rng.Intn(30))
	default:
		listed.State, listed.SlowStart = StatusLive, sim.chance(0.3)
	}
	switch choice := sim.rng.Intn(6); {
	case sim.settings.Discovery == DiscoveryOnRequest && !sim.watching:
	case choice < 3:
		sim.deliver(Event{Kind: EndpointsUpdated, Update: UpdatePatch, Endpoints: []Endpoint{*listed}})
	case choice == 3:
		sim.deliver(sim.listEvent(UpdateStale))
	case choice == 4: // without one of the endpoints
		event := sim.listEvent(UpdateFull)
		event.Endpoints = slices.Delete(event.Endpoints, 3, 4)
		sim.deliver(event)
	default:
		sim.deliver(sim.listEvent(UpdateFull))
	}
	listed.SlowStart = false
}

// changeConditions changes the conditions of the destinations, and delivers events from other senders and events
// that the scheduler does not use.
func (sim *goldenSimulation) changeConditions() {
	if sim.chance(sim.scenario.changeProbability) {
		condition := healthy
		if sim.chance(0.5) {
			condition = serverCondition(sim.rng.Intn(int(conditionCount)))
		}
		sim.conditions[sim.rng.Intn(goldenDestinations)] = condition
	}
	if !sim.scenario.peerEvents || !sim.chance(0.03) {
		return
	}
	event := Event{Destination: sim.rng.Int63n(goldenDestinations), Deadline: sim.now + sim.rng.Int63n(4000*ms)}
	switch sim.rng.Intn(6) {
	case 0:
		event.Kind, event.Quota, event.EvenQuota = QuotaAssigned, sim.rng.Int63n(20_000), sim.rng.Int63n(8000)
	case 1:
		event.Kind = RetryAfterShared
	case 2, 3:
		event.Kind = ProbeDelegated
	case 4:
		event.Kind = RecoveryObserved
	default:
		event.Kind = []EventKind{HealthChecked, PeerMessage}[sim.rng.Intn(2)]
	}
	sim.deliver(event)
}

// describeAction returns an action as one line of text, which does not contain names of Go identifiers: renaming
// them must not change the golden files.
func describeAction(action Action) string {
	return fmt.Sprintf("%d id=%q n=%d addr=%q limit=%d wait=%d delay=%d mark=%d text=%q on=%t",
		action.Kind, action.ID, action.Attempt, action.Endpoint, action.TimeoutUs, action.RetryAfterUs,
		action.DelayUs, action.TimerID, action.Text, action.On)
}
