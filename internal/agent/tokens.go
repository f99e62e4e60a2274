package agent

import (
	"context"
	"errors"
	"time"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/ratelimit"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// borrowSpacing is the minimum time between two Borrow calls; emptyBorrowSpacing is that between two requests
	// for the same team after an empty grant. Without it a team far above its rate would cause one request to
	// the leader for each refused statement.
	borrowSpacing      = 10 * time.Millisecond
	emptyBorrowSpacing = 100 * time.Millisecond
	// failedBorrowSpacing applies while no leader answers: calls of all hosts would disturb the election. It is
	// doubled after each further failure, up to maxBorrowDoublings times.
	failedBorrowSpacing = 50 * time.Millisecond
	maxBorrowDoublings  = 3
	// emptyBorrowTTL is how long AcquireTokensFailFast relies on a reply that a team's bucket is empty.
	// Tokens that become available in the meantime arrive with renewals.
	emptyBorrowTTL = 100 * time.Millisecond
	// While no leader answers, requests wait for tokens only until controlWaitLimit after the last
	// successful renewal, but for leaderSearchTime at least. The former covers a leader election and the search
	// for the new leader, the latter that search. On a host that takes detours they don't wait once control is lost.
	controlWaitLimit    = 5 * time.Second
	leaderSearchTime    = 1 * time.Second
	borrowRetryInterval = 20 * time.Millisecond
	maxBorrowTries      = 4
)

// borrowCall is the request for tokens of one team, shared by all statements that wait for them.
type borrowCall struct {
	done   chan struct{}
	tokens uint64 // requested by all waiting requests together
	grant  wire.TokenGrant
	err    error
}

// borrowOutcome records the answer to a team's last request for tokens.
type borrowOutcome struct {
	at         time.Time
	empty      bool
	retryAfter time.Duration // of a new leader in its waiting period; otherwise 0
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
	started := a.Clock.Now()
	for tries := 0; tries < maxBorrowTries; {
		if a.takesDetours() && a.ControlLost() {
			return noTokens(errControlLost)
		}
		call := a.joinBorrow(team, n)
		select {
		case <-call.done:
		case <-ctx.Done():
			return noTokens(context.Cause(ctx))
		}
		if call.err != nil {
			hopeless := a.ConfirmedAge() > controlWaitLimit && a.Clock.Now().Sub(started) > leaderSearchTime
			if hopeless || !sleep(ctx, borrowRetryInterval) {
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
// an empty bucket for the team less than emptyBorrowTTL ago. In a large deployment one host of the place borrows the
// tokens of the team for all.
func (a *Agent) AcquireTokensFailFast(ctx context.Context, team string, tokens int) error {
	if decided, err := a.admitRemotely(ctx, team, tokens); decided {
		return err
	}
	return a.acquireFailFast(ctx, team, tokens)
}

func (a *Agent) acquireFailFast(ctx context.Context, team string, tokens int) error {
	if a.TryAcquireTokens(team, tokens) {
		return nil
	}
	a.mu.Lock()
	empty := a.reportedEmptyLocked(team)
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

// reportedEmptyLocked reports whether the leader has reported an empty bucket for the team within emptyBorrowTTL.
func (a *Agent) reportedEmptyLocked(team string) bool {
	last, ok := a.lastBorrow[team]
	return ok && last.empty && last.retryAfter == 0 && a.Clock.Now().Sub(last.at) < emptyBorrowTTL
}

// RateState describes how AcquireTokensFailFast would decide now on one token of a team. It spends none.
func (a *Agent) RateState(team string) string {
	if host := a.admittingHost(team); host != "" {
		return "decided by the host " + host + ", which borrows for the place"
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.borrower.CanSpend(a.Clock.Now(), team, 1):
		return "tokens at this host"
	case a.reportedEmptyLocked(team):
		return "refused: the leader has reported an empty bucket"
	}
	return "to be borrowed from the leader"
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
