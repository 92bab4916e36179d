package certs

import (
	"crypto/x509"
	"encoding/pem"
	"fmt"
	"os"
)

// The types of PEM blocks (RFC 7468).
const (
	pemCertificate    = "CERTIFICATE"
	pemRevocationList = "X509 CRL"
	pemPrivateKey     = "PRIVATE KEY"
)

// ReadCerts reads all certificates in a PEM file, at least one. Other blocks are ignored.
func ReadCerts(path string) ([]*x509.Certificate, error) {
	rest, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var list []*x509.Certificate
	for {
		var block *pem.Block
		if block, rest = pem.Decode(rest); block == nil {
			break
		}
		if block.Type != pemCertificate {
			continue
		}
		cert, err := x509.ParseCertificate(block.Bytes)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		list = append(list, cert)
	}
	if len(list) == 0 {
		return nil, fmt.Errorf("%s: contains no certificate", path)
	}
	return list, nil
}

// ReadRevocationList reads a revocation list in PEM or DER.
func ReadRevocationList(path string) (*x509.RevocationList, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	if block, _ := pem.Decode(raw); block != nil {
		raw = block.Bytes
	}
	list, err := x509.ParseRevocationList(raw)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return list, nil
}

// writePEM replaces a file by one PEM block. It renames a new file into place, so that a reader finds either the old
// file or the complete new one.
func writePEM(path, blockType string, der []byte, mode os.FileMode) error {
	next := path + ".new"
	if err := os.WriteFile(next, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), mode); err != nil {
		return err
	}
	return os.Rename(next, path)
}
