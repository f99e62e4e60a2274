package holder

import (
	"time"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/wire"
)

// running is a statement at the target.
type running struct {
	since  time.Time
	commit bool // it waits for replicas before it is answered
}

func (t *target) heard() {
	now := t.m.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failing = time.Time{}
	t.answered = now
}

func (t *target) unheard(since time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failing.IsZero() {
		t.failing = since
	}
}

// start and finish note a statement at the target.
func (t *target) start(commit bool) *running {
	r := &running{since: t.m.cfg.Clock.Now(), commit: commit}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.running[r] = struct{}{}
	return r
}

func (t *target) finish(r *running, answered bool) {
	now := t.m.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, r)
	if answered && r.commit {
		t.committed = now
	}
}

// note keeps a position as a sample if this host could do work that needs the primary from since on:
// then the target's log held every commit that was acknowledged before.
func (t *target) note(since time.Time, pos position.Position) {
	if pos.IsZero() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.grant.Primary || !t.validIn(true, t.grant.Term) || !since.After(t.sampleAt) {
		return
	}
	t.sample = wire.Sample{Position: pos}
	t.sampleAt = since
}

// annotate adds the newest sample and the expected wait to an answer.
func (t *target) annotate(reply *wire.StatementReply) {
	requests, slots := t.gate.Load(lane)
	reply.ExpectedQueueWait = time.Duration(requests) * t.gate.MeanSlotTime(lane) / time.Duration(max(slots, 1))
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sampleAt.IsZero() {
		return
	}
	reply.Sample = &wire.Sample{Position: t.sample.Position, Age: t.m.cfg.Clock.Now().Sub(t.sampleAt)}
}

// healthReport says for how long the target has been silent, or has kept a commit waiting.
func (t *target) healthReport() wire.TargetHealth {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.health(t.m.cfg.Clock.Now())
}

// health counts silence from the last answer of any kind, and a stuck commit from the last commit that was
// answered: a target that loses single answers is neither silent nor stuck.
func (t *target) health(now time.Time) wire.TargetHealth {
	h := wire.TargetHealth{Target: t.name}
	if !t.failing.IsZero() {
		h.SilentFor = now.Sub(t.failing)
	}
	for r := range t.running {
		since, worst := later(r.since, t.answered), &h.SilentFor
		if r.commit {
			since, worst = later(r.since, t.committed), &h.CommitStall
		}
		if age := now.Sub(since); age >= minReport {
			*worst = max(*worst, age)
		}
	}
	if h.CommitStall > 0 && t.failing.IsZero() {
		h.SilentFor = 0 // waiting commits occupy the slots that other statements need
	}
	return h
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (t *target) unwell(now time.Time) bool {
	h := t.health(now)
	return h.SilentFor >= minReport || h.CommitStall >= minReport
}

// commits reports whether a statement may wait for replicas.
func commits(st statement.Statement, block bool) bool {
	return st.Kind == statement.Commit || st.Kind == statement.Write && !block
}
