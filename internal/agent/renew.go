package agent

import (
	"context"
	"reflect"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/wire"
)

// Run renews until ctx ends. It returns nil. Leases still held then expire.
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
		a.renewOnce(ctx)
		timer.Reset(max(0, a.interval()-time.Since(started)))
		if !pause(ctx, minInterval-time.Since(started)) {
			return nil
		}
	}
}

// idleInterval is the time between renewals of a host that owns nothing and serves no callers. It only
// follows the configuration and the leader.
const idleInterval = 4 * interval

func (a *Agent) interval() time.Duration {
	if a.Entry || !a.SlowRenewal {
		return interval
	}
	return idleInterval
}

func pause(ctx context.Context, d time.Duration) bool {
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

// renewOnce sends one renewal, to the presumed leader first and then to the other control hosts.
func (a *Agent) renewOnce(ctx context.Context) {
	demand := a.demand()
	defer a.checkControl()
	for range len(a.ControlAddrs()) + 1 {
		if ctx.Err() != nil {
			return
		}
		addr := a.target()
		req := a.request(demand)
		sent := a.Clock.Now()
		var reply wire.RenewReply
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		err := a.Transport.Call(attempt, addr, wire.KindRenew, req, &reply)
		cancel()
		if err != nil {
			renewalsFailed.Inc()
			_ = level.Debug(a.Logger).Log("msg", "renewal failed", "control", addr, "err", err)
			a.lost(addr)
			continue
		}
		if reply.NotLeader {
			a.referred(addr, reply.LeaderAddr)
			continue
		}
		renewals.Inc()
		a.accept(sent, addr, req, &reply)
		return
	}
}

// lostControl is the time without an answer of a leader after which control counts as lost.
const lostControl = 2 * interval // of an entry host

// checkControl notes that no leader has answered for a while.
func (a *Agent) checkControl() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ConfirmedAge() >= lostControl+a.interval()-interval {
		a.noteControl(false)
	}
}

// noteControl writes a line when control is lost or regained. a.mu is held.
func (a *Agent) noteControl(reached bool) {
	if a.reached == reached {
		return
	}
	a.reached = reached
	msg := "control lost"
	if reached {
		msg = "control regained"
	}
	unconfirmed := "never"
	if a.confirmed.Load() != nil {
		unconfirmed = a.ConfirmedAge().Round(time.Millisecond).String()
	}
	_ = level.Info(a.Logger).Log("msg", msg, "unconfirmed", unconfirmed, "leader", a.leaderAddr, "known", len(a.controls()))
}

// target returns the control host to ask next.
func (a *Agent) target() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaderAddr == "" {
		all := a.controls()
		a.leaderAddr = all[a.next%len(all)]
		a.next++
	}
	return a.leaderAddr
}

// lost notes that a control host didn't answer.
func (a *Agent) lost(addr string) { a.referred(addr, "") }

// referred notes that the control host at addr doesn't lead, and which one may.
func (a *Agent) referred(addr, leader string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaderAddr != addr {
		return // another request has already found a better one
	}
	if leader == addr {
		leader = ""
	}
	a.leaderAddr = leader
}

// demand ends an interval of the rate estimate.
func (a *Agent) demand() map[string]uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.borrower.EndInterval(a.Clock.Now())
}

func (a *Agent) request(demand map[string]uint64) *wire.Renew {
	reports := a.report()
	health := a.health()
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	a.returnExpired(now)
	req := &wire.Renew{
		Host:          a.Host,
		Place:         a.Place,
		BootID:        a.boot,
		Addr:          a.Addr,
		RoutesVersion: a.routesVersion,
		LeaderTerm:    a.leaderTerm,

		CatalogRevision: revision(a.catalog.Load()),
		Entry:           a.Entry,
		Draining:        a.draining,
		Demand:          demand,
		Reports:         reports,
		TokenBalances:   a.borrower.Balances(now),
		Health:          health,
	}
	a.requestTargets(req, now)
	for service, held := range a.holder.Leases() {
		req.Held = append(req.Held, wire.HeldLease{Service: service, Epoch: held.Epoch})
	}
	for service, epoch := range a.returns {
		req.Returned = append(req.Returned, wire.HeldLease{Service: service, Epoch: epoch})
	}
	return req
}

