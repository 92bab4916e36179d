package lease

import (
	"math"
	"time"
)

// Terms are the timing parameters of leases. All members of a group must use the same values.
type Terms struct {
	// Length is the duration of a lease, counted from its request.
	Length time.Duration

	// Drift bounds by what fraction a member's clock runs faster or slower than true time. It is at
	// least 0 and below 0.5.
	Drift float64
}

// HolderTerm returns how long a holder may rely on a lease, from before it sent the request.
func (t Terms) HolderTerm() time.Duration {
	return time.Duration(math.Floor(float64(t.Length) * (1 - t.Drift)))
}

// ObserverTerm returns how long a member that observes a lease must wait before it expires the lease,
// from after it applied the grant or renewal.
func (t Terms) ObserverTerm() time.Duration {
	return time.Duration(math.Ceil(float64(t.Length) * (1 + t.Drift)))
}
