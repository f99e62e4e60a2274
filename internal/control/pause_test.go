package control

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/matryer/is"

	"github.com/citronrun/citronrun/internal/clock"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// groupControl is a TargetControl of a primary and its replicas.
type groupControl struct {
	mu          sync.Mutex
	primary     string
	unreachable map[string]bool
	paused      map[string]bool
	behind      map[string]bool // replicas that have received less than the primary
	silent      map[string]bool // replicas that don't answer PAUSE and RESUME, and don't carry them out yet
	resumes     int
	unanswered  bool // orders get no answer and have no effect
	refused     bool // orders are refused
}

func (c *groupControl) State(_ context.Context, t TargetRef) (TargetState, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unreachable[t.Target] {
		return TargetState{}, errOutcomeUnknown
	}
	received := position.Position{Term: 1, Offset: 8}
	if c.behind[t.Target] {
		received.Offset = 5
	}
	return TargetState{Primary: t.Target == c.primary, Term: 1, Received: received}, nil
}

func (c *groupControl) Pause(ctx context.Context, t TargetRef, confirm func(context.Context) error) (TargetState, error) {
	state, err := c.State(ctx, t)
	if err == nil && !state.Primary {
		if err := confirm(ctx); err != nil {
			return TargetState{}, err
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if c.silent[t.Target] {
			return TargetState{}, errOutcomeUnknown
		}
		c.paused[t.Target] = true
	}
	return state, err
}

func (c *groupControl) Resume(ctx context.Context, t TargetRef) error {
	_, err := c.State(ctx, t)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resumes++
	switch {
	case err != nil:
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "unreachable")
	case c.silent[t.Target]:
		return errOutcomeUnknown
	default:
		delete(c.paused, t.Target)
		return nil
	}
}

func (c *groupControl) Promote(_ context.Context, o PromotionOrder) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unanswered {
		return errOutcomeUnknown
	}
	if c.refused {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "refused")
	}
	c.primary = o.Target
	clear(c.paused)
	return nil
}

// newGroupServer returns a leader of service s with the primary p and the replicas a and b.
func newGroupServer(t *testing.T, clk *clock.Fake, targets TargetControl) (*Server, *leaderState) {
	consensus := &testConsensus{clock: clk, term: 5, leaderSince: clk.Now()}
	for id := range consensus.members {
		m := newTestMachine(t)
		commands := []command{
			{Barrier: &barrier{Term: 5}}, registerCommand("p", "1.1.1.1:1", 100), registerCommand("a", "1.1.1.1:2", 100), registerCommand("b", "1.1.1.1:3", 100),
			{RecordPromotion: &recordPromotion{LeaderTerm: 5, Service: "s", Target: "p"}},
		}
		for i, c := range commands {
			if result := apply(t, m, uint64(i+1), c); result != nil {
				t.Fatal(result)
			}
		}
		consensus.index = uint64(len(commands))
		consensus.members[id] = New(Config{Name: "c", Machine: m, Log: testMember{consensus, id}, Transport: unreachableTransport{},
			Clock: clk, Logger: log.NewNopLogger(), TargetControl: targets})
	}
	s := consensus.members[0]
	return s, takeOver(s)
}

// takeOver makes a server the leader without volatile state.
func takeOver(s *Server) *leaderState {
	leader := newLeaderState(s.Clock.Now(), 5, true)
	leader.ready = true
	s.leader = leader
	return leader
}

// step steps the promotion of service s and waits for the action that it starts.
func (s *Server) step(leader *leaderState) {
	s.mu.Lock()
	s.stepPromotion(leader, s.Clock.Now(), "s")
	s.mu.Unlock()
	s.background.Wait()
}

// Guards against replicas that stay paused for good, so that no commit is acknowledged any more, because the leader that
// paused them was lost, or because they couldn't be reached when they were resumed.
func TestPausedReplicasAreResumed(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	targets := &groupControl{primary: "p", unreachable: map[string]bool{}, paused: map[string]bool{}}
	s, leader := newGroupServer(t, clk, targets)
	record := s.Machine.Group("s")
	is.NoErr(s.recordPaused(t.Context(), leader, "s", true))
	s.inspect(t.Context(), leader, "s", record, nil, false)
	is.Equal(len(targets.paused), 2)

	leader = takeOver(s) // the leader that paused them is lost
	targets.unreachable["b"] = true
	s.step(leader)
	is.Equal(targets.paused, map[string]bool{"b": true})
	is.True(s.Machine.Group("s").Paused)
	targets.unreachable["b"] = false
	s.step(leader)
	is.Equal(targets.paused, map[string]bool{"b": true}) // not tried again yet
	clk.Advance(resumeRetryInterval)
	s.step(leader)
	is.Equal(len(targets.paused), 0)
	is.True(!s.Machine.Group("s").Paused)

	resumes := targets.resumes
	clk.Advance(resumeRetryInterval)
	s.step(leader)
	is.Equal(targets.resumes, resumes)
}

// Guards against an inspection that pauses replicas before that is recorded.
func TestPauseIsRecordedFirst(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	targets := &groupControl{primary: "p", unreachable: map[string]bool{}, paused: map[string]bool{}}
	s, leader := newGroupServer(t, clk, targets)
	consensus := s.Log.(testMember).consensus
	inspect := func() {
		leader.registrations["p"] = &registration{Registration: wire.Registration{Target: "p", Primary: true, Leaving: true}, receivedAt: clk.Now(), leavingSince: clk.Now()}
		for range 3 {
			s.step(leader)
			clk.Advance(time.Second)
		}
	}
	consensus.holdProposals = true
	inspect()
	is.Equal(len(targets.paused), 0)
	is.Equal(targets.primary, "p")
	consensus.holdProposals = false
	inspect()
	is.True(targets.primary != "p")
}

// Guards against a replica that stays paused for good, because it carries out a PAUSE late that it didn't answer, after it was
// resumed.
func TestReplicasAreResumedAfterLatePause(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	targets := &groupControl{primary: "p", unreachable: map[string]bool{}, paused: map[string]bool{}, silent: map[string]bool{"b": true}}
	s, leader := newGroupServer(t, clk, targets)
	is.NoErr(s.recordPaused(t.Context(), leader, "s", true))
	s.inspect(t.Context(), leader, "s", s.Machine.Group("s"), nil, false)
	targets.silent["b"] = false
	s.step(leader)
	is.Equal(len(targets.paused), 0)
	for range lateCommandTime/resumeRetryInterval + 1 {
		is.True(s.Machine.Group("s").Paused)
		targets.paused["b"] = true
		clk.Advance(resumeRetryInterval)
		s.step(leader)
		is.Equal(len(targets.paused), 0)
	}
	is.True(!s.Machine.Group("s").Paused)
}

// Guards against a new leader that relies on its own pauses only: those of its predecessor may be carried out late.
func TestPausesOfEarlierLeaderAreInherited(t *testing.T) {
	is := is.New(t)
	clk := clock.NewFake(time.Unix(1000, 0))
	targets := &groupControl{primary: "p", unreachable: map[string]bool{}, paused: map[string]bool{}}
	s, leader := newGroupServer(t, clk, targets)
	is.NoErr(s.recordPaused(t.Context(), leader, "s", true))
	leader = takeOver(s)
	leader.inheritPauses(clk.Now(), s.Machine.Groups())
	s.step(leader)
	is.True(s.Machine.Group("s").Paused)
	clk.Advance(lateCommandTime)
	s.step(leader)
	is.True(!s.Machine.Group("s").Paused)
}
