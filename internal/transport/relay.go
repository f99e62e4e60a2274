package transport

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// Via names an endpoint, and optionally a relay through which its streams are opened.
type Via struct {
	Relay string // address of the relay; empty: none
	Addr  string
}

// next returns the address of the endpoint to connect to.
func (v Via) next() string {
	if v.Relay != "" {
		return v.Relay
	}
	return v.Addr
}

// header returns the messages with which a stream of a kind starts.
func (v Via) header(kind wire.Kind) ([]byte, error) {
	first := kind
	if v.Relay != "" {
		first = wire.KindRelay
	}
	header, err := frame(wire.Header{Version: wire.Version, Kind: first})
	if err != nil || v.Relay == "" {
		return header, err
	}
	request, err := frame(wire.RelayRequest{Addr: v.Addr, Kind: kind})
	return append(header, request...), err
}

// OpenVia is like Open, through a relay if one is given. A stream that the relay or the endpoint refuses fails with an
// error for which Refused reports true.
func (e *Endpoint) OpenVia(ctx context.Context, via Via, kind wire.Kind) (Stream, error) {
	header, err := via.header(kind)
	if err != nil {
		return nil, connectError(via.next(), err)
	}
	conn, quicStream, err := e.openStream(ctx, via.next())
	if err != nil {
		return nil, connectError(via.next(), err)
	}
	s := newStream(quicStream, e.activityOf(conn), header)
	s.bytes = e.counterOf(kind)
	return s, nil
}

// Connected reports whether a connection to addr is open.
func (e *Endpoint) Connected(addr string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.cached[addr]
	return c != nil && !c.dialing() && c.usable()
}

// PacketsReceived returns the number of packets received on the open connection to addr, or 0 if there is none.
func (e *Endpoint) PacketsReceived(addr string) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if c := e.cached[addr]; c != nil && !c.dialing() && c.usable() {
		return c.conn.ConnectionStats().PacketsReceived
	}
	return 0
}

// WaitRelayed waits until no stream is being relayed, or ctx ends. New ones have to be refused before.
func (e *Endpoint) WaitRelayed(ctx context.Context) {
	ticker := time.NewTicker(relayPollInterval)
	defer ticker.Stop()
	for e.relayed.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

const relayPollInterval = 10 * time.Millisecond

// maxRelayRequestBytes bounds a wire.RelayRequest.
const maxRelayRequestBytes = 256

// RelayHandler returns the handler of streams that this endpoint relays to others. allowed limits where to.
func (e *Endpoint) RelayHandler(allowed func(wire.RelayRequest) bool) Handler {
	return func(ctx context.Context, _ string, up Stream) {
		var req wire.RelayRequest
		if err := wire.Read(up, &req, maxRelayRequestBytes); err != nil {
			up.Reset() // the sender is gone, or doesn't speak this protocol
			return
		}
		if !allowed(req) {
			refuse(up)
			return
		}
		down, err := e.Open(ctx, req.Addr, req.Kind)
		if err != nil {
			refuse(up)
			return
		}
		e.relayed.Add(1)
		defer e.relayed.Add(-1)
		pass(up, down)
	}
}

// refuse resets a stream in a way that tells its peer that nothing was passed on.
func refuse(s Stream) {
	if s, ok := s.(*stream); ok {
		s.cancel(codeRefused)
		return
	}
	s.Reset()
}

// relayBuffers holds buffers of relayBufferBytes.
var relayBuffers = sync.Pool{New: func() any { return new([relayBufferBytes]byte) }}

const relayBufferBytes = 4 << 10

// pass copies between two streams until both directions have ended, or one of them has failed.
func pass(up, down Stream) {
	requestsEnded := make(chan struct{})
	go func() {
		defer close(requestsEnded)
		if err := copyStream(down, up); err != nil {
			down.Reset()
			return
		}
		_ = down.CloseWrite() // a failure shows in the other direction
	}()
	switch err := copyStream(up, down); {
	case err == nil:
		_ = up.Close() // also ends the copying of requests
	case Refused(err):
		refuse(up)
	default:
		up.Reset()
	}
	<-requestsEnded
	_ = down.Close()
}

// copyStream copies until the end of from.
func copyStream(to, from Stream) error {
	buf := relayBuffers.Get().(*[relayBufferBytes]byte)
	defer relayBuffers.Put(buf)
	_, err := io.CopyBuffer(struct{ io.Writer }{to}, struct{ io.Reader }{from}, buf[:])
	return err
}

// CallVia is like Call, through a relay if one is given.
func (e *Endpoint) CallVia(ctx context.Context, via Via, kind wire.Kind, req, resp any) error {
	body, err := frame(req)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeProtocol, "%w", err)
	}
	s, err := e.OpenVia(ctx, via, kind)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()
	if err := exchange(s, body, resp); err != nil {
		s.Reset()
		return callError(ctx, via.next(), err)
	}
	_ = s.Close() // the exchange is complete
	return nil
}
