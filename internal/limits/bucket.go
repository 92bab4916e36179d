package limits

// Bucket is a token bucket: it allows a number of tokens per period on average, and up to a burst at
// once. The zero value is not usable; use NewBucket.
type Bucket struct {
	rate     int64 // tokens per period
	period   int64 // microseconds
	burst    int64 // tokens
	level    int64 // in fractions of 1/period of a token
	filledAt int64 // the time up to which level includes the refill, in microseconds
}

// Bounds of a bucket's parameters, so that their products do not overflow.
const (
	MaxRate   = 1 << 20               // tokens per period
	MaxPeriod = 24 * 3600 * 1_000_000 // microseconds: a day
	MaxBurst  = 1 << 20               // tokens
)

// NewBucket returns a full bucket. Parameters out of range (1 to MaxRate, MaxPeriod and MaxBurst) are
// set to the nearest bound.
func NewBucket(now, rate, period, burst int64) *Bucket {
	b := &Bucket{
		rate:     clamp(rate, MaxRate),
		period:   clamp(period, MaxPeriod),
		burst:    clamp(burst, MaxBurst),
		filledAt: now,
	}
	b.level = b.capacity()
	return b
}

// SetRate changes the parameters from now on. The tokens in the bucket are kept up to the new burst.
func (b *Bucket) SetRate(now, rate, period, burst int64) {
	b.fill(now)
	tokens, part := b.level/b.period, b.level%b.period
	b.rate, b.period, b.burst = clamp(rate, MaxRate), clamp(period, MaxPeriod), clamp(burst, MaxBurst)
	b.level = min(tokens*b.period+min(part, b.period-1), b.capacity())
}

// clamp limits a value to the range from 1 to maxValue.
func clamp(value, maxValue int64) int64 { return min(max(value, 1), maxValue) }

// capacity returns the level of a full bucket.
func (b *Bucket) capacity() int64 { return b.burst * b.period }

// fill adds the tokens that have accrued up to now.
func (b *Bucket) fill(now int64) {
	elapsed := now - b.filledAt
	if elapsed <= 0 {
		return
	}
	b.filledAt = now
	free := b.capacity() - b.level
	if elapsed > free/b.rate { // full by now; the product below could overflow
		b.level += free
		return
	}
	b.level += elapsed * b.rate
}

// Take takes tokens, all of them or none, and reports whether it did.
func (b *Bucket) Take(now, tokens int64) bool {
	b.fill(now)
	if tokens > b.burst || tokens*b.period > b.level {
		return false
	}
	b.level -= tokens * b.period
	return true
}

// Return puts unused tokens back, up to the burst.
func (b *Bucket) Return(now, tokens int64) {
	if b.fill(now); tokens > 0 {
		b.level = min(b.level+min(tokens, b.burst)*b.period, b.capacity())
	}
}

// AvailableAt returns the time from which the bucket has the given number of tokens.
func (b *Bucket) AvailableAt(now, tokens int64) int64 {
	b.fill(now)
	if tokens > b.burst {
		return Never
	}
	missing := tokens*b.period - b.level
	if missing <= 0 {
		return now
	}
	return b.filledAt + (missing+b.rate-1)/b.rate
}

// Level returns the number of whole tokens in the bucket.
func (b *Bucket) Level(now int64) int64 {
	b.fill(now)
	return b.level / b.period
}
