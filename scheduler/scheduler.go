// Package scheduler decides for one sender which message goes to which endpoint, when it is sent and
// which final answer it gets. Settings, events and actions have files of their own; each other file
// holds one kind of decision.
//
// A route is normally paced by ATB, from "Rethinking HTTP API Rate Limiting: A Client-Side Approach"
// (Table III): a token bucket whose rate is halved by a rejection and raised by each success. A
// concurrency limit applies as well. docs/design.md describes what differs from the paper. Unless a
// name says otherwise, times are in microseconds and rates are per second.
package scheduler

import (
	"cmp"
	"fmt"
	"math/rand"

	"brackendale/internal/recovery"
	"brackendale/internal/slowstart"
)

// Scheduler makes the decisions of one sender. It is a state machine driven by Step: it reads no
// clock, starts no goroutine and does no I/O. It is not safe for concurrent use.
type Scheduler struct {
	settings Settings
	rng      *rand.Rand
	recovery *recovery.Plan
	classes  map[string]*requestClass
	tenants  map[string]*tenant

	singleUseConnections bool // each call opens a connection of its own, which ends with the call

	// The senders that share the destinations.
	senders      float64
	senderFactor float64 // senders, relative to the number that can decide by their own observations; at least 1
	contention   float64 // 0 for few senders, approaches 1 as their number grows

	// The current step.
	now     int64
	step    int64
	actions []Action

	transitions []slowstart.Transition // of the current step

	// Messages.
	messages          map[string]*message
	expectedTerms     map[string]*Terms // see ExpectTerms
	acceptedCount     int               // messages without a final answer
	deadlines         []*message        // sorted by dueAt
	keyQueues         map[int64]*keyQueue
	keyQueueSweepSize int     // number of key queues at which unused ones are dropped
	shedLevel         float64 // value of the most recently shed message, as of shedLevelAt
	shedLevelAt       int64

	// Destinations and endpoints.
	destinations     []*destination
	active           []*destination // those with messages pending or in flight, sorted by index
	destinationByID  map[int64]*destination
	endpoints        map[string]*endpoint
	learnedEndpoints map[string]learnedEndpoint // of the previous incarnation, by address; not in the list yet
	// otherRetryAfterUntil is the end of a Retry-After that may apply to routes which the learned state lacks.
	otherRetryAfterUntil int64
	watching             bool // updates of the endpoint list arrive without a request
	nextWatchAt          int64
	watchIntervalUs      int64

	// Concurrency.
	callsInFlight          int
	maxCalls               int
	maxCallsPerDestination int
	callsToSlowRoutes      int // to routes that are slow, unresponsive or failing
	maxCallsToSlowRoutes   int
	respondingRoutes       []*route // those with a recent success
	slowdown               float64  // current latency as a multiple of the baseline: median over respondingRoutes

	// Connections and retries, by machine type.
	connectFailureShare map[string]float64
	retrySpread         map[string]float64 // learned factor on the retry spread after rejections
	maxIdleUs           int64              // idle time after which connections are closed; 0: unknown
	maxIdleLearnedAt    int64

	// Times of this incarnation.
	startedAt  int64
	shutdownAt int64 // 0: no shutdown has been announced
	timerAt    int64
	timerID    uint64
}

// New returns a scheduler for one incarnation of a sender. All its random choices derive from seed.
// It returns an error for invalid settings.
func New(settings Settings, seed int64) (*Scheduler, error) {
	if err := settings.validate(); err != nil {
		return nil, err
	}
	settings.Senders = max(1, settings.Senders)
	s := newScheduler(settings, seed)
	s.maxCalls = settings.Calls.ConcurrentCalls
	s.maxCallsToSlowRoutes = max(1, int(maxSlowRouteCallShare*float64(s.maxCalls)))
	s.maxCallsPerDestination = max(1, int(maxDestinationCallShare*float64(s.maxCalls)))
	for _, class := range settings.Classes {
		s.addClass(class)
	}
	for _, setting := range settings.Tenants {
		quota := setting.QuotaPerSecond / s.senders
		s.tenants[setting.Name] = &tenant{
			quotaPerSecond: quota,
			bucketSize:     max(2, 2*quota),
			tokens:         max(2, 2*quota),
		}
	}
	return s, nil
}

