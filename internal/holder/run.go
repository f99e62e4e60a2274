package holder

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/admission"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// longQueueWait is the shortest wait for a slot that is logged.
const longQueueWait = 200 * time.Millisecond

// priorityWeightRatio is the ratio between the queue weights of two adjacent priority levels.
const priorityWeightRatio = 2.0

// lowestPriority is the priority level of the least urgent routes.
const lowestPriority = 3

// priorityWeight returns the queue weight of a priority level from 0, the most urgent, to 3. Any other
// level counts as the nearest of these.
func priorityWeight(level int) float64 {
	weight := 1.0
	for range min(max(lowestPriority-level, 0), lowestPriority) {
		weight *= priorityWeightRatio
	}
	return weight
}

// weight returns the queue weight of a statement. Callers of open routes belong to no team and are owed no share: together
// they count as a team of the lowest priority, whatever the priority of their routes, so that a flood of them leaves a target
// to the teams.
func weight(team string, priority int) float64 {
	if team == catalog.OpenTeam {
		return priorityWeight(lowestPriority)
	}
	return priorityWeight(priority)
}

// queueRequest returns the request of a statement for the target's queue, without its deadline.
func queueRequest(req *wire.StatementRequest) admission.Request {
	return admission.Request{Target: queueName, Team: req.Team, Share: weight(req.Team, req.Priority), Class: req.Priority}
}

// acquire waits for a slot and then gets a connection. It returns the ticket for the slot, and the connection,
// on which the session's state has been set.
func (t *target) acquire(ctx context.Context, req *wire.StatementRequest) (*admission.Ticket, *conn, error) {
	enqueuedAt := t.manager.cfg.Clock.Now()
	startWithin, admitWithin := req.Timeout, req.Timeout
	if req.StartWithin > 0 {
		startWithin = min(startWithin, req.StartWithin)
		admitWithin = admission.AdmitWithin(startWithin)
	}
	waitCtx, stopWaiting := context.WithTimeout(ctx, startWithin)
	queued := queueRequest(req)
	queued.Deadline = enqueuedAt.Add(admitWithin)
	ticket, err := t.gate.AcquireFor(waitCtx, queued)
	stopWaiting()
	queueWait := t.manager.cfg.Clock.Now().Sub(enqueuedAt)
	t.manager.metrics.queueSeconds.Update(queueWait.Seconds())
	if err != nil || queueWait >= longQueueWait {
		queued, slots := t.gate.Load(queueName)
		_ = level.Info(t.manager.logger).Log("msg", "statement queued long", "request", req.Statement.ID, "session", req.Session, "team", req.Team,
			"target", t.name, "waited", queueWait.Round(time.Millisecond), "timeout", startWithin, "queued", queued, "slots", slots, "err", err)
	}
	if err != nil {
		return nil, nil, err
	}
	c, err := t.conns.get(ctx, req.Team, req.SessionSettings)
	if err != nil {
		ticket.Release()
		return nil, nil, asNotRun(err)
	}
	if err := c.applySession(ctx, req.SessionSettings, req.Statement); err != nil {
		t.conns.drop(c)
		ticket.Release()
		return nil, nil, asNotRun(err)
	}
	if err := ctx.Err(); err != nil { // the caller has left, or no time is left
		t.conns.put(c)
		ticket.Release()
		return nil, nil, asNotRun(err)
	}
	return ticket, c, nil
}

// asNotRun returns err if its verdict is NotRun, and otherwise wraps it in an error with that verdict and
// CodeUnavailable. It is for errors before the first statement was sent.
func asNotRun(err error) error {
	if verdict.Of(err) == verdict.NotRun {
		return err
	}
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the statement was not sent to the target: %w", err)
}

// runSingle runs a statement outside of a block.
func (t *target) runSingle(ctx context.Context, req wire.StatementRequest) wire.StatementReply {
	if err := t.beginWork(req.NeedsPrimary); err != nil {
		return errorReply(err)
	}
	defer t.endWork(req.NeedsPrimary)
	ctx, stop := t.cancelOnRevoke(ctx, req.NeedsPrimary)
	defer stop()
	ticket, c, err := t.acquire(ctx, &req)
	if err != nil {
		t.manager.metrics.countOutcome(verdict.As(err).Code)
		return errorReply(err)
	}
	defer ticket.Release()
	if err := t.mayStart(req.NeedsPrimary); err != nil {
		t.conns.put(c)
		return errorReply(err)
	}
	res, err := t.exec(ctx, c, req.Statement, req.MinPosition, false)
	if connBroken(err) {
		t.conns.drop(c)
	} else {
		t.conns.put(c)
	}
	if err == nil && req.Statement.Kind == statement.Write && !t.valid(true) {
		err = errCommitAfterLease()
	}
	if err != nil {
		t.logFailure(req.Statement, req.Team, req.Session, err)
		return errorReply(err)
	}
	return resultReply(res)
}

