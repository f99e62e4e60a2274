package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/verdict"
)

const (
	// resumeRetryInterval is the time between two attempts to resume the replicas of a service in its steady state.
	resumeRetryInterval = 2 * time.Second
	// lateCommandTime is how long a target may take to carry out a PAUSE or RESUME whose answer was not received.
	lateCommandTime = 15 * time.Second
)

// pauseGroup records that the replicas of a service may be paused, or that all have been resumed. The former is committed
// before the first replica is paused, so that a later leader resumes them: a paused replica receives nothing, and a commit
// that waits for it is never acknowledged.
type pauseGroup struct {
	LeaderTerm uint64 `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Paused     bool   `cbor:"3,keyasint"`
}

func (m *Machine) pauseGroup(cmd *pauseGroup) error {
	if cmd.LeaderTerm != m.leaderTerm {
		return errStale
	}
	group, store := m.editGroup(cmd.Service)
	group.Paused = cmd.Paused
	store()
	return nil
}

func (s *Server) recordPaused(ctx context.Context, leader *leaderState, service string, paused bool) error {
	err := s.propose(ctx, command{PauseGroup: &pauseGroup{LeaderTerm: leader.term, Service: service, Paused: paused}})
	if err != nil {
		_ = level.Info(s.Logger).Log("msg", "pause of replicas not recorded", "service", service, "paused", paused, "err", err)
	}
	return err
}

// inheritPauses lets the replicas that an earlier leader may have paused be resumed until none of its commands can be
// carried out any more.
func (l *leaderState) inheritPauses(now time.Time, groups map[string]Group) {
	for service, record := range groups {
		if record.Paused {
			l.groupState(now, service).lateUntil = now.Add(lateCommandTime)
		}
	}
}

// pause pauses a replica and returns its state after that. On a primary it only returns the state.
func (s *Server) pause(ctx context.Context, leader *leaderState, t TargetRef) (TargetState, error) {
	sent := false
	state, err := s.TargetControl.Pause(ctx, t, func(ctx context.Context) error {
		err := s.confirmLeadership(ctx, leader)
		sent = err == nil
		return err
	})
	if err != nil && sent {
		s.expectLateCommand(leader, t.Service)
	}
	return state, err
}

// resume ends the pause of a replica.
func (s *Server) resume(ctx context.Context, leader *leaderState, t TargetRef) error {
	err := s.TargetControl.Resume(ctx, t)
	if err != nil && verdict.Of(err) != verdict.NotRun {
		s.expectLateCommand(leader, t.Service)
	}
	return err
}

// expectLateCommand records that a PAUSE or RESUME was sent and not answered.
func (s *Server) expectLateCommand(leader *leaderState, service string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	leader.groupState(now, service).lateUntil = now.Add(lateCommandTime)
}

// lateCommandsExpected reports whether a PAUSE or RESUME without an answer may still be carried out.
func (s *Server) lateCommandsExpected(leader *leaderState, service string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.Clock.Now()
	return now.Before(leader.groupState(now, service).lateUntil)
}

// resumeReplicas resumes the replicas of a service, and reports whether all have answered. It leaves out those in emptied
// places unless they may be paused.
func (s *Server) resumeReplicas(ctx context.Context, leader *leaderState, service string, record Group, emptiedPaused bool) bool {
	var wg sync.WaitGroup
	var failed atomic.Bool
	for target, member := range record.Members {
		if target == record.Primary || member.Released || !emptiedPaused && s.emptied(member) {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
			defer cancel()
			err := s.resume(ctx, leader, TargetRef{Service: service, Target: target, Addr: member.Addr})
			if err != nil {
				failed.Store(true)
				_ = level.Info(s.Logger).Log("msg", "replica not resumed", "service", service, "target", target, "err", err)
			}
		})
	}
	wg.Wait()
	return !failed.Load()
}
