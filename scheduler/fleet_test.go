package scheduler

import (
	"container/heap"
	"fmt"
	"math/rand"
	"testing"
)

// fleet simulates many senders in virtual time, each with its own scheduler, and one destination that they
// share. Its tests check the sum of their calls: what one sender does may be harmless alone and overload a
// destination if all do it.
type fleet struct {
	now      int64
	settings Settings // of each sender
	senders  []*simSender
	queue    simEvents
	sequence int // number of scheduled events and requests so far; events at the same time occur in this order

	// The destination.
	limit              func(now int64) float64 // calls per second; nil: unlimited
	maxConnections     int                     // maximum number of open connections, idle ones included; 0: unlimited
	serviceUs          int64                   // duration of a call
	retryAfterMs       int64                   // Retry-After of rejections above the limit
	rejectsAll         [2]int64                // start and end of a time of rejections, with a Retry-After until its end
	rejectionsUseLimit bool                    // rejected calls count towards the limit too
	noReports          bool                    // responses have no load report
	reportPeriodUs     int64                   // time between two updates of the load report; 0: always current
	outage             [2]int64                // start and end of the outage
	outageOutcome      Outcome                 // outcome of calls in the outage; empty: OutcomeConnectFailed
	outageSuccessShare float64                 // share of the calls in the outage that succeed
	class              string                  // of the messages that addRequests adds
	errorShare         float64                 // share of calls that end with OutcomeFailed
	rng                *rand.Rand

	tokens           float64
	tokensAt         int64
	reportedHeadroom float64 // unused share of the limit, as the load reports have it
	reportedAt       int64
	connections      int     // number of open connections
	earlyCalls       int     // number of calls before the end of a Retry-After
	bins             []tally // one for each 100 ms of the last run
}

// tally counts the calls that reached the destination.
type tally struct {
	calls               int
	delivered           int
	rejected            int
	connectionsRejected int
	failed              int
	informed            int // calls of senders that had noticed the outage
}

// simSender is a sender of the fleet.
type simSender struct {
	sched           *Scheduler // nil: the sender has been killed, and its events wait
	attempts        map[string]int
	idleSince       []int64 // for each idle connection, the time since which it is idle
	timerAt         int64
	retryAfterUntil int64 // end of the Retry-After that the sender received
	noticedOutage   bool  // one of its calls has failed in the outage
	events          []Event
	undelivered     int      // number of messages that were rejected or failed
	neverSent       []string // ids of those among them that were never sent
}

// simEvent is a callback that is due at a time.
type simEvent struct {
	at       int64
	sequence int
	callback func()
}

// simEvents is a heap with the earliest event first.
type simEvents []simEvent

func (events simEvents) Len() int { return len(events) }
func (events simEvents) Less(i, j int) bool {
	return events[i].at < events[j].at || events[i].at == events[j].at && events[i].sequence < events[j].sequence
}
func (events simEvents) Swap(i, j int) { events[i], events[j] = events[j], events[i] }
func (events *simEvents) Push(x any)   { *events = append(*events, x.(simEvent)) }
func (events *simEvents) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

// schedule runs a callback at a time.
func (fleet *fleet) schedule(at int64, callback func()) {
	fleet.sequence++
	heap.Push(&fleet.queue, simEvent{at, fleet.sequence, callback})
}

// newFleet returns a fleet of senders that have received the endpoint list.
func newFleet(t testing.TB, senders int, seed int64) *fleet {
	t.Helper()
	fleet := &fleet{now: 1e9, serviceUs: 50 * ms, class: "safe", rng: rand.New(rand.NewSource(seed))}
	settings := settingsForSenders(senders)
	settings.LoadReport.Mode = ReportInAnswers
	settings.LoadReport.Fields = []string{"x0", "x1"}
	settings.Calls.ConcurrentCalls = 6
	settings.Limits.MaxMessages = 50
	settings.Limits.MaxAttempts = 8
	settings.Limits.StreamsPerConnection = 1
	fleet.settings = settings
	for i := range senders {
		sched, err := New(settings, seed*1000+int64(i))
		if err != nil {
			t.Fatal(err)
		}
		sender := &simSender{sched: sched, attempts: map[string]int{}}
		fleet.senders = append(fleet.senders, sender)
		fleet.deliver(sender, Event{
			Kind: EndpointsUpdated, Update: UpdateFull,
			Endpoints: []Endpoint{liveEndpoint("a", "plain", "z", 1)},
		})
	}
	return fleet
}

