package group

import (
	"encoding/json"
	"net"
	"time"

	"brackendale/internal/lease"

	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
)

// The log is kept short: a snapshot of the table replaces old entries.
const (
	// snapshotThreshold is the number of new entries after which a snapshot is due.
	snapshotThreshold = 512

	// trailingEntries is the number of entries that are kept before a snapshot, so that voters that lag
	// a little need not load the snapshot.
	trailingEntries = 128

	// snapshotInterval is how often the library checks whether a snapshot is due.
	snapshotInterval = 10 * time.Second

	// maxPooledConns is the maximum number of idle connections to each voter.
	maxPooledConns = 2

	// acceptBacklog is the number of connections that may be queued until the library accepts them.
	acceptBacklog = 8

	// minTransportTimeout is the lower bound of the library's I/O timeout.
	minTransportTimeout = 500 * time.Millisecond
)

// raftNode is a running replica of the log.
type raftNode struct {
	raft      *raft.Raft
	stream    *streamLayer
	transport *raft.NetworkTransport
	bolt      *raftboltdb.BoltStore
	failed    chan error // receives the disk failure that stopped the log; its buffer is 1
}

// leads reports whether this member is the elected leader of the raft library.
func (n *raftNode) leads() bool { return n.raft.State() == raft.Leader }

// raftConfig returns the configuration of the raft library.
func (g *Group) raftConfig() *raft.Config {
	config := raft.DefaultConfig()
	config.LocalID = raft.ServerID(g.opt.Name)
	config.HeartbeatTimeout = g.leaseFraction(electionTimeoutFraction)
	config.ElectionTimeout = g.leaseFraction(electionTimeoutFraction)
	config.LeaderLeaseTimeout = g.leaseFraction(stepDownTimeoutFraction)
	config.CommitTimeout = max(g.leaseFraction(commitTimeoutFraction), time.Millisecond)
	config.SnapshotThreshold = snapshotThreshold
	config.TrailingLogs = trailingEntries
	config.SnapshotInterval = snapshotInterval
	config.Logger = g.raftLogger()
	return config
}

// startNode starts the log from the folder, which must contain one.
func (g *Group) startNode(bolt *raftboltdb.BoltStore, dir string) (*raftNode, error) {
	node := &raftNode{
		bolt:   bolt,
		failed: make(chan error, 1),
		stream: &streamLayer{
			group: g, accepted: make(chan net.Conn, acceptBacklog), closed: make(chan struct{}),
		},
	}
	var store logStore = bolt
	if g.opt.store != nil {
		store = g.opt.store(store)
	}
	guarded := storeGuard{logStore: store, fail: node.fail}
	snapshots, err := openSnapshots(dir, g.raftLogger())
	if err != nil {
		return nil, err
	}
	node.transport = g.newTransport(node.stream)
	node.raft, err = g.newRaft(guarded, snapshots, node.transport)
	if err == nil {
		return node, nil
	}
	select {
	case err = <-node.failed:
	default:
	}
	_ = node.transport.Close()
	return nil, err
}

// fail reports a disk failure of the log. Only the first one is kept.
func (n *raftNode) fail(err error) {
	select {
	case n.failed <- err:
	default:
	}
}

// newRaft creates the library's node. It does so on a separate goroutine, since a storeGuard ends the
// goroutine that calls it after a disk failure.
func (g *Group) newRaft(
	store storeGuard, snapshots raft.SnapshotStore, transport raft.Transport,
) (*raft.Raft, error) {
	type result struct {
		raft *raft.Raft
		err  error
	}
	done := make(chan result, 1)
	go func() {
		created := result{err: errLogUnreadable} // stays if the storeGuard ends the goroutine
		defer func() { done <- created }()
		created.err = withoutPanic(func() (err error) {
			created.raft, err = raft.NewRaft(g.raftConfig(), &stateMachine{group: g}, store, store, snapshots, transport)
			return err
		})
	}()
	created := <-done
	if created.err == nil && created.raft == nil {
		created.err = errLogUnreadable
	}
	return created.raft, created.err
}

// newTransport returns the raft library's transport. It has one request in flight to each member: with more the library
// uses a pipeline, and its shutdown waits forever for a pipeline whose responses nobody reads any more.
func (g *Group) newTransport(stream *streamLayer) *raft.NetworkTransport {
	return raft.NewNetworkTransportWithConfig(&raft.NetworkTransportConfig{
		Logger:          g.raftLogger(),
		Stream:          stream,
		MaxPool:         maxPooledConns,
		MaxRPCsInFlight: 1,
		Timeout:         max(g.entryTimeout(), minTransportTimeout),
	})
}

// stop stops the log and closes its files.
func (n *raftNode) stop() {
	done := n.raft.Shutdown()
	_ = n.stream.Close()
	_ = n.transport.Close()
	_ = done.Error()
	_ = n.bolt.Close()
}

// propose writes an entry to the log and waits until this member has applied it. The caller must not
// hold the group's lock.
func (n *raftNode) propose(entry lease.Entry, timeout time.Duration) (lease.Result, error) {
	raw, err := json.Marshal(entry)
	if err != nil {
		return lease.Result{}, err
	}
	future := n.raft.Apply(raw, timeout)
	if err := future.Error(); err != nil {
		return lease.Result{}, err
	}
	result, ok := future.Response().(lease.Result)
	if !ok {
		return result, errNoResult
	}
	return result, nil
}
