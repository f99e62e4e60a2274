// Package transport connects daemons over QUIC with mutual TLS, with one stream per request.
//
// An Endpoint uses one UDP socket for listening and dialing. It caches one connection per address and
// redials after a connection is lost. A peer counts as lost when it leaves data or a probe unanswered; connections
// without open streams are kept at almost no cost. Each stream starts with a wire.Header.
package transport

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/quic-go/quic-go"

	"github.com/citronrun/citronrun/internal/contain"
	"github.com/citronrun/citronrun/internal/wire"
	"github.com/citronrun/citronrun/internal/workers"
)

// Protocol is the ALPN protocol ID.
const Protocol = "citron/1"

const (
	// keepAlivePeriod and idleTimeout apply to connections without data in flight; see also silenceLimit.
	keepAlivePeriod = 10 * time.Second
	idleTimeout     = 30 * time.Second
	// handshakeTimeout is longer than a slow link may delay a packet: a handshake that is given up while its
	// packets wait in a queue has filled the link for nothing.
	handshakeTimeout = 4 * time.Second
	dialTimeout      = 2 * handshakeTimeout
	dialWaitLimit    = 2 * time.Second // of one caller for a dial
	headerTimeout    = 5 * time.Second
	maxHeaderBytes   = 64
	maxIdleWorkers   = 256
	maxServedStreams = 1 << 14 // of one connection at the same time; further ones are refused
	// protocolStreamLimit is the greatest limit of streams that QUIC can express. With a lower one, quic-go announces a new
	// limit, in a packet of its own, after each stream that has ended.
	protocolStreamLimit = 1 << 60
	streamWindow        = 256 << 10
	maxStreamWindow     = wire.MaxSnapshotBytes
	connWindow          = 1 << 20
	maxConnWindow       = 32 << 20
)

// Handler serves one stream from the host peer. ctx ends when the handler returns, the peer resets the
// stream or the connection is lost. The endpoint closes the stream after the handler has returned.
type Handler func(ctx context.Context, peer string, s Stream)

// Endpoint opens and accepts streams on one UDP socket. Its methods are safe for concurrent use, except that
// Handle and RequireUnit must be called before Serve.
type Endpoint struct {
	socket        *net.UDPConn
	transport     *quic.Transport
	listener      *quic.Listener
	dialTLS       *tls.Config
	quic          *quic.Config
	logger        log.Logger
	handlers      map[wire.Kind]Handler
	requiredUnits map[wire.Kind]string // organisational unit that the peer's certificate must have
	maxServed     int64                // streams of one connection that are served at the same time

	streamBytes [wire.KindCount]streamCounter // by kind
	relayed     atomic.Int64                  // streams that are being relayed

	mu        sync.Mutex
	cached    map[string]*cachedConn // by address of the peer
	refusing  bool                   // RefuseNewStreams was called
	closed    bool
	openConns map[*quic.Conn]*connActivity // including accepted ones
	totals    Stats                        // of closed connections; dials and accepted connections of all

	activeStreams sync.WaitGroup
	workers       *workers.Pool
	stopWorkers   context.CancelFunc // ends the idle workers and closeSilent
}

