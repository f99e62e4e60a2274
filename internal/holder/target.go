package holder

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/go-kit/log/level"

	"github.com/citronrun/citronrun/internal/admission"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

var (
	errLeaseEnded = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the lease of the target has ended")
	errSilent     = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "the target doesn't answer")
	errNotPrimary = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this host may not do work that needs the primary")
)

// errUnconfirmed means that a commit was answered, but the lease had ended by then.
func errUnconfirmed() error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, "the lease ended before the commit was acknowledged")
}

const lane = "target" // each target has a queue of its own

// target is one held target in one epoch of its lease.
type target struct {
	m     *Manager
	name  string
	epoch uint64
	gate  *admission.Gate
	conns *conns

	mu         sync.Mutex
	grant      wire.TargetGrant
	revoked    time.Time // zero: renewed
	noPrimary  time.Time // when the primary was taken back and not yet released; zero: neither
	closed     bool
	work       int // statements and blocks under way
	primary    int // of those, the ones that need the primary
	blocks     map[*Block]struct{}
	cuts       map[*context.CancelFunc]struct{} // end running work that needs the primary
	running    map[*running]struct{}
	failing    time.Time // first failure to reach the target since the last answer; zero: none
	answered   time.Time // last answer of any kind
	committed  time.Time // last answer to a commit
	sample     wire.Sample
	sampleAt   time.Time // zero: no sample
	pinging    bool
	reportedAt time.Time // last poke because of bad health
}

func newTarget(m *Manager, l Lease) *target {
	t := &target{
		m: m, name: l.Target, epoch: l.Epoch,
		gate:    admission.NewGate(admission.Config{}, m.cfg.Clock),
		blocks:  map[*Block]struct{}{},
		cuts:    map[*context.CancelFunc]struct{}{},
		running: map[*running]struct{}{},
	}
	t.conns = &conns{m: m, dial: t.dial}
	return t
}

// apply takes over the lease's present terms.
func (t *target) apply(l Lease) {
	now := t.m.cfg.Clock.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.grant.Slots != l.Slots || t.grant.Connections != l.Connections {
		t.gate.SetTarget(lane, l.Slots+extraStatements, l.Connections)
		t.conns.setMax(l.Connections)
	}
	if t.grant.Primary && !l.Primary {
		t.noPrimary = now
	}
	if l.Primary {
		t.noPrimary = time.Time{}
	}
	if l.Primary != t.grant.Primary || l.Term != t.grant.Term {
		t.sampleAt = time.Time{} // of another primary's log
		_ = level.Info(t.m.logger).Log("msg", "primary of target changed", "target", t.name, "epoch", t.epoch, "primary", l.Primary, "term", l.Term)
	}
	if l.Revoked && t.revoked.IsZero() {
		t.revoked = now
		_ = level.Info(t.m.logger).Log("msg", "target lease revoked", "target", t.name, "epoch", t.epoch, "work", t.work)
	}
	t.grant = l.TargetGrant
}

// dial opens a connection and notes whether the target was reached.
func (t *target) dial(ctx context.Context, team string) (Conn, error) {
	t.mu.Lock()
	grant := t.grant
	t.mu.Unlock()
	began := t.m.cfg.Clock.Now()
	c, err := t.m.cfg.Dialer.Dial(ctx, grant, team)
	if err != nil {
		if _, answered := errors.AsType[*verdict.Error](err); answered {
			t.heard()
			return nil, err
		}
		t.unheard(began)
		_ = level.Info(t.m.logger).Log("msg", "target not reached", "target", t.name, "addr", grant.Addr, "err", err)
		return nil, verdict.New(verdict.NotRun, verdict.CodeUnavailable, "target %q can't be reached: %w", t.name, err)
	}
	t.heard()
	return c, nil
}

// begin admits work. end must be called once it is over.
func (t *target) begin(primary bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.closed, !t.revoked.IsZero():
		return errLeaseEnded
	case primary && !t.grant.Primary:
		return errNotPrimary
	case t.health(t.m.cfg.Clock.Now()).SilentFor >= silentBound:
		return errSilent
	}
	t.work++
	if primary {
		t.primary++
	}
	return nil
}

func (t *target) end(primary bool) {
	t.mu.Lock()
	t.work--
	if primary {
		t.primary--
	}
	t.mu.Unlock()
	t.settle()
}

