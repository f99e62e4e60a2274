package control

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/promotion"
	"github.com/citronrun/citronrun/internal/verdict"
)

const (
	inspectTimeout        = 400 * time.Millisecond // for one call to a target
	inspectPrimaryTimeout = 200 * time.Millisecond // for the call to the recorded primary, which may not answer
	orderAttemptTimeout   = 300 * time.Millisecond // several times what the platform takes to accept an order
	orderAttempts         = 4                      // of one order
	confirmPrimaryTimeout = 2 * time.Second
	confirmRetryInterval  = 50 * time.Millisecond
)

// TargetRef names a target and its address.
type TargetRef struct {
	Service string
	Target  string
	Addr    string
	// Direct means that a query asks whether this host itself reaches the target, so that no other host may pass it on.
	Direct bool
}

// TargetState is a target's own view of its role and replication progress.
type TargetState struct {
	Primary  bool
	Term     uint64
	Received position.Position
}

// PromotionOrder is a request to make Target the primary of Service.
type PromotionOrder struct {
	Service string
	Target  string
	Token   uint64 // fencing token: invalidates earlier orders for the service
	// Confirm returns an error with the verdict NotRun if another host may order promotions by now. It must be called once
	// the connection is open, directly before the order is sent: opening it may have taken longer than the leadership.
	Confirm func(context.Context) error
}

// TargetControl queries and controls targets, and orders promotions.
type TargetControl interface {
	// State queries the state of a target.
	State(ctx context.Context, t TargetRef) (TargetState, error)
	// Pause makes a replica receive nothing more until Resume, its promotion or its restart, and returns
	// its state after that point. On a primary it only returns the state. Directly before the replica is paused it calls
	// confirm, whose error it returns: a later leader may have resumed the replica.
	Pause(ctx context.Context, t TargetRef, confirm func(context.Context) error) (TargetState, error)
	// Resume ends a pause. An error with the verdict NotRun means that the target will not carry it out.
	Resume(ctx context.Context, t TargetRef) error
	// Promote orders a promotion. An error with verdict NotRun means that the order will never be
	// carried out. After any other error it may have been carried out, or may be later.
	Promote(ctx context.Context, o PromotionOrder) error
}

// stepPromotion advances the promotion state machine of a service by one step and starts the resulting
// action. Server.mu must be held.
func (s *Server) stepPromotion(leader *leaderState, now time.Time, service string) {
	record := s.Machine.Group(service)
	group := leader.groupState(now, service)
	if s.TargetControl == nil || group.actionRunning || len(record.Members) == 0 {
		return
	}
	if record.Primary == "" && record.Candidate == "" && now.Sub(group.createdAt) < firstPrimaryWait {
		s.recordFirstPrimary(leader, service, record, group)
		return
	}
	before := group.promotion.State()
	in := s.promotionInput(leader, now, record, group)
	action := group.promotion.Step(in)
	if after := group.promotion.State(); after != before {
		_ = level.Info(s.Logger).Log("msg", "promotion state changed", "service", service, "from", before, "to", after,
			"primary", record.Primary, "candidate", record.Candidate, "token", record.Token, "choice", group.promotion.OrderedTarget(),
			"leaving", in.PrimaryLeaving, "lost", in.PrimaryGone, "silent", in.HolderReportsSilence, "stuck", in.CommitsStalled)
		if targetLease := leader.targetLeases.Lease(record.Primary); targetLease != nil {
			s.sendRenewNow(leader, targetLease.Host)
		}
		if before == "steady" {
			group.unsteadySince = now
		}
		if after == "steady" {
			group.steadySince = now
			promotionSeconds.Update(now.Sub(group.unsteadySince).Seconds())
			s.sendRenewNowToEntryHosts(leader)
		}
	}
	if action == promotion.None && group.promotion.State() == "steady" && record.Paused && !now.Before(group.resumeRetryAt) {
		action = promotion.Resume // some replicas weren't resumed, or an earlier leader has paused them
	}
	s.startPromotionAction(leader, now, service, record, group, action)
}

