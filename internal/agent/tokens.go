package agent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/ratelimit"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	borrowTimeout = 1 * time.Second
	// borrowSpacing is the minimum time between two Borrow calls of a team; emptyBorrowSpacing applies after
	// an empty grant. Without it a team far above its rate would cause one call to the leader for each
	// refused statement.
	borrowSpacing      = 10 * time.Millisecond
	emptyBorrowSpacing = 100 * time.Millisecond
	// emptyBorrowTTL is how long AcquireTokensFailFast relies on a reply that a team's bucket is empty.
	// Tokens that become available in the meantime arrive with renewals.
	emptyBorrowTTL = 100 * time.Millisecond
	// While no leader answers, requests wait for tokens only until controlWaitLimit after the last
	// successful renewal. It covers a leader election and the search for the new leader.
	controlWaitLimit    = 5 * time.Second
	borrowRetryInterval = 20 * time.Millisecond
	maxBorrowTries      = 4
)

// borrowCall is one Borrow call, shared by all requests of a team that wait for its reply.
type borrowCall struct {
	done   chan struct{}
	tokens uint64 // requested by all waiting requests together
	grant  wire.TokenGrant
	err    error
}

// borrowOutcome records how a team's last Borrow call ended.
type borrowOutcome struct {
	at    time.Time
	empty bool
}

// AcquireTokens spends a team's rate tokens. If the host holds too few, it borrows more from the leader
// before it refuses. Errors are of type *verdict.Error with verdict NotRun: code 53400 if the rate is
// exceeded, 57P03 if the control leader doesn't answer, or ctx ends, before the outcome is known.
//
// Requests without a team (catalog.OpenTeam) must be served even on a host that can't reach control. While no
// leader answers, they are therefore admitted without tokens. As they belong to no team, no team exceeds its
// rate.
func (a *Agent) AcquireTokens(ctx context.Context, team string, tokens int) error {
	if tokens <= 0 {
		return nil
	}
	n := uint64(tokens)
	if a.spend(team, n) {
		return nil
	}
	if team != catalog.OpenTeam {
		return a.borrow(ctx, team, n)
	}
	if a.ConfirmedAge() > ratelimit.GrantTTL {
		return nil
	}
	err := a.borrow(ctx, team, n)
	if refusal, ok := errors.AsType[*verdict.Error](err); ok && refusal.Code == verdict.CodeUnavailable && ctx.Err() == nil {
		return nil
	}
	return err
}

// borrow borrows tokens from the leader until n can be spent. It refuses when the leader's bucket is empty
// or after maxBorrowTries replies with too few tokens; replies during the waiting period of a new leader
// don't count.
func (a *Agent) borrow(ctx context.Context, team string, n uint64) error {
	// sawWaitingPeriod means that a reply came from a new leader in its waiting period. The leader's bucket
	// starts empty, so an empty grant then doesn't mean that the rate is exceeded.
	sawWaitingPeriod := false
	for tries := 0; tries < maxBorrowTries; {
		call := a.joinBorrow(team, n)
		select {
		case <-call.done:
		case <-ctx.Done():
			return noTokens(context.Cause(ctx))
		}
		if call.err != nil {
			if a.ConfirmedAge() > controlWaitLimit || !sleep(ctx, borrowRetryInterval) {
				return noTokens(call.err)
			}
			continue
		}
		if a.retrySpend(team, n) {
			return nil
		}
		if call.grant.RetryAfter == 0 {
			tries++
		}
		sawWaitingPeriod = sawWaitingPeriod || call.grant.RetryAfter > 0
		if call.grant.Tokens == 0 && !sawWaitingPeriod {
			break
		}
		if !sleep(ctx, call.grant.RetryAfter) {
			return noTokens(context.Cause(ctx))
		}
	}
	rateRefusals.Inc()
	return verdict.New(verdict.NotRun, verdict.CodeRateExceeded, "the rate of team %q is exceeded", team)
}

