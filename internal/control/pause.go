package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"
)

// resumeRetryInterval is the time between two attempts to resume the replicas of a service in its steady state.
const resumeRetryInterval = 2 * time.Second

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

// resumeReplicas resumes the replicas of a service, and reports whether all have answered. It leaves out those in emptied
// places unless they may be paused.
func (s *Server) resumeReplicas(ctx context.Context, service string, record Group, emptiedPaused bool) bool {
	var wg sync.WaitGroup
	var failed atomic.Bool
	for target, member := range record.Members {
		if target == record.Primary || member.Released || !emptiedPaused && s.emptied(member) {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
			defer cancel()
			err := s.TargetControl.Resume(ctx, TargetRef{Service: service, Target: target, Addr: member.Addr})
			if err != nil {
				failed.Store(true)
				_ = level.Info(s.Logger).Log("msg", "replica not resumed", "service", service, "target", target, "err", err)
			}
		})
	}
	wg.Wait()
	return !failed.Load()
}
