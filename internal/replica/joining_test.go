package replica

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/clock"
)

// initialHostsConfig returns the configuration of hosts that discover each other through two initial hosts, a
// and b.
func initialHostsConfig(bootstrap bool) Config {
	return Config{Initial: []string{"a", "b"}, Bootstrap: bootstrap, Join: true, MinVoters: 3}
}

// TestBootstrapFromInitialHosts guards against the bootstrap of two groups, and against hosts that never
// become members because they aren't among the initial ones.
func TestBootstrapFromInitialHosts(t *testing.T) {
	is := is.New(t)
	net := newTestNetwork()
	var all []*Replica
	for _, addr := range []string{"d", "c", "b", "a"} {
		all = append(all, net.open(t, t.TempDir(), addr, &counter{}, initialHostsConfig(true)))
	}
	net.tickUntil(t, func() bool { return voters(all[0]) == 4 && voters(all[3]) == 4 })
	leader := all[0].Status().Leader
	for _, r := range all {
		is.Equal(r.Status().Leader, leader)
	}
}

// TestLostDisk guards against a host that lost its disk and then votes a second time in a term, and against
// one that can't rejoin.
func TestLostDisk(t *testing.T) {
	is := is.New(t)
	net := newTestNetwork()
	var all []*Replica
	for _, addr := range []string{"a", "b", "c"} {
		all = append(all, net.open(t, t.TempDir(), addr, &counter{}, initialHostsConfig(true)))
	}
	net.tickUntil(t, func() bool { return voters(all[0]) == 3 && voters(all[2]) == 3 })
	old := all[2].Status().ID
	is.NoErr(all[2].Close())
	delete(net.ticks, "c")
	fresh := net.open(t, t.TempDir(), "c", &counter{}, initialHostsConfig(false))
	is.True(fresh.Status().ID != old)
	is.Equal(voters(fresh), 0) // not a member until the leader adds it
	net.tickUntil(t, func() bool { return voters(fresh) == 3 })
	for _, m := range fresh.Status().Members {
		is.True(m.ID != old)
	}
}

// TestRemovedHostRejoins guards against a quorum that still counts a permanently lost host, and against a host that
// was removed while it was unreachable and can't rejoin.
func TestRemovedHostRejoins(t *testing.T) {
	is := is.New(t)
	net := newTestNetwork()
	sms := map[string]*counter{}
	var all []*Replica
	for _, addr := range []string{"a", "b", "c", "d"} {
		sms[addr] = &counter{}
		all = append(all, net.open(t, t.TempDir(), addr, sms[addr], initialHostsConfig(true)))
	}
	net.tickUntil(t, func() bool { return voters(all[0]) == 4 && voters(all[3]) == 4 })
	removed := all[3]
	for _, r := range all {
		if r.Status().Leader.Addr != "d" {
			continue
		}
		removed = all[2] // don't take down the leader
	}
	addr := "d"
	if removed == all[2] {
		addr = "c"
	}
	net.mu.Lock()
	net.disconnected[addr] = true
	net.mu.Unlock()
	net.tickUntil(t, func() bool { return voters(all[0]) == 3 })
	net.mu.Lock()
	net.disconnected[addr] = false
	net.mu.Unlock()
	net.tickUntil(t, func() bool { return voters(all[0]) == 4 })
	is.Equal(voters(all[1]), 4)
}

// TestLeaseEnds guards against reads that a leader confirms after its read lease has ended. Another member may
// have been elected by then, because the leader was cut off or was suspended while the clock kept running.
func TestLeaseEnds(t *testing.T) {
	is := is.New(t)
	net := newTestNetwork()
	clk := clock.NewFake(time.Unix(1000, 0))
	var all []*Replica
	for _, addr := range []string{"a", "b", "c"} {
		conf := initialHostsConfig(true)
		conf.Clock = clk
		all = append(all, net.open(t, t.TempDir(), addr, &counter{}, conf))
	}
	net.tickUntil(t, func() bool { return voters(all[0]) == 3 && voters(all[2]) == 3 && net.leader() != nil })
	leader := net.leader()
	rounds := 0
	net.tickUntil(t, func() bool { // some heartbeat rounds are answered
		rounds++
		return rounds > 10
	})
	readBarrier := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		return leader.ReadBarrier(ctx)
	}
	is.NoErr(readBarrier())
	net.mu.Lock()
	net.disconnected[leader.cfg.Addr] = true
	net.mu.Unlock()
	clk.Advance(readLeaseDuration - time.Millisecond)
	is.NoErr(readBarrier()) // the read lease is valid: no other member can have been elected yet
	clk.Advance(time.Millisecond)
	is.True(readBarrier() != nil)
}
