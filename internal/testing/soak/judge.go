// Package soak runs one real process of the sender under random faults drawn from a seed, with stand-in
// clients, endpoints and discovery. It checks the platform's rules by what those three observe, never by
// what the sender reports about itself.
package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"brackendale/internal/testing/fleet"
	"brackendale/scheduler"
	"brackendale/sender"
)

// Tolerances of the checks, and the times that the platform's rules specify.
const (
	slack                  = 50 * time.Millisecond  // tolerance of all time limits
	finalAnswerSlack       = 300 * time.Millisecond // a final answer may arrive so long after the deadline
	retryAfterGrace        = 100 * time.Millisecond // calls that follow a Retry-After so soon are tolerated
	restartGrace           = 1500 * time.Millisecond
	replyTimeout           = 400 * time.Millisecond // of clients
	badClientTimeout       = 3 * time.Second
	termToKill             = 3700 * time.Millisecond
	killToStart            = 600 * time.Millisecond
	readyTimeout           = 10 * time.Second
	reloadDelay            = 4 * time.Second
	unresponsiveWatchDelay = 6 * time.Second
	upgradeDelay           = 2 * time.Second // list changes during an upgrade apply so long after the new process is ready
	upgradeReadyTimeout    = 6 * time.Second
)

// reply is the reply to a client that submitted a message.
type reply uint8

const (
	replyPending reply = iota
	accepted
	refused
	failed
	withdrawn // the client timed out, or its connection ended
)

// message is a message of a client, with what clients, endpoints and discovery observed of it.
type message struct {
	id, class, key, body string
	dest                 int64
	deadline             time.Time
	reply                reply
	repliedAt            time.Time
	transit              time.Duration // at most this passed until the sender had it, which counts the deadline from then
	calls                []*attempt
	deliveredAt          time.Time
	finalAnswer          string
	finalAnswerAt        time.Time
	rejectedAsExpired    bool // an endpoint has replied that it is expired: no final answer is due
	unanswered           bool // its connection ended after its last byte without a reply, and not by a kill
}

// stray is an answer for no request of a connection.
type stray struct {
	at     time.Time
	answer string
}

// interval is a period of time, such as that in which a restart excuses delays.
type interval struct {
	from, to time.Time
	cause    string // for reports
}

// Judge records what clients, endpoints and discovery observe, and the violations of rules. It is safe for
// concurrent use.
type Judge struct {
	mu         sync.Mutex
	start      time.Time
	windows    map[string]time.Duration // idempotency windows, by class
	effects    map[string]scheduler.Idempotency
	messages   map[string]*message
	retryAfter map[int64]interval // from the latest Retry-After, by destination
	outages    []interval         // in which the agent could not be reached; the end of a current one is zero
	restarts   []interval         // the end of the last one is zero while the sender is down
	violations []string
	notes      []string // what was seen that looks like a violation and is none
	involved   []string // the messages of violations
	overlaps   []overlapping
	heldUp     []interval // in which this process, with all stand-ins, was held up
	counts     map[string]int
	strays     map[string][]stray // by connection

	clientsReset bool      // injected faults also break the connections of clients
	floodUntil   time.Time // until then new connections may be closed before a command is read
}

func newJudge() *Judge {
	return &Judge{
		start: time.Now(), windows: map[string]time.Duration{}, effects: map[string]scheduler.Idempotency{},
		messages:   map[string]*message{},
		retryAfter: map[int64]interval{}, counts: map[string]int{}, strays: map[string][]stray{},
	}
}

// violate records a violation of a rule. The caller must hold mu.
func (j *Judge) violate(format string, args ...any) {
	j.violations = append(j.violations, fmt.Sprintf("%.3f ", time.Since(j.start).Seconds())+fmt.Sprintf(format, args...))
}

// Violate records a violation of a rule.
func (j *Judge) Violate(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violate(format, args...)
}

func (j *Judge) count(name string, amount int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[name] += amount
}

func (j *Judge) submitted(msg *message) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.messages[msg.id] = msg
	j.counts["submitted"]++
}

// recordReply records the reply to a submit.
func (j *Judge) recordReply(msg *message, received reply) {
	j.mu.Lock()
	defer j.mu.Unlock()
	msg.reply, msg.repliedAt = received, time.Now()
	j.counts[[]string{"unheard", "taken on", "refused", "failed", "withdrawn"}[received]]++
}

