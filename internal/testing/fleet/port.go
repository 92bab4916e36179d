package fleet

import (
	"errors"
	"fmt"
	"os"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// nextPort is the offset of the port that FreePort tries next. The range stays below the kernel's ephemeral ports
// (from 32768 on): one of those may be assigned to another process before the caller listens on it.
var nextPort atomic.Int64

const firstPort, portCount = 15_000, 16_000

// FreePort returns a loopback address with a port that is unused and not ephemeral. The port stays reserved until this
// program ends, so that no other one gets it while a process that listens on it is restarted.
func FreePort() (string, error) {
	nextPort.CompareAndSwap(0, int64(os.Getpid())*101) // other processes start at other ports
	for range portCount {
		port := int(firstPort + nextPort.Add(1)%portCount)
		err := reservePort(port)
		if err == nil {
			return fmt.Sprintf("127.0.0.1:%d", port), nil
		}
		if !errors.Is(err, unix.EADDRINUSE) {
			return "", fmt.Errorf("fleet: port %d: %w", port, err)
		}
	}
	return "", errors.New("fleet: no free port")
}

// reservePort binds a socket to a port and keeps it, without listening. Its address may be reused from then on by a
// socket that asks for that, as a listener's does.
func reservePort(port int) error {
	socket, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	err = unix.Bind(socket, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	if err == nil { // not before: two reservations that both allow reuse do not conflict
		err = unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	}
	if err != nil {
		_ = unix.Close(socket)
	}
	return err
}
