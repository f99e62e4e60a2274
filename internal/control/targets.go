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
	// DefaultDrainTime is how long a target that leaves may get new work.
	DefaultDrainTime = 4 * time.Second
	// registrationLapse is the silence of a target, in registrations and at its holder, after which it
	// is no longer a member of its group. Until then it counts among the replicas that may hold a commit.
	registrationLapse = 8 * time.Second
	// hearSeats is how long a new leader waits for renewals of all hosts before it assigns targets.
	hearSeats = 400 * time.Millisecond
	// spareConnections of each target are left to the leader's own questions.
	spareConnections = 1
	// avoidTime is how long a host that doesn't reach a target gets no lease of it.
	avoidTime = 8 * time.Second
	// healthFreshness is how long a holder's report about a target counts.
	healthFreshness = 1500 * time.Millisecond
	// Bounds of silence and of stuck commits at a primary before it is replaced.
	silenceBound = 500 * time.Millisecond
	stuckBound   = 1200 * time.Millisecond
	// Silence of a target that registers every 1.2 s, and of a host that renews every 500 ms, after which
	// both may be lost.
	registrationDue = 2 * time.Second
	renewalDue      = 1200 * time.Millisecond
	// firstPrimaryTime is the time for targets of a new group to say which of them is the primary.
	firstPrimaryTime = 3 * time.Second
)

// registered is a target as it describes itself.
type registered struct {
	wire.Registration
	seen    time.Time
	leaving time.Time // when it first said so; zero: it stays
}

// group is the volatile state of a deployed service.
type group struct {
	promotion *promotion.Machine
	since     time.Time
	unsteady  time.Time // when the promotion last left its steady state
	busy      bool      // an action is under way
	health    map[string]targetHealth
}

// targetHealth is a holder's report about a target.
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

// leavingSince returns when a registered target said that it leaves, or the zero time.
func (l *leader) leavingSince(target string) time.Time {
	if r := l.registered[target]; r != nil {
		return r.leaving
	}
	return time.Time{}
}

var errUnknownTarget = errors.New("the registration names no deployed service")

// registerTarget notes what a target says of itself. Registrations that arrive late are acknowledged
// without effect. An answer about a target that leaves is given by a confirmed leader only, since no
// new work may reach the target some time after it.
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

// noteRegistration keeps the latest registration of the latest process of a target.
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

// deployment answers with the newest deployment, after a quorum has confirmed that it is the newest.
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

// addTargets answers the part of a renewal that is about targets.
func (s *Server) addTargets(lead *leader, now time.Time, reply *wire.RenewReply, req *wire.Renew) {
	if s.TargetControl == nil {
		return
	}
	h := lead.hosts[req.Host]
	if req.Sequence <= h.sequence {
		return // overtaken by a later renewal: what it claims is outdated
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

// stepTargets places targets and takes the decisions about promotions.
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

// forgetLapsed removes replicas that nobody has heard from for long, while the primary is well: by
// then the other replicas have received what it may have held.
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

// heard reports whether a target has registered within registrationLapse.
func (l *leader) heard(now time.Time, target string) bool {
	if r := l.registered[target]; r != nil {
		return now.Sub(r.seen) < registrationLapse
	}
	return now.Sub(l.since) < registrationLapse
}
