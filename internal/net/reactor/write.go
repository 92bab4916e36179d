package reactor

import (
	"errors"
	"fmt"
	"net"
	"syscall"

	"github.com/lesismal/nbio"
)

const (
	// maxUnsent bounds the bytes that one connection holds unwritten: a peer that does not read is closed.
	maxUnsent = 512 << 10
	// fairUnsent is what each connection may hold while all together hold more than the reactor's bound, in bytes.
	fairUnsent = 4 << 10
	// backlog is the number of unsent bytes from which Backed holds: far below what ends a connection.
	backlog = 64 << 10
)

var errUnsent = errors.New("too much is waiting for peers that do not read")

// Drainer is a handler that stops writing to a peer that does not read.
type Drainer interface {
	// Drained is called when some of the unsent bytes have left.
	Drained(conn *Conn)
}

// Backed tells whether so many bytes wait for the peer that no more should be written yet. If so, Drained is called
// when some of them have left.
func (c *Conn) Backed() bool {
	if c.unsent() < backlog {
		return false
	}
	c.awaitsDrain.Store(true)
	return c.unsent() >= backlog // they may have left just before
}

// unsent is the number of bytes that were gathered or written and have not left.
func (c *Conn) unsent() int64 { return c.queued - c.written.Load() + c.gatheredBytes() }

// drained runs when bytes have left that somebody waited for.
func (c *Conn) drained() {
	if c.state == finishing {
		c.shutdownWrite()
		return
	}
	if drainer, ok := c.handler.(Drainer); ok && !c.Dead() {
		drainer.Drained(c)
	}
}

// StreamOffset is the position in the outgoing byte stream behind all that was written or gathered. Under TLS the
// encrypted length of gathered bytes isn't known yet: there it is the position of the first byte that leaves with them,
// so that Sent may be true too early, but never too late.
func (c *Conn) StreamOffset() int64 {
	gathered := c.gatheredBytes()
	if gathered > 0 && c.layer != nil {
		return c.queued + 1
	}
	return c.queued + gathered
}

// Sent tells whether the socket has taken all bytes before an offset of StreamOffset.
func (c *Conn) Sent(offset int64) bool { return c.written.Load() >= offset }

// Write sends the pieces in one gathered write, after what Buffer has gathered. An error means that the peer doesn't
// read or that the connection has ended.
func (c *Conn) Write(pieces ...[]byte) error {
	if err := c.Flush(); err != nil {
		return err
	}
	return c.send(pieces...)
}

func (c *Conn) send(pieces ...[]byte) error {
	if c.layer == nil {
		return c.writeRaw(pieces...)
	}
	if c.Dead() {
		return net.ErrClosed
	}
	return c.layer.encrypt(pieces)
}

// writeRaw gives the bytes to the engine as they are. A write that fails closes the socket.
func (c *Conn) writeRaw(pieces ...[]byte) error {
	socket := c.socket.Load()
	if socket == nil || c.Dead() {
		return net.ErrClosed
	}
	err := c.writeSocket(socket, pieces)
	if err != nil {
		c.reactor.barrier.closedOutside(socket.Hash())
	}
	return err
}

// writeSocket writes the pieces. The engine's own gathered write drops the pieces behind the one
// in which a partial write ends, and all of them where the socket was full: these are written after it, one by one,
// through its buffered write. With unsent bytes before them it buffers all of them and reports them as written: then
// they are written one by one from the start.
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
		return nil // the engine buffers the rest of a single piece, and counts it
	}
	if sent == total {
		c.written.Add(int64(sent)) // the engine doesn't count it when all went out at once
		c.reactor.unsent.Add(-int64(sent))
		return nil
	}
	return writeEach(socket, unbuffered(pieces, sent))
}

// unbuffered returns the pieces of a partial write that begin at or behind its end; the rest of the piece in which it
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

// writeEach writes the pieces that aren't empty through the engine's buffer.
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
