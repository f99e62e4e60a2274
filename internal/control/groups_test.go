package control

import (
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/placement"
	"github.com/citronrun/citronrun/internal/wire"
)

func registerCommand(target, addr string, startedMs uint64) command {
	return command{RegisterTarget: &registerTarget{Service: "s", Target: target, Member: GroupMember{Addr: addr, Place: "x", Slots: 2, StartedMs: startedMs}}}
}

// When a process registers with the address of another target, that target must be removed. Otherwise
// statements for the removed target would reach the new process.
func TestAddressBelongsToLatestProcess(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	is.Equal(apply(t, m, 1, registerCommand("a", "1.1.1.1:1", 100)), nil)
	is.Equal(apply(t, m, 2, registerCommand("b", "1.1.1.1:1", 200)), nil)
	is.Equal(len(m.Group("s").Members), 1)
	is.Equal(apply(t, m, 3, registerCommand("a", "1.1.1.1:1", 100)), errNewerProcess) // delayed registration of the replaced target
	is.Equal(apply(t, m, 4, registerCommand("b", "1.1.1.1:1", 150)), errNewerProcess) // earlier process of the same target
	is.Equal(apply(t, m, 5, command{DeregisterTarget: &deregisterTarget{Service: "s", Target: "b", StartedMs: 150}}), errNewerProcess)
	is.Equal(apply(t, m, 6, command{DeregisterTarget: &deregisterTarget{Service: "s", Target: "b", StartedMs: 200}}), nil)
	is.Equal(len(m.Group("s").Members), 0)
}

// No two orders may have the same fencing token, and the outcome of a superseded order and commands of a
// replaced leader must have no effect.
func TestFencingTokens(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	is.Equal(apply(t, m, 1, command{Barrier: &barrier{Term: 5}}), nil)
	is.Equal(apply(t, m, 2, command{RecordPromotion: &recordPromotion{LeaderTerm: 5, Service: "s", Target: "a"}}), nil)
	is.Equal(m.Group("s").Primary, "a")
	is.Equal(apply(t, m, 3, command{OrderPromotion: &orderPromotion{LeaderTerm: 5, Service: "s", Token: 1, Target: "b"}}), nil)
	is.Equal(apply(t, m, 4, command{OrderPromotion: &orderPromotion{LeaderTerm: 5, Service: "s", Token: 1, Target: "c"}}), errStale)
	is.Equal(apply(t, m, 5, command{OrderPromotion: &orderPromotion{LeaderTerm: 5, Service: "s", Token: 2, Target: "c"}}), nil)
	is.Equal(apply(t, m, 6, command{RecordPromotion: &recordPromotion{LeaderTerm: 5, Service: "s", Token: 1, Target: "b"}}), errStale)
	is.Equal(apply(t, m, 7, command{RecordPromotion: &recordPromotion{LeaderTerm: 5, Service: "s", Token: 2, Target: "b"}}), errStale)
	is.Equal(m.Group("s").Primary, "a")
	is.Equal(apply(t, m, 8, command{Barrier: &barrier{Term: 6}}), nil)
	is.Equal(apply(t, m, 9, command{RecordPromotion: &recordPromotion{LeaderTerm: 5, Service: "s", Token: 2, Target: "c"}}), errStale)
	is.Equal(apply(t, m, 10, command{RecordPromotion: &recordPromotion{LeaderTerm: 6, Service: "s", Token: 2, Target: "c"}}), nil)
	is.Equal(m.Group("s"), Group{Primary: "c", Token: 2, Members: map[string]GroupMember{}})
}

