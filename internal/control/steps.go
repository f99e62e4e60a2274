package control

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/failover"
	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/wire"
)

// stepAllFailovers advances the failover state machines of all services.
func (s *Server) stepAllFailovers() {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leader == nil || !s.leader.ready {
		return
	}
	ownerChanging := s.leader.ownerChanging()
	for _, service := range s.Machine.ServiceNames() {
		ownerChanging = s.advanceFailover(s.leader, now, service, ownerChanging)
	}
}

// stepFailover advances the failover state machine of one service. Server.mu is held.
func (s *Server) stepFailover(leader *leaderState, now time.Time, service string) {
	s.advanceFailover(leader, now, service, leader.ownerChanging())
}

// advanceFailover does the work of stepFailover. It takes whether any service is changing its owner, and
// returns the updated value, which spares stepAllFailovers a scan of all services in each step.
func (s *Server) advanceFailover(leader *leaderState, now time.Time, service string, ownerChanging bool) bool {
	state := s.Machine.Service(service)
	svc := leader.serviceState(now, service, state)
	if svc.proposing {
		return ownerChanging
	}
	if target := leader.successor(now, state, svc); target != "" {
		svc.machine.RequestPromotion(now, target)
	}
	before := svc.machine.Phase()
	actions := svc.machine.Step(s.failoverInput(leader, now, service, state, svc, ownerChanging))
	after := svc.machine.Phase()
	if after != before {
		countPhase(after)
		_ = level.Info(s.Logger).Log("msg", "service changed phase", "service", service, "phase", after, "epoch", state.Owner.Epoch, "term", state.Term)
	}
	if after == failover.Releasing && before != after {
		s.requestRenewal(leader, state.Owner.Host)
	}
	for _, a := range actions {
		s.startFailoverAction(leader, now, service, state, svc, a)
	}
	return ownerChanging || svc.proposing || after == failover.Releasing
}

func (s *Server) failoverInput(leader *leaderState, now time.Time, service string, state Service, svc *serviceState, ownerChanging bool) failover.Input {
	in := failover.Input{
		Now:          now,
		Record:       failoverRecord(state),
		LeaseFree:    leader.assignable(now, service, state),
		Hosts:        leader.liveHosts(s.Machine, now),
		Databases:    s.Machine.Catalog().Catalog.Services[service].Databases,
		Places:       make(map[string]string, len(state.Members)),
		MayRebalance: !ownerChanging,
	}
	if svc.report != nil && svc.reportedBy == state.Owner {
		in.Report = svc.report
	}
	for target, member := range state.Members {
		in.Places[target] = member.Place
	}
	return in
}

// assignable reports whether a service may be assigned a new owner.
func (l *leaderState) assignable(now time.Time, service string, state Service) bool {
	if state.Owner == (lease.Owner{}) {
		return now.Sub(l.readySince) >= serviceAssignmentDelay
	}
	return l.leases.Free(now, service, state.Owner)
}

// ownerChanging reports whether any service is changing its owner. Rebalancing waits for that, so that it
// moves one service at a time.
func (l *leaderState) ownerChanging() bool {
	for _, svc := range l.services {
		if svc.proposing || svc.machine.Phase() == failover.Releasing {
			return true
		}
	}
	return false
}

func (s *Server) startFailoverAction(leader *leaderState, now time.Time, service string, state Service, svc *serviceState, a failover.Action) {
	switch a.Kind {
	case failover.Probe:
		s.probeTarget(leader, service, state, svc, a)
	case failover.Assign:
		s.assignOwner(leader, now, service, state, svc, a)
	case failover.Elect:
		s.proposeAsync(leader, service, svc, command{OrderElection: &orderElection{
			LeaderTerm: leader.term, Service: service, Epoch: state.Owner.Epoch, GroupTerm: a.Term, PreferredTarget: a.Target,
		}}, func() { s.requestRenewal(leader, state.Owner.Host) })
	case failover.RecordPrimary:
		s.proposeAsync(leader, service, svc, command{RecordElection: &recordElection{
			LeaderTerm: leader.term, Service: service, Epoch: state.Owner.Epoch, GroupTerm: a.Term, Primary: a.Target,
		}}, func() { s.requestRenewal(leader, state.Owner.Host) })
	}
}

