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

// The platform requires that a sender applies a change of the registry within 6 s, if the registry could
// be reached. The timeouts and intervals of the watch stay within that in total, with one failed poll.
const (
	pollWaitMs = 400                    // how long the agent may delay its response until there is a change
	pollMargin = 300 * time.Millisecond // added to that for the poll's timeout

	// maxMarginDoublings bounds the margin: it doubles with each poll in a row that times out.
	maxMarginDoublings = 3

	// agentTimeout limits connects to the agent, and responses that it sends at once.
	agentTimeout = time.Second

	minRetryInterval      = 50 * time.Millisecond  // after the first failed poll, for a lone sender
	maxNoResponseInterval = 500 * time.Millisecond // while the agent does not respond
	maxErrorInterval      = 3 * time.Second        // while the agent responds with errors, without the jitter
)

// The first poll of an incarnation that starts with an earlier list.
const (
	firstPollWaitMs   = 1                       // the agent responds at once, also if there is no change
	maxFirstPollDelay = 2500 * time.Millisecond // until the first poll

	// confirmTimeout is how long the earlier list stays suspended after the first poll. An agent that
	// has not responded within it is considered unresponsive.
	confirmTimeout = 150 * time.Millisecond

	// maxProcessPause is the longest assumed pause of this process between reading its clock and
	// writing a request.
	maxProcessPause = 150 * time.Millisecond
)

// maxOlderLists is the number of consecutive answers with an older version than the polled one after which the whole
// list is requested: the registry may have begun to number its versions anew.
const maxOlderLists = 3

// errOlderList reports an answer to a poll with an older version than the polled one.
var errOlderList = errors.New("registry: the list is older than the known one")

// noVersion is the value for an unknown version of the list. 0 is a valid version: that of a list that
// has never changed.
const noVersion = -1

// watchState is the state of the watch. The state of its connection is in the exchange.
type watchState uint8

const (
	watchIdle    watchState = iota // between polls
	watchPolling                   // a poll for the whole list is in flight
	watchOpen                      // a poll that waits for a change is in flight
	watchStopped                   // no more polls
)

// Registry updates the route table by a watch on the registry's agent.
type Registry struct {
	core    *sender.Sender
	reactor *reactor.Reactor
	addr    string    // of the agent
	poll    *exchange // in flight; nil: none
	state   watchState
	version int64 // of the list; with noVersion the next poll requests the whole list

	timedOut   int // consecutive polls without a response
	olderLists int // consecutive answers with an older version than the polled one

	// The intervals between polls after an error response and without a response. Error responses lead
	// to longer intervals, since other senders poll the same registry.
	errorBackoff      *recovery.PollSchedule
	noResponseBackoff *recovery.PollSchedule

	// unconfirmed is the list of an earlier incarnation until the agent has responded or is considered
	// unresponsive, then nil. While it is suspended, no new attempts are sent to its endpoints.
	unconfirmed []sender.Route
	suspended   bool

	// wholeListDue: the list of an earlier incarnation may have been corrected, so that the changes since it are
	// not enough: the whole list is requested once the agent has responded.
	wholeListDue bool
}

// WatchOptions describe the watching sender.
type WatchOptions struct {
	Senders    int           // the number of senders that poll the registry, by which the polls are spread
	Seed       int64         // of the jitter
	DrainGrace time.Duration // how long new attempts may still be sent to an endpoint after it began to drain
	ListAge    time.Duration // time since a process of this sender last had, or would have had, a response of the agent
}

func newRegistry(
	core *sender.Sender, eventLoop *reactor.Reactor, addr string, version int64, options WatchOptions,
) *Registry {
	return &Registry{
		core:              core,
		reactor:           eventLoop,
		addr:              addr,
		version:           version,
		errorBackoff:      recovery.NewPollSchedule(options.Senders, options.Seed, minRetryInterval, maxErrorInterval),
		noResponseBackoff: recovery.NewPollSchedule(1, options.Seed, minRetryInterval, maxNoResponseInterval),
	}
}

// Watch starts a watch with the list that the sender last had. Any goroutine may call it.
//
// The first poll is delayed, so that senders that start at the same time don't poll at the same time. The
// delay is shorter than the drain grace, since the grace of a change made during the downtime counts from
// the start. A list older than the drain grace is suspended until the agent responds or is considered
// unresponsive.
func Watch(
	core *sender.Sender, eventLoop *reactor.Reactor, addr string, lastList config.EndpointList, options WatchOptions,
) *Registry {
	g := newRegistry(core, eventLoop, addr, lastList.Seq, options)
	if lastList.Seq < 0 || lastList.Seq == 0 && len(lastList.Hosts) == 0 {
		g.version = noVersion
		core.UpdateRoutes(scheduler.UpdateStale, Routes(lastList))
		eventLoop.Post(g.resume)
		return g
	}
	g.unconfirmed, g.wholeListDue = Routes(lastList), core.HasEarlierReport()
	firstPoll := g.firstPollDelay(options)
	trustedFor := options.DrainGrace - options.ListAge - maxProcessPause
	if trustedFor > 0 {
		core.UpdateRoutes(scheduler.UpdateStale, g.unconfirmed)
	} else {
		g.suspended = true
		core.UpdateRoutes(scheduler.UpdateStale, draining(g.unconfirmed))
	}
	eventLoop.Post(func() {
		eventLoop.After(firstPoll, g.resume)
		if trustedFor > 0 && trustedFor < firstPoll+confirmTimeout {
			eventLoop.After(trustedFor, g.suspend)
		}
		eventLoop.After(firstPoll+confirmTimeout, g.confirm)
	})
	return g
}

