package agent

import (
	"context"
	"reflect"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/pack"
	"github.com/citronrun/citronrun/internal/wire"
)

// Run sends renewals until ctx ends and then returns nil. Leases that are still held expire.
func (a *Agent) Run(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		case <-a.wake:
		}
		started := time.Now()
		interval := noLeaderRetryInterval
		if a.renewOnce(ctx) {
			interval = a.renewalInterval()
		}
		timer.Reset(max(0, interval-time.Since(started)))
		if !sleep(ctx, minRenewalInterval-time.Since(started)) {
			return nil
		}
	}
}

// slowRenewalInterval is the time between renewals of a host with Config.SlowRenewal, which owns no services
// and serves no callers. It renews only to keep its catalog and its knowledge of the leader current.
const slowRenewalInterval = 4 * renewalInterval

// renewalInterval returns the time between regular renewals.
func (a *Agent) renewalInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.renewalIntervalLocked()
}

func (a *Agent) renewalIntervalLocked() time.Duration {
	if a.Entry || !a.SlowRenewal {
		return max(renewalInterval, min(a.renewEvery, maxRenewEvery))
	}
	return slowRenewalInterval
}

// maxRenewEvery bounds the interval that a leader may set. It is below the time for which a deployment may be
// unconfirmed.
const maxRenewEvery = 2 * time.Second

// AddedRenewalTime returns how much longer than the default the time between regular renewals is.
func (a *Agent) AddedRenewalTime() time.Duration { return a.renewalInterval() - renewalInterval }

// maxLargeAttempts is the number of control hosts that a renewal tries in a deployment in which hosts renew less often.
// While there is no leader, attempts of all hosts would disturb the election; the next leader announces itself.
const maxLargeAttempts = 3

// renewalAttempts returns the number of control hosts that a renewal tries.
func (a *Agent) renewalAttempts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	all := len(a.controlAddrs()) + 1
	if a.renewEvery > 0 {
		all = min(all, maxLargeAttempts)
	}
	if a.Detours {
		all += maxDetourAttempts
	}
	return all
}

// maxDetourAttempts is the number of further attempts of a renewal. An entry host that can't forward says so at once, and in a
// partition most of them may be unable to.
const maxDetourAttempts = 4

// sleep sleeps for d and returns true, or returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// renewOnce sends a renewal to the presumed leader, then to the other control hosts until the leader
// answers or each has been tried. It reports whether the next renewal is due at the regular time: it is due earlier while a
// forwarder knows no leader, and while no control host answers.
func (a *Agent) renewOnce(ctx context.Context) (regular bool) {
	demand := a.endDemandInterval()
	defer a.checkControlLost()
	for range a.renewalAttempts() {
		if ctx.Err() != nil {
			return true
		}
		to := a.nextControlTarget()
		req := a.newRenewal(demand)
		req.Forward = to.asksToForward()
		sent := a.Clock.Now()
		var reply wire.RenewReply
		err := a.callControl(ctx, to, wire.KindRenew, req, &reply)
		if err != nil {
			renewalsFailed.Inc()
			_ = level.Info(a.Logger).Log("msg", "renewal failed", "control", to.addr, "forwards", to.forwards, "took", a.Clock.Now().Sub(sent).Round(time.Millisecond), "err", err)
			a.recordUnanswered(to)
			continue
		}
		if reply.NotLeader {
			if !a.recordNotLeading(to, reply.LeaderAddr) {
				return false
			}
			continue
		}
		a.recordAnsweredCall(to, true)
		renewals.Inc()
		renewalSeconds.Update(a.Clock.Now().Sub(sent).Seconds())
		leaderAddr := to.addr
		if to.asksToForward() && reply.LeaderAddr != "" {
			leaderAddr = reply.LeaderAddr
		}
		a.applyReply(sent, leaderAddr, req, &reply)
		return true
	}
	return !a.takesDetours()
}

// controlLostAfter is the time without a successful renewal after which a host with the regular renewal
// interval logs that control is lost.
const controlLostAfter = 2 * renewalInterval

// checkControlLost logs that control is lost if no renewal has succeeded for controlLostAfter, or for
// correspondingly longer on hosts that renew less often.
func (a *Agent) checkControlLost() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ConfirmedAge() >= controlLostAfter+a.renewalIntervalLocked()-renewalInterval {
		a.recordControlState(false)
	}
}

// recordControlState logs a change between control lost and control regained. a.mu must be held.
func (a *Agent) recordControlState(reachable bool) {
	if a.leaderReachable == reachable {
		return
	}
	a.leaderReachable = reachable
	msg := "control lost"
	if reachable {
		msg = "control regained"
	}
	unconfirmed := "never"
	if a.lastRenewal.Load() != nil {
		unconfirmed = a.ConfirmedAge().Round(time.Millisecond).String()
	}
	_ = level.Info(a.Logger).Log("msg", msg, "unconfirmed", unconfirmed, "leader", a.leaderAddr, "known", len(a.controlAddrs()))
}

