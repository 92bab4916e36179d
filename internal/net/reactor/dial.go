package reactor

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/lesismal/nbio"
)

// Dial opens a connection; Up or Down is called no later than the timeout. The standard library connects, because the
// engine's own dialing takes an IPv4 address from the first four bytes of its sixteen-byte form, which are zeros, so
// that every connect went to this machine's first address. Dial must be called on the loop's goroutine.
func (r *Reactor) Dial(addr string, timeout time.Duration, handler Handler) *Conn {
	return r.dial("", addr, timeout, nil, handler)
}

// DialTLS opens a connection under TLS; Up is called once the handshake has succeeded. The timeout covers only the
// connect: the handler closes a connection whose handshake takes too long. DialTLS must be called on the loop's
// goroutine.
func (r *Reactor) DialTLS(addr string, timeout time.Duration, cfg *tls.Config, handler Handler) *Conn {
	return r.dial("", addr, timeout, cfg, handler)
}

// DialFrom opens a connection from one of this machine's addresses; an empty address leaves the choice to the system.
// DialFrom must be called on the loop's goroutine.
func (r *Reactor) DialFrom(localAddr, addr string, timeout time.Duration, handler Handler) *Conn {
	return r.dial(localAddr, addr, timeout, nil, handler)
}

func (r *Reactor) dial(localAddr, addr string, timeout time.Duration, cfg *tls.Config, handler Handler) *Conn {
	dialer := net.Dialer{KeepAlive: -1}
	if localAddr != "" {
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(localAddr)}
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	c := &Conn{reactor: r, handler: handler, cancelDial: cancel, wantsTLS: cfg != nil}
	go func() {
		socket, err := connect(ctx, &dialer, addr)
		cancel()
		r.Post(func() { c.established(socket, err, cfg, false) })
	}()
	return c
}

// connect opens a TCP connection and wraps it for the engine.
func connect(ctx context.Context, dialer *net.Dialer, addr string) (*nbio.Conn, error) {
	if err := faultError(CallConnect, addr); err != nil {
		return nil, err
	}
	netConn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	socket, err := nbio.NBConn(netConn)
	if err != nil {
		_ = netConn.Close()
		return nil, err
	}
	return socket, nil
}
