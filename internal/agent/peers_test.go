package agent

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/transport/testtls"
	"github.com/citronrun/citronrun/internal/verdict"
)

// newPlace starts a cluster whose agents form a place of a large deployment, connected with each other.
func newPlace(t *testing.T, agents int) *cluster {
	c := newCluster(t, agents)
	var addrs []string
	for _, a := range c.agents {
		addrs = append(addrs, a.Addr)
	}
	for _, a := range c.agents {
		a.Agent.mu.Lock()
		a.hostAddrs, a.placeHosts = addrs, true
		a.Agent.mu.Unlock()
		go a.Transport.KeepConnected(t.Context(), a.Peers)
	}
	eventually(t, "all hosts are connected", func() bool {
		for _, a := range c.agents {
			for _, addr := range addrs {
				if addr != a.Addr && !a.Transport.Connected(addr) {
					return false
				}
			}
		}
		return true
	})
	return c
}

// admitter returns the agent that borrows for a team.
func (c *cluster) admitter(t *testing.T, team string) *testAgent {
	t.Helper()
	a := c.agents[0]
	addr := a.choosePeer(a.hostAddrs, admitKey+team, false)
	for _, b := range c.agents {
		if b.Addr == addr || addr == "" && b == a {
			return b
		}
	}
	t.Fatal("no host admits")
	return nil
}

// Guards against a borrow call of each host for each team, which the leader of 291 hosts can't answer: one host of the place
// borrows. The rate holds over all hosts, and nothing below it is refused.
func TestOneHostOfPlaceBorrows(t *testing.T) {
	is := is.New(t)
	c := newPlace(t, 4)
	admitter := c.admitter(t, "t")
	acquired := 0
	start := time.Now()
	for i := 0; time.Since(start) < time.Second; i++ {
		err := c.agents[i%4].AcquireTokensFailFast(t.Context(), "t", 1)
		if err == nil {
			acquired++
			continue
		}
		is.Equal(verdict.As(err).Code, verdict.CodeRateExceeded)
		is.Equal(verdict.Of(err), verdict.NotRun)
	}
	elapsed := time.Since(start).Seconds()
	t.Log("tokens", acquired, "in", elapsed)
	is.True(float64(acquired) <= catalog.DefaultRate*elapsed+catalog.DefaultBurst)
	is.True(acquired > 0)
	for _, a := range c.agents {
		a.Agent.mu.Lock()
		_, borrowed := a.lastBorrow["t"]
		a.Agent.mu.Unlock()
		is.True(!borrowed || a == admitter)
	}
}

// Guards against a place without tokens for a team when the host that borrows for it stops: the others choose another one.
func TestHostThatBorrowsIsLost(t *testing.T) {
	is := is.New(t)
	c := newPlace(t, 3)
	lost := c.admitter(t, "t")
	is.NoErr(c.agents[0].AcquireTokensFailFast(t.Context(), "t", 1))
	lost.stop()
	is.NoErr(lost.Transport.Close())
	for _, a := range c.agents {
		if a == lost {
			continue
		}
		eventually(t, "tokens through another host", func() bool { return a.AcquireTokensFailFast(t.Context(), "t", 1) == nil })
	}
}

// Guards against hosts of a place that choose different relays, and against a relay for a holder of the same place.
func TestPlaceAgreesOnRelays(t *testing.T) {
	is := is.New(t)
	c := newPlace(t, 4)
	for i := range 20 {
		holder := fmt.Sprintf("10.2.0.%d:7400", i+1)
		relays := map[string]bool{}
		for _, a := range c.agents {
			relay := a.Relay(holder)
			if relay == "" {
				relay = a.Addr
			}
			relays[relay] = true
		}
		is.Equal(len(relays), 1)
	}
	is.Equal(c.agents[0].Relay(c.agents[1].Addr), "")
	c.agents[0].RecordPeerFailure(c.agents[1].Addr)
	for i := range 20 {
		is.True(c.agents[0].Relay(fmt.Sprintf("10.2.0.%d:7400", i+1)) != c.agents[1].Addr)
	}
}

// Guards against calls that are given up and repeated while a slow leader has them in its queue: the more hosts, the
// longer that queue becomes.
func TestSlowLeaderIsNotCalledAgain(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	a := c.agents[0]
	eventually(t, "first renewal", func() bool { return a.ConfirmedAge() < time.Second })
	var calls atomic.Int64
	c.log.locked(func() {
		c.log.barrierDelay = func() time.Duration { calls.Add(1); return attemptTimeout + 100*time.Millisecond }
	})
	before := renewalsFailed.Get()
	start := time.Now()
	for calls.Load() < 3 {
		time.Sleep(10 * time.Millisecond)
		is.True(time.Since(start) < 10*time.Second)
	}
	is.Equal(renewalsFailed.Get(), before)
}

// Guards against teams that are refused because the host that borrows their tokens for the place has lost control, while other
// hosts of the place reach it.
func TestHostThatBorrowsHasLostControl(t *testing.T) {
	is := is.New(t)
	c := newPlace(t, 3)
	admitter := c.admitter(t, "team3")
	eventually(t, "all hosts renew", func() bool {
		return !slices.ContainsFunc(c.agents, func(a *testAgent) bool { return a.ConfirmedAge() > time.Minute })
	})
	admitter.Agent.mu.Lock()
	admitter.ControlSeeds, admitter.advertisedControlAddrs, admitter.leaderAddr = []string{unreachable(t), unreachable(t)}, nil, ""
	admitter.Agent.mu.Unlock()
	eventually(t, "the host has lost control", admitter.ControlLost)
	for _, a := range c.agents {
		if a == admitter {
			continue
		}
		start := time.Now()
		is.NoErr(a.AcquireTokensFailFast(t.Context(), "team3", 1))
		is.True(time.Since(start) < attemptTimeout)
	}
}

// Guards against a connection of every host with every holder after a restart of all hosts, each of which would be its own relay
// until it is connected with its place.
func TestStartingHostsAgreeOnRelays(t *testing.T) {
	is := is.New(t)
	ca, err := testtls.NewAuthority()
	is.NoErr(err)
	clk := clock.NewFake(time.Unix(1000, 0)) // they stay starting until it moves
	var agents []*Agent
	var addrs []string
	for i := range 4 {
		endpoint := listen(t, ca, fmt.Sprint("h", i))
		agents = append(agents, New(Config{
			Host: fmt.Sprint("h", i), Place: "p", Addr: endpoint.Addr(), Entry: true, Transport: endpoint, Clock: clk, Logger: log.NewNopLogger(),
		}))
		addrs = append(addrs, endpoint.Addr())
	}
	relays := func(holder string) map[string]bool {
		chosen := map[string]bool{}
		for _, a := range agents {
			a.hostAddrs, a.placeHosts = addrs, true
			relay := a.Relay(holder)
			if relay == "" {
				relay = a.Addr
			}
			chosen[relay] = true
		}
		return chosen
	}
	for i := range 20 {
		is.Equal(len(relays(fmt.Sprintf("10.2.0.%d:7400", i+1))), 1)
	}
	clk.Advance(time.Minute)
	is.Equal(len(relays("10.2.0.1:7400")), len(agents)) // a host that is lost isn't dialed again and again
}
