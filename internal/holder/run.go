package holder

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/admission"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// longWait is the wait for a slot that is worth a line in the log.
const longWait = 200 * time.Millisecond

// priorityShare is the share of a queue that a priority level has over the next one.
const priorityShare = 2.0

// share returns the weight of work with a priority, 0 being the most urgent.
func share(priority int) float64 {
	weight := 1.0
	for range min(max(3-priority, 0), 3) {
		weight *= priorityShare
	}
	return weight
}

// acquire waits for a slot and a connection, and fits the connection to the session.
func (t *target) acquire(ctx context.Context, w *wire.StatementRequest) (*admission.Ticket, *conn, error) {
	began := t.m.cfg.Clock.Now()
	ticket, err := t.gate.Acquire(ctx, w.Team, lane, share(w.Priority), began.Add(w.Timeout))
	waited := t.m.cfg.Clock.Now().Sub(began)
	t.m.metrics.queue.Update(waited.Seconds())
	if err != nil || waited >= longWait {
		requests, slots := t.gate.Load(lane)
		_ = level.Info(t.m.logger).Log("msg", "statement queued long", "request", w.Statement.ID, "session", w.Session, "team", w.Team,
			"target", t.name, "waited", waited.Round(time.Millisecond), "timeout", w.Timeout, "queued", requests, "slots", slots, "err", err)
	}
	if err != nil {
		return nil, nil, err
	}
	c, err := t.conns.get(ctx, w.Team, w.SessionSettings)
	if err != nil {
		ticket.Release()
		return nil, nil, notRun(err)
	}
	if err := c.fit(ctx, w.SessionSettings, w.Statement); err != nil {
		t.conns.drop(c)
		ticket.Release()
		return nil, nil, notRun(err)
	}
	return ticket, c, nil
}

// notRun gives an error from before the first statement the verdict NotRun.
func notRun(err error) error {
	if verdict.Of(err) == verdict.NotRun {
		return err
	}
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "nothing was sent: %w", err)
}

// runSingle runs a statement outside of a block.
func (t *target) runSingle(ctx context.Context, w wire.StatementRequest) wire.StatementReply {
	if err := t.begin(w.NeedsPrimary); err != nil {
		return failed(err)
	}
	defer t.end(w.NeedsPrimary)
	ctx, done := t.cuttable(ctx, w.NeedsPrimary)
	defer done()
	ticket, c, err := t.acquire(ctx, &w)
	if err != nil {
		t.m.metrics.outcome(verdict.As(err).Code)
		return failed(err)
	}
	defer ticket.Release()
	if !t.valid(w.NeedsPrimary) {
		t.conns.put(c)
		return failed(errLeaseEnded)
	}
	res, err := t.exec(ctx, c, w.Statement, w.MinPosition, false)
	if broken(err) {
		t.conns.drop(c)
	} else {
		t.conns.put(c)
	}
	if err == nil && w.Statement.Kind == statement.Write && !t.valid(true) {
		err = errUnconfirmed()
	}
	if err != nil {
		t.logOutcome(w.Statement, w.Team, w.Session, err)
		return failed(err)
	}
	return succeeded(res)
}

// logOutcome writes what a target, or the connection to it, made of a statement that didn't succeed.
func (t *target) logOutcome(st statement.Statement, team, session string, err error) {
	e := verdict.As(err)
	_ = level.Info(t.m.logger).Log("msg", "statement not completed", "request", st.ID, "session", session, "kind", st.Kind,
		"team", team, "target", t.name, "epoch", t.epoch, "code", e.Code, "verdict", e.Verdict, "err", err)
}

// broken reports whether an error leaves the connection in an unknown state.
func broken(err error) bool {
	if err == nil {
		return false
	}
	_, answered := errors.AsType[*verdict.Error](err)
	return !answered
}

// exec runs a statement on a connection. An error that isn't the target's answer has no verdict.
func (t *target) exec(ctx context.Context, c *conn, st statement.Statement, after position.Position, block bool) (statement.Result, error) {
	began := t.m.cfg.Clock.Now()
	r := t.start(commits(st, block))
	res, err := c.Run(ctx, st, after)
	t.finish(r, !broken(err))
	t.m.metrics.run.Update(t.m.cfg.Clock.Now().Sub(began).Seconds())
	if broken(err) {
		if ctx.Err() == nil {
			t.unheard(began)
		}
		t.m.metrics.outcome(verdict.CodeOutcomeUnknown)
		return res, err
	}
	t.heard()
	if err != nil {
		t.m.metrics.outcome(verdict.As(err).Code)
		return res, err
	}
	t.m.metrics.outcome("")
	t.note(began, res.Position)
	return res, nil
}

// Block is an open block at a target. Next is called by one goroutine at a time.
type Block struct {
	t       *target
	ticket  *admission.Ticket
	conn    *conn
	primary bool
	team    string
	session string // of the caller, for logs
	values  map[string]string

	// turn holds one token while a statement runs, so that abort waits for its end.
	turn  chan struct{}
	over  bool
	cause error // why it was rolled back between two statements
}

