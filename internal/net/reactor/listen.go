package reactor

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"brackendale/internal/failpoint"

	"github.com/lesismal/nbio"
)

// maxUnhandledConns bounds the connections of one listener that are accepted and have no handler yet. No connection
// table counts them until then, and many connections at once could use up the descriptors that the dialing side needs.
const maxUnhandledConns = 16

// Listener accepts connections. It has its own accept loop, because the engine's ends permanently when file descriptors
// run out for a short time. Its methods are safe for concurrent use unless noted otherwise.
type Listener struct {
	net.Listener
	reactor   *Reactor
	accept    func(*Conn) Handler // runs on the loop's goroutine
	rejection []byte              // the reply to a client when descriptors have run out; nil: none
	tls       *tls.Config         // nil: no TLS

	acceptRate atomic.Int64 // new connections per second; 0: no limit

	mu        sync.Mutex
	inherited bool               // other processes have the socket open, too
	pauses    chan chan struct{} // a pause for serve, which waits until the inner channel is closed
	paused    chan struct{}      // the current pause; nil: none

	finished bool // accepting has ended and every connection has its handler; used on the loop's goroutine

	// Used on serve's goroutine.
	spare    *os.File // a descriptor reserved for replying when no other is left
	failures int      // consecutive failed accepts
}

// Socket is a listening socket on which nothing is accepted yet: clients wait in its backlog.
type Socket struct {
	listener    net.Listener
	inherited   bool // other processes have the socket open, too
	startPaused bool
}

// Bind opens a listening socket.
func Bind(network, addr string) (*Socket, error) {
	if err := faultError(CallListen, addr); err != nil {
		return nil, fmt.Errorf("listening on %s: %w", addr, err)
	}
	config := net.ListenConfig{KeepAlive: -1} // the protocols detect idle clients that are gone, if anything does
	listener, err := config.Listen(context.Background(), network, addr)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", addr, err)
	}
	return &Socket{listener: listener}, nil
}

// StartPaused makes the listener of this socket start in a pause, which Resume ends.
func (s *Socket) StartPaused() { s.startPaused = true }

// Close closes the socket. It must not be called after Serve.
func (s *Socket) Close() error { return s.listener.Close() }

// Listen accepts connections; accept returns the handler of each, or nil to close it. rejection, if not nil, is the
// reply to a client when this process or machine has no file descriptor left for its connection.
func (r *Reactor) Listen(network, addr string, rejection []byte, accept func(*Conn) Handler) (*Listener, error) {
	socket, err := Bind(network, addr)
	if err != nil {
		return nil, err
	}
	return r.Serve(socket, rejection, accept), nil
}

// ListenTLS accepts connections under TLS; Up is called after the handshake. The callbacks of cfg may be used to change
// certificates.
func (r *Reactor) ListenTLS(network, addr string, cfg *tls.Config, accept func(*Conn) Handler) (*Listener, error) {
	socket, err := Bind(network, addr)
	if err != nil {
		return nil, err
	}
	return r.ServeTLS(socket, cfg, accept), nil
}

// Serve accepts connections on a socket, as Listen does.
func (r *Reactor) Serve(socket *Socket, rejection []byte, accept func(*Conn) Handler) *Listener {
	return r.start(socket, &Listener{rejection: rejection, accept: accept})
}

// ServeTLS accepts connections under TLS on a socket, as ListenTLS does.
func (r *Reactor) ServeTLS(socket *Socket, cfg *tls.Config, accept func(*Conn) Handler) *Listener {
	return r.start(socket, &Listener{tls: cfg, accept: accept})
}

// start completes a listener and starts its accept loop.
func (r *Reactor) start(socket *Socket, started *Listener) *Listener {
	started.Listener, started.inherited = socket.listener, socket.inherited
	started.reactor = r
	started.pauses = make(chan chan struct{}, 1)
	started.reserveSpare()
	if socket.startPaused {
		started.Pause()
	}
	go started.serve()
	return started
}

