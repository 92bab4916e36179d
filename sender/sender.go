// Package sender is the embeddable core of the message sender. It collects requests and attempt
// results, hands them to the scheduler in one step, records what the step decided in the journal,
// and only then carries it out. It deals in requests, attempts and outcomes and knows no wire
// protocol.
//
// One goroutine, in Sender.Run, owns the scheduler, the journal and the route table. The ingresses
// and egresses live on another one (Options.RunOnFronts). They may call the sender from any
// goroutine; such calls are queued for the next step. What the sender tells them is handed over
// once a step, in order. State, Pause, AddIngress and AddEgress belong to Run's goroutine; Post is
// the way onto it.
package sender

import (
	"context"
	"io"
	"math/rand"
	"sync"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/journal"
	"brackendale/internal/metrics"
	"brackendale/internal/recovery"
	"brackendale/internal/snapshot"
	"brackendale/internal/trace"
	"brackendale/scheduler"

	"github.com/rs/zerolog"
)

// Options are the parameters of New.
type Options struct {
	Name      string // of the sender; it stays the same over restarts
	Settings  scheduler.Settings
	Seed      int64 // of the sender's random numbers
	StateDir  string
	DiskBytes int64 // bytes that StateDir may take
	Log       zerolog.Logger
	Metrics   *metrics.Registry // nil: no metrics are kept
	Trace     io.Writer         // gets a line for each step with events or actions; nil: no trace

	// KeepSnapshot restores the learned state of the last incarnation from StateDir, and keeps this
	// one's there.
	KeepSnapshot bool

	// FolderTrust says how far StateDir is trusted.
	FolderTrust FolderTrust

	// Checkpoint is what the predecessor of a hot restart gave; this sender goes on in its place.
	// nil: a plain start.
	Checkpoint *Checkpoint

	// RunOnFronts runs its argument on the fronts' goroutine, after what it was given before. nil:
	// on Run's goroutine.
	RunOnFronts func(func())
}

// Sender is the core of one sender. Run's goroutine owns its state, but for the fields that say
// otherwise.
type Sender struct {
	options Options
	log     zerolog.Logger
	metrics *metrics.Registry // nil: no metrics are kept
	tracer  *trace.Writer     // nil: no trace

	scheduler *scheduler.Scheduler
	journal   *journal.Journal

	// The steady clock is read once, at the start, and advanced by the monotonic clock from there.
	startedAt       time.Time
	startInstant    clock.Instant
	minStepInterval time.Duration // the least time between two steps

	// Functions that other goroutines posted for Run's goroutine.
	mu     sync.Mutex
	posted []func()
	wake   chan struct{}

	ingresses map[string]Ingress // by the name under which they were added
	egresses  map[string]Egress  // by protocol

	// From the settings.
	classes         map[string]scheduler.Class
	messagesPerCall map[string]int // by machine type

	// The endpoints.
	routes         map[string]Route
	routeStats     map[string]*RouteState
	destinations   sync.Map   // of int64: destinations that ever had a route; any goroutine reads it
	knownEndpoints knownNames // names that were ever listed
	draining       drainingEndpoints

	// Messages.
	nextInput     stepInput
	lastStep      time.Time
	pending       int                // accepted, without a final answer
	unsentAnswers []*journal.Entry   // final answers to be handed to the ingresses once they are recorded
	endedIDs      recentIDs          // of messages that were accepted and are over
	expiring      expiringIDs        // acknowledged messages whose ids are kept for a while
	onFlushed     []func(error)      // called once the record that is being written is durable
	diskStall     diskStall          // the journal cannot be written
	outbox        []outboxItem       // calls to the fronts, made at the end of the step
	stats         State              // the counters of State
	avoidedRoutes avoidedRoutesGauge // for the metrics

	// Waits that clients get where the scheduler was not asked.
	finalAnswerRate decayingRate
	retryAfterQueue recovery.RetryAfterQueue
	rng             *rand.Rand

	readiness    readiness
	backpressure backpressure
	recovery     recoveryProgress
	snapshots    snapshotWriter
	hotRestart   hotRestart
}

// stepInput is what the next step hands to the scheduler.
type stepInput struct {
	events        []scheduler.Event
	requests      []*Request
	requestIDs    map[string]bool // of requests
	reservedBytes int             // what requests will take in the journal
	transactions  []*Transaction
}

