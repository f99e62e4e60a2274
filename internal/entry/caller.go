package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/session"
	"github.com/citronrun/citronrun/internal/verdict"
)

// errEnded ends a caller's loop after its connection was given up.
var errEnded = errors.New("connection ended")

// caller is one connection. Its loop reads requests; while a transaction is open, a second goroutine
// relays responses. Lock order: wmu, mu.
type caller struct {
	srv       *Server
	nc        net.Conn
	rd        *pgwire.Reader
	id        uint32
	secret    uint32
	team      string
	keyID     string
	service   string
	sessionID string
	appName   string
	ctx       context.Context
	stop      context.CancelFunc

	batch batch
	skip  bool // extended requests are dropped up to the next Sync

	wmu sync.Mutex // serialises writes to nc; held while a write blocks
	out *[]byte    // pooled, nil while empty

	mu       sync.Mutex
	cond     *sync.Cond
	st       *session.Session // prepared statements and portals belong to the loop; the rest to mu
	tx       *transaction
	tracker  pgwire.Tracker
	pending  int       // ReadyForQuery that the owner still has to send
	started  time.Time // of the request that runs
	waiting  bool      // the loop waits for a request
	idle     idleBound // of the wait for the caller within a transaction
	draining bool
	dead     bool // the connection is given up
	skipLost bool // the responder failed a batch whose Sync is still to come
}

// prepare makes the caller known to the server, after authentication.
func (c *caller) prepare() {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails
	c.sessionID = hex.EncodeToString(id[:])
	c.cond = sync.NewCond(&c.mu)
	c.ctx, c.stop = context.WithCancel(c.srv.ctx)
	c.rd = pgwire.NewReaderSize(c.nc, c.srv.cfg.MaxFrameBytes, c.srv.cfg.ReadBufferBytes)
	c.srv.register(c)
}

// run serves the caller until its connection ends.
func (c *caller) run() {
	defer c.srv.unregister(c)
	defer c.stop()
	err := c.loop()
	c.abort(session.EventClose)
	if e, ok := errors.AsType[*verdict.Error](err); ok {
		c.fatal(e)
	}
	if c.isDead() {
		linger(c.nc)
	}
	_ = level.Debug(c.srv.logger).Log("msg", "caller left", "team", c.team, "service", c.service, "err", err)
}

func (c *caller) loop() error {
	for {
		f, err := c.next()
		if err != nil {
			return c.readError(err)
		}
		if err := c.handle(f); err != nil {
			return err
		}
	}
}

func (c *caller) readError(err error) error {
	if e, ok := errors.AsType[*verdict.Error](err); ok {
		return e
	}
	if errors.Is(err, pgwire.ErrFrameLength) {
		return protocolError("message of invalid length")
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining && !c.dead && isTimeout(err) {
		return verdict.New(verdict.NotRun, verdict.CodeShutdown, "the host is shutting down")
	}
	return err
}

func isTimeout(err error) bool {
	ne, ok := errors.AsType[net.Error](err)
	return ok && ne.Timeout()
}

// next reads a frame. While it waits outside a transaction, Shutdown may wake it.
func (c *caller) next() (pgwire.Frame, error) {
	c.setWaiting(true)
	f, err := c.rd.Next()
	c.setWaiting(false)
	if c.isDead() {
		return nil, errEnded
	}
	if e := c.idleError(); e != nil {
		return nil, e
	}
	return f, err
}

func (c *caller) setWaiting(waiting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.waiting = waiting && c.batch.empty() && !c.skip
	c.idle.reading = waiting
	c.boundIdle()
	if waiting {
		c.wakeIfIdle()
		return
	}
	if c.draining && !c.dead {
		_ = c.nc.SetReadDeadline(time.Time{}) // the request that arrived is served
	}
}

// wakeIfIdle ends the wait for a request of a caller that is being drained. mu is held.
func (c *caller) wakeIfIdle() {
	if c.draining && c.waiting && c.tx == nil && c.pending == 0 {
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// drain closes the connection as soon as it is between transactions.
func (c *caller) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.wakeIfIdle()
}

func (c *caller) handle(f pgwire.Frame) error {
	switch f.Type() {
	case pgwire.Terminate:
		return io.EOF
	case pgwire.CopyData, pgwire.CopyDone, pgwire.CopyFail:
		return c.copyFrame(f)
	}
	copying, err := c.awaitReady()
	if err != nil {
		return err
	}
	if copying {
		return duringCopy(f)
	}
	if c.skip {
		return c.skipFrame(f)
	}
	if c.batch.empty() && !c.inTransaction() {
		c.st.ClosePortals()
	}
	return c.request(f)
}

// awaitReady waits until the owner has answered all earlier requests up to their Sync, so that the
// state of the transaction is known. It reports whether the target waits for copy data instead.
func (c *caller) awaitReady() (copying bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pending > 0 && !c.dead && !c.copying() {
		c.cond.Wait()
	}
	if c.dead {
		return false, errEnded
	}
	if c.copying() {
		return true, nil
	}
	if c.skipLost {
		c.skipLost = false
		c.skip = true
		c.batch.reset()
	}
	return false, nil
}

func (c *caller) skipFrame(f pgwire.Frame) error {
	if f.Type() != pgwire.Sync {
		return nil
	}
	c.skip = false
	return c.answer(pgwire.AppendReadyForQuery(nil, c.status()))
}

func (c *caller) isDead() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dead
}

func (c *caller) inTransaction() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tx != nil
}

func (c *caller) openTransaction() (seq uint64, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tx == nil {
		return 0, false
	}
	return c.tx.seq, true
}

func (c *caller) describe() (state string, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.st.State(), c.tx != nil
}

// rolledBack reports whether the entry host gave up the transaction block that the caller is in.
func (c *caller) rolledBack() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.st.State() == session.StateRolledBack
}

// status returns the transaction state for ReadyForQuery.
func (c *caller) status() byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.statusLocked()
}

func (c *caller) statusLocked() byte {
	switch c.st.State() {
	case session.StateBlock, session.StateBlockRunning:
		return pgwire.TxBlock
	case session.StateFailed, session.StateRolledBack:
		return pgwire.TxFailed
	}
	return pgwire.TxIdle
}

// fire applies an event of the session chart. mu is held.
func (c *caller) fire(event string) []string {
	actions, err := c.st.Fire(event)
	if err != nil {
		_ = level.Error(c.srv.logger).Log("msg", "event out of order", "session", c.sessionID, "err", err)
	}
	return actions
}
