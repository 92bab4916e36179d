package journal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"

	"brackendale/internal/statefs"

	"golang.org/x/sys/unix"
)

// acquireLock locks the lock file without waiting. The error is ErrLocked if another process holds
// the lock.
func acquireLock(path string) (*statefs.File, error) {
	file, err := statefs.Open(path, os.O_RDWR|os.O_CREATE)
	if err != nil {
		return nil, fmt.Errorf("journal: opening the lock file: %w", err)
	}
	if err := syscall.Flock(file.Descriptor(), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		if errors.Is(err, syscall.EWOULDBLOCK) {
			err = ErrLocked
		}
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

// Locked reports whether a process has the journal in dir open.
func Locked(dir string) bool {
	lock, err := acquireLock(filepath.Join(dir, lockName))
	if err == nil {
		_ = lock.Close()
	}
	return errors.Is(err, ErrLocked)
}

// ErrChanged reports that another process has written the journal since Release.
var ErrChanged = errors.New("journal: another process has written the journal")

// Release lets another process open the journal. Until Reacquire succeeds, nothing may be written. Everything must be
// flushed before.
func (j *Journal) Release() error { return j.lock.Close() }

// CloseReleased closes the file of a released journal.
func (j *Journal) CloseReleased() error {
	j.closeSpare()
	return j.file.Close()
}

// Reacquire takes a released journal back, unless another process has written it. The error is ErrLocked while another
// process holds the journal, and ErrChanged if the file is not as it was released: the journal must then be opened
// anew.
func (j *Journal) Reacquire() error {
	lock, err := acquireLock(filepath.Join(j.dir, lockName))
	if err != nil {
		return err
	}
	if err := j.checkUnchanged(); err != nil {
		return errors.Join(err, lock.Close())
	}
	j.lock = lock
	return nil
}

// checkUnchanged checks that the file has the records that this process knows and no others. Records are only appended,
// and a compaction replaces the file, so its identity and size show any change. Opening the file may have cut off
// incomplete bytes beyond the records.
func (j *Journal) checkUnchanged() error {
	inPlace, err := j.file.IsAt(j.filePath())
	if err != nil {
		return fmt.Errorf("journal: reading the state of the file: %w", err)
	}
	size, err := j.file.Size()
	if err != nil {
		return fmt.Errorf("journal: reading the size of the file: %w", err)
	}
	if !inPlace || size < j.size || size > j.size && !j.torn {
		return ErrChanged
	}
	return nil
}

// FileID distinguishes a file from its copies: a copy has another inode or another creation time. The
// device number is not included, since it may change with each boot.
type FileID struct {
	Inode     uint64 `json:"inode"`
	CreatedNs int64  `json:"born,omitempty"` // Unix time in nanoseconds; 0: the file system does not record it
}

// LockFileID returns the ID of the lock file in dir, which is never replaced.
func LockFileID(dir string) (FileID, error) {
	var stat unix.Statx_t
	path := filepath.Join(dir, lockName)
	if err := unix.Statx(unix.AT_FDCWD, path, 0, unix.STATX_INO|unix.STATX_BTIME, &stat); err != nil {
		return FileID{}, fmt.Errorf("journal: reading the inode of %s: %w", path, err)
	}
	id := FileID{Inode: stat.Ino}
	if stat.Mask&unix.STATX_BTIME != 0 {
		id.CreatedNs = stat.Btime.Sec*1e9 + int64(stat.Btime.Nsec)
	}
	return id, nil
}
