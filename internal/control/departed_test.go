package control

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/placement"
	"github.com/citronrun/citronrun/internal/promotion"
	"github.com/citronrun/citronrun/internal/wire"
)

// Guards against a promotion that loses acknowledged commits because the replica that had them has left, while the others had
// received nothing for a while: it must count until the others have what it had.
func TestDepartedReplicaCounts(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	targets := &groupControl{primary: "p", unreachable: map[string]bool{}, paused: map[string]bool{}, behind: map[string]bool{"a": true, "b": true}}
	s, leader := newGroupServer(t, clk, targets)
	is.Equal(apply(t, s.Machine, 100, registerCommand("l", "1.1.1.1:4", 100)), nil)
	_, err := s.deregisterTarget(t.Context(), leader, &wire.Registration{Target: "l", Terminating: true})
	is.NoErr(err)
	settle := func() int {
		s.mu.Lock()
		s.stepDeparted(leader, clk.Now(), "s")
		s.mu.Unlock()
		s.background.Wait()
		clk.Advance(settleInterval)
		return len(s.Machine.Group("s").Departed)
	}
	chooses := func() bool {
		return s.inspect(t.Context(), leader, "s", s.Machine.Group("s"), nil, false).Order.Target != ""
	}
	is.Equal(settle(), 1) // neither a nor b has what l had
	is.Equal(s.groupStatus(leader, clk.Now(), "s").Departed, []string{"l"})
	targets.unreachable["p"] = true
	is.True(!chooses())
	targets.unreachable["p"] = false
	targets.behind["a"] = false
	is.Equal(settle(), 1) // l still answers, and may still receive commits
	targets.unreachable["l"] = true
	targets.unreachable["p"] = true
	is.Equal(settle(), 1) // what p has isn't known
	targets.unreachable["p"] = false
	is.Equal(settle(), 0)
	targets.unreachable["p"] = true
	is.True(chooses())
}

// Guards against a service that waits for ever for its primary, which is lost for good together with a replica that may have
// commits that the others lack, although an operator accepts the loss.
func TestForgottenReplicaDoesNotCount(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	targets := &groupControl{primary: "p", unreachable: map[string]bool{"p": true, "a": true}, paused: map[string]bool{}}
	s, leader := newGroupServer(t, clk, targets)
	s.leader = leader
	chosen := func() string {
		return s.inspect(t.Context(), leader, "s", s.Machine.Group("s"), nil, false).Order.Target
	}
	forget := func(service, target string) error {
		_, err := s.executeAdmin(t.Context(), &wire.AdminRequest{Op: wire.AdminForget, Service: service, Target: target})
		return err
	}
	is.Equal(chosen(), "")
	_, err := s.deregisterTarget(t.Context(), leader, &wire.Registration{Target: "a", Terminating: true})
	is.NoErr(err)
	is.Equal(chosen(), "")
	is.Equal(forget("s", "p"), errIsPrimary)
	is.Equal(forget("s", "x"), errNotTargetOfService)
	is.Equal(forget("other", "a"), errNotTargetOfService)
	is.NoErr(forget("s", "a"))
	is.Equal(chosen(), "b")
}

// Guards against a replica that is lost for good and stays a member, because a promotion was under way or no host had its
// lease, and against the removal of a replica that answers the holder of its lease or has registered.
func TestLostReplicaIsRemoved(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	s, leader := newGroupServer(t, clk, &groupControl{primary: "p"})
	for i, target := range []string{"held", "silent", "registered"} {
		is.Equal(apply(t, s.Machine, uint64(100+i), registerCommand(target, "1.1.1.1:1"+target, 100)), nil)
	}
	group := leader.groupState(clk.Now(), "s")
	group.promotion.Step(promotion.Input{Now: clk.Now(), Record: promotion.Record{Primary: "p"}, PrimaryLeaving: true})
	is.True(group.promotion.State() != "steady")
	clk.Advance(registrationTTL)
	for _, target := range []string{"held", "silent"} {
		leader.targetLeases.Assign(clk.Now(), target, placement.Record{Host: "h", BootID: "1", Epoch: 1})
	}
	group.health["silent"] = targetHealth{TargetHealth: wire.TargetHealth{Target: "silent", SilentFor: registrationTTL}}
	leader.registrations["registered"] = &registration{receivedAt: clk.Now()}
	s.mu.Lock()
	s.removeExpiredReplicas(leader, clk.Now(), "s")
	s.mu.Unlock()
	s.background.Wait()
	record := s.Machine.Group("s")
	is.Equal(slices.Sorted(maps.Keys(record.Members)), []string{"held", "p", "registered"})
	is.Equal(slices.Sorted(maps.Keys(record.Departed)), []string{"a", "b", "silent"})
}

