package holder

import (
	"time"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/wire"
)

// runningStatement is a statement that was sent to the target and has no response yet.
type runningStatement struct {
	startedAt        time.Time
	waitsForReplicas bool // the target may wait for replicas before it responds
}

// recordContact records a response of any kind.
func (t *target) recordContact() {
	now := t.manager.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.unreachableSince = time.Time{}
	t.respondedAt = now
}

// recordUnreachable records a failure to reach the target, which began at the given time.
func (t *target) recordUnreachable(at time.Time) {
	now := t.manager.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.RecordUncertain(now)
	if t.unreachableSince.IsZero() {
		t.unreachableSince = at
	}
}

// recordStart records a statement that is sent to the target; recordFinish must be called after it.
func (t *target) recordStart(waitsForReplicas bool) *runningStatement {
	stmt := &runningStatement{startedAt: t.manager.cfg.Clock.Now(), waitsForReplicas: waitsForReplicas}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[stmt] = struct{}{}
	return stmt
}

// recordFinish records the end of a statement, with or without a response of the target.
func (t *target) recordFinish(stmt *runningStatement, responded bool) {
	now := t.manager.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, stmt)
	if responded && stmt.waitsForReplicas {
		t.commitRespondedAt = now
	}
}

// recordPosition records the position in the response to a request that was sent at sentAt. committed tells whether the
// request can have committed something; its acknowledgement must follow the call.
func (t *target) recordPosition(sentAt time.Time, pos position.Position, committed bool) {
	now := t.manager.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bound.observe(now, sentAt, pos, committed)
	t.confirmBound(now)
	if pos.IsZero() {
		return
	}
	if !t.grant.Primary {
		t.progress.report(pos)
	} else if sentAt.After(t.positionAt) {
		t.positionAt = sentAt
	}
}

// recordLostCommit records that a commit has ended without a response: the target may have acknowledged it.
func (t *target) recordLostCommit(sentAt time.Time) {
	now := t.manager.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bound.observe(now, sentAt, position.Position{}, true)
}

// confirmBound records that the bound of acknowledged commits holds at now, or up to the start of the oldest commit without a
// response, if the primary right is still valid. mu is held.
func (t *target) confirmBound(now time.Time) {
	if !t.grant.Primary || !t.validInTerm(true, t.grant.Term) {
		return
	}
	for stmt := range t.running {
		if stmt.waitsForReplicas && stmt.startedAt.Before(now) {
			now = stmt.startedAt
		}
	}
	t.bound.confirm(now)
}

// keepBound passes the bound of acknowledged commits on to the samples of this host, before the target loses it. mu is
// held.
func (t *target) keepBound() {
	now := t.manager.cfg.Clock.Now()
	if s, ok := t.bound.sample(now); ok {
		t.manager.samples.keep(t.service, now, s)
	}
}

// addQueueWait adds the expected queue wait to a reply.
func (t *target) addQueueWait(reply *wire.StatementReply) {
	queued, slots := t.gate.Load(queueName)
	reply.ExpectedQueueWait = time.Duration(queued) * t.gate.MeanSlotTime(queueName) / time.Duration(max(slots, 1))
}

// newestSample returns the newest position sample that this host can prove as the holder of the primary, and whether there
// is one.
func (t *target) newestSample() (wire.Sample, bool) {
	now := t.manager.cfg.Clock.Now() // before the bound is read: commits that are acknowledged later need not be covered
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmBound(now)
	return t.bound.sample(now)
}

// healthReport returns for how long the target has been silent, or a commit has been stalled.
func (t *target) healthReport() wire.TargetHealth {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.healthLocked(t.manager.cfg.Clock.Now())
}

// healthLocked measures silence from the last response of any kind, and a commit stall from the last
// response to a commit, so that single lost responses count as neither. mu is held.
func (t *target) healthLocked(now time.Time) wire.TargetHealth {
	h := wire.TargetHealth{Target: t.name}
	if !t.unreachableSince.IsZero() {
		h.SilentFor = now.Sub(t.unreachableSince)
	}
	for stmt := range t.running {
		since, longest := laterOf(stmt.startedAt, t.respondedAt), &h.SilentFor
		if stmt.waitsForReplicas {
			since, longest = laterOf(stmt.startedAt, t.commitRespondedAt), &h.CommitStall
		}
		if age := now.Sub(since); age >= reportThreshold {
			*longest = max(*longest, age)
		}
	}
	if h.CommitStall > 0 && t.unreachableSince.IsZero() {
		h.SilentFor = 0 // other statements get no response because stalled commits occupy the slots
	}
	return h
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// unhealthy reports whether the target has been silent, or a commit stalled, for reportThreshold. mu is held.
func (t *target) unhealthy(now time.Time) bool {
	h := t.healthLocked(now)
	return h.SilentFor >= reportThreshold || h.CommitStall >= reportThreshold
}

// waitsForReplicas reports whether the target may wait for replicas before it responds to a statement.
func waitsForReplicas(st statement.Statement, inBlock bool) bool {
	return st.Kind == statement.Commit || st.Kind == statement.Write && !inBlock
}
