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

// aliveCacheTime bounds the age of the list of live hosts, which every step of a service needs.
const aliveCacheTime = 50 * time.Millisecond

// hearHosts is how long a leader waits for renewals of all hosts before it assigns services that
// never had an owner. Without it the first host to renew would get all of them.
const hearHosts = 700 * time.Millisecond

// leader holds the tables of one leadership. All fields are guarded by Server.mu.
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
	drains   map[string]string // host told to drain by an operator: its boot id

	limitsOf uint64 // catalog revision that the keeper's limits are from
	limits   bool   // limitsOf is valid

	cached   []failover.Host // answer of alive, as of cachedAt
	cachedAt time.Time

	seats      *placement.Table
	registered map[string]*registered // targets that have registered at this leader
	groups     map[string]*group      // by service
	avoided    map[avoidance]time.Time
	assigning  map[string]bool    // targets whose next holder is being recorded
	routes     []wire.TargetRoute // as of routesVersion
	controls   []string           // addresses of the control hosts, as of version
	version    uint64             // of routes and controls

	owned       map[string][]string // services by owner, as of ownedRoutes
	ownedRoutes uint64
	ownedValid  bool
}

// host is an entry host as its renewals show it.
type host struct {
	boot     string
	place    string
	addr     string
	entry    bool
	draining bool
	since    time.Time // first renewal of this process
	seen     time.Time
	revision uint64
	started  time.Time // of the process, as its renewals say
	sequence uint64    // of the latest renewal
}

// service is the volatile state of a service.
type service struct {
	machine  *failover.Machine
	report   *failover.Report
	reportOf lease.Owner // owner that sent it
	busy     bool        // a proposal is under way
}

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

// service returns the volatile state of a service, which starts with its first use.
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

// alive returns the entry hosts that renewed lately, with the services that they own.
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

// ownedBy returns the services of each recorded owner.
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

// targetInfos returns the members of a service as their owner needs them. A member that was not
// announced to this leader yet counts as present until an announcement is overdue.
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

// leaving reports whether a target is leaving or its announcement has lapsed.
func (l *leader) leaving(now time.Time, target string) bool {
	if a, ok := l.targets[target]; ok {
		return a.Leaving || now.After(a.until)
	}
	return now.Sub(l.since) > announceTTL
}

// successor returns the target that should replace a primary that is leaving: of those that stay
// and answer the one that has received the most. It returns "" when there is nothing to do.
func (l *leader) successor(now time.Time, state Service, sv *service) string {
	if state.Primary == "" || sv.report == nil || sv.reportOf != state.Owner || !l.leaving(now, state.Primary) {
		return ""
	}
	var best *wire.TargetReport
	for i := range sv.report.Targets {
		t := &sv.report.Targets[i]
		if t.Target == state.Primary || t.SilentFor >= failover.DetectionTimeout || l.leaving(now, t.Target) {
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
