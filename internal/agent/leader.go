package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/pack"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	leaderRetryDelay = 50 * time.Millisecond // after all known control hosts have been tried without success
	changeTimeout    = 3 * time.Second       // for one attempt; the leader may wait for a quorum
	adminTimeout     = 3 * time.Second
)

// redirect is the part of a reply that says whether its sender leads, and if not, who may.
type redirect struct {
	notLeader  bool
	leaderAddr string
}

var errNoLeader = errors.New("no control host reports itself as leader")

// callLeader calls control hosts, the presumed leader first, until one answers as the leader or ctx ends.
// The request must be idempotent.
func (a *Agent) callLeader(ctx context.Context, call func(ctx context.Context, addr string) (redirect, error)) error {
	return a.callLeaderTimeout(ctx, attemptTimeout, call)
}

// callLeaderTimeout is like callLeader, with the given time limit for each attempt.
func (a *Agent) callLeaderTimeout(ctx context.Context, limit time.Duration, call func(context.Context, string) (redirect, error)) error {
	lastErr := errNoLeader
	for attempts := 1; ctx.Err() == nil; attempts++ {
		addr := a.nextControlAddr()
		attemptCtx, cancel := context.WithTimeout(ctx, limit)
		r, err := call(attemptCtx, addr)
		cancel()
		switch {
		case err != nil:
			lastErr = err
			a.recordNoAnswer(addr)
		case r.notLeader:
			a.recordRedirect(addr, r.leaderAddr)
		default:
			return nil
		}
		if attempts%(len(a.ControlAddrs())+1) == 0 {
			sleep(ctx, leaderRetryDelay)
		}
	}
	return fmt.Errorf("%w (last attempt: %w)", context.Cause(ctx), lastErr)
}

// Change submits a catalog change. It resends the change with the same id until the leader reports the
// outcome. If ctx ends first, the outcome is unknown and the error has the verdict MayHaveRun.
func (a *Agent) Change(ctx context.Context, change catalog.Change) (catalog.Result, error) {
	var result catalog.Result
	data, err := wire.Marshal(change)
	if err != nil {
		return result, verdict.New(verdict.NotRun, verdict.CodeInvalidParameter, "encode change: %w", err)
	}
	if data, err = pack.Compress(data); err != nil {
		return result, verdict.New(verdict.NotRun, verdict.CodeInvalidParameter, "compress change: %w", err)
	}
	err = a.callLeaderTimeout(ctx, changeTimeout, func(ctx context.Context, addr string) (redirect, error) {
		var reply wire.ChangeReply
		if err := a.Transport.Call(ctx, addr, wire.KindChange, wire.ChangeRequest{Change: data}, &reply); err != nil {
			return redirect{}, err
		}
		if reply.NotLeader {
			return redirect{true, reply.LeaderAddr}, nil
		}
		if reply.Result == nil {
			return redirect{}, fmt.Errorf("control leader returned no result for the change: %s", reply.Message)
		}
		return redirect{}, wire.Unmarshal(reply.Result, &result)
	})
	if err != nil {
		return result, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "submit change: %w", err)
	}
	a.RenewNow()
	return result, nil
}

// Announce forwards a target's announcement to the leader.
func (a *Agent) Announce(ctx context.Context, announce wire.Announce) (wire.AnnounceReply, error) {
	var reply wire.AnnounceReply
	err := a.callLeaderTimeout(ctx, adminTimeout, func(ctx context.Context, addr string) (redirect, error) {
		reply = wire.AnnounceReply{}
		err := a.Transport.Call(ctx, addr, wire.KindAnnounce, announce, &reply)
		return redirect{reply.NotLeader, reply.LeaderAddr}, err
	})
	if err != nil {
		return reply, fmt.Errorf("announce: %w", err)
	}
	return reply, nil
}

// Admin forwards an operator's request to the leader. All admin operations are idempotent.
func (a *Agent) Admin(ctx context.Context, req wire.AdminRequest) (wire.AdminReply, error) {
	var reply wire.AdminReply
	err := a.callLeaderTimeout(ctx, adminTimeout, func(ctx context.Context, addr string) (redirect, error) {
		reply = wire.AdminReply{}
		err := a.Transport.Call(ctx, addr, wire.KindAdmin, req, &reply)
		return redirect{reply.NotLeader, reply.LeaderAddr}, err
	})
	if err != nil {
		return reply, fmt.Errorf("admin request: %w", err)
	}
	return reply, nil
}
