package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/citronrun/citronrun/internal/failover"
	"github.com/citronrun/citronrun/internal/lease"
	"github.com/citronrun/citronrun/internal/placement"
	"github.com/citronrun/citronrun/internal/ratelimit"
	"github.com/citronrun/citronrun/internal/wire"
)

// liveHostsCacheTTL bounds the age of the cached list of live hosts, which the failover step of every
// service reads.
const liveHostsCacheTTL = 50 * time.Millisecond

// serviceAssignmentDelay is how long a new leader collects renewals before it assigns services that
// never had an owner. Without the delay the first host to renew would get all of them.
const serviceAssignmentDelay = 700 * time.Millisecond

// leaderState is the volatile state of the leader for one consensus term. All fields are guarded by
// Server.mu.
type leaderState struct {
	term          uint64
	electedAt     time.Time
	ready         bool // the barrier entry of this term has been applied
	readyAt       time.Time
	leases        *lease.Table
	lender        *ratelimit.Lender
	hosts         map[string]*hostState
	services      map[string]*serviceState
	announcements map[string]announcement
	drainRequests map[string]string // boot ID of each host that an operator has ordered to drain

	limitsRevision uint64 // catalog revision of the rate limits in effect
	limitsValid    bool   // limitsRevision is valid

	liveHostsCache    []failover.Host // live entry hosts, computed at liveHostsCachedAt; nil: must be recomputed
	liveHostsCachedAt time.Time

	targetLeases        *placement.Table
	registrations       map[string]*registration    // latest registration of each target at this leader
	groups              map[string]*groupState      // by service
	inheritedLeaving    map[string]inheritedLeaving // by target
	avoidUntil          map[hostTarget]time.Time    // until when a host that failed to reach a target isn't assigned its lease
	pendingAssignments  map[string]bool             // targets whose next holder is being committed
	targetRoutes        *routeTable                 // routes to all targets
	routesCheckedAt     time.Time                   // when targetRoutes was last rebuilt
	routesOutdated      bool                        // targetRoutes has to be rebuilt before it is sent
	controlAddrs        []string                    // addresses of the control hosts
	controlAddrsVersion uint64                      // version of targetRoutes at which controlAddrs last changed
	entryAddrs          map[string]hostList         // live entry hosts, by place or of allPlaces
	entryAddrsVersion   uint64                      // highest version of a list in entryAddrs so far
	entryAddrsCheckedAt time.Time
	recordedHolders     map[string]bool     // hosts that held targets when this leader was elected
	forwarders          map[string]hostList // live control hosts by place, in a large deployment
	forwardersVersion   uint64              // highest version of a list in forwarders so far
	forwardersCheckedAt time.Time
	broadcastAt         time.Time // when all entry hosts were last asked to renew
	broadcastPending    bool      // they have to be asked again

	ownedServices        map[string][]string // cache of servicesByOwner: services by owner
	ownedServicesVersion uint64              // Machine.RoutesVersion that ownedServices was computed from
	ownedServicesValid   bool
}

// hostState is the state of a host as of its latest renewal.
type hostState struct {
	bootID          string
	place           string
	addr            string
	entry           bool      // has the entry role: accepts callers
	draining        bool      // hands over its services and accepts no others
	firstRenewedAt  time.Time // first renewal of this process
	renewedAt       time.Time
	catalogRevision uint64
	startedAt       time.Time // start of the process, from the uptime in its first renewal
	sequence        uint64    // of the latest renewal
	forwarder       string    // control host through which the latest renewal came; empty: none
}

// serviceState is the leader's volatile state of a service. Its replicated record is a Service.
type serviceState struct {
	failover        *failover.Machine
	report          *failover.Report // latest report of an owner; nil: none yet
	reportedBy      lease.Owner      // owner that sent report
	proposalPending bool             // a command for the service has been proposed and its outcome isn't known yet
}

// announcement is the latest announcement of a target.
type announcement struct {
	wire.Announce
	expiresAt time.Time
}

// newLeaderState returns the state of a leader elected at the given time in the given consensus term.
// singlePredecessor is passed on to ratelimit.NewLender.
func newLeaderState(electedAt time.Time, term uint64, singlePredecessor bool) *leaderState {
	return &leaderState{
		term:          term,
		electedAt:     electedAt,
		leases:        lease.NewTable(electedAt),
		lender:        ratelimit.NewLender(electedAt, term, singlePredecessor),
		hosts:         map[string]*hostState{},
		services:      map[string]*serviceState{},
		announcements: map[string]announcement{},
		drainRequests: map[string]string{},

		targetLeases:       placement.NewTable(electedAt, term, nil),
		pendingAssignments: map[string]bool{},
		targetRoutes:       newRouteTable(),
		registrations:      map[string]*registration{},
		inheritedLeaving:   map[string]inheritedLeaving{},
		groups:             map[string]*groupState{},
		avoidUntil:         map[hostTarget]time.Time{},
	}
}

