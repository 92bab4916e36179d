package app

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/failpoint"
	"brackendale/internal/hotrestart"
	"brackendale/internal/net/failure"
	"brackendale/internal/net/loop"
	"brackendale/sender"

	"github.com/rs/zerolog"
)

// The timing of the predecessor's steps in a hot restart.
const (
	helloTimeout   = time.Second
	prepareTimeout = 6 * time.Second
	// quiesceTimeout is how long the core may be paused: clients wait 400 ms for a reply.
	quiesceTimeout      = 300 * time.Millisecond
	acceptRetryInterval = 20 * time.Millisecond
	drainCheckInterval  = 20 * time.Millisecond
)

// The shares of the configured limits that a process may use.
const (
	fullShare = 1.0
	halfShare = 0.5 // while predecessor and successor both run
)

var (
	// errJournalReclaimed ends an incarnation whose successor exited while it held the journal: the process restarts from
	// the journal.
	errJournalReclaimed = errors.New("the successor exited with the journal: this process reclaims the journal")
	// errProcessExit ends the process: another one has taken over, or a signal arrived during the start.
	errProcessExit = errors.New("this process exits")

	errNoCheckpoint = errors.New("no checkpoint: writes to the disk fail")
)

// predecessor is the predecessor's side of a hot restart: it lets a new process take over from this one. Each
// connection to its socket has its own goroutine; the state machine decides which one becomes the successor. Once the
// journal is released, predecessor is the sender.Successor of the core and forwards its calls to the new process.
type predecessor struct {
	core           *sender.Sender
	loop           *loop.Loop
	transport      *transport
	cfg            config.Config
	log            zerolog.Logger
	endIncarnation func(error) // ends this incarnation
	startShutdown  func()      // starts a graceful shutdown of this process

	listener    *net.UnixListener
	releasePath func() // releases the path of the socket

	mu      sync.Mutex
	closed  bool
	machine hotrestart.Predecessor
	link    *restartLink               // to the successor that has the journal
	offers  map[uint64]*sender.Request // forwarded and not answered yet, by the number of the offer
	offerID uint64                     // number of the last offer
}

// listen accepts new processes that request to take over. If the socket cannot be opened in the state folder because
// of a transient error, the sender serves all the same, and listen retries in the background.
func (p *predecessor) listen(ctx context.Context) error {
	err := p.listenOnce()
	if err == nil || !failure.Transient(err) {
		return err
	}
	p.log.Warn().Err(err).Msg("hot restart: the socket cannot be opened: no new process can take over until it can")
	go func() {
		for failure.Transient(err) {
			select {
			case <-time.After(startRetryInterval):
			case <-ctx.Done():
				return
			}
			err = p.listenOnce()
		}
	}()
	return nil
}

func (p *predecessor) listenOnce() error {
	path, release, err := restartSocketPath(p.cfg.State)
	if err != nil {
		return err
	}
	listener, err := listenRestartSocket(path)
	if err != nil {
		release()
		return fmt.Errorf("hot restart: open the socket: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		release()
		return listener.Close()
	}
	p.listener, p.releasePath = listener, release
	go p.accept(listener)
	return nil
}

func (p *predecessor) accept(listener *net.UnixListener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryInterval)
			continue
		}
		go p.serve(newRestartLink(conn))
	}
}

func (p *predecessor) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.listener != nil {
		_ = p.listener.Close()
		p.releasePath()
	}
}

// handle passes an event to the state machine and returns the action to take. It may be called on any goroutine.
func (p *predecessor) handle(event hotrestart.Event) hotrestart.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.Handle(event)
}

// setShares sets the share of the limits that this process uses: share for the memory and the connections to
// endpoints, clientShare for the client connections. A predecessor does not lower the latter: it accepts no client
// once the journal is released, and clients that are connected may be in the middle of a command.
func (p *predecessor) setShares(share, clientShare float64) {
	setMemoryLimit(p.cfg, share)
	p.loop.Post(func() {
		p.transport.clientBudget.SetMaxConns(int(float64(p.cfg.ClientSockets()) * clientShare))
		p.transport.endpointBudget.SetMaxConns(max(1, int(float64(p.cfg.TargetSockets())*share)))
	})
}

