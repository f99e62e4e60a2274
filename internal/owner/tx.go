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
	sendBytes = 32 << 10
	// flushBytes is the size at which buffered responses are written to the caller.
	relayBytes = 16 << 10
	// initialOutBytes is the initial capacity of the response buffer, enough for a statement with
	// few rows.
	firstOutBytes = 512
	// maxHeldBytes bounds the responses held back until a commit is confirmed.
	heldBytes = 256 << 10
	// maxRecordedBytes bounds the request frames recorded for a rerun on the primary. They must fit
	// into the socket buffers, since no responses are read while they are sent.
	recordBytes = 64 << 10
	// rerunTimeout bounds the wait for a primary connection for a rerun.
	rerunTimeout = 5 * time.Second
)

var (
	errPrimaryChanged = unknownOutcome("the primary changed while the request was running")
	errOwnershipEnded = unknownOutcome("this host's ownership of the service ended while the request was running")
	errTargetSilent   = unknownOutcome("the target did not answer status requests for %v", silentAbort)
	errLeaseExpired   = unknownOutcome("the lease expired before the response was confirmed")
	errNoQuorum       = unknownOutcome("no majority of the targets confirmed the commit before the timeout")
	errReplicaRefused = verdict.New(verdict.NotRun, verdict.CodeUnavailable, "a replica rejected the request as a write, and no primary was available")
	errCallerGone     = unknownOutcome("the caller closed its stream")

	past = time.Unix(1, 0) // interrupts blocked reads and writes when set as their deadline
)

func unknownOutcome(format string, args ...any) *verdict.Error {
	return verdict.New(verdict.MayHaveRun, verdict.CodeOutcomeUnknown, format, args...)
}

// tx relays one transaction between a caller and a target connection. One goroutine forwards the
// requests to the target (requests.go), another one relays the responses (responses.go).
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
	sent      bool   // something has been sent to a target
	sending   bool   // a send is about to start or in progress
	switching bool   // the transaction is being moved to the primary
	idle      bool   // a ReadyForQuery has been read since the last send
	syncs     int    // Query and Sync requests whose ReadyForQuery hasn't been read
	ended     bool   // nothing more may be sent
	cancelled bool   // a cancel request has been sent for the connection
	cause     error  // why the transaction was aborted; nil if it wasn't
	record    []byte // requests sent so far, for a rerun
	recording bool   // requests are being recorded; false once a rerun is ruled out

	d downState
}

// responder receives the responses of a transaction. The frames are valid until the target's next
// response is handled.
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

// serve admits and runs one transaction.
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

// admit admits a transaction and counts it as active. It fails when the epoch is ending or the
// lease isn't valid. Each successful call must be followed by one of txDone.
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
		s.notify() // returnLeaseWhenDone waits for the last transaction
	}
}

// attach sets the transaction's connection and registers the transaction for cancel requests and
// aborts.
func (t *tx) attach(p *placed) {
	t.s.mu.Lock()
	defer t.s.mu.Unlock()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.p, t.slot = p, true
	t.recording = t.job.req.ReadOnly && !p.primary
	t.s.txs[t.key()] = t
	if p.primary && p.term != t.s.ackTerm || t.s.ctx.Err() != nil {
		go t.abort(errPrimaryChanged) // the primary changed after the connection was acquired
	}
}

func (t *tx) key() txKey { return txKey{t.job.req.Session, t.job.req.Seq} }

// finish releases the connection and unregisters the transaction.
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

// detach releases the connection. The pool keeps it only when all responses have been read and the
// target is idle. A connection for which a cancel request was sent is closed, since a late cancel
// could hit the next statement on it.
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

// releaseConn interrupts a send in progress, waits for its end and releases the connection. The
// caller holds mu.
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

// abort ends the transaction with an error. Its connection is not reused.
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

// interrupt makes reads and writes of the connection fail. The caller holds mu.
func (t *tx) kill() {
	if t.p.conn == nil {
		return
	}
	t.p.conn.Discard()
	_ = t.p.conn.SetDeadline(past) // fails only on a closed connection
}

// targetName returns the target that the transaction runs on, or "" after its end.
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

// cancelStatement forwards a cancel request if a statement of that transaction is running.
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
	t.cancelled = true // set before the request is sent, so that the connection is not reused
	t.mu.Unlock()
	ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
	defer stop()
	_ = conn.Cancel(ctx) // best effort: the protocol has no reply to a cancel request
}

// settle is called when a statement may have ended. If the target has answered everything and
// nothing is being sent, it ends the transaction, or releases the slot between two statements of a
// block. The caller holds mu.
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

// sessionToken returns the session token to send to the caller after the transaction. reported is
// the last position reported on the connection.
//
// The token must cover everything that the transaction read. On the primary, the position reported
// with a commit does. Otherwise, a target may have applied more than its last status says, and
// requesting the status again would cost each read a round trip. The token then names the target
// and the time of the read. The first regular status requested after that time bounds what the read
// saw; until then, the session's reads run on the same target or on the primary, neither of which
// can be older.
func (t *tx) token(committed, reported position.Position) string {
	req := t.job.req
	floor, seen := req.Floor.Max(committed), req.ObservedReads
	if req.ReadOnly && !t.p.primary && req.Mode == wire.ReadMaxAge {
		return position.TokenWithReads(t.s.name, floor, t.addSeen(seen)) // keep earlier reads: this one may be older
	}
	floor = floor.Max(t.p.known)
	if t.d.reported && t.p.primary {
		return position.Token(t.s.name, floor.Max(reported))
	}
	return position.TokenWithReads(t.s.name, floor, t.addSeen(nil))
}

// addObservedRead adds this transaction to the reads of a token. When the list is full it is left
// out, which can happen only to reads in max_age mode.
func (t *tx) addSeen(list []position.ObservedRead) []position.ObservedRead {
	if len(list) >= position.MaxObservedReads {
		return list
	}
	at := t.s.cfg.Clock.Now().Sub(t.s.started)
	at = (at + time.Microsecond - 1).Truncate(time.Microsecond)
	return position.AddObservedRead(list, position.ObservedRead{Target: t.p.t.cfg.Target, Epoch: t.s.epoch, At: at})
}
