package control

import (
	"context"
	"errors"
	"time"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/failover"
	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/wire"
)

// errSuperseded means that a renewal comes from a process that a newer one on the same host has replaced.
var errSuperseded = errors.New("superseded by a newer process of the same host")

func (s *Server) handleRenew(ctx context.Context, peer string, req *wire.Renew) (*wire.RenewReply, error) {
	if peer != req.Host && !s.AcceptDetours {
		return nil, hostMismatch(req.Host, peer)
	}
	if req.Forward && s.readyLeader() == nil {
		return s.forwardRenew(ctx, req), nil
	}
	return s.renew(ctx, "", req)
}

// renew answers a renewal, which came through a forwarder if that isn't empty.
func (s *Server) renew(ctx context.Context, forwarder string, req *wire.Renew) (*wire.RenewReply, error) {
	leader := s.confirmedLeader(ctx)
	if leader == nil {
		redirects.Inc()
		return s.redirectToLeader(), nil
	}
	if err := context.Cause(ctx); err != nil {
		return nil, err
	}
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != leader {
		return s.redirectToLeader(), nil
	}
	if h := leader.hosts[req.Host]; h != nil && h.bootID != req.BootID && now.Add(-req.Uptime).Before(h.startedAt) {
		return nil, errSuperseded
	}
	renewals.Inc()
	s.recordHost(leader, now, req)
	leader.hosts[req.Host].forwarder = forwarder
	s.recordReturns(leader, now, req)
	s.recordReports(leader, now, req)
	reply := &wire.RenewReply{Leader: s.Name, LeaderTerm: leader.term, LeaseTTL: lease.TTL}
	if reply.Revision = s.Machine.Catalog().Catalog.Revision; forwarder == "" || req.CatalogMissing {
		s.addCatalog(reply, req)
	}
	s.addRoutes(reply, req)
	s.addLeaseGrants(leader, now, reply, req)
	s.addTokenGrants(leader, now, reply, req)
	s.processTargets(leader, now, reply, req)
	return reply, nil
}

func (s *Server) redirectToLeader() *wire.RenewReply {
	return &wire.RenewReply{NotLeader: true, LeaderAddr: s.Log.LeaderAddr()}
}

func (s *Server) recordHost(leader *leaderState, now time.Time, req *wire.Renew) {
	h := leader.hosts[req.Host]
	if h == nil || h.bootID != req.BootID {
		h = &hostState{bootID: req.BootID, firstRenewedAt: now, startedAt: now.Add(-req.Uptime)}
		leader.hosts[req.Host] = h
		leader.liveHostsCache = nil
		leader.routesOutdated = true
		leader.targetLeases.ReleaseEarlierProcesses(req.Host, req.BootID)
	}
	if h.draining != req.Draining || h.entry != req.Entry {
		leader.liveHostsCache = nil
	}
	h.place = req.Place
	h.addr = req.Addr
	h.entry = req.Entry
	h.draining = req.Draining
	h.renewedAt = now
	h.catalogRevision = req.CatalogRevision
}

// recordReturns frees the leases that a host returns and steps the failover of their services, so that they
// are reassigned immediately.
func (s *Server) recordReturns(leader *leaderState, now time.Time, req *wire.Renew) {
	for _, returned := range req.Returned {
		record := s.Machine.Service(returned.Service)
		owner := lease.Owner{Host: req.Host, BootID: req.BootID, Epoch: returned.Epoch}
		if record.Owner != owner {
			continue
		}
		leader.leases.Return(returned.Service, record.Owner, owner)
		s.stepFailover(leader, now, returned.Service)
	}
}

func (s *Server) recordReports(leader *leaderState, now time.Time, req *wire.Renew) {
	for _, r := range req.Reports {
		record := s.Machine.Service(r.Service)
		owner := lease.Owner{Host: req.Host, BootID: req.BootID, Epoch: r.Epoch}
		if record.Owner != owner {
			continue
		}
		svc := leader.serviceState(now, r.Service, record)
		svc.report = &failover.Report{At: now, Term: r.Term, Primary: r.Primary, Targets: r.Targets}
		svc.reportedBy = owner
		s.stepFailover(leader, now, r.Service)
	}
}

func (s *Server) addCatalog(reply *wire.RenewReply, req *wire.Renew) {
	view := s.Machine.Catalog()
	reply.Revision = view.Catalog.Revision
	// A host without a catalog and one with the empty catalog both report revision 0. The empty catalog
	// is small, so it is sent in either case.
	if req.CatalogRevision >= view.Catalog.Revision && view.Catalog.Revision > 0 {
		return
	}
	if req.CatalogChecksum != 0 {
		if reply.CatalogDelta = s.Machine.CatalogDelta(req.CatalogRevision, req.CatalogChecksum); reply.CatalogDelta != nil {
			return
		}
	}
	reply.Catalog = view.Encoded
}

