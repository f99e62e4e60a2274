package transport

import (
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"slices"

	"github.com/quic-go/quic-go"
)

// tlsConfigs derives the TLS configurations for accepting and for dialing connections.
func tlsConfigs(conf *tls.Config) (server, client *tls.Config, err error) {
	if conf != nil && conf.InsecureSkipVerify {
		server, client = unverifiedConfigs(conf)
		return server, client, nil
	}
	if conf == nil || conf.RootCAs == nil {
		return nil, nil, errors.New("TLS configuration has no root certificates")
	}
	server = conf.Clone()
	server.NextProtos = []string{Protocol}
	server.MinVersion = tls.VersionTLS13
	server.ClientAuth = tls.RequireAndVerifyClientCert
	server.SessionTicketsDisabled = true
	if server.ClientCAs == nil {
		server.ClientCAs = conf.RootCAs
	}
	client = conf.Clone()
	client.NextProtos = []string{Protocol}
	client.MinVersion = tls.VersionTLS13
	// Hosts are dialed by IP address and identified by the common name of their certificate, so the
	// standard check of the dialed name does not apply. VerifyConnection verifies the chain instead.
	client.InsecureSkipVerify = true
	roots := conf.RootCAs
	client.VerifyConnection = func(state tls.ConnectionState) error {
		if err := verifyServer(state, roots); err != nil || conf.VerifyConnection == nil {
			return err
		}
		return conf.VerifyConnection(state)
	}
	return server, client, nil
}

// unverifiedConfigs returns configurations that encrypt but accept any peer whose certificate has a common
// name. They are for installations without a shared secret that could authenticate peers.
func unverifiedConfigs(conf *tls.Config) (server, client *tls.Config) {
	server = conf.Clone()
	server.NextProtos = []string{Protocol}
	server.MinVersion = tls.VersionTLS13
	server.ClientAuth = tls.RequireAnyClientCert
	server.SessionTicketsDisabled = true
	client = conf.Clone()
	client.NextProtos = []string{Protocol}
	client.MinVersion = tls.VersionTLS13
	return server, client
}

// verifyServer checks that the server's certificate has a common name and is signed by one of roots.
func verifyServer(state tls.ConnectionState, roots *x509.CertPool) error {
	if _, err := peerName(state); err != nil {
		return err
	}
	opts := x509.VerifyOptions{
		Roots:         roots,
		Intermediates: x509.NewCertPool(),
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	for _, cert := range state.PeerCertificates[1:] {
		opts.Intermediates.AddCert(cert)
	}
	if _, err := state.PeerCertificates[0].Verify(opts); err != nil {
		return fmt.Errorf("verify peer certificate: %w", err)
	}
	return nil
}

// resetKey returns the key of the stateless resets by which a process tells its peers that it doesn't know a
// connection, such as one of an earlier process of the host. It is the same for all processes of a host. With
// unverified certificates, which are new at each start, it is derived from the name in the certificate: peers that
// can't be authenticated have no protection against resets either.
func resetKey(conf *tls.Config) *quic.StatelessResetKey {
	if len(conf.Certificates) == 0 || len(conf.Certificates[0].Certificate) == 0 {
		return nil
	}
	seed := []byte(nil)
	if cert, err := x509.ParseCertificate(conf.Certificates[0].Certificate[0]); err == nil && conf.InsecureSkipVerify {
		seed = []byte(cert.Subject.CommonName)
	} else if der, err := x509.MarshalPKCS8PrivateKey(conf.Certificates[0].PrivateKey); err == nil {
		seed = der
	} else {
		return nil
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("citronrun stateless reset "), seed...)))
	return &key
}

// peerName returns the host name of the peer, the common name of its certificate.
func peerName(state tls.ConnectionState) (string, error) {
	if len(state.PeerCertificates) == 0 {
		return "", errors.New("peer sent no certificate")
	}
	name := state.PeerCertificates[0].Subject.CommonName
	if name == "" {
		return "", errors.New("peer certificate has no common name")
	}
	return name, nil
}

// hasUnit reports whether the peer's certificate has the organisational unit.
func hasUnit(state tls.ConnectionState, unit string) bool {
	return len(state.PeerCertificates) > 0 && slices.Contains(state.PeerCertificates[0].Subject.OrganizationalUnit, unit)
}
