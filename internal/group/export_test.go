package group

import (
	"sync/atomic"

	"github.com/hashicorp/raft"
	"golang.org/x/sys/unix"
)

// FailStore makes writes to the store of a member's log fail while diskFull is true.
func FailStore(options *Options, diskFull *atomic.Bool) {
	options.store = func(underlying logStore) logStore { return faultyStore{underlying, diskFull} }
}

// faultyStore is a logStore whose writes fail with ENOSPC while diskFull is true.
type faultyStore struct {
	logStore
	diskFull *atomic.Bool
}

func (f faultyStore) err() error {
	if f.diskFull.Load() {
		return unix.ENOSPC
	}
	return nil
}

func (f faultyStore) StoreLogs(entries []*raft.Log) error {
	if err := f.err(); err != nil {
		return err
	}
	return f.logStore.StoreLogs(entries)
}

func (f faultyStore) Set(key, value []byte) error {
	if err := f.err(); err != nil {
		return err
	}
	return f.logStore.Set(key, value)
}

func (f faultyStore) SetUint64(key []byte, value uint64) error {
	if err := f.err(); err != nil {
		return err
	}
	return f.logStore.SetUint64(key, value)
}
