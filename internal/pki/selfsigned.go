package pki

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"fmt"
	"math/big"
	"time"
)

// selfSignedLife is the validity of a certificate that lives as long as its process. Clocks of hosts may
// differ by much, so that it also begins in the past.
const selfSignedLife = 20 * 365 * 24 * time.Hour

// SelfSignedConfig returns a TLS configuration with a new key and a certificate of its own, for connections
// that are encrypted but whose peers can't be authenticated. Anyone who reaches the port may take part.
func SelfSignedConfig(name string, units ...string) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: units},
		NotBefore:    time.Now().Add(-selfSignedLife),
		NotAfter:     time.Now().Add(selfSignedLife),
		KeyUsage:     x509.KeyUsageDigitalSignature,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("create certificate: %w", err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse certificate: %w", err)
	}
	cert := &tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key, Leaf: leaf}
	return &tls.Config{
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return cert, nil },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return cert, nil },
		InsecureSkipVerify:   true,
	}, nil
}
