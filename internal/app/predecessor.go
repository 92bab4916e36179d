package app

import (
	"context"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/failpoint"
	"brackendale/internal/hotrestart"
	"brackendale/internal/net/loop"
	"brackendale/sender"

	"github.com/rs/zerolog"
)

// The timing of the predecessor's steps in a hot restart.
const (
	helloTimeout   = time.Second
	prepareTimeout = 6 * time.Second
	// quiesceTimeout is how long the core may be paused: clients wait 400 ms for a reply.
	quiesceTimeout = 300 * time.Millisecond
	// servingTimeout is how long the core stays paused for the rest of the successor's start.
	servingTimeout      = 300 * time.Millisecond
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
	errNotServing   = errors.New("the successor sent another message than that it serves")
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
	shuttingDown   *atomic.Bool

	listener    *net.UnixListener
	releasePath func() // releases the path of the socket

	mu      sync.Mutex
	closed  bool
	machine hotrestart.Predecessor
	link    *restartLink               // to the successor that has the journal
	offers  map[uint64]*sender.Request // forwarded and not answered yet, by the number of the offer
	offerID uint64                     // number of the last offer
}

// listen accepts new processes that request to take over. If the socket cannot be opened in the state folder, the
// sender serves all the same, and listen retries in the background.
func (p *predecessor) listen(ctx context.Context) {
	err := p.listenOnce()
	if err == nil {
		return
	}
	p.log.Warn().Err(err).Msg("hot restart: the socket cannot be opened: no new process can take over until it can")
	go func() {
		for err != nil {
			select {
			case <-time.After(startRetryInterval):
			case <-ctx.Done():
				return
			}
			err = p.listenOnce()
		}
	}()
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
		link.send(p.welcome(msg.Confirms))
		p.setShares(halfShare, fullShare)
		failpoint.Reach(failpoint.SuccessorWelcomed)
		p.handOver(link, msg.Confirms)
	case hotrestart.RefuseAndShutDown:
		refuse(link, "another version: it gets the journal once this process has ended")
		p.log.Warn().Int("version", msg.Version).
			Msg("hot restart: the new process uses another version of the protocol: this process shuts down gracefully")
		p.startShutdown()
	default:
		refuse(link, "another upgrade is under way")
	}
}

// welcome returns the reply to a new process that may take over. One that confirms gets the listening sockets.
func (p *predecessor) welcome(confirms bool) hotrestart.Message {
	msg := hotrestart.Message{Kind: hotrestart.KindWelcome, Version: hotrestart.Version, Confirms: confirms}
	if !confirms {
		return msg
	}
	var err error
	if msg.Listeners, msg.Descriptors, err = p.transport.share(); err != nil {
		p.log.Warn().Err(err).Msg("hot restart: the new process does not get all listening sockets")
	}
	return msg
}

// refuse sends the reason of a refusal to a new process and waits until it disconnects, helloTimeout at most, so that
// it can read the reason. The reasons are part of the protocol.
func refuse(link *restartLink, reason string) {
	link.send(hotrestart.Message{Kind: hotrestart.KindRefused, Version: hotrestart.Version, Reason: reason})
	_, _ = link.receive(helloTimeout)
}
