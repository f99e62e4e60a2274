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
	"github.com/citronrun/citronrun/internal/budget"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/control"
	"github.com/citronrun/citronrun/internal/entry"
	"github.com/citronrun/citronrun/internal/gateway"
	"github.com/citronrun/citronrun/internal/holder"
	"github.com/citronrun/citronrun/internal/placement"
	"github.com/citronrun/citronrun/internal/ratelimit"
	"github.com/citronrun/citronrun/internal/wire"
)

// CallerServer accepts callers. entry.Server is one for PostgreSQL callers.
type CallerServer interface {
	Serve(l net.Listener) error
	// Shutdown closes each session when it has no open transaction, and returns once all are closed. If
	// ctx ends first, it closes the remaining sessions at once.
	Shutdown(ctx context.Context) error
	// SetShedding makes sessions close as soon as they are idle, or ends that.
	SetShedding(on bool)
	State() any
}

// Deployment configures a daemon that serves a catalog.Deployment, which is the set of services, teams and
// routes that a platform deploys as one versioned document. It holds the code and the limits that depend on
// the platform: callers and targets use the platform's protocol instead of PostgreSQL's, and hosts discover
// each other from a few seed addresses.
type Deployment struct {
	Dialer        holder.Dialer
	TargetControl control.TargetControl
	Tunnels       *Tunnels // of control hosts; nil: none
	// ClientMemory is the memory for messages and results of clients; nil: unlimited.
	ClientMemory *budget.Budget
	// NewCallerServer returns the server for callers; it is called on entry hosts.
	NewCallerServer func(g *gateway.Gateway, logger log.Logger) CallerServer
	// MinVoters is the least number of voting control hosts with which changes are accepted.
	MinVoters int
	// PlacesToBear is the number of places that may be lost at once.
	PlacesToBear int
	// CatchUpTime is the time after the start of a control host that replaces a lost one within which the control
	// group must again bear the loss of (MinVoters-1)/2 hosts. If zero, there is no such limit.
	CatchUpTime time.Duration
	// DrainTime is how long a target may still get new statements after it has reported that it is leaving.
	// If zero or negative, control.DefaultDrainTime applies.
	DrainTime time.Duration
	// MaxConfigAge is how long after its last confirmation by the control leader a host judges operations by its
	// deployment. It must be below the time within which a new deployment has to be in force.
	MaxConfigAge time.Duration
	// EmptyPlaceTime is how long open transaction blocks may continue in a place that is emptied. If zero,
	// holder.DefaultEmptyPlaceTime applies.
	EmptyPlaceTime time.Duration
	// RateTolerance is the amount of tokens that may be lent beyond the teams' rates and bursts.
	RateTolerance control.RateTolerance
	// ColdTolerance is how far the statements at a cold target may exceed its rate.
	ColdTolerance control.ColdTolerance
}

const (
	// gatewayMaxConfirmedAge is the time without a confirmation by the control leader after which a
	// gateway reports itself as not ready: two renewals have failed, its rate tokens are about to run
	// out, and hosts that reach the leader can serve its callers.
	gatewayMaxConfirmedAge = 1200 * time.Millisecond
	// gatewayTokenReserve is in renewal intervals: 2.4 intervals of 500 ms cover 1.2 s of a team's demand, the
	// usual time until a new control leader answers after a failover.
	gatewayTokenReserve = 2.4
)

func (d *Daemon) maxConfirmedAge() time.Duration {
	if d.options.Deployment != nil {
		return gatewayMaxConfirmedAge + 2*d.agent.AddedRenewalTime()
	}
	return entry.MaxConfirmedAge
}

func (d *Daemon) tokenReserve() float64 {
	if d.options.Deployment != nil {
		return gatewayTokenReserve
	}
	return ratelimit.DefaultReserve
}

// SetControlAddrs replaces the seed addresses from which control hosts are discovered.
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

