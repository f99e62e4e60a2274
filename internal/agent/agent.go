// Package agent is a host's side of the control plane. It renews the host's leases at the control
// leader, and keeps what the leader answers: the catalog, routes, leases and rate tokens.
package agent

import (
	"context"
	"crypto/rand"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/ratelimit"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	interval       = ratelimit.RenewalInterval // between renewals
	attemptTimeout = 300 * time.Millisecond    // for one control host to answer
	minInterval    = 20 * time.Millisecond     // between renewals that are sent early
)

// Config describes a host. All fields but Probe are required.
type Config struct {
	Host         string // as in the host's certificate
	Place        string
	Addr         string   // QUIC address under which other hosts reach this one, IP:PORT
	Entry        bool     // may own services
	ControlSeeds []string // QUIC addresses of the control hosts
	Transport    *transport.Endpoint
	Clock        clock.Clock
	Logger       log.Logger
	// Probe answers whether this host reaches a target. Without it every target counts as
	// unreachable.
	Probe func(ctx context.Context, p wire.Probe) wire.ProbeReply
	// TokenReserve is the part of the estimated demand of an interval for which rate tokens are borrowed; 0:
	// ratelimit.DefaultReserve. More lets the host go on for longer while no leader answers.
	TokenReserve float64
	// SlowRenewal lets a host without the entry role renew less often.
	SlowRenewal bool
}

// Agent is a host's view of the cluster. Its methods are safe for concurrent use, except that
// OnGrant, OnRevoke and Report must be called before Run.
type Agent struct {
	Config
	boot     string
	started  time.Time
	onGrant  func(wire.LeaseGrant)
	onRevoke func(service string, epoch uint64)
	report   func() []wire.ServiceReport
	wake     chan struct{}

	onTargets func([]TargetLease)
	health    func() []wire.TargetHealth

	targetRoutes atomic.Pointer[TargetTable]
	targetLeases atomic.Pointer[map[string]TargetLease]

	catalog   atomic.Pointer[catalog.Snapshot]
	routes    atomic.Pointer[map[string]wire.Route]
	leases    atomic.Pointer[map[string]lease.Held]
	confirmed atomic.Pointer[time.Time]

	mu            sync.Mutex
	holder        *lease.Holder
	grants        map[string]wire.LeaseGrant // latest of each held lease
	returns       map[string]uint64          // epochs given back that no leader has acknowledged
	borrower      *ratelimit.Borrower
	flights       map[string]*flight // Borrow requests that others may still join
	lastBorrow    map[string]borrowed
	draining      bool
	routesVersion uint64
	leaderTerm    uint64
	leaderAddr    string   // where the next request goes first
	next          int      // index into controls for the search
	reached       bool     // a leader has answered lately, as the log says
	learned       []string // control hosts that the leader has named
	sequence      uint64   // of the last renewal
	targetView    targetState
	progress      chan struct{} // closed and replaced after each answer to a renewal
}

// New returns an agent and registers its handlers for probes and pokes at the transport endpoint, which must
// not serve yet.
func New(c Config) *Agent {
	c.Logger = log.With(c.Logger, "part", "agent")
	a := &Agent{
		Config:     c,
		boot:       rand.Text(),
		started:    c.Clock.Now(),
		onGrant:    func(wire.LeaseGrant) {},
		onRevoke:   func(string, uint64) {},
		report:     func() []wire.ServiceReport { return nil },
		wake:       make(chan struct{}, 1),
		onTargets:  func([]TargetLease) {},
		health:     func() []wire.TargetHealth { return nil },
		targetView: targetState{held: map[string]*heldTarget{}, returned: map[string]uint64{}},
		holder:     lease.NewHolder(),
		grants:     map[string]wire.LeaseGrant{},
		returns:    map[string]uint64{},
		borrower:   ratelimit.NewBorrower(c.TokenReserve),
		flights:    map[string]*flight{},
		lastBorrow: map[string]borrowed{},
		progress:   make(chan struct{}),
	}
	a.routes.Store(&map[string]wire.Route{})
	a.leases.Store(&map[string]lease.Held{})
	a.targetRoutes.Store(newTargetTable(nil))
	a.targetLeases.Store(&map[string]TargetLease{})
	c.Transport.Handle(wire.KindProbe, a.serveProbe)
	c.Transport.Handle(wire.KindRenewNow, func(context.Context, string, transport.Stream) { a.RenewNow() })
	return a
}

