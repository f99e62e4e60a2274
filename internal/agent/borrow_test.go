package agent

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

const testTeams = 60

// requestTokens makes callers of testTeams teams ask for tokens again and again for a while. It returns the number of
// successes and the codes of the refusals.
func requestTokens(a *testAgent, d time.Duration) (acquired int, refusals map[string]int) {
	refusals = map[string]int{}
	var mu sync.Mutex
	var wg sync.WaitGroup
	start := time.Now()
	for i := range testTeams {
		wg.Go(func() {
			for time.Since(start) < d {
				ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
				err := a.AcquireTokensFailFast(ctx, fmt.Sprint("team", i), 1)
				cancel()
				mu.Lock()
				if err == nil {
					acquired++
				} else {
					refusals[verdict.As(err).Code]++
				}
				mu.Unlock()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	return acquired, refusals
}

func newTeamsCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, 1)
	eventually(t, "the leader is known", func() bool { return c.agents[0].ConfirmedAge() < time.Second })
	return c
}

// Guards against a load on the control hosts that grows with the number of teams and of waiting statements: a leader that
// is slow, has just been elected or has lost its quorum must not get more calls than one that answers at once.
func TestBorrowCallsAreBounded(t *testing.T) {
	is := is.New(t)
	c := newTeamsCluster(t)
	c.log.locked(func() { c.log.quorumLost = true })
	const duration = time.Second
	before := borrowCalls.Get()
	acquired, refusals := requestTokens(c.agents[0], duration)
	calls := borrowCalls.Get() - before
	t.Log(acquired, "acquired,", refusals, "refused,", calls, "calls")
	is.True(calls >= 1)
	is.True(calls <= uint64(duration/failedBorrowSpacing)+5)
}

// Guards against tokens that are given to another team than the one that asked, and against teams that get none, when one
// call asks for many teams.
func TestOneBorrowCallForManyTeams(t *testing.T) {
	is := is.New(t)
	c := newTeamsCluster(t)
	var wg sync.WaitGroup
	errs := make(chan error, testTeams)
	before := borrowCalls.Get()
	for i := range testTeams {
		wg.Go(func() { errs <- c.agents[0].AcquireTokens(t.Context(), fmt.Sprint("team", i), i%5+1) })
	}
	wg.Wait()
	close(errs)
	for err := range errs {
		is.NoErr(err)
	}
	is.True(borrowCalls.Get()-before < testTeams/2)
}

// Guards against a host that waits for the answer of a lost leader although the new one has announced itself.
func TestAnnouncedLeaderIsUsed(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	a := c.agents[0]
	eventually(t, "the leader is known", func() bool { return a.ConfirmedAge() < time.Second })
	a.Agent.mu.Lock()
	a.leaderAddr = "127.0.0.1:1" // nobody answers there
	a.Agent.mu.Unlock()
	announced := time.Now()
	is.NoErr(listen(t, c.ca, "c2").Call(t.Context(), a.Addr, wire.KindRenewNow, wire.RenewNow{LeaderAddr: c.log.addr}, nil))
	eventually(t, "the host has renewed", func() bool {
		last := a.lastRenewal.Load()
		return last != nil && last.After(announced)
	})
	is.True(time.Since(announced) < attemptTimeout) // without waiting for the lost leader
	a.Agent.mu.Lock()
	is.Equal(a.leaderAddr, c.log.addr)
	a.Agent.mu.Unlock()
}
