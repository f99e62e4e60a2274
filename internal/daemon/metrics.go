package daemon

import (
	"context"

	"github.com/citronrun/citronrun/internal/settings"
)

// buildMetrics registers the gauges of this host. Counters are registered by the packages that
// increment them.
func (d *Daemon) buildMetrics(context.Context) error {
	gauge := func(name string, f func() float64) { d.metrics.NewGauge(name, f) }
	gauge(`citron_agent_confirmed_seconds`, func() float64 { return d.agent.ConfirmedAge().Seconds() })
	gauge(`citron_agent_leases`, func() float64 { return float64(d.agent.LeaseCount()) })
	gauge(`citron_agent_catalog_revision`, func() float64 {
		if c := d.agent.Catalog(); c != nil {
			return float64(c.Revision())
		}
		return 0
	})
	gauge(`citron_transport_sent_bytes_total`, func() float64 { return float64(d.traffic().Sent) })
	gauge(`citron_transport_received_bytes_total`, func() float64 { return float64(d.traffic().Received) })
	gauge(`citron_transport_connections`, func() float64 { return float64(d.traffic().Connections) })
	if !d.settings.Has(settings.RoleControl) {
		return nil
	}
	gauge(`citron_control_leader`, func() float64 {
		if d.control.Leading() {
			return 1
		}
		return 0
	})
	gauge(`citron_control_term`, func() float64 { return float64(d.replica.Status().Term) })
	gauge(`citron_control_commit_index`, func() float64 { return float64(d.replica.Status().Commit) })
	gauge(`citron_control_applied_index`, func() float64 { return float64(d.replica.Status().Applied) })
	gauge(`citron_control_members`, func() float64 { return float64(len(d.replica.Status().Members)) })
	return nil
}

// traffic is the transport's section of the state dump.
type traffic struct {
	Sent        uint64 `json:"sent_bytes"`
	Received    uint64 `json:"received_bytes"`
	Connections int    `json:"connections"`
}

func (d *Daemon) traffic() traffic {
	sent, received := d.endpoint.Traffic()
	return traffic{Sent: sent, Received: received, Connections: d.endpoint.Connections()}
}
