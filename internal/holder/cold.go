package holder

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/statement"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/warmup"
)

// errTargetCold refuses a statement that was not sent. It is not a response of the target.
var errTargetCold = verdict.New(verdict.NotRun, verdict.CodeTooBusy, "the target is cold and gets no more statements at present")

// limitedConn is a connection whose statements are counted while the target is cold. Those beyond its limit are refused
// with errTargetCold, and the connection stays as it is.
type limitedConn struct {
	Conn
	target *target
}

func (c limitedConn) Run(ctx context.Context, st statement.Statement, minPosition position.Position) (statement.Result, error) {
	if err := c.target.admit(); err != nil {
		return statement.Result{Status: statement.Block}, err // a block that was open still is
	}
	return c.Conn.Run(ctx, st, minPosition)
}

func (c limitedConn) Set(ctx context.Context, name, value string) error {
	if err := c.target.admit(); err != nil {
		return err
	}
	return c.Conn.Set(ctx, name, value)
}

func (c limitedConn) Prepare(ctx context.Context, def statement.Definition) error {
	if err := c.target.admit(); err != nil {
		return err
	}
	return c.Conn.Prepare(ctx, def)
}

func (c limitedConn) Reset(ctx context.Context) error {
	if err := c.target.admit(); err != nil {
		return err
	}
	return c.Conn.Reset(ctx)
}

func (c limitedConn) PollPosition(ctx context.Context) (position.Position, error) {
	if err := c.target.admit(); err != nil {
		return position.Position{}, err
	}
	return c.Conn.PollPosition(ctx)
}

// admit counts a message that is about to be sent to the target, or returns errTargetCold.
func (t *target) admit() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.limiter.Admit(t.manager.cfg.Clock.Now()) {
		return nil
	}
	t.manager.metrics.coldRefusals.Inc()
	return errTargetCold
}

func refusedAsCold(err error) bool { return errors.Is(err, errTargetCold) }

// recordColdness takes over what control knows of the start of the target. mu is held.
func (t *target) recordColdness(now time.Time, l Lease) {
	c := l.Coldness
	report := warmup.Report{Remaining: c.Remaining}
	if c.Known {
		report.At = l.RenewedAt.Add(-c.HeardAgo)
	}
	t.limiter.Record(now, c.Limit, report)
}

// recordUncertain records that the target may have restarted.
func (t *target) recordUncertain() {
	now := t.manager.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limiter.RecordUncertain(now)
}

// logColdness logs a change between cold and warm. mu is held.
func (t *target) logColdness(now time.Time) {
	if cold := t.limiter.Cold(now); cold != t.cold {
		t.cold = cold
		_ = level.Info(t.manager.logger).Log("msg", "coldness of target changed", "target", t.name, "cold", cold, "limit", t.grant.Coldness.Limit)
	}
}