// nextControlAddr returns the address of the control host to call next: the presumed leader, or else the
// next control host in turn, which becomes the presumed leader.
func (a *Agent) nextControlAddr() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaderAddr == "" {
		all := a.controlAddrs()
		a.leaderAddr = all[a.nextControl%len(all)]
		a.nextControl++
	}
	return a.leaderAddr
}

// recordNoAnswer records that the control host at addr didn't answer.
func (a *Agent) recordNoAnswer(addr string) { a.recordRedirect(addr, "") }

// recordRedirect records that the control host at addr isn't the leader, and the address of the presumed
// leader; empty if unknown.
func (a *Agent) recordRedirect(addr, leader string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaderAddr != addr {
		return // a concurrent request has already changed the presumed leader
	}
	if leader == addr {
		leader = ""
	}
	a.leaderAddr = leader
}

// endDemandInterval ends the current interval of the demand estimate and returns the rate tokens to request
// for each team.
func (a *Agent) endDemandInterval() map[string]uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.borrower.EndInterval(a.Clock.Now())
}

// newRenewal builds a renewal from the agent's current state.
func (a *Agent) newRenewal(demand map[string]uint64) *wire.Renew {
	reports := a.serviceReports()
	health := a.targetHealth()
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.queueExpiredReturns(now)
	req := &wire.Renew{
		Host:          a.Host,
		Place:         a.Place,
		BootID:        a.bootID,
		Addr:          a.Addr,
		RoutesVersion: a.routesVersion,
		LeaderTerm:    a.leaderTerm,

		ForwardersVersion: a.forwardersVersion,
		CatalogRevision:   revision(a.catalog.Load()),
		CatalogChecksum:   a.catalogChecksum,
		CatalogMissing:    a.catalogMissing,
		Entry:             a.Entry,
		Draining:          a.draining,
		Demand:            demand,
		Reports:           reports,
		TokenBalances:     a.borrower.Balances(now),
		Health:            health,
	}
	a.addTargetLeases(req, now)
	for service, held := range a.serviceLeases.Leases() {
		req.Held = append(req.Held, wire.HeldLease{Service: service, Epoch: held.Epoch})
	}
	for service, epoch := range a.pendingReturns {
		req.Returned = append(req.Returned, wire.HeldLease{Service: service, Epoch: epoch})
	}
	return req
}

// queueExpiredReturns queues the return of revoked leases that have expired. a.mu must be held.
func (a *Agent) queueExpiredReturns(now time.Time) {
	for service, held := range a.serviceLeases.Leases() {
		if held.Revoked && !now.Before(held.ExpiresAt) {
			a.queueReturn(service, held.Epoch)
		}
	}
}

// applyReply applies a reply of the leader at addr, unless its term is older than that of the latest known leader.
// Renewals run one at a time, so replies arrive in order.
func (a *Agent) applyReply(sent time.Time, addr string, req *wire.Renew, reply *wire.RenewReply) {
	a.mu.Lock()
	if reply.LeaderTerm < a.leaderTerm {
		a.mu.Unlock()
		return
	}
	if reply.LeaderTerm > a.leaderTerm {
		_ = level.Info(a.Logger).Log("msg", "control leader changed", "leader", reply.Leader, "addr", addr, "term", reply.LeaderTerm)
	}
	a.leaderTerm = reply.LeaderTerm
	a.leaderAddr = addr
	a.recordControlState(true)
	for _, r := range req.Returned {
		if a.pendingReturns[r.Service] == r.Epoch {
			delete(a.pendingReturns, r.Service)
		}
	}
	a.applyCatalog(reply)
	a.applyRoutes(reply)
	changed, revoked := a.applyLeases(sent, reply)
	targetsChanged := a.applyTargets(sent, reply)
	targets := a.listTargetLeases()
	if len(reply.ControlAddrs) > 0 {
		a.advertisedControlAddrs = reply.ControlAddrs
	}
	if len(reply.HostAddrs) > 0 {
		a.hostAddrs, a.placeHosts = reply.HostAddrs, reply.PlaceHosts
	}
	a.hostsVersion = reply.HostsVersion
	a.recordForwarders(reply)
	a.renewEvery = reply.RenewEvery
	a.borrower.SetInterval(a.renewalIntervalLocked(), a.placeHosts)
	for _, grant := range reply.TokenGrants {
		a.borrower.AddGrant(sent, grant)
	}
	if a.catalogMissing = revision(a.catalog.Load()) < reply.Revision; !a.catalogMissing {
		a.lastRenewal.Store(&sent)
	}
	missing := a.catalogMissing
	a.resumeBorrows()
	close(a.renewed)
	a.renewed = make(chan struct{})
	a.mu.Unlock()
	if missing {
		a.RenewNow()
	}

	for _, h := range revoked {
		a.onRevoke(h.Service, h.Epoch)
	}
	for _, g := range changed {
		a.onGrant(g)
	}
	if targetsChanged {
		a.onTargetLeases(targets)
	}
}

