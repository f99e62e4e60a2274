package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/spill"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// primaryReadCost is the penalty of the primary for a read that a replica can serve. It reserves the
	// primary for statements that need it.
	primaryReadCost = 15 * time.Millisecond
	// coldTargetCost is the penalty of a target that has started a short time ago and bears little. It exceeds the default
	// cost of traffic, so that targets in other places are preferred.
	coldTargetCost = 200 * time.Millisecond
	// pendingStatementCost is the expected wait for each statement that this host has in flight at a target.
	pendingStatementCost = 5 * time.Millisecond
	// avoidDuration is how long a target is avoided after a lost reply, or after it was reported unavailable.
	avoidDuration = 300 * time.Millisecond
	// avoidedCost is the cost of a target that is avoided: only targets that are avoided as well are cheaper.
	avoidedCost = time.Second
)

// router chooses targets by what their earlier replies reported. It is safe for concurrent use.
type router struct {
	cfg Config

	mu            sync.Mutex
	statsByTarget map[string]*targetStats
	share         spill.Share
}

// targetStats is what this host knows about a target from earlier statements.
type targetStats struct {
	announced    spill.Announced
	pending      int // statements in flight from this host, single ones or the first of a block
	avoidUntil   time.Time
	path         spill.Path
	behind       replicaBehind
	teamWaits    map[string]teamWait // by team
	unqueuedTime time.Duration       // mean time to a reply of statements that need not wait for a slot
}

func newRouter(cfg Config) *router {
	return &router{cfg: cfg, statsByTarget: map[string]*targetStats{}}
}

// stats returns the stats of a target, which it creates if necessary. mu is held.
func (r *router) stats(target string) *targetStats {
	stats := r.statsByTarget[target]
	if stats == nil {
		stats = &targetStats{}
		r.statsByTarget[target] = stats
	}
	return stats
}

// requirement is what a target must fulfil to run a statement.
type requirement struct {
	service     string
	primary     bool
	minPosition position.Position // of the target's log; zero if primary is set
	maxAge      time.Duration     // of the data; 0 if primary is set
	objective   time.Duration     // intended latency; 0: none
	trafficCost time.Duration     // time that a statement must save to leave the place
	// declined holds the targets whose holders have declined the statement, and the queue waits that they expected.
	declined map[string]time.Duration
}

// requirementFor returns the requirement of a single statement, or of a block that starts with BEGIN, of a session with the
// given floor on the route's service. unknownCommit tells that the position of the session's last commit is unknown.
func requirementFor(route *catalog.Route, kind statement.Kind, floor position.Position, unknownCommit bool, trafficCost *time.Duration) requirement {
	writes := kind != statement.Read && kind != statement.BeginRead || unknownCommit
	if route.Mode == wire.ReadMaxAge {
		floor = position.Position{}
	}
	return requirementOf(route, writes, floor, trafficCost)
}

// requirementOf returns the requirement of a statement. A read that may return older data can run at a replica that has
// reached minPosition. The trafficCost is the operator's, nil if it isn't set.
func requirementOf(route *catalog.Route, writes bool, minPosition position.Position, trafficCost *time.Duration) requirement {
	req := requirement{
		service: route.Service, objective: route.LatencyObjective,
		trafficCost: spill.TrafficCost(trafficCost, route.LatencyObjective, route.Timeout),
	}
	if writes || route.Mode == wire.ReadCurrent || route.MaxAge <= 0 {
		req.primary = true
	} else {
		req.minPosition, req.maxAge = minPosition, route.MaxAge
	}
	return req
}

// choice is the target chosen for a statement.
type choice struct {
	wire.TargetRoute
	reason spill.Reason
	// declineAbove is the queue wait from which another target would be better; 0: none, or the holder has declined
	// the statement before.
	declineAbove time.Duration
}

// choose returns the usable target with the least cost, except those in tried, and whether there is one.
func (r *router) choose(req requirement, tried map[string]bool) (choice, bool) {
	routes, candidates := r.candidates(req, tried)
	if len(routes) == 0 {
		return choice{}, false
	}
	for i := range candidates {
		candidates[i].Tie = time.Duration(rand.IntN(int(time.Millisecond)))
	}
	return decide(req, routes, candidates), true
}

