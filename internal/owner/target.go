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
	s     *service
	cfg   TargetConfig
	pool  Pool
	ctx   context.Context
	end   context.CancelFunc
	kick  chan struct{}
	since time.Time     // when the poll loop was started
	delay time.Duration // estimated round trip, guarded by service.mu; 0 until measured
}

// roundTripGrowth limits the growth of the round trip estimate to 1/roundTripGrowth per sample: a
// lasting change of the network route is followed, single slow samples are not.
const delayDecay = 50

// recordRoundTrip updates the estimated round trip with a sample and adjusts the number of
// statements that may be in flight. The caller holds mu.
func (s *service) noteDelay(name string, sample time.Duration) {
	t := s.targets[name]
	if t == nil {
		return
	}
	if t.delay == 0 || sample < t.delay+t.delay/delayDecay {
		t.delay = sample
	} else {
		t.delay += t.delay / delayDecay
	}
	s.gate.SetTarget(name, admission.ConcurrencyLimit(s.slots, s.conns, t.delay, s.gate.Cost(name)), s.conns)
}

func (t *target) wake() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// poll requests the target's status periodically until the target is removed. Each target has its
// own loop, so that an unresponsive one does not delay the others.
func (t *target) poll() {
	var g ControlConn
	defer func() {
		if g != nil {
			g.Close()
		}
	}()
	for t.ctx.Err() == nil {
		if g == nil {
			g = t.dial()
		}
		if g != nil && !t.step(g) {
			g.Close()
			g = nil
		}
		t.giveUpIfSilent()
		t.pause(g == nil)
	}
}

func (t *target) dial() ControlConn {
	ctx, cancel := context.WithTimeout(t.ctx, t.s.cfg.StatusTimeout)
	defer cancel()
	g, err := t.s.cfg.Factory.DialControl(ctx, t.cfg)
	if err != nil {
		return nil
	}
	return g
}

func (t *target) pause(failed bool) {
	t.s.mu.Lock()
	busy := t.s.waiting > 0
	t.s.mu.Unlock()
	d := t.s.cfg.PollIdle
	if busy && !failed {
		d = t.s.cfg.PollBusy
	}
	kick := t.kick
	if busy {
		kick = nil // already at the busy interval, which a wake-up must not shorten
	}
	select {
	case <-t.s.cfg.After(d):
	case <-kick:
	case <-t.ctx.Done():
	}
}

// pollOnce requests the status once and sends the control command that it requires, if any. It
// returns false when the connection is no longer usable.
func (t *target) step(g ControlConn) bool {
	ctx, cancel := context.WithTimeout(t.ctx, t.s.cfg.StatusTimeout)
	defer cancel()
	asked := t.s.cfg.Clock.Now()
	st, err := g.Status(ctx)
	if err != nil {
		return false
	}
	t.s.answered(t.cfg.Target, asked, st)
	act := t.s.nextAction(t.cfg.Target, st)
	switch act.kind {
	case actPromote:
		err = g.Promote(ctx, act.term)
	case actFollow:
		err = g.Follow(ctx, act.term, act.addr)
	default:
		return true
	}
	_ = t.s.m.logger.Log("msg", act.kind.String(), "service", t.s.name, "target", t.cfg.Target, "term", act.term, "err", err)
	t.s.acted(t.cfg.Target, act, err)
	return err == nil
}

// abortIfSilent aborts the transactions on a target that has stopped answering status requests.
func (t *target) giveUpIfSilent() {
	s := t.s
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.group.Targets[t.cfg.Target]
	if view == nil || view.StatusReceivedAt.IsZero() || now.Sub(view.StatusReceivedAt) < silentAbort {
		return
	}
	for _, x := range s.txs {
		if x.at() == t.cfg.Target {
			go x.abort(errTargetSilent)
		}
	}
}

// recordStatus records a target's status and updates everything derived from it: the round trip,
// the election, the samples of the primary's position and the floors.
func (s *service) answered(name string, asked time.Time, st Status) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.group.Targets[name]
	if view == nil {
		return
	}
	s.noteDelay(name, now.Sub(asked))
	view.RecordStatus(asked, now, st.Role, st.Term, st.Received, st.Applied, s.group.Samples)
	s.electionAnswer(name, st)
	current := name == s.primary && st.Role == routing.RolePrimary && st.Term == s.group.Term
	if current {
		s.group.Samples.Add(asked, st.Received)
	}
	s.startFloors(current, st.Received)
	s.notify()
}

// initFloors sets the lower bound of all floors once per epoch: to the primary's position or to the
// highest position among a majority of targets, whichever is known first. Every acknowledged commit
// was received by a majority, so the highest position among any majority covers all of them, even
// while the primary can't be reached.
func (s *service) startFloors(current bool, received position.Position) {
	if _, known := s.floors.Floor(""); known {
		return
	}
	if current {
		s.floors.Start(received)
		return
	}
	if p, ok := s.group.Highest(s.started); ok {
		s.floors.Start(p)
	}
}
