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

func handshake(t *testing.T, server, client *tls.Config) (peer string, err error) {
	t.Helper()
	a, b := net.Pipe()
	defer a.Close()
	defer b.Close()
	s, c := tls.Server(a, server), tls.Client(b, client)
	done := make(chan error, 1)
	go func() {
		defer b.Close()
		done <- c.Handshake()
	}()
	err = s.Handshake()
	_ = a.Close()
	if err != nil {
		<-done
		return "", err
	}
	return s.ConnectionState().PeerCertificates[0].Subject.CommonName, errors.Join(err, <-done)
}

// Guards against a daemon that talks to a host of another installation or takes its name.
func TestOnlyTheAuthoritysHostsConnect(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	ours, err := NewAuthority(now, time.Hour)
	is.NoErr(err)
	other, err := NewAuthority(now, time.Hour)
	is.NoErr(err)
	config := func(ca KeyPair, name string) *tls.Config {
		p, err := NewHost(ca, name, nil, now, time.Hour)
		is.NoErr(err)
		c, err := PeerConfig(ours.Cert, p)
		is.NoErr(err)
		return c
	}
	peer, err := handshake(t, config(ours, "a"), config(ours, "b"))
	is.NoErr(err)
	is.Equal(peer, "b")
	_, err = handshake(t, config(ours, "a"), config(other, "b"))
	is.True(err != nil) // signed by another authority
}

// Guards against private keys that others can read, and against overwriting an authority in use.
func TestWriteProtectsKeys(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca, err := NewAuthority(time.Now(), time.Hour)
	is.NoErr(err)
	is.NoErr(ca.Write(dir, "ca"))
	info, err := os.Stat(dir + "/ca.key")
	is.NoErr(err)
	is.Equal(info.Mode().Perm(), os.FileMode(privateFileMode))
	is.True(errors.Is(ca.Write(dir, "ca"), os.ErrExist))
	back, err := ReadKeyPair(dir, "ca")
	is.NoErr(err)
	is.Equal(back, ca)
}
