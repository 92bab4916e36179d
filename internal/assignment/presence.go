package assignment

import (
	"slices"
	"time"
)

// Presence tracks which members are present, by the time of each member's last heartbeat. A member
// that joins or returns must be present without a gap for a settle time before duties move to it. The
// settle time grows each time the member is soon absent again, so that a flapping member moves no
// duties. It is not safe for concurrent use.
type Presence struct {
	maxGap, settleTime time.Duration
	visits             map[string]*visit // the latest visit of each member
}

// visit is an interval in which heartbeats of a member arrived without a gap longer than maxGap.
type visit struct {
	start, lastSeen time.Duration
	settleTime      time.Duration // how long the member must be present before it has settled
}

const (
	// maxSettleTime bounds the settle time of a flapping member.
	maxSettleTime = time.Minute

	// minFlapSettleTime is the smallest settle time that is doubled for a flapping member, so that
	// doubling also has an effect where the configured settle time is 0.
	minFlapSettleTime = time.Millisecond

	// stableVisitFactor is how many settle times a visit must last in order not to count as flapping.
	stableVisitFactor = 4
)

// NewPresence returns a Presence without members. A member without a heartbeat for more than maxGap is
// absent.
func NewPresence(maxGap, settleTime time.Duration) *Presence {
	return &Presence{maxGap: maxGap, settleTime: settleTime, visits: map[string]*visit{}}
}

// RecordHeartbeat records a heartbeat of a member. first reports whether the member was absent before.
func (p *Presence) RecordHeartbeat(name string, now time.Duration) (first bool) {
	latest := p.visits[name]
	if latest == nil {
		p.visits[name] = &visit{start: now, lastSeen: now, settleTime: p.settleTime}
		return true
	}
	if now-latest.lastSeen > p.maxGap {
		if duration := latest.lastSeen - latest.start; duration < stableVisitFactor*latest.settleTime {
			latest.settleTime = min(2*max(latest.settleTime, minFlapSettleTime), maxSettleTime)
		} else {
			latest.settleTime = p.settleTime
		}
		latest.start, first = now, true
	}
	latest.lastSeen = max(latest.lastSeen, now)
	return first
}

// Present reports whether a member is present, and whether it has settled.
func (p *Presence) Present(name string, now time.Duration) (present, settled bool) {
	latest := p.visits[name]
	if latest == nil || now-latest.lastSeen > p.maxGap {
		return false, false
	}
	return true, now-latest.start >= latest.settleTime
}

// PresentMembers lists the members that are present, sorted by name.
func (p *Presence) PresentMembers(now time.Duration) (names []string) {
	for name := range p.visits {
		if present, _ := p.Present(name, now); present {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Prune drops the members whose last heartbeat is more than maxAge ago.
func (p *Presence) Prune(now, maxAge time.Duration) {
	for name, latest := range p.visits {
		if now-latest.lastSeen > maxAge {
			delete(p.visits, name)
		}
	}
}
