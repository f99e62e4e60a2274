package owner

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/citronrun/citronrun/internal/pgwire"
	"github.com/citronrun/citronrun/internal/position"
	"github.com/citronrun/citronrun/internal/verdict"
	"github.com/citronrun/citronrun/internal/wire"
)

const (
	// sendBytes bounds the frames that are collected for one write to a target.
	sendBytes = 32 << 10
	// relayBytes is the size at which collected responses are written to the caller.
	relayBytes = 16 << 10
	// firstOutBytes holds the responses of a statement with few rows.
	firstOutBytes = 512
	// heldBytes bounds the responses held back until a commit is confirmed.
	heldBytes = 256 << 10
	// recordBytes bounds the request frames kept for a second run at the primary.
	// It fits into socket buffers, since responses aren't read while it is sent.
	recordBytes = 64 << 10
	// rerunTimeout bounds the placement of a second run.
	rerunTimeout = 5 * time.Second
)

var (
	errPrimaryChanged = unknownOutcome("the primary changed while the request was running")
	errOwnershipEnded = unknownOutcome("the ownership of the service ended while the request was running")
	errTargetSilent   = unknownOutcome("the target stopped answering")
	errLeaseExpired   = unknownOutcome("the lease expired before the response was confirmed")
	errNoQuorum       = unknownOutcome("no majority has confirmed the commit in time")
	errReplicaRefused = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "a replica refused the request and the primary isn't available")
	errCallerGone     = unknownOutcome("the caller's stream ended")

	past = time.Unix(1, 0) // a deadline that interrupts reads and writes
)

func unknownOutcome(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, format, args...)
}

// tx relays one transaction between a caller's stream and a target connection. One goroutine moves
// requests up to the target (up.go), another one moves responses down (down.go).
type tx struct {
	s   *service
	job job
	out responder
	ctx context.Context
	end context.CancelFunc

	mu        sync.Mutex // guards the fields below; taken after service.mu, never before it
	cond      sync.Cond
	p         *placed
	slot      bool   // the ticket holds a slot
	sent      bool   // something was sent to a target
	sending   bool   // up is about to send or sends
	switching bool   // down is moving the transaction to the primary
	idle      bool   // a ReadyForQuery was read since the last send
	syncs     int    // Query and Sync requests without a ReadyForQuery
	ended     bool   // nothing is sent any more
	cancelled bool   // a cancel request was sent for the connection
	cause     error  // why the transaction was given up
	record    []byte // requests sent so far, for a second run
	recording bool

	d downState
}

// responder takes over the responses of a transaction. They are valid until the next response of the
// target is handled.
type responder interface {
	respond(frames []byte) error
}

// streamResponder writes responses to a stream.
type streamResponder struct{ io.Writer }

func (s streamResponder) respond(frames []byte) error {
	_, err := s.Write(frames)
	return err
}

func newTx(ctx context.Context, s *service, j job, out responder) *tx {
	t := &tx{s: s, job: j, out: out}
	t.d.out = make([]byte, 0, firstOutBytes)
	t.cond.L = &t.mu
	t.ctx, t.end = context.WithCancel(ctx)
	return t
}

// serve admits, runs and ends one transaction.
func (s *service) serve(ctx context.Context, req wire.TxRequest, stream io.ReadWriteCloser) {
	if err := s.enter(); err != nil {
		refuse(stream, err)
		return
	}
	defer s.leave()
	j, timeout := s.newJob(req)
	if req.RequestKey != "" && !req.ReadOnly {
		s.serveKeyed(ctx, j, timeout, stream)
		return
	}
	p, err := s.placeInTime(ctx, j, timeout)
	if err != nil {
		refuse(stream, err)
		return
	}
	t := newTx(ctx, s, j, streamResponder{stream})
	t.attach(p)
	defer t.finish()
	defer context.AfterFunc(ctx, func() { t.abort(errCallerGone) })()
	if wire.Write(stream, wire.TxReply{Admitted: true}) != nil {
		return
	}
	count(p, req.ReadOnly)
	go t.up(stream)
	t.down()
}

func (s *service) placeInTime(ctx context.Context, j job, timeout time.Duration) (*placed, error) {
	bounded := withLazyTimeout(ctx, timeout)
	defer bounded.stop()
	return s.place(bounded, j)
}

func count(p *placed, readOnly bool) {
	switch {
	case !readOnly:
		writes.Inc()
	case p.primary:
		readsPrimary.Inc()
	default:
		readsReplica.Inc()
	}
}

// enter counts a transaction, unless the ownership ends or the lease isn't valid.
func (s *service) enter() error {
	valid := s.leaseValid()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handover.State() != stateOwned || s.ctx.Err() != nil || !valid {
		return unavailable("service %q is not owned by this host", s.name)
	}
	s.active++
	return nil
}

