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

// arrivedPeekSize is how much unread input of a socket MarkArrived peeks at, in bytes: more than a typical command.
const arrivedPeekSize = 32 << 10

// connState is the state of a connection.
type connState uint8

const (
	opening           connState = iota // Up has not been called
	open                               // the handler reads and writes
	finishing                          // a graceful close: written bytes are still sent, and input is ignored
	awaitingHandshake                  // the connection has ended, and Down waits for the result of its handshake
	ended                              // Down has been called
)

// Conn is one connection. Its methods must be called on the loop's goroutine.
type Conn struct {
	reactor *Reactor
	handler Handler
	state   connState

	closedHere bool // closed by its handler or by this package, not by the peer
	wantsTLS   bool // layer is set once the connection is established

	discardsUnsent bool // see DiscardUnsentOnClose
	canHalfClose   bool // the handler is an InputEnder, and there is no TLS
	adoptedOutput  bool // the connection continues on keptOutput: the peer has ended its stream, the handler still writes

	socket      atomic.Pointer[nbio.Conn] // nil until it is connected
	cancelDial  context.CancelFunc        // nil unless it is being dialed
	finishTimer *timers.Timer             // set during a graceful close

	queued       int64        // bytes passed to the engine for writing; under TLS, of ciphertext
	written      atomic.Int64 // bytes that the engine has written to the socket
	pendingReads atomic.Int32 // reads in progress, plus reads whose bytes the handler has not received
	pendingBytes atomic.Int32 // bytes that were read and that the handler has not handled
	beforeMark   int32        // bytes before the position of MarkArrived that the handler has not handled
	flags        connFlags

	keptOutput atomic.Pointer[halfClosedOutput] // set before the engine closes its descriptor

	writeBatch *writeBatch // nil: no bytes are batched
	layer      *tlsLayer   // nil: no TLS
}

// established continues after a dial or accept, err being the dial's error: it registers the open socket with the
// engine, unless the handler has closed the connection in the meantime.
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
	c.reactor.barrier.whenSafe(socket.Hash(), func() { c.register(socket, cfg, server) })
}

