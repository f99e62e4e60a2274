package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/admission"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// statementRun is the execution of one statement, with retries at other targets.
type statementRun struct {
	session    *Session
	route      *catalog.Route
	team       string
	st         statement.Statement
	blockBegin *statement.Statement // BEGIN of the block whose first statement this is; otherwise nil
	arrived    time.Time
	tried      map[string]bool          // targets to which the statement was sent and that are not chosen again
	declined   map[string]time.Duration // targets whose holders have declined the statement, with the waits they expected
	// onlyPrimary is set once no position is known by which a replica could be judged recent enough.
	onlyPrimary bool
}

func (s *Session) runStatement(ctx context.Context, arrived time.Time, st statement.Statement) (statement.Result, error) {
	if s.block != nil {
		return s.runInBlock(ctx, arrived, st)
	}
	route, team, err := s.admit()
	if err != nil {
		return statement.Result{}, err
	}
	s.lastTeam, s.lastTarget = team, ""
	if err := s.acquireRateToken(ctx, route, team); err != nil {
		return statement.Result{}, err
	}
	run := &statementRun{session: s, route: route, team: team, st: st, arrived: arrived}
	res, _, _, err := run.execute(ctx)
	if err == nil && st.Kind == statement.Write {
		s.recordCommit(route.Service, res.Position)
	}
	return res, err
}

// runInBlock runs a statement of the open block. An error fails the block.
func (s *Session) runInBlock(ctx context.Context, arrived time.Time, st statement.Statement) (statement.Result, error) {
	b := s.block
	if b.begin.Kind == statement.BeginRead && st.Kind == statement.Write {
		s.failBlock()
		return statement.Result{}, verdict.New(verdict.NotRun, verdict.CodeReadOnly, "write statement in a read-only block")
	}
	res, err := s.sendInBlock(ctx, arrived, st)
	if err != nil {
		s.failBlock()
		return res, err
	}
	b.wrote = b.wrote || st.Kind == statement.Write
	return res, nil
}

func (s *Session) sendInBlock(ctx context.Context, arrived time.Time, st statement.Statement) (statement.Result, error) {
	b := s.block
	if b.holderBlock == nil {
		run := &statementRun{session: s, route: b.route, team: b.team, st: st, blockBegin: &b.begin, arrived: arrived}
		res, targetRoute, openBlock, err := run.execute(ctx)
		b.holderBlock, b.targetRoute, b.holderSettings = openBlock, targetRoute, s.settings
		return res, err
	}
	msg := wire.BlockStatementRequest{Timeout: b.route.Timeout, Statement: st}
	if !maps.Equal(b.holderSettings, s.settings) {
		msg.SettingsChanged, msg.SessionSettings = true, s.settings
		b.holderSettings = s.settings
	}
	ctx, cancel := context.WithTimeout(ctx, b.route.Timeout+replyMargin)
	defer cancel()
	reply, err := b.holderBlock.Next(ctx, msg)
	if err != nil {
		if st.Kind == statement.Commit {
			return statement.Result{}, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "no response to COMMIT: %w", err)
		}
		return statement.Result{}, verdict.New(verdict.NotRun, verdict.CodeAborted, "the block was rolled back: %w", err)
	}
	s.gateway.router.recordBlockReply(b.targetRoute, &reply)
	return reply.Result, replyError(&reply)
}

// replyMargin is added to a statement's timeout for the network round trip of its reply.
const replyMargin = 50 * time.Millisecond

// commit ends the block at its target. The COMMIT of a block without statements is sent like a first
// statement.
func (s *Session) commit(ctx context.Context, arrived time.Time, st statement.Statement) (statement.Result, error) {
	b := s.block
	if b == nil {
		return statement.Result{}, verdict.New(verdict.NotRun, verdict.CodeProtocol, "no block is open")
	}
	if b.failed {
		s.endBlock()
		return statement.Result{}, verdict.New(verdict.NotRun, verdict.CodeAborted, "the block had failed before COMMIT and was rolled back")
	}
	res, err := s.sendInBlock(ctx, arrived, st)
	if err != nil && !b.wrote && verdict.Of(err) == verdict.MayHaveRun {
		err = verdict.New(verdict.NotRun, verdict.CodeAborted, "the block wrote nothing: %w", err)
	}
	if err == nil && b.wrote {
		s.recordCommit(b.route.Service, res.Position)
	}
	s.endBlock()
	return res, err
}

func replyError(reply *wire.StatementReply) error {
	if reply.Code == "" {
		return nil
	}
	return &verdict.Error{Verdict: verdict.Verdict(reply.Verdict), Code: reply.Code, Message: reply.Message, RetryAfter: reply.RetryAfter}
}

