package certs

import (
	"crypto"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"
)

// The files of an authority in its folder. Each issued certificate adds a NAME.pem and a NAME.key.
const (
	caName             = "ca"
	caCertFile         = caName + ".pem"
	caKeyFile          = caName + ".key"
	revocationListFile = "revoked.crl"
)

// The modes of the folder and its files.
const (
	dirMode    os.FileMode = 0o700
	publicMode os.FileMode = 0o644
	keyMode    os.FileMode = 0o600
)

const (
	// clockSkew is how far in the past the validity of a certificate begins, since the clocks of small machines differ.
	clockSkew = 10 * time.Minute

	day           = 24 * time.Hour
	maxDays       = 36500
	maxNameBytes  = 64 // of a common name (RFC 5280, appendix A.1)
	serialNumBits = 127
)

// Authority is the certificate authority (CA) of one installation. Its folder holds the CA's certificate and key, the
// revocation list, and the certificates and keys that it has issued. It is not safe for concurrent use.
type Authority struct {
	dir  string
	cert *x509.Certificate // of the CA
	key  crypto.Signer     // of the CA
	now  func() time.Time
}

// CreateAuthority creates an authority in a folder: a self-signed CA certificate that is valid for a number of days,
// its key, and an empty revocation list. It does not overwrite a CA that is there already.
func CreateAuthority(dir, name string, days int, now func() time.Time) (*Authority, error) {
	if _, err := os.Stat(filepath.Join(dir, caCertFile)); err == nil {
		return nil, fmt.Errorf("%s: a CA exists already", filepath.Join(dir, caCertFile))
	}
	if err := os.MkdirAll(dir, dirMode); err != nil {
		return nil, err
	}
	key, err := newKey()
	if err != nil {
		return nil, err
	}
	cert, err := newTemplate(name, days, now())
	if err != nil {
		return nil, err
	}
	cert.IsCA, cert.BasicConstraintsValid, cert.MaxPathLenZero = true, true, true
	cert.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	der, err := x509.CreateCertificate(rand.Reader, cert, cert, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("signing the CA: %w", err)
	}
	if err := errors.Join(writeKey(filepath.Join(dir, caKeyFile), key),
		writePEM(filepath.Join(dir, caCertFile), pemCertificate, der, publicMode)); err != nil {
		return nil, err
	}
	authority, err := OpenAuthority(dir, now)
	if err != nil {
		return nil, err
	}
	return authority, authority.writeRevocationList(nil, 1)
}

// OpenAuthority opens an authority that CreateAuthority has created.
func OpenAuthority(dir string, now func() time.Time) (*Authority, error) {
	certs, err := ReadCerts(filepath.Join(dir, caCertFile))
	if err != nil {
		return nil, err
	}
	keyPath := filepath.Join(dir, caKeyFile)
	raw, err := os.ReadFile(keyPath)
	if err != nil {
		return nil, err
	}
	block, _ := pem.Decode(raw)
	if block == nil {
		return nil, fmt.Errorf("%s: contains no key", keyPath)
	}
	parsed, err := x509.ParsePKCS8PrivateKey(block.Bytes)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", keyPath, err)
	}
	key, ok := parsed.(crypto.Signer)
	if !ok || !certs[0].IsCA {
		return nil, fmt.Errorf("%s: the certificate is not a CA's, or the key cannot sign", dir)
	}
	return &Authority{dir: dir, cert: certs[0], key: key, now: now}, nil
}

// IssueServer issues a certificate for a server that clients reach by any of the DNS names or IP addresses. The first
// name is its common name.
func (a *Authority) IssueServer(names []string, days int) (Files, error) {
	if len(names) == 0 {
		return Files{}, errors.New("a server certificate needs a name or an address that clients connect to")
	}
	return a.issue(names[0], days, func(cert *x509.Certificate) {
		cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth}
		for _, name := range names {
			if ip := net.ParseIP(name); ip != nil {
				cert.IPAddresses = append(cert.IPAddresses, ip)
			} else {
				cert.DNSNames = append(cert.DNSNames, name)
			}
		}
	})
}

// IssueClient issues a certificate that authenticates a user.
func (a *Authority) IssueClient(user string, days int) (Files, error) {
	return a.issue(user, days, func(cert *x509.Certificate) {
		cert.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth}
	})
}