func (s *Server) addRoutes(reply *wire.RenewReply, req *wire.Renew) {
	known := req.RoutesVersion
	if known > s.Machine.RoutesVersion() {
		known = 0 // the host's version comes from another cluster
	}
	reply.RoutesFull = known == 0
	reply.Routes, reply.RoutesVersion = s.Machine.RoutesSince(known)
}

// addLeaseGrants renews the leases of the services that the host owns according to the replicated state.
func (s *Server) addLeaseGrants(leader *leaderState, now time.Time, reply *wire.RenewReply, req *wire.Renew) {
	view := s.Machine.Catalog()
	labels := func(target string) map[string]string { return view.Catalog.Targets[target].Labels }
	for _, name := range leader.servicesByOwner(s.Machine)[req.Host] {
		record := s.Machine.Service(name)
		svc := leader.serviceState(now, name, record)
		claimant := lease.Owner{Host: req.Host, BootID: req.BootID, Epoch: record.Owner.Epoch}
		if !svc.failover.Renewable() || !leader.leases.Renew(now, name, record.Owner, claimant) {
			continue
		}
		reply.Grants = append(reply.Grants, wire.LeaseGrant{
			Service:         name,
			Epoch:           record.Owner.Epoch,
			Term:            record.Term,
			Primary:         record.Primary,
			ElectionPending: record.ElectionPending,
			PreferredTarget: record.PreferredTarget,
			Targets:         leader.targetInfos(now, record, labels),
		})
	}
}

func (s *Server) addTokenGrants(leader *leaderState, now time.Time, reply *wire.RenewReply, req *wire.Renew) {
	s.updateRateLimits(leader, now)
	borrower := borrowerID(req.Host, req.BootID)
	for team, balance := range req.TokenBalances {
		leader.lender.Settle(now, borrower, team, balance)
	}
	for team, tokens := range req.Demand {
		grant := leader.lender.Lend(now, borrower, team, tokens)
		countTokenGrant(grant)
		if grant.Tokens > 0 {
			reply.TokenGrants = append(reply.TokenGrants, grant)
		}
	}
}

func borrowerID(host, bootID string) string { return host + "/" + bootID }

func (s *Server) handleBorrow(ctx context.Context, peer string, req *wire.Borrow) (*wire.TokenGrant, error) {
	if peer != req.Host && !s.AcceptDetours {
		return nil, hostMismatch(req.Host, peer)
	}
	if req.Forward && s.readyLeader() == nil {
		return s.forwardBorrow(ctx, req), nil
	}
	return s.borrow(ctx, req)
}

// borrow answers a request for tokens.
func (s *Server) borrow(ctx context.Context, req *wire.Borrow) (*wire.TokenGrant, error) {
	redirect := &wire.TokenGrant{NotLeader: true, LeaderAddr: s.Log.LeaderAddr()}
	leader := s.confirmedLeader(ctx)
	if leader == nil {
		return redirect, nil
	}
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != leader {
		return redirect, nil
	}
	s.updateRateLimits(leader, now)
	borrower := borrowerID(req.Host, req.BootID)
	lend := func(team string, tokens uint64, balance wire.TokenBalance) wire.TokenGrant {
		leader.lender.Settle(now, borrower, team, balance)
		grant := leader.lender.Borrow(now, borrower, team, tokens)
		countTokenGrant(grant)
		return grant
	}
	reply := lend(req.Team, req.Tokens, req.Balance)
	for _, other := range req.Others {
		reply.Others = append(reply.Others, lend(other.Team, other.Tokens, other.Balance))
	}
	return &reply, nil
}

// RateTolerance is how far a deployment lets a team exceed its rate and burst in a window. Tokens are
// lent to hosts in advance, so without a tolerance a team could be refused while other hosts hold its
// unspent tokens.
type RateTolerance struct {
	Fraction float64 // fraction of rate and burst
	Tokens   float64 // added to the burst
}

// toleranceLent is the fraction of the tolerance that is lent. The rest covers clocks that run at
// different speeds.
const toleranceLent = 0.75

func (t RateTolerance) apply(rate, burst float64) (float64, float64) {
	factor := 1 + toleranceLent*t.Fraction
	return rate * factor, burst*factor + toleranceLent*t.Tokens
}

// updateRateLimits sets the rate limits of the current catalog revision, unless they are set already.
func (s *Server) updateRateLimits(leader *leaderState, now time.Time) {
	view := s.Machine.Catalog()
	if leader.limitsValid && leader.limitsRevision == view.Catalog.Revision {
		return
	}
	for team := range view.Catalog.Teams {
		rate, burst := s.RateLimits(&view.Catalog, team)
		leader.lender.SetRate(now, team, rate, burst)
	}
	if d := view.Catalog.Deployment; d != nil {
		for _, team := range d.Teams {
			rate, burst := s.RateTolerance.apply(team.Rate, team.Burst)
			leader.lender.SetRate(now, team.Name, rate, burst)
		}
	}
	rate, burst := s.RateLimits(&view.Catalog, catalog.OpenTeam)
	leader.lender.SetRate(now, catalog.OpenTeam, rate, burst)
	leader.limitsValid = true
	leader.limitsRevision = view.Catalog.Revision
}
