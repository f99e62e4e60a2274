package holder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/admission"
	"github.com/citronrun/citronrun/internal/contain"
	"github.com/citronrun/citronrun/internal/outcome"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/warmup"
	"github.com/citronrun/citronrun/internal/wire"
)

var (
	errLeaseEnded   = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the lease of the target has ended")
	errTargetSilent = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the target is not responding")
	errPlaceEmptied = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the place of the target is emptied")
	errNotPrimary   = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this host does not hold the primary right for the target")
)

// errCommitAfterLease returns the error of a commit whose response arrived after the lease had ended. The
// commit can no longer be acknowledged.
func errCommitAfterLease() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "the lease ended before the commit was acknowledged")
}

// queueName is the name by which a target's gate knows the target. Each target has its own gate, so there is
// only one.
const queueName = "target"

// target is a held target during one epoch of its lease.
type target struct {
	manager *Manager
	name    string
	service string
	epoch   uint64
	gate    *admission.Gate
	conns   *connPool

	mu                sync.Mutex
	grant             wire.TargetGrant
	revokedAt         time.Time // zero: not revoked
	limiter           *warmup.Limiter
	cold              bool      // as last logged
	placeOrders       uint64    // accepted orders for the place, as last seen
	emptiedAt         time.Time // when the place was first found to be emptied; zero: it isn't
	primaryRevokedAt  time.Time // zero: the primary right is not revoked, or already released
	closed            bool
	activeWork        int // admitted single statements and blocks that have not ended
	activePrimaryWork int // those of activeWork that need the primary
	blocks            map[*Block]struct{}
	primaryCancels    map[*context.CancelFunc]struct{} // cancel running statements that need the primary
	running           map[*runningStatement]struct{}
	unreachableSince  time.Time       // first failure to reach the target since its last response; zero: none
	respondedAt       time.Time       // last response of any kind
	commitRespondedAt time.Time       // last response to a commit
	bound             ackBound        // of acknowledged commits, while this host has the primary right
	progress          replicaProgress // of the target's log, while it is a replica
	checked           chan struct{}   // closed and replaced when a pollPosition ends
	positionAt        time.Time       // when the request was sent whose response showed the newest position; zero: none in this term
	polling           bool            // a pollPosition is running
	judge             outcome.Judge
	reportedAt        time.Time // when a lease renewal was last requested for its health report
}

func newTarget(m *Manager, l Lease) *target {
	t := &target{
		manager: m, name: l.Target, service: l.Service, epoch: l.Epoch,
		gate:           admission.NewGate(admission.Config{}, m.cfg.Clock),
		blocks:         map[*Block]struct{}{},
		primaryCancels: map[*context.CancelFunc]struct{}{},
		running:        map[*runningStatement]struct{}{},
		limiter:        warmup.New(m.cfg.Clock.Now()),
		checked:        make(chan struct{}),
	}
	t.conns = &connPool{manager: m, dial: t.dial, broken: t.recordUncertain}
	return t
}

// apply adopts the current grant of the lease.
func (t *target) apply(l Lease) {
	now := t.manager.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.grant.Slots != l.Slots || t.grant.Connections != l.Connections {
		t.gate.SetTarget(queueName, l.Slots+pipelinedStatements, l.Connections)
		t.conns.setMaxOpen(l.Connections)
	}
	if t.grant.Primary && !l.Primary {
		t.primaryRevokedAt = now
	}
	if l.Primary {
		t.primaryRevokedAt = time.Time{}
	}
	if l.Primary != t.grant.Primary || l.Term != t.grant.Term {
		t.keepBound()
		t.positionAt = time.Time{}
		if l.Primary {
			t.bound.gain(now)
		} else {
			t.bound.lose()
		}
		_ = level.Info(t.manager.logger).Log("msg", "primary of target changed", "target", t.name, "epoch", t.epoch, "primary", l.Primary, "term", l.Term)
	}
	if l.Revoked && t.revokedAt.IsZero() {
		t.revokedAt = now
		_ = level.Info(t.manager.logger).Log("msg", "target lease revoked", "target", t.name, "epoch", t.epoch, "work", t.activeWork)
	}
	t.grant = l.TargetGrant
	t.recordColdness(now, l)
}

// dial opens a connection and records whether the target was reached.
func (t *target) dial(ctx context.Context, team string) (Conn, error) {
	t.mu.Lock()
	grant := t.grant
	t.mu.Unlock()
	if t.conns.openCount() <= 1 { // no other connection would have shown a restart
		t.recordUncertain()
	}
	if err := t.admit(); err != nil {
		return nil, err
	}
	startedAt := t.manager.cfg.Clock.Now()
	c, err := t.manager.cfg.Dialer.Dial(ctx, grant, team)
	if err != nil {
		if _, refused := errors.AsType[*verdict.Error](err); refused {
			t.recordContact()
			return nil, err
		}
		t.recordUnreachable(startedAt)
		t.recordOutcome(err, t.manager.cfg.Clock.Now().Sub(startedAt), ctx.Err() != nil)
		_ = level.Info(t.manager.logger).Log("msg", "target not reached", "target", t.name, "addr", grant.Addr, "err", err)
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "target %q is unreachable: %w", t.name, err)
	}
	t.recordContact()
	return limitedConn{c, t}, nil
}

