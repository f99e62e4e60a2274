// Package pki creates and loads the certificates for connections between daemons: one certificate authority
// per installation, and one certificate per host with the host name as its common name.
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
// accepted only from hosts with this unit.
const ControlUnit = "control"

// PeerServerName is the DNS name in every host certificate. Daemons dial each other by IP address, so they
// all verify this name; the common name identifies the host.
const PeerServerName = "peer.citronrun.internal"

const (
	serialBits         = 127
	clockSkewTolerance = 5 * time.Minute // backdates a certificate so that hosts whose clock is behind accept it at once
	privateFileMode    = 0o600
	publicFileMode     = 0o644
)

// Default certificate lifetimes of citronctl certs.
const (
	AuthorityLifetime = 10 * 365 * 24 * time.Hour
	HostLifetime      = 365 * 24 * time.Hour
)

// KeyPair is a certificate and its private key, both PEM-encoded.
type KeyPair struct {
	Cert []byte
	Key  []byte
}

// NewAuthority creates a self-signed certificate authority.
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
	return createCertificate(template, template, key, key)
}

// NewHost creates a certificate for a host, signed by the authority. addrs are the IP addresses in the
// certificate, by which clients of the administration API verify the host; without addrs the certificate serves
// only for connections between daemons. units are its organisational units; a control host needs ControlUnit.
func NewHost(authority KeyPair, host string, addrs []net.IP, now time.Time, lifetime time.Duration, units ...string) (KeyPair, error) {
	if host == "" {
		return KeyPair{}, errors.New("host name is empty")
	}
	ca, caKey, err := parseKeyPair(authority)
	if err != nil {
		return KeyPair{}, fmt.Errorf("load certificate authority: %w", err)
	}
	template, err := newTemplate(now, lifetime, host)
	if err != nil {
		return KeyPair{}, err
	}
	template.Subject.OrganizationalUnit = units
	template.DNSNames = []string{PeerServerName}
	template.IPAddresses = addrs
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return KeyPair{}, fmt.Errorf("generate key: %w", err)
	}
	return createCertificate(template, ca, key, caKey)
}

func newTemplate(now time.Time, lifetime time.Duration, name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("generate serial number: %w", err)
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewTolerance),
		NotAfter:     now.Add(lifetime),
	}, nil
}

// createCertificate creates a certificate for key, signed by parent with signerKey.
func createCertificate(template, parent *x509.Certificate, key, signerKey *ecdsa.PrivateKey) (KeyPair, error) {
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signerKey)
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

func parseKeyPair(p KeyPair) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certBlock, _ := pem.Decode(p.Cert)
	keyBlock, _ := pem.Decode(p.Key)
	if certBlock == nil || keyBlock == nil {
		return nil, nil, errors.New("certificate or private key is not PEM-encoded")
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("parse certificate: %w", err)
	}
	key, err := x509.ParsePKCS8PrivateKey(keyBlock.Bytes)
	if err != nil {
		return nil, nil, fmt.Errorf("parse private key: %w", err)
	}
	ecKey, ok := key.(*ecdsa.PrivateKey)
	if !ok {
		return nil, nil, fmt.Errorf("private key has type %T, want an ECDSA key", key)
	}
	return cert, ecKey, nil
}

// Write stores the pair as NAME.crt and NAME.key in dir. It fails if a file exists.
func (p KeyPair) Write(dir, name string) error {
	if err := writeNewFile(filepath.Join(dir, name+".key"), p.Key, privateFileMode); err != nil {
		return err
	}
	return writeNewFile(filepath.Join(dir, name+".crt"), p.Cert, publicFileMode)
}

// writeNewFile writes a file that must not exist yet.
func writeNewFile(file string, data []byte, mode os.FileMode) error {
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

// ReadKeyPair reads NAME.crt and NAME.key in dir.
func ReadKeyPair(dir, name string) (KeyPair, error) {
	cert, err := os.ReadFile(filepath.Join(dir, name+".crt"))
	if err != nil {
		return KeyPair{}, err
	}
	key, err := os.ReadFile(filepath.Join(dir, name+".key"))
	return KeyPair{Cert: cert, Key: key}, err
}
