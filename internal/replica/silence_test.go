package replica

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// openGroup opens hosts that discover each other through a and b, and waits until all are voters.
func (net *testNetwork) openGroup(t *testing.T, addrs ...string) {
	t.Helper()
	for _, addr := range addrs {
		net.open(t, t.TempDir(), addr, &counter{}, initialHostsConfig(true))
	}
	net.tickUntil(t, func() bool { return net.leader() != nil && voters(net.leader()) == len(addrs) })
}

// lose ends the host that leads, or the first by address that doesn't and may be lost without the seeds a and b,
// and returns its address.
func (net *testNetwork) lose(t *testing.T, leads bool) string {
	t.Helper()
	for _, addr := range slices.Sorted(maps.Keys(net.replicas)) {
		r := net.replicas[addr]
		if (r == net.leader()) == leads && (leads || addr != "a" && addr != "b") {
			net.remove(addr)
			_ = r.Close()
			return addr
		}
	}
	t.Fatal("no host left that may be lost")
	return ""
}

// tickFor sends the ticks of a duration to all members.
func (net *testNetwork) tickFor(t *testing.T, d time.Duration) {
	t.Helper()
	left := int(d / tickInterval)
	net.tickUntil(t, func() bool { left--; return left < 0 })
}

func (net *testNetwork) remove(addr string) {
	net.mu.Lock()
	defer net.mu.Unlock()
	delete(net.replicas, addr)
	delete(net.ticks, addr)
}

// TestSeveralLostHostsAreRemoved guards against a quorum that counts hosts that are gone for good, because more
// than one of them was silent at a time: one more loss then ends the group.
func TestSeveralLostHostsAreRemoved(t *testing.T) {
	is := is.New(t)
	net := newTestNetwork()
	net.openGroup(t, "a", "b", "c", "d", "e")
	lost := map[string]bool{}
	for i := range 3 { // each host is replaced before the one lost earlier may be removed
		lost[net.lose(t, false)] = true
		net.open(t, t.TempDir(), fmt.Sprint("f", i), &counter{}, initialHostsConfig(false))
		net.tickUntil(t, func() bool {
			return net.leader() != nil && hasAddress(net.leader().Status().Members, fmt.Sprint("f", i))
		})
	}
	net.tickUntil(t, func() bool { return net.leader() != nil && voters(net.leader()) == 5 })
	for _, m := range net.leader().Status().Members {
		is.True(!lost[m.Addr])
	}
	lost[net.lose(t, false)] = true
	net.propose(t, 1)
}

// TestLostHostIsReplacedInTime guards against a group that can't bear the next loss once the successor of a lost host has
// had its time to catch up, because the lost host still counts as a voter.
func TestLostHostIsReplacedInTime(t *testing.T) {
	const (
		catchUpTime      = 4 * time.Second
		successorDelay   = 300 * time.Millisecond
		diskReplacedTime = 3 * time.Second
	)
	for _, leads := range []bool{false, true} {
		t.Run(fmt.Sprint("lost host leads ", leads), func(t *testing.T) {
			is := is.New(t)
			net := newTestNetwork()
			conf := initialHostsConfig(true)
			conf.CatchUpTime = catchUpTime
			for _, addr := range []string{"a", "b", "c"} {
				net.open(t, t.TempDir(), addr, &counter{}, conf)
			}
			net.tickUntil(t, func() bool { return net.leader() != nil && voters(net.leader()) == 3 })
			net.lose(t, leads)
			net.tickFor(t, successorDelay)
			conf.Bootstrap = false
			net.open(t, t.TempDir(), "d", &counter{}, conf)
			net.tickFor(t, catchUpTime)

			next := net.lose(t, false)
			net.tickFor(t, diskReplacedTime)
			is.True(net.leader() != nil) // the group still has a quorum
			net.propose(t, 1)
			fresh := net.open(t, t.TempDir(), next, &counter{}, conf) // its disk is lost
			net.tickUntil(t, func() bool { return voters(fresh) == 3 })
			is.Equal(voters(net.leader()), 3)
		})
	}
}
