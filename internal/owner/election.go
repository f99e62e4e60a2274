package owner

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/citronrun/citronrun/internal/routing"
	"github.com/citronrun/citronrun/internal/wire"
)

// election chooses a candidate among the targets and promotes it to primary of a term. It ends when
// the candidate reports itself as primary of the term, or when a newer grant replaces it. With a
// preferred target it is a switchover: the old primary is drained first.
//
// Once a promote command may have been sent, the candidate is replaced only if it rejects the
// command: while the outcome is unknown, no other target may become primary of the same term.
type election struct {
	term          uint64
	preferred     string    // target of a switchover; empty in a failover
	phase         string    // shown in the debug dump
	statusesAfter time.Time // only statuses requested after it count
	candidate     string    // empty until chosen
	promoteSent   bool      // a promote command may have been sent to the candidate
	cancel        context.CancelFunc
}

// command tells a target to become the primary or to follow it.
type command struct {
	kind commandKind
	term uint64
	addr string // of the primary to follow
}

type commandKind uint8

const (
	commandNone commandKind = iota
	commandPromote
	commandFollow
)

// String returns the log event of the command.
func (k commandKind) String() string {
	switch k {
	case commandPromote:
		return "promoted target"
	case commandFollow:
		return "target follows"
	default:
		return "no step"
	}
}

// beginElection starts the election that a grant requests, unless it is running or has completed.
// mu must be held.
func (s *service) beginElection(g wire.LeaseGrant) {
	if s.election != nil && s.election.term == g.Term {
		return
	}
	if s.group.Term == g.Term && s.primary != "" {
		return
	}
	s.cancelElection()
	ctx, cancel := context.WithCancel(s.ctx)
	e := &election{term: g.Term, preferred: g.PreferredTarget, phase: "start", cancel: cancel}
	if s.primary == "" {
		e.preferred = "" // without a primary there is none to switch over from
	}
	s.election = e
	if e.preferred == "" {
		s.fenceTerm()
	}
	go s.runElection(ctx, e)
}

// fenceTerm stops the acknowledgement of commits in the current term. mu must be held.
func (s *service) fenceTerm() {
	s.ackTerm = 0
	s.abortPrimaryWork()
	s.notify()
}

// cancelElection ends the current election, if there is one. mu must be held.
func (s *service) cancelElection() {
	if s.election == nil {
		return
	}
	s.election.cancel()
	s.election = nil
}

// runElection runs an election until it ends. The candidate's poll loop sends the promote command.
func (s *service) runElection(ctx context.Context, e *election) {
	defer s.pollFaster()()
	if e.preferred != "" {
		s.drainPrimary(ctx, e)
	}
	if !s.updateElection(e, func() { e.statusesAfter = s.cfg.Clock.Now() }) {
		return
	}
	if e.preferred != "" {
		s.awaitPreferred(ctx, e)
	}
	for s.updateElection(e, func() { e.phase = "choose" }) {
		s.await(ctx, nil, func() bool { return s.election != e || s.chooseCandidate(e) })
		s.updateElection(e, func() { e.phase = "promote" })
		s.await(ctx, nil, func() bool { return s.election != e || s.dropLostCandidate(e) })
		if ctx.Err() != nil {
			return
		}
	}
}

// updateElection runs f under mu if e is still the current election, and reports whether it did.
func (s *service) updateElection(e *election, f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.election != e || s.ctx.Err() != nil {
		return false
	}
	f()
	return true
}

// drainPrimary waits until the transactions on the old primary have finished or DrainWait has
// passed, and then fences the term. Meanwhile new transactions wait, since primaryReady returns
// false during an election.
func (s *service) drainPrimary(ctx context.Context, e *election) {
	s.updateElection(e, func() { e.phase = "drain" })
	s.await(ctx, s.cfg.After(s.cfg.DrainWait), func() bool { return s.election != e || s.primaryTxs == 0 })
	s.updateElection(e, s.fenceTerm)
}

