package pki

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// reloadCheckInterval is the minimum time between checks whether the certificate files have changed.
const reloadCheckInterval = 10 * time.Second

// PeerConfig returns a TLS configuration for connections between daemons, for the server and the client side.
// Both sides present a certificate and verify the other's (mutual TLS).
func PeerConfig(ca []byte, pair KeyPair) (*tls.Config, error) {
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, fmt.Errorf("load host certificate: %w", err)
	}
	return peerConfig(ca, func() (*tls.Certificate, error) { return &cert, nil })
}

// PeerConfigFromFiles is like PeerConfig, but loads the certificates from files. New connections use a
// replaced host certificate within reloadCheckInterval, so that it can be renewed without a restart.
func PeerConfigFromFiles(caFile, certFile, keyFile string) (*tls.Config, error) {
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return nil, err
	}
	r, err := newReloader(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return peerConfig(ca, r.certificate)
}

func peerConfig(ca []byte, getCertificate func() (*tls.Certificate, error)) (*tls.Config, error) {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return nil, fmt.Errorf("CA file contains no PEM certificate")
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              roots,
		ClientCAs:            roots,
		ClientAuth:           tls.RequireAndVerifyClientCert,
		ServerName:           PeerServerName,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return getCertificate() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return getCertificate() },
	}, nil
}

// ServerConfigFromFiles returns the TLS configuration of a server for callers or operators. The files are
// reloaded as in PeerConfigFromFiles.
func ServerConfigFromFiles(certFile, keyFile string) (*tls.Config, error) {
	r, err := newReloader(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.certificate() },
	}, nil
}

// reloader caches a certificate and reloads it when its files have changed. While the new files can't be
// loaded, for example because only one of them has been replaced so far, the old certificate stays in use.
type reloader struct {
	certFile, keyFile string

	mu           sync.Mutex
	cert         *tls.Certificate
	lastModified time.Time // modification time of the certificate file
	lastChecked  time.Time
}

func newReloader(certFile, keyFile string) (*reloader, error) {
	r := &reloader{certFile: certFile, keyFile: keyFile}
	if err := r.load(); err != nil {
		return nil, err
	}
	return r, nil
}

func (r *reloader) load() error {
	info, err := os.Stat(r.certFile)
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(r.certFile, r.keyFile)
	if err != nil {
		return fmt.Errorf("load %s: %w", r.certFile, err)
	}
	r.cert, r.lastModified, r.lastChecked = &cert, info.ModTime(), time.Now()
	return nil
}

// certificate returns the current certificate. It checks the files at most once per reloadCheckInterval.
func (r *reloader) certificate() (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.lastChecked) < reloadCheckInterval {
		return r.cert, nil
	}
	r.lastChecked = time.Now()
	info, err := os.Stat(r.certFile)
	if err == nil && !info.ModTime().Equal(r.lastModified) {
		_ = r.load() // the old certificate stays in use on failure
	}
	return r.cert, nil
}

// HasUnit reports whether the certificate of a configuration from PeerConfig or PeerConfigFromFiles has the
// organisational unit.
func HasUnit(conf *tls.Config, unit string) bool {
	if conf.GetClientCertificate == nil {
		return false
	}
	cert, err := conf.GetClientCertificate(&tls.CertificateRequestInfo{})
	if err != nil || cert.Leaf == nil {
		return false
	}
	return slices.Contains(cert.Leaf.Subject.OrganizationalUnit, unit)
}
