package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/agent"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/control"
	"github.com/citronrun/citronrun/internal/entry"
	"github.com/citronrun/citronrun/internal/gateway"
	"github.com/citronrun/citronrun/internal/holder"
	"github.com/citronrun/citronrun/internal/ratelimit"
	"github.com/citronrun/citronrun/internal/wire"
)

// CallerServer accepts callers. entry.Server is one for PostgreSQL callers.
type CallerServer interface {
	Serve(l net.Listener) error
	// Shutdown closes sessions between transactions and returns when all are gone. When ctx ends first,
	// it cuts the remaining ones.
	Shutdown(ctx context.Context) error
	State() any
}

// Deployment lets a daemon serve a catalog.Deployment: callers and targets that speak a protocol of
// their own, on hosts that find each other from a few seeds.
type Deployment struct {
	Dialer        holder.Dialer
	TargetControl control.TargetControl
	// NewCallerServer returns the server for callers; it is called on entry hosts.
	NewCallerServer func(g *gateway.Gateway, logger log.Logger) CallerServer
	// MinVoters is the number of control hosts that must remember a change before it is accepted.
	MinVoters int
	// DrainTime is how long a target that leaves may get new work.
	DrainTime time.Duration
	// RateTolerance is what may be lent beyond the teams' rates and bursts.
	RateTolerance control.RateTolerance
}

const (
	// gatewayUnconfirmed is the time without control after which a gateway asks for no more callers: its
	// rate tokens are about to end, and hosts that control reaches can serve them. Two renewals are
	// missed by then.
	gatewayUnconfirmed = 1200 * time.Millisecond
	// gatewayLotReserve covers 1.2 s of a team's demand, the usual time until another leader answers.
	gatewayLotReserve = 2.4
)

func (d *Daemon) maxUnconfirmed() time.Duration {
	if d.options.Deployment != nil {
		return gatewayUnconfirmed
	}
	return entry.MaxConfirmedAge
}

func (d *Daemon) lotReserve() float64 {
	if d.options.Deployment != nil {
		return gatewayLotReserve
	}
	return ratelimit.DefaultReserve
}

// SetControlAddrs replaces the seeds from which control hosts are found.
func (d *Daemon) SetControlAddrs(addrs []string) {
	d.agent.SetControlAddrs(addrs)
	if d.replica != nil {
		d.replica.SetInitialAddrs(addrs)
	}
}

// InGroupWithLeader reports whether this host's control member belongs to a group that has a leader.
func (d *Daemon) InGroupWithLeader() bool {
	return d.replica != nil && d.replica.Status().Leader.ID != 0
}

// buildGateway prepares the holder of targets and the gateway for callers.
func (d *Daemon) buildGateway() error {
	h := holder.New(holder.Config{
		Dialer:  d.options.Deployment.Dialer,
		Leases:  d.agent,
		Clock:   clock.BootTime{},
		Logger:  d.logger,
		Metrics: d.metrics,
	})
	d.agent.OnTargetLeases(func(leases []agent.TargetLease) {
		out := make([]holder.Lease, 0, len(leases))
		for _, l := range leases {
			out = append(out, holder.Lease{TargetGrant: l.TargetGrant, Revoked: l.Revoked})
		}
		h.Apply(out)
	})
	d.agent.SetHealthSource(h.Health)
	d.endpoint.Handle(wire.KindStatement, serveWork(h))
	d.holder = h
	d.gateway = gateway.New(gateway.Config{
		Place:     d.settings.Place,
		Directory: gatewayDirectory{d.agent},
		Holders:   &workLink{host: d.settings.Host, place: d.settings.Place, endpoint: d.endpoint, holder: h},
		Clock:     clock.BootTime{},
		Logger:    d.logger,
		Metrics:   d.metrics,
	})
	d.server = d.options.Deployment.NewCallerServer(d.gateway, d.logger)
	var err error
	if d.callers, err = net.Listen("tcp", d.settings.Listen.Callers); err != nil {
		return fmt.Errorf("listen.callers: %w", err)
	}
	return nil
}

// gatewayDirectory adapts the agent to the interface of the gateway package.
type gatewayDirectory struct{ *agent.Agent }

// TargetsOf returns the routes to the targets of a service.
func (d gatewayDirectory) TargetsOf(service string) []wire.TargetRoute {
	return d.Agent.Targets().Service(service)
}

var errTooFewVoters = errors.New("too few control hosts to accept a change")

// mayAccept refuses changes while fewer control hosts than needed would remember them.
func (d *Daemon) mayAccept() error {
	voters := 0
	for _, m := range d.replica.Status().Members {
		if !m.Learner {
			voters++
		}
	}
	if voters < d.options.Deployment.MinVoters {
		return fmt.Errorf("%w: %d of %d", errTooFewVoters, voters, d.options.Deployment.MinVoters)
	}
	return nil
}

// controls returns the addresses of the members of the control group.
func (d *Daemon) controls() []string {
	var addrs []string
	for _, m := range d.replica.Status().Members {
		addrs = append(addrs, m.Addr)
	}
	return addrs
}

// shutdownGateway hands the targets over while callers go on, then closes the sessions.
func (d *Daemon) shutdownGateway(ctx context.Context) error {
	drained := make(chan error, 1)
	go func() { drained <- d.agent.Drain(ctx) }()
	pause(ctx, d.settings.ShutdownDelay.Value())
	if err := d.server.Shutdown(ctx); err != nil {
		_ = level.Info(d.logger).Log("part", "daemon", "msg", "sessions were cut", "err", err)
	}
	select {
	case err := <-drained:
		return err
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// listenMetrics serves the metrics alone, on an address that needs no token because they hold no
// secrets.
func (d *Daemon) listenMetrics(context.Context) error {
	addr := d.settings.Listen.Metrics
	if addr == "" {
		return nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen.metrics: %w", err)
	}
	d.metricsServer = newMetricsServer([]*metrics.Set{d.metrics})
	d.start("metrics", func() error { return serveHTTP(d.metricsServer, l) })
	return nil
}

// ControlVotes returns the addresses of the control hosts, and whether each has a vote.
func (d *Daemon) ControlVotes() map[string]bool {
	out := map[string]bool{}
	for _, m := range d.replica.Status().Members {
		out[m.Addr] = !m.Learner
	}
	return out
}
