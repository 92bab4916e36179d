package group

import (
	"slices"
	"time"
)

// Hint is a member's report to the other members about the health of a destination. Its only effect is
// that they are more cautious with that destination, and it expires by itself. All durations are in
// microseconds.
type Hint struct {
	Destination  int64  `json:"dest"`
	RetryAfterUs int64  `json:"waits_us,omitempty"` // remaining time of the destination's Retry-After
	Unavailable  bool   `json:"out,omitempty"`
	Recovering   bool   `json:"returning,omitempty"`
	RecoveringUs int64  `json:"since_us,omitempty"` // how long the destination has been recovering
	AgeUs        int64  `json:"age_us"`             // time since the member observed this
	Member       string `json:"from,omitempty"`     // the member that reported it; set by the leader
}

const (
	// maxHints is the maximum number of hints that one member reports.
	maxHints = 64

	// maxHintsPerReply is the maximum number of hints in one reply to a member.
	maxHintsPerReply = 4 * maxHints
)

// publishedHints are the hints that this member reports to the others. Group.mu guards them.
type publishedHints struct {
	publishedAt time.Duration
	own         []Hint
}

// current returns the hints as of now, with their age since they were published added.
func (p *publishedHints) current(now time.Duration) []Hint {
	hints := slices.Clone(p.own)
	for i := range hints {
		hints[i].advance((now - p.publishedAt).Microseconds())
	}
	return hints
}

// advance adds to the age of a hint and shortens its Retry-After by the same amount.
func (h *Hint) advance(us int64) {
	h.AgeUs += us
	h.RetryAfterUs -= min(h.RetryAfterUs, us)
}

// PublishHints replaces the hints that this member reports to the others.
func (g *Group) PublishHints(list []Hint) {
	g.mu.Lock()
	g.hints.own, g.hints.publishedAt = list[:min(len(list), maxHints)], g.clock()
	g.mu.Unlock()
}

// hintsOfOthers returns the hints for a recipient: those of all other members that are present, with
// their current age. The caller must hold g.mu.
func (g *Group) hintsOfOthers(recipient string, now time.Duration) (list []Hint) {
	for name, member := range g.members {
		if present, _ := g.presence.Present(name, now); !present || name == recipient {
			continue
		}
		age := (now - member.lastHeartbeatAt).Microseconds()
		for _, hint := range member.hints {
			hint.Member = name
			hint.advance(age)
			if hint.RecoveringUs > 0 {
				hint.RecoveringUs += age
			}
			if list = append(list, hint); len(list) == maxHintsPerReply {
				return list
			}
		}
	}
	return list
}
