package reactor

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime"
	"sync"
	"time"

	"brackendale/internal/failpoint"
	"brackendale/internal/net/partial"
)

const (
	// maxHandshake bounds the unread bytes of a peer during a handshake.
	maxHandshake = 128 << 10
	// plainBuffer is the size of the buffer for decrypted bytes: one TLS record.
	plainBuffer = 16 << 10
	// remoteError is the Op of the net.OpError in which crypto/tls reports a peer's alert.
	remoteError = "remote error"
)

// HandshakeError is the error of a failed handshake, or of a peer's alert about this side's certificate after the
// handshake.
type HandshakeError struct {
	Peer string // the peer's address
	Err  error
}

// Error returns a text with the peer's address and the cause.
func (e *HandshakeError) Error() string { return "tls with " + e.Peer + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *HandshakeError) Unwrap() error { return e.Err }

// tlsLayer is TLS on one connection: crypto/tls over the engine's reads and writes. Only the handshake has a goroutine
// of its own, which waits for the peer. After the handshake, the loop's goroutine reads: if nothing has arrived, the
// transport returns errAgain, which crypto/tls treats as temporary, keeping a partial record for the next read.
type tlsLayer struct {
	conn           *Conn
	tls            *tls.Conn
	handshakeEnded bool  // the handshake has succeeded or failed; used on the loop's goroutine, as the next two
	established    bool  // the handshake has succeeded
	endError       error // the reason for the connection's end, while Down waits for the result

	// Shared with the handshake's goroutine while handshaking.
	mu          sync.Mutex
	arrived     sync.Cond
	received    []byte // ciphertext that crypto/tls has not read yet
	err         error  // not nil: the connection has ended
	handshaking bool
	waiting     bool // the handshake waits for its peer
}

// errAgain is the transport's temporary error when nothing has arrived.
type errAgain struct{}

func (errAgain) Error() string   { return "nothing more has come" }
func (errAgain) Timeout() bool   { return false }
func (errAgain) Temporary() bool { return true }

// handshakeSlots bounds the handshakes that compute at the same time, so that many new connections leave processors to
// the open ones. A handshake that waits for its peer holds no slot, so that unresponsive peers do not delay others.
var handshakeSlots = make(chan struct{}, max(1, runtime.GOMAXPROCS(0)/2))

// startTLS starts the handshake of a connection whose socket is open.
func (c *Conn) startTLS(cfg *tls.Config, server bool) {
	l := &tlsLayer{conn: c, handshaking: true}
	l.arrived.L = &l.mu
	if server {
		l.tls = tls.Server(transport{l}, cfg)
	} else {
		l.tls = tls.Client(transport{l}, cfg)
	}
	c.layer = l
	go func() {
		handshakeSlots <- struct{}{}
		err := l.tls.HandshakeContext(context.Background())
		<-handshakeSlots
		failpoint.Reach(failpoint.HandshakeComputed)
		c.reactor.Post(func() { l.handshakeDone(err) })
	}()
}

// handshakeDone handles the result of the handshake, on the loop's goroutine.
func (l *tlsLayer) handshakeDone(err error) {
	c := l.conn
	l.handshakeEnded = true
	hasEnded := c.state == awaitingHandshake
	switch {
	case hasEnded && (err == nil && c.closedHere || isConnectionEnd(err)):
		c.finalize(l.endError)
	case hasEnded && err != nil:
		c.finalize(err)
	case err != nil:
		c.fail(err)
	default: // if the peer has closed in the meantime, decrypt reads its end after the bytes before it
		l.establish()
	}
}

// isConnectionEnd reports whether a handshake has failed only because its connection has ended.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed)
}

// establish opens the connection after a successful handshake.
func (l *tlsLayer) establish() {
	c := l.conn
	l.mu.Lock()
	l.handshaking = false
	l.mu.Unlock()
	l.established = true
	c.state = open
	c.handler.Up(c)
	if !c.IsClosing() {
		l.decrypt()
	}
}

// feed receives the ciphertext that the engine has read.
func (l *tlsLayer) feed(ciphertext []byte) {
	if l.established {
		l.received = append(l.received, ciphertext...)
		l.decrypt()
		return
	}
	l.mu.Lock()
	full := len(l.received)+len(ciphertext) > maxHandshake
	if !full {
		l.received = append(l.received, ciphertext...)
		l.waiting = false
	}
	l.mu.Unlock()
	if full {
		l.conn.fail(errors.New("the peer sent too many bytes during the handshake"))
		return
	}
	l.arrived.Signal()
}

// decrypt passes to the handler all bytes that can be decrypted.
func (l *tlsLayer) decrypt() {
	c := l.conn
	buf := partial.Get(plainBuffer)
	buf = buf[:cap(buf)]
	defer func() { partial.Put(buf[:0]) }()
	for !c.IsClosing() {
		n, err := l.tls.Read(buf)
		if n > 0 {
			c.handler.Data(c, buf[:n])
		}
		if err == nil {
			continue
		}
		if c.IsClosing() || errors.As(err, &errAgain{}) {
			return
		}
		var alert *net.OpError // a peer may reject this side's certificate after its own handshake is complete
		if errors.As(err, &alert) && alert.Op == remoteError {
			err = c.handshakeFailed(err)
		} else if l.endError != nil && isConnectionEnd(err) {
			err = l.endError
		}
		c.fail(err)
		return
	}
}

