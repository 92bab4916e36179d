package app

import (
	"context"
	"errors"
	"os"
	"slices"
	"sync/atomic"
	"syscall"
	"time"

	"brackendale/internal/admin"
	"brackendale/internal/config"
	"brackendale/internal/console"
	"brackendale/internal/eventlog"
	"brackendale/internal/failpoint"
	"brackendale/internal/group"
	"brackendale/internal/hotrestart"
	"brackendale/internal/logsink"
	"brackendale/internal/metrics"
	"brackendale/internal/net/loop"
	"brackendale/internal/net/reactor"
	"brackendale/internal/settings"
	"brackendale/sender"

	"github.com/rs/zerolog"
)

// incarnation is one run of the sender. A process has one incarnation, and a further one each time that a successor
// exits while it holds the journal and this process reclaims the journal. The steps of run set the fields in order;
// close undoes the steps in reverse order.
type incarnation struct {
	file    string // configuration file; empty if the environment alone configures the sender
	cfg     config.Config
	log     zerolog.Logger
	signals signals

	logOutput *logsink.Sink

	options sender.Options
	// reclaims means that an earlier incarnation of this process had the journal: no other process serves.
	reclaims bool
	reloaded atomic.Pointer[config.Config] // as last applied by a reload; nil: none was

	admin          *admin.Server // nil without a control address
	loop           *loop.Loop
	reactor        *reactor.Reactor
	core           *sender.Sender
	handover       openedCore        // state and connection of the predecessor, if there is one
	sockets        *listeningSockets // open before the transport starts
	peers          *peers            // nil without a group
	transport      *transport
	endIncarnation context.CancelCauseFunc // ends this incarnation

	closers []func() // for the started parts, in the order of their starts
}

// newIncarnation starts nothing. The first incarnation reads the configuration. A later one uses that of the previous
// one as it was in effect: the file may be meant for the successor by now, which has exited.
func newIncarnation(
	file string, opt Options, sig signals, logOutput *logsink.Sink, previous *incarnation,
) (*incarnation, error) {
	inc := &incarnation{file: file, signals: sig, logOutput: logOutput, reclaims: previous != nil}
	if previous == nil {
		cfg, err := config.Load(os.Getenv, file)
		if err != nil {
			return nil, err
		}
		inc.log = zerolog.New(logOutput).With().Timestamp().Str("sender", cfg.Name).Logger()
		if err := fitDescriptors(&cfg, inc.log); err != nil {
			return nil, err
		}
		inc.cfg = cfg
	} else {
		inc.cfg, inc.log = previous.cfg, previous.log
		inc.reloaded.Store(previous.reloaded.Load())
	}
	setMemoryLimit(inc.cfg, fullShare)
	inc.loop, inc.sockets = loop.New(), newListeningSockets()
	inc.options = inc.senderOptions(opt)
	inc.loop.SetStallObserver(func(kind loop.Stall, duration time.Duration) {
		inc.options.Events.RecordCounted(eventlog.Event{
			Kind: eventlog.Stalled, DelayMs: duration.Milliseconds(), Reason: string(kind),
		}, 1)
	})
	return inc, nil
}

// runAndClose runs an incarnation and stops what it has started. The error is errJournalReclaimed if another
// incarnation has to follow in this process.
func (inc *incarnation) runAndClose(ctx context.Context) error {
	defer inc.close()
	return inc.run(ctx)
}

