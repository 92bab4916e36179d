package app

import (
	"errors"
	"time"

	"brackendale/internal/failpoint"
	"brackendale/internal/hotrestart"
	"brackendale/internal/journal"
	"brackendale/sender"
)

// The timing of taking the journal back from a successor that failed: its lock is free once the process has ended.
const (
	reacquireTimeout  = time.Second
	reacquireInterval = 2 * time.Millisecond
)

// received is what receiving one message returned.
type received struct {
	msg hotrestart.Message
	err error
}

// handOver transfers state and journal to the successor at link. If that fails, or if the successor fails before it
// serves, this process continues to serve. confirms means that the successor reports when it serves.
func (p *predecessor) handOver(link *restartLink, confirms bool) {
	msg, err := link.receive(prepareTimeout)
	if err != nil || msg.Kind != hotrestart.KindPrepared ||
		p.handle(hotrestart.SuccessorPrepared) != hotrestart.Quiesce {
		p.abort(link, hotrestart.PeerDisconnected, nil, err)
		return
	}
	state, pause, err := p.quiesce()
	if err != nil {
		p.abort(link, hotrestart.StepTimedOut, nil, err)
		return
	}
	failpoint.Reach(failpoint.CoreQuiesced)
	started := time.Now()
	link.send(hotrestart.Message{Kind: hotrestart.KindState, State: &state})
	if msg, err = link.receive(quiesceTimeout); err != nil || msg.Kind != hotrestart.KindStateAccepted ||
		p.handle(hotrestart.StateAccepted) != hotrestart.ReleaseJournal {
		p.abort(link, hotrestart.StepTimedOut, pause, err)
		return
	}
	if !confirms { // an earlier release opens its console as soon as it has the journal
		p.transport.console.release()
	}
	pause.ReleaseJournal()
	failpoint.Reach(failpoint.JournalReleased)
	link.send(hotrestart.Message{Kind: hotrestart.KindJournalReleased})
	next, err := p.awaitServing(link, confirms)
	if err != nil {
		p.takeBack(link, pause, err)
		return
	}
	p.mu.Lock()
	p.link, p.offers = link, map[uint64]*sender.Request{}
	p.mu.Unlock()
	pause.HandOver(p)
	p.log.Info().Dur("stood_ms", time.Since(started)).Int("out", len(state.Core.Scheduler.Calls)).
		Msg("hot restart: the successor has the journal: this process is draining")
	p.drain()
	p.handleSuccessorMessages(link, next)
}

// quiesce pauses the core between two steps and returns its state and the pause. After an error nothing is paused.
func (p *predecessor) quiesce() (hotrestart.State, *sender.Pause, error) {
	listVersion := make(chan int64, 1)
	// Read before the core is paused, so that the endpoint list in the checkpoint is no older than this version.
	p.loop.Post(func() { listVersion <- p.transport.listVersion() })
	p.transport.pauseListeners()
	failpoint.Reach(failpoint.ListenersPaused)
	state := hotrestart.State{Discovery: p.cfg.Discovery, ListVersion: <-listVersion}
	pause, ok := <-p.core.Quiesce()
	if !ok {
		p.transport.resumeListeners()
		return state, nil, errNoCheckpoint
	}
	state.Core = pause.Checkpoint
	return state, pause, nil
}

// receiveNext receives the next message in the background.
func receiveNext(link *restartLink) <-chan received {
	next := make(chan received, 1)
	go func() {
		msg, err := link.receive(0)
		next <- received{msg, err}
	}()
	return next
}

// awaitServing waits until the successor serves, servingTimeout at most, after which it may still become ready. It
// returns the channel of the next message. An error means that the successor has failed and has written nothing.
func (p *predecessor) awaitServing(link *restartLink, confirms bool) (<-chan received, error) {
	next := receiveNext(link)
	if !confirms { // an earlier release, which reports nothing
		p.handle(hotrestart.SuccessorServing)
		return next, nil
	}
	select {
	case reply := <-next:
		if reply.err == nil && reply.msg.Kind != hotrestart.KindServing {
			reply.err = errNotServing
		}
		if reply.err == nil {
			p.handle(hotrestart.SuccessorServing)
			return receiveNext(link), nil
		}
		p.handle(hotrestart.PeerDisconnected)
		return nil, reply.err
	case <-time.After(servingTimeout):
		p.handle(hotrestart.StepTimedOut)
		p.log.Warn().Dur("after_ms", servingTimeout).
			Msg("hot restart: the successor has the journal and does not serve yet: its requests wait")
		return next, nil
	}
}

