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
	// DefaultDrainTime is how long a target may still get new work after it has reported that it is
	// leaving.
	DefaultDrainTime = 4 * time.Second
	// A replica that has neither registered nor responded to the holder of its lease for registrationTTL is
	// removed from its service.
	registrationTTL = 8 * time.Second
	// targetAssignmentDelay is how long a new leader collects renewals before it assigns targets.
	targetAssignmentDelay = 400 * time.Millisecond
	// reservedConnections is the number of connections of each target kept free for the leader's
	// queries.
	reservedConnections = 1
	// avoidDuration is how long a host isn't assigned the lease of a target that it failed to reach.
	avoidDuration = 8 * time.Second
	// healthReportTTL is how long a holder's health report on a target stays valid.
	healthReportTTL = 1500 * time.Millisecond
	// A primary may be replaced once it has been silent for silenceLimit, or one of its commits has
	// waited for replicas for commitStallLimit.
	silenceLimit     = 500 * time.Millisecond
	commitStallLimit = 1200 * time.Millisecond
	// Targets register every 1.2 s and hosts renew every 500 ms. When a target and its holder are both
	// silent for longer than this, they may have failed together.
	registrationOverdue = 2 * time.Second
	renewalOverdue      = 1200 * time.Millisecond
	// roleReportDelay is how long after the last change of a service's promotion state the primary may still report, in a
	// registration that was under way, that it is a replica.
	roleReportDelay = 2 * time.Second
	// firstPrimaryWait is how long the leader waits for a target of a new deployed service to register as
	// the primary before it starts a promotion.
	firstPrimaryWait = 3 * time.Second
)

// registration is the latest registration of a target.
type registration struct {
	wire.Registration
	receivedAt   time.Time
	leavingSince time.Time // first registration of this process that set Leaving; zero: not leaving
}

// groupState is the leader's volatile state of a deployed service. Its replicated record is a Group.
type groupState struct {
	promotion     *promotion.Machine
	createdAt     time.Time
	unsteadySince time.Time               // when the promotion state machine last left its steady state
	steadySince   time.Time               // when it last returned to it, or createdAt
	actionRunning bool                    // a promotion action is running in the background
	resumeRetryAt time.Time               // when replicas that may be paused are resumed again
	releaseAt     time.Time               // when a leaving replica may be released next
	settling      bool                    // departed targets are being settled in the background
	settleAt      time.Time               // when that is tried again
	emptiedPaused bool                    // replicas in emptied places may be paused
	lateUntil     time.Time               // a PAUSE or RESUME without an answer may be carried out until then
	choice        promotion.Pending       // of the last inspection
	refusedToken  uint64                  // fencing token of the last order that was refused, while no other one was pending
	health        map[string]targetHealth // by target
}

// targetHealth is the latest health report by the holder of a target.
type targetHealth struct {
	wire.TargetHealth
	receivedAt time.Time
}

func (l *leaderState) groupState(now time.Time, service string) *groupState {
	group := l.groups[service]
	if group == nil {
		group = &groupState{promotion: promotion.New(), createdAt: now, unsteadySince: now, steadySince: now, emptiedPaused: true, health: map[string]targetHealth{}}
		l.groups[service] = group
	}
	return group
}

// leavingSince returns when this process of the target first reported that it is leaving, or the zero time. If it did
// so to an earlier leader, the time is an estimate.
func (l *leaderState) leavingSince(target string) time.Time {
	if r := l.registrations[target]; r != nil {
		return r.leavingSince
	}
	return l.inheritedLeaving[target].since
}

// inheritedLeaving is a target that was leaving when this leader was elected.
type inheritedLeaving struct {
	startedMs uint64 // start of its process
	since     time.Time
}

// inheritLeaving takes over which targets are leaving from the replicated record. It isn't known since when: half of
// drainTime before the election leaves the targets some time for a promotion, and is early enough even if an
// earlier leader acknowledged that a target is leaving almost drainTime before it was lost.
func (l *leaderState) inheritLeaving(groups map[string]Group, drainTime time.Duration) {
	for _, group := range groups {
		for target, member := range group.Members {
			if member.Leaving {
				l.inheritedLeaving[target] = inheritedLeaving{startedMs: member.StartedMs, since: l.electedAt.Add(-drainTime / 2)}
			}
		}
	}
}

var errNotDeployed = errors.New("service in the registration is not deployed")

