package entry

import (
	"time"

	"github.com/citronrun/citronrun/internal/budget"
	"github.com/citronrun/citronrun/internal/verdict"
)

// reserveFrame accounts for a large frame whose buffer grows to size bytes, or was released if size is 0. The first
// part of the frame starts the time for all of it.
func (c *caller) reserveFrame(size int) error {
	if size > 0 && !c.frameStarted.Swap(true) {
		c.setFrameDeadline(time.Now().Add(c.srv.cfg.MessageTimeout))
	}
	if !c.account.Hold(frameCopies*int64(size), size > 0) {
		return verdict.New(verdict.NotRun, verdict.CodeTooBusy, "the host has no memory for this message at present")
	}
	return nil
}

// endFrame records that a frame was received completely.
func (c *caller) endFrame() {
	if !c.frameStarted.Swap(false) {
		return
	}
	c.account.SetClosable(false)
	c.setFrameDeadline(time.Time{})
}

// setFrameDeadline sets the deadline of the read, unless a shutdown, a lost transaction or the idle timeout has set one.
func (c *caller) setFrameDeadline(deadline time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.draining && !c.connBroken && !c.idleTimer.expired {
		_ = c.nc.SetReadDeadline(deadline)
	}
}

// recordRefusal records that a frame wasn't received because of a limit.
func (c *caller) recordRefusal(err error) {
	if !c.frameStarted.Load() {
		return
	}
	switch {
	case isTimeout(err):
		c.srv.cfg.Refusals.Record(budget.LimitMessageTime, c.nc.RemoteAddr())
	case c.account.Closed() || verdict.As(err).Code == verdict.CodeTooBusy:
		c.srv.cfg.Refusals.Record(budget.LimitMemory, c.nc.RemoteAddr())
	}
}
