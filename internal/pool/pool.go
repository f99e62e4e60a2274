// Package pool maintains a pool of connections to one target.
//
// A connection is used by one transaction at a time. Afterwards it is kept only if all of its responses
// have been read and the target has reported the idle state; otherwise it is closed. A connection is not
// reset between transactions, since callers can't create session state.
package pool

import (
	"context"
	"crypto/tls"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/citronrun/citronrun/internal/verdict"
)

const (
	// defaultConnectTimeout applies when Config.ConnectTimeout is zero.
	defaultConnectTimeout = 2 * time.Second
	// minIdleRetryInterval is how long after a failed connect no connection is opened for the idle minimum.
	minIdleRetryInterval = 200 * time.Millisecond
	// limitRetryInterval is how long no connection is opened after the target has reported too many
	// connections. Waiters are not refused meanwhile, since the target may still count a connection that was
	// closed a moment ago.
	limitRetryInterval = 5 * time.Millisecond
)

// Config describes the connections to one target.
type Config struct {
	Target         string // name used in logs and errors
	Addr           string // IP:PORT
	User           string
	Password       string
	Database       string
	MaxConns       int           // limit of open connections, at least 1
	MinIdle        int           // idle connections opened in advance, at most MaxConns
	ConnectTimeout time.Duration // limit of one connect with its authentication
	TLS            *tls.Config   // nil: no TLS
}

// Stats is a snapshot of a pool's state and counters.
type Stats struct {
	Open     int    // connections open, idle or in use
	Idle     int    // connections not in use
	InUse    int    // connections handed out by Get or TryGet
	Waiting  int    // calls of Get that wait for a connection
	Connects uint64 // connections opened since the start
	Failures uint64 // failed connects since the start, except those refused at the target's connection limit
}

// Pool holds the connections to one target. It is safe for concurrent use.
type Pool struct {
	cfg            Config
	logger         log.Logger
	connectCtx     context.Context // cancelled by Close, for connects in progress
	cancelConnects context.CancelFunc

	mu         sync.Mutex
	idle       []*Conn // least recently used first
	inUse      int
	connecting int
	waiters    []*waiter
	closed     bool
	retryTimer *time.Timer // set while connects for the idle minimum are suspended after a failure
	targetFull bool        // all connects are suspended until retryTimer fires: the target is at its limit
	connects   uint64
	failures   uint64
}

type waiter struct {
	delivery chan connOrError // buffered, so that the sender never blocks
}

type connOrError struct {
	conn *Conn
	err  error
}

// New returns a pool and starts to open its minimum of idle connections in the background.
func New(cfg Config, logger log.Logger) *Pool {
	cfg.MaxConns = max(cfg.MaxConns, 1)
	cfg.MinIdle = min(cfg.MinIdle, cfg.MaxConns)
	if cfg.ConnectTimeout <= 0 {
		cfg.ConnectTimeout = defaultConnectTimeout
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{cfg: cfg, logger: logger, connectCtx: ctx, cancelConnects: stop}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.startConnects()
	return p
}

// Get returns a connection. While MaxConns connections are in use it waits; waiting calls are served in
// order. Errors are *verdict.Error with the verdict NotRun.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	if c, ok := p.TryGet(); ok {
		return c, nil
	}
	w, err := p.enqueue()
	if err != nil {
		return nil, err
	}
	select {
	case result := <-w.delivery:
		return result.conn, result.err
	case <-ctx.Done():
		p.abandon(w)
		return nil, verdict.New(verdict.NotRun, verdict.CodeTooBusy,
			"no connection to target %s became free in time: %w", p.cfg.Target, ctx.Err())
	}
}

// TryGet returns an idle connection if there is one and no call of Get is waiting. It never blocks.
func (p *Pool) TryGet() (*Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.waiters) > 0 {
		return nil, false
	}
	c := p.popIdle()
	p.startConnects()
	return c, c != nil
}

