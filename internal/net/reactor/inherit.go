package reactor

import (
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// blockingAcceptTimeout bounds an accept on an inherited socket that another process has set to blocking mode. The
	// accept may delay a pause or a close by that long.
	blockingAcceptTimeout = 10 * time.Millisecond
	// firstOwnFD is the lowest descriptor for the copy of an inherited socket, above the standard streams.
	firstOwnFD = 3
)

// ListenInherited accepts connections on a listening socket that this process inherited as a file descriptor. It uses a
// duplicate: the socket stays open in other processes, and this one may call ListenInherited for it again. rejection
// and accept are as for Listen.
func (r *Reactor) ListenInherited(fd int, rejection []byte, accept func(*Conn) Handler) (*Listener, error) {
	listener, err := inheritedListener(fd)
	if err != nil {
		return nil, err
	}
	return r.start(&Listener{Listener: listener, rejection: rejection, accept: accept, inherited: true}), nil
}

// inheritedListener returns a listener on a duplicate of the descriptor. O_NONBLOCK is a flag of the open file
// description, which all processes share, so another process can clear it at any time, as os/exec does with a file from
// net.TCPListener.File. On Linux the socket's receive timeout, which is also shared, then bounds an accept.
func inheritedListener(fd int) (net.Listener, error) {
	own, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, firstOwnFD)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	file := os.NewFile(uintptr(own), "clients")
	defer file.Close()
	timeout := unix.NsecToTimeval(blockingAcceptTimeout.Nanoseconds())
	if err := unix.SetsockoptTimeval(own, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &timeout); err != nil {
		return nil, fmt.Errorf("descriptor %d: bounding its accepts: %w", fd, err)
	}
	return net.FileListener(file)
}
