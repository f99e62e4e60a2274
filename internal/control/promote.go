package control

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/promotion"
	"github.com/citronrun/citronrun/internal/verdict"
)

const (
	inspectTimeout = 400 * time.Millisecond // for one target to answer
	primaryTimeout = 200 * time.Millisecond // for a primary that may be lost, in an inspection
	orderTimeout   = 2500 * time.Millisecond
	confirmPeriod  = 2 * time.Second
	confirmPause   = 50 * time.Millisecond
)

// TargetRef names a target and where it is reached.
type TargetRef struct {
	Service string
	Target  string
	Addr    string
}

// TargetState is a target's answer about its part in the group.
type TargetState struct {
	Primary  bool
	Term     uint64
	Received position.Position
}

// PromotionOrder asks for a change of primary.
type PromotionOrder struct {
	Service string
	Target  string
	Token   uint64 // fences earlier orders for the service
}

// TargetControl reaches targets, and whoever carries out promotions.
type TargetControl interface {
	// State asks a target for its state.
	State(ctx context.Context, t TargetRef) (TargetState, error)
	// Pause lets a replica receive nothing until Resume, a promotion or its restart, and returns its
	// state after that. At a primary it only returns the state.
	Pause(ctx context.Context, t TargetRef) (TargetState, error)
	// Resume ends a pause.
	Resume(ctx context.Context, t TargetRef) error
	// Promote orders a promotion. An error with verdict NotRun means that the order won't be carried
	// out; after any other error it may be, also later.
	Promote(ctx context.Context, o PromotionOrder) error
}

// stepService takes the decisions about the primary of a service. Server.mu is held.
func (s *Server) stepService(lead *leader, now time.Time, service string) {
	state := s.Machine.Group(service)
	g := lead.group(now, service)
	if s.TargetControl == nil || g.busy || len(state.Members) == 0 {
		return
	}
	if state.Primary == "" && state.Candidate == "" && now.Sub(g.since) < firstPrimaryTime {
		s.adoptPrimary(lead, service, state, g)
		return
	}
	before := g.promotion.State()
	in := s.promotionInput(lead, now, state, g)
	action := g.promotion.Step(in)
	if after := g.promotion.State(); after != before {
		_ = level.Info(s.Logger).Log("msg", "promotion state changed", "service", service, "from", before, "to", after,
			"primary", state.Primary, "candidate", state.Candidate, "token", state.Token, "choice", g.promotion.OrderedTarget(),
			"leaving", in.PrimaryLeaving, "lost", in.PrimaryGone, "silent", in.HolderReportsSilence, "stuck", in.CommitsStalled)
		if seat := lead.seats.Lease(state.Primary); seat != nil {
			s.poke(lead, seat.Host)
		}
		if before == "steady" {
			g.unsteady = now
		}
		if after == "steady" {
			promotionTime.Update(now.Sub(g.unsteady).Seconds())
			s.pokeHolders(lead)
		}
	}
	s.promotionAction(lead, now, service, state, g, action)
}

// adoptPrimary records the first primary of a group: the one target that says it is.
func (s *Server) adoptPrimary(lead *leader, service string, state Group, g *group) {
	found := ""
	for target := range state.Members {
		if r := lead.registered[target]; r != nil && r.Primary {
			if found != "" {
				return
			}
			found = target
		}
	}
	if found == "" {
		return
	}
	s.runAction(lead, service, g, func(ctx context.Context) func() {
		c := command{Outcome: &outcome{Leader: lead.term, Service: service, Token: state.Token, Target: found}}
		err := s.propose(ctx, c)
		_ = level.Info(s.Logger).Log("msg", "first primary recorded", "service", service, "target", found, "err", err)
		return func() { s.pokeHolders(lead) }
	})
}

func (s *Server) promotionInput(lead *leader, now time.Time, state Group, g *group) promotion.Input {
	in := promotion.Input{Now: now, Record: state.record()}
	if state.Primary == "" {
		in.PrimaryGone, in.PrimaryFree = true, true
		return in
	}
	member, ok := state.Members[state.Primary]
	r := lead.registered[state.Primary]
	in.PrimaryGone = !ok || r != nil && r.StartedMs > member.StartedMs && !r.Primary
	in.PrimaryLeaving = r != nil && r.Leaving
	in.PrimaryFree = lead.seats.PrimaryFree(now, state.Primary)
	if h, ok := g.health[state.Primary]; ok && now.Sub(h.at) < healthFreshness {
		in.HolderReportsSilence = h.SilentFor >= silenceBound
		in.CommitsStalled = h.CommitStall >= stuckBound
	}
	in.HolderReportsSilence = in.HolderReportsSilence || lead.unheard(now, state.Primary)
	return in
}

