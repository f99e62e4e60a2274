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
	askPause      = 50 * time.Millisecond // after each control host was asked in vain
	changeTimeout = 3 * time.Second       // for one attempt; the leader may wait for a quorum
	adminTimeout  = 3 * time.Second
)

// referral is what an answer says about the leader.
type referral struct {
	notLeader bool
	leader    string
}

var errNoLeader = errors.New("no control host says that it leads")

// ask calls control hosts, the presumed leader first, until one answers as the leader or ctx ends.
// The request must be safe to repeat.
func (a *Agent) ask(ctx context.Context, call func(ctx context.Context, addr string) (referral, error)) error {
	return a.askFor(ctx, attemptTimeout, call)
}

func (a *Agent) askFor(ctx context.Context, limit time.Duration, call func(context.Context, string) (referral, error)) error {
	last := errNoLeader
	for tries := 1; ctx.Err() == nil; tries++ {
		addr := a.target()
		attempt, cancel := context.WithTimeout(ctx, limit)
		r, err := call(attempt, addr)
		cancel()
		switch {
		case err != nil:
			last = err
			a.lost(addr)
		case r.notLeader:
			a.referred(addr, r.leader)
		default:
			return nil
		}
		if tries%(len(a.ControlAddrs())+1) == 0 {
			pause(ctx, askPause)
		}
	}
	return fmt.Errorf("%w (last attempt: %w)", context.Cause(ctx), last)
}

// Change submits a change of the configuration. It resends the change with the same id until it is
// decided or ctx ends; then the outcome is unknown and the error has the verdict MayHaveRun.
func (a *Agent) Change(ctx context.Context, change catalog.Change) (catalog.Result, error) {
	var result catalog.Result
	data, err := wire.Marshal(change)
	if err != nil {
		return result, verdict.New(verdict.NotRun, verdict.CodeInvalidParameter, "encode change: %w", err)
	}
	if data, err = pack.Compress(data); err != nil {
		return result, verdict.New(verdict.NotRun, verdict.CodeInvalidParameter, "pack change: %w", err)
	}
	err = a.askFor(ctx, changeTimeout, func(ctx context.Context, addr string) (referral, error) {
		var reply wire.ChangeReply
		if err := a.Transport.Call(ctx, addr, wire.KindChange, wire.ChangeRequest{Change: data}, &reply); err != nil {
			return referral{}, err
		}
		if reply.NotLeader {
			return referral{true, reply.LeaderAddr}, nil
		}
		if reply.Result == nil {
			return referral{}, fmt.Errorf("outcome of the change is unknown: %s", reply.Message)
		}
		return referral{}, wire.Unmarshal(reply.Result, &result)
	})
	if err != nil {
		return result, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "submit change: %w", err)
	}
	a.RenewNow()
	return result, nil
}

// Announce passes a target's announcement to the leader.
func (a *Agent) Announce(ctx context.Context, announce wire.Announce) (wire.AnnounceReply, error) {
	var reply wire.AnnounceReply
	err := a.askFor(ctx, adminTimeout, func(ctx context.Context, addr string) (referral, error) {
		reply = wire.AnnounceReply{}
		err := a.Transport.Call(ctx, addr, wire.KindAnnounce, announce, &reply)
		return referral{reply.NotLeader, reply.LeaderAddr}, err
	})
	if err != nil {
		return reply, fmt.Errorf("announce: %w", err)
	}
	return reply, nil
}

// Admin passes an operator's request to the leader. All operations may be repeated.
func (a *Agent) Admin(ctx context.Context, req wire.AdminRequest) (wire.AdminReply, error) {
	var reply wire.AdminReply
	err := a.askFor(ctx, adminTimeout, func(ctx context.Context, addr string) (referral, error) {
		reply = wire.AdminReply{}
		err := a.Transport.Call(ctx, addr, wire.KindAdmin, req, &reply)
		return referral{reply.NotLeader, reply.LeaderAddr}, err
	})
	if err != nil {
		return reply, fmt.Errorf("operator's request: %w", err)
	}
	return reply, nil
}
