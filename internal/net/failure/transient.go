package failure

import (
	"errors"
	"slices"
	"syscall"
)

// permanent are the errors that don't pass by themselves: a file or directory is missing or access to it is denied, or
// an address is not allowed.
var permanent = []syscall.Errno{
	syscall.ENOENT, syscall.ENOTDIR, syscall.EISDIR, syscall.EACCES, syscall.EPERM, syscall.ELOOP,
	syscall.ENAMETOOLONG, syscall.EINVAL, syscall.EBADF, syscall.ENOTSOCK,
}

// Transient reports whether an operation on this machine that failed with err may succeed later: the disk is full or
// temporarily fails, an address is still in use, or the machine lacks a resource.
func Transient(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && !slices.Contains(permanent, errno)
}
