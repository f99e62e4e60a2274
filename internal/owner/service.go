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

// service is the state of an owned service during one ownership epoch.
type service struct {
	manager   *Manager
	cfg       *Config
	name      string
	epoch     uint64
	gate      *admission.Gate
	ctx       context.Context // cancelled by stop
	cancelCtx context.CancelFunc
	stopped   chan struct{}
	stopOnce  sync.Once

	mu               sync.Mutex
	stateChanged     chan struct{} // closed and replaced after each state change
	group            routing.Group
	targets          map[string]*target
	floors           routing.Floors
	rng              *rand.Rand
	primary          string    // name of the primary; empty if there is none
	ackTerm          uint64    // term whose commits may be acknowledged; 0 while fenced
	election         *election // nil when none is running
	startedAt        time.Time
	statusWaiters    int // commits, reads and elections that wait for a newer status
	txs              map[txID]*tx
	active           int // admitted transactions, from the wait for a connection until their end
	primaryTxs       int // transactions, reads included, that use or wait for a connection to the primary
	handover         *statechart.Machine
	slotsPerTarget   int                        // per target, from the catalog
	connsPerTarget   int                        // per target, from the catalog
	selectors        map[string]labels.Selector // parsed target selectors of policies, by their text
	primaryCtx       context.Context            // cancelled when the primary changes or its term is fenced
	cancelPrimaryCtx context.CancelFunc
}

type txID struct {
	session string
	seq     uint64
}

func newService(manager *Manager, g wire.LeaseGrant) *service {
	s := &service{
		manager:      manager,
		cfg:          &manager.cfg,
		name:         g.Service,
		epoch:        g.Epoch,
		gate:         admission.NewGate(admission.Config{}, manager.cfg.Clock),
		stopped:      make(chan struct{}),
		stateChanged: make(chan struct{}),
		targets:      map[string]*target{},
		rng:          rand.New(rand.NewPCG(manager.cfg.Seed, g.Epoch)),
		startedAt:    manager.cfg.Clock.Now(),
		txs:          map[txID]*tx{},

		handover:  handoverChart.New(),
		selectors: map[string]labels.Selector{},
	}
	s.ctx, s.cancelCtx = context.WithCancel(context.Background())
	s.primaryCtx, s.cancelPrimaryCtx = context.WithCancel(s.ctx)
	s.group = routing.Group{
		Targets:        map[string]*routing.Target{},
		PrimarySamples: routing.NewSamples(routing.DefaultSamples),
	}
	return s
}

// applyGrant applies a grant of the service's epoch. Grants of an older term are ignored.
func (s *service) applyGrant(g wire.LeaseGrant, conf catalog.Service) {
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
		s.adoptPrimary(g)
	}
	s.notify()
}

// adoptPrimary switches to the primary that control has recorded for the grant's term. mu must be
// held.
func (s *service) adoptPrimary(g wire.LeaseGrant) {
	if s.group.Term == g.Term && s.primary == g.Primary && s.election == nil {
		return
	}
	s.cancelElection()
	s.setPrimary(g.Term, g.Primary)
}

// setPrimary switches to a term and its primary. If either changes, it aborts the transactions on
// the previous primary. mu must be held.
func (s *service) setPrimary(term uint64, name string) {
	same := s.group.Term == term && s.primary == name
	s.group.Term, s.primary, s.ackTerm = term, name, term
	if !same {
		s.abortPrimaryWork()
	}
}

// abortPrimaryWork aborts the transactions that run on the primary and interrupts those that wait
// for a connection to it. mu must be held.
func (s *service) abortPrimaryWork() {
	s.cancelPrimaryCtx()
	s.primaryCtx, s.cancelPrimaryCtx = context.WithCancel(s.ctx)
	for _, t := range s.txs {
		if t.onPrimary() {
			go t.abort(errPrimaryChanged)
		}
	}
}

