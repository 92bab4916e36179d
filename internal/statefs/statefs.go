// Package statefs provides the file operations on the sender's state folder, with fault injection for
// tests. Each operation first checks whether a hook makes it fail. Without a hook that costs one
// atomic load.
package statefs

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync/atomic"
)

// Call names a file operation that can fail. Fault plans of tests use these values.
type Call string

// The file operations that can fail.
const (
	CallOpen     Call = "open"
	CallRead     Call = "read"
	CallWrite    Call = "write"
	CallTruncate Call = "truncate"
	CallRename   Call = "rename"
	CallRemove   Call = "remove"
)

// Fault describes how an operation fails.
type Fault struct {
	Err   error
	After int // only for a write: the number of bytes that are written before it fails
}

// Hook decides about each operation on a file with that base name: it returns the fault to inject, or
// nil to let the operation proceed. It may be called on any goroutine.
type Hook func(call Call, name string) *Fault

var hook atomic.Pointer[Hook]

// SetHook installs decide as the hook until undo is called. It is for tests only, one hook at a time.
func SetHook(decide Hook) (undo func()) {
	hook.Store(&decide)
	return func() { hook.Store(nil) }
}

// injectedFault returns the fault to inject into an operation, or nil.
func injectedFault(call Call, path string) *Fault {
	if decide := hook.Load(); decide != nil {
		return (*decide)(call, filepath.Base(path))
	}
	return nil
}

// injectedError returns the injected fault as an error, for operations that have no effect when they
// fail.
func injectedError(call Call, path string) error {
	if fault := injectedFault(call, path); fault != nil {
		return &os.PathError{Op: string(call), Path: path, Err: fault.Err}
	}
	return nil
}

// ErrTooLong reports that a file is longer than the caller's limit.
var ErrTooLong = errors.New("file too long")

// File is an open file. It is not safe for concurrent use.
type File struct {
	file *os.File
	path string
}

// ownerOnly is the permission mode of new files.
const ownerOnly = 0o600

// Open opens a file with the given os.O_... flags. A file that it creates is accessible only to its
// owner.
func Open(path string, flag int) (*File, error) {
	if err := injectedError(CallOpen, path); err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, flag, ownerOnly)
	if err != nil {
		return nil, err
	}
	return &File{file: file, path: path}, nil
}

// ReadAll reads the file from its beginning, at most limit bytes.
func (f *File) ReadAll(limit int64) ([]byte, error) {
	if err := injectedError(CallRead, f.path); err != nil {
		return nil, err
	}
	return io.ReadAll(io.NewSectionReader(f.file, 0, limit))
}

// WriteAt writes b at an offset. After an error, a part of b may have been written.
func (f *File) WriteAt(b []byte, offset int64) (int, error) {
	if fault := injectedFault(CallWrite, f.path); fault != nil {
		n, err := f.file.WriteAt(b[:min(fault.After, len(b))], offset)
		return n, errors.Join(&os.PathError{Op: string(CallWrite), Path: f.path, Err: fault.Err}, err)
	}
	return f.file.WriteAt(b, offset)
}

// Truncate cuts the file to size bytes.
func (f *File) Truncate(size int64) error {
	if err := injectedError(CallTruncate, f.path); err != nil {
		return err
	}
	return f.file.Truncate(size)
}

// Size returns the size of the file in bytes.
func (f *File) Size() (int64, error) {
	info, err := f.file.Stat()
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// IsAt reports whether the file at path is this one. It is not an error if no file is there.
func (f *File) IsAt(path string) (bool, error) {
	there, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	own, err := f.file.Stat()
	if err != nil {
		return false, err
	}
	return os.SameFile(own, there), nil
}

// Descriptor returns the file descriptor, for file locks.
func (f *File) Descriptor() int { return int(f.file.Fd()) }

// Close closes the file.
func (f *File) Close() error { return f.file.Close() }

// Rename renames the file to path and replaces a file that exists there.
func (f *File) Rename(path string) error {
	if err := injectedError(CallRename, path); err != nil {
		return err
	}
	if err := os.Rename(f.path, path); err != nil {
		return err
	}
	f.path = path
	return nil
}

// Remove removes a file. It is not an error if the file does not exist.
func Remove(path string) error {
	if err := injectedError(CallRemove, path); err != nil {
		return err
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	return nil
}

// TempName returns the name of the temporary file that Replace writes and renames to path.
func TempName(path string) string { return path + ".new" }

// Replace atomically replaces the file at path by one with the content raw.
func Replace(path string, raw []byte) error {
	file, err := Open(TempName(path), os.O_RDWR|os.O_CREATE|os.O_TRUNC)
	if err != nil {
		return err
	}
	if _, err = file.WriteAt(raw, 0); err == nil {
		err = file.Rename(path)
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return errors.Join(err, Remove(TempName(path)))
	}
	return nil
}

// Read reads a whole file. The error is ErrTooLong if the file has more than limit bytes, and
// os.ErrNotExist if it does not exist.
func Read(path string, limit int64) ([]byte, error) {
	file, err := Open(path, os.O_RDONLY)
	if err != nil {
		return nil, err
	}
	raw, err := file.ReadAll(limit + 1)
	if err = errors.Join(err, file.Close()); err != nil {
		return nil, err
	}
	if int64(len(raw)) > limit {
		return nil, fmt.Errorf("reading %s: %w: more than %d bytes", path, ErrTooLong, limit)
	}
	return raw, nil
}
