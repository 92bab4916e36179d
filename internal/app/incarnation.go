package app

import (
	"context"
	"errors"
	"os"
	"slices"
	"syscall"
	"time"

	"brackendale/internal/admin"
	"brackendale/internal/config"
	"brackendale/internal/console"
	"brackendale/internal/failpoint"
	"brackendale/internal/group"
	"brackendale/internal/hotrestart"
	"brackendale/internal/metrics"
	"brackendale/internal/net/loop"
	"brackendale/internal/net/reactor"
	"brackendale/internal/settings"
	"brackendale/sender"

	"github.com/rs/zerolog"
)

// incarnation is one run of the sender: the whole time of the process, unless a successor dies with the journal and
// this process takes it back. The steps of run set its fields, in their order; close undoes the steps in reverse.
type incarnation struct {
	file    string // of the configuration; empty: the environment alone
	cfg     config.Config
	log     zerolog.Logger
	signals signals
	options sender.Options

	admin     *admin.Server // nil without a second address
	loop      *loop.Loop
	reactor   *reactor.Reactor
	core      *sender.Sender
	handover  openedCore // what a predecessor left, if there was one
	peers     *peers     // nil without a group
	transport *transport
	end       context.CancelCauseFunc // ends this incarnation

	closers []func() // of the started parts, in the order of their starts
}

// runIncarnation serves once. The error is errJournalReclaimed where another incarnation has to follow in this process.
func runIncarnation(ctx context.Context, file string, opt Options, sig signals) error {
	inc, err := newIncarnation(file, opt, sig)
	if err != nil {
		return err
	}
	defer inc.close()
	return inc.run(ctx)
}

// newIncarnation reads the configuration and starts nothing.
func newIncarnation(file string, opt Options, sig signals) (*incarnation, error) {
	cfg, err := config.Load(os.Getenv, file)
	if err != nil {
		return nil, err
	}
	setMemoryLimit(cfg, fullShare)
	inc := &incarnation{
		file:    file,
		log:     zerolog.New(os.Stderr).With().Timestamp().Str("sender", cfg.Name).Logger(),
		signals: sig,
	}
	if err := fitDescriptors(&cfg, inc.log); err != nil {
		return nil, err
	}
	inc.cfg = cfg
	inc.loop = loop.New()
	inc.options = inc.senderOptions(opt)
	return inc, nil
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
	}
	if opt.FolderTrust == sender.FolderTrusted && inc.file != "" && !onPlatform() {
		options.FolderTrust = sender.FolderVerified
	}
	if opt.Trace {
		options.Trace = os.Stderr
		inc.log.Info().Interface("settings", settings.Wire(&inc.cfg.Settings)).Interface("limits", inc.cfg.Limits).
			Msg("the trace of decisions begins: these are the settings and limits")
	}
	if inc.cfg.Control != "" || inc.cfg.Console.Socket != "" {
		var classes []string
		for _, class := range inc.cfg.Settings.Classes {
			classes = append(classes, class.Name)
		}
		options.Metrics = metrics.New(classes)
	}
	return options
}

// onPlatform tells whether the platform configures this process, and not an appliance's file alone.
func onPlatform() bool { return os.Getenv("LB_CONFIG") != "" }

// journalBytes is how much may lie in the state folder.
func journalBytes(cfg config.Config) int64 { return int64(cfg.JournalMB() * (1 << 20)) }

// run starts the parts and serves until ctx ends, a graceful shutdown is over, or another process goes on.
func (inc *incarnation) run(ctx context.Context) error {
	for _, start := range []func(context.Context) error{
		inc.startAdmin, inc.startReactor, inc.openCore, inc.createPeers, inc.startTransport, inc.announceReady,
	} {
		if err := start(ctx); err != nil {
			return err
		}
	}
	ctx, inc.end = context.WithCancelCause(ctx)
	inc.onClose(func() { inc.end(nil) })
	if err := inc.startHotRestart(ctx); err != nil {
		return err
	}
	go inc.reloadOnSignal(ctx)
	leaveGroup := inc.peers.start()
	inc.onClose(leaveGroup)
	go inc.shutDownOnSignal(ctx, leaveGroup)
	warnOfExpiry(inc.log, inc.cfg)
	inc.log.Info().Str("listen", inc.cfg.Listen).Str("amqp", inc.cfg.AMQP.Listen).
		Str("amqps", inc.cfg.AMQP.TLS.Listen).Int("endpoints", len(inc.cfg.Known.Hosts)).Msg("serving")
	return inc.serve(ctx)
}

