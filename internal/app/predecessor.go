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

// The times of the predecessor's steps in a hot restart.
const (
	helloTimeout   = time.Second
	prepareTimeout = 6 * time.Second
	// quiesceTimeout is how long the core stands still at most: clients wait 400 ms for an answer.
	quiesceTimeout      = 300 * time.Millisecond
	acceptRetryInterval = 20 * time.Millisecond
	drainCheckInterval  = 20 * time.Millisecond
)

// The share of the limits that a process uses.
const (
	fullShare = 1.0
	halfShare = 0.5 // while predecessor and successor run side by side
)

var (
	// errJournalReclaimed ends an incarnation whose successor has died with the journal: the process starts anew from it.
	errJournalReclaimed = errors.New("the successor has died: this process takes the journal back")
	// errProcessEnds ends the process: another one goes on, or it was told to end before it had started.
	errProcessEnds = errors.New("this process ends")

	errNoCheckpoint = errors.New("no checkpoint: the disk takes nothing")
)

// predecessor is this process's part in a hot restart while it serves and a new process may take its place. Each
// connection to its socket has a goroutine of its own; the state machine decides which of them counts. It is the core's
// sender.Successor once the journal is released.
type predecessor struct {
	core          *sender.Sender
	loop          *loop.Loop
	transport     *transport
	cfg           config.Config
	log           zerolog.Logger
	end           func(error) // ends this incarnation
	startShutdown func()      // starts the graceful shutdown of this process

	listener    *net.UnixListener
	releasePath func()

	mu      sync.Mutex
	closed  bool
	machine hotrestart.Predecessor
	link    *restartLink               // to the successor that has the journal
	offers  map[uint64]*sender.Request // passed on and not answered, by the number of the offer
	offerID uint64                     // of the last offer
}

// listen lets a new process ask for this one's place. Where the state folder takes no socket for the moment, the sender
// serves all the same and listens once it does.
func (p *predecessor) listen(ctx context.Context) error {
	err := p.listenOnce()
	if err == nil || !failure.Transient(err) {
		return err
	}
	p.log.Warn().Err(err).Msg("hot restart: the socket cannot be opened yet: no new process can take over")
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
		return fmt.Errorf("hot restart: opening the socket: %w", err)
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

// on gives an event to the state machine. It may be called on any goroutine.
func (p *predecessor) on(event hotrestart.Event) hotrestart.Action {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.machine.On(event)
}

// setShares takes a share of the memory and of the connections to endpoints, and a share of the client connections. A
// predecessor does not lower the latter: it accepts none once the journal is released, and those that are open may be
// in the middle of a command.
func (p *predecessor) setShares(share, clientShare float64) {
	setMemoryLimit(p.cfg, share)
	p.loop.Post(func() {
		p.transport.clientRoom.SetMaxConns(int(float64(p.cfg.ClientSockets()) * clientShare))
		p.transport.targetRoom.SetMaxConns(max(1, int(float64(p.cfg.TargetSockets())*share)))
	})
}

// setMemoryLimit gives the runtime its part of a share of the memory limit.
func setMemoryLimit(cfg config.Config, share float64) {
	debug.SetMemoryLimit(int64(cfg.Limits.MemoryMB * runtimeMemoryShare * share * (1 << 20)))
}

// serve talks to one new process until the end of its connection.
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
	switch p.on(event) {
	case hotrestart.SendWelcome:
		p.log.Info().Msg("hot restart: a new process has connected: preparing to release the journal")
		link.send(hotrestart.Message{Kind: hotrestart.KindWelcome, Version: hotrestart.Version})
		p.setShares(halfShare, fullShare)
		failpoint.Reach(failpoint.SuccessorWelcomed)
		p.handOver(link)
	case hotrestart.Retire:
		refuse(link, "another version: it gets the journal once this process has ended")
		p.log.Warn().Int("version", msg.Version).
			Msg("hot restart: the new process speaks another version: this process shuts down in order")
		p.startShutdown()
	default:
		refuse(link, "another upgrade is under way")
	}
}

// refuse tells a new process why it gets nothing, and leaves it time to read that. The reasons belong to the protocol.
func refuse(link *restartLink, reason string) {
	link.send(hotrestart.Message{Kind: hotrestart.KindRefused, Version: hotrestart.Version, Reason: reason})
	_, _ = link.receive(helloTimeout)
}

