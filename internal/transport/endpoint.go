// Package transport connects daemons by QUIC with mutual TLS, one stream per request.
//
// An Endpoint owns one UDP socket for listening and dialing. Connections are cached per address and
// dialed again after a loss. Each stream starts with a wire.Header.
package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/quic-go/quic-go"

	"github.com/citronrun/citronrun/internal/wire"
	"github.com/citronrun/citronrun/internal/workers"
)

// Protocol is the ALPN name of version 1.
const Protocol = "citron/1"

const (
	keepAlivePeriod  = 500 * time.Millisecond
	idleTimeout      = 1500 * time.Millisecond
	handshakeTimeout = 1 * time.Second
	dialTimeout      = 2 * handshakeTimeout
	headerTimeout    = 5 * time.Second
	maxHeaderBytes   = 64
	maxIdleWorkers   = 256
	maxStreams       = 1 << 14 // concurrent streams of one connection and direction
	streamWindow     = 256 << 10
	maxStreamWindow  = wire.MaxSnapshotBytes
	connWindow       = 1 << 20
	maxConnWindow    = 32 << 20
)

// Handler serves one stream. The context ends when the handler returns, the peer resets the stream
// or the connection breaks. The endpoint closes the stream after the handler has returned.
type Handler func(ctx context.Context, peer string, s Stream)

// Endpoint sends and receives streams on one UDP socket. Its methods are safe for concurrent use,
// but Handle must not be called after Serve.
type Endpoint struct {
	socket    *net.UDPConn
	transport *quic.Transport
	listener  *quic.Listener
	dialTLS   *tls.Config
	quic      *quic.Config
	logger    log.Logger
	handlers  map[wire.Kind]Handler
	units     map[wire.Kind]string // organisational unit that a peer's certificate needs

	mu             sync.Mutex
	dials          map[string]*dial
	refusing       bool
	closed         bool
	conns          map[*quic.Conn]struct{} // open
	sent, received uint64                  // bytes, on closed connections

	streams sync.WaitGroup
	workers *workers.Pool
	end     context.CancelFunc // of idle workers
}

// Listen binds addr (IP:PORT, port 0 for any) and prepares the TLS configurations of both
// directions. conf needs a certificate and RootCAs; ClientCAs defaults to RootCAs.
func Listen(addr string, conf *tls.Config, logger log.Logger) (*Endpoint, error) {
	serverTLS, dialTLS, err := tlsConfigs(conf)
	if err != nil {
		return nil, err
	}
	udp, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("resolve %q: %w", addr, err)
	}
	// Small buffers suffice for the traffic between hosts, and the warning isn't in the log's format.
	if err := os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true"); err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	e := &Endpoint{
		socket:    socket,
		transport: &quic.Transport{Conn: socket},
		dialTLS:   dialTLS,
		quic:      quicConfig(),
		logger:    log.With(logger, "part", "transport"),
		handlers:  map[wire.Kind]Handler{},
		units:     map[wire.Kind]string{},
		dials:     map[string]*dial{},
		conns:     map[*quic.Conn]struct{}{},
	}
	ctx, end := context.WithCancel(context.Background())
	e.workers, e.end = workers.New(maxIdleWorkers, ctx.Done()), end
	e.listener, err = e.transport.Listen(serverTLS, e.quic)
	if err != nil {
		end()
		err = errors.Join(err, e.transport.Close(), socket.Close())
		return nil, fmt.Errorf("listen for QUIC: %w", err)
	}
	return e, nil
}

func quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshakeTimeout,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		MaxIncomingStreams:             maxStreams,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
		// Most messages fit one packet, so that the probes for larger packets cost more than they save.
		DisablePathMTUDiscovery: true,
	}
}

// Addr returns the bound address, IP:PORT.
func (e *Endpoint) Addr() string { return e.socket.LocalAddr().String() }

// Traffic returns the bytes sent and received since Listen on all connections, without UDP and IP
// headers.
func (e *Endpoint) Traffic() (sent, received uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	sent, received = e.sent, e.received
	for conn := range e.conns {
		stats := conn.ConnectionStats()
		sent += stats.BytesSent
		received += stats.BytesReceived
	}
	return sent, received
}

// Connections returns the number of open connections.
func (e *Endpoint) Connections() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.conns)
}

func (e *Endpoint) track(conn *quic.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conns[conn] = struct{}{}
}

// untrack keeps the traffic of a closed connection.
func (e *Endpoint) untrack(conn *quic.Conn) {
	stats := conn.ConnectionStats()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.conns, conn)
	e.sent += stats.BytesSent
	e.received += stats.BytesReceived
}

