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

// placement is a connection to a target that one transaction has acquired, with its admission
// ticket.
type placement struct {
	target         *target
	conn           Conn
	ticket         *admission.Ticket
	isPrimary      bool
	term           uint64
	appliedBefore  position.Position // applied by the target before the transaction started
	reportedBefore position.Position // last position reported on the connection before the transaction
}

// maxSelectors bounds the cache of parsed selectors.
const maxSelectors = 256

// job is a transaction request with the team's effective policy and the deadline.
type job struct {
	req      wire.TxRequest
	policy   catalog.EffectivePolicy
	team     string
	arrived  time.Time
	deadline time.Time     // for the start of the transaction
	timeout  time.Duration // bounds the start, and later each wait for a slot within a block
}

// newJob returns the job of a request and its start timeout.
func (s *service) newJob(req wire.TxRequest) (job, time.Duration) {
	j := job{req: req, policy: s.cfg.Catalog.EffectivePolicy(req.Team, s.name), team: req.Team}
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

// unavailable returns the error of a request for which no target is available at present.
func unavailable(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, format, args...)
}

// release returns the connection to the pool, which keeps it only if it is reusable, and releases
// the admission ticket.
func (p *placement) release() {
	p.target.pool.Put(p.conn)
	p.ticket.Release()
}

// acquire waits for a slot and a connection of a target that may run the transaction. Errors are
// *verdict.Error with verdict NotRun.
func (s *service) acquire(ctx context.Context, j job) (*placement, error) {
	if j.req.ReadOnly && j.req.Mode != wire.ReadCurrent {
		p, err := s.acquireReplica(ctx, j)
		if p != nil || err != nil {
			return p, err
		}
	}
	return s.acquirePrimary(ctx, j)
}

// acquireReplica returns a nil placement without an error when the read has to run on the primary.
func (s *service) acquireReplica(ctx context.Context, j job) (*placement, error) {
	read, ok := s.routingRead(j)
	if !ok {
		return nil, nil
	}
	waitStart := s.cfg.Clock.Now()
	var limit <-chan time.Time // started when the read first has to wait for a replica
	for ctx.Err() == nil && s.leaseValid() {
		read.Waited = s.cfg.Clock.Now().Sub(waitStart)
		decision, replica := s.chooseReplica(read)
		if decision.Wait {
			if limit == nil {
				limit = s.cfg.After(s.cfg.ReplicaWait)
			}
			if s.awaitChange(ctx, limit) {
				continue
			}
		}
		if replica == nil {
			return nil, nil
		}
		p, err := s.acquireFrom(ctx, j, replica)
		if err != nil {
			return nil, nil // the primary may still have a free slot before the deadline
		}
		if s.recheckReplica(p, read) {
			return p, nil
		}
		p.release()
	}
	return nil, nil
}

// routingRead returns the constraints of a read on the choice of a replica. ok is false when they
// can't be determined: the policy's selector is invalid, or the team's floor isn't known yet.
func (s *service) routingRead(j job) (routing.ReadRequest, bool) {
	req := j.req
	read := routing.ReadRequest{Mode: req.Mode, MaxAge: req.MaxAge, Place: req.Place, MaxWait: s.cfg.ReplicaWait}
	if j.policy.TargetSelector != "" {
		sel, err := s.parseSelector(j.policy.TargetSelector)
		if err != nil {
			return read, false
		}
		read.Selector = sel
	}
	if req.Mode == wire.ReadMaxAge {
		return read, true // bounded staleness only: the session's own writes need not be visible
	}
	read.Floor, read.ObservedReads = req.Floor, s.observedReads(j)
	if req.HasFloor {
		return read, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	floor, known := s.floors.Floor(j.team)
	read.Floor = read.Floor.Max(floor)
	return read, known
}

// observedReads returns the session's earlier reads with upper bounds on the times at which they
// ended. Times of another epoch come from another owner's clock and can't be compared; such a read
// had ended by the time this request arrived.
func (s *service) observedReads(j job) []routing.ObservedRead {
	var out []routing.ObservedRead
	for _, observed := range j.req.ObservedReads {
		at := j.arrived
		if observed.Epoch == s.epoch {
			at = s.startedAt.Add(observed.At)
		}
		out = append(out, routing.ObservedRead{Target: observed.Target, At: at})
	}
	return out
}

// parseSelector caches parsed selectors, since each read under the policy needs it.
func (s *service) parseSelector(text string) (labels.Selector, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sel, ok := s.selectors[text]; ok {
		return sel, nil
	}
	sel, err := labels.Parse(text)
	if err != nil {
		return nil, err
	}
	if len(s.selectors) >= maxSelectors {
		clear(s.selectors) // it accumulates the texts of outdated policies
	}
	s.selectors[text] = sel
	return sel, nil
}

func (s *service) chooseReplica(read routing.ReadRequest) (routing.Decision, *target) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, view := range s.group.Targets {
		n, slots := s.gate.Load(name)
		view.Load = float64(n) / float64(slots)
	}
	d := s.group.Choose(s.cfg.Clock.Now(), read, s.rng)
	return d, s.targets[d.Replica]
}