// buildGateway creates the holder of targets, the gateway, and the listener for callers.
func (d *Daemon) buildGateway() error {
	targetHolder := holder.New(holder.Config{
		Dialer:         d.options.Deployment.Dialer,
		Leases:         d.agent,
		EmptyPlaceTime: d.options.Deployment.EmptyPlaceTime,
		Place:          d.place,
		Samples:        &sampleClient{host: d.settings.Host, agent: d.agent, endpoint: d.endpoint, holder: func() *holder.Manager { return d.holder }},
		Clock:          clock.BootTime{},
		Logger:         d.logger,
		Metrics:        d.metrics,
	})
	d.agent.OnTargetLeases(func(leases []agent.TargetLease) {
		held := make([]holder.Lease, 0, len(leases))
		for _, l := range leases {
			held = append(held, holder.Lease{TargetGrant: l.TargetGrant, Revoked: l.Revoked, RenewedAt: l.ExpiresAt.Add(-placement.TTL)})
		}
		targetHolder.Apply(held)
	})
	d.agent.SetHealthSource(targetHolder.Health)
	clients := d.options.Deployment.ClientMemory
	if clients == nil {
		clients = budget.New(budget.Limits{})
	}
	d.endpoint.Handle(wire.KindStatement, serveStatement(targetHolder, clients))
	d.endpoint.Handle(wire.KindAgedRead, serveStatement(targetHolder, clients))
	d.endpoint.Handle(wire.KindSample, serveSample(targetHolder))
	d.endpoint.Handle(wire.KindRelay, d.endpoint.RelayHandler(d.mayRelay))
	d.holder = targetHolder
	d.gateway = gateway.New(gateway.Config{
		Place:           d.settings.Place,
		MaxConfirmedAge: d.options.Deployment.MaxConfigAge,
		TrafficCost:     (*time.Duration)(d.settings.PlaceTrafficCost),
		Directory:       gatewayDirectory{d.agent},
		Holders:         &holderClient{host: d.settings.Host, place: d.settings.Place, endpoint: d.endpoint, holder: targetHolder, agent: d.agent},
		Clock:           clock.BootTime{},
		Logger:          d.logger,
		Metrics:         d.metrics,
	})
	d.server = d.options.Deployment.NewCallerServer(d.gateway, d.logger)
	var err error
	if d.callers, err = net.Listen("tcp", d.settings.Listen.Callers); err != nil {
		return fmt.Errorf("listen.callers: %w", err)
	}
	return nil
}

// place returns what operators have ordered for a place, as far as this host knows.
func (d *Daemon) place(name string) catalog.Place {
	if snap := d.agent.Catalog(); snap != nil {
		return snap.Catalog().Places[name]
	}
	return catalog.Place{}
}

// PlaceOrders returns the number of accepted orders to empty or refill a place that this host knows of. A control host may
// learn of them from the replicated log or with a renewal.
func (d *Daemon) PlaceOrders(place string) uint64 {
	orders := d.place(place).Orders
	if d.control != nil {
		orders = max(orders, d.control.Machine.Catalog().Catalog.Places[place].Orders)
	}
	return orders
}

// gatewayDirectory adapts the agent to the interface of the gateway package.
type gatewayDirectory struct{ *agent.Agent }

// TargetsOf returns the routes to the targets of a service.
func (d gatewayDirectory) TargetsOf(service string) []wire.TargetRoute {
	return d.Agent.Targets().Service(service)
}

var errTooFewVoters = errors.New("too few control hosts to accept a change")

// checkChangeAllowed returns an error while the control group has fewer voters than MinVoters, because
// a change would then be stored on too few hosts.
func (d *Daemon) checkChangeAllowed() error {
	voters := len(d.voterAddrs())
	if voters < d.options.Deployment.MinVoters {
		return fmt.Errorf("%w: have %d, want at least %d", errTooFewVoters, voters, d.options.Deployment.MinVoters)
	}
	return nil
}

// voterAddrs returns the addresses of the control group's voters.
func (d *Daemon) voterAddrs() []string {
	var addrs []string
	for _, m := range d.replica.Status().Members {
		if !m.Learner {
			addrs = append(addrs, m.Addr)
		}
	}
	return addrs
}

// controlAddrs returns the addresses of the control group's members.
func (d *Daemon) controlAddrs() []string {
	var addrs []string
	for _, m := range d.replica.Status().Members {
		addrs = append(addrs, m.Addr)
	}
	return addrs
}

// shutdownGateway transfers the target leases while callers continue to be served, then closes the
// sessions.
func (d *Daemon) shutdownGateway(ctx context.Context) error {
	drained := make(chan error, 1)
	go func() { drained <- d.agent.Drain(ctx) }()
	sleep(ctx, d.settings.ShutdownDelay.Value())
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

// listenMetrics serves only the metrics, on an address of their own. It needs no token, because metrics
// contain no secrets.
func (d *Daemon) listenMetrics(context.Context) error {
	addr := d.settings.Listen.Metrics
	if addr == "" {
		return nil
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("listen.metrics: %w", err)
	}
	d.metricsServer = newMetricsServer([]*metrics.Set{d.metrics}, d.host().ProbeConnections(), d.refusals())
	d.startComponent("metrics", func() error { return serveHTTP(d.metricsServer, l) })
	return nil
}

// ControlVotes returns the members of the control group by address, and whether each has a vote.
func (d *Daemon) ControlVotes() map[string]bool {
	hasVote := map[string]bool{}
	for _, m := range d.replica.Status().Members {
		hasVote[m.Addr] = !m.Learner
	}
	return hasVote
}