// A target may succeed the recorded primary without an order only while that is still recorded and no order is pending.
func TestSuccessionOfPrimary(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	is.Equal(apply(t, m, 1, command{Barrier: &barrier{Term: 5}}), nil)
	is.Equal(apply(t, m, 2, registerCommand("b", "1.1.1.1:1", 100)), nil)
	is.Equal(apply(t, m, 3, command{RecordPromotion: &recordPromotion{LeaderTerm: 5, Service: "s", Target: "a"}}), nil)
	succeed := func(index uint64, target, primary string) any {
		return apply(t, m, index, command{RecordPromotion: &recordPromotion{LeaderTerm: 5, Service: "s", Token: m.Group("s").Token, Target: target, Succeeds: primary}})
	}
	is.Equal(succeed(4, "c", "a"), errStale) // not a member
	is.Equal(succeed(5, "b", "x"), errStale) // not the recorded primary
	is.Equal(succeed(6, "b", ""), errStale)
	is.Equal(succeed(7, "b", "a"), nil)
	is.Equal(m.Group("s").Primary, "b")
	is.Equal(succeed(8, "b", "a"), errStale)
	is.Equal(apply(t, m, 9, command{OrderPromotion: &orderPromotion{LeaderTerm: 5, Service: "s", Token: 1, Target: "c"}}), nil)
	is.Equal(succeed(10, "b", "b"), errStale)
}

// A snapshot must keep the recorded lease holders and the pending promotion order, and removing a target must
// remove its recorded holder.
func TestSnapshotKeepsHoldersAndPromotionOrders(t *testing.T) {
	is := is.New(t)
	m := newTestMachine(t)
	is.Equal(apply(t, m, 1, command{Barrier: &barrier{Term: 5}}), nil)
	is.Equal(apply(t, m, 2, registerCommand("a", "1.1.1.1:1", 100)), nil)
	r := placement.Record{Host: "h", BootID: "1", Epoch: 9}
	is.Equal(apply(t, m, 3, command{AssignHolder: &assignHolder{LeaderTerm: 5, Target: "a", Holder: r}}), nil)
	is.Equal(apply(t, m, 4, command{AssignHolder: &assignHolder{LeaderTerm: 5, Target: "a", Holder: r}}), errStale) // same epoch
	is.Equal(apply(t, m, 5, command{OrderPromotion: &orderPromotion{LeaderTerm: 5, Service: "s", Token: 1, Target: "a"}}), nil)
	data, err := m.Snapshot()
	is.NoErr(err)
	restored := newTestMachine(t)
	is.NoErr(restored.Restore(data))
	is.Equal(restored.Group("s"), m.Group("s"))
	is.Equal(restored.TargetHolders(), m.TargetHolders())
	is.Equal(apply(t, restored, 6, command{DeregisterTarget: &deregisterTarget{Service: "s", Target: "a", StartedMs: 100}}), nil)
	is.Equal(len(restored.TargetHolders()), 0)
}

// A primary counts as silent when both its registrations and the renewals of its lease holder are overdue.
// Otherwise a common failure of both would only be detected by the next holder. It must not count as silent
// when only one of the two is overdue.
func TestPrimaryLostWithItsHolder(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	leader := newLeaderState(start, 1, true)
	leader.targetLeases.Assign(start, "db", placement.Record{Host: "h", BootID: "1", Epoch: 1})
	leader.hosts["h"] = &hostState{bootID: "1", renewedAt: start}
	leader.registrations["db"] = &registration{receivedAt: start}
	is.True(!leader.targetAndHolderSilent(start.Add(registrationOverdue-1), "db"))
	now := start.Add(registrationOverdue)
	is.True(leader.targetAndHolderSilent(now, "db"))
	leader.hosts["h"].renewedAt = now
	is.True(!leader.targetAndHolderSilent(now, "db"))
	leader.hosts["h"].renewedAt = start
	leader.registrations["db"].receivedAt = now
	is.True(!leader.targetAndHolderSilent(now, "db"))

	leader = newLeaderState(start, 2, true) // neither the target nor its holder reaches the next leader
	leader.targetLeases.Assign(start, "db", placement.Record{Host: "h", BootID: "1", Epoch: 1})
	is.True(!leader.targetAndHolderSilent(start.Add(registrationOverdue-1), "db"))
	is.True(leader.targetAndHolderSilent(now, "db"))
}