// returnExpired gives back revoked leases that have expired meanwhile.
func (a *Agent) returnExpired(now time.Time) {
	for service, held := range a.holder.Leases() {
		if held.Revoked && !now.Before(held.ExpiresAt) {
			a.giveBack(service, held.Epoch)
		}
	}
}

// accept takes over an answer. Renewals run one at a time, so that answers arrive in order.
func (a *Agent) accept(sent time.Time, addr string, req *wire.Renew, reply *wire.RenewReply) {
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
	a.noteControl(true)
	for _, r := range req.Returned {
		if a.returns[r.Service] == r.Epoch {
			delete(a.returns, r.Service)
		}
	}
	a.takeCatalog(reply)
	a.takeRoutes(reply)
	granted, revoked := a.takeLeases(sent, reply)
	targetsChanged := a.takeTargets(sent, reply)
	targets := a.leasesOfTargets()
	if len(reply.ControlAddrs) > 0 {
		a.learned = reply.ControlAddrs
	}
	for _, lot := range reply.TokenGrants {
		a.borrower.AddGrant(sent, lot)
	}
	a.confirmed.Store(&sent)
	close(a.progress)
	a.progress = make(chan struct{})
	a.mu.Unlock()

	for _, h := range revoked {
		a.onRevoke(h.Service, h.Epoch)
	}
	for _, g := range granted {
		a.onGrant(g)
	}
	if targetsChanged {
		a.onTargets(targets)
	}
}

// takeCatalog replaces the catalog by a later one.
func (a *Agent) takeCatalog(reply *wire.RenewReply) {
	if len(reply.Catalog) == 0 {
		return
	}
	c, err := catalog.DecodeSnapshot(reply.Catalog)
	if err != nil {
		_ = level.Error(a.Logger).Log("msg", "catalog not accepted", "revision", reply.Revision, "err", err)
		return
	}
	if old := a.catalog.Load(); old == nil || revision(c) > revision(old) {
		a.catalog.Store(c)
		catalogsTaken.Inc()
		_ = level.Info(a.Logger).Log("msg", "configuration taken over", "revision", revision(c), "deployment", c.Deployment().Version(),
			"leader_term", reply.LeaderTerm)
	}
}

func (a *Agent) takeRoutes(reply *wire.RenewReply) {
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

// takeLeases applies the grants of an answer. It returns the grants that differ from the previous
// ones and the leases that are no longer granted.
func (a *Agent) takeLeases(sent time.Time, reply *wire.RenewReply) ([]wire.LeaseGrant, []wire.HeldLease) {
	var changed []wire.LeaseGrant
	var revoked []wire.HeldLease
	granted := map[string]bool{}
	for _, g := range reply.Grants {
		old, had := a.holder.Leases()[g.Service]
		if known := a.grants[g.Service]; known.Epoch == g.Epoch && g.Term < known.Term {
			continue
		}
		if a.draining && (!had || old.Epoch < g.Epoch) {
			a.giveBack(g.Service, g.Epoch)
			continue
		}
		if !a.holder.AcceptGrant(sent, reply.LeaseTTL, g.Service, g.Epoch) {
			a.repeatReturn(g)
			continue
		}
		granted[g.Service] = true
		if had && old.Epoch != g.Epoch && !old.Revoked {
			revoked = append(revoked, wire.HeldLease{Service: g.Service, Epoch: old.Epoch})
		}
		if last, ok := a.grants[g.Service]; !ok || !reflect.DeepEqual(last, g) {
			changed = append(changed, g)
		}
		a.grants[g.Service] = g
	}
	for service, held := range a.holder.Leases() {
		if !granted[service] && !held.Revoked {
			a.holder.Revoke(service, held.Epoch)
			revoked = append(revoked, wire.HeldLease{Service: service, Epoch: held.Epoch})
		}
	}
	a.publishLeases()
	return changed, revoked
}

// repeatReturn tells a leader again that a lease was given back: an earlier leader heard it, or
// the answer was under way when the lease was returned.
func (a *Agent) repeatReturn(g wire.LeaseGrant) {
	if g.Epoch <= a.holder.ReturnedEpochs()[g.Service] {
		a.returns[g.Service] = a.holder.ReturnedEpochs()[g.Service]
	}
}
