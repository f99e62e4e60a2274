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
	// startTimeout bounds the wait of an entry host for its first configuration before it starts to
	// accept callers anyway and refuses them until it has one.
	startTimeout = 10 * time.Second
	// routeSpread is the time in which all hosts learn of a change of owner: two renewals.
	routeSpread = time.Second
	// answerDelivery is the time for answers on their way to reach other hosts, lost packets included.
	answerDelivery = 300 * time.Millisecond
	// stopTimeout bounds the end of the background work after the graceful part of a shutdown.
	stopTimeout = 3 * time.Second
)

// errStopping is why a host in a graceful shutdown isn't ready.
var errStopping = errors.New("the host is shutting down")

// Options replace parts of a daemon that otherwise come from files. The zero value changes nothing.
type Options struct {
	PeerTLS        *tls.Config // instead of settings.PeerTLS
	TargetPassword string      // instead of settings.Targets.PasswordFile

	SnapshotEntries uint64 // log entries between snapshots of a control host; 0: the default

	Deployment *Deployment // serves a deployment instead of PostgreSQL callers
}

// Daemon is a running process of citronrun.
type Daemon struct {
	settings *settings.Settings
	logger   log.Logger
	options  Options

	endpoint *transport.Endpoint
	agent    *agent.Agent
	replica  *replica.Replica // nil without the control role
	control  *control.Server  // nil without the control role
	owner    *owner.Manager   // nil without the entry role
	entry    *entry.Server    // nil without the entry role
	admin    *admin.Server    // nil without an address for it

	holder        *holder.Manager  // nil without a deployment and the entry role
	gateway       *gateway.Gateway // likewise
	server        CallerServer     // likewise
	metricsServer *http.Server     // nil without an address for it

	callers   net.Listener
	adminAddr net.Addr
	metrics   *metrics.Set
	stopping  atomic.Bool
	lastHost  atomic.Bool // no other host can take over the services
	stop      context.CancelFunc
	failed    chan error // the first component that ended by itself
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
	ctx, stop := context.WithCancel(context.Background())
	d.stop = stop
	for _, step := range []func(context.Context) error{
		d.listenPeers, d.openControl, d.buildAgent, d.buildEntry, d.buildMetrics, d.listenAdmin, d.listenMetrics, d.run,
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

// CallerAddr returns the PostgreSQL address that the daemon listens on, or nil without the entry
// role.
func (d *Daemon) CallerAddr() net.Addr {
	if d.callers == nil {
		return nil
	}
	return d.callers.Addr()
}

// AdminAddr returns the HTTP address that the daemon listens on.
func (d *Daemon) AdminAddr() net.Addr { return d.adminAddr }

// Failed delivers the error of a component that ended by itself.
func (d *Daemon) Failed() <-chan error { return d.failed }

// Agent returns the host's side of the control plane.
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
		return fmt.Errorf("peer_tls: the control role needs a certificate with the organisational unit %q (citronctl certs host -control)", pki.ControlUnit)
	}
	e, err := transport.Listen(d.settings.Listen.Peers, conf, d.logger)
	if err != nil {
		return fmt.Errorf("listen.peers: %w", err)
	}
	d.endpoint = e
	if len(d.settings.Control) == 0 { // only in the demo, whose ports are chosen by the system
		d.settings.Control = []string{e.Addr()}
	}
	return nil
}

// peerTLS returns the configuration for connections between hosts.
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

// peerAddr returns the address under which other hosts reach this one.
func (d *Daemon) peerAddr() string {
	if a := d.settings.Listen.PeersAdvertised; a != "" {
		return a
	}
	return d.endpoint.Addr()
}

func (d *Daemon) buildAgent(context.Context) error {
	d.agent = agent.New(agent.Config{
		Host:         d.settings.Host,
		Place:        d.settings.Place,
		Addr:         d.peerAddr(),
		Entry:        d.settings.Has(settings.RoleEntry),
		ControlSeeds: d.settings.Control,
		Transport:    d.endpoint,
		Clock:        clock.BootTime{},
		Logger:       d.logger,
		Probe:        d.probe,

		TokenReserve: d.lotReserve(),
		SlowRenewal:  d.options.Deployment != nil,
	})
	return nil
}