// recordFirstPrimary records the first primary of a deployed service: the target that reports itself as
// the primary. It records none if several targets do.
func (s *Server) recordFirstPrimary(leader *leaderState, service string, record Group, group *groupState) {
	primary := ""
	for target := range record.Members {
		if r := leader.registrations[target]; r != nil && r.Primary {
			if primary != "" {
				return
			}
			primary = target
		}
	}
	if primary == "" {
		return
	}
	s.runPromotionAction(leader, service, group, func(ctx context.Context) func() {
		c := command{RecordPromotion: &recordPromotion{LeaderTerm: leader.term, Service: service, Token: record.Token, Target: primary}}
		err := s.propose(ctx, c)
		_ = level.Info(s.Logger).Log("msg", "first primary recorded", "service", service, "target", primary, "err", err)
		return func() { s.sendRenewNowToEntryHosts(leader) }
	})
}

func (s *Server) promotionInput(leader *leaderState, now time.Time, record Group, group *groupState) promotion.Input {
	in := promotion.Input{Now: now, Record: record.promotionRecord()}
	if record.Primary == "" {
		in.PrimaryGone, in.PrimaryFree = true, true
		return in
	}
	_, ok := record.Members[record.Primary]
	r := leader.registrations[record.Primary]
	in.PrimaryGone = !ok || r != nil && !r.Primary && r.receivedAt.Sub(group.steadySince) >= roleReportDelay
	in.PrimaryLeaving = r != nil && r.Leaving || r == nil && !leader.leavingSince(record.Primary).IsZero() || s.givesWay(leader, now, record)
	in.PrimaryFree = leader.targetLeases.PrimaryFree(now, record.Primary)
	if h, ok := group.health[record.Primary]; ok && now.Sub(h.receivedAt) < healthReportTTL {
		in.HolderReportsSilence = h.SilentFor >= silenceLimit
		in.CommitsStalled = h.CommitStall >= commitStallLimit
	}
	// While a primary without a holder is probed, only the probe can tell that it is back.
	probedAlone := group.promotion.State() == "probing" && leader.targetLeases.Lease(record.Primary) == nil
	in.HolderReportsSilence = in.HolderReportsSilence || leader.targetAndHolderSilent(now, record.Primary) || probedAlone
	return in
}

// targetAndHolderSilent reports whether both a target and the holder of its lease have been silent for
// so long that they may have failed together. A probe of the target then decides. Without this check the
// failure would only be detected by the next holder. A target whose lease has ended has no holder that answers.
// One that hasn't registered at this leader counts as registered at its election, as long as an earlier holder may have its lease.
func (l *leaderState) targetAndHolderSilent(now time.Time, target string) bool {
	targetLease, r, registeredAt := l.targetLeases.Lease(target), l.registrations[target], l.electedAt
	if r != nil {
		registeredAt = r.receivedAt
	}
	if now.Sub(registeredAt) < registrationOverdue {
		return false
	}
	if targetLease == nil {
		return r != nil
	}
	h := l.hosts[targetLease.Host]
	return h == nil || now.Sub(h.renewedAt) >= renewalOverdue
}

