package control

import (
	"context"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/promotion"
)

// Guards against an order without an answer that is carried out late, after the service has gone on with another primary: an
// order for that one must have been accepted before, so that the platform refuses the earlier one.
func TestOtherPendingOrderIsFenced(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	targets := &groupControl{primary: "p", unreachable: map[string]bool{"a": true}, paused: map[string]bool{}, behind: map[string]bool{"b": true}, unanswered: true}
	s, leader := newGroupServer(t, clk, targets)
	for _, member := range s.Log.(testMember).consensus.members {
		is.Equal(apply(t, member.Machine, 100, command{OrderPromotion: &orderPromotion{LeaderTerm: 5, Service: "s", Token: 1, Target: "a"}}), nil)
	}
	serving := func() bool {
		for range 3 {
			s.step(leader)
			clk.Advance(time.Second)
		}
		return s.Machine.Group("s").Candidate == "" && leader.groups["s"].promotion.Serving()
	}
	is.True(!serving()) // the order for a may still be carried out
	targets.unanswered = false
	is.True(serving())
	is.Equal(s.Machine.Group("s").Primary, "p")
}

// slowControl is a TargetControl whose connection to the platform opens only after opened has run.
type slowControl struct {
	TargetControl
	opened func()
	sent   []PromotionOrder
}

func (c *slowControl) Promote(ctx context.Context, o PromotionOrder) error {
	c.opened()
	if err := o.Confirm(ctx); err != nil {
		return err
	}
	c.sent = append(c.sent, o)
	return nil
}

// Guards against an order that a control host sends after it has lost leadership, while its successor orders too.
func TestLostLeaderSendsNoOrder(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	consensus := &testConsensus{clock: clk, term: 5, leaderSince: clk.Now()}
	platform := &slowControl{opened: func() {}}
	for id := range consensus.members {
		consensus.members[id] = New(Config{Name: "c", Machine: newTestMachine(t), Log: testMember{consensus, id}, Transport: unreachableTransport{},
			Clock: clk, Logger: log.NewNopLogger(), TargetControl: platform})
	}
	s := consensus.members[0]
	for _, member := range consensus.members {
		is.Equal(apply(t, member.Machine, 1, command{Barrier: &barrier{Term: 5}}), nil)
	}
	consensus.index = 1
	leader := newLeaderState(clk.Now(), 5, true)
	leader.ready = true
	s.leader = leader
	choice := promotion.Pending{Target: "a", Received: position.Position{Term: 1, Offset: 8}}

	is.Equal(s.orderPromotion(t.Context(), leader, "s", s.Machine.Group("s"), choice), false)
	is.Equal(len(platform.sent), 1)
	is.Equal(s.Machine.Group("s").CandidateReceived, choice.Received)

	platform.opened = func() {
		consensus.mu.Lock()
		defer consensus.mu.Unlock()
		consensus.leader, consensus.term = 1, 6
	}
	refused := s.orderPromotion(t.Context(), leader, "s", s.Machine.Group("s"), choice)
	is.True(refused) // certainly not carried out
	is.Equal(len(platform.sent), 1)
}
