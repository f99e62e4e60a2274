package agent

import (
	"context"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/control"
	"github.com/citronrun/citronrun/internal/transport"
	"github.com/citronrun/citronrun/internal/verdict"
)

// followerLog is the log of a member that has applied all entries and doesn't lead.
type followerLog struct {
	*testLog
	leaderless atomic.Bool
}

func (l *followerLog) Leadership() (time.Time, uint64, bool) { return time.Time{}, 1, false }

func (l *followerLog) LeaderAddr() string {
	if l.leaderless.Load() {
		return ""
	}
	return l.addr
}

// forwarder is a control host that doesn't lead.
type forwarder struct {
	endpoint *transport.Endpoint
	log      *followerLog
}

// forwardThrough makes all agents of a cluster renew through a further control host. Meanwhile they may connect with the leader
// again: a host whose forwarder doesn't answer its first call in time asks the leader, and the leader itself calls hosts until it
// has heard of their forwarder.
func (c *cluster) forwardThrough(t *testing.T) *forwarder {
	f := &forwarder{endpoint: listen(t, c.ca, "c2"), log: &followerLog{testLog: c.log}}
	server := control.New(control.Config{
		Name: "c2", Machine: c.log.machine, Log: f.log, Transport: f.endpoint, Clock: clock.System{}, Logger: log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = f.endpoint.Serve(ctx) }()
	go func() { _ = server.Run(ctx); close(done) }()
	t.Cleanup(func() { cancel(); <-done })
	for _, a := range c.agents {
		a.Agent.mu.Lock()
		a.forwarders = []string{f.endpoint.Addr()}
		a.Agent.mu.Unlock()
	}
	for _, a := range c.agents {
		eventually(t, "renewals go through the forwarder", func() bool { return a.Transport.Connected(f.endpoint.Addr()) })
	}
	eventually(t, "no host connects with the leader again", func() bool {
		for _, a := range c.agents {
			a.Transport.CloseConn(c.addr)
		}
		time.Sleep(renewalInterval)
		return !slices.ContainsFunc(c.agents, func(a *testAgent) bool { return a.Transport.Connected(c.addr) })
	})
	return f
}

// Guards against a connection of each host with the leader: their renewals and requests for tokens reach it through a
// control host of their place.
func TestRenewalsAreForwarded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	c.addServices(t, "s")
	c.forwardThrough(t)
	time.Sleep(2 * renewalInterval)
	for _, a := range c.agents {
		is.True(!a.Transport.Connected(c.addr))
		is.True(a.ConfirmedAge() < 2*renewalInterval)
		is.NoErr(a.AcquireTokens(t.Context(), "t", 1))
		is.True(!a.Transport.Connected(c.addr))
	}
	eventually(t, "one host owns the service", func() bool { return len(c.owners("s")) == 1 })
	late := c.start(t, "late", clock.System{}) // its first renewal goes to the leader, which names no forwarders here
	late.Agent.mu.Lock()
	late.forwarders = c.agents[0].forwarders
	late.Agent.mu.Unlock()
	eventually(t, "the forwarder sends the catalog", func() bool { return revision(late.Catalog()) == c.log.machine.Catalog().Catalog.Revision })
}

// Guards against an outage of a place when its control host is lost, and against calls of all its hosts to all control
// hosts, which need new connections, during each election.
func TestForwarderIsLost(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 2)
	f := c.forwardThrough(t)
	a := c.agents[0]
	eventually(t, "renewals are forwarded", func() bool { return a.ConfirmedAge() < renewalInterval && !a.Transport.Connected(c.addr) })

	f.log.leaderless.Store(true)
	time.Sleep(forwarderPatience / 2)
	is.True(!a.Transport.Connected(c.addr)) // as long as an election may take
	eventually(t, "another control host is asked", func() bool { return a.ConfirmedAge() < renewalInterval })
	f.log.leaderless.Store(false)

	is.NoErr(f.endpoint.Close())
	time.Sleep(renewalInterval)
	eventually(t, "the leader is asked", func() bool { return a.ConfirmedAge() < renewalInterval })
	is.NoErr(a.AcquireTokens(t.Context(), "t", 1))
}

// Guards against requests for tokens that wait for a long delay although a leader has been found.
func TestBorrowsResumeWithLeader(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	f := c.forwardThrough(t)
	a := c.agents[0]
	f.log.leaderless.Store(true)
	failed := make(chan error)
	go func() { failed <- a.AcquireTokens(t.Context(), "team1", 1) }()
	eventually(t, "calls are rare", func() bool {
		a.Agent.mu.Lock()
		defer a.Agent.mu.Unlock()
		return a.borrows.failed > maxBorrowDoublings
	})
	f.log.leaderless.Store(false)
	a.RenewNow()
	start := time.Now()
	err := <-failed
	is.True(err == nil || verdict.As(err).Code == verdict.CodeRateExceeded)
	is.True(time.Since(start) < failedBorrowSpacing<<maxBorrowDoublings)
}

// Guards against connections of all hosts with the first control host and with the leader after a restart of all: a host that
// knows no leader yet is answered by whichever control host it calls, and hosts call different ones.
func TestFirstRenewalIsForwarded(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1)
	f := c.forwardThrough(t)
	leader := c.addr
	c.addr = f.endpoint.Addr() // the only one that new hosts know
	late := c.start(t, "late", clock.System{})
	eventually(t, "the first renewal succeeds", func() bool { return late.ConfirmedAge() < time.Minute })
	late.Agent.mu.Lock()
	called := late.leaderAddr
	late.Agent.mu.Unlock()
	is.Equal(called, leader) // in a small deployment it is called directly from then on
	first := map[int]int{}
	for i := range 300 {
		first[firstControl(fmt.Sprint("10.1.0.", i, ":7400"))%3]++
	}
	is.True(first[0] > 50 && first[1] > 50 && first[2] > 50)
}
