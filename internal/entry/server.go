package entry

import (
	"context"
	"crypto/rand"
	"crypto/subtle"
	"encoding/binary"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/auth"
	"github.com/citronrun/citronrun/internal/budget"
	"github.com/citronrun/citronrun/internal/contain"
	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
	"github.com/citronrun/citronrun/internal/workers"
)

// ErrServerClosed is returned by Serve after Shutdown.
var ErrServerClosed = errors.New("entry server closed")

// Server accepts callers and relays their requests. It is safe for concurrent use.
type Server struct {
	cfg           Config
	auth          *auth.Authenticator
	budget        *retryBudget
	outages       *outages
	metrics       *serverMetrics
	logger        log.Logger
	ctx           context.Context // parent of the callers' contexts; done when Shutdown has ended or its ctx is done
	cancelCallers context.CancelFunc

	relayWorkers *workers.Pool // run the relays of open transactions

	mu        sync.Mutex
	draining  bool
	listeners map[net.Listener]struct{}
	conns     map[net.Conn]struct{}
	callers   map[uint32]*caller // by the process id in BackendKeyData
	lastID    uint32
	wg        sync.WaitGroup // one per connection
}

// New returns a Server. Transactor and Directory must be set.
func New(cfg Config) (*Server, error) {
	if cfg.Transactor == nil || cfg.Directory == nil {
		return nil, errors.New("entry: Transactor and Directory must be set")
	}
	if cfg.RequireTLS && cfg.TLS == nil {
		return nil, errors.New("entry: RequireTLS is set without a TLS configuration")
	}
	s := &Server{
		cfg:       cfg.withDefaults(),
		auth:      auth.New(),
		budget:    newRetryBudget(),
		outages:   newOutages(),
		listeners: map[net.Listener]struct{}{},
		conns:     map[net.Conn]struct{}{},
		callers:   map[uint32]*caller{},
	}
	s.logger = log.With(s.cfg.Logger, "part", "entry")
	s.ctx, s.cancelCallers = context.WithCancel(context.Background())
	s.relayWorkers = workers.New(maxIdleRelayWorkers, s.ctx.Done())
	s.metrics = newServerMetrics(s.cfg.Metrics, func() float64 { return float64(s.connectionCount()) })
	return s, nil
}

func (s *Server) connectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Serve accepts callers until Shutdown, which closes the listener and makes Serve return ErrServerClosed, or
// until the listener is closed otherwise. Other errors of Accept are retried.
func (s *Server) Serve(l net.Listener) error {
	if !s.addListener(l) {
		_ = l.Close()
		return ErrServerClosed
	}
	for failures := 0; ; {
		nc, err := l.Accept()
		if err == nil {
			failures = 0
			s.accept(nc)
			continue
		}
		if s.isDraining() {
			return ErrServerClosed
		}
		if errors.Is(err, net.ErrClosed) {
			return err
		}
		_ = level.Warn(s.logger).Log("msg", "accept failed", "err", err)
		if !sleep(s.ctx, backoff(failures)) { // for example, when the process is out of file descriptors
			return ErrServerClosed
		}
		failures++
	}
}