// handleRegistration records the registration of a target. Registrations that arrive out of order are
// acknowledged but have no effect. Only a confirmed leader acknowledges that a target is leaving, because
// the target relies on getting no new work once Config.DrainTime has passed after the reply.
func (s *Server) handleRegistration(ctx context.Context, _ string, req *wire.Registration) (*wire.RegistrationReply, error) {
	redirect := &wire.RegistrationReply{NotLeader: true, LeaderAddr: s.Log.LeaderAddr()}
	leader := s.readyLeader()
	if leader != nil && (req.Leaving || req.Terminating) {
		leader = s.confirmedLeader(ctx)
	}
	if leader == nil {
		return redirect, nil
	}
	if req.Terminating {
		return s.deregisterTarget(ctx, leader, req)
	}
	view := s.Machine.Catalog()
	if !isDeployed(view.Catalog.Deployment, req.Service) {
		return &wire.RegistrationReply{Message: errNotDeployed.Error()}, nil
	}
	member := GroupMember{Addr: req.Addr, Place: req.Place, Slots: req.Slots, StartedMs: req.StartedMs, Leaving: req.Leaving}
	known, ok := s.Machine.Group(req.Service).Members[req.Target]
	if known.StartedMs == req.StartedMs {
		member.Leaving, member.Released = member.Leaving || known.Leaving, known.Released
	}
	if !ok || known != member {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		c := command{RegisterTarget: &registerTarget{Service: req.Service, Target: req.Target, Member: member}}
		if err := s.propose(ctx, c); err != nil {
			_ = level.Info(s.Logger).Log("msg", "registration not recorded", "service", req.Service, "target", req.Target, "err", err)
			return &wire.RegistrationReply{OK: errors.Is(err, errNewerProcess), Message: err.Error()}, nil
		}
		_ = level.Info(s.Logger).Log("msg", "target registered", "service", req.Service, "target", req.Target,
			"addr", req.Addr, "place", req.Place, "born", req.StartedMs, "primary", req.Primary)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader != leader {
		return redirect, nil
	}
	s.recordRegistration(leader, s.Clock.Now(), req)
	return &wire.RegistrationReply{OK: true}, nil
}

func isDeployed(d *catalog.Deployment, service string) bool {
	if d == nil {
		return false
	}
	return slices.ContainsFunc(d.Services, func(s catalog.DeployedService) bool { return s.Name == service })
}

// recordRegistration stores a registration unless a later one, or one of a later process of the target, is
// stored already. Server.mu must be held.
func (s *Server) recordRegistration(leader *leaderState, now time.Time, req *wire.Registration) {
	old := leader.registrations[req.Target]
	if old != nil && (old.StartedMs > req.StartedMs || old.StartedMs == req.StartedMs && old.Sequence >= req.Sequence) {
		return
	}
	r := &registration{Registration: *req, receivedAt: now}
	if req.Leaving {
		r.leavingSince = now
		if inherited, ok := leader.inheritedLeaving[req.Target]; ok && inherited.startedMs == req.StartedMs {
			r.leavingSince = inherited.since
		}
		if old != nil && old.StartedMs == req.StartedMs && !old.leavingSince.IsZero() {
			r.leavingSince = old.leavingSince
		}
	}
	leader.registrations[req.Target] = r
	if old == nil || old.Leaving != req.Leaving || old.Primary != req.Primary || old.StartedMs != req.StartedMs {
		_ = level.Info(s.Logger).Log("msg", "target state changed", "service", req.Service, "target", req.Target,
			"leaving", req.Leaving, "primary", req.Primary, "born", req.StartedMs, "sequence", req.Sequence)
		s.stepPromotion(leader, now, req.Service)
		s.sendRenewNowToEntryHosts(leader)
	}
}

// deregisterTarget removes a target whose process is terminating from its service. The target may not have registered at
// this leader: it stops registering before it terminates.
func (s *Server) deregisterTarget(ctx context.Context, leader *leaderState, req *wire.Registration) (*wire.RegistrationReply, error) {
	service := s.deployedServiceOfTarget(req.Target)
	if service == "" {
		return &wire.RegistrationReply{OK: true}, nil
	}
	s.mu.Lock()
	r := leader.registrations[req.Target]
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	c := &deregisterTarget{Service: service, Target: req.Target, StartedMs: s.Machine.Group(service).Members[req.Target].StartedMs}
	if err := s.propose(ctx, command{DeregisterTarget: c}); err != nil && !errors.Is(err, errNotTargetOfService) {
		return &wire.RegistrationReply{Message: err.Error()}, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if leader.registrations[req.Target] == r {
		delete(leader.registrations, req.Target)
	}
	_ = level.Info(s.Logger).Log("msg", "target gone", "service", service, "target", req.Target, "born", c.StartedMs)
	return &wire.RegistrationReply{OK: true}, nil
}

// handleDeploymentQuery returns the latest deployment. The leader is confirmed first, so the answer is
// linearizable.
func (s *Server) handleDeploymentQuery(ctx context.Context, _ string, _ *wire.DeploymentQuery) (*wire.DeploymentReply, error) {
	if s.confirmedLeader(ctx) == nil {
		return &wire.DeploymentReply{NotLeader: true, LeaderAddr: s.Log.LeaderAddr()}, nil
	}
	d := s.Machine.Catalog().Catalog.Deployment
	if d == nil {
		return &wire.DeploymentReply{}, nil
	}
	return &wire.DeploymentReply{Version: d.Version, Source: d.Source}, nil
}

// processTargets records the target leases and health reports of a renewal, places targets, and adds
// target grants and routes to the reply. Server.mu must be held.
func (s *Server) processTargets(leader *leaderState, now time.Time, reply *wire.RenewReply, req *wire.Renew) {
	if s.TargetControl == nil {
		return
	}
	h := leader.hosts[req.Host]
	if req.Sequence <= h.sequence {
		return // a later renewal arrived first, so the leases claimed here are outdated
	}
	h.sequence = req.Sequence
	freed := leader.targetLeases.RecordHeld(req.Host, req.BootID, req.Targets)
	s.recordHealth(leader, now, req)
	if freed {
		leader.routesOutdated = true
		s.placeTargets(leader, now)
	}
	s.addTargetGrants(leader, now, reply, req)
	s.addTargetRoutes(leader, reply, req)
	leader.addEntryAddrs(now, reply, req)
	leader.addForwarders(now, reply, req)
	leader.addRenewalInterval(reply, req)
}

// recordHealth stores the health reports of a renewal. A held target without a report is healthy.
func (s *Server) recordHealth(leader *leaderState, now time.Time, req *wire.Renew) {
	healthy := map[string]bool{}
	for _, held := range req.Targets {
		healthy[held.Target] = true
	}
	for _, health := range req.Health {
		delete(healthy, health.Target)
		if targetLease := leader.targetLeases.Lease(health.Target); targetLease == nil || targetLease.Host != req.Host || targetLease.BootID != req.BootID {
			continue
		}
		if group := leader.groups[s.deployedServiceOfTarget(health.Target)]; group != nil {
			group.health[health.Target] = targetHealth{TargetHealth: health, receivedAt: now}
		}
	}
	for target := range healthy {
		if group := leader.groups[s.deployedServiceOfTarget(target)]; group != nil {
			delete(group.health, target)
		}
	}
}

// deployedServiceOfTarget returns the deployed service that a target is registered for, or "".
func (s *Server) deployedServiceOfTarget(target string) string {
	for _, service := range s.Machine.GroupNames() {
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
	leader := s.leader
	if s.TargetControl == nil || leader == nil || !leader.ready {
		return
	}
	s.placeTargets(leader, now)
	for _, service := range s.Machine.GroupNames() {
		s.stepPromotion(leader, now, service)
		s.removeExpiredReplicas(leader, now, service)
		s.stepDeparted(leader, now, service)
		s.stepRelease(leader, now, service)
	}
	s.sendPendingBroadcast(leader)
}

// removeExpiredReplicas removes replicas that have been silent for registrationTTL: they haven't registered, and don't
// answer the holder of their lease or have none. They count as departed. A replica that registers again is a member again.
func (s *Server) removeExpiredReplicas(leader *leaderState, now time.Time, service string) {
	record := s.Machine.Group(service)
	group := leader.groupState(now, service)
	for target, member := range record.Members {
		if target == record.Primary || target == record.Candidate || leader.recentlyRegistered(now, target) {
			continue
		}
		if leader.targetLeases.Lease(target) != nil && group.health[target].SilentFor < registrationTTL {
			continue
		}
		c := command{DeregisterTarget: &deregisterTarget{Service: service, Target: target, StartedMs: member.StartedMs}}
		s.runInBackground(func() {
			ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
			defer cancel()
			err := s.propose(ctx, c)
			_ = level.Info(s.Logger).Log("msg", "silent target removed", "service", service, "target", target, "err", err)
		})
	}
}

// recentlyRegistered reports whether a target has registered within registrationTTL. A target that has not
// registered at this leader yet counts as registered at the start of the leader's term.
func (l *leaderState) recentlyRegistered(now time.Time, target string) bool {
	if r := l.registrations[target]; r != nil {
		return now.Sub(r.receivedAt) < registrationTTL
	}
	return now.Sub(l.electedAt) < registrationTTL
}
