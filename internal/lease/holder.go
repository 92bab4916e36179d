package lease

import (
	"maps"
	"slices"
	"time"
)

// Holder tracks the leases that one incarnation of a member holds, and until when, by the member's
// own clock. It is not safe for concurrent use.
type Holder struct {
	terms Terms
	held  map[string]Holding
}

// Holding is a lease as its holder sees it.
type Holding struct {
	Epoch     uint64
	ExpiresAt time.Duration // on the holder's clock; executions must have ended before this time
	Amount    int64         // of a quota lease
}

// NewHolder returns a Holder that holds no leases.
func NewHolder(terms Terms) *Holder { return &Holder{terms: terms, held: map[string]Holding{}} }

// RecordGrant records a grant or a renewal. requestedAt is a time before the request was sent. Replies
// may arrive in any order.
func (h *Holder) RecordGrant(name string, epoch uint64, requestedAt time.Duration) {
	h.RecordQuotaGrant(name, epoch, 0, requestedAt)
}

// RecordQuotaGrant records a grant or renewal of a quota lease. A reply to a request that is older than
// the last one recorded does not change the amount.
func (h *Holder) RecordQuotaGrant(name string, epoch uint64, amount int64, requestedAt time.Duration) {
	expiresAt := requestedAt + h.terms.HolderTerm()
	previous, held := h.held[name]
	if !held || previous.Epoch < epoch || previous.Epoch == epoch && previous.ExpiresAt < expiresAt {
		h.held[name] = Holding{Epoch: epoch, ExpiresAt: expiresAt, Amount: amount}
	}
}

// LowerQuota lowers the amount of a quota lease. It never raises it.
func (h *Holder) LowerQuota(name string, amount int64) {
	if holding, ok := h.held[name]; ok {
		holding.Amount = min(holding.Amount, amount)
		h.held[name] = holding
	}
}

// Drop removes a lease that has ended under the given epoch. A lease held under a newer epoch is kept.
func (h *Holder) Drop(name string, epoch uint64) {
	if holding, ok := h.held[name]; ok && holding.Epoch <= epoch {
		delete(h.held, name)
	}
}

// Expire drops the leases that have expired and returns them, in no particular order.
func (h *Holder) Expire(now time.Duration) (expired []Ref) {
	for name, holding := range h.held {
		if now >= holding.ExpiresAt {
			expired = append(expired, Ref{Name: name, Epoch: holding.Epoch})
			delete(h.held, name)
		}
	}
	return expired
}

// MayExecute reports whether an execution that takes at most maxDuration may begin now, and under which
// epoch: it must end before the lease expires.
func (h *Holder) MayExecute(name string, now, maxDuration time.Duration) (epoch uint64, ok bool) {
	holding, held := h.held[name]
	return holding.Epoch, held && now+maxDuration < holding.ExpiresAt
}

// Get returns a lease, and whether it is held and has not expired.
func (h *Holder) Get(name string, now time.Duration) (Holding, bool) {
	holding, held := h.held[name]
	return holding, held && now < holding.ExpiresAt
}

// Refs lists the leases that are tracked, sorted by name.
func (h *Holder) Refs() []Ref {
	refs := make([]Ref, 0, len(h.held))
	for _, name := range slices.Sorted(maps.Keys(h.held)) {
		refs = append(refs, Ref{Name: name, Epoch: h.held[name].Epoch})
	}
	return refs
}