// cuttable returns a context for a statement that needs the primary, which ends when such work is cut. The
// returned function must be called once the statement is over.
func (t *target) cuttable(ctx context.Context, primary bool) (context.Context, func()) {
	if !primary {
		return ctx, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	t.mu.Lock()
	t.cuts[&cancel] = struct{}{}
	t.mu.Unlock()
	return ctx, func() {
		cancel()
		t.mu.Lock()
		delete(t.cuts, &cancel)
		t.mu.Unlock()
	}
}

// valid reports whether work under the lease may go on at this moment.
func (t *target) valid(primary bool) bool {
	t.mu.Lock()
	term := t.grant.Term
	t.mu.Unlock()
	return t.validIn(primary, term)
}

func (t *target) validIn(primary bool, term uint64) bool {
	return t.m.cfg.Leases.TargetValid(t.name, t.epoch, primary, term)
}

// settle gives back what the leader has taken back, once the work under it has ended.
func (t *target) settle() {
	t.mu.Lock()
	release := !t.noPrimary.IsZero() && t.primary == 0
	if release {
		t.noPrimary = time.Time{}
	}
	giveBack := !t.revoked.IsZero() && t.work == 0 && !t.closed
	if giveBack {
		t.closed = true
	}
	t.mu.Unlock()
	if release {
		t.m.cfg.Leases.ReleasePrimary(t.name, t.epoch)
	}
	if giveBack {
		t.conns.close()
		t.m.forget(t)
		t.m.metrics.returned.Inc()
		_ = level.Info(t.m.logger).Log("msg", "target lease returned", "target", t.name, "epoch", t.epoch)
		t.m.cfg.Leases.ReturnTargetLease(t.name, t.epoch)
	}
}

// tick ends work that has outlived its lease, asks a quiet primary, or a target that seems silent, for its
// position, and makes bad health known.
func (t *target) tick(ctx context.Context) {
	now := t.m.cfg.Clock.Now()
	if !t.valid(false) {
		t.close(errLeaseEnded)
		t.m.forget(t)
		return
	}
	t.enforce()
	t.mu.Lock()
	unwell := t.unwell(now)
	due := unwell || t.grant.Primary && now.Sub(t.sampleAt) >= sampleInterval
	ping := due && !t.pinging && t.revoked.IsZero()
	t.pinging = t.pinging || ping
	poke := unwell && now.Sub(t.reportedAt) >= reportInterval
	if poke {
		t.reportedAt = now
	}
	t.mu.Unlock()
	if ping {
		go t.ping(ctx)
	}
	if poke {
		t.m.cfg.Leases.RenewNow()
	}
}

// enforce cuts work that goes on for too long after the leader has taken the lease, or the primary, back,
// and gives back what no work runs under. A target that doesn't answer ends no work in time, and a
// promotion waits for it.
func (t *target) enforce() {
	now := t.m.cfg.Clock.Now()
	t.mu.Lock()
	overdue := !t.revoked.IsZero() && now.Sub(t.revoked) >= leaseDrain
	primaryOverdue := !t.noPrimary.IsZero() && (now.Sub(t.noPrimary) >= primaryDrain || t.unwell(now))
	var cut []*Block
	for b := range t.blocks {
		if overdue || primaryOverdue && b.primary {
			cut = append(cut, b)
		}
	}
	if primaryOverdue {
		for cancel := range t.cuts {
			(*cancel)()
		}
	}
	t.mu.Unlock()
	for _, b := range cut {
		b.abort(errLeaseEnded)
	}
	t.settle()
}

// ping asks the primary for its position.
func (t *target) ping(ctx context.Context) {
	defer func() {
		t.mu.Lock()
		t.pinging = false
		t.mu.Unlock()
	}()
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	c := t.conns.anyIdle()
	if c != nil && !c.Usable() {
		t.conns.drop(c)
		c = nil
	}
	if c == nil {
		var err error
		if c, err = t.conns.get(ctx, "", nil); err != nil {
			return // dial has noted whether the target was reached
		}
	}
	began := t.m.cfg.Clock.Now()
	r := t.start(false)
	pos, err := c.Ping(ctx)
	t.finish(r, !broken(err))
	if broken(err) {
		t.unheard(began)
		t.conns.drop(c)
		return
	}
	t.conns.put(c)
	t.heard()
	if err == nil {
		t.note(began, pos)
	}
}

// close ends the target without returning its lease, which has ended.
func (t *target) close(cause error) {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return
	}
	t.closed = true
	var cut []*Block
	for b := range t.blocks {
		cut = append(cut, b)
	}
	t.mu.Unlock()
	for _, b := range cut {
		b.abort(cause)
	}
	t.conns.close()
	t.m.metrics.ended.Inc()
	_ = level.Info(t.m.logger).Log("msg", "target lease ended", "target", t.name, "epoch", t.epoch, "err", cause)
}

func (t *target) state() TargetState {
	h := t.healthReport()
	t.mu.Lock()
	defer t.mu.Unlock()
	return TargetState{
		Service: t.grant.Service, Epoch: t.epoch, Primary: t.grant.Primary, Term: t.grant.Term,
		Revoked: !t.revoked.IsZero(), Connections: t.conns.count(), Statements: t.work,
		SilentFor: h.SilentFor.Seconds(), CommitStall: h.CommitStall.Seconds(), Position: t.sample.Position.String(),
	}
}
