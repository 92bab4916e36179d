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