// serve runs core and loop until ctx ends.
func (inc *incarnation) serve(ctx context.Context) error {
	go inc.loop.Run(ctx)
	if err := inc.core.Run(ctx); err != nil {
		return err
	}
	if err := context.Cause(ctx); errors.Is(err, errJournalReclaimed) || errors.Is(err, errProcessEnds) {
		return err
	}
	return nil
}

// onClose adds what close has to do for a part that has started.
func (inc *incarnation) onClose(f func()) { inc.closers = append(inc.closers, f) }

// close ends the started parts, the last one first.
func (inc *incarnation) close() {
	for _, f := range slices.Backward(inc.closers) {
		f()
	}
}

// retry does a part of the start that the system may refuse for a moment.
func (inc *incarnation) retry(ctx context.Context, part func() error) error {
	return retryStart(ctx, inc.signals.terminate, inc.log, part)
}

// startAdmin opens the second address, which answers from here on that the process starts.
func (inc *incarnation) startAdmin(ctx context.Context) error {
	if inc.cfg.Control == "" {
		return nil
	}
	err := inc.retry(ctx, func() (err error) {
		inc.admin, err = admin.Listen(inc.cfg.Control, inc.options.Metrics.Write, metrics.Format)
		return err
	})
	if errors.Is(err, errProcessEnds) {
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

// openCore opens the journal and the core on it, after a hot restart where a predecessor serves.
func (inc *incarnation) openCore(ctx context.Context) error {
	opener := &coreOpener{
		cfg:         inc.cfg,
		log:         inc.log,
		terminate:   inc.signals.terminate,
		setStarting: func(string) {},
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
	inc.options.Checkpoint = nil // the memory of a large state is not held for long
	return nil
}

// createPeers makes this sender a member of its group. It takes part once the peers are started.
func (inc *incarnation) createPeers(context.Context) error {
	if inc.cfg.Group.Is() {
		inc.peers = newPeers(inc.core, inc.cfg, inc.log)
		inc.options.Metrics.Include(inc.peers.group.Figures)
	}
	return nil
}

func (inc *incarnation) startTransport(ctx context.Context) (err error) {
	var member *group.Group
	if inc.peers != nil {
		member = inc.peers.group
	}
	failpoint.Reach(failpoint.JournalOpened)
	drainer := &drainer{core: inc.core, group: member, log: inc.log, shutDown: inc.startShutdown}
	inc.transport, err = newTransport(transportParams{
		core:     inc.core,
		reactor:  inc.reactor,
		cfg:      inc.cfg,
		handover: inc.handover.state,
		console:  console.Sources{Group: member, Drain: drainer.drain},
		retry:    func(part func() error) error { return inc.retry(ctx, part) },
	})
	inc.handover.state = nil
	failpoint.Reach(failpoint.SocketInherited)
	return err
}

// announceReady lets the second address ask the core.
func (inc *incarnation) announceReady(context.Context) error {
	if inc.admin != nil {
		inc.admin.SetReady(inc.core.Ready, inc.exclude)
	}
	return nil
}

// exclude takes an endpoint out or puts it back, and returns once the core has recorded that.
func (inc *incarnation) exclude(ctx context.Context, endpoint string, out bool) error {
	done := make(chan error, 1)
	inc.core.Exclude(endpoint, out, func(err error) { done <- err })
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

// startHotRestart follows the predecessor, if there is one, and lets a later process take this one's place.
func (inc *incarnation) startHotRestart(ctx context.Context) error {
	own := &predecessor{
		core:          inc.core,
		loop:          inc.loop,
		transport:     inc.transport,
		cfg:           inc.cfg,
		log:           inc.log,
		end:           inc.end,
		startShutdown: inc.startShutdown,
	}
	if inc.handover.link != nil {
		own.setShares(halfShare, halfShare)
		s := &successor{
			core:             inc.core,
			link:             inc.handover.link,
			predecessorEnded: func() { own.setShares(fullShare, fullShare) },
			offers:           map[uint64]*sender.Request{},
		}
		inc.core.SetPredecessor(s)
		go s.followPredecessor()
	}
	if !inc.cfg.Upgrade {
		return nil
	}
	if err := own.listen(ctx); err != nil {
		return err
	}
	inc.onClose(own.close)
	return nil
}

// startShutdown has the effect of SIGTERM.
func (inc *incarnation) startShutdown() { inc.signals.terminate <- syscall.SIGTERM }

// warnOfExpiry logs the certificates that expire soon.
func warnOfExpiry(log zerolog.Logger, cfg config.Config) {
	for name, expires := range cfg.Secure.Renew(time.Now()) {
		log.Warn().Str("of", name).Time("expires", expires).Msg("certificate expires soon: it is to be renewed")
	}
}