// beginWork admits a single statement or a block. endWork must be called when it has ended.
func (t *target) beginWork(needsPrimary bool) error {
	now := t.manager.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordPlace(now)
	switch {
	case t.closed, !t.revokedAt.IsZero():
		return errLeaseEnded
	case !t.emptiedAt.IsZero():
		return errPlaceEmptied
	case needsPrimary && !t.grant.Primary:
		return errNotPrimary
	case t.healthLocked(now).SilentFor >= silenceLimit:
		return errTargetSilent
	case !t.limiter.HasRoom(now):
		t.manager.metrics.coldRefusals.Inc()
		return errTargetCold
	}
	t.activeWork++
	if needsPrimary {
		t.activePrimaryWork++
	}
	return nil
}

func (t *target) endWork(needsPrimary bool) {
	t.mu.Lock()
	t.activeWork--
	if needsPrimary {
		t.activePrimaryWork--
	}
	t.mu.Unlock()
	t.returnDrained()
}

// cancelOnRevoke returns the context for a statement. For a statement that needs the primary it is cancelled
// when the primary right is revoked: after primaryDrainTimeout, or at once if the target is unhealthy. The
// returned function must be called when the statement has ended.
func (t *target) cancelOnRevoke(ctx context.Context, needsPrimary bool) (context.Context, func()) {
	if !needsPrimary {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	t.mu.Lock()
	t.primaryCancels[&cancel] = struct{}{}
	t.mu.Unlock()
	return ctx, func() {
		cancel()
		t.mu.Lock()
		delete(t.primaryCancels, &cancel)
		t.mu.Unlock()
	}
}

// mayStart returns an error if a statement that has waited for its turn must not be sent any more.
func (t *target) mayStart(needsPrimary bool) error {
	t.mu.Lock()
	t.recordPlace(t.manager.cfg.Clock.Now())
	emptied := !t.emptiedAt.IsZero()
	t.mu.Unlock()
	if emptied {
		return errPlaceEmptied
	}
	if !t.valid(needsPrimary) {
		return errLeaseEnded
	}
	return nil
}

// emptyingEnded reports whether the place has been emptied for so long that nothing may be sent to the target. mu is held.
func (t *target) emptyingEnded(now time.Time) bool {
	return !t.emptiedAt.IsZero() && now.Sub(t.emptiedAt) >= t.manager.cfg.EmptyPlaceTime
}

// isClosedByOrder reports whether nothing may be sent to the target any more because its place is emptied.
func (t *target) isClosedByOrder() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.emptyingEnded(t.manager.cfg.Clock.Now())
}

// recordPlace records when the place of the target was emptied or refilled. A refilled target may have become cold. mu is held.
func (t *target) recordPlace(now time.Time) {
	place := t.manager.cfg.Place(t.grant.Place)
	if place.Orders != t.placeOrders {
		t.placeOrders = place.Orders
		t.limiter.RecordUncertain(now)
	}
	if place.Emptied == !t.emptiedAt.IsZero() {
		return
	}
	t.emptiedAt = time.Time{}
	if place.Emptied {
		t.emptiedAt = now
	}
	_ = level.Info(t.manager.logger).Log("msg", "place of target changed", "target", t.name, "place", t.grant.Place, "emptied", place.Emptied, "work", t.activeWork)
}

// valid reports whether the lease is valid now, and with needsPrimary whether it includes the primary right.
func (t *target) valid(needsPrimary bool) bool {
	t.mu.Lock()
	term := t.grant.Term
	t.mu.Unlock()
	return t.validInTerm(needsPrimary, term)
}

func (t *target) validInTerm(needsPrimary bool, term uint64) bool {
	return t.manager.cfg.Leases.TargetValid(t.name, t.epoch, needsPrimary, term)
}

// returnDrained releases a revoked primary right, and returns a revoked lease, once no work runs under it.
func (t *target) returnDrained() {
	t.mu.Lock()
	releasePrimary := !t.primaryRevokedAt.IsZero() && t.activePrimaryWork == 0
	if releasePrimary {
		t.primaryRevokedAt = time.Time{}
	}
	returnLease := !t.revokedAt.IsZero() && t.activeWork == 0 && !t.closed
	if returnLease {
		t.closed = true
		t.keepBound()
	}
	t.mu.Unlock()
	if releasePrimary {
		t.manager.cfg.Leases.ReleasePrimary(t.name, t.epoch)
	}
	if returnLease {
		t.conns.close()
		t.manager.removeTarget(t)
		t.manager.metrics.returned.Inc()
		_ = level.Info(t.manager.logger).Log("msg", "target lease returned", "target", t.name, "epoch", t.epoch)
		t.manager.cfg.Leases.ReturnTargetLease(t.name, t.epoch)
	}
}

