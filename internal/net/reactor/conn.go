package reactor

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/netip"
	"sync/atomic"
	"syscall"

	"brackendale/internal/net/loop"
	"brackendale/internal/net/partial"
	"brackendale/internal/timers"

	"github.com/lesismal/nbio"
)

// arrivedPeekSize is how much unread input of a connection is looked at, in bytes: more than a usual command.
const arrivedPeekSize = 32 << 10

// connState is the state of a connection.
type connState uint8

const (
	opening           connState = iota // Up was not called yet
	open                               // its handler reads and writes
	finishing                          // a graceful close: what was written leaves, what still arrives is ignored
	awaitingHandshake                  // it has ended, and the result of its handshake is awaited
	ended                              // Down was called
)

// Conn is one connection. Its methods are for the loop's goroutine.
type Conn struct {
	reactor *Reactor
	handler Handler
	state   connState

	closedHere bool // its handler or this package has closed it
	wantsTLS   bool // a layer follows once the connection is accepted

	socket      atomic.Pointer[nbio.Conn] // nil until it is connected
	cancelDial  context.CancelFunc        // nil unless it is being dialed
	finishTimer *timers.Timer             // set during a graceful close

	queued       int64        // bytes that were written, as the engine is given them
	written      atomic.Int64 // bytes that the socket has taken
	awaitsDrain  atomic.Bool  // drained is to be called when the socket takes bytes
	pendingReads atomic.Int32 // reads in progress, and reads that the handler has not been given
	pendingBytes atomic.Int32 // bytes that were read, and that the handler has not been given
	reading      atomic.Bool  // a read is in progress
	beforeMark   int32        // bytes before the mark that the handler has not been given

	gather *gather   // nil: nothing is gathered
	layer  *tlsLayer // nil: plain
}

// established passes an open socket to the engine, unless its owner has closed the connection meanwhile. err is the
// dial's.
func (c *Conn) established(socket *nbio.Conn, err error, cfg *tls.Config, server bool) {
	c.cancelDial = nil
	if err == nil && c.state == ended {
		_ = socket.Close()
		return
	}
	if err != nil {
		c.end(err)
		return
	}
	c.socket.Store(socket)
	c.reactor.barrier.whenSafe(socket.Hash(), func() { c.join(socket, cfg, server) })
}

// join passes the socket to the engine, unless its owner has closed the connection meanwhile.
func (c *Conn) join(socket *nbio.Conn, cfg *tls.Config, server bool) {
	if c.closedHere {
		_ = socket.Close()
		return
	}
	if cfg != nil {
		c.startTLS(cfg, server) // before the engine reads
	}
	if err := c.attach(socket); err != nil {
		c.end(err)
		return
	}
	if cfg == nil {
		c.state = open
		c.handler.Up(c)
	}
}

// attach adds the socket to the engine's set.
func (c *Conn) attach(socket *nbio.Conn) error {
	c.reactor.room.L.Lock() // the engine's goroutine takes it before it looks at c
	socket.SetSession(c)
	c.reactor.room.L.Unlock()
	if err := faultError(CallPoll, socket.RemoteAddr().String()); err != nil {
		_ = socket.Close()
		return fmt.Errorf("joining the socket engine: %w", err)
	}
	if _, err := c.reactor.engine.AddConn(socket); err != nil {
		return fmt.Errorf("joining the socket engine: %w", err)
	}
	return nil
}

// end ends the connection, once. The bytes for the result of a handshake in progress may have arrived before the end:
// Down waits for it.
func (c *Conn) end(err error) {
	switch {
	case c.state >= awaitingHandshake:
	case c.layer != nil && !c.layer.resultKnown:
		c.state, c.layer.endError = awaitingHandshake, err
		c.layer.wakeHandshake(net.ErrClosed)
	default:
		c.finalize(err)
	}
}

// finalize records the connection's end and calls Down.
func (c *Conn) finalize(err error) {
	if c.state == finishing {
		c.reactor.finishing--
		c.reactor.Disarm(c.finishTimer)
	}
	c.state = ended
	c.dropGathered()
	if err == nil {
		err = io.EOF
	}
	if c.layer != nil {
		if !c.layer.established {
			err = c.handshakeFailed(err)
		}
		c.layer.wakeHandshake(net.ErrClosed) // what is read from here on is the end
	}
	c.reactor.unsent.Add(c.written.Load() - c.queued)
	c.handler.Down(c, err)
}