// run starts the background work. Handlers are registered by now.
func (d *Daemon) run(ctx context.Context) error {
	d.start("transport", func() error { return d.endpoint.Serve(ctx) })
	if d.control != nil {
		d.start("control", func() error { return d.control.Run(ctx) })
		d.start("replica", func() error { return d.watchReplica(ctx) })
	}
	d.start("agent", func() error { return d.agent.Run(ctx) })
	if d.entry != nil {
		d.start("entry", func() error { return d.serveCallers(ctx) })
	}
	if d.gateway != nil {
		d.start("holder", func() error { return d.holder.Run(ctx) })
		d.start("callers", func() error { return d.serveGateway() })
	}
	return nil
}

// serveCallers accepts callers once the host has a configuration, so that the first callers aren't
// refused for want of one.
func (d *Daemon) serveCallers(ctx context.Context) error {
	wait, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	poll := time.NewTicker(10 * time.Millisecond)
	defer poll.Stop()
	for d.agent.Catalog() == nil && wait.Err() == nil {
		select {
		case <-poll.C:
		case <-wait.Done():
		}
	}
	if ctx.Err() != nil {
		return nil
	}
	return d.entry.Serve(d.callers)
}

// start runs a component. Its error is delivered by Failed, unless the daemon is stopping.
func (d *Daemon) start(name string, f func() error) {
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

// Ready returns nil when the host takes callers.
func (d *Daemon) Ready() error {
	switch {
	case d.stopping.Load():
		return errStopping
	case d.agent.Catalog() == nil:
		return errors.New("no configuration yet")
	case d.agent.ConfirmedAge() > d.maxUnconfirmed():
		return errors.New("the control leader has not confirmed this host in time")
	}
	return nil
}

// Shutdown stops the daemon gracefully: it is no longer ready, hands its services over, lets running
// transactions finish and closes idle sessions. When ctx ends, what is left is cut.
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
	d.stopPeers(ctx, handedOver)
	if d.replica != nil {
		_ = d.replica.TransferLeadership(ctx) // a lost hand-over only costs an election
	}
	d.abort()
	_ = level.Info(d.logger).Log("part", "daemon", "msg", "shutdown finished", "err", err)
	return err
}

// handOver waits for the platform to notice that the host isn't ready, then returns all leases.
func (d *Daemon) handOver(ctx context.Context) error {
	if d.entry == nil || d.lastHost.Load() {
		return nil
	}
	pause(ctx, d.settings.ShutdownDelay.Value())
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

// stopPeers lets other hosts finish with this one: they learn of the new owners with their next
// renewal, and what they sent before is answered or refused as NotRun. Closing the connections at
// once would discard answers on their way.
func (d *Daemon) stopPeers(ctx context.Context, handedOver time.Time) {
	if d.entry == nil && d.gateway == nil || d.lastHost.Load() {
		return
	}
	pause(ctx, routeSpread-time.Since(handedOver))
	d.endpoint.RefuseNewStreams()
	pause(ctx, answerDelivery)
}

func pause(ctx context.Context, t time.Duration) {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// abort ends everything that runs, in the reverse order of its start.
func (d *Daemon) abort() {
	d.stopping.Store(true)
	d.stop()
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if d.callers != nil {
		_ = d.callers.Close()
	}
	ended, end := context.WithCancel(context.Background())
	end()
	if d.entry != nil {
		_ = d.entry.Shutdown(ended) // closes what is left
	}
	if d.owner != nil {
		_ = d.owner.Shutdown(ended)
	}
	if d.server != nil {
		_ = d.server.Shutdown(ended)
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

// Kill ends the daemon at once, as a crash would. It is for tests.
func (d *Daemon) Kill() { d.abort() }

// Run runs a daemon until ctx ends or a component fails, then shuts it down within the settings'
// bound.
func Run(ctx context.Context, s *settings.Settings, logger log.Logger) error {
	d, err := Start(s, logger, Options{})
	if err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case err = <-d.Failed():
	}
	bounded, cancel := context.WithTimeout(context.Background(), s.ShutdownTimeout.Value())
	defer cancel()
	return errors.Join(err, d.Shutdown(bounded))
}

// probe answers whether this host reaches a target.
func (d *Daemon) probe(ctx context.Context, p wire.Probe) wire.ProbeReply {
	if d.options.Deployment != nil {
		return wire.ProbeReply{}
	}
	f, err := d.factory()
	if err != nil {
		return wire.ProbeReply{}
	}
	g, err := f.DialControl(ctx, owner.TargetConfig{Target: p.Target, Addr: p.Addr})
	if err != nil {
		return wire.ProbeReply{}
	}
	defer g.Close()
	status, err := g.Status(ctx)
	if err != nil {
		return wire.ProbeReply{}
	}
	return wire.ProbeReply{Reachable: true, Role: status.Role, Received: status.Received}
}
