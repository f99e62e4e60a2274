package owner

import (
	"context"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/routing"
	"github.com/citronrun/citronrun/internal/verdict"
)

// confirm returns nil when responses of the primary may be relayed: a majority has received the
// committed position, unless it is zero, the term is still current, and the lease is valid. The
// lease is checked last, after all waits. Responses of replicas need no confirmation.
func (s *service) confirm(t *tx, committed position.Position) error {
	if !t.placement.isPrimary {
		return nil
	}
	if !committed.IsZero() {
		if err := s.awaitQuorum(t.placement, committed); err != nil {
			return err
		}
	}
	s.mu.Lock()
	sameTerm := s.ackTerm == t.placement.term
	if sameTerm && !committed.IsZero() {
		s.floors.Raise(t.job.team, committed)
	}
	s.mu.Unlock()
	if !sameTerm {
		return errPrimaryChanged
	}
	if !s.leaseValid() {
		return errLeaseExpired
	}
	return nil
}

// awaitQuorum waits until a majority has received pos in the connection's term.
func (s *service) awaitQuorum(p *placement, pos position.Position) error {
	start := s.cfg.Clock.Now()
	changed, reached := false, false
	check := func() bool {
		if changed = s.ackTerm != p.term; changed {
			return true
		}
		if primary := s.group.Targets[s.primary]; primary != nil && pos.Term == primary.Term {
			primary.Received = primary.Received.Max(pos)
		}
		quorum, ok := s.group.QuorumPosition(s.primary)
		reached = ok && quorum.Covers(pos)
		return reached
	}
	s.mu.Lock()
	done := check()
	s.mu.Unlock()
	if !done {
		stop := s.pollFaster()
		s.await(s.ctx, s.cfg.After(s.cfg.QuorumWait), check)
		stop()
	}
	quorumWait.Update(s.cfg.Clock.Now().Sub(start).Seconds())
	switch {
	case changed:
		return errPrimaryChanged
	case !reached:
		return errNoQuorum
	}
	return nil
}

// polledPosition returns the position to confirm before ReadyForQuery has been read. The target may
// report the position of a COMMIT only just before ReadyForQuery; until then the primary's polled
// position is used instead.
func (s *service) polledPosition(t *tx) (position.Position, error) {
	pos := t.committed(t.placement.conn.Position())
	if !t.relay.heldCommit || !pos.IsZero() {
		return pos, nil
	}
	return s.primaryPosition(t.ctx, t.placement.term)
}

// primaryPosition returns the primary's position as of a status request sent after the call.
func (s *service) primaryPosition(ctx context.Context, term uint64) (position.Position, error) {
	defer s.pollFaster()()
	calledAt := s.cfg.Clock.Now()
	var pos position.Position
	ok := s.await(ctx, s.cfg.After(s.cfg.QuorumWait), func() bool {
		primary := s.group.Targets[s.primary]
		if primary == nil || s.ackTerm != term || primary.Role != routing.RolePrimary || primary.Term != term || !primary.StatusSentAt.After(calledAt) {
			return false
		}
		pos = primary.Received
		return true
	})
	if !ok {
		return pos, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "the primary did not report its position in term %d", term)
	}
	return pos, nil
}
