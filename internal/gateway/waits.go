package gateway

import (
	"time"

	"github.com/citronrun/citronrun/internal/admission"
)

const (
	// teamWaitLifetime bounds how long the expected wait of a team at a target is remembered.
	teamWaitLifetime = 500 * time.Millisecond
	// unqueuedTimeWeight is the weight of a new measurement in the mean time to a reply.
	unqueuedTimeWeight = 0.1
)

// teamWait is the wait that a target expected at a given time for a new statement of a team.
type teamWait struct {
	wait time.Duration
	at   time.Time
}

// recordBusy records that a target refused a statement of a team that could have waited for startWithin, and would have
// admitted it after retryAfter.
func (r *router) recordBusy(target, team string, startWithin, retryAfter time.Duration) {
	if retryAfter <= 0 {
		return
	}
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.stats(target)
	for name, w := range stats.teamWaits {
		if now.Sub(w.at) >= teamWaitLifetime {
			delete(stats.teamWaits, name)
		}
	}
	if stats.teamWaits == nil {
		stats.teamWaits = map[string]teamWait{}
	}
	stats.teamWaits[team] = teamWait{wait: admission.AdmitWithin(startWithin) + retryAfter, at: now}
}

// untilAdmitted returns the time until the target may admit a statement, or 0 if it isn't known to refuse it.
func (s *targetStats) untilAdmitted(now time.Time, run *statementRun) time.Duration {
	wait := s.teamWait(now, run.team)
	if wait == 0 || run.route.LatencyObjective <= 0 {
		return 0
	}
	return max(wait-admission.AdmitWithin(run.startWithin(s.unqueuedTime)), 0)
}

// teamWait returns the wait that the target is known to expect now for a new statement of a team.
func (s *targetStats) teamWait(now time.Time, team string) time.Duration {
	w, ok := s.teamWaits[team]
	if age := now.Sub(w.at); ok && age < teamWaitLifetime {
		return max(w.wait-age, 0)
	}
	return 0
}

// teamWait is like targetStats.teamWait.
func (r *router) teamWait(target, team string) time.Duration {
	now := r.cfg.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats(target).teamWait(now, team)
}

// untilAdmitted returns the least time until a target that could run the statement and is known to be too busy may admit it,
// or 0 if none is.
func (r *router) untilAdmitted(run *statementRun) time.Duration {
	now, req := r.cfg.Clock.Now(), run.requirement()
	r.mu.Lock()
	defer r.mu.Unlock()
	var least time.Duration
	for _, route := range r.cfg.Directory.TargetsOf(run.route.Service) {
		if r.unusable(route, req) != "" {
			continue
		}
		if wait := r.stats(route.Target).untilAdmitted(now, run); wait > 0 && (least == 0 || wait < least) {
			least = wait
		}
	}
	return least
}

// unqueuedTime returns the mean time to a reply from a target of statements that need not wait for a slot.
func (r *router) unqueuedTime(target string) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.stats(target).unqueuedTime
}

// recordUnqueuedTime records the time to a reply of a statement that need not wait for a slot.
func (r *router) recordUnqueuedTime(target string, d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	stats := r.stats(target)
	if stats.unqueuedTime == 0 {
		stats.unqueuedTime = d
		return
	}
	stats.unqueuedTime += time.Duration(unqueuedTimeWeight * float64(d-stats.unqueuedTime))
}
