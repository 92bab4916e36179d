package certs

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
)

var startTime = time.Date(2026, 12, 1, 12, 0, 0, 0, time.UTC)

// clock is a virtual clock that a test sets.
type clock struct{ current time.Time }

func (c *clock) now() time.Time { return c.current }

// must returns a function that passes on a value and fails the test if there is an error.
func must[T any](t *testing.T) func(T, error) T {
	return func(v T, err error) T {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
		return v
	}
}

// handshake runs a TLS handshake over a pipe and returns the error of each side. The connection is closed after limit
// bytes from the client; it is not if limit is negative.
func handshake(server, client *tls.Config, limit int) (serverErr, clientErr error) {
	a, b := net.Pipe()
	done := make(chan error, 1)
	go func() {
		s := tls.Server(a, server)
		err := s.Handshake()
		if err == nil {
			_, err = s.Write([]byte("x")) // in TLS 1.3 the client learns only now whether the server accepts its certificate
		}
		_ = a.Close()
		done <- err
	}()
	conn := b
	if limit >= 0 {
		conn = &truncatingConn{b, limit}
	}
	c := tls.Client(conn, client)
	if clientErr = c.Handshake(); clientErr == nil {
		_, clientErr = c.Read(make([]byte, 1))
	}
	_ = b.Close()
	return <-done, clientErr
}

// truncatingConn closes the connection when a number of bytes has been written.
type truncatingConn struct {
	net.Conn
	remaining int
}

func (c *truncatingConn) Write(b []byte) (int, error) {
	n := min(len(b), c.remaining)
	c.remaining -= n
	_, _ = c.Conn.Write(b[:n])
	if n < len(b) {
		_ = c.Close()
		return n, net.ErrClosed
	}
	return n, nil
}

// Handshakes with valid certificates succeed. With an expired, revoked or missing certificate, a wrong name or a
// wrong CA, or if the connection is cut, they fail, and each side reports the right reason.
func TestHandshakes(t *testing.T) {
	clk := &clock{startTime}
	dir, otherDir := t.TempDir(), t.TempDir()
	authority := must[*Authority](t)(CreateAuthority(dir, "the site", 1000, clk.now))
	otherAuthority := must[*Authority](t)(CreateAuthority(otherDir, "another site", 1000, clk.now))
	server := must[Files](t)(authority.IssueServer([]string{"sender.site", "127.0.0.1"}, 100))
	user := must[Files](t)(authority.IssueClient("lab", 100))
	revoked := must[Files](t)(authority.IssueClient("gone", 100))
	foreign := must[Files](t)(otherAuthority.IssueClient("lab", 100))
	if err := authority.Revoke(revoked.Cert); err != nil {
		t.Fatal(err)
	}
	if authority.Revoke(revoked.Cert) == nil || authority.Revoke(foreign.Cert) == nil {
		t.Error("a certificate was revoked twice, or by a CA that has not issued it")
	}
	withServerCA := func(f Files) Files { return Files{Cert: f.Cert, Key: f.Key, CA: server.CA} }
	none := Files{CA: server.CA}
	for _, c := range []struct {
		name, serverName           string
		client                     Files
		required                   bool
		days                       int    // how long after the certificates were issued
		limit                      int    // of the client's bytes; negative: none
		serverReason, clientReason string // parts of what Explain returns; empty: the side has no error, or any
	}{
		{"good", "sender.site", withServerCA(user), true, 0, -1, "", ""},
		{"good by address", "127.0.0.1", withServerCA(user), true, 0, -1, "", ""},
		{"no certificate and none needed", "sender.site", none, false, 0, -1, "", ""},
		{"no certificate", "sender.site", none, true, 0, -1, "client didn't provide a certificate", "the peer refused"},
		{"wrong name", "sender.town", withServerCA(user), true, 0, -1, "the peer refused", "for another name"},
		{
			"wrong CA of the client", "sender.site", withServerCA(foreign),
			true, 0, -1,
			"CA that is not believed", "the peer refused",
		},
		{
			"wrong CA of the server", "sender.site",
			Files{CA: foreign.CA},
			false, 0, -1,
			"the peer refused", "CA that is not believed",
		},
		{"revoked", "sender.site", withServerCA(revoked), true, 0, -1, "has been revoked", "the peer refused"},
		{"expired", "sender.site", withServerCA(user), true, 101, -1, "", "has expired"},
		{"not valid yet", "sender.site", withServerCA(user), true, -1, -1, "", "has expired, or is not valid yet"},
		{"truncated at once", "sender.site", none, false, 0, 0, "cut short", "cut short"},
		{"truncated", "sender.site", none, false, 0, 100, "cut short", "cut short"},
	} {
		t.Run(c.name, func(t *testing.T) {
			clk.current = startTime
			serverConfig := must[*tls.Config](t)(ServerConfig(server, c.required, clk.now))
			clientConfig := must[*tls.Config](t)(ClientConfig(c.client, c.serverName, clk.now))
			if len(clientConfig.Certificates) > 0 { // presented even if it is not of a CA that the server asks for
				clientConfig.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
					return &clientConfig.Certificates[0], nil
				}
			}
			clk.current = startTime.Add(time.Duration(c.days) * 24 * time.Hour)
			serverErr, clientErr := handshake(serverConfig, clientConfig, c.limit)
			for side, got := range map[string]struct {
				err  error
				want string
			}{"server": {serverErr, c.serverReason}, "client": {clientErr, c.clientReason}} {
				reason := ""
				if got.err != nil {
					reason, _ = Explain(got.err)
				}
				if got.want == "" && got.err != nil && c.clientReason == "" || !strings.Contains(reason, got.want) {
					t.Errorf("%s: got reason %q (%v), want %q", side, reason, got.err, got.want)
				}
			}
		})
	}
	oldClient := must[*tls.Config](t)(ClientConfig(none, "sender.site", clk.now))
	oldClient.MinVersion, oldClient.MaxVersion = tls.VersionTLS10, tls.VersionTLS11
	clk.current = startTime
	if serverErr, _ := handshake(
		must[*tls.Config](t)(ServerConfig(server, false, clk.now)), oldClient, -1,
	); serverErr == nil {
		t.Error("a TLS 1.1 handshake succeeded")
	}
}

