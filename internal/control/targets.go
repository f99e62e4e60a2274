package control

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/promotion"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// DefaultDrainTime is how long a target may get new work after it has reported that it is leaving.
	DefaultDrainTime = 4 * time.Second
	// registrationTTL is how long a target must be silent, both in its registrations and towards the
	// holder of its lease, before it is removed from its group. Until then it counts as a replica that
	// may have received a commit.
	registrationLapse = 8 * time.Second
	// targetAssignmentDelay is how long a new leader collects renewals before it assigns targets.
	hearSeats = 400 * time.Millisecond
	// reservedConnections of each target are kept free for the leader's queries.
	spareConnections = 1
	// avoidDuration is how long a host that failed to reach a target is not given the target's lease.
	avoidTime = 8 * time.Second
	// healthReportTTL is how long a holder's health report on a target stays valid.
	healthFreshness = 1500 * time.Millisecond
	// A primary that is silent, or whose commits wait for replicas, for longer than this may be replaced.
	silenceBound = 500 * time.Millisecond
	stuckBound   = 1200 * time.Millisecond
	// Targets register every 1.2 s and hosts renew every 500 ms. When a target and its holder are both
	// silent for longer than this, they may have failed together.
	registrationDue = 2 * time.Second
	renewalDue      = 1200 * time.Millisecond
	// firstPrimaryWait is how long the leader waits for a target of a new group to register as its
	// primary before it starts a promotion.
	firstPrimaryTime = 3 * time.Second
)

// registration is the latest registration of a target.
type registered struct {
	wire.Registration
	seen    time.Time
	leaving time.Time // first registration of this process that set Leaving; zero: not leaving
}

// groupState is the volatile state of a deployed service.
type group struct {
	promotion *promotion.Machine
	since     time.Time // creation of this state
	unsteady  time.Time // when the promotion state machine last left its steady state
	busy      bool      // an action is running
	health    map[string]targetHealth
}

// targetHealth is the latest health report by the holder of a target.
type targetHealth struct {
	wire.TargetHealth
	at time.Time
}

func (l *leader) group(now time.Time, service string) *group {
	g := l.groups[service]
	if g == nil {
		g = &group{promotion: promotion.New(), since: now, unsteady: now, health: map[string]targetHealth{}}
		l.groups[service] = g
	}
	return g
}

// leavingSince returns when a target first reported that it is leaving, or the zero time.
func (l *leader) leavingSince(target string) time.Time {
	if r := l.registered[target]; r != nil {
		return r.leaving
	}
	return time.Time{}
}

var errUnknownTarget = errors.New("service in the registration is not deployed")

