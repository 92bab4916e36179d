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

const long = 20 * time.Second // ends a hang

// pair is a reactor with the keys of both sides.
type pair struct {
	r              *Reactor
	server, client *tls.Config
	refused        atomic.Int32
}

func newPair(t testing.TB) *pair {
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
	p := &pair{}
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
	p.r.Refused = func(*HandshakeError) { p.refused.Add(1) }
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan bool)
	go func() { l.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done; p.r.Stop() })
	return p
}

// echo sends back what it hears.
type echo struct {
	who  string
	down chan error
}

func (e *echo) Up(*Conn) {}
func (e *echo) Data(c *Conn, b []byte) {
	if p := c.Peer(); p != nil {
		e.who = p.Subject.CommonName
	}
	if err := c.Write(b[:len(b)/2], b[len(b)/2:]); err != nil {
		c.Close()
	}
}
func (e *echo) Down(_ *Conn, err error) { e.down <- err }

// teller says something once the connection is up, and gathers what comes back.
type teller struct {
	say  []byte
	got  chan []byte
	down chan error
}

func (e *teller) Up(c *Conn)             { _ = c.Write(e.say) }
func (e *teller) Data(_ *Conn, b []byte) { e.got <- bytes.Clone(b) }
func (e *teller) Down(_ *Conn, err error) {
	e.down <- err
}

func (p *pair) listen(t testing.TB) (string, *echo) {
	t.Helper()
	e := &echo{down: make(chan error, 10_000)}
	ln, err := p.r.ListenTLS("tcp", "127.0.0.1:0", p.server, func(*Conn) Handler { return e })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String(), e
}

// What the standard library says over TLS comes back whole, many records of it, and its end is told apart from a cut.
func TestSecureEcho(t *testing.T) {
	p := newPair(t)
	addr, e := p.listen(t)
	c, err := tls.Dial("tcp", addr, p.client)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(long))
	say := bytes.Repeat([]byte("0123456789abcdef"), 64<<10/16)
	go func() { _, _ = c.Write(say) }()
	got := make([]byte, len(say))
	if _, err := io.ReadFull(c, got); err != nil || !bytes.Equal(got, say) {
		t.Fatal(err)
	}
	_ = c.CloseWrite()
	if err := <-e.down; !errors.Is(err, io.EOF) || e.who != "lab" {
		t.Fatal(err, e.who)
	}
	if n, err := c.Read(got); n != 0 || err == nil {
		t.Fatal(n, err)
	}
}

// Our own dialling side against our own listener.
func TestSecureDial(t *testing.T) {
	p := newPair(t)
	addr, _ := p.listen(t)
	d := &teller{say: bytes.Repeat([]byte("x"), 40<<10), got: make(chan []byte, 100), down: make(chan error, 1)}
	var conn *Conn
	p.r.Post(func() { conn = p.r.DialTLS(addr, long, p.client, d) })
	for n := 0; n < len(d.say); {
		n += len(<-d.got)
	}
	p.r.Post(func() { conn.Close() })
	<-d.down
	wrong := p.client.Clone()
	wrong.ServerName = "elsewhere"
	p.r.Post(func() { p.r.DialTLS(addr, long, wrong, d) })
	var he *HandshakeError
	if err := <-d.down; !errors.As(err, &he) {
		t.Fatal(err)
	}
	if why, ours := certs.Explain(he); why != "the peer's certificate is for another name" || !ours {
		t.Fatal(why)
	}
}

// A handshake that is cut at any of its bytes, on either side, ends that connection and nothing else, and a peer that
// says nothing or something else holds nobody up.
func TestHandshakeCutAtEveryByte(t *testing.T) {
	p := newPair(t)
	addr, e := p.listen(t)
	silent, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer silent.Close()
	plain, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = plain.Write([]byte("AMQP\x00\x00\x09\x01"))
	<-e.down
	// The client's flight that a server sees, and the server's that a client sees, each cut after so many bytes.
	ends := 0
	for cut := 0; ; cut++ {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		wire := &cutter{Conn: c, left: cut}
		tc := tls.Client(wire, p.client)
		_ = c.SetDeadline(time.Now().Add(long))
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
			wire := &cutter{Conn: c, left: cut}
			_ = tls.Server(wire, p.server).Handshake()
			_ = c.Close()
		}
	}()
	d := &teller{got: make(chan []byte, 1), down: make(chan error, 1)}
	for cut := 0; cut < 1200; cut += 7 {
		cuts <- cut
		p.r.Post(func() { p.r.DialTLS(ln.Addr().String(), long, p.client, d) })
		if err := <-d.down; err == nil {
			t.Fatal(cut)
		}
	}
	close(cuts)
	c, err := tls.Dial("tcp", addr, p.client) // it serves as before
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
}

// cutter ends a connection after so many bytes were written.
type cutter struct {
	net.Conn
	left int
	cut  bool
}

func (c *cutter) Write(b []byte) (int, error) {
	n := min(len(b), c.left)
	c.left -= n
	if _, err := c.Conn.Write(b[:n]); err != nil || n < len(b) {
		c.cut = true
		_ = c.Close()
		return n, net.ErrClosed
	}
	return n, nil
}

// BenchmarkSecure is handshakes one after another with a word each way, the heap of idle
// connections, and an echo of 4 KiB writes; both ends are here.
func BenchmarkSecure(b *testing.B) {
	p := newPair(b)
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