// startPromotionAction runs an action of the promotion state machine in the background. Server.mu must be held.
func (s *Server) startPromotionAction(leader *leaderState, now time.Time, service string, record Group, group *groupState, action promotion.Action) {
	targetRef := func(target string) TargetRef {
		return TargetRef{Service: service, Target: target, Addr: record.Members[target].Addr}
	}
	switch action {
	case promotion.Probe:
		s.runPromotionAction(leader, service, group, func(ctx context.Context) func() {
			ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
			defer cancel()
			primary := targetRef(record.Primary)
			primary.Direct = true
			_, err := s.TargetControl.State(ctx, primary)
			_ = level.Info(s.Logger).Log("msg", "silent primary probed", "service", service, "target", record.Primary, "err", err)
			return func() { group.promotion.RecordProbe(err == nil) }
		})
	case promotion.AvoidHolder:
		if targetLease := leader.targetLeases.Lease(record.Primary); targetLease != nil {
			leader.avoidUntil[hostTarget{targetLease.Host, record.Primary}] = now.Add(avoidDuration)
		}
	case promotion.Inspect:
		leaving := s.giveWayAsLeaving(leader, now, record)
		commitsStalled := group.health[record.Primary].CommitStall >= commitStallLimit
		s.runPromotionAction(leader, service, group, func(ctx context.Context) func() {
			var d promotion.Decision
			if record.Paused || s.recordPaused(ctx, leader, service, true) == nil {
				d = s.inspect(ctx, leader, service, record, leaving, commitsStalled)
			}
			return func() {
				group.choice = d.Order
				group.promotion.RecordInspection(d)
			}
		})
	case promotion.Resume:
		steady := group.promotion.State() == "steady" // otherwise they are paused again soon
		group.resumeRetryAt = now.Add(resumeRetryInterval)
		emptiedPaused := group.emptiedPaused
		s.runPromotionAction(leader, service, group, func(ctx context.Context) func() {
			resumed := s.resumeReplicas(ctx, leader, service, record, emptiedPaused)
			if resumed && steady && record.Paused && !s.lateCommandsExpected(leader, service) {
				_ = s.recordPaused(ctx, leader, service, false) // tried again after resumeRetryInterval
			}
			return func() { group.emptiedPaused = group.emptiedPaused && !resumed }
		})
	case promotion.Order:
		choice := group.choice
		s.runPromotionAction(leader, service, group, func(ctx context.Context) func() {
			refused := s.orderPromotion(ctx, leader, service, record, choice)
			return func() { group.promotion.RecordOrder(refused) }
		})
	case promotion.Confirm:
		choice := group.promotion.OrderedTarget()
		s.runPromotionAction(leader, service, group, func(ctx context.Context) func() {
			ok := s.confirmPrimary(ctx, targetRef(choice), record.Contested)
			return func() { group.promotion.RecordConfirmation(ok) }
		})
	case promotion.RecordPrimary:
		choice := group.promotion.OrderedTarget()
		s.runPromotionAction(leader, service, group, func(ctx context.Context) func() {
			c := &recordPromotion{LeaderTerm: leader.term, Service: service, Token: record.Token, Target: choice}
			if record.Candidate == "" {
				c.Succeeds = record.Primary
			}
			err := s.propose(ctx, command{RecordPromotion: c})
			if err == nil && record.Candidate != "" {
				promotions.Inc()
			}
			_ = level.Info(s.Logger).Log("msg", "primary recorded", "service", service, "target", choice, "token", record.Token, "err", err)
			return func() {}
		})
	}
}

// promotionActionTimeout bounds one action of a promotion.
const promotionActionTimeout = 4 * time.Second

