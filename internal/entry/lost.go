package entry

import (
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/session"
	"github.com/citronrun/citronrun/internal/verdict"
)

// lost handles a stream that broke before the end of its transaction. The outcome of a request that
// ran is unknown. A broken result can't be continued, so the connection is closed after the error.
func (c *caller) lost(tx *transaction, cause error) {
	c.wmu.Lock()
	defer c.wmu.Unlock()
	frames, fatal, ok := c.noteLost(tx, cause)
	if !ok {
		return
	}
	if _, isCaller := errors.AsType[errCaller](cause); isCaller {
		_ = c.nc.Close()
		return
	}
	if c.put(frames) != nil || c.flush() != nil {
		_ = c.nc.Close()
		return
	}
	if fatal {
		_ = c.nc.SetReadDeadline(time.Unix(1, 0)) // wakes the loop, which lingers and closes
	}
}

// noteLost takes over the new state and returns the frames that report it. ok is false when the
// transaction was given up before.
func (c *caller) noteLost(tx *transaction, cause error) (frames []byte, fatal, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tx != tx {
		return nil, false, false
	}
	// Requests without their Sync are lost too, even if all of them were answered.
	running := c.tracker.Len() > 0 || c.pending > 0 || tx.unsynced
	_, callerFailed := errors.AsType[errCaller](cause)
	fatal = running && tx.partial || callerFailed
	_ = level.Warn(c.srv.logger).Log("msg", "transaction lost", "service", c.service, "team", c.team, "running", running, "err", cause)
	c.fire(session.EventLost)
	if running {
		frames = c.reportLost(fatal, cause)
	}
	c.tx = nil
	c.pending = 0
	c.tracker.Reset()
	c.dead = c.dead || fatal
	c.wakeIfIdle()
	c.cond.Broadcast()
	return frames, fatal, true
}

// reportLost returns the error for the running request. mu is held.
func (c *caller) reportLost(fatal bool, cause error) []byte {
	err := &verdict.Error{
		Verdict: verdict.MayHaveRun,
		Code:    verdict.CodeOutcomeUnknown,
		Message: "connection to the owner of the service was lost; the outcome of the request is unknown",
		Err:     cause,
	}
	c.srv.metrics.refusal(err)
	if fatal {
		return pgwire.AppendFatal(nil, err)
	}
	out := pgwire.AppendError(nil, err)
	if c.pending > 0 {
		return pgwire.AppendReadyForQuery(out, c.statusLocked())
	}
	c.skipLost = true
	return out
}
