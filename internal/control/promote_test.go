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
	"github.com/citronrun/citronrun/internal/verdict"
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

// lossyControl is a TargetControl whose answers to the first orders are lost.
type lossyControl struct {
	TargetControl
	lost      int
	carryOut  bool // orders without an answer are carried out
	rejection error
	orders    []PromotionOrder
}

func (c *lossyControl) State(context.Context, TargetRef) (TargetState, error) {
	return TargetState{Primary: c.carryOut && len(c.orders) > 0}, nil
}

func (c *lossyControl) Promote(ctx context.Context, o PromotionOrder) error {
	if err := o.Confirm(ctx); err != nil {
		return err
	}
	o.Confirm = nil
	if c.orders = append(c.orders, o); len(c.orders) <= c.lost {
		return errOutcomeUnknown
	}
	return c.rejection
}

// Guards against a service without a primary for seconds because the answer to one order is lost, against a repetition under
// another token or for another target, and against an order that counts as refused although its first copy may be carried out.
func TestOrderWithoutAnswerIsRepeated(t *testing.T) {
	rejected := verdict.New(verdict.NotRun, verdict.CodeUnavailable, "rejected")
	for name, test := range map[string]struct {
		control  lossyControl
		orders   int
		answered bool
	}{
		"lost":           {lossyControl{lost: 2}, 3, true},
		"carried out":    {lossyControl{lost: 9, carryOut: true}, 1, false},
		"always lost":    {lossyControl{lost: 9}, orderAttempts, false},
		"rejected":       {lossyControl{rejection: rejected}, 1, false},
		"lost, rejected": {lossyControl{lost: 1, rejection: rejected}, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := &test.control
			s := &Server{Config: Config{TargetControl: c}}
			order := PromotionOrder{Service: "s", Target: "a", Token: 7, Confirm: func(context.Context) error { return nil }}
			attempts, err := s.sendOrder(t.Context(), order, TargetRef{Service: "s", Target: "a"})
			is.Equal(attempts, test.orders)
			is.Equal(err == nil, test.answered)
			is.Equal(verdict.Of(err) == verdict.NotRun, test.control.lost == 0)
			for _, o := range c.orders {
				is.Equal(o, PromotionOrder{Service: "s", Target: "a", Token: 7})
			}
		})
	}
}
