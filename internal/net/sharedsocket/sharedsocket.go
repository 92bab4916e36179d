// Package sharedsocket passes listening sockets between processes as file descriptors. O_NONBLOCK is a flag of the open
// file description, which all processes that have the socket open share, so any of them can clear it at any time, as
// os/exec does with a file from net.TCPListener.File. On Linux the socket's receive timeout, which is also shared, then
// bounds an accept.
package sharedsocket

import (
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// blockingAcceptTimeout bounds an accept on a shared socket that another process has set to blocking mode. The
	// accept may delay a pause or a close by that long.
	blockingAcceptTimeout = 10 * time.Millisecond
	// firstOwnFD is the lowest descriptor for the copy of a shared socket, above the standard streams.
	firstOwnFD = 3
)

// Listener returns a listener on a duplicate of the descriptor of a listening socket. The descriptor stays open.
func Listener(fd int) (net.Listener, error) {
	own, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, firstOwnFD)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	file := os.NewFile(uintptr(own), "listener")
	defer file.Close()
	if err := boundAccepts(own); err != nil {
		return nil, fmt.Errorf("descriptor %d: bounding its accepts: %w", fd, err)
	}
	return net.FileListener(file)
}

// Descriptor returns a duplicate of a listener's descriptor, which another process may receive. The caller closes it.
func Descriptor(listener net.Listener) (fd int, err error) {
	conn, ok := listener.(syscall.Conn)
	if !ok {
		return -1, fmt.Errorf("%s: its descriptor: %w", listener.Addr(), errors.ErrUnsupported)
	}
	if fd, err = duplicate(conn); err != nil {
		return -1, fmt.Errorf("%s: duplicating its descriptor: %w", listener.Addr(), err)
	}
	if err := boundAccepts(fd); err != nil {
		return -1, errors.Join(fmt.Errorf("%s: bounding its accepts: %w", listener.Addr(), err), unix.Close(fd))
	}
	return fd, nil
}

// duplicate duplicates the descriptor of a socket without changing its mode.
func duplicate(conn syscall.Conn) (fd int, err error) {
	raw, err := conn.SyscallConn()
	if err != nil {
		return -1, err
	}
	var duplicateErr error
	if err := raw.Control(func(original uintptr) {
		fd, duplicateErr = unix.FcntlInt(original, unix.F_DUPFD_CLOEXEC, firstOwnFD)
	}); err != nil {
		return -1, err
	}
	return fd, duplicateErr
}

func boundAccepts(fd int) error {
	timeout := unix.NsecToTimeval(blockingAcceptTimeout.Nanoseconds())
	return unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &timeout)
}