// deadlineSetter is a listener whose Accept can be interrupted.
type deadlineSetter interface {
	SetDeadline(deadline time.Time) error
}

// Pause stops accepting until Resume or Close: new connections wait in the backlog, where another process may accept
// them. A connection that was accepted just before is still handled.
func (l *Listener) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	listener, ok := l.Listener.(deadlineSetter)
	if !ok || l.paused != nil {
		return
	}
	l.paused = make(chan struct{})
	l.pauses <- l.paused
	_ = listener.SetDeadline(time.Now())
}

// Resume ends a pause.
func (l *Listener) Resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.paused != nil {
		if listener, ok := l.Listener.(deadlineSetter); ok {
			_ = listener.SetDeadline(time.Time{})
		}
		select {
		case <-l.pauses: // serve has not received the pause
		default:
		}
		close(l.paused)
		l.paused = nil
	}
}

// Close stops accepting permanently. The close of an inherited socket waits for the accept in progress, which can block
// if another process has changed the socket's mode, so it continues in the background.
func (l *Listener) Close() error {
	l.mu.Lock()
	inherited := l.inherited
	l.mu.Unlock()
	if inherited {
		go func() { _ = l.closeAndWait() }()
		return nil
	}
	return l.closeAndWait()
}

func (l *Listener) closeAndWait() error {
	err := l.Listener.Close()
	l.Resume()
	return err
}

// Finished reports whether accepting has ended and every accepted connection has its handler. It must be called on the
// loop's goroutine.
func (l *Listener) Finished() bool { return l.finished }

// SetRate limits the new connections per second; 0 means no limit. Connections above it wait in the listener's backlog.
func (l *Listener) SetRate(perSecond int) { l.acceptRate.Store(int64(perSecond)) }

// serve is the accept loop; it ends with Close.
func (l *Listener) serve() {
	unhandled := make(chan struct{}, maxUnhandledConns)
	var pace pacer
	for {
		unhandled <- struct{}{}
		if rate := l.acceptRate.Load(); rate > 0 {
			time.Sleep(pace.wait(l.reactor.Now(), int(rate)))
		}
		netConn, err := l.acceptConn()
		switch {
		case errors.Is(err, net.ErrClosed):
			l.releaseSpare()
			l.reactor.Post(func() { l.finished = true }) // behind the connections that were accepted before
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			<-unhandled
			l.awaitResume()
			continue
		case err != nil:
			<-unhandled
			l.acceptFailed(err)
			continue
		}
		l.failures = 0
		socket, err := nbio.NBConn(netConn)
		if err != nil {
			<-unhandled
			_ = netConn.Close() // nbio closes only connections that it has taken over
			l.acceptFailed(err)
			continue
		}
		failpoint.Reach(failpoint.ConnectionAccepted)
		l.reactor.Post(func() {
			<-unhandled
			l.handle(socket)
		})
	}
}

// acceptConn accepts one connection. While a test injects a fault, connections wait in the backlog.
func (l *Listener) acceptConn() (net.Conn, error) {
	if injected := fault(CallAccept, l.Addr().String); injected != nil && injected.Errno != 0 {
		return nil, injected.Errno
	}
	return l.Accept()
}

// awaitResume waits for the end of a pause, if a pause and not replyWithSpare interrupted the accept.
func (l *Listener) awaitResume() {
	select {
	case resumed := <-l.pauses:
		<-resumed
	default:
	}
}

// handle assigns the handler of a new connection, on the loop's goroutine.
func (l *Listener) handle(socket *nbio.Conn) {
	c := &Conn{reactor: l.reactor, wantsTLS: l.tls != nil}
	c.socket.Store(socket)
	if c.handler = l.accept(c); c.handler == nil {
		_ = socket.Close()
		return
	}
	c.established(socket, nil, l.tls, true)
}
