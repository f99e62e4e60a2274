package transport

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"slices"
)

// tlsConfigs derives the configurations for accepting and for dialing.
func tlsConfigs(conf *tls.Config) (server, client *tls.Config, err error) {
	if conf != nil && conf.InsecureSkipVerify {
		server, client = unverified(conf)
		return server, client, nil
	}
	if conf == nil || conf.RootCAs == nil {
		return nil, nil, errors.New("TLS configuration has no root certificates")
	}
	server = conf.Clone()
	server.NextProtos = []string{Protocol}
	server.MinVersion = tls.VersionTLS13
	server.ClientAuth = tls.RequireAndVerifyClientCert
	if server.ClientCAs == nil {
		server.ClientCAs = conf.RootCAs
	}
	client = conf.Clone()
	client.NextProtos = []string{Protocol}
	client.MinVersion = tls.VersionTLS13
	// Hosts are dialed by IP address and named by the certificate's common name, so that the
	// standard check of the dialed name doesn't apply. VerifyConnection checks the chain instead.
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

// unverified encrypts, but accepts every peer that shows a certificate with a name. It is for
// installations that have no secret from which peers could be authenticated.
func unverified(conf *tls.Config) (server, client *tls.Config) {
	server = conf.Clone()
	server.NextProtos = []string{Protocol}
	server.MinVersion = tls.VersionTLS13
	server.ClientAuth = tls.RequireAnyClientCert
	client = conf.Clone()
	client.NextProtos = []string{Protocol}
	client.MinVersion = tls.VersionTLS13
	return server, client
}

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
		return fmt.Errorf("verify certificate of the peer: %w", err)
	}
	return nil
}

// peerName returns the host name in the peer's certificate.
func peerName(state tls.ConnectionState) (string, error) {
	if len(state.PeerCertificates) == 0 {
		return "", errors.New("peer sent no certificate")
	}
	name := state.PeerCertificates[0].Subject.CommonName
	if name == "" {
		return "", errors.New("certificate of the peer has no common name")
	}
	return name, nil
}

// hasUnit reports whether the peer's certificate names an organisational unit.
func hasUnit(state tls.ConnectionState, unit string) bool {
	return len(state.PeerCertificates) > 0 && slices.Contains(state.PeerCertificates[0].Subject.OrganizationalUnit, unit)
}
