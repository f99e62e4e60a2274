package control

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/failover"
	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/wire"
)

// stepAll takes the failover decisions of all services.
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

// step takes the failover decisions of one service. Server.mu is held.
func (s *Server) step(lead *leader, now time.Time, name string) {
	s.stepWith(lead, now, name, lead.moving())
}

// stepWith is step with the knowledge whether any service is changing its owner, which it updates.
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

// assignable reports whether a service may get a new owner.
func (l *leader) assignable(now time.Time, name string, state Service) bool {
	if state.Owner == (lease.Owner{}) {
		return now.Sub(l.readyAt) >= hearHosts
	}
	return l.table.Free(now, name, state.Owner)
}

// moving reports whether any service is changing its owner, so that services are moved for balance
// one at a time.
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

// assign closes the present epoch, whose lease has ended, before it proposes the next one.
func (s *Server) assign(lead *leader, now time.Time, name string, state Service, sv *service, a failover.Action) {
	h := lead.hosts[a.Host]
	if h == nil || h.boot != a.BootID || !lead.table.CloseEpoch(now, name, state.Owner) {
		return
	}
	// The host counts as owner right away, so that the next service goes to another one.
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

// commit proposes a command for a service in the background. done runs under Server.mu after
// success. Server.mu is held.
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

// probe asks a host in the background whether it reaches a target.
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

// poke asks a host in the background to renew at once, so that it learns of a change of its leases
// without waiting for its next renewal. A lost poke only costs that time.
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
