package pki

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

// handshake performs a TLS handshake and returns the common name that the server sees.
func handshake(t *testing.T, server, client *tls.Config) (peer string, err error) {
	t.Helper()
	serverPipe, clientPipe := net.Pipe()
	defer serverPipe.Close()
	defer clientPipe.Close()
	serverConn, clientConn := tls.Server(serverPipe, server), tls.Client(clientPipe, client)
	clientErr := make(chan error, 1)
	go func() {
		defer clientPipe.Close()
		clientErr <- clientConn.Handshake()
	}()
	err = serverConn.Handshake()
	_ = serverPipe.Close()
	if err != nil {
		<-clientErr
		return "", err
	}
	return serverConn.ConnectionState().PeerCertificates[0].Subject.CommonName, errors.Join(err, <-clientErr)
}

// Guards against connections between hosts of different authorities, and against a peer name that is not the
// one in the certificate.
func TestHandshakeRequiresSameAuthority(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	ca, err := NewAuthority(now, time.Hour)
	is.NoErr(err)
	otherCA, err := NewAuthority(now, time.Hour)
	is.NoErr(err)
	config := func(signer KeyPair, name string) *tls.Config {
		p, err := NewHost(signer, name, nil, now, time.Hour)
		is.NoErr(err)
		c, err := PeerConfig(ca.Cert, p)
		is.NoErr(err)
		return c
	}
	peer, err := handshake(t, config(ca, "a"), config(ca, "b"))
	is.NoErr(err)
	is.Equal(peer, "b")
	_, err = handshake(t, config(ca, "a"), config(otherCA, "b"))
	is.True(err != nil) // signed by another authority
}

// Guards against private key files that other users can read, and against overwriting an existing authority.
func TestWriteKeyFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca, err := NewAuthority(time.Now(), time.Hour)
	is.NoErr(err)
	is.NoErr(ca.Write(dir, "ca"))
	info, err := os.Stat(dir + "/ca.key")
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(privateFileMode))
	is.True(errors.Is(ca.Write(dir, "ca"), os.ErrExist))
	stored, err := ReadKeyPair(dir, "ca")
	is.NoErr(err)
	is.Equal(stored, ca)
}
