package holder

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// Manager runs statements for all targets that this host holds. It is safe for concurrent use.
type Manager struct {
	cfg     Config
	logger  log.Logger
	metrics *holderMetrics

	mu      sync.Mutex
	targets map[string]*target
}

// New returns a Manager without targets. Run must be called for it to keep them.
func New(cfg Config) *Manager {
	m := &Manager{cfg: cfg, logger: log.With(cfg.Logger, "part", "holder"), targets: map[string]*target{}}
	m.metrics = newHolderMetrics(cfg.Metrics)
	return m
}

// Apply takes over the present leases. It doesn't block.
func (m *Manager) Apply(leases []Lease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	present := map[string]bool{}
	for _, l := range leases {
		present[l.Target] = true
		t := m.targets[l.Target]
		if t != nil && t.epoch != l.Epoch {
			t.close(errLeaseEnded)
			t = nil
		}
		if t == nil {
			t = newTarget(m, l)
			m.targets[l.Target] = t
			m.metrics.gained.Inc()
			_ = level.Info(m.logger).Log("msg", "target lease gained", "target", l.Target, "service", l.Service,
				"epoch", l.Epoch, "primary", l.Primary, "term", l.Term)
		}
		t.apply(l)
		go t.enforce()
	}
	for name, t := range m.targets {
		if !present[name] {
			t.close(errLeaseEnded)
			delete(m.targets, name)
		}
	}
}

// Run keeps the held targets until ctx ends, and then closes all connections.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, t := range m.all() {
				t.close(errLeaseEnded)
			}
			return nil
		case <-ticker.C:
			for _, t := range m.all() {
				t.tick(ctx)
			}
		}
	}
}

func (m *Manager) all() []*target {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]*target, 0, len(m.targets))
	for _, t := range m.targets {
		out = append(out, t)
	}
	return out
}

func (m *Manager) lookup(name string) *target {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.targets[name]
}

// forget removes a target whose lease was returned.
func (m *Manager) forget(t *target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.targets[t.name] == t {
		delete(m.targets, t.name)
	}
}

// Health returns reports about the held targets that aren't well.
func (m *Manager) Health() []wire.TargetHealth {
	var out []wire.TargetHealth
	for _, t := range m.all() {
		if h := t.healthReport(); h.SilentFor > 0 || h.CommitStall > 0 {
			out = append(out, h)
		}
	}
	return out
}

// Start runs a single statement, or the first statement of a block. After a block's first statement the
// returned Block runs the further ones; it is nil when nothing is left open.
func (m *Manager) Start(ctx context.Context, w wire.StatementRequest) (wire.StatementReply, *Block) {
	t := m.lookup(w.Target)
	if t == nil {
		return failed(verdict.New(verdict.NotRun, verdict.CodeUnavailable, "target %q is not held by this host", w.Target)), nil
	}
	ctx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	var reply wire.StatementReply
	var b *Block
	if w.StartsBlock {
		reply, b = t.startBlock(ctx, w)
	} else {
		reply = t.runSingle(ctx, w)
	}
	t.annotate(&reply)
	return reply, b
}

// Serve runs the work of one stream. Close of the stream must end a blocked Read.
func (m *Manager) Serve(ctx context.Context, stream io.ReadWriter) {
	var w wire.StatementRequest
	if err := wire.Read(stream, &w, wire.MaxMessageBytes); err != nil {
		return // the sender is gone; nothing has run
	}
	reply, b := m.Start(ctx, w)
	if b != nil {
		defer b.Close()
	}
	reply.Compress = w.Compress
	if err := wire.Write(stream, reply); err != nil || b == nil {
		return
	}
	for !b.Ended() {
		var next wire.BlockStatementRequest
		if err := wire.Read(stream, &next, wire.MaxMessageBytes); err != nil {
			return // the caller left; Close rolls back
		}
		reply := b.Next(ctx, next)
		reply.Compress = w.Compress
		if err := wire.Write(stream, reply); err != nil {
			return
		}
	}
}

func failed(err error) wire.StatementReply {
	e := verdict.As(err)
	return wire.StatementReply{Verdict: uint8(e.Verdict), Code: e.Code, Message: e.Message}
}

func succeeded(res statement.Result) wire.StatementReply { return wire.StatementReply{Result: res} }

// TargetState is the part of a state dump about one held target.
type TargetState struct {
	Service     string  `json:"service"`
	Epoch       uint64  `json:"epoch"`
	Primary     bool    `json:"primary"`
	Term        uint64  `json:"term"`
	Revoked     bool    `json:"revoked"`
	Connections int     `json:"connections"`
	Statements  int     `json:"work"`
	SilentFor   float64 `json:"silent_s"`
	CommitStall float64 `json:"stuck_s"`
	Position    string  `json:"position"`
}

// State returns the dump of all held targets by name.
func (m *Manager) State() any {
	out := map[string]TargetState{}
	for _, t := range m.all() {
		out[t.name] = t.state()
	}
	return out
}