// Put returns a connection of Get or TryGet to the pool. The connection is kept only if it is reusable:
// idle at the target, all responses read, and not discarded.
func (p *Pool) Put(c *Conn) {
	reusable := c.reusable()
	if !reusable {
		c.close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	switch {
	case !reusable:
	case p.closed:
		c.close()
	default:
		p.deliverOrKeep(c)
	}
	p.startConnects()
}

// Stats returns the current state and counters.
func (p *Pool) Stats() Stats {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Stats{
		Open:     len(p.idle) + p.inUse,
		Idle:     len(p.idle),
		InUse:    p.inUse,
		Waiting:  len(p.waiters),
		Connects: p.connects,
		Failures: p.failures,
	}
}

// Close closes the idle connections; those in use are closed by Put. Waiting calls of Get fail.
func (p *Pool) Close() {
	p.cancelConnects()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
	for _, w := range p.waiters {
		w.delivery <- connOrError{err: p.errClosed()}
	}
	p.waiters = nil
	if p.retryTimer != nil {
		p.retryTimer.Stop()
		p.retryTimer = nil
	}
}

func (p *Pool) enqueue() (*waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, p.errClosed()
	}
	w := &waiter{delivery: make(chan connOrError, 1)}
	p.waiters = append(p.waiters, w)
	if c := p.popIdle(); c != nil { // put back since the call of TryGet
		p.inUse--
		p.deliverOrKeep(c)
	}
	p.startConnects()
	return w, nil
}

// abandon removes a waiter whose context has ended. A connection that was already delivered to it is put
// back.
func (p *Pool) abandon(w *waiter) {
	p.mu.Lock()
	for i, other := range p.waiters {
		if other == w {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			break
		}
	}
	p.mu.Unlock()
	select {
	case result := <-w.delivery:
		if result.conn != nil {
			p.Put(result.conn)
		}
	default:
	}
}

// popIdle removes the most recently used live connection from the idle ones and counts it as in use. Dead
// connections are closed. mu is held.
func (p *Pool) popIdle() *Conn {
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if c.alive() {
			c.checkouts++
			p.inUse++
			return c
		}
		c.close()
	}
	return nil
}

// deliverOrKeep delivers a reusable connection, not counted as in use, to the first waiter. Without
// waiters the connection becomes idle. mu is held.
func (p *Pool) deliverOrKeep(c *Conn) {
	if len(p.waiters) == 0 {
		p.idle = append(p.idle, c)
		return
	}
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	c.checkouts++
	p.inUse++
	w.delivery <- connOrError{conn: c}
}

// startConnects starts the connects needed for the waiters, and for the idle minimum unless a connect has
// failed within minIdleRetryInterval. mu is held.
func (p *Pool) startConnects() {
	for !p.closed && !p.targetFull && len(p.idle)+p.inUse+p.connecting < p.cfg.MaxConns {
		wanted := len(p.waiters)
		if p.retryTimer == nil {
			wanted = max(wanted, len(p.waiters)+p.cfg.MinIdle-len(p.idle))
		}
		if p.connecting >= wanted {
			return
		}
		p.connecting++
		go p.connect()
	}
}

func (p *Pool) connect() {
	ctx, cancel := context.WithTimeout(p.connectCtx, p.cfg.ConnectTimeout)
	c, err := dial(ctx, p.cfg)
	cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connecting--
	switch {
	case err != nil:
		p.handleConnectError(err)
	case p.closed:
		c.close()
		return
	default:
		p.connects++
		p.deliverOrKeep(c)
	}
	p.startConnects()
}

// handleConnectError returns the error to the first waiter and suspends connects for the idle minimum. If
// the target is at its connection limit, it instead suspends all connects for limitRetryInterval. mu is
// held.
func (p *Pool) handleConnectError(err error) {
	if p.closed {
		return
	}
	if p.retryTimer == nil && isConnectionLimitError(err) {
		p.targetFull = true
		p.retryTimer = time.AfterFunc(limitRetryInterval, p.retryConnects)
	}
	if p.targetFull {
		return
	}
	p.failures++
	_ = p.logger.Log("part", "pool", "msg", "connect failed", "target", p.cfg.Target, "err", err)
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		w.delivery <- connOrError{err: verdict.New(verdict.NotRun, verdict.CodeUnavailable,
			"connect to target %s: %w", p.cfg.Target, err)}
	}
	if p.retryTimer == nil {
		p.retryTimer = time.AfterFunc(minIdleRetryInterval, p.retryConnects)
	}
}

func (p *Pool) retryConnects() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retryTimer, p.targetFull = nil, false
	p.startConnects()
}

// isConnectionLimitError reports whether the target refused a connection because of its connection limit.
func isConnectionLimitError(err error) bool {
	pgErr, ok := errors.AsType[*pgconn.PgError](err)
	return ok && pgErr.Code == verdict.CodeTooBusy
}

func (p *Pool) errClosed() error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the pool of target %s is closed", p.cfg.Target)
}
