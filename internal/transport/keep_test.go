package transport

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

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
// must not wait until the peer counts as silent.
func TestRestartedPeerResetsConnections(t *testing.T) {
	is := is.New(t)
	ca := testAuthority(t)
	a := testEndpoint(t, ca, "a")
	conf, err := ca.HostConfig("b")
	is.NoErr(err)
	b, err := Listen("127.0.0.1:0", conf, a.logger)
	is.NoErr(err)
	b.Handle(wire.KindProbe, handleEcho)
	serve(b)
	addr := b.Addr()
	is.NoErr(a.Call(t.Context(), addr, wire.KindProbe, wire.Probe{}, &wire.ProbeReply{}))
	is.NoErr(b.socket.Close()) // the process ends without closing its connections
	_ = b.Close()

	restarted, err := Listen(addr, conf, a.logger)
	is.NoErr(err)
	defer restarted.Close()
	restarted.Handle(wire.KindProbe, handleEcho)
	serve(restarted)
	start := time.Now()
	for a.Call(t.Context(), addr, wire.KindProbe, wire.Probe{}, &wire.ProbeReply{}) != nil {
		if time.Since(start) > silenceLimit/2 {
			t.Fatal("the restarted peer has not reset the connection of its earlier process")
		}
	}
}