// recordConnectionLost records that a connection ended after a message's last byte without a reply. unused: it was a
// new connection, so no earlier request can be the cause.
func (j *Judge) recordConnectionLost(message *message, unused bool) {
	j.recordReply(message, withdrawn)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.down(time.Now(), time.Second) {
		return // the process was killed or is shutting down
	}
	j.counts["cut"]++
	if j.clientsReset {
		return
	}
	if message.unanswered = true; unused && time.Now().After(j.floodUntil) {
		j.violate("lost: %s was written to a new connection that was ended with no answer", message.id)
	}
}

// down reports whether a restart excuses a delay at an instant: it is in progress or ended less than grace before.
func (j *Judge) down(instant time.Time, grace time.Duration) bool {
	return slices.ContainsFunc(j.restarts, func(restart interval) bool {
		return !instant.Before(restart.from) && (restart.to.IsZero() || instant.Before(restart.to.Add(grace)))
	})
}

// recordStop records the first signal of a restart.
func (j *Judge) recordStop() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.restarts = append(j.restarts, interval{from: time.Now()})
}

// recordKill records a SIGKILL of a process that already has a successor; its remaining connections are reset.
func (j *Judge) recordKill() {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	j.restarts = append(j.restarts, interval{from: now.Add(-slack), to: now.Add(slack)})
}

// recordStart records a new process, which has no record of earlier Retry-After responses.
func (j *Judge) recordStart() {
	j.mu.Lock()
	defer j.mu.Unlock()
	clear(j.retryAfter)
}

// recordReady records that the sender is ready after a restart.
func (j *Judge) recordReady() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if count := len(j.restarts); count > 0 && j.restarts[count-1].to.IsZero() {
		j.restarts[count-1].to = time.Now().Add(restartGrace)
	}
}

// arrival is when the bytes of a call arrived from the sender, and the relayed connection, if it came over one.
type arrival struct {
	first, last time.Time
	relayed     *fleet.RelayedConn
}

// recordCall checks a call whose last byte has arrived. expired: the message is past its deadline, withdrawn or has a
// final answer, so the endpoint does not execute it.
func (j *Judge) recordCall(endpoint *endpoint, id, key, body string, came arrival) (added *attempt, expired bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	first, now := came.first, came.last
	j.counts["calls"]++
	msg := j.messages[id]
	if msg == nil || msg.key != key || msg.body != body {
		j.violate("misrouted: nobody handed in %q with key %q in this form", id, key)
		return &attempt{}, true
	}
	if msg.dest != endpoint.dest {
		j.violate("misrouted: %s is for %d, and came to %s of %d", id, msg.dest, endpoint.name, endpoint.dest)
	}
	if drainingSince := endpoint.drainStart(); !drainingSince.IsZero() && first.Sub(drainingSince) > endpoint.grace+slack {
		j.violate("drain: %s came to %s %v after it was told to want nothing, at %.3f", id, endpoint.name,
			first.Sub(drainingSince), j.seconds(drainingSince))
	}
	if wait, ok := j.retryAfter[msg.dest]; ok && now.Before(wait.to) && now.Sub(wait.from) > retryAfterGrace {
		j.violate("wait: %s came to %d %v before a told wait was over, and %v after it was told in the answer to %s", id,
			msg.dest, wait.to.Sub(now), now.Sub(wait.from), wait.cause)
	}
	switch {
	case (msg.reply == refused || msg.reply == failed) && first.After(msg.repliedAt):
		j.violate("refused: %s was sent %v after its client had heard that it is not taken on", id, first.Sub(msg.repliedAt))
	case msg.unanswered && first.After(msg.repliedAt):
		j.violate("lost: %s was sent after its connection had been ended with no answer", id)
	case msg.finalAnswer != "" && first.After(msg.finalAnswerAt):
		j.violate("ended: %s was sent %v after it had ended as %s", id, first.Sub(msg.finalAnswerAt), msg.finalAnswer)
	}
	added = &attempt{firstAt: first, receivedAt: now, open: true, relayed: came.relayed}
	for _, other := range msg.calls {
		came := fmt.Sprintf("%s came (first byte %.3f, last %.3f, %s)", id, j.seconds(first), j.seconds(now),
			j.linkState(added))
		switch from, to := overlap(other, added); {
		case to.Sub(from) > slack:
			found := fmt.Sprintf("%s while a call of it is out; %s", came, j.history(msg))
			j.overlaps = append(j.overlaps, overlapping{id: id, from: from, to: to, found: found})
		case other.isOpen():
			j.counts["given up and delivered late"]++
			j.notes = append(j.notes, fmt.Sprintf("%.3f %s beside another, which began when it had been given up; %s",
				j.seconds(time.Now()), came, j.history(msg)))
		}
	}
	j.checkRepeat(msg, now)
	msg.calls = append(msg.calls, added)
	return added, !time.Now().Before(msg.deadline) || msg.reply == withdrawn || msg.finalAnswer != ""
}