// addRequests adds messages at random times, at a mean rate of perSecond over all senders.
func (fleet *fleet) addRequests(startAt, endAt int64, perSecond float64, seed int64) {
	rng := rand.New(rand.NewSource(seed))
	for at := startAt; at < endAt; at += int64(rng.ExpFloat64() * 1e6 / perSecond) {
		index := rng.Intn(len(fleet.senders))
		fleet.schedule(at, func() {
			fleet.sequence++
			fleet.deliver(fleet.senders[index], Event{
				Kind: RequestAccepted, ID: fmt.Sprint("m", fleet.sequence), Class: fleet.class, Destination: 1,
				Deadline: fleet.now + 9000*ms,
			})
		})
	}
}

// run simulates a time and restarts the counts in bins.
func (fleet *fleet) run(durationUs int64) {
	startAt := fleet.now
	fleet.bins = make([]tally, durationUs/(100*ms)+1)
	fleet.tokensAt = startAt
	bin := func() *tally { return &fleet.bins[(fleet.now-startAt)/(100*ms)] }
	for len(fleet.queue) > 0 && fleet.queue[0].at <= startAt+durationUs {
		next := heap.Pop(&fleet.queue).(simEvent)
		fleet.now = max(fleet.now, next.at)
		next.callback()
		for _, sender := range fleet.senders {
			if sender.sched != nil && len(sender.events) > 0 || sender.timerAt > 0 && sender.timerAt <= fleet.now {
				fleet.step(sender, bin)
			}
		}
	}
	fleet.now = startAt + durationUs
}

// deliver adds an event to the sender's next step, which is now.
func (fleet *fleet) deliver(sender *simSender, event Event) {
	sender.events = append(sender.events, event)
	fleet.schedule(fleet.now, func() {})
}

// step runs one step of a sender's scheduler and carries out its actions.
func (fleet *fleet) step(sender *simSender, bin func() *tally) {
	input := sender.events
	if sender.events = nil; sender.timerAt > 0 && sender.timerAt <= fleet.now {
		input, sender.timerAt = append(input, Event{Kind: TimerFired}), 0
	}
	for _, action := range sender.sched.Step(fleet.now, input) {
		switch action.Kind {
		case SetTimer:
			sender.timerAt = fleet.now + action.DelayUs
			fleet.schedule(sender.timerAt, func() {})
		case CloseIdleConnections:
			fleet.connections -= len(sender.idleSince)
			sender.idleSince = nil
		case Reject, Fail:
			if sender.undelivered++; sender.attempts[action.ID] == 0 {
				sender.neverSent = append(sender.neverSent, action.ID)
			}
		case StartAttempt:
			attempt := sender.attempts[action.ID]
			sender.attempts[action.ID]++
			fleet.call(sender, Event{Kind: AttemptFinished, ID: action.ID, Attempt: attempt, Endpoint: action.Endpoint},
				action.TimeoutUs, bin())
		}
	}
}

