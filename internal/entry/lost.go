package entry

import (
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/session"
	"github.com/citronrun/citronrun/internal/verdict"
)

// onStreamLost handles a stream that broke before the end of its transaction. The outcome of a running
// request is unknown. If a part of its result was already relayed, the protocol can't resume after the
// error, so the connection is closed.
func (c *caller) onStreamLost(tx *transaction, cause error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	frames, fatal, ok := c.recordLost(tx, cause)
	if !ok {
		return
	}
	if _, callerFailed := errors.AsType[callerConnError](cause); callerFailed {
		_ = c.nc.Close()
		return
	}
	if c.bufferWrite(frames) != nil || c.flush() != nil {
		_ = c.nc.Close()
		return
	}
	if fatal {
		_ = c.nc.SetReadDeadline(time.Unix(1, 0)) // wakes the read loop, which lingers and closes
	}
}

// recordLost updates the caller's state and returns the frames that report the loss. The result ok is false if
// the transaction was aborted before.
func (c *caller) recordLost(tx *transaction, cause error) (frames []byte, fatal, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.tx != tx {
		return nil, false, false
	}
	// Messages whose Sync was not sent count as a running request, even if all of them were answered.
	running := c.tracker.Len() > 0 || c.pendingReady > 0 || tx.unsynced
	_, callerFailed := errors.AsType[callerConnError](cause)
	fatal = running && tx.partialResult || callerFailed
	_ = level.Warn(c.srv.logger).Log("msg", "transaction lost", "service", c.service, "team", c.team, "running", running, "err", cause)
	c.fire(session.EventLost)
	if running {
		frames = c.reportLost(fatal, cause)
	}
	c.tx = nil
	c.pendingReady = 0
	c.tracker.Reset()
	c.connBroken = c.connBroken || fatal
	c.wakeIfDraining()
	c.cond.Broadcast()
	return frames, fatal, true
}

// reportLost returns the frames with the error for the running request. mu is held.
func (c *caller) reportLost(fatal bool, cause error) []byte {
	err := &verdict.Error{
		Verdict: verdict.MayHaveRun,
		Code:    verdict.CodeOutcomeUnknown,
		Message: "connection to the owner of the service was lost; the outcome of the request is unknown",
		Err:     cause,
	}
	c.srv.metrics.countRefusal(err)
	if fatal {
		return pgwire.AppendFatal(nil, err)
	}
	out := pgwire.AppendError(nil, err)
	if c.pendingReady > 0 {
		return pgwire.AppendReadyForQuery(out, c.txStatusLocked())
	}
	c.lossReported = true
	return out
}
