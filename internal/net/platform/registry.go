package platform

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"brackendale/internal/config"
	"brackendale/internal/net/http1"
	"brackendale/internal/net/reactor"
	"brackendale/internal/recovery"
	"brackendale/internal/timers"
	"brackendale/scheduler"
	"brackendale/sender"
)

// The platform counts news as known to the sender 6 s after the registry had it and could be
// reached. All times of the watch together, with a failed poll among them, stay within that.
const (
	watchWaitMs = 3_000                  // how long the agent may hold a poll until there is news
	watchMargin = 500 * time.Millisecond // beyond that, until the poll times out

	// agentTimeout is for connects to the agent, and for responses that it gives at once.
	agentTimeout = time.Second

	minRetryGap   = 50 * time.Millisecond  // the first gap after a failed poll, for a lone sender
	maxFailedGap  = 500 * time.Millisecond // the longest gap while the agent does not respond
	maxRefusedGap = 3 * time.Second        // the longest gap while it refuses, without the jitter
)

// The first poll of an incarnation that knows an earlier list.
const (
	firstWaitMs       = 1                       // the agent responds at once: no change is news, too
	maxFirstPollDelay = 2500 * time.Millisecond // until that poll

	// confirmTimeout is how long the earlier list stays suspended after that poll: the agent
	// responds within it, or is taken not to respond at all.
	confirmTimeout = 150 * time.Millisecond

	// maxProcessPause is how long this process may be held up between reading its clock and
	// writing.
	maxProcessPause = 150 * time.Millisecond
)

// noVersion stands for an unknown version of the list. 0 is a version: that of an unchanged list.
const noVersion = -1

// watchState is the state of the watch. The connection has a state of its own, in its link.
type watchState uint8

const (
	watchIdle    watchState = iota // between polls
	watchPolling                   // a poll for the whole list is out
	watchOpen                      // a poll that waits for news is out
	watchStopped                   // no more polls
)

// Registry keeps the route table up to date by a watch on the registry's agent.
type Registry struct {
	core    *sender.Sender
	reactor *reactor.Reactor
	addr    string // the agent's
	link    *link
	state   watchState
	version int64 // of the list, or noVersion: the next poll is for the whole list

	// The gaps between polls. Refused polls back off further, since other senders poll the same
	// registry.
	refusedBackoff *recovery.PollSchedule
	failedBackoff  *recovery.PollSchedule

	// unconfirmed is the list of an earlier incarnation until there is news, then nil. Nothing is
	// sent by it while it is suspended.
	unconfirmed []sender.Route
	suspended   bool
}

// WatchOptions describe the sender that watches.
type WatchOptions struct {
	Senders int           // that poll the registry; their number spreads the polls
	Seed    int64         // of the jitter
	Grace   time.Duration // how long after its notice a draining endpoint may still be sent to
	Age     time.Duration // since the last news that a process of this sender had, or would have had
}

func newRegistry(
	core *sender.Sender, eventLoop *reactor.Reactor, addr string, version int64, by WatchOptions,
) *Registry {
	return &Registry{
		core:           core,
		reactor:        eventLoop,
		addr:           addr,
		version:        version,
		refusedBackoff: recovery.NewPollSchedule(by.Senders, by.Seed, minRetryGap, maxRefusedGap),
		failedBackoff:  recovery.NewPollSchedule(1, by.Seed, minRetryGap, maxFailedGap),
	}
}

// Watch starts with the list that the sender last had and keeps it up to date. Any goroutine may
// call it.
//
// The first poll is delayed, so that senders started together don't poll together, but by less than
// the grace, since changes count as known from the start. A list older than the grace is suspended
// until there is news or the agent turns out not to respond.
func Watch(
	core *sender.Sender, eventLoop *reactor.Reactor, addr string, known config.List, by WatchOptions,
) *Registry {
	g := newRegistry(core, eventLoop, addr, known.Seq, by)
	if known.Seq < 0 || known.Seq == 0 && len(known.Hosts) == 0 {
		g.version = noVersion
		core.UpdateRoutes(scheduler.UpdateStale, Routes(known))
		eventLoop.Post(g.resume)
		return g
	}
	g.unconfirmed = Routes(known)
	firstPoll := g.firstPollDelay(by)
	trusted := by.Grace - by.Age - maxProcessPause
	if trusted > 0 {
		core.UpdateRoutes(scheduler.UpdateStale, g.unconfirmed)
	} else {
		g.suspended = true
		core.UpdateRoutes(scheduler.UpdateStale, draining(g.unconfirmed))
	}
	eventLoop.Post(func() {
		eventLoop.After(firstPoll, g.resume)
		if trusted > 0 && trusted < firstPoll+confirmTimeout {
			eventLoop.After(trusted, g.suspend)
		}
		eventLoop.After(firstPoll+confirmTimeout, g.confirm)
	})
	return g
}

