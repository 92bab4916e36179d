package recovery

import "math"

// RetryAfterQueue determines the Retry-After of clients that are rejected because a limit is
// reached. Each is counted as ahead of the next until its turn should have come, so that ten
// thousand clients that are rejected within a second do not all get the same wait. The zero value
// is ready to use.
type RetryAfterQueue struct {
	ahead     float64 // estimate of the rejected clients that have not returned yet
	updatedAt int64   // microseconds
}

// RetryAfter returns how long a client should wait: the time that half of the pending messages and
// the clients ahead of it need at ratePerSecond, the rate at which messages get their final answers
// (0: unknown). It is minUs at least before it is spread by half to both sides, and at most maxUs
// after.
func (q *RetryAfterQueue) RetryAfter(
	now int64, pending int, ratePerSecond float64, minUs, maxUs int64, random float64,
) int64 {
	q.ahead = max(0, q.ahead-ratePerSecond*float64(max(0, now-q.updatedAt))/usPerSecond)
	q.updatedAt = now
	us := minUs
	if ratePerSecond > 0 {
		us = max(us, int64(min(math.MaxInt64/2, usPerSecond*(float64(pending)/2+q.ahead)/ratePerSecond)))
	}
	q.ahead++
	return spread(us, maxUs, random)
}

// spread returns a time between half of us and one and a half times us, at the position that random
// in [0, 1) selects. If that range reaches beyond maxUs, the whole range is moved down: if it were
// cut off, all times above the limit would fall on one instant.
func spread(us, maxUs int64, random float64) int64 {
	return int64(float64(min(us, maxUs-maxUs/3)) * (0.5 + random))
}
