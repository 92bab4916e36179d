package app

import (
	"net"
	"sync"

	"brackendale/internal/hotrestart"
	"brackendale/internal/net/sharedsocket"
)

// consoleSocket is the listening socket of the console, if there is one. Any goroutine may use it.
type consoleSocket struct {
	mu       sync.Mutex
	listener *net.UnixListener // nil: there is none
}

// set sets the listener that serves clients.
func (c *consoleSocket) set(listener net.Listener) {
	unixListener, ok := listener.(*net.UnixListener)
	if !ok {
		return
	}
	unixListener.SetUnlinkOnClose(true) // it is off in a listener that was received from a predecessor
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listener = unixListener
}

// stop closes the socket and removes its path.
func (c *consoleSocket) stop() { c.close(true) }

// release closes the socket of a predecessor; the successor serves at the path.
func (c *consoleSocket) release() { c.close(false) }

func (c *consoleSocket) close(unlink bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener == nil {
		return
	}
	c.listener.SetUnlinkOnClose(unlink)
	_ = c.listener.Close()
	c.listener = nil
}

// share returns the name of the socket and a duplicate of its descriptor, for a successor. ok is false if there is no
// socket.
func (c *consoleSocket) share() (name hotrestart.ListenerName, descriptor int, ok bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.listener == nil {
		return name, 0, false, nil
	}
	descriptor, err = sharedsocket.Descriptor(c.listener)
	name = hotrestart.ListenerName{Network: networkUnix, Address: c.listener.Addr().String()}
	return name, descriptor, err == nil, err
}
