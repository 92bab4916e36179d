package lease

import (
	"testing"
	"time"
)

// The tests in this file check the protocol of one lease by an explicit search of its states, running
// the package's own code. Of three members, a and b may hold the lease, and one observer (b, or c)
// expires it. Clocks run at different rates; requests, replies and log entries are delayed or lost;
// members restart at any time. Consensus is assumed: all members apply the same entries in the same
// order, each at its own pace. Times are stored as ages on their owner's clock, and epochs relative
// to the newest one, so that the number of states is finite and the search covers all of them.

const (
	tick    = 5                   // clock units per step: a slow clock counts 4, an exact one 5, a fast one 6 (drift 0.2)
	newest  = 100                 // the newest epoch and renewal when a state is turned into a table
	instant = time.Duration(1000) // the present time on every clock
)

var modelTerms = Terms{Length: 3 * tick, Drift: 0.2}

// variant is a fault in the protocol that the search has to find; the zero value is the correct
// protocol.
type variant struct {
	name              string
	noDrift           bool // both sides assume exact clocks
	fromReply         bool // the holder counts the lease from the reply instead of the request
	noInitialWait     bool // an observer that has just started expires leases at once
	ignoreRenewals    bool // a lease is expired though it was renewed meanwhile
	ignoreReplyEpoch  bool // a reply of an ended epoch counts as one of the newest epoch
	freeWithoutExpiry bool // a lease is free as soon as its holder has no request or reply in transit
}

// holderState is the state of a or b as a holder.
type holderState struct {
	requested, replied, sent bool // a request or a reply is in transit; a request was sent at this instant
	age                      int8 // of the request in transit
	replyEpochLag            int8 // how far the reply's epoch is behind the newest
	holds                    bool
	heldEpochLag, remaining  int8 // of the held lease: lag of its epoch, and time until it expires
	heldByPredecessor        bool // the table's holder is an earlier incarnation of this member
}

// modelState is one state of the search.
type modelState struct {
	rates        [2]int8 // clock units per tick of a and b
	observerRate int8
	leaseHolder  int8 // in the table: 0 none, 1 a, 2 b
	holders      [2]holderState

	grantSeen, current           bool // the observer has seen a grant; it is the lease's last renewal
	age                          int8 // since the observer saw the grant
	expirePending, expireCurrent bool // an Expire entry is in transit; it names the last renewal
}

var modelNames = [3]string{"", "a", "b"}

const incarnation = 10

// newTable builds the replicated table of this state.
func (m *modelState) newTable() *Table {
	table := NewTable()
	table.Epoch = newest
	lease := &Lease{Holder: modelNames[m.leaseHolder], Incarnation: incarnation, Epoch: newest, Renewal: newest}
	if m.leaseHolder > 0 && m.holders[m.leaseHolder-1].heldByPredecessor {
		lease.Incarnation--
	}
	table.Leases["d"] = lease
	table.Incarnations["a"], table.Incarnations["b"] = lease.Incarnation, lease.Incarnation
	return table
}

// applyTable updates the state from a table to which an entry was applied: what was the last renewal
// or the newest epoch may be outdated now.
func (m *modelState) applyTable(table *Table) {
	lease := table.Leases["d"]
	if lease.Renewal != newest {
		m.current, m.expireCurrent = false, false
	}
	if table.Epoch != newest {
		for i := range m.holders {
			state := &m.holders[i]
			state.replyEpochLag, state.heldEpochLag, state.heldByPredecessor =
				min(state.replyEpochLag+1, 2), min(state.heldEpochLag+1, 2), false
		}
	}
	m.leaseHolder = 0
	for i, name := range modelNames {
		if name == lease.Holder {
			m.leaseHolder = int8(i)
		}
	}
}

// leaseTerms returns the terms that the members use under a variant.
func (v variant) leaseTerms() Terms {
	terms := modelTerms
	if v.noDrift {
		terms.Drift = 0
	}
	return terms
}

// newHolder builds the Holder of a or b.
func (m *modelState) newHolder(v variant, index int) *Holder {
	holder := NewHolder(v.leaseTerms())
	if state := m.holders[index]; state.holds {
		holder.held["d"] = Holding{newest - uint64(state.heldEpochLag), instant + time.Duration(state.remaining), 0}
	}
	return holder
}

// saveHolder stores what a Holder holds at a time on its clock.
func (m *modelState) saveHolder(index int, holder *Holder, now time.Duration) {
	holder.Expire(now)
	holding, ok := holder.held["d"]
	state := &m.holders[index]
	if state.holds, state.heldEpochLag, state.remaining = ok, 0, 0; ok {
		state.heldEpochLag, state.remaining = int8(newest-holding.Epoch), int8(holding.ExpiresAt-now)
	}
}

// newWatch builds the observer's ExpiryWatch.
func (m *modelState) newWatch(v variant) *ExpiryWatch {
	watch := NewExpiryWatch(v.leaseTerms())
	if m.grantSeen {
		seen := observation{newest, newest, instant - time.Duration(m.age), v.leaseTerms().ObserverTerm()}
		if !m.current {
			seen.renewal--
		}
		watch.observed["d"] = seen
	}
	return watch
}

