package control

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/failover"
	"github.com/citronrun/citronrun/internal/placement"
	"github.com/citronrun/citronrun/internal/wire"
)

// avoidance is a host that doesn't reach a target.
type avoidance struct{ host, target string }

// avoids reports whether a host is known not to reach a target.
func (l *leader) avoids(now time.Time, host, target string) bool {
	until, ok := l.avoided[avoidance{host, target}]
	return ok && now.Before(until)
}

// grantTargets renews the leases of the host's seats.
func (s *Server) grantTargets(lead *leader, now time.Time, reply *wire.RenewReply, req *wire.Renew) {
	d := s.Machine.Catalog().Catalog.Deployment
	if d == nil {
		return
	}
	for i := range d.Services {
		service := &d.Services[i]
		state := s.Machine.Group(service.Name)
		g := lead.group(now, service.Name)
		for target, member := range state.Members {
			primary := state.Primary == target && state.Candidate == "" && g.promotion.Serving()
			epoch, ok := lead.seats.Renew(now, target, req.Host, req.BootID, primary)
			if !ok {
				continue
			}
			reply.TargetGrants = append(reply.TargetGrants, wire.TargetGrant{
				Target: target, Epoch: epoch, Service: service.Name, Addr: member.Addr, Slots: max(member.Slots, 1),
				Connections: max(service.Connections-spareConnections, 1), Primary: primary, Term: state.Token,
			})
		}
	}
}

func (s *Server) addTargetRoutes(lead *leader, reply *wire.RenewReply, req *wire.Renew) {
	s.updateRoutes(lead, s.Clock.Now())
	reply.TargetsVersion = lead.version
	if req.TargetsVersion == lead.version && req.LeaderTerm == lead.term {
		return
	}
	reply.TargetsFull = true
	reply.TargetRoutes = lead.routes
	reply.ControlAddrs = lead.controls
}

// updateRoutes builds the routes to all targets and the list of control hosts, and gives them a new version
// if they have changed.
func (s *Server) updateRoutes(lead *leader, now time.Time) {
	var routes []wire.TargetRoute
	for _, service := range s.Machine.Groups() {
		state := s.Machine.Group(service)
		g := lead.group(now, service)
		for target, member := range state.Members {
			r := wire.TargetRoute{Target: target, Service: service, Place: member.Place}
			r.Leaving = !lead.leavingSince(target).IsZero()
			r.Primary = state.Primary == target && state.Candidate == "" && g.promotion.Serving()
			if seat := lead.seats.Lease(target); seat != nil && !seat.Releasing() {
				if h := lead.hosts[seat.Host]; h != nil && h.boot == seat.BootID {
					r.Holder, r.Addr = seat.Host, h.addr
				}
			}
			routes = append(routes, r)
		}
	}
	slices.SortFunc(routes, func(a, b wire.TargetRoute) int { return strings.Compare(a.Target, b.Target) })
	var controls []string
	if s.ControlAddrs != nil {
		controls = s.ControlAddrs()
	}
	if lead.version > 0 && slices.Equal(routes, lead.routes) && slices.Equal(controls, lead.controls) {
		return
	}
	lead.routes, lead.controls = routes, controls
	lead.version++
}

// placeTargets gives targets without a holder to hosts, and releases those that should move.
func (s *Server) placeTargets(lead *leader, now time.Time) {
	hosts := lead.seatHosts(now)
	if len(hosts) == 0 || now.Sub(lead.readyAt) < hearSeats {
		return
	}
	d := s.Machine.Catalog().Catalog.Deployment
	for _, service := range s.Machine.Groups() {
		state := s.Machine.Group(service)
		for target, member := range state.Members {
			if !deployed(d, service) || s.drained(lead, now, target) {
				lead.seats.Release(target)
			} else {
				s.placeTarget(lead, now, hosts, target, member)
			}
			lead.seats.Free(now, target)
		}
	}
}

// drained reports whether a target that leaves may get no new work any more.
func (s *Server) drained(lead *leader, now time.Time, target string) bool {
	since := lead.leavingSince(target)
	return !since.IsZero() && now.Sub(since) >= s.DrainTime
}

func (s *Server) placeTarget(lead *leader, now time.Time, hosts []placement.Host, target string, member GroupMember) {
	avoid := func(host string) bool { return lead.avoids(now, host, target) }
	if seat := lead.seats.Lease(target); seat != nil && now.Before(lead.seats.ExpiresAt(target)) {
		if seat.Releasing() {
			return
		}
		draining := slices.ContainsFunc(hosts, func(h placement.Host) bool {
			return h.Name == seat.Host && h.BootID == seat.BootID && h.Draining
		})
		if draining && placement.Choose(now, hosts, member.Place, avoid) != nil || avoid(seat.Host) || placement.ShouldMove(now, hosts, seat.Host, member.Place, avoid) {
			_ = level.Info(s.Logger).Log("msg", "target lease not renewed", "target", target, "holder", seat.Host,
				"epoch", seat.Epoch, "draining", draining, "cut", avoid(seat.Host))
			countNotRenewed(draining, avoid(seat.Host))
			lead.seats.Release(target)
			s.poke(lead, seat.Host)
		}
		return
	}
	if lead.assigning[target] || !lead.seats.Free(now, target) {
		return
	}
	h := placement.Choose(now, hosts, member.Place, avoid)
	if h == nil {
		return
	}
	h.Leases++
	s.assignTarget(lead, target, placement.Record{Host: h.Name, BootID: h.BootID, Epoch: lead.seats.NextEpoch()})
}

// assignTarget records the next holder of a free target, and then gives it the seat.
func (s *Server) assignTarget(lead *leader, target string, r placement.Record) {
	lead.assigning[target] = true
	s.background(func() {
		ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
		err := s.propose(ctx, command{Seat: &seat{Leader: lead.term, Target: target, Record: r}})
		cancel()
		_ = level.Info(s.Logger).Log("msg", "target lease assigned", "target", target, "holder", r.Host, "epoch", r.Epoch, "err", err)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(lead.assigning, target)
		if err == nil {
			leasesAssigned.Inc()
			lead.seats.Assign(s.Clock.Now(), target, r)
			s.poke(lead, r.Host)
		}
	})
}

// seatHosts returns the hosts that may hold target leases.
func (l *leader) seatHosts(now time.Time) []placement.Host {
	var hosts []placement.Host
	for name, h := range l.hosts {
		if !h.entry || now.Sub(h.seen) > failover.HostRenewalTimeout {
			continue
		}
		hosts = append(hosts, placement.Host{
			Name: name, BootID: h.boot, Place: h.place, FirstRenewedAt: h.since, Leases: l.seats.LeaseCount(name),
			Draining: h.draining || l.drains[name] == h.boot,
		})
	}
	slices.SortFunc(hosts, func(a, b placement.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

// pokeHolders lets all hosts learn of changed routes and leases at once.
func (s *Server) pokeHolders(lead *leader) {
	for name, h := range lead.hosts {
		if h.entry {
			s.poke(lead, name)
		}
	}
}
