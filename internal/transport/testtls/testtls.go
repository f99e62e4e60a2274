// Package testtls makes throw-away certificates for tests of packages that use transport.
package testtls

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

const validity = 24 * time.Hour

// Authority issues certificates that are trusted among the configurations it returns.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	pool *x509.CertPool
}

// NewAuthority creates a certificate authority.
func NewAuthority() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	template := template("test authority")
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, fmt.Errorf("create certificate: %w", err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse certificate: %w", err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(cert)
	return &Authority{cert: cert, key: key, pool: pool}, nil
}

// HostConfig returns a configuration whose certificate has name as its common name.
func (a *Authority) HostConfig(name string) (*tls.Config, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate key: %w", err)
	}
	template := template(name)
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return nil, fmt.Errorf("create certificate: %w", err)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}},
		RootCAs:      a.pool,
		ClientCAs:    a.pool,
	}, nil
}

func template(name string) *x509.Certificate {
	serial, err := rand.Int(rand.Reader, big.NewInt(1<<62))
	if err != nil {
		serial = big.NewInt(time.Now().UnixNano())
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(validity),
	}
}

// Export encodes the authority with its key, for another process of the same test.
func (a *Authority) Export() (cert, key []byte, err error) {
	key, err = x509.MarshalECPrivateKey(a.key)
	return a.cert.Raw, key, err
}

// Import decodes what Export returned.
func Import(cert, key []byte) (*Authority, error) {
	parsed, err := x509.ParseCertificate(cert)
	if err != nil {
		return nil, fmt.Errorf("parse certificate: %w", err)
	}
	private, err := x509.ParseECPrivateKey(key)
	if err != nil {
		return nil, fmt.Errorf("parse key: %w", err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(parsed)
	return &Authority{cert: parsed, key: private, pool: pool}, nil
}