// eachSuccessor calls visit with every state that one step leads to.
func (m modelState) eachSuccessor(v variant, visit func(modelState)) {
	next := m // one tick passes
	for i := range next.holders {
		state := &next.holders[i]
		holder := m.newHolder(v, i)
		next.saveHolder(i, holder, instant+time.Duration(m.rates[i]))
		if state.sent = false; state.requested || state.replied {
			state.age = min(state.age+m.rates[i], 2*tick*3)
		}
	}
	if m.grantSeen {
		next.age = min(m.age+m.observerRate, 2*tick*3)
	}
	visit(next)
	for i, state := range m.holders {
		if !state.requested && !state.replied && !state.sent {
			next := m // a request is sent
			next.holders[i].requested, next.holders[i].sent, next.holders[i].age = true, true, 0
			visit(next)
		}
		if state.requested { // it is committed, and the reply may be lost
			next, table := m, m.newTable()
			if v.freeWithoutExpiry && m.leaseHolder != 0 && int(m.leaseHolder) != i+1 &&
				!m.holders[m.leaseHolder-1].requested && !m.holders[m.leaseHolder-1].replied {
				table.Leases["d"].Holder = ""
			}
			var result Result
			if held := table.HeldBy(modelNames[i+1], incarnation); len(held) > 0 {
				result = table.Apply(Entry{Op: Renew, Member: modelNames[i+1], Incarnation: incarnation, Refs: held})
			} else {
				result = table.Apply(Entry{Op: Grant, Name: "d", Member: modelNames[i+1], Incarnation: incarnation})
			}
			next.applyTable(table)
			next.holders[i].requested, next.holders[i].replyEpochLag = false, 0
			if len(result.Refs) > 0 {
				next.holders[i].replied = true
				visit(next)
			}
			next.holders[i].replied, next.holders[i].age = false, 0
			visit(next)
		}
		if state.replied {
			next := m // the reply arrives
			holder, requested, epoch :=
				next.newHolder(v, i), instant-time.Duration(state.age), newest-uint64(state.replyEpochLag)
			if v.fromReply {
				requested = instant
			}
			if v.ignoreReplyEpoch {
				epoch, requested = newest, instant
			}
			holder.RecordGrant("d", epoch, requested)
			next.saveHolder(i, holder, instant)
			next.holders[i].replied, next.holders[i].age, next.holders[i].replyEpochLag = false, 0, 0
			visit(next)
		}
	}
	watch := m.newWatch(v)
	watch.Observe(m.newTable(), instant)
	next = m // the observer reads the table
	seen, grantSeen := watch.observed["d"]
	if next.grantSeen, next.current, next.age = grantSeen, grantSeen, 0; grantSeen {
		next.age = int8(instant - seen.seenAt)
		if v.noInitialWait && !m.grantSeen {
			next.age = 2 * tick * 3
		}
	}
	visit(next)
	if due, _ := m.newWatch(v).Expired(instant); len(due) > 0 && !m.expirePending {
		next := m // the observer sends an Expire entry
		next.expirePending, next.expireCurrent = true, due[0].Renewal == newest
		visit(next)
	}
	if m.expirePending { // the entry is applied
		next, table := m, m.newTable()
		ref := Ref{"d", newest, newest, 0}
		if !m.expireCurrent && !v.ignoreRenewals {
			ref.Renewal--
		}
		table.Apply(Entry{Op: Expire, Refs: []Ref{ref}})
		next.applyTable(table)
		next.expirePending, next.expireCurrent = false, false
		visit(next)
	}
	for i := range m.holders { // a or b restarts, and with it the observer
		next := m
		next.holders[i] = holderState{heldByPredecessor: int(m.leaseHolder) == i+1}
		next.grantSeen, next.current, next.age = false, false, 0
		visit(next)
	}
}

// search visits all reachable states. It returns their number, and whether both members rely on the
// lease in one of them; it stops at the first such state.
func search(v variant, rates [2]int8, observerRate int8) (states int, violated bool) {
	first := modelState{rates: rates, observerRate: observerRate}
	seen := map[modelState]bool{first: true}
	pending := []modelState{first}
	for len(pending) > 0 {
		state := pending[len(pending)-1]
		pending = pending[:len(pending)-1]
		if state.holders[0].holds && state.holders[1].holds {
			return len(seen), true
		}
		state.eachSuccessor(v, func(next modelState) {
			if !seen[next] {
				seen[next] = true
				pending = append(pending, next)
			}
		})
	}
	return len(seen), false
}

// Two members must never rely on one lease at the same time. Each variant leaves out one rule of the
// protocol, and the search must find a violation for it; it must find none for the full protocol.
func TestProtocolSearch(t *testing.T) {
	for _, v := range []variant{
		{},
		{name: "no drift bound", noDrift: true},
		{name: "counted from the answer", fromReply: true},
		{name: "a new watcher does not wait", noInitialWait: true},
		{name: "renewals ignored", ignoreRenewals: true},
		{name: "epoch not checked", ignoreReplyEpoch: true},
		{name: "freed at once", freeWithoutExpiry: true},
	} {
		total, caught := 0, false
		for _, rates := range [][3]int8{{4, 6, 6}, {4, 4, 5}, {6, 5, 4}} { // clock rates of a, b and the observer
			states, violated := search(v, [2]int8{rates[0], rates[1]}, rates[2])
			total, caught = total+states, caught || violated
		}
		if t.Logf("%q: %d states, violated %v", v.name, total, caught); caught != (v.name != "") {
			t.Errorf("%q: two members rely on one lease: %v", v.name, caught)
		}
	}
}
