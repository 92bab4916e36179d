package scheduler

import (
	"fmt"
	"math"
	"math/rand"
	"slices"
	"testing"
)

// sentAttempt is the checker's record of an attempt.
type sentAttempt struct {
	endpoint   string
	sentAt     int64
	inFlight   bool
	mayHaveRun bool
}

// messageRecord is the checker's record of a message.
type messageRecord struct {
	request     Event
	attempts    []sentAttempt
	ended       bool  // it has its final answer or was withdrawn
	withdrawnAt int64 // time of the withdrawal: a final answer in that step is ignored
}

// checker checks every action of a scheduler against the rules that hold under all circumstances. It keeps its
// own records of the messages and shares no state with the scheduler.
type checker struct {
	settings         Settings
	classes          map[string]Class
	records          map[string]*messageRecord // by message id
	endpoints        map[string]Endpoint       // by address
	retryAfterUntil  map[string]int64          // by route name
	keyOrder         map[int64][]string        // ids of the messages of each key, in the order of acceptance
	quarantinedUntil map[int64]int64           // by key
	quarantineOwner  map[int64]string          // by key, the message with the ambiguous outcome
}

func newChecker(settings Settings) *checker {
	check := &checker{
		settings:         settings,
		classes:          map[string]Class{},
		records:          map[string]*messageRecord{},
		endpoints:        map[string]Endpoint{},
		retryAfterUntil:  map[string]int64{},
		keyOrder:         map[int64][]string{},
		quarantinedUntil: map[int64]int64{},
		quarantineOwner:  map[int64]string{},
	}
	for _, class := range settings.Classes {
		check.classes[class.Name] = class
	}
	return check
}

// recordRequest records an accepted message.
func (check *checker) recordRequest(event Event) {
	check.records[event.ID] = &messageRecord{request: event}
	if event.HasKey && check.classes[event.Class].OrderedByKey {
		check.keyOrder[event.Key] = append(check.keyOrder[event.Key], event.ID)
	}
}

// recordOutcome records the outcome of an attempt.
func (check *checker) recordOutcome(now int64, outcome randomOutcome) *messageRecord {
	record := check.records[outcome.id]
	finished := &record.attempts[outcome.attempt]
	finished.inFlight = false
	finished.mayHaveRun = outcome.reason != OutcomeRejected && outcome.reason != OutcomeConnectFailed &&
		outcome.reason != OutcomeNotSent
	if outcome.reason == OutcomeRejected && outcome.retryAfterMs > 0 {
		route := check.route(finished.endpoint)
		check.retryAfterUntil[route] = max(check.retryAfterUntil[route], now+outcome.retryAfterMs*1000)
	}
	ambiguous := outcome.reason == OutcomeTimedOut || outcome.reason == OutcomeReset || outcome.reason == OutcomeCanceled
	if check.classes[record.request.Class].OrderedByKey && record.request.HasKey && ambiguous {
		check.quarantinedUntil[record.request.Key] = now + check.settings.Rules.KeyQuarantineUs
		check.quarantineOwner[record.request.Key] = outcome.id
	}
	record.ended = record.ended || outcome.reason == OutcomeSuccess
	return record
}

// route returns a name of the route to an endpoint: the address if it has its own limit, or else the destination.
func (check *checker) route(addr string) string {
	listed := check.endpoints[addr]
	if check.settings.Calls.EndpointLimits[slices.Index(check.settings.MachineTypes, listed.MachineType)] {
		return addr
	}
	return fmt.Sprint(listed.Destination)
}