func (s *service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if s.handover.State() != stateOwned {
		s.notify() // run waits for the last one
	}
}

// attach registers the transaction with its connection, so that it can be cancelled and aborted.
func (t *tx) attach(p *placed) {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.p, t.slot = p, true
	t.recording = t.job.req.ReadOnly && !p.primary
	t.s.txs[t.key()] = t
	if p.primary && p.term != t.s.ackTerm || t.s.ctx.Err() != nil {
		go t.abort(errPrimaryChanged) // changed since the placement
	}
}

func (t *tx) key() txKey { return txKey{t.job.req.Session, t.job.req.Seq} }

// finish gives back what the transaction holds.
func (t *tx) finish() {
	t.end()
	t.detach()
	s := t.s
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.txs[t.key()] == t {
		delete(s.txs, t.key())
	}
	if t.p.primary {
		s.dropWriter()
	}
}

// detach ends the use of the connection. The pool keeps it only when all responses were read and the
// target is idle; a connection with a cancel request under way is closed, since that request could
// reach the next statement.
func (t *tx) detach() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.p.conn == nil {
		return
	}
	t.ended = true
	if t.cancelled || t.sending {
		t.p.conn.Discard()
	}
	t.release()
}

// release waits for a send in progress and returns the connection. The caller holds mu.
func (t *tx) release() {
	if t.sending {
		_ = t.p.conn.SetDeadline(past) // fails only on a closed connection
	}
	for t.sending {
		t.cond.Wait()
	}
	t.p.give()
	t.p.conn = nil
}

// abort gives up the transaction. Its connection is not reused.
func (t *tx) abort(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	if t.cause == nil {
		t.cause = cause
	}
	t.end()
	t.kill()
	t.cond.Broadcast()
}

// kill makes reads and writes of the connection fail. The caller holds mu.
func (t *tx) kill() {
	if t.p.conn == nil {
		return
	}
	t.p.conn.Discard()
	_ = t.p.conn.SetDeadline(past) // fails only on a closed connection
}

// at returns the target that the transaction runs on, or "" after its end.
func (t *tx) at() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return ""
	}
	return t.p.t.cfg.Target
}

func (t *tx) atPrimary() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended && t.p.primary
}

// cancel passes a cancel request on while the statement of exactly this transaction is running.
func (s *service) cancel(c wire.Cancel) {
	s.mu.Lock()
	t := s.txs[txKey{c.Session, c.Seq}]
	s.mu.Unlock()
	if t != nil {
		t.cancelStatement()
	}
}

func (t *tx) cancelStatement() {
	t.mu.Lock()
	if t.ended || t.switching || !t.p.conn.Pending() {
		t.mu.Unlock()
		return
	}
	conn := t.p.conn
	t.cancelled = true // before the request leaves: the connection is not reused
	t.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = conn.Cancel(ctx) // a cancel request has no answer; a lost one has no effect
}

// settle ends the transaction or pauses its slot when the target is idle and nothing is being sent.
// The caller holds mu.
func (t *tx) settle() {
	if t.sending || t.ended || !t.idle || t.p.conn.Pending() {
		return
	}
	if t.p.conn.TxStatus() == pgwire.TxIdle {
		t.ended = true
		return
	}
	if t.slot {
		t.slot = false
		t.p.ticket.Pause()
	}
}

// token returns the session token to report after the transaction. Reported is the position that the
// connection has last reported.
//
// It has to cover all that the transaction read. At the primary, the position reported with a commit
// does. A replica may have applied more than the last sample says, and to ask it again would cost each
// read a round trip. The token names the target and the time instead: the owner's next regular sample
// of that target bounds the read, and until then the session's reads go to the same target or the
// primary, which can't be older.
func (t *tx) token(committed, reported position.Position) string {
	req := t.job.req
	floor, seen := req.Floor.Max(committed), req.ObservedReads
	if req.ReadOnly && !t.p.primary && req.Mode == wire.ReadMaxAge {
		return position.TokenWithReads(t.s.name, floor, t.addSeen(seen)) // it has regarded no earlier read
	}
	floor = floor.Max(t.p.known)
	if t.d.reported && t.p.primary {
		return position.Token(t.s.name, floor.Max(reported))
	}
	return position.TokenWithReads(t.s.name, floor, t.addSeen(nil))
}

// addSeen adds this transaction to the reads of a token. Without room it is left out, which can only
// happen to reads by age.
func (t *tx) addSeen(list []position.ObservedRead) []position.ObservedRead {
	if len(list) >= position.MaxObservedReads {
		return list
	}
	at := t.s.cfg.Clock.Now().Sub(t.s.started)
	at = (at + time.Microsecond - 1).Truncate(time.Microsecond)
	return position.AddObservedRead(list, position.ObservedRead{Target: t.p.t.cfg.Target, Epoch: t.s.epoch, At: at})
}