// decide chooses one of the candidates, of which there is at least one.
func decide(req requirement, routes []wire.TargetRoute, candidates []spill.Candidate) choice {
	best, reason := spill.Choose(candidates, req.objective)
	if req.primary && reason == spill.NoHome {
		reason = spill.Primary
	}
	c := choice{TargetRoute: routes[best], reason: reason}
	if _, declined := req.declined[c.Target]; !declined {
		c.declineAbove = spill.DeclineAbove(candidates, best)
	}
	return c
}

// candidates returns the routes to the usable targets that are not in tried, and their costs.
func (r *router) candidates(req requirement, tried map[string]bool) ([]wire.TargetRoute, []spill.Candidate) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var routes []wire.TargetRoute
	var candidates []spill.Candidate
	for _, route := range r.cfg.Directory.TargetsOf(req.service) {
		if tried[route.Target] || r.unusable(route, req) != "" {
			continue
		}
		routes = append(routes, route)
		candidates = append(candidates, r.candidate(now, route, req))
	}
	return routes, candidates
}

// emptied reports whether a target is in an emptied place.
func (r *router) emptied(route wire.TargetRoute) bool {
	snap := r.cfg.Directory.Catalog()
	return snap != nil && snap.PlaceEmptied(route.Place)
}

// allEmptied reports whether all targets of a service are in emptied places, so that none will be usable soon.
func (r *router) allEmptied(service string) bool {
	routes := r.cfg.Directory.TargetsOf(service)
	for _, route := range routes {
		if !r.emptied(route) {
			return false
		}
	}
	return len(routes) > 0
}

// unusable returns why a target can't run a statement, or "".
func (r *router) unusable(route wire.TargetRoute, req requirement) string {
	switch {
	case r.emptied(route):
		return "in an emptied place"
	case route.Holder == "":
		return "no host holds its lease"
	case req.primary && !route.Primary:
		return "not the primary"
	case route.Leaving && !route.Primary:
		return "leaving"
	}
	return ""
}

// candidate returns the cost of a target in its parts. mu is held.
func (r *router) candidate(now time.Time, route wire.TargetRoute, req requirement) spill.Candidate {
	stats := r.stats(route.Target)
	c := spill.Candidate{Home: route.Place == r.cfg.Place}
	c.Path = stats.path.RoundTrip(now)
	c.InFlight = time.Duration(stats.pending) * pendingStatementCost
	c.Wait = max(stats.announced.Wait(now), req.declined[route.Target])
	if now.Before(stats.avoidUntil) {
		c.Failures = avoidedCost
	}
	if route.Primary && !req.primary {
		c.Reserve = primaryReadCost
	}
	if route.Cold {
		c.Reserve += coldTargetCost
	}
	if !c.Home {
		c.Parts = spill.ChargeTraffic(c.Parts, req.trafficCost, req.objective)
	}
	return c
}

// recordPlace records whether a statement that a holder has accepted left its place, and returns the share that leaves and
// whether it has changed strongly.
func (r *router) recordPlace(reason spill.Reason) (share float64, strong bool) {
	if reason == spill.NoHome || reason == spill.Primary {
		return 0, false // had no choice
	}
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.share.Record(now, reason != spill.Home)
}

// recordSent records a statement that is sent to a target; recordReply must be called after it.
func (r *router) recordSent(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats(target).pending++
}

// recordReply records the end of a statement and the load reported with its reply. A nil reply means that none was
// received; the target is then avoided for avoidDuration. The elapsed time is the one since the statement was sent.
func (r *router) recordReply(route wire.TargetRoute, reply *wire.StatementReply, elapsed time.Duration) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.stats(route.Target)
	stats.pending--
	if reply == nil {
		stats.avoidUntil = now.Add(avoidDuration)
		return
	}
	if reply.Code != verdict.CodeDeclined { // which reports the wait of one team
		stats.announced.Record(now, reply.ExpectedQueueWait)
	}
	if reply.HeldFor > 0 {
		stats.path.Record(now, elapsed-reply.HeldFor)
	}
	if reply.Failing {
		stats.avoidUntil = now.Add(avoidDuration)
	}
}

// recordBlockReply records the load reported with a reply within a block.
func (r *router) recordBlockReply(route wire.TargetRoute, reply *wire.StatementReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats(route.Target).announced.Record(r.cfg.Clock.Now(), reply.ExpectedQueueWait)
}

// avoidForReads gives a target a high cost for avoidDuration, so that reads go to other ones.
func (r *router) avoidForReads(target string) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats(target).avoidUntil = now.Add(avoidDuration)
}

// announcedWait returns the queue wait that was reported with the last reply from a target.
func (r *router) announcedWait(target string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats(target).announced.Last
}
