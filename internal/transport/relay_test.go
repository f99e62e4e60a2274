package transport

import (
	"context"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// relayTest is a caller that reaches a server through a relay.
type relayTest struct {
	caller, relay, server *Endpoint
	via                   Via
}

func newRelayTest(t *testing.T, handle Handler, allowed func(wire.RelayRequest) bool) *relayTest {
	ca := testAuthority(t)
	r := &relayTest{caller: testEndpoint(t, ca, "caller"), relay: testEndpoint(t, ca, "relay"), server: testEndpoint(t, ca, "server")}
	r.server.Handle(wire.KindProbe, handle)
	r.relay.Handle(wire.KindRelay, r.relay.RelayHandler(allowed))
	serve(r.caller)
	serve(r.relay)
	serve(r.server)
	r.via = Via{Relay: r.relay.Addr(), Addr: r.server.Addr()}
	return r
}

func allowAll(wire.RelayRequest) bool { return true }

// Guards against hosts that connect to each holder in other places: through a relay, the holder has one connection.
func TestRelayedCalls(t *testing.T) {
	is := is.New(t)
	r := newRelayTest(t, handleEcho, allowAll)
	payload := strings.Repeat("x", 20_000)
	for range 50 {
		var reply wire.ProbeReply
		is.NoErr(r.caller.CallVia(t.Context(), r.via, wire.KindProbe, wire.Probe{Target: payload}, &reply))
		is.Equal(reply.Role, "relay:"+payload)
	}
	is.Equal(r.server.Stats().Connections, 1)
	is.Equal(r.server.Stats().Accepted, uint64(1))
	is.True(r.caller.Connected(r.relay.Addr()))
	is.True(!r.caller.Connected(r.server.Addr()))
}

// Guards against a caller that is told that its request may have run, although the relay passed nothing on.
func TestRelayRefusesTruthfully(t *testing.T) {
	is := is.New(t)
	r := newRelayTest(t, handleEcho, func(req wire.RelayRequest) bool { return req.Kind == wire.KindProbe })
	call := func(kind wire.Kind) error {
		var reply wire.ProbeReply
		return r.caller.CallVia(t.Context(), r.via, kind, wire.Probe{Target: "x"}, &reply)
	}
	is.NoErr(call(wire.KindProbe))
	is.Equal(verdict.Of(call(wire.KindChange)), verdict.NotRun) // not relayed
	r.server.RefuseNewStreams()
	is.Equal(verdict.Of(call(wire.KindProbe)), verdict.NotRun) // refused by the server
	is.NoErr(r.server.Close())
	for r.relay.Connected(r.server.Addr()) { // until then the relay passes the request on, into a closed connection
		time.Sleep(time.Millisecond)
	}
	is.Equal(verdict.Of(call(wire.KindProbe)), verdict.NotRun) // not reached by the relay
}

// Guards against a caller that is told that its request did not run, when the connection behind the relay is lost
// after the request was passed on.
func TestRelayedRequestMayHaveRun(t *testing.T) {
	is := is.New(t)
	received := make(chan struct{})
	r := newRelayTest(t, func(_ context.Context, _ string, s Stream) {
		var req wire.Probe
		_ = wire.Read(s, &req, wire.MaxMessageBytes)
		close(received)
		s.Reset()
	}, allowAll)
	var reply wire.ProbeReply
	err := r.caller.CallVia(t.Context(), r.via, wire.KindProbe, wire.Probe{Target: "x"}, &reply)
	<-received
	is.Equal(verdict.Of(err), verdict.MayHaveRun)
}

// Guards against work that goes on at the server after its caller has given up: the holder rolls back a block when its
// stream ends.
func TestRelayPassesReset(t *testing.T) {
	is := is.New(t)
	received, ended := make(chan struct{}), make(chan error, 1)
	r := newRelayTest(t, func(_ context.Context, _ string, s Stream) {
		var req wire.Probe
		_ = wire.Read(s, &req, wire.MaxMessageBytes)
		close(received)
		_, err := io.ReadFull(s, make([]byte, 1))
		ended <- err
	}, allowAll)
	s, err := r.caller.OpenVia(t.Context(), r.via, wire.KindProbe)
	is.NoErr(err)
	is.NoErr(wire.Write(s, wire.Probe{Target: "x"}))
	<-received
	s.Reset()
	select {
	case err := <-ended:
		is.True(err != nil)
	case <-time.After(5 * time.Second):
		t.Fatal("the server was not told that the caller has given up")
	}
}

// Guards against relayed requests that are cut by the planned stop of their relay.
func TestRelayWaitsForRelayedStreams(t *testing.T) {
	is := is.New(t)
	received, proceed := make(chan struct{}), make(chan struct{})
	r := newRelayTest(t, func(ctx context.Context, peer string, s Stream) {
		close(received)
		<-proceed
		handleEcho(ctx, peer, s)
	}, allowAll)
	result := make(chan error, 1)
	go func() {
		var reply wire.ProbeReply
		result <- r.caller.CallVia(context.Background(), r.via, wire.KindProbe, wire.Probe{Target: "x"}, &reply)
	}()
	<-received
	r.relay.RefuseNewStreams()
	short, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	r.relay.WaitRelayed(short)
	is.True(short.Err() != nil) // a stream is being relayed
	close(proceed)
	r.relay.WaitRelayed(t.Context())
	is.NoErr(<-result)
}

// Guards against data that overtakes the header of its stream when one goroutine reads and another writes.
func TestHeaderComesFirst(t *testing.T) {
	is := is.New(t)
	ca := testAuthority(t)
	a, b := testEndpoint(t, ca, "a"), testEndpoint(t, ca, "b")
	b.Handle(wire.KindProbe, handleEcho)
	serve(b)
	for range 2000 {
		s, err := a.Open(t.Context(), b.Addr(), wire.KindProbe)
		is.NoErr(err)
		body, err := frame(wire.Probe{Target: "x"})
		is.NoErr(err)
		written := make(chan error, 1)
		go func() {
			_, err := s.Write(body)
			written <- err
		}()
		var reply wire.ProbeReply
		is.NoErr(wire.Read(s, &reply, wire.MaxMessageBytes))
		is.NoErr(<-written)
		s.Reset()
	}
}
