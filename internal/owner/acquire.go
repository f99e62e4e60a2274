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

// acquiredConn is a connection to a target that one transaction has acquired, with its admission
// ticket: the right to use a slot of the target. A paused ticket has to wait for a slot again.
type acquiredConn struct {
	target         *target
	conn           Conn
	ticket         *admission.Ticket
	isPrimary      bool
	term           uint64            // term of the service when the connection was acquired
	appliedBefore  position.Position // applied by the target before the transaction started
	reportedBefore position.Position // last position reported on the connection before the transaction
}

// maxSelectors bounds the cache of parsed selectors.
const maxSelectors = 256

// txParams is a transaction request with the team's effective policy and the time limits.
type txParams struct {
	req      wire.TxRequest
	policy   catalog.EffectivePolicy
	team     string
	arrived  time.Time
	deadline time.Time     // for the start of the transaction
	timeout  time.Duration // bounds the start, and later each wait for a slot within a transaction block
}

// newTxParams returns the parameters of a request's transaction, and its timeout.
func (s *service) newTxParams(req wire.TxRequest) (txParams, time.Duration) {
	params := txParams{req: req, policy: s.cfg.Catalog.EffectivePolicy(req.Team, s.name), team: req.Team}
	if params.team == "" {
		params.team = catalog.OpenTeam
	}
	timeout := req.Timeout
	if timeout <= 0 {
		timeout = DefaultStartTimeout
	}
	params.arrived = s.cfg.Clock.Now()
	params.timeout = timeout
	params.deadline = params.arrived.Add(timeout)
	return params, timeout
}

// unavailable returns the error of a request for which no target is available at present.
func unavailable(format string, args ...any) error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, format, args...)
}

// release returns the connection to the pool, which keeps it only if it is reusable, and releases
// the slot.
func (acquired *acquiredConn) release() {
	acquired.target.pool.Put(acquired.conn)
	acquired.ticket.Release()
}

// acquire waits for a slot and a connection of a target that may run the transaction. Errors are
// *verdict.Error with verdict NotRun.
func (s *service) acquire(ctx context.Context, params txParams) (*acquiredConn, error) {
	if params.req.ReadOnly && params.req.Mode != wire.ReadCurrent {
		acquired, err := s.acquireReplica(ctx, params)
		if acquired != nil || err != nil {
			return acquired, err
		}
	}
	return s.acquirePrimary(ctx, params)
}

// acquireReplica acquires a connection to a replica that may serve the read. It returns nil without
// an error when the read has to run on the primary.
func (s *service) acquireReplica(ctx context.Context, params txParams) (*acquiredConn, error) {
	read, ok := s.routingRead(params)
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
		acquired, err := s.acquireFrom(ctx, params, replica)
		if err != nil {
			return nil, nil // the primary may still have a free slot before the deadline
		}
		if s.recheckReplica(acquired, read) {
			return acquired, nil
		}
		acquired.release()
	}
	return nil, nil
}

