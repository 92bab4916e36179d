package reactor

import (
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// blockingAcceptLimit bounds an accept on an inherited socket that another process has set to blocking mode: so long
	// it may delay a pause or a close.
	blockingAcceptLimit = 10 * time.Millisecond
	// firstOwnFD is above the standard streams.
	firstOwnFD = 3
)

// ListenInherited accepts connections on a listening socket that this process was given as a descriptor. It works on a
// copy: the socket goes on in other processes, and may be taken again by this one. accept and rejection are as those of
// Listen.
func (r *Reactor) ListenInherited(fd int, rejection []byte, accept func(*Conn) Handler) (*Listener, error) {
	listener, err := inheritedListener(fd)
	if err != nil {
		return nil, err
	}
	return r.start(&Listener{Listener: listener, rejection: rejection, accept: accept, inherited: true}), nil
}

// inheritedListener makes a listener of a copy of the descriptor. O_NONBLOCK is a flag of the open file description,
// which all processes share: another one can clear it at any time, as os/exec does with a file from
// net.TCPListener.File. On Linux the receive timeout of the socket, which is shared as well, bounds an accept then.
func inheritedListener(fd int) (net.Listener, error) {
	own, err := unix.FcntlInt(uintptr(fd), unix.F_DUPFD_CLOEXEC, firstOwnFD)
	if err != nil {
		return nil, fmt.Errorf("descriptor %d: %w", fd, err)
	}
	file := os.NewFile(uintptr(own), "clients")
	defer file.Close()
	timeout := unix.NsecToTimeval(blockingAcceptLimit.Nanoseconds())
	if err := unix.SetsockoptTimeval(own, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &timeout); err != nil {
		return nil, fmt.Errorf("descriptor %d: bounding its accepts: %w", fd, err)
	}
	return net.FileListener(file)
}