// TryAcquireTokens spends a team's rate tokens if the host holds enough. Otherwise it has no effect and
// returns false.
func (a *Agent) TryAcquireTokens(team string, tokens int) bool {
	n := uint64(max(tokens, 0))
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	return a.borrower.CanSpend(now, team, n) && a.borrower.Spend(now, team, n)
}

// AcquireTokensFailFast is like AcquireTokens, but refuses without calling the leader if the leader reported
// an empty bucket for the team less than emptyBorrowTTL ago.
func (a *Agent) AcquireTokensFailFast(ctx context.Context, team string, tokens int) error {
	if a.TryAcquireTokens(team, tokens) {
		return nil
	}
	a.mu.Lock()
	last, ok := a.lastBorrow[team]
	empty := ok && last.empty && a.Clock.Now().Sub(last.at) < emptyBorrowTTL
	if empty {
		a.borrower.Spend(a.Clock.Now(), team, uint64(max(tokens, 0))) // fails, but counts as demand
	}
	a.mu.Unlock()
	if !empty {
		return a.AcquireTokens(ctx, team, tokens)
	}
	rateRefusals.Inc()
	return verdict.New(verdict.NotRun, verdict.CodeRateExceeded, "the rate of team %q is exceeded", team)
}

func noTokens(cause error) error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no rate tokens received from the control leader: %w", cause)
}

func (a *Agent) spend(team string, n uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.borrower.Spend(a.Clock.Now(), team, n)
}

// retrySpend retries a failed spend without counting its demand twice.
func (a *Agent) retrySpend(team string, n uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrower.UndoDemand(team, n)
	return a.borrower.Spend(a.Clock.Now(), team, n)
}

// joinBorrow adds a request for n tokens to the team's pending Borrow call, or starts one.
func (a *Agent) joinBorrow(team string, n uint64) *borrowCall {
	a.mu.Lock()
	defer a.mu.Unlock()
	call := a.pendingBorrows[team]
	if call == nil {
		call = &borrowCall{done: make(chan struct{})}
		a.pendingBorrows[team] = call
		go a.sendBorrow(team, call, a.borrowDelay(team))
	}
	call.tokens += n
	return call
}

// borrowDelay returns the time that must pass before the team's next Borrow call. a.mu must be held.
func (a *Agent) borrowDelay(team string) time.Duration {
	last, ok := a.lastBorrow[team]
	if !ok {
		return 0
	}
	spacing := borrowSpacing
	if last.empty {
		spacing = emptyBorrowSpacing
	}
	return spacing - a.Clock.Now().Sub(last.at)
}

// sendBorrow sends a Borrow call after a delay, during which further requests may join it, and stores its
// outcome.
func (a *Agent) sendBorrow(team string, call *borrowCall, delay time.Duration) {
	defer close(call.done)
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	sleep(ctx, delay)
	a.mu.Lock()
	delete(a.pendingBorrows, team)
	want := call.tokens
	a.lastBorrow[team] = borrowOutcome{at: a.Clock.Now()}
	a.mu.Unlock()
	sent := time.Time{}
	call.err = a.callLeader(ctx, func(ctx context.Context, addr string) (redirect, error) {
		req := wire.Borrow{Host: a.Host, BootID: a.bootID, Team: team, Tokens: want, Balance: a.tokenBalance(team)}
		sent = a.Clock.Now()
		call.grant = wire.TokenGrant{}
		err := a.Transport.Call(ctx, addr, wire.KindBorrow, req, &call.grant)
		return redirect{call.grant.NotLeader, call.grant.LeaderAddr}, err
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	if call.err != nil {
		borrowsFailed.Inc()
		call.err = fmt.Errorf("borrow: %w", call.err)
		return
	}
	if call.grant.Tokens == 0 {
		borrowsEmpty.Inc()
	} else {
		borrowsGranted.Inc()
	}
	a.borrower.AddGrant(sent, call.grant)
	a.lastBorrow[team] = borrowOutcome{at: a.Clock.Now(), empty: call.grant.Tokens == 0}
}

func (a *Agent) tokenBalance(team string) wire.TokenBalance {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.borrower.Balance(a.Clock.Now(), team)
}
