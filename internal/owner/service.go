package owner

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/citronrun/citronrun/internal/admission"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/routing"
	"github.com/citronrun/citronrun/internal/statechart"
	"github.com/citronrun/citronrun/internal/wire"
)

// service is one owned service in one ownership epoch.
type service struct {
	m       *Manager
	cfg     *Config
	name    string
	epoch   uint64
	gate    *admission.Gate
	ctx     context.Context // ends with the service
	end     context.CancelFunc
	stopped chan struct{}
	once    sync.Once

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced after each change of state
	group    routing.Group
	targets  map[string]*target
	floors   routing.Floors
	rnd      *rand.Rand
	primary  string    // empty: none
	ackTerm  uint64    // term whose commits may be acknowledged; 0: none
	election *election // nil: none
	started  time.Time
	waiting  int // commits, reads and elections that wait for status answers
	txs      map[txKey]*tx
	active   int // transactions being placed or running
	writers  int // transactions that hold or wait for the primary's connections
	handover *statechart.Machine
	slots    int                        // of each target, as in the catalog
	conns    int                        // of each target, as in the catalog
	selector map[string]labels.Selector // parsed selectors of rules
	gen      context.Context            // ends when the primary changes or an election starts
	genEnd   context.CancelFunc
}

type txKey struct {
	session string
	seq     uint64
}

func newService(m *Manager, g wire.LeaseGrant) *service {
	s := &service{
		m:       m,
		cfg:     &m.cfg,
		name:    g.Service,
		epoch:   g.Epoch,
		gate:    admission.NewGate(admission.Config{}, m.cfg.Clock),
		stopped: make(chan struct{}),
		changed: make(chan struct{}),
		targets: map[string]*target{},
		rnd:     rand.New(rand.NewPCG(m.cfg.Seed, g.Epoch)),
		started: m.cfg.Clock.Now(),
		txs:     map[txKey]*tx{},

		handover: handoverChart.New(),
		selector: map[string]labels.Selector{},
	}
	s.ctx, s.end = context.WithCancel(context.Background())
	s.gen, s.genEnd = context.WithCancel(s.ctx)
	s.group = routing.Group{
		Targets:        map[string]*routing.Target{},
		PrimarySamples: routing.NewSamples(routing.DefaultSamples),
	}
	return s
}

// apply takes over a grant of the service's epoch. Grants of an older term are dropped.
func (s *service) apply(g wire.LeaseGrant, conf catalog.Service) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ctx.Err() != nil || g.Term < s.group.Term || s.election != nil && g.Term < s.election.term {
		return
	}
	if _, ok := s.fire(eventGranted); !ok {
		return
	}
	s.group.Databases = conf.Databases
	s.setTargets(g.Targets, max(conf.Slots, 1), max(conf.Connections, 1))
	if g.ElectionPending {
		s.beginElection(g)
	} else {
		s.adopt(g)
	}
	s.notify()
}

// adopt serves the recorded primary of a term.
func (s *service) adopt(g wire.LeaseGrant) {
	if s.group.Term == g.Term && s.primary == g.Primary && s.election == nil {
		return
	}
	s.dropElection()
	s.setPrimary(g.Term, g.Primary)
}

// setPrimary serves a term with its primary. Transactions on another primary are given up.
func (s *service) setPrimary(term uint64, name string) {
	same := s.group.Term == term && s.primary == name
	s.group.Term, s.primary, s.ackTerm = term, name, term
	if !same {
		s.endGeneration()
	}
}

// endGeneration ends the placement and the transactions that depend on the previous primary.
func (s *service) endGeneration() {
	s.genEnd()
	s.gen, s.genEnd = context.WithCancel(s.ctx)
	for _, t := range s.txs {
		if t.atPrimary() {
			go t.abort(errPrimaryChanged)
		}
	}
}

