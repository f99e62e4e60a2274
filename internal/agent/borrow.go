package agent

import (
	"context"
	"fmt"
	"time"

	"github.com/citronrun/citronrun/internal/wire"
)

// borrowSender sends the Borrow calls of this host, one at a time, each for all teams that need tokens. The load on the
// leader is thus bounded by the number of hosts: if the leader is slow, calls become larger, not more frequent.
// Agent.mu guards it.
type borrowSender struct {
	running bool                   // a goroutine is sending calls
	pending map[string]*borrowCall // by team: not sent yet, so that further statements may join
	sentAt  time.Time              // of the latest call
	failed  int                    // number of the latest calls in a row that found no leader
	resume  chan struct{}          // a value ends the wait after such a call
}

// joinBorrow adds n tokens to the team's pending request, or creates one.
func (a *Agent) joinBorrow(team string, n uint64) *borrowCall {
	a.mu.Lock()
	defer a.mu.Unlock()
	call := a.borrows.pending[team]
	if call == nil {
		call = &borrowCall{done: make(chan struct{})}
		a.borrows.pending[team] = call
	}
	call.tokens += n
	if !a.borrows.running {
		a.borrows.running = true
		go a.sendBorrows()
	}
	return call
}

// sendBorrows sends Borrow calls until no team needs tokens.
func (a *Agent) sendBorrows() {
	for {
		delay, ok := a.borrowDelay()
		if !ok {
			return
		}
		if !a.awaitBorrow(delay) {
			continue
		}
		if calls := a.takePendingBorrows(); len(calls) > 0 {
			a.sendBorrow(calls)
		}
	}
}

// awaitBorrow waits until the next Borrow call is due and returns true, or returns false once the delay has to be computed
// again because a leader has answered.
func (a *Agent) awaitBorrow(delay time.Duration) bool {
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-a.borrows.resume:
		return false
	}
}

// resumeBorrows makes Borrow calls regular again: a leader has answered. a.mu must be held.
func (a *Agent) resumeBorrows() {
	if a.borrows.failed == 0 {
		return
	}
	a.borrows.failed = 0
	select {
	case a.borrows.resume <- struct{}{}:
	default:
	}
}

// borrowDelay returns the time until the next Borrow call is due, or false if no team needs tokens; sendBorrows must
// then return.
func (a *Agent) borrowDelay() (delay time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.borrows.pending) == 0 {
		a.borrows.running = false
		return 0, false
	}
	now := a.Clock.Now()
	first := true
	for team := range a.borrows.pending {
		if d := a.borrowDueAt(team).Sub(now); first || d < delay {
			delay, first = d, false
		}
	}
	spacing := borrowSpacing
	if n := a.borrows.failed; n > 0 {
		spacing = failedBorrowSpacing << min(n-1, maxBorrowDoublings)
	}
	return max(delay, spacing-now.Sub(a.borrows.sentAt)), true
}

// borrowDueAt returns the earliest time at which tokens of a team may be requested. a.mu must be held.
func (a *Agent) borrowDueAt(team string) time.Time {
	last := a.lastBorrow[team]
	switch {
	case last.retryAfter > 0:
		return last.at.Add(last.retryAfter)
	case last.empty:
		return last.at.Add(emptyBorrowSpacing)
	default:
		return time.Time{}
	}
}

// takePendingBorrows returns the requests that are due, by team.
func (a *Agent) takePendingBorrows() map[string]*borrowCall {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	due := map[string]*borrowCall{}
	for team, call := range a.borrows.pending {
		if !a.borrowDueAt(team).After(now) {
			due[team] = call
			delete(a.borrows.pending, team)
		}
	}
	a.borrows.sentAt = now
	return due
}

// sendBorrow sends one Borrow call by the known way to control, or else fails at once, and stores the outcomes.
func (a *Agent) sendBorrow(calls map[string]*borrowCall) {
	req, teams := a.newBorrow(calls)
	sent := a.Clock.Now()
	var reply wire.TokenGrant
	err := errControlLost
	if to, ok := a.knownControlTarget(); ok {
		err = a.callBorrow(to, req, &reply)
	}
	grants := append([]wire.TokenGrant{reply}, reply.Others...)
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.borrows.failed++; err == nil {
		a.borrows.failed = 0
	}
	for i, team := range teams {
		call := calls[team]
		switch {
		case err != nil:
			borrowsFailed.Inc()
			call.err = fmt.Errorf("borrow: %w", err)
		case i >= len(grants):
			call.err = fmt.Errorf("borrow: the leader has answered for %d of %d teams", len(grants), len(teams))
		default:
			a.recordGrant(sent, team, call, grants[i])
		}
		close(call.done)
	}
}

// callBorrow sends a Borrow call and records what its outcome says about the way to control. If no way is known any more, it
// requests a renewal, which looks for one: statements without tokens are refused until then.
func (a *Agent) callBorrow(to controlTarget, req *wire.Borrow, reply *wire.TokenGrant) error {
	req.Forward = to.asksToForward()
	borrowCalls.Inc()
	err := a.callControl(context.Background(), to, wire.KindBorrow, req, reply)
	switch {
	case err != nil:
		a.recordUnanswered(to)
	case reply.NotLeader:
		a.recordNotLeading(to, reply.LeaderAddr)
		err = errNoLeader
	default:
		a.recordAnsweredCall(to, true)
	}
	if err != nil && a.searchesControl() {
		a.RenewNow()
	}
	return err
}

// newBorrow builds a Borrow call and returns the order of its teams.
func (a *Agent) newBorrow(calls map[string]*borrowCall) (req *wire.Borrow, teams []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock.Now()
	req = &wire.Borrow{Host: a.Host, BootID: a.bootID}
	for team, call := range calls {
		balance := a.borrower.Balance(now, team)
		if len(teams) == 0 {
			req.Team, req.Tokens, req.Balance = team, call.tokens, balance
		} else {
			req.Others = append(req.Others, wire.TeamBorrow{Team: team, Tokens: call.tokens, Balance: balance})
		}
		teams = append(teams, team)
	}
	return req, teams
}

// recordGrant stores the leader's answer to a team's request. a.mu must be held.
func (a *Agent) recordGrant(sent time.Time, team string, call *borrowCall, grant wire.TokenGrant) {
	if grant.Tokens == 0 {
		borrowsEmpty.Inc()
	} else {
		borrowsGranted.Inc()
	}
	call.grant = grant
	a.borrower.AddGrant(sent, grant)
	a.lastBorrow[team] = borrowOutcome{at: a.Clock.Now(), empty: grant.Tokens == 0, retryAfter: grant.RetryAfter}
}