// Guards against a service whose recorded primary has become a replica, as after a restart without its log, and that goes on
// as if it had a primary. Registrations that were under way when it was recorded don't count.
func TestPrimaryThatReportsReplicaRole(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	m := newTestMachine(t)
	s := New(Config{Name: "c", Machine: m, Log: testMember{&testConsensus{}, 1}, Transport: unreachableTransport{}, Clock: clk, Logger: log.NewNopLogger()})
	leader := newLeaderState(clk.Now(), 1, true)
	record := Group{Primary: "a", Members: map[string]GroupMember{"a": {StartedMs: 200}}}
	group := leader.groupState(clk.Now(), "s")
	registered := func(after time.Duration, primary bool) bool {
		clk.Advance(after)
		leader.registrations["a"] = &registration{Registration: wire.Registration{Target: "a", StartedMs: 200, Primary: primary}, receivedAt: clk.Now()}
		return s.promotionInput(leader, clk.Now(), record, group).PrimaryGone
	}
	is.True(!registered(roleReportDelay-1, false))
	is.True(registered(1, false))
	is.True(!registered(1, true))
}

// Guards against a target that has left but stays a member for good, because it left after a change of leader and hadn't
// registered at the new one: promotions wait for its answer.
func TestLeaveAfterChangeOfLeader(t *testing.T) {
	is := is.New(t)
	s, leader := newGroupServer(t, clock.NewFake(time.Unix(1000, 0)), &groupControl{primary: "p"})
	reply, err := s.deregisterTarget(t.Context(), leader, &wire.Registration{Target: "a", Terminating: true})
	is.NoErr(err)
	is.True(reply.OK)
	_, isMember := s.Machine.Group("s").Members["a"]
	is.True(!isMember)
	reply, err = s.deregisterTarget(t.Context(), leader, &wire.Registration{Target: "a", Terminating: true})
	is.NoErr(err)
	is.True(reply.OK) // sent again, as the answer may be lost
}

// Guards against a target that has left, or is leaving, and is in use again after a change of leader, until it registers
// at the new one and for a whole drain time after that.
func TestLeavingTargetStaysLeaving(t *testing.T) {
	is := is.New(t)
	const drainTime = 4 * time.Second
	m := newTestMachine(t)
	leaving := registerCommand("a", "1.1.1.1:1", 100)
	leaving.RegisterTarget.Member.Leaving = true
	is.Equal(apply(t, m, 1, leaving), nil)
	is.Equal(apply(t, m, 2, registerCommand("a", "1.1.1.1:1", 100)), nil) // a late registration
	is.Equal(apply(t, m, 3, registerCommand("b", "1.1.1.1:2", 100)), nil)
	data, err := m.Snapshot()
	is.NoErr(err)
	restored := newTestMachine(t)
	is.NoErr(restored.Restore(data))

	clk := clock.NewFake(time.Unix(1000, 0))
	s := New(Config{Name: "c", Machine: restored, Log: testMember{&testConsensus{}, 1}, Transport: unreachableTransport{}, Clock: clk, Logger: log.NewNopLogger(), DrainTime: drainTime})
	leader := newLeaderState(clk.Now(), 2, true)
	leader.inheritLeaving(restored.Groups(), drainTime)
	is.True(!leader.leavingSince("a").IsZero())
	is.True(leader.leavingSince("b").IsZero())
	since := leader.leavingSince("a")
	clk.Advance(time.Second)
	s.recordRegistration(leader, clk.Now(), &wire.Registration{Target: "a", Service: "s", StartedMs: 100, Sequence: 7, Leaving: true})
	is.Equal(leader.leavingSince("a"), since)
	clk.Advance(time.Second)
	is.True(s.drainTimeElapsed(leader, clk.Now(), "a"))
	is.True(!s.drainTimeElapsed(leader, clk.Now(), "b"))

	is.Equal(apply(t, restored, 4, registerCommand("a", "1.1.1.1:1", 200)), nil) // its next process
	is.True(!restored.Group("s").Members["a"].Leaving)
	s.recordRegistration(leader, clk.Now(), &wire.Registration{Target: "a", Service: "s", StartedMs: 200, Sequence: 1})
	is.True(leader.leavingSince("a").IsZero())
}