// OnGrant sets the function that is called, from the goroutine of Run, when a lease is granted
// and when anything but its end has changed since the last call for it. The lease is valid by
// then. A renewal without a change causes no call.
func (a *Agent) OnGrant(f func(wire.LeaseGrant)) { a.onGrant = f }

// OnRevoke sets the function that is called, from the goroutine of Run, when a lease is no longer
// renewed. It must not block. The lease may stay valid for a while, for running work only. Once
// that work has ended, call Return. A lease that isn't returned ends when it expires.
func (a *Agent) OnRevoke(f func(service string, epoch uint64)) { a.onRevoke = f }

// SetReportSource sets the function that provides the reports of owned services for each renewal.
func (a *Agent) SetReportSource(f func() []wire.ServiceReport) { a.report = f }

// BootID returns the random id of this process.
func (a *Agent) BootID() string { return a.boot }

// Catalog returns the latest configuration, or nil before the first answer of a leader.
func (a *Agent) Catalog() *catalog.Snapshot { return a.catalog.Load() }

// ConfirmedAge returns the time since the last renewal that a leader has answered was sent. It is
// very large before the first.
func (a *Agent) ConfirmedAge() time.Duration {
	at := a.confirmed.Load()
	if at == nil {
		return math.MaxInt64
	}
	return a.Clock.Now().Sub(*at)
}

// Route returns which host owns a service.
func (a *Agent) Route(service string) (wire.Route, bool) {
	r, ok := (*a.routes.Load())[service]
	return r, ok && r.Owner != ""
}

// LeaseValid reports whether this host may act as the owner of a service in the given epoch. It
// takes no lock.
func (a *Agent) LeaseValid(service string, epoch uint64) bool {
	held, ok := (*a.leases.Load())[service]
	return ok && held.Epoch == epoch && a.Clock.Now().Before(held.ExpiresAt)
}

// ReturnLease gives a lease back and tells the leader at once. No work may run under it any more.
func (a *Agent) ReturnLease(service string, epoch uint64) {
	a.mu.Lock()
	a.giveBack(service, epoch)
	a.publishLeases()
	a.mu.Unlock()
	a.RenewNow()
}

func (a *Agent) giveBack(service string, epoch uint64) {
	a.holder.Return(service, epoch)
	a.returns[service] = max(a.returns[service], epoch)
	if g, ok := a.grants[service]; ok && g.Epoch <= epoch {
		delete(a.grants, service)
	}
}

// publishLeases makes the holder's leases visible to LeaseValid. a.mu is held.
func (a *Agent) publishLeases() {
	leases := make(map[string]lease.Held, len(a.holder.Leases()))
	for service, held := range a.holder.Leases() {
		leases[service] = held
	}
	a.leases.Store(&leases)
}

// RenewNow makes the next renewal happen at once, for instance because a report has changed.
func (a *Agent) RenewNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Drain asks the leader to move this host's services elsewhere. It returns nil once all leases are
// returned and the leader knows it, or the cause of ctx's end. The host gets no further services.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	a.RenewNow()
	told := 0 // answers to renewals that said so
	for {
		a.mu.Lock()
		progress := a.progress
		done := told >= 2 && len(a.holder.Leases()) == 0 && len(a.returns) == 0 && len(a.targetView.held) == 0
		a.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-progress:
			told++
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

func (a *Agent) serveProbe(ctx context.Context, _ string, s transport.Stream) {
	var p wire.Probe
	if err := wire.Read(s, &p, wire.MaxMessageBytes); err != nil {
		s.Reset()
		return
	}
	var reply wire.ProbeReply
	if a.Probe != nil {
		reply = a.Probe(ctx, p)
	}
	if err := wire.Write(s, reply); err != nil {
		s.Reset()
	}
}
