package fleet

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"

	"golang.org/x/sys/unix"
)

// nextPort is the offset of the port that is tried next. The range stays below the kernel's ephemeral ports (from 32768
// on): one of those may be assigned to another process before the caller listens on it.
var nextPort atomic.Int64

const firstPort, portCount = 15_000, 16_000

// programPorts are the ports of FreePort.
var programPorts Ports

// FreePort returns a loopback address with a port that is unused and not ephemeral. The port stays reserved until this
// program ends, so that no other one gets it while a process that listens on it is restarted.
func FreePort() (string, error) { return programPorts.Reserve() }

// Ports hands out ports that stay reserved until Release, whether or not somebody listens on them: what is sent to a
// listener that was closed must not reach another one. The zero value is ready. It is safe for concurrent use.
type Ports struct {
	mu      sync.Mutex
	sockets []int // a bound one for each port
}

// Reserve returns a loopback address with a port that is unused and not ephemeral.
func (p *Ports) Reserve() (string, error) {
	nextPort.CompareAndSwap(0, int64(os.Getpid())*101) // other processes start at other ports
	for range portCount {
		port := int(firstPort + nextPort.Add(1)%portCount)
		socket, err := reservePort(port)
		if err == nil {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.sockets = append(p.sockets, socket)
			return fmt.Sprintf("127.0.0.1:%d", port), nil
		}
		if !errors.Is(err, unix.EADDRINUSE) {
			return "", fmt.Errorf("fleet: port %d: %w", port, err)
		}
	}
	return "", errors.New("fleet: no free port")
}

// Listen returns a listener on a reserved port, or on an ephemeral one if p is nil.
func (p *Ports) Listen() (*net.TCPListener, error) {
	addr := "127.0.0.1:0"
	if p != nil {
		reserved, err := p.Reserve()
		if err != nil {
			return nil, err
		}
		addr = reserved
	}
	resolved, err := net.ResolveTCPAddr("tcp4", addr)
	if err != nil {
		return nil, err
	}
	return net.ListenTCP("tcp4", resolved)
}

// Release gives all ports back.
func (p *Ports) Release() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, socket := range p.sockets {
		_ = unix.Close(socket)
	}
	p.sockets = nil
}

// reservePort binds a socket to a port, without listening. Its address may be reused from then on by a socket that asks
// for that, as a listener's does.
func reservePort(port int) (socket int, err error) {
	socket, err = unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return -1, err
	}
	err = unix.Bind(socket, &unix.SockaddrInet4{Port: port, Addr: [4]byte{127, 0, 0, 1}})
	if err == nil { // not before: two reservations that both allow reuse do not conflict
		err = unix.SetsockoptInt(socket, unix.SOL_SOCKET, unix.SO_REUSEADDR, 1)
	}
	if err != nil {
		_ = unix.Close(socket)
		return -1, err
	}
	return socket, nil
}
