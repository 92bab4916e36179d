package reactor

import (
	"bytes"
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"brackendale/internal/certs"
	"brackendale/internal/net/loop"
	"brackendale/internal/testing/testkit"
)

const testTimeout = 20 * time.Second // ends a test that hangs

// tlsReactor is a reactor with the TLS configurations of both sides.
type tlsReactor struct {
	r              *Reactor
	server, client *tls.Config
	refused        atomic.Int32
}

func newTLSReactor(t testing.TB) *tlsReactor {
	t.Helper()
	site, err := certs.CreateAuthority(t.TempDir(), "site", 10, time.Now)
	if err != nil {
		t.Fatal(err)
	}
	f, err := site.IssueServer([]string{"127.0.0.1"}, 10)
	if err != nil {
		t.Fatal(err)
	}
	user, err := site.IssueClient("lab", 10)
	if err != nil {
		t.Fatal(err)
	}
	p := &tlsReactor{}
	if p.server, err = certs.ServerConfig(f, true, time.Now); err != nil {
		t.Fatal(err)
	}
	if p.client, err = certs.ClientConfig(user, "127.0.0.1", time.Now); err != nil {
		t.Fatal(err)
	}
	l := loop.New()
	if p.r, err = New(l, 8<<20); err != nil {
		t.Fatal(err)
	}
	p.r.OnHandshakeError = func(*HandshakeError) { p.refused.Add(1) }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { l.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done; p.r.Stop() })
	return p
}

// echo is a handler that sends back what it receives.
type echo struct {
	peerName string // the common name of the peer's certificate
	down     chan error
}

func (e *echo) Up(*Conn) {}
func (e *echo) Data(c *Conn, b []byte) {
	if p := c.PeerCertificate(); p != nil {
		e.peerName = p.Subject.CommonName
	}
	if err := c.Write(b[:len(b)/2], b[len(b)/2:]); err != nil {
		c.Close()
	}
}
func (e *echo) Down(_ *Conn, err error) { e.down <- err }

// requester is a handler that sends a request once the connection is up, and collects the replies.
type requester struct {
	request []byte
	replies chan []byte
	down    chan error
}

func (e *requester) Up(c *Conn)             { _ = c.Write(e.request) }
func (e *requester) Data(_ *Conn, b []byte) { e.replies <- bytes.Clone(b) }
func (e *requester) Down(_ *Conn, err error) {
	e.down <- err
}

func (p *tlsReactor) listen(t testing.TB) (string, *echo) {
	t.Helper()
	e := &echo{down: make(chan error, 10_000)}
	ln, err := p.r.ListenTLS("tcp", "127.0.0.1:0", p.server, func(*Conn) Handler { return e })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String(), e
}

// Many records from a client of the standard library are echoed completely, and its close_notify is distinguished from
// a truncated connection.
func TestTLSEcho(t *testing.T) {
	p := newTLSReactor(t)
	addr, e := p.listen(t)
	c, err := tls.Dial("tcp", addr, p.client)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(testTimeout))
	request := bytes.Repeat([]byte("0123456789abcdef"), 64<<10/16)
	go func() { _, _ = c.Write(request) }()
	got := make([]byte, len(request))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, request) {
		t.Fatal(err)
	}
	_ = c.CloseWrite()
	if err := <-e.down; !errors.Is(err, io.EOF) || e.peerName != "lab" {
		t.Fatal(err, e.peerName)
	}
	if n, err := c.Read(got); n != 0 || err == nil {
		t.Fatal(n, err)
	}
}

// The reactor's dialing side connects to the reactor's listener.
func TestTLSDial(t *testing.T) {
	p := newTLSReactor(t)
	addr, _ := p.listen(t)
	d := &requester{request: bytes.Repeat([]byte("x"), 40<<10), replies: make(chan []byte, 100), down: make(chan error, 1)}
	var conn *Conn
	p.r.Post(func() { conn = p.r.DialTLS(addr, testTimeout, p.client, d) })
	for n := 0; n < len(d.request); {
		n += len(<-d.replies)
	}
	p.r.Post(func() { conn.Close() })
	<-d.down
	wrong := p.client.Clone()
	wrong.ServerName = "elsewhere"
	p.r.Post(func() { p.r.DialTLS(addr, testTimeout, wrong, d) })
	var failed *HandshakeError
	if err := <-d.down; !errors.As(err, &failed) {
		t.Fatal(err)
	}
	if reason, here := certs.Explain(failed); reason != "the peer's certificate is for another name" || !here {
		t.Fatal(reason)
	}
}

