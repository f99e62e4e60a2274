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
	// sendBatchBytes is the size at which buffered request frames are sent to the target.
	sendBatchBytes = 32 << 10
	// flushBytes is the size at which buffered responses are written to the caller.
	flushBytes = 16 << 10
	// initialOutBytes is the initial capacity of the response buffer, enough for a statement with
	// few rows.
	initialOutBytes = 512
	// maxHeldBytes bounds the responses held back until a commit is confirmed.
	maxHeldBytes = 256 << 10
	// maxRecordedBytes bounds the request frames recorded for a rerun on the primary. They must fit
	// into the socket buffers, since no responses are read while they are sent.
	maxRecordedBytes = 64 << 10
	// rerunTimeout bounds the wait for a primary connection for a rerun.
	rerunTimeout = 5 * time.Second
)

var (
	errPrimaryChanged       = unknownOutcome("the primary changed while the request was running")
	errOwnershipEnded       = unknownOutcome("this host's ownership of the service ended while the request was running")
	errTargetSilent         = unknownOutcome("the target did not answer status requests for %v", silenceLimit)
	errLeaseExpired         = unknownOutcome("the lease expired before the response was confirmed")
	errNoQuorum             = unknownOutcome("no majority of the targets confirmed the commit before the timeout")
	errReplicaRejectedWrite = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "a replica rejected the request as a write, and no primary was available")
	errCallerDisconnected   = unknownOutcome("the caller closed its stream")

	expiredDeadline = time.Unix(1, 0) // interrupts blocked reads and writes when set as their deadline
)

func unknownOutcome(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, format, args...)
}

// tx relays one transaction between a caller and a target connection. One goroutine forwards the
// requests to the target (requests.go), another one relays the responses (responses.go).
type tx struct {
	service   *service
	params    txParams
	responder responder
	ctx       context.Context
	cancelCtx context.CancelFunc

	mu           sync.Mutex // guards the fields below; taken after service.mu, never before it
	cond         sync.Cond  // signalled when sending or rerunning ends, or the transaction ends
	acquired     *acquiredConn
	hasSlot      bool   // acquired.ticket holds a slot
	sent         bool   // something has been sent to a target
	sending      bool   // a send is about to start or in progress
	rerunning    bool   // the transaction is being restarted on the primary
	idle         bool   // a ReadyForQuery has been read since the last send
	pendingSyncs int    // Query and Sync requests whose ReadyForQuery hasn't been read
	ended        bool   // nothing more may be sent
	cancelled    bool   // a cancel request has been sent for the connection
	abortCause   error  // why the transaction was aborted; nil if it wasn't
	recorded     []byte // requests sent so far, for a rerun
	recording    bool   // requests are being recorded; false once a rerun is ruled out

	relay relayState
}

// responder receives the responses of a transaction. The frames are valid until the target's next
// response is handled.
type responder interface {
	respond(frames []byte) error
}

// streamResponder writes responses to a stream.
type streamResponder struct{ io.Writer }

func (r streamResponder) respond(frames []byte) error {
	_, err := r.Write(frames)
	return err
}

func newTx(ctx context.Context, s *service, params txParams, out responder) *tx {
	t := &tx{service: s, params: params, responder: out}
	t.relay.pending = make([]byte, 0, initialOutBytes)
	t.cond.L = &t.mu
	t.ctx, t.cancelCtx = context.WithCancel(ctx)
	return t
}

// serve admits and runs one transaction.
func (s *service) serve(ctx context.Context, req wire.TxRequest, stream io.ReadWriteCloser) {
	if err := s.admit(); err != nil {
		refuse(stream, err)
		return
	}
	defer s.txDone()
	params, timeout := s.newTxParams(req)
	if req.RequestKey != "" && !req.ReadOnly {
		s.serveKeyed(ctx, params, timeout, stream)
		return
	}
	acquired, err := s.acquireWithTimeout(ctx, params, timeout)
	if err != nil {
		refuse(stream, err)
		return
	}
	t := newTx(ctx, s, params, streamResponder{stream})
	t.attach(acquired)
	defer t.finish()
	defer context.AfterFunc(ctx, func() { t.abort(errCallerDisconnected) })()
	if wire.Write(stream, wire.TxReply{Admitted: true}) != nil {
		return
	}
	countTx(acquired, req.ReadOnly)
	go t.forwardRequests(stream)
	t.relayResponses()
}

func (s *service) acquireWithTimeout(ctx context.Context, params txParams, timeout time.Duration) (*acquiredConn, error) {
	bounded := withLazyTimeout(ctx, timeout)
	defer bounded.stop()
	return s.acquire(bounded, params)
}

func countTx(acquired *acquiredConn, readOnly bool) {
	switch {
	case !readOnly:
		writes.Inc()
	case acquired.isPrimary:
		readsPrimary.Inc()
	default:
		readsReplica.Inc()
	}
}

// admit admits a transaction and counts it as active. It fails when the epoch is ending or the
// lease isn't valid. Each successful call must be followed by a call of txDone.
func (s *service) admit() error {
	valid := s.leaseValid()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.handover.State() != stateOwned || s.ctx.Err() != nil || !valid {
		return unavailable("service %q is not owned by this host", s.name)
	}
	s.active++
	return nil
}

// txDone removes an admitted transaction from the active ones.
func (s *service) txDone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active--
	if s.handover.State() != stateOwned {
		s.notify() // returnLeaseWhenDone waits for the last transaction
	}
}

