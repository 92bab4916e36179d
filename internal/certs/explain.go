package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"syscall"
)

// opRemoteError is the Op of the net.OpError in which crypto/tls returns an alert that the peer has sent.
const opRemoteError = "remote error"

// Explain returns the reason of a failed handshake as a text for operators. ours reports whether this side refused; it
// is false if the peer refused or the connection ended.
func Explain(err error) (reason string, ours bool) {
	var (
		invalid   x509.CertificateInvalidError
		unknown   x509.UnknownAuthorityError
		host      x509.HostnameError
		alert     *net.OpError
		notTLS    tls.RecordHeaderError
		certError *tls.CertificateVerificationError
	)
	switch {
	case errors.Is(err, ErrRevoked):
		return "the peer's certificate has been revoked", true
	case errors.As(err, &host):
		return "the peer's certificate is for another name", true
	case errors.As(err, &unknown):
		return "the peer's certificate is of a CA that is not believed", true
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return "the peer's certificate has expired, or is not valid yet", true
	case errors.As(err, &invalid):
		return "the peer's certificate does not hold: " + invalid.Error(), true
	case errors.As(err, &certError):
		return "the peer's certificate does not hold", true
	case errors.As(err, &notTLS):
		return "the peer does not speak TLS", true
	case errors.As(err, &alert) && alert.Op == opRemoteError:
		return "the peer refused: " + alert.Err.Error(), false
	case isConnectionEnd(err):
		return "the handshake was cut short", false
	}
	return err.Error(), true
}

// isConnectionEnd reports whether a handshake failed only because the connection was closed or reset.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, net.ErrClosed) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}
