package daemon

import (
	"cmp"
	"slices"

	"github.com/go-kit/log"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/control"
	"github.com/citronrun/citronrun/internal/pki"
	"github.com/citronrun/citronrun/internal/tunnel"
	"github.com/citronrun/citronrun/internal/wire"
)

// Tunnels configures how a control leader reaches targets and the platform (see package tunnel).
type Tunnels struct {
	Direct       tunnel.DialFunc
	PlatformAddr string                     // address of the platform's promotion API
	Use          func(dial tunnel.DialFunc) // makes the control leader connect by dial
}

// openTunnels lets this control host reach targets through the other ones, and these through it.
func (d *Daemon) openTunnels(machine *control.Machine) {
	t := d.options.Deployment.Tunnels
	if t == nil {
		return
	}
	dialer := &tunnel.Dialer{Direct: t.Direct, Endpoint: d.endpoint, Hosts: d.otherControlHosts, Clock: clock.BootTime{},
		Logger: log.With(d.logger, "part", "control")}
	t.Use(dialer.Dial)
	allowed := func(addr string) bool { return addr == t.PlatformAddr || machine.HasTargetAddr(addr) }
	d.endpoint.RequireUnit(wire.KindTunnel, pki.ControlUnit)
	d.endpoint.Handle(wire.KindTunnel, tunnel.Handler(clock.BootTime{}, t.Direct, allowed))
}

// otherControlHosts returns the addresses of the other control hosts, connected ones first. There are none during a shutdown: a
// leader that passes its leadership on is followed at once, so that its confirmation is worth nothing for a time.
func (d *Daemon) otherControlHosts() []string {
	if d.stopping.Load() {
		return nil
	}
	own := d.advertisedPeerAddr()
	hosts := slices.DeleteFunc(d.controlAddrs(), func(addr string) bool { return addr == own })
	connected := map[string]int{}
	for _, host := range hosts {
		if d.endpoint.Connected(host) {
			connected[host] = 1
		}
	}
	slices.SortStableFunc(hosts, func(a, b string) int { return cmp.Compare(connected[b], connected[a]) })
	return hosts
}
