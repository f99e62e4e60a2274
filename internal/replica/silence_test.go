package replica

import (
	"fmt"
	"maps"
	"slices"
	"testing"

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

// lose takes a host that doesn't lead away for good and returns its address.
func (net *testNetwork) lose(t *testing.T) string {
	t.Helper()
	for _, addr := range slices.Sorted(maps.Keys(net.replicas)) {
		r := net.replicas[addr]
		if r != net.leader() && addr != "a" && addr != "b" {
			net.remove(addr)
			_ = r.Close()
			return addr
		}
	}
	t.Fatal("no host left that may be lost")
	return ""
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
		lost[net.lose(t)] = true
		net.open(t, t.TempDir(), fmt.Sprint("f", i), &counter{}, initialHostsConfig(false))
		net.tickUntil(t, func() bool {
			return net.leader() != nil && hasAddress(net.leader().Status().Members, fmt.Sprint("f", i))
		})
	}
	net.tickUntil(t, func() bool { return net.leader() != nil && voters(net.leader()) == 5 })
	for _, m := range net.leader().Status().Members {
		is.True(!lost[m.Addr])
	}
	lost[net.lose(t)] = true
	net.propose(t, 1)
}
