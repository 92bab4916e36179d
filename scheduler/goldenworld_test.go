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

// goldenWorld simulates clients, destinations and the registry around one scheduler. All choices
// come from one seeded source.
type goldenWorld struct {
	t            testing.TB
	scenario     goldenScenario
	settings     Settings
	sched        *Scheduler
	rng          *rand.Rand
	now          int64
	step         int
	requests     int
	timerAt      int64
	pending      []scheduledEvent
	accepted     []Event          // as they arrived, oldest first
	attempts     map[string]int   // sent, by request
	firstRunAt   map[string]int64 // when the first attempt left that may have run
	firstRunZone map[string]string
	endpoints    []Endpoint
	conditions   []serverCondition // by destination
	tokens       []float64         // by destination
	tokensAt     []int64           // by destination
	events       []Event
	watching     bool
	noReports    bool // answers have no load report

	sum     hash.Hash
	out     io.Writer
	actions int
}

// scheduledEvent is an event that is due at a time.
type scheduledEvent struct {
	at    int64
	event Event
}

const goldenDestinations = 4

func newGoldenWorld(t testing.TB, scenario goldenScenario, log io.Writer) *goldenWorld {
	t.Helper()
	world := &goldenWorld{
		t: t, scenario: scenario, settings: goldenSettings(), now: 1e9, attempts: map[string]int{},
		firstRunAt:   map[string]int64{},
		firstRunZone: map[string]string{}, conditions: make([]serverCondition, goldenDestinations),
		tokens:   make([]float64, goldenDestinations),
		tokensAt: make([]int64, goldenDestinations), sum: sha256.New(),
	}
	world.out = io.MultiWriter(world.sum, log)
	scenario.change(&world.settings)
	seed := int64(0)
	for _, letter := range scenario.name {
		seed = seed*31 + int64(letter)
	}
	world.rng = rand.New(rand.NewSource(seed))
	world.sched = world.newSchedulerOf()
	kinds := []string{"plain", "apart", "batch", "plain"}
	for i := range 3 * goldenDestinations {
		d := i % goldenDestinations
		world.endpoints = append(world.endpoints, Endpoint{
			Addr: fmt.Sprintf("e%02d", i), Zone: world.settings.Zones[i/goldenDestinations%2], MachineType: kinds[d],
			Destination: int64(d), State: StatusLive, CapacityHint: 5,
		})
	}
	if world.settings.Discovery == DiscoveryPushed {
		world.deliver(world.listEvent(UpdateFull))
	} else {
		world.deliver(world.listEvent(UpdateStale))
	}
	return world
}

func (world *goldenWorld) newSchedulerOf() *Scheduler {
	world.t.Helper()
	sched, err := New(world.settings, world.rng.Int63())
	if err != nil {
		world.t.Fatal(err)
	}
	return sched
}

func (world *goldenWorld) deliver(event Event) { world.events = append(world.events, event) }

func (world *goldenWorld) chance(p float64) bool { return world.rng.Float64() < p }

func (world *goldenWorld) listEvent(update UpdateKind) Event {
	return Event{Kind: EndpointsUpdated, Update: update, Endpoints: slices.Clone(world.endpoints)}
}

// run plays steps and returns the hash so far.
func (world *goldenWorld) run(steps int) string {
	for range steps {
		world.advance()
	}
	return fmt.Sprintf("%x", world.sum.Sum(nil))
}

// advance plays one step: what happened since the last one, then the relay's decisions.
func (world *goldenWorld) advance() {
	world.step++
	world.now += 1*ms + world.rng.Int63n(60*ms)
	if world.chance(0.002) {
		world.now += world.rng.Int63n(20_000 * ms) // a time without events
	}
	world.lifecycle()
	world.arrivals()
	world.endpointList()
	world.peersAndTrouble()
	world.outcomes()
	if world.timerAt > 0 && world.now >= world.timerAt {
		world.timerAt = 0
		world.deliver(Event{Kind: TimerFired})
	}
	in := world.events
	world.events = nil
	fmt.Fprintf(world.out, "step %d at %d\n", world.step, world.now)
	for _, action := range world.sched.Step(world.now, in) {
		fmt.Fprintln(world.out, describe(action))
		world.actions++
		world.act(action)
	}
	if world.step%50 == 0 {
		world.queries()
	}
}