// call simulates one call at the destination and schedules its outcome. Connections that have been idle for five
// seconds are closed.
func (fleet *fleet) call(sender *simSender, event Event, timeoutUs int64, bin *tally) {
	if bin.calls++; fleet.now < sender.retryAfterUntil-20*ms {
		fleet.earlyCalls++
	}
	if sender.noticedOutage {
		bin.informed++
	}
	inOutage := fleet.now >= fleet.outage[0] && fleet.now < fleet.outage[1]
	failsInOutage := inOutage && (fleet.outageSuccessShare == 0 || fleet.rng.Float64() >= fleet.outageSuccessShare)
	finish := func(delayUs int64, reason Outcome, loadReport []float64, retryDelayMs int64, keepConnection bool) {
		event.Outcome, event.LoadReport, event.RetryAfterMs, event.Final =
			reason, loadReport, retryDelayMs, reason == OutcomeSuccess
		fleet.schedule(fleet.now+delayUs, func() {
			if keepConnection {
				sender.idleSince = append(sender.idleSince, fleet.now)
			}
			fleet.deliver(sender, event)
			sender.noticedOutage = sender.noticedOutage || inOutage && reason != OutcomeSuccess
		})
	}
	for len(sender.idleSince) > 0 && fleet.now-sender.idleSince[0] > 5000*ms {
		sender.idleSince, fleet.connections = sender.idleSince[1:], fleet.connections-1
	}
	if failsInOutage {
		bin.failed++
		fleet.connections -= len(sender.idleSince)
		sender.idleSince = nil
		switch fleet.outageOutcome {
		case "":
			finish(20*ms, OutcomeConnectFailed, nil, 0, false)
		case OutcomeTimedOut:
			finish(timeoutUs, OutcomeTimedOut, nil, 0, false)
		default:
			finish(fleet.serviceUs, fleet.outageOutcome, nil, 0, true)
		}
		return
	}
	if idle := len(sender.idleSince); idle > 0 {
		sender.idleSince = sender.idleSince[:idle-1]
	} else if fleet.maxConnections > 0 && fleet.connections >= fleet.maxConnections {
		bin.connectionsRejected++
		finish(20*ms, OutcomeRejected, nil, 0, false)
		return
	} else {
		fleet.connections++
	}
	if fleet.errorShare > 0 && fleet.rng.Float64() < fleet.errorShare {
		bin.failed++
		finish(fleet.serviceUs, OutcomeFailed, nil, 0, true)
		return
	}
	if fleet.limit == nil {
		bin.delivered++
		finish(fleet.serviceUs, OutcomeSuccess, []float64{0, 0}, 0, true)
		return
	}
	limit := fleet.limit(fleet.now)
	fleet.tokens = min(limit/2, fleet.tokens+limit*float64(fleet.now-fleet.tokensAt)/1e6)
	fleet.tokensAt = fleet.now
	if fleet.now >= fleet.reportedAt+fleet.reportPeriodUs {
		fleet.reportedHeadroom, fleet.reportedAt = max(0, fleet.tokens)/(limit/2), fleet.now
	}
	loadReport, noHeadroomReport := []float64{fleet.reportedHeadroom, limit}, []float64{0, limit}
	if fleet.noReports {
		loadReport, noHeadroomReport = nil, nil
	}
	if fleet.now >= fleet.rejectsAll[0] && fleet.now < fleet.rejectsAll[1] {
		bin.rejected++
		finish(20*ms, OutcomeRejected, noHeadroomReport, (fleet.rejectsAll[1]-fleet.now)/1000, true)
		fleet.schedule(fleet.now+20*ms, func() { sender.retryAfterUntil = fleet.rejectsAll[1] + 20*ms })
		return
	}
	if fleet.tokens < 1 {
		if bin.rejected++; fleet.rejectionsUseLimit {
			fleet.tokens = max(fleet.tokens-1, -limit)
		}
		finish(20*ms, OutcomeRejected, loadReport, fleet.retryAfterMs, true)
		return
	}
	fleet.tokens--
	bin.delivered++
	finish(fleet.serviceUs, OutcomeSuccess, loadReport, 0, true)
}

// total returns the sum of the bins from one second of the last run to another.
func (fleet *fleet) total(fromSecond, toSecond int) (total tally) {
	for _, bin := range fleet.bins[fromSecond*10 : toSecond*10] {
		total.calls = total.calls + bin.calls
		total.delivered = total.delivered + bin.delivered
		total.rejected = total.rejected + bin.rejected
		total.connectionsRejected = total.connectionsRejected + bin.connectionsRejected
		total.failed = total.failed + bin.failed
	}
	return total
}