// Listen binds a UDP socket to addr, which is IP:PORT; port 0 selects a free port. conf applies to accepted and dialed
// connections. It must have a certificate, and RootCAs unless InsecureSkipVerify is set; ClientCAs
// defaults to RootCAs.
func Listen(addr string, conf *tls.Config, logger log.Logger) (*Endpoint, error) {
	serverTLS, dialTLS, err := tlsConfigs(conf)
	if err != nil {
		return nil, err
	}
	udpAddr, err := net.ResolveUDPAddr("udp", addr)
	if err != nil {
		return nil, fmt.Errorf("resolve %q: %w", addr, err)
	}
	// The default socket buffers suffice for the traffic between hosts, and quic-go's warning about them
	// is not in the format of the log.
	if err := os.Setenv("QUIC_GO_DISABLE_RECEIVE_BUFFER_WARNING", "true"); err != nil {
		return nil, err
	}
	socket, err := net.ListenUDP("udp", udpAddr)
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	e := &Endpoint{
		socket:        socket,
		transport:     &quic.Transport{Conn: socket, StatelessResetKey: resetKey(conf)},
		dialTLS:       dialTLS,
		quic:          quicConfig(),
		logger:        log.With(logger, "part", "transport"),
		handlers:      map[wire.Kind]Handler{},
		requiredUnits: map[wire.Kind]string{},
		maxServed:     maxServedStreams,
		cached:        map[string]*cachedConn{},
		openConns:     map[*quic.Conn]*connActivity{},
	}
	ctx, stopWorkers := context.WithCancel(context.Background())
	e.workers, e.stopWorkers = workers.New(maxIdleWorkers, ctx.Done()), stopWorkers
	go e.closeSilent(ctx)
	e.listener, err = e.transport.Listen(serverTLS, e.quic)
	if err != nil {
		stopWorkers()
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
		MaxIncomingStreams:             protocolStreamLimit,
		MaxIncomingUniStreams:          -1,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maxStreamWindow,
		InitialConnectionReceiveWindow: connWindow,
		MaxConnectionReceiveWindow:     maxConnWindow,
		// Most messages fit into one packet, so MTU probes cost more than larger packets would save.
		DisablePathMTUDiscovery: true,
		EnableDatagrams:         true, // for probes
	}
}

// Addr returns the bound address, IP:PORT.
func (e *Endpoint) Addr() string { return e.socket.LocalAddr().String() }

// Peers returns the addresses of the hosts with an open connection.
func (e *Endpoint) Peers() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	peers := map[string]struct{}{}
	for conn := range e.openConns {
		peers[conn.RemoteAddr().String()] = struct{}{}
	}
	return slices.Collect(maps.Keys(peers))
}

// track registers a new connection until untrack.
func (e *Endpoint) track(conn *quic.Conn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.openConns[conn] = &connActivity{}
}

// activityOf returns the activity of a connection. That of a connection that has ended is not checked any more.
func (e *Endpoint) activityOf(conn *quic.Conn) *connActivity {
	e.mu.Lock()
	defer e.mu.Unlock()
	if activity := e.openConns[conn]; activity != nil {
		return activity
	}
	return &connActivity{}
}

// untrack removes a closed connection and adds its traffic to the totals.
func (e *Endpoint) untrack(conn *quic.Conn) {
	stats := conn.ConnectionStats()
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.openConns, conn)
	e.totals.add(stats)
	e.totals.recordEnd(context.Cause(conn.Context()))
}

// Handle registers the handler for streams of a kind. It must be called before Serve.
func (e *Endpoint) Handle(kind wire.Kind, h func(ctx context.Context, peer string, s Stream)) {
	e.handlers[kind] = h
}

// RequireUnit makes the endpoint refuse streams of a kind from peers whose certificate does not have the
// given organisational unit. It must be called before Serve.
func (e *Endpoint) RequireUnit(kind wire.Kind, unit string) { e.requiredUnits[kind] = unit }

// Serve accepts connections until ctx ends or Close is called. It returns nil in both cases.
func (e *Endpoint) Serve(ctx context.Context) error {
	go e.reportLinks(ctx)
	for {
		conn, err := e.listener.Accept(ctx)
		if ctx.Err() != nil || errors.Is(err, quic.ErrServerClosed) || errors.Is(err, quic.ErrTransportClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept connection: %w", err)
		}
		e.track(conn)
		e.cacheAccepted(conn)
		go e.serveConn(conn)
	}
}

// cacheAccepted makes an accepted connection the one that Open uses, unless this host is dialing that address.
// Peers dial from their listening socket, so the remote address is the one that Open is called with. A peer that
// dials has no usable connection to this host: an older one belongs to an earlier process of the peer, or is about
// to end.
func (e *Endpoint) cacheAccepted(conn *quic.Conn) {
	addr := conn.RemoteAddr().String()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.totals.Accepted++
	if cached := e.cached[addr]; e.closed || cached != nil && cached.dialing() {
		return
	}
	c := &cachedConn{done: make(chan struct{}), conn: conn, cancel: func() {}}
	close(c.done)
	e.cached[addr] = c
}