// runPromotionAction runs f in the background. Once f has returned, and unless the leader's term has ended,
// it calls the function that f returned and steps the promotion again. Server.mu must be held when
// runPromotionAction is called; it is also held while the function returned by f runs.
func (s *Server) runPromotionAction(leader *leaderState, service string, group *groupState, f func(ctx context.Context) func()) {
	group.actionRunning = true
	s.runInBackground(func() {
		ctx, cancel := context.WithTimeout(s.ctx, promotionActionTimeout)
		finish := f(ctx)
		cancel()
		s.mu.Lock()
		defer s.mu.Unlock()
		group.actionRunning = false
		if s.leader != leader {
			return
		}
		finish()
		s.stepPromotion(leader, s.Clock.Now(), service)
	})
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

// orderPromotion commits the next fencing token and the candidate, and then sends the promotion order.
// refused is true if the order will certainly not be carried out, or if it wasn't accepted although an order for another
// target is pending: until the platform has seen the new token, that one may be carried out.
func (s *Server) orderPromotion(ctx context.Context, leader *leaderState, service string, record Group, choice promotion.Pending) (refused bool) {
	token := record.Token + 1
	nonePending := record.Candidate == "" || s.lastOrderRefused(leader, service, record.Token)
	c := command{OrderPromotion: &orderPromotion{
		LeaderTerm: leader.term, Service: service, Token: token, Target: choice.Target, Received: choice.Received,
		Contested: choice.Contested, PreviousRefused: nonePending,
	}}
	if err := s.propose(ctx, c); err != nil {
		_ = level.Warn(s.Logger).Log("msg", "promotion not ordered", "service", service, "target", choice.Target, "token", token, "err", err)
		return true
	}
	confirm := func(ctx context.Context) error { return s.confirmLeadership(ctx, leader) }
	order := PromotionOrder{Service: service, Target: choice.Target, Token: token, Confirm: confirm}
	attempts, err := s.sendOrder(ctx, order, TargetRef{Service: service, Target: choice.Target, Addr: record.Members[choice.Target].Addr})
	countPromotionOrder(err)
	contested := s.Machine.Group(service).Contested
	_ = level.Info(s.Logger).Log("msg", "promotion ordered", "service", service, "target", choice.Target, "token", token,
		"attempts", attempts, "contested", contested, "err", err)
	if verdict.Of(err) == verdict.NotRun && nonePending {
		s.mu.Lock()
		defer s.mu.Unlock()
		leader.groupState(s.Clock.Now(), service).refusedToken = token
	}
	return err != nil && (verdict.Of(err) == verdict.NotRun || contested)
}

// lastOrderRefused reports whether the order with a token was refused, while no other one was pending.
func (s *Server) lastOrderRefused(leader *leaderState, service string, token uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return token != 0 && leader.groupState(s.Clock.Now(), service).refusedToken == token
}

// sendOrder sends a promotion order until it is answered or its target is the primary, orderAttempts times at most. An order
// without an answer may be lost or carried out late. It is repeated unchanged: the platform carries out equal orders to the
// same effect as one, and refuses all of them once it has seen a higher token. The error has the verdict NotRun only if no
// attempt may be carried out.
func (s *Server) sendOrder(ctx context.Context, order PromotionOrder, target TargetRef) (attempts int, err error) {
	mayRun := false
	for attempts < orderAttempts && ctx.Err() == nil {
		attempts++
		attemptErr := s.attemptOrder(ctx, order)
		if attemptErr == nil {
			return attempts, nil
		}
		if verdict.Of(attemptErr) == verdict.NotRun {
			if !mayRun {
				err = attemptErr
			}
			return attempts, err
		}
		err, mayRun = attemptErr, true
		if s.isPrimary(ctx, target) { // perhaps by an earlier order: the platform may not have seen this token
			return attempts, err
		}
	}
	return attempts, err
}

// attemptOrder sends a promotion order once. An attempt without an answer lasts for orderAttemptTimeout also if its connection
// is lost earlier.
func (s *Server) attemptOrder(ctx context.Context, order PromotionOrder) error {
	ctx, cancel := context.WithTimeout(ctx, orderAttemptTimeout)
	defer cancel()
	err := s.TargetControl.Promote(ctx, order)
	if err != nil && verdict.Of(err) != verdict.NotRun {
		<-ctx.Done()
	}
	return err
}

// isPrimary queries a target once.
func (s *Server) isPrimary(ctx context.Context, target TargetRef) bool {
	ctx, cancel := context.WithTimeout(ctx, inspectPrimaryTimeout)
	defer cancel()
	state, err := s.TargetControl.State(ctx, target)
	return err == nil && state.Primary
}

// confirmLeadership returns an error with the verdict NotRun unless this member still leads in the term of leader.
func (s *Server) confirmLeadership(ctx context.Context, leader *leaderState) error {
	if s.confirmedLeader(ctx) != leader {
		return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this host has lost control leadership of term %d", leader.term)
	}
	return nil
}

var errReplicaRole = errors.New("target reports the replica role")

// confirmPrimary polls a promoted target until it reports itself as the primary, for at most
// confirmPrimaryTimeout. superseded means that all orders have been carried out that will be: then a target that is a
// replica stays one.
func (s *Server) confirmPrimary(ctx context.Context, t TargetRef, superseded bool) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmPrimaryTimeout)
	defer cancel()
	interval := confirmRetryInterval
	if s.limitsCold(t.Service) {
		interval = coldConfirmInterval
	}
	var lastErr error
	for ctx.Err() == nil {
		queryCtx, cancelQuery := context.WithTimeout(ctx, inspectTimeout)
		state, err := s.TargetControl.State(queryCtx, t)
		cancelQuery()
		if err == nil && state.Primary {
			return true
		}
		if lastErr = err; err == nil {
			lastErr = errReplicaRole
		}
		if superseded && err == nil {
			break
		}
		timer := time.NewTimer(interval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
	_ = level.Info(s.Logger).Log("msg", "promotion not confirmed", "service", t.Service, "target", t.Target, "err", lastErr)
	return false
}
