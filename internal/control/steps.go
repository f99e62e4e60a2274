package control

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/failover"
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
	for _, name := range s.Machine.Names() {
		s.step(s.lead, now, name)
	}
}

// step takes the failover decisions of one service. Server.mu is held.
func (s *Server) step(lead *leader, now time.Time, name string) {
	state := s.Machine.Service(name)
	sv := lead.service(now, name, state)
	if sv.busy {
		return
	}
	before := sv.machine.Phase()
	actions := sv.machine.Step(s.input(lead, now, name, state, sv))
	if after := sv.machine.Phase(); after != before {
		_ = level.Info(s.Logger).Log("msg", "service changed phase", "service", name, "phase", after, "epoch", state.Owner.Epoch, "term", state.Term)
	}
	for _, a := range actions {
		s.act(lead, now, name, state, sv, a)
	}
}

func (s *Server) input(lead *leader, now time.Time, name string, state Service, sv *service) failover.Input {
	in := failover.Input{
		Now:          now,
		Record:       recordOf(state),
		Free:         lead.table.Free(now, name, state.Owner),
		Hosts:        lead.alive(s.Machine, now),
		Databases:    s.Machine.Catalog().Catalog.Services[name].Databases,
		Places:       make(map[string]string, len(state.Members)),
		MayRebalance: !lead.moving(),
	}
	if sv.report != nil && sv.reportOf == state.Owner {
		in.Report = sv.report
	}
	for target, member := range state.Members {
		in.Places[target] = member.Place
	}
	return in
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
		}}, func() {})
	case failover.RecordPrimary:
		s.commit(lead, name, sv, command{Record: &record{
			Leader: lead.term, Service: name, Epoch: state.Owner.Epoch, Term: a.Term, Primary: a.Target,
		}}, func() {})
	}
}

// assign closes the present epoch, whose lease has ended, before it proposes the next one.
func (s *Server) assign(lead *leader, now time.Time, name string, state Service, sv *service, a failover.Action) {
	h := lead.hosts[a.Host]
	if h == nil || h.boot != a.Boot || !lead.table.Close(now, name, state.Owner) {
		return
	}
	// The host counts as owner right away, so that the next service goes to another one.
	owned := lead.ownedBy(s.Machine)
	owned[a.Host] = append(owned[a.Host], name)
	lead.cached = nil
	c := &assign{
		Leader: lead.term, Service: name, From: state.Owner.Epoch,
		Host: a.Host, Boot: a.Boot, Addr: h.addr, Term: a.Term, Elect: a.Elect,
	}
	s.commit(lead, name, sv, command{Assign: c}, func() {
		if after := s.Machine.Service(name); after.Owner.Epoch == c.From+1 {
			lead.table.Assigned(s.Clock.Now(), name, after.Owner)
		}
	})
}

// commit proposes a command for a service in the background. done runs under Server.mu after
// success. Server.mu is held.
func (s *Server) commit(lead *leader, name string, sv *service, c command, done func()) {
	sv.busy = true
	s.work.Go(func() {
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
	s.work.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, failover.SecondOpinion)
		defer cancel()
		var reply wire.ProbeReply
		if err := s.Transport.Call(ctx, addr, wire.KindProbe, req, &reply); err != nil {
			_ = level.Warn(s.Logger).Log("msg", "probe failed", "host", a.Host, "target", a.Target, "err", err)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		sv.machine.Probed(a.Host, a.Target, reply.Reachable)
		if s.lead == lead {
			s.step(lead, s.Clock.Now(), name)
		}
	})
}
