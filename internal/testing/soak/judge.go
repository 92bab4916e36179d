// Package soak plays a seeded day of troubles against one real process of the sender, with clients,
// endpoints and discovery of its own, and judges it by the platform's rules as they show at those
// three, never by the sender's own word.
package soak

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"brackendale/scheduler"
	"brackendale/sender"
)

// The slack of the rules on sockets, and the times that the platform's pages name.
const (
	slack            = 50 * time.Millisecond  // every limit is so much longer
	finalAnswerSlack = 300 * time.Millisecond // a final answer may come so long after the deadline
	retryAfterGrace  = 100 * time.Millisecond // calls so soon after a Retry-After are tolerated
	restartGrace     = 1500 * time.Millisecond
	answerWait       = 400 * time.Millisecond // of a client
	badClientDue     = 3 * time.Second
	termToKill       = 3700 * time.Millisecond
	killToStart      = 600 * time.Millisecond
	readyDue         = 10 * time.Second
	reloadDelay      = 4 * time.Second
	silentWatchDelay = 6 * time.Second
	upgradeDelay     = 2 * time.Second // what discovery tells in an upgrade binds so long after the new process's ready
	upgradeReadyDue  = 6 * time.Second
)

// verdict is the reply to a client that submitted a message.
type verdict uint8

const (
	noReply verdict = iota
	accepted
	refused
	failed
	withdrawn // it waited for too long and left, or its connection ended
)

// message is one that a client submits.
type message struct {
	id, class, key, body string
	dest                 int64
	deadline             time.Time
	verdict              verdict
	heard                time.Time
	calls                []*attempt
	delivered            time.Time
	end                  string
	ended                time.Time
	toldOver             bool // an endpoint has answered that it is over: nothing more is owed
	unanswered           bool // its connection ended behind its last byte with no answer, and not by a kill
}

// attempt is one call of a message, as its endpoint saw it.
type attempt struct {
	at     time.Time // its last byte
	mayRun bool
	open   bool
}

// span is a time, such as that in which a restart excuses delays.
type span struct{ from, to time.Time }

// Judge records what clients, endpoints and discovery see, and the broken rules. Its methods may be
// called by any goroutine.
type Judge struct {
	mu       sync.Mutex
	began    time.Time
	windows  map[string]time.Duration // of the classes that may be repeated by key
	effects  map[string]scheduler.Idempotency
	messages map[string]*message
	waits    map[int64]span // by Retry-After, by destination
	restarts []span         // the last one's end is zero while the sender is down
	broken   []string
	counts   map[string]int

	clientsReset bool      // clients' connections also break by themselves
	floodUntil   time.Time // until then new connections may be closed unread
}

func newJudge() *Judge {
	return &Judge{
		began: time.Now(), windows: map[string]time.Duration{}, effects: map[string]scheduler.Idempotency{},
		messages: map[string]*message{},
		waits:    map[int64]span{}, counts: map[string]int{},
	}
}

// violate records a broken rule. The caller holds the lock.
func (j *Judge) violate(format string, args ...any) {
	j.broken = append(j.broken, fmt.Sprintf("%.3f ", time.Since(j.began).Seconds())+fmt.Sprintf(format, args...))
}

// Violate records a broken rule.
func (j *Judge) Violate(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.violate(format, args...)
}

func (j *Judge) count(what string, n int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.counts[what] += n
}

func (j *Judge) submitted(m *message) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.messages[m.id] = m
	j.counts["submitted"]++
}

// recordReply records the reply to a submit.
func (j *Judge) recordReply(m *message, v verdict) {
	j.mu.Lock()
	defer j.mu.Unlock()
	m.verdict, m.heard = v, time.Now()
	j.counts[[]string{"unheard", "taken on", "refused", "failed", "withdrawn"}[v]]++
}