func (s *service) setTargets(infos []wire.TargetInfo, slots, conns int) {
	seen := map[string]bool{}
	for _, info := range infos {
		seen[info.Target] = true
		t := s.targets[info.Target]
		if t != nil && t.cfg.Addr != info.Addr {
			s.removeTarget(t)
			t = nil
		}
		if t == nil {
			s.addTarget(info, conns)
		}
		view := s.group.Targets[info.Target]
		view.Place, view.Labels, view.Leaving = info.Place, info.Labels, info.Leaving
		if t == nil || slots != s.slots || conns != s.conns {
			s.gate.SetTarget(info.Target, slots, conns)
		}
	}
	s.slots, s.conns = slots, conns
	for name, t := range s.targets {
		if !seen[name] {
			s.removeTarget(t)
		}
	}
}

func (s *service) addTarget(info wire.TargetInfo, conns int) {
	cfg := TargetConfig{Service: s.name, Target: info.Target, Addr: info.Addr, MaxConns: conns}
	t := &target{s: s, cfg: cfg, kick: make(chan struct{}, 1), pool: s.cfg.Factory.NewPool(cfg), since: s.cfg.Clock.Now()}
	t.ctx, t.end = context.WithCancel(s.ctx)
	s.targets[info.Target] = t
	s.group.Targets[info.Target] = &routing.Target{Name: info.Target}
	go t.poll()
}

// removeTarget stops the polls. Its pool closes connections in use once they are put.
func (s *service) removeTarget(t *target) {
	t.end()
	go t.pool.Close()
	delete(s.targets, t.cfg.Target)
	delete(s.group.Targets, t.cfg.Target)
}

// notify wakes all waits for a change of state. The caller holds mu.
func (s *service) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// hurry makes the status loops ask at the busy interval until the returned function is called.
func (s *service) hurry() (done func()) {
	s.mu.Lock()
	s.waiting++
	for _, t := range s.targets {
		t.wake()
	}
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}
}

// await blocks until ready returns true under mu. It returns false when ctx or the service ends or the
// limit fires first.
func (s *service) await(ctx context.Context, limit <-chan time.Time, ready func() bool) bool {
	for {
		s.mu.Lock()
		ok := ready()
		changed := s.changed
		s.mu.Unlock()
		if ok {
			return true
		}
		select {
		case <-changed:
		case <-limit:
			return false
		case <-ctx.Done():
			return false
		case <-s.ctx.Done():
			return false
		}
	}
}

// leaseValid asks the host's agent. It is not called under mu, since the agent may hold a lock of its
// own while it passes a grant on.
func (s *service) leaseValid() bool { return s.cfg.LeaseValid(s.name, s.epoch) }

// revoke stops new work; run returns the lease.
func (s *service) revoke() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.fire(eventRevoked) // an epoch that has ended stays so
	s.notify()
}

// run waits for the end of the ownership: revoked, and no transaction left or the lease expired.
func (s *service) run() {
	for {
		valid := s.leaseValid()
		ended, changed := s.endIfDone(valid)
		if ended {
			s.stop()
			s.m.forget(s)
			s.cfg.ReturnLease(s.name, s.epoch)
			return
		}
		select {
		case <-changed:
		case <-s.cfg.After(s.cfg.PollIdle):
		case <-s.ctx.Done():
			return
		}
	}
}

// stop gives up everything that still runs and closes the connections.
func (s *service) stop() {
	s.once.Do(func() {
		s.end()
		s.mu.Lock()
		for _, t := range s.txs {
			go t.abort(errOwnershipEnded)
		}
		for _, t := range s.targets {
			go t.pool.Close()
		}
		s.notify()
		s.mu.Unlock()
		close(s.stopped)
	})
}

func (s *service) isStopped() bool { return s.ctx.Err() != nil }

func (s *service) report() wire.ServiceReport {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	r := wire.ServiceReport{Service: s.name, Epoch: s.epoch, Term: s.group.Term, Primary: s.primary}
	if s.election != nil {
		r.Term, r.Primary = s.election.term, ""
	}
	for name, t := range s.group.Targets {
		last := t.StatusReceivedAt
		if last.IsZero() {
			last = s.targets[name].since
		}
		r.Targets = append(r.Targets, wire.TargetReport{
			Target: name, Role: t.Role, Term: t.Term, Received: t.Received, Applied: t.Applied,
			SilentFor: max(now.Sub(last), 0),
		})
	}
	sortReports(r.Targets)
	return r
}