// queries writes what the scheduler answers to questions about its state.
func (world *goldenWorld) queries() {
	for _, health := range world.sched.Health(world.now) {
		fmt.Fprintf(world.out, "health %d %t %t %t %d %d\n", health.Destination, health.Unavailable,
			health.Recovering, health.HasPending,
			health.RetryAfterUs, health.RecoveringUs)
	}
	for d := range int64(goldenDestinations) {
		fmt.Fprintf(world.out, "want %d\n", world.sched.Demand(world.now, d))
	}
	for _, listed := range world.endpoints {
		fmt.Fprintf(world.out, "avoids %t\n", world.sched.IsUnavailable(listed.Addr))
	}
	attempts := world.sched.InFlight()
	slices.SortFunc(attempts, func(action, b Action) int { return strings.Compare(action.ID, b.ID) })
	for _, action := range attempts {
		fmt.Fprintf(world.out, "out %s holds %t\n", describe(action), world.sched.HasMessage(action.ID))
	}
	fmt.Fprintf(world.out, "worth %d came %v\n", world.sched.Fingerprint(), world.sched.ArrivalRate(world.now))
}

// lifecycle hands the state over to a successor, restarts, or announces a shutdown.
func (world *goldenWorld) lifecycle() {
	every := func(n int) bool { return n > 0 && world.step%n == 0 }
	if every(world.scenario.shutdownEvery) {
		world.deliver(Event{Kind: ShutdownStarted, Deadline: world.now + 2000*ms})
	}
	if every(world.scenario.handoverEvery) {
		world.handOver(goldenJSON(world.t, world.sched.State()))
	}
	if every(world.scenario.restartEvery) {
		world.restart(goldenJSON(world.t, world.sched.LearnedState(20)))
	}
}

// handOver lets a new scheduler go on with a state; what is in flight stays so.
func (world *goldenWorld) handOver(text []byte) {
	world.t.Helper()
	world.sched = world.newSchedulerOf()
	if err := world.sched.RestoreState(goldenState(world.t, text), world.now); err != nil {
		world.t.Fatal(err)
	}
}

// restart lets a new scheduler go on with the learned state of an earlier one, or at times
// without; what was in flight is lost, and accepted messages without an answer come again.
func (world *goldenWorld) restart(text []byte) {
	world.t.Helper()
	state := goldenState(world.t, text)
	away := world.rng.Int63n(5000 * ms)
	if world.chance(0.5) {
		away /= 20
	}
	state.ShiftTimes(away / 2)
	world.now += away
	world.sched, world.timerAt = world.newSchedulerOf(), 0
	if world.chance(0.3) {
		world.noReports = !world.noReports
	}
	if world.chance(0.8) {
		if err := world.sched.RestoreLearnedState(state, world.now); err != nil {
			world.t.Fatal(err)
		}
	}
	for _, o := range world.pending {
		if o.event.Kind == AttemptFinished {
			world.mayRun(o.event)
		}
	}
	world.pending, world.watching = nil, false
	world.deliver(world.listEvent(UpdateFull))
	for _, event := range world.accepted {
		event.Restored = true
		event.Attempts = world.attempts[event.ID]
		event.FirstRunUs = world.firstRunAt[event.ID]
		event.Zone = world.firstRunZone[event.ID]
		world.deliver(event)
	}
}

