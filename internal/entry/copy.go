package entry

import "github.com/citronrun/citronrun/internal/pgwire"

// relayCopyFrame relays a CopyData, CopyDone or CopyFail message. Those that arrive after the copy failed
// are discarded, as a target would discard them.
func (c *caller) relayCopyFrame(f pgwire.Frame) error {
	c.mu.Lock()
	tx := c.tx
	running := tx != nil && c.tracker.Len() > 0
	if running && f.Type() != pgwire.CopyData {
		tx.copyIn = false
	}
	c.mu.Unlock()
	if running {
		tx.write(f)
	}
	return nil
}

// inCopyIn reports whether the target is in copy-in mode. mu is held.
func (c *caller) inCopyIn() bool { return c.tx != nil && c.tx.copyIn }

// checkAllowedInCopy returns an error if f may not be sent in copy-in mode. It allows Flush and Sync, which
// the read loop then discards, because targets ignore them in this mode. After any other message the caller
// and the target would wait for each other.
func checkAllowedInCopy(f pgwire.Frame) error {
	if f.Type() == pgwire.Flush || f.Type() == pgwire.Sync {
		return nil
	}
	return protocolError("unexpected message %q during COPY FROM STDIN", f.Type())
}
