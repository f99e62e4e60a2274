package control

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/failover"
	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/wire"
)

// stepAll advances the failover state machines of all services.
func (s *Server) stepAll() {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lead == nil || !s.lead.ready {
		return
	}
	moving := s.lead.moving()
	for _, name := range s.Machine.ServiceNames() {
		moving = s.stepWith(s.lead, now, name, moving)
	}
}

// step advances the failover state machine of one service. Server.mu is held.
func (s *Server) step(lead *leader, now time.Time, name string) {
	s.stepWith(lead, now, name, lead.moving())
}

// stepWith is like step, but takes whether any service is changing its owner, and returns the
// updated value. It saves stepAll a scan of all services in each step.
func (s *Server) stepWith(lead *leader, now time.Time, name string, moving bool) bool {
	state := s.Machine.Service(name)
	sv := lead.service(now, name, state)
	if sv.busy {
		return moving
	}
	if target := lead.successor(now, state, sv); target != "" {
		sv.machine.RequestPromotion(now, target)
	}
	before := sv.machine.Phase()
	actions := sv.machine.Step(s.input(lead, now, name, state, sv, moving))
	after := sv.machine.Phase()
	if after != before {
		countPhase(after)
		_ = level.Info(s.Logger).Log("msg", "service changed phase", "service", name, "phase", after, "epoch", state.Owner.Epoch, "term", state.Term)
	}
	if after == failover.Releasing && before != after {
		s.poke(lead, state.Owner.Host)
	}
	for _, a := range actions {
		s.act(lead, now, name, state, sv, a)
	}
	return moving || sv.busy || after == failover.Releasing
}

func (s *Server) input(lead *leader, now time.Time, name string, state Service, sv *service, moving bool) failover.Input {
	in := failover.Input{
		Now:          now,
		Record:       recordOf(state),
		LeaseFree:    lead.assignable(now, name, state),
		Hosts:        lead.alive(s.Machine, now),
		Databases:    s.Machine.Catalog().Catalog.Services[name].Databases,
		Places:       make(map[string]string, len(state.Members)),
		MayRebalance: !moving,
	}
	if sv.report != nil && sv.reportOf == state.Owner {
		in.Report = sv.report
	}
	for target, member := range state.Members {
		in.Places[target] = member.Place
	}
	return in
}

// assignable reports whether a service may be assigned a new owner.
func (l *leader) assignable(now time.Time, name string, state Service) bool {
	if state.Owner == (lease.Owner{}) {
		return now.Sub(l.readyAt) >= hearHosts
	}
	return l.table.Free(now, name, state.Owner)
}

// ownerChanging reports whether any service is changing its owner. Rebalancing waits for that, so that it
// moves one service at a time.
func (l *leader) moving() bool {
	for _, sv := range l.services {
		if sv.busy || sv.machine.Phase() == failover.Releasing {
			return true
		}
	}
	return false
}

func (s *Server) act(lead *leader, now time.Time, name string, state Service, sv *service, a failover.Action) {
	switch a.Kind {
	case failover.Probe:
		s.probe(lead, name, state, sv, a)
	case failover.Assign:
		s.assign(lead, now, name, state, sv, a)
	case failover.Elect:
		s.commit(lead, name, sv, command{Elect: &elect{
			Leader: lead.term, Service: name, Epoch: state.Owner.Epoch, Term: a.Term, Prefer: a.Target,
		}}, func() { s.poke(lead, state.Owner.Host) })
	case failover.RecordPrimary:
		s.commit(lead, name, sv, command{Record: &record{
			Leader: lead.term, Service: name, Epoch: state.Owner.Epoch, Term: a.Term, Primary: a.Target,
		}}, func() { s.poke(lead, state.Owner.Host) })
	}
}

// assignOwner closes the current epoch, whose lease has ended, and then proposes the next one.
func (s *Server) assign(lead *leader, now time.Time, name string, state Service, sv *service, a failover.Action) {
	h := lead.hosts[a.Host]
	if h == nil || h.boot != a.BootID || !lead.table.CloseEpoch(now, name, state.Owner) {
		return
	}
	// Count the service for its new owner before the command is applied, so that the load of this host is
	// up to date when the next service is assigned.
	owned := lead.ownedBy(s.Machine)
	owned[a.Host] = append(owned[a.Host], name)
	lead.cached = nil
	c := &assign{
		Leader: lead.term, Service: name, From: state.Owner.Epoch,
		Host: a.Host, Boot: a.BootID, Addr: h.addr, Term: a.Term, Elect: a.ElectionPending,
	}
	s.commit(lead, name, sv, command{Assign: c}, func() {
		if after := s.Machine.Service(name); after.Owner.Epoch == c.From+1 {
			lead.table.RecordAssignment(s.Clock.Now(), name, after.Owner)
			s.poke(lead, after.Owner.Host)
		}
	})
}

// proposeAsync proposes a command for a service in the background. If the command takes effect, done is
// called with Server.mu held. Server.mu is held.
func (s *Server) commit(lead *leader, name string, sv *service, c command, done func()) {
	sv.busy = true
	s.background(func() {
		ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
		err := s.propose(ctx, c)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		sv.busy = false
		if err != nil {
			_ = level.Warn(s.Logger).Log("msg", "command failed", "service", name, "err", err)
			lead.ownedValid = false
			return
		}
		done()
		if s.lead == lead {
			s.step(lead, s.Clock.Now(), name)
		}
	})
}

// probe asks a host in the background whether it can reach a target.
func (s *Server) probe(lead *leader, name string, state Service, sv *service, a failover.Action) {
	h := lead.hosts[a.Host]
	if h == nil {
		return
	}
	req := wire.Probe{Target: a.Target, Addr: state.Members[a.Target].Addr}
	addr := h.addr
	s.background(func() {
		ctx, cancel := context.WithTimeout(s.ctx, failover.ProbeTimeout)
		defer cancel()
		var reply wire.ProbeReply
		if err := s.Transport.Call(ctx, addr, wire.KindProbe, req, &reply); err != nil {
			_ = level.Warn(s.Logger).Log("msg", "probe failed", "host", a.Host, "target", a.Target, "err", err)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		sv.machine.RecordProbe(a.Host, a.Target, reply.Reachable)
		if s.lead == lead {
			s.step(lead, s.Clock.Now(), name)
		}
	})
}

// requestRenewal asks a host in the background to renew immediately, so that it receives changes to its
// leases before its next periodic renewal. If the request is lost, that renewal brings the changes.
func (s *Server) poke(lead *leader, name string) {
	h := lead.hosts[name]
	if h == nil {
		return
	}
	addr := h.addr
	s.background(func() {
		ctx, cancel := context.WithTimeout(s.ctx, pokeTimeout)
		defer cancel()
		if err := s.Transport.Call(ctx, addr, wire.KindRenewNow, wire.RenewNow{}, nil); err != nil {
			_ = level.Debug(s.Logger).Log("msg", "poke failed", "host", name, "err", err)
		}
	})
}