// A handshake that is truncated at any of its bytes, on either side, ends only that connection, and a peer that sends
// nothing or another protocol does not delay others.
func TestHandshakeTruncatedAtEveryByte(t *testing.T) {
	p := newTLSReactor(t)
	addr, e := p.listen(t)
	unresponsive, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	plain, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = plain.Write([]byte("AMQP\x00\x00\x09\x01"))
	<-e.down
	// First the client's bytes to a server, then the server's to a client, are truncated after each number of bytes.
	ends := 0
	for cut := 0; ; cut++ {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		wire := &truncatingConn{Conn: c, remaining: cut}
		tc := tls.Client(wire, p.client)
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		whole := tc.Handshake() == nil && !wire.cut
		_ = c.Close()
		<-e.down
		if ends++; whole {
			break
		}
	}
	if int(p.refused.Load()) < ends-1 || ends < 300 {
		t.Fatal(ends, p.refused.Load())
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	cuts := make(chan int, 1)
	go func() {
		for cut := range cuts {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			wire := &truncatingConn{Conn: c, remaining: cut}
			_ = tls.Server(wire, p.server).Handshake()
			_ = c.Close()
		}
	}()
	d := &requester{replies: make(chan []byte, 1), down: make(chan error, 1)}
	for cut := 0; cut < 1200; cut += 7 {
		cuts <- cut
		p.r.Post(func() { p.r.DialTLS(ln.Addr().String(), testTimeout, p.client, d) })
		if err := <-d.down; err == nil {
			t.Fatal(cut)
		}
	}
	close(cuts)
	c, err := tls.Dial("tcp", addr, p.client) // the listener still accepts connections
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
}

// truncatingConn closes its connection once a number of bytes were written.
type truncatingConn struct {
	net.Conn
	remaining int  // bytes that may still be written
	cut       bool // a write was truncated
}

func (c *truncatingConn) Write(b []byte) (int, error) {
	n := min(len(b), c.remaining)
	c.remaining -= n
	if _, err := c.Conn.Write(b[:n]); err != nil || n < len(b) {
		c.cut = true
		_ = c.Close()
		return n, net.ErrClosed
	}
	return n, nil
}

// BenchmarkTLS measures consecutive handshakes with eight bytes in each direction, the heap that idle connections use,
// and an echo of 4 KiB writes; both ends are in this process.
func BenchmarkTLS(b *testing.B) {
	p := newTLSReactor(b)
	addr, _ := p.listen(b)
	dial := func() net.Conn {
		c, err := tls.Dial("tcp", addr, p.client)
		if err != nil {
			b.Fatal(err)
		}
		word := make([]byte, 8)
		_, _ = c.Write(word)
		if _, err := io.ReadFull(c, word); err != nil {
			b.Fatal(err)
		}
		return c
	}
	b.Run("handshake", func(b *testing.B) {
		for range b.N {
			_ = dial().Close()
		}
	})
	b.Run("heap", func(b *testing.B) {
		before := testkit.HeapBytes()
		var keep []net.Conn
		for range 400 {
			keep = append(keep, dial())
		}
		b.ReportMetric(float64(testkit.HeapBytes()-before)/400, "B/both-ends")
		runtime.KeepAlive(keep)
	})
	b.Run("echo", func(b *testing.B) {
		c := dial()
		b.SetBytes(4096)
		go func() {
			out := make([]byte, 4096)
			for range b.N {
				if _, err := c.Write(out); err != nil {
					return
				}
			}
		}()
		if _, err := io.CopyN(io.Discard, c, int64(b.N)*4096); err != nil {
			b.Fatal(err)
		}
	})
}
