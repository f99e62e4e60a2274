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

// reloadInterval is how often a handshake looks whether the certificate files have changed.
const reloadInterval = 10 * time.Second

// PeerConfig returns the TLS configuration for both sides of connections between daemons. Both
// sides show a certificate and verify the other's.
func PeerConfig(ca []byte, pair KeyPair) (*tls.Config, error) {
	cert, err := tls.X509KeyPair(pair.Cert, pair.Key)
	if err != nil {
		return nil, fmt.Errorf("load host certificate: %w", err)
	}
	return peerConfig(ca, func() (*tls.Certificate, error) { return &cert, nil })
}

// PeerConfigFromFiles is PeerConfig for files. Replaced files are used for new connections within
// reloadInterval, so that certificates can be renewed without a restart.
func PeerConfigFromFiles(caFile, certFile, keyFile string) (*tls.Config, error) {
	ca, err := os.ReadFile(caFile)
	if err != nil {
		return nil, err
	}
	r, err := newReloader(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return peerConfig(ca, r.get)
}

func peerConfig(ca []byte, get func() (*tls.Certificate, error)) (*tls.Config, error) {
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(ca) {
		return nil, fmt.Errorf("the authority's file holds no certificate in PEM form")
	}
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              roots,
		ClientCAs:            roots,
		ClientAuth:           tls.RequireAndVerifyClientCert,
		ServerName:           PeerName,
		GetCertificate:       func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return get() },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return get() },
	}, nil
}

// ServerConfigFromFiles returns the TLS configuration of a server for callers or operators, with
// the same reloading as PeerConfigFromFiles.
func ServerConfigFromFiles(certFile, keyFile string) (*tls.Config, error) {
	r, err := newReloader(certFile, keyFile)
	if err != nil {
		return nil, err
	}
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return r.get() },
	}, nil
}

// reloader keeps a certificate and reads it again when its files have changed. A pair that can't be
// loaded, for example since only one file was replaced so far, leaves the old one in use.
type reloader struct {
	certFile, keyFile string

	mu       sync.Mutex
	cert     *tls.Certificate
	modified time.Time // of the certificate file
	checked  time.Time
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
	r.cert, r.modified, r.checked = &cert, info.ModTime(), time.Now()
	return nil
}

func (r *reloader) get() (*tls.Certificate, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Since(r.checked) < reloadInterval {
		return r.cert, nil
	}
	r.checked = time.Now()
	info, err := os.Stat(r.certFile)
	if err == nil && !info.ModTime().Equal(r.modified) {
		_ = r.load() // the old certificate stays in use on failure
	}
	return r.cert, nil
}

// HasUnit reports whether the certificate of a configuration from PeerConfig or PeerConfigFromFiles
// names an organisational unit.
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
