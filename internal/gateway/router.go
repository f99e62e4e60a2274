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
	// awayCost is what a target in another place costs a read in comparison with a longer wait: two
	// trips, and bytes on a link that is paid for.
	awayCost = 120 * time.Millisecond
	// primaryCost keeps reads that need no primary away from it, since others do.
	primaryCost = 15 * time.Millisecond
	// pendingCost is the expected wait behind each own statement that is under way at a target.
	pendingCost = 5 * time.Millisecond
	// waitFade is the time after which an announced wait counts half.
	waitFade = 100 * time.Millisecond
	// avoidPause is how long a target that couldn't be reached is avoided for reads.
	avoidPause = 300 * time.Millisecond
)

// router knows the state of targets from earlier answers. It is safe for concurrent use.
type router struct {
	cfg Config

	mu       sync.Mutex
	targets  map[string]*targetView
	services map[string]*samples
}

// targetView is what earlier answers said about a target.
type targetView struct {
	wait    time.Duration
	waitAt  time.Time
	pending int
	avoid   time.Time
}

func newRouter(cfg Config) *router {
	return &router{cfg: cfg, targets: map[string]*targetView{}, services: map[string]*samples{}}
}

func (r *router) view(target string) *targetView {
	v := r.targets[target]
	if v == nil {
		v = &targetView{}
		r.targets[target] = v
	}
	return v
}

func (r *router) samples(service string) *samples {
	x := r.services[service]
	if x == nil {
		x = &samples{}
		r.services[service] = x
	}
	return x
}

// need is what a statement asks of its target.
type need struct {
	service string
	primary bool
	after   position.Position // zero with primary
}

// needOf returns what a statement needs that arrived at the given time. Reads go to the primary when no
// recent position of it is known.
func (r *router) needOf(route *catalog.Route, arrived time.Time, writes bool, floor position.Position) (n need, age time.Duration) {
	n = need{service: route.Service, primary: true}
	if writes || route.Mode == wire.ReadCurrent || route.MaxAge <= 0 {
		return n, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.samples(route.Service).within(arrived, route.MaxAge)
	if !ok {
		return n, 0
	}
	n.primary = false
	n.after = s.pos.Max(floor)
	return n, arrived.Sub(s.at)
}

// choose returns the target for a statement, or false. Targets in tried are left out.
func (r *router) choose(n need, tried map[string]bool) (wire.TargetRoute, bool) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var best wire.TargetRoute
	bestCost := time.Duration(-1)
	for _, t := range r.cfg.Directory.TargetsOf(n.service) {
		if t.Holder == "" || n.primary && !t.Primary || t.Leaving && !t.Primary || tried[t.Target] {
			continue
		}
		cost := r.cost(now, t, n)
		if bestCost < 0 || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best, bestCost >= 0
}

// cost estimates the time to an answer, with a surcharge for what others need more.
func (r *router) cost(now time.Time, t wire.TargetRoute, n need) time.Duration {
	v := r.view(t.Target)
	cost := time.Duration(v.pending) * pendingCost
	if age := now.Sub(v.waitAt); age < 8*waitFade {
		cost += v.wait >> uint(age/waitFade)
	}
	if t.Place != r.cfg.Place {
		cost += awayCost
	}
	if t.Primary && !n.primary {
		cost += primaryCost
	}
	if now.Before(v.avoid) {
		cost += time.Second
	}
	return cost + time.Duration(rand.IntN(int(time.Millisecond))) // equal targets take turns
}

// begin and done note an own statement at a target.
func (r *router) begin(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view(target).pending++
}

// done also takes over what the answer says. A nil reply means that the holder couldn't be reached.
func (r *router) done(t wire.TargetRoute, sent time.Time, reply *wire.StatementReply) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	v := r.view(t.Target)
	v.pending--
	if reply == nil {
		v.avoid = now.Add(avoidPause)
		return
	}
	r.takeOver(t, v, now, sent, reply)
}

// learn takes over what an answer within a block says.
func (r *router) learn(t wire.TargetRoute, sent time.Time, reply *wire.StatementReply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.takeOver(t, r.view(t.Target), r.cfg.Clock.Now(), sent, reply)
}

func (r *router) takeOver(t wire.TargetRoute, v *targetView, now, sent time.Time, reply *wire.StatementReply) {
	v.wait, v.waitAt = reply.ExpectedQueueWait, now
	if reply.Sample != nil {
		r.samples(t.Service).add(sent, reply.Sample)
	}
}

// avoidFor keeps reads away from a target for a while.
func (r *router) avoidFor(target string) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.view(target).avoid = now.Add(avoidPause)
}

// announced returns the wait that a target announced last.
func (r *router) announced(target string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view(target).wait
}