// assignOwner closes the current epoch, whose lease has ended, and then proposes the next one.
func (s *Server) assignOwner(leader *leaderState, now time.Time, service string, state Service, svc *serviceState, a failover.Action) {
	h := leader.hosts[a.Host]
	if h == nil || h.bootID != a.BootID || !leader.leases.CloseEpoch(now, service, state.Owner) {
		return
	}
	// Count the service for its new owner before the command is applied, so that the next service is
	// assigned to another host.
	owned := leader.servicesByOwner(s.Machine)
	owned[a.Host] = append(owned[a.Host], service)
	leader.liveHostsCache = nil
	c := &assignOwner{
		LeaderTerm: leader.term, Service: service, PreviousEpoch: state.Owner.Epoch,
		Host: a.Host, BootID: a.BootID, Addr: h.addr, GroupTerm: a.Term, ElectionPending: a.ElectionPending,
	}
	s.proposeAsync(leader, service, svc, command{AssignOwner: c}, func() {
		if after := s.Machine.Service(service); after.Owner.Epoch == c.PreviousEpoch+1 {
			leader.leases.RecordAssignment(s.Clock.Now(), service, after.Owner)
			s.requestRenewal(leader, after.Owner.Host)
		}
	})
}

// proposeAsync proposes a command for a service in the background. If the command takes effect,
// onApplied is called with Server.mu held. Server.mu is held.
func (s *Server) proposeAsync(leader *leaderState, service string, svc *serviceState, c command, onApplied func()) {
	svc.proposing = true
	s.runInBackground(func() {
		ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
		err := s.propose(ctx, c)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		svc.proposing = false
		if err != nil {
			_ = level.Warn(s.Logger).Log("msg", "command failed", "service", service, "err", err)
			leader.ownedServicesValid = false
			return
		}
		onApplied()
		if s.leader == leader {
			s.stepFailover(leader, s.Clock.Now(), service)
		}
	})
}

// probeTarget asks a host in the background whether it can reach a target.
func (s *Server) probeTarget(leader *leaderState, service string, state Service, svc *serviceState, a failover.Action) {
	h := leader.hosts[a.Host]
	if h == nil {
		return
	}
	req := wire.Probe{Target: a.Target, Addr: state.Members[a.Target].Addr}
	addr := h.addr
	s.runInBackground(func() {
		ctx, cancel := context.WithTimeout(s.ctx, failover.ProbeTimeout)
		defer cancel()
		var reply wire.ProbeReply
		if err := s.Transport.Call(ctx, addr, wire.KindProbe, req, &reply); err != nil {
			_ = level.Warn(s.Logger).Log("msg", "probe failed", "host", a.Host, "target", a.Target, "err", err)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		svc.machine.RecordProbe(a.Host, a.Target, reply.Reachable)
		if s.leader == leader {
			s.stepFailover(leader, s.Clock.Now(), service)
		}
	})
}

// requestRenewal asks a host in the background to renew immediately, so that it receives changes to its
// leases before its next periodic renewal. If the request is lost, that renewal brings the changes.
func (s *Server) requestRenewal(leader *leaderState, host string) {
	h := leader.hosts[host]
	if h == nil {
		return
	}
	addr := h.addr
	s.runInBackground(func() {
		ctx, cancel := context.WithTimeout(s.ctx, renewNowTimeout)
		defer cancel()
		if err := s.Transport.Call(ctx, addr, wire.KindRenewNow, wire.RenewNow{}, nil); err != nil {
			_ = level.Debug(s.Logger).Log("msg", "poke failed", "host", host, "err", err)
		}
	})
}
