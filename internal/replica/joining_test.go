package replica

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/clock"
)

// joinConfig returns the configuration of hosts that discover each other through two seeds, a and b.
func joinConfig(bootstrap bool) Config {
	return Config{Initial: []string{"a", "b"}, Bootstrap: bootstrap, Join: true, MinVoters: 3}
}

// Guards against the founding of two groups, and against hosts other than the seeds that never become
// members.
func TestFoundingFromSeeds(t *testing.T) {
	is := is.New(t)
	h := newHub()
	var all []*Replica
	for _, addr := range []string{"d", "c", "b", "a"} {
		all = append(all, h.open(t, t.TempDir(), addr, &counter{}, joinConfig(true)))
	}
	h.tickUntil(t, func() bool { return voters(all[0]) == 4 && voters(all[3]) == 4 })
	leader := all[0].Status().Leader
	for _, r := range all {
		is.Equal(r.Status().Leader, leader)
	}
}

// Guards against a host that lost its disk and then votes a second time in a term, and against one that
// can't rejoin.
func TestLostDisk(t *testing.T) {
	is := is.New(t)
	h := newHub()
	var all []*Replica
	for _, addr := range []string{"a", "b", "c"} {
		all = append(all, h.open(t, t.TempDir(), addr, &counter{}, joinConfig(true)))
	}
	h.tickUntil(t, func() bool { return voters(all[0]) == 3 && voters(all[2]) == 3 })
	old := all[2].Status().ID
	is.NoErr(all[2].Close())
	delete(h.ticks, "c")
	fresh := h.open(t, t.TempDir(), "c", &counter{}, joinConfig(false))
	is.True(fresh.Status().ID != old)
	is.Equal(voters(fresh), 0) // not a member until it is admitted
	h.tickUntil(t, func() bool { return voters(fresh) == 3 })
	for _, m := range fresh.Status().Members {
		is.True(m.ID != old)
	}
}

// Guards against a quorum that still counts a permanently lost host, and against a host that was removed
// while it was unreachable and can't rejoin.
func TestReplacedHost(t *testing.T) {
	is := is.New(t)
	h := newHub()
	sms := map[string]*counter{}
	var all []*Replica
	for _, addr := range []string{"a", "b", "c", "d"} {
		sms[addr] = &counter{}
		all = append(all, h.open(t, t.TempDir(), addr, sms[addr], joinConfig(true)))
	}
	h.tickUntil(t, func() bool { return voters(all[0]) == 4 && voters(all[3]) == 4 })
	gone := all[3]
	for _, r := range all {
		if r.Status().Leader.Addr != "d" {
			continue
		}
		gone = all[2] // don't take down the leader
	}
	addr := "d"
	if gone == all[2] {
		addr = "c"
	}
	h.mu.Lock()
	h.down[addr] = true
	h.mu.Unlock()
	h.tickUntil(t, func() bool { return voters(all[0]) == 3 })
	h.mu.Lock()
	h.down[addr] = false
	h.mu.Unlock()
	h.tickUntil(t, func() bool { return voters(all[0]) == 4 })
	is.Equal(voters(all[1]), 4)
}

// Guards against reads that a leader confirms after its lease has ended, when another member may have
// been elected: because the leader was cut off, or was suspended while the clock kept running.
func TestLeaseEnds(t *testing.T) {
	is := is.New(t)
	h := newHub()
	clk := clock.NewFake(time.Unix(1000, 0))
	var all []*Replica
	for _, addr := range []string{"a", "b", "c"} {
		conf := joinConfig(true)
		conf.Clock = clk
		all = append(all, h.open(t, t.TempDir(), addr, &counter{}, conf))
	}
	h.tickUntil(t, func() bool { return voters(all[0]) == 3 && voters(all[2]) == 3 && h.leader() != nil })
	leader := h.leader()
	rounds := 0
	h.tickUntil(t, func() bool { // some heartbeat rounds are answered
		rounds++
		return rounds > 10
	})
	confirm := func() error {
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		return leader.ReadBarrier(ctx)
	}
	is.NoErr(confirm())
	h.mu.Lock()
	h.down[leader.cfg.Addr] = true
	h.mu.Unlock()
	clk.Advance(leaseTime - time.Millisecond)
	is.NoErr(confirm()) // no other member can be the leader yet
	clk.Advance(time.Millisecond)
	is.True(confirm() != nil)
}