// catalogOf returns the encoded catalog of a reply, or nil if it has none. a.mu must be held.
func (a *Agent) catalogOf(reply *wire.RenewReply) ([]byte, error) {
	switch {
	case len(reply.CatalogDelta) > 0:
		return pack.Patch(a.catalogData, reply.CatalogDelta, wire.MaxSnapshotBytes)
	case len(reply.Catalog) > 0:
		return pack.Decompress(reply.Catalog, wire.MaxSnapshotBytes)
	default:
		return nil, nil
	}
}

// applyCatalog stores the catalog of a reply if its revision is higher than the current one. If it can't be used, the
// next renewal asks for a whole one. a.mu must be held.
func (a *Agent) applyCatalog(reply *wire.RenewReply) {
	data, err := a.catalogOf(reply)
	if err == nil && data == nil {
		return
	}
	var c *catalog.Snapshot
	if err == nil {
		c, err = catalog.DecodeSnapshot(data)
	}
	if err != nil {
		a.catalogData, a.catalogChecksum = nil, 0
		_ = level.Error(a.Logger).Log("msg", "catalog not accepted", "revision", reply.Revision, "err", err)
		return
	}
	if old := a.catalog.Load(); old == nil || revision(c) > revision(old) {
		a.catalog.Store(c)
		a.catalogData, a.catalogChecksum = data, pack.Checksum(data)
		catalogsApplied.Inc()
		_ = level.Info(a.Logger).Log("msg", "configuration taken over", "revision", revision(c), "deployment", c.Deployment().Version(),
			"leader_term", reply.LeaderTerm)
	}
}

// applyRoutes applies the service routes of a reply, which are either the complete table or the changes.
func (a *Agent) applyRoutes(reply *wire.RenewReply) {
	if len(reply.Routes) > 0 || reply.RoutesFull {
		old := *a.routes.Load()
		routes := make(map[string]wire.Route, len(old)+len(reply.Routes))
		if !reply.RoutesFull {
			for service, r := range old {
				routes[service] = r
			}
		}
		for _, r := range reply.Routes {
			routes[r.Service] = r
		}
		a.routes.Store(&routes)
	}
	a.routesVersion = reply.RoutesVersion
}

// applyLeases applies the lease grants of a reply. It returns the grants that are new or differ from the
// previous ones, and the leases that are no longer granted or are replaced by a newer epoch. a.mu must be
// held.
func (a *Agent) applyLeases(sent time.Time, reply *wire.RenewReply) ([]wire.LeaseGrant, []wire.HeldLease) {
	var changed []wire.LeaseGrant
	var revoked []wire.HeldLease
	granted := map[string]bool{}
	for _, g := range reply.Grants {
		old, held := a.serviceLeases.Leases()[g.Service]
		if known := a.grants[g.Service]; known.Epoch == g.Epoch && g.Term < known.Term {
			continue
		}
		if a.draining && (!held || old.Epoch < g.Epoch) {
			a.queueReturn(g.Service, g.Epoch)
			continue
		}
		if !a.serviceLeases.AcceptGrant(sent, reply.LeaseTTL, g.Service, g.Epoch) {
			a.requeueReturn(g)
			continue
		}
		granted[g.Service] = true
		if held && old.Epoch != g.Epoch && !old.Revoked {
			revoked = append(revoked, wire.HeldLease{Service: g.Service, Epoch: old.Epoch})
		}
		if last, ok := a.grants[g.Service]; !ok || !reflect.DeepEqual(last, g) {
			changed = append(changed, g)
		}
		a.grants[g.Service] = g
	}
	for service, held := range a.serviceLeases.Leases() {
		if !granted[service] && !held.Revoked {
			a.serviceLeases.Revoke(service, held.Epoch)
			revoked = append(revoked, wire.HeldLease{Service: service, Epoch: held.Epoch})
		}
	}
	a.publishLeases()
	return changed, revoked
}

// requeueReturn queues the return of a lease again when a leader still grants it. Either only an earlier
// leader has received the return, or the lease was returned while the reply was in flight. a.mu must be
// held.
func (a *Agent) requeueReturn(g wire.LeaseGrant) {
	if g.Epoch <= a.serviceLeases.ReturnedEpochs()[g.Service] {
		a.pendingReturns[g.Service] = a.serviceLeases.ReturnedEpochs()[g.Service]
	}
}
