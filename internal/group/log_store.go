package group

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
)

// DiskMB is the approximate maximum size of a group's folder in MiB: the log file, which does not
// shrink, and two snapshots.
const DiskMB = 2.0

const (
	// keptSnapshots is the number of snapshots that are kept in the folder.
	keptSnapshots = 2

	// openTimeout is how long a member waits for the lock on the log file.
	openTimeout = time.Second
)

// The keys under which the raft library stores its term and its last vote.
var (
	keyTerm     = []byte("CurrentTerm")
	keyVoteTerm = []byte("LastVoteTerm")
	keyVoteFor  = []byte("LastVoteCand")
)

// raftDir returns the directory of the log in a group's folder.
func raftDir(dir string) string { return filepath.Join(dir, "raft") }

// openBolt checks the log file, creating it if it is missing, and opens it. A failed check is returned
// as a logFileError.
func openBolt(dir string) (store *raftboltdb.BoltStore, err error) {
	if err := os.MkdirAll(raftDir(dir), 0o700); err != nil {
		return nil, fmt.Errorf("group: %w", err)
	}
	path := filepath.Join(raftDir(dir), "log.db")
	if err := withoutPanic(func() error { return checkBolt(path) }); err != nil {
		return nil, &logFileError{err: err}
	}
	err = withoutPanic(func() error {
		store, err = raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: &bbolt.Options{Timeout: openTimeout}})
		return err
	})
	return store, err
}

// checkBolt checks the consistency of the whole log file.
func checkBolt(path string) error {
	db, err := bbolt.Open(path, 0o600, &bbolt.Options{Timeout: openTimeout})
	if err != nil {
		return err
	}
	err = db.View(func(tx *bbolt.Tx) error {
		var faults error
		for fault := range tx.Check() { // read to the end: the goroutine that sends would leak otherwise
			faults = errors.Join(faults, fault)
		}
		return faults
	})
	return errors.Join(err, db.Close())
}

// isCorrupt reports whether opening the log failed because its file is damaged, and not because of
// missing permissions, a full disk or a file in use.
func isCorrupt(err error) bool {
	var file *logFileError
	var corrupt *corruptFileError
	return (errors.As(err, &file) || errors.As(err, &corrupt)) && !errors.Is(err, os.ErrPermission) && !isDiskError(err)
}

// isDiskError reports whether an error means a full disk or a file in use, neither of which implies
// that the file is damaged. It compares texts since the store does not have error types for all of
// them.
func isDiskError(err error) bool {
	text := err.Error()
	for _, part := range []string{"no space left", "file too large", "quota", "timeout"} {
		if strings.Contains(text, part) {
			return true
		}
	}
	return false
}

// openSnapshots opens the snapshots in a group's folder.
func openSnapshots(dir string, log hclog.Logger) (*raft.FileSnapshotStore, error) {
	store, err := raft.NewFileSnapshotStoreWithLogger(raftDir(dir), keptSnapshots, log)
	if err != nil {
		return nil, fmt.Errorf("group: %w", err)
	}
	return store, nil
}

// readLogPosition reads the last index and the term of a log, and whether there is a log at all.
func readLogPosition(store *raftboltdb.BoltStore, dir string) (position logPosition, err error) {
	err = withoutPanic(func() (err error) {
		if position.Index, err = store.LastIndex(); err != nil {
			return err
		}
		position.Term, err = store.GetUint64(keyTerm)
		if errors.Is(err, raftboltdb.ErrKeyNotFound) {
			err = nil
		}
		if err == nil { // entries that a snapshot covers may have been removed from the log
			err = position.includeSnapshot(dir)
		}
		position.Exists = position.Index > 0 || position.Term > 0
		return err
	})
	return position, err
}

// includeSnapshot raises the index to that of the latest snapshot if that is higher.
func (p *logPosition) includeSnapshot(dir string) error {
	snapshots, err := openSnapshots(dir, hclog.NewNullLogger())
	if err != nil {
		return err
	}
	list, err := snapshots.List()
	if len(list) > 0 {
		p.Index = max(p.Index, list[0].Index)
	}
	return err
}
