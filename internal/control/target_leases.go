package control

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/failover"
	"github.com/citronrun/citronrun/internal/placement"
	"github.com/citronrun/citronrun/internal/ratelimit"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/wire"
)

// hostTarget is the key of avoidUntil.
type hostTarget struct{ host, target string }

// avoids reports whether a host has failed to reach a target during the last avoidDuration.
func (l *leaderState) avoids(now time.Time, host, target string) bool {
	until, ok := l.avoidUntil[hostTarget{host, target}]
	return ok && now.Before(until)
}

// addTargetGrants grants the target leases assigned to the host, and renews those that it holds.
func (s *Server) addTargetGrants(leader *leaderState, now time.Time, reply *wire.RenewReply, req *wire.Renew) {
	d := s.Machine.Catalog().Catalog.Deployment
	if d == nil || !leader.targetLeases.HasLease(req.Host, req.BootID) {
		return
	}
	for i := range d.Services {
		service := &d.Services[i]
		record := s.Machine.Group(service.Name)
		group := leader.groupState(now, service.Name)
		for target, member := range record.Members {
			primary := record.Primary == target && record.Candidate == "" && group.promotion.Serving()
			epoch, ok := leader.targetLeases.Renew(now, target, req.Host, req.BootID, primary)
			if !ok {
				continue
			}
			reply.TargetGrants = append(reply.TargetGrants, wire.TargetGrant{
				Target: target, Epoch: epoch, Service: service.Name, Addr: member.Addr, Slots: max(member.Slots, 1),
				Connections: max(service.Connections-reservedConnections, 1), Primary: primary,
				Term:  record.Token, // the fencing token of the last promotion order is the term of its primary
				Place: member.Place, Coldness: s.coldness(leader, now, service, target),
			})
		}
	}
}

// addTargetRoutes adds the target routes and the control addresses to the reply, unless the host has their
// current version. A host that has an earlier version of this leader gets only the changes.
func (s *Server) addTargetRoutes(leader *leaderState, reply *wire.RenewReply, req *wire.Renew) {
	s.updateRoutes(leader, s.Clock.Now())
	reply.TargetsVersion = leader.targetRoutes.version
	known := req.TargetsVersion
	if req.LeaderTerm != leader.term {
		known = 0
	}
	switch {
	case known == leader.targetRoutes.version:
		return
	case known == 0 && req.TargetChanges:
		table, err := leader.targetRoutes.encode()
		if err != nil {
			_ = level.Error(s.Logger).Log("msg", "routes not encoded", "err", err)
			reply.TargetsVersion = 0 // the host asks again with its next renewal
			return
		}
		reply.TargetsFull, reply.TargetTable = true, table
	case !req.TargetChanges:
		reply.TargetsFull = true
		reply.TargetRoutes = leader.targetRoutes.routes
	default:
		reply.ChangedRoutes, reply.RemovedTargets = leader.targetRoutes.since(known)
	}
	if known < leader.controlAddrsVersion {
		reply.ControlAddrs = leader.controlAddrs
	}
}

const (
	// entryAddrsInterval is the time between two updates of the lists of entry hosts.
	entryAddrsInterval = time.Second
	// entryAddrTTL is how long after its last renewal a host stays in the list of its place.
	entryAddrTTL = 3 * time.Second
	// entryAddrsDelay is how long a new leader collects renewals before it sends lists. Until then hosts keep the
	// list of its predecessor: shorter ones would change with each host that renews.
	entryAddrsDelay = 2 * time.Second
	// maxMeshHosts is the number of entry hosts up to which each keeps connections to all others. Beyond it, hosts
	// are connected only within their place: the handshakes of all with all grow with the square of the hosts.
	maxMeshHosts = 40
)

// hostList is a list of live entry hosts.
type hostList struct {
	addrs   []string // QUIC addresses, sorted
	version uint64   // differs from those of all other lists of this leader
}

// addEntryAddrs adds the addresses of the entry hosts to which the host keeps connections to the reply, unless the host
// has their current version: those of all hosts, or only those of its place if there are more than maxMeshHosts.
func (l *leaderState) addEntryAddrs(now time.Time, reply *wire.RenewReply, req *wire.Renew) {
	if !req.Entry || now.Sub(l.readyAt) < entryAddrsDelay {
		return
	}
	l.updateEntryAddrs(now)
	hosts, ok := l.entryAddrs[allPlaces]
	if !ok {
		hosts, ok = l.entryAddrs[req.Place]
		reply.PlaceHosts = true
	}
	if !ok {
		return
	}
	reply.HostsVersion = hosts.version
	if req.HostsVersion != hosts.version || req.LeaderTerm != l.term {
		reply.HostAddrs = hosts.addrs
	}
}

