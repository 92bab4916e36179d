package lease

import (
	"fmt"
	"strings"
)

// Result is the outcome of applying an entry: the leases that it was applied to, in their new state,
// and the reason why it was rejected for the others.
type Result struct {
	Refs   []Ref  `json:"refs,omitempty"`
	Reason string `json:"why,omitempty"` // of the first rejection
}

// The formats of Result.Reason. Members send these texts to each other.
const (
	reasonStaleIncarnation       = "life %d of %s is over: life %d has been seen"
	reasonInvalidDutyName        = "%.40q is no name of a duty"
	reasonCannotAddLease         = "there is no room for a lease named %.40q"
	reasonCannotAddLeaseOrMember = "there is no room for %.40q or %.40q"
	reasonHeld                   = "%s is held by %s with epoch %d"
	reasonQuotaHeld              = "%s is held by life %d with epoch %d"
	reasonStaleEpoch             = "epoch %d of %s is over"
	reasonNotHolder              = "epoch %d of %s belongs to %s, life %d"
	reasonRevoked                = "epoch %d of %s has been revoked"
	reasonRenewedSince           = "%s was renewed meanwhile"
	reasonUnknownOp              = "%.40q is no entry that this version knows"
)

// reject records a reason why the entry was not applied. Only the first reason is kept.
func (r *Result) reject(format string, args ...any) {
	if r.Reason == "" {
		r.Reason = fmt.Sprintf(format, args...)
	}
}

// Apply applies one log entry to the table. An entry that does not fit the present state changes
// nothing, and the result has the reason.
func (t *Table) Apply(entry Entry) (result Result) {
	if t.rejectInvalid(&entry, &result) {
		return result
	}
	switch entry.Op {
	case RecordIncarnation, AdmitEmptyLog:
		t.recordIncarnation(&entry)
	case RaiseEpoch:
		t.Epoch = max(t.Epoch, entry.Base)
	case Prefer:
		t.prefer(&entry, &result)
	case Grant:
		t.grant(&entry, &result)
	case AssignQuota:
		t.assignQuota(&entry, &result)
	case Renew, Release, Expire, Revoke:
		for _, ref := range entry.Refs {
			t.updateHeld(&entry, ref, &result)
		}
	default:
		result.reject(reasonUnknownOp, entry.Op)
	}
	return result
}

// rejectInvalid rejects an entry that must not be applied whatever the state of its leases: one sent
// by an ended incarnation, or a grant whose name contains the separator of quota leases. It reports
// whether it rejected the entry.
func (t *Table) rejectInvalid(entry *Entry, result *Result) bool {
	grants := entry.Op == Grant || entry.Op == AssignQuota
	latest := t.Incarnations[entry.Member]
	switch {
	case entry.Member != "" && entry.Incarnation < latest && (grants || entry.Op == Renew):
		result.reject(reasonStaleIncarnation, entry.Incarnation, entry.Member, latest)
	case grants && strings.Contains(entry.Name, quotaSeparator):
		result.reject(reasonInvalidDutyName, entry.Name)
	default:
		return false
	}
	return true
}

// recordIncarnation applies RecordIncarnation and AdmitEmptyLog. It does nothing if the member cannot
// be added to the table.
func (t *Table) recordIncarnation(entry *Entry) {
	if !t.ensureMember(entry.Member) {
		return
	}
	if entry.Op == AdmitEmptyLog {
		delete(t.ReadMarks, entry.Member)
	}
	t.raiseIncarnation(entry.Member, entry.Incarnation)
	if entry.Recipient != "" && len(entry.Recipient) <= MaxNameLen {
		t.Addresses[entry.Member] = entry.Recipient
	}
	if entry.Base > t.ReadMarks[entry.Member].Entry {
		t.ReadMarks[entry.Member] = ReadMark{Incarnation: entry.Incarnation, Entry: entry.Base}
	}
}

// prefer applies Prefer.
func (t *Table) prefer(entry *Entry, result *Result) {
	lease := t.ensureLease(entry.Name)
	if lease == nil {
		result.reject(reasonCannotAddLease, entry.Name)
		return
	}
	lease.Preferred = entry.Recipient
}

