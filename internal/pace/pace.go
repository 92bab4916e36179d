// Package pace tells when one of many senders asks a shared party again: the registry after a failure, or everything
// after a mass restart. Alone a sender may ask at once; where eighty ask in step, all are turned away. It is pure: no
// clock, no I/O.
package pace

import (
	"math/rand"
	"time"
)

const (
	// each is how much one sender adds to the first gap: among three it stays under what a single one waits anyway.
	each = 5 * time.Millisecond
	// grow is how many times as long as the first the longest gap may be.
	grow = 10
)

// Pace is the gaps of one sender towards one party.
type Pace struct {
	rng               *rand.Rand
	least, most, next time.Duration
	senders           int
}

// New makes the pace of one of so many senders (less than one counts as one). The first gap is least or longer, by their
// number, and none gets longer than most, but for what is drawn.
func New(senders int, seed int64, least, most time.Duration) *Pace {
	p := &Pace{rng: rand.New(rand.NewSource(seed)), senders: min(max(1, senders), 1_000_000)}
	p.least = max(least, min(most, time.Duration(p.senders)*each))
	p.most = min(max(least, most), grow*p.least)
	p.next = p.least
	return p
}

// Start is how long to wait before asking for the first time in a life, when something older is at hand: all senders may
// have been started in one instant. It is nothing for one alone.
func (p *Pace) Start() time.Duration {
	if p.senders == 1 {
		return 0
	}
	return time.Duration(p.rng.Float64() * float64(min(p.most, time.Duration(p.senders)*each)))
}

// Failed is how long to wait after an attempt that failed: from half to one and a half times a gap that doubles.
func (p *Pace) Failed() time.Duration {
	gap := p.next
	p.next = min(p.most, 2*p.next)
	if p.senders == 1 {
		return gap
	}
	return time.Duration((0.5 + p.rng.Float64()) * float64(gap))
}

// Worked books a success: the next failure is the first again.
func (p *Pace) Worked() { p.next = p.least }
