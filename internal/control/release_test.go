package control

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/placement"
	"github.com/citronrun/citronrun/internal/promotion"
	"github.com/citronrun/citronrun/internal/wire"
)

// releaseTest is a leader of service s with a further replica l, which is leaving.
type releaseTest struct {
	*Server
	leader  *leaderState
	targets *groupControl
	clk     *clock.Fake
}

func newReleaseTest(t *testing.T) *releaseTest {
	clk := clock.NewFake(time.Unix(1000, 0))
	r := &releaseTest{clk: clk, targets: &groupControl{primary: "p", unreachable: map[string]bool{}, paused: map[string]bool{}, behind: map[string]bool{}}}
	r.Server, r.leader = newGroupServer(t, clk, r.targets)
	for _, member := range r.Log.(testMember).consensus.members {
		if result := apply(t, member.Machine, 100, registerCommand("l", "1.1.1.1:4", 100)); result != nil {
			t.Fatal(result)
		}
	}
	r.leader.registrations["l"] = &registration{
		Registration: wire.Registration{Target: "l", StartedMs: 100, Leaving: true}, receivedAt: clk.Now(), leavingSince: clk.Now(),
	}
	return r
}

// tryRelease tries to release l, and reports whether it is released.
func (r *releaseTest) tryRelease() bool {
	r.clk.Advance(releaseInterval)
	r.mu.Lock()
	r.stepRelease(r.leader, r.clk.Now(), "s")
	r.mu.Unlock()
	r.background.Wait()
	return r.Machine.Group("s").Members["l"].Released
}

// Guards against a service that waits for ever for its primary, which is lost for good as a replica leaves, although the others
// have all that the leaving one had. Until they have, it must go on to receive commits, as it may be the only one.
func TestLeavingReplicaIsReleased(t *testing.T) {
	is := is.New(t)
	r := newReleaseTest(t)
	is.True(!r.tryRelease()) // it may still get work
	r.clk.Advance(r.DrainTime)
	r.leader.targetLeases.Assign(r.clk.Now(), "l", placement.Record{Host: "h", BootID: "1", Epoch: 1})
	is.True(!r.tryRelease()) // it still has work
	r.clk.Advance(time.Minute)
	is.True(r.leader.targetLeases.Free(r.clk.Now(), "l"))
	r.targets.behind["a"], r.targets.behind["b"] = true, true
	is.True(!r.tryRelease())
	is.Equal(len(r.targets.paused), 0)
	r.targets.behind["a"] = false
	is.True(r.tryRelease())
	is.Equal(r.targets.paused, map[string]bool{"l": true})
	is.True(!r.Machine.Group("s").Members["b"].Released)

	registration := &wire.Registration{Target: "l", Service: "s", Addr: "1.1.1.1:4", Place: "x", Slots: 2, StartedMs: 100, Leaving: true}
	is.Equal(apply(t, r.Machine, 200, command{RegisterTarget: &registerTarget{Service: "s", Target: "l", Member: GroupMember{Addr: registration.Addr, Place: "x", Slots: 2, StartedMs: 100, Leaving: true}}}), nil)
	is.True(r.Machine.Group("s").Members["l"].Released) // its later registrations change nothing
	_, err := r.deregisterTarget(t.Context(), r.leader, &wire.Registration{Target: "l", Terminating: true})
	is.NoErr(err)
	is.Equal(len(r.Machine.Group("s").Departed), 0)
	r.targets.unreachable["p"] = true
	is.Equal(r.chosen(t), "a")
}

func (r *releaseTest) chosen(t *testing.T) string {
	return r.inspect(t.Context(), r.leader, "s", r.Machine.Group("s"), nil, false).Order.Target
}

// Guards against a released replica that receives commits again and doesn't count: after a promotion, which ends its pause,
// after its restart, or because it was resumed while the proposal that released it was undecided.
func TestReleaseIsRevoked(t *testing.T) {
	is := is.New(t)
	r := newReleaseTest(t)
	r.clk.Advance(r.DrainTime)
	consensus := r.Log.(testMember).consensus
	consensus.holdProposals = true
	is.True(!r.tryRelease())
	is.True(r.targets.paused["l"]) // the proposal may still be applied
	consensus.holdProposals = false
	is.True(r.tryRelease())
	released := func() bool { return r.Machine.Group("s").Members["l"].Released }

	is.Equal(apply(t, r.Machine, 200, command{OrderPromotion: &orderPromotion{LeaderTerm: 5, Service: "s", Token: 1, Target: "a"}}), nil)
	is.True(released())
	is.Equal(apply(t, r.Machine, 201, command{RecordPromotion: &recordPromotion{LeaderTerm: 5, Service: "s", Token: 1, Target: "a"}}), nil)
	is.True(!released())
	r.targets.primary = "a"
	is.True(r.tryRelease())
	is.Equal(apply(t, r.Machine, 202, registerCommand("l", "1.1.1.1:4", 200)), nil)
	is.True(!released())
	is.Equal(apply(t, r.Machine, 203, command{ReleaseTarget: &releaseTarget{LeaderTerm: 5, Service: "s", Target: "l", StartedMs: 100, Primary: "a", Released: true}}), errStale)
}

// Guards against a promotion beside a release, which would take a paused replica for one that receives commits.
func TestNoReleaseDuringPromotion(t *testing.T) {
	is := is.New(t)
	r := newReleaseTest(t)
	r.clk.Advance(r.DrainTime)
	group := r.leader.groupState(r.clk.Now(), "s")
	group.promotion.Step(promotion.Input{Now: r.clk.Now(), Record: promotion.Record{Primary: "p"}, PrimaryLeaving: true})
	is.True(!r.tryRelease())
	is.Equal(len(r.targets.paused), 0)
}

// Guards against a released replica that carries out a RESUME late that it didn't answer: it would acknowledge commits, and not
// count in promotions.
func TestNoReleaseBeforeLateResume(t *testing.T) {
	is := is.New(t)
	r := newReleaseTest(t)
	r.clk.Advance(r.DrainTime)
	r.targets.silent = map[string]bool{"l": true}
	is.True(!r.resumeReplicas(t.Context(), r.leader, "s", r.Machine.Group("s"), false))
	r.targets.silent["l"] = false
	is.True(!r.tryRelease())
	is.Equal(len(r.targets.paused), 0)
	r.clk.Advance(lateCommandTime)
	is.True(r.tryRelease())
}