// handleRegistration records the registration of a target. Registrations that arrive out of order are
// acknowledged but have no effect. Only a confirmed leader acknowledges that a target is leaving, because
// the target relies on getting no new work once Config.DrainTime has passed after the reply.
func (s *Server) registerTarget(ctx context.Context, _ string, req *wire.Registration) (*wire.RegistrationReply, error) {
	refer := &wire.RegistrationReply{NotLeader: true, LeaderAddr: s.Log.LeaderAddr()}
	lead := s.leading()
	if lead != nil && (req.Leaving || req.Terminating) {
		lead = s.confirmed(ctx)
	}
	if lead == nil {
		return refer, nil
	}
	if req.Terminating {
		return s.targetGone(ctx, lead, req)
	}
	view := s.Machine.Catalog()
	if !deployed(view.Catalog.Deployment, req.Service) {
		return &wire.RegistrationReply{Message: errUnknownTarget.Error()}, nil
	}
	member := GroupMember{Addr: req.Addr, Place: req.Place, Slots: req.Slots, StartedMs: req.StartedMs}
	if known, ok := s.Machine.Group(req.Service).Members[req.Target]; !ok || known != member {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		c := command{Register: &register{Service: req.Service, Target: req.Target, Member: member}}
		if err := s.propose(ctx, c); err != nil {
			_ = level.Info(s.Logger).Log("msg", "registration not recorded", "service", req.Service, "target", req.Target, "err", err)
			return &wire.RegistrationReply{OK: errors.Is(err, errNewer), Message: err.Error()}, nil
		}
		_ = level.Info(s.Logger).Log("msg", "target registered", "service", req.Service, "target", req.Target,
			"addr", req.Addr, "place", req.Place, "born", req.StartedMs, "primary", req.Primary)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead != lead {
		return refer, nil
	}
	s.noteRegistration(lead, s.Clock.Now(), req)
	return &wire.RegistrationReply{OK: true}, nil
}

func deployed(d *catalog.Deployment, service string) bool {
	if d == nil {
		return false
	}
	return slices.ContainsFunc(d.Services, func(s catalog.DeployedService) bool { return s.Name == service })
}

// recordRegistration stores a registration unless a later one, or one of a later process of the target, is
// stored already. Server.mu is held.
func (s *Server) noteRegistration(lead *leader, now time.Time, req *wire.Registration) {
	old := lead.registered[req.Target]
	if old != nil && (old.StartedMs > req.StartedMs || old.StartedMs == req.StartedMs && old.Sequence >= req.Sequence) {
		return
	}
	r := &registered{Registration: *req, seen: now}
	if req.Leaving {
		r.leaving = now
		if old != nil && old.StartedMs == req.StartedMs && !old.leaving.IsZero() {
			r.leaving = old.leaving
		}
	}
	lead.registered[req.Target] = r
	if old == nil || old.Leaving != req.Leaving || old.Primary != req.Primary || old.StartedMs != req.StartedMs {
		_ = level.Info(s.Logger).Log("msg", "target state changed", "service", req.Service, "target", req.Target,
			"leaving", req.Leaving, "primary", req.Primary, "born", req.StartedMs, "sequence", req.Sequence)
		s.stepService(lead, now, req.Service)
		s.pokeHolders(lead)
	}
}

func (s *Server) targetGone(ctx context.Context, lead *leader, req *wire.Registration) (*wire.RegistrationReply, error) {
	s.mu.Lock()
	r := lead.registered[req.Target]
	s.mu.Unlock()
	if r == nil {
		return &wire.RegistrationReply{OK: true}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	c := command{Unregister: &unregister{Service: r.Service, Target: r.Target, Born: r.StartedMs}}
	if err := s.propose(ctx, c); err != nil && !errors.Is(err, errMember) {
		return &wire.RegistrationReply{Message: err.Error()}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if lead.registered[req.Target] == r {
		delete(lead.registered, req.Target)
	}
	_ = level.Info(s.Logger).Log("msg", "target gone", "service", r.Service, "target", r.Target, "born", r.StartedMs)
	return &wire.RegistrationReply{OK: true}, nil
}

// handleDeploymentQuery returns the latest deployment. A quorum confirms the leader first, so the answer is
// linearizable.
func (s *Server) deployment(ctx context.Context, _ string, _ *wire.DeploymentQuery) (*wire.DeploymentReply, error) {
	if s.confirmed(ctx) == nil {
		return &wire.DeploymentReply{NotLeader: true, LeaderAddr: s.Log.LeaderAddr()}, nil
	}
	d := s.Machine.Catalog().Catalog.Deployment
	if d == nil {
		return &wire.DeploymentReply{}, nil
	}
	return &wire.DeploymentReply{Version: d.Version, Source: d.Source}, nil
}

// addTargets processes the target leases and health reports of a renewal, and adds target grants and routes
// to the reply. Server.mu is held.
func (s *Server) addTargets(lead *leader, now time.Time, reply *wire.RenewReply, req *wire.Renew) {
	if s.TargetControl == nil {
		return
	}
	h := lead.hosts[req.Host]
	if req.Sequence <= h.sequence {
		return // a later renewal arrived first, so the leases claimed here are outdated
	}
	h.sequence = req.Sequence
	lead.seats.RecordHeld(req.Host, req.BootID, req.Targets)
	s.noteHealth(lead, now, req)
	s.placeTargets(lead, now)
	s.grantTargets(lead, now, reply, req)
	s.addTargetRoutes(lead, reply, req)
}

func (s *Server) noteHealth(lead *leader, now time.Time, req *wire.Renew) {
	well := map[string]bool{}
	for _, held := range req.Targets {
		well[held.Target] = true
	}
	for _, health := range req.Health {
		delete(well, health.Target)
		if r := lead.seats.Lease(health.Target); r == nil || r.Host != req.Host || r.BootID != req.BootID {
			continue
		}
		if g := lead.groups[s.serviceOfTarget(health.Target)]; g != nil {
			g.health[health.Target] = targetHealth{TargetHealth: health, at: now}
		}
	}
	for target := range well {
		if g := lead.groups[s.serviceOfTarget(target)]; g != nil {
			delete(g.health, target)
		}
	}
}

// serviceOfTarget returns the service that a target is registered for, or "".
func (s *Server) serviceOfTarget(target string) string {
	for _, service := range s.Machine.Groups() {
		if _, ok := s.Machine.Group(service).Members[target]; ok {
			return service
		}
	}
	return ""
}

// stepTargets assigns target leases, steps the promotion of each deployed service and removes silent
// targets.
func (s *Server) stepTargets() {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	lead := s.lead
	if s.TargetControl == nil || lead == nil || !lead.ready {
		return
	}
	s.placeTargets(lead, now)
	for _, service := range s.Machine.Groups() {
		s.stepService(lead, now, service)
		s.forgetLapsed(lead, now, service)
	}
}

// removeExpiredReplicas removes replicas that have been silent for registrationTTL while the primary is
// healthy. By then the other replicas have received every commit that the silent one may have received.
func (s *Server) forgetLapsed(lead *leader, now time.Time, service string) {
	state := s.Machine.Group(service)
	g := lead.group(now, service)
	if g.promotion.State() != "steady" || !lead.heard(now, state.Primary) {
		return
	}
	for target, member := range state.Members {
		if target == state.Primary || lead.heard(now, target) {
			continue
		}
		if health, ok := g.health[target]; !ok || health.SilentFor < registrationLapse {
			continue
		}
		c := command{Unregister: &unregister{Service: service, Target: target, Born: member.StartedMs}}
		s.background(func() {
			ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
			defer cancel()
			err := s.propose(ctx, c)
			_ = level.Info(s.Logger).Log("msg", "silent target removed", "service", service, "target", target, "err", err)
		})
	}
}

// recentlyRegistered reports whether a target has registered within registrationTTL. A target that has not
// registered at this leader yet counts as registered at the start of the leader's term.
func (l *leader) heard(now time.Time, target string) bool {
	if r := l.registered[target]; r != nil {
		return now.Sub(r.seen) < registrationLapse
	}
	return now.Sub(l.since) < registrationLapse
}