func (s *Server) addListener(l net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.draining {
		return false
	}
	s.listeners[l] = struct{}{}
	return true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

func (s *Server) accept(nc net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.draining && len(s.conns) >= s.cfg.MaxConnections+min(maxRefusing, s.cfg.MaxConnections) {
		s.cfg.Refusals.Record(budget.LimitConnections, nc.RemoteAddr())
		_ = nc.Close()
		return
	}
	if s.draining {
		_ = nc.Close()
		return
	}
	if tcp, ok := nc.(*net.TCPConn); ok && s.cfg.SocketBuffer > 0 {
		_ = tcp.SetReadBuffer(s.cfg.SocketBuffer)
	}
	full := len(s.conns) >= s.cfg.MaxConnections
	s.conns[nc] = struct{}{}
	s.metrics.accepted.Inc()
	s.wg.Add(1)
	go s.handleConn(nc, full)
}

func (s *Server) handleConn(nc net.Conn, full bool) {
	defer s.wg.Done()
	defer s.removeConn(nc)
	defer contain.Recover(s.logger, "entry", nil)
	_ = nc.SetDeadline(time.Now().Add(s.cfg.AuthTimeout))
	if full {
		s.refuseConnection(nc, verdict.New(verdict.NotRun, verdict.CodeTooBusy,
			"too many connections at this host: the limit is %d", s.cfg.MaxConnections))
		return
	}
	c, err := s.startup(nc)
	if err != nil {
		if c != nil {
			nc = c.nc // the TLS connection, if TLS was negotiated
		}
		s.reportStartupError(nc, err)
		return
	}
	if c == nil {
		return // a cancel request
	}
	c.run()
}

func (s *Server) reportStartupError(nc net.Conn, err error) {
	if e, ok := errors.AsType[*verdict.Error](err); ok {
		s.refuseConnection(nc, e)
		return
	}
	_ = level.Debug(s.logger).Log("msg", "caller left during startup", "err", err)
}

func (s *Server) refuseConnection(nc net.Conn, err error) {
	s.metrics.countRefusal(err)
	_ = level.Info(s.logger).Log("msg", "connection refused", "remote", nc.RemoteAddr(), "err", err)
	_, writeErr := nc.Write(pgwire.AppendFatal(nil, err))
	if writeErr == nil {
		linger(nc)
	}
}

func (s *Server) removeConn(nc net.Conn) {
	_ = nc.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, nc)
}

// register assigns c the id and the secret of its cancel requests, and adds it to the callers that
// Shutdown drains.
func (s *Server) register(c *caller) {
	var secret [4]byte
	_, _ = rand.Read(secret[:]) // never fails
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		s.lastID++
		if _, used := s.callers[s.lastID]; !used && s.lastID != 0 {
			break
		}
	}
	c.id, c.secret = s.lastID, binary.BigEndian.Uint32(secret[:])
	c.draining = s.draining
	s.callers[c.id] = c
}

func (s *Server) unregister(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callers, c.id)
}

// cancel forwards a cancel request to the owner. It ignores a request with an unknown id, a wrong
// secret, or for a caller without an open transaction.
func (s *Server) cancel(id, secret uint32) {
	s.mu.Lock()
	c := s.callers[id]
	s.mu.Unlock()
	if c == nil || s.cfg.Canceler == nil || subtle.ConstantTimeEq(int32(c.secret), int32(secret)) != 1 {
		return
	}
	seq, open := c.openTransactionSeq()
	if !open {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, cancelTimeout)
	defer cancel()
	msg := wire.Cancel{Service: c.service, Session: c.sessionID, Seq: seq}
	if err := s.cfg.Canceler.Cancel(ctx, msg); err != nil {
		_ = level.Info(s.logger).Log("msg", "cancel request failed", "service", c.service, "err", err)
	}
}

// Shutdown stops accepting callers and closes each connection with error 57P01 as soon as it has no
// open transaction. It returns nil once all connections are closed. If ctx is done first, it closes
// the remaining connections, which rolls their transactions back, and returns the error of ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	s.startDraining()
	done := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
		s.cancelCallers()
		return nil
	case <-ctx.Done():
	}
	s.closeConns()
	<-done
	return ctx.Err()
}

func (s *Server) startDraining() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
	for l := range s.listeners {
		_ = l.Close()
	}
	for _, c := range s.callers {
		c.drain()
	}
}

// closeConns cancels the requests of all callers and closes their connections.
func (s *Server) closeConns() {
	s.cancelCallers()
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.conns {
		_ = nc.Close()
	}
}

// State is the part of the debug dump that describes a Server.
type State struct {
	Connections  int            `json:"connections"`
	Callers      int            `json:"callers"`
	Transactions int            `json:"transactions"`
	ByState      map[string]int `json:"by_state"`
	ByService    map[string]int `json:"by_service"`
	Draining     bool           `json:"draining"`
}

// State returns a State with the current counts. The result type is any because the debug dump
// collects values of different types.
func (s *Server) State() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := State{Connections: len(s.conns), Callers: len(s.callers), Draining: s.draining}
	out.ByState, out.ByService = map[string]int{}, map[string]int{}
	for _, c := range s.callers {
		state, open := c.stateForDump()
		out.ByState[state]++
		out.ByService[c.service]++
		if open {
			out.Transactions++
		}
	}
	return out
}