// Close closes all connections and the socket, and waits for the handlers to return.
func (e *Endpoint) Close() error {
	e.mu.Lock()
	e.closed = true
	cached := e.cached
	e.cached = map[string]*cachedConn{}
	e.mu.Unlock()
	for _, c := range cached {
		c.close()
	}
	err := errors.Join(e.listener.Close(), e.transport.Close(), e.socket.Close())
	e.activeStreams.Wait()
	e.stopWorkers()
	return err
}

func (e *Endpoint) serveConn(conn *quic.Conn) {
	activity := e.activityOf(conn)
	defer e.untrack(conn)
	peer, err := peerName(conn.ConnectionState().TLS)
	if err != nil {
		_ = level.Warn(e.logger).Log("msg", "connection refused", "addr", conn.RemoteAddr(), "err", err)
		_ = conn.CloseWithError(codeRefused, "peer has no name")
		return
	}
	for {
		quicStream, err := conn.AcceptStream(conn.Context())
		if err != nil {
			return
		}
		if !e.admitStream(activity) {
			// The connection stays open because responses to earlier streams may still be in transit.
			newStream(quicStream, activity, nil).cancel(codeRefused)
			continue
		}
		e.workers.Go(func() { e.serveStream(conn, activity, peer, quicStream) })
	}
}

// RefuseNewStreams makes the endpoint refuse all further incoming streams without reading them. Their senders
// get an error with the verdict NotRun. Streams that are being served continue, and so do those that this
// endpoint opens.
func (e *Endpoint) RefuseNewStreams() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusing = true
}

// admitStream reports whether a new stream of a connection may be served, and counts it as active if so.
func (e *Endpoint) admitStream(activity *connActivity) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed || e.refusing || activity.served.Load() >= e.maxServed {
		return false
	}
	e.activeStreams.Add(1)
	activity.served.Add(1)
	return true
}

func (e *Endpoint) serveStream(conn *quic.Conn, activity *connActivity, peer string, quicStream *quic.Stream) {
	defer e.activeStreams.Done()
	defer activity.served.Add(-1)
	s := newStream(quicStream, activity, nil)
	handler, kind, err := e.readHeader(conn, quicStream)
	s.bytes = e.counterOf(kind)
	defer contain.Recover(e.logger, "transport", s.Reset)
	if err != nil {
		_ = level.Debug(e.logger).Log("msg", "stream refused", "peer", peer, "err", err)
		s.cancel(codeRefused)
		return
	}
	ctx, cancel := context.WithCancel(conn.Context())
	defer cancel()
	stop := context.AfterFunc(quicStream.Context(), func() {
		if _, ok := errors.AsType[*quic.StreamError](context.Cause(quicStream.Context())); ok {
			cancel()
		}
	})
	defer stop()
	handler(ctx, peer, s)
	_ = s.Close()
}

// readHeader reads the stream header and returns its kind and the handler for it.
func (e *Endpoint) readHeader(conn *quic.Conn, quicStream *quic.Stream) (Handler, wire.Kind, error) {
	if err := quicStream.SetReadDeadline(time.Now().Add(headerTimeout)); err != nil {
		return nil, 0, err
	}
	var header wire.Header
	if err := wire.Read(quicStream, &header, maxHeaderBytes); err != nil {
		return nil, 0, fmt.Errorf("read stream header: %w", err)
	}
	if header.Version != wire.Version {
		return nil, 0, fmt.Errorf("unsupported protocol version %d, want %d", header.Version, wire.Version)
	}
	handler, ok := e.handlers[header.Kind]
	if !ok {
		return nil, 0, fmt.Errorf("no handler for stream kind %d", header.Kind)
	}
	if unit, ok := e.requiredUnits[header.Kind]; ok && !hasUnit(conn.ConnectionState().TLS, unit) {
		return nil, 0, fmt.Errorf("stream kind %d requires a certificate with the organisational unit %q", header.Kind, unit)
	}
	return handler, header.Kind, quicStream.SetReadDeadline(time.Time{})
}
