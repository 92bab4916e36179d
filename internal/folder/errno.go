package folder

import (
	"errors"
	"slices"
	"syscall"
)

// lasting are the errors that time alone does not mend: the folder is not there, or not ours, or no folder.
var lasting = []syscall.Errno{syscall.ENOENT, syscall.ENOTDIR, syscall.EISDIR, syscall.EACCES, syscall.EPERM, syscall.ELOOP,
	syscall.ENAMETOOLONG, syscall.EINVAL, syscall.EBADF}

// Transient tells whether an operation that failed so may succeed later: the disk is full or gives errors for a while, or the machine
// is short of something.
func Transient(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && !slices.Contains(lasting, errno)
}