// setMemoryLimit sets the memory limit of the Go runtime for a share of the configured limit.
func setMemoryLimit(cfg config.Config, share float64) {
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * runtimeMemoryShare * share * (1 << 20)))
}

// serve handles the connection of one new process until it is closed.
func (p *predecessor) serve(link *restartLink) {
	defer link.close()
	msg, err := link.receive(helloTimeout)
	if err != nil || msg.Kind != hotrestart.KindHello {
		return
	}
	event := hotrestart.PeerConnected
	if msg.Version != hotrestart.Version {
		event = hotrestart.VersionMismatch
	}
	switch p.handle(event) {
	case hotrestart.SendWelcome:
		p.log.Info().Msg("hot restart: new process connected: preparing to release the journal")
		link.send(hotrestart.Message{Kind: hotrestart.KindWelcome, Version: hotrestart.Version})
		p.setShares(halfShare, fullShare)
		failpoint.Reach(failpoint.SuccessorWelcomed)
		p.handOver(link)
	case hotrestart.RefuseAndShutDown:
		refuse(link, "another version: it gets the journal once this process has ended")
		p.log.Warn().Int("version", msg.Version).
			Msg("hot restart: the new process uses another version of the protocol: this process shuts down gracefully")
		p.startShutdown()
	default:
		refuse(link, "another upgrade is under way")
	}
}

// refuse sends the reason of a refusal to a new process and waits until it disconnects, helloTimeout at most, so that
// it can read the reason. The reasons are part of the protocol.
func refuse(link *restartLink, reason string) {
	link.send(hotrestart.Message{Kind: hotrestart.KindRefused, Version: hotrestart.Version, Reason: reason})
	_, _ = link.receive(helloTimeout)
}

// handOver transfers state and journal to the successor at link. If that fails, this process continues to serve.
func (p *predecessor) handOver(link *restartLink) {
	msg, err := link.receive(prepareTimeout)
	if err != nil || msg.Kind != hotrestart.KindPrepared ||
		p.handle(hotrestart.SuccessorPrepared) != hotrestart.Quiesce {
		p.abort(link, hotrestart.PeerDisconnected, nil, err)
		return
	}
	state, resume, err := p.quiesce()
	if err != nil {
		p.abort(link, hotrestart.StepTimedOut, nil, err)
		return
	}
	failpoint.Reach(failpoint.CoreQuiesced)
	started := time.Now()
	link.send(hotrestart.Message{Kind: hotrestart.KindState, State: &state})
	if msg, err = link.receive(quiesceTimeout); err != nil || msg.Kind != hotrestart.KindStateAccepted ||
		p.handle(hotrestart.StateAccepted) != hotrestart.ReleaseJournal {
		p.abort(link, hotrestart.StepTimedOut, resume, err)
		return
	}
	p.mu.Lock()
	p.link, p.offers = link, map[uint64]*sender.Request{}
	p.mu.Unlock()
	resume(p)
	p.log.Info().Dur("stood_ms", time.Since(started)).Int("out", len(state.Core.Scheduler.Calls)).
		Msg("hot restart: the successor has the journal: this process is draining")
	_ = p.listener.Close()
	failpoint.Reach(failpoint.JournalReleased)
	p.loop.Post(func() {
		p.transport.release()
		failpoint.Reach(failpoint.TransportReleased)
		p.exitWhenDrained()
	})
	p.handleSuccessorMessages(link)
}

// quiesce pauses the core between two steps and returns its state. resume lets the core continue, with a successor or
// with nil. After an error nothing is paused.
func (p *predecessor) quiesce() (state hotrestart.State, resume func(sender.Successor), err error) {
	listVersion := make(chan int64, 1)
	// Read before the core is paused, so that the endpoint list in the checkpoint is no older than this version.
	p.loop.Post(func() { listVersion <- p.transport.listVersion() })
	p.transport.pauseListeners()
	failpoint.Reach(failpoint.ListenersPaused)
	state = hotrestart.State{Discovery: p.cfg.Discovery, ListVersion: <-listVersion}
	checkpoint, resume := p.core.Quiesce()
	var ok bool
	if state.Core, ok = <-checkpoint; !ok {
		p.transport.resumeListeners()
		return state, nil, errNoCheckpoint
	}
	return state, resume, nil
}

