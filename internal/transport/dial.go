package transport

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"

	"github.com/quic-go/quic-go"

	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// dial is an attempt to connect, and the connection that came of it.
type dial struct {
	done   chan struct{} // closed once conn or err is set
	conn   *quic.Conn
	err    error
	cancel context.CancelFunc
}

// usable reports whether the attempt is running or its connection is open.
func (d *dial) usable() bool {
	select {
	case <-d.done:
		return d.err == nil && d.conn.Context().Err() == nil
	default:
		return true
	}
}

func (d *dial) close() {
	d.cancel()
	<-d.done
	if d.err == nil {
		_ = d.conn.CloseWithError(codeClosed, "endpoint is closed")
	}
}

// Open starts a stream of the given kind to the endpoint at addr. Its errors have the verdict
// NotRun. ctx bounds the opening only.
func (e *Endpoint) Open(ctx context.Context, addr string, kind wire.Kind) (Stream, error) {
	header, err := encode(wire.Header{Version: wire.Version, Kind: kind})
	if err != nil {
		return nil, unavailable(addr, err)
	}
	conn, err := e.connect(ctx, addr)
	if err != nil {
		return nil, unavailable(addr, err)
	}
	qs, err := conn.OpenStreamSync(ctx)
	if err != nil {
		return nil, unavailable(addr, err)
	}
	return &stream{qs: qs, header: header}, nil
}

func unavailable(addr string, err error) error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "connect to %s: %w", addr, err)
}

func encode(v any) ([]byte, error) {
	var buf bytes.Buffer
	if err := wire.Write(&buf, v); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// connect returns the cached connection to addr, or joins or starts an attempt to dial it. An
// attempt isn't bound to the context of the caller that started it, since others may wait for it.
func (e *Endpoint) connect(ctx context.Context, addr string) (*quic.Conn, error) {
	d, err := e.dialFor(addr)
	if err != nil {
		return nil, err
	}
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

func (e *Endpoint) dialFor(addr string) (*dial, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, errors.New("endpoint is closed")
	}
	if d := e.dials[addr]; d != nil && d.usable() {
		return d, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	d := &dial{done: make(chan struct{}), cancel: cancel}
	e.dials[addr] = d
	go e.run(ctx, d, addr)
	return d, nil
}

func (e *Endpoint) run(ctx context.Context, d *dial, addr string) {
	defer d.cancel()
	defer close(d.done)
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		d.err = err
		return
	}
	d.conn, d.err = e.transport.Dial(ctx, udp, e.dialTLS, e.quic)
	if d.err == nil {
		// A peer may also send streams on a connection that this endpoint dialed.
		go e.serveConn(d.conn)
	}
}

// Call opens a stream, sends req, and reads one answer of at most wire.MaxSnapshotBytes into resp.
// When resp is nil it waits for the peer's handler to return instead. ctx bounds the whole exchange.
// An error has the verdict NotRun when nothing was sent or the peer refused the stream unseen, else
// MayHaveRun.
func (e *Endpoint) Call(ctx context.Context, addr string, kind wire.Kind, req, resp any) error {
	body, err := encode(req)
	if err != nil {
		return verdict.New(verdict.NotRun, verdict.CodeProtocol, "%w", err)
	}
	s, err := e.Open(ctx, addr, kind)
	if err != nil {
		return err
	}
	stop := context.AfterFunc(ctx, s.Reset)
	defer stop()
	if err := exchange(s, body, resp); err != nil {
		s.Reset()
		return callError(ctx, addr, err)
	}
	_ = s.Close() // the exchange is complete
	return nil
}

func exchange(s Stream, body []byte, resp any) error {
	if _, err := s.Write(body); err != nil {
		return err
	}
	// This fails when the peer has answered and closed the stream already. The answer, or the error of
	// a broken connection, is read below.
	_ = s.CloseWrite()
	if resp == nil {
		// Closing at once would cancel the peer's handler.
		_, err := io.Copy(io.Discard, s)
		return err
	}
	return wire.Read(s, resp, wire.MaxSnapshotBytes)
}

// Refused reports whether err, from a read or write of a stream, means that the peer has refused the
// stream without looking at it.
func Refused(err error) bool {
	reset, ok := errors.AsType[*quic.StreamError](err)
	return ok && reset.Remote && reset.ErrorCode == codeRefused
}

func callError(ctx context.Context, addr string, err error) error {
	if Refused(err) {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "request refused by %s: %w", addr, err)
	}
	if ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	return verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "request to %s: %w", addr, err)
}

// CloseConn closes the cached connection to addr, if any. The next stream dials again.
func (e *Endpoint) CloseConn(addr string) {
	e.mu.Lock()
	d := e.dials[addr]
	delete(e.dials, addr)
	e.mu.Unlock()
	if d != nil {
		d.close()
	}
}
