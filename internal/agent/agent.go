// Package agent is the host's side of the control plane. It renews the host's leases with the control
// leader and caches what the leader's replies contain: the catalog, routes, leases and rate tokens.
package agent

import (
	"context"
	"crypto/rand"
	"hash/fnv"
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
	renewalInterval    = ratelimit.RenewalInterval // between regular renewals
	attemptTimeout     = 300 * time.Millisecond    // for one call to a control host
	patientTimeout     = 900 * time.Millisecond    // for one that has received the request, but not answered yet
	minRenewalInterval = 20 * time.Millisecond     // between any two renewals, also those sent early
)

// Config describes a host. All fields but Probe are required.
type Config struct {
	Host         string // as in the host's certificate
	Place        string
	Addr         string   // QUIC address at which other hosts reach this one, IP:PORT
	Entry        bool     // has the entry role: accepts callers, and may own services and hold target leases
	ControlSeeds []string // QUIC addresses of the control hosts
	Transport    *transport.Endpoint
	Clock        clock.Clock
	Logger       log.Logger
	// Probe checks whether this host can reach a target. If nil, every target is reported as
	// unreachable.
	Probe func(ctx context.Context, p wire.Probe) wire.ProbeReply
	// TokenReserve is the ratio of borrowed rate tokens to the estimated demand of one renewal interval;
	// 0 means ratelimit.DefaultReserve. With a larger reserve the host can serve requests for longer
	// while no leader answers.
	TokenReserve float64
	// SlowRenewal makes a host without the entry role renew only every slowRenewalInterval.
	SlowRenewal bool
	// Detours makes an entry host renew through another entry host while it reaches no control host, and renew for others. Set
	// only where hosts don't authenticate each other: a control host can't tell whose renewal it is.
	Detours bool
}

// Agent holds a host's view of the cluster and keeps it current. Its methods are safe for concurrent
// use, except that OnGrant, OnRevoke, OnTargetLeases, SetReportSource and SetHealthSource must be called before
// Run.
type Agent struct {
	Config
	bootID         string
	started        time.Time
	onGrant        func(wire.LeaseGrant)
	onRevoke       func(service string, epoch uint64)
	serviceReports func() []wire.ServiceReport
	wake           chan struct{} // a value makes Run renew immediately

	onTargetLeases func([]TargetLease)
	targetHealth   func() []wire.TargetHealth

	targetRoutes atomic.Pointer[TargetTable]
	targetLeases atomic.Pointer[map[string]TargetLease]

	catalog     atomic.Pointer[catalog.Snapshot]
	routes      atomic.Pointer[map[string]wire.Route]
	leases      atomic.Pointer[map[string]lease.Held]
	lastRenewal atomic.Pointer[time.Time] // time at which the latest successful renewal was sent; nil: none yet

	mu                     sync.Mutex // guards the fields below
	serviceLeases          *lease.Holder
	grants                 map[string]wire.LeaseGrant // by service: latest grant of each held lease
	pendingReturns         map[string]uint64          // by service: returned epoch that no leader has acknowledged yet
	borrower               *ratelimit.Borrower
	borrows                borrowSender
	lastBorrow             map[string]borrowOutcome // by team
	draining               bool
	routesVersion          uint64
	leaderTerm             uint64
	leaderAddr             string               // presumed leader; empty: unknown
	nextControl            int                  // index into controlAddrs() of the host to try when the leader is unknown
	leaderReachable        bool                 // as last logged; false: no leader answers
	advertisedControlAddrs []string             // control hosts listed in the latest reply of a leader
	hostAddrs              []string             // entry hosts listed in the latest reply that had a list
	placeHosts             bool                 // hostAddrs are only the hosts of this place
	failedPeers            map[string]time.Time // by address: last failure of a stream to a host of the place
	catalogData            []byte               // encoded form of catalog
	catalogChecksum        uint64               // of catalogData; 0: none
	catalogMissing         bool                 // the last reply named a newer catalog that it lacked
	forwarders             []string             // control hosts of this place, through which this host renews; empty: none
	forwardersVersion      uint64               // version of forwarders, as counted by the leader of the current term
	detours                detourState
	noLeaderSince          time.Time     // since when the forwarders have known no leader; zero: they know one
	renewEvery             time.Duration // time between regular renewals, as set by the leader; 0: the default
	hostsVersion           uint64        // version of hostAddrs, as counted by the leader of the current term
	sequence               uint64        // of the latest renewal
	targets                targetState
	renewed                chan struct{} // closed and replaced after each successful renewal
}

