// Package notice decides when which notices of final answers are sent to the platform's agent, so that no notice waits
// behind the silence of a connection that carries another. It does no I/O, and the time is passed in.
//
// Each notice is acknowledged on its own account: it is sent again, on a further connection, until any request that
// carried it is acknowledged. The same notice twice does no harm.
package notice

import (
	"slices"
	"time"

	"brackendale/internal/clock"
)

const (
	// MaxRequests bounds the requests that are open at once.
	MaxRequests = 10
	// maxPerRequest bounds the notices of one request.
	maxPerRequest = 256

	// resendInterval is the time after which a notice without an acknowledgement is sent again. The agent is on the same
	// machine and answers at once; the platform waits 0.35 s for a notice.
	resendInterval = 25 * time.Millisecond
	// maxResendInterval is the same while the agent has not answered for a while: three of them are within its time.
	maxResendInterval = 100 * time.Millisecond
	// silentRequests is the number of requests in a row without an acknowledgement from which on the interval doubles.
	silentRequests = 8
	// minRequestAge is the age from which on one of MaxRequests may be given up for a new one. With fewer it is shorter,
	// since the same number of silent requests then holds up the others for as long.
	minRequestAge = 300 * time.Millisecond
)

// Notice is the notice of one message's final answer.
type Notice struct {
	ID    string        // of the message
	Line  []byte        // the notice as it is sent
	Since clock.Instant // when it became due

	sentAt time.Duration // the last time; meaningless unless it was sent
	sent   bool
	ended  bool // it is acknowledged
}

// Request is one request with notices.
type Request struct {
	Notices   []*Notice
	startedAt time.Duration
}

// Queue holds the notices that are not acknowledged. The zero value is empty. It is not safe for concurrent use.
type Queue struct {
	notices    []*Notice  // in the order in which they became due
	open       []*Request // without an answer, the oldest first
	startedAt  time.Duration
	unanswered int // requests that were started since the last acknowledgement
}

// Len returns the number of notices.
func (q *Queue) Len() int { return len(q.notices) }

// Oldest returns the notice that became due first. The queue must not be empty.
func (q *Queue) Oldest() *Notice { return q.notices[0] }

// Add adds a notice.
func (q *Queue) Add(added *Notice) { q.notices = append(q.notices, added) }

// Step is what is to be done now.
type Step struct {
	Start  *Request      // a request to be sent; nil: none
	GiveUp *Request      // an open request to be ended in its favor; nil: none
	Wait   time.Duration // if there is nothing to start: the time until there may be
	Idle   bool          // nothing is to be done until the queue changes
}

// Next returns what is to be done at the time now, with at most limit requests open at once; limit is 1 to MaxRequests.
func (q *Queue) Next(now time.Duration, limit int) Step {
	interval := q.interval()
	batch, wait := q.due(now, interval)
	if len(q.notices) == 0 {
		return Step{Idle: true}
	}
	if q.unanswered > 0 { // the last request may still be answered
		wait = max(wait, q.startedAt+interval-now)
	}
	if wait > 0 {
		return Step{Wait: wait}
	}
	var step Step
	if len(q.open) >= limit {
		minAge := max(resendInterval, minRequestAge*time.Duration(limit)/MaxRequests)
		if wait := q.open[0].startedAt + minAge - now; wait > 0 {
			return Step{Wait: wait}
		}
		step.GiveUp = q.open[0]
		q.open = q.open[1:]
	}
	step.Start = q.start(batch, now)
	return step
}

// due returns the notices to be sent now, or the time until the first of them is due.
func (q *Queue) due(now, interval time.Duration) (batch []*Notice, wait time.Duration) {
	wait = maxResendInterval
	for _, queued := range q.notices {
		if queued.sent && queued.sentAt+interval > now {
			wait = min(wait, queued.sentAt+interval-now)
			continue
		}
		if batch = append(batch, queued); len(batch) == maxPerRequest {
			break
		}
	}
	if len(batch) > 0 {
		wait = 0
	}
	return batch, wait
}

// start records a request with these notices.
func (q *Queue) start(batch []*Notice, now time.Duration) *Request {
	for _, sent := range batch {
		sent.sent, sent.sentAt = true, now
	}
	started := &Request{Notices: batch, startedAt: now}
	q.open = append(q.open, started)
	q.startedAt = now
	q.unanswered++
	return started
}

// interval returns the time after which a notice is sent again.
func (q *Queue) interval() time.Duration {
	if q.unanswered <= silentRequests {
		return resendInterval
	}
	const maxDoublings = 2 // to maxResendInterval
	return min(maxResendInterval, resendInterval<<min(maxDoublings, q.unanswered-silentRequests))
}

// Acknowledge records that a request was acknowledged, and returns the IDs of its notices that were not before.
func (q *Queue) Acknowledge(request *Request) (ids []string) {
	q.remove(request)
	q.unanswered = 0
	for _, sent := range request.Notices {
		if !sent.ended {
			sent.ended = true
			ids = append(ids, sent.ID)
		}
	}
	q.notices = slices.DeleteFunc(q.notices, func(queued *Notice) bool { return queued.ended })
	return ids
}

// Fail records that a request has ended without an acknowledgement. Its notices are due again after the interval.
func (q *Queue) Fail(request *Request) { q.remove(request) }

// Open returns the requests without an answer, the oldest first.
func (q *Queue) Open() []*Request { return slices.Clone(q.open) }

func (q *Queue) remove(request *Request) {
	q.open = slices.DeleteFunc(q.open, func(other *Request) bool { return other == request })
}

// Restart makes all notices due at once, for another agent. The open requests are to be ended by the caller.
func (q *Queue) Restart() {
	q.open, q.unanswered = nil, 0
	for _, queued := range q.notices {
		queued.sent = false
	}
}

// Clear removes all notices.
func (q *Queue) Clear() { q.notices, q.open, q.unanswered = nil, nil, 0 }