// recordCut records that a connection ended after a message's last byte without a reply. fresh: it was a
// new connection, on which no earlier request explains it.
func (j *Judge) recordCut(message *message, fresh bool) {
	j.recordReply(message, withdrawn)
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.down(time.Now(), time.Second) {
		return // the process was killed, or ends
	}
	j.counts["cut"]++
	if j.clientsReset {
		return
	}
	if message.unanswered = true; fresh && time.Now().After(j.floodUntil) {
		j.violate("lost: %s was written to a new connection that was ended with no answer", message.id)
	}
}

// down tells whether a restart excuses something at a time, or did until so long before.
func (j *Judge) down(at time.Time, before time.Duration) bool {
	return slices.ContainsFunc(j.restarts, func(s span) bool {
		return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to.Add(before)))
	})
}

// recordStop records the first signal of a restart.
func (j *Judge) recordStop() {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.restarts = append(j.restarts, span{from: time.Now()})
}

// recordKill records a SIGKILL of a process that another one has followed on: connections that it still had are cut.
func (j *Judge) recordKill() {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	j.restarts = append(j.restarts, span{from: now.Add(-slack), to: now.Add(slack)})
}

// recordStart records a new process: waits by Retry-After are over.
func (j *Judge) recordStart() {
	j.mu.Lock()
	defer j.mu.Unlock()
	clear(j.waits)
}

// recordReady records that the sender is ready again.
func (j *Judge) recordReady() {
	j.mu.Lock()
	defer j.mu.Unlock()
	if n := len(j.restarts); n > 0 && j.restarts[n-1].to.IsZero() {
		j.restarts[n-1].to = time.Now().Add(restartGrace)
	}
}

// recordCall judges a call whose last byte has come; first is when its first one came. gone: the
// message is over, and nothing of it runs.
func (j *Judge) recordCall(endpoint *endpoint, id, key, body string, first time.Time) (a *attempt, gone bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	j.counts["calls"]++
	m := j.messages[id]
	if m == nil || m.key != key || m.body != body {
		j.violate("misrouted: nobody handed in %q with key %q in this form", id, key)
		return &attempt{}, true
	}
	if m.dest != endpoint.dest {
		j.violate("misrouted: %s is for %d, and came to %s of %d", id, m.dest, endpoint.name, endpoint.dest)
	}
	if told := endpoint.drainStart(); !told.IsZero() && first.Sub(told) > endpoint.grace+slack {
		j.violate("drain: %s came to %s %v after it was told to want nothing", id, endpoint.name, first.Sub(told))
	}
	if w, ok := j.waits[m.dest]; ok && now.Before(w.to) && now.Sub(w.from) > retryAfterGrace {
		j.violate("wait: %s came to %d %v before a told wait was over, and %v after it was told", id, m.dest,
			w.to.Sub(now), now.Sub(w.from))
	}
	switch {
	case (m.verdict == refused || m.verdict == failed) && first.After(m.heard):
		j.violate("refused: %s was sent %v after its client had heard that it is not taken on", id, first.Sub(m.heard))
	case m.unanswered && first.After(m.heard):
		j.violate("lost: %s was sent after its connection had been ended with no answer", id)
	case m.end != "" && first.After(m.ended):
		j.violate("ended: %s was sent %v after it had ended as %s", id, first.Sub(m.ended), m.end)
	}
	for _, o := range m.calls {
		if o.open {
			j.violate("twice at once: %s came while a call of it is out", id)
		}
	}
	j.checkRepeat(m, now)
	a = &attempt{at: now, open: true}
	m.calls = append(m.calls, a)
	return a, !now.Before(m.deadline) || m.verdict == withdrawn || m.end != ""
}

// awaitOpenCalls waits a moment until the end of an earlier call's connection is seen here: it may have
// ended just before.
func (j *Judge) awaitOpenCalls(id string) {
	for until := time.Now().Add(slack); time.Now().Before(until); time.Sleep(time.Millisecond) {
		j.mu.Lock()
		m := j.messages[id]
		open := m != nil && slices.ContainsFunc(m.calls, func(o *attempt) bool { return o.open })
		j.mu.Unlock()
		if !open {
			return
		}
	}
}