// checkAction records an action and returns an error if it breaks a rule.
func (check *checker) checkAction(now int64, action Action) error {
	record := check.records[action.ID]
	switch action.Kind {
	case StartAttempt:
		if record == nil || record.ended {
			return fmt.Errorf("message %s: sent though unknown or ended", action.ID)
		}
		listed, class := check.endpoints[action.Endpoint], check.classes[record.request.Class]
		switch {
		case listed.Destination != record.request.Destination:
			return fmt.Errorf("message %s: sent to another destination", action.ID)
		case listed.State != StatusLive:
			return fmt.Errorf("message %s: sent to endpoint %s, whose status is %s", action.ID, action.Endpoint, listed.State)
		case now < check.retryAfterUntil[check.route(action.Endpoint)]:
			return fmt.Errorf("message %s: sent %d us before the end of a Retry-After", action.ID,
				check.retryAfterUntil[check.route(action.Endpoint)]-now)
		case len(record.attempts) >= check.settings.Limits.MaxAttempts:
			return fmt.Errorf("message %s: too many attempts", action.ID)
		}
		for _, attempt := range record.attempts {
			if attempt.inFlight {
				return fmt.Errorf("message %s: two attempts in flight", action.ID)
			}
		}
		if index := slices.IndexFunc(record.attempts,
			func(attempt sentAttempt) bool { return attempt.mayHaveRun }); index >= 0 {
			first := record.attempts[index]
			if class.Idempotency == NotIdempotent {
				return fmt.Errorf("message %s: unsafe, and sent again though it may have run", action.ID)
			}
			if class.Idempotency == IdempotentByKey && (now > first.sentAt+class.KeyWindowUs ||
				class.KeyScope != KeyScopeAll && check.endpoints[first.endpoint].Zone != listed.Zone) {
				return fmt.Errorf("message %s: sent again outside its idempotency window or zone", action.ID)
			}
		}
		if class.OrderedByKey && record.request.HasKey {
			key := record.request.Key
			for _, id := range check.keyOrder[key] {
				if id == action.ID {
					break
				}
				before := check.records[id]
				if !before.ended || slices.ContainsFunc(before.attempts,
					func(attempt sentAttempt) bool { return attempt.inFlight }) {
					return fmt.Errorf("message %s: sent before the end of message %s of the same key", action.ID, id)
				}
			}
			if now < check.quarantinedUntil[key] && check.quarantineOwner[key] != action.ID {
				return fmt.Errorf("message %s: sent though its key is in quarantine", action.ID)
			}
		}
		record.attempts = append(record.attempts, sentAttempt{endpoint: action.Endpoint, sentAt: now, inFlight: true})
	case Reject, Fail:
		if record == nil || record.ended && record.withdrawnAt != now {
			return fmt.Errorf("message %s: got a second final answer, or is unknown", action.ID)
		}
		record.ended = true
		class := check.classes[record.request.Class]
		if action.Kind == Reject && (class.Idempotency == NotIdempotent || class.Idempotency == IdempotentByKey &&
			class.KeyScope != KeyScopeAll) {
			for _, attempt := range record.attempts {
				if attempt.mayHaveRun || attempt.inFlight {
					return fmt.Errorf("message %s: rejected though it may have run", action.ID)
				}
			}
		}
	}
	return nil
}

// randomRun drives one scheduler with random events and outcomes and checks its actions.
type randomRun struct {
	rng        *rand.Rand
	settings   Settings
	sched      *Scheduler
	check      *checker
	now        int64
	endpoints  []Endpoint
	condition  map[int64]int // by destination; see drawOutcome
	inFlight   []randomOutcome
	unanswered []string // ids of the messages without a final answer
	events     []Event  // of the next step
}

// randomOutcome is the outcome that an attempt in flight will have.
type randomOutcome struct {
	id           string
	attempt      int
	at           int64
	reason       Outcome
	retryAfterMs int64
}

// runRandomEvents runs 1,500 steps, after injectFault has changed the scheduler. It returns the first error.
func runRandomEvents(seed int64, injectFault func(*Scheduler)) error {
	run, err := newRandomRun(seed)
	if err != nil {
		return err
	}
	injectFault(run.sched)
	for stepIndex := range 1500 {
		if err := run.step(); err != nil {
			return fmt.Errorf("seed %d, step %d: %w", seed, stepIndex, err)
		}
		run.now += 5 * ms * int64(1+run.rng.Intn(6))
		run.events = nil
		run.finishAttempts()
		if stepIndex < 1000 {
			run.addRequests(stepIndex)
		}
		run.addDisturbance()
		run.events = append(run.events, Event{Kind: TimerFired})
	}
	return nil
}

// randomSettings returns settings with random classes, limits and numbers of senders.
func randomSettings(rng *rand.Rand) Settings {
	settings := testSettings()
	settings.MachineTypes = []string{"plain", "apart", "batch"}
	settings.Zones = []string{"z", "y"}
	settings.Rules.AnswerMarginUs = 20 * ms
	settings.Classes[1].KeyScope = []KeyScope{KeyScopeZone, KeyScopeAll}[rng.Intn(2)]
	for i := range settings.Classes {
		settings.Classes[i].OrderedByKey = rng.Intn(3) == 0
		settings.Classes[i].DeadlineUs = int64(2000+rng.Intn(6000)) * ms
	}
	settings.Calls.ConcurrentCalls = 3 + rng.Intn(8)
	settings.Limits.MaxMessages = 12 + rng.Intn(60)
	settings.Limits.MaxAttempts = 2 + rng.Intn(6)
	settings.Senders = []int{1, 60, 400}[rng.Intn(3)]
	settings.CapacityHints = []CapacityHints{HintsNone, HintsRough, HintsExact}[rng.Intn(3)]
	settings.LoadReport.Mode = ReportInAnswers
	settings.LoadReport.Fields = []string{"x0", "x1"}
	return settings
}