func (inc *incarnation) senderOptions(opt Options) sender.Options {
	options := sender.Options{
		RunOnFronts:  inc.loop.Post,
		Name:         inc.cfg.Name,
		Settings:     inc.cfg.Settings,
		Seed:         int64(inc.cfg.Seed),
		StateDir:     inc.cfg.State,
		DiskBytes:    journalBytes(inc.cfg),
		Log:          inc.log,
		KeepSnapshot: true,
		FolderTrust:  opt.FolderTrust,
		Events:       newEvents(inc.cfg, inc.log),

		SingleUseConnections: true, // the platform egress reuses none
	}
	if opt.FolderTrust == sender.FolderTrusted && inc.file != "" && !onPlatform() {
		options.FolderTrust = sender.FolderVerified
	}
	if opt.Trace {
		options.Trace = os.Stderr
		inc.log.Info().Interface("settings", settings.Wire(&inc.cfg.Settings)).Interface("limits", inc.cfg.Limits).
			Msg("trace started, with these settings and limits")
	}
	if inc.cfg.Control != "" || inc.cfg.Console.Socket != "" {
		var classes []string
		for _, class := range inc.cfg.Settings.Classes {
			classes = append(classes, class.Name)
		}
		options.Metrics = metrics.New(classes)
		events := options.Events
		options.Metrics.AddMetrics(func() []metrics.Metric { return eventMetrics(events, inc.logOutput.Dropped()) })
	}
	return options
}

// onPlatform reports whether the platform configures this process. If not, it is an appliance, which a configuration
// file alone configures.
func onPlatform() bool { return os.Getenv("LB_CONFIG") != "" }

// journalBytes returns the size limit of the state folder.
func journalBytes(cfg config.Config) int64 { return int64(cfg.JournalMB() * (1 << 20)) }

// run starts the parts and serves until ctx ends, a graceful shutdown is complete, or another process has taken over.
func (inc *incarnation) run(ctx context.Context) error {
	for _, start := range []func(context.Context) error{
		inc.startAdmin, inc.startReactor, inc.openCore, inc.createPeers, inc.startTransport, inc.serveReadiness,
		inc.confirmServing,
	} {
		if err := start(ctx); err != nil {
			return err
		}
	}
	ctx, inc.endIncarnation = context.WithCancelCause(ctx)
	inc.onClose(func() { inc.endIncarnation(nil) })
	inc.startHotRestart(ctx)
	if inc.reclaims {
		go inc.openConsole(ctx)
	}
	go inc.reloadOnSignal(ctx)
	inc.onClose(inc.peers.start())
	go inc.shutDownOnSignal(ctx)
	warnOfExpiry(inc.log, inc.cfg)
	inc.log.Info().Str("listen", inc.cfg.Listen).Str("amqp", inc.cfg.AMQP.Listen).
		Str("amqps", inc.cfg.AMQP.TLS.Listen).Int("endpoints", len(inc.cfg.Endpoints.Hosts)).Msg("serving")
	return inc.serve(ctx)
}

// serve runs the core and the event loop until ctx ends.
func (inc *incarnation) serve(ctx context.Context) error {
	go inc.loop.Run(ctx)
	if err := inc.core.Run(ctx); err != nil {
		return err
	}
	if err := context.Cause(ctx); errors.Is(err, errJournalReclaimed) || errors.Is(err, errProcessExit) {
		return err
	}
	return nil
}

// onClose registers a function that close calls.
func (inc *incarnation) onClose(closer func()) { inc.closers = append(inc.closers, closer) }

// close stops the started parts, the last one first.
func (inc *incarnation) close() {
	for _, closer := range slices.Backward(inc.closers) {
		closer()
	}
}

// retry runs an operation of the start and repeats it while it fails with a transient error.
func (inc *incarnation) retry(ctx context.Context, operation func() error) error {
	timeout := startRetryTimeout
	if inc.reclaims {
		timeout = noRetryTimeout
	}
	return retryStart(ctx, inc.signals.terminate, inc.log, timeout, operation)
}

// startAdmin opens the control address, which reports from now on that the process is starting.
func (inc *incarnation) startAdmin(ctx context.Context) error {
	if inc.cfg.Control == "" {
		return nil
	}
	err := inc.retry(ctx, func() (err error) {
		inc.admin, err = admin.Listen(inc.cfg.Control, inc.options.Metrics.Write, metrics.Format)
		return err
	})
	if errors.Is(err, errProcessExit) {
		return err
	}
	if err != nil {
		return &config.KeyError{Key: "control (LB_CONTROL)", Err: err}
	}
	inc.onClose(func() { _ = inc.admin.Close() })
	return nil
}

