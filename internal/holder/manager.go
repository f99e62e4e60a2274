package holder

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// Manager executes statements at all targets whose leases this host holds. It is safe for concurrent use.
type Manager struct {
	cfg     Config
	logger  log.Logger
	metrics *holderMetrics
	samples *sampleStore

	mu      sync.Mutex
	targets map[string]*target
}

// New returns a Manager without targets. Run must be called for revocations, health reports and position
// polls to take effect.
func New(cfg Config) *Manager {
	if cfg.Place == nil {
		cfg.Place = func(string) catalog.Place { return catalog.Place{} }
	}
	if cfg.EmptyPlaceTime <= 0 {
		cfg.EmptyPlaceTime = DefaultEmptyPlaceTime
	}
	m := &Manager{cfg: cfg, logger: log.With(cfg.Logger, "part", "holder"), targets: map[string]*target{}, samples: newSampleStore(cfg)}
	m.metrics = newHolderMetrics(cfg.Metrics)
	return m
}

// Apply replaces the set of leases that this host holds. It does not block.
func (m *Manager) Apply(leases []Lease) {
	m.mu.Lock()
	defer m.mu.Unlock()
	granted := map[string]bool{}
	for _, l := range leases {
		granted[l.Target] = true
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
		go t.enforceRevocation()
	}
	for name, t := range m.targets {
		if !granted[name] {
			t.close(errLeaseEnded)
			delete(m.targets, name)
		}
	}
}

// Run maintains the held targets until ctx ends, and then closes all connections.
func (m *Manager) Run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, t := range m.heldTargets() {
				t.close(errLeaseEnded)
			}
			return nil
		case <-ticker.C:
			for _, t := range m.heldTargets() {
				t.tick(ctx)
			}
		}
	}
}

func (m *Manager) heldTargets() []*target {
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

// removeTarget removes a target whose lease has been returned or has ended.
func (m *Manager) removeTarget(t *target) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.targets[t.name] == t {
		delete(m.targets, t.name)
	}
}

// Health returns reports of the held targets that can't be reached, or that have been silent, or had a commit
// stalled, for reportThreshold. A target is silent while it responds to no statement. A commit is stalled while
// the target responds to no commit, as when it waits for replicas.
func (m *Manager) Health() []wire.TargetHealth {
	var out []wire.TargetHealth
	for _, t := range m.heldTargets() {
		if h := t.healthReport(); h.SilentFor > 0 || h.CommitStall > 0 {
			out = append(out, h)
		}
	}
	return out
}

// Start runs a single statement, or the first statement of a block. The returned Block runs the following
// statements of the block; it is nil if no block is left open.
func (m *Manager) Start(ctx context.Context, req wire.StatementRequest) (wire.StatementReply, *Block) {
	t := m.lookup(req.Target)
	if t == nil {
		return errorReply(verdict.New(verdict.NotRun, verdict.CodeUnavailable, "target %q is not held by this host", req.Target)), nil
	}
	arrivedAt := m.cfg.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	if reply, declined := t.decline(&req); declined {
		return t.finishReply(reply, arrivedAt), nil
	}
	if err := m.applyMaxAge(ctx, t, &req); err != nil {
		return errorReply(err), nil
	}
	reply, block := t.startWhenReached(ctx, req)
	t.addQueueWait(&reply)
	return t.finishReply(reply, arrivedAt), block
}

// applyMaxAge raises the position that the target's log must have reached to that of a sample within the maximum age.
func (m *Manager) applyMaxAge(ctx context.Context, t *target, req *wire.StatementRequest) error {
	if req.NeedsPrimary || req.MaxAge <= 0 {
		return nil
	}
	found, err := m.samples.positionWithin(ctx, t.service, req.MaxAge)
	if err != nil {
		m.metrics.refusedUnsampled.Inc()
		return err
	}
	m.metrics.readAge.Update(m.cfg.Clock.Now().Sub(found.takenAt).Seconds())
	req.MinPosition = found.pos.Max(req.MinPosition)
	return nil
}

// Sample returns the newest position sample of a service that this host knows, and whether there is one: its own, if it
// holds the given target as the primary, or else one that it has fetched or that remains from an earlier primary.
func (m *Manager) Sample(targetName, service string) (wire.Sample, bool) {
	kept, known := m.samples.newest(service)
	t := m.lookup(targetName)
	if t == nil {
		return kept, known
	}
	if s, ok := t.newestSample(); ok && (!known || s.Age <= kept.Age) {
		return s, true
	}
	return kept, known
}

// Serve executes the statements of one stream: a single statement or a block. Closing the stream must
// unblock a pending Read.
func (m *Manager) Serve(ctx context.Context, stream io.ReadWriter) {
	var req wire.StatementRequest
	if err := wire.Read(stream, &req, wire.MaxStatementBytes); err != nil {
		return // the stream failed before a request was read: nothing has run
	}
	reply, block := m.Start(ctx, req)
	if block != nil {
		defer block.Close()
	}
	reply.Compress = req.Compress
	if err := wire.Write(stream, reply); err != nil || block == nil {
		return
	}
	for !block.Ended() {
		var next wire.BlockStatementRequest
		if err := wire.Read(stream, &next, wire.MaxStatementBytes); err != nil {
			return // the sender has disconnected; Close rolls the block back
		}
		reply := block.Next(ctx, next)
		reply.Compress = req.Compress
		if err := wire.Write(stream, reply); err != nil {
			return
		}
	}
}

func errorReply(err error) wire.StatementReply {
	e := verdict.As(err)
	return wire.StatementReply{Verdict: uint8(e.Verdict), Code: e.Code, Message: e.Message, RetryAfter: e.RetryAfter}
}

func resultReply(res statement.Result) wire.StatementReply { return wire.StatementReply{Result: res} }

// TargetState is the entry of a held target in the state dump.
type TargetState struct {
	Service     string  `json:"service"`
	Epoch       uint64  `json:"epoch"`
	Primary     bool    `json:"primary"`
	Term        uint64  `json:"term"`
	Revoked     bool    `json:"revoked"`
	Connections int     `json:"connections"`
	ActiveWork  int     `json:"work"`
	SilentFor   float64 `json:"silent_s"`
	CommitStall float64 `json:"stuck_s"`
	Position    string  `json:"position"`
}

// State returns the TargetState of each held target by name.
func (m *Manager) State() any {
	out := map[string]TargetState{}
	for _, t := range m.heldTargets() {
		out[t.name] = t.state()
	}
	return out
}
