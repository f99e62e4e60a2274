package daemon

import (
	"context"
	"fmt"

	"github.com/citronrun/citronrun/internal/settings"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/wire"
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
	d.buildTransportMetrics(gauge)
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
	gauge(`citron_control_places_emptied`, func() float64 {
		view := d.control.Machine.Catalog()
		return float64(len(view.Catalog.EmptiedPlaces()))
	})
	gauge(`citron_control_members`, func() float64 { return float64(len(d.replica.Status().Members)) })
	return nil
}

// buildTransportMetrics registers the gauges of the connections to other hosts.
func (d *Daemon) buildTransportMetrics(gauge func(name string, f func() float64)) {
	for name, value := range map[string]func(transport.Stats) float64{
		`citron_transport_sent_bytes_total`:                  func(s transport.Stats) float64 { return float64(s.BytesSent) },
		`citron_transport_received_bytes_total`:              func(s transport.Stats) float64 { return float64(s.BytesReceived) },
		`citron_transport_sent_packets_total`:                func(s transport.Stats) float64 { return float64(s.PacketsSent) },
		`citron_transport_received_packets_total`:            func(s transport.Stats) float64 { return float64(s.PacketsReceived) },
		`citron_transport_lost_bytes`:                        func(s transport.Stats) float64 { return float64(s.BytesLost) },
		`citron_transport_handshakes_total{side="dialed"}`:   func(s transport.Stats) float64 { return float64(s.Dials) },
		`citron_transport_handshakes_total{side="accepted"}`: func(s transport.Stats) float64 { return float64(s.Accepted) },
		`citron_transport_handshakes_failed_total`:           func(s transport.Stats) float64 { return float64(s.DialsFailed) },
		`citron_transport_timeouts_total`:                    func(s transport.Stats) float64 { return float64(s.TimedOut) },
		`citron_transport_connections`:                       func(s transport.Stats) float64 { return float64(s.Connections) },
		`citron_transport_slowest_round_trip_seconds`:        func(s transport.Stats) float64 { return s.SlowestRTT.Seconds() },
	} {
		gauge(name, func() float64 { return value(d.endpoint.Stats()) })
	}
	for kind := range wire.KindCount {
		gauge(fmt.Sprintf(`citron_transport_stream_bytes_total{kind=%q,direction="written"}`, kind), func() float64 { return float64(d.endpoint.StreamBytesOf(kind).Written) })
		gauge(fmt.Sprintf(`citron_transport_stream_bytes_total{kind=%q,direction="read"}`, kind), func() float64 { return float64(d.endpoint.StreamBytesOf(kind).Read) })
	}
}
