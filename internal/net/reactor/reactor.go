// Package reactor runs the program's sockets on one nbio engine. The engine's callbacks enqueue tasks on an event loop,
// so that handlers run on the loop's goroutine and need no locks.
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
	// readBufferSize is the size of the engine's reads, in bytes.
	readBufferSize = 32 << 10
	// maxUnhandledBytes bounds the bytes that were read and not handled yet, over all connections.
	maxUnhandledBytes = 4 << 20
	// readsBeforeYield is the number of reads after which the engine's goroutine yields its processor.
	readsBeforeYield = 32
	// stopTimeout bounds the wait for the engine to stop.
	stopTimeout = 300 * time.Millisecond
)

// Handler receives the events of one connection, always on the loop's goroutine.
type Handler interface {
	// Up is called once when the connection is established.
	Up(conn *Conn)
	// Data receives input. The slice is valid until Data returns.
	Data(conn *Conn, received []byte)
	// Down is called once when the connection has ended, also after Close.
	Down(conn *Conn, err error)
}

// Reactor owns the engine and its connections.
type Reactor struct {
	*loop.Loop

	// OnHandshakeError, if not nil, is called on the loop's goroutine for each failed handshake. It must be set before
	// the first connection.
	OnHandshakeError func(*HandshakeError)

	engine  *nbio.Engine
	poll    int // the engine's epoll descriptor; negative: unknown
	barrier *pollerBarrier

	unhandledBytes atomic.Int64 // bytes read and not handled yet
	belowLimit     sync.Cond    // signaled when unhandledBytes falls to its limit; its lock also guards socket sessions
	readsInRow     int          // used on the engine's goroutine

	unsent         atomic.Int64 // bytes passed to the engine and not yet written to the sockets
	maxUnsentTotal int64        // limit of unsent

	// Used on the loop's goroutine.
	rejecting    int // connections that are being rejected with a reply
	finishing    int // connections that are being closed gracefully
	maxFinishing int // limit of finishing
}

// New starts an engine whose handlers run on an event loop. maxUnsentTotal bounds the unsent bytes of all connections
// together: above it, writing to a connection that has more than fairUnsent of them fails, and the connection is to be
// closed.
func New(eventLoop *loop.Loop, maxUnsentTotal int64) (*Reactor, error) {
	logging.SetLevel(logging.LevelNone)
	r := &Reactor{
		Loop:           eventLoop,
		maxUnsentTotal: maxUnsentTotal,
		belowLimit:     sync.Cond{L: &sync.Mutex{}},
		maxFinishing:   maxGracefulCloses,
	}
	r.engine = nbio.NewEngine(nbio.Config{
		NPoller:            1,
		ReadBufferSize:     readBufferSize,
		MaxWriteBufferSize: maxUnsent,
	})
	r.engine.OnRead(r.onRead)
	r.engine.OnClose(r.onClose)
	r.engine.OnWrittenSize(r.onWritten)
	if err := r.engine.Start(); err != nil {
		return nil, fmt.Errorf("starting the socket engine: %w", err)
	}
	r.poll = pollDescriptor(r.engine)
	var err error
	if r.barrier, err = newPollerBarrier(r); err != nil {
		r.Stop()
		return nil, err
	}
	return r, nil
}

// Stop closes the engine and all of its connections. Its wait is bounded, because the engine misses a connection that
// is registered while it stops, and would wait for it forever.
func (r *Reactor) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	defer r.barrier.stop()
	_ = r.engine.Shutdown(ctx) // sockets that are still open are closed with the process
}

// onClose runs on a goroutine of the engine, when the descriptor may have been closed already.
func (r *Reactor) onClose(socket *nbio.Conn, err error) {
	c, ok := socket.Session().(*Conn)
	if !ok {
		return
	}
	r.PostRead(loop.Func(func() { // after the input that arrived before
		if c.keptOutput.Load() == nil { // otherwise halfClose follows, and the handler closes it
			c.end(err)
		}
	}))
}

// onWritten runs on the goroutine that wrote, which is the engine's or the loop's.
func (r *Reactor) onWritten(socket *nbio.Conn, _ []byte, size int) {
	c, ok := socket.Session().(*Conn)
	if !ok {
		return
	}
	c.written.Add(int64(size))
	r.unsent.Add(-int64(size))
	if c.flags.clear(flagAwaitsDrain) {
		r.PostRead(loop.Func(c.drained))
	}
}

// onData runs on the engine's goroutine. It blocks while too many bytes are unhandled, which stops the engine's reads.
func (r *Reactor) onData(socket *nbio.Conn, received []byte) {
	c, ok := socket.Session().(*Conn)
	if !ok {
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
	c.pendingReads.Add(1) // before a wait, because the bytes have been read from the socket already
	r.belowLimit.L.Lock()
	for r.unhandledBytes.Load() > maxUnhandledBytes {
		r.belowLimit.Wait()
	}
	r.belowLimit.L.Unlock()
	r.unhandledBytes.Add(int64(cap(own)))
	task, _ := readTaskPool.Get().(*readTask)
	task.conn, task.bytes = c, own
	r.PostRead(task)
	if r.readsInRow++; r.readsInRow%readsBeforeYield == 0 {
		runtime.Gosched() // many peers that send at once would otherwise delay the other goroutines of a processor
	}
}

// readTask is the loop's task for the bytes of one read.
type readTask struct {
	conn  *Conn
	bytes []byte
}

var readTaskPool = sync.Pool{New: func() any { return new(readTask) }}

// Do passes the bytes to the connection's handler and returns their buffer to its pool.
func (task *readTask) Do() {
	c, received := task.conn, task.bytes
	task.conn, task.bytes = nil, nil
	readTaskPool.Put(task)
	r := c.reactor
	if before := r.unhandledBytes.Add(-int64(cap(received))) + int64(cap(received)); before > maxUnhandledBytes {
		r.belowLimit.L.Lock()
		r.belowLimit.Signal()
		r.belowLimit.L.Unlock()
	}
	c.pendingReads.Add(-1)
	if !c.IsClosing() && c.layer != nil { // input during a graceful close is ignored
		c.layer.feed(received)
	} else if !c.IsClosing() {
		c.handler.Data(c, received)
	}
	c.pendingBytes.Add(-int32(len(received)))
	c.beforeMark = max(0, c.beforeMark-int32(len(received)))
	partial.Put(received)
}
