// Package daemon assembles the components of one process from its settings and runs them until a
// graceful shutdown.
package daemon

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/admin"
	"github.com/citronrun/citronrun/internal/agent"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/control"
	"github.com/citronrun/citronrun/internal/entry"
	"github.com/citronrun/citronrun/internal/gateway"
	"github.com/citronrun/citronrun/internal/holder"
	"github.com/citronrun/citronrun/internal/owner"
	"github.com/citronrun/citronrun/internal/pki"
	"github.com/citronrun/citronrun/internal/replica"
	"github.com/citronrun/citronrun/internal/settings"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// firstCatalogTimeout bounds an entry host's wait for its first catalog. After that it accepts
	// connections anyway, and refuses every caller until a catalog arrives.
	firstCatalogTimeout = 10 * time.Second
	// routePropagation is the time within which every host receives a change of owner: two renewal
	// intervals.
	routePropagation = time.Second
	// replyFlushTime lets replies in flight reach other hosts, including retransmission of lost packets.
	replyFlushTime = 300 * time.Millisecond
	// abortTimeout bounds the wait for background goroutines after the graceful part of a shutdown.
	abortTimeout = 3 * time.Second
)

// errShuttingDown is the readiness error during a graceful shutdown.
var errShuttingDown = errors.New("the host is shutting down")

// Options override settings that otherwise come from files. The zero value overrides nothing.
type Options struct {
	PeerTLS        *tls.Config // instead of settings.PeerTLS
	TargetPassword string      // instead of settings.Targets.PasswordFile

	SnapshotEntries uint64 // log entries between snapshots of a control host; 0 means the default

	Deployment *Deployment // if set, callers and targets use its protocol instead of PostgreSQL's
}

// Daemon is a running citronrun process.
type Daemon struct {
	settings *settings.Settings
	logger   log.Logger
	options  Options

	endpoint *transport.Endpoint
	agent    *agent.Agent
	replica  *replica.Replica // nil without the control role
	control  *control.Server  // nil without the control role
	owner    *owner.Manager   // nil without the entry role, and with a Deployment
	entry    *entry.Server    // nil without the entry role, and with a Deployment
	admin    *admin.Server    // nil without listen.admin

	holder        *holder.Manager  // set only with a Deployment and the entry role
	gateway       *gateway.Gateway // set only with a Deployment and the entry role
	server        CallerServer     // set only with a Deployment and the entry role
	metricsServer *http.Server     // nil without listen.metrics

	callers   net.Listener // nil without the entry role
	adminAddr net.Addr
	metrics   *metrics.Set
	stopping  atomic.Bool
	lastHost  atomic.Bool        // no other entry host is left to take the services over
	stop      context.CancelFunc // cancels the context of all components
	failed    chan error         // error of the first component that ended before a shutdown
	tasks     taskGroup
}

// Start starts a daemon. It returns once the daemon listens on all of its addresses.
func Start(s *settings.Settings, logger log.Logger, o Options) (*Daemon, error) {
	d := &Daemon{
		settings: s,
		logger:   log.With(logger, "host", s.Host),
		options:  o,
		metrics:  metrics.NewSet(),
		failed:   make(chan error, 1),
	}
	d.limitMemory()
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	for _, step := range []func(context.Context) error{
		d.listenPeers, d.openControl, d.buildAgent, d.buildEntry, d.buildMetrics, d.listenAdmin, d.listenMetrics, d.startComponents,
	} {
		if err := step(ctx); err != nil {
			d.abort()
			return nil, err
		}
	}
	return d, nil
}

// PeerAddr returns the QUIC address that the daemon listens on.
func (d *Daemon) PeerAddr() string { return d.endpoint.Addr() }

// CallerAddr returns the address on which the daemon accepts callers, or nil without the entry role.
func (d *Daemon) CallerAddr() net.Addr {
	if d.callers == nil {
		return nil
	}
	return d.callers.Addr()
}

// AdminAddr returns the HTTP address that the daemon listens on, or nil without listen.admin.
func (d *Daemon) AdminAddr() net.Addr { return d.adminAddr }

// Failed delivers the error of the first component that ended without a shutdown.
func (d *Daemon) Failed() <-chan error { return d.failed }

// Agent returns the host's control-plane client.
func (d *Daemon) Agent() *agent.Agent { return d.agent }