// unheard reports whether both a target and the holder of its lease have been silent for so long that they
// may be lost together. A probe then decides; without it the next holder would have to find out.
func (l *leader) unheard(now time.Time, target string) bool {
	seat, r := l.seats.Lease(target), l.registered[target]
	if seat == nil || r == nil || now.Sub(r.seen) < registrationDue {
		return false
	}
	h := l.hosts[seat.Host]
	return h == nil || now.Sub(h.seen) >= renewalDue
}

// promotionAction carries out an action in the background.
func (s *Server) promotionAction(lead *leader, now time.Time, service string, state Group, g *group, action promotion.Action) {
	ref := func(target string) TargetRef {
		return TargetRef{Service: service, Target: target, Addr: state.Members[target].Addr}
	}
	switch action {
	case promotion.Probe:
		s.runAction(lead, service, g, func(ctx context.Context) func() {
			ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
			defer cancel()
			_, err := s.TargetControl.State(ctx, ref(state.Primary))
			_ = level.Info(s.Logger).Log("msg", "silent primary probed", "service", service, "target", state.Primary, "err", err)
			return func() { g.promotion.RecordProbe(err == nil) }
		})
	case promotion.AvoidHolder:
		if seat := lead.seats.Lease(state.Primary); seat != nil {
			lead.avoided[avoidance{seat.Host, state.Primary}] = now.Add(avoidTime)
		}
	case promotion.Inspect:
		leaving := map[string]bool{}
		for target := range state.Members {
			leaving[target] = !lead.leavingSince(target).IsZero()
		}
		stuck := g.health[state.Primary].CommitStall >= stuckBound
		s.runAction(lead, service, g, func(ctx context.Context) func() {
			choice, still := s.inspect(ctx, service, state, leaving, stuck)
			return func() { g.promotion.RecordInspection(choice, still) }
		})
	case promotion.Resume:
		s.runAction(lead, service, g, func(ctx context.Context) func() {
			s.resume(ctx, service, state)
			return func() {}
		})
	case promotion.Order:
		choice := g.promotion.OrderedTarget()
		s.runAction(lead, service, g, func(ctx context.Context) func() {
			refused := s.order(ctx, lead, service, state, choice)
			return func() { g.promotion.RecordOrder(refused) }
		})
	case promotion.Confirm:
		choice := g.promotion.OrderedTarget()
		s.runAction(lead, service, g, func(ctx context.Context) func() {
			ok := s.confirmPrimary(ctx, ref(choice))
			return func() { g.promotion.RecordConfirmation(ok) }
		})
	case promotion.RecordPrimary:
		choice := g.promotion.OrderedTarget()
		s.runAction(lead, service, g, func(ctx context.Context) func() {
			c := command{Outcome: &outcome{Leader: lead.term, Service: service, Token: state.Token, Target: choice}}
			err := s.propose(ctx, c)
			if err == nil {
				promotions.Inc()
			}
			_ = level.Info(s.Logger).Log("msg", "primary recorded", "service", service, "target", choice, "token", state.Token, "err", err)
			return func() {}
		})
	}
}

// actionTimeout bounds one action of a promotion.
const actionTimeout = 4 * time.Second

// runAction runs f in the background, and what f returns under Server.mu, if the leadership still lasts.
// Server.mu is held.
func (s *Server) runAction(lead *leader, service string, g *group, f func(ctx context.Context) func()) {
	g.busy = true
	s.background(func() {
		ctx, cancel := context.WithTimeout(s.ctx, actionTimeout)
		note := f(ctx)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		g.busy = false
		if s.lead != lead {
			return
		}
		note()
		s.stepService(lead, s.Clock.Now(), service)
	})
}

