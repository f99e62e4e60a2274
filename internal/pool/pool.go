// Package pool keeps connections to one target.
//
// A connection is handed to one transaction at a time. It is kept afterwards only when all of its
// responses have been read and the target reported the idle state; in any doubt it is closed. No
// statement is sent to reset a connection, since callers can't create session state.
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
	// warmRetryInterval separates attempts to open warm connections while the target refuses them.
	warmRetryInterval = 200 * time.Millisecond
	// fullRetryInterval separates connects while the target reports too many connections. It may
	// still count one that was closed a moment ago, so that waiters aren't refused for that.
	fullRetryInterval = 5 * time.Millisecond
)

// Config describes the connections to one target.
type Config struct {
	Target         string // name for logs and errors
	Addr           string // IP:PORT
	User           string
	Password       string
	Database       string
	MaxConns       int           // connections open at once, at least 1
	MinIdle        int           // idle connections kept open in advance, at most MaxConns
	ConnectTimeout time.Duration // bounds one connect including authentication
	TLS            *tls.Config   // nil connects without TLS
}

// Stats describes a pool at one moment.
type Stats struct {
	Open     int    // connections open, idle or in use
	Idle     int    // connections ready for use
	InUse    int    // connections handed out by Get or TryGet
	Waiting  int    // callers of Get that wait
	Connects uint64 // connections opened since the start
	Failures uint64 // failed connects since the start, without those refused for the target's limit
}

// Pool holds the connections to one target. It is safe for concurrent use.
type Pool struct {
	cfg    Config
	logger log.Logger
	ctx    context.Context // ends connects in progress when the pool is closed
	stop   context.CancelFunc

	mu         sync.Mutex
	idle       []*Conn // the most recently used is last
	inUse      int
	connecting int
	waiters    []*waiter
	closed     bool
	retry      *time.Timer // set while warm connects are held back after a failure
	full       bool        // set while all connects are held back, until retry
	connects   uint64
	failures   uint64
}

type waiter struct {
	done chan grant // buffered: delivery never blocks
}

type grant struct {
	conn *Conn
	err  error
}

// New returns a pool and starts to open its warm connections in the background.
func New(cfg Config, logger log.Logger) *Pool {
	cfg.MaxConns = max(cfg.MaxConns, 1)
	cfg.MinIdle = min(cfg.MinIdle, cfg.MaxConns)
	if cfg.ConnectTimeout <= 0 {
		cfg.ConnectTimeout = defaultConnectTimeout
	}
	ctx, stop := context.WithCancel(context.Background())
	p := &Pool{cfg: cfg, logger: logger, ctx: ctx, stop: stop}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.replenish()
	return p
}

// Get returns a connection, in the order of the calls. It waits while MaxConns connections are in
// use. Errors are *verdict.Error with the verdict NotRun.
func (p *Pool) Get(ctx context.Context) (*Conn, error) {
	if c, ok := p.TryGet(); ok {
		return c, nil
	}
	w, err := p.enqueue()
	if err != nil {
		return nil, err
	}
	select {
	case g := <-w.done:
		return g.conn, g.err
	case <-ctx.Done():
		p.abandon(w)
		return nil, verdict.New(verdict.NotRun, verdict.CodeTooBusy,
			"no connection to target %s in time: %w", p.cfg.Target, ctx.Err())
	}
}

// TryGet returns an idle connection, if there is one and nobody waits. It never blocks.
func (p *Pool) TryGet() (*Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.waiters) > 0 {
		return nil, false
	}
	c := p.popIdle()
	p.replenish()
	return c, c != nil
}

