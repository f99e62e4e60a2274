package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/budget"
	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/session"
	"github.com/citronrun/citronrun/internal/verdict"
)

// errConnBroken ends the read loop of a caller whose connection is broken; see caller.connBroken.
var errConnBroken = errors.New("connection to the caller is broken")

// caller is one connection of a caller. Its read loop handles requests. While a transaction is open, a
// second goroutine, the relay, passes the owner's responses on. Lock order: writeMu, mu.
type caller struct {
	srv       *Server
	nc        net.Conn
	rd        *pgwire.Reader
	id        uint32 // process ID in BackendKeyData
	secret    uint32 // secret key in BackendKeyData
	team      string
	keyID     string // empty for callers without a key
	service   string
	sessionID string // random, identifies the session to owners
	appName   string // application_name
	ctx       context.Context
	cancel    context.CancelFunc

	account      *budget.Account // memory of large frames
	frameStarted atomic.Bool     // a large frame is being received

	batch      batch
	skipToSync bool // a message of the extended protocol failed; those up to the next Sync are discarded

	writeMu     sync.Mutex // serializes writes to nc; held while a write blocks
	writeBuffer *[]byte    // from writeBuffers, nil while empty

	mu   sync.Mutex // guards the fields below
	cond *sync.Cond
	// sess is guarded by mu, except for its prepared statements and portals, which only the read loop
	// uses.
	sess            *session.Session
	tx              *transaction // the open transaction, or nil
	tracker         pgwire.Tracker
	pendingReady    int       // ReadyForQuery messages that the owner still has to send
	requestStarted  time.Time // start of the running request
	awaitingRequest bool      // the read loop waits for a message, and no batch is buffered or skipped
	idleTimer       idleTimer // bounds the wait for the caller while its transaction is open
	draining        bool      // the connection closes as soon as it has no open transaction
	connBroken      bool      // a result was cut off or a write failed; the read loop ends
	lossReported    bool      // the relay reported a lost batch; the read loop must skip to its Sync
}

// activate initializes the state that an authenticated caller needs and registers it at the server.
func (c *caller) activate() {
	var id [16]byte
	_, _ = rand.Read(id[:]) // never fails
	c.sessionID = hex.EncodeToString(id[:])
	c.cond = sync.NewCond(&c.mu)
	c.ctx, c.cancel = context.WithCancel(c.srv.ctx)
	c.rd = pgwire.NewReaderSize(c.nc, c.srv.cfg.MaxFrameBytes, c.srv.cfg.ReadBufferBytes)
	nc := c.nc
	c.account = c.srv.cfg.Budget.Open(func() { _ = nc.Close() })
	c.rd.OnGrow(c.reserveFrame)
	c.srv.register(c)
}

// run serves the caller until its connection ends.
func (c *caller) run() {
	defer c.srv.unregister(c)
	defer c.cancel()
	defer c.account.Hold(0, false)
	err := c.readLoop()
	c.abort(session.EventClose)
	if e, ok := errors.AsType[*verdict.Error](err); ok {
		c.sendFatal(e)
	}
	if c.isConnBroken() {
		linger(c.nc)
	}
	_ = level.Debug(c.srv.logger).Log("msg", "caller left", "team", c.team, "service", c.service, "err", err)
}

func (c *caller) readLoop() error {
	for {
		f, err := c.nextFrame()
		if err != nil {
			c.recordRefusal(err)
			return c.readError(err)
		}
		c.endFrame()
		if err := c.handleFrame(f); err != nil {
			return err
		}
	}
}

