package sender

import (
	"math"
	"time"

	"brackendale/internal/portablemath"
)

// minRetryAfterMs is the minimum of the mean Retry-After of requests that are rejected without a
// decision of the scheduler.
const minRetryAfterMs = 500

// rateTimeConstant is the time constant of decayingRate: the weight of an event decays to 1/e in it.
const rateTimeConstant = 8 * time.Second

// decayingRate is an exponentially weighted rate of events.
type decayingRate struct {
	perSecond float64       // at updatedAt
	updatedAt time.Duration // time since the start of this incarnation
}

// add counts an event. now is the time since the start of this incarnation.
func (r *decayingRate) add(now time.Duration) {
	r.perSecond = r.rateAt(now) + 1/rateTimeConstant.Seconds()
	r.updatedAt = now
}

// rateAt returns the rate in events per second.
func (r *decayingRate) rateAt(now time.Duration) float64 {
	return r.perSecond * portablemath.Exp(-(now-r.updatedAt).Seconds()/rateTimeConstant.Seconds())
}

// retryAfterMs returns the Retry-After of a request that is rejected without a decision of the
// scheduler, within the settings' limit.
func (s *Sender) retryAfterMs() int64 {
	limit := s.options.Settings.Limits.MaxRetryAfterUs
	if limit == 0 {
		limit = math.MaxInt64
	}
	rate := s.finalAnswerRate.rateAt(time.Since(s.startedAt))
	waitUs := s.retryAfterQueue.RetryAfter(int64(s.Now()), s.pending, rate, minRetryAfterMs*1000, limit, s.rng.Float64())
	return waitUs / 1000
}
