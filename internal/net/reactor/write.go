package reactor

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

const (
	// maxUnsent bounds the unsent bytes of one connection: above it, the connection of a peer that does not read is
	// closed.
	maxUnsent = 512 << 10
	// fairUnsent is the number of unsent bytes that each connection may have while all connections together exceed the
	// reactor's limit.
	fairUnsent = 4 << 10
	// backlogThreshold is the number of unsent bytes from which IsBacklogged returns true. It is far below the limits at
	// which a connection is closed.
	backlogThreshold = 64 << 10
)

var errUnsent = errors.New("too many unsent bytes for peers that do not read")

// Drainer is a handler that stops writing while its peer does not read.
type Drainer interface {
	// Drained is called when some of the unsent bytes were written to the socket.
	Drained(conn *Conn)
}

// IsBacklogged reports whether so many bytes are unsent that no more should be written for now. If so, Drained is
// called when some of them were written to the socket.
func (c *Conn) IsBacklogged() bool {
	if c.unsent() < backlogThreshold {
		return false
	}
	c.flags.set(flagAwaitsDrain)
	return c.unsent() >= backlogThreshold // they may have been sent in the meantime
}

// unsent returns the number of bytes that were batched or passed to the engine and not yet written to the socket.
func (c *Conn) unsent() int64 { return c.queued - c.written.Load() + c.batchedBytes() }

// drained runs on the loop's goroutine after bytes were written to the socket, if flagAwaitsDrain was set.
func (c *Conn) drained() {
	if c.state == finishing {
		c.shutdownWrite()
		return
	}
	if drainer, ok := c.handler.(Drainer); ok && !c.IsClosing() {
		drainer.Drained(c)
	}
}

// StreamOffset returns the position in the outgoing byte stream behind all bytes that were written or batched. Under
// TLS the encrypted length of batched bytes is not known yet: if there are any, it returns the position of the first
// byte that they will occupy, so that Sent may return true too early, but never too late.
func (c *Conn) StreamOffset() int64 {
	batched := c.batchedBytes()
	if batched > 0 && c.layer != nil {
		return c.queued + 1
	}
	return c.queued + batched
}

// Sent reports whether all bytes before an offset that StreamOffset returned were written to the socket.
func (c *Conn) Sent(offset int64) bool { return c.written.Load() >= offset }

// SentOrNotify is like Sent, and if it returns false, Drained is called when some of the unsent bytes were written to
// the socket.
func (c *Conn) SentOrNotify(offset int64) bool {
	if c.Sent(offset) {
		return true
	}
	c.flags.set(flagAwaitsDrain)
	return c.Sent(offset) // they may have been sent in the meantime
}

// UnsentBytes returns the number of bytes that were not sent to the peer's machine: those that were not written to the
// socket, and those that the socket holds because the peer does not read.
func (c *Conn) UnsentBytes() int {
	return int(max(0, c.unsent())) + c.socketQueue(unix.SIOCOUTQNSD)
}

// Taken reports whether the peer's machine has acknowledged all bytes before an offset that StreamOffset returned. It
// may delay that by some 40 ms.
func (c *Conn) Taken(offset int64) bool {
	return c.written.Load()-int64(c.socketQueue(unix.SIOCOUTQ)) >= offset
}

// socketQueue returns a size of the socket's output queue, or 0 if the socket is closed.
func (c *Conn) socketQueue(request uint) int {
	socket, open := c.openSocket()
	if !open {
		return 0
	}
	size, err := unix.IoctlGetInt(socket.Hash(), request)
	if err != nil {
		return 0
	}
	return size
}

// Write sends the pieces in one vectored write, after the batched bytes. An error means that the peer does not read or
// that the connection has ended.
func (c *Conn) Write(pieces ...[]byte) error {
	if err := c.Flush(); err != nil {
		return err
	}
	return c.send(pieces...)
}

// send writes the pieces, under TLS encrypted.
func (c *Conn) send(pieces ...[]byte) error {
	if c.layer == nil {
		return c.writeRaw(pieces...)
	}
	if c.IsClosing() {
		return net.ErrClosed
	}
	return c.layer.encrypt(pieces)
}

// writeRaw passes the bytes to the engine unencrypted. A write that fails closes the socket.
func (c *Conn) writeRaw(pieces ...[]byte) error {
	if c.adoptedOutput {
		return c.writeOutput(pieces)
	}
	socket := c.socket.Load()
	if socket == nil || c.IsClosing() {
		return net.ErrClosed
	}
	queued := c.queued
	err := c.writeSocket(socket, pieces)
	if errors.Is(err, net.ErrClosed) && c.keptOutput.Load() != nil {
		c.reactor.unsent.Add(queued - c.queued)
		if c.queued = queued; c.adoptOutput() {
			return c.writeOutput(pieces)
		}
	}
	if err != nil {
		c.reactor.barrier.closedOutsideEngine(socket.Hash())
	}
	return err
}

// writeSocket writes the pieces. The engine's own vectored write drops the pieces behind the one in which a partial
// write ends, and all of them if the socket was full; writeSocket then writes these one by one through the engine's
// buffered write. If there are unsent bytes before them, the vectored write would buffer all pieces and report them as
// written; writeSocket then writes all of them one by one.
func (c *Conn) writeSocket(socket *nbio.Conn, pieces [][]byte) error {
	total := 0
	for _, piece := range pieces {
		total += len(piece)
	}
	if injected := fault(CallWrite, func() string { return socket.RemoteAddr().String() }); injected != nil {
		return c.writeFaulty(socket, injected, pieces)
	}
	behind := !c.Sent(c.queued)
	if behind && c.reactor.unsent.Load() > c.reactor.maxUnsentTotal && c.queued-c.written.Load() > fairUnsent {
		return errUnsent
	}
	c.queued += int64(total)
	c.reactor.unsent.Add(int64(total))
	if behind {
		return writeEach(socket, pieces)
	}
	sent, err := socket.Writev(pieces)
	if err != nil && !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR) {
		return fmt.Errorf("writing: %w", err)
	}
	if len(pieces) == 1 {
		return nil // the engine buffers the rest of a single piece, and reports all of it to onWritten
	}
	if sent == total {
		c.written.Add(int64(sent)) // the engine does not report a complete vectored write
		c.reactor.unsent.Add(-int64(sent))
		return nil
	}
	return writeEach(socket, unbuffered(pieces, sent))
}

// unbuffered returns the pieces that begin at or behind the end of a partial write; the rest of the piece in which it
// ends is in the engine's buffer.
func unbuffered(pieces [][]byte, sent int) [][]byte {
	start := 0
	for i, piece := range pieces {
		if start >= sent && len(piece) > 0 {
			return pieces[i:]
		}
		start += len(piece)
	}
	return nil
}

// writeEach writes the pieces that are not empty one by one through the engine's buffered write.
func writeEach(socket *nbio.Conn, pieces [][]byte) error {
	for _, piece := range pieces {
		if len(piece) == 0 {
			continue
		}
		if _, err := socket.Write(piece); err != nil {
			return fmt.Errorf("writing: %w", err)
		}
	}
	return nil
}
