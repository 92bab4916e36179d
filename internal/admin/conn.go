package admin

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"sync"
	"time"
)

const (
	acceptRetryInterval     = 20 * time.Millisecond
	timeoutResponseDeadline = time.Second // for writing timeoutResponse

	timeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
)

// pendingConns has the connections without a complete request, the oldest first.
type pendingConns struct {
	mu    sync.Mutex
	conns []*conn
}

// add adds a connection. If there are maxPendingConns already, it closes the oldest one.
func (p *pendingConns) add(added *conn) {
	p.mu.Lock()
	var evicted *conn
	if len(p.conns) >= maxPendingConns {
		evicted, p.conns = p.conns[0], p.conns[1:]
	}
	p.conns = append(p.conns, added)
	p.mu.Unlock()
	if evicted != nil {
		_ = evicted.Conn.Close()
	}
}

// remove removes a connection, if it is there. responded means that its request has a response.
func (p *pendingConns) remove(c *conn, responded bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.responded = c.responded || responded
	if i := slices.Index(p.conns, c); i >= 0 {
		p.conns = append(p.conns[:i:i], p.conns[i+1:]...)
	}
}

// boundedListener accepts connections and bounds the number of pending ones.
type boundedListener struct {
	net.Listener
	pending *pendingConns
}

// Accept accepts a connection. It retries after errors such as ENOBUFS, after which http.Server would give up.
func (l *boundedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	for err != nil && !errors.Is(err, net.ErrClosed) {
		time.Sleep(acceptRetryInterval)
		accepted, err = l.Listener.Accept()
	}
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: accepted, pending: l.pending}
	l.pending.add(c)
	return c, nil
}

// conn is the connection of one client.
type conn struct {
	net.Conn
	pending   *pendingConns
	responded bool // guarded by pending.mu
}

// Read responds with status 408 if the request does not arrive in time.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.hasResponse() {
		_ = c.SetWriteDeadline(time.Now().Add(timeoutResponseDeadline))
		_, _ = io.WriteString(c.Conn, timeoutResponse)
	}
	return n, err
}

// Write writes the server's response. The request was complete, so the connection is no longer pending.
func (c *conn) Write(b []byte) (int, error) {
	c.pending.remove(c, true)
	return c.Conn.Write(b)
}

// Close closes the connection.
func (c *conn) Close() error {
	c.pending.remove(c, false)
	return c.Conn.Close()
}

// hasResponse reports whether the request has a response. After it, http.Server aborts its background read with a
// deadline in the past, which is not a timeout of the request.
func (c *conn) hasResponse() bool {
	c.pending.mu.Lock()
	defer c.pending.mu.Unlock()
	return c.responded
}