// allPlaces is the key of the list of all entry hosts. No place has an empty name.
const allPlaces = ""

// updateEntryAddrs rebuilds the lists of entry hosts if they are older than entryAddrsInterval. Hosts that are draining
// are left out.
func (l *leaderState) updateEntryAddrs(now time.Time) {
	if now.Sub(l.entryAddrsCheckedAt) < entryAddrsInterval {
		return
	}
	l.entryAddrsCheckedAt = now
	all, byPlace := []string{}, map[string][]string{}
	for _, h := range l.hosts {
		if h.entry && !h.draining && now.Sub(h.renewedAt) <= entryAddrTTL {
			all = append(all, h.addr)
			byPlace[h.place] = append(byPlace[h.place], h.addr)
		}
	}
	if len(all) <= maxMeshHosts {
		byPlace = map[string][]string{allPlaces: all}
	}
	lists := map[string]hostList{}
	for place, addrs := range byPlace {
		slices.Sort(addrs)
		list, ok := l.entryAddrs[place]
		if !ok || !slices.Equal(addrs, list.addrs) {
			l.entryAddrsVersion++
			list = hostList{addrs: addrs, version: l.entryAddrsVersion}
		}
		lists[place] = list
	}
	l.entryAddrs = lists
}

// routesMaxAge is the age at which the routes are rebuilt without a known cause.
const routesMaxAge = 50 * time.Millisecond

// updateRoutes rebuilds the routes to all targets and the list of control hosts, unless they are current, and
// increments their version if either has changed.
func (s *Server) updateRoutes(leader *leaderState, now time.Time) {
	if !leader.routesOutdated && now.Sub(leader.routesCheckedAt) < routesMaxAge {
		return
	}
	leader.routesOutdated, leader.routesCheckedAt = false, now
	var routes []wire.TargetRoute
	for _, service := range s.Machine.GroupNames() {
		record := s.Machine.Group(service)
		group := leader.groupState(now, service)
		for target, member := range record.Members {
			r := wire.TargetRoute{Target: target, Service: service, Place: member.Place}
			r.Leaving = !leader.leavingSince(target).IsZero()
			r.Cold = s.isCold(leader, now, service, target)
			r.Primary = record.Primary == target && record.Candidate == "" && group.promotion.Serving()
			if targetLease := leader.targetLeases.Lease(target); targetLease != nil && !targetLease.Releasing() {
				if h := leader.hosts[targetLease.Host]; h != nil && h.bootID == targetLease.BootID {
					r.Holder, r.Addr = targetLease.Host, h.addr
				}
			}
			routes = append(routes, r)
		}
	}
	slices.SortFunc(routes, func(a, b wire.TargetRoute) int { return strings.Compare(a.Target, b.Target) })
	var controlAddrs []string
	if s.ControlAddrs != nil {
		controlAddrs = s.ControlAddrs()
	}
	addrsChanged := !slices.Equal(controlAddrs, leader.controlAddrs)
	leader.targetRoutes.update(routes, addrsChanged)
	if addrsChanged {
		leader.controlAddrs, leader.controlAddrsVersion = controlAddrs, leader.targetRoutes.version
	}
}

// placeTargets assigns holders to the targets that have none. It stops renewing the lease of each target that
// should move to another host, has been leaving for DrainTime, or whose service is no longer deployed or whose
// place is emptied.
func (s *Server) placeTargets(leader *leaderState, now time.Time) {
	hosts := leader.placementHosts(now)
	if len(hosts) == 0 {
		return
	}
	if now.Sub(leader.readyAt) < targetAssignmentDelay {
		s.restoreHolders(leader, now, hosts)
		return
	}
	summary := placement.Summarize(hosts)
	d := s.Machine.Catalog().Catalog.Deployment
	for _, service := range s.Machine.GroupNames() {
		record := s.Machine.Group(service)
		for target, member := range record.Members {
			if !isDeployed(d, service) || s.drainTimeElapsed(leader, now, target) || s.mustBeIdle(leader, now, record, target) {
				leader.targetLeases.Release(target)
			} else if leader.isProbed(now, service, record, target) && leader.targetLeases.Free(now, target) {
				continue // another holder would have to find out by itself that the target doesn't answer
			} else if !leader.settled(now, summary, target, member) {
				s.placeTarget(leader, now, hosts, target, member)
			}
			leader.targetLeases.Free(now, target) // removes the lease if it has expired
		}
	}
}

