package owner

import (
	"context"
	"time"

	"github.com/citronrun/citronrun/internal/admission"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/routing"
)

// target is the owner's side of one target: its pool and its status loop.
type target struct {
	s     *service
	cfg   TargetConfig
	pool  Pool
	ctx   context.Context
	end   context.CancelFunc
	kick  chan struct{}
	since time.Time     // start of the loop
	delay time.Duration // round trip, guarded by s.mu; 0: not measured yet
}

// delayDecay is the part, 1 in so many, by which an old round trip grows with each sample, so that a
// lasting change of the route is noticed. Single slow samples are not.
const delayDecay = 50

// noteDelay takes over a sample of the round trip and adapts the number of statements under way.
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
	s.gate.SetTarget(name, admission.ConcurrencyLimit(s.slots, s.conns, t.delay, s.gate.MeanSlotTime(name)), s.conns)
}

func (t *target) wake() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

// poll asks the target for its status until the target is removed. Each target has a loop of its own,
// so that a silent one delays no other.
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
		kick = nil // a wake while busy must not shorten the interval
	}
	select {
	case <-t.s.cfg.After(d):
	case <-kick:
	case <-t.ctx.Done():
	}
}

// step asks once and takes the control step that the answer calls for. It returns false when the
// connection is no longer usable.
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

// giveUpIfSilent ends the transactions on a target that has stopped answering.
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

// answered records a status answer.
func (s *service) answered(name string, asked time.Time, st Status) {
	now := s.cfg.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	view := s.group.Targets[name]
	if view == nil {
		return
	}
	s.noteDelay(name, now.Sub(asked))
	view.RecordStatus(asked, now, st.Role, st.Term, st.Received, st.Applied, s.group.PrimarySamples)
	s.electionAnswer(name, st)
	current := name == s.primary && st.Role == routing.RolePrimary && st.Term == s.group.Term
	if current {
		s.group.PrimarySamples.Add(asked, st.Received)
	}
	s.startFloors(current, st.Received)
	s.notify()
}

// startFloors sets the lower bound of the floors once per ownership. Every acknowledged commit was
// received by a majority, so the highest position of any majority covers all of them, also while the
// primary can't be reached.
func (s *service) startFloors(current bool, received position.Position) {
	if _, known := s.floors.Floor(""); known {
		return
	}
	if current {
		s.floors.RaiseBase(received)
		return
	}
	if p, ok := s.group.HighestReceived(s.started); ok {
		s.floors.RaiseBase(p)
	}
}