// grant applies Grant: it grants a free lease under a new epoch.
func (t *Table) grant(entry *Entry, result *Result) {
	lease := t.ensureLease(entry.Name)
	if lease == nil || !t.ensureMember(entry.Member) {
		result.reject(reasonCannotAddLeaseOrMember, entry.Name, entry.Member)
		return
	}
	if lease.Holder != "" {
		result.reject(reasonHeld, entry.Name, lease.Holder, lease.Epoch)
		return
	}
	t.raiseIncarnation(entry.Member, entry.Incarnation)
	t.Epoch++
	*lease = Lease{
		Holder:      entry.Member,
		Incarnation: entry.Incarnation,
		Epoch:       t.Epoch,
		Renewal:     lease.Renewal + 1,
		Preferred:   lease.Preferred,
		HoldUs:      max(0, entry.HoldUs),
	}
	result.Refs = append(result.Refs, lease.ref(entry.Name))
}

// assignQuota applies AssignQuota: it grants the member's quota lease if it is free, else renews it,
// and sets its amount.
func (t *Table) assignQuota(entry *Entry, result *Result) {
	name := QuotaName(entry.Name, entry.Member)
	lease := t.ensureLease(name)
	if lease == nil || !t.ensureMember(entry.Member) {
		result.reject(reasonCannotAddLeaseOrMember, name, entry.Member)
		return
	}
	if lease.Holder != "" && lease.Incarnation != entry.Incarnation {
		result.reject(reasonQuotaHeld, name, lease.Incarnation, lease.Epoch)
		return
	}
	t.raiseIncarnation(entry.Member, entry.Incarnation)
	if lease.Holder == "" {
		t.Epoch++
		*lease = Lease{
			Holder: entry.Member, Incarnation: entry.Incarnation, Epoch: t.Epoch, Renewal: lease.Renewal,
		}
	}
	lease.Renewal++
	// The holder may use its present amount until it has reported a lower one, even where the limit
	// was lowered, so this amount stays available to it.
	available := max(lease.Amount, entry.Limit-t.QuotaSum(entry.Name, name))
	lease.Amount = max(0, min(entry.Amount, available))
	result.Refs = append(result.Refs, lease.ref(name))
}

// updateHeld applies Renew, Release, Expire or Revoke to one lease. The lease must be held under the
// epoch of the reference.
func (t *Table) updateHeld(entry *Entry, ref Ref, result *Result) {
	lease := t.Leases[ref.Name]
	if lease == nil || lease.Holder == "" || lease.Epoch != ref.Epoch {
		result.reject(reasonStaleEpoch, ref.Epoch, ref.Name)
		return
	}
	var changed bool
	switch entry.Op {
	case Renew:
		changed = lease.renew(entry, ref, result)
	case Release:
		changed = lease.release(entry, ref, result)
	case Expire:
		changed = lease.expire(ref, result)
	case Revoke:
		lease.Revoked, changed = true, true
	}
	if changed {
		result.Refs = append(result.Refs, lease.ref(ref.Name))
	}
}

// renew counts a renewal. It reports whether the lease was renewed.
func (l *Lease) renew(entry *Entry, ref Ref, result *Result) bool {
	if !l.heldBy(entry) {
		result.reject(reasonNotHolder, ref.Epoch, ref.Name, l.Holder, l.Incarnation)
		return false
	}
	if l.Revoked {
		result.reject(reasonRevoked, ref.Epoch, ref.Name)
		return false
	}
	l.Renewal++
	return true
}

// release frees the lease for its holder, or for a later incarnation of a holder that took it for a
// restart (see Lease.HoldUs). It reports whether the lease was freed.
func (l *Lease) release(entry *Entry, ref Ref, result *Result) bool {
	restarted := l.HoldUs > 0 && l.Holder == entry.Member && l.Incarnation < entry.Incarnation
	if !restarted && !l.heldBy(entry) {
		result.reject(reasonNotHolder, ref.Epoch, ref.Name, l.Holder, l.Incarnation)
		return false
	}
	if entry.Recipient != "" {
		l.Preferred = entry.Recipient
	}
	l.free()
	return true
}

// expire frees the lease unless it was renewed since the state that ref identifies. It reports
// whether the lease was freed.
func (l *Lease) expire(ref Ref, result *Result) bool {
	if l.Renewal != ref.Renewal {
		result.reject(reasonRenewedSince, ref.Name)
		return false
	}
	l.free()
	return true
}

// heldBy reports whether the member and incarnation of an entry hold the lease.
func (l *Lease) heldBy(entry *Entry) bool {
	return l.Holder == entry.Member && l.Incarnation == entry.Incarnation
}