// issue makes a key and a certificate for it, and writes both files. complete adds to the certificate before it is
// signed.
func (a *Authority) issue(name string, days int, complete func(*x509.Certificate)) (Files, error) {
	base := fileName(name)
	if base == "" || base == caName {
		return Files{}, fmt.Errorf("no file name can be derived from %q", name)
	}
	key, err := newKey()
	if err != nil {
		return Files{}, err
	}
	cert, err := newTemplate(name, days, a.now())
	if err != nil {
		return Files{}, err
	}
	if cert.NotAfter.After(a.cert.NotAfter) {
		cert.NotAfter = a.cert.NotAfter // no certificate outlives its CA
	}
	cert.KeyUsage = x509.KeyUsageDigitalSignature
	complete(cert)
	der, err := x509.CreateCertificate(rand.Reader, cert, a.cert, key.Public(), a.key)
	if err != nil {
		return Files{}, fmt.Errorf("signing the certificate: %w", err)
	}
	files := Files{
		Cert:    filepath.Join(a.dir, base+".pem"),
		Key:     filepath.Join(a.dir, base+".key"),
		CA:      filepath.Join(a.dir, caCertFile),
		Revoked: filepath.Join(a.dir, revocationListFile),
	}
	// The key is written first: a sender that reloads both files in between finds that they do not match, reports it
	// and keeps the old pair.
	return files, errors.Join(writeKey(files.Key, key), writePEM(files.Cert, pemCertificate, der, publicMode))
}

// fileName derives the base name of the files from a certificate's name; it may be empty. Characters other than ASCII
// letters, digits, "-", "." and "_" become "-".
func fileName(name string) string {
	return strings.Trim(strings.Map(func(r rune) rune {
		if r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' || r == '-' || r == '.' || r == '_' {
			return r
		}
		return '-'
	}, name), ".-")
}

// Revoke adds the certificate in a file to the revocation list. This cannot be undone.
func (a *Authority) Revoke(path string) error {
	certs, err := ReadCerts(path)
	if err != nil {
		return err
	}
	serial := certs[0].SerialNumber
	if err := certs[0].CheckSignatureFrom(a.cert); err != nil {
		return fmt.Errorf("%s: not signed by this CA: %w", path, err)
	}
	list, err := ReadRevocationList(filepath.Join(a.dir, revocationListFile))
	if err != nil {
		return err
	}
	entries := list.RevokedCertificateEntries
	if slices.ContainsFunc(entries, func(e x509.RevocationListEntry) bool { return e.SerialNumber.Cmp(serial) == 0 }) {
		return fmt.Errorf("%s: already revoked", path)
	}
	entries = append(entries, x509.RevocationListEntry{SerialNumber: serial, RevocationTime: a.now()})
	return a.writeRevocationList(entries, list.Number.Int64()+1)
}

func (a *Authority) writeRevocationList(entries []x509.RevocationListEntry, number int64) error {
	der, err := x509.CreateRevocationList(rand.Reader, &x509.RevocationList{
		RevokedCertificateEntries: entries,
		Number:                    big.NewInt(number),
		ThisUpdate:                a.now().Add(-clockSkew),
		NextUpdate:                a.cert.NotAfter,
	}, a.cert, a.key)
	if err != nil {
		return fmt.Errorf("signing the revocation list: %w", err)
	}
	return writePEM(filepath.Join(a.dir, revocationListFile), pemRevocationList, der, publicMode)
}

// newTemplate returns the fields that all certificates have in common.
func newTemplate(name string, days int, now time.Time) (*x509.Certificate, error) {
	if name == "" || len(name) > maxNameBytes {
		return nil, fmt.Errorf("name %q is empty or longer than 64 bytes", name)
	}
	if days < 1 || days > maxDays {
		return nil, fmt.Errorf("validity of %d days is not from 1 to 36500 days", days)
	}
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumBits))
	if err != nil {
		return nil, fmt.Errorf("generating a serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkew),
		NotAfter:     now.Add(time.Duration(days) * day),
	}, nil
}

func newKey() (*ecdsa.PrivateKey, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generating a key: %w", err)
	}
	return key, nil
}

func writeKey(path string, key crypto.Signer) error {
	der, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return writePEM(path, pemPrivateKey, der, keyMode)
}
