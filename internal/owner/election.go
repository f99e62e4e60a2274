package owner

import (
	"context"
	"errors"
	"time"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/citronrun/citronrun/internal/routing"
	"github.com/citronrun/citronrun/internal/wire"
)

// election is the task of promoting a target at a term. It ends when the candidate reports itself as
// primary at the term, or when a newer grant arrives.
type election struct {
	term      uint64
	prefer    string
	phase     string    // for the state dump
	start     time.Time // answers to earlier questions don't count
	candidate string    // empty: not chosen
	attempted bool      // a promotion of the candidate may have been sent
	cancel    context.CancelFunc
}

// action is a control step at a target.
type action struct {
	kind actionKind
	term uint64
	addr string
}

type actionKind uint8

const (
	actNone actionKind = iota
	actPromote
	actFollow
)

// String returns the log message of the step.
func (k actionKind) String() string {
	switch k {
	case actPromote:
		return "promoted target"
	case actFollow:
		return "target follows"
	default:
		return "no step"
	}
}

// beginElection starts the election of a grant, unless it runs already or is done. The caller holds
// mu.
func (s *service) beginElection(g wire.LeaseGrant) {
	if s.election != nil && s.election.term == g.Term {
		return
	}
	if s.group.Term == g.Term && s.primary != "" {
		return
	}
	s.dropElection()
	ctx, cancel := context.WithCancel(s.ctx)
	e := &election{term: g.Term, prefer: g.PreferredTarget, phase: "start", cancel: cancel}
	if s.primary == "" {
		e.prefer = ""
	}
	s.election = e
	if e.prefer == "" {
		s.fenceTerm()
	}
	go s.elect(ctx, e)
}

// fenceTerm stops acknowledging commits of the current term. The caller holds mu.
func (s *service) fenceTerm() {
	s.ackTerm = 0
	s.endGeneration()
	s.notify()
}

func (s *service) dropElection() {
	if s.election == nil {
		return
	}
	s.election.cancel()
	s.election = nil
}

// elect runs one election. Promotion itself is done by the candidate's status loop.
func (s *service) elect(ctx context.Context, e *election) {
	defer s.hurry()()
	if e.prefer != "" {
		s.drainWriters(ctx, e)
	}
	if !s.update(e, func() { e.start = s.cfg.Clock.Now() }) {
		return
	}
	if e.prefer != "" {
		s.awaitPreferred(ctx, e)
	}
	for s.update(e, func() { e.phase = "choose" }) {
		s.await(ctx, nil, func() bool { return s.election != e || s.chooseCandidate(e) })
		s.update(e, func() { e.phase = "promote" })
		s.await(ctx, nil, func() bool { return s.election != e || s.candidateLost(e) })
		if ctx.Err() != nil {
			return
		}
	}
}

// update runs f under mu if e is still the current election.
func (s *service) update(e *election, f func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.election != e || s.ctx.Err() != nil {
		return false
	}
	f()
	return true
}

// drainWriters lets the transactions on the old primary finish. New ones wait, since primaryReady is
// false during an election.
func (s *service) drainWriters(ctx context.Context, e *election) {
	s.update(e, func() { e.phase = "drain" })
	s.await(ctx, s.cfg.After(s.cfg.DrainWait), func() bool { return s.election != e || s.writers == 0 })
	s.update(e, s.fenceTerm)
}

// awaitPreferred chooses the preferred target once it has received all that the old primary wrote.
// Otherwise the usual choice follows.
func (s *service) awaitPreferred(ctx context.Context, e *election) {
	s.update(e, func() { e.phase = "catch up" })
	s.await(ctx, s.cfg.After(s.cfg.DrainWait), func() bool {
		if s.election != e {
			return true
		}
		if !s.preferredReady(e) {
			return false
		}
		e.candidate = e.prefer
		return true
	})
}

func (s *service) preferredReady(e *election) bool {
	old, next := s.group.Targets[s.primary], s.group.Targets[e.prefer]
	if old == nil || next == nil || next.Leaving || next.Role != routing.RoleReplica {
		return false
	}
	if !old.StatusSentAt.After(e.start) || !next.StatusSentAt.After(e.start) {
		return false
	}
	if old.Role != routing.RolePrimary || old.Term != s.group.Term || next.Term != s.group.Term {
		return false
	}
	return next.Received.Covers(old.Received)
}

// chooseCandidate reports whether a candidate is chosen. A candidate stays chosen until it refuses:
// after an attempt with unknown outcome, no other target may become primary of the same term.
func (s *service) chooseCandidate(e *election) bool {
	if e.candidate != "" {
		return true
	}
	name, ok := s.group.Candidate(e.term, e.start)
	if ok {
		e.candidate = name
	}
	return ok
}

// candidateLost reports whether another candidate has to be chosen: the chosen one refused, or it
// fell silent before a promotion was sent to it. The caller holds mu.
func (s *service) candidateLost(e *election) bool {
	if e.candidate == "" {
		return true
	}
	v := s.group.Targets[e.candidate]
	if e.attempted || v != nil && s.cfg.Clock.Now().Sub(v.StatusReceivedAt) < routing.UnresponsiveAfter {
		return false
	}
	s.rechoose(e)
	return true
}

func (s *service) rechoose(e *election) {
	e.candidate, e.attempted = "", false
	e.start = s.cfg.Clock.Now()
}

// nextAction returns the control step that a target needs after the given answer.
func (s *service) nextAction(name string, st Status) action {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.election; e != nil {
		if e.candidate == name && st.Term <= e.term && st.Role != routing.RoleDiverged {
			e.attempted = true
			return action{kind: actPromote, term: e.term}
		}
		return action{}
	}
	p := s.group.Targets[s.primary]
	if p == nil || name == s.primary || p.Role != routing.RolePrimary || p.Term != s.group.Term {
		return action{}
	}
	behind := st.Term < s.group.Term || st.Term == s.group.Term && st.Role == routing.RolePrimary
	if !behind || st.Role == routing.RoleDiverged {
		return action{}
	}
	return action{kind: actFollow, term: s.group.Term, addr: s.targets[s.primary].cfg.Addr}
}

// acted handles the outcome of a control step. Only a target's own refusal frees the choice.
func (s *service) acted(name string, a action, err error) {
	if _, refused := errors.AsType[*pgconn.PgError](err); !refused || a.kind != actPromote {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.election; e != nil && e.term == a.term && e.candidate == name {
		s.rechoose(e)
		s.notify()
	}
}

// electionAnswer ends the election when its candidate is primary at the new term. The caller holds mu.
func (s *service) electionAnswer(name string, st Status) {
	e := s.election
	if e == nil {
		return
	}
	if e.candidate == name && st.Role == routing.RolePrimary && st.Term == e.term {
		s.dropElection()
		s.setPrimary(e.term, name)
		elections.Inc()
		return
	}
	if s.primary == "" && st.Term < e.term && st.Term > s.group.Term {
		s.group.Term = st.Term // reads go on at the replicas of the last term
	}
}