func (c *caller) readError(err error) error {
	if e, ok := errors.AsType[*verdict.Error](err); ok {
		return e
	}
	if errors.Is(err, pgwire.ErrFrameLength) {
		return protocolError("invalid message length (limit %d bytes)", c.srv.cfg.MaxFrameBytes)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.draining && !c.connBroken && isTimeout(err) {
		return verdict.New(verdict.NotRun, verdict.CodeShutdown, "the host is shutting down")
	}
	return err
}

func isTimeout(err error) bool {
	ne, ok := errors.AsType[net.Error](err)
	return ok && ne.Timeout()
}

// nextFrame reads a frame. Its wait ends early when the connection breaks, when the idle timeout
// expires, and, outside of a transaction, on Shutdown.
func (c *caller) nextFrame() (pgwire.Frame, error) {
	c.setReading(true)
	f, err := c.rd.Next()
	c.setReading(false)
	if c.isConnBroken() {
		return nil, errConnBroken
	}
	if idleErr := c.idleTimeoutError(); idleErr != nil {
		return nil, idleErr
	}
	return f, err
}

// setReading records that the read loop starts or ends its wait for a frame.
func (c *caller) setReading(reading bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingRequest = reading && c.batch.empty() && !c.skipToSync
	c.idleTimer.readingFrame = reading
	c.updateIdleTimer()
	if reading {
		c.wakeIfDraining()
		return
	}
	if c.draining && !c.connBroken {
		_ = c.nc.SetReadDeadline(time.Time{}) // serve the request that arrived before the wake-up
	}
}

// wakeIfDraining interrupts the read of a draining connection without an open transaction, so that the
// read loop closes it. mu is held.
func (c *caller) wakeIfDraining() {
	if c.draining && c.awaitingRequest && c.tx == nil && c.pendingReady == 0 {
		_ = c.nc.SetReadDeadline(time.Unix(1, 0))
	}
}

// drain makes the read loop close the connection as soon as no transaction is open.
func (c *caller) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.wakeIfDraining()
}

func (c *caller) handleFrame(f pgwire.Frame) error {
	switch f.Type() {
	case pgwire.Terminate:
		return io.EOF
	case pgwire.CopyData, pgwire.CopyDone, pgwire.CopyFail:
		return c.relayCopyFrame(f)
	}
	copyIn, err := c.awaitReady()
	if err != nil {
		return err
	}
	if copyIn {
		return checkAllowedInCopy(f)
	}
	if c.skipToSync {
		return c.skipFrameToSync(f)
	}
	if c.batch.empty() && !c.inTransaction() {
		c.sess.ClosePortals()
	}
	return c.handleRequest(f)
}

// awaitReady waits until the owner has sent all pending ReadyForQuery messages, so that the transaction
// status is known. It returns early, with copyIn set, when the target is in copy-in mode.
func (c *caller) awaitReady() (copyIn bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pendingReady > 0 && !c.connBroken && !c.inCopyIn() {
		c.cond.Wait()
	}
	if c.connBroken {
		return false, errConnBroken
	}
	if c.inCopyIn() {
		return true, nil
	}
	if c.lossReported {
		c.lossReported = false
		c.skipToSync = true
		c.batch.reset()
	}
	return false, nil
}

// skipFrameToSync discards a message that follows a failed one of the extended protocol. A Sync is answered
// and ends the skipping.
func (c *caller) skipFrameToSync(f pgwire.Frame) error {
	if f.Type() != pgwire.Sync {
		return nil
	}
	c.skipToSync = false
	return c.respond(pgwire.AppendReadyForQuery(nil, c.txStatus()))
}

func (c *caller) isConnBroken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.connBroken
}

func (c *caller) inTransaction() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tx != nil
}

func (c *caller) openTransactionSeq() (seq uint64, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tx == nil {
		return 0, false
	}
	return c.tx.seq, true
}

func (c *caller) stateForDump() (state string, open bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sess.State(), c.tx != nil
}

// rolledBack reports whether the caller's transaction block was aborted by the entry host or lost with
// its stream, and the caller has not ended it yet.
func (c *caller) rolledBack() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sess.State() == session.StateRolledBack
}

// txStatus returns the transaction status for ReadyForQuery.
func (c *caller) txStatus() byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.txStatusLocked()
}

// txStatusLocked is txStatus with mu held.
func (c *caller) txStatusLocked() byte {
	switch c.sess.State() {
	case session.StateBlock, session.StateBlockRunning:
		return pgwire.TxBlock
	case session.StateFailed, session.StateRolledBack:
		return pgwire.TxFailed
	}
	return pgwire.TxIdle
}

// fire applies an event to the session's state chart and returns its actions. mu is held.
func (c *caller) fire(event string) []string {
	actions, err := c.sess.Fire(event)
	if err != nil {
		_ = level.Error(c.srv.logger).Log("msg", "event out of order", "session", c.sessionID, "err", err)
	}
	return actions
}
