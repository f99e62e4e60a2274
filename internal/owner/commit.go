package owner

import (
	"context"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/routing"
	"github.com/citronrun/citronrun/internal/verdict"
)

// confirm decides whether responses of the primary may be relayed. A majority must have received the
// committed position, unless it is zero; the lease is checked last. Responses of replicas need no
// confirmation.
func (s *service) confirm(t *tx, committed position.Position) error {
	if !t.p.primary {
		return nil
	}
	if !committed.IsZero() {
		if err := s.awaitQuorum(t.p, committed); err != nil {
			return err
		}
	}
	s.mu.Lock()
	same := s.ackTerm == t.p.term
	if same && !committed.IsZero() {
		s.floors.Raise(t.job.team, committed)
	}
	s.mu.Unlock()
	if !same {
		return errPrimaryChanged
	}
	if !s.leaseValid() {
		return errLeaseExpired
	}
	return nil
}

// awaitQuorum waits until a majority has received pos at the placement's term.
func (s *service) awaitQuorum(p *placed, pos position.Position) error {
	from := s.cfg.Clock.Now()
	changed, reached := false, false
	check := func() bool {
		if changed = s.ackTerm != p.term; changed {
			return true
		}
		if v := s.group.Targets[s.primary]; v != nil && pos.Term == v.Term {
			v.Received = v.Received.Max(pos)
		}
		q, ok := s.group.QuorumPosition(s.primary)
		reached = ok && q.Covers(pos)
		return reached
	}
	s.mu.Lock()
	done := check()
	s.mu.Unlock()
	if !done {
		stop := s.hurry()
		s.await(s.ctx, s.cfg.After(s.cfg.QuorumWait), check)
		stop()
	}
	quorumWait.Update(s.cfg.Clock.Now().Sub(from).Seconds())
	switch {
	case changed:
		return errPrimaryChanged
	case !reached:
		return errNoQuorum
	}
	return nil
}

// earlyPosition returns the position to confirm before ReadyForQuery was read. The target may report
// the position of a COMMIT only then, so that the primary is asked instead.
func (s *service) earlyPosition(t *tx) (position.Position, error) {
	pos := t.committed(t.p.conn.Position())
	if !t.d.commitTag || !pos.IsZero() {
		return pos, nil
	}
	return s.primaryPosition(t.ctx, t.p.term)
}

// primaryPosition asks the primary for its position and returns an answer to a question sent after
// the call.
func (s *service) primaryPosition(ctx context.Context, term uint64) (position.Position, error) {
	defer s.hurry()()
	since := s.cfg.Clock.Now()
	var pos position.Position
	ok := s.await(ctx, s.cfg.After(s.cfg.QuorumWait), func() bool {
		v := s.group.Targets[s.primary]
		if v == nil || s.ackTerm != term || v.Role != routing.RolePrimary || v.Term != term || !v.StatusSentAt.After(since) {
			return false
		}
		pos = v.Received
		return true
	})
	if !ok {
		return pos, verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "the primary's position is unknown")
	}
	return pos, nil
}
