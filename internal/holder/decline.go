package holder

import (
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/spill"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// decline reports whether the sender of a statement has a better target for it: if the queue wait that its team has to
// expect exceeds DeclineAbove, or if the target is failing and the statement is not needed as a probe. It returns the
// reply, whose ExpectedQueueWait is that of the team.
func (t *target) decline(req *wire.StatementRequest) (wire.StatementReply, bool) {
	if req.DeclineAbove <= 0 {
		return wire.StatementReply{}, false
	}
	wait := t.gate.ExpectedWait(queueRequest(req))
	var err error
	switch {
	case spill.Declines(wait, req.DeclineAbove):
		t.manager.metrics.declinedWaits.Inc()
		err = errDeclinedWait
	case t.failing(req):
		t.manager.metrics.declinedFailing.Inc()
		err = errDeclinedFailing
	default:
		return wire.StatementReply{}, false
	}
	reply := errorReply(err)
	reply.ExpectedQueueWait = wait
	return reply, true
}

// failing reports whether the target is failing and the statement is not needed as a probe. Only single reads are: they
// can be sent again.
func (t *target) failing(req *wire.StatementRequest) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.judge.Failing() {
		return false
	}
	return req.StartsBlock || req.Statement.Kind != statement.Read || !t.judge.Probe(t.manager.cfg.Clock.Now())
}

var (
	errDeclinedFailing = verdict.New(verdict.NotRun, verdict.CodeDeclined, "the target fails part of its statements")
	errDeclinedWait    = verdict.New(verdict.NotRun, verdict.CodeDeclined, "another target has a shorter queue wait")
)

// finishReply adds what the sender needs to choose a target for later statements.
func (t *target) finishReply(reply wire.StatementReply, arrivedAt time.Time) wire.StatementReply {
	reply.HeldFor = max(t.manager.cfg.Clock.Now().Sub(arrivedAt), 1)
	t.mu.Lock()
	reply.Failing = t.judge.Failing()
	t.mu.Unlock()
	return reply
}

// recordOutcome records whether a statement that has run for the given time failed. Errors that report load, lag or a
// mistake of the sender are not counted. A statement whose sender has given up counts as failed only if a response was
// overdue.
func (t *target) recordOutcome(err error, ran time.Duration, gaveUp bool) {
	if e, responded := errors.AsType[*verdict.Error](err); responded {
		switch e.Code {
		case verdict.CodeStatementFailed, verdict.CodeTimeout, verdict.CodeOutcomeUnknown:
		default:
			return
		}
	}
	now := t.manager.cfg.Clock.Now()
	t.mu.Lock()
	changed := false
	switch {
	case err == nil:
		changed = t.judge.RecordSuccess(now, ran)
	case !connBroken(err) || !gaveUp || t.judge.Overdue(ran):
		changed = t.judge.Record(now, true)
	}
	failing, share := t.judge.Failing(), t.judge.Failures()
	t.mu.Unlock()
	if changed {
		_ = level.Info(t.manager.logger).Log("msg", "target judged by outcomes", "target", t.name, "service", t.service, "failing", failing, "failures", share, "err", err)
	}
}