// New opens the journal and makes a sender. Ingresses and egresses are added before Run. The error
// is journal.ErrLocked where another process uses the state folder.
func New(options Options) (*Sender, error) {
	if options.RunOnFronts == nil {
		options.RunOnFronts = func(f func()) { f() }
	}
	core, err := scheduler.New(options.Settings, options.Seed)
	if err != nil {
		return nil, err
	}
	if options.Checkpoint != nil {
		if err := core.SetState(options.Checkpoint.Scheduler, int64(clock.Steady())); err != nil {
			return nil, err
		}
	}
	// A small folder keeps messages alone.
	options.KeepSnapshot = options.KeepSnapshot && options.DiskBytes >= minFolderSnapshots*snapshot.MaxBytes
	if options.KeepSnapshot {
		options.DiskBytes -= 2 * snapshot.MaxBytes // the snapshot, and the one that replaces it
	}
	readStarted := time.Now()
	opened, err := journal.Open(options.StateDir, options.DiskBytes)
	if err != nil {
		return nil, err
	}
	journalReadTime := time.Since(readStarted)
	s := newSender(options, core, opened)
	s.recovery.journalReadTime = journalReadTime
	s.restoreFolder()
	s.metrics.Include(s.RecoveryFigures)
	return s, nil
}

// minFolderSnapshots is how many snapshots of full size a folder must have room for to keep one.
const minFolderSnapshots = 16

func newSender(options Options, core *scheduler.Scheduler, opened *journal.Journal) *Sender {
	s := &Sender{
		options:         options,
		log:             options.Log,
		metrics:         options.Metrics,
		scheduler:       core,
		journal:         opened,
		startedAt:       time.Now(),
		startInstant:    clock.Steady(),
		minStepInterval: time.Duration(options.Settings.TickUs) * time.Microsecond,
		wake:            make(chan struct{}, 1),
		ingresses:       map[string]Ingress{},
		egresses:        map[string]Egress{},
		classes:         classesByName(options.Settings),
		messagesPerCall: map[string]int{},
		routes:          map[string]Route{},
		routeStats:      map[string]*RouteState{},
		nextInput:       stepInput{requestIDs: map[string]bool{}},
		rng:             rand.New(rand.NewSource(options.Seed)),
	}
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

// AddIngress adds a client's side under a name that stays the same over restarts: before Run, or
// posted.
func (s *Sender) AddIngress(name string, in Ingress) { s.ingresses[name] = in }

// AddEgress adds the egress for the routes of a protocol: before Run, or posted.
func (s *Sender) AddEgress(proto string, out Egress) { s.egresses[proto] = out }

// Post lets task run on the sender's goroutine, after what was posted before. Any goroutine may
// call it.
func (s *Sender) Post(task func()) {
	s.mu.Lock()
	s.posted = append(s.posted, task)
	s.mu.Unlock()
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// runPosted runs what was posted.
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

// Now reads the steady clock, which is the same in every process on this machine. It makes no
// system call. Any goroutine may call it.
func (s *Sender) Now() clock.Instant { return s.startInstant.Add(time.Since(s.startedAt)) }

// Run restores what the journal holds and serves until ctx ends. It returns nil then.
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
	s.runPosted() // the scheduler hears of the endpoints before it hears of restored messages
	s.restoreJournal()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-s.wake:
		}
		// What comes within one tick of the last step is handed over together.
		if wait := s.minStepInterval - time.Since(s.lastStep); wait > 0 {
			time.Sleep(wait)
		}
		s.runIteration()
		s.writeSnapshotIfDue(false)
		s.quiesceIfRequested()
	}
}

// Stop begins the graceful shutdown: from here on only attempts start that should end before the
// given time. It is called once; any goroutine may call it.
func (s *Sender) Stop(until clock.Instant) {
	s.Post(func() {
		if s.handedOver() {
			return
		}
		s.readiness.stopping = true
		s.addEvents(scheduler.Event{Kind: scheduler.ShutdownStarted, Deadline: int64(until)})
		s.log.Info().Int64("left_ms", until.Sub(s.Now()).Milliseconds()).Int("open", s.pending).
			Msg("graceful shutdown started: only attempts that end in time are sent")
	})
}
