package group

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"brackendale/internal/lease"

	"github.com/hashicorp/raft"
)

// stateMachine is the state machine of the replicated log: a lease.Table. It implements raft.FSM. The
// library calls Apply, Snapshot and Restore on one goroutine.
type stateMachine struct {
	group      *Group       // the owner of the table; nil if the table below is used
	table      *lease.Table // used without a group (Recover)
	raiseEpoch bool         // the next snapshot raises the epoch above any that can have been granted
}

// Apply applies one entry and returns a lease.Result.
func (m *stateMachine) Apply(log *raft.Log) any {
	var entry lease.Entry
	if err := json.Unmarshal(log.Data, &entry); err != nil {
		return lease.Result{Reason: "not an entry: " + err.Error()}
	}
	if m.group == nil {
		return m.table.Apply(entry)
	}
	return m.group.applyEntry(entry)
}

// Snapshot returns a copy of the table.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	if m.group == nil {
		if m.raiseEpoch {
			base := (m.table.Epoch/recoverEpochStep + 1) * recoverEpochStep
			m.table.Apply(lease.Entry{Op: lease.RaiseEpoch, Base: base})
			m.raiseEpoch = false
		}
		return tableSnapshot{m.table.Clone()}, nil
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	return tableSnapshot{m.group.table.Clone()}, nil
}

// Restore replaces the table with a snapshot.
func (m *stateMachine) Restore(snapshot io.ReadCloser) error {
	defer snapshot.Close()
	table := lease.NewTable()
	if err := json.NewDecoder(snapshot).Decode(table); err != nil {
		return fmt.Errorf("group: snapshot: %w", err)
	}
	if m.group == nil {
		m.table = table
		return nil
	}
	m.group.mu.Lock()
	defer m.group.mu.Unlock()
	m.group.table = table
	m.group.watch.Observe(table, m.group.clock())
	return nil
}

// tableSnapshot is a copy of the table that is to be written. It implements raft.FSMSnapshot.
type tableSnapshot struct{ table *lease.Table }

// Persist writes the table as JSON.
func (s tableSnapshot) Persist(sink raft.SnapshotSink) error {
	if err := json.NewEncoder(sink).Encode(s.table); err != nil {
		return errors.Join(err, sink.Cancel())
	}
	return sink.Close()
}

// Release does nothing: a snapshot holds no resources.
func (s tableSnapshot) Release() {}

// applyEntry applies an entry to this member's table. The clock is read after that: leases must not
// be seen to expire too early.
func (g *Group) applyEntry(entry lease.Entry) lease.Result {
	g.mu.Lock()
	defer g.mu.Unlock()
	result := g.table.Apply(entry)
	g.watch.Observe(g.table, g.clock())
	return result
}