// setTargets adds, replaces and removes targets according to a grant. mu must be held.
func (s *service) setTargets(infos []wire.TargetInfo, slots, conns int) {
	listed := map[string]bool{}
	for _, info := range infos {
		listed[info.Target] = true
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
		if t == nil || slots != s.slotsPerTarget || conns != s.connsPerTarget {
			s.gate.SetTarget(info.Target, slots, conns)
		}
	}
	s.slotsPerTarget, s.connsPerTarget = slots, conns
	for name, t := range s.targets {
		if !listed[name] {
			s.removeTarget(t)
		}
	}
}

func (s *service) addTarget(info wire.TargetInfo, conns int) {
	cfg := TargetConfig{Service: s.name, Target: info.Target, Addr: info.Addr, MaxConns: conns}
	t := &target{service: s, cfg: cfg, wakeCh: make(chan struct{}, 1), pool: s.cfg.Factory.NewPool(cfg), pollingSince: s.cfg.Clock.Now()}
	t.ctx, t.cancelCtx = context.WithCancel(s.ctx)
	s.targets[info.Target] = t
	s.group.Targets[info.Target] = &routing.Target{Name: info.Target}
	go t.poll()
}

// removeTarget stops polling the target and closes its pool, which closes connections in use when
// they are put back.
func (s *service) removeTarget(t *target) {
	t.cancelCtx()
	go t.pool.Close()
	delete(s.targets, t.cfg.Target)
	delete(s.group.Targets, t.cfg.Target)
}

// notify wakes all goroutines that wait for a state change. mu must be held.
func (s *service) notify() {
	close(s.stateChanged)
	s.stateChanged = make(chan struct{})
}

// pollFaster makes the poll loops of all targets poll at the busy interval until stop is called.
func (s *service) pollFaster() (stop func()) {
	s.mu.Lock()
	s.statusWaiters++
	for _, t := range s.targets {
		t.wake()
	}
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		s.statusWaiters--
		s.mu.Unlock()
	}
}

// await evaluates ready under mu after each state change until it returns true. It returns false
// when ctx or the service ends or limit fires first.
func (s *service) await(ctx context.Context, limit <-chan time.Time, ready func() bool) bool {
	for {
		s.mu.Lock()
		ok := ready()
		changed := s.stateChanged
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

// leaseValid asks the host's agent whether the lease is valid. It must not be called under mu: the
// agent may hold a lock of its own while it delivers a grant, which takes mu.
func (s *service) leaseValid() bool { return s.cfg.LeaseValid(s.name, s.epoch) }

// revoke stops the admission of transactions. returnLeaseWhenDone returns the lease once the
// running ones have ended.
func (s *service) revoke() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = s.fire(eventRevoked) // has no effect on an epoch that has ended
	s.notify()
}

// returnLeaseWhenDone waits until the epoch has been revoked and either no transaction is left or
// the lease has expired. It then stops the service and returns the lease.
func (s *service) returnLeaseWhenDone() {
	for {
		valid := s.leaseValid()
		ended, changed := s.endIfDone(valid)
		if ended {
			s.stop()
			s.manager.remove(s)
			s.cfg.ReturnLease(s.name, s.epoch)
			return
		}
		select {
		case <-changed:
		case <-s.cfg.After(s.cfg.IdlePollInterval):
		case <-s.ctx.Done():
			return
		}
	}
}

// stop aborts the running transactions and closes the connection pools.
func (s *service) stop() {
	s.stopOnce.Do(func() {
		s.cancelCtx()
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
	for name, view := range s.group.Targets {
		lastStatus := view.StatusReceivedAt
		if lastStatus.IsZero() {
			lastStatus = s.targets[name].pollingSince
		}
		r.Targets = append(r.Targets, wire.TargetReport{
			Target: name, Role: view.Role, Term: view.Term, Received: view.Received, Applied: view.Applied,
			SilentFor: max(now.Sub(lastStatus), 0),
		})
	}
	sortReports(r.Targets)
	return r
}
