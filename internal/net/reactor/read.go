package reactor

import (
	"errors"

	"github.com/lesismal/nbio"
	"golang.org/x/sys/unix"
)

// maxReadsPerEvent bounds the reads of one connection while others wait.
const maxReadsPerEvent = 3

// onRead runs on the engine's goroutine when a socket is readable. The engine closes a socket whose event reports the
// end of the stream as soon as onRead returns, so that all input must have been read by then.
func (r *Reactor) onRead(socket *nbio.Conn) {
	r.belowLimit.L.Lock() // attach takes this lock too, so that the loop's changes to the connection are visible here
	session := socket.Session()
	r.belowLimit.L.Unlock()
	switch owner := session.(type) {
	case *Conn:
		r.readConn(owner, socket)
	case *pollerBarrier:
		_, _ = socket.Read(*r.engine.PollerBufferPtr(socket))
		owner.onWake()
	}
}

// readConn reads what has arrived on a connection.
func (r *Reactor) readConn(conn *Conn, socket *nbio.Conn) {
	for reads := 1; ; reads++ {
		size, err := r.readOnce(conn, socket)
		switch {
		case errors.Is(err, unix.EINTR):
		case errors.Is(err, unix.EAGAIN):
			return
		case err != nil:
			_ = socket.CloseWithError(err)
			return
		case size == 0:
			r.endInput(conn, socket)
			return
		case size < readBufferSize && !conn.canHalfClose: // nothing more has arrived
			return
		case reads >= maxReadsPerEvent && !hasEnded(socket):
			return
		}
	}
}

// readOnce reads once and passes the input to the loop.
func (r *Reactor) readOnce(conn *Conn, socket *nbio.Conn) (size int, err error) {
	conn.pendingReads.Add(1)
	conn.flags.set(flagReading)
	buffer := *r.engine.PollerBufferPtr(socket)
	if size, err = socket.Read(buffer); size > 0 {
		r.onData(socket, buffer[:size])
	}
	conn.flags.clear(flagReading)
	conn.pendingReads.Add(-1)
	return size, err
}

// hasEnded reports whether the kernel has received the end of the peer's stream.
func hasEnded(socket *nbio.Conn) bool {
	info, err := unix.GetsockoptTCPInfo(socket.Hash(), unix.SOL_TCP, unix.TCP_INFO)
	return err != nil || info.State != unix.BPF_TCP_ESTABLISHED
}
