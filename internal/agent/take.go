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
	// Minimum spacing of Borrow requests of one team. Otherwise a team far above its rate would cause
	// one request to the leader for each refused statement.
	borrowSpacing      = 10 * time.Millisecond
	emptyBorrowSpacing = 100 * time.Millisecond
	// emptyFresh is how long TakeSoon relies on the answer that a team's bucket is empty. Tokens that
	// become available in the meantime arrive with renewals.
	emptyFresh = 300 * time.Millisecond
	// controlPatience bounds the time since the last successful renewal during which requests wait for
	// tokens while no leader answers. It covers an election and the search for the new leader.
	controlPatience = 5 * time.Second
	askAgain        = 20 * time.Millisecond
	maxBorrowTries  = 4
)

// flight is one Borrow call, shared by all requests of a team that wait for its reply.
type flight struct {
	done   chan struct{}
	tokens uint64 // sum over the waiting requests
	lot    wire.TokenGrant
	err    error
}

// borrowed records how a team's last Borrow call ended.
type borrowed struct {
	at    time.Time
	empty bool
}

// AcquireTokens spends a team's rate tokens. If the host holds too few, it borrows more from the leader before
// it refuses. Errors are of type *verdict.Error with verdict NotRun: code 53400 if the rate is
// exceeded, 57P03 if no control leader answers.
//
// Open routes must remain available on a host that is cut off from control, so while no leader answers
// their callers are admitted without tokens. They don't belong to a team, so no team exceeds its rate.
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
	if refused, ok := errors.AsType[*verdict.Error](err); ok && refused.Code == verdict.CodeUnavailable && ctx.Err() == nil {
		return nil
	}
	return err
}

// borrow asks the leader for tokens until n can be spent. It refuses when the leader's bucket is empty
// or after maxBorrowTries replies with too few tokens; replies during a new leader's quarantine don't
// count.
func (a *Agent) borrow(ctx context.Context, team string, n uint64) error {
	quarantine := false // a new leader's bucket starts empty, so an empty lot doesn't mean that the rate is exceeded
	for tries := 0; tries < maxBorrowTries; {
		f := a.join(team, n)
		select {
		case <-f.done:
		case <-ctx.Done():
			return unreachable(context.Cause(ctx))
		}
		if f.err != nil {
			if a.ConfirmedAge() > controlPatience || !pause(ctx, askAgain) {
				return unreachable(f.err)
			}
			continue
		}
		if a.spendAgain(team, n) {
			return nil
		}
		if f.lot.Wait == 0 {
			tries++
		}
		quarantine = quarantine || f.lot.Wait > 0
		if f.lot.Tokens == 0 && !quarantine {
			break
		}
		if !pause(ctx, f.lot.Wait) {
			return unreachable(context.Cause(ctx))
		}
	}
	rateRefusals.Inc()
	return verdict.New(verdict.NotRun, verdict.CodeRateExceeded, "the rate of team %q is exceeded", team)
}

// TryAcquireTokens spends a team's rate tokens if the host holds enough. Otherwise it has no effect and returns
// false.
func (a *Agent) TryAcquireTokens(team string, tokens int) bool {
	n := uint64(max(tokens, 0))
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	return a.borrower.CanSpend(now, team, n) && a.borrower.Spend(now, team, n)
}

// AcquireTokensFailFast is like Take, but fails fast: it refuses without asking the leader if the team's bucket was
// empty less than emptyFresh ago.
func (a *Agent) AcquireTokensFailFast(ctx context.Context, team string, tokens int) error {
	if a.TryAcquireTokens(team, tokens) {
		return nil
	}
	a.mu.Lock()
	last, ok := a.lastBorrow[team]
	empty := ok && last.empty && a.Clock.Now().Sub(last.at) < emptyFresh
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

func unreachable(cause error) error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no rate tokens: control leader is not reachable: %w", cause)
}

func (a *Agent) spend(team string, n uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.borrower.Spend(a.Clock.Now(), team, n)
}

// spendAgain retries a failed spend without counting its demand twice.
func (a *Agent) spendAgain(team string, n uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrower.UndoDemand(team, n)
	return a.borrower.Spend(a.Clock.Now(), team, n)
}

// join adds a request for n tokens to the team's pending Borrow call, or starts one.
func (a *Agent) join(team string, n uint64) *flight {
	a.mu.Lock()
	defer a.mu.Unlock()
	f := a.flights[team]
	if f == nil {
		f = &flight{done: make(chan struct{})}
		a.flights[team] = f
		go a.fly(team, f, a.spacing(team))
	}
	f.tokens += n
	return f
}

// spacing returns the time that must pass before the team's next Borrow call. a.mu must be held.
func (a *Agent) spacing(team string) time.Duration {
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

// fly sends a Borrow call after a delay, during which requests may join it, and stores its outcome.
func (a *Agent) fly(team string, f *flight, delay time.Duration) {
	defer close(f.done)
	ctx, cancel := context.WithTimeout(context.Background(), borrowTimeout)
	defer cancel()
	pause(ctx, delay)
	a.mu.Lock()
	delete(a.flights, team)
	want := a.borrower.BorrowAmount(team, f.tokens)
	a.lastBorrow[team] = borrowed{at: a.Clock.Now()}
	a.mu.Unlock()
	sent := time.Time{}
	f.err = a.ask(ctx, func(ctx context.Context, addr string) (referral, error) {
		req := wire.Borrow{Host: a.Host, BootID: a.boot, Team: team, Tokens: want, Balance: a.heldOf(team)}
		sent = a.Clock.Now()
		f.lot = wire.TokenGrant{}
		err := a.Transport.Call(ctx, addr, wire.KindBorrow, req, &f.lot)
		return referral{f.lot.NotLeader, f.lot.LeaderAddr}, err
	})
	a.mu.Lock()
	defer a.mu.Unlock()
	if f.err != nil {
		borrowsFailed.Inc()
		f.err = fmt.Errorf("borrow: %w", f.err)
		return
	}
	if f.lot.Tokens == 0 {
		borrowsEmpty.Inc()
	} else {
		borrows.Inc()
	}
	a.borrower.AddGrant(sent, f.lot)
	a.lastBorrow[team] = borrowed{at: a.Clock.Now(), empty: f.lot.Tokens == 0}
}

func (a *Agent) heldOf(team string) wire.TokenBalance {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.borrower.Balance(a.Clock.Now(), team)
}