// routingRead returns the constraints of a read on the choice of a replica. ok is false when they
// can't be determined: the policy's selector is invalid, or the team's floor isn't known yet.
func (s *service) routingRead(params txParams) (routing.ReadRequest, bool) {
	req := params.req
	read := routing.ReadRequest{Mode: req.Mode, MaxAge: req.MaxAge, Place: req.Place, MaxWait: s.cfg.ReplicaWait}
	if params.policy.TargetSelector != "" {
		sel, err := s.parseSelector(params.policy.TargetSelector)
		if err != nil {
			return read, false
		}
		read.Selector = sel
	}
	if req.Mode == wire.ReadMaxAge {
		return read, true // with a maximum age, the session's own writes need not be visible
	}
	read.Floor, read.ObservedReads = req.Floor, s.earlierReads(params)
	if req.HasFloor {
		return read, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	floor, known := s.floors.Floor(params.team)
	read.Floor = read.Floor.Max(floor)
	return read, known
}

// earlierReads returns the session's earlier reads with upper bounds on the times at which they
// ended. Times of another epoch come from another owner's clock and can't be compared; such a read
// had ended by the time this request arrived.
func (s *service) earlierReads(params txParams) []routing.ObservedRead {
	var out []routing.ObservedRead
	for _, observed := range params.req.ObservedReads {
		at := params.arrived
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
	calls := 0
	return s.await(ctx, limit, func() bool {
		calls++
		return calls > 1 // the first call precedes any change
	})
}

// recheckReplica reports whether the replica may still serve the read after the wait for a slot,
// during which its data has aged and the term may have changed. If so, it records the current term and the
// replica's applied position in acquired.
func (s *service) recheckReplica(acquired *acquiredConn, read routing.ReadRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.targets[acquired.target.cfg.Target] != acquired.target || !s.group.CanServe(s.cfg.Clock.Now(), acquired.target.cfg.Target, read) {
		return false
	}
	acquired.term = s.group.Term
	acquired.appliedBefore = s.group.Targets[acquired.target.cfg.Target].Applied
	return true
}

// acquirePrimary waits for a connection to a usable primary until ctx ends. On success the
// transaction is counted in primaryTxs.
func (s *service) acquirePrimary(ctx context.Context, params txParams) (*acquiredConn, error) {
	for {
		primary, primaryCtx, err := s.awaitPrimary(ctx)
		if err != nil {
			return nil, err
		}
		acquired, err := s.acquireFromPrimary(ctx, primaryCtx, params, primary)
		if err == nil && s.recheckPrimary(acquired) {
			return acquired, nil
		}
		if acquired != nil {
			acquired.release()
		}
		s.primaryTxDone()
		if ctx.Err() != nil || err != nil && primaryCtx.Err() == nil && verdict.As(err).Code != verdict.CodeUnavailable {
			return nil, s.orRecheckFailed(err)
		}
		if err != nil && primaryCtx.Err() == nil {
			s.waitBeforeRetry(ctx)
		}
	}
}

// orRecheckFailed returns err if it isn't nil. Otherwise a connection was acquired but recheckPrimary rejected
// it, and orRecheckFailed returns the error for that.
func (s *service) orRecheckFailed(err error) error {
	if err == nil {
		return unavailable("the primary changed or the lease of service %q expired before the request started", s.name)
	}
	return err
}

// waitBeforeRetry limits the rate of connection attempts to a primary that rejects them.
func (s *service) waitBeforeRetry(ctx context.Context) {
	select {
	case <-s.cfg.After(s.cfg.IdlePollInterval):
	case <-ctx.Done():
	}
}

// awaitPrimary waits until the primary accepts new transactions. On success it counts the
// transaction in primaryTxs. primaryCtx ends when the primary changes or its term is fenced.
func (s *service) awaitPrimary(ctx context.Context) (primary *target, primaryCtx context.Context, err error) {
	if !s.leaseValid() {
		return nil, nil, unavailable("the lease of service %q has expired", s.name)
	}
	ok := s.await(ctx, nil, func() bool {
		if !s.primaryReady() {
			return false
		}
		primary, primaryCtx = s.targets[s.primary], s.primaryCtx
		s.primaryTxs++
		return true
	})
	if !ok {
		return nil, nil, unavailable("no primary of service %q became available before the deadline", s.name)
	}
	return primary, primaryCtx, nil
}

// primaryReady reports whether the primary accepts new transactions. mu must be held.
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
func (s *service) acquireFromPrimary(ctx, primaryCtx context.Context, params txParams, primary *target) (*acquiredConn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(primaryCtx, cancel)()
	acquired, err := s.acquireFrom(ctx, params, primary)
	if acquired != nil {
		acquired.isPrimary = true
	}
	return acquired, err
}

// recheckPrimary reports whether the connection's target is still the primary after the wait for a
// slot, and the lease is valid. If so, it records the current term and the primary's applied position in
// acquired. A switchover that has begun in the meantime doesn't matter, since it waits for this transaction.
func (s *service) recheckPrimary(acquired *acquiredConn) bool {
	if !s.leaseValid() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	primary := s.group.Targets[s.primary]
	if s.primary != acquired.target.cfg.Target || s.targets[s.primary] != acquired.target || s.ackTerm != s.group.Term {
		return false
	}
	acquired.term, acquired.appliedBefore = s.group.Term, primary.Applied
	return true
}

// acquireFrom waits for a slot of the target and then for a connection to it.
func (s *service) acquireFrom(ctx context.Context, params txParams, t *target) (*acquiredConn, error) {
	queuedAt := s.cfg.Clock.Now()
	ticket, err := s.gate.Acquire(ctx, params.team, t.cfg.Target, params.policy.Share, params.deadline)
	if err != nil {
		return nil, err
	}
	observeQueueWait(params.team, s.cfg.Clock.Now().Sub(queuedAt))
	conn, err := t.pool.Get(ctx)
	if err != nil {
		ticket.Release()
		return nil, err
	}
	return &acquiredConn{target: t, conn: conn, ticket: ticket, reportedBefore: conn.Position()}, nil
}

func (s *service) primaryTxDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.primaryTxDoneLocked()
}

// primaryTxDoneLocked removes a transaction from primaryTxs, and wakes an election that waits for the last
// one. mu must be held.
func (s *service) primaryTxDoneLocked() {
	s.primaryTxs--
	if s.primaryTxs == 0 && s.election != nil {
		s.notify()
	}
}