// restoreHolders assigns free targets to their recorded holders, if these have renewed without the lease since: they have
// restarted, or the lease has expired. After a restart of all hosts, or of all control hosts, targets thus have holders before
// the leader knows all hosts.
func (s *Server) restoreHolders(leader *leaderState, now time.Time, hosts []placement.Host) {
	byName := map[string]placement.Host{}
	for _, h := range hosts {
		byName[h.Name] = h
	}
	d := s.Machine.Catalog().Catalog.Deployment
	recorded := s.Machine.TargetHolders()
	for _, service := range s.Machine.GroupNames() {
		record := s.Machine.Group(service)
		for target, member := range record.Members {
			r := recorded[target]
			h, ok := byName[r.Host]
			switch {
			case !ok, h.Draining, h.Place != member.Place, leader.avoids(now, h.Name, target):
			case !isDeployed(d, service), s.drainTimeElapsed(leader, now, target), s.mustBeIdle(leader, now, record, target):
			case leader.pendingAssignments[target], !leader.targetLeases.Free(now, target):
			default:
				s.assignHolder(leader, target, placement.Record{Host: h.Name, BootID: h.BootID, Epoch: leader.targetLeases.NextEpoch()})
			}
		}
	}
}

// settled reports whether the holder of a target's valid lease can stay. If it returns false, placeTarget decides.
func (l *leaderState) settled(now time.Time, summary placement.Summary, target string, member GroupMember) bool {
	targetLease := l.targetLeases.Lease(target)
	return targetLease != nil && now.Before(l.targetLeases.ExpiresAt(target)) && !l.avoids(now, targetLease.Host, target) &&
		summary.Settled(targetLease.Host, targetLease.BootID, member.Place)
}

// isProbed reports whether the leader is finding out whether a silent primary answers.
func (l *leaderState) isProbed(now time.Time, service string, record Group, target string) bool {
	return target == record.Primary && l.groupState(now, service).promotion.State() == "probing"
}

// drainTimeElapsed reports whether a target has been leaving for at least DrainTime, so that it must get no
// new work.
func (s *Server) drainTimeElapsed(leader *leaderState, now time.Time, target string) bool {
	since := leader.leavingSince(target)
	return !since.IsZero() && now.Sub(since) >= s.DrainTime
}

// placeTarget assigns a holder to a target that has none. If a target has one, placeTarget stops renewing
// its lease if the holder is draining, can't reach the target, or should be replaced by a better host.
func (s *Server) placeTarget(leader *leaderState, now time.Time, hosts []placement.Host, target string, member GroupMember) {
	avoid := func(host string) bool { return leader.avoids(now, host, target) }
	if targetLease := leader.targetLeases.Lease(target); targetLease != nil && now.Before(leader.targetLeases.ExpiresAt(target)) {
		if targetLease.Releasing() {
			return
		}
		draining := slices.ContainsFunc(hosts, func(h placement.Host) bool {
			return h.Name == targetLease.Host && h.BootID == targetLease.BootID && h.Draining
		})
		if draining && placement.Choose(now, hosts, member.Place, avoid) != nil || avoid(targetLease.Host) || placement.ShouldMove(now, hosts, targetLease.Host, member.Place, avoid) {
			_ = level.Info(s.Logger).Log("msg", "target lease not renewed", "target", target, "holder", targetLease.Host,
				"epoch", targetLease.Epoch, "draining", draining, "cut", avoid(targetLease.Host))
			countLeaseNotRenewed(draining, avoid(targetLease.Host))
			leader.targetLeases.Release(target)
			s.sendRenewNow(leader, targetLease.Host)
		}
		return
	}
	if leader.pendingAssignments[target] || !leader.targetLeases.Free(now, target) {
		return
	}
	h := placement.Choose(now, hosts, member.Place, avoid)
	if h == nil {
		return
	}
	h.Leases++
	s.assignHolder(leader, target, placement.Record{Host: h.Name, BootID: h.BootID, Epoch: leader.targetLeases.NextEpoch()})
}