// execute sends the statement to targets until one has run it, or until a retry could repeat an effect or
// would come too late.
func (run *statementRun) execute(ctx context.Context) (statement.Result, wire.TargetRoute, Block, error) {
	g := run.session.gateway
	waitLimit := targetWaitLimit(run.route)
	var lastErr error
	run.tried = map[string]bool{}
	for attempts := 0; ; {
		req := run.requirement()
		chosen, ok := g.router.choose(req, g.router.excluded(req, run, run.tried))
		if !ok && !req.primary { // all replicas were tried; the primary has all data that they may lack
			req.primary, req.minPosition, req.maxAge = true, position.Position{}, 0
			chosen, ok = g.router.choose(req, g.router.excluded(req, run, nil))
		}
		targetRoute := chosen.TargetRoute
		if !ok {
			if g.router.allEmptied(run.route.Service) {
				return statement.Result{}, targetRoute, nil, run.errNoTarget(0)
			}
			wait := g.router.untilAdmitted(run)
			if lastErr == nil || wait > 0 && verdict.Of(lastErr) == verdict.NotRun {
				lastErr = run.errNoTarget(wait)
				if wait > 0 {
					g.metrics.refusedBusy.Inc()
				}
			}
			if run.elapsed()+max(wait, retryInterval) > waitLimit || !sleep(ctx, retryInterval) {
				return statement.Result{}, targetRoute, nil, lastErr
			}
			run.tried = map[string]bool{}
			continue
		}
		res, openBlock, err := run.send(ctx, chosen, req)
		if err != nil && chosen.declineAbove > 0 && verdict.As(err).Code == verdict.CodeDeclined {
			continue
		}
		attempts++
		if share, strong := g.router.recordPlace(chosen.reason); strong {
			_ = level.Info(g.logger).Log("msg", "share of statements that leave the place changed", "place", g.cfg.Place, "share", share, "reason", chosen.reason)
		}
		if err == nil {
			return res, targetRoute, openBlock, nil
		}
		lastErr = err
		if !run.retryable(err) || attempts >= maxAttempts || ctx.Err() != nil || run.elapsed() >= run.route.Timeout*3/4 {
			return res, targetRoute, nil, err
		}
		g.metrics.retries.Inc()
		run.tried[targetRoute.Target] = true
		if verdict.As(err).Code == verdict.CodePositionUnknown {
			run.onlyPrimary = true // the holder has asked those of the other replicas
		}
		_ = level.Info(g.logger).Log("msg", "statement retried", "request", run.st.ID, "session", run.session.id, "database", run.session.database,
			"kind", run.st.Kind, "team", run.team, "target", targetRoute.Target, "holder", targetRoute.Holder, "primary", req.primary, "after", req.minPosition,
			"code", verdict.As(err).Code, "err", verdict.As(err).Message)
		if req.primary {
			// An attempt without a reply is repeated within the timeout of the route; a refusal only within
			// the wait limit.
			refused := verdict.Of(err) == verdict.NotRun
			if refused && run.elapsed()+max(verdict.As(err).RetryAfter, retryInterval) > waitLimit || !sleep(ctx, retryInterval) {
				return res, targetRoute, nil, err
			}
			run.tried = map[string]bool{}
		}
	}
}

// targetWaitLimit returns how long a statement of a route may wait for a usable target.
func targetWaitLimit(route *catalog.Route) time.Duration {
	if route.LatencyObjective > 0 {
		return route.LatencyObjective / targetWaitDivisor
	}
	return defaultTargetWait
}

// elapsed returns the time since the statement arrived.
func (run *statementRun) elapsed() time.Duration {
	return run.session.gateway.cfg.Clock.Now().Sub(run.arrived)
}

// startWithin returns how long the statement may still wait for its start at a target with the given time to a reply.
func (run *statementRun) startWithin(unqueuedTime time.Duration) time.Duration {
	patience := admission.Patience{Objective: run.route.LatencyObjective, Timeout: run.route.Timeout}
	return patience.StartWithin(run.elapsed(), unqueuedTime)
}

// errNoTarget returns the error of a statement for which no target can be chosen. wait is the time until one may admit it, if
// they are busy.
func (run *statementRun) errNoTarget(wait time.Duration) error {
	service := run.route.Service
	switch {
	case run.session.gateway.router.allEmptied(service):
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "all targets of service %q are in emptied places", service)
	case wait > 0:
		return verdict.New(verdict.NotRun, verdict.CodeTooBusy, "the targets of service %q are too busy to start a statement in time", service).WithRetryAfter(wait)
	}
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "service %q has no usable target at present", service)
}

// requirement returns what the statement requires of its target.
func (run *statementRun) requirement() requirement {
	kind := run.st.Kind
	if run.blockBegin != nil {
		kind = run.blockBegin.Kind
	}
	s, service := run.session, run.route.Service
	req := requirementFor(run.route, kind, s.commitFloors[service], s.unknownCommits[service] || run.onlyPrimary, s.gateway.cfg.TrafficCost)
	req.declined = run.declined
	return req
}