// register registers the socket with the engine, unless the handler has closed the connection in the meantime.
func (c *Conn) register(socket *nbio.Conn, cfg *tls.Config, server bool) {
	if c.closedHere {
		_ = socket.Close()
		return
	}
	if cfg != nil {
		c.startTLS(cfg, server) // before the engine reads from the socket
	}
	if c.discardsUnsent {
		_ = socket.SetLinger(1, 0) // the socket has no other user yet
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

// attach adds the socket to the engine's poller.
func (c *Conn) attach(socket *nbio.Conn) error {
	_, endsInput := c.handler.(InputEnder)
	c.reactor.belowLimit.L.Lock() // the engine's goroutine takes this lock before it accesses c
	c.canHalfClose = endsInput && c.layer == nil
	socket.SetSession(c)
	c.reactor.belowLimit.L.Unlock()
	if err := faultError(CallPoll, socket.RemoteAddr().String()); err != nil {
		_ = socket.Close()
		return fmt.Errorf("joining the socket engine: %w", err)
	}
	if _, err := c.reactor.engine.AddConn(socket); err != nil {
		return fmt.Errorf("joining the socket engine: %w", err)
	}
	return nil
}

// end ends the connection, if it has not ended yet. During a handshake, bytes that decide its result may have arrived
// before the end, so Down waits for the result.
func (c *Conn) end(err error) {
	switch {
	case c.state >= awaitingHandshake:
	case c.layer != nil && !c.layer.handshakeEnded:
		c.state, c.layer.endError = awaitingHandshake, err
		c.layer.wakeHandshake(net.ErrClosed)
	default:
		c.finalize(err)
	}
}

// finalize records that the connection has ended and calls Down.
func (c *Conn) finalize(err error) {
	if c.state == finishing {
		c.reactor.finishing--
	}
	if c.finishTimer != nil {
		c.reactor.Disarm(c.finishTimer)
	}
	c.state = ended
	c.keptOutput.Load().close()
	c.dropBatch()
	if err == nil {
		err = io.EOF
	}
	if c.layer != nil {
		if !c.layer.established {
			err = c.handshakeFailed(err)
		}
		c.layer.wakeHandshake(net.ErrClosed) // further reads return the end of the stream
	}
	c.reactor.unsent.Add(c.written.Load() - c.queued)
	c.handler.Down(c, err)
}

// Close closes the connection at once; Down follows.
func (c *Conn) Close() {
	c.closedHere = true
	if c.cancelDial != nil {
		c.cancelDial()
	}
	if socket := c.socket.Load(); socket != nil {
		if !c.IsClosing() {
			_ = c.Flush() // the connection is closed in any case
		}
		if c.layer != nil && !c.IsClosing() {
			c.layer.closeNotify()
		}
		c.closeSocket(socket)
	}
	c.reactor.Post(func() { c.end(net.ErrClosed) })
}

// closeSocket closes the socket on the loop's goroutine. The engine may have received events of it that it has not
// handled yet.
func (c *Conn) closeSocket(socket *nbio.Conn) {
	c.reactor.barrier.closedOutsideEngine(socket.Hash())
	_ = socket.Close()
}

// CloseWithoutFlush closes the connection at once and discards the batched bytes; Down follows.
func (c *Conn) CloseWithoutFlush() {
	c.dropBatch()
	c.Close()
}

// Reset closes the connection at once with a TCP reset; Down follows.
func (c *Conn) Reset() {
	if socket, open := c.openSocket(); open && !c.IsClosing() {
		_ = socket.SetLinger(1, 0)
	}
	c.Close()
}

// DiscardUnsentOnClose makes the system discard the bytes that the peer's machine has not acknowledged when the
// connection ends, also with this process. By default it goes on to deliver them for as long as the peer takes. The
// peer reads a reset. It must be called before the connection is established.
func (c *Conn) DiscardUnsentOnClose() { c.discardsUnsent = true }

// SendUnsentOnClose undoes DiscardUnsentOnClose: the peer reads the end of the stream.
func (c *Conn) SendUnsentOnClose() {
	if socket, open := c.openSocket(); open && c.discardsUnsent {
		_ = socket.SetLinger(0, 0)
	}
	c.discardsUnsent = false
}

// openSocket returns the socket and whether it is open. The caller must use its descriptor at once: after the engine
// has closed the socket, the descriptor can belong to another connection, even before the loop has handled the close.
func (c *Conn) openSocket() (socket *nbio.Conn, open bool) {
	socket = c.socket.Load()
	if socket == nil {
		return nil, false
	}
	closed, _ := socket.IsClosed()
	return socket, !closed
}

// PeerAddr returns the peer's address, or the zero address if the socket has none.
func (c *Conn) PeerAddr() netip.Addr {
	if socket := c.socket.Load(); socket != nil {
		if addr, ok := socket.RemoteAddr().(*net.TCPAddr); ok {
			return addr.AddrPort().Addr().Unmap()
		}
	}
	return netip.Addr{}
}

// Loop returns the loop that the connection's handler runs on.
func (c *Conn) Loop() *loop.Loop { return c.reactor.Loop }

// IsClosing reports whether the connection has ended or is being closed: it can no longer be written to, and the
// handler receives no more input.
func (c *Conn) IsClosing() bool { return c.state >= finishing }

// AllInputReceived reports whether the handler has received all input that has arrived, including the end of the
// stream.
func (c *Conn) AllInputReceived() bool {
	if c.socket.Load() == nil || c.IsClosing() {
		return false
	}
	if c.adoptedOutput {
		return c.pendingReads.Load() == 0
	}
	_, err := c.peekSocket(make([]byte, 1))
	return errors.Is(err, syscall.EAGAIN) && c.pendingReads.Load() == 0
}

// HasPendingInput reports whether bytes from the peer have arrived that the handler has not received, including bytes
// that were already read from the socket. The end of the stream alone does not count.
func (c *Conn) HasPendingInput() bool {
	if c.socket.Load() == nil || c.IsClosing() {
		return false
	}
	size, _ := c.peekSocket(make([]byte, 1)) // first, because a read is counted before it takes bytes from the socket
	return size > 0 || c.pendingReads.Load() > 0
}

// MarkArrived records the position in the peer's byte stream (under TLS, of the ciphertext) behind all bytes that have
// arrived. ok is false if a read is in progress, or if more has arrived than arrivedPeekSize.
func (c *Conn) MarkArrived() (ok bool) {
	if c.socket.Load() == nil || c.IsClosing() {
		c.beforeMark = 0
		return true
	}
	pending := c.pendingBytes.Load()
	if c.flags.has(flagReading) {
		return false
	}
	peeked := partial.Get(arrivedPeekSize)
	defer partial.Put(peeked)
	size, err := c.peekSocket(peeked[:arrivedPeekSize])
	if err != nil {
		size = 0 // nothing has arrived, or only the end of the stream
	}
	if size == arrivedPeekSize || c.flags.has(flagReading) || c.pendingBytes.Load() != pending {
		return false
	}
	c.beforeMark = pending + int32(size)
	return true
}

// MarkHandled reports whether the handler has handled all bytes before the position of MarkArrived, and no handshake is
// still processing them.
func (c *Conn) MarkHandled() bool {
	return c.beforeMark == 0 && (c.layer == nil || !c.layer.isComputing())
}

// peekSocket copies the socket's unread input into buf without consuming it. It returns the number of bytes, or an
// error.
func (c *Conn) peekSocket(buf []byte) (int, error) {
	socket, open := c.openSocket()
	if !open {
		return 0, net.ErrClosed
	}
	size, _, err := syscall.Recvfrom(socket.Hash(), buf, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	return size, err
}
