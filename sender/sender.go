// Package sender is the embeddable core of the message sender. It collects requests and attempt
// results, passes them to the scheduler in one step, records the decisions of the step in the
// journal, and only then carries them out. It works on requests, attempts and outcomes and is
// independent of wire protocols.
//
// The goroutine of Sender.Run owns the scheduler, the journal and the route table. The ingresses
// and egresses of all fronts run on another goroutine (Options.RunOnFronts). They may call the
// sender from any goroutine; such calls are queued for the next step. The sender's calls to them
// are collected and made once per step, in order. State, Pause, AddIngress and AddEgress may only
// be called on Run's goroutine; Post runs a function there.
package sender

import (
	"context"
	"io"
	"math/rand"
	"sync"
	"sync/atomic"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/eventlog"
	"brackendale/internal/journal"
	"brackendale/internal/lifecycle"
	"brackendale/internal/metrics"
	"brackendale/internal/recovery"
	"brackendale/internal/snapshot"
	"brackendale/internal/trace"
	"brackendale/scheduler"

	"github.com/rs/zerolog"
)

// Options are the parameters of New.
type Options struct {
	Name      string // of the sender; it stays the same across restarts
	Settings  scheduler.Settings
	Seed      int64 // seeds the sender's random numbers
	StateDir  string
	DiskBytes int64 // limit on the size of the files in StateDir
	Log       zerolog.Logger
	Metrics   *metrics.Registry  // nil: no metrics are kept
	Events    *eventlog.Recorder // nil: no events are recorded
	Trace     io.Writer          // receives a line for each step with events or actions; nil: no trace

	// KeepSnapshot restores the learned state of the previous incarnation from the snapshot in
	// StateDir, and writes snapshots of this one's there.
	KeepSnapshot bool

	// SingleUseConnections states that egresses open a connection for each call.
	SingleUseConnections bool

	// FolderTrust is how far StateDir is trusted to be as the previous incarnation left it.
	FolderTrust FolderTrust

	// Checkpoint is the state received from the predecessor in a hot restart, which this sender
	// replaces. nil: an ordinary start.
	Checkpoint *Checkpoint

	// RunOnFronts runs its argument on the fronts' goroutine, in the order of the calls. nil: the
	// argument runs on Run's goroutine.
	RunOnFronts func(func())
}

// Sender is the core of one sender. Run's goroutine owns its state, except for fields documented
// otherwise.
type Sender struct {
	options Options
	log     zerolog.Logger
	metrics *metrics.Registry  // nil: no metrics are kept
	tracer  *trace.Writer      // nil: no trace
	events  *eventlog.Recorder // nil: no events are recorded

	scheduler *scheduler.Scheduler
	journal   *journal.Journal
	guard     *lifecycle.Guard // any goroutine may use it

	// The steady clock is read once, at the start. Later times are that reading plus the time elapsed
	// on Go's monotonic clock.
	startedAt       time.Time
	startInstant    clock.Instant
	minStepInterval time.Duration // between two steps, at least

	// Functions that other goroutines have posted for Run's goroutine.
	mu     sync.Mutex
	posted []func()
	wake   chan struct{}

	ingresses map[string]Ingress // by the name under which they were added
	egresses  map[string]Egress  // by protocol

	// From the settings.
	classes         map[string]scheduler.Class
	messagesPerCall map[string]int // by machine type

	// Endpoints.
	routes         map[string]Route
	routeStats     map[string]*RouteState
	destinations   sync.Map   // keys of type int64: destinations that ever had a route; any goroutine reads it
	knownEndpoints knownNames // names of all endpoints that were ever listed
	reported       reportedEndpoints

	hasEarlierReport        bool   // see HasEarlierReport; it does not change after New, as the next one
	earlierGroupIncarnation uint64 // see EarlierGroupIncarnation

	// Messages.
	nextInput     stepInput
	lastStep      time.Time
	pending       int                         // messages that were accepted and have no final answer
	unsentAnswers []*journal.Entry            // messages whose final answers go to the ingresses once they are recorded
	withoutFront  map[string][]*journal.Entry // messages whose final answers wait for a front, by its name
	endedIDs      recentIDs                   // of accepted messages that were removed from the journal
	expiring      expiringIDs                 // acknowledged messages whose ids are kept until they expire
	onFlushed     []func(error)               // called once the next record of the journal is durable
	redirected    map[string]bool             // messages with a repeat that is not durable yet, by id
	diskStall     diskStall                   // state while the journal cannot be written
	outbox        []outboxItem                // calls to the fronts, made at the end of the step
	violations    atomic.Int64
	stats         State              // the counters that State returns
	avoidedRoutes avoidedRoutesGauge // for the metrics

	// For the Retry-After of requests that are rejected without a decision of the scheduler.
	finalAnswerRate decayingRate
	retryAfterQueue recovery.RetryAfterQueue
	rng             *rand.Rand

	readiness    readiness
	backpressure backpressure
	recovery     recoveryProgress
	snapshots    snapshotWriter
	hotRestart   hotRestart
}

