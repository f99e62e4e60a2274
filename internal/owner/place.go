package owner

import (
	"context"
	"time"

	"k8s.io/apimachinery/pkg/labels"

	"github.com/citronrun/citronrun/internal/admission"
	"github.com/citronrun/citronrun/internal/catalog"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/routing"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

// placed is a target connection with a slot, for one transaction.
type placed struct {
	t       *target
	conn    Conn
	ticket  *admission.Ticket
	primary bool
	term    uint64
	known   position.Position // applied by the target before the transaction started
	start   position.Position // last position that the connection had reported before
}

// maxSelectors bounds the parsed selectors that are kept.
const maxSelectors = 256

// job is a request with what the catalog says about it.
type job struct {
	req      wire.TxRequest
	rule     catalog.EffectivePolicy
	team     string
	arrived  time.Time
	deadline time.Time     // latest start
	timeout  time.Duration // of the start, and of the wait for a slot within a block
}

func (s *service) newJob(req wire.TxRequest) (job, time.Duration) {
	j := job{req: req, rule: s.cfg.Catalog.EffectivePolicy(req.Team, s.name), team: req.Team}
	if j.team == "" {
		j.team = catalog.OpenTeam
	}
	timeout := req.Timeout
	if timeout <= 0 {
		timeout = DefaultStartTimeout
	}
	j.arrived = s.cfg.Clock.Now()
	j.timeout = timeout
	j.deadline = j.arrived.Add(timeout)
	return j, timeout
}

// unavailable returns the error of requests that can't be placed now.
func unavailable(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, format, args...)
}

// give returns connection and slot. The pool keeps the connection only when it is clean.
func (p *placed) give() {
	p.t.pool.Put(p.conn)
	p.ticket.Release()
}

// place finds a connection for a transaction. Errors are *verdict.Error with verdict NotRun.
func (s *service) place(ctx context.Context, j job) (*placed, error) {
	if j.req.ReadOnly && j.req.Mode != wire.ReadCurrent {
		p, err := s.placeReplica(ctx, j)
		if p != nil || err != nil {
			return p, err
		}
	}
	return s.placePrimary(ctx, j)
}

// placeReplica returns nil without an error when the read has to go to the primary.
func (s *service) placeReplica(ctx context.Context, j job) (*placed, error) {
	r, ok := s.readOf(j)
	if !ok {
		return nil, nil
	}
	from := s.cfg.Clock.Now()
	var limit <-chan time.Time // set when the read has to wait
	for ctx.Err() == nil && s.leaseValid() {
		r.Waited = s.cfg.Clock.Now().Sub(from)
		d, t := s.choose(r)
		if d.Wait {
			if limit == nil {
				limit = s.cfg.After(s.cfg.ReplicaWait)
			}
			if s.awaitChange(ctx, limit) {
				continue
			}
		}
		if t == nil {
			return nil, nil
		}
		p, err := s.take(ctx, j, t)
		if err != nil {
			return nil, nil // the primary may still have room in time
		}
		if s.confirmReplica(p, r) {
			return p, nil
		}
		p.give()
	}
	return nil, nil
}