func (d *Daemon) listenPeers(context.Context) error {
	conf := d.options.PeerTLS
	if conf == nil {
		var err error
		if conf, err = d.peerTLS(); err != nil {
			return fmt.Errorf("peer_tls: %w", err)
		}
	}
	if d.settings.Has(settings.RoleControl) && !pki.HasUnit(conf, pki.ControlUnit) {
		return fmt.Errorf("peer_tls: the control role needs a certificate with the organisational unit %q; create one with \"citronctl certs host -control\"", pki.ControlUnit)
	}
	e, err := transport.Listen(d.settings.Listen.Peers, conf, d.logger)
	if err != nil {
		return fmt.Errorf("listen.peers: %w", err)
	}
	d.endpoint = e
	if len(d.settings.Control) == 0 { // only in the demo, which listens on ephemeral ports
		d.settings.Control = []string{e.Addr()}
	}
	return nil
}

// peerTLS returns the TLS configuration for connections between hosts.
func (d *Daemon) peerTLS() (*tls.Config, error) {
	files := d.settings.PeerTLS
	if !files.SelfSigned {
		return pki.PeerConfigFromFiles(files.CA, files.Cert, files.Key)
	}
	var units []string
	if d.settings.Has(settings.RoleControl) {
		units = append(units, pki.ControlUnit)
	}
	return pki.SelfSignedConfig(d.settings.Host, units...)
}

// advertisedPeerAddr returns the address at which other hosts reach this one.
func (d *Daemon) advertisedPeerAddr() string {
	if a := d.settings.Listen.PeersAdvertised; a != "" {
		return a
	}
	return d.endpoint.Addr()
}

func (d *Daemon) buildAgent(context.Context) error {
	d.agent = agent.New(agent.Config{
		Host:         d.settings.Host,
		Place:        d.settings.Place,
		Addr:         d.advertisedPeerAddr(),
		Entry:        d.settings.Has(settings.RoleEntry),
		ControlSeeds: d.settings.Control,
		Transport:    d.endpoint,
		Clock:        clock.BootTime{},
		Logger:       d.logger,
		Probe:        d.probe,

		TokenReserve: d.tokenReserve(),
		SlowRenewal:  d.options.Deployment != nil,
		Detours:      d.detours() && !d.settings.Has(settings.RoleControl),
	})
	return nil
}

// detours reports whether hosts may renew through other entry hosts.
func (d *Daemon) detours() bool { return d.options.Deployment != nil && d.settings.PeerTLS.SelfSigned }

// startComponents starts the goroutines of all components. All stream handlers must be registered before.
func (d *Daemon) startComponents(ctx context.Context) error {
	d.startComponent("transport", func() error { return d.endpoint.Serve(ctx) })
	if d.control != nil {
		d.startComponent("control", func() error { return d.control.Run(ctx) })
		d.startComponent("replica", func() error { return d.watchReplica(ctx) })
	}
	d.startComponent("agent", func() error { return d.agent.Run(ctx) })
	if d.entry != nil {
		d.startComponent("entry", func() error { return d.serveCallers(ctx) })
	}
	if d.gateway != nil {
		d.startComponent("peers", func() error {
			d.endpoint.KeepConnected(ctx, d.agent.Peers)
			return nil
		})
		d.startComponent("holder", func() error { return d.holder.Run(ctx) })
		d.startComponent("callers", func() error { return d.serveGateway() })
		d.startComponent("rotation", func() error { return d.watchRotation(ctx) })
	}
	return nil
}

// serveCallers starts accepting callers once the host has a catalog, or after firstCatalogTimeout. Before the
// first catalog, every caller would be refused.
func (d *Daemon) serveCallers(ctx context.Context) error {
	waitCtx, cancel := context.WithTimeout(ctx, firstCatalogTimeout)
	defer cancel()
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	for d.agent.Catalog() == nil && waitCtx.Err() == nil {
		select {
		case <-poll.C:
		case <-waitCtx.Done():
		}
	}
	if ctx.Err() != nil {
		return nil
	}
	return d.entry.Serve(d.callers)
}

// startComponent runs a component in a goroutine. Failed delivers its error unless the daemon is stopping.
func (d *Daemon) startComponent(name string, f func() error) {
	d.tasks.Go(func() {
		err := f()
		if err == nil || d.stopping.Load() {
			return
		}
		select {
		case d.failed <- fmt.Errorf("%s: %w", name, err):
		default:
		}
	})
}

// Ready returns nil if the host can serve callers, or has to stay in the rotation of the load balancer although it can't, and
// otherwise the reason why it can't.
func (d *Daemon) Ready() error {
	switch {
	case d.stopping.Load():
		return errShuttingDown
	case d.agent.Catalog() == nil:
		return errors.New("no catalog received from the control leader yet")
	}
	err := d.confirmed()
	if err != nil && d.gateway != nil && !d.agent.Rotation().Leave {
		err = nil
	}
	return err
}