// awaitOpenCalls waits up to slack for the recorded end of earlier calls: their connections may have ended just
// before, without their endpoint having observed it yet.
func (j *Judge) awaitOpenCalls(id string) {
	for deadline := time.Now().Add(slack); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		j.mu.Lock()
		msg := j.messages[id]
		open := msg != nil && slices.ContainsFunc(msg.calls, (*attempt).isOpen)
		j.mu.Unlock()
		if !open {
			return
		}
	}
}

// checkRepeat checks that a message whose earlier call may have run may be sent again.
func (j *Judge) checkRepeat(message *message, now time.Time) {
	first := slices.IndexFunc(message.calls, func(earlier *attempt) bool { return earlier.mayRun })
	if first < 0 {
		return
	}
	since := now.Sub(message.calls[first].receivedAt)
	switch {
	case j.effects[message.class] == scheduler.NotIdempotent,
		j.effects[message.class] == scheduler.IdempotentByKey && since > j.windows[message.class]+slack:
		j.violate("duplicate: %s came again %v after a call that may have run; %s", message.id, since, j.history(message))
	case j.effects[message.class] != scheduler.Idempotent:
		j.counts["repeats"]++
	}
}

// recordCallEnd records the end of a call, and whether it may have run.
func (j *Judge) recordCallEnd(call *attempt, mayRun bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	call.open, call.mayRun = false, call.mayRun || mayRun
	if call.endedAt.IsZero() {
		call.endedAt = time.Now()
	}
}

// recordAnswer records what an endpoint answers to a call.
func (j *Judge) recordAnswer(call *attempt, answer string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	call.answer, call.answeredAt = answer, time.Now()
}

// recordStray records that a peer has written an answer for no request of a connection.
func (j *Judge) recordStray(connection, answer string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts["strays"]++
	j.strays[connection] = append(j.strays[connection], stray{time.Now(), answer})
}

// recordMayRun records that a call may have run from now on.
func (j *Judge) recordMayRun(call *attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	call.mayRun = true
}

// recordDelivery records that an endpoint has written a 200 for a message.
func (j *Judge) recordDelivery(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if msg := j.messages[id]; msg != nil && msg.deliveredAt.IsZero() {
		msg.deliveredAt = time.Now()
		j.counts["delivered"]++
	}
}

// recordRejectedAsExpired records that an endpoint replies that a message is expired (410, void).
func (j *Judge) recordRejectedAsExpired(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if msg := j.messages[id]; msg != nil {
		msg.rejectedAsExpired = true
		j.counts["told over"]++
	}
}

// recordRetryAfter records a Retry-After just before it is written to the sender, or just behind that if a relay writes
// it. until is the end of the wait as its endpoint counts it.
func (j *Judge) recordRetryAfter(dest int64, until time.Time, cause string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	if current := j.retryAfter[dest]; until.After(current.to) {
		j.retryAfter[dest] = interval{now, until, cause}
	}
	j.counts["waits told"]++
}

// recordFinal records a final answer that the agent received at a time.
func (j *Judge) recordFinal(id, state string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	msg := j.messages[id]
	if msg == nil {
		j.violate("misrouted: a notice of %q, which nobody handed in", id)
		return
	}
	if msg.finalAnswer != "" { // a repeated final answer is harmless; the agent may handle the first one last
		if at.Before(msg.finalAnswerAt) {
			msg.finalAnswerAt = at
		}
		return
	}
	msg.finalAnswer, msg.finalAnswerAt = state, at
	j.counts[state]++
	mayHaveRun := slices.ContainsFunc(msg.calls, func(call *attempt) bool { return call.mayRun || call.open })
	if state == sender.Returned && mayHaveRun && j.effects[msg.class] == scheduler.NotIdempotent {
		j.violate("duplicate: %s is returned, and may have run", id)
	}
}

