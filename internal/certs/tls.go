// Package certs makes TLS configurations from certificate files, and maintains the certificates of one installation: it
// issues, revokes and lists them.
package certs

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"time"
)

// Files names the files that one side of a TLS connection uses. An empty name means that there is no such file.
type Files struct {
	Cert    string // this side's certificate, PEM
	Key     string // this side's key, PEM
	CA      string // the CAs that may sign the peer's certificate, PEM
	Revoked string // a CA's revocation list, PEM or DER (RFC 5280, section 5)
}

// ErrRevoked reports a peer whose certificate, or one of its CAs', has been revoked.
var ErrRevoked = errors.New("the certificate has been revoked")

// peerTrust holds the CAs that may sign a peer's certificate, and the certificates that are revoked.
type peerTrust struct {
	pool    *x509.CertPool  // nil: the system's CAs
	revoked map[string]bool // by certificateID
}

// certificateID identifies a certificate by its issuer and serial number.
func certificateID(rawIssuer []byte, serial fmt.Stringer) string {
	return string(rawIssuer) + serial.String()
}

// ServerConfig returns the TLS configuration of a server. If files has a CA, clients are asked for a certificate,
// which is mandatory if clientRequired is set. now is called in every handshake, on any goroutine.
func ServerConfig(files Files, clientRequired bool, now func() time.Time) (*tls.Config, error) {
	cfg, trust, err := baseConfig(files, now)
	if err != nil {
		return nil, err
	}
	if len(cfg.Certificates) == 0 {
		return nil, errors.New("a server needs a certificate and its key")
	}
	if trust.pool == nil {
		if clientRequired {
			return nil, errors.New("client certificates cannot be required without a CA to verify them")
		}
		return cfg, nil
	}
	cfg.ClientCAs, cfg.ClientAuth = trust.pool, tls.VerifyClientCertIfGiven
	if clientRequired {
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	return cfg, nil
}

// ClientConfig returns the TLS configuration of a client. The server's certificate must be valid for name. If files
// has no CA, the system's CAs are trusted. now is called in every handshake, on any goroutine.
func ClientConfig(files Files, name string, now func() time.Time) (*tls.Config, error) {
	cfg, trust, err := baseConfig(files, now)
	if err != nil {
		return nil, err
	}
	cfg.RootCAs, cfg.ServerName = trust.pool, name
	return cfg, nil
}

// baseConfig returns the part of the configuration that both sides have in common.
func baseConfig(files Files, now func() time.Time) (*tls.Config, *peerTrust, error) {
	// There are many connections, and their messages are small: full-size records from the start need fewer records.
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, Time: now, DynamicRecordSizingDisabled: true}
	if (files.Cert == "") != (files.Key == "") {
		return nil, nil, errors.New("a certificate and its key must be set together")
	}
	if files.Cert != "" {
		pair, err := loadKeyPair(files, now())
		if err != nil {
			return nil, nil, err
		}
		cfg.Certificates = []tls.Certificate{pair}
	}
	trust, err := loadTrust(files)
	if err != nil {
		return nil, nil, err
	}
	cfg.VerifyConnection = trust.verify
	return cfg, trust, nil
}

// loadKeyPair loads this side's certificate and key. A certificate that has expired is an error.
func loadKeyPair(files Files, now time.Time) (tls.Certificate, error) {
	pair, err := tls.LoadX509KeyPair(files.Cert, files.Key)
	if err != nil {
		return pair, fmt.Errorf("%s, %s: %w", files.Cert, files.Key, err)
	}
	if now.After(pair.Leaf.NotAfter) {
		return pair, fmt.Errorf("%s: expired on %s", files.Cert, pair.Leaf.NotAfter.Format(time.DateOnly))
	}
	return pair, nil
}

// loadTrust loads the CAs, and the revocation list, which one of these CAs must have signed.
func loadTrust(files Files) (*peerTrust, error) {
	trust := &peerTrust{revoked: map[string]bool{}}
	var cas []*x509.Certificate
	if files.CA != "" {
		var err error
		if cas, err = ReadCerts(files.CA); err != nil {
			return nil, err
		}
		trust.pool = x509.NewCertPool()
		for _, ca := range cas {
			trust.pool.AddCert(ca)
		}
	}
	if files.Revoked == "" {
		return trust, nil
	}
	list, err := ReadRevocationList(files.Revoked)
	if err != nil {
		return nil, err
	}
	if err := verifyListSigner(list, cas); err != nil {
		return nil, fmt.Errorf("%s: %w", files.Revoked, err)
	}
	for _, entry := range list.RevokedCertificateEntries {
		trust.revoked[certificateID(list.RawIssuer, entry.SerialNumber)] = true
	}
	return trust, nil
}

// verifyListSigner checks that a revocation list is signed by one of the CAs.
func verifyListSigner(list *x509.RevocationList, cas []*x509.Certificate) error {
	for _, ca := range cas {
		if bytes.Equal(ca.RawSubject, list.RawIssuer) && list.CheckSignatureFrom(ca) == nil {
			return nil
		}
	}
	return errors.New("the revocation list is not signed by a trusted CA")
}

// verify refuses a peer if each of its certificate chains contains a revoked certificate. As VerifyConnection, it is
// also called when a session is resumed.
func (t *peerTrust) verify(state tls.ConnectionState) error {
	if len(t.revoked) == 0 || len(state.VerifiedChains) == 0 { // no chain: the peer had to present no certificate
		return nil
	}
	for _, chain := range state.VerifiedChains {
		if !t.anyRevoked(chain) {
			return nil
		}
	}
	return ErrRevoked
}

func (t *peerTrust) anyRevoked(chain []*x509.Certificate) bool {
	for _, cert := range chain {
		if t.revoked[certificateID(cert.RawIssuer, cert.SerialNumber)] {
			return true
		}
	}
	return false
}

// ExpiresAt returns when the certificate that a side presents expires, or the zero time if it presents none.
func ExpiresAt(cfg *tls.Config) time.Time {
	if cfg == nil || len(cfg.Certificates) == 0 || cfg.Certificates[0].Leaf == nil {
		return time.Time{}
	}
	return cfg.Certificates[0].Leaf.NotAfter
}
