package scheduler

import (
	"cmp"
	"math"
	"slices"

	"brackendale/internal/recovery"
)

const (
	backoffMinUs         = 250_000              // before the first retry of a message
	backoffMaxDoublings  = 3                    // of backoffMinUs
	retrySpreadMinUs     = recovery.MaxSpreadUs // initial spread of many senders' retries; doubles with each failure
	retrySpreadMaxUs     = 20_000_000           // maximum spread; older failures do not count
	retrySpreadStep      = 1.3                  // factor on the learned factor after a rejection, divisor after a success
	retrySpreadFactorMax = 64.0                 // maximum of the learned factor; the minimum is its inverse
)

// scheduleRetry makes a message pending again after a failed attempt.
func (s *Scheduler) scheduleRetry(msg *message, outcome Outcome) {
	if outcome != OutcomeRejected {
		msg.retries++
		msg.backoffUntil = s.now + backoffMinUs<<min(msg.retries-1, backoffMaxDoublings)
	}
	msg.notBefore = max(msg.backoffUntil, s.now+s.retryDelay(msg.destination))
	if msg.firstRunAt != 0 && msg.class.idempotentByKey { // a retry must be sent within the idempotency window
		msg.notBefore = min(msg.notBefore, max(s.now, s.resendDeadline(msg)-4*s.settings.TickUs))
	}
	s.enqueue(msg)
	s.setDeadline(msg, s.sendDeadline(msg))
	msg.keyQueue.sortDelays()
}

// retryDelay returns a random delay for the next message of a destination whose routes have all failed
// or rejected recently. Without it, hundreds of senders, each with one message and one token, would
// exhaust a limit or overload a recovering destination. The delay grows in proportion to the number of
// pending messages.
func (s *Scheduler) retryDelay(dest *destination) int64 {
	failures, spreadUs := 0, 0.0
	for _, ep := range dest.endpoints {
		rt := ep.route
		routeSpreadUs := s.retrySpreadUs(rt, ep.MachineType)
		if ep.live && rt.health.unavailable && s.hasSharedLimit(rt) { // the probe attempts are spread already
			return 0
		}
		failedRecently := float64(s.now-rt.health.lastFailureAt) < max(retrySpreadMaxUs, routeSpreadUs)
		succeededRecently := rt.throughput.successRateAt > 0 && s.now-rt.throughput.successRateAt < retrySpreadMaxUs
		if ep.live && rt.health.consecutiveFailures > 0 && failedRecently {
			failures += rt.health.consecutiveFailures
			spreadUs = max(spreadUs, routeSpreadUs)
		} else if ep.live && succeededRecently {
			return 0
		}
		if !ep.ownLimit && failures > 0 {
			break
		}
	}
	return int64(s.contention * s.rng.Float64() * spreadUs * float64(len(dest.pending)+1))
}

// retrySpreadUs returns the time over which all senders together spread their retries to a route. It
// doubles with each consecutive failure. If all these failures are rejections, it also depends on the
// route's capacity and on the outcomes of earlier retries to this machine type.
func (s *Scheduler) retrySpreadUs(rt *route, machineType string) float64 {
	spreadUs, limitUs := float64(retrySpreadMinUs), float64(retrySpreadMaxUs)
	if rt.health.consecutiveFailures == rt.health.consecutiveRejections {
		factor := cmp.Or(s.retrySpread[machineType], 1)
		if rt.capacityHint > 0 {
			spreadUs, limitUs = min(spreadUs, 1e6/rt.capacityHint), max(limitUs, min(4e6/rt.capacityHint, limitUs*factor))
		}
		spreadUs *= factor
	}
	return min(limitUs, math.Ldexp(spreadUs, min(rt.health.consecutiveFailures-1, 4)))
}

// adjustRetrySpread multiplies the learned factor of a machine type after the outcome of a call that was
// sent after rejections.
func (s *Scheduler) adjustRetrySpread(call *call, multiplier float64) {
	if !call.afterRejections {
		return
	}
	machineType := call.endpoint.MachineType
	factor := cmp.Or(s.retrySpread[machineType], 1) * multiplier
	s.retrySpread[machineType] = min(retrySpreadFactorMax, max(1/retrySpreadFactorMax, factor))
}

// endRetryDelays reduces the delays of a destination's pending messages to their backoff, once the
// destination has responded.
func (s *Scheduler) endRetryDelays(dest *destination) {
	for _, msg := range dest.pending {
		msg.notBefore = min(msg.notBefore, max(s.now, msg.backoffUntil))
	}
}

// applyRetryAfter records the Retry-After of an outcome, whatever the outcome is. Each message of a call
// may have its own Retry-After. A Retry-After of 1 ms with OutcomeNotSent means that the limit of
// concurrent calls was reached, and is ignored.
func (s *Scheduler) applyRetryAfter(rt *route, dest *destination, event *Event) {
	if event.RetryAfterMs <= 0 || event.Outcome == OutcomeNotSent && event.RetryAfterMs == 1 {
		return
	}
	rt.retryAfterUntil = max(rt.retryAfterUntil, s.now+event.RetryAfterMs*1000)
	for _, msg := range slices.Clone(dest.pending) { // messages that can no longer be sent in time end now
		if s.retryAfterTooLong(msg) {
			s.finishUndelivered(msg)
		}
	}
}
