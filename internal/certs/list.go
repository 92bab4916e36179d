package certs

import (
	"crypto/x509"
	"path/filepath"
	"slices"
	"time"
)

// Kind is what a certificate is for.
type Kind string

// The kinds of certificates, as "brackendale keys" shows them.
const (
	KindCA     Kind = "ca"
	KindServer Kind = "server"
	KindClient Kind = "client"
)

// Certificate describes one certificate in the folder of an authority.
type Certificate struct {
	File     string // base name
	Name     string // common name
	Kind     Kind
	Names    []string // DNS names and IP addresses
	NotAfter time.Time
	TimeLeft time.Duration // negative: it has expired
	Revoked  bool
}

// List returns the certificates in the folder of an authority, the next to expire first.
func List(dir string, now time.Time) ([]Certificate, error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.pem"))
	if err != nil {
		return nil, err
	}
	revoked := revokedSerials(dir)
	var list []Certificate
	for _, path := range paths {
		certs, err := ReadCerts(path)
		if err != nil {
			return nil, err
		}
		cert := certs[0]
		entry := Certificate{
			File:     filepath.Base(path),
			Name:     cert.Subject.CommonName,
			Kind:     kindOf(cert),
			Names:    cert.DNSNames,
			NotAfter: cert.NotAfter,
			TimeLeft: cert.NotAfter.Sub(now),
			Revoked:  revoked[cert.SerialNumber.String()],
		}
		for _, ip := range cert.IPAddresses {
			entry.Names = append(entry.Names, ip.String())
		}
		list = append(list, entry)
	}
	slices.SortFunc(list, func(a, b Certificate) int { return a.NotAfter.Compare(b.NotAfter) })
	return list, nil
}

// revokedSerials returns the serial numbers in the folder's revocation list, and none if there is no readable list.
func revokedSerials(dir string) map[string]bool {
	revoked := map[string]bool{}
	list, err := ReadRevocationList(filepath.Join(dir, revocationListFile))
	if err != nil {
		return revoked
	}
	for _, entry := range list.RevokedCertificateEntries {
		revoked[entry.SerialNumber.String()] = true
	}
	return revoked
}

func kindOf(cert *x509.Certificate) Kind {
	switch {
	case cert.IsCA:
		return KindCA
	case slices.Contains(cert.ExtKeyUsage, x509.ExtKeyUsageServerAuth):
		return KindServer
	}
	return KindClient
}
