// Package recovery spreads the first actions of a process that may be one of many that restart at
// the same time. It determines how long a restored backlog waits, when the first call to a
// destination with a known limit is sent, how fast a backlog is caught up, when the endpoint list
// is polled, and which Retry-After rejected clients get. The callers decide what is sent. The
// package is pure: it reads no clock and does no I/O.
//
// Rates are in calls or messages per second; times are in microseconds unless they have type
// time.Duration. Nothing in this package is safe for concurrent use.
package recovery

import "brackendale/internal/portablemath"

const (
	// fewSenders is up to how many senders each get enough of the shared traffic to rely on their
	// own observations; they need no spreading.
	fewSenders = 4.0

	// MaxSpreadUs is the longest time, in microseconds, over which the first calls of all senders
	// are spread.
	MaxSpreadUs = 6_000_000

	// backlogSpreadUs is by how many microseconds the spread of the backlogs grows with each
	// further fewSenders senders.
	backlogSpreadUs = 80_000

	// priorRateValidUs is for how many microseconds the send rate of the previous incarnation is
	// still a usable limit.
	priorRateValidUs = 16_000_000

	// minMeanAgeUs is the lower bound, in microseconds, of the age by which MeanBiasCorrection
	// corrects a mean: the correction of a younger one would be arbitrarily large.
	minMeanAgeUs = 1_000_000

	usPerSecond = 1e6
)

// Plan holds the parameters by which one incarnation spreads its start.
type Plan struct {
	senderFactor float64
	contention   float64
	random       func() float64
	backlogDelay int64 // chosen at its first use; 0 before
	restarted    bool
}

// New returns the plan of one sender. senders is the number of senders that share its destinations,
// itself included; less than one counts as one. random returns random numbers in [0, 1).
func New(senders int, random func() float64) *Plan {
	factor := max(1, float64(senders)/fewSenders)
	return &Plan{senderFactor: factor, contention: 1 - 1/factor, random: random}
}

// SenderFactor returns the number of senders in multiples of fewSenders, at least 1.
func (p *Plan) SenderFactor() float64 { return p.senderFactor }

// Contention returns how much the expected behavior of all senders counts against this sender's own
// observations: 0 for few senders, approaching 1 as their number grows.
func (p *Plan) Contention() float64 { return p.contention }

// BacklogDelay returns for how long after its start an incarnation sends none of its restored
// backlog: a random time, the same at each call; 0 for few senders.
func (p *Plan) BacklogDelay() int64 {
	if p.contention == 0 {
		return 0
	}
	if p.backlogDelay == 0 { // in a mass restart all senders start at the same instant
		p.backlogDelay = 1 + int64(p.random()*min(MaxSpreadUs, (p.senderFactor-1)*backlogSpreadUs))
	}
	return p.backlogDelay
}

// FirstCallDelay returns how long the first call waits to a destination whose limit is known from
// an earlier incarnation. evenShare is this sender's even share of that limit, and downtimeUs is how
// long no process of this sender ran. The senders of a mass restart must not all probe the
// destination at once. The delay is spread so that the first calls of all of them stay within
// the limit; how many of them have a message to send is estimated from evenShare and the downtime.
// It is at most MaxSpreadUs.
func (p *Plan) FirstCallDelay(evenShare float64, downtimeUs int64) int64 {
	if p.contention == 0 || !(evenShare > 0) {
		return 0
	}
	withCall := 1 - portablemath.Exp(-evenShare*float64(min(downtimeUs, MaxSpreadUs))/usPerSecond)
	return int64(p.contention * p.random() * withCall / evenShare * usPerSecond)
}

// CatchUpRate returns the send rate that limits an incarnation to a destination without an
// advertised limit, and for how long. rate is the send rate of the previous incarnation. A lone
// sender may send at twice that rate, which catches up the messages of the downtime within another
// downtime. One of many senders stays below that: each one's rate is a high estimate from few
// messages, and the destination gets the sum of all.
func (p *Plan) CatchUpRate(rate float64, downtimeUs int64) (maxRate float64, durationUs int64) {
	return rate * (1 + 1/(1+p.contention)), min(2*downtimeUs, priorRateValidUs)
}

// SetRestarted records that there was an earlier incarnation, whose clients may all reconnect at
// the same time.
func (p *Plan) SetRestarted() { p.restarted = true }

// Restarted reports whether there was an earlier incarnation.
func (p *Plan) Restarted() bool { return p.restarted }

// MeanBiasCorrection returns the bias correction of an exponentially weighted mean that started at
// zero: the factor by which a mean with time constant decayUs is too low after ageUs. It is 1 where
// the mean was restored from an earlier incarnation.
func (p *Plan) MeanBiasCorrection(ageUs, decayUs int64) float64 {
	if p.restarted {
		return 1
	}
	return 1 / (1 - portablemath.Exp(-float64(max(minMeanAgeUs, ageUs))/float64(decayUs)))
}

// RetryAfter returns the Retry-After of clients that an incarnation rejects: us, at most maxUs. In
// a restarted incarnation it is spread by half to both sides: clients that are rejected at the same
// time would otherwise all return at the same time.
func (p *Plan) RetryAfter(us, maxUs int64) int64 {
	us = min(us, maxUs)
	if !p.restarted {
		return us
	}
	return spread(us, maxUs, p.random())
}