func (inc *incarnation) startReactor(ctx context.Context) error {
	unsentBytes := int64(inc.cfg.Limits.MemoryMB * unsentMemoryShare * (1 << 20))
	if err := inc.retry(ctx, func() (err error) {
		inc.reactor, err = reactor.New(inc.loop, unsentBytes)
		return err
	}); err != nil {
		return err
	}
	inc.onClose(inc.reactor.Stop)
	inc.reactor.OnHandshakeError = (&handshakeLog{log: inc.log, now: inc.loop.Now}).report
	return nil
}

// openCore opens the journal and creates the core. If a predecessor is running, a hot restart comes first.
func (inc *incarnation) openCore(ctx context.Context) error {
	opener := &coreOpener{
		cfg:         inc.cfg,
		reclaims:    inc.reclaims,
		log:         inc.log,
		terminate:   inc.signals.terminate,
		setStarting: func(string) {},
		prepare:     func(welcome hotrestart.Message) error { return inc.prepare(ctx, welcome) },
		openCore: func(state *hotrestart.State) (*sender.Sender, error) {
			inc.options.Checkpoint = nil
			if state != nil {
				inc.options.Checkpoint = &state.Core
			}
			return sender.New(inc.options)
		},
	}
	if inc.admin != nil {
		opener.setStarting = inc.admin.SetStarting
	}
	opened, err := opener.run(ctx)
	if err != nil {
		return err
	}
	inc.core, inc.handover = opened.core, opened
	inc.options.Checkpoint = nil // releases the memory of a large checkpoint
	return nil
}

// prepare opens the listening sockets while the predecessor still serves: it passes those that it has, and no other
// program may have the rest. A predecessor of an earlier release keeps its own until it has released the journal.
func (inc *incarnation) prepare(ctx context.Context, welcome hotrestart.Message) error {
	if !welcome.Confirms {
		return nil
	}
	if err := inc.sockets.adopt(inc.cfg, welcome.Listeners, welcome.Descriptors); err != nil {
		return err
	}
	return retryStart(ctx, inc.signals.terminate, inc.log, prepareRetryTimeout, func() error {
		return inc.sockets.open(inc.cfg)
	})
}

// createPeers creates the member of the group, if one is configured. It joins the group once the peers are started.
func (inc *incarnation) createPeers(context.Context) error {
	if inc.cfg.Group.Enabled() {
		inc.peers = newPeers(inc.core, inc.cfg, inc.log)
		inc.options.Metrics.AddMetrics(inc.peers.group.CollectMetrics)
	}
	return nil
}

func (inc *incarnation) startTransport(ctx context.Context) (err error) {
	failpoint.Reach(failpoint.JournalOpened)
	inc.transport, err = newTransport(inc.transportParams(ctx))
	inc.handover.state = nil
	failpoint.Reach(failpoint.SocketInherited)
	if err != nil {
		return err
	}
	if reloaded := inc.reloaded.Load(); reloaded != nil {
		inc.options.Events.SetLevel(reloaded.Events)
		return inc.transport.applyConfig(inc.core, *reloaded)
	}
	return nil
}

func (inc *incarnation) transportParams(ctx context.Context) transportParams {
	var member *group.Group
	if inc.peers != nil {
		member = inc.peers.group
	}
	drainer := &drainer{core: inc.core, group: member, log: inc.log, shutDown: inc.startShutdown}
	return transportParams{
		core:         inc.core,
		reactor:      inc.reactor,
		cfg:          inc.cfg,
		handover:     inc.handover.state,
		console:      console.Sources{Group: member, Drain: drainer.drain},
		retry:        func(operation func() error) error { return inc.retry(ctx, operation) },
		sockets:      inc.sockets,
		startPaused:  inc.handover.confirms,
		consoleLater: inc.reclaims || inc.handover.link != nil && !inc.handover.confirms,
	}
}

