package entry

import "github.com/citronrun/citronrun/internal/pgwire"

// copyFrame relays a frame of COPY IN. Frames after the end of a failed copy are dropped, as targets
// do.
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

// copying reports whether the target waits for the caller's data. mu is held.
func (c *caller) copying() bool { return c.tx != nil && c.tx.copyIn }

// duringCopy handles other messages in copy-in mode. Targets ignore Flush and Sync there; anything
// else would leave caller and target waiting for each other.
func duringCopy(f pgwire.Frame) error {
	if f.Type() == pgwire.Flush || f.Type() == pgwire.Sync {
		return nil
	}
	return protocolError("unexpected message during COPY")
}
