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

// selfSignedValidity is how far the validity of a self-signed certificate extends into the past and the
// future. It starts in the past because the clocks of hosts may differ widely. The certificate is used only
// by the process that created it.
const selfSignedValidity = 20 * 365 * 24 * time.Hour

// SelfSignedConfig returns a TLS configuration with a new key and a self-signed certificate, for connections
// that are encrypted but not authenticated: any process that can reach the port is accepted as a peer.
func SelfSignedConfig(name string, units ...string) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1),
		Subject:      pkix.Name{CommonName: name, OrganizationalUnit: units},
		NotBefore:    time.Now().Add(-selfSignedValidity),
		NotAfter:     time.Now().Add(selfSignedValidity),
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