// inspect pauses the replicas, asks the primary whether it can go on, and chooses the target to promote. still is set
// when nothing has to change.
func (s *Server) inspect(ctx context.Context, service string, state Group, leaving map[string]bool, stuck bool) (choice string, still bool) {
	reports := make([]promotion.Report, 0, len(state.Members))
	var mu sync.Mutex
	var wg sync.WaitGroup
	ask := func(target string, limit time.Duration, f func(context.Context, TargetRef) (TargetState, error)) {
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, limit)
			defer cancel()
			st, err := f(ctx, TargetRef{Service: service, Target: target, Addr: state.Members[target].Addr})
			r := promotion.Report{Target: target, Leaving: leaving[target]}
			if err == nil {
				r.Answered, r.Primary, r.Paused, r.Received = true, st.Primary, !st.Primary, st.Received
			}
			_ = level.Info(s.Logger).Log("msg", "target inspected", "service", service, "target", target,
				"primary", st.Primary, "term", st.Term, "received", st.Received, "leaving", r.Leaving, "err", err)
			mu.Lock()
			defer mu.Unlock()
			reports = append(reports, r)
		})
	}
	for target := range state.Members {
		if target != state.Primary {
			ask(target, inspectTimeout, s.TargetControl.Pause)
		}
	}
	if _, ok := state.Members[state.Primary]; ok {
		ask(state.Primary, primaryTimeout, s.TargetControl.State)
	}
	wg.Wait()
	choice, still = s.choose(service, state, reports, leaving, stuck)
	_ = level.Info(s.Logger).Log("msg", "promotion considered", "service", service, "primary", state.Primary,
		"candidate", state.Candidate, "choice", choice, "still_primary", still)
	return choice, still
}

func (s *Server) choose(service string, state Group, reports []promotion.Report, leaving map[string]bool, stuck bool) (choice string, still bool) {
	primaryAnswers := false
	for _, r := range reports {
		if r.Target == state.Candidate && r.Primary {
			return r.Target, false // the pending order was carried out: order it once more to learn the outcome
		}
		primaryAnswers = primaryAnswers || r.Target == state.Primary && r.Primary
	}
	if primaryAnswers && state.Candidate == "" && !leaving[state.Primary] && !stuck {
		return "", true
	}
	choice, ok := promotion.Choose(reports, state.Primary, s.syncReplicas(service))
	if ok {
		return choice, false
	}
	if !primaryAnswers || leaving[state.Primary] {
		return "", false
	}
	if state.Candidate != "" {
		return state.Primary, false // an order for the present primary fences the pending one
	}
	return "", true
}

func (s *Server) syncReplicas(service string) int {
	d := s.Machine.Catalog().Catalog.Deployment
	if d == nil {
		return 1
	}
	for _, r := range d.Services {
		if r.Name == service {
			return r.SyncReplicas
		}
	}
	return 1
}

func (s *Server) resume(ctx context.Context, service string, state Group) {
	var wg sync.WaitGroup
	for target, member := range state.Members {
		if target == state.Primary {
			continue
		}
		wg.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
			defer cancel()
			err := s.TargetControl.Resume(ctx, TargetRef{Service: service, Target: target, Addr: member.Addr})
			if err != nil {
				_ = level.Info(s.Logger).Log("msg", "replica not resumed", "service", service, "target", target, "err", err)
			}
		})
	}
	wg.Wait()
}

// order records a token and gives the order. It reports whether the order is known not to be carried
// out.
func (s *Server) order(ctx context.Context, lead *leader, service string, state Group, choice string) (refused bool) {
	token := state.Token + 1
	c := command{Order: &order{Leader: lead.term, Service: service, Token: token, Target: choice}}
	if err := s.propose(ctx, c); err != nil {
		_ = level.Warn(s.Logger).Log("msg", "promotion not ordered", "service", service, "target", choice, "token", token, "err", err)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	err := s.TargetControl.Promote(ctx, PromotionOrder{Service: service, Target: choice, Token: token})
	countOrder(err)
	_ = level.Info(s.Logger).Log("msg", "promotion ordered", "service", service, "target", choice, "token", token, "err", err)
	return err != nil && verdict.Of(err) == verdict.NotRun
}

var errReplica = errors.New("the target says that it is a replica")

// confirmPrimary asks a promoted target until it says that it is the primary.
func (s *Server) confirmPrimary(ctx context.Context, t TargetRef) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmPeriod)
	defer cancel()
	var last error
	for ctx.Err() == nil {
		ask, stop := context.WithTimeout(ctx, inspectTimeout)
		st, err := s.TargetControl.State(ask, t)
		stop()
		if err == nil && st.Primary {
			return true
		}
		if last = err; err == nil {
			last = errReplica
		}
		timer := time.NewTimer(confirmPause)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	_ = level.Info(s.Logger).Log("msg", "promotion not confirmed", "service", t.Service, "target", t.Target, "err", last)
	return false
}