// logFailure logs a statement that failed at the target or on the connection to it.
func (t *target) logFailure(st statement.Statement, team, session string, err error) {
	e := verdict.As(err)
	_ = level.Info(t.manager.logger).Log("msg", "statement not completed", "request", st.ID, "session", session, "kind", st.Kind,
		"team", team, "target", t.name, "epoch", t.epoch, "code", e.Code, "verdict", e.Verdict, "err", err)
}

// connBroken reports whether an error leaves the connection in an unknown state, that is, whether it is not
// a response of the target.
func connBroken(err error) bool {
	if err == nil {
		return false
	}
	_, responded := errors.AsType[*verdict.Error](err)
	return !responded
}

// exec runs a statement on a connection. An error that is not a response of the target has no verdict.
func (t *target) exec(ctx context.Context, c *conn, st statement.Statement, minPosition position.Position, inBlock bool) (statement.Result, error) {
	startedAt := t.manager.cfg.Clock.Now()
	running := t.recordStart(waitsForReplicas(st, inBlock))
	res, err := c.Run(ctx, st, minPosition)
	switch { // before the statement counts as finished: until then the bound of acknowledged commits doesn't pass its start
	case err == nil:
		t.recordPosition(startedAt, res.Position, running.waitsForReplicas)
	case connBroken(err) && running.waitsForReplicas:
		t.recordLostCommit(startedAt)
	}
	t.recordFinish(running, !connBroken(err) && !refusedAsCold(err))
	if refusedAsCold(err) {
		t.manager.metrics.countOutcome(verdict.CodeTooBusy)
		return res, err
	}
	ran := t.manager.cfg.Clock.Now().Sub(startedAt)
	t.manager.metrics.runSeconds.Update(ran.Seconds())
	t.recordOutcome(err, ran, ctx.Err() != nil)
	if connBroken(err) {
		if ctx.Err() == nil {
			t.recordUnreachable(startedAt)
		}
		t.manager.metrics.countOutcome(verdict.CodeOutcomeUnknown)
		return res, err
	}
	t.recordContact()
	if err != nil {
		t.manager.metrics.countOutcome(verdict.As(err).Code)
		t.recordRefusal(err, minPosition, res.Position)
		return res, err
	}
	t.manager.metrics.countOutcome("")
	return res, nil
}

// Block is an open transaction block at a target. Next is called by one goroutine at a time.
type Block struct {
	target       *target
	ticket       *admission.Ticket
	conn         *conn
	needsPrimary bool
	team         string
	session      string // of the caller, for logs
	settings     map[string]string

	// sem is held while a statement runs; abortAsync waits for it.
	sem        chan struct{}
	ended      bool
	abortCause error // set by abortAsync; nil if the block ended otherwise
}

// startBlock begins a block and runs its first statement. The Block is nil if it has already ended.
func (t *target) startBlock(ctx context.Context, req wire.StatementRequest) (wire.StatementReply, *Block) {
	if err := t.beginWork(req.NeedsPrimary); err != nil {
		return errorReply(err), nil
	}
	ctx, stop := t.cancelOnRevoke(ctx, req.NeedsPrimary)
	defer stop()
	ticket, c, err := t.acquire(ctx, &req)
	if err != nil {
		t.endWork(req.NeedsPrimary)
		t.manager.metrics.countOutcome(verdict.As(err).Code)
		return errorReply(err), nil
	}
	b := &Block{target: t, ticket: ticket, conn: c, needsPrimary: req.NeedsPrimary, team: req.Team, session: req.Session, settings: req.SessionSettings, sem: make(chan struct{}, 1)}
	t.mu.Lock()
	t.blocks[b] = struct{}{}
	t.mu.Unlock()
	b.sem <- struct{}{}
	defer func() { <-b.sem }()
	if err := t.mayStart(req.NeedsPrimary); err != nil {
		b.finish(true)
		return errorReply(err), nil
	}
	if res, err := c.Run(ctx, req.Begin, req.MinPosition); err != nil {
		t.recordRefusal(err, req.MinPosition, res.Position)
		b.finish(!connBroken(err))
		return errorReply(asNotRun(err)), nil
	}
	reply := b.runStatement(ctx, req.Statement)
	if b.ended {
		return reply, nil
	}
	return reply, b
}

// Ended reports whether the block has ended.
func (b *Block) Ended() bool {
	b.sem <- struct{}{}
	defer func() { <-b.sem }()
	return b.ended
}

