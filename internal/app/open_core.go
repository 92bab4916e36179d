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

// prepareError reports that this process cannot start, for a reason that it found while its predecessor still serves.
type prepareError struct{ err error }

func (e *prepareError) Error() string { return e.err.Error() }

// Unwrap returns the reason.
func (e *prepareError) Unwrap() error { return e.err }

// coreOpener opens the core of this process: at once if no process holds the journal, by a hot restart if a
// predecessor does.
type coreOpener struct {
	cfg         config.Config
	log         zerolog.Logger
	terminate   <-chan os.Signal
	setStarting func(reason string) // sets the reason, reported at the control address, why this process is not ready

	// prepare opens all that the start needs and may not get, apart from the journal. The predecessor still serves.
	prepare func(welcome hotrestart.Message) error
	// openCore opens the core from the state of a predecessor or, with nil, from the journal. Its error wraps
	// journal.ErrLocked if another process holds the journal.
	openCore func(*hotrestart.State) (*sender.Sender, error)

	// reclaims makes the opener request the journal from no process: this one had it, and its successor has exited.
	reclaims bool

	machine        hotrestart.Successor
	lockCause      error // reason why this process does not hold the journal yet
	unusableLogged bool  // it has been logged that the state folder cannot be used
}

// openedCore is a core and, after a hot restart, the state received from the predecessor and the link to it.
type openedCore struct {
	core  *sender.Sender
	state *hotrestart.State // nil without a hot restart
	link  *restartLink      // nil without a hot restart
	// confirms means that the predecessor stays until the successor reports that it serves.
	confirms bool
}

// run opens the core. It fails after openTimeout, when ctx ends, or at a signal that ends the process
// (errProcessExit).
func (o *coreOpener) run(ctx context.Context) (openedCore, error) {
	o.lockCause = journal.ErrLocked
	for deadline := time.Now().Add(openTimeout); time.Now().Before(deadline); {
		opened, err := o.requestJournal()
		if err == nil {
			err := o.openWithState(&opened)
			if err == nil || !failure.Transient(err) {
				return opened, err
			}
			o.lockCause = err
			if err := o.pause(ctx); err != nil { // the predecessor takes the journal back
				return openedCore{}, err
			}
			continue
		}
		if errors.As(err, new(*prepareError)) {
			return openedCore{}, err
		}
		if !errors.Is(err, errNoPredecessor) {
			if err.Error() != o.lockCause.Error() { // not at each attempt
				o.log.Warn().Err(err).Msg("hot restart: taking over from the predecessor failed: trying again")
			}
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

// openWithState opens the core of a process that has received the state of its predecessor.
func (o *coreOpener) openWithState(opened *openedCore) (err error) {
	if opened.core, err = o.openCore(opened.state); err != nil {
		o.machine.Handle(hotrestart.JournalOpenFailed)
		opened.link.close()
		return err
	}
	o.log.Info().Int("open", len(opened.state.Core.Scheduler.Messages)).
		Msg("hot restart: this process has taken over from the predecessor")
	return nil
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
// journal. The error is errNoPredecessor if no process listens, and a *prepareError if this process cannot start.
func (o *coreOpener) requestJournal() (openedCore, error) {
	if !o.cfg.Upgrade || o.reclaims {
		return openedCore{}, errNoPredecessor
	}
	path, release, err := restartSocketPath(o.cfg.State)
	if err != nil {
		return openedCore{}, err
	}
	defer release()
	conn, err := net.DialTimeout("unix", path, predecessorDialTimeout)
	if err != nil {
		return openedCore{}, errNoPredecessor
	}
	opened := openedCore{link: newRestartLink(conn)}
	if err := o.negotiate(&opened); err != nil {
		o.machine.Handle(hotrestart.PeerDisconnected)
		opened.link.close()
		return openedCore{}, err
	}
	return opened, nil
}

// negotiate runs the successor's side of the protocol from hello to the release of the journal.
func (o *coreOpener) negotiate(opened *openedCore) error {
	link := opened.link
	link.send(hotrestart.Message{Kind: hotrestart.KindHello, Version: hotrestart.Version, Confirms: true})
	msg, err := link.receive(helloTimeout)
	defer closeDescriptors(msg.Descriptors)
	if err != nil {
		return err
	}
	if msg.Kind != hotrestart.KindWelcome || msg.Version != hotrestart.Version ||
		o.machine.Handle(hotrestart.PeerConnected) != hotrestart.SendPrepared {
		return &refusedError{reason: msg.Reason}
	}
	opened.confirms = msg.Confirms
	if err := o.prepare(msg); err != nil {
		return &prepareError{err: err}
	}
	link.send(hotrestart.Message{Kind: hotrestart.KindPrepared})
	return o.receiveJournal(opened)
}

// receiveJournal runs the successor's side of the protocol once this process is prepared.
func (o *coreOpener) receiveJournal(opened *openedCore) error {
	link := opened.link
	msg, err := receiveKind(link, hotrestart.KindState, helloTimeout)
	if err != nil {
		return err
	}
	opened.state = msg.State
	if err := sender.ValidateCheckpoint(o.cfg.Settings, &opened.state.Core, clock.Steady()); err != nil {
		return err
	}
	if o.machine.Handle(hotrestart.StateLoaded) != hotrestart.SendAccepted {
		return hotrestart.ErrMalformed
	}
	link.send(hotrestart.Message{Kind: hotrestart.KindStateAccepted})
	if _, err := receiveKind(link, hotrestart.KindJournalReleased, journalReleasedTimeout); err != nil {
		return err
	}
	if o.machine.Handle(hotrestart.JournalReceived) != hotrestart.OpenWithState {
		return hotrestart.ErrMalformed
	}
	return nil
}

// receiveKind receives a message, which must be of the given kind.
func receiveKind(link *restartLink, kind hotrestart.Kind, timeout time.Duration) (hotrestart.Message, error) {
	msg, err := link.receive(timeout)
	if err == nil && msg.Kind != kind {
		err = hotrestart.ErrMalformed
	}
	return msg, err
}
