package daemon

import "github.com/citronrun/citronrun/internal/wire"

// mayRelay reports whether this host passes a stream on for another, which it doesn't during a shutdown: an entry host
// passes statements on to holders of targets, and a control host requests to renew to connected hosts.
func (d *Daemon) mayRelay(req wire.RelayRequest) bool {
	if d.stopping.Load() {
		return false
	}
	switch req.Kind {
	case wire.KindStatement, wire.KindAgedRead:
		return d.holder != nil && d.agent.Targets().IsHolder(req.Addr)
	case wire.KindRenewNow:
		return d.control != nil && d.endpoint.Connected(req.Addr)
	default:
		return false
	}
}