// stepInput collects the input of the next step of the scheduler.
type stepInput struct {
	events        []scheduler.Event
	requests      []*Request
	requestIDs    map[string]bool // the ids of requests
	reservedBytes int             // journal space that requests need
	transactions  []*Transaction
}

// New opens the journal and returns a sender. Ingresses and egresses are added before Run. The error
// is journal.ErrLocked if another process uses the state folder.
func New(options Options) (*Sender, error) {
	if options.RunOnFronts == nil {
		options.RunOnFronts = func(f func()) { f() }
	}
	sched, err := scheduler.New(options.Settings, options.Seed)
	if err != nil {
		return nil, err
	}
	if options.SingleUseConnections {
		sched.UseConnectionsOnce()
	}
	if options.Checkpoint != nil {
		logRepairs(options.Log, options.Checkpoint.Scheduler.Repair())
		if err := sched.RestoreState(options.Checkpoint.Scheduler, int64(clock.Steady())); err != nil {
			return nil, err
		}
	}
	// A small disk budget is left to the journal: no snapshots are kept then.
	options.KeepSnapshot = options.KeepSnapshot && options.DiskBytes >= minFolderSnapshots*snapshot.MaxBytes
	if options.KeepSnapshot {
		options.DiskBytes -= 2 * snapshot.MaxBytes // the current snapshot and the file that replaces it
	}
	readStarted := time.Now()
	opened, err := journal.Open(options.StateDir, options.DiskBytes)
	if err != nil {
		return nil, err
	}
	journalReadTime := time.Since(readStarted)
	s := newSender(options, sched, opened)
	s.recovery.journalReadTime = journalReadTime
	if options.Checkpoint != nil {
		s.reported.resume(options.Checkpoint)
	}
	s.restoreFolder()
	s.hasEarlierReport = s.reported.live != nil
	s.metrics.AddMetrics(s.RecoveryMetrics)
	return s, nil
}

// logRepairs logs the impossible numbers of a stored or received state that were replaced.
func logRepairs(log zerolog.Logger, repairs []string) {
	if len(repairs) > 0 {
		log.Warn().Strs("numbers", repairs).
			Msg("the state of the previous incarnation had impossible numbers: they are replaced")
	}
}

// minFolderSnapshots is the least disk budget, in snapshots of maximum size, with which snapshots are
// kept.
const minFolderSnapshots = 16

