package sender

import (
	"math"
	"time"
)

// minRetryAfterMs is the least wait, in the mean, that a client gets where the scheduler was not
// asked.
const minRetryAfterMs = 500

// rateTimeConstant is the time in which a counted event loses all but 1/e of its weight in a
// decayingRate.
const rateTimeConstant = 8 * time.Second

// decayingRate is an exponentially weighted rate of events.
type decayingRate struct {
	perSecond float64       // at updatedAt
	updatedAt time.Duration // since the start
}

// add counts an event. now is the time since the start.
func (r *decayingRate) add(now time.Duration) {
	r.perSecond = r.rateAt(now) + 1/rateTimeConstant.Seconds()
	r.updatedAt = now
}

// rateAt returns the rate in events per second.
func (r *decayingRate) rateAt(now time.Duration) float64 {
	return r.perSecond * math.Exp(-(now-r.updatedAt).Seconds()/rateTimeConstant.Seconds())
}

// retryAfterMs is the wait that a client gets where the scheduler was not asked, within the
// settings' limit.
func (s *Sender) retryAfterMs() int64 {
	limit := s.options.Settings.Limits.MaxRetryAfterUs
	if limit == 0 {
		limit = math.MaxInt64
	}
	rate := s.finalAnswerRate.rateAt(time.Since(s.startedAt))
	waitUs := s.retryAfterQueue.RetryAfter(int64(s.Now()), s.pending, rate, minRetryAfterMs*1000, limit, s.rng.Float64())
	return waitUs / 1000
}