// recordDecline records that the holder of a target has declined the statement, and the queue wait that it expects. Each
// target may decline once.
func (run *statementRun) recordDecline(target string, wait time.Duration) {
	if run.declined == nil {
		run.declined = map[string]time.Duration{}
	}
	run.declined[target] = wait
	run.session.gateway.metrics.declines.Inc()
}

// retryable reports whether the statement may be sent again after an error: if nothing has run, or if it is a
// read outside of a block, which has no effect. Refusals that every target would repeat are not retried.
func (run *statementRun) retryable(err error) bool {
	e := verdict.As(err)
	switch e.Code {
	case verdict.CodeUnknownStatement, verdict.CodeProtocol, verdict.CodeTooLarge:
		return false
	}
	if e.Verdict == verdict.NotRun {
		return true
	}
	return run.blockBegin == nil && run.st.Kind == statement.Read
}

// send sends the statement to one target.
func (run *statementRun) send(ctx context.Context, chosen choice, req requirement) (statement.Result, Block, error) {
	g, targetRoute := run.session.gateway, chosen.TargetRoute
	remaining := run.route.Timeout - run.elapsed()
	if remaining <= 0 {
		return statement.Result{}, nil, verdict.New(verdict.NotRun, verdict.CodeTooBusy, "the timeout of %v has passed before the statement was sent", run.route.Timeout)
	}
	msg := wire.StatementRequest{
		Target: targetRoute.Target, Team: run.team, Session: run.session.id, NeedsPrimary: req.primary, MinPosition: req.minPosition, MaxAge: req.maxAge,
		SessionSettings: run.session.settings, Timeout: remaining, Priority: run.route.Priority, Statement: run.st,
		DeclineAbove: chosen.declineAbove,
	}
	announcedWait := max(g.router.announcedWait(targetRoute.Target), g.router.teamWait(targetRoute.Target, run.team))
	if run.route.LatencyObjective > 0 {
		msg.StartWithin = max(run.startWithin(g.router.unqueuedTime(targetRoute.Target)), minStartWithin)
	}
	if run.blockBegin != nil {
		msg.StartsBlock, msg.Begin = true, *run.blockBegin
	}
	limit := remaining + replyMargin
	if run.st.Kind == statement.Read && run.blockBegin == nil {
		limit = min(limit, readAttemptTimeout+announcedWait)
		if msg.StartWithin > 0 {
			msg.StartWithin = min(msg.StartWithin, max(limit-readRunTimeout, minStartWithin)) // so that the holder refuses the read before it is given up
		}
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	run.session.lastTeam, run.session.lastTarget = run.team, targetRoute.Target
	g.router.recordSent(targetRoute.Target)
	g.metrics.sent[chosen.reason].Inc()
	sentAt := g.cfg.Clock.Now()
	reply, openBlock, err := g.cfg.Holders.Start(ctx, targetRoute, msg)
	if err != nil {
		g.router.recordReply(targetRoute, nil, 0)
		if verdict.Of(err) == verdict.NotRun {
			return statement.Result{}, nil, err
		}
		if run.blockBegin != nil && run.st.Kind != statement.Commit {
			return statement.Result{}, nil, verdict.New(verdict.NotRun, verdict.CodeAborted, "the block was rolled back: %w", err)
		}
		return statement.Result{}, nil, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "no reply from the holder of target %q: %w", targetRoute.Target, err)
	}
	g.router.recordReply(targetRoute, &reply, g.cfg.Clock.Now().Sub(sentAt))
	if err := replyError(&reply); err != nil {
		switch verdict.As(err).Code {
		case verdict.CodeDeclined:
			run.recordDecline(targetRoute.Target, reply.ExpectedQueueWait)
		case verdict.CodeTooBusy:
			g.router.recordBusy(targetRoute.Target, run.team, msg.StartWithin, reply.RetryAfter)
		case verdict.CodeUnavailable:
			g.router.avoidForReads(targetRoute.Target)
		case verdict.CodeReplicaBehind: // its holder has already waited for a replica that is a moment behind
			g.router.recordBehind(targetRoute.Target, req, &reply)
		}
		return reply.Result, nil, err
	}
	if announcedWait == 0 && reply.ExpectedQueueWait == 0 {
		g.router.recordUnqueuedTime(targetRoute.Target, g.cfg.Clock.Now().Sub(sentAt))
	}
	return reply.Result, openBlock, nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// logFailure logs a failed statement with the keys that the logs of other hosts have for the same request.
func (g *Gateway) logFailure(s *Session, st statement.Statement, arrived time.Time, err error) {
	e := verdict.As(err)
	_ = level.Info(g.logger).Log("msg", "statement failed", "request", st.ID, "session", s.id, "database", s.database,
		"kind", st.Kind, "team", s.lastTeam, "target", s.lastTarget, "code", e.Code, "verdict", e.Verdict,
		"took", g.cfg.Clock.Now().Sub(arrived).Round(time.Millisecond), "deployment", g.index().Version(), "err", e.Message)
}
