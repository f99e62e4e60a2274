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

// cachedConn is a connection that is being dialed, is open, or has failed or ended.
type cachedConn struct {
	done   chan struct{} // closed once conn or err is set
	conn   *quic.Conn
	err    error
	cancel context.CancelFunc
}

// usable reports whether the connection is being dialed or is open.
func (c *cachedConn) usable() bool {
	select {
	case <-c.done:
		return c.err == nil && c.conn.Context().Err() == nil
	default:
		return true
	}
}

// dialing reports whether the connection is being dialed.
func (c *cachedConn) dialing() bool {
	select {
	case <-c.done:
		return false
	default:
		return true
	}
}

// close cancels the dialing or closes the connection. The peer sees the same code and reason whether the endpoint
// is closed or, by CloseConn, only this connection.
func (c *cachedConn) close() {
	c.cancel()
	<-c.done
	if c.err == nil {
		_ = c.conn.CloseWithError(codeClosed, "endpoint is closed")
	}
}

// Open opens a stream of the given kind to the endpoint at addr. Its errors have the verdict NotRun. ctx
// bounds only the opening, not the use of the stream.
func (e *Endpoint) Open(ctx context.Context, addr string, kind wire.Kind) (Stream, error) {
	return e.OpenVia(ctx, Via{Addr: addr}, kind)
}

// openStream opens a stream on the cached connection to addr, or on a new one if the cached one has just ended.
func (e *Endpoint) openStream(ctx context.Context, addr string) (*quic.Conn, *quic.Stream, error) {
	for retried := false; ; retried = true {
		conn, err := e.connect(ctx, addr)
		if err != nil {
			return nil, nil, err
		}
		quicStream, err := conn.OpenStreamSync(ctx)
		if err == nil {
			return conn, quicStream, nil
		}
		if ctx.Err() != nil || retried {
			return nil, nil, err
		}
		e.mu.Lock()
		e.forget(conn)
		e.mu.Unlock()
	}
}

var errDialPending = errors.New("the handshake is not complete yet")

func connectError(addr string, err error) error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "connect to %s: %w", addr, err)
}

func frame(v any) ([]byte, error) {
	var buf bytes.Buffer
	if err := wire.Write(&buf, v); err != nil {
		return nil, err
	}
	return buf.Bytes(), nil
}

// connect returns the cached connection to addr, or dials one, and waits for it for dialWaitLimit at most.
// Concurrent callers share one dial, which therefore is not bound to the context of the caller that started it.
func (e *Endpoint) connect(ctx context.Context, addr string) (*quic.Conn, error) {
	c, err := e.dialOrCached(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeoutCause(ctx, dialWaitLimit, errDialPending)
	defer cancel()
	select {
	case <-c.done:
		return c.conn, c.err
	case <-ctx.Done():
		return nil, context.Cause(ctx)
	}
}

// dialOrCached returns the cached connection to addr if it is usable, or starts dialing one.
func (e *Endpoint) dialOrCached(addr string) (*cachedConn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, errors.New("endpoint is closed")
	}
	if c := e.cached[addr]; c != nil && c.usable() {
		return c, nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	c := &cachedConn{done: make(chan struct{}), cancel: cancel}
	e.cached[addr] = c
	e.totals.Dials++
	go e.dial(ctx, c, addr)
	return c, nil
}

// dial sets the connection of c, or its error, and starts to serve the streams that the peer opens on it.
func (e *Endpoint) dial(ctx context.Context, c *cachedConn, addr string) {
	defer c.cancel()
	defer close(c.done)
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		c.err = err
		return
	}
	c.conn, c.err = e.transport.Dial(ctx, udpAddr, e.dialTLS, e.quic)
	if c.err != nil {
		e.mu.Lock()
		e.totals.DialsFailed++
		e.mu.Unlock()
		return
	}
	e.track(c.conn)
	go e.serveConn(c.conn)
}

// Call opens a stream, sends req, and reads one response of at most wire.MaxSnapshotBytes into resp. If resp
// is nil, it waits until the peer's handler has returned instead. ctx bounds the whole exchange. An error has
// the verdict NotRun if nothing was sent or the peer refused the stream, and MayHaveRun otherwise.
func (e *Endpoint) Call(ctx context.Context, addr string, kind wire.Kind, req, resp any) error {
	return e.CallVia(ctx, Via{Addr: addr}, kind, req, resp)
}

// exchange sends body and reads the response into resp, or waits for the end of the stream if resp is nil.
func exchange(s Stream, body []byte, resp any) error {
	if _, err := s.Write(body); err != nil {
		return err
	}
	// This fails if the peer has already responded and closed the stream. The response, or the error of a
	// lost connection, is read below.
	_ = s.CloseWrite()
	if resp == nil {
		// Closing the stream now would cancel the context of the peer's handler.
		_, err := io.Copy(io.Discard, s)
		return err
	}
	return wire.Read(s, resp, wire.MaxSnapshotBytes)
}

// Refused reports whether err, from a read or write of a stream, means that the peer refused the stream
// before any handler saw it.
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

// CloseConn closes the cached connection to addr, if any. The next Open dials a new one.
func (e *Endpoint) CloseConn(addr string) {
	e.mu.Lock()
	c := e.cached[addr]
	delete(e.cached, addr)
	e.mu.Unlock()
	if c != nil {
		c.close()
	}
}
