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
	// Spacing of Borrow requests of one team. Without it a team far above its rate would cause a
	// request to the leader for each statement that is refused.
	borrowSpacing      = 10 * time.Millisecond
	emptyBorrowSpacing = 100 * time.Millisecond
	// emptyFresh is how long TakeSoon relies on the answer that a bucket is empty. Renewals bring the team's
	// next tokens in the meantime.
	emptyFresh = 300 * time.Millisecond
	// controlPatience is the time since the last confirmation up to which a request waits for tokens
	// while no leader answers. An election and the search for the new leader fit in it.
	controlPatience = 5 * time.Second
	askAgain        = 20 * time.Millisecond
	maxBorrowTries  = 4
)

// flight is one Borrow request, shared by the requests of a team that wait for its answer.
type flight struct {
	done   chan struct{}
	tokens uint64 // wanted by the requests that wait
	lot    wire.TokenGrant
	err    error
}

// borrowed says how a team's last Borrow request ended.
type borrowed struct {
	at    time.Time
	empty bool
}

// AcquireTokens spends tokens of a team's rate. Before it refuses, it asks the leader with Borrow. An error
// is a *verdict.Error with verdict NotRun: 53400 when the rate is exceeded, 57P03 when no control
// leader answers.
//
// While no leader answers, callers on open routes are let through without tokens, because open
// routes must go on working on a host that is cut off from control. They are no team, so that no
// team exceeds its rate by this.
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

// borrow asks the leader for tokens until there are enough to spend n.
func (a *Agent) borrow(ctx context.Context, team string, n uint64) error {
	quarantine := false // the bucket of a new leader starts empty; then an empty answer proves nothing
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
		if f.lot.RetryAfter == 0 {
			tries++
		}
		quarantine = quarantine || f.lot.RetryAfter > 0
		if f.lot.Tokens == 0 && !quarantine {
			break
		}
		if !pause(ctx, f.lot.RetryAfter) {
			return unreachable(context.Cause(ctx))
		}
	}
	rateRefusals.Inc()
	return verdict.New(verdict.NotRun, verdict.CodeRateExceeded, "the rate of team %q is exceeded", team)
}

// TryAcquireTokens spends tokens of a team's rate if the host has them. Otherwise it has no effect.
func (a *Agent) TryAcquireTokens(team string, tokens int) bool {
	n := uint64(max(tokens, 0))
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	return a.borrower.CanSpend(now, team, n) && a.borrower.Spend(now, team, n)
}

// AcquireTokensFailFast is Take for requests that gain nothing by waiting: it refuses at once while the leader's
// last answer, that the team's bucket is empty, is fresh.
func (a *Agent) AcquireTokensFailFast(ctx context.Context, team string, tokens int) error {
	if a.TryAcquireTokens(team, tokens) {
		return nil
	}
	a.mu.Lock()
	last, ok := a.lastBorrow[team]
	empty := ok && last.empty && a.Clock.Now().Sub(last.at) < emptyFresh
	if empty {
		a.borrower.Spend(a.Clock.Now(), team, uint64(max(tokens, 0))) // counts as demand
	}
	a.mu.Unlock()
	if !empty {
		return a.AcquireTokens(ctx, team, tokens)
	}
	rateRefusals.Inc()
	return verdict.New(verdict.NotRun, verdict.CodeRateExceeded, "the rate of team %q is exceeded", team)
}

func unreachable(cause error) error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "no rate tokens: control is not reachable: %w", cause)
}

func (a *Agent) spend(team string, n uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.borrower.Spend(a.Clock.Now(), team, n)
}

// spendAgain repeats a failed spend without counting its demand twice.
func (a *Agent) spendAgain(team string, n uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.borrower.UndoDemand(team, n)
	return a.borrower.Spend(a.Clock.Now(), team, n)
}

// join adds a request to the team's next Borrow request.
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
