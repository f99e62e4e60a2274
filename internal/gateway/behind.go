package gateway

import (
	"maps"
	"time"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/wire"
)

// defaultBehindTime is how long a replica counts as behind if its holder has not said when it may have caught up.
const defaultBehindTime = 50 * time.Millisecond

// replicaBehind is what a refusal has shown of a replica: until a given time it lacks what some reads need.
type replicaBehind struct {
	until   time.Time
	reached position.Position // of its log
	maxAge  time.Duration     // its data is older; 0: not known to be
}

// refuses reports whether the replica would still refuse a read with the requirement.
func (b *replicaBehind) refuses(now time.Time, req requirement) bool {
	if !now.Before(b.until) {
		return false
	}
	return req.maxAge > 0 && req.maxAge <= b.maxAge || !b.reached.Covers(req.minPosition)
}

// record records the refusal of a read with the requirement.
func (b *replicaBehind) record(now time.Time, req requirement, reply *wire.StatementReply) {
	if !now.Before(b.until) {
		*b = replicaBehind{}
	}
	retryAfter := reply.RetryAfter
	if retryAfter <= 0 {
		retryAfter = defaultBehindTime
	}
	b.until, b.reached = now.Add(retryAfter), reply.Reached
	if req.minPosition.IsZero() || reply.Reached.Covers(req.minPosition) {
		b.maxAge = max(b.maxAge, req.maxAge)
	}
}

// recordBehind records that a replica lacked what a read requires.
func (r *router) recordBehind(target string, req requirement, reply *wire.StatementReply) {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stats(target).behind.record(now, req, reply)
}

// excluded returns tried together with the targets that would refuse the statement: replicas that are behind, and targets
// where its team would wait too long.
func (r *router) excluded(req requirement, run *statementRun, tried map[string]bool) map[string]bool {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	excluded := tried
	exclude := func(target string) {
		if len(excluded) == len(tried) {
			excluded = maps.Clone(tried)
		}
		if excluded == nil {
			excluded = map[string]bool{}
		}
		excluded[target] = true
	}
	for _, route := range r.cfg.Directory.TargetsOf(req.service) {
		stats := r.stats(route.Target)
		behind := !req.primary && !route.Primary && stats.behind.refuses(now, req)
		if behind || stats.untilAdmitted(now, run) > 0 {
			exclude(route.Target)
		}
	}
	return excluded
}
