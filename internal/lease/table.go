package lease

import (
	"cmp"
	"maps"
	"slices"
)

// Table is the replicated state of all leases. Members that apply the same entries in the same order
// have equal tables. It is not safe for concurrent use.
type Table struct {
	Epoch        uint64              `json:"epoch"` // the highest granted so far, over all leases
	Leases       map[string]*Lease   `json:"leases"`
	Incarnations map[string]uint64   `json:"lives"` // the highest seen of each member
	Addresses    map[string]string   `json:"addrs"` // the listen address that each member reported to the leader
	ReadMarks    map[string]ReadMark `json:"marks"` // each member's last known position in the log
}

// ReadMark is the position up to which an incarnation of a member had read the log.
type ReadMark struct {
	Incarnation uint64 `json:"life"`
	Entry       uint64 `json:"entry"` // index of the last log entry read
}

// Bounds of a table, so that a faulty member cannot exhaust the memory of the others.
const (
	MaxLeases  = 1024
	MaxMembers = 1024
	MaxNameLen = 128 // bytes
)

// NewTable returns an empty table, to which no entry has been applied.
func NewTable() *Table {
	return &Table{
		Leases:       map[string]*Lease{},
		Incarnations: map[string]uint64{},
		Addresses:    map[string]string{},
		ReadMarks:    map[string]ReadMark{},
	}
}

// QuotaSum returns the sum of all quotas of a limit that are held, without the lease named except.
func (t *Table) QuotaSum(limit, except string) (sum int64) {
	for name, lease := range t.Leases {
		if quotaOf, ok := QuotaLimit(name); ok && quotaOf == limit && name != except && lease.Holder != "" {
			sum += lease.Amount
		}
	}
	return sum
}

// HeldBy lists the leases that an incarnation of a member holds, sorted by name.
func (t *Table) HeldBy(member string, incarnation uint64) (refs []Ref) {
	for name, lease := range t.Leases {
		if lease.Holder == member && lease.Incarnation == incarnation && member != "" {
			refs = append(refs, lease.ref(name))
		}
	}
	slices.SortFunc(refs, func(a, b Ref) int { return cmp.Compare(a.Name, b.Name) })
	return refs
}

// Clone returns a copy that shares nothing with the table.
func (t *Table) Clone() *Table {
	clone := &Table{
		Epoch:        t.Epoch,
		Leases:       make(map[string]*Lease, len(t.Leases)),
		Incarnations: maps.Clone(t.Incarnations),
		Addresses:    maps.Clone(t.Addresses),
		ReadMarks:    maps.Clone(t.ReadMarks),
	}
	for name, lease := range t.Leases {
		leaseCopy := *lease
		clone.Leases[name] = &leaseCopy
	}
	return clone
}

// ensureMember adds a member unless the table has it already. It reports whether the member is in
// the table: a member is not added if its name is empty or too long, or if the table is full.
func (t *Table) ensureMember(member string) bool {
	if _, ok := t.Incarnations[member]; ok {
		return true
	}
	if member == "" || len(member) > MaxNameLen || len(t.Incarnations) >= MaxMembers {
		return false
	}
	t.Incarnations[member] = 0
	return true
}

// ensureLease returns a lease and adds it if needed. It returns nil if the name is empty or too long,
// or if the table is full.
func (t *Table) ensureLease(name string) *Lease {
	if lease := t.Leases[name]; lease != nil {
		return lease
	}
	if name == "" || len(name) > MaxNameLen || len(t.Leases) >= MaxLeases {
		return nil
	}
	lease := &Lease{}
	t.Leases[name] = lease
	return lease
}

// raiseIncarnation records an incarnation of a member unless a later one has been recorded.
func (t *Table) raiseIncarnation(member string, incarnation uint64) {
	t.Incarnations[member] = max(t.Incarnations[member], incarnation)
}

// ref returns a reference to the lease in its present state.
func (l *Lease) ref(name string) Ref {
	return Ref{Name: name, Epoch: l.Epoch, Renewal: l.Renewal, Amount: l.Amount}
}

// free clears the holder. The epoch, the renewal count and the preferred holder are kept.
func (l *Lease) free() {
	l.Holder, l.Incarnation = "", 0
	l.Revoked = false
	l.Amount, l.HoldUs = 0, 0
}
