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

// maxUnhandled bounds the connections of one listener that are accepted and have no handler yet: until then no
// connection table counts them, and many newcomers at once could take the descriptors that the dialing side needs.
const maxUnhandled = 16

// Listener accepts connections. It has its own accept loop, since the engine's ends for good when descriptors run out
// for a moment. Any goroutine may call its methods, except where one says otherwise.
type Listener struct {
	net.Listener
	reactor   *Reactor
	inherited bool                // other processes hold its socket, too
	accept    func(*Conn) Handler // runs on the loop's goroutine
	rejection []byte              // the reply without a descriptor; nil: none
	tls       *tls.Config         // nil: plain

	acceptRate atomic.Int64 // newcomers per second; 0: any number

	mu     sync.Mutex
	pauses chan chan struct{} // pauses for serve, each closed to continue
	paused chan struct{}      // the pause in force; nil: none

	finished bool // no newcomer is on the way to its handler any more; for the loop's goroutine

	// For serve's goroutine.
	spare    *os.File // a descriptor in reserve for a reply when there is no other
	failures int      // failed accepts in a row
}

// Listen accepts connections; accept returns the handler of each, or nil to close it. rejection, if not nil, is the
// reply to a newcomer for whom this process or machine has no descriptor left.
func (r *Reactor) Listen(network, addr string, rejection []byte, accept func(*Conn) Handler) (*Listener, error) {
	return r.listen(network, addr, rejection, nil, accept)
}

// ListenTLS accepts connections whose Up is called after the handshake. A certificate may be changed by the
// configuration's own callbacks.
func (r *Reactor) ListenTLS(network, addr string, cfg *tls.Config, accept func(*Conn) Handler) (*Listener, error) {
	return r.listen(network, addr, nil, cfg, accept)
}

func (r *Reactor) listen(network, addr string, rejection []byte, cfg *tls.Config,
	accept func(*Conn) Handler,
) (*Listener, error) {
	if err := faultError(CallListen, addr); err != nil {
		return nil, fmt.Errorf("listening on %s: %w", addr, err)
	}
	config := net.ListenConfig{KeepAlive: -1} // the protocols detect dead idle clients, or nobody does
	listener, err := config.Listen(context.Background(), network, addr)
	if err != nil {
		return nil, fmt.Errorf("listening on %s: %w", addr, err)
	}
	return r.start(&Listener{Listener: listener, rejection: rejection, tls: cfg, accept: accept}), nil
}

// start starts a listener's accept loop.
func (r *Reactor) start(l *Listener) *Listener {
	l.reactor = r
	l.pauses = make(chan chan struct{}, 1)
	l.reserveSpare()
	go l.serve()
	return l
}

// deadliner is a listener whose Accept can be interrupted.
type deadliner interface {
	SetDeadline(deadline time.Time) error
}

// Pause stops accepting until Resume or Close: newcomers wait in the backlog, where another process may accept them.
// A connection that was accepted just before is still handled.
func (l *Listener) Pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	listener, ok := l.Listener.(deadliner)
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
		if listener, ok := l.Listener.(deadliner); ok {
			_ = listener.SetDeadline(time.Time{})
		}
		select {
		case <-l.pauses: // serve has not seen it
		default:
		}
		close(l.paused)
		l.paused = nil
	}
}

// Close stops accepting for good. The close of an inherited socket waits for the accept in progress, which other
// processes can make a blocking one: it goes on in the background.
func (l *Listener) Close() error {
	if l.inherited {
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

// Finished tells whether accepting has ended for good and each newcomer was given its handler. Only for the loop's
// goroutine.
func (l *Listener) Finished() bool { return l.finished }

// SetRate bounds the newcomers per second; 0 is no bound. Those above it wait in the listener's backlog.
func (l *Listener) SetRate(perSecond int) { l.acceptRate.Store(int64(perSecond)) }

// serve is the accept loop; it ends with Close.
func (l *Listener) serve() {
	unhandled := make(chan struct{}, maxUnhandled)
	var pace pacer
	for {
		unhandled <- struct{}{}
		if rate := l.acceptRate.Load(); rate > 0 {
			time.Sleep(pace.wait(l.reactor.Now(), int(rate)))
		}
		plain, err := l.acceptPlain()
		switch {
		case errors.Is(err, net.ErrClosed):
			l.releaseSpare()
			l.reactor.Post(func() { l.finished = true }) // behind the newcomers
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
		socket, err := nbio.NBConn(plain)
		if err != nil {
			<-unhandled
			_ = plain.Close() // nbio closes it only once it has taken it over
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

// acceptPlain accepts one newcomer. While a test injects a fault, newcomers wait in the backlog.
func (l *Listener) acceptPlain() (net.Conn, error) {
	if injected := fault(CallAccept, l.Addr().String); injected != nil && injected.Errno != 0 {
		return nil, injected.Errno
	}
	return l.Accept()
}

// awaitResume waits for the end of a pause, if the interrupted accept was due to one and not to replyWithSpare.
func (l *Listener) awaitResume() {
	select {
	case resumed := <-l.pauses:
		<-resumed
	default:
	}
}

// handle gives a newcomer its handler, on the loop's goroutine.
func (l *Listener) handle(socket *nbio.Conn) {
	c := &Conn{reactor: l.reactor, wantsTLS: l.tls != nil}
	c.socket.Store(socket)
	if c.handler = l.accept(c); c.handler == nil {
		_ = socket.Close()
		return
	}
	c.established(socket, nil, l.tls, true)
}