// isComputing reports whether the handshake is still processing what the peer has sent.
func (l *tlsLayer) isComputing() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.handshaking && !l.waiting
}

// wakeHandshake ends the handshake's goroutine, whose next read fails.
func (l *tlsLayer) wakeHandshake(err error) {
	l.mu.Lock()
	l.err = err
	l.mu.Unlock()
	l.arrived.Broadcast()
}

// handshakeFailed wraps the error of a handshake and reports it to Reactor.OnHandshakeError.
func (c *Conn) handshakeFailed(err error) error {
	peer := "unknown"
	if socket := c.socket.Load(); socket != nil && socket.RemoteAddr() != nil {
		peer = socket.RemoteAddr().String()
	}
	failed := &HandshakeError{Peer: peer, Err: err}
	if c.reactor.OnHandshakeError != nil {
		c.reactor.OnHandshakeError(failed)
	}
	return failed
}

// fail closes the connection from this side; Down receives the error.
func (c *Conn) fail(err error) {
	c.closedHere = true
	if socket := c.socket.Load(); socket != nil {
		c.closeSocket(socket)
	}
	c.end(err)
}

// IsTLS reports whether the connection uses TLS, or will once it is established.
func (c *Conn) IsTLS() bool { return c.layer != nil || c.wantsTLS }

// PeerCertificate returns the verified certificate of the peer, or nil if there is none.
func (c *Conn) PeerCertificate() *x509.Certificate {
	if c.layer == nil || !c.layer.established {
		return nil
	}
	if state := c.layer.tls.ConnectionState(); len(state.VerifiedChains) > 0 {
		return state.PeerCertificates[0]
	}
	return nil
}

// encrypt writes the pieces to the TLS connection in one call.
func (l *tlsLayer) encrypt(pieces [][]byte) error {
	if !l.established {
		return net.ErrClosed // nothing can be written before the handshake is complete
	}
	out := pieces[0]
	if len(pieces) > 1 {
		total := 0
		for _, piece := range pieces {
			total += len(piece)
		}
		out = partial.Get(total)
		for _, piece := range pieces {
			out = append(out, piece...)
		}
		defer partial.Put(out)
	}
	if _, err := l.tls.Write(out); err != nil {
		return fmt.Errorf("writing under tls: %w", err)
	}
	return nil
}

// closeNotify sends the close_notify alert, by which the peer distinguishes a regular end from a truncated connection.
func (l *tlsLayer) closeNotify() {
	if l.established {
		_ = l.tls.CloseWrite() // if the connection is already closed, no alert is needed
	}
}

// transport is the net.Conn below crypto/tls.
type transport struct{ layer *tlsLayer }

// Read returns ciphertext that has arrived. During the handshake it waits for some.
func (t transport) Read(buf []byte) (int, error) {
	l := t.layer
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.received) == 0 {
		switch {
		case l.err != nil && l.handshaking:
			return 0, io.ErrUnexpectedEOF
		case l.err != nil:
			return 0, io.EOF
		case !l.handshaking:
			return 0, errAgain{}
		}
		<-handshakeSlots // another handshake may compute while this one waits
		l.waiting = true
		l.arrived.Wait()
		l.waiting = false
		l.mu.Unlock()
		handshakeSlots <- struct{}{}
		l.mu.Lock()
	}
	n := copy(buf, l.received)
	if l.received = l.received[n:]; len(l.received) == 0 {
		l.received = nil
	}
	return n, nil
}

// Write passes ciphertext to the engine, on the loop's goroutine.
func (t transport) Write(ciphertext []byte) (int, error) {
	c := t.layer.conn
	t.layer.mu.Lock()
	handshaking, err := t.layer.handshaking, t.layer.err
	t.layer.mu.Unlock()
	if err != nil && handshaking {
		return len(ciphertext), nil // the result depends only on what the peer had sent
	}
	if err != nil {
		return 0, net.ErrClosed
	}
	if handshaking {
		own := append([]byte(nil), ciphertext...)
		c.reactor.Post(func() {
			if !c.IsClosing() {
				_ = c.writeRaw(own) // the engine reports a failed connection
			}
		})
		return len(ciphertext), nil
	}
	if err := c.writeRaw(ciphertext); err != nil {
		return 0, err
	}
	return len(ciphertext), nil
}

func (t transport) Close() error                     { return nil }
func (t transport) LocalAddr() net.Addr              { return nil }
func (t transport) RemoteAddr() net.Addr             { return nil }
func (t transport) SetDeadline(time.Time) error      { return nil }
func (t transport) SetReadDeadline(time.Time) error  { return nil }
func (t transport) SetWriteDeadline(time.Time) error { return nil }
