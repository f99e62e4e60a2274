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

// errOutdated means that a message comes from a process that has a successor on the same host.
var errOutdated = errors.New("a later process of the host has renewed")

func (s *Server) renew(ctx context.Context, peer string, req *wire.Renew) (*wire.RenewReply, error) {
	if peer != req.Host {
		return nil, errImpostor
	}
	lead := s.confirmed(ctx)
	if lead == nil {
		referrals.Inc()
		return s.notLeader(), nil
	}
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead != lead {
		return s.notLeader(), nil
	}
	if h := lead.hosts[req.Host]; h != nil && h.boot != req.BootID && now.Add(-req.Uptime).Before(h.started) {
		return nil, errOutdated
	}
	renewals.Inc()
	s.noteHost(lead, now, req)
	s.noteReturns(lead, now, req)
	s.noteReports(lead, now, req)
	reply := &wire.RenewReply{Leader: s.Name, LeaderTerm: lead.term, LeaseTTL: lease.TTL}
	s.addCatalog(reply, req)
	s.addRoutes(reply, req)
	s.addGrants(lead, now, reply, req)
	s.addLots(lead, now, reply, req)
	s.addTargets(lead, now, reply, req)
	return reply, nil
}

func (s *Server) notLeader() *wire.RenewReply {
	return &wire.RenewReply{NotLeader: true, LeaderAddr: s.Log.LeaderAddr()}
}

func (s *Server) noteHost(lead *leader, now time.Time, req *wire.Renew) {
	h := lead.hosts[req.Host]
	if h == nil || h.boot != req.BootID {
		h = &host{boot: req.BootID, since: now, started: now.Add(-req.Uptime)}
		lead.hosts[req.Host] = h
		lead.cached = nil
		lead.seats.ReleaseEarlierProcesses(req.Host, req.BootID)
	}
	if h.draining != req.Draining || h.entry != req.Entry {
		lead.cached = nil
	}
	h.place = req.Place
	h.addr = req.Addr
	h.entry = req.Entry
	h.draining = req.Draining
	h.seen = now
	h.revision = req.CatalogRevision
}

// noteReturns frees the leases that a host gives back, and reassigns their services at once.
func (s *Server) noteReturns(lead *leader, now time.Time, req *wire.Renew) {
	for _, returned := range req.Returned {
		state := s.Machine.Service(returned.Service)
		owner := lease.Owner{Host: req.Host, BootID: req.BootID, Epoch: returned.Epoch}
		if state.Owner != owner {
			continue
		}
		lead.table.Return(returned.Service, state.Owner, owner)
		s.step(lead, now, returned.Service)
	}
}

func (s *Server) noteReports(lead *leader, now time.Time, req *wire.Renew) {
	for _, r := range req.Reports {
		state := s.Machine.Service(r.Service)
		owner := lease.Owner{Host: req.Host, BootID: req.BootID, Epoch: r.Epoch}
		if state.Owner != owner {
			continue
		}
		sv := lead.service(now, r.Service, state)
		sv.report = &failover.Report{At: now, Term: r.Term, Primary: r.Primary, Targets: r.Targets}
		sv.reportOf = owner
		s.step(lead, now, r.Service)
	}
}

func (s *Server) addCatalog(reply *wire.RenewReply, req *wire.Renew) {
	view := s.Machine.Catalog()
	reply.Revision = view.Catalog.Revision
	// A host without a catalog and one with the empty catalog both say 0. The latter gets it again,
	// since it is small.
	if req.CatalogRevision < view.Catalog.Revision || view.Catalog.Revision == 0 {
		reply.Catalog = view.Encoded
	}
}

func (s *Server) addRoutes(reply *wire.RenewReply, req *wire.Renew) {
	known := req.RoutesVersion
	if known > s.Machine.RoutesVersion() {
		known = 0 // of another cluster
	}
	reply.RoutesFull = known == 0
	reply.Routes, reply.RoutesVersion = s.Machine.RoutesSince(known)
}