// startBlock begins a block and runs its first statement. The Block is nil if nothing is left open.
func (t *target) startBlock(ctx context.Context, w wire.StatementRequest) (wire.StatementReply, *Block) {
	if err := t.begin(w.NeedsPrimary); err != nil {
		return failed(err), nil
	}
	ctx, done := t.cuttable(ctx, w.NeedsPrimary)
	defer done()
	ticket, c, err := t.acquire(ctx, &w)
	if err != nil {
		t.end(w.NeedsPrimary)
		t.m.metrics.outcome(verdict.As(err).Code)
		return failed(err), nil
	}
	b := &Block{t: t, ticket: ticket, conn: c, primary: w.NeedsPrimary, team: w.Team, session: w.Session, values: w.SessionSettings, turn: make(chan struct{}, 1)}
	t.mu.Lock()
	t.blocks[b] = struct{}{}
	t.mu.Unlock()
	b.turn <- struct{}{}
	defer func() { <-b.turn }()
	if !t.valid(w.NeedsPrimary) {
		b.finish(true)
		return failed(errLeaseEnded), nil
	}
	if _, err := c.Run(ctx, w.Begin, w.MinPosition); err != nil {
		b.finish(!broken(err))
		return failed(notRun(err)), nil
	}
	reply := b.run(ctx, w.Statement)
	if b.over {
		return reply, nil
	}
	return reply, b
}

// Ended reports whether the block has ended.
func (b *Block) Ended() bool {
	b.turn <- struct{}{}
	defer func() { <-b.turn }()
	return b.over
}

// Next runs a further statement of the block.
func (b *Block) Next(ctx context.Context, n wire.BlockStatementRequest) wire.StatementReply {
	b.turn <- struct{}{}
	defer func() { <-b.turn }()
	if b.over {
		return failed(aborted(b.cause))
	}
	if n.SettingsChanged {
		b.values = n.SessionSettings
	}
	ctx, cancel := context.WithTimeout(ctx, max(n.Timeout, time.Millisecond))
	defer cancel()
	ctx, done := b.t.cuttable(ctx, b.primary)
	defer done()
	if err := b.ticket.Resume(ctx); err != nil {
		b.finish(false)
		return failed(aborted(err))
	}
	if err := b.conn.fit(ctx, b.values, n.Statement); err != nil {
		b.finish(false)
		return failed(aborted(err))
	}
	reply := b.run(ctx, n.Statement)
	b.t.annotate(&reply)
	return reply
}

// aborted says that the block was rolled back.
func aborted(cause error) error {
	if cause == nil {
		cause = errLeaseEnded
	}
	return verdict.New(verdict.NotRun, verdict.CodeAborted, "the block was rolled back: %w", cause)
}

// run runs a statement while the block holds its slot. b.turn is held.
func (b *Block) run(ctx context.Context, st statement.Statement) wire.StatementReply {
	if st.Kind == statement.Commit && !b.t.valid(b.primary) {
		b.finish(false)
		return failed(aborted(errLeaseEnded))
	}
	res, err := b.t.exec(ctx, b.conn, st, position.Position{}, true)
	if err != nil {
		b.t.logOutcome(st, b.team, b.session, err)
	}
	if st.Kind == statement.Commit {
		return b.committed(res, err)
	}
	if broken(err) {
		b.finish(false)
		return failed(aborted(err))
	}
	if err != nil {
		b.rollBack() // the target has failed the block
		return failed(err)
	}
	b.ticket.Pause()
	return succeeded(res)
}

// committed ends the block after its COMMIT was sent.
func (b *Block) committed(res statement.Result, err error) wire.StatementReply {
	valid := b.t.valid(b.primary)
	b.finish(!broken(err) && res.Status == statement.Idle)
	switch {
	case broken(err):
		return failed(verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "no answer to the commit: %w", err))
	case err != nil:
		return failed(err)
	case b.primary && !valid:
		return failed(errUnconfirmed())
	}
	return succeeded(res)
}

// finish gives everything back. keep says that the connection is outside of any block.
func (b *Block) finish(keep bool) {
	if b.over {
		return
	}
	b.over = true
	if keep {
		b.t.conns.put(b.conn)
	} else {
		b.t.conns.drop(b.conn)
	}
	b.ticket.Release()
	b.t.mu.Lock()
	delete(b.t.blocks, b)
	b.t.mu.Unlock()
	b.t.end(b.primary)
}

// rollbackTimeout bounds the wait for the answer to a rollback.
const rollbackTimeout = 500 * time.Millisecond

// Close rolls the block back if it is open.
func (b *Block) Close() {
	b.turn <- struct{}{}
	defer func() { <-b.turn }()
	if !b.over {
		b.rollBack()
	}
}

// rollBack rolls the block back and keeps the connection if the target says that it has. b.turn is held.
func (b *Block) rollBack() {
	ctx, cancel := context.WithTimeout(context.Background(), rollbackTimeout)
	defer cancel()
	res, err := b.conn.Run(ctx, statement.Statement{ID: statement.InternalID, Kind: statement.Rollback, Text: "ROLLBACK"}, position.Position{})
	b.finish(err == nil && res.Status == statement.Idle)
}

// abort rolls the block back from another goroutine, after a running statement.
func (b *Block) abort(cause error) {
	go func() {
		b.turn <- struct{}{}
		defer func() { <-b.turn }()
		b.cause = cause
		b.finish(false)
	}()
}