// awaitPreferred chooses the preferred target once it has received everything that the old primary
// wrote. If that takes longer than DrainWait, runElection chooses a candidate as in any other
// election.
func (s *service) awaitPreferred(ctx context.Context, e *election) {
	s.updateElection(e, func() { e.phase = "catch up" })
	s.await(ctx, s.cfg.After(s.cfg.DrainWait), func() bool {
		if s.election != e {
			return true
		}
		if !s.preferredCaughtUp(e) {
			return false
		}
		e.candidate = e.preferred
		return true
	})
}

// preferredCaughtUp reports whether the preferred target has received everything that the old
// primary wrote, according to statuses requested after the term was fenced. mu must be held.
func (s *service) preferredCaughtUp(e *election) bool {
	old, next := s.group.Targets[s.primary], s.group.Targets[e.preferred]
	if old == nil || next == nil || next.Leaving || next.Role != routing.RoleReplica {
		return false
	}
	if !old.StatusSentAt.After(e.statusesAfter) || !next.StatusSentAt.After(e.statusesAfter) {
		return false
	}
	if old.Role != routing.RolePrimary || old.Term != s.group.Term || next.Term != s.group.Term {
		return false
	}
	return next.Received.Covers(old.Received)
}

// chooseCandidate chooses a candidate if none is chosen, and reports whether one is chosen now. mu
// must be held.
func (s *service) chooseCandidate(e *election) bool {
	if e.candidate != "" {
		return true
	}
	name, ok := s.group.Candidate(e.term, e.statusesAfter)
	if ok {
		e.candidate = name
	}
	return ok
}

// dropLostCandidate reports whether a candidate must be chosen again. If the candidate stopped
// responding before a promote command was sent, it resets the candidate. One that rejected the
// command has already been reset by commandDone. mu must be held.
func (s *service) dropLostCandidate(e *election) bool {
	if e.candidate == "" {
		return true
	}
	candidate := s.group.Targets[e.candidate]
	if e.promoteSent || candidate != nil && s.cfg.Clock.Now().Sub(candidate.StatusReceivedAt) < routing.UnresponsiveAfter {
		return false
	}
	s.resetCandidate(e)
	return true
}

// resetCandidate makes the election choose again, from statuses requested after now. mu must
// be held.
func (s *service) resetCandidate(e *election) {
	e.candidate, e.promoteSent = "", false
	e.statusesAfter = s.cfg.Clock.Now()
}

// nextCommand returns the command that a target with the given status needs, if any. It marks a
// promote command as sent.
func (s *service) nextCommand(name string, status Status) command {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.election; e != nil {
		if e.candidate == name && status.Term <= e.term && status.Role != routing.RoleDiverged {
			e.promoteSent = true
			return command{kind: commandPromote, term: e.term}
		}
		return command{}
	}
	primary := s.group.Targets[s.primary]
	if primary == nil || name == s.primary || primary.Role != routing.RolePrimary || primary.Term != s.group.Term {
		return command{}
	}
	behind := status.Term < s.group.Term || status.Term == s.group.Term && status.Role == routing.RolePrimary
	if !behind || status.Role == routing.RoleDiverged {
		return command{}
	}
	return command{kind: commandFollow, term: s.group.Term, addr: s.targets[s.primary].cfg.Addr}
}

// commandDone handles the result of a command. Only an error reported by the target itself
// allows the choice of another candidate: after any other error the command may have been executed.
func (s *service) commandDone(name string, cmd command, err error) {
	if _, rejected := errors.AsType[*pgconn.PgError](err); !rejected || cmd.kind != commandPromote {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.election; e != nil && e.term == cmd.term && e.candidate == name {
		s.resetCandidate(e)
		s.notify()
	}
}

// recordElectionStatus ends the election when its candidate reports itself as primary of the new
// term. mu must be held.
func (s *service) recordElectionStatus(name string, status Status) {
	e := s.election
	if e == nil {
		return
	}
	if e.candidate == name && status.Role == routing.RolePrimary && status.Term == e.term {
		s.cancelElection()
		s.setPrimary(e.term, name)
		elections.Inc()
		return
	}
	if s.primary == "" && status.Term < e.term && status.Term > s.group.Term {
		s.group.Term = status.Term // lets reads continue on the replicas of the last term
	}
}