// Put returns a connection that Get or TryGet handed out. It is kept only when it is clean: idle at
// the target, with all responses read, and not discarded.
func (p *Pool) Put(c *Conn) {
	clean := c.clean()
	if !clean {
		c.close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inUse--
	switch {
	case !clean:
	case p.closed:
		c.close()
	default:
		p.release(c)
	}
	p.replenish()
}

// Stats returns the current figures.
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

// Close closes idle connections at once, and others when they are put. Callers that wait get an
// error.
func (p *Pool) Close() {
	p.stop()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.close()
	}
	p.idle = nil
	for _, w := range p.waiters {
		w.done <- grant{err: p.errClosed()}
	}
	p.waiters = nil
	if p.retry != nil {
		p.retry.Stop()
		p.retry = nil
	}
}

func (p *Pool) enqueue() (*waiter, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, p.errClosed()
	}
	w := &waiter{done: make(chan grant, 1)}
	p.waiters = append(p.waiters, w)
	if c := p.popIdle(); c != nil { // put since TryGet looked
		p.inUse--
		p.release(c)
	}
	p.replenish()
	return w, nil
}

// abandon removes a waiter whose caller has given up. A connection delivered meanwhile is put back.
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
	case g := <-w.done:
		if g.conn != nil {
			p.Put(g.conn)
		}
	default:
	}
}

// popIdle takes the most recently used live connection and counts it as in use. The caller holds mu.
func (p *Pool) popIdle() *Conn {
	for len(p.idle) > 0 {
		last := len(p.idle) - 1
		c := p.idle[last]
		p.idle[last] = nil
		p.idle = p.idle[:last]
		if c.alive() {
			c.checkout++
			p.inUse++
			return c
		}
		c.close()
	}
	return nil
}

// release hands a clean connection to the first waiter, else keeps it idle. The caller holds mu and
// doesn't count c as in use.
func (p *Pool) release(c *Conn) {
	if len(p.waiters) == 0 {
		p.idle = append(p.idle, c)
		return
	}
	w := p.waiters[0]
	p.waiters = p.waiters[1:]
	c.checkout++
	p.inUse++
	w.done <- grant{conn: c}
}

// replenish starts connects for waiters, and for warm connections unless a connect has just
// failed. The caller holds mu.
func (p *Pool) replenish() {
	for !p.closed && !p.full && len(p.idle)+p.inUse+p.connecting < p.cfg.MaxConns {
		wanted := len(p.waiters)
		if p.retry == nil {
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
	ctx, cancel := context.WithTimeout(p.ctx, p.cfg.ConnectTimeout)
	c, err := dial(ctx, p.cfg)
	cancel()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.connecting--
	switch {
	case err != nil:
		p.connectFailed(err)
	case p.closed:
		c.close()
		return
	default:
		p.connects++
		p.release(c)
	}
	p.replenish()
}

// connectFailed reports the failure to the first waiter and holds back warm connects. The caller
// holds mu.
func (p *Pool) connectFailed(err error) {
	if p.closed {
		return
	}
	if p.retry == nil && tooMany(err) {
		p.full = true
		p.retry = time.AfterFunc(fullRetryInterval, p.retryWarm)
	}
	if p.full {
		return
	}
	p.failures++
	_ = p.logger.Log("part", "pool", "msg", "connect failed", "target", p.cfg.Target, "err", err)
	if len(p.waiters) > 0 {
		w := p.waiters[0]
		p.waiters = p.waiters[1:]
		w.done <- grant{err: verdict.New(verdict.NotRun, verdict.CodeUnavailable,
			"can't connect to target %s: %w", p.cfg.Target, err)}
	}
	if p.retry == nil {
		p.retry = time.AfterFunc(warmRetryInterval, p.retryWarm)
	}
}

func (p *Pool) retryWarm() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retry, p.full = nil, false
	p.replenish()
}

// tooMany reports whether the target refused a connection because of its limit.
func tooMany(err error) bool {
	pgErr, ok := errors.AsType[*pgconn.PgError](err)
	return ok && pgErr.Code == verdict.CodeTooBusy
}

func (p *Pool) errClosed() error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the pool of target %s is closed", p.cfg.Target)
}
