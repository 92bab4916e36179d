// Package lease implements leases on duties, each of which at most one member of a group may hold at
// a time, and leases on members' quotas of shared limits. Table is the state machine of a replicated
// log, Holder tracks the leases of one holder by its own clock, and ExpiryWatch decides when a lease
// may be expired. The package is pure: the caller passes entries and times in, and nothing here
// blocks, does I/O or reads a clock.
//
// Each side measures time on its own monotonic clock, which must also advance while the machine is
// suspended. With a lease of length L and clocks that run at most a fraction d too fast or too slow,
// the holder relies on the lease for L*(1-d) from before it sent the request, and a member that
// expires the lease waits for L*(1+d) from after it applied the grant. In true time the first is at
// most L and the second at least L, and the request precedes the grant, so the holder has always
// stopped before the lease is expired. docs/design/group.md describes the protocol in full.
package lease

import "strings"

// Op is the operation of a log entry.
type Op string

// The operations.
const (
	// Grant grants the lease Name to an incarnation of Member if the lease is free.
	Grant Op = "grant"
	// Renew renews all leases in Refs for the incarnation of Member that holds them.
	Renew Op = "renew"
	// Release frees the leases in Refs for the incarnation of Member that holds them. Recipient, if
	// not empty, becomes their preferred holder.
	Release Op = "release"
	// Expire frees the leases in Refs: enough time has passed since their last renewals that no
	// holder relies on them any more.
	Expire Op = "expire"
	// Revoke forbids further renewals of the leases in Refs. They end when they expire, or earlier
	// when their holder learns of it and releases them.
	Revoke Op = "revoke"
	// Prefer sets Recipient as the preferred holder of Name. An empty Recipient leaves the choice to
	// the assignment.
	Prefer Op = "prefer"
	// AssignQuota grants an incarnation of Member a quota of Amount of the limit Name, reduced where
	// needed so that the sum of all quotas of that limit does not exceed Limit.
	AssignQuota Op = "share"
	// RecordIncarnation records an incarnation of Member, its address (Recipient) and the index of
	// the last log entry that it had read (Base).
	RecordIncarnation Op = "seen"
	// AdmitEmptyLog records an incarnation of Member that starts with an empty log, and drops the
	// read position of earlier incarnations.
	AdmitEmptyLog Op = "admit"
	// RaiseEpoch makes all future epochs higher than Base.
	RaiseEpoch Op = "raise"
)

// Ref identifies a lease in a particular state: an operation applies only if the epoch (and for
// Expire the renewal count) still matches.
type Ref struct {
	Name    string `json:"n"`
	Epoch   uint64 `json:"e"`
	Renewal uint64 `json:"t,omitempty"` // number of the last renewal; only Expire checks it
	Amount  int64  `json:"a,omitempty"` // of a quota lease
}

// Entry is one entry of the replicated log. Op determines which of the other fields are used, and
// how.
type Entry struct {
	Op          Op     `json:"op"`
	Name        string `json:"name,omitempty"`
	Member      string `json:"m,omitempty"`
	Incarnation uint64 `json:"l,omitempty"`
	Recipient   string `json:"to,omitempty"`
	Refs        []Ref  `json:"refs,omitempty"`
	Base        uint64 `json:"base,omitempty"`
	Amount      int64  `json:"amount,omitempty"`
	Limit       int64  `json:"limit,omitempty"`
	HoldUs      int64  `json:"hold,omitempty"` // of a Grant: see Lease.HoldUs
}

// Lease is the replicated state of one lease. It is free while Holder is empty.
type Lease struct {
	Holder      string `json:"holder,omitempty"`
	Incarnation uint64 `json:"life,omitempty"`    // of the holder
	Epoch       uint64 `json:"epoch"`             // fencing number of the current or the last grant
	Renewal     uint64 `json:"turn"`              // increases with each grant and each renewal
	Preferred   string `json:"to,omitempty"`      // the member that should hold it; empty: the assignment decides
	Revoked     bool   `json:"revoked,omitempty"` // no further renewals
	Amount      int64  `json:"amount,omitempty"`  // of a quota lease

	// HoldUs is how long the lease lasts without renewals, in microseconds, where that is longer than
	// the group's lease length. It is set for a holder that restarts and cannot renew meanwhile. A
	// later incarnation of the holder may release the lease.
	HoldUs int64 `json:"hold,omitempty"`
}

// quotaSeparator separates the limit from the member in the name of a quota lease. Names of duties
// must not contain it.
const quotaSeparator = "/"

// QuotaName returns the name of the lease on a member's quota of a limit.
func QuotaName(limit, member string) string { return limit + quotaSeparator + member }

// QuotaLimit returns the name of the limit that a quota lease belongs to. ok reports whether the
// given name is that of a quota lease.
func QuotaLimit(name string) (limit string, ok bool) {
	limit, _, ok = strings.Cut(name, quotaSeparator)
	return limit, ok
}
