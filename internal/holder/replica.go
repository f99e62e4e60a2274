package holder

import (
	"context"
	"time"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// startWhenReached runs a single statement, or the first statement of a block, once the target's log may have reached the
// position that it requires. While the log is known to lack it, the statement is not sent.
func (t *target) startWhenReached(ctx context.Context, req wire.StatementRequest) (wire.StatementReply, *Block) {
	patienceEnd := t.manager.cfg.Clock.Now().Add(replicaPatience)
	for {
		if reached, err := t.awaitPosition(ctx, req.MinPosition, patienceEnd); err != nil {
			t.manager.metrics.refusedBehind.Inc()
			reply := errorReply(err)
			reply.Reached = reached
			return reply, nil
		}
		reply, block := t.start(ctx, req)
		if reply.Code != verdict.CodeReplicaBehind || ctx.Err() != nil || !t.lacks(req.MinPosition) {
			return reply, block
		}
		t.manager.metrics.replicaRetries.Inc()
	}
}

// start runs a single statement, or the first statement of a block.
func (t *target) start(ctx context.Context, req wire.StatementRequest) (wire.StatementReply, *Block) {
	if req.StartsBlock {
		return t.startBlock(ctx, req)
	}
	return t.runSingle(ctx, req), nil
}

// awaitPosition waits until the target's log may have reached pos. It queries the target's position when a check is due.
// If the next check comes after patienceEnd, it returns an error and the last known position.
func (t *target) awaitPosition(ctx context.Context, pos position.Position, patienceEnd time.Time) (position.Position, error) {
	for !pos.IsZero() {
		now := t.manager.cfg.Clock.Now()
		t.mu.Lock()
		wait := t.progress.wait(now, pos)
		query := wait > 0 && !t.polling && t.progress.checkDue(now)
		t.polling = t.polling || query
		polling, checked, reached := t.polling, t.checked, t.progress.reached
		t.mu.Unlock()
		if wait == 0 {
			break
		}
		if query {
			t.manager.metrics.replicaChecks.Inc()
			go t.pollPosition(context.WithoutCancel(ctx))
		}
		patience := patienceEnd.Sub(now)
		if wait > patience {
			return reached, verdict.New(verdict.NotRun, verdict.CodeReplicaBehind, "target %q has reached %v, the statement needs %v", t.name, reached, pos).WithRetryAfter(max(wait, time.Millisecond))
		}
		if polling {
			wait = patience // for the response
		}
		if !t.waitForCheck(ctx, checked, wait) {
			return reached, verdict.New(verdict.NotRun, verdict.CodeReplicaBehind, "target %q has reached %v, the statement needs %v: %w", t.name, reached, pos, ctx.Err())
		}
	}
	return position.Position{}, nil
}

// lacks reports whether the target's log is known to lack pos. A target that refuses a position which it has reported is not
// asked again at once.
func (t *target) lacks(pos position.Position) bool {
	now := t.manager.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	return !pos.IsZero() && t.progress.wait(now, pos) > 0
}

// waitForCheck waits until checked is closed, for at most d, and returns whether ctx is still valid.
func (t *target) waitForCheck(ctx context.Context, checked <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-checked:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

// recordRefusal records that the target refused a statement because its log lacks the required position.
func (t *target) recordRefusal(err error, required, reported position.Position) {
	if verdict.As(err).Code != verdict.CodeReplicaBehind {
		return
	}
	now := t.manager.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.progress.refused(now, required, reported)
}