// checkRepeat judges a call by those before it that may have run.
func (j *Judge) checkRepeat(message *message, now time.Time) {
	i := slices.IndexFunc(message.calls, func(o *attempt) bool { return o.mayRun })
	if i < 0 {
		return
	}
	since := now.Sub(message.calls[i].at)
	switch {
	case j.effects[message.class] == scheduler.NotIdempotent:
		j.violate("duplicate: %s came again %v after a call that may have run", message.id, since)
	case j.effects[message.class] == scheduler.IdempotentByKey && since > j.windows[message.class]+slack:
		j.violate("duplicate: %s came again %v after a call that may have run", message.id, since)
	case j.effects[message.class] != scheduler.Idempotent:
		j.counts["repeats"]++
	}
}

// recordCallEnd records how a call ended.
func (j *Judge) recordCallEnd(a *attempt, mayRun bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.open, a.mayRun = false, a.mayRun || mayRun
}

// recordMayRun records that a call may have run from here on.
func (j *Judge) recordMayRun(a *attempt) {
	j.mu.Lock()
	defer j.mu.Unlock()
	a.mayRun = true
}

// recordDelivery records a 200 that was written.
func (j *Judge) recordDelivery(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if m := j.messages[id]; m != nil && m.delivered.IsZero() {
		m.delivered = time.Now()
		j.counts["delivered"]++
	}
}

// recordToldOver records that an endpoint answers that a message is over (410, void).
func (j *Judge) recordToldOver(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if m := j.messages[id]; m != nil {
		m.toldOver = true
		j.counts["told over"]++
	}
}

// recordRetryAfter records a wait as it is written.
func (j *Judge) recordRetryAfter(dest int64, wait time.Duration) {
	j.mu.Lock()
	defer j.mu.Unlock()
	now := time.Now()
	if w := j.waits[dest]; now.Add(wait).After(w.to) {
		j.waits[dest] = span{now, now.Add(wait)}
	}
	j.counts["waits told"]++
}

// recordFinal records a final answer.
func (j *Judge) recordFinal(id, state string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	m := j.messages[id]
	if m == nil {
		j.violate("misrouted: a notice of %q, which nobody handed in", id)
		return
	}
	if m.end != "" {
		return // a notice for a message that is over does no harm
	}
	m.end, m.ended = state, time.Now()
	j.counts[state]++
	ran := slices.ContainsFunc(m.calls, func(a *attempt) bool { return a.mayRun || a.open })
	if state == sender.Returned && ran && j.effects[m.class] == scheduler.NotIdempotent {
		j.violate("duplicate: %s is returned, and may have run", id)
	}
}

// finalDue is when a message must have its end at the latest. No notice is overdue in a restart.
func (j *Judge) finalDue(message *message) time.Time {
	at := message.deadline.Add(finalAnswerSlack + slack)
	for _, s := range j.restarts {
		if !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to)) {
			at = s.to
		}
	}
	return at
}

// timeline is when a message was accepted, called and due, for whoever reads the report.
func (j *Judge) timeline(m *message) string {
	at := func(t time.Time) float64 { return t.Sub(j.began).Seconds() }
	text := fmt.Sprintf("accepted %.3f, due %.3f", at(m.heard), at(m.deadline))
	for _, c := range m.calls {
		text += fmt.Sprintf(", called %.3f (may have run: %v, open: %v)", at(c.at), c.mayRun, c.open)
	}
	return text
}

// close judges what has no end, once all deadlines are over.
func (j *Judge) close() (broken []string, counts map[string]int) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for id, m := range j.messages {
		due := j.finalDue(m)
		over := !m.delivered.IsZero() || m.end != "" && !m.ended.After(due)
		if m.verdict == accepted && !over && !m.toldOver {
			late := "never"
			if m.end != "" {
				late = fmt.Sprint(m.ended.Sub(due), " late")
			}
			j.violate("lost: %s (%s, %d calls) has its end %s; %s", id, m.class, len(m.calls), late, j.timeline(m))
		}
	}
	return j.broken, j.counts
}
