package entry

import (
	"time"

	"github.com/citronrun/citronrun/internal/verdict"
)

// codeIdleInTransaction is the SQLSTATE that PostgreSQL uses for idle_in_transaction_session_timeout.
const codeIdleInTransaction = "25P03"

// idleTimer ends a connection whose caller leaves its transaction idle for longer than
// Config.IdleTimeout. Its fields are guarded by caller.mu.
type idleTimer struct {
	readingFrame bool      // the read loop waits for a frame
	waitingSince time.Time // start of the current wait, zero if the timer is stopped
	timer        *time.Timer
	expired      bool
}

// updateIdleTimer starts or stops the timer after a change of the caller's state. mu is held.
func (c *caller) updateIdleTimer() {
	idle := &c.idleTimer
	if !idle.readingFrame || c.tx == nil || c.pendingReady > 0 && !c.inCopyIn() {
		if idle.timer != nil {
			idle.timer.Stop()
		}
		idle.waitingSince = time.Time{}
		return
	}
	if !idle.waitingSince.IsZero() {
		return
	}
	idle.waitingSince = time.Now()
	if idle.timer == nil {
		idle.timer = time.AfterFunc(c.srv.cfg.IdleTimeout, c.onIdleTimeout)
		return
	}
	idle.timer.Reset(c.srv.cfg.IdleTimeout)
}

// onIdleTimeout interrupts the read loop, which reports the error and closes the connection. A timer
// that fires late, for an earlier wait, has no effect.
func (c *caller) onIdleTimeout() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tx == nil || c.idleTimer.waitingSince.IsZero() || time.Since(c.idleTimer.waitingSince) < c.srv.cfg.IdleTimeout {
		return
	}
	c.idleTimer.expired = true
	_ = c.nc.SetReadDeadline(time.Unix(1, 0)) // fails only on a closed connection
}

// idleTimeoutError returns the error of an expired wait, or nil. The transaction is rolled back, unless
// a COMMIT was already sent in a batch without its Sync; the outcome is unknown then.
func (c *caller) idleTimeoutError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.idleTimer.expired {
		return nil
	}
	outcome := verdict.NotRun
	if c.tx != nil && c.tx.unsynced {
		outcome = verdict.MayHaveRun
	}
	return verdict.New(outcome, codeIdleInTransaction,
		"connection closed: its transaction was idle for more than %s", c.srv.cfg.IdleTimeout)
}
