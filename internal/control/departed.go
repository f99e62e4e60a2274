package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/position"
)

// settleInterval is the time between two attempts to settle the departed targets of a service.
const settleInterval = time.Second

// settleDeparted removes departed targets from a service's record, once its replicas have received what these may have had.
type settleDeparted struct {
	LeaderTerm uint64   `cbor:"1,keyasint"`
	Service    string   `cbor:"2,keyasint"`
	Primary    string   `cbor:"3,keyasint"` // must be the recorded primary, without a pending order
	Targets    []string `cbor:"4,keyasint"`
	// Restarted are targets whose earlier processes no longer count, by the start time of their present process.
	Restarted map[string]uint64 `cbor:"5,keyasint,omitempty"`
}

func (m *Machine) settleDeparted(cmd *settleDeparted) error {
	group, store := m.editGroup(cmd.Service)
	if cmd.LeaderTerm != m.leaderTerm || group.Primary != cmd.Primary || group.Candidate != "" {
		return errStale
	}
	for _, target := range cmd.Targets {
		delete(group.Departed, target)
	}
	for target, startedMs := range cmd.Restarted {
		if group.Restarted[target] == startedMs { // otherwise it has started again since, and was counted as having the log
			delete(group.Restarted, target)
		}
	}
	store()
	return nil
}

// forgetGroupTarget removes a target that is lost for good from a deployed service, so that promotions no longer count it.
// Commits that only it and the primary have may be lost.
func (m *Machine) forgetGroupTarget(cmd *removeTarget) error {
	group, store := m.editGroup(cmd.Service)
	_, isMember := group.Members[cmd.Target]
	_, hasDeparted := group.Departed[cmd.Target]
	_, hasRestarted := group.Restarted[cmd.Target]
	if !isMember && !hasDeparted && !hasRestarted {
		return errNotTargetOfService
	}
	if cmd.Target == group.Primary {
		return errIsPrimary
	}
	delete(group.Members, cmd.Target)
	delete(group.Departed, cmd.Target)
	delete(group.Restarted, cmd.Target)
	delete(m.targetHolders, cmd.Target)
	store()
	return nil
}

// stepDeparted settles the departed targets of a service in its steady state. Server.mu must be held.
func (s *Server) stepDeparted(leader *leaderState, now time.Time, service string) {
	record := s.Machine.Group(service)
	group := leader.groupState(now, service)
	if record.lostLogs() == 0 || group.promotion.State() != "steady" || group.settling || now.Before(group.settleAt) {
		return
	}
	if primary, ok := record.Members[record.Primary]; !ok || s.emptied(primary) {
		return
	}
	group.settling, group.settleAt = true, now.Add(settleInterval)
	s.runInBackground(func() {
		s.settle(leader, service, record)
		s.mu.Lock()
		defer s.mu.Unlock()
		group.settling = false
	})
}

// settle removes departed targets from the record if they no longer run, and earlier processes of restarted ones, if enough
// replicas to acknowledge a commit have received as much as the primary has after that: all that those can have had.
func (s *Server) settle(leader *leaderState, service string, record Group) {
	ctx, cancel := context.WithTimeout(s.ctx, promotionActionTimeout)
	defer cancel()
	gone := s.departedAndGone(ctx, service, record)
	if len(gone) == 0 && len(record.Restarted) == 0 {
		return
	}
	primary, err := s.stateOf(ctx, service, record, record.Primary)
	if err != nil || !primary.Primary {
		return
	}
	if s.replicasWith(ctx, service, record, "", primary.Received) < s.syncReplicas(service) {
		return
	}
	c := &settleDeparted{LeaderTerm: leader.term, Service: service, Primary: record.Primary, Targets: gone, Restarted: record.Restarted}
	err = s.propose(ctx, command{SettleDeparted: c})
	_ = level.Info(s.Logger).Log("msg", "departed targets settled", "service", service, "targets", len(gone), "restarted", len(record.Restarted), "received", primary.Received, "err", err)
}

func (s *Server) stateOf(ctx context.Context, service string, record Group, target string) (TargetState, error) {
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	return s.TargetControl.State(ctx, TargetRef{Service: service, Target: target, Addr: record.Members[target].Addr})
}

// replicasWith returns the number of replicas, without one, that answer and have received a position. Released ones, which
// will be gone soon, and those in emptied places, which are sent nothing, aren't counted.
func (s *Server) replicasWith(ctx context.Context, service string, record Group, without string, wanted position.Position) int {
	var wg sync.WaitGroup
	var count atomic.Int32
	for target, member := range record.Members {
		if target == record.Primary || target == without || member.Released || s.emptied(member) {
			continue
		}
		wg.Go(func() {
			if r, err := s.stateOf(ctx, service, record, target); err == nil && r.Received.Compare(wanted) >= 0 {
				count.Add(1)
			}
		})
	}
	wg.Wait()
	return int(count.Load())
}

// departedAndGone returns the departed targets that don't answer any more at the address that they had.
func (s *Server) departedAndGone(ctx context.Context, service string, record Group) []string {
	var wg sync.WaitGroup
	var mu sync.Mutex
	var gone []string
	for target, member := range record.Departed {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
			defer cancel()
			if _, err := s.TargetControl.State(ctx, TargetRef{Service: service, Target: target, Addr: member.Addr}); err != nil {
				mu.Lock()
				defer mu.Unlock()
				gone = append(gone, target)
			}
		})
	}
	wg.Wait()
	return gone
}