// takeBack takes the journal back from a successor that failed before it served. This process continues to serve, or
// restarts from the journal if another process has written it.
func (p *predecessor) takeBack(link *restartLink, pause *sender.Pause, cause error) {
	link.close()
	err := reacquire(pause)
	if err == nil {
		p.abort(link, hotrestart.JournalReacquired, pause, cause)
		return
	}
	p.mu.Lock()
	p.link, p.offers = link, map[uint64]*sender.Request{}
	p.mu.Unlock()
	p.handle(hotrestart.JournalLost)
	pause.HandOver(p) // the core only ends from here on
	p.reclaim(err)
}

// reacquire takes the journal back once the successor no longer holds it, within reacquireTimeout.
func reacquire(pause *sender.Pause) error {
	started := time.Now()
	for {
		err := pause.ReacquireJournal()
		if err == nil || errors.Is(err, journal.ErrChanged) || time.Since(started) > reacquireTimeout {
			return err
		}
		time.Sleep(reacquireInterval)
	}
}

// abort ends a hot restart that failed while this process could still continue: it does. pause is nil if the core is
// not paused.
func (p *predecessor) abort(link *restartLink, event hotrestart.Event, pause *sender.Pause, err error) {
	p.handle(event)
	link.close()
	if pause != nil {
		pause.Resume()
		p.transport.resumeListeners()
	}
	p.setShares(fullShare, fullShare)
	p.log.Warn().Err(err).Msg("hot restart: the new process did not take over: this process continues to serve")
}

// drain stops what the successor does from now on, and exits once the rest is done.
func (p *predecessor) drain() {
	_ = p.listener.Close()
	p.loop.Post(func() {
		p.transport.shareRetryAfter(p.link)
		p.transport.release()
		failpoint.Reach(failpoint.TransportReleased)
		p.exitWhenDrained()
	})
}

// handleSuccessorMessages handles the successor's messages until it disconnects. next has the first one.
func (p *predecessor) handleSuccessorMessages(link *restartLink, next <-chan received) {
	for reply := <-next; reply.err == nil; reply.msg, reply.err = link.receive(0) {
		p.handleSuccessorMessage(reply.msg)
	}
	p.successorEnded()
}

// successorEnded reclaims the journal from a successor that has exited, unless this process has been told to end or
// another process holds the journal: then it only finishes what it has in hand.
func (p *predecessor) successorEnded() {
	switch {
	case p.shuttingDown.Load():
		p.log.Warn().Msg("hot restart: the successor exited with the journal, and this process shuts down: " +
			"the messages stay in the journal for the next process")
	case p.journalIsLocked():
		p.log.Warn().Msg("hot restart: the successor disconnected, and a process holds the journal: " +
			"this process goes on draining")
	default:
		if p.handle(hotrestart.PeerDisconnected) == hotrestart.ReclaimJournal {
			p.reclaim(nil)
		}
		return
	}
	p.handle(hotrestart.SuccessorServing) // whether it did or not, this process may exit
	p.dropOffers()
}

// journalIsLocked reports whether another process holds the journal, also a little later: the kernel closes the
// connection of a process that ends before it releases the lock.
func (p *predecessor) journalIsLocked() bool {
	for started := time.Now(); journal.Locked(p.cfg.State); time.Sleep(reacquireInterval) {
		if time.Since(started) > reacquireTimeout {
			return true
		}
	}
	return false
}

func (p *predecessor) handleSuccessorMessage(msg hotrestart.Message) {
	switch msg.Kind {
	case hotrestart.KindServing:
		p.handle(hotrestart.SuccessorServing)
	case hotrestart.KindAnswer:
		if req := p.removeOffer(msg.OfferID); req != nil {
			p.core.AnswerForwarded(req, sender.Verdict(msg.Verdict), msg.RetryAfterMs)
		}
	case hotrestart.KindCancel:
		p.loop.Post(func() { p.transport.cancelAttempt(msg.ID, msg.Attempt) })
	case hotrestart.KindRetryAfter:
		p.loop.Post(func() { p.transport.platformEgress.StartRetryAfter(msg.Route, msg.RetryAfterMs) })
	}
}

// reclaim ends this incarnation; the next one starts from the journal.
func (p *predecessor) reclaim(err error) {
	p.log.Error().Err(err).
		Msg("hot restart: the successor exited with the journal: this process restarts from the journal")
	p.endIncarnation(errJournalReclaimed)
}

// exitWhenDrained closes idle client connections and exits this process once the successor serves, no client is
// connected and no offer or attempt is pending. It runs on the event loop.
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
		if p.handle(hotrestart.DrainComplete) != hotrestart.Exit { // the successor does not serve yet
			p.loop.Post(func() { p.loop.After(drainCheckInterval, p.exitWhenDrained) })
			return
		}
		p.log.Info().Msg("hot restart: drained: this process exits")
		p.endIncarnation(errProcessExit)
	}()
}
