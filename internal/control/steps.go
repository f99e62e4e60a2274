package control

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/failover"
	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/transport"
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
	anyPending := s.leader.proposingOrReleasing()
	for _, service := range s.Machine.ServiceNames() {
		anyPending = s.advanceFailover(s.leader, now, service, anyPending)
	}
}

// stepFailover advances the failover state machine of one service. Server.mu must be held.
func (s *Server) stepFailover(leader *leaderState, now time.Time, service string) {
	s.advanceFailover(leader, now, service, leader.proposingOrReleasing())
}

// advanceFailover does the work of stepFailover. anyPending is the result of
// leaderState.proposingOrReleasing; advanceFailover returns its new value, so that stepAllFailovers doesn't
// have to scan all services after each step.
func (s *Server) advanceFailover(leader *leaderState, now time.Time, service string, anyPending bool) bool {
	record := s.Machine.Service(service)
	svc := leader.serviceState(now, service, record)
	if svc.proposalPending {
		return anyPending
	}
	if target := leader.successor(now, record, svc); target != "" {
		svc.failover.RequestPromotion(now, target)
	}
	before := svc.failover.Phase()
	actions := svc.failover.Step(s.failoverInput(leader, now, service, record, svc, anyPending))
	after := svc.failover.Phase()
	if after != before {
		countPhase(after)
		_ = level.Info(s.Logger).Log("msg", "service changed phase", "service", service, "phase", after, "epoch", record.Owner.Epoch, "term", record.Term)
	}
	if after == failover.Releasing && before != after {
		s.sendRenewNow(leader, record.Owner.Host)
	}
	for _, a := range actions {
		s.startFailoverAction(leader, now, service, record, svc, a)
	}
	return anyPending || svc.proposalPending || after == failover.Releasing
}

func (s *Server) failoverInput(leader *leaderState, now time.Time, service string, record Service, svc *serviceState, anyPending bool) failover.Input {
	in := failover.Input{
		Now:          now,
		Record:       failoverRecord(record),
		LeaseFree:    leader.assignable(now, service, record),
		Hosts:        leader.liveHosts(s.Machine, now),
		Databases:    s.Machine.Catalog().Catalog.Services[service].Databases,
		Places:       make(map[string]string, len(record.Members)),
		MayRebalance: !anyPending,
	}
	if svc.report != nil && svc.reportedBy == record.Owner {
		in.Report = svc.report
	}
	for target, member := range record.Members {
		in.Places[target] = member.Place
	}
	return in
}

// assignable reports whether a service may be assigned to a new owner: its lease is free or, if it never
// had an owner, serviceAssignmentDelay has passed.
func (l *leaderState) assignable(now time.Time, service string, record Service) bool {
	if record.Owner == (lease.Owner{}) {
		return now.Sub(l.readyAt) >= serviceAssignmentDelay
	}
	return l.leases.Free(now, service, record.Owner)
}

// proposingOrReleasing reports whether a command for any service is pending, or any owner's lease is being
// released. Meanwhile no service is rebalanced, so that rebalancing moves one service at a time.
func (l *leaderState) proposingOrReleasing() bool {
	for _, svc := range l.services {
		if svc.proposalPending || svc.failover.Phase() == failover.Releasing {
			return true
		}
	}
	return false
}

func (s *Server) startFailoverAction(leader *leaderState, now time.Time, service string, record Service, svc *serviceState, a failover.Action) {
	switch a.Kind {
	case failover.Probe:
		s.probeTarget(leader, service, record, svc, a)
	case failover.Assign:
		s.assignOwner(leader, now, service, record, svc, a)
	case failover.Elect:
		s.proposeAsync(leader, service, svc, command{OrderElection: &orderElection{
			LeaderTerm: leader.term, Service: service, Epoch: record.Owner.Epoch, PrimaryTerm: a.Term, PreferredTarget: a.Target,
		}}, func() { s.sendRenewNow(leader, record.Owner.Host) })
	case failover.RecordPrimary:
		s.proposeAsync(leader, service, svc, command{RecordElection: &recordElection{
			LeaderTerm: leader.term, Service: service, Epoch: record.Owner.Epoch, PrimaryTerm: a.Term, Primary: a.Target,
		}}, func() { s.sendRenewNow(leader, record.Owner.Host) })
	}
}

// assignOwner closes the current epoch, whose lease has ended, and proposes an owner for the next one.
func (s *Server) assignOwner(leader *leaderState, now time.Time, service string, record Service, svc *serviceState, a failover.Action) {
	h := leader.hosts[a.Host]
	if h == nil || h.bootID != a.BootID || !leader.leases.CloseEpoch(now, service, record.Owner) {
		return
	}
	// Count the service for its new owner before the command is applied, so that the next service is
	// assigned to another host.
	owned := leader.servicesByOwner(s.Machine)
	owned[a.Host] = append(owned[a.Host], service)
	leader.liveHostsCache = nil
	c := &assignOwner{
		LeaderTerm: leader.term, Service: service, PreviousEpoch: record.Owner.Epoch,
		Host: a.Host, BootID: a.BootID, Addr: h.addr, PrimaryTerm: a.Term, ElectionPending: a.ElectionPending,
	}
	s.proposeAsync(leader, service, svc, command{AssignOwner: c}, func() {
		if after := s.Machine.Service(service); after.Owner.Epoch == c.PreviousEpoch+1 {
			leader.leases.RecordAssignment(s.Clock.Now(), service, after.Owner)
			s.sendRenewNow(leader, after.Owner.Host)
		}
	})
}

// proposeAsync proposes a command for a service in the background. If the command takes effect, onApplied
// is called. Server.mu must be held when proposeAsync is called; it is also held while onApplied runs.
func (s *Server) proposeAsync(leader *leaderState, service string, svc *serviceState, c command, onApplied func()) {
	svc.proposalPending = true
	s.runInBackground(func() {
		ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
		err := s.propose(ctx, c)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		svc.proposalPending = false
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
func (s *Server) probeTarget(leader *leaderState, service string, record Service, svc *serviceState, a failover.Action) {
	h := leader.hosts[a.Host]
	if h == nil {
		return
	}
	req := wire.Probe{Target: a.Target, Addr: record.Members[a.Target].Addr}
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
		svc.failover.RecordProbe(a.Host, a.Target, reply.Reachable)
		if s.leader == leader {
			s.stepFailover(leader, s.Clock.Now(), service)
		}
	})
}

// sendRenewNow asks a host in the background to renew immediately, so that it receives changes to its
// leases before its next periodic renewal. If the request is lost, the host receives the changes with that
// renewal.
func (s *Server) sendRenewNow(leader *leaderState, host string) { s.sendRenewNowAfter(0, leader, host) }

// sendRenewNowAfter is like sendRenewNow, after a delay.
func (s *Server) sendRenewNowAfter(delay time.Duration, leader *leaderState, host string) {
	leader.routesOutdated = true
	h := leader.hosts[host]
	if h == nil {
		return
	}
	via := transport.Via{Addr: h.addr}
	if h.forwarder != "" {
		forwarder := leader.hosts[h.forwarder]
		if forwarder == nil {
			return // it hasn't renewed at this leader yet
		}
		via.Relay = forwarder.addr
	}
	s.sendInBackground(delay, via, wire.KindRenewNow, wire.RenewNow{})
}