// assignHolder commits the next holder of a free target, and then allows it to renew the lease.
func (s *Server) assignHolder(leader *leaderState, target string, holder placement.Record) {
	leader.pendingAssignments[target] = true
	s.runInBackground(func() {
		ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
		err := s.propose(ctx, command{AssignHolder: &assignHolder{LeaderTerm: leader.term, Target: target, Holder: holder}})
		cancel()
		_ = level.Info(s.Logger).Log("msg", "target lease assigned", "target", target, "holder", holder.Host, "epoch", holder.Epoch, "err", err)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(leader.pendingAssignments, target)
		if err == nil {
			targetLeasesAssigned.Inc()
			leader.targetLeases.Assign(s.Clock.Now(), target, holder)
			s.sendRenewNow(leader, holder.Host)
		}
	})
}

// placementHosts returns, sorted by name, the live entry hosts: those that may hold target leases.
func (l *leaderState) placementHosts(now time.Time) []placement.Host {
	counts := l.targetLeases.LeaseCounts()
	var hosts []placement.Host
	for name, h := range l.hosts {
		if !h.entry || now.Sub(h.renewedAt) > failover.HostRenewalTimeout {
			continue
		}
		hosts = append(hosts, placement.Host{
			Name: name, BootID: h.bootID, Place: h.place, FirstRenewedAt: h.firstRenewedAt, Leases: counts[name],
			Draining: h.draining || l.drainRequests[name] == h.bootID,
		})
	}
	slices.SortFunc(hosts, func(a, b placement.Host) int { return strings.Compare(a.Name, b.Name) })
	return hosts
}

const (
	// broadcastInterval is the least time between two requests to all entry hosts to renew. Each costs the leader a
	// renewal of every host, while changes such as the first registrations of all targets arrive one by one.
	broadcastInterval = 200 * time.Millisecond
	// broadcastIntervalPerHost is the least of that time for each host: the leader's processor time for a request to
	// renew and the renewal is a tenth of it.
	broadcastIntervalPerHost = 3 * time.Millisecond
	// renewalIntervalPerHost is the time between two renewals of a host for each entry host, so that the leader gets
	// no more renewals a second with more hosts. A holder of leases renews every maxHolderRenewalInterval at least:
	// then one of its renewals may be lost before its leases end.
	renewalIntervalPerHost   = 3 * time.Millisecond
	maxHolderRenewalInterval = 650 * time.Millisecond
)

// addRenewalInterval sets the time until the host's next renewal.
func (l *leaderState) addRenewalInterval(reply *wire.RenewReply, req *wire.Renew) {
	interval := time.Duration(len(l.hosts)) * renewalIntervalPerHost
	if l.targetLeases.HasLease(req.Host, req.BootID) {
		interval = min(interval, maxHolderRenewalInterval)
	}
	if interval > ratelimit.RenewalInterval {
		reply.RenewEvery = interval
	}
}

// sendRenewNowToEntryHosts asks all entry hosts to renew immediately, so that they receive changed routes
// and leases. Within broadcastInterval of the last time, it leaves that to sendPendingBroadcast.
func (s *Server) sendRenewNowToEntryHosts(leader *leaderState) {
	leader.routesOutdated = true
	now := s.Clock.Now()
	if now.Sub(leader.broadcastAt) < max(broadcastInterval, time.Duration(len(leader.hosts))*broadcastIntervalPerHost) {
		leader.broadcastPending = true
		return
	}
	leader.broadcastAt, leader.broadcastPending = now, false
	within := leader.renewalSpread()
	forwarders := map[string]bool{}
	for name, h := range leader.hosts {
		switch {
		case !h.entry:
		case h.forwarder == "":
			s.sendRenewNowAfter(spread(within), leader, name)
		default:
			forwarders[h.forwarder] = true
		}
	}
	for name := range forwarders {
		if f := leader.hosts[name]; f != nil {
			s.sendInBackground(0, transport.Via{Addr: f.addr}, wire.KindRenewAll, wire.RenewNow{Within: within})
		}
	}
}

// sendPendingBroadcast sends a request to all entry hosts that sendRenewNowToEntryHosts has deferred, if it is due.
func (s *Server) sendPendingBroadcast(leader *leaderState) {
	if leader.broadcastPending {
		s.sendRenewNowToEntryHosts(leader)
	}
}
