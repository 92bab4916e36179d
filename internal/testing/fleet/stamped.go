package fleet

import (
	"net"
	"sync"
	"time"
)

// StampedListener accepts connections that know when this machine's kernel received their bytes.
type StampedListener struct{ *net.TCPListener }

// NewStampedListener listens on one of the ports, or on an ephemeral one if ports is nil.
func NewStampedListener(ports *Ports) (*StampedListener, error) {
	ln, err := ports.Listen()
	if err != nil {
		return nil, err
	}
	if err := stampArrivals(ln); err != nil {
		_ = ln.Close()
		return nil, err
	}
	return &StampedListener{ln}, nil
}

// Accept returns the next connection, which is a *StampedConn.
func (l *StampedListener) Accept() (net.Conn, error) {
	conn, err := l.AcceptTCP()
	if err != nil {
		return nil, err
	}
	reader, err := newArrivalReader(conn)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return &StampedConn{TCPConn: conn, reader: reader, acceptedAt: time.Now()}, nil
}

// StampedConn is a connection that a StampedListener has accepted.
type StampedConn struct {
	*net.TCPConn
	reader     arrivalReader
	acceptedAt time.Time

	mu      sync.Mutex
	arrived time.Time
}

// Read reads as net.TCPConn does.
func (c *StampedConn) Read(data []byte) (int, error) {
	if len(data) == 0 {
		return 0, nil
	}
	size, at, err := c.reader.read(data)
	if size > 0 {
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.arrived = at; at.IsZero() { // the bytes came before the kernel gave times
			c.arrived = c.acceptedAt
		}
	}
	return size, err
}

// Arrival returns when the bytes that the last Read returned had arrived.
func (c *StampedConn) Arrival() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrived
}
