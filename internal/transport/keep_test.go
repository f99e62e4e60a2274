package transport

import (
	"context"
	"crypto/tls"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/pki"
	"github.com/citronrun/citronrun/internal/wire"
)

// Guards against handshakes that wait until traffic needs the connection, when all hosts would make them at once, and
// against a peer that is not dialed again after its process has restarted.
func TestConnectionsAreMadeInAdvance(t *testing.T) {
	is := is.New(t)
	ca := testAuthority(t)
	a, b := testEndpoint(t, ca, "a"), testEndpoint(t, ca, "b")
	serve(a)
	serve(b)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go a.KeepConnected(ctx, func() []string { return []string{b.Addr()} })
	awaitConnections(t, a, 1)
	awaitConnections(t, b, 1)
	is.Equal(b.Stats().Accepted, uint64(1))

	conf, err := ca.HostConfig("b")
	is.NoErr(err)
	addr := b.Addr()
	is.NoErr(b.Close())
	restarted, err := Listen(addr, conf, b.logger)
	is.NoErr(err)
	defer restarted.Close()
	serve(restarted)
	awaitConnections(t, restarted, 1)
}

func awaitConnections(t *testing.T, e *Endpoint, want int) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); e.Stats().Connections < want; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("%d connections, want %d", e.Stats().Connections, want)
		}
	}
}

// Guards against a peer that has restarted without closing its connections: the first request on the old connection
// must not wait until the peer counts as silent. Self-signed hosts have a new certificate after each start.
func TestRestartedPeerResetsConnections(t *testing.T) {
	ca := testAuthority(t)
	signed, err := ca.HostConfig("b")
	if err != nil {
		t.Fatal(err)
	}
	for name, config := range map[string]func(host string) (*tls.Config, error){
		"signed": func(host string) (*tls.Config, error) {
			if host == "b" {
				return signed, nil
			}
			return ca.HostConfig(host)
		},
		"self-signed": func(host string) (*tls.Config, error) { return pki.SelfSignedConfig(host) },
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			start := func(host, addr string) *Endpoint {
				conf, err := config(host)
				is.NoErr(err)
				e, err := Listen(addr, conf, log.NewNopLogger())
				is.NoErr(err)
				t.Cleanup(func() { _ = e.Close() })
				e.Handle(wire.KindProbe, handleEcho)
				serve(e)
				return e
			}
			a, b := start("a", "127.0.0.1:0"), start("b", "127.0.0.1:0")
			addr := b.Addr()
			is.NoErr(a.Call(t.Context(), addr, wire.KindProbe, wire.Probe{}, &wire.ProbeReply{}))
			is.NoErr(b.socket.Close()) // the process ends without closing its connections
			_ = b.Close()

			start("b", addr)
			restarted := time.Now()
			for a.Call(t.Context(), addr, wire.KindProbe, wire.Probe{}, &wire.ProbeReply{}) != nil {
				if time.Since(restarted) > silenceLimit/2 {
					t.Fatal("the restarted peer has not reset the connection of its earlier process")
				}
			}
		})
	}
}
