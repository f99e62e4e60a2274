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
const aliveCacheTime = 50 * time.Millisecond

// serviceAssignmentDelay is how long a new leader collects renewals before it assigns services that never had an
// owner. Without the delay the first host to renew would get all of them.
const hearHosts = 700 * time.Millisecond

// leaderState is the volatile state of the leader for one consensus term. All fields are guarded by
// Server.mu.
type leader struct {
	term     uint64
	since    time.Time
	ready    bool // the barrier is applied
	readyAt  time.Time
	table    *lease.Table
	keeper   *ratelimit.Lender
	hosts    map[string]*host
	services map[string]*service
	targets  map[string]announced
	drains   map[string]string // boot id of each host that an operator has told to drain

	limitsOf uint64 // catalog revision of the rate limits in effect
	limits   bool   // limitsOf is valid

	cached   []failover.Host // result of liveHosts at liveHostsCachedAt; nil: invalid
	cachedAt time.Time

	seats      *placement.Table
	registered map[string]*registered // latest registration of each target at this leader
	groups     map[string]*group      // by service
	avoided    map[avoidance]time.Time
	assigning  map[string]bool    // targets whose next holder is being committed
	routes     []wire.TargetRoute // at targetRoutesVersion
	controls   []string           // addresses of the control hosts, at targetRoutesVersion
	version    uint64             // of targetRoutes and controlAddrs

	owned       map[string][]string // result of servicesByOwner at routes version ownedServicesVersion
	ownedRoutes uint64
	ownedValid  bool
}

// hostState is the state of a host as of its latest renewal.
type host struct {
	boot     string
	place    string
	addr     string
	entry    bool
	draining bool
	since    time.Time // first renewal of this process
	seen     time.Time
	revision uint64
	started  time.Time // start of the process, from the uptime in its first renewal
	sequence uint64    // of the latest renewal
}

// serviceState is the volatile state of a service.
type service struct {
	machine  *failover.Machine
	report   *failover.Report
	reportOf lease.Owner // owner that sent report
	busy     bool        // a proposal is in flight
}

// announcement is the latest announcement of a target.
type announced struct {
	wire.Announce
	until time.Time
}

func newLeader(since time.Time, term uint64, calm bool) *leader {
	return &leader{
		term:     term,
		since:    since,
		table:    lease.NewTable(since),
		keeper:   ratelimit.NewLender(since, term, calm),
		hosts:    map[string]*host{},
		services: map[string]*service{},
		targets:  map[string]announced{},
		drains:   map[string]string{},

		seats:      placement.NewTable(since, term, nil),
		assigning:  map[string]bool{},
		registered: map[string]*registered{},
		groups:     map[string]*group{},
		avoided:    map[avoidance]time.Time{},
	}
}

// serviceState returns the volatile state of a service and creates it on first use.
func (l *leader) service(now time.Time, name string, state Service) *service {
	sv := l.services[name]
	if sv == nil {
		sv = &service{machine: failover.New(now, recordOf(state))}
		l.services[name] = sv
	}
	return sv
}

func recordOf(s Service) failover.Record {
	return failover.Record{Owner: s.Owner, Term: s.Term, Primary: s.Primary, ElectionPending: s.ElectionPending}
}

// liveHosts returns the entry hosts that have renewed within failover.HostRenewalTimeout.
func (l *leader) alive(m *Machine, now time.Time) []failover.Host {
	if l.cached != nil && now.Sub(l.cachedAt) < aliveCacheTime {
		return l.cached
	}
	owned := l.ownedBy(m)
	hosts := make([]failover.Host, 0, len(l.hosts))
	for name, h := range l.hosts {
		if !h.entry || now.Sub(h.seen) > failover.HostRenewalTimeout {
			continue
		}
		hosts = append(hosts, failover.Host{
			Name:           name,
			BootID:         h.boot,
			Place:          h.place,
			Draining:       h.draining || l.drains[name] == h.boot,
			FirstRenewedAt: h.since,
			Services:       len(owned[name]),
		})
	}
	l.cached = hosts
	l.cachedAt = now
	return hosts
}

// servicesByOwner returns the services of each recorded owner.
func (l *leader) ownedBy(m *Machine) map[string][]string {
	if l.ownedValid && m.RoutesVersion() == l.ownedRoutes {
		return l.owned
	}
	routes, version := m.RoutesSince(0)
	l.owned = map[string][]string{}
	for _, r := range routes {
		l.owned[r.Owner] = append(l.owned[r.Owner], r.Service)
	}
	l.ownedRoutes = version
	l.ownedValid = true
	return l.owned
}

// targetInfos returns the members of a service, sorted by name, for a lease grant to the owner.
func (l *leader) targetInfos(now time.Time, s Service, labels func(target string) map[string]string) []wire.TargetInfo {
	infos := make([]wire.TargetInfo, 0, len(s.Members))
	for name, member := range s.Members {
		info := wire.TargetInfo{Target: name, Addr: member.Addr, Place: member.Place, Labels: labels(name)}
		info.Leaving = l.leaving(now, name)
		infos = append(infos, info)
	}
	slices.SortFunc(infos, func(a, b wire.TargetInfo) int { return cmp.Compare(a.Target, b.Target) })
	return infos
}

// isLeaving reports whether a target is leaving or its announcement has expired. A target that has not been
// announced to this leader yet counts as present for announceTTL after the leader's election.
func (l *leader) leaving(now time.Time, target string) bool {
	if a, ok := l.targets[target]; ok {
		return a.Leaving || now.After(a.until)
	}
	return now.Sub(l.since) > announceTTL
}

// successor returns the target that should replace a leaving primary: among the targets that answer
// and are not leaving, the one with the highest received position. It returns "" if the primary is
// not leaving, if there is no such target, or if the owner has not reported yet.
func (l *leader) successor(now time.Time, state Service, sv *service) string {
	if state.Primary == "" || sv.report == nil || sv.reportOf != state.Owner || !l.leaving(now, state.Primary) {
		return ""
	}
	var best *wire.TargetReport
	for i := range sv.report.Targets {
		t := &sv.report.Targets[i]
		if t.Target == state.Primary || t.SilentFor >= failover.Detection || l.leaving(now, t.Target) {
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
