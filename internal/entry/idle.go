package entry

import (
	"time"

	"github.com/citronrun/citronrun/internal/verdict"
)

// codeIdleInTransaction is idle_in_transaction_session_timeout.
const codeIdleInTransaction = "25P03"

// idleBound ends a connection whose caller leaves its transaction waiting for too long. Its fields
// belong to caller.mu.
type idleBound struct {
	reading bool // the loop waits for a frame
	since   time.Time
	timer   *time.Timer
	expired bool
}

// boundIdle starts or stops the bound after a change of state. mu is held.
func (c *caller) boundIdle() {
	b := &c.idle
	if !b.reading || c.tx == nil || c.pending > 0 && !c.copying() {
		if b.timer != nil {
			b.timer.Stop()
		}
		b.since = time.Time{}
		return
	}
	if !b.since.IsZero() {
		return
	}
	b.since = time.Now()
	if b.timer == nil {
		b.timer = time.AfterFunc(c.srv.cfg.IdleTimeout, c.idleExpired)
		return
	}
	b.timer.Reset(c.srv.cfg.IdleTimeout)
}

// idleExpired ends the wait of the loop, which reports the error and closes the connection. A timer
// that fires for an earlier wait has no effect.
func (c *caller) idleExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tx == nil || c.idle.since.IsZero() || time.Since(c.idle.since) < c.srv.cfg.IdleTimeout {
		return
	}
	c.idle.expired = true
	_ = c.nc.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// idleError returns the error of a wait that took too long. What ran before is rolled back, unless a
// COMMIT was sent in a batch without its Sync.
func (c *caller) idleError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idle.expired {
		return nil
	}
	v := verdict.NotRun
	if c.tx != nil && c.tx.unsynced {
		v = verdict.MayHaveRun
	}
	return verdict.New(v, codeIdleInTransaction, "the transaction waited for its caller for more than %s", c.srv.cfg.IdleTimeout)
}
