package control

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/promotion"
	"github.com/citronrun/citronrun/internal/wire"
)

// orderLog is a groupControl that records the targets of the orders that the platform accepts.
type orderLog struct {
	*groupControl
	accepted []string
}

func (c *orderLog) Promote(ctx context.Context, o PromotionOrder) error {
	err := c.groupControl.Promote(ctx, o)
	if err == nil {
		c.accepted = append(c.accepted, o.Target)
	}
	return err
}

// newOrderLog returns a control leader of service s with the primary p, and the orders that it sends.
func newOrderLog(t *testing.T, clk *clock.Fake) (*orderLog, *Server, *leaderState) {
	targets := &orderLog{groupControl: &groupControl{primary: "p", unreachable: map[string]bool{}, paused: map[string]bool{}, behind: map[string]bool{}}}
	s, leader := newGroupServer(t, clk, targets)
	return targets, s, leader
}

// reportReplicaRole makes the recorded primary report that it is a replica.
func (l *leaderState) reportReplicaRole(target string, at time.Time) {
	l.registrations[target] = &registration{Registration: wire.Registration{Target: target, StartedMs: 100}, receivedAt: at}
}

// Guards against a primary that leads by a late order and is recorded without an order of its own: the platform would still
// accept a copy of the order for its predecessor.
func TestLateLeaderIsOrderedBeforeItServes(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	targets, s, leader := newOrderLog(t, clk)
	targets.primary, targets.behind["b"] = "a", true
	s.step(leader)
	clk.Advance(roleReportDelay)
	leader.reportReplicaRole("p", clk.Now())
	for range 8 {
		s.step(leader)
		clk.Advance(time.Second)
	}
	is.Equal(targets.accepted, []string{"a"})
	is.Equal(s.Machine.Group("s").Primary, "a")
	is.True(leader.groups["s"].promotion.Serving())
}

// Guards against a contested order that counts as the only one.
func TestContestedOrderIsRecorded(t *testing.T) {
	is := is.New(t)
	_, s, _ := newOrderLog(t, clock.NewFake(time.Unix(1000, 0)))
	order := &orderPromotion{LeaderTerm: 5, Service: "s", Token: 1, Target: "a", Contested: true}
	is.Equal(apply(t, s.Machine, 100, command{OrderPromotion: order}), nil)
	order.Token, order.Contested = 2, false
	is.Equal(apply(t, s.Machine, 101, command{OrderPromotion: order}), nil)
	is.True(s.Machine.Group("s").Contested)
	is.Equal(apply(t, s.Machine, 102, command{RecordPromotion: &recordPromotion{LeaderTerm: 5, Service: "s", Token: 2, Target: "a"}}), nil)
	is.True(!s.Machine.Group("s").Contested)
}

// Guards against commits that are acknowledged and then lost, because a primary serves while the platform still carries out an
// earlier order for another target: it accepted that one just before the order that keeps the primary, and answered neither.
func TestNoPrimaryServesUntilEarlierOrdersAreCarriedOut(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	targets, s, leader := newOrderLog(t, clk)
	targets.unreachable["a"], targets.behind["b"] = true, true
	for _, member := range s.Log.(testMember).consensus.members {
		is.Equal(apply(t, member.Machine, 100, command{OrderPromotion: &orderPromotion{LeaderTerm: 5, Service: "s", Token: 1, Target: "a"}}), nil)
	}
	serving := func() bool { return leader.groups["s"].promotion.Serving() }
	s.step(leader)
	is.Equal(targets.accepted, []string{"p"})
	clk.Advance(time.Second) // no promotion takes longer
	s.step(leader)
	is.True(!serving())
	targets.primary, targets.unreachable["a"] = "a", false
	for range 8 {
		clk.Advance(time.Second)
		s.step(leader)
		is.True(!serving() || s.Machine.Group("s").Primary == "a")
	}
	is.True(serving())
	is.Equal(targets.accepted, []string{"p", "a"})
}

// Guards against a promotion that waits for an order that was refused, and so will not be carried out, and against one that
// doesn't wait for an earlier order, without an answer, because a later one was refused.
func TestRefusedOrderIsNotAwaited(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	targets, s, leader := newOrderLog(t, clk)
	order := func(target string) Group {
		s.orderPromotion(t.Context(), leader, "s", s.Machine.Group("s"), promotion.Pending{Target: target})
		return s.Machine.Group("s")
	}
	targets.refused = true
	is.True(!order("a").Contested)
	is.True(!order("b").Contested)
	targets.refused, targets.unanswered = false, true
	is.True(!order("a").Contested)
	targets.refused, targets.unanswered = true, false
	is.True(!order("a").Contested)
	is.True(order("b").Contested)
	is.Equal(targets.accepted, nil)
}
