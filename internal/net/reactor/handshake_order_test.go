package reactor

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"brackendale/internal/certs"
	"brackendale/internal/failpoint"
)

// recorder is a handler that records its calls.
type recorder struct {
	ups      int
	received []byte
	downs    chan error
}

func (r *recorder) Up(*Conn)                 { r.ups++ }
func (r *recorder) Data(_ *Conn, got []byte) { r.received = append(r.received, got...) }
func (r *recorder) Down(_ *Conn, err error)  { r.downs <- err }

// firstEvent is the event that the loop handles first: the result of a handshake, the peer's close, or the close by
// this side's handler, as after a timeout.
type firstEvent string

const (
	resultFirst firstEvent = "the result first"
	closeFirst  firstEvent = "the close first"
	ownClose    firstEvent = "a time-out first"
)

// delayResult delays the result of each handshake until the connection has ended on the loop, unless the result is to
// be handled first. conn holds the connection once it exists.
func (p *tlsReactor) delayResult(t *testing.T, first firstEvent, conn *atomic.Pointer[Conn]) {
	t.Helper()
	undo := failpoint.SetHook(func(point failpoint.Point) {
		if point != failpoint.HandshakeComputed || first == resultFirst {
			return
		}
		if first == ownClose {
			p.r.Post(func() { conn.Load().Close() })
		}
		for until, dead := time.Now().Add(testTimeout), false; !dead && time.Now().Before(until); {
			known := make(chan bool)
			p.r.Post(func() {
				c := conn.Load()
				dead = c != nil && c.IsClosing()
				close(known)
			})
			<-known
		}
	})
	t.Cleanup(undo)
}

// certificateFaults returns, by the expected reason, changes to a client's configuration with which it refuses its
// server's certificate.
func certificateFaults() map[string]func(client *tls.Config) {
	return map[string]func(*tls.Config){
		"the peer's certificate is for another name": func(c *tls.Config) { c.ServerName = "elsewhere" },
		"the peer's certificate has expired, or is not valid yet": func(c *tls.Config) {
			later := func() time.Time { return time.Now().Add(365 * 24 * time.Hour) }
			c.Time = later
			c.VerifyPeerCertificate, c.VerifyConnection = nil, nil
		},
		"the peer's certificate is of a CA that is not believed": func(c *tls.Config) {
			c.RootCAs = x509.NewCertPool()
			c.VerifyPeerCertificate, c.VerifyConnection = nil, nil
		},
	}
}

// awaitSingleDown waits for Down and fails the test if it is called a second time.
func (p *tlsReactor) awaitSingleDown(t *testing.T, downs chan error) (err error) {
	t.Helper()
	select {
	case err = <-downs:
	case <-time.After(testTimeout):
		t.Fatal("Down was not called")
	}
	for range 3 { // until tasks that were posted in the meantime have run
		done := make(chan bool)
		p.r.Post(func() { close(done) })
		<-done
	}
	if len(downs) > 0 {
		t.Fatal("Down was called again:", <-downs)
	}
	return err
}

// When the loop handled the peer's close or a timeout before the result of the handshake, a certificate error was
// reported as a truncated handshake.
func TestCertificateErrorAfterClose(t *testing.T) {
	for _, first := range []firstEvent{resultFirst, closeFirst, ownClose} {
		for want, change := range certificateFaults() {
			t.Run(string(first)+", "+want, func(t *testing.T) {
				p := newTLSReactor(t)
				ln, err := tls.Listen("tcp", "127.0.0.1:0", p.server)
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				go func() {
					if c, err := ln.Accept(); err == nil {
						secured, _ := c.(*tls.Conn)
						_ = secured.Handshake() // the client refuses the certificate
						_ = c.Close()
					}
				}()
				client := p.client.Clone()
				change(client)
				var conn atomic.Pointer[Conn]
				p.delayResult(t, first, &conn)
				d := &recorder{downs: make(chan error, 9)}
				p.r.Post(func() { conn.Store(p.r.DialTLS(ln.Addr().String(), testTimeout, client, d)) })
				var failed *HandshakeError
				if err := p.awaitSingleDown(t, d.downs); !errors.As(err, &failed) {
					t.Fatal(err)
				}
				if reason, here := certs.Explain(failed); reason != want || !here {
					t.Fatal(reason, here)
				}
				if d.ups != 0 || p.refused.Load() != 1 {
					t.Fatal(d.ups, "ups,", p.refused.Load(), "failures reported")
				}
			})
		}
	}
}

// When the loop handled the peer's close before the result of a successful handshake, the connection was lost together
// with the bytes that the peer had sent after the handshake. After a timeout there is no connection.
func TestHandshakeSucceedsAfterClose(t *testing.T) {
	for _, first := range []firstEvent{resultFirst, closeFirst, ownClose} {
		t.Run(string(first), func(t *testing.T) {
			p := newTLSReactor(t)
			ln, err := tls.Listen("tcp", "127.0.0.1:0", p.server)
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				if c, err := ln.Accept(); err == nil {
					_, _ = io.WriteString(c, "bye")
					_ = c.Close()
				}
			}()
			var conn atomic.Pointer[Conn]
			p.delayResult(t, first, &conn)
			d := &recorder{downs: make(chan error, 9)}
			p.r.Post(func() { conn.Store(p.r.DialTLS(ln.Addr().String(), testTimeout, p.client, d)) })
			err = p.awaitSingleDown(t, d.downs)
			var failed *HandshakeError
			if first == ownClose {
				if d.ups != 0 || !isConnectionEnd(err) { // by the timeout, or by the peer's close at the same time
					t.Fatal(d.ups, err)
				}
				return
			}
			if errors.As(err, &failed) || d.ups != 1 || string(d.received) != "bye" {
				t.Fatalf("%v, %d ups, received %q", err, d.ups, d.received)
			}
		})
	}
}

// A server reports a client's certificate error also when the loop handles the client's close before the result of the
// handshake.
func TestClientCertificateErrorAfterClose(t *testing.T) {
	for _, first := range []firstEvent{resultFirst, closeFirst, ownClose} {
		t.Run(string(first), func(t *testing.T) {
			p, other := newTLSReactor(t), newTLSReactor(t)
			var conn atomic.Pointer[Conn]
			p.delayResult(t, first, &conn)
			d := &recorder{downs: make(chan error, 9)}
			ln, err := p.r.ListenTLS("tcp", "127.0.0.1:0", p.server, func(c *Conn) Handler {
				conn.Store(c)
				return d
			})
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			client := other.client.Clone()
			client.RootCAs = p.client.RootCAs
			client.VerifyPeerCertificate, client.VerifyConnection = p.client.VerifyPeerCertificate, p.client.VerifyConnection
			c, err := tls.Dial("tcp", ln.Addr().String(), client)
			if err != nil {
				t.Fatal(err)
			}
			_ = c.Close()
			var failed *HandshakeError
			if err := p.awaitSingleDown(t, d.downs); !errors.As(err, &failed) {
				t.Fatal(err)
			}
			if reason, here := certs.Explain(failed); reason != "the peer's certificate is of a CA that is not believed" ||
				!here {
				t.Fatal(reason, here)
			}
			if d.ups != 0 || p.refused.Load() != 1 {
				t.Fatal(d.ups, "ups,", p.refused.Load(), "failures reported")
			}
		})
	}
}
