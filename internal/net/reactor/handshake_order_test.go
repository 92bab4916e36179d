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

// recorder is a handler that records the calls that it gets.
type recorder struct {
	ups   int
	heard []byte
	downs chan error
}

func (r *recorder) Up(*Conn)                 { r.ups++ }
func (r *recorder) Data(_ *Conn, got []byte) { r.heard = append(r.heard, got...) }
func (r *recorder) Down(_ *Conn, err error)  { r.downs <- err }

// order is what the loop hears of first: the result of a handshake, the peer's close, or the close by its own handler,
// as after a time-out.
type order string

const (
	resultFirst order = "the result first"
	closeFirst  order = "the close first"
	ownClose    order = "a time-out first"
)

// holdResult holds the result of each handshake until the connection has ended on the loop, where the order wants
// that. The connection is stored once it is known.
func (p *pair) holdResult(t *testing.T, first order, conn *atomic.Pointer[Conn]) {
	t.Helper()
	undo := failpoint.SetHook(func(point failpoint.Point) {
		if point != failpoint.HandshakeComputed || first == resultFirst {
			return
		}
		if first == ownClose {
			p.r.Post(func() { conn.Load().Close() })
		}
		for until, dead := time.Now().Add(long), false; !dead && time.Now().Before(until); {
			known := make(chan bool)
			p.r.Post(func() {
				c := conn.Load()
				dead = c != nil && c.Dead()
				close(known)
			})
			<-known
		}
	})
	t.Cleanup(undo)
}

// wrongPeers lets a client find something wrong with its server's certificate, by what that is.
func wrongPeers() map[string]func(client *tls.Config) {
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

// oneDown waits for the end of a connection and fails the test where another one follows.
func (p *pair) oneDown(t *testing.T, downs chan error) (err error) {
	t.Helper()
	select {
	case err = <-downs:
	case <-time.After(long):
		t.Fatal("no end")
	}
	for range 3 { // what was posted meanwhile has run
		done := make(chan bool)
		p.r.Post(func() { close(done) })
		<-done
	}
	if len(downs) > 0 {
		t.Fatal("another end:", <-downs)
	}
	return err
}

// A certificate's error is told as a handshake that was cut, where the peer's close or a time-out overtakes the result.
func TestCertificateErrorBehindAClose(t *testing.T) {
	for _, first := range []order{resultFirst, closeFirst, ownClose} {
		for reason, change := range wrongPeers() {
			t.Run(string(first)+", "+reason, func(t *testing.T) {
				p := newPair(t)
				ln, err := tls.Listen("tcp", "127.0.0.1:0", p.server)
				if err != nil {
					t.Fatal(err)
				}
				defer ln.Close()
				go func() {
					if c, err := ln.Accept(); err == nil {
						secured, _ := c.(*tls.Conn)
						_ = secured.Handshake() // which the client refuses
						_ = c.Close()
					}
				}()
				client := p.client.Clone()
				change(client)
				var conn atomic.Pointer[Conn]
				p.holdResult(t, first, &conn)
				d := &recorder{downs: make(chan error, 9)}
				p.r.Post(func() { conn.Store(p.r.DialTLS(ln.Addr().String(), long, client, d)) })
				var failed *HandshakeError
				if err := p.oneDown(t, d.downs); !errors.As(err, &failed) {
					t.Fatal(err)
				}
				if why, ours := certs.Explain(failed); why != reason || !ours {
					t.Fatal(why, ours)
				}
				if d.ups != 0 || p.refused.Load() != 1 {
					t.Fatal(d.ups, "ups,", p.refused.Load(), "failures reported")
				}
			})
		}
	}
}

// A handshake that has succeeded is lost with what the peer said behind it, where its close overtakes the result.
// Behind a time-out there is no connection.
func TestHandshakeSucceedsBehindAClose(t *testing.T) {
	for _, first := range []order{resultFirst, closeFirst, ownClose} {
		t.Run(string(first), func(t *testing.T) {
			p := newPair(t)
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
			p.holdResult(t, first, &conn)
			d := &recorder{downs: make(chan error, 9)}
			p.r.Post(func() { conn.Store(p.r.DialTLS(ln.Addr().String(), long, p.client, d)) })
			err = p.oneDown(t, d.downs)
			var failed *HandshakeError
			if first == ownClose {
				if d.ups != 0 || !isConnectionEnd(err) { // by the peer's close, which crosses the time-out, or by that
					t.Fatal(d.ups, err)
				}
				return
			}
			if errors.As(err, &failed) || d.ups != 1 || string(d.heard) != "bye" {
				t.Fatalf("%v, %d ups, heard %q", err, d.ups, d.heard)
			}
		})
	}
}

// A server tells what was wrong with a client's certificate, where the client's close overtakes the result.
func TestClientCertificateErrorBehindAClose(t *testing.T) {
	for _, first := range []order{resultFirst, closeFirst, ownClose} {
		t.Run(string(first), func(t *testing.T) {
			p, other := newPair(t), newPair(t)
			var conn atomic.Pointer[Conn]
			p.holdResult(t, first, &conn)
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
			if err := p.oneDown(t, d.downs); !errors.As(err, &failed) {
				t.Fatal(err)
			}
			if why, ours := certs.Explain(failed); why != "the peer's certificate is of a CA that is not believed" || !ours {
				t.Fatal(why, ours)
			}
			if d.ups != 0 || p.refused.Load() != 1 {
				t.Fatal(d.ups, "ups,", p.refused.Load(), "failures reported")
			}
		})
	}
}