// abort ends a hot restart that failed before the journal was released: this process continues to serve. resume is nil
// if the core is not paused.
func (p *predecessor) abort(link *restartLink, event hotrestart.Event, resume func(sender.Successor), err error) {
	p.handle(event)
	link.close()
	if resume != nil {
		resume(nil)
		p.transport.resumeListeners()
	}
	p.setShares(fullShare, fullShare)
	p.log.Warn().Err(err).Msg("hot restart: the new process did not take over: this process continues to serve")
}

// handleSuccessorMessages handles the successor's messages until it disconnects.
func (p *predecessor) handleSuccessorMessages(link *restartLink) {
	for {
		msg, err := link.receive(0)
		if err != nil {
			break
		}
		switch msg.Kind {
		case hotrestart.KindAnswer:
			if req := p.removeOffer(msg.OfferID); req != nil {
				p.core.AnswerForwarded(req, sender.Verdict(msg.Verdict), msg.RetryAfterMs)
			}
		case hotrestart.KindCancel:
			p.loop.Post(func() { p.transport.cancelAttempt(msg.ID, msg.Attempt) })
		}
	}
	if p.handle(hotrestart.PeerDisconnected) == hotrestart.ReclaimJournal {
		p.log.Error().Msg("hot restart: the successor exited with the journal: this process restarts from the journal")
		p.endIncarnation(errJournalReclaimed)
	}
}

// removeOffer removes an offer and returns its request, or nil if the offer was answered before.
func (p *predecessor) removeOffer(id uint64) *sender.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	req := p.offers[id]
	delete(p.offers, id)
	return req
}

// exitWhenDrained closes idle client connections and exits this process once no client is connected and no offer or
// attempt is pending. It runs on the event loop.
func (p *predecessor) exitWhenDrained() {
	clients := p.transport.acceptingListeners() + p.transport.closeIdleClients()
	p.mu.Lock()
	offers := len(p.offers)
	p.mu.Unlock()
	if clients+offers+p.transport.inFlight() > 0 {
		p.loop.After(drainCheckInterval, p.exitWhenDrained)
		return
	}
	reported := make(chan bool)
	p.core.Post(func() { close(reported) }) // runs after the results that were reported to the core
	go func() {
		<-reported
		p.link.waitFlushed()
		if p.handle(hotrestart.DrainComplete) == hotrestart.Exit {
			p.log.Info().Msg("hot restart: drained: this process exits")
			p.endIncarnation(errProcessExit)
		}
	}()
}

// JournalReleased notifies the successor that the journal is released.
func (p *predecessor) JournalReleased() {
	p.link.send(hotrestart.Message{Kind: hotrestart.KindJournalReleased})
}

// Submit forwards a request of one of this process's clients to the successor.
func (p *predecessor) Submit(req *sender.Request) {
	p.mu.Lock()
	p.offerID++
	id := p.offerID
	p.offers[id] = req
	p.mu.Unlock()
	p.link.send(hotrestart.Message{Kind: hotrestart.KindOffer, OfferID: id, Offer: hotrestart.NewOffer(req)})
}

// Withdraw withdraws a forwarded request that is not answered yet.
func (p *predecessor) Withdraw(req *sender.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for id, offered := range p.offers {
		if offered == req {
			p.link.send(hotrestart.Message{Kind: hotrestart.KindWithdraw, OfferID: id})
			return
		}
	}
}

// Report forwards the results of attempts that were in flight here.
func (p *predecessor) Report(results []sender.AttemptResult) {
	p.link.send(hotrestart.Message{Kind: hotrestart.KindReport, Results: results})
}