// Shutdown stops the daemon gracefully: it reports itself as not ready, hands its services over, lets
// running transactions finish and closes idle sessions. When ctx ends, it closes what remains.
func (d *Daemon) Shutdown(ctx context.Context) error {
	d.stopping.Store(true)
	_ = level.Info(d.logger).Log("part", "daemon", "msg", "shutdown started")
	var err error
	if d.gateway != nil {
		err = d.shutdownGateway(ctx)
	}
	err = errors.Join(err, d.handOver(ctx))
	handedOver := time.Now()
	err = errors.Join(err, d.stopEntry(ctx))
	d.finishPeerRequests(ctx, handedOver)
	if d.replica != nil {
		_ = d.replica.TransferLeadership(ctx) // best effort: without it the group elects a leader after a timeout
	}
	d.abort()
	_ = level.Info(d.logger).Log("part", "daemon", "msg", "shutdown finished", "err", err)
	return err
}

// handOver waits until the platform's load balancer has seen that the host isn't ready, then returns
// all leases.
func (d *Daemon) handOver(ctx context.Context) error {
	if d.entry == nil || d.lastHost.Load() {
		return nil
	}
	sleep(ctx, d.settings.ShutdownDelay.Value())
	if err := d.agent.Drain(ctx); err != nil {
		return fmt.Errorf("hand over services: %w", err)
	}
	return nil
}

func (d *Daemon) serveGateway() error {
	if err := d.server.Serve(d.callers); !d.stopping.Load() {
		return err
	}
	return nil
}

func (d *Daemon) stopEntry(ctx context.Context) error {
	if d.entry == nil {
		return nil
	}
	err := d.entry.Shutdown(ctx)
	return errors.Join(err, d.owner.Shutdown(ctx))
}

// finishPeerRequests lets requests from other hosts end before the connections close. The other hosts receive
// the new owners with their next renewal; until then this host answers their requests or refuses them
// as NotRun. Closing the connections at once would discard replies in flight.
func (d *Daemon) finishPeerRequests(ctx context.Context, handedOver time.Time) {
	if d.entry == nil && d.gateway == nil || d.lastHost.Load() {
		return
	}
	sleep(ctx, routePropagation-time.Since(handedOver))
	d.endpoint.RefuseNewStreams()
	d.endpoint.WaitRelayed(ctx)
	sleep(ctx, replyFlushTime)
}

// sleep waits for the duration or until ctx ends.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// abort stops all components without waiting for callers, roughly in the reverse order of their start.
func (d *Daemon) abort() {
	d.stopping.Store(true)
	d.stop()
	ctx, cancel := context.WithTimeout(context.Background(), abortTimeout)
	defer cancel()
	if d.callers != nil {
		_ = d.callers.Close()
	}
	canceled, cancelNow := context.WithCancel(context.Background())
	cancelNow()
	if d.entry != nil {
		_ = d.entry.Shutdown(canceled) // closes the remaining sessions at once
	}
	if d.owner != nil {
		_ = d.owner.Shutdown(canceled)
	}
	if d.server != nil {
		_ = d.server.Shutdown(canceled)
	}
	if d.replica != nil {
		_ = d.replica.Close()
	}
	if d.endpoint != nil {
		_ = d.endpoint.Close()
	}
	if d.admin != nil {
		_ = d.admin.Shutdown(ctx)
	}
	if d.metricsServer != nil {
		_ = d.metricsServer.Close()
	}
	d.tasks.Wait(ctx)
}

// Kill stops the daemon without a graceful shutdown, as a crash would. It is for tests.
func (d *Daemon) Kill() { d.abort() }

// Run runs a daemon until ctx ends or a component fails, then shuts it down within the
// shutdown_timeout of the settings.
func Run(ctx context.Context, s *settings.Settings, logger log.Logger) error {
	d, err := Start(s, logger, Options{})
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case err = <-d.Failed():
	}
	shutdownCtx, cancel := context.WithTimeout(context.Background(), s.ShutdownTimeout.Value())
	defer cancel()
	return errors.Join(err, d.Shutdown(shutdownCtx))
}

// probe reports whether this host can reach a target, and the target's role and received position.
// With a deployment it reports every target as unreachable.
func (d *Daemon) probe(ctx context.Context, p wire.Probe) wire.ProbeReply {
	if d.options.Deployment != nil {
		return wire.ProbeReply{}
	}
	f, err := d.newTargetFactory()
	if err != nil {
		return wire.ProbeReply{}
	}
	conn, err := f.DialControl(ctx, owner.TargetConfig{Target: p.Target, Addr: p.Addr})
	if err != nil {
		return wire.ProbeReply{}
	}
	defer conn.Close()
	status, err := conn.Status(ctx)
	if err != nil {
		return wire.ProbeReply{}
	}
	return wire.ProbeReply{Reachable: true, Role: status.Role, Received: status.Received}
}