// Files that are missing, empty or do not match each other are refused, a CA is not overwritten, names that give no
// file name are refused, and no certificate outlives its CA.
func TestMismatchedFilesAreRefused(t *testing.T) {
	clk := &clock{startTime}
	dir, otherDir := t.TempDir(), t.TempDir()
	authority := must[*Authority](t)(CreateAuthority(dir, "the site", 10, clk.now))
	must[*Authority](t)(CreateAuthority(otherDir, "another site", 10, clk.now))
	server := must[Files](t)(authority.IssueServer([]string{"a"}, 1000))
	empty := filepath.Join(dir, "empty")
	if err := os.WriteFile(empty, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	foreign := filepath.Join(otherDir, revocationListFile)
	for _, f := range []Files{
		{},
		{Cert: server.Cert},
		{Cert: server.Cert, Key: filepath.Join(dir, caKeyFile)},
		{Cert: server.Cert, Key: server.Key, CA: empty},
		{Cert: server.Cert, Key: server.Key, CA: server.CA, Revoked: foreign},
		{Cert: server.Cert, Key: server.Key, CA: server.CA, Revoked: empty},
	} {
		if _, err := ServerConfig(f, false, clk.now); err == nil {
			t.Errorf("%+v was accepted", f)
		}
	}
	if _, err := ServerConfig(Files{Cert: server.Cert, Key: server.Key}, true, clk.now); err == nil {
		t.Error("client certificates are required without a CA to verify them")
	}
	if _, err := CreateAuthority(dir, "again", 10, clk.now); err == nil {
		t.Error("a CA was overwritten")
	}
	for _, names := range [][]string{nil, {""}, {"ca"}, {strings.Repeat("n", 65)}} {
		if _, err := authority.IssueServer(names, 10); err == nil {
			t.Errorf("a certificate for %q was issued", names)
		}
	}
	list := must[[]Certificate](t)(List(dir, clk.now()))
	if len(list) != 2 || list[0].NotAfter != list[1].NotAfter || list[0].TimeLeft != 10*24*time.Hour {
		t.Fatal(list)
	}
	if info := must[os.FileInfo](t)(os.Stat(server.Key)); info.Mode().Perm() != 0o600 {
		t.Error(info.Mode())
	}
	clk.current = startTime.Add(11 * 24 * time.Hour)
	if _, err := ServerConfig(server, false, clk.now); err == nil || !strings.Contains(err.Error(), "expired") {
		t.Error(err)
	}
}
