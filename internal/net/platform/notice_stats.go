package platform

import (
	"sync/atomic"

	"brackendale/internal/clock"
	"brackendale/internal/eventlog"
	"brackendale/internal/metrics"
)

// noticeStats are the figures of the notices that are not acknowledged. Any goroutine may read them.
type noticeStats struct {
	waiting atomic.Int64
	oldest  atomic.Int64 // the clock.Instant at which the oldest became due; without meaning if none is waiting
}

// The reasons for which a request with notices ends without an acknowledgement.
const (
	noticeTimedOut = "no answer in time"
	noticeCut      = "the connection failed"
	noticeRefused  = "another answer than 204"
)

// UnacknowledgedReasons returns the reasons for which requests with notices end without an acknowledgement.
func UnacknowledgedReasons() []string { return []string{noticeTimedOut, noticeCut, noticeRefused} }

// unacknowledgedReason returns the reason for which a request ended without an acknowledgement; err is nil if it has
// an answer.
func unacknowledgedReason(err error) string {
	switch closeReason(err) {
	case closedAborted, closedStalled:
		return noticeTimedOut
	}
	if err == nil {
		return noticeRefused
	}
	return noticeCut
}

// recordUnacknowledged records the end of a request whose notices are not acknowledged by it.
func (n *notices) recordUnacknowledged(count int, connection uint64, err error) {
	n.core.Events().RecordCounted(eventlog.Event{
		Kind: eventlog.Unacknowledged, Connection: connection, Bytes: count, Reason: unacknowledgedReason(err),
	}, 1)
}

// updateStats updates the figures after a change of the queue.
func (n *notices) updateStats() {
	n.stats.waiting.Store(int64(n.queue.Len()))
	if n.queue.Len() > 0 {
		n.stats.oldest.Store(int64(n.queue.Oldest().Since))
	}
}

// CollectMetrics returns the figures of the notices. Any goroutine may call it.
func (in *Ingress) CollectMetrics() []metrics.Metric {
	waiting := in.notices.stats.waiting.Load()
	oldest := 0.0
	if waiting > 0 {
		oldest = in.core.Now().Sub(clock.Instant(in.notices.stats.oldest.Load())).Seconds()
	}
	return []metrics.Metric{
		{Name: "lb_notices_waiting", Help: "Final answers that the agent has not acknowledged.", Value: float64(waiting)},
		{Name: "lb_notices_oldest_seconds", Help: "Age of the oldest of them, in seconds.", Value: oldest},
	}
}