func newSender(options Options, sched *scheduler.Scheduler, opened *journal.Journal) *Sender {
	s := &Sender{
		options:         options,
		log:             options.Log,
		metrics:         options.Metrics,
		events:          options.Events,
		scheduler:       sched,
		journal:         opened,
		startedAt:       time.Now(),
		startInstant:    clock.Steady(),
		minStepInterval: time.Duration(options.Settings.TickUs) * time.Microsecond,
		wake:            make(chan struct{}, 1),
		ingresses:       map[string]Ingress{},
		withoutFront:    map[string][]*journal.Entry{},
		redirected:      map[string]bool{},
		egresses:        map[string]Egress{},
		classes:         classesByName(options.Settings),
		messagesPerCall: map[string]int{},
		routes:          map[string]Route{},
		routeStats:      map[string]*RouteState{},
		nextInput:       stepInput{requestIDs: map[string]bool{}},
		rng:             rand.New(rand.NewSource(options.Seed)),
	}
	s.guard = lifecycle.New(s.recordViolation)
	s.recovery.restored = map[string]bool{}
	s.setNotReady(errStarting)
	if options.Trace != nil {
		s.tracer = trace.NewWriter(options.Trace, options.Name)
	}
	for i, machineType := range options.Settings.MachineTypes {
		if i < len(options.Settings.Calls.MessagesPerCall) {
			s.messagesPerCall[machineType] = options.Settings.Calls.MessagesPerCall[i]
		}
	}
	return s
}

func classesByName(settings scheduler.Settings) map[string]scheduler.Class {
	classes := map[string]scheduler.Class{}
	for _, class := range settings.Classes {
		classes[class.Name] = class
	}
	return classes
}

// AddIngress adds the ingress of a front. The name must stay the same across restarts, since the
// journal stores it with each message. The final answers that waited for it follow. AddIngress is called
// before Run or through Post.
func (s *Sender) AddIngress(name string, ingress Ingress) {
	s.ingresses[name] = ingress
	s.unsentAnswers = append(s.unsentAnswers, s.withoutFront[name]...)
	delete(s.withoutFront, name)
}

// AddEgress adds the egress for the routes of a protocol. It is called before Run or through Post.
func (s *Sender) AddEgress(protocol string, egress Egress) { s.egresses[protocol] = egress }

// Post queues task to run on Run's goroutine, after all tasks posted before. Any goroutine may call
// it.
func (s *Sender) Post(task func()) {
	s.mu.Lock()
	s.posted = append(s.posted, task)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runPosted runs the posted functions.
func (s *Sender) runPosted() {
	s.mu.Lock()
	posted := s.posted
	s.posted = nil
	s.mu.Unlock()
	for _, task := range posted {
		task()
	}
}

// addEvents queues events for the next step.
func (s *Sender) addEvents(events ...scheduler.Event) {
	s.nextInput.events = append(s.nextInput.events, events...)
}

// Now returns the time of the steady clock, which is the same in every process on this machine. It
// makes no system call. Any goroutine may call it.
func (s *Sender) Now() clock.Instant { return s.startInstant.Add(time.Since(s.startedAt)) }

// Run restores the messages of the journal and serves until ctx is done; it then returns nil.
func (s *Sender) Run(ctx context.Context) error {
	defer func() {
		if !s.handedOver() {
			_ = s.journal.Close()
		}
	}()
	if s.options.KeepSnapshot {
		s.startSnapshotWriter()
		defer s.stopSnapshotWriter()
	}
	s.runPosted() // the scheduler gets the endpoint list before the restored messages
	s.restoreJournal()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		}
		// Events that arrive within minStepInterval of the last step go into one step.
		if wait := s.minStepInterval - time.Since(s.lastStep); wait > 0 {
			time.Sleep(wait)
		}
		s.runIteration()
		s.writeSnapshotIfDue(false)
		s.quiesceIfRequested()
	}
}

// Stop begins the graceful shutdown: from now on only attempts are started that are expected to end
// before deadline. It is called at most once; any goroutine may call it.
func (s *Sender) Stop(deadline clock.Instant) {
	s.Post(func() {
		if s.handedOver() {
			return
		}
		s.readiness.stopping = true
		s.addEvents(scheduler.Event{Kind: scheduler.ShutdownStarted, Deadline: int64(deadline)})
		s.log.Info().Int64("left_ms", deadline.Sub(s.Now()).Milliseconds()).Int("open", s.pending).
			Msg("graceful shutdown started: only attempts that are expected to end in time are started")
	})
}