// Close ends the connection at once; Down follows.
func (c *Conn) Close() {
	c.closedHere = true
	if c.cancelDial != nil {
		c.cancelDial()
	}
	if socket := c.socket.Load(); socket != nil {
		if !c.Dead() {
			_ = c.Flush() // the connection ends in any case
		}
		if c.layer != nil && !c.Dead() {
			c.layer.closeNotify()
		}
		c.closeSocket(socket)
	}
	c.reactor.Post(func() { c.end(net.ErrClosed) })
}

// closeSocket closes the socket on the loop's goroutine, while the engine may have events of it in hand.
func (c *Conn) closeSocket(socket *nbio.Conn) {
	c.reactor.barrier.closedOutside(socket.Hash())
	_ = socket.Close()
}

// Cut ends the connection at once and drops what was gathered; Down follows.
func (c *Conn) Cut() {
	c.dropGathered()
	c.Close()
}

// Reset ends the connection at once by a reset; Down follows.
func (c *Conn) Reset() {
	if socket, open := c.openSocket(); open && !c.Dead() {
		_ = socket.SetLinger(1, 0)
	}
	c.Close()
}

// openSocket is the socket, if the engine has not closed it. Calls by its descriptor are to follow at once: from the
// close on that may be another connection's, though this one's end was not handled yet.
func (c *Conn) openSocket() (socket *nbio.Conn, open bool) {
	socket = c.socket.Load()
	if socket == nil {
		return nil, false
	}
	closed, _ := socket.IsClosed()
	return socket, !closed
}

// From is the peer's address; the zero address for a socket that has none.
func (c *Conn) From() netip.Addr {
	if socket := c.socket.Load(); socket != nil {
		if addr, ok := socket.RemoteAddr().(*net.TCPAddr); ok {
			return addr.AddrPort().Addr().Unmap()
		}
	}
	return netip.Addr{}
}

// Loop is the loop that the connection's handler runs on.
func (c *Conn) Loop() *loop.Loop { return c.reactor.Loop }

// Dead tells whether the connection has ended or is being closed: nothing more can be written or is received.
func (c *Conn) Dead() bool { return c.state >= finishing }

// Quiet tells whether the handler has been given all that the peer has sent, its end included.
func (c *Conn) Quiet() bool {
	if c.socket.Load() == nil || c.Dead() {
		return false
	}
	_, err := c.peekSocket(make([]byte, 1))
	return errors.Is(err, syscall.EAGAIN) && c.pendingReads.Load() == 0
}

// Unread tells whether the peer has sent bytes that the handler has not been given, also such as a read has taken out
// of the socket already. The peer's end alone doesn't count.
func (c *Conn) Unread() bool {
	if c.socket.Load() == nil || c.Dead() {
		return false
	}
	size, _ := c.peekSocket(make([]byte, 1)) // first: a read is counted before it takes anything
	return size > 0 || c.pendingReads.Load() > 0
}

// MarkArrived marks the place in the peer's byte stream, under TLS that of the ciphertext, behind all that has arrived.
// known is false where a read is in progress, or more has arrived than is looked at.
func (c *Conn) MarkArrived() (known bool) {
	if c.socket.Load() == nil || c.Dead() {
		c.beforeMark = 0
		return true
	}
	pending := c.pendingBytes.Load()
	if c.reading.Load() {
		return false
	}
	peeked := partial.Get(arrivedPeekSize)
	defer partial.Put(peeked)
	size, err := c.peekSocket(peeked[:arrivedPeekSize])
	if err != nil {
		size = 0 // nothing, or the end
	}
	if size == arrivedPeekSize || c.reading.Load() || c.pendingBytes.Load() != pending {
		return false
	}
	c.beforeMark = pending + int32(size)
	return true
}

// MarkHandled tells whether the handler was given all bytes before the mark, and what a handshake makes of them.
func (c *Conn) MarkHandled() bool {
	return c.beforeMark == 0 && (c.layer == nil || !c.layer.computing())
}

// peekSocket copies what the socket holds into buf, and leaves it there. It returns the number of bytes, or the error.
func (c *Conn) peekSocket(buf []byte) (int, error) {
	socket, open := c.openSocket()
	if !open {
		return 0, net.ErrClosed
	}
	size, _, err := syscall.Recvfrom(socket.Hash(), buf, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return size, err
}
