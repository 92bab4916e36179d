package recovery

import (
	"math/rand"
	"time"
)

const (
	// spreadPerSender is by how much each further sender lengthens the time over which all senders
	// poll once.
	spreadPerSender = 70 * time.Millisecond

	// maxIntervalFactor limits the intervals to this multiple of the first interval.
	maxIntervalFactor = 10

	// maxSpreadSenders limits the number of senders that is used, so that the spread does not
	// overflow.
	maxSpreadSenders = 1_000_000
)

// PollSchedule determines when one of many senders polls a shared service, such as the registry, at
// its start or after a failure. A lone sender may poll at once; many senders that poll in step would
// all be rejected. It is not safe for concurrent use.
type PollSchedule struct {
	rng           *rand.Rand
	firstInterval time.Duration
	maxInterval   time.Duration
	nextInterval  time.Duration
	spread        time.Duration // the time over which all senders poll once
}

// NewPollSchedule returns the schedule of one sender. senders is the number of senders that poll the
// service; less than one counts as one. The first interval is minInterval, or longer for many senders, and no
// interval before jitter is longer than longestInterval, or than minInterval if that is longer.
func NewPollSchedule(senders int, seed int64, minInterval, longestInterval time.Duration) *PollSchedule {
	extraSenders := min(max(0, senders-int(fewSenders)), maxSpreadSenders)
	p := &PollSchedule{
		rng:    rand.New(rand.NewSource(seed)),
		spread: time.Duration(extraSenders) * spreadPerSender,
	}
	p.firstInterval = max(minInterval, min(longestInterval, p.spread))
	p.maxInterval = min(max(minInterval, longestInterval), maxIntervalFactor*p.firstInterval)
	p.nextInterval = p.firstInterval
	return p
}

// InitialDelay returns how long to wait before the first poll of an incarnation that has an older
// endpoint list, since all senders may have started at the same time. It is 0 for few senders.
func (p *PollSchedule) InitialDelay() time.Duration {
	return time.Duration(p.rng.Float64() * float64(min(p.maxInterval, p.spread)))
}

// NextDelay returns how long to wait after a failed poll: an interval that doubles each time, with a
// jitter of half to both sides if there are many senders.
func (p *PollSchedule) NextDelay() time.Duration {
	interval := p.nextInterval
	p.nextInterval = min(p.maxInterval, 2*p.nextInterval)
	if p.spread == 0 {
		return interval
	}
	return time.Duration((0.5 + p.rng.Float64()) * float64(interval))
}

// Reset records a successful poll: the interval after the next failure is the first interval again.
func (p *PollSchedule) Reset() { p.nextInterval = p.firstInterval }