func (world *goldenWorld) arrivals() {
	for n := world.scenario.load * 2 * world.rng.Float64(); n > 0; n-- {
		if !world.chance(n) {
			continue
		}
		world.requests++
		class := world.settings.Classes[world.rng.Intn(len(world.settings.Classes))]
		event := Event{
			Kind: RequestAccepted, ID: fmt.Sprint("m", world.requests), Class: class.Name,
			Destination: world.rng.Int63n(goldenDestinations),
			Deadline:    world.now + class.DeadlineUs, WorkUs: world.rng.Int63n(300 * ms),
		}
		if world.chance(0.3) {
			event.Tenant = "alpha"
		}
		if event.HasKey = class.OrderedByKey || world.chance(0.2); event.HasKey {
			event.Key = world.rng.Int63n(300)
		}
		if world.chance(0.002) {
			event.Class = "unknown"
		}
		world.accepted = append(world.accepted, event)
		world.deliver(event)
	}
	if len(world.accepted) > 0 && world.chance(0.01) {
		event := world.accepted[world.rng.Intn(len(world.accepted))]
		world.forget(event.ID)
		world.deliver(Event{Kind: RequestWithdrawn, ID: event.ID})
	}
}

// forget drops a request that has its final answer.
func (world *goldenWorld) forget(id string) {
	world.accepted = slices.DeleteFunc(world.accepted, func(event Event) bool { return event.ID == id })
}

// endpointList changes the list now and then, and delivers the change.
func (world *goldenWorld) endpointList() {
	if world.chance(0.005) && world.settings.Discovery == DiscoveryOnRequest {
		world.watching = false
		world.deliver(Event{Kind: EndpointsUpdated, Update: UpdateBroken})
	}
	if !world.chance(0.01) {
		return
	}
	x := &world.endpoints[world.rng.Intn(len(world.endpoints))]
	switch world.rng.Intn(8) {
	case 0, 1:
		x.State = []EndpointStatus{StatusDraining, StatusDead}[world.rng.Intn(2)]
	case 2:
		x.Destination = world.rng.Int63n(goldenDestinations)
	case 3:
		x.CapacityHint = float64(world.rng.Intn(30))
	default:
		x.State, x.SlowStart = StatusLive, world.chance(0.3)
	}
	switch k := world.rng.Intn(6); {
	case world.settings.Discovery == DiscoveryOnRequest && !world.watching:
	case k < 3:
		world.deliver(Event{Kind: EndpointsUpdated, Update: UpdatePatch, Endpoints: []Endpoint{*x}})
	case k == 3:
		world.deliver(world.listEvent(UpdateStale))
	case k == 4: // without one of them
		event := world.listEvent(UpdateFull)
		event.Endpoints = slices.Delete(event.Endpoints, 3, 4)
		world.deliver(event)
	default:
		world.deliver(world.listEvent(UpdateFull))
	}
	x.SlowStart = false
}

// peersAndTrouble delivers events of other senders and unused ones, and changes the conditions
// of the destinations.
func (world *goldenWorld) peersAndTrouble() {
	if world.chance(world.scenario.trouble) {
		condition := healthy
		if world.chance(0.5) {
			condition = serverCondition(world.rng.Intn(int(conditions)))
		}
		world.conditions[world.rng.Intn(goldenDestinations)] = condition
	}
	if !world.scenario.peerEvents || !world.chance(0.03) {
		return
	}
	event := Event{Destination: world.rng.Int63n(goldenDestinations), Deadline: world.now + world.rng.Int63n(4000*ms)}
	switch world.rng.Intn(6) {
	case 0:
		event.Kind, event.Quota, event.EvenQuota = QuotaAssigned, world.rng.Int63n(20_000), world.rng.Int63n(8000)
	case 1:
		event.Kind = RetryAfterShared
	case 2, 3:
		event.Kind = ProbeDelegated
	case 4:
		event.Kind = RecoveryObserved
	default:
		event.Kind = []EventKind{HealthChecked, PeerMessage}[world.rng.Intn(2)]
	}
	world.deliver(event)
}

// describe is an action as one line of text, without any name of a Go identifier.
func describe(action Action) string {
	return fmt.Sprintf("%d id=%q n=%d addr=%q limit=%d wait=%d delay=%d mark=%d text=%q on=%t",
		action.Kind, action.ID, action.Attempt, action.Endpoint, action.TimeoutUs, action.RetryAfterUs,
		action.DelayUs, action.TimerID, action.Text, action.On)
}
