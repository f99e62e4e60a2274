// Package pki makes and loads the certificates that daemons use among themselves: one certificate
// authority per installation and one certificate per host, whose common name is the host's name.
package pki

import (
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
	"time"
)

// ControlUnit is the organisational unit in the certificates of control hosts. Consensus messages are
// accepted from hosts with this unit only.
const ControlUnit = "control"

// PeerName is the DNS name in every host certificate. Daemons dial each other by IP address, so the
// name that is verified is the same for all; the common name tells the hosts apart.
const PeerName = "peer.citronrun.internal"

const (
	serialBits      = 127
	clockTolerance  = 5 * time.Minute // a new certificate is valid at once on a host whose clock is behind
	privateFileMode = 0o600
	publicFileMode  = 0o644
)

// The lifetimes used by citronctl certs.
const (
	AuthorityLifetime = 10 * 365 * 24 * time.Hour
	HostLifetime      = 365 * 24 * time.Hour
)

// KeyPair is a certificate and its private key, both in PEM form.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// NewAuthority makes a certificate authority.
func NewAuthority(now time.Time, lifetime time.Duration) (KeyPair, error) {
	template, err := newTemplate(now, lifetime, "citronrun authority")
	if err != nil {
		return KeyPair{}, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.MaxPathLenZero = true
	template.KeyUsage = x509.KeyUsageCertSign | x509.KeyUsageCRLSign
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("generate key: %w", err)
	}
	return sign(template, template, key, key)
}

// NewHost makes a certificate for a host, signed by the authority. The addresses are added so that
// the certificate can also serve the administration API. Units are the organisational units; a control
// host needs ControlUnit.
func NewHost(authority KeyPair, host string, addrs []net.IP, now time.Time, lifetime time.Duration, units ...string) (KeyPair, error) {
	if host == "" {
		return KeyPair{}, errors.New("the host's name is empty")
	}
	ca, caKey, err := parsePair(authority)
	if err != nil {
		return KeyPair{}, fmt.Errorf("authority: %w", err)
	}
	template, err := newTemplate(now, lifetime, host)
	if err != nil {
		return KeyPair{}, err
	}
	template.Subject.OrganizationalUnit = units
	template.DNSNames = []string{PeerName}
	template.IPAddresses = addrs
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("generate key: %w", err)
	}
	return sign(template, ca, key, caKey)
}

func newTemplate(now time.Time, lifetime time.Duration, name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("draw serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockTolerance),
		NotAfter:     now.Add(lifetime),
	}, nil
}

func sign(template, parent *x509.Certificate, key, signer *ecdsa.PrivateKey) (KeyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	if err != nil {
		return KeyPair{}, fmt.Errorf("sign certificate: %w", err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return KeyPair{}, fmt.Errorf("encode private key: %w", err)
	}
	return KeyPair{
		Cert: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}),
		Key:  pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER}),
	}, nil
}

func parsePair(p KeyPair) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certBlock, _ := pem.Decode(p.Cert)
	keyBlock, _ := pem.Decode(p.Key)
	if certBlock == nil || keyBlock == nil {
		return nil, nil, errors.New("certificate or key is not in PEM form")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("parse certificate: %w", err)
	}
	key, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("parse private key: %w", err)
	}
	ec, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, fmt.Errorf("private key is a %T, want an ECDSA key", key)
	}
	return cert, ec, nil
}

// Write stores a pair as NAME.crt and NAME.key in dir. Existing files are not replaced.
func (p KeyPair) Write(dir, name string) error {
	if err := writeNew(filepath.Join(dir, name+".key"), p.Key, privateFileMode); err != nil {
		return err
	}
	return writeNew(filepath.Join(dir, name+".crt"), p.Cert, publicFileMode)
}

func writeNew(file string, data []byte, mode os.FileMode) error {
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, mode)
	if err != nil {
		return err
	}
	if _, err := f.Write(data); err != nil {
		_ = f.Close()
		return fmt.Errorf("write %s: %w", file, err)
	}
	return f.Close()
}

// ReadKeyPair loads NAME.crt and NAME.key from dir.
func ReadKeyPair(dir, name string) (KeyPair, error) {
	cert, err := os.ReadFile(filepath.Join(dir, name+".crt"))
	if err != nil {
		return KeyPair{}, err
	}
	key, err := os.ReadFile(filepath.Join(dir, name+".key"))
	return KeyPair{Cert: cert, Key: key}, err
}
