package gateway

import (
	"context"
	"maps"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// attempt is a statement on its way to a target.
type attempt struct {
	s       *Session
	route   *catalog.Route
	team    string
	st      statement.Statement
	block   *statement.Statement // its BEGIN, for the first statement of a block
	arrived time.Time
	tried   map[string]bool
}

func (s *Session) run(ctx context.Context, arrived time.Time, st statement.Statement) (statement.Result, error) {
	if s.block != nil {
		return s.runInBlock(ctx, arrived, st)
	}
	route, team, err := s.admit()
	if err != nil {
		return statement.Result{}, err
	}
	s.team, s.target = team, ""
	if err := s.takeToken(ctx, team); err != nil {
		return statement.Result{}, err
	}
	a := &attempt{s: s, route: route, team: team, st: st, arrived: arrived}
	res, _, _, err := a.run(ctx)
	if err == nil && st.Kind == statement.Write {
		s.noteCommit(route.Service, res.Position)
	}
	return res, err
}

// runInBlock runs a statement of the open block. After an error the block has failed.
func (s *Session) runInBlock(ctx context.Context, arrived time.Time, st statement.Statement) (statement.Result, error) {
	b := s.block
	if b.begin.Kind == statement.BeginRead && st.Kind == statement.Write {
		s.failBlock()
		return statement.Result{}, verdict.New(verdict.NotRun, verdict.CodeReadOnly, "the block only reads")
	}
	res, err := s.inBlockStatement(ctx, arrived, st)
	if err != nil {
		s.failBlock()
		return res, err
	}
	b.wrote = b.wrote || st.Kind == statement.Write
	return res, nil
}

func (s *Session) inBlockStatement(ctx context.Context, arrived time.Time, st statement.Statement) (statement.Result, error) {
	b := s.block
	if b.link == nil {
		a := &attempt{s: s, route: b.route, team: b.team, st: st, block: &b.begin, arrived: arrived}
		res, at, link, err := a.run(ctx)
		b.link, b.at, b.values = link, at, s.values
		return res, err
	}
	next := wire.BlockStatementRequest{Timeout: b.route.Timeout, Statement: st}
	if !maps.Equal(b.values, s.values) {
		next.SettingsChanged, next.SessionSettings = true, s.values
		b.values = s.values
	}
	ctx, cancel := context.WithTimeout(ctx, b.route.Timeout+answerTravel)
	defer cancel()
	sent := s.g.cfg.Clock.Now()
	reply, err := b.link.Next(ctx, next)
	if err != nil {
		if st.Kind == statement.Commit {
			return statement.Result{}, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "no answer to the commit: %w", err)
		}
		return statement.Result{}, verdict.New(verdict.NotRun, verdict.CodeAborted, "the block was rolled back: %w", err)
	}
	s.g.router.learn(b.at, sent, &reply)
	return reply.Result, replyError(&reply)
}

// answerTravel is the time for an answer to travel beyond the statement's own timeout.
const answerTravel = 50 * time.Millisecond

// commit ends the block at its target. A block without a statement gets a target for its commit alone.
func (s *Session) commit(ctx context.Context, arrived time.Time, st statement.Statement) (statement.Result, error) {
	b := s.block
	if b == nil {
		return statement.Result{}, verdict.New(verdict.NotRun, verdict.CodeProtocol, "no block is open")
	}
	if b.failed {
		s.endBlock()
		return statement.Result{}, verdict.New(verdict.NotRun, verdict.CodeAborted, "the block had failed and was rolled back")
	}
	res, err := s.inBlockStatement(ctx, arrived, st)
	if err != nil && !b.wrote && verdict.Of(err) == verdict.MayHaveRun {
		err = verdict.New(verdict.NotRun, verdict.CodeAborted, "the block wrote nothing: %w", err)
	}
	if err == nil && b.wrote {
		s.noteCommit(b.route.Service, res.Position)
	}
	s.endBlock()
	return res, err
}

func replyError(reply *wire.StatementReply) error {
	if reply.Code == "" {
		return nil
	}
	return &verdict.Error{Verdict: verdict.Verdict(reply.Verdict), Code: reply.Code, Message: reply.Message}
}

