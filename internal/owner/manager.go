package owner

import (
	"context"
	"io"
	"sort"
	"sync"

	"github.com/go-kit/log"

	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// Manager executes the transactions of all services that this host owns. It is safe for concurrent
// use.
type Manager struct {
	cfg    Config
	logger log.Logger

	mu       sync.Mutex
	services map[string]*service
	closed   bool
}

// New returns a Manager without services.
func New(cfg Config) *Manager {
	cfg.setDefaults()
	return &Manager{
		cfg:      cfg,
		logger:   log.With(cfg.Logger, "part", "owner"),
		services: map[string]*service{},
	}
}

// OnGrant applies a lease grant: a newer epoch replaces the service's running epoch, an older one
// is ignored. It doesn't block.
func (m *Manager) OnGrant(g wire.LeaseGrant) {
	conf, _ := m.cfg.Catalog.Service(g.Service)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return
	}
	s := m.services[g.Service]
	if s != nil && g.Epoch < s.epoch {
		return
	}
	if s != nil && (g.Epoch > s.epoch || s.isStopped()) {
		go s.stop()
		s = nil
	}
	if s == nil {
		s = newService(m, g)
		m.services[g.Service] = s
		go s.returnLeaseWhenDone()
	}
	s.applyGrant(g, conf)
}

// OnRevoke ends the ownership of an epoch: no new transaction starts, and the lease is returned
// once the running ones have ended. It doesn't block.
func (m *Manager) OnRevoke(name string, epoch uint64) {
	if s := m.lookup(name); s != nil && s.epoch == epoch {
		s.revoke()
	}
}

// Serve runs one transaction. It writes the wire.TxReply, relays frames until the connection to the target is
// outside a transaction again, and closes the stream. If the caller's side of the stream ends earlier, the
// transaction is aborted. Closing the stream must unblock a pending Read.
func (m *Manager) Serve(ctx context.Context, req wire.TxRequest, stream io.ReadWriteCloser) {
	defer func() { _ = stream.Close() }()
	s := m.lookup(req.Service)
	if s == nil {
		refuse(stream, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "service %q is not owned by this host", req.Service))
		return
	}
	s.serve(ctx, req, stream)
}

// ServeCancel cancels the running statement of a transaction. It has no effect once the transaction has
// released its connection.
func (m *Manager) ServeCancel(c wire.Cancel) {
	if s := m.lookup(c.Service); s != nil {
		s.cancelStatement(c)
	}
}

// Reports returns the state of all owned services for a lease renewal, sorted by name.
func (m *Manager) Reports() []wire.ServiceReport {
	var out []wire.ServiceReport
	for _, s := range m.allServices() {
		if !s.isStopped() {
			out = append(out, s.report())
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Service < out[j].Service })
	return out
}

// State returns a debug dump of all owned services that can be encoded as JSON.
func (m *Manager) State() any {
	out := map[string]any{}
	for _, s := range m.allServices() {
		out[s.name] = s.dump()
	}
	return out
}

// Shutdown revokes all services and waits until their leases have been returned. When ctx ends
// first, it aborts the remaining transactions. The connection pools are closed in the background.
func (m *Manager) Shutdown(ctx context.Context) error {
	m.mu.Lock()
	m.closed = true
	m.mu.Unlock()
	all := m.allServices()
	for _, s := range all {
		s.revoke()
	}
	var err error
	for _, s := range all {
		select {
		case <-s.stopped:
		case <-ctx.Done():
			err = ctx.Err()
			s.stop()
		}
	}
	return err
}

func (m *Manager) lookup(name string) *service {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.services[name]
}

func (m *Manager) allServices() []*service {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*service
	for _, s := range m.services {
		out = append(out, s)
	}
	return out
}

// remove deletes a stopped service, so that Serve rejects its requests immediately.
func (m *Manager) remove(s *service) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.services[s.name] == s {
		delete(m.services, s.name)
	}
}

// refuse answers a request that was not admitted.
func refuse(w io.Writer, err error) {
	e := verdict.As(err)
	countRefusal(e.Code)
	_ = wire.Write(w, wire.TxReply{Code: e.Code, Message: e.Message}) // fails only if the caller has disconnected
}
