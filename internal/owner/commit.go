package owner

import (
	"context"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/routing"
	"github.com/citronrun/citronrun/internal/verdict"
)

// confirm returns nil when responses of the primary may be relayed. The term must still be current,
// the lease valid and, if committed isn't zero, a quorum must have received it. The lease is checked
// last, after all waits. Responses of replicas need no confirmation.
func (s *service) confirm(t *tx, committed position.Position) error {
	if !t.acquired.isPrimary {
		return nil
	}
	if !committed.IsZero() {
		if err := s.awaitQuorum(t.acquired, committed); err != nil {
			return err
		}
	}
	s.mu.Lock()
	sameTerm := s.ackTerm == t.acquired.term
	if sameTerm && !committed.IsZero() {
		s.floors.Raise(t.params.team, committed)
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

// awaitQuorum waits until a quorum has received pos in the term of the connection.
func (s *service) awaitQuorum(acquired *acquiredConn, pos position.Position) error {
	start := s.cfg.Clock.Now()
	changed, reached := false, false
	check := func() bool {
		if changed = s.ackTerm != acquired.term; changed {
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

// positionToConfirm returns the position that must be confirmed before responses are relayed ahead
// of ReadyForQuery: the one reported on the connection. The target may report the position of a
// COMMIT only just before ReadyForQuery. If a COMMIT is held back and no position has been reported
// yet, the primary's position is polled instead.
func (s *service) positionToConfirm(t *tx) (position.Position, error) {
	pos := t.committed(t.acquired.conn.Position())
	if !t.relay.heldCommit || !pos.IsZero() {
		return pos, nil
	}
	return s.primaryPosition(t.ctx, t.acquired.term)
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