func newScheduler(settings Settings, seed int64) *Scheduler {
	rng := rand.New(rand.NewSource(seed))
	plan := recovery.New(settings.Senders, rng.Float64)
	return &Scheduler{
		settings:            settings,
		rng:                 rng,
		recovery:            plan,
		classes:             map[string]*requestClass{},
		tenants:             map[string]*tenant{},
		senders:             float64(settings.Senders),
		senderFactor:        plan.SenderFactor(),
		contention:          plan.Contention(),
		messages:            map[string]*message{},
		expectedTerms:       map[string]*Terms{},
		keyQueues:           map[int64]*keyQueue{},
		destinationByID:     map[int64]*destination{},
		endpoints:           map[string]*endpoint{},
		learnedEndpoints:    map[string]learnedEndpoint{},
		slowdown:            1,
		connectFailureShare: map[string]float64{},
		retrySpread:         map[string]float64{},
		timerAt:             never,
	}
}

// addClass adds a class from validated settings.
func (s *Scheduler) addClass(class Class) {
	s.classes[class.Name] = newRequestClass(class, len(s.classes))
}

// Step processes the events since the last step and returns the actions to take now, in order. now is
// the current time in microseconds and must not decrease.
func (s *Scheduler) Step(now int64, events []Event) []Action {
	s.now, s.actions, s.startedAt = now, nil, cmp.Or(s.startedAt, now)
	s.transitions = nil
	s.step++
	for i := range events {
		s.handleEvent(&events[i])
	}
	s.handleDeadlines()
	s.dropIdleDestinations()
	s.dispatch()
	s.cancelStuckCall()
	s.watchEndpoints()
	s.armTimer()
	return s.actions
}

// handleEvent dispatches an event to its handler. Events that concern no known message go to
// handleControlEvent.
func (s *Scheduler) handleEvent(event *Event) {
	msg := s.messages[event.ID]
	switch {
	case event.Kind == RequestAccepted && msg == nil:
		s.acceptRequest(event)
	case event.Kind == AttemptFinished && msg != nil:
		s.handleOutcome(msg, event)
	case event.Kind == ResponseStarted && msg != nil:
		msg.responseStarted = true
		s.deadlines = remove(s.deadlines, msg)
	case event.Kind == RequestWithdrawn && msg != nil && !msg.ended:
		s.removeMessage(msg)
	case event.Kind == EndpointsUpdated:
		s.updateEndpoints(event)
	default:
		s.handleControlEvent(event)
	}
}

// armTimer sets the timer for the earliest time at which a step without new events may have something
// to do. There is one timer.
func (s *Scheduler) armTimer() {
	earliest := int64(never)
	if len(s.deadlines) > 0 {
		earliest = s.deadlines[0].dueAt
	}
	if s.callsInFlight < s.maxCalls {
		for _, dest := range s.active {
			if len(dest.pending) > 0 {
				earliest = min(earliest, dest.nextDispatchAt)
			}
		}
	}
	if s.settings.Discovery == DiscoveryOnRequest && !s.watching {
		earliest = min(earliest, s.nextWatchAt)
	}
	if earliest == never || earliest >= s.timerAt && s.timerAt > s.now {
		return
	}
	s.timerAt = max(earliest, s.now+s.settings.TickUs)
	s.timerID++
	s.actions = append(s.actions, Action{Kind: SetTimer, DelayUs: s.timerAt - s.now, TimerID: s.timerID})
}

// logRoute adds a log line about a route. The format takes its name, its number of consecutive
// failures and the milliseconds since its last success.
func (s *Scheduler) logRoute(format string, rt *route, now int64) {
	s.actions = append(s.actions, Action{
		Kind: WriteLog,
		Text: fmt.Sprintf(format, rt.name, rt.health.consecutiveFailures, (now-rt.lastSuccessAt)/1000),
	})
}