// Follow continues from another process's route table and the version of its list; a version under
// 0 is none. Any goroutine may call it.
func Follow(
	core *sender.Sender, eventLoop *reactor.Reactor, addr string, routes []sender.Route, version int64,
	by WatchOptions,
) *Registry {
	g := newRegistry(core, eventLoop, addr, max(version, noVersion), by)
	core.UpdateRoutes(scheduler.UpdateStale, routes)
	eventLoop.Post(g.resume)
	return g
}

// firstPollDelay is the delay of the first poll of an incarnation that knows an earlier list.
func (g *Registry) firstPollDelay(by WatchOptions) time.Duration {
	return min(g.refusedBackoff.InitialDelay(), by.Grace/2, maxFirstPollDelay)
}

// suspend stops sending by the unconfirmed list.
func (g *Registry) suspend() {
	if g.unconfirmed != nil && g.state != watchStopped {
		g.suspended = true
		g.core.UpdateRoutes(scheduler.UpdateStale, draining(g.unconfirmed))
	}
}

// confirm takes the unconfirmed list as valid from here on.
func (g *Registry) confirm() {
	if g.unconfirmed != nil && g.suspended && g.state != watchStopped {
		g.core.UpdateRoutes(scheduler.UpdateStale, g.unconfirmed)
	}
	g.unconfirmed = nil
}

// Seq is the version of the list; under 0: there is none.
func (g *Registry) Seq() int64 { return g.version }

// Stop ends the watch.
func (g *Registry) Stop() {
	g.state = watchStopped
	if g.link != nil {
		g.link.abort()
	}
}

// Move changes to another agent. It is polled for the whole list, since the old agent's versions
// may mean something else there.
func (g *Registry) Move(addr string) {
	if addr == g.addr || g.state == watchStopped {
		return
	}
	old := g.link
	g.addr, g.version, g.link, g.state = addr, noVersion, nil, watchIdle
	g.refusedBackoff.Reset()
	g.failedBackoff.Reset()
	g.poll()
	if old != nil {
		old.abort()
	}
}

// resume polls after a gap, unless Move has done so meanwhile: a link carries one request at a
// time.
func (g *Registry) resume() {
	if g.state == watchIdle {
		g.poll()
	}
}

func (g *Registry) poll() {
	if g.link == nil || g.link.conn.IsClosing() {
		g.link = dial(g.reactor, g.addr, agentTimeout, maxAgentResponse)
	}
	path, timeout := g.nextPoll()
	polled := g.link
	var timer timers.Timer
	g.reactor.Arm(&timer, timeout, 0, timers.Func(polled.abort))
	polled.send(func(response *http1.Response, err error) {
		g.reactor.Disarm(&timer)
		g.finishPoll(polled, response, err)
	}, getRequest(path, g.addr))
}

// nextPoll sets the state for the next poll and returns its path and its timeout.
func (g *Registry) nextPoll() (path string, timeout time.Duration) {
	path = "/registry/instances"
	if g.version == noVersion {
		g.state = watchPolling
		return path, agentTimeout
	}
	g.state = watchOpen
	waitMs := watchWaitMs
	if g.unconfirmed != nil {
		waitMs = firstWaitMs
	}
	path += "?index=" + strconv.FormatInt(g.version, 10) + "&wait=" + strconv.Itoa(waitMs)
	return path, time.Duration(waitMs)*time.Millisecond + watchMargin
}

// finishPoll applies the response to a poll and plans the next one.
func (g *Registry) finishPoll(polled *link, response *http1.Response, err error) {
	if g.link != polled || g.state == watchStopped { // the watch has moved or ended
		return
	}
	g.state = watchIdle
	if err == nil {
		err = g.apply(response)
	}
	if err == nil {
		g.refusedBackoff.Reset()
		g.failedBackoff.Reset()
		g.reactor.Post(g.resume) // later: the link is not free until this has returned
		return
	}
	polled.conn.Close()
	g.link = nil
	backoff := g.failedBackoff
	if response.Status != 0 {
		backoff = g.refusedBackoff
	}
	g.reactor.After(backoff.NextDelay(), g.resume)
}

// apply takes over the endpoint list of a response.
func (g *Registry) apply(response *http1.Response) error {
	if response.Status != statusOK {
		return fmt.Errorf("registry: status %d", response.Status)
	}
	var list struct {
		config.List
		Seq *int64 `json:"seq"`
	}
	if err := json.Unmarshal(response.Body, &list); err != nil {
		return fmt.Errorf("registry: %w", err)
	}
	kind := scheduler.UpdatePatch
	if list.Whole {
		kind = scheduler.UpdateFull
		g.unconfirmed = nil
	}
	g.confirm()
	if list.Whole || len(list.Hosts) > 0 {
		g.core.UpdateRoutes(kind, Routes(list.List))
	}
	if list.Seq == nil || *list.Seq < 0 { // there is no version to watch from
		g.version = noVersion
		return errors.New("registry: a list without a version")
	}
	g.version = *list.Seq
	return nil
}

func getRequest(path, host string) []byte {
	return []byte("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n")
}