// awaitChange waits for the next state change. It returns false when ctx or the service ends or
// limit fires first.
func (s *service) awaitChange(ctx context.Context, limit <-chan time.Time) bool {
	defer s.pollFaster()()
	first := true
	return s.await(ctx, limit, func() bool {
		was := first
		first = false
		return !was
	})
}

// recheckReplica reports whether the replica may still serve the read after the wait for a slot,
// during which its data has aged and the term may have changed.
func (s *service) recheckReplica(p *placement, read routing.ReadRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.targets[p.target.cfg.Target] != p.target || !s.group.CanServe(s.cfg.Clock.Now(), p.target.cfg.Target, read) {
		return false
	}
	p.term = s.group.Term
	p.appliedBefore = s.group.Targets[p.target.cfg.Target].Applied
	return true
}

// acquirePrimary waits for a placement on a usable primary until ctx ends. On success the
// transaction is counted as a writer.
func (s *service) acquirePrimary(ctx context.Context, j job) (*placement, error) {
	for {
		primary, primaryCtx, err := s.awaitPrimary(ctx)
		if err != nil {
			return nil, err
		}
		p, err := s.acquireFromPrimary(ctx, primaryCtx, j, primary)
		if err == nil && s.recheckPrimary(p) {
			return p, nil
		}
		if p != nil {
			p.release()
		}
		s.writerDone()
		if ctx.Err() != nil || err != nil && primaryCtx.Err() == nil && verdict.As(err).Code != verdict.CodeUnavailable {
			return nil, orUnavailable(err)
		}
		if err != nil && primaryCtx.Err() == nil {
			s.waitBeforeRetry(ctx)
		}
	}
}

// orUnavailable returns err, or the error for a primary that changed while a connection to it was
// being acquired if err is nil.
func orUnavailable(err error) error {
	if err == nil {
		return unavailable("the primary changed before the request started")
	}
	return err
}

// waitBeforeRetry limits the rate of connection attempts to a primary that refuses them.
func (s *service) waitBeforeRetry(ctx context.Context) {
	select {
	case <-s.cfg.After(s.cfg.IdlePollInterval):
	case <-ctx.Done():
	}
}

// awaitPrimary waits until the primary accepts new transactions. On success it counts the caller as
// a writer and returns the primary with the context that is cancelled when it is replaced or
// fenced.
func (s *service) awaitPrimary(ctx context.Context) (*target, context.Context, error) {
	var primary *target
	var primaryCtx context.Context
	if !s.leaseValid() {
		return nil, nil, unavailable("the lease of service %q has expired", s.name)
	}
	ok := s.await(ctx, nil, func() bool {
		if !s.primaryReady() {
			return false
		}
		primary, primaryCtx = s.targets[s.primary], s.primaryCtx
		s.writers++
		return true
	})
	if !ok {
		return nil, nil, unavailable("no primary of service %q became available before the deadline", s.name)
	}
	return primary, primaryCtx, nil
}

// primaryReady reports whether the primary accepts new transactions. The caller holds mu.
func (s *service) primaryReady() bool {
	primary := s.group.Targets[s.primary]
	if primary == nil || s.election != nil || s.ackTerm != s.group.Term || primary.Leaving {
		return false
	}
	if primary.Role != routing.RolePrimary || primary.Term != s.group.Term {
		return false
	}
	return s.cfg.Clock.Now().Sub(primary.StatusReceivedAt) <= routing.UnresponsiveAfter
}

// acquireFromPrimary is acquireFrom for the primary. It also fails when primaryCtx ends.
func (s *service) acquireFromPrimary(ctx, primaryCtx context.Context, j job, primary *target) (*placement, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(primaryCtx, cancel)()
	p, err := s.acquireFrom(ctx, j, primary)
	if p != nil {
		p.isPrimary = true
	}
	return p, err
}

// recheckPrimary reports whether the connection's target is still the primary after the wait for a
// slot. A switchover that has begun in the meantime doesn't matter, since it waits for this writer.
func (s *service) recheckPrimary(p *placement) bool {
	if !s.leaseValid() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	primary := s.group.Targets[s.primary]
	if s.primary != p.target.cfg.Target || s.targets[s.primary] != p.target || s.ackTerm != s.group.Term {
		return false
	}
	p.term, p.appliedBefore = s.group.Term, primary.Applied
	return true
}

// acquireFrom waits for a slot of the target and then for a connection to it.
func (s *service) acquireFrom(ctx context.Context, j job, t *target) (*placement, error) {
	queuedAt := s.cfg.Clock.Now()
	ticket, err := s.gate.Acquire(ctx, j.team, t.cfg.Target, j.policy.Share, j.deadline)
	if err != nil {
		return nil, err
	}
	observeQueueWait(j.team, s.cfg.Clock.Now().Sub(queuedAt))
	conn, err := t.pool.Get(ctx)
	if err != nil {
		ticket.Release()
		return nil, err
	}
	return &placement{target: t, conn: conn, ticket: ticket, reportedBefore: conn.Position()}, nil
}

func (s *service) writerDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writerDoneLocked()
}

// writerDoneLocked uncounts a writer and wakes an election that waits for the last one. The caller
// holds mu.
func (s *service) writerDoneLocked() {
	s.writers--
	if s.writers == 0 && s.election != nil {
		s.notify()
	}
}
