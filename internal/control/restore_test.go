package control

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/placement"
	"github.com/citronrun/citronrun/internal/wire"
)

// Guards against targets without holders, after a restart of all hosts, for as long as a new leader collects renewals, and
// against two holders: a target goes to its recorded holder only once that has renewed without the lease.
func TestHoldersAreRestored(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	consensus := &testConsensus{clock: clk, term: 5, leaderSince: clk.Now()}
	for id := range consensus.members {
		m := newTestMachine(t)
		m.config.(*testConfig).Current.Deployment = &catalog.Deployment{Services: []catalog.DeployedService{{Name: "s"}}}
		is.Equal(apply(t, m, 1, command{Change: &catalog.Change{ID: "c"}}).(catalog.Result).Code, catalog.CodeAccepted)
		is.Equal(apply(t, m, 2, command{Barrier: &barrier{Term: 5}}), nil)
		for i, target := range []string{"restarted", "running", "expired", "gone"} {
			is.Equal(apply(t, m, uint64(3+2*i), registerCommand(target, "1.1.1.1:"+target, 100)), nil)
			r := placement.Record{Host: target + "-host", BootID: "1", Epoch: uint64(1 + i)}
			is.Equal(apply(t, m, uint64(4+2*i), command{AssignHolder: &assignHolder{LeaderTerm: 5, Target: target, Holder: r}}), nil)
		}
		consensus.members[id] = New(Config{Name: "c", Machine: m, Log: testMember{consensus, id}, Transport: unreachableTransport{},
			Clock: clk, Logger: log.NewNopLogger(), TargetControl: &slowControl{}})
	}
	consensus.index = 10
	held := func(target string, epoch uint64) []wire.HeldTarget {
		return []wire.HeldTarget{{Target: target, Epoch: epoch}}
	}
	s := consensus.members[0]
	leader := newLeaderState(clk.Now(), 5, true)
	leader.ready, leader.readyAt = true, clk.Now()
	leader.targetLeases = placement.NewTable(clk.Now(), 5, s.Machine.TargetHolders())
	s.leader = leader
	renewed := func(host, bootID string) {
		leader.hosts[host] = &hostState{bootID: bootID, place: "x", entry: true, renewedAt: clk.Now()}
		leader.targetLeases.ReleaseEarlierProcesses(host, bootID)
	}
	renewed("restarted-host", "2")
	renewed("running-host", "1")
	renewed("expired-host", "1")
	renewed("other-host", "1")
	leader.targetLeases.RecordHeld("running-host", "1", held("running", 2))
	leader.targetLeases.RecordHeld("expired-host", "1", nil)
	s.mu.Lock()
	s.placeTargets(leader, clk.Now())
	s.mu.Unlock()
	s.background.Wait()
	is.Equal(leader.targetLeases.Lease("restarted").Host, "restarted-host")
	is.Equal(leader.targetLeases.Lease("restarted").BootID, "2")
	is.Equal(leader.targetLeases.Lease("running").BootID, "1")
	is.Equal(leader.targetLeases.Lease("running").Epoch, uint64(2)) // not assigned again
	is.Equal(leader.targetLeases.Lease("expired").Host, "expired-host")
	is.True(leader.targetLeases.Lease("expired").Epoch > 3) // assigned again
	is.Equal(leader.targetLeases.Lease("gone").BootID, "1") // until it has expired
}