// newRandomRun returns a run with ten endpoints of three destinations.
func newRandomRun(seed int64) (*randomRun, error) {
	rng := rand.New(rand.NewSource(seed))
	settings := randomSettings(rng)
	sched, err := New(settings, seed)
	if err != nil {
		return nil, err
	}
	run := &randomRun{
		rng:       rng,
		settings:  settings,
		sched:     sched,
		check:     newChecker(settings),
		now:       5e6,
		condition: map[int64]int{},
	}
	for i := range 10 {
		listed := liveEndpoint(fmt.Sprint("e", i), settings.MachineTypes[i%3], settings.Zones[rng.Intn(2)], int64(i%3))
		listed.CapacityHint = []float64{0, 1, 1e9, 30}[rng.Intn(4)]
		run.endpoints = append(run.endpoints, listed)
		run.check.endpoints[listed.Addr] = listed
	}
	run.events = []Event{{Kind: EndpointsUpdated, Update: UpdateStale, Endpoints: run.endpoints}}
	return run, nil
}

// step runs one step of the scheduler, checks its actions, and checks that no message is overdue.
func (run *randomRun) step() error {
	for _, event := range run.events {
		if event.Kind == RequestAccepted {
			run.check.recordRequest(event)
			run.unanswered = append(run.unanswered, event.ID)
		}
	}
	calls := map[string][]int{} // indexes in inFlight, by endpoint
	for _, action := range run.sched.Step(run.now, run.events) {
		if err := run.check.checkAction(run.now, action); err != nil {
			return err
		}
		switch action.Kind {
		case CancelAttempt:
			run.cancel(action)
		case StartAttempt:
			calls[action.Endpoint] = append(calls[action.Endpoint], len(run.inFlight))
			run.inFlight = append(run.inFlight, run.drawOutcome(action))
		}
	}
	run.alignBatchOutcomes(calls)
	for _, id := range run.unanswered {
		record := run.check.records[id]
		if !record.ended && run.now > record.request.Deadline+run.settings.Rules.AnswerMarginUs {
			return fmt.Errorf("message %s: no final answer in time", id)
		}
	}
	run.unanswered = slices.DeleteFunc(run.unanswered, func(id string) bool { return run.check.records[id].ended })
	return nil
}

// cancel ends an attempt in flight now, with OutcomeCanceled.
func (run *randomRun) cancel(action Action) {
	for i := range run.inFlight {
		if run.inFlight[i].id == action.ID && run.inFlight[i].attempt == action.Attempt {
			run.inFlight[i].at, run.inFlight[i].reason = run.now, OutcomeCanceled
		}
	}
}

// drawOutcome draws the outcome of an attempt at random. The condition of its destination may determine it:
// 1 rejects all calls, 2 does not respond, 3 fails connects, and 4 responds slowly.
func (run *randomRun) drawOutcome(action Action) randomOutcome {
	reasons := []Outcome{
		OutcomeSuccess, OutcomeSuccess, OutcomeSuccess, OutcomeSuccess, OutcomeRejected,
		OutcomeFailed, OutcomeTimedOut, OutcomeConnectFailed, OutcomeReset, OutcomeNotSent,
	}
	drawn := randomOutcome{
		id:      action.ID,
		attempt: len(run.check.records[action.ID].attempts) - 1,
		at:      run.now + int64(20+run.rng.Intn(400))*ms,
		reason:  reasons[run.rng.Intn(len(reasons))],
	}
	switch run.condition[run.check.endpoints[action.Endpoint].Destination] {
	case 1:
		drawn.reason = OutcomeRejected
	case 2:
		drawn.at, drawn.reason = run.now+action.TimeoutUs, OutcomeTimedOut
	case 3:
		drawn.reason = OutcomeConnectFailed
	case 4:
		drawn.at += 1500 * ms
	}
	if drawn.at > run.now+action.TimeoutUs {
		drawn.at, drawn.reason = run.now+action.TimeoutUs, OutcomeTimedOut
	}
	if drawn.reason == OutcomeRejected && run.rng.Intn(2) == 0 {
		drawn.retryAfterMs = int64(1 + run.rng.Intn(3000))
	}
	return drawn
}

// alignBatchOutcomes gives all messages of one call the same outcome. calls has their indexes in inFlight, by
// endpoint.
func (run *randomRun) alignBatchOutcomes(calls map[string][]int) {
	for addr, indexes := range calls {
		if run.check.endpoints[addr].MachineType != "batch" {
			continue
		}
		first := run.inFlight[indexes[0]]
		for _, i := range indexes[1:] {
			run.inFlight[i].at, run.inFlight[i].reason = first.at, first.reason
		}
	}
}