// Next runs the next statement of the block.
func (b *Block) Next(ctx context.Context, req wire.BlockStatementRequest) wire.StatementReply {
	b.sem <- struct{}{}
	defer func() { <-b.sem }()
	if b.ended {
		return errorReply(errBlockEnded(b.abortCause))
	}
	if req.SettingsChanged {
		b.settings = req.SessionSettings
	}
	ctx, cancel := context.WithTimeout(ctx, max(req.Timeout, time.Millisecond))
	defer cancel()
	ctx, stop := b.target.cancelOnRevoke(ctx, b.needsPrimary)
	defer stop()
	if err := b.ticket.Resume(ctx); err != nil {
		b.finish(false)
		return errorReply(errBlockAborted(err))
	}
	if err := b.conn.applySession(ctx, b.settings, req.Statement); err != nil {
		b.finish(false)
		return errorReply(errBlockAborted(err))
	}
	reply := b.runStatement(ctx, req.Statement)
	b.target.addQueueWait(&reply)
	return reply
}

// errBlockEnded returns the error of a statement that arrives after the end of its block. The abortCause is that
// of abortAsync, or nil if the block ended otherwise, for example by a COMMIT.
func errBlockEnded(abortCause error) error {
	if abortCause == nil {
		return verdict.New(verdict.NotRun, verdict.CodeAborted, "the block has already ended")
	}
	return errBlockAborted(abortCause)
}

// errBlockAborted returns the error of a statement whose block was rolled back.
func errBlockAborted(cause error) error {
	return verdict.New(verdict.NotRun, verdict.CodeAborted, "the block was rolled back: %w", cause)
}

// runStatement runs a statement, and then pauses the ticket, which releases the slot until the next statement.
// b.sem is held, and the ticket is not paused.
func (b *Block) runStatement(ctx context.Context, st statement.Statement) wire.StatementReply {
	if b.target.isClosedByOrder() {
		b.finish(false)
		return errorReply(errBlockAborted(errPlaceEmptied))
	}
	if st.Kind == statement.Commit && !b.target.valid(b.needsPrimary) {
		b.finish(false)
		return errorReply(errBlockAborted(errLeaseEnded))
	}
	res, err := b.target.exec(ctx, b.conn, st, position.Position{}, true)
	if err != nil {
		b.target.logFailure(st, b.team, b.session, err)
	}
	if st.Kind == statement.Commit {
		return b.finishCommit(res, err)
	}
	if connBroken(err) {
		b.finish(false)
		return errorReply(errBlockAborted(err))
	}
	if err != nil {
		b.rollBack() // a statement error fails the block at the target
		return errorReply(err)
	}
	b.ticket.Pause()
	return resultReply(res)
}

// finishCommit ends the block after its COMMIT, with the target's result or error.
func (b *Block) finishCommit(res statement.Result, err error) wire.StatementReply {
	leaseValid := b.target.valid(b.needsPrimary)
	b.finish(!connBroken(err) && res.Status == statement.Idle)
	switch {
	case connBroken(err):
		return errorReply(verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "no response to COMMIT: %w", err))
	case err != nil:
		return errorReply(err)
	case b.needsPrimary && !leaseValid:
		return errorReply(errCommitAfterLease())
	}
	return resultReply(res)
}

// finish ends the block and releases its connection and slot. The connection is kept if it is reusable,
// that is, if no block is open on it any more. b.sem is held.
func (b *Block) finish(reusable bool) {
	if b.ended {
		return
	}
	b.ended = true
	if reusable {
		b.target.conns.put(b.conn)
	} else {
		b.target.conns.drop(b.conn)
	}
	b.ticket.Release()
	b.target.mu.Lock()
	delete(b.target.blocks, b)
	b.target.mu.Unlock()
	b.target.endWork(b.needsPrimary)
}

// rollbackTimeout bounds the wait for the response to a ROLLBACK.
const rollbackTimeout = 500 * time.Millisecond

// Close rolls the block back if it is open.
func (b *Block) Close() {
	b.sem <- struct{}{}
	defer func() { <-b.sem }()
	if !b.ended {
		b.rollBack()
	}
}

// rollBack rolls the block back. It keeps the connection if the target confirms the rollback. b.sem is held.
func (b *Block) rollBack() {
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	res, err := b.conn.Run(ctx, statement.Statement{ID: statement.InternalID, Kind: statement.Rollback, Text: "ROLLBACK"}, position.Position{})
	b.finish(err == nil && res.Status == statement.Idle)
}

// abortAsync ends the block in the background, once its running statement has ended. It closes the connection,
// which rolls the block back at the target.
func (b *Block) abortAsync(cause error) {
	go func() {
		b.sem <- struct{}{}
		defer func() { <-b.sem }()
		b.abortCause = cause
		b.finish(false)
	}()
}