// recordOutage records that the agent cannot be reached until the returned function is called.
func (j *Judge) recordOutage() (ended func()) {
	j.mu.Lock()
	defer j.mu.Unlock()
	i := len(j.outages)
	j.outages = append(j.outages, interval{from: time.Now()})
	return func() {
		j.mu.Lock()
		defer j.mu.Unlock()
		j.outages[i].to = time.Now()
	}
}

// The interval of the watchdog's steps, and the gap between two from which on the stand-ins count as held up.
const (
	watchdogInterval = 10 * time.Millisecond
	watchdogGap      = 100 * time.Millisecond
)

// watch records the spans in which this process, with all stand-ins, was held up: the agent could not answer then. It
// ends when done is closed.
func (j *Judge) watch(done <-chan struct{}) {
	for last := time.Now(); ; {
		select {
		case <-done:
			return
		case <-time.After(watchdogInterval):
		}
		now := time.Now()
		if now.Sub(last) > watchdogGap {
			j.mu.Lock()
			j.outages = append(j.outages, interval{from: last, to: now})
			j.heldUp = append(j.heldUp, interval{from: last, to: now})
			j.counts["stand-ins held up"]++
			j.mu.Unlock()
		}
		last = now
	}
}

// forgetRetryAfter removes the Retry-After of a destination, whose answer may not have arrived.
func (j *Judge) forgetRetryAfter(dest int64) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.retryAfter, dest)
}

// finalDue returns the latest time for a message's final answer. None is overdue during a restart.
func (j *Judge) finalDue(message *message) time.Time {
	due := message.deadline.Add(message.transit + finalAnswerSlack + slack)
	for _, restart := range j.restarts {
		if !due.Before(restart.from) && (restart.to.IsZero() || due.Before(restart.to)) {
			due = restart.to
		}
	}
	for _, outage := range j.outages { // what is owed is told once the agent can be reached
		told := outage.to.Add(finalAnswerSlack + slack)
		if !due.Before(outage.from) && due.Before(told) {
			due = told
		}
	}
	return due
}

// checkBytesBehindEnd checks that no call was read whole of which bytes left the sender behind the message's end. The
// times are those of the kernel, for calls over a relay.
func (j *Judge) checkBytesBehindEnd(msg *message) {
	for _, call := range msg.calls {
		if call.relayed != nil && msg.finalAnswer != "" && call.receivedAt.After(msg.finalAnswerAt) {
			j.involved = append(j.involved, msg.id)
			j.violate("ended: bytes of a call with %s left %v after it had ended as %s; %s", msg.id,
				call.receivedAt.Sub(msg.finalAnswerAt), msg.finalAnswer, j.history(msg))
		}
	}
}

// checkOverlaps checks that no message had two calls out at once. While the stand-ins are held up, a goroutine of a
// relay can hold the lock of a connection, which then learns of its end late.
func (j *Judge) checkOverlaps() {
	for _, found := range j.overlaps {
		unknown := slices.ContainsFunc(j.heldUp, func(span interval) bool {
			return span.from.Before(found.to) && found.from.Before(span.to)
		})
		if unknown {
			j.counts["twice at once, while held up"]++
			j.notes = append(j.notes, "twice at once, while held up: "+found.found)
			continue
		}
		j.involved = append(j.involved, found.id)
		j.violate("twice at once: %s", found.found)
	}
}

// close checks for messages without a final answer, once all deadlines have passed. It fills in what the judge has
// found.
func (j *Judge) close(report *Report) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.checkOverlaps()
	for id, msg := range j.messages {
		due := j.finalDue(msg)
		answered := !msg.deliveredAt.IsZero() || msg.finalAnswer != "" && !msg.finalAnswerAt.After(due)
		if msg.reply == accepted && !answered && !msg.rejectedAsExpired {
			late := "never"
			if msg.finalAnswer != "" {
				late = fmt.Sprint(msg.finalAnswerAt.Sub(due), " late")
			}
			j.involved = append(j.involved, id)
			j.violate("lost: %s (%s, %d calls) has its end %s; %s", id, msg.class, len(msg.calls), late, j.history(msg))
		}
		j.checkBytesBehindEnd(msg)
	}
	report.Violations, report.Notes, report.Counts = j.violations, j.notes, j.counts
	report.involved = j.involved
}