// Handle registers the handler of a kind of streams. It must be called before Serve.
func (e *Endpoint) Handle(kind wire.Kind, h func(ctx context.Context, peer string, s Stream)) {
	e.handlers[kind] = h
}

// RequireUnit refuses streams of a kind from peers whose certificate lacks an organisational unit. It must
// be called before Serve.
func (e *Endpoint) RequireUnit(kind wire.Kind, unit string) { e.units[kind] = unit }

// Serve accepts connections until ctx ends or Close is called. It returns nil in both cases.
func (e *Endpoint) Serve(ctx context.Context) error {
	for {
		conn, err := e.listener.Accept(ctx)
		if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) || errors.Is(err, quic.ErrTransportClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept connection: %w", err)
		}
		e.adopt(conn)
		go e.serveConn(conn)
	}
}

// adopt lets Open use an accepted connection, unless there is one to this address already. A peer
// dials from the socket on which it listens, so that its address is known.
func (e *Endpoint) adopt(conn *quic.Conn) {
	addr := conn.RemoteAddr().String()
	e.mu.Lock()
	defer e.mu.Unlock()
	if d := e.dials[addr]; e.closed || d != nil && d.usable() {
		return
	}
	d := &dial{done: make(chan struct{}), conn: conn, cancel: func() {}}
	close(d.done)
	e.dials[addr] = d
}

// Close closes all connections and the socket, and waits for the handlers to return.
func (e *Endpoint) Close() error {
	e.mu.Lock()
	e.closed = true
	dials := e.dials
	e.dials = map[string]*dial{}
	e.mu.Unlock()
	for _, d := range dials {
		d.close()
	}
	err := errors.Join(e.listener.Close(), e.transport.Close(), e.socket.Close())
	e.streams.Wait()
	e.end()
	return err
}

func (e *Endpoint) serveConn(conn *quic.Conn) {
	e.track(conn)
	defer e.untrack(conn)
	peer, err := peerName(conn.ConnectionState().TLS)
	if err != nil {
		_ = level.Warn(e.logger).Log("msg", "connection refused", "addr", conn.RemoteAddr(), "err", err)
		_ = conn.CloseWithError(codeRefused, "peer has no name")
		return
	}
	for {
		qs, err := conn.AcceptStream(conn.Context())
		if err != nil {
			return
		}
		if !e.startStream() {
			// Only the stream is refused. Responses to earlier ones may still be under way on this
			// connection.
			(&stream{qs: qs}).cancel(codeRefused)
			continue
		}
		e.workers.Go(func() { e.serveStream(conn, peer, qs) })
	}
}

// RefuseNewStreams makes the endpoint refuse all further streams unseen, which their senders learn as NotRun.
// Streams that have begun go on, and so do those that this endpoint opens.
func (e *Endpoint) RefuseNewStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusing = true
}

func (e *Endpoint) startStream() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.refusing {
		return false
	}
	e.streams.Add(1)
	return true
}

func (e *Endpoint) serveStream(conn *quic.Conn, peer string, qs *quic.Stream) {
	defer e.streams.Done()
	s := &stream{qs: qs}
	h, err := e.acceptHeader(conn, qs)
	if err != nil {
		_ = level.Debug(e.logger).Log("msg", "stream refused", "peer", peer, "err", err)
		s.cancel(codeRefused)
		return
	}
	ctx, cancel := context.WithCancel(conn.Context())
	defer cancel()
	stop := context.AfterFunc(qs.Context(), func() {
		if _, ok := errors.AsType[*quic.StreamError](context.Cause(qs.Context())); ok {
			cancel()
		}
	})
	defer stop()
	h(ctx, peer, s)
	_ = s.Close()
}

// acceptHeader reads the header and returns the handler of its kind.
func (e *Endpoint) acceptHeader(conn *quic.Conn, qs *quic.Stream) (Handler, error) {
	if err := qs.SetReadDeadline(time.Now().Add(headerTimeout)); err != nil {
		return nil, err
	}
	var header wire.Header
	if err := wire.Read(qs, &header, maxHeaderBytes); err != nil {
		return nil, fmt.Errorf("read stream header: %w", err)
	}
	if header.Version != wire.Version {
		return nil, fmt.Errorf("protocol version %d is not supported", header.Version)
	}
	h, ok := e.handlers[header.Kind]
	if !ok {
		return nil, fmt.Errorf("stream kind %d is not supported", header.Kind)
	}
	if unit, ok := e.units[header.Kind]; ok && !hasUnit(conn.ConnectionState().TLS, unit) {
		return nil, fmt.Errorf("stream kind %d needs a certificate with the organisational unit %q", header.Kind, unit)
	}
	return h, qs.SetReadDeadline(time.Time{})
}