// finishAttempts delivers the outcomes that are due.
func (run *randomRun) finishAttempts() {
	remaining := run.inFlight[:0]
	for _, due := range run.inFlight {
		if due.at > run.now {
			remaining = append(remaining, due)
			continue
		}
		record := run.check.recordOutcome(run.now, due)
		report := [][]float64{nil, {0.9, 8}, {0, 8}, {-1}, {math.NaN(), math.Inf(1)}}[run.rng.Intn(5)]
		run.events = append(run.events, Event{
			Kind: AttemptFinished, ID: due.id, Attempt: due.attempt, Endpoint: record.attempts[due.attempt].endpoint,
			Outcome: due.reason, RetryAfterMs: due.retryAfterMs, Final: record.ended, LoadReport: report,
		})
	}
	run.inFlight = remaining
}

// addRequests adds up to two requests with random classes, destinations and keys.
func (run *randomRun) addRequests(stepIndex int) {
	for range run.rng.Intn(3) {
		class := run.settings.Classes[run.rng.Intn(3)]
		run.events = append(run.events, Event{
			Kind: RequestAccepted, ID: fmt.Sprint("r", stepIndex, "-", len(run.events)), Class: class.Name,
			Destination: int64(run.rng.Intn(4)), Deadline: run.now + class.DeadlineUs, Key: int64(run.rng.Intn(5)),
			HasKey: run.rng.Intn(2) == 0,
		})
	}
}

// addDisturbance changes a destination's condition or the endpoint list, or withdraws a message, from time to time.
func (run *randomRun) addDisturbance() {
	switch run.rng.Intn(60) {
	case 0:
		run.condition[int64(run.rng.Intn(3))] = run.rng.Intn(5)
	case 1:
		listed := run.endpoints[run.rng.Intn(len(run.endpoints))]
		listed.State = []EndpointStatus{StatusLive, StatusDraining, StatusDead}[run.rng.Intn(3)]
		run.check.endpoints[listed.Addr] = listed
		run.events = append(run.events, Event{Kind: EndpointsUpdated, Update: UpdatePatch, Endpoints: []Endpoint{listed}})
	case 2:
		run.events = append(run.events, Event{Kind: EndpointsUpdated, Update: UpdateBroken},
			Event{Kind: RequestWithdrawn, ID: "nobody"})
	case 3:
		if len(run.unanswered) > 0 {
			id := run.unanswered[run.rng.Intn(len(run.unanswered))]
			run.check.records[id].ended, run.check.records[id].withdrawnAt = true, run.now
			run.events = append(run.events, Event{Kind: RequestWithdrawn, ID: id})
		}
	}
}

// No sequence of events and outcomes may lead to an action that breaks a rule of the checker. The seeds are fixed.
func TestInvariantsUnderRandomEvents(t *testing.T) {
	for seed := range int64(60) {
		if err := runRandomEvents(seed, func(*Scheduler) {}); err != nil {
			t.Error(err)
		}
	}
}

// The checker must detect each of these faults of a scheduler; otherwise TestInvariantsUnderRandomEvents proves
// nothing.
func TestCheckerDetectsInjectedFaults(t *testing.T) {
	for name, injectFault := range map[string]func(*Scheduler){
		"unsafe taken for safe": func(sched *Scheduler) { sched.classes["once"].unsafe = false },
		"window forgotten":      func(sched *Scheduler) { sched.classes["key"].KeyWindowUs *= 4 },
		"order forgotten": func(sched *Scheduler) {
			for _, class := range sched.classes {
				class.OrderedByKey = false
			}
		},
	} {
		found := false
		for seed := int64(0); seed < 400 && !found; seed++ {
			found = runRandomEvents(seed, injectFault) != nil
		}
		if !found {
			t.Errorf("fault %q: not detected", name)
		}
	}
}

// The actions depend on the events and the seed only, and not on the iteration order of maps or on the clock.
func TestSameEventsSameActions(t *testing.T) {
	trace := func() string {
		rig := newRig(t, testSettings(), liveEndpoint("a", "plain", "z", 1), liveEndpoint("b", "apart", "y", 2),
			liveEndpoint("c", "apart", "z", 2))
		text := ""
		for i := range 200 {
			event := rig.request([]string{"safe", "key", "once"}[i%3], int64(1+i%2))
			events := []Event{event}
			if msg := rig.sched.messages[fmt.Sprint("m", i-2)]; msg != nil && msg.call != nil {
				events = append(events, rig.outcome(msg.id, []Outcome{
					OutcomeSuccess, OutcomeRejected, OutcomeSuccess,
					OutcomeFailed,
				}[i%4]))
			}
			text += fmt.Sprint(rig.advance(70*ms, events...))
		}
		return text
	}
	if first, second := trace(), trace(); first != second {
		t.Fatal("the same events and seed led to different actions")
	}
}