// tick ends the target when its lease has ended, enforces revocations, and polls the position of an unhealthy
// target or of a primary without a recent sample. For an unhealthy target it also requests a renewal of the
// leases, which carries the health report.
func (t *target) tick(ctx context.Context) {
	now := t.manager.cfg.Clock.Now()
	if !t.valid(false) {
		t.close(errLeaseEnded)
		t.manager.removeTarget(t)
		return
	}
	t.mu.Lock()
	t.recordPlace(now)
	t.logColdness(now)
	t.mu.Unlock()
	t.enforceRevocation()
	t.mu.Lock()
	t.confirmBound(now)
	unhealthy := t.unhealthy(now)
	due := unhealthy || t.grant.Primary && now.Sub(t.positionAt) >= sampleInterval
	poll := due && !t.polling && t.revokedAt.IsZero() && !t.emptyingEnded(now)
	t.polling = t.polling || poll
	report := unhealthy && now.Sub(t.reportedAt) >= reportInterval
	if report {
		t.reportedAt = now
	}
	t.mu.Unlock()
	if poll {
		go t.pollPosition(ctx)
	}
	if report {
		t.manager.cfg.Leases.RenewNow()
	}
}

// enforceRevocation aborts blocks that outlast the drain timeout after the lease, or the primary right that
// they need, was revoked, or the place was emptied, and returns what is drained. For the primary right it also cancels the running
// statements that need it; for the lease, running statements may continue until their own timeouts. At an
// unhealthy target, work that needs the primary is aborted at once: it would not end in time, and a promotion
// waits for it.
func (t *target) enforceRevocation() {
	now := t.manager.cfg.Clock.Now()
	t.mu.Lock()
	leaseOverdue := !t.revokedAt.IsZero() && now.Sub(t.revokedAt) >= leaseDrainTimeout || t.emptyingEnded(now)
	primaryOverdue := !t.primaryRevokedAt.IsZero() && (now.Sub(t.primaryRevokedAt) >= primaryDrainTimeout || t.unhealthy(now))
	var toAbort []*Block
	for b := range t.blocks {
		if leaseOverdue || primaryOverdue && b.needsPrimary {
			toAbort = append(toAbort, b)
		}
	}
	if primaryOverdue {
		for cancel := range t.primaryCancels {
			(*cancel)()
		}
	}
	t.mu.Unlock()
	for _, b := range toAbort {
		b.abortAsync(errLeaseEnded)
	}
	t.returnDrained()
}

// pollPosition queries the position of the target, which also tests whether it responds.
func (t *target) pollPosition(ctx context.Context) {
	reached := position.Position{}
	defer func() {
		t.mu.Lock()
		t.polling = false
		if reached.IsZero() {
			t.progress.checkFailed(t.manager.cfg.Clock.Now())
		} else {
			t.progress.checked(t.manager.cfg.Clock.Now(), reached)
		}
		close(t.checked)
		t.checked = make(chan struct{})
		t.mu.Unlock()
	}()
	defer contain.Recover(t.manager.logger, "holder", nil)
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	c := t.conns.takeAnyIdle()
	if c != nil && !c.Usable() {
		t.recordUncertain()
		t.conns.drop(c)
		c = nil
	}
	if c == nil {
		var err error
		if c, err = t.conns.get(ctx, "", nil); err != nil {
			return // dial has recorded whether the target was reached
		}
	}
	sentAt := t.manager.cfg.Clock.Now()
	running := t.recordStart(false)
	pos, err := c.PollPosition(ctx)
	t.recordFinish(running, !connBroken(err) && !refusedAsCold(err))
	if refusedAsCold(err) {
		t.conns.put(c)
		return
	}
	if connBroken(err) {
		t.recordUnreachable(sentAt)
		t.conns.drop(c)
		return
	}
	t.conns.put(c)
	t.recordContact()
	if err == nil {
		t.recordPosition(sentAt, pos, false)
		reached = pos
	}
}

// close aborts the target's work and closes its connections. Its lease has ended and is not returned.
func (t *target) close(cause error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	t.closed = true
	t.keepBound()
	var toAbort []*Block
	for b := range t.blocks {
		toAbort = append(toAbort, b)
	}
	t.mu.Unlock()
	for _, b := range toAbort {
		b.abortAsync(cause)
	}
	t.conns.close()
	t.manager.metrics.ended.Inc()
	_ = level.Info(t.manager.logger).Log("msg", "target lease ended", "target", t.name, "epoch", t.epoch, "err", cause)
}

func (t *target) state() TargetState {
	h := t.healthReport()
	t.mu.Lock()
	defer t.mu.Unlock()
	return TargetState{
		Service: t.grant.Service, Epoch: t.epoch, Primary: t.grant.Primary, Term: t.grant.Term,
		Revoked: !t.revokedAt.IsZero(), Connections: t.conns.openCount(), ActiveWork: t.activeWork,
		SilentFor: h.SilentFor.Seconds(), CommitStall: h.CommitStall.Seconds(), Position: t.bound.pos.Max(t.progress.reached).String(),
	}
}