// readOf builds the routing question. ok is false when no replica is known to be fresh enough.
func (s *service) readOf(j job) (routing.ReadRequest, bool) {
	req := j.req
	r := routing.ReadRequest{Mode: req.Mode, MaxAge: req.MaxAge, Place: req.Place, MaxWait: s.cfg.ReplicaWait}
	if j.rule.TargetSelector != "" {
		sel, err := s.parseSelector(j.rule.TargetSelector)
		if err != nil {
			return r, false
		}
		r.Selector = sel
	}
	if req.Mode == wire.ReadMaxAge {
		return r, true // such a read asked for an age, not for the session's own writes
	}
	r.Floor, r.ObservedReads = req.Floor, s.seenOf(j)
	if req.HasFloor {
		return r, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	floor, known := s.floors.Floor(j.team)
	r.Floor = r.Floor.Max(floor)
	return r, known
}

// seenOf returns the earlier reads of a session with the times at which they had ended. The clock of
// another epoch's owner says nothing here, but such a read had ended when this request arrived.
func (s *service) seenOf(j job) []routing.ObservedRead {
	var out []routing.ObservedRead
	for _, x := range j.req.ObservedReads {
		at := j.arrived
		if x.Epoch == s.epoch {
			at = s.started.Add(x.At)
		}
		out = append(out, routing.ObservedRead{Target: x.Target, At: at})
	}
	return out
}

// parseSelector keeps parsed selectors, since each read needs one.
func (s *service) parseSelector(text string) (labels.Selector, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sel, ok := s.selector[text]; ok {
		return sel, nil
	}
	sel, err := labels.Parse(text)
	if err != nil {
		return nil, err
	}
	if len(s.selector) >= maxSelectors {
		clear(s.selector) // old texts remain after changes of policies
	}
	s.selector[text] = sel
	return sel, nil
}

func (s *service) choose(r routing.ReadRequest) (routing.Decision, *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, view := range s.group.Targets {
		n, slots := s.gate.Load(name)
		view.Load = float64(n) / float64(slots)
	}
	d := s.group.Choose(s.cfg.Clock.Now(), r, s.rnd)
	return d, s.targets[d.Replica]
}

// awaitChange waits for the next change of state. It returns false when the limit fired.
func (s *service) awaitChange(ctx context.Context, limit <-chan time.Time) bool {
	defer s.hurry()()
	first := true
	return s.await(ctx, limit, func() bool {
		was := first
		first = false
		return !was
	})
}

// confirmReplica checks the choice again after the wait for a slot, during which the age has grown
// and the term may have changed.
func (s *service) confirmReplica(p *placed, r routing.ReadRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.targets[p.t.cfg.Target] != p.t || !s.group.CanServe(s.cfg.Clock.Now(), p.t.cfg.Target, r) {
		return false
	}
	p.term = s.group.Term
	p.known = s.group.Targets[p.t.cfg.Target].Applied
	return true
}

// placePrimary waits for a usable primary, within the deadline of ctx.
func (s *service) placePrimary(ctx context.Context, j job) (*placed, error) {
	for {
		t, gen, err := s.awaitPrimary(ctx)
		if err != nil {
			return nil, err
		}
		p, err := s.takePrimary(ctx, gen, j, t)
		if err == nil && s.confirmPrimary(p) {
			return p, nil
		}
		if p != nil {
			p.give()
		}
		s.writerDone()
		if ctx.Err() != nil || err != nil && gen.Err() == nil && verdict.As(err).Code != verdict.CodeUnavailable {
			return nil, orUnavailable(err)
		}
		if err != nil && gen.Err() == nil {
			s.pauseOr(ctx)
		}
	}
}

func orUnavailable(err error) error {
	if err == nil {
		return unavailable("the primary changed before the request started")
	}
	return err
}

// pauseOr separates attempts to connect to a primary that refuses connections.
func (s *service) pauseOr(ctx context.Context) {
	select {
	case <-s.cfg.After(s.cfg.PollIdle):
	case <-ctx.Done():
	}
}

// awaitPrimary counts the caller as a writer when it succeeds.
func (s *service) awaitPrimary(ctx context.Context) (*target, context.Context, error) {
	var t *target
	var gen context.Context
	if !s.leaseValid() {
		return nil, nil, unavailable("the lease of service %q has expired", s.name)
	}
	ok := s.await(ctx, nil, func() bool {
		if !s.primaryReady() {
			return false
		}
		t, gen = s.targets[s.primary], s.gen
		s.writers++
		return true
	})
	if !ok {
		return nil, nil, unavailable("no primary of service %q in time", s.name)
	}
	return t, gen, nil
}

// primaryReady reports whether new work may go to the primary. The caller holds mu.
func (s *service) primaryReady() bool {
	v := s.group.Targets[s.primary]
	if v == nil || s.election != nil || s.ackTerm != s.group.Term || v.Leaving {
		return false
	}
	if v.Role != routing.RolePrimary || v.Term != s.group.Term {
		return false
	}
	return s.cfg.Clock.Now().Sub(v.StatusReceivedAt) <= routing.UnresponsiveAfter
}

func (s *service) takePrimary(ctx, gen context.Context, j job, t *target) (*placed, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(gen, cancel)()
	p, err := s.take(ctx, j, t)
	if p != nil {
		p.primary = true
	}
	return p, err
}

// confirmPrimary checks that the primary is still the one of the term. A planned change may have
// begun meanwhile; it waits for this writer.
func (s *service) confirmPrimary(p *placed) bool {
	if !s.leaseValid() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.group.Targets[s.primary]
	if s.primary != p.t.cfg.Target || s.targets[s.primary] != p.t || s.ackTerm != s.group.Term {
		return false
	}
	p.term, p.known = s.group.Term, v.Applied
	return true
}

// take waits for a slot and then for a connection of a target.
func (s *service) take(ctx context.Context, j job, t *target) (*placed, error) {
	from := s.cfg.Clock.Now()
	ticket, err := s.gate.Acquire(ctx, j.team, t.cfg.Target, j.rule.Share, j.deadline)
	if err != nil {
		return nil, err
	}
	countQueueWait(j.team, s.cfg.Clock.Now().Sub(from))
	conn, err := t.pool.Get(ctx)
	if err != nil {
		ticket.Release()
		return nil, err
	}
	return &placed{t: t, conn: conn, ticket: ticket, start: conn.Position()}, nil
}

func (s *service) writerDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropWriter()
}

// dropWriter wakes an election that waits for the last writer. The caller holds mu.
func (s *service) dropWriter() {
	s.writers--
	if s.writers == 0 && s.election != nil {
		s.notify()
	}
}
