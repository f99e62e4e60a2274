package entry

import "github.com/citronrun/citronrun/internal/pgwire"

// copyFrame relays a CopyData, CopyDone or CopyFail message. Those that arrive after the copy failed
// are discarded, as targets do.
func (c *caller) copyFrame(f pgwire.Frame) error {
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

// copying reports whether the target is in copy-in mode. mu is held.
func (c *caller) copying() bool { return c.tx != nil && c.tx.copyIn }

// checkAllowedInCopy returns an error if f may not be sent in copy-in mode. Flush and Sync are
// discarded, as targets ignore them there. Any other message would leave caller and target waiting
// for each other.
func checkAllowedInCopy(f pgwire.Frame) error {
	if f.Type() == pgwire.Flush || f.Type() == pgwire.Sync {
		return nil
	}
	return protocolError("unexpected message %q during COPY FROM STDIN", f.Type())
}