// addGrants renews the leases of the services whose recorded owner the host is.
func (s *Server) addGrants(lead *leader, now time.Time, reply *wire.RenewReply, req *wire.Renew) {
	view := s.Machine.Catalog()
	labels := func(target string) map[string]string { return view.Catalog.Targets[target].Labels }
	for _, name := range lead.ownedBy(s.Machine)[req.Host] {
		state := s.Machine.Service(name)
		sv := lead.service(now, name, state)
		claimant := lease.Owner{Host: req.Host, BootID: req.BootID, Epoch: state.Owner.Epoch}
		if !sv.machine.Renewable() || !lead.table.Renew(now, name, state.Owner, claimant) {
			continue
		}
		reply.Grants = append(reply.Grants, wire.LeaseGrant{
			Service:         name,
			Epoch:           state.Owner.Epoch,
			Term:            state.Term,
			Primary:         state.Primary,
			ElectionPending: state.ElectionPending,
			PreferredTarget: state.PreferredTarget,
			Targets:         lead.targetInfos(now, state, labels),
		})
	}
}

func (s *Server) addLots(lead *leader, now time.Time, reply *wire.RenewReply, req *wire.Renew) {
	s.updateLimits(lead, now)
	who := borrowerID(req.Host, req.BootID)
	for team, held := range req.TokenBalances {
		lead.keeper.Settle(now, who, team, held)
	}
	for team, want := range req.Demand {
		lot := lead.keeper.Lend(now, who, team, want, true)
		countLot(lot)
		if lot.Tokens > 0 {
			reply.TokenGrants = append(reply.TokenGrants, lot)
		}
	}
}

func borrowerID(host, boot string) string { return host + "/" + boot }

func (s *Server) borrow(ctx context.Context, peer string, req *wire.Borrow) (*wire.TokenGrant, error) {
	if peer != req.Host {
		return nil, errImpostor
	}
	refer := &wire.TokenGrant{NotLeader: true, LeaderAddr: s.Log.LeaderAddr()}
	lead := s.confirmed(ctx)
	if lead == nil {
		return refer, nil
	}
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead != lead {
		return refer, nil
	}
	s.updateLimits(lead, now)
	who := borrowerID(req.Host, req.BootID)
	lead.keeper.Settle(now, who, req.Team, req.Balance)
	lot := lead.keeper.Lend(now, who, req.Team, req.Tokens, false)
	countLot(lot)
	return &lot, nil
}

// RateTolerance is what the users allow beyond a team's rate and burst in a window, because the count is
// distributed. It keeps tokens that lie at other hosts from being missed.
type RateTolerance struct {
	Fraction float64 // of rate and burst
	Tokens   float64 // added to the burst
}

// slackUsed is the part of the slack that is lent; the rest covers clocks that run at different speeds.
const slackUsed = 0.75

func (k RateTolerance) apply(rate, burst float64) (float64, float64) {
	part := 1 + slackUsed*k.Fraction
	return rate * part, burst*part + slackUsed*k.Tokens
}

// updateLimits gives the keeper the limits of a new catalog revision.
func (s *Server) updateLimits(lead *leader, now time.Time) {
	view := s.Machine.Catalog()
	if lead.limits && lead.limitsOf == view.Catalog.Revision {
		return
	}
	for team := range view.Catalog.Teams {
		rate, burst := s.RateLimits(&view.Catalog, team)
		lead.keeper.SetRate(now, team, rate, burst)
	}
	if d := view.Catalog.Deployment; d != nil {
		for _, team := range d.Teams {
			rate, burst := s.RateTolerance.apply(team.Rate, team.Burst)
			lead.keeper.SetRate(now, team.Name, rate, burst)
		}
	}
	rate, burst := s.RateLimits(&view.Catalog, catalog.OpenTeam)
	lead.keeper.SetRate(now, catalog.OpenTeam, rate, burst)
	lead.limits = true
	lead.limitsOf = view.Catalog.Revision
}
