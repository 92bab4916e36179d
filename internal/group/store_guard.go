package group

import (
	"errors"
	"runtime"

	"github.com/hashicorp/raft"
)

// logStore stores the raft library's log, term and votes.
type logStore interface {
	raft.LogStore
	raft.StableStore
}

// storeGuard wraps the store that is passed to the raft library. The library ends the process if a
// vote or a term cannot be written, or an entry cannot be read; a sender has to continue without its
// group in that case. So storeGuard calls fail and ends the calling goroutine of the library before
// it can reply to anyone or treat the data as written.
type storeGuard struct {
	logStore
	fail func(error)
}

// failAndExit reports the failure and ends the calling goroutine.
func (s storeGuard) failAndExit(err error) {
	s.fail(err)
	runtime.Goexit()
}

// withoutPanic returns a panic of the store, as caused by a corrupt file, as an error.
func withoutPanic(call func() error) (err error) {
	defer func() {
		if cause := recover(); cause != nil {
			err = &corruptFileError{cause: cause}
		}
	}()
	return call()
}

// GetLog reads an entry. A failure other than raft.ErrLogNotFound ends the goroutine.
func (s storeGuard) GetLog(index uint64, entry *raft.Log) error {
	err := withoutPanic(func() error { return s.logStore.GetLog(index, entry) })
	if err != nil && !errors.Is(err, raft.ErrLogNotFound) {
		s.failAndExit(err)
	}
	return err
}

// Set writes a vote. A failure ends the goroutine.
func (s storeGuard) Set(key, value []byte) error {
	if err := withoutPanic(func() error { return s.logStore.Set(key, value) }); err != nil {
		s.failAndExit(err)
	}
	return nil
}

// SetUint64 writes a term. A failure ends the goroutine.
func (s storeGuard) SetUint64(key []byte, value uint64) error {
	if err := withoutPanic(func() error { return s.logStore.SetUint64(key, value) }); err != nil {
		s.failAndExit(err)
	}
	return nil
}

// StoreLogs writes entries. It returns a failure as an error, upon which the library steps down. It is
// unknown what is on the disk after a failed sync, so the failure is also reported to stop the log:
// it is then reopened and read from the disk.
func (s storeGuard) StoreLogs(entries []*raft.Log) error {
	err := withoutPanic(func() error { return s.logStore.StoreLogs(entries) })
	if err != nil {
		s.fail(err)
	}
	return err
}

// DeleteRange deletes entries. It handles failures as StoreLogs does.
func (s storeGuard) DeleteRange(first, last uint64) error {
	err := withoutPanic(func() error { return s.logStore.DeleteRange(first, last) })
	if err != nil {
		s.fail(err)
	}
	return err
}
