// Package reactor runs the program's sockets on one nbio engine. Its callbacks enqueue tasks on a loop, so handlers
// run on the loop's goroutine and need no locks.
package reactor

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"brackendale/internal/net/loop"
	"brackendale/internal/net/partial"

	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

const (
	// readBufferSize is how much the engine reads at a time, in bytes.
	readBufferSize = 32 << 10
	// maxUnread bounds the bytes that were read and not handled yet, over all connections.
	maxUnread = 4 << 20
	// readsBeforeYield is the number of reads after which the engine's goroutine yields its processor.
	readsBeforeYield = 32
	// stopLimit bounds the wait for the engine's end.
	stopLimit = 300 * time.Millisecond
)

// Handler receives the events of one connection, always on the loop's goroutine.
type Handler interface {
	// Up is called once when the connection is established.
	Up(conn *Conn)
	// Data receives bytes, which are the handler's until it returns.
	Data(conn *Conn, received []byte)
	// Down is called once when the connection has ended, also by Close.
	Down(conn *Conn, err error)
}

// Reactor owns the engine and its connections.
type Reactor struct {
	*loop.Loop

	// Refused, if it is set before the first connection, is called for failed handshakes, on the loop's goroutine.
	Refused func(*HandshakeError)

	engine  *nbio.Engine
	barrier *pollerBarrier

	unread     atomic.Int64 // bytes read and not handled yet
	room       sync.Cond    // signaled when unread falls to maxUnread; its lock also guards the sockets' sessions
	readsInRow int          // for the engine's goroutine

	unsent         atomic.Int64 // bytes written and not yet taken by the sockets
	maxUnsentTotal int64        // bound of unsent

	// For the loop's goroutine.
	rejecting    int // newcomers that are being rejected with a reply
	finishing    int // connections that are being closed gracefully
	maxFinishing int // bound of finishing
}

// New starts an engine whose handlers run on a loop. maxUnsentTotal bounds the bytes that wait unwritten on all
// connections together: above it, a connection that holds more than fairUnsent of them is closed when it is
// written to.
func New(owner *loop.Loop, maxUnsentTotal int64) (*Reactor, error) {
	logging.SetLevel(logging.LevelNone)
	r := &Reactor{
		Loop:           owner,
		maxUnsentTotal: maxUnsentTotal,
		room:           sync.Cond{L: &sync.Mutex{}},
		maxFinishing:   maxGracefulCloses,
	}
	r.engine = nbio.NewEngine(nbio.Config{
		NPoller:            1,
		ReadBufferSize:     readBufferSize,
		MaxWriteBufferSize: maxUnsent,
	})
	r.engine.OnData(r.onData)
	r.engine.OnReadBufferAlloc(r.onReadBegin)
	r.engine.OnReadBufferFree(r.onReadEnd)
	r.engine.OnClose(r.onClose)
	r.engine.OnWrittenSize(r.onWritten)
	if err := r.engine.Start(); err != nil {
		return nil, fmt.Errorf("starting the socket engine: %w", err)
	}
	var err error
	if r.barrier, err = newPollerBarrier(r); err != nil {
		r.Stop()
		return nil, err
	}
	return r, nil
}

// Stop closes the engine and all of its connections. Its wait is bounded: the engine overlooks a connection that
// joins while it stops, and would wait for it without end.
func (r *Reactor) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopLimit)
	defer cancel()
	defer r.barrier.stop()
	_ = r.engine.Shutdown(ctx) // sockets that are still open are closed with the process
}

// onReadBegin runs on the engine's goroutine, before a socket is read.
func (r *Reactor) onReadBegin(socket *nbio.Conn) *[]byte {
	r.room.L.Lock() // as attach does: what the loop has made of the connection is visible here
	c, ok := socket.Session().(*Conn)
	r.room.L.Unlock()
	if ok {
		c.pendingReads.Add(1)
		c.reading.Store(true)
	}
	return r.engine.PollerBufferPtr(socket)
}

// onReadEnd runs on the engine's goroutine, once what was read is enqueued.
func (r *Reactor) onReadEnd(socket *nbio.Conn, _ *[]byte) {
	if c, ok := socket.Session().(*Conn); ok {
		c.reading.Store(false)
		c.pendingReads.Add(-1)
	}
}

// onClose runs on the engine's goroutine.
func (r *Reactor) onClose(socket *nbio.Conn, err error) {
	if c, ok := socket.Session().(*Conn); ok {
		r.Read(loop.Func(func() { c.end(err) })) // after what the peer has sent
	}
}

// onWritten runs on the goroutine that wrote: the engine's, or the loop's.
func (r *Reactor) onWritten(socket *nbio.Conn, _ []byte, size int) {
	c, ok := socket.Session().(*Conn)
	if !ok {
		return
	}
	c.written.Add(int64(size))
	r.unsent.Add(-int64(size))
	if c.awaitsDrain.CompareAndSwap(true, false) {
		r.Read(loop.Func(c.drained))
	}
}

// onData runs on the engine's goroutine. It waits there while too much is unread, which stops reading.
func (r *Reactor) onData(socket *nbio.Conn, received []byte) {
	c, ok := socket.Session().(*Conn)
	if !ok {
		if barrier, isBarrier := socket.Session().(*pollerBarrier); isBarrier {
			barrier.reached()
		}
		return
	}
	if injected := fault(CallRead, func() string { return socket.RemoteAddr().String() }); injected != nil &&
		injected.Errno != 0 {
		defer func() { _ = socket.CloseWithError(injected.Errno) }()
		if received = received[:min(injected.After, len(received))]; len(received) == 0 {
			return
		}
	}
	own := append(partial.Get(len(received)), received...)
	c.pendingBytes.Add(int32(len(received)))
	c.pendingReads.Add(1) // before a wait for room: the bytes have left the socket already
	r.room.L.Lock()
	for r.unread.Load() > maxUnread {
		r.room.Wait()
	}
	r.room.L.Unlock()
	r.unread.Add(int64(cap(own)))
	task, _ := readPool.Get().(*read)
	task.conn, task.bytes = c, own
	r.Read(task)
	if r.readsInRow++; r.readsInRow%readsBeforeYield == 0 {
		runtime.Gosched() // many peers that send at once would keep one processor's other goroutines waiting
	}
}

// read is the loop's task for the bytes of one read.
type read struct {
	conn  *Conn
	bytes []byte
}

var readPool = sync.Pool{New: func() any { return new(read) }}

// Do gives the bytes to the connection's handler and returns their buffer.
func (task *read) Do() {
	c, received := task.conn, task.bytes
	task.conn, task.bytes = nil, nil
	readPool.Put(task)
	r := c.reactor
	if before := r.unread.Add(-int64(cap(received))) + int64(cap(received)); before > maxUnread {
		r.room.L.Lock()
		r.room.Signal()
		r.room.L.Unlock()
	}
	c.pendingReads.Add(-1)
	if !c.Dead() && c.layer != nil { // what comes during a graceful close is ignored
		c.layer.feed(received)
	} else if !c.Dead() {
		c.handler.Data(c, received)
	}
	c.pendingBytes.Add(-int32(len(received)))
	c.beforeMark = max(0, c.beforeMark-int32(len(received)))
	partial.Put(received)
}