// New returns an agent and registers its handlers for probes and renew-now requests with the transport
// endpoint, which must not be serving yet.
func New(c Config) *Agent {
	c.Logger = log.With(c.Logger, "part", "agent")
	a := &Agent{
		Config:         c,
		bootID:         rand.Text(),
		started:        c.Clock.Now(),
		onGrant:        func(wire.LeaseGrant) {},
		onRevoke:       func(string, uint64) {},
		serviceReports: func() []wire.ServiceReport { return nil },
		wake:           make(chan struct{}, 1),
		onTargetLeases: func([]TargetLease) {},
		targetHealth:   func() []wire.TargetHealth { return nil },
		targets:        targetState{held: map[string]*heldTarget{}, returned: map[string]uint64{}},
		serviceLeases:  lease.NewHolder(),
		grants:         map[string]wire.LeaseGrant{},
		pendingReturns: map[string]uint64{},
		borrower:       ratelimit.NewBorrower(c.TokenReserve),
		borrows:        borrowSender{pending: map[string]*borrowCall{}, resume: make(chan struct{}, 1)},
		lastBorrow:     map[string]borrowOutcome{},
		failedPeers:    map[string]time.Time{},
		renewed:        make(chan struct{}),
		nextControl:    firstControl(c.Addr),
	}
	a.routes.Store(&map[string]wire.Route{})
	a.leases.Store(&map[string]lease.Held{})
	a.targetRoutes.Store(newTargetTable(nil))
	a.targetLeases.Store(&map[string]TargetLease{})
	c.Transport.Handle(wire.KindProbe, a.serveProbe)
	c.Transport.Handle(wire.KindRenewNow, a.serveRenewNow)
	c.Transport.Handle(wire.KindAdmit, a.serveAdmit)
	if c.Detours {
		a.handleDetours()
	}
	return a
}

// firstControl returns the index of the control host that a host calls first. It differs between hosts, so that after a
// restart of all of them no control host has to accept connections from each.
func firstControl(addr string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(addr)) // never fails
	return int(h.Sum32() >> 1)
}

// OnGrant sets the function that is called, from the goroutine of Run, when a lease is granted and
// when a renewal changes anything but its expiry. The lease is already valid when f is called.
func (a *Agent) OnGrant(f func(wire.LeaseGrant)) { a.onGrant = f }

// OnRevoke sets the function that is called, from the goroutine of Run, when the leader no longer
// renews a lease. The function must not block. The lease may remain valid for a while so that running work can
// finish; no new work may start under it. Call ReturnLease when that work has ended. A lease that isn't
// returned ends when it expires.
func (a *Agent) OnRevoke(f func(service string, epoch uint64)) { a.onRevoke = f }

// SetReportSource sets the function that provides the reports of owned services for each renewal.
func (a *Agent) SetReportSource(f func() []wire.ServiceReport) { a.serviceReports = f }

// BootID returns the random id of this process, which is new after each restart.
func (a *Agent) BootID() string { return a.bootID }

// Catalog returns the latest catalog, or nil before the first successful renewal.
func (a *Agent) Catalog() *catalog.Snapshot { return a.catalog.Load() }

// ConfirmedAge returns the age of the latest successful renewal, counted from the send of its request. It
// is math.MaxInt64 before the first one.
func (a *Agent) ConfirmedAge() time.Duration {
	at := a.lastRenewal.Load()
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

// LeaseValid reports whether this host may act as the owner of a service in the given epoch. It is
// lock-free.
func (a *Agent) LeaseValid(service string, epoch uint64) bool {
	held, ok := (*a.leases.Load())[service]
	return ok && held.Epoch == epoch && a.Clock.Now().Before(held.ExpiresAt)
}

// ReturnLease returns a lease and triggers a renewal that reports it to the leader. No work may be running
// under the lease any more.
func (a *Agent) ReturnLease(service string, epoch uint64) {
	a.mu.Lock()
	a.queueReturn(service, epoch)
	a.publishLeases()
	a.mu.Unlock()
	a.RenewNow()
}

// queueReturn removes a lease and queues its return for the following renewals, until a leader acknowledges
// it. a.mu must be held.
func (a *Agent) queueReturn(service string, epoch uint64) {
	a.serviceLeases.Return(service, epoch)
	a.pendingReturns[service] = max(a.pendingReturns[service], epoch)
	if g, ok := a.grants[service]; ok && g.Epoch <= epoch {
		delete(a.grants, service)
	}
}

// publishLeases makes the service leases visible to LeaseValid. a.mu must be held.
func (a *Agent) publishLeases() {
	leases := make(map[string]lease.Held, len(a.serviceLeases.Leases()))
	for service, held := range a.serviceLeases.Leases() {
		leases[service] = held
	}
	a.leases.Store(&leases)
}

// RenewNow triggers a renewal without waiting for the interval, for instance because a report has changed.
func (a *Agent) RenewNow() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// Drain asks the leader to move this host's services to other hosts and to assign it no new ones. It
// returns nil once all leases are returned and the leader has acknowledged that. If ctx ends first, it
// returns the cause.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.draining = true
	a.mu.Unlock()
	a.RenewNow()
	renewals := 0 // successful renewals since the drain began; the first may have been sent before it
	for {
		a.mu.Lock()
		progress := a.renewed
		done := renewals >= 2 && len(a.serviceLeases.Leases()) == 0 && len(a.pendingReturns) == 0 && len(a.targets.held) == 0
		a.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-progress:
			renewals++
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// serveRenewNow renews at once, with the leader that the message names, if any. Whether it leads shows in its reply.
func (a *Agent) serveRenewNow(_ context.Context, _ string, s transport.Stream) {
	var msg wire.RenewNow
	if err := wire.Read(s, &msg, wire.MaxMessageBytes); err == nil && msg.LeaderAddr != "" {
		a.mu.Lock()
		a.leaderAddr = msg.LeaderAddr
		a.mu.Unlock()
	}
	a.RenewNow()
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
