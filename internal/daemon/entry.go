package daemon

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-kit/log"

	"github.com/citronrun/citronrun/internal/admin"
	"github.com/citronrun/citronrun/internal/agent"
	"github.com/citronrun/citronrun/internal/budget"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/entry"
	"github.com/citronrun/citronrun/internal/gateway"
	"github.com/citronrun/citronrun/internal/owner"
	"github.com/citronrun/citronrun/internal/pki"
	"github.com/citronrun/citronrun/internal/settings"
	"github.com/citronrun/citronrun/internal/wire"
)

// directory adapts the agent to the interface of the entry package.
type directory struct{ *agent.Agent }

// Catalog returns the newest catalog, or an empty one without teams and services before the first has
// arrived.
func (d directory) Catalog() entry.Snapshot {
	if s := d.Agent.Catalog(); s != nil {
		return s
	}
	return emptySnapshot
}

// ownerCatalog adapts the agent to the interface of the owner package.
type ownerCatalog struct{ *agent.Agent }

// Service returns a service by name.
func (c ownerCatalog) Service(name string) (catalog.Service, bool) {
	return directory(c).Catalog().Service(name)
}

// EffectivePolicy returns the combined effect of all policies on a team's use of a service.
func (c ownerCatalog) EffectivePolicy(team, service string) catalog.EffectivePolicy {
	return directory(c).Catalog().EffectivePolicy(team, service)
}

var emptySnapshot = mustEmptySnapshot()

func mustEmptySnapshot() *catalog.Snapshot {
	s, err := catalog.NewSnapshot(catalog.Catalog{})
	if err != nil {
		panic(err)
	}
	return s
}

// buildEntry creates the owner of services, the server for callers and its listener.
func (d *Daemon) buildEntry(context.Context) error {
	if !d.settings.Has(settings.RoleEntry) {
		return nil
	}
	if d.options.Deployment != nil {
		return d.buildGateway()
	}
	f, err := d.newTargetFactory()
	if err != nil {
		return err
	}
	d.buildOwner(f)
	callerTLS, err := serverTLS(d.settings.CallerTLS)
	if err != nil {
		return fmt.Errorf("caller_tls: %w", err)
	}
	tx := &transactor{host: d.settings.Host, routes: d.agent, endpoint: d.endpoint, owner: d.owner}
	limits := d.settings.Limits
	d.entry, err = entry.New(entry.Config{
		Place:            d.settings.Place,
		Transactor:       tx,
		Directory:        directory{d.agent},
		Canceler:         tx,
		TLS:              callerTLS,
		Logger:           d.logger,
		Metrics:          d.metrics,
		MaxConnections:   limits.Connections,
		AuthTimeout:      limits.AuthTimeout.Value(),
		WriteTimeout:     limits.WriteTimeout.Value(),
		StatementTimeout: limits.QueueTimeout.Value(),
		RetryTimeout:     limits.QueueTimeout.Value(),
		Budget:           budget.New(d.host().Memory(limits.Connections)),
		Refusals:         d.refusals(),
		SocketBuffer:     d.socketBuffer(),
	})
	if err != nil {
		return err
	}
	if d.callers, err = net.Listen("tcp", d.settings.Listen.Callers); err != nil {
		return fmt.Errorf("listen.callers: %w", err)
	}
	return nil
}

func (d *Daemon) buildOwner(f owner.Factory) {
	d.owner = owner.New(owner.Config{
		Catalog:     ownerCatalog{d.agent},
		Factory:     f,
		LeaseValid:  d.agent.LeaseValid,
		ReturnLease: d.agent.ReturnLease,
		Clock:       clock.BootTime{},
		Logger:      d.logger,
	})
	d.agent.OnGrant(d.owner.OnGrant)
	d.agent.OnRevoke(d.owner.OnRevoke)
	d.agent.SetReportSource(d.owner.Reports)
	d.endpoint.Handle(wire.KindTx, serveTx(d.owner))
	d.endpoint.Handle(wire.KindCancel, serveCancel(d.owner))
}

// newTargetFactory reads the credentials of this host for connections to targets.
func (d *Daemon) newTargetFactory() (*targetFactory, error) {
	t := d.settings.Targets
	f := &targetFactory{
		user:     t.User,
		password: d.options.TargetPassword,
		minIdle:  t.MinIdle,
		timeout:  t.ConnectTimeout.Value(),
		logger:   d.logger,
	}
	if t.PasswordFile != "" {
		password, err := os.ReadFile(t.PasswordFile)
		if err != nil {
			return nil, fmt.Errorf("targets.password_file: %w", err)
		}
		f.password = strings.TrimSpace(string(password))
	}
	if t.CA == "" {
		return f, nil
	}
	pem, err := os.ReadFile(t.CA)
	if err != nil {
		return nil, fmt.Errorf("targets.ca: %w", err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, errors.New("targets.ca: no PEM-encoded certificate in the file")
	}
	f.tls = &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}
	return f, nil
}

func serverTLS(pair *settings.KeyPair) (*tls.Config, error) {
	if pair == nil {
		return nil, nil
	}
	return pki.ServerConfigFromFiles(pair.Cert, pair.Key)
}

// listenAdmin starts the administration API. It runs before the other components, so that health is
// visible from the beginning.
func (d *Daemon) listenAdmin(context.Context) error {
	if d.settings.Listen.Admin == "" {
		return nil
	}
	conf, err := serverTLS(d.settings.Admin.TLS)
	if err != nil {
		return fmt.Errorf("admin.tls: %w", err)
	}
	var tokens *admin.Tokens
	if file := d.settings.Admin.TokensFile; file != "" {
		if tokens, err = admin.LoadTokens(file); err != nil {
			return fmt.Errorf("admin.tokens_file: %w", err)
		}
	}
	l, err := net.Listen("tcp", d.settings.Listen.Admin)
	if err != nil {
		return fmt.Errorf("listen.admin: %w", err)
	}
	d.adminAddr = l.Addr()
	if conf != nil {
		l = tls.NewListener(l, conf)
	}
	var explain func(gateway.Query) (gateway.Explanation, error)
	if d.gateway != nil {
		explain = d.gateway.Explain
	}
	d.admin = admin.New(admin.Config{
		Host:    d.settings.Host,
		Explain: explain,
		Backend: d.agent,
		Ready:   d.Ready,
		State:   d.stateSections(),
		Tokens:  tokens,
		Metrics: func() []*metrics.Set { return []*metrics.Set{d.metrics} },
		Logger:  log.With(d.logger, "part", "admin"),

		MaxConnections: d.host().ControlConnections(),
		Refusals:       d.refusals(),
	})
	d.startComponent("admin", func() error { return d.admin.Serve(l) })
	return nil
}

// stateSections returns the sections of the state dump by name.
func (d *Daemon) stateSections() map[string]func() any {
	sections := map[string]func() any{"agent": d.agent.State, "transport": func() any { return d.endpoint.Stats() }}
	if d.entry != nil {
		sections["entry"] = d.entry.State
		sections["owner"] = d.owner.State
	}
	if d.gateway != nil {
		sections["gateway"] = d.gateway.State
		sections["holder"] = d.holder.State
		sections["callers"] = d.server.State
	}
	if d.replica != nil {
		sections["replica"] = func() any { return d.replica.Status() }
		sections["control"] = func() any { return d.control.Status() }
	}
	return sections
}