// confirmServing reports to the predecessor that the start is complete: nothing that may still fail follows. Only then
// may this process write to the journal, send anything, or accept a client.
func (inc *incarnation) confirmServing(context.Context) error {
	if !inc.handover.confirms {
		return nil
	}
	inc.handover.link.send(hotrestart.Message{Kind: hotrestart.KindServing})
	inc.handover.link.waitFlushed()
	failpoint.Reach(failpoint.ServingConfirmed)
	inc.transport.resumeListeners()
	return nil
}

// serveReadiness lets the control address report the readiness of the core and exclude endpoints.
func (inc *incarnation) serveReadiness(context.Context) error {
	if inc.admin != nil {
		inc.admin.SetReady(inc.core.Ready, inc.exclude)
		inc.admin.SetEventLevel(inc.setEventLevel)
	}
	return nil
}

// exclude excludes an endpoint or includes it again, and returns once the core has recorded that.
func (inc *incarnation) exclude(ctx context.Context, endpoint string, excluded bool) error {
	done := make(chan error, 1)
	inc.core.Exclude(endpoint, excluded, func(err error) { done <- err })
	select {
	case err := <-done:
		if errors.Is(err, sender.ErrUnknownEndpoint) {
			return admin.ErrUnknownEndpoint
		}
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// startHotRestart handles the messages of the predecessor, if there is one, and lets a later process take over from
// this one.
func (inc *incarnation) startHotRestart(ctx context.Context) {
	predecessorSide := &predecessor{
		core:           inc.core,
		loop:           inc.loop,
		transport:      inc.transport,
		cfg:            inc.cfg,
		log:            inc.log,
		endIncarnation: inc.endIncarnation,
		startShutdown:  inc.startShutdown,
		shuttingDown:   inc.signals.shuttingDown,
	}
	if inc.handover.link != nil {
		predecessorSide.machine.State = hotrestart.OwnPredecessorDraining
		predecessorSide.setShares(halfShare, halfShare)
		successorSide := &successor{
			core:      inc.core,
			loop:      inc.loop,
			transport: inc.transport,
			link:      inc.handover.link,
			predecessorEnded: func() {
				predecessorSide.handle(hotrestart.OwnPredecessorEnded)
				predecessorSide.setShares(fullShare, fullShare)
				if !inc.handover.confirms { // an earlier release keeps its console until it exits
					inc.openConsole(ctx)
				}
			},
			offers: map[uint64]*sender.Request{},
		}
		inc.loop.Post(func() { inc.transport.shareRetryAfter(inc.handover.link) })
		inc.core.SetPredecessor(successorSide)
		go successorSide.handlePredecessorMessages()
	}
	if inc.cfg.Upgrade {
		predecessorSide.listen(ctx)
		inc.onClose(predecessorSide.close)
	}
}

// openConsole opens the console of a sender that serves already, with or without it.
func (inc *incarnation) openConsole(ctx context.Context) {
	params := inc.transportParams(ctx)
	params.retry = func(operation func() error) error { // signals are not for this goroutine
		return retryStart(ctx, nil, inc.log, noRetryTimeout, operation)
	}
	if err := inc.transport.startConsole(params); err != nil {
		inc.log.Error().Err(err).Msg("the console cannot be opened: the sender serves without it")
	}
}

// startShutdown starts a graceful shutdown, as SIGTERM does.
func (inc *incarnation) startShutdown() { inc.signals.terminate <- syscall.SIGTERM }

// warnOfExpiry logs a warning for each certificate that expires soon.
func warnOfExpiry(log zerolog.Logger, cfg config.Config) {
	for name, expires := range cfg.TLSConfigs.ExpiringCertificates(time.Now()) {
		log.Warn().Str("of", name).Time("expires", expires).Msg("certificate expires soon: renew it")
	}
}