// ResumeWatch starts a watch with the route table of another process and the version of its list; a negative
// version is none. Any goroutine may call it.
func ResumeWatch(
	core *sender.Sender, eventLoop *reactor.Reactor, addr string, routes []sender.Route, version int64,
	options WatchOptions,
) *Registry {
	g := newRegistry(core, eventLoop, addr, max(version, noVersion), options)
	core.UpdateRoutes(scheduler.UpdateStale, routes)
	eventLoop.Post(g.resume)
	return g
}

// firstPollDelay returns the delay of the first poll of an incarnation that starts with an earlier list.
func (g *Registry) firstPollDelay(options WatchOptions) time.Duration {
	return min(g.errorBackoff.InitialDelay(), options.DrainGrace/2, maxFirstPollDelay)
}

// suspend stops new attempts to the endpoints of the unconfirmed list.
func (g *Registry) suspend() {
	if g.unconfirmed != nil && g.state != watchStopped {
		g.suspended = true
		g.core.UpdateRoutes(scheduler.UpdateStale, draining(g.unconfirmed))
	}
}

// confirm treats the unconfirmed list as valid from here on.
func (g *Registry) confirm() {
	if g.unconfirmed != nil && g.suspended && g.state != watchStopped {
		g.core.UpdateRoutes(scheduler.UpdateStale, g.unconfirmed)
	}
	g.unconfirmed = nil
}

// Version returns the version of the list. It is negative if there is none, or if the list may have been corrected.
func (g *Registry) Version() int64 {
	if g.wholeListDue {
		return noVersion
	}
	return g.version
}

// Stop ends the watch.
func (g *Registry) Stop() {
	g.state = watchStopped
	if g.poll != nil {
		g.poll.abort()
	}
}

// SetAgent changes to another agent. That agent is polled for the whole list, since it may number its
// versions differently.
func (g *Registry) SetAgent(addr string) {
	if addr == g.addr || g.state == watchStopped {
		return
	}
	old := g.poll
	g.addr, g.version, g.state = addr, noVersion, watchIdle
	g.errorBackoff.Reset()
	g.noResponseBackoff.Reset()
	g.startPoll()
	if old != nil {
		old.abort()
	}
}

// resume polls after an interval, unless SetAgent has done so meanwhile.
func (g *Registry) resume() {
	if g.state == watchIdle {
		g.startPoll()
	}
}

// startPoll sends a poll to the agent.
func (g *Registry) startPoll() {
	path, timeout := g.nextPoll()
	poll := dial(g.reactor, g.addr, watchPlace, agentTimeout, maxAgentResponse, g.core.Events())
	g.poll = poll
	var timer timers.Timer
	g.reactor.Arm(&timer, timeout, 0, timers.Func(poll.abort))
	poll.send(func(response *http1.Response, err error) {
		g.reactor.Disarm(&timer)
		g.finishPoll(poll, response, err)
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
	waitMs := pollWaitMs
	if g.unconfirmed != nil {
		waitMs = firstPollWaitMs
	}
	path += "?index=" + strconv.FormatInt(g.version, 10) + "&wait=" + strconv.Itoa(waitMs)
	return path, time.Duration(waitMs)*time.Millisecond + pollMargin<<min(g.timedOut, maxMarginDoublings)
}

// finishPoll applies the response to a poll and schedules the next one.
func (g *Registry) finishPoll(poll *exchange, response *http1.Response, err error) {
	if g.poll != poll || g.state == watchStopped { // there is another agent, or the watch was stopped
		return
	}
	g.poll, g.state = nil, watchIdle
	if err == nil {
		err = g.apply(response)
	}
	if err == nil {
		g.errorBackoff.Reset()
		g.noResponseBackoff.Reset()
		g.timedOut = 0
		g.reactor.Post(g.resume)
		return
	}
	if errors.Is(err, errAborted) {
		g.timedOut++
	}
	backoff := g.noResponseBackoff
	if response.Status != 0 {
		backoff = g.errorBackoff
	}
	g.reactor.After(backoff.NextDelay(), g.resume)
}

// apply applies the endpoint list of a response to the route table.
func (g *Registry) apply(response *http1.Response) error {
	if response.Status != statusOK {
		return fmt.Errorf("registry: unexpected status %d", response.Status)
	}
	var list struct {
		config.EndpointList
		Seq *int64 `json:"seq"`
	}
	if err := json.Unmarshal(response.Body, &list); err != nil {
		return fmt.Errorf("registry: decoding the endpoint list: %w", err)
	}
	if err := g.checkVersion(list.Seq); err != nil {
		return err
	}
	kind := scheduler.UpdatePatch
	if list.Whole {
		kind = scheduler.UpdateFull
		g.unconfirmed = nil
	}
	g.confirm()
	if list.Whole || len(list.Hosts) > 0 {
		g.core.UpdateRoutes(kind, Routes(list.EndpointList))
	}
	if list.Seq == nil || *list.Seq < 0 { // the next poll cannot wait for a change
		g.version = noVersion
		return errors.New("registry: endpoint list has no version")
	}
	g.version = *list.Seq
	if g.wholeListDue && !list.Whole {
		g.version = noVersion
	}
	g.wholeListDue = false
	return nil
}

// checkVersion refuses a version that is older than the known one: a watch is answered with what is newer, and what
// was told before must not come back. After maxOlderLists of them the next poll requests the whole list.
func (g *Registry) checkVersion(version *int64) error {
	if version == nil || *version < 0 || *version >= g.version {
		g.olderLists = 0
		return nil
	}
	if g.olderLists++; g.olderLists >= maxOlderLists {
		g.olderLists, g.version = 0, noVersion
	}
	return errOlderList
}

// getRequest returns a GET request without a body.
func getRequest(path, host string) []byte {
	return []byte("GET " + path + " HTTP/1.1\r\nHost: " + host + "\r\nConnection: close\r\n\r\n")
}