// attach sets the transaction's connection and registers the transaction for cancel requests and
// aborts.
func (t *tx) attach(acquired *acquiredConn) {
	t.service.mu.Lock()
	defer t.service.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.acquired, t.hasSlot = acquired, true
	t.recording = t.params.req.ReadOnly && !acquired.isPrimary
	t.service.txs[t.id()] = t
	if acquired.isPrimary && acquired.term != t.service.ackTerm || t.service.ctx.Err() != nil {
		go t.abort(errPrimaryChanged) // the primary changed after the connection was acquired
	}
}

func (t *tx) id() txID { return txID{t.params.req.Session, t.params.req.Seq} }

// finish releases the connection and unregisters the transaction.
func (t *tx) finish() {
	t.cancelCtx()
	t.detach()
	s := t.service
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.txs[t.id()] == t {
		delete(s.txs, t.id())
	}
	if t.acquired.isPrimary {
		s.primaryTxDoneLocked()
	}
}

// detach releases the connection. The pool keeps it only when all responses have been read and the
// target is idle. A connection for which a cancel request was sent is closed, since a late cancel
// could hit the next statement on it.
func (t *tx) detach() {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.acquired.conn == nil {
		return
	}
	t.ended = true
	if t.cancelled || t.sending {
		t.acquired.conn.Discard()
	}
	t.releaseConn()
}

// releaseConn interrupts a send in progress, waits for its end and releases the connection. mu must
// be held.
func (t *tx) releaseConn() {
	if t.sending {
		_ = t.acquired.conn.SetDeadline(expiredDeadline) // fails only on a closed connection
	}
	for t.sending {
		t.cond.Wait()
	}
	t.acquired.release()
	t.acquired.conn = nil
}

// abort ends the transaction with an error. Its connection is not reused.
func (t *tx) abort(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return
	}
	if t.abortCause == nil {
		t.abortCause = cause
	}
	t.cancelCtx()
	t.interrupt()
	t.cond.Broadcast()
}

// interrupt makes reads and writes of the connection fail. mu must be held.
func (t *tx) interrupt() {
	if t.acquired.conn == nil {
		return
	}
	t.acquired.conn.Discard()
	_ = t.acquired.conn.SetDeadline(expiredDeadline) // fails only on a closed connection
}

// targetName returns the target that the transaction runs on, or "" after its end.
func (t *tx) targetName() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended {
		return ""
	}
	return t.acquired.target.cfg.Target
}

func (t *tx) onPrimary() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.ended && t.acquired.isPrimary
}

// cancelStatement forwards a cancel request if a statement of that transaction is running.
func (s *service) cancelStatement(c wire.Cancel) {
	s.mu.Lock()
	t := s.txs[txID{c.Session, c.Seq}]
	s.mu.Unlock()
	if t != nil {
		t.cancelStatement()
	}
}

func (t *tx) cancelStatement() {
	t.mu.Lock()
	if t.ended || t.rerunning || !t.acquired.conn.Pending() {
		t.mu.Unlock()
		return
	}
	conn := t.acquired.conn
	t.cancelled = true // set before the request is sent, so that the connection is not reused
	t.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = conn.Cancel(ctx) // best effort: the protocol has no reply to a cancel request
}

// finishStatement ends the transaction, or releases the slot between two statements of a block, if
// the target has answered all requests and nothing is being sent. mu must be held.
func (t *tx) finishStatement() {
	if t.sending || t.ended || !t.idle || t.acquired.conn.Pending() {
		return
	}
	if t.acquired.conn.TxStatus() == pgwire.TxIdle {
		t.ended = true
		return
	}
	if t.hasSlot {
		t.hasSlot = false
		t.acquired.ticket.Pause()
	}
}

// sessionToken returns the session token to send to the caller after the transaction. reported is
// the last position reported on the connection.
//
// The token must cover everything that the transaction read. On the primary, the position reported
// with a commit does. Otherwise, a target may have applied more than its last status says, and
// requesting the status again would cost each read a round trip. The token then names the target
// and the time of the read. The first regular status requested after that time bounds what the read
// saw; until then, the session's reads run on the same target or on the primary, neither of which
// can be older.
func (t *tx) sessionToken(committed, reported position.Position) string {
	req := t.params.req
	floor, observed := req.Floor.Max(committed), req.ObservedReads
	if req.ReadOnly && !t.acquired.isPrimary && req.Mode == wire.ReadMaxAge {
		return position.TokenWithReads(t.service.name, floor, t.addObservedRead(observed)) // keep earlier reads: this one may be older
	}
	floor = floor.Max(t.acquired.appliedBefore)
	if t.relay.positionReported && t.acquired.isPrimary {
		return position.Token(t.service.name, floor.Max(reported))
	}
	return position.TokenWithReads(t.service.name, floor, t.addObservedRead(nil))
}

// addObservedRead adds this transaction to the reads of a token. When the list is full it is left
// out, which can happen only to reads in max_age mode.
func (t *tx) addObservedRead(list []position.ObservedRead) []position.ObservedRead {
	if len(list) >= position.MaxObservedReads {
		return list
	}
	at := t.service.cfg.Clock.Now().Sub(t.service.startedAt)
	at = (at + time.Microsecond - 1).Truncate(time.Microsecond)
	return position.AddObservedRead(list, position.ObservedRead{Target: t.acquired.target.cfg.Target, Epoch: t.service.epoch, At: at})
}
