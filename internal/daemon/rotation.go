package daemon

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/go-kit/log/level"
)

const rotationInterval = 250 * time.Millisecond // between two checks

// confirmed returns nil if a control leader has confirmed this host lately. Otherwise the host can't serve callers.
func (d *Daemon) confirmed() error {
	switch {
	case d.gateway != nil && d.agent.ControlLost():
		return errors.New("no control host answers")
	case d.agent.ConfirmedAge() > d.maxConfirmedAge():
		return fmt.Errorf("the control leader has not confirmed this host within %s", d.maxConfirmedAge())
	}
	return nil
}

// watchRotation closes idle sessions while this host can't serve callers and others of its place may, so that the callers
// reconnect to those. It begins once the load balancer has had the time to see that this host isn't ready.
func (d *Daemon) watchRotation(ctx context.Context) error {
	ticker := time.NewTicker(rotationInterval)
	defer ticker.Stop()
	var since time.Time // start of the state in which callers are better served elsewhere; zero: not in it
	shedding := false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !d.servedElsewhere() {
			since = time.Time{}
		} else if since.IsZero() {
			since = time.Now()
		}
		shed := !since.IsZero() && time.Since(since) >= d.settings.ShutdownDelay.Value()
		if shed == shedding {
			continue
		}
		shedding = shed
		_ = level.Info(d.logger).Log("part", "daemon", "msg", "idle sessions are sent away", "on", shed)
		d.server.SetShedding(shed)
	}
}

// servedElsewhere reports whether this host has left the rotation because it can't serve callers, and others may.
func (d *Daemon) servedElsewhere() bool {
	if d.stopping.Load() || d.agent.Catalog() == nil || d.confirmed() == nil {
		return false
	}
	rotation := d.agent.Rotation()
	return rotation.Leave && rotation.OthersServe
}