// handOver passes state and journal to the successor at link; if that fails this process goes on.
func (p *predecessor) handOver(link *restartLink) {
	msg, err := link.receive(prepareTimeout)
	if err != nil || msg.Kind != hotrestart.KindPrepared ||
		p.on(hotrestart.SuccessorPrepared) != hotrestart.Quiesce {
		p.goOn(link, hotrestart.PeerDisconnected, nil, err)
		return
	}
	state, resume, err := p.quiesce()
	if err != nil {
		p.goOn(link, hotrestart.StepTimedOut, nil, err)
		return
	}
	failpoint.Reach(failpoint.CoreQuiesced)
	began := time.Now()
	link.send(hotrestart.Message{Kind: hotrestart.KindState, State: &state})
	if msg, err = link.receive(quiesceTimeout); err != nil || msg.Kind != hotrestart.KindStateAccepted ||
		p.on(hotrestart.StateAccepted) != hotrestart.ReleaseJournal {
		p.goOn(link, hotrestart.StepTimedOut, resume, err)
		return
	}
	p.mu.Lock()
	p.link, p.offers = link, map[uint64]*sender.Request{}
	p.mu.Unlock()
	resume(p)
	p.log.Info().Dur("stood_ms", time.Since(began)).Int("out", len(state.Core.Scheduler.Calls)).
		Msg("hot restart: the successor has the journal: this process drains")
	_ = p.listener.Close()
	failpoint.Reach(failpoint.JournalReleased)
	p.loop.Post(func() {
		p.transport.release()
		failpoint.Reach(failpoint.TransportReleased)
		p.awaitDrained()
	})
	p.followSuccessor(link)
}

// quiesce stops the core between two steps and gives its state. resume lets the core go on, with a successor or with
// nil. After an error everything goes on already.
func (p *predecessor) quiesce() (state hotrestart.State, resume func(sender.Successor), err error) {
	listVersion := make(chan int64, 1)
	// Read before the core stands still: its endpoint list is then no older than this version.
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

// goOn ends a hot restart that failed before the journal was released. resume is nil where the core runs.
func (p *predecessor) goOn(link *restartLink, event hotrestart.Event, resume func(sender.Successor), err error) {
	p.on(event)
	link.close()
	if resume != nil {
		resume(nil)
		p.transport.resumeListeners()
	}
	p.setShares(fullShare, fullShare)
	p.log.Warn().Err(err).Msg("hot restart: the new process did not take over: this process goes on")
}

// followSuccessor handles the successor's messages until it disconnects.
func (p *predecessor) followSuccessor(link *restartLink) {
	for {
		msg, err := link.receive(0)
		if err != nil {
			break
		}
		switch msg.Kind {
		case hotrestart.KindAnswer:
			if req := p.takeOffer(msg.OfferID); req != nil {
				p.core.AnswerForwarded(req, sender.Verdict(msg.Verdict), msg.RetryAfterMs)
			}
		case hotrestart.KindCancel:
			p.loop.Post(func() { p.transport.cancel(msg.ID, msg.Attempt) })
		}
	}
	if p.on(hotrestart.PeerDisconnected) == hotrestart.ReclaimJournal {
		p.log.Error().Msg("hot restart: the successor has died: this process starts anew from the journal")
		p.end(errJournalReclaimed)
	}
}

// takeOffer gives the request of an offer, once; nil: it has its answer.
func (p *predecessor) takeOffer(id uint64) *sender.Request {
	p.mu.Lock()
	defer p.mu.Unlock()
	req := p.offers[id]
	delete(p.offers, id)
	return req
}

// awaitDrained closes idle client connections and ends this process once nothing is in flight. It runs on the loop.
func (p *predecessor) awaitDrained() {
	clients := p.transport.acceptingListeners() + p.transport.retireClients()
	p.mu.Lock()
	offers := len(p.offers)
	p.mu.Unlock()
	if clients+offers+p.transport.inFlight() > 0 {
		p.loop.After(drainCheckInterval, p.awaitDrained)
		return
	}
	reported := make(chan bool)
	p.core.Post(func() { close(reported) }) // behind the results that were reported to the core
	go func() {
		<-reported
		p.link.waitFlushed()
		if p.on(hotrestart.DrainComplete) == hotrestart.Exit {
			p.log.Info().Msg("hot restart: drained: this process ends")
			p.end(errProcessEnds)
		}
	}()
}

// JournalReleased tells the successor that the journal is free.
func (p *predecessor) JournalReleased() {
	p.link.send(hotrestart.Message{Kind: hotrestart.KindJournalReleased})
}

// Submit passes a request of one of this process's clients on to the successor.
func (p *predecessor) Submit(req *sender.Request) {
	p.mu.Lock()
	p.offerID++
	id := p.offerID
	p.offers[id] = req
	p.mu.Unlock()
	p.link.send(hotrestart.Message{Kind: hotrestart.KindOffer, OfferID: id, Offer: hotrestart.NewOffer(req)})
}

// Withdraw takes a request back that has no answer yet.
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

// Report passes on the results of attempts that were in flight here.
func (p *predecessor) Report(results []sender.AttemptResult) {
	p.link.send(hotrestart.Message{Kind: hotrestart.KindReport, Results: results})
}
