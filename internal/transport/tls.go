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

// keyExchanges excludes hybrid post-quantum key exchanges: their shares of 1.1 KB in each direction take a handshake
// from one padded packet to two, and every host makes a handshake with every other.
var keyExchanges = []tls.CurveID{tls.X25519, tls.CurveP256}

// tlsConfigs derives the TLS configurations for accepting and for dialing connections.
func tlsConfigs(conf *tls.Config) (server, client *tls.Config, err error) {
	if conf != nil && conf.InsecureSkipVerify {
		server, client = unverifiedConfigs(conf)
		return server, client, nil
	}
	if conf == nil || conf.RootCAs == nil {
		return nil, nil, errors.New("TLS configuration has no root certificates")
	}
	conf = conf.Clone()
	conf.CurvePreferences = keyExchanges
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
	conf = conf.Clone()
	conf.CurvePreferences = keyExchanges
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
	cert := ownCertificate(conf)
	if cert == nil || len(cert.Certificate) == 0 {
		return nil
	}
	var seed []byte
	if conf.InsecureSkipVerify {
		leaf, err := x509.ParseCertificate(cert.Certificate[0])
		if err != nil {
			return nil
		}
		seed = []byte(leaf.Subject.CommonName)
	} else {
		der, err := x509.MarshalPKCS8PrivateKey(cert.PrivateKey)
		if err != nil {
			return nil
		}
		seed = der
	}
	key := quic.StatelessResetKey(sha256.Sum256(append([]byte("citronrun stateless reset "), seed...)))
	return &key
}

// ownCertificate returns the certificate of this host, or nil.
func ownCertificate(conf *tls.Config) *tls.Certificate {
	if len(conf.Certificates) > 0 {
		return &conf.Certificates[0]
	}
	if conf.GetCertificate == nil {
		return nil
	}
	cert, err := conf.GetCertificate(&tls.ClientHelloInfo{})
	if err != nil {
		return nil
	}
	return cert
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
