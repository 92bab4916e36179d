package reactor

import (
	"errors"
	"io"
	"net"
	"reflect"
	"time"

	"brackendale/internal/net/loop"
	"brackendale/internal/timers"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// outputRetryInterval is the interval between two writes to a half-closed connection whose peer does not read.
const outputRetryInterval = 5 * time.Millisecond

// maxHalfClosedTime bounds the time that a half-closed connection stays open.
const maxHalfClosedTime = 10 * time.Second

// InputEnder is a handler of accepted connections that still writes after the peer has ended its stream: a peer may
// close its sending side behind a request and wait for the reply.
type InputEnder interface {
	// InputEnded is called, after all input, when the peer has ended its stream while input was unhandled or
	// SetAwaitsOutput was called. The connection can still be written to; the handler must close it.
	InputEnded(conn *Conn)
}

// SetAwaitsOutput states whether the handler still has something to write to the peer, should the peer's stream end. It
// has until Write has returned.
func (c *Conn) SetAwaitsOutput(awaits bool) {
	if awaits {
		c.flags.set(flagAwaitsOutput)
		return
	}
	c.flags.clear(flagAwaitsOutput)
}

// halfClosedOutput writes to a connection whose peer has ended its stream. The engine closes its descriptor of such a
// connection, so this one is a duplicate.
type halfClosedOutput struct {
	descriptor int
	unsent     []byte
	closing    bool // the connection ends once everything is sent
}

// endInput runs on the engine's goroutine when it has read the end of a peer's stream, and closes the engine's
// descriptor. The handler gets InputEnded if the connection is to stay open for writing, otherwise Down follows.
func (r *Reactor) endInput(c *Conn, socket *nbio.Conn) {
	if c.keepOutput(socket) {
		r.PostRead(loop.Func(c.halfClose)) // after the input that arrived before
	}
	_ = socket.CloseWithError(io.EOF)
}

// keepOutput duplicates the engine's descriptor if the connection is to stay open for writing, and reports whether it
// is.
func (c *Conn) keepOutput(socket *nbio.Conn) bool {
	// In this order: input that has been handled meanwhile has set flagAwaitsOutput before.
	hasWork := c.pendingBytes.Load() > 0 || c.flags.has(flagAwaitsOutput)
	if !c.canHalfClose || !hasWork || c.reactor.poll < 0 {
		return false
	}
	// The system goes on to report events of the engine's descriptor as long as a duplicate is open.
	if unix.EpollCtl(c.reactor.poll, unix.EPOLL_CTL_DEL, socket.Hash(), nil) != nil {
		return false
	}
	descriptor, err := unix.FcntlInt(uintptr(socket.Hash()), unix.F_DUPFD_CLOEXEC, 0)
	if err != nil { // without a descriptor, the connection ends
		return false
	}
	c.keptOutput.Store(&halfClosedOutput{descriptor: descriptor})
	return true
}

// adoptOutput continues the connection on the duplicate, if there is one, and reports whether it did. It cannot
// continue behind bytes that the engine had not written, since the engine has dropped them.
func (c *Conn) adoptOutput() bool {
	if c.keptOutput.Load() != nil && c.queued == c.written.Load() {
		c.adoptedOutput = true
	}
	return c.adoptedOutput
}

// halfClose passes the end of the peer's stream to the handler.
func (c *Conn) halfClose() {
	ender, ok := c.handler.(InputEnder)
	if !ok || c.state != open || !c.adoptOutput() {
		c.end(io.EOF)
		c.keptOutput.Load().close()
		return
	}
	c.finishTimer = &timers.Timer{}
	c.reactor.Arm(c.finishTimer, maxHalfClosedTime, timers.CoarseSlack, timers.Func(c.Close))
	ender.InputEnded(c)
}

// pollDescriptor returns the epoll descriptor of an engine with one poller, which the engine does not export; negative:
// it has none.
func pollDescriptor(engine *nbio.Engine) int {
	pollers := reflect.ValueOf(engine).Elem().FieldByName("pollers")
	if !pollers.IsValid() || pollers.Len() != 1 {
		return -1
	}
	descriptor := pollers.Index(0).Elem().FieldByName("epfd")
	if !descriptor.IsValid() || !descriptor.CanInt() {
		return -1
	}
	return int(descriptor.Int())
}

// writeOutput writes to a half-closed connection.
func (c *Conn) writeOutput(pieces [][]byte) error {
	if c.IsClosing() {
		return net.ErrClosed
	}
	output := c.keptOutput.Load()
	for _, piece := range pieces {
		output.unsent = append(output.unsent, piece...)
		c.queued += int64(len(piece))
		c.reactor.unsent.Add(int64(len(piece)))
	}
	return c.sendOutput()
}

// sendOutput writes what is unsent, as far as the peer reads, and the rest later.
func (c *Conn) sendOutput() error {
	output := c.keptOutput.Load()
	for len(output.unsent) > 0 {
		size, err := unix.Write(output.descriptor, output.unsent)
		switch {
		case errors.Is(err, unix.EINTR):
			continue
		case errors.Is(err, unix.EAGAIN):
			c.reactor.After(outputRetryInterval, c.resumeOutput)
			return nil
		case err != nil:
			return err
		}
		output.unsent = output.unsent[size:]
		c.written.Add(int64(size))
		c.reactor.unsent.Add(-int64(size))
	}
	if output.closing {
		c.Close()
	}
	return nil
}

// resumeOutput continues sendOutput.
func (c *Conn) resumeOutput() {
	if c.adoptedOutput && c.state != ended && c.sendOutput() != nil {
		c.Close()
	}
}

// closeOutput closes a half-closed connection once everything is sent.
func (c *Conn) closeOutput() {
	output := c.keptOutput.Load()
	output.closing = true
	if len(output.unsent) == 0 {
		c.Close()
	}
}

// close closes the descriptor. It may be called more than once, and on nil.
func (o *halfClosedOutput) close() {
	if o != nil && o.descriptor >= 0 {
		_ = unix.Close(o.descriptor)
		o.descriptor = -1
	}
}