// serviceState returns the volatile state of a service and creates it on first use.
func (l *leaderState) serviceState(now time.Time, service string, record Service) *serviceState {
	svc := l.services[service]
	if svc == nil {
		svc = &serviceState{failover: failover.New(now, failoverRecord(record))}
		l.services[service] = svc
	}
	return svc
}

func failoverRecord(s Service) failover.Record {
	return failover.Record{Owner: s.Owner, Term: s.Term, Primary: s.Primary, ElectionPending: s.ElectionPending}
}

// liveHosts returns the entry hosts that have renewed within failover.HostRenewalTimeout. The result may be
// up to liveHostsCacheTTL old.
func (l *leaderState) liveHosts(m *Machine, now time.Time) []failover.Host {
	if l.liveHostsCache != nil && now.Sub(l.liveHostsCachedAt) < liveHostsCacheTTL {
		return l.liveHostsCache
	}
	owned := l.servicesByOwner(m)
	hosts := make([]failover.Host, 0, len(l.hosts))
	for name, h := range l.hosts {
		if !h.entry || now.Sub(h.renewedAt) > failover.HostRenewalTimeout {
			continue
		}
		hosts = append(hosts, failover.Host{
			Name:           name,
			BootID:         h.bootID,
			Place:          h.place,
			Draining:       h.draining || l.drainRequests[name] == h.bootID,
			FirstRenewedAt: h.firstRenewedAt,
			Services:       len(owned[name]),
		})
	}
	l.liveHostsCache = hosts
	l.liveHostsCachedAt = now
	return hosts
}

// servicesByOwner returns the services of each owner according to the replicated records.
func (l *leaderState) servicesByOwner(m *Machine) map[string][]string {
	if l.ownedServicesValid && m.RoutesVersion() == l.ownedServicesVersion {
		return l.ownedServices
	}
	routes, version := m.RoutesSince(0)
	l.ownedServices = map[string][]string{}
	for _, r := range routes {
		l.ownedServices[r.Owner] = append(l.ownedServices[r.Owner], r.Service)
	}
	l.ownedServicesVersion = version
	l.ownedServicesValid = true
	return l.ownedServices
}

// targetInfos returns the members of a service, sorted by name, for a lease grant to the owner.
func (l *leaderState) targetInfos(now time.Time, s Service, labels func(target string) map[string]string) []wire.TargetInfo {
	infos := make([]wire.TargetInfo, 0, len(s.Members))
	for name, member := range s.Members {
		info := wire.TargetInfo{Target: name, Addr: member.Addr, Place: member.Place, Labels: labels(name)}
		info.Leaving = l.isLeaving(now, name)
		infos = append(infos, info)
	}
	slices.SortFunc(infos, func(a, b wire.TargetInfo) int { return cmp.Compare(a.Target, b.Target) })
	return infos
}

// isLeaving reports whether a target is leaving or its announcement has expired. A target that has not
// been announced to this leader yet doesn't count as leaving until announceTTL after the leader's
// election.
func (l *leaderState) isLeaving(now time.Time, target string) bool {
	if a, ok := l.announcements[target]; ok {
		return a.Leaving || now.After(a.expiresAt)
	}
	return now.Sub(l.electedAt) > announceTTL
}

// successor returns the target that should replace a leaving primary: among the targets that respond
// and are not leaving, the one with the highest received position. It returns "" if the primary is
// not leaving, if there is no such target, or if the owner has not reported yet.
func (l *leaderState) successor(now time.Time, record Service, svc *serviceState) string {
	if record.Primary == "" || svc.report == nil || svc.reportedBy != record.Owner || !l.isLeaving(now, record.Primary) {
		return ""
	}
	var best *wire.TargetReport
	for i := range svc.report.Targets {
		t := &svc.report.Targets[i]
		if t.Target == record.Primary || t.SilentFor >= failover.DetectionTimeout || l.isLeaving(now, t.Target) {
			continue
		}
		if best == nil || t.Received.Compare(best.Received) > 0 {
			best = t
		}
	}
	if best == nil {
		return ""
	}
	return best.Target
}