// A departed target must count until it is settled, for the primary of that time only, or registers again, and must outlast a
// snapshot. The primary itself doesn't count as a replica.
func TestDepartedTargetsAreRecorded(t *testing.T) {
	is := is.New(t)
	s, _ := newGroupServer(t, clock.NewFake(time.Unix(1000, 0)), &groupControl{})
	m := s.Machine
	leave := func(index uint64, target string) {
		is.Equal(apply(t, m, index, command{DeregisterTarget: &deregisterTarget{Service: "s", Target: target, StartedMs: 100}}), nil)
	}
	leave(10, "a")
	leave(11, "b")
	is.Equal(len(m.Group("s").Departed), 2)
	data, err := m.Snapshot()
	is.NoErr(err)
	restored := newTestMachine(t)
	is.NoErr(restored.Restore(data))
	is.Equal(restored.Group("s"), m.Group("s"))
	leave(12, "p")
	is.Equal(len(m.Group("s").Departed), 2)
	is.Equal(apply(t, m, 13, registerCommand("a", "1.1.1.1:2", 100)), nil)
	is.Equal(len(m.Group("s").Departed), 1)
	settle := &settleDeparted{LeaderTerm: 5, Service: "s", Primary: "x", Targets: []string{"b"}}
	is.Equal(apply(t, m, 14, command{SettleDeparted: settle}), errStale)
	settle.Primary = "p"
	is.Equal(apply(t, m, 15, command{SettleDeparted: settle}), nil)
	is.Equal(len(m.Group("s").Departed), 0)
}

// Guards against acknowledged commits that are lost, because a replica that has started again under its name, without its log,
// counts as the process that had received them.
func TestReplicaRestartedWithoutLogCounts(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	targets := &groupControl{primary: "p", unreachable: map[string]bool{"p": true}, behind: map[string]bool{"b": true}, paused: map[string]bool{}}
	s, leader := newGroupServer(t, clk, targets)
	index := uint64(200)
	do := func(c command) {
		index++
		is.Equal(apply(t, s.Machine, index, c), nil)
	}
	restarted := func() map[string]uint64 { return s.Machine.Group("s").Restarted }
	chosen := func() string {
		return s.inspect(t.Context(), leader, "s", s.Machine.Group("s"), nil, false).Order.Target
	}
	settle := func() {
		clk.Advance(settleInterval)
		s.mu.Lock()
		s.stepDeparted(leader, clk.Now(), "s")
		s.mu.Unlock()
		s.background.Wait()
	}
	is.Equal(chosen(), "a")
	do(registerCommand("a", "1.1.1.1:2", 100)) // the same process
	do(registerCommand("p", "1.1.1.1:1", 200)) // a primary comes back with its log
	is.Equal(chosen(), "a")
	do(registerCommand("a", "1.1.1.1:2", 200))
	is.Equal(chosen(), "")
	settle()
	is.Equal(restarted(), map[string]uint64{"a": 200}) // the primary doesn't answer
	targets.unreachable["p"] = false
	do(command{SettleDeparted: &settleDeparted{LeaderTerm: 5, Service: "s", Primary: "p", Restarted: map[string]uint64{"a": 100}}})
	is.Equal(restarted(), map[string]uint64{"a": 200}) // settled before it started again
	settle()
	is.Equal(len(restarted()), 0)

	do(command{DeregisterTarget: &deregisterTarget{Service: "s", Target: "a", StartedMs: 200}})
	do(registerCommand("a", "1.1.1.1:2", 200))
	is.Equal(len(restarted()), 0) // the same process is back
	do(command{DeregisterTarget: &deregisterTarget{Service: "s", Target: "a", StartedMs: 200}})
	do(registerCommand("a", "1.1.1.1:2", 300))
	is.Equal(restarted(), map[string]uint64{"a": 300})
	data, err := s.Machine.Snapshot()
	is.NoErr(err)
	restored := newTestMachine(t)
	is.NoErr(restored.Restore(data))
	is.Equal(restored.Group("s").Restarted, restarted())
	_, err = s.executeAdmin(t.Context(), &wire.AdminRequest{Op: wire.AdminForget, Service: "s", Target: "a"})
	is.NoErr(err)
	is.Equal(len(restarted()), 0)
}
