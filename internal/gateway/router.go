package gateway

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// remotePlaceCost is the penalty of a target in another place, as an equivalent queue wait: the network
	// round trip, and the traffic on a metered link.
	remotePlaceCost = 120 * time.Millisecond
	// primaryReadCost is the penalty of the primary for a read that a replica can serve. It reserves the
	// primary for statements that need it.
	primaryReadCost = 15 * time.Millisecond
	// pendingStatementCost is the expected wait for each statement that this host has in flight at a target.
	pendingStatementCost = 5 * time.Millisecond
	// waitDecay is the half-life of an announced queue wait.
	waitDecay = 100 * time.Millisecond
	// avoidDuration is how long a target is avoided after a lost reply, or after it was reported unavailable.
	avoidDuration = 300 * time.Millisecond
)

// router chooses targets by what their earlier replies reported. It is safe for concurrent use.
type router struct {
	cfg Config

	mu            sync.Mutex
	statsByTarget map[string]*targetStats
}

// targetStats is what this host knows about a target from earlier statements.
type targetStats struct {
	announcedWait time.Duration
	announcedAt   time.Time
	pending       int // statements in flight from this host, single ones or the first of a block
	avoidUntil    time.Time
	behind        replicaBehind
	teamWaits     map[string]teamWait // by team
	unqueuedTime  time.Duration       // mean time to a reply of statements that need not wait for a slot
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
}

// requirementOf returns the requirement of a statement. A read that may return older data can run at a replica that has
// reached minPosition.
func requirementOf(route *catalog.Route, writes bool, minPosition position.Position) requirement {
	if writes || route.Mode == wire.ReadCurrent || route.MaxAge <= 0 {
		return requirement{service: route.Service, primary: true}
	}
	return requirement{service: route.Service, minPosition: minPosition, maxAge: route.MaxAge}
}

// choose returns the usable target with the least cost, except those in tried, and whether there is one.
func (r *router) choose(req requirement, tried map[string]bool) (wire.TargetRoute, bool) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var best wire.TargetRoute
	bestCost := time.Duration(-1)
	for _, route := range r.cfg.Directory.TargetsOf(req.service) {
		if route.Holder == "" || req.primary && !route.Primary || route.Leaving && !route.Primary || tried[route.Target] {
			continue
		}
		cost := r.cost(now, route, req)
		if bestCost < 0 || cost < bestCost {
			best, bestCost = route, cost
		}
	}
	return best, bestCost >= 0
}

// cost estimates the time to a reply from a target, with penalties for another place, for reads at the
// primary and for targets to be avoided. mu is held.
func (r *router) cost(now time.Time, route wire.TargetRoute, req requirement) time.Duration {
	stats := r.stats(route.Target)
	cost := time.Duration(stats.pending) * pendingStatementCost
	if waitAge := now.Sub(stats.announcedAt); waitAge < 8*waitDecay {
		cost += stats.announcedWait >> uint(waitAge/waitDecay)
	}
	if route.Place != r.cfg.Place {
		cost += remotePlaceCost
	}
	if route.Primary && !req.primary {
		cost += primaryReadCost
	}
	if now.Before(stats.avoidUntil) {
		cost += time.Second
	}
	return cost + time.Duration(rand.IntN(int(time.Millisecond))) // spreads statements over targets of equal cost
}

// recordSent records a statement that is sent to a target; recordReply must be called after it.
func (r *router) recordSent(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats(target).pending++
}

// recordReply records the end of a statement and the load reported with its reply. A nil reply means that none was
// received; the target is then avoided for avoidDuration.
func (r *router) recordReply(route wire.TargetRoute, reply *wire.StatementReply) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.stats(route.Target)
	stats.pending--
	if reply == nil {
		stats.avoidUntil = now.Add(avoidDuration)
		return
	}
	stats.recordLoad(now, reply)
}

// recordBlockReply records the load reported with a reply within a block.
func (r *router) recordBlockReply(route wire.TargetRoute, reply *wire.StatementReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats(route.Target).recordLoad(r.cfg.Clock.Now(), reply)
}

func (s *targetStats) recordLoad(now time.Time, reply *wire.StatementReply) {
	s.announcedWait, s.announcedAt = reply.ExpectedQueueWait, now
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
	return r.stats(target).announcedWait
}
