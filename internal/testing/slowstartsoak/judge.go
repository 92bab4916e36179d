package slowstartsoak

import (
	"fmt"
	"time"
)

// informedShareOfRule is the share of the calls of an overload above which the senders that knew of the outage have
// broken the rule.
const informedShareOfRule = 2.0 / 3

// recovery is what a destination's record shows of the time after one return.
type recovery struct {
	at            time.Time
	informed      int // senders that knew of the outage
	worst         float64
	worstInformed float64 // share of that window's calls from senders that knew of the outage
	worstOnce     float64 // share of them from senders with one failed call in the outage
	worstAfter    time.Duration
	fallen        bool // more calls than the destination could take
	broken        bool // and over two thirds of them from senders that knew of the outage
}

// String returns a recovery in one line.
func (r *recovery) String() string {
	return fmt.Sprintf("%.2f of the allowance %.1f s after the return, %.2f by informed senders (%d), %.2f by those with "+
		"one failed call", r.worst, r.worstAfter.Seconds(), r.worstInformed, r.informed, r.worstOnce)
}

// overloaded judges the window that ends with the call that was recorded last, and reports whether the destination
// falls under it. The caller must hold mu.
func (d *destination) overloaded(now time.Time) bool {
	current := d.returns[len(d.returns)-1]
	first := len(d.calls)
	informed, once := 0, 0
	for first > 0 && now.Sub(d.calls[first-1].at) < overloadWindow {
		first--
		switch d.calls[first].failures {
		case 0:
		case 1:
			once++
			informed++
		default:
			informed++
		}
	}
	count := len(d.calls) - first
	from := d.calls[first].at
	share := float64(count) / allowance(d.budget(from))
	if share > current.worst {
		current.worst, current.worstAfter = share, now.Sub(current.at)
		current.worstInformed = float64(informed) / float64(count)
		current.worstOnce = float64(once) / float64(count)
	}
	if share <= 1 {
		return false
	}
	if !current.fallen {
		current.fallen = true
		current.broken = float64(informed) > informedShareOfRule*float64(count)
	}
	return true
}