// run sends the statement to targets until one has answered it, or until a retry could repeat an
// effect or comes too late.
func (a *attempt) run(ctx context.Context) (statement.Result, wire.TargetRoute, Block, error) {
	g := a.s.g
	hold := defaultHold
	if a.route.LatencyObjective > 0 {
		hold = a.route.LatencyObjective / holdPart
	}
	var last error
	a.tried = map[string]bool{}
	for tries := 0; ; {
		n := a.need()
		at, ok := g.router.choose(n, a.tried)
		if !ok && !n.primary { // all replicas were tried: the primary has what any of them lacks
			n.primary, n.after = true, position.Position{}
			at, ok = g.router.choose(n, nil)
		}
		if !ok {
			if last == nil {
				last = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "service %q has no usable target at present", a.route.Service)
			}
			if g.cfg.Clock.Now().Sub(a.arrived) >= hold || !pause(ctx, retryPause) {
				return statement.Result{}, at, nil, last
			}
			a.tried = map[string]bool{}
			continue
		}
		tries++
		res, link, err := a.send(ctx, at, n)
		if err == nil {
			return res, at, link, nil
		}
		last = err
		if !a.repeatable(err) || tries >= maxAttempts || ctx.Err() != nil || g.cfg.Clock.Now().Sub(a.arrived) >= a.route.Timeout*3/4 {
			return res, at, nil, err
		}
		g.metrics.retries.Inc()
		a.tried[at.Target] = true
		_ = level.Info(g.logger).Log("msg", "statement retried", "request", a.st.ID, "session", a.s.id, "database", a.s.database,
			"kind", a.st.Kind, "team", a.team, "target", at.Target, "holder", at.Holder, "primary", n.primary, "after", n.after,
			"code", verdict.As(err).Code, "err", verdict.As(err).Message)
		if n.primary {
			// An attempt without an answer is repeated in the time that is left, a refusal only as long as it
			// pays to wait.
			refused := verdict.Of(err) == verdict.NotRun
			if refused && g.cfg.Clock.Now().Sub(a.arrived) >= hold || !pause(ctx, retryPause) {
				return res, at, nil, err
			}
			a.tried = map[string]bool{}
		}
	}
}

// need returns what the statement needs under the present samples.
func (a *attempt) need() need {
	kind := a.st.Kind
	if a.block != nil {
		kind = a.block.Kind
	}
	writes := kind != statement.Read && kind != statement.BeginRead || a.s.unknown[a.route.Service]
	floor := a.s.floors[a.route.Service]
	if a.route.Mode == wire.ReadMaxAge {
		floor = position.Position{}
	}
	n, age := a.s.g.router.needOf(a.route, a.arrived, writes, floor)
	if !n.primary {
		a.s.g.metrics.age.Update(age.Seconds())
	}
	return n
}

// repeatable reports whether the statement may be sent again after an error: when nothing has run, and
// for reads, which have no effect. Refusals that another target would repeat are final.
func (a *attempt) repeatable(err error) bool {
	e := verdict.As(err)
	switch e.Code {
	case verdict.CodeUnknownStatement, verdict.CodeProtocol, verdict.CodeTooLarge:
		return false
	}
	if e.Verdict == verdict.NotRun {
		return true
	}
	return a.block == nil && a.st.Kind == statement.Read
}

// send sends the statement to one target.
func (a *attempt) send(ctx context.Context, at wire.TargetRoute, n need) (statement.Result, Block, error) {
	g := a.s.g
	left := a.route.Timeout - g.cfg.Clock.Now().Sub(a.arrived)
	if left <= 0 {
		return statement.Result{}, nil, verdict.New(verdict.NotRun, verdict.CodeTooBusy, "no time is left for the statement")
	}
	w := wire.StatementRequest{
		Target: at.Target, Team: a.team, Session: a.s.id, NeedsPrimary: n.primary, MinPosition: n.after,
		SessionSettings: a.s.values, Timeout: left, Priority: a.route.Priority, Statement: a.st,
	}
	if a.block != nil {
		w.StartsBlock, w.Begin = true, *a.block
	}
	limit := left + answerTravel
	if a.st.Kind == statement.Read && a.block == nil {
		limit = min(limit, hedgeTime+g.router.announced(at.Target))
	}
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := g.cfg.Clock.Now()
	a.s.team, a.s.target = a.team, at.Target
	g.router.begin(at.Target)
	reply, link, err := g.cfg.Holders.Start(ctx, at, w)
	if err != nil {
		g.router.done(at, sent, nil)
		if verdict.Of(err) == verdict.NotRun {
			return statement.Result{}, nil, err
		}
		if a.block != nil && a.st.Kind != statement.Commit {
			return statement.Result{}, nil, verdict.New(verdict.NotRun, verdict.CodeAborted, "the block was rolled back: %w", err)
		}
		return statement.Result{}, nil, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "no answer from the holder of the target: %w", err)
	}
	g.router.done(at, sent, &reply)
	if err := replyError(&reply); err != nil {
		if verdict.As(err).Code == verdict.CodeUnavailable {
			g.router.avoidFor(at.Target)
		}
		return reply.Result, nil, err
	}
	return reply.Result, link, nil
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// logFailure writes the line that leads from a caller's request to the cause of its failure.
func (g *Gateway) logFailure(s *Session, st statement.Statement, arrived time.Time, err error) {
	e := verdict.As(err)
	_ = level.Info(g.logger).Log("msg", "statement failed", "request", st.ID, "session", s.id, "database", s.database,
		"kind", st.Kind, "team", s.team, "target", s.target, "code", e.Code, "verdict", e.Verdict,
		"took", g.cfg.Clock.Now().Sub(arrived).Round(time.Millisecond), "deployment", g.index().Version(), "err", e.Message)
}
