package agent

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/wire"
)

// unreachable returns the address of a host that answers nothing.
func unreachable(t *testing.T) string {
	socket, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = socket.Close() })
	return socket.LocalAddr().String()
}

// cutOff makes an agent unable to reach the control hosts, but able to reach the other agents.
func (c *cluster) cutOff(t *testing.T, a *testAgent) {
	var addrs []string
	for _, b := range c.agents {
		addrs = append(addrs, b.Addr)
	}
	for _, b := range c.agents {
		b.Agent.mu.Lock()
		b.hostAddrs = addrs
		b.Agent.mu.Unlock()
	}
	go a.Transport.KeepConnected(t.Context(), func() []string { return addrs[1:] })
	eventually(t, "the other hosts are connected", func() bool {
		return a.Transport.Connected(addrs[1]) && a.Transport.Connected(addrs[2])
	})
	a.Agent.mu.Lock()
	a.ControlSeeds, a.advertisedControlAddrs, a.leaderAddr = []string{unreachable(t), unreachable(t)}, nil, ""
	a.Agent.mu.Unlock()
}

// keepCutOff waits until no reply names the control host to the agents again: one to a renewal that was under way when an
// agent was cut off, or that came through another agent which wasn't yet.
func (c *cluster) keepCutOff(t *testing.T, agents ...*testAgent) {
	eventually(t, "the agents are cut off", func() bool {
		cutOff := true
		for _, a := range agents {
			a.Transport.CloseConn(c.addr)
			a.Agent.mu.Lock()
			named := a.leaderAddr == c.addr || slices.Contains(a.advertisedControlAddrs, c.addr)
			a.advertisedControlAddrs, a.leaderAddr = nil, ""
			a.Agent.mu.Unlock()
			cutOff = cutOff && !named && a.ConfirmedAge() >= renewalInterval
		}
		return cutOff
	})
}

// Guards against a host whose callers are refused while it is cut off from the control hosts, although other entry hosts
// reach them.
func TestDetour(t *testing.T) {
	is := is.New(t)
	c := newClusterWith(t, 3, true)
	cut := c.agents[0]
	eventually(t, "all hosts renew", func() bool {
		for _, a := range c.agents {
			if a.ConfirmedAge() > time.Minute {
				return false
			}
		}
		return true
	})
	c.cutOff(t, cut)
	put := &catalog.PutService{Name: "s", Service: catalog.Service{Databases: 1}}
	_, err := c.agents[1].Change(t.Context(), catalog.Change{ID: "add", Ops: []catalog.Op{{PutService: put}}})
	is.NoErr(err)
	via := func() string {
		cut.Agent.mu.Lock()
		defer cut.Agent.mu.Unlock()
		return cut.detours.via
	}
	worst, tookDetour := time.Duration(0), false
	for start := time.Now(); time.Since(start) < directRetryInterval; time.Sleep(10 * time.Millisecond) {
		worst = max(worst, cut.ConfirmedAge())
		if via() != "" && !tookDetour {
			tookDetour = true
			is.NoErr(cut.AcquireTokens(t.Context(), "team3", 1))
			eventually(t, "the new catalog arrives", func() bool { return revision(cut.Catalog()) == 1 })
			is.True(via() != "")
		}
	}
	is.True(tookDetour)
	is.True(worst < 4*renewalInterval)                                                 // two silent calls and a renewal
	eventually(t, "the direct way is taken again", func() bool { return via() == "" }) // to the leader that the replies have named
}

// Guards against hosts that renew in the name of others where hosts are authenticated, and against calls between entry hosts
// that go round while none reaches control.
func TestNoDetour(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 3)
	cut := c.agents[0]
	eventually(t, "all hosts renew", func() bool { return cut.ConfirmedAge() < renewalInterval })
	c.cutOff(t, cut)
	c.keepCutOff(t, cut)
	time.Sleep(4 * renewalInterval)
	is.True(cut.ConfirmedAge() >= 3*renewalInterval)

	all := newClusterWith(t, 3, true)
	eventually(t, "all hosts renew", func() bool { return all.agents[0].ConfirmedAge() < renewalInterval })
	for _, a := range all.agents {
		all.cutOff(t, a)
	}
	all.keepCutOff(t, all.agents...)
	time.Sleep(4 * renewalInterval)
	for _, a := range all.agents {
		is.True(a.ConfirmedAge() >= 2*renewalInterval)
		is.True(a.ControlLost())
		a.Agent.mu.Lock()
		failed, refused := len(a.failedPeers), len(a.detours.refusedAt)
		a.Agent.mu.Unlock()
		is.Equal(failed, 0) // hosts that can't forward are still relays and admit for their place
		is.True(refused > 0)
	}
}

// Guards against a place that is cut off as a whole: the holders of targets are known in all places. Once one host has found
// a way, the others of its place take it too, but calls don't go from entry host to entry host without end.
func TestDetourThroughOtherPlace(t *testing.T) {
	is := is.New(t)
	c := newClusterWith(t, 4, true)
	eventually(t, "all hosts renew", func() bool {
		return !slices.ContainsFunc(c.agents, func(a *testAgent) bool { return a.ConfirmedAge() > time.Minute })
	})
	holder := c.agents[3]
	here := []string{c.agents[0].Addr, c.agents[1].Addr, c.agents[2].Addr}
	for _, a := range c.agents[:3] {
		go a.Transport.KeepConnected(t.Context(), func() []string { return here })
		a.Agent.mu.Lock()
		a.ControlSeeds, a.advertisedControlAddrs, a.leaderAddr = []string{unreachable(t), unreachable(t)}, nil, ""
		a.hostAddrs, a.placeHosts = here, true
		a.Agent.mu.Unlock()
		a.targetRoutes.Store(newTargetTable([]wire.TargetRoute{{Target: "t", Service: "s", Holder: holder.Host, Addr: holder.Addr}}))
	}
	time.Sleep(2 * renewalInterval)
	eventually(t, "all hosts of the place renew", func() bool {
		return !slices.ContainsFunc(c.agents[:3], func(a *testAgent) bool { return a.ConfirmedAge() > 2*renewalInterval })
	})

	a := c.agents[0]
	a.Agent.mu.Lock()
	a.detours = detourState{unanswered: detourAfter, via: here[1], triedAt: a.Clock.Now()}
	a.Agent.mu.Unlock()
	_, ok := a.forwardTarget(0)
	is.True(ok)
	_, ok = a.forwardTarget(1)
	is.True(!ok)
}
