package control

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/position"
)

const (
	// releaseInterval is the time between two attempts to release a leaving replica.
	releaseInterval = time.Second
	// releaseTimeout bounds one attempt. No promotion of the service proceeds meanwhile.
	releaseTimeout = 600 * time.Millisecond
)

// releaseTarget records whether a leaving replica is paused, and the others have received all that it has.
type releaseTarget struct {
	LeaderTerm uint64 `cbor:"1,keyasint"`
	Service    string `cbor:"2,keyasint"`
	Target     string `cbor:"3,keyasint"`
	StartedMs  uint64 `cbor:"4,keyasint"`
	Primary    string `cbor:"5,keyasint"` // must be the recorded primary, without a pending order
	Released   bool   `cbor:"6,keyasint,omitempty"`
}

func (m *Machine) releaseTarget(cmd *releaseTarget) error {
	group, store := m.editGroup(cmd.Service)
	member, ok := group.Members[cmd.Target]
	if cmd.LeaderTerm != m.leaderTerm || group.Primary != cmd.Primary || group.Candidate != "" || !ok || member.StartedMs != cmd.StartedMs {
		return errStale
	}
	member.Released = cmd.Released
	group.Members[cmd.Target] = member
	store()
	return nil
}

// stepRelease releases one leaving replica of a service in its steady state that gets no more work, so that its departure
// leaves nothing open. Server.mu must be held.
func (s *Server) stepRelease(leader *leaderState, now time.Time, service string) {
	record := s.Machine.Group(service)
	group := leader.groupState(now, service)
	if group.promotion.State() != "steady" || group.actionRunning || record.Paused || record.Candidate != "" || now.Before(group.releaseAt) {
		return
	}
	if now.Before(group.lateUntil) {
		return // a late RESUME would let the released replica acknowledge commits again
	}
	if _, ok := record.Members[record.Primary]; !ok {
		return
	}
	for target, member := range record.Members {
		if target == record.Primary || member.Released || s.emptied(member) || !s.drainTimeElapsed(leader, now, target) || leader.targetLeases.Lease(target) != nil {
			continue
		}
		group.releaseAt = now.Add(releaseInterval)
		s.runPromotionAction(leader, service, group, func(ctx context.Context) func() {
			ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
			defer cancel()
			s.release(ctx, leader, service, record, target)
			return func() {}
		})
		return
	}
}

// release pauses a leaving replica and records it as released, if enough of the others to acknowledge a commit have received
// all that it has then. Otherwise it is resumed, as it may be the only one that receives anything, but only once it is recorded
// that it isn't released: the outcome of an earlier proposal may be unknown.
func (s *Server) release(ctx context.Context, leader *leaderState, service string, record Group, target string) {
	member := record.Members[target]
	ref := TargetRef{Service: service, Target: target, Addr: member.Addr}
	propose := func(ctx context.Context, released bool) error {
		return s.propose(ctx, command{ReleaseTarget: &releaseTarget{
			LeaderTerm: leader.term, Service: service, Target: target, StartedMs: member.StartedMs, Primary: record.Primary, Released: released,
		}})
	}
	before, err := s.TargetControl.State(ctx, ref)
	if err != nil || before.Primary || !s.othersHave(ctx, service, record, target, before.Received) {
		return
	}
	after, err := s.pause(ctx, leader, ref)
	if err == nil && !after.Primary && s.othersHave(ctx, service, record, target, after.Received) && propose(ctx, true) == nil {
		_ = level.Info(s.Logger).Log("msg", "leaving replica released", "service", service, "target", target, "received", after.Received)
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, releaseTimeout)
	defer cancel()
	if err = propose(ctx, false); err == nil {
		err = s.resume(ctx, leader, ref)
	}
	if err != nil {
		_ = level.Info(s.Logger).Log("msg", "replica not resumed", "service", service, "target", target, "err", err)
	}
}

// othersHave reports whether enough replicas to acknowledge a commit, without target, have received a position.
func (s *Server) othersHave(ctx context.Context, service string, record Group, target string, wanted position.Position) bool {
	return s.replicasWith(ctx, service, record, target, wanted) >= s.syncReplicas(service)
}
