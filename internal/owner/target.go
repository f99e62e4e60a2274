package owner

import (
	"context"
	"time"

	"github.com/citronrun/citronrun/internal/admission"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/routing"
)

// target holds the connection pool and the status poll loop of one target.
type target struct {
	service      *service
	cfg          TargetConfig
	pool         Pool
	ctx          context.Context
	cancelCtx    context.CancelFunc
	wakeCh       chan struct{}
	pollingSince time.Time     // when the poll loop was started
	roundTrip    time.Duration // estimated round trip, guarded by service.mu; 0 until measured
}

// roundTripGrowthDivisor limits the growth of the round trip estimate to 1/roundTripGrowthDivisor per sample, so
// that the estimate follows a lasting change of the network route, but not single slow samples.
const roundTripGrowthDivisor = 50

// recordRoundTrip updates the estimated round trip with a sample and adjusts the number of
// statements that may be in flight. mu must be held.
func (s *service) recordRoundTrip(name string, sample time.Duration) {
	t := s.targets[name]
	if t == nil {
		return
	}
	if t.roundTrip == 0 || sample < t.roundTrip+t.roundTrip/roundTripGrowthDivisor {
		t.roundTrip = sample
	} else {
		t.roundTrip += t.roundTrip / roundTripGrowthDivisor
	}
	s.gate.SetTarget(name, admission.ConcurrencyLimit(s.slotsPerTarget, s.connsPerTarget, t.roundTrip, s.gate.MeanSlotTime(name)), s.connsPerTarget)
}

// wake ends the poll loop's wait, if no statuses were awaited when the wait began. If the loop isn't waiting, its
// next such wait ends at once.
func (t *target) wake() {
	select {
	case t.wakeCh <- struct{}{}:
	default:
	}
}

// poll requests the target's status periodically until the target is removed. Each target has its
// own loop, so that a silent one does not delay the others.
func (t *target) poll() {
	var conn ControlConn
	defer func() {
		if conn != nil {
			conn.Close()
		}
	}()
	for t.ctx.Err() == nil {
		if conn == nil {
			conn = t.dialControl()
		}
		if conn != nil && !t.pollOnce(conn) {
			conn.Close()
			conn = nil
		}
		t.abortIfSilent()
		t.waitForNextPoll(conn == nil)
	}
}

func (t *target) dialControl() ControlConn {
	ctx, cancel := context.WithTimeout(t.ctx, t.service.cfg.StatusTimeout)
	defer cancel()
	conn, err := t.service.cfg.Factory.DialControl(ctx, t.cfg)
	if err != nil {
		return nil
	}
	return conn
}

// waitForNextPoll waits for the busy interval if statuses are awaited and the last poll succeeded, otherwise for
// the idle interval. wake can end the wait early only if no statuses are awaited when it begins.
func (t *target) waitForNextPoll(failed bool) {
	t.service.mu.Lock()
	busy := t.service.statusWaiters > 0
	t.service.mu.Unlock()
	interval := t.service.cfg.IdlePollInterval
	if busy && !failed {
		interval = t.service.cfg.BusyPollInterval
	}
	wakeCh := t.wakeCh
	if busy {
		wakeCh = nil // a wake-up must shorten neither the busy interval nor the idle interval after a failure
	}
	select {
	case <-t.service.cfg.After(interval):
	case <-wakeCh:
	case <-t.ctx.Done():
	}
}

// pollOnce requests the status once and sends the command that it requires, if any. It
// returns false when the connection is no longer usable.
func (t *target) pollOnce(conn ControlConn) bool {
	ctx, cancel := context.WithTimeout(t.ctx, t.service.cfg.StatusTimeout)
	defer cancel()
	sentAt := t.service.cfg.Clock.Now()
	status, err := conn.Status(ctx)
	if err != nil {
		return false
	}
	t.service.recordStatus(t.cfg.Target, sentAt, status)
	cmd := t.service.nextCommand(t.cfg.Target, status)
	switch cmd.kind {
	case commandPromote:
		err = conn.Promote(ctx, cmd.term)
	case commandFollow:
		err = conn.Follow(ctx, cmd.term, cmd.addr)
	default:
		return true
	}
	_ = t.service.manager.logger.Log("msg", cmd.kind.String(), "service", t.service.name, "target", t.cfg.Target, "term", cmd.term, "err", err)
	t.service.commandDone(t.cfg.Target, cmd, err)
	return err == nil
}

// abortIfSilent aborts the transactions on a target that has been silent for silenceLimit. The target has got no
// new ones since routing.UnresponsiveAfter, which is shorter.
func (t *target) abortIfSilent() {
	s := t.service
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.group.Targets[t.cfg.Target]
	if view == nil || view.StatusReceivedAt.IsZero() || now.Sub(view.StatusReceivedAt) < silenceLimit {
		return
	}
	for _, running := range s.txs {
		if running.targetName() == t.cfg.Target {
			go running.abort(errTargetSilent)
		}
	}
}

// recordStatus records a target's status and updates everything derived from it: the round trip,
// the election, the samples of the primary's position and the floors.
func (s *service) recordStatus(name string, sentAt time.Time, status Status) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.group.Targets[name]
	if view == nil {
		return
	}
	s.recordRoundTrip(name, now.Sub(sentAt))
	view.RecordStatus(sentAt, now, status.Role, status.Term, status.Received, status.Applied, s.group.PrimarySamples)
	s.recordElectionStatus(name, status)
	isPrimary := name == s.primary && status.Role == routing.RolePrimary && status.Term == s.group.Term
	if isPrimary {
		s.group.PrimarySamples.Add(sentAt, status.Received)
	}
	s.initFloors(isPrimary, status.Received)
	s.notify()
}

// initFloors sets the base, which is the least value of every team's floor, once per epoch: to the primary's
// position or to the highest position among a quorum of targets, whichever is known first. Every acknowledged
// commit was received by a quorum, so the highest position among any quorum covers all of them, even while the
// primary can't be reached.
func (s *service) initFloors(fromPrimary bool, received position.Position) {
	if _, known := s.floors.Floor(""); known { // the base has been set
		return
	}
	if fromPrimary {
		s.floors.RaiseBase(received)
		return
	}
	if p, ok := s.group.HighestReceived(s.startedAt); ok {
		s.floors.RaiseBase(p)
	}
}
