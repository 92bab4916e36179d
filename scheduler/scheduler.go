// Package scheduler decides for a sender: which message goes to which endpoint and when, and how
// each message ends. Settings, events and actions have files of their own; each other file holds one
// decision.
//
// A route is normally paced by ATB of "Rethinking HTTP API Rate Limiting: A Client-Side Approach"
// (Table III): a token bucket whose rate a rejection halves and each success raises, under a
// concurrency limit. docs/design.md tells what was kept, changed and added. Unless a name says
// otherwise, times are in microseconds and rates are a second.
package scheduler

import (
	"cmp"
	"fmt"
	"math/rand"

	"brackendale/internal/recovery"
)

// Scheduler decides for one sender: a state machine that Step drives. It reads no clock, starts no
// goroutine and does no I/O. All its methods are for one goroutine at a time.
type Scheduler struct {
	settings Settings
	rng      *rand.Rand
	recovery *recovery.Plan
	classes  map[string]*requestClass
	tenants  map[string]*tenant

	// The senders that share the destinations.
	senders      float64
	senderFactor float64 // how many times as many senders as see enough by themselves
	crowding     float64 // 0 for few senders, nears 1 with their number

	// The current step.
	now     int64
	round   int64
	actions []Action

	// Messages.
	messages      map[string]*message
	acceptedCount int        // accepted and without a final answer
	deadlines     []*message // by dueAt
	keyQueues     map[int64]*keyQueue
	keySweepSize  int     // number of key queues at which unused ones are dropped
	shedLevel     float64 // value of the message shed last, as of shedLevelAt
	shedLevelAt   int64

	// Destinations and endpoints.
	destinations     []*destination
	active           []*destination // those with messages pending or in flight, by index
	destinationByID  map[int64]*destination
	endpoints        map[string]*endpoint
	learnedEndpoints map[string]learnedEndpoint // by address: of the last incarnation, not listed yet
	watching         bool                       // the endpoint list arrives by itself
	nextWatchAt      int64
	watchGapUs       int64

	// Concurrency.
	callsInFlight          int
	maxCalls               int
	maxCallsPerDestination int
	callsToSlowRoutes      int // to routes that are slow, silent or failing
	maxCallsToSlowRoutes   int
	answering              []*route // those that answered lately
	slowdown               float64  // latency of all routes now, against the usual one

	// Connections and retries, by machine type.
	connectFailureShare map[string]float64
	retrySpread         map[string]float64 // factor on the spread of retries after rejections
	maxIdleUs           int64              // age at which idle connections are closed; 0: not known
	maxIdleLearnedAt    int64

	// Times of this incarnation.
	startedAt  int64
	shutdownAt int64 // 0: none
	timerAt    int64
	timerID    uint64
}

// New makes a scheduler for one incarnation of a sender. The seed decides all its random choices.
// An error tells why the settings cannot be served.
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
	for _, customer := range settings.Tenants {
		quota := customer.QuotaPerSecond / s.senders
		s.tenants[customer.Name] = &tenant{
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
		crowding:            plan.AggregateWeight(),
		messages:            map[string]*message{},
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

// addClass takes up a class of valid settings.
func (s *Scheduler) addClass(class Class) {
	s.classes[class.Name] = &requestClass{
		Class:           class,
		index:           len(s.classes),
		idempotentByKey: class.Idempotency == IdempotentByKey,
		unsafe:          class.Idempotency == NotIdempotent,
		repeatRisk:      class.repeatRisk(),
	}
}

// Step takes the events since the last step and returns what to do now, in order. now is the time in
// microseconds; it does not go back.
func (s *Scheduler) Step(now int64, events []Event) []Action {
	s.now, s.actions, s.startedAt = now, nil, cmp.Or(s.startedAt, now)
	s.round++
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

// handleEvent passes an event on. Events of messages that are not known are control events.
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

// armTimer keeps one timer: the earliest moment at which something may change by itself.
func (s *Scheduler) armTimer() {
	at := int64(never)
	if len(s.deadlines) > 0 {
		at = s.deadlines[0].dueAt
	}
	if s.callsInFlight < s.maxCalls {
		for _, dest := range s.active {
			if len(dest.pending) > 0 {
				at = min(at, dest.nextDispatchAt)
			}
		}
	}
	if s.settings.Discovery == DiscoveryOnRequest && !s.watching {
		at = min(at, s.nextWatchAt)
	}
	if at == never || at >= s.timerAt && s.timerAt > s.now {
		return
	}
	s.timerAt = max(at, s.now+s.settings.TickUs)
	s.timerID++
	s.actions = append(s.actions, Action{Kind: SetTimer, DelayUs: s.timerAt - s.now, TimerID: s.timerID})
}

// logRoute adds a log line on a route: its name, its failures in a row and the time since its last
// success in milliseconds.
func (s *Scheduler) logRoute(format string, rt *route, now int64) {
	s.actions = append(s.actions, Action{
		Kind: WriteLog,
		Text: fmt.Sprintf(format, rt.name, rt.health.consecutiveFailures, (now-rt.lastSuccessAt)/1000),
	})
}
