package app

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"brackendale/internal/clock"
	"brackendale/internal/config"
	"brackendale/internal/hotrestart"
	"brackendale/internal/journal"
	"brackendale/internal/net/failure"
	"brackendale/sender"

	"github.com/rs/zerolog"
)

// The timing of a process that starts while another one holds the journal.
const (
	// openTimeout leaves a predecessor time to shut down gracefully (3.5 s) and stays below the platform's limit of 6 s
	// for a start.
	openTimeout             = 5500 * time.Millisecond
	openRetryInterval       = 25 * time.Millisecond
	predecessorDialTimeout  = 200 * time.Millisecond
	journalReleasedTimeout  = time.Second
	stateFolderReasonPrefix = "the state folder: " // of the reason that the control address reports
)

// errNoPredecessor reports that no process listens at the restart socket.
var errNoPredecessor = errors.New("no predecessor listens at the restart socket")

// refusedError reports that the predecessor refuses the hot restart.
type refusedError struct{ reason string }

func (e *refusedError) Error() string { return "the predecessor refuses: " + e.reason }

// coreOpener opens the core of this process: at once if no process holds the journal, by a hot restart if a
// predecessor does.
type coreOpener struct {
	cfg         config.Config
	log         zerolog.Logger
	terminate   <-chan os.Signal
	setStarting func(reason string) // sets the reason, reported at the control address, why this process is not ready

	// openCore opens the core from the state of a predecessor or, with nil, from the journal. Its error wraps
	// journal.ErrLocked if another process holds the journal.
	openCore func(*hotrestart.State) (*sender.Sender, error)

	machine        hotrestart.Successor
	lockCause      error // reason why this process does not hold the journal yet
	unusableLogged bool  // it has been logged that the state folder cannot be used
}

// openedCore is a core and, after a hot restart, the state received from the predecessor and the link to it.
type openedCore struct {
	core  *sender.Sender
	state *hotrestart.State // nil without a hot restart
	link  *restartLink      // nil without a hot restart
}

// run opens the core. It fails after openTimeout, when ctx ends, or at a signal that ends the process
// (errProcessExit).
func (o *coreOpener) run(ctx context.Context) (openedCore, error) {
	o.lockCause = journal.ErrLocked
	for deadline := time.Now().Add(openTimeout); time.Now().Before(deadline); {
		state, link, err := o.requestJournal()
		if err == nil {
			opened, err := o.openWithState(state, link)
			if err == nil || !failure.Transient(err) {
				return opened, err
			}
			o.lockCause = err // the predecessor restarts from the journal, or this process opens it alone
			continue
		}
		if !errors.Is(err, errNoPredecessor) {
			o.log.Warn().Err(err).Msg("hot restart: taking over from the predecessor failed: trying again")
			o.lockCause = err
		}
		core, err := o.openCore(nil)
		if err == nil {
			o.machine.Handle(hotrestart.JournalUnlocked)
			return openedCore{core: core}, nil
		}
		if err := o.pause(ctx); err != nil {
			return openedCore{}, err
		}
		switch {
		case errors.Is(err, journal.ErrLocked):
			o.machine.Handle(hotrestart.JournalLocked)
		case failure.Transient(err):
			o.reportUnusable(err)
			deadline = time.Now().Add(openTimeout)
		default:
			return openedCore{}, err
		}
	}
	return openedCore{}, fmt.Errorf("the journal in LB_STATE is in use: %w", o.lockCause)
}

func (o *coreOpener) openWithState(state *hotrestart.State, link *restartLink) (openedCore, error) {
	core, err := o.openCore(state)
	if err != nil {
		link.close()
		return openedCore{}, err
	}
	o.log.Info().Int("open", len(state.Core.Scheduler.Messages)).
		Msg("hot restart: this process has taken over from the predecessor")
	return openedCore{core: core, state: state, link: link}, nil
}

// pause waits until the next attempt. The error is errProcessExit if a signal ends the process, which has accepted no
// message yet.
func (o *coreOpener) pause(ctx context.Context) error {
	select {
	case <-time.After(openRetryInterval):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	case <-o.terminate:
		return errProcessExit
	}
}

func (o *coreOpener) reportUnusable(err error) {
	o.setStarting(stateFolderReasonPrefix + err.Error())
	if !o.unusableLogged {
		o.unusableLogged = true
		o.log.Error().Err(err).Msg("the state folder cannot be used: the start continues once it can")
	}
}

// requestJournal requests state and journal from a predecessor and returns once the predecessor has released the
// journal. The error is errNoPredecessor if no process listens.
func (o *coreOpener) requestJournal() (*hotrestart.State, *restartLink, error) {
	if !o.cfg.Upgrade {
		return nil, nil, errNoPredecessor
	}
	path, release, err := restartSocketPath(o.cfg.State)
	if err != nil {
		return nil, nil, err
	}
	defer release()
	conn, err := net.DialTimeout("unix", path, predecessorDialTimeout)
	if err != nil {
		return nil, nil, errNoPredecessor
	}
	link := newRestartLink(conn)
	state, err := o.negotiate(link)
	if err != nil {
		o.machine.Handle(hotrestart.PeerDisconnected)
		link.close()
		return nil, nil, err
	}
	return state, link, nil
}

// negotiate runs the successor's side of the protocol from hello to the release of the journal.
func (o *coreOpener) negotiate(link *restartLink) (*hotrestart.State, error) {
	link.send(hotrestart.Message{Kind: hotrestart.KindHello, Version: hotrestart.Version})
	msg, err := link.receive(helloTimeout)
	if err != nil {
		return nil, err
	}
	if msg.Kind != hotrestart.KindWelcome || msg.Version != hotrestart.Version ||
		o.machine.Handle(hotrestart.PeerConnected) != hotrestart.SendPrepared {
		return nil, &refusedError{reason: msg.Reason}
	}
	link.send(hotrestart.Message{Kind: hotrestart.KindPrepared})
	if msg, err = receiveKind(link, hotrestart.KindState, helloTimeout); err != nil {
		return nil, err
	}
	state := msg.State
	if err := sender.ValidateCheckpoint(o.cfg.Settings, &state.Core, clock.Steady()); err != nil {
		return nil, err
	}
	if o.machine.Handle(hotrestart.StateLoaded) != hotrestart.SendAccepted {
		return nil, hotrestart.ErrMalformed
	}
	link.send(hotrestart.Message{Kind: hotrestart.KindStateAccepted})
	if _, err := receiveKind(link, hotrestart.KindJournalReleased, journalReleasedTimeout); err != nil {
		return nil, err
	}
	if o.machine.Handle(hotrestart.JournalReceived) != hotrestart.OpenWithState {
		return nil, hotrestart.ErrMalformed
	}
	return state, nil
}

// receiveKind receives a message, which must be of the given kind.
func receiveKind(link *restartLink, kind hotrestart.Kind, timeout time.Duration) (hotrestart.Message, error) {
	msg, err := link.receive(timeout)
	if err == nil && msg.Kind != kind {
		err = hotrestart.ErrMalformed
	}
	return msg, err
}
